"""A rented machine: what it is, what it may hold, and what was last heard of it."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING

from elmthread.common.clock import seconds
from elmthread.common.states import transition

if TYPE_CHECKING:
    from elmthread.cluster.allocation import Allocation


class MachineState(Enum):
    BOOTING = auto()  # rented, has not reported yet
    UNCONFIRMED = auto()  # may hold what the store says; has not reported to this token
    UP = auto()
    DELETING = auto()  # its deletion is asked for until it is answered
    DELETED = auto()


MACHINE_STEPS = {
    MachineState.BOOTING: frozenset({MachineState.UP, MachineState.DELETING}),
    MachineState.UNCONFIRMED: frozenset({MachineState.UP, MachineState.DELETING}),
    MachineState.UP: frozenset({MachineState.DELETING}),
    MachineState.DELETING: frozenset({MachineState.DELETED}),
    MachineState.DELETED: frozenset[MachineState](),
}


# How long the name of a machine that is gone is remembered.
REMEMBERED = seconds(900)
# A new leader counts on machines that it was told of for about as long as they need to report.
SOON_SURE = seconds(8)


@dataclass(frozen=True)
class InstanceKind:
    """What a request for machines names: a machine type in a zone, as spot or ordinary instance."""

    machine_type: str
    zone: str
    spot: bool


class Machine:
    """One rented machine: what it is, what it may hold, and what was last heard of it."""

    __slots__ = (
        "last_response_at",
        "receives_responses",
        "machine_type",
        "gpus",
        "gpus_used",
        "cpus",
        "cpus_used",
        "zone_unreachable",
        "responses_lost_since",
        "idle_since",
        "draining",
        "draining_since",
        "failures_by_job",
        "image_fetch_rate",
        "allocations",
        "cached_images",
        "reserved",
        "first_seen_at",
        "undelivered_starts",
        "name",
        "last_heartbeat_id",
        "in_deferrable_pool",
        "price_per_hour",
        "heartbeat_overdue",
        "memory_gb",
        "memory_gb_used",
        "interruption_at",
        "record_bytes",
        "last_heartbeat_at",
        "incarnation_since",
        "expired_incarnation",
        "spot",
        "service_cpus",
        "state",
        "quarantined",
        "task_counts",
        "uncommitted_completions",
        "urgent_cpus",
        "was_listed",
        "zone",
    )

    def __init__(self, name: str, kind: InstanceKind, state: MachineState, now: timedelta) -> None:
        self.name = name
        self.machine_type = kind.machine_type
        self.zone = kind.zone
        self.spot = kind.spot
        self.state = state
        self.cpus = self.gpus = self.memory_gb = 0.0
        # Cores held by urgent work, and of these by replicas, which have no end; for sizing.
        self.urgent_cpus = 0.0
        self.service_cpus = 0.0
        # Tasks held, by job, and the bytes that the machine's record takes at most.
        self.task_counts: dict[str, int] = {}
        self.record_bytes = 0
        self.cpus_used = self.gpus_used = self.memory_gb_used = 0.0
        self.image_fetch_rate = 1.0
        self.price_per_hour = 0.0
        self.allocations: dict[int, Allocation] = {}
        self.last_heartbeat_id = (0, 0)
        self.expired_incarnation = 0
        self.last_heartbeat_at: timedelta | None = None
        self.last_response_at: timedelta | None = None
        # Its last report came on a connection on which our answer to the one before had arrived.
        self.receives_responses = False
        self.first_seen_at = now
        self.idle_since = now
        self.interruption_at: timedelta | None = None
        # Overdue with its reports: it may hang or be dead, so it gets nothing new.
        self.heartbeat_overdue = False
        # Its whole zone seems to be cut off: it is not counted on, but may well be back.
        self.zone_unreachable = False
        # Since when our answers have not been seen to arrive: reports alone are no proof that
        # commands get through, so it gets nothing new until they are.
        self.responses_lost_since: timedelta | None = None
        self.incarnation_since = now
        self.undelivered_starts = 0
        self.cached_images: dict[str, float] = {}
        self.in_deferrable_pool = False
        # Not needed as things stand: gets work only where no other machine has room.
        self.draining = False
        self.draining_since: timedelta | None = None
        # Stands in reserve for services that may use no spot machine: not returned when empty.
        self.reserved = False
        self.was_listed = False
        self.failures_by_job: dict[str, int] = {}
        self.quarantined = False
        # (job, task, attempt) that exited with done and may be forgotten once that is durable.
        self.uncommitted_completions: dict[int, tuple[str, int]] = {}

    def transition_to(self, new: MachineState) -> None:
        self.state = transition(self.name, MACHINE_STEPS, self.state, new)

    @property
    def is_schedulable(self) -> bool:
        return (
            self.state is MachineState.UP
            and self.interruption_at is None
            and self.responses_lost_since is None
            and not self.quarantined
            and not self.heartbeat_overdue
        )

    @property
    def free_cpus(self) -> float:
        return self.cpus - self.cpus_used

    @property
    def price_per_core(self) -> float:
        return self.price_per_hour / self.cpus if self.cpus else 0.0

    @property
    def heartbeat_expected(self) -> bool:
        """Ought to report."""
        return self.state in (MachineState.UP, MachineState.UNCONFIRMED)

    def is_silent(self, now: timedelta, began: timedelta) -> bool:
        """Ought to have reported to the leader that began then, and has not of late."""
        if self.state is MachineState.UNCONFIRMED:
            return now - max(self.first_seen_at, began) > SOON_SURE
        return self.heartbeat_overdue

    def provides_capacity(self, now: timedelta) -> bool:
        """Takes work now, or will soon: once it has booted, or has reported to a new leader."""
        if self.zone_unreachable:
            return False
        if self.state is MachineState.UNCONFIRMED:
            return now - self.first_seen_at < SOON_SURE
        return self.state is MachineState.BOOTING or self.is_schedulable
