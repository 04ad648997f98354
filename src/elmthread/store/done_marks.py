"""The stored forms of a job's done tasks, a record for each chunk of them."""

from collections.abc import Iterator
from typing import Any

import msgspec

from elmthread.cluster.job import Job
from elmthread.common.features import ActiveFeatures, Feature, SupportedLevels

# The most tasks in one record of done marks: each finished task writes its record anew, so a
# record takes a small part of a slot only.
MAX_TASKS_PER_CHUNK = 1024
MARKS_PART = 1 / 32
# Compressed bitmaps seldom come near their largest size, so that one may take more.
BITMAP_PART = 1 / 11


def chunk_tasks(value_kb: float) -> int:
    """Tasks a chunk of done marks: one hexadecimal digit stands for four."""
    return min(MAX_TASKS_PER_CHUNK, max(8, int(value_kb * 1024 * MARKS_PART) * 4 // 8 * 8))


def bitmap_chunk_tasks(value_kb: float) -> int:
    """Tasks a chunk of a compressed bitmap: at the worst, four characters stand for 24 tasks."""
    return min(MAX_TASKS_PER_CHUNK, max(8, int(value_kb * 1024 * BITMAP_PART) * 6 // 8 * 8))


class DoneRecord(msgspec.Struct):
    """Done tasks of a chunk: a bit for each, as hexadecimal digits."""

    marks: str


class DoneBitmapRecord(msgspec.Struct, omit_defaults=True):
    """Done tasks of a chunk as a compressed bitmap (`Feature.DONE_BITMAPS`)."""

    bits: str
    # The bits stand for tasks that are not done.
    inverted: bool = False


def done_record(job: Job, chunk: int, features: ActiveFeatures) -> DoneRecord | DoneBitmapRecord:
    """The done tasks of a chunk, in the newest form that every controller reads."""
    low = chunk * job.tasks_per_chunk // 8
    marks = bytes(job.done_bits[low : low + job.tasks_per_chunk // 8])
    if not features.is_active(Feature.DONE_BITMAPS):
        return DoneRecord(marks.hex())
    from elmthread.store import bitmaps  # its library is loaded only where it is used

    tasks = min(job.tasks_per_chunk, job.task_count - chunk * job.tasks_per_chunk)
    bitmap = bitmaps.compress(marks, tasks)
    return DoneBitmapRecord(bitmap.text, bitmap.inverted)


def read_done(value: Any, supported: SupportedLevels) -> DoneRecord | DoneBitmapRecord:
    """Raises msgspec.ValidationError for a form that this process does not read."""
    if isinstance(value, dict) and "bits" in value and supported.reads(Feature.DONE_BITMAPS):
        return msgspec.convert(value, DoneBitmapRecord)
    return msgspec.convert(value, DoneRecord)


def mark_done(job: Job, chunk: int, record: DoneRecord | DoneBitmapRecord) -> None:
    """Takes in the done tasks of a chunk. Raises ValueError for what is no bitmap of such a chunk."""
    low = chunk * job.tasks_per_chunk
    for task in done_tasks(record, job.tasks_per_chunk):
        job.mark_done(low + task)


def done_tasks(record: DoneRecord | DoneBitmapRecord, most: int) -> Iterator[int]:
    """Numbers of the done tasks within a chunk of at most `most` tasks."""
    if isinstance(record, DoneBitmapRecord):
        from elmthread.store import bitmaps  # its library is loaded only where it is used

        yield from bitmaps.expand(bitmaps.Bitmap(record.bits, record.inverted), most)
        return
    for index, byte in enumerate(bytes.fromhex(record.marks)):
        for bit in range(8):
            if byte & (1 << bit):
                yield index * 8 + bit
