"""What the store holds: the keys and the form of each record.

`j/ID` a job, `d/ID/CHUNK` its done tasks, `m/NAME` a machine's assignments, `r/NAME` a
rental request, `t/types` the machine types. They stand packed in slots (`log.py`), all but
the leader key. An earlier form of the store had one key for each record; `layout` says that
none is to be looked for any more.
"""

from datetime import UTC, datetime

import msgspec

from elmthread.intake.messages import Submission
from elmthread.placement.book import Job, JobState, Machine

LEADER = "leader"
TYPES = "t/types"
LAYOUT = "layout"
# The most tasks in one record of done marks: each finished task writes its record anew.
MOST_MARKS = 1024


def job_key(job_id: str) -> str:
    return f"j/{job_id}"


def done_key(job_id: str, chunk: int) -> str:
    return f"d/{job_id}/{chunk:04d}"


def machine_key(name: str) -> str:
    return f"m/{name}"


def rental_key(name: str) -> str:
    return f"r/{name}"


def chunk_tasks(value_kb: float) -> int:
    """Tasks a chunk of done marks: one hexadecimal digit for four, half the value's limit."""
    return min(MOST_MARKS, max(8, int(value_kb * 1024 / 2) * 4 // 8 * 8))


def most_holds(value_kb: float) -> int:
    """Assignments that surely fit a machine's record: each takes at most a job id and two numbers."""
    return max(1, int((value_kb * 1024 - 400) / 120))


class JobRecord(msgspec.Struct, omit_defaults=True):
    state: str
    tasks: int
    at: float = 0.0
    chunk: int = 0
    spec: Submission | None = None


class DoneRecord(msgspec.Struct):
    marks: str


class MachineRecord(msgspec.Struct, omit_defaults=True):
    build: str
    zone: str
    spot: bool
    pool: bool = False
    # job id -> task, attempt, task, attempt, ...
    holds: dict[str, list[int]] = {}


class RentalRecord(msgspec.Struct):
    build: str
    zone: str
    spot: bool
    pool: bool = False


def job_record(job: Job) -> JobRecord:
    if job.state is not JobState.DONE:
        # Tasks of a cancelled job may be on machines for a while: what they take, and whose
        # limit they count for, must outlive the leader that cancelled it.
        return JobRecord(job.state.value, job.total, job.submitted.timestamp(), job.chunk, job.spec)
    # What is over is kept for ever, so it is kept small.
    return JobRecord(job.state.value, job.total)


def done_record(job: Job, chunk: int) -> DoneRecord:
    low = chunk * job.chunk // 8
    return DoneRecord(bytes(job.done[low : low + job.chunk // 8]).hex())


def mark_done(job: Job, chunk: int, record: DoneRecord) -> None:
    low = chunk * job.chunk
    for index, byte in enumerate(bytes.fromhex(record.marks)):
        if byte:
            for bit in range(8):
                if byte & (1 << bit):
                    job.set_done(low + index * 8 + bit)


def machine_record(machine: Machine) -> MachineRecord:
    holds: dict[str, list[int]] = {}
    for hold in machine.holds.values():
        holds.setdefault(hold.job.id, []).extend((hold.task, hold.attempt))
    return MachineRecord(machine.build, machine.zone, machine.spot, machine.pool, holds)


def submitted_at(record: JobRecord) -> datetime:
    return datetime.fromtimestamp(record.at, UTC)
