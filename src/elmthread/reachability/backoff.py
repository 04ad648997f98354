"""How long a node leaves leadership to others after a term that a cut ended: longer while cuts return."""

import logging
import random
from datetime import timedelta

from elmthread.common.clock import ZERO, Clock
from elmthread.reachability.bounds import JITTER, ReachabilityBounds

log = logging.getLogger(__name__)


class LeadershipBackoff:
    """The rest after a term, in memory only: a process that is started again rests no more.

    A node that rests stands only where leadership has been vacant for `least_rest`, and gives way to nobody:
    leading with a part of the links is better than a change of leader every few seconds.
    """

    def __init__(self, bounds: ReachabilityBounds, clock: Clock, rng: random.Random, alone: bool) -> None:
        """`alone`: there is no other controller, so nothing is left to anybody. `rng` draws the jitter."""
        self._bounds = bounds
        self._clock = clock
        self._rng = rng
        self._alone = alone
        # Rests that have not been forgotten since, and when the last one ends.
        self._rests = 0
        self._until = ZERO

    @property
    def resting(self) -> bool:
        """Whether leadership is left to others."""
        return not self._alone and self._clock() < self._until

    def rest(self, at_length: bool = False) -> None:
        """A term has ended for a cut or a fault. `at_length`: nobody is known to be better off, so not soon again."""
        if self._alone:
            return
        now = self._clock()
        self._forget(now)
        longest = self._bounds.longest_rest
        if at_length:
            self._until = now + longest
        else:
            wait = min(longest, self._bounds.least_rest * 2**self._rests)
            if wait < longest:
                self._rests += 1
            # The first rest is as long as a vacancy may last: drawn shorter it would be none.
            drawn = max(wait * self._rng.uniform(1 - JITTER, 1), self._bounds.least_rest)
            self._until = max(self._until, now + drawn)
        log.info("leadership is left to others for %.1f s", (self._until - now).total_seconds())

    def wait_before_standing(self, vacant_for: timedelta) -> timedelta:
        """How long to go on leaving a vacant leadership to others."""
        if not self.resting:
            return ZERO
        return max(ZERO, min(self._bounds.least_rest - vacant_for, self._until - self._clock()))

    def _forget(self, now: timedelta) -> None:
        """One rest is forgotten for each `longest_rest` of quiet after the last one ended."""
        if now > self._until:
            quiet = int((now - self._until) / self._bounds.longest_rest)
            self._rests = max(0, self._rests - quiet)
