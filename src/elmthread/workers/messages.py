"""Workers' heartbeats and the commands in the responses, with their wire names."""

from enum import StrEnum
from operator import attrgetter
from typing import Any, NamedTuple

import msgspec

from elmthread.common.clock import seconds

HEARTBEAT_PATH = "/agent/beat"
# A worker gives up waiting for a response after this long, and then tries another controller.
HEARTBEAT_RESPONSE_TIMEOUT = seconds(4)
# Exclusive upper bound of incarnations, sequence numbers, fencing tokens and attempts.
NUMBER_LIMIT = 1 << 64
MAX_TASK_NUMBER_DIGITS = 7


class TaskState(StrEnum):
    """States of a task in a heartbeat; the values are those on the wire."""

    FETCHING = "fetching"
    RUNNING = "running"
    CHECKPOINTING = "saving"
    EXITED = "exited"


class ExitReason(StrEnum):
    """Exit reasons of a task that the leader acts on; the values are those on the wire."""

    COMPLETED = "done"
    FAILED = "error"
    NO_CAPACITY = "no_room"
    ALREADY_RUNNING = "in_use"
    UNKNOWN_JOB = "no_such"


START_REFUSALS = frozenset({ExitReason.NO_CAPACITY, ExitReason.ALREADY_RUNNING, ExitReason.UNKNOWN_JOB})


class TaskId(NamedTuple):
    """A task of a job; tasks are numbered from 0 in each job."""

    job_id: str
    number: int


class TaskStatus(
    msgspec.Struct,
    rename={
        "name": "piece",
        "attempt": "try",
        "state": "status",
        "exit_reason": "cause",
        "has_checkpoint": "saved",
    },
):
    """One task on a machine, as a heartbeat lists it.

    `state` and `exit_reason` hold values of TaskState and ExitReason, or values that this version does not know.
    """

    name: str
    attempt: int
    state: str
    exit_reason: str | None = None
    has_checkpoint: bool = False

    def task_id(self) -> TaskId | None:
        """Return the task that the name denotes; None if the name is malformed."""
        job_id, _, number = self.name.rpartition("/")
        if job_id and number.isdigit() and len(number) <= MAX_TASK_NUMBER_DIGITS:
            return TaskId(job_id, int(number))
        return None


class Heartbeat(
    msgspec.Struct,
    rename={
        "machine": "loom",
        "address": "endpoint",
        "machine_type": "build",
        "zone": "yard",
        "spot": "loaners",
        "incarnation": "shift",
        "sequence": "tally",
        "fencing_token": "baton",
        "interruption_notice_s": "recall_s",
        "tasks": "pieces",
    },
):
    """A worker's status: its machine, the highest fencing token that it has received, and all tasks on it.

    A worker whose lease has expired starts a new `incarnation`; `sequence` numbers its heartbeats.
    """

    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    incarnation: int
    sequence: int
    fencing_token: int
    # Time until the cloud reclaims the spot instance.
    interruption_notice_s: float | None = None
    tasks: list[TaskStatus] = []


_attempt_of = attrgetter("attempt")


def read_heartbeat(body: Any) -> Heartbeat:
    """Return the heartbeat in a decoded body. Raises msgspec.ValidationError."""
    heartbeat = msgspec.convert(body, Heartbeat)
    # A leader steps down for a higher fencing token, so one that can't have been issued must be rejected.
    numbers = (heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token, *map(_attempt_of, heartbeat.tasks))
    if min(numbers) < 0 or max(numbers) >= NUMBER_LIMIT:
        raise msgspec.ValidationError("an incarnation, sequence number, fencing token or attempt is out of range")
    return heartbeat


class HeartbeatHeader(
    msgspec.Struct, rename={"machine": "loom", "incarnation": "shift", "sequence": "tally", "fencing_token": "baton"}
):
    """The fields that identify a heartbeat; a node that is not the leader decodes only these."""

    machine: str
    incarnation: int
    sequence: int
    fencing_token: int


def task_name(job_id: str, number: int) -> str:
    """Return the task's name on the wire."""
    return f"{job_id}/{number}"


class StartCommand(msgspec.Struct, tag_field="verb", tag="start", rename={"task": "piece", "attempt": "try"}):
    """Start an attempt of a task."""

    task: str
    attempt: int


class StopCommand(
    msgspec.Struct,
    tag_field="verb",
    tag="halt",
    rename={"task": "piece", "attempt": "try", "grace_s": "wind_down_s"},
):
    """Stop an attempt of a task; the worker makes a checkpoint first if `grace_s` is long enough."""

    task: str
    attempt: int
    grace_s: float


class RemoveCommand(msgspec.Struct, tag_field="verb", tag="reap", rename={"task": "piece", "attempt": "try"}):
    """Remove an exited attempt from the worker's heartbeats."""

    task: str
    attempt: int


Command = StartCommand | StopCommand | RemoveCommand


class HeartbeatResponse(msgspec.Struct, rename={"fencing_token": "baton", "commands": "orders"}):
    """The leader's response to a heartbeat; the worker executes the commands in their order."""

    fencing_token: int
    commands: list[Command]


class Redirect(msgspec.Struct, omit_defaults=True, rename={"leader": "foreman"}):
    """The response of a node that is not the leader; `leader` is absent if the worker is to try the next node."""

    leader: str | None = None


def redirect_body(leader: str | None) -> dict[str, Any]:
    """Return the body of a redirect to that leader."""
    body: dict[str, Any] = msgspec.to_builtins(Redirect(leader))
    return body
