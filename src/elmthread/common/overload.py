"""Overload control: while the event loop is behind, work is refused by class, the least needed first.

A node that answers late wastes its work: users and workers have given up by then and ask again,
which adds to the load. Renewals of the lease, readiness and heartbeats are never refused.
"""

import asyncio
import logging
from collections import deque
from datetime import timedelta
from enum import IntEnum

from elmthread.common.clock import ZERO, Clock, seconds

log = logging.getLogger(__name__)

MEASUREMENT_INTERVAL = seconds(0.1)
# A single long step of the loop is over when it is measured; only a delay that lasts for so many is overload.
MEASUREMENTS = 3


class WorkClass(IntEnum):
    """Classes of work, in the order in which they are refused."""

    SCHEDULING_ROUND = 0
    SUBMISSION = 1
    STATUS_REQUEST = 2


# A class is refused while the loop is further behind. Users wait 5 s for a submission and 2 s for
# a status, and have spent part of that in the queue already.
MAX_DELAY = {
    WorkClass.SCHEDULING_ROUND: seconds(0.5),
    WorkClass.SUBMISSION: seconds(1),
    WorkClass.STATUS_REQUEST: seconds(1.5),
}


class OverloadControl:
    """Measures how late the event loop's timers fire and decides what is refused."""

    def __init__(self, clock: Clock) -> None:
        """Begin without any delay."""
        self._clock = clock
        self._delays: deque[timedelta] = deque([ZERO] * MEASUREMENTS, maxlen=MEASUREMENTS)
        self._logged: WorkClass | None = None

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            began = self._clock()
            await asyncio.sleep(MEASUREMENT_INTERVAL.total_seconds())
            self.record_delay(self._clock() - began - MEASUREMENT_INTERVAL)

    def record_delay(self, delay: timedelta) -> None:
        """Record by how much a timer fired late, and log a change of what is refused."""
        self._delays.append(delay)
        refused = max((work for work in WorkClass if self.rejects(work)), default=None)
        if refused is self._logged:
            return
        self._logged = refused
        behind_s = self.behind.total_seconds()
        if refused is None:
            log.info("the event loop is %.1f s behind: nothing is refused any more", behind_s)
        else:
            names = ", ".join(work.name for work in WorkClass if work <= refused)
            log.info("the event loop is %.1f s behind: refusing %s", behind_s, names)

    @property
    def behind(self) -> timedelta:
        """The smallest of the last measurements, so that a single long step does not count."""
        return min(self._delays)

    def rejects(self, work: WorkClass) -> bool:
        """Return whether work of that class is to be refused now."""
        return self.behind > MAX_DELAY[work]
