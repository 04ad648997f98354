"""A job and its tasks, as the leader keeps them in memory."""

from collections import deque
from dataclasses import InitVar, dataclass, field
from datetime import datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from elmthread.common.clock import ZERO
from elmthread.common.states import transition
from elmthread.store.job_spec import SERVICE, JobSpec

if TYPE_CHECKING:
    from elmthread.cluster.allocation import Allocation


class JobState(Enum):
    """The state of a job; the values are those of its stored record."""

    OPEN = "open"
    DONE = "done"
    CANCELLED = "cancelled"


JOB_TRANSITIONS = {
    JobState.OPEN: frozenset({JobState.DONE, JobState.CANCELLED}),
    JobState.DONE: frozenset[JobState](),
    JobState.CANCELLED: frozenset[JobState](),
}

# The order in which jobs are placed; lower ranks come first.
PRIORITY_RANKS = {"production": 0, "high": 1, "normal": 2, "best_effort": 3}


class JobPolicy(msgspec.Struct, frozen=True):
    """The policy that the operators' expressions and the objectives give a job when it is created."""

    # Time after submission by which the job is to be done.
    deadline: timedelta
    # Multiple of the deadline that applies instead once the deadline can't be met.
    latest_deadline_factor: float
    # Whether the job may preempt others, and machines are requested for it immediately.
    urgent: bool


@dataclass(slots=True, eq=False, repr=False)
class Job:
    """A job and its tasks: each task is done, allocated to machines, or pending."""

    spec: JobSpec
    # When the job was submitted, by the wall clock and by this process's monotonic clock.
    submission_time: datetime
    submitted_at: timedelta
    policy: InitVar[JobPolicy]
    # Number of tasks that one stored record of done tasks covers.
    tasks_per_chunk: int

    id: str = field(init=False)
    # The tasks of a service are replicas: each is restarted however it ends, and none is ever done.
    is_service: bool = field(init=False)
    task_count: int = field(init=False)
    # The machine types that the job may run on; None if it may run on any.
    machine_types: frozenset[str] | None = field(init=False)
    priority_rank: int = field(init=False)
    urgent: bool = field(init=False)
    # Relative to the submission: the deadline, the later one that applies once the first can't be met, and
    # the one of the two that placement uses now.
    deadline: timedelta = field(init=False)
    latest_deadline: timedelta = field(init=False)
    target_deadline: timedelta = field(init=False)

    state: JobState = JobState.OPEN
    # The state in the store, None until the job is durable. Only this state is shown to users.
    durable_state: JobState | None = None
    # The state in the record that is being written to the store.
    state_being_written: JobState = JobState.OPEN

    # A bitmap of the done tasks, with the least significant bit of each byte first.
    done_bits: bytearray = field(init=False)
    done_count: int = 0
    pending_tasks: deque[int] = field(init=False)
    # Allocations by attempt, and how many there are of each task and in each zone.
    allocations: "dict[int, Allocation]" = field(default_factory=dict)
    allocation_counts: dict[int, int] = field(default_factory=dict)
    tasks_by_zone: dict[str, int] = field(default_factory=dict)
    # Number of tasks that heartbeats list as running.
    running_count: int = 0

    # Machines on which the job failed recently, which it avoids, and the time of its last failure.
    failed_machines: set[str] = field(default_factory=set)
    last_failure_at: timedelta = ZERO
    # No task is started before `retry_at`; `backoff` is the last delay.
    retry_at: timedelta = ZERO
    backoff: timedelta = ZERO

    def __post_init__(self, policy: JobPolicy) -> None:
        """Initialize the fields derived from the specification and the policy; all tasks are pending."""
        spec = self.spec
        self.id = spec.id
        self.is_service = spec.form == SERVICE
        self.task_count = spec.tasks
        self.machine_types = None if spec.machine_types is None else frozenset(spec.machine_types)
        self.priority_rank = PRIORITY_RANKS[spec.priority]
        self.urgent = policy.urgent
        self.deadline = self.target_deadline = policy.deadline
        self.latest_deadline = policy.deadline * policy.latest_deadline_factor
        self.done_bits = bytearray((spec.tasks + 7) // 8)
        self.pending_tasks = deque(range(spec.tasks))

    @property
    def is_open(self) -> bool:
        """Whether the job is neither done nor cancelled."""
        return self.state is JobState.OPEN

    def transition_to(self, new: JobState) -> None:
        """Change the state. Raises TransitionError for a change that JOB_TRANSITIONS does not allow."""
        self.state = transition(self.id, JOB_TRANSITIONS, self.state, new)
        if new is not JobState.OPEN:
            self.pending_tasks.clear()
        if new is JobState.DONE:
            # Done jobs are never removed, so the bitmap of their tasks is dropped to save memory.
            self.done_bits = bytearray()

    def is_done(self, task: int) -> bool:
        """Return whether the task is done."""
        return self.state is JobState.DONE or bool(self.done_bits[task >> 3] & (1 << (task & 7)))

    def mark_done(self, task: int) -> bool:
        """Mark a task as done; return False if it already is, is a replica, or does not exist."""
        if self.is_service or not 0 <= task < self.task_count or self.is_done(task):
            return False
        self.done_bits[task >> 3] |= 1 << (task & 7)
        self.done_count += 1
        return True

    def rebuild_pending_tasks(self) -> None:
        """Recompute the pending tasks after the done tasks and the allocations have been loaded."""
        self.pending_tasks = deque(
            task for task in range(self.task_count) if task not in self.allocation_counts and not self.is_done(task)
        )
