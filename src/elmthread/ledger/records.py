"""What the store holds: the keys and the form of each record.

`j/ID` a job, `d/ID/CHUNK` its done tasks, `m/NAME` a machine's assignments, `r/NAME` a
rental request, `t/types` the machine types. They stand packed in slots (`log.py`), all but
the leader key. An earlier form of the store had one key for each record; `layout` says that
none is to be looked for any more.
"""

from collections.abc import Iterator
from datetime import UTC, datetime
from typing import Any

import msgspec

from elmthread.fleet.messages import Type
from elmthread.intake.messages import Submission
from elmthread.ledger.log import text_of, weight
from elmthread.placement.book import Job, JobState, Machine
from elmthread.rollout.features import ActiveFeatures, Feature, SupportedLevels

LEADER = "leader"
TYPES = "t/types"
LAYOUT = "layout"
# Parts of the machine types, where all of them are more than a value may hold. An earlier version
# passes over them, and asks the cloud, as it does at its first start.
TYPE_PARTS = "y/"
# The most tasks in one record of done marks: each finished task writes its record anew, so a
# record takes a small part of a slot only.
MOST_MARKS = 1024
MARKS_PART = 1 / 32
# Compressed bitmaps seldom come near their largest size, so that one may take more.
BITMAP_PART = 1 / 11


def job_key(job_id: str) -> str:
    return f"j/{job_id}"


def done_key(job_id: str, chunk: int) -> str:
    return f"d/{job_id}/{chunk:04d}"


def machine_key(name: str) -> str:
    return f"m/{name}"


def types_records(types: list[Type], most: int) -> dict[str, list[Type]]:
    """The machine types as one record, or, where that is more than `most` bytes, as one for each."""
    if weight(TYPES, text_of(types)) <= most:
        return {TYPES: types}
    return {f"{TYPE_PARTS}{number:04d}": [kind] for number, kind in enumerate(types)}


def rental_key(name: str) -> str:
    return f"r/{name}"


def chunk_tasks(value_kb: float) -> int:
    """Tasks a chunk of done marks: one hexadecimal digit stands for four."""
    return min(MOST_MARKS, max(8, int(value_kb * 1024 * MARKS_PART) * 4 // 8 * 8))


def bitmap_chunk_tasks(value_kb: float) -> int:
    """Tasks a chunk of a compressed bitmap: at the worst, four characters stand for 24 tasks."""
    return min(MOST_MARKS, max(8, int(value_kb * 1024 * BITMAP_PART) * 6 // 8 * 8))


class JobRecord(msgspec.Struct, omit_defaults=True):
    state: str
    tasks: int
    at: float = 0.0
    chunk: int = 0
    spec: Submission | None = None


class DoneRecord(msgspec.Struct):
    """Done tasks of a chunk: a bit for each, as hexadecimal digits."""

    marks: str


class DoneBitmapRecord(msgspec.Struct, omit_defaults=True):
    """Done tasks of a chunk as a compressed bitmap (`Feature.DONE_BITMAPS`)."""

    bits: str
    # The bits stand for tasks that are not done.
    inverted: bool = False


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
    if job.state is JobState.OPEN:
        return JobRecord(job.state.value, job.total, job.submitted.timestamp(), job.chunk, job.spec)
    if job.state is JobState.CANCELLED:
        # Tasks of a cancelled job may be on machines for a while: what they take, and whose
        # limit they count for, must outlive the leader that cancelled it. Where they may run
        # matters no more: a job with a long list that larger values once took must stay
        # cancellable where values have become smaller.
        spec = msgspec.structs.replace(job.spec, job_class="-", image="-", types=None, zone=None)
        return JobRecord(job.state.value, job.total, job.submitted.timestamp(), job.chunk, spec)
    # What is over is kept for ever, so it is kept small.
    return JobRecord(job.state.value, job.total)


def machine_frame(machine: Machine) -> int:
    """Bytes of a slot that a machine's record takes at most before anything is assigned to it."""
    record = MachineRecord(machine.build, machine.zone, True, True, {"": []})
    return weight(machine_key(machine.name), text_of(record))


def done_record(job: Job, chunk: int, features: ActiveFeatures) -> DoneRecord | DoneBitmapRecord:
    """The done tasks of a chunk, in the newest form that every controller reads."""
    low = chunk * job.chunk // 8
    marks = bytes(job.done[low : low + job.chunk // 8])
    if not features.is_active(Feature.DONE_BITMAPS):
        return DoneRecord(marks.hex())
    from elmthread.ledger import bitmaps  # its library is loaded only where it is used

    tasks = min(job.chunk, job.total - chunk * job.chunk)
    bitmap = bitmaps.compress(marks, tasks)
    return DoneBitmapRecord(bitmap.text, bitmap.inverted)


def read_done(value: Any, supported: SupportedLevels) -> DoneRecord | DoneBitmapRecord:
    """Raises msgspec.ValidationError for a form that this process does not read."""
    if isinstance(value, dict) and "bits" in value and supported.reads(Feature.DONE_BITMAPS):
        return msgspec.convert(value, DoneBitmapRecord)
    return msgspec.convert(value, DoneRecord)


def mark_done(job: Job, chunk: int, record: DoneRecord | DoneBitmapRecord) -> None:
    """Takes in the done tasks of a chunk. Raises ValueError for what is no bitmap of such a chunk."""
    low = chunk * job.chunk
    for task in done_tasks(record, job.chunk):
        job.set_done(low + task)


def done_tasks(record: DoneRecord | DoneBitmapRecord, most: int) -> Iterator[int]:
    """Numbers of the done tasks within a chunk of at most `most` tasks."""
    if isinstance(record, DoneBitmapRecord):
        from elmthread.ledger import bitmaps  # its library is loaded only where it is used

        yield from bitmaps.expand(bitmaps.Bitmap(record.bits, record.inverted), most)
        return
    for index, byte in enumerate(bytes.fromhex(record.marks)):
        for bit in range(8):
            if byte & (1 << bit):
                yield index * 8 + bit


def machine_record(machine: Machine) -> MachineRecord:
    holds: dict[str, list[int]] = {}
    for hold in machine.holds.values():
        holds.setdefault(hold.job.id, []).extend((hold.task, hold.attempt))
    return MachineRecord(machine.build, machine.zone, machine.spot, machine.pool, holds)


def submitted_at(record: JobRecord) -> datetime:
    return datetime.fromtimestamp(record.at, UTC)
