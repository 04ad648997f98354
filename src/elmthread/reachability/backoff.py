"""How long a node leaves leadership to others after a term that a cut ended: longer while cuts return."""

import logging
import random
from datetime import timedelta

from elmthread.common.clock import ZERO, Clock
from elmthread.reachability.bounds import BACKOFF_JITTER, ReachabilityBounds

log = logging.getLogger(__name__)


class LeadershipBackoff:
    """The backoff after a term, in memory only: a process that is started again begins without one.

    During a backoff a node is a candidate only where there has been no leader for `min_backoff`, and hands leadership
    over to nobody: leading with a part of the links is better than a change of leader every few seconds.
    """

    def __init__(self, bounds: ReachabilityBounds, clock: Clock, rng: random.Random, alone: bool) -> None:
        """`alone`: there is no other controller, so nothing is left to anybody. `rng` draws the jitter."""
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._alone = alone
        # Backoffs that still lengthen the next one, and when the last one ends.
        self._recent_count = 0
        self._until = ZERO

    @property
    def is_active(self) -> bool:
        """Whether leadership is left to others."""
        return not self._alone and self._clock() < self._until

    def begin(self, longest: bool = False) -> None:
        """Begin a backoff after a term; the `longest` one where nobody is known to be better off."""
        if self._alone:
            return
        now = self._clock()
        self._forget_past(now)
        if longest:
            self._until = now + self._bounds.max_backoff
        else:
            self._until = max(self._until, now + self._next_duration())
        log.info("leadership is left to other controllers for %.1f s", (self._until - now).total_seconds())

    def candidacy_delay(self, vacant_for: timedelta) -> timedelta:
        """Return how long to go on leaving a vacant leadership to others."""
        if not self.is_active:
            return ZERO
        return max(ZERO, min(self._bounds.min_backoff - vacant_for, self._until - self._clock()))

    def _next_duration(self) -> timedelta:
        """Return twice the duration of the last backoff, less a random part."""
        longest = self._bounds.max_backoff
        duration = min(longest, self._bounds.min_backoff * 2**self._recent_count)
        if duration < longest:
            self._recent_count += 1
        # Shorter than a vacancy may last, the first backoff would have no effect.
        jittered: timedelta = duration * self._rng.uniform(1 - BACKOFF_JITTER, 1)
        return max(jittered, self._bounds.min_backoff)

    def _forget_past(self, now: timedelta) -> None:
        """Forget one backoff for each `max_backoff` that has passed since the last one ended."""
        if now > self._until:
            forgotten = int((now - self._until) / self._bounds.max_backoff)
            self._recent_count = max(0, self._recent_count - forgotten)
