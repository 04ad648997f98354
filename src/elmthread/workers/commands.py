"""The commands to a worker, derived from its machine's allocations.

Commands are sent only in responses to heartbeats, never to a worker's address. A worker discards a late
response, so a start command is never executed after the worker has built its next heartbeat: if that heartbeat
does not list the task, the task is not on the machine. A start command is repeated in each response until a
heartbeat lists the task.

A worker that has been told to remove an attempt no longer knows it and would execute a copy of its start command once
more. So an attempt is removed only when the worker discards any response that contains its start command.
"""

from datetime import timedelta

from elmthread.cluster.allocation import Allocation, AllocationState, StopMode
from elmthread.cluster.machine import Machine, MachineState
from elmthread.common.clock import extend_for_drift
from elmthread.leadership.context import TermContext
from elmthread.workers import messages
from elmthread.workers.messages import (
    HEARTBEAT_RESPONSE_TIMEOUT,
    Command,
    Heartbeat,
    RemoveCommand,
    StartCommand,
    StopCommand,
    TaskState,
    TaskStatus,
)

MAX_COMMANDS_PER_RESPONSE = 300
# For this long after it was sent, a response may be executed. A worker counts the timeout from its heartbeat.
MAX_RESPONSE_AGE = extend_for_drift(HEARTBEAT_RESPONSE_TIMEOUT)


class CommandPlanner:
    """Derives the commands for a machine from its allocations."""

    def __init__(self, context: TermContext) -> None:
        """Create a planner for the allocations of one term."""
        self._cluster = context.cluster
        self._events = context.events
        self._term = context.term
        self._clock = context.clock

    def commands_for(self, machine: Machine) -> list[Command]:
        """Return stop and then start commands; release unwanted allocations whose start was never sent."""
        has_lease = self._term.holds_lease()
        stops: list[Command] = []
        starts: list[Command] = []
        now = self._clock()
        for allocation in list(machine.allocations.values()):
            job, state = allocation.job, allocation.state
            # Not listed by any heartbeat yet.
            is_unseen = state is AllocationState.PLANNED or state is AllocationState.COMMITTED
            if not job.is_open or job.is_done(allocation.task):
                allocation.stop_mode = StopMode.KILL
            elif allocation.stop_mode is None and not is_unseen:
                # Fast path: the task runs and is to continue.
                continue
            name = messages.task_name(job.id, allocation.task)
            unwanted = _is_unwanted(allocation)
            if unwanted and is_unseen and not allocation.start_sent:
                self._release_unsent(allocation, now)
            elif allocation.stop_mode is not None:
                stops.append(StopCommand(name, allocation.attempt, _grace_s(allocation)))
            elif state is AllocationState.COMMITTED and has_lease and not unwanted:
                allocation.start_sent = True
                machine.recent_starts.record(allocation.attempt, now)
                starts.append(StartCommand(name, allocation.attempt))
        return stops + starts

    def stops_of_closed_jobs(self, heartbeat: Heartbeat) -> list[Command]:
        """Return stop commands for tasks whose jobs have ended, which are safe however old the heartbeat is.

        Each response renews the worker lease. Without these commands, tasks of cancelled jobs would run on if
        leaders changed so often that each sent nothing but its fencing token.
        """
        stops: list[Command] = []
        for task in heartbeat.tasks:
            task_id = task.task_id()
            job = self._cluster.jobs.get(task_id.job_id) if task_id and task.state != TaskState.EXITED else None
            if job is not None and not job.is_open:
                stops.append(StopCommand(task.name, task.attempt, 0.0))
        return stops[:MAX_COMMANDS_PER_RESPONSE]

    def removals_of(self, machine: Machine, exited: list[TaskStatus]) -> list[Command]:
        """Return commands to remove exited tasks whose completions are durable and whose starts are no longer valid."""
        machine.recent_starts.forget_before(self._clock() - MAX_RESPONSE_AGE)
        return [
            RemoveCommand(task.name, task.attempt)
            for task in exited
            if task.attempt not in machine.uncommitted_completions and task.attempt not in machine.recent_starts
        ]

    def _release_unsent(self, allocation: Allocation, now: timedelta) -> None:
        """Release an allocation whose start was not sent, which proves that its task is not on the machine."""
        self._cluster.release(allocation, now)
        self._events.notify_changed()


def _is_unwanted(allocation: Allocation) -> bool:
    machine = allocation.machine
    return (
        allocation.stop_mode is not None
        or machine.state is not MachineState.UP
        or machine.responses_lost_since is not None
    )


def _grace_s(allocation: Allocation) -> float:
    spec = allocation.job.spec
    makes_checkpoint = allocation.stop_mode is StopMode.CHECKPOINT and spec.makes_checkpoints
    return spec.checkpoint_duration_s if makes_checkpoint else 0.0
