"""Overload control: while the event loop is delayed, work is refused by class, the least important first.

A node that responds late wastes its work: users and workers have timed out by then and retry, which
adds to the load. Lease renewals, readiness checks and heartbeats are never refused.
"""

import asyncio
import logging
from collections import deque
from datetime import timedelta
from enum import IntEnum

from elmthread.common.clock import ZERO, Clock, seconds

log = logging.getLogger(__name__)

MEASUREMENT_INTERVAL = seconds(0.1)
# A single long iteration of the loop is over once it is measured; only a delay that lasts for this many measurements
# is overload.
MEASUREMENTS_FOR_OVERLOAD = 3


class WorkClass(IntEnum):
    """Classes of work, in the order in which they are refused."""

    SCHEDULING_ROUND = 0  # also autoscaling rounds; the leader delays them
    SUBMISSION = 1
    STATUS_REQUEST = 2  # also cancellations


# A class is refused while the loop's delay is above this. Users wait 5 s for a submission and 2 s for
# a status, and have spent part of that in the queue already.
MAX_DELAY = {
    WorkClass.SCHEDULING_ROUND: seconds(0.5),
    WorkClass.SUBMISSION: seconds(1),
    WorkClass.STATUS_REQUEST: seconds(1.5),
}


class OverloadControl:
    """Measures how late the event loop's timers fire, and decides which work is refused."""

    def __init__(self, clock: Clock) -> None:
        """Start without any delay."""
        self._clock = clock
        self._delays: deque[timedelta] = deque([ZERO] * MEASUREMENTS_FOR_OVERLOAD, maxlen=MEASUREMENTS_FOR_OVERLOAD)
        self._logged_class: WorkClass | None = None

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            started_at = self._clock()
            await asyncio.sleep(MEASUREMENT_INTERVAL.total_seconds())
            self.record_delay(self._clock() - started_at - MEASUREMENT_INTERVAL)

    def record_delay(self, delay: timedelta) -> None:
        """Record by how much a timer fired late, and log a change of what is refused."""
        self._delays.append(delay)
        refused = max((work for work in WorkClass if self.rejects(work)), default=None)
        if refused is self._logged_class:
            return
        self._logged_class = refused
        delay_s = self.loop_delay.total_seconds()
        if refused is None:
            log.info("the event loop is %.1f s behind: nothing is refused any more", delay_s)
        else:
            names = ", ".join(work.name for work in WorkClass if work <= refused)
            log.info("the event loop is %.1f s behind: refusing %s", delay_s, names)

    @property
    def loop_delay(self) -> timedelta:
        """The smallest of the last measurements, so that a single long iteration does not count."""
        return min(self._delays)

    def rejects(self, work: WorkClass) -> bool:
        """Return whether work of that class is to be refused now."""
        return self.loop_delay > MAX_DELAY[work]
