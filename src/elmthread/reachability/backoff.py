"""Exponential backoff of candidacies after a term of this node that ended while its process kept running."""

import logging
import random
from datetime import timedelta

from elmthread.common.clock import ZERO, Clock
from elmthread.reachability.bounds import BACKOFF_JITTER, ReachabilityBounds

log = logging.getLogger(__name__)


class LeadershipBackoff:
    """Tracks the backoff after a term. It is kept in memory only, so a restarted process has none.

    During a backoff, a node that is not named as successor becomes a candidate only after there has been no leader for
    `min_backoff`, and a leader does not end its term because of failed links: leading with some links down is better
    than changing leaders every few seconds.
    """

    def __init__(self, bounds: ReachabilityBounds, clock: Clock, rng: random.Random, single_node: bool) -> None:
        """Start without a backoff; `rng` draws the jitter. A `single_node` has no peers and never backs off."""
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._single_node = single_node
        # The number of recent backoffs, each of which doubles the next one, and the time at which the last one ends.
        self._recent_count = 0
        self._until = ZERO

    @property
    def is_active(self) -> bool:
        """Whether this node currently refrains from seeking leadership."""
        return not self._single_node and self._clock() < self._until

    def begin(self, longest: bool = False) -> None:
        """Start a backoff after a term; `longest` makes it the maximum, for when no better connected node is known."""
        if self._single_node:
            return
        now = self._clock()
        self._decay_recent_count(now)
        if longest:
            self._until = now + self._bounds.max_backoff
        else:
            self._until = max(self._until, now + self._next_duration())
        log.info("backing off from leadership for %.1f s", (self._until - now).total_seconds())

    def candidacy_delay(self, vacant_for: timedelta) -> timedelta:
        """Return how much longer to delay a candidacy when there has been no leader for `vacant_for`."""
        if not self.is_active:
            return ZERO
        return max(ZERO, min(self._bounds.min_backoff - vacant_for, self._until - self._clock()))

    def _next_duration(self) -> timedelta:
        """Return the duration of the next backoff: doubled for each recent one, up to the maximum, less jitter."""
        longest = self._bounds.max_backoff
        duration = min(longest, self._bounds.min_backoff * 2**self._recent_count)
        if duration < longest:
            self._recent_count += 1
        # Jitter must not shorten a backoff below `min_backoff`, so a first backoff has none. After its term, this node
        # thus leaves leadership to the others for at least `min_backoff`, unless one of them names it as successor.
        jittered: timedelta = duration * self._rng.uniform(1 - BACKOFF_JITTER, 1)
        return max(jittered, self._bounds.min_backoff)

    def _decay_recent_count(self, now: timedelta) -> None:
        """Decrease the count of recent backoffs by one for each `max_backoff` since the last one ended."""
        if now > self._until:
            elapsed_periods = int((now - self._until) / self._bounds.max_backoff)
            self._recent_count = max(0, self._recent_count - elapsed_periods)
