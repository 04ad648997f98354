"""Chunks of done tasks: how many tasks one record covers, and how to read its two formats."""

from collections.abc import Iterator
from typing import Any

import msgspec

from elmthread.common.features import Feature, SupportedLevels
from elmthread.store.records import DoneBitmapRecord, DoneRecord

MAX_TASKS_PER_CHUNK = 1024
# Each finished task rewrites its chunk, so a chunk may take only a small part of a page.
MAX_MARKS_VALUE_FRACTION = 1 / 32
# Compressed bitmaps seldom reach their maximum size, so they may take more.
MAX_BITMAP_VALUE_FRACTION = 1 / 11


def marks_per_chunk(value_kb: float) -> int:
    """Return the number of tasks in an uncompressed chunk: a string of hexadecimal digits, with one bit per task."""
    return min(MAX_TASKS_PER_CHUNK, max(8, int(value_kb * 1024 * MAX_MARKS_VALUE_FRACTION) * 4 // 8 * 8))


def bits_per_chunk(value_kb: float) -> int:
    """Return the number of tasks in a compressed chunk, where four characters hold 24 tasks in the worst case."""
    return min(MAX_TASKS_PER_CHUNK, max(8, int(value_kb * 1024 * MAX_BITMAP_VALUE_FRACTION) * 6 // 8 * 8))


def read_done(value: Any, supported: SupportedLevels) -> DoneRecord | DoneBitmapRecord:
    """Decode a stored chunk. Raises msgspec.ValidationError for a format that this process does not read."""
    if isinstance(value, dict) and "bits" in value and supported.reads(Feature.DONE_BITMAPS):
        return msgspec.convert(value, DoneBitmapRecord)
    return msgspec.convert(value, DoneRecord)


def done_tasks(record: DoneRecord | DoneBitmapRecord, max_tasks: int) -> Iterator[int]:
    """Yield the indexes of a chunk's done tasks. Raises ValueError for an invalid record or over `max_tasks` bits."""
    if isinstance(record, DoneBitmapRecord):
        from elmthread.store import bitmaps  # loads bitarray only where it is used

        yield from bitmaps.expand(record, max_tasks)
        return
    for index, byte in enumerate(bytes.fromhex(record.marks)):
        for bit in range(8):
            if byte & (1 << bit):
                yield index * 8 + bit
