"""A job and its tasks, as the leader knows them."""

from collections import deque
from datetime import datetime, timedelta
from enum import Enum
from typing import TYPE_CHECKING

from elmthread.common.clock import ZERO
from elmthread.common.states import transition
from elmthread.store.job_spec import SERVICE, JobSpec

if TYPE_CHECKING:
    from elmthread.cluster.allocation import Allocation


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
        self.state = transition(self.id, JOB_STEPS, self.state, new)
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
