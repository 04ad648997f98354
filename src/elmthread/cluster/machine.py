"""A machine in the leader's memory: its type, its allocations and its last heartbeat."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum, auto
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from elmthread.cluster.recent_starts import RecentStarts
from elmthread.common.clock import seconds
from elmthread.common.states import transition

if TYPE_CHECKING:
    from elmthread.cluster.allocation import Allocation


class MachineState(Enum):
    """The state of a machine, as far as the leader knows it."""

    BOOTING = auto()  # provisioned by the cloud, has sent no heartbeat yet
    UNCONFIRMED = auto()  # may run its stored assignments; has sent no heartbeat in this term
    UP = auto()
    DELETING = auto()  # its deletion is requested repeatedly until the cloud confirms it
    DELETED = auto()


MACHINE_TRANSITIONS = {
    MachineState.BOOTING: frozenset({MachineState.UP, MachineState.DELETING}),
    MachineState.UNCONFIRMED: frozenset({MachineState.UP, MachineState.DELETING}),
    MachineState.UP: frozenset({MachineState.DELETING}),
    MachineState.DELETING: frozenset({MachineState.DELETED}),
    MachineState.DELETED: frozenset[MachineState](),
}


# How long a new leader counts unconfirmed machines as capacity, and not as silent: about the time until their first
# heartbeat.
FIRST_HEARTBEAT_GRACE = seconds(8)


class InstanceKind(msgspec.Struct, frozen=True):
    """The kind of instance that a request asks for: a machine type in a zone, as spot or on-demand instance."""

    machine_type: str
    zone: str
    spot: bool

    def __str__(self) -> str:
        """Return the kind as it appears in log lines."""
        return f"{self.machine_type} in {self.zone}{' (spot)' if self.spot else ''}"


class HeartbeatId(NamedTuple):
    """Identifies a heartbeat of a machine; a later heartbeat compares as greater.

    A worker whose lease has expired ends its tasks and starts its next incarnation.
    """

    incarnation: int
    sequence: int


# Compares as less than the ID of every heartbeat.
NO_HEARTBEAT = HeartbeatId(0, 0)


@dataclass(slots=True, eq=False, repr=False)
class Machine:
    """One machine: its kind and size, its allocations, and what its heartbeats have shown."""

    name: str
    kind: InstanceKind
    state: MachineState
    # When it was added; for a machine adopted from the cloud's list, when the cloud created it.
    first_seen_at: timedelta

    # The fields of `kind`, for fast access.
    machine_type: str = field(init=False)
    zone: str = field(init=False)
    spot: bool = field(init=False)
    # Set from its type; these defaults apply while the type is not known.
    cpus: float = 0.0
    gpus: float = 0.0
    memory_gb: float = 0.0
    image_fetch_gb_per_s: float = 1.0
    price_per_hour: float = 0.0
    # Whether the cloud's machine list has ever included it.
    was_listed: bool = False

    # Allocations by attempt, and the resources that they use.
    allocations: "dict[int, Allocation]" = field(default_factory=dict)
    cpus_used: float = 0.0
    gpus_used: float = 0.0
    memory_gb_used: float = 0.0
    # CPUs used by urgent jobs including services, and CPUs used by services alone, for autoscaling.
    urgent_cpus: float = 0.0
    service_cpus: float = 0.0
    # Number of allocations by job, and an upper bound of the present size of the machine's stored record.
    task_counts: dict[str, int] = field(default_factory=dict)
    record_bytes: int = 0
    # Attempts whose completion is not durable yet; the worker is told to remove them once it is.
    uncommitted_completions: set[int] = field(default_factory=set)
    # Attempts whose start commands the worker may still execute: it is not told to remove them yet.
    recent_starts: RecentStarts = field(default_factory=RecentStarts)
    # Images in its cache, with their sizes in GB.
    cached_images: dict[str, float] = field(default_factory=dict)

    # The last heartbeat, when it was received, and when the first one of its incarnation was.
    last_heartbeat_id: HeartbeatId = NO_HEARTBEAT
    last_heartbeat_at: timedelta | None = None
    incarnation_since: timedelta = field(init=False)
    # The last incarnation whose lease has expired: heartbeats of it and of earlier ones are ignored.
    expired_incarnation: int = 0
    # Its heartbeat is overdue: it may be hung or down, so it gets no new tasks.
    heartbeat_overdue: bool = False
    # Its whole zone seems to be unreachable: its capacity is not counted, but the machine is kept for a while.
    zone_unreachable: bool = False
    last_response_at: timedelta | None = None
    # Whether its last heartbeat indicates that responses arrive: a response had been sent on the same connection,
    # or the heartbeat followed the previous one sooner than it would after a response timeout.
    receives_responses: bool = False
    # Since when there is evidence that responses to the machine get lost. Heartbeats alone do not prove that
    # commands arrive, so the machine gets no new tasks until its heartbeats show that responses do.
    responses_lost_since: timedelta | None = None
    # Number of consecutive responses whose start commands were lost.
    undelivered_starts: int = 0

    idle_since: timedelta = field(init=False)
    # When the cloud is going to interrupt the spot instance.
    interruption_at: timedelta | None = None
    # Requested for deferrable (not urgent) tasks that would be late; deleted once these no longer need it.
    in_deferrable_pool: bool = False
    # Draining: gets tasks only where no other machine has room.
    draining: bool = False
    draining_since: timedelta | None = None
    # Kept in reserve for services that may not run on spot instances: neither drained nor deleted when idle.
    reserved: bool = False
    failures_by_job: dict[str, int] = field(default_factory=dict)
    # Considered faulty: gets no new tasks.
    quarantined: bool = False

    def __post_init__(self) -> None:
        """Copy the fields of the kind; the machine is idle from `first_seen_at` on."""
        self.machine_type = self.kind.machine_type
        self.zone = self.kind.zone
        self.spot = self.kind.spot
        self.idle_since = self.incarnation_since = self.first_seen_at

    def transition_to(self, new: MachineState) -> None:
        """Change the state. Raises TransitionError for a change that MACHINE_TRANSITIONS does not allow."""
        self.state = transition(self.name, MACHINE_TRANSITIONS, self.state, new)

    @property
    def is_schedulable(self) -> bool:
        """Whether tasks may be placed on the machine."""
        return (
            self.state is MachineState.UP
            and self.interruption_at is None
            and self.responses_lost_since is None
            and not self.quarantined
            and not self.heartbeat_overdue
        )

    @property
    def free_cpus(self) -> float:
        """CPUs that no allocation takes."""
        return self.cpus - self.cpus_used

    @property
    def price_per_core(self) -> float:
        """The price per CPU and hour, 0 while the type is not known."""
        return self.price_per_hour / self.cpus if self.cpus else 0.0

    @property
    def heartbeat_expected(self) -> bool:
        """Whether the machine should send heartbeats."""
        return self.state in (MachineState.UP, MachineState.UNCONFIRMED)

    def is_silent(self, now: timedelta, term_began_at: timedelta) -> bool:
        """Return whether the current leader has received no heartbeat from the machine for longer than expected."""
        if self.state is MachineState.UNCONFIRMED:
            return now - max(self.first_seen_at, term_began_at) > FIRST_HEARTBEAT_GRACE
        return self.heartbeat_overdue

    def provides_capacity(self, now: timedelta) -> bool:
        """Return whether the machine accepts tasks now, or will once it has booted or sent a heartbeat."""
        if self.zone_unreachable:
            return False
        if self.state is MachineState.UNCONFIRMED:
            return now - self.first_seen_at < FIRST_HEARTBEAT_GRACE
        return self.state is MachineState.BOOTING or self.is_schedulable
