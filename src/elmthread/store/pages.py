"""Pages of packed records: writing many small records costs the store one change per page.

A page is a key `s/NNNN` whose value holds a sequence number and the text of many records. Each
transaction fills pages that hold no current record, so the newest version of a record is the one
in the page with the highest sequence number. Pages are overwritten and never deleted: the modification
revision of a page only grows, so a transaction that compares it is executed at most once.

A deleted record is kept as a null (a tombstone) for as long as any page holds an older version of it:
otherwise a reader would take that version for the newest one.
"""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from itertools import count
from typing import Any

import msgspec

from elmthread.common.errors import ElmthreadError

PAGE_PREFIX = "s/"
# Bytes of a page's value that are reserved for the fields around the text and for quoting the text.
PAGE_OVERHEAD_BYTES = 64
# The tombstone of a deleted record, as JSON.
DELETED = "null"
# Pages are compacted once the number in use exceeds twice what the current records need by more than this.
SPARE_PAGES = 24


class PageRecord(msgspec.Struct):
    """The value of a page: its sequence number, and its records as a JSON object."""

    number: int
    text: str


class UnreadableRecordError(ElmthreadError):
    """A stored page or record can't be read; the message names it, and it is never treated as empty."""


def pack_records(records: dict[str, str]) -> str:
    """Return the text of a page; `records` maps keys to values that are already encoded as JSON."""
    return "{" + ",".join(f"{json_text(key)}:{text}" for key, text in records.items()) + "}"


def page_capacity(value_kb: float) -> int:
    """Return how many bytes the records of one page may take if a value is limited to `value_kb` KiB."""
    return int(value_kb * 1024) - PAGE_OVERHEAD_BYTES


def json_text(value: Any) -> str:
    """Return the value as JSON."""
    return msgspec.json.encode(value).decode()


def record_bytes(key: str, text: str) -> int:
    r"""Return the maximum bytes that a record takes in a page's value, where its quotes are escaped again.

    Non-ASCII characters count as escape sequences (`\u03b1`), as the store may count them so.
    """
    combined = key + text
    size = len(combined) if combined.isascii() else 3 * len(combined.encode("utf-16-le"))
    return size + combined.count('"') + combined.count("\\") + 8


class RecordPage(msgspec.Struct, eq=False):
    """One page: its last known revision, and which of its records are current."""

    key: str
    mod_revision: int = 0
    # The keys of all records in it, current or not.
    keys: frozenset[str] = frozenset()
    # The keys of the records that have no newer durable version, and the total size of these records.
    current: set[str] = msgspec.field(default_factory=set)
    current_bytes: int = 0


