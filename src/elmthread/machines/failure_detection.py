"""Failure detection: finds overdue, lost and faulty machines, and releases what expired worker leases held."""

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

# In durations of the worker lease.
# A machine without a heartbeat for this long gets no new tasks.
HEARTBEAT_OVERDUE_LEASES = 0.4
# A machine without a heartbeat for this long, while hardly any others are silent, is most likely dead. If it
# holds replicas it is deleted, as they can be restarted once the deletion is confirmed, before the lease
# expires; this is worth deleting a few machines that only hang.
PROBABLY_DEAD_LEASES = 0.6
# A machine that has not received responses for this long is deleted.
RESPONSES_LOST_LEASES = 3
# Machines in a zone that seems to be cut off are not deleted for missing heartbeats this much longer, as
# they may be back sooner than others would boot.
ZONE_OUTAGE_ALLOWANCE = seconds(90)
# An interrupted machine is deleted this long before the cloud reclaims it: its tasks have been stopped by then.
INTERRUPTION_MARGIN = seconds(1)
# A machine may take this many times the boot time of its type, plus the margin.
BOOT_TIMEOUT_FACTOR = 2.5
BOOT_TIMEOUT_MARGIN = seconds(10)
# For a machine whose type is not known.
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
        """`zones` says which zones seem to be cut off; `list_lag` is how far the cloud's list may lag behind."""
        self._cluster = context.cluster
        self._events = context.events
        self._clock = context.clock
        self._catalog = catalog
        self._leases = leases
        self._zones = zones
        self._overdue_after = leases.duration * HEARTBEAT_OVERDUE_LEASES
        self._lost_after = leases.duration + list_lag * 2

    def check(self) -> None:
        """Note overdue heartbeats, release what expired leases held, and have failed machines deleted."""
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
                # The usual case: healthy.
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
        """Return why a machine that has booted is to be deleted, None if it is not."""
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
        """Release the allocations of a machine whose worker lease has expired by now at the latest."""
        if machine.allocations and now > self._leases.expires_by(machine):
            log.info("the worker lease of machine %s has expired; its tasks are released", machine.name)
            machine.expired_incarnation = machine.last_heartbeat_id.incarnation
            self._cluster.release_all(machine, now)
            self._events.notify_changed()
