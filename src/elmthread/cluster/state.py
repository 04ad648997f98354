"""The leader's view: jobs, machines, and which task may be on which machine.

An allocation says that a task may be on a machine. Allocations are made before a start can be
sent and dropped only on proof that the task is not there, so what is counted here is never
less than what really runs. Quota, zones and the one-copy rule are all judged by allocations.
"""

from collections import deque
from collections.abc import Callable, Iterator
from datetime import datetime, timedelta
from enum import Enum, auto

from elmthread.common.clock import ZERO, seconds
from elmthread.common.states import step
from elmthread.store.job_spec import SERVICE, JobSpec


class JobState(Enum):
    OPEN = "open"
    DONE = "done"
    CANCELLED = "cancelled"


JOB_STEPS = {
    JobState.OPEN: frozenset({JobState.DONE, JobState.CANCELLED}),
    JobState.DONE: frozenset[JobState](),
    JobState.CANCELLED: frozenset[JobState](),
}

RANKS = {"production": 0, "high": 1, "normal": 2, "best_effort": 3}


class Job:
    """A job and its tasks; what is not done, not held and open waits in `pending`."""

    __slots__ = (
        "target_deadline",
        "backoff",
        "tasks_per_chunk",
        "done_count",
        "is_service",
        "deadline",
        "done_bits",
        "failed_machines",
        "last_failure_at",
        "allocation_counts",
        "id",
        "latest_deadline",
        "allocations",
        "pending_tasks",
        "priority_rank",
        "retry_at",
        "running_count",
        "submitted_at",
        "spec",
        "state",
        "durable_state",
        "submission_time",
        "task_count",
        "machine_types",
        "urgent",
        "state_being_written",
        "tasks_by_zone",
    )

    def __init__(
        self,
        spec: JobSpec,
        submitted: datetime,
        since: timedelta,
        deadline: timedelta,
        slack: float,
        urgent: bool,
        chunk: int,
    ) -> None:
        self.id = spec.id
        # Its tasks are replicas: whatever one ends with, it is started again, and none is ever done.
        self.is_service = spec.form == SERVICE
        self.submission_time = submitted
        self.spec = spec
        self.task_count = spec.tasks
        self.machine_types = None if spec.machine_types is None else frozenset(spec.machine_types)
        self.submitted_at = since
        self.deadline = deadline
        # Once its deadline can't be met, the job is to end within `slack` times that; `aim` is
        # the one of the two that it is ordered by now.
        self.latest_deadline = deadline * slack
        self.target_deadline = deadline
        self.urgent = urgent
        self.priority_rank = RANKS[spec.priority]
        self.tasks_per_chunk = chunk
        self.state = JobState.OPEN
        # The state as the store has it, None until the job is durable: only this may be told.
        self.durable_state: JobState | None = None
        # The state in the record that is on its way to the store.
        self.state_being_written = JobState.OPEN
        self.done_bits = bytearray((spec.tasks + 7) // 8)
        self.done_count = 0
        self.pending_tasks: deque[int] = deque(range(spec.tasks))
        self.allocation_counts: dict[int, int] = {}
        self.allocations: dict[int, Allocation] = {}
        # Tasks seen running, for display.
        self.running_count = 0
        self.tasks_by_zone: dict[str, int] = {}
        # Machines on which it failed of late, and when it did last.
        self.failed_machines: set[str] = set()
        self.last_failure_at = ZERO
        self.retry_at = ZERO
        self.backoff = ZERO

    def transition_to(self, new: JobState) -> None:
        self.state = step(self.id, JOB_STEPS, self.state, new)
        if new is not JobState.OPEN:
            self.pending_tasks.clear()
        if new is JobState.DONE:
            # Its end is kept for ever, the marks are not.
            self.done_bits = bytearray()

    def is_done(self, task: int) -> bool:
        return self.state is JobState.DONE or bool(self.done_bits[task >> 3] & (1 << (task & 7)))

    def mark_done(self, task: int) -> bool:
        """True if the task was not done before."""
        if self.is_service or not 0 <= task < self.task_count or self.is_done(task):
            return False
        self.done_bits[task >> 3] |= 1 << (task & 7)
        self.done_count += 1
        return True

    def rebuild_pending_tasks(self) -> None:
        """Finds the waiting tasks anew, after loading."""
        self.pending_tasks = deque(
            task for task in range(self.task_count) if task not in self.allocation_counts and not self.is_done(task)
        )

    @property
    def is_open(self) -> bool:
        return self.state is JobState.OPEN


class AllocationState(Enum):
    PLANNED = auto()  # not yet durable: must not be sent
    COMMITTED = auto()  # durable: goes out with each report's answer until it is seen
    UNCONFIRMED = auto()  # from the store, of an earlier leader: may be there
    FETCHING = auto()
    RUNNING = auto()
    CHECKPOINTING = auto()


SEEN = frozenset({AllocationState.FETCHING, AllocationState.RUNNING, AllocationState.CHECKPOINTING})
ALLOCATION_STEPS = {
    AllocationState.PLANNED: frozenset({AllocationState.COMMITTED}),
    AllocationState.COMMITTED: SEEN,
    AllocationState.UNCONFIRMED: SEEN,
    AllocationState.FETCHING: SEEN,
    AllocationState.RUNNING: SEEN,
    AllocationState.CHECKPOINTING: SEEN,
}


class StopMode(Enum):
    CHECKPOINT = auto()
    KILL = auto()


class Allocation:
    __slots__ = ("attempt", "job", "machine", "start_sent", "started_at", "state", "stop_mode", "task")

    def __init__(self, job: Job, task: int, attempt: int, machine: "Machine", state: AllocationState) -> None:
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.state = state
        self.stop_mode: StopMode | None = None
        self.start_sent = False
        self.started_at: timedelta | None = None

    def transition_to(self, new: AllocationState) -> None:
        if new is self.state:
            return
        self.job.running_count += (new is AllocationState.RUNNING) - (self.state is AllocationState.RUNNING)
        self.state = step(self.job.id, ALLOCATION_STEPS, self.state, new)


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

    def __init__(
        self, name: str, machine_type: str, zone: str, spot: bool, state: MachineState, now: timedelta
    ) -> None:
        self.name = name
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
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
        self.state = step(self.name, MACHINE_STEPS, self.state, new)

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


def entry_size(job_id: str) -> int:
    """Bytes in a machine's record for a job with tasks there: `"ID":[],`, its quotes escaped once more."""
    return len(job_id) + 8


def task_size(task: int, attempt: int) -> int:
    return len(str(task)) + len(str(attempt)) + 2


class ClusterState:
    """All jobs and machines, and the counts that the rules are judged by."""

    def __init__(self, max_record_bytes: int, frame: Callable[[Machine], int] = lambda machine: 0) -> None:
        """`max_record_bytes` bytes is all that a machine's record may take, `frame` what it takes when empty."""
        self.jobs: dict[str, Job] = {}
        self.open_jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        # Machines whose deletion was answered, and when: late lists and reports still name them.
        self.deleted_machines: dict[str, timedelta] = {}
        self.cpus_by_team: dict[str, float] = {}
        self.gpus_by_team: dict[str, float] = {}
        self.max_record_bytes = max_record_bytes
        self._frame = frame
        # Tasks were left without room in the last scheduling round.
        self.has_waiting_tasks = False

    def add_machine(self, machine: Machine) -> None:
        self.machines[machine.name] = machine
        machine.record_bytes = self._frame(machine)

    def record_bytes_left(self, machine: Machine) -> int:
        """Bytes that more assignments may take; below 0 where larger values were allowed once."""
        return self.max_record_bytes - machine.record_bytes

    def add_job(self, job: Job) -> None:
        self.jobs[job.id] = job
        if job.is_open:
            self.open_jobs[job.id] = job

    def remove_machine(self, machine: Machine, now: timedelta) -> None:
        """The machine and all on it are surely gone."""
        self.machines.pop(machine.name, None)
        self.release_all(machine, now)
        # What comes later than this would only be taken for a new machine, and deleted as silent.
        for name in [name for name, at in self.deleted_machines.items() if now - at > REMEMBERED]:
            del self.deleted_machines[name]
        self.deleted_machines[machine.name] = now

    def close_job(self, job: Job, state: JobState) -> None:
        job.transition_to(state)
        self.open_jobs.pop(job.id, None)

    def allocate(self, machine: Machine, job: Job, task: int, attempt: int, state: AllocationState) -> Allocation:
        allocation = Allocation(job, task, attempt, machine, state)
        machine.allocations[attempt] = allocation
        spec = job.spec
        machine.cpus_used += spec.cpus
        if job.urgent:
            machine.urgent_cpus += spec.cpus
        if job.is_service:
            machine.service_cpus += spec.cpus
        if job.id not in machine.task_counts:
            machine.record_bytes += entry_size(job.id)
        machine.task_counts[job.id] = machine.task_counts.get(job.id, 0) + 1
        machine.record_bytes += task_size(task, attempt)
        machine.gpus_used += spec.gpus
        machine.memory_gb_used += spec.ram_gb
        self.cpus_by_team[spec.team] = self.cpus_by_team.get(spec.team, 0.0) + spec.cpus
        self.gpus_by_team[spec.team] = self.gpus_by_team.get(spec.team, 0.0) + spec.gpus
        job.allocation_counts[task] = job.allocation_counts.get(task, 0) + 1
        job.allocations[attempt] = allocation
        job.tasks_by_zone[machine.zone] = job.tasks_by_zone.get(machine.zone, 0) + 1
        return allocation

    def release(self, allocation: Allocation, now: timedelta) -> None:
        """The task is surely not on the machine; if no other allocation has it, it waits again."""
        machine, job, spec = allocation.machine, allocation.job, allocation.job.spec
        del machine.allocations[allocation.attempt]
        machine.cpus_used -= spec.cpus
        if job.urgent:
            machine.urgent_cpus -= spec.cpus
        if job.is_service:
            machine.service_cpus -= spec.cpus
        machine.record_bytes -= task_size(allocation.task, allocation.attempt)
        machine.task_counts[job.id] -= 1
        if not machine.task_counts[job.id]:
            del machine.task_counts[job.id]
            machine.record_bytes -= entry_size(job.id)
        if allocation.state is AllocationState.RUNNING:
            job.running_count -= 1
        machine.gpus_used -= spec.gpus
        machine.memory_gb_used -= spec.ram_gb
        if not machine.allocations:
            machine.cpus_used = machine.gpus_used = machine.memory_gb_used = 0.0
            machine.urgent_cpus = machine.service_cpus = 0.0
            machine.idle_since = now
        self.cpus_by_team[spec.team] -= spec.cpus
        self.gpus_by_team[spec.team] -= spec.gpus
        del job.allocations[allocation.attempt]
        job.tasks_by_zone[machine.zone] -= 1
        if not job.tasks_by_zone[machine.zone]:
            del job.tasks_by_zone[machine.zone]
        job.allocation_counts[allocation.task] -= 1
        if not job.allocation_counts[allocation.task]:
            del job.allocation_counts[allocation.task]
            if job.is_open and not job.is_done(allocation.task):
                job.pending_tasks.appendleft(allocation.task)

    def is_newer_heartbeat(self, machine_name: str, incarnation: int, sequence: int) -> bool:
        """Return whether a machine sent that heartbeat after all that this leader has had of it."""
        machine = self.machines.get(machine_name)
        return machine is not None and (incarnation, sequence) > machine.last_heartbeat_id

    def release_all(self, machine: Machine, now: timedelta) -> None:
        for allocation in list(machine.allocations.values()):
            self.release(allocation, now)

    def up_machines(self) -> Iterator[Machine]:
        return (machine for machine in self.machines.values() if machine.state is MachineState.UP)
