"""Chunks of done tasks: how many tasks go into one record, and reading both forms of it."""

from collections.abc import Iterator
from typing import Any

import msgspec

from elmthread.common.features import Feature, SupportedLevels
from elmthread.store.records import DoneBitmapRecord, DoneRecord

MAX_TASKS_PER_CHUNK = 1024
# Each finished task rewrites its chunk, so a chunk takes only a small part of a page.
MAX_MARKS_VALUE_FRACTION = 1 / 32
# Compressed bitmaps seldom reach their largest size, so they may take more.
MAX_BITMAP_VALUE_FRACTION = 1 / 11


def marks_per_chunk(value_kb: float) -> int:
    """Return the tasks in a chunk of plain marks, where a hexadecimal digit holds four tasks."""
    return min(MAX_TASKS_PER_CHUNK, max(8, int(value_kb * 1024 * MAX_MARKS_VALUE_FRACTION) * 4 // 8 * 8))


def bits_per_chunk(value_kb: float) -> int:
    """Return the tasks in a chunk of a compressed bitmap, where four characters hold 24 tasks at the worst."""
    return min(MAX_TASKS_PER_CHUNK, max(8, int(value_kb * 1024 * MAX_BITMAP_VALUE_FRACTION) * 6 // 8 * 8))


def read_done(value: Any, supported: SupportedLevels) -> DoneRecord | DoneBitmapRecord:
    """Return a stored chunk. Raises msgspec.ValidationError for a form that this process does not read."""
    if isinstance(value, dict) and "bits" in value and supported.reads(Feature.DONE_BITMAPS):
        return msgspec.convert(value, DoneBitmapRecord)
    return msgspec.convert(value, DoneRecord)


def done_tasks(record: DoneRecord | DoneBitmapRecord, max_tasks: int) -> Iterator[int]:
    """Yield the numbers of the done tasks within a chunk. Raises ValueError for what is no bitmap of `max_tasks`."""
    if isinstance(record, DoneBitmapRecord):
        from elmthread.store import bitmaps  # its library is loaded only where it is used

        yield from bitmaps.expand(record, max_tasks)
        return
    for index, byte in enumerate(bytes.fromhex(record.marks)):
        for bit in range(8):
            if byte & (1 << bit):
                yield index * 8 + bit
