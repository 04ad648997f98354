"""Workers' reports and the commands in their answers; wire words stay here."""

from operator import attrgetter
from typing import Any

import msgspec

from elmthread.common.clock import seconds

# Where workers report to.
HEARTBEAT_PATH = "/agent/beat"
# A worker gives a controller up after this time without a response.
HEARTBEAT_RESPONSE_TIMEOUT = seconds(4)
# Counts, versions, tokens and attempts are smaller than this.
MOST = 1 << 64


class Task(msgspec.Struct, rename={"name": "piece", "attempt": "try", "state": "status", "why": "cause"}):
    name: str
    attempt: int
    state: str
    why: str | None = None
    saved: bool = False

    def split(self) -> tuple[str, int] | None:
        job_id, _, index = self.name.rpartition("/")
        return (job_id, int(index)) if job_id and index.isdigit() and len(index) <= 7 else None


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
    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    incarnation: int
    sequence: int
    fencing_token: int
    interruption_notice_s: float | None = None
    tasks: list[Task] = []


_attempt_of = attrgetter("attempt")


def read_heartbeat(body: Any) -> Heartbeat:
    """Raises msgspec.ValidationError."""
    heartbeat = msgspec.convert(body, Heartbeat)
    # A token is believed: one that can't be would make every leader give way.
    numbers = (heartbeat.incarnation, heartbeat.sequence, heartbeat.fencing_token, *map(_attempt_of, heartbeat.tasks))
    if min(numbers) < 0 or max(numbers) >= MOST:
        raise msgspec.ValidationError("a number is out of range")
    return heartbeat


class Sender(
    msgspec.Struct, rename={"machine": "loom", "incarnation": "shift", "sequence": "tally", "fencing_token": "baton"}
):
    """Who sent it and when, of a report that is not for this node."""

    machine: str
    incarnation: int
    sequence: int
    fencing_token: int


def task_name(job_id: str, task: int) -> str:
    return f"{job_id}/{task}"


START = "start"


def start(name: str, attempt: int) -> dict[str, Any]:
    return {"verb": START, "piece": name, "try": attempt}


def halt(name: str, attempt: int, grace_s: float) -> dict[str, Any]:
    return {"verb": "halt", "piece": name, "try": attempt, "wind_down_s": grace_s}


def reap(name: str, attempt: int) -> dict[str, Any]:
    return {"verb": "reap", "piece": name, "try": attempt}


def orders(fencing_token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": fencing_token, "orders": commands}


def elsewhere(leader: str | None) -> dict[str, Any]:
    return {} if leader is None else {"foreman": leader}
