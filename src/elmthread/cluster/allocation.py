"""Which task may be on which machine.

An allocation says that a task may be on a machine. Allocations are made before a start can be
sent and released only on proof that the task is not there, so what is counted here is never
less than what really runs. Quota, zones and the one-copy rule are all judged by allocations.
"""

from datetime import timedelta
from enum import Enum, auto

from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.common.states import transition


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

    def __init__(self, job: Job, task: int, attempt: int, machine: Machine, state: AllocationState) -> None:
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
        self.state = transition(self.job.id, ALLOCATION_STEPS, self.state, new)