class RecordPages:
    """Tracks where the newest durable version of each record is stored, and which pages may be overwritten."""

    def __init__(self, capacity: int) -> None:
        """Start without pages; each holds up to `capacity` bytes of records (`page_capacity`)."""
        self.capacity = capacity
        self.last_number = 0
        self._pages: dict[str, RecordPage] = {}
        self._free: list[RecordPage] = []
        self._allocated: set[str] = set()
        self._page_by_record: dict[str, RecordPage] = {}
        self._texts: dict[str, str] = {}
        # Bytes of all current records, and the keys of pages that were written under a larger limit on values.
        self._current_bytes = 0
        self._oversized: set[str] = set()
        # The number of pages that hold a version of each record.
        self._copies: dict[str, int] = {}

    def load(self, items: Iterable[tuple[str, Any, int]]) -> dict[str, Any]:
        """Read all pages, given as (key, value, revision), and return the newest version of each record.

        Raises UnreadableRecordError, which names the page.
        """
        loaded_pages = []
        for key, value, mod_revision in items:
            try:
                page = msgspec.convert(value, PageRecord)
                records: dict[str, msgspec.Raw] = msgspec.json.decode(page.text, type=dict[str, msgspec.Raw])
            except msgspec.MsgspecError as error:
                raise UnreadableRecordError(f"{key}: {error}") from error
            loaded_pages.append(
                (page.number, key, mod_revision, {name: bytes(raw).decode() for name, raw in records.items()})
            )
        loaded_pages.sort(key=lambda entry: entry[0])
        for number, key, mod_revision, texts in loaded_pages:
            self._set_content(self._pages.setdefault(key, RecordPage(key)), mod_revision, texts)
            self.last_number = max(self.last_number, number)
        return {name: msgspec.json.decode(text) for name, text in self._texts.items() if text != DELETED}

    def __contains__(self, key: str) -> bool:
        """Return whether the record exists: it was written, and not deleted since."""
        return self._texts.get(key, DELETED) != DELETED

    def allocate(self) -> RecordPage:
        """Return a page that may be overwritten; `commit` or `release` must follow."""
        page = self._free.pop() if self._free else self._create()
        self._allocated.add(page.key)
        return page

    def _create(self) -> RecordPage:
        """Create a page under the first unused key.

        Keys may have gaps: of two concurrent transactions, the one for the earlier page can be lost when its
        leader fails. Numbering by the count of pages would then select an existing page, and the comparison
        of its revision would fail for every leader.
        """
        keys = (f"{PAGE_PREFIX}{number:04d}" for number in count())
        key = next(key for key in keys if key not in self._pages)
        page = self._pages[key] = RecordPage(key)
        return page

    def release(self, page: RecordPage) -> None:
        """Free an allocated page that was not written and never will be."""
        self._allocated.discard(page.key)
        self._free.append(page)

    def commit(self, page: RecordPage, mod_revision: int, texts: dict[str, str]) -> None:
        """Record that an allocated page is durable with these records."""
        self._allocated.discard(page.key)
        self._set_content(page, mod_revision, texts)

    def next_number(self) -> int:
        """Return the sequence number for the next page that is written."""
        self.last_number += 1
        return self.last_number

    def _set_content(self, page: RecordPage, mod_revision: int, texts: dict[str, str]) -> None:
        previous, page.mod_revision, page.keys = page.keys, mod_revision, frozenset(texts)
        for key, text in texts.items():
            self._copies[key] = self._copies.get(key, 0) + 1
            old_page = self._page_by_record.get(key)
            if old_page is not None:
                self._supersede(old_page, key)
            self._page_by_record[key] = page
            self._texts[key] = text
            size = record_bytes(key, text)
            page.current.add(key)
            page.current_bytes += size
            self._current_bytes += size
        if page.current_bytes > self.capacity:
            self._oversized.add(page.key)
        for key in previous:
            self._copies[key] -= 1
        for key in (*previous, *texts):
            self._purge_if_deleted(key)
        if not page.current and page.key not in self._allocated and page not in self._free:
            self._free.append(page)

    def _supersede(self, page: RecordPage, key: str) -> None:
        """Mark the page's version of the record as no longer current."""
        size = record_bytes(key, self._texts[key])
        page.current.discard(key)
        page.current_bytes -= size
        self._current_bytes -= size
        if page.current_bytes <= self.capacity:
            self._oversized.discard(page.key)
        if not page.current and page.key not in self._allocated:
            self._free.append(page)

    def _purge_if_deleted(self, key: str) -> None:
        """Forget a deleted record once no page holds an older version of it."""
        page = self._page_by_record.get(key)
        if page is None or self._texts[key] != DELETED or self._copies[key] > 1:
            return
        self._supersede(page, key)
        del self._page_by_record[key], self._texts[key]
        # The null that stays in the page is equivalent to no record.
        page.keys -= {key}
        del self._copies[key]

    @property
    def is_fragmented(self) -> bool:
        """Whether many more pages are in use than the current records need."""
        used = len(self._pages) - len(self._free)
        return used > SPARE_PAGES + 2 * self._current_bytes // self.capacity

    def oversized_records(self, excluded: AbstractSet[str], room: int) -> dict[str, str]:
        """Return as many current records of a page larger than `capacity`, but none in `excluded`, as fit into `room`.

        A page written under a larger limit on values is emptied a few records at a time, as it never fits as a
        whole. A record that is itself too large stays readable in place until a newer version is written.
        """
        moved: dict[str, str] = {}
        for name in self._oversized:
            page = self._pages[name]
            for key in sorted(page.current - excluded):
                size = record_bytes(key, self._texts[key])
                if size <= room:
                    moved[key] = self._texts[key]
                    room -= size
            if moved:
                break
        return moved

    def smallest_page_records(self, excluded: AbstractSet[str], room: int) -> dict[str, str]:
        """Return the current records of the page in which they take the fewest bytes, if that is at most `room`.

        Pages that are allocated, or whose current records include one in `excluded`, are left out.
        """
        smallest: RecordPage | None = None
        for page in self._pages.values():
            if (
                page.current
                and page.key not in self._allocated
                and page.current_bytes <= room
                and (smallest is None or page.current_bytes < smallest.current_bytes)
                and not page.current & excluded
            ):
                smallest = page
        return {} if smallest is None else {key: self._texts[key] for key in smallest.current}
