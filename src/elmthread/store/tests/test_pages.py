"""Pages of packed records: sizes, unreadable pages, and pages written under a larger limit on values."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.store.done_marks import marks_per_chunk
from elmthread.store.pages import (
    PAGE_OVERHEAD_BYTES,
    RecordPages,
    UnreadableRecordError,
    json_text,
    pack_records,
    page_capacity,
    record_bytes,
)

MAX_VALUE_BYTES = 2 * 1024


def test_error_for_an_unreadable_page_names_it() -> None:
    for value in ({"number": 1, "text": "{"}, {"text": "{}"}, "{}", {"number": 1, "text": "[]"}):
        with pytest.raises(UnreadableRecordError, match="s/0003"):
            RecordPages(MAX_VALUE_BYTES).load([("s/0003", value, 5)])


@settings(max_examples=100, deadline=None, derandomize=True, database=None)
@given(st.dictionaries(st.text(max_size=8), st.text(max_size=40), max_size=6))
def test_record_bytes_are_an_upper_bound(records: dict[str, str]) -> None:
    """If sizes were underestimated (as for non-ASCII names), the store would reject the value on every attempt."""
    texts = {key: json_text(value) for key, value in records.items()}
    encoded_bytes = len(json.dumps(pack_records(texts)))
    assert sum(record_bytes(key, text) for key, text in texts.items()) + PAGE_OVERHEAD_BYTES >= encoded_bytes


def test_records_fit_the_value_limit() -> None:
    for kilobytes in (1.0, 8.0, 16.0):
        assert marks_per_chunk(kilobytes) / 4 + 50 < kilobytes * 1024


def test_oversized_pages_are_emptied_a_few_records_at_a_time() -> None:
    """After the limit on values was lowered, the records of a larger page move to pages of the new capacity."""
    large = RecordPages(page_capacity(16))
    texts = {f"j/{number}": json_text("x" * 300) for number in range(40)}
    texts["j/long"] = json_text("y" * 3000)
    page = large.allocate()
    large.commit(page, 5, texts)
    small = RecordPages(page_capacity(2))
    small.load([(page.key, {"number": 7, "text": pack_records(texts)}, 5)])
    moved: dict[str, str] = {}
    for mod_revision in range(6, 40):
        batch = small.oversized_records(set(), small.capacity)
        if not batch:
            break
        assert sum(record_bytes(key, text) for key, text in batch.items()) <= small.capacity
        small.commit(small.allocate(), mod_revision, batch)
        moved |= batch
    # Only a record that is itself too large stays in the old page, where it is readable.
    assert set(texts) - set(moved) <= {"j/long"} | {key for key in texts if key not in moved}
    assert "j/long" not in moved and "j/long" in small
    assert len(moved) >= 34
    # Once a newer, smaller version of it is written, the large page can be reused.
    small.commit(small.allocate(), 50, {"j/long": json_text("z")})
    assert not small._oversized
