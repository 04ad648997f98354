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
    """What the operators' rules decide for a job when it is submitted."""

    # How long after its submission the job is to be done.
    deadline: timedelta
    # Once the deadline can't be met, the job is to be done within this multiple of it.
    slack: float
    # Whether the job may preempt others and has machines requested at once.
    urgent: bool


@dataclass(slots=True, eq=False, repr=False)
class Job:
    """A job and its tasks: each task is done, allocated to machines, or pending."""

    spec: JobSpec
    # When it was submitted, by the calendar and by this process's clock.
    submission_time: datetime
    submitted_at: timedelta
    policy: InitVar[JobPolicy]
    tasks_per_chunk: int

    id: str = field(init=False)
    # The tasks of a service are replicas: however one ends, it is started again, and none is ever done.
    is_service: bool = field(init=False)
    task_count: int = field(init=False)
    # The machine types that it may run on; None if it may run on any.
    machine_types: frozenset[str] | None = field(init=False)
    priority_rank: int = field(init=False)
    urgent: bool = field(init=False)
    # Times after the submission: the deadline, the later one that applies once the first can't be met, and
    # the one of the two that placement uses now.
    deadline: timedelta = field(init=False)
    latest_deadline: timedelta = field(init=False)
    target_deadline: timedelta = field(init=False)

    state: JobState = JobState.OPEN
    # The state in the store, None until the job is durable. Users are shown only this one.
    durable_state: JobState | None = None
    # The state in the record that is being written to the store.
    state_being_written: JobState = JobState.OPEN

    # One bit for each done task, the lowest of each byte first.
    done_bits: bytearray = field(init=False)
    done_count: int = 0
    pending_tasks: deque[int] = field(init=False)
    # Allocations by attempt, and how many there are of each task and in each zone.
    allocations: "dict[int, Allocation]" = field(default_factory=dict)
    allocation_counts: dict[int, int] = field(default_factory=dict)
    tasks_by_zone: dict[str, int] = field(default_factory=dict)
    # Tasks that heartbeats list as running.
    running_count: int = 0

    # Machines on which it failed recently, which it avoids, and when it failed last.
    failed_machines: set[str] = field(default_factory=set)
    last_failure_at: timedelta = ZERO
    # No task is started before `retry_at`; `backoff` is the last pause.
    retry_at: timedelta = ZERO
    backoff: timedelta = ZERO

    def __post_init__(self, policy: JobPolicy) -> None:
        """Derive what follows from the specification and the policy; all tasks are pending."""
        spec = self.spec
        self.id = spec.id
        self.is_service = spec.form == SERVICE
        self.task_count = spec.tasks
        self.machine_types = None if spec.machine_types is None else frozenset(spec.machine_types)
        self.priority_rank = PRIORITY_RANKS[spec.priority]
        self.urgent = policy.urgent
        self.deadline = self.target_deadline = policy.deadline
        self.latest_deadline = policy.deadline * policy.slack
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
            # The record of an ended job is never deleted, so the bits of its tasks are not kept in it.
            self.done_bits = bytearray()

    def is_done(self, task: int) -> bool:
        """Return whether the task is done."""
        return self.state is JobState.DONE or bool(self.done_bits[task >> 3] & (1 << (task & 7)))

    def mark_done(self, task: int) -> bool:
        """Mark a task as done; return False if it was done before or can't be done."""
        if self.is_service or not 0 <= task < self.task_count or self.is_done(task):
            return False
        self.done_bits[task >> 3] |= 1 << (task & 7)
        self.done_count += 1
        return True

    def rebuild_pending_tasks(self) -> None:
        """Find the pending tasks, after the done tasks and the allocations were loaded."""
        self.pending_tasks = deque(
            task for task in range(self.task_count) if task not in self.allocation_counts and not self.is_done(task)
        )
