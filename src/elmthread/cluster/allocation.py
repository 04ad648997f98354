"""Allocations: which task may be on which machine.

An allocation is created before a start command can be sent, and released only once the task is proven not to
be on the machine, so allocations never account for less than what actually runs. Quotas, zone constraints and
the limit of one copy per task are checked against allocations.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto

from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.common.states import transition


class AllocationState(Enum):
    """The state of a task on its machine, as far as the leader knows it."""

    PLANNED = auto()  # not yet durable: its start must not be sent
    COMMITTED = auto()  # durable: its start is sent in each response until a heartbeat lists the task
    UNCONFIRMED = auto()  # loaded from the store, from an earlier term: the task may be on the machine
    FETCHING = auto()
    RUNNING = auto()
    CHECKPOINTING = auto()


# The states of a task that a heartbeat has listed.
OBSERVED_STATES = frozenset({AllocationState.FETCHING, AllocationState.RUNNING, AllocationState.CHECKPOINTING})
ALLOCATION_TRANSITIONS = {
    AllocationState.PLANNED: frozenset({AllocationState.COMMITTED}),
    AllocationState.COMMITTED: OBSERVED_STATES,
    AllocationState.UNCONFIRMED: OBSERVED_STATES,
    AllocationState.FETCHING: OBSERVED_STATES,
    AllocationState.RUNNING: OBSERVED_STATES,
    AllocationState.CHECKPOINTING: OBSERVED_STATES,
}


class StopMode(Enum):
    """How a task is to be stopped."""

    CHECKPOINT = auto()  # with time to write a checkpoint, if its job makes checkpoints
    KILL = auto()  # immediately


@dataclass(slots=True, eq=False, repr=False)
class Allocation:
    """One attempt of a task on a machine."""

    job: Job
    task: int
    attempt: int
    machine: Machine
    state: AllocationState
    # How the task is to be stopped; None while it is not to be stopped.
    stop_mode: StopMode | None = None
    start_sent: bool = False
    # When a heartbeat first listed the task as running.
    started_at: timedelta | None = None

    def transition_to(self, new: AllocationState) -> None:
        """Change the state. Raises TransitionError for a change that ALLOCATION_TRANSITIONS does not allow."""
        if new is self.state:
            return
        self.job.running_count += (new is AllocationState.RUNNING) - (self.state is AllocationState.RUNNING)
        self.state = transition(self.job.id, ALLOCATION_TRANSITIONS, self.state, new)
