"""Compressed bitmaps of done tasks: round trips, invalid bitmaps and sizes."""

import base64
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.store.bitmaps import compress, expand
from elmthread.store.done_marks import MAX_TASKS_PER_CHUNK, bits_per_chunk, marks_per_chunk
from elmthread.store.records import DoneBitmapRecord


@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(st.integers(1, MAX_TASKS_PER_CHUNK), st.sampled_from([0.0, 0.02, 0.5, 0.98, 1.0]), st.integers(0, 10_000))
def test_bitmap_round_trip(count: int, done_share: float, seed: int) -> None:
    rng = random.Random(seed)
    done = {task for task in range(count) if rng.random() < done_share}
    marks = bytearray((count + 7) // 8)
    for task in done:
        marks[task >> 3] |= 1 << (task & 7)
    bitmap = compress(bytes(marks), count)
    assert set(expand(bitmap, MAX_TASKS_PER_CHUNK)) == done
    # Never much larger than the uncompressed bits; empty and full bitmaps are small.
    assert len(bitmap.bits) <= (count + 7) // 8 * 4 / 3 + 20
    if len(done) in (0, count):
        assert len(bitmap.bits) <= 8


@pytest.mark.parametrize(
    "text",
    ["", "%%%", "AAAA" * 9, base64.b64encode(b"\xff\xff\xff").decode(), base64.b64encode(b"\x01\x10 ").decode()],
)
def test_invalid_bitmap_is_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        list(expand(DoneBitmapRecord(text, False), 64))


def test_a_bitmap_of_more_tasks_than_its_chunk_is_rejected() -> None:
    bitmap = compress(bytes(32), 256)
    with pytest.raises(ValueError, match="256 bits; at most 64"):
        list(expand(bitmap, 64))


@pytest.mark.parametrize("value_kb", [0.7, 1.0, 2.0, 8.0, 16.0])
def test_done_record_takes_a_small_part_of_a_value(value_kb: float) -> None:
    tasks = bits_per_chunk(value_kb)
    assert tasks % 8 == 0 and 8 <= tasks <= MAX_TASKS_PER_CHUNK
    largest = compress(bytes([0b01010101] * (tasks // 8)), tasks)
    assert len(largest.bits) <= max(24.0, value_kb * 1024 / 8)
    # The format of compatibility level 1 has one hexadecimal digit per four tasks.
    assert marks_per_chunk(value_kb) / 4 <= max(2.0, value_kb * 1024 / 32)
