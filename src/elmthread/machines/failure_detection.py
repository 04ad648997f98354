"""Failure detection: finds overdue, lost and faulty machines, and releases allocations after worker leases expire."""

import logging
from datetime import timedelta

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.machine import Machine, MachineState
from elmthread.cluster.machine_deletion import DeletionReason, request_deletion
from elmthread.common.clock import ZERO, seconds
from elmthread.leadership.context import TermContext
from elmthread.reachability.zone_health import ZoneHealth

log = logging.getLogger(__name__)

# The following times are multiples of the worker lease duration.
# A machine without a heartbeat for this long gets no new tasks.
HEARTBEAT_OVERDUE_LEASES = 0.4
# A machine without a heartbeat for this long, while few others are silent, is most likely dead. If it runs
# service replicas, it is deleted early: they can be restarted once the deletion is confirmed, which is before
# the lease expires. This is worth the loss of a few machines that only hang.
PROBABLY_DEAD_LEASES = 0.6
# A machine that has received no responses for this many lease durations is deleted.
RESPONSES_LOST_LEASES = 3
# Added to the boot and heartbeat timeouts of machines in a zone that appears unreachable, as they may be
# reachable again sooner than replacements would boot.
ZONE_OUTAGE_ALLOWANCE = seconds(90)
# An interrupted machine is deleted this long before the cloud reclaims it: its tasks have been stopped by then.
INTERRUPTION_MARGIN = seconds(1)
# The boot timeout is this multiple of the boot time of the machine's type, plus the margin.
BOOT_TIMEOUT_FACTOR = 2.5
BOOT_TIMEOUT_MARGIN = seconds(10)
# The boot timeout of a machine whose type is not known.
DEFAULT_BOOT_TIMEOUT = seconds(300)


class FailureDetector:
    """Checks each machine's heartbeats, interruption notice and health."""

    def __init__(
        self,
        context: TermContext,
        catalog: MachineTypeCatalog,
        leases: WorkerLeases,
        zones: ZoneHealth,
        list_lag: timedelta,
    ) -> None:
        """Create a detector; `zones` tells unreachable zones, `list_lag` is how stale the cloud's list can be."""
        self._cluster = context.cluster
        self._events = context.events
        self._clock = context.clock
        self._catalog = catalog
        self._leases = leases
        self._zones = zones
        self._overdue_after = leases.duration * HEARTBEAT_OVERDUE_LEASES
        self._lost_after = leases.duration + list_lag * 2

    def check(self) -> None:
        """Mark overdue machines, release allocations of expired leases, and request deletion of failed machines."""
        now = self._clock()
        if self._zones.update_unreachable_zones():
            self._events.notify_changed()
        unreachable_zones, overdue_after = self._zones.unreachable, self._overdue_after
        for machine in list(self._cluster.machines.values()):
            machine.zone_unreachable = machine.zone in unreachable_zones
            if (
                machine.state is MachineState.UP
                and machine.last_heartbeat_at is not None
                and now - machine.last_heartbeat_at <= overdue_after
                and machine.interruption_at is None
                and machine.responses_lost_since is None
                and not machine.quarantined
            ):
                # Fast path: the machine is healthy.
                machine.heartbeat_overdue = False
            else:
                self._check_machine(machine, now)

    def _check_machine(self, machine: Machine, now: timedelta) -> None:
        if machine.state is MachineState.DELETING:
            self._release_expired(machine, now)
            return
        zone_in_doubt = machine.zone_unreachable or self._zones.is_own_link_suspect(machine.zone)
        allowance = ZONE_OUTAGE_ALLOWANCE if zone_in_doubt else ZERO
        if machine.state is MachineState.BOOTING:
            if now - machine.first_seen_at > self._boot_timeout(machine) + allowance:
                request_deletion(machine, DeletionReason.BOOT_TIMEOUT)
            return
        machine.heartbeat_overdue = self._leases.time_since_heartbeat(machine, now) > self._overdue_after
        self._release_expired(machine, now)
        reason = self._deletion_reason(machine, now, allowance)
        if reason is not None:
            request_deletion(machine, reason)

    def _deletion_reason(self, machine: Machine, now: timedelta, allowance: timedelta) -> DeletionReason | None:
        """Return the reason to delete a machine that has booted, or None to keep it."""
        lease = self._leases.duration
        lost_since = machine.responses_lost_since
        silence = self._leases.time_since_heartbeat(machine, now)
        if machine.interruption_at is not None and now >= machine.interruption_at - INTERRUPTION_MARGIN:
            return DeletionReason.INTERRUPTED
        if lost_since is not None and now - lost_since > lease * RESPONSES_LOST_LEASES:
            return DeletionReason.RESPONSES_LOST
        if machine.quarantined and not machine.allocations:
            return DeletionReason.QUARANTINED
        if silence > self._lost_after + allowance:
            return DeletionReason.NO_HEARTBEATS
        if (
            machine.service_cpus > 0
            and not allowance
            and self._zones.silence_is_rare
            and machine.state is MachineState.UP
            and silence > lease * PROBABLY_DEAD_LEASES
        ):
            return DeletionReason.REPLICAS_TO_RESTART
        return None

    def _boot_timeout(self, machine: Machine) -> timedelta:
        machine_type = self._catalog.types.get(machine.machine_type)
        if machine_type is None:
            return DEFAULT_BOOT_TIMEOUT
        return seconds(machine_type.boot_s) * BOOT_TIMEOUT_FACTOR + BOOT_TIMEOUT_MARGIN

    def _release_expired(self, machine: Machine, now: timedelta) -> None:
        """Release the allocations of the machine if its worker lease is certain to have expired."""
        if machine.allocations and now > self._leases.expires_by(machine):
            log.info("the worker lease of machine %s has expired; its tasks are released", machine.name)
            machine.expired_incarnation = machine.last_heartbeat_id.incarnation
            self._cluster.release_all(machine, now)
            self._events.notify_changed()
