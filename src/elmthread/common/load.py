"""How far a node has fallen behind, and what it refuses for that, the least needed first.

A node with too little processor answers late, and late answers are worth nothing: users and
workers have given up by then and ask again, which makes it worse. So some kinds of work are
refused at once while the loop is behind. Renewals of the lease, readiness and workers'
reports are never refused.
"""

import asyncio
import logging
from collections import deque
from datetime import timedelta
from enum import IntEnum

from elmthread.common.clock import ZERO, Clock, seconds

log = logging.getLogger(__name__)

TICK = seconds(0.1)


class WorkClass(IntEnum):
    """What may be refused, in this order."""

    DECIDING = 0
    SUBMITTING = 1
    ASKING = 2


# Behind by this much, the kind is refused. Users wait 5 s for a submission and 2 s for a poll,
# and part of that has gone by in the queue already.
BOUNDS = {WorkClass.DECIDING: seconds(0.5), WorkClass.SUBMITTING: seconds(1), WorkClass.ASKING: seconds(1.5)}
# One long step, or a standstill, is over when it is seen; only what lasts is overload.
LASTING = 3


class OverloadControl:
    """How far the event loop is behind its timers, and what is refused for it."""

    def __init__(self, clock: Clock) -> None:
        """Nothing is behind at first."""
        self._clock = clock
        self._late: deque[timedelta] = deque([ZERO] * LASTING, maxlen=LASTING)
        self._told: WorkClass | None = None

    async def run(self) -> None:
        """Measures for ever."""
        while True:
            began = self._clock()
            await asyncio.sleep(TICK.total_seconds())
            self.record_delay(self._clock() - began - TICK)

    def record_delay(self, late: timedelta) -> None:
        """A timer has fired this late."""
        self._late.append(late)
        refused = max((kind for kind in WorkClass if self.rejects(kind)), default=None)
        if refused is not self._told:
            self._told = refused
            what = "nothing is refused" if refused is None else f"{refused.name.lower()} and less is refused"
            log.info("%.1f s behind: %s", self.behind.total_seconds(), what)

    @property
    def behind(self) -> timedelta:
        """The least of the last measurements: one long step counts for nothing."""
        return min(self._late)

    def rejects(self, kind: WorkClass) -> bool:
        """Whether that kind of work is to be refused now."""
        return self.behind > BOUNDS[kind]
