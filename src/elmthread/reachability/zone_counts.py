"""Counts the machines of each zone that report to the leader, in one pass that is cached for all callers."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from elmthread.cluster.machine import Machine, MachineState
from elmthread.common.clock import ZERO, Clock, seconds

# The maximum age of cached counts, which is recent enough for all callers.
MAX_AGE = seconds(0.4)


class ZoneCount(msgspec.Struct):
    """The numbers of machines in one zone."""

    # Machines that are expected to report.
    expected: int = 0
    # Expected machines that have been silent for so long that they are assigned no more tasks.
    silent: int = 0
    # Expected machines whose last heartbeat was on time and indicates that this leader's responses arrive.
    confirmed: int = 0


class ZoneCounts:
    """Counts the machines of a term by zone."""

    def __init__(
        self, machines: Mapping[str, Machine], clock: Clock, heartbeat_timeout: timedelta, term_started_at: timedelta
    ) -> None:
        """Count `machines`, which could report to this leader only after `term_started_at`."""
        self._machines = machines
        self._clock = clock
        self._heartbeat_timeout = heartbeat_timeout
        self._term_started_at = term_started_at
        self._counted_at: timedelta | None = None
        self._zones: dict[str, ZoneCount] = {}

    def by_zone(self) -> Mapping[str, ZoneCount]:
        """Return the counts of each zone, at most `MAX_AGE` old."""
        now = self._clock()
        if self._counted_at is None or now - self._counted_at > MAX_AGE:
            self._zones = self._count(self._machines.values(), now)
            self._counted_at = now
        return self._zones

    def total(self) -> ZoneCount:
        """Return the sums over all zones."""
        total = ZoneCount()
        for count in self.by_zone().values():
            total.expected += count.expected
            total.silent += count.silent
            total.confirmed += count.confirmed
        return total

    def _count(self, machines: Iterable[Machine], now: timedelta) -> dict[str, ZoneCount]:
        zones: dict[str, ZoneCount] = {}
        on_time_since = now - self._heartbeat_timeout
        for machine in machines:
            if not machine.heartbeat_expected:
                continue
            count = zones.get(machine.zone)
            if count is None:
                count = zones[machine.zone] = ZoneCount()
            count.expected += 1
            count.silent += machine.is_silent(now, self._term_started_at)
            if machine.state is MachineState.UP and machine.receives_responses:
                count.confirmed += (machine.last_heartbeat_at or ZERO) >= on_time_since
        return zones
