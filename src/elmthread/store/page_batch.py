"""Packs pending writes into the pages of one transaction."""

import logging

import msgspec

from elmthread.common.clock import ZERO, Clock, seconds
from elmthread.store.pages import RecordPage, RecordPages, json_text, record_bytes
from elmthread.store.token_bucket import TokenBucket
from elmthread.store.write_queue import PendingWrite, WriteQueue

log = logging.getLogger(__name__)

MAX_TRANSACTION_BYTES = 60 * 1024
# For this long after the store has rejected a transaction, each transaction writes only one record; after one has
# exceeded the store's rate limit, each writes only one page.
ISOLATION_TIME = seconds(30)


class WriteLimits(msgspec.Struct, frozen=True):
    """Limits on the writes of one leader."""

    # Puts and deletes per second.
    rate_limit: TokenBucket
    # Maximum number of puts and deletes per transaction.
    max_operations: int


class PageWrite(msgspec.Struct, eq=False):
    """A page that a transaction writes, and its records as JSON by key."""

    page: RecordPage
    # The sequence number that is written into the page.
    number: int
    texts: dict[str, str] = msgspec.field(default_factory=dict)
    size: int = 0


class PageBatch(msgspec.Struct, eq=False):
    """The pages of one transaction, and the writes that they contain."""

    pages: list[PageWrite] = msgspec.field(default_factory=list)
    writes: list[PendingWrite] = msgspec.field(default_factory=list)

    @property
    def page_sizes(self) -> str:
        """The bytes of records in each page, for log messages."""
        return ", ".join(str(page.size) for page in self.pages)

    def has_room(self, size: int, capacity: int) -> bool:
        """Return whether `size` more bytes fit into the last page."""
        return bool(self.pages) and self.pages[-1].size + size <= capacity

    def add(self, write: PendingWrite, text: str, size: int) -> None:
        """Add a record to the last page."""
        page = self.pages[-1]
        page.texts[write.key] = text
        page.size += size
        self.writes.append(write)


class BatchPacker:
    """Selects the writes of the next transaction, within the rate limit and the size limits of the store."""

    def __init__(self, queue: WriteQueue, pages: RecordPages, limits: WriteLimits, clock: Clock) -> None:
        """Take writes from `queue` and pages that may be overwritten from `pages`."""
        self._queue = queue
        self._pages = pages
        self._limits = limits
        self._clock = clock
        self._isolate_records_until = ZERO
        self._isolate_pages_until = ZERO

    @property
    def isolates_records(self) -> bool:
        """Whether each record is written in a transaction of its own for now."""
        return self._clock() < self._isolate_records_until

    def isolate_records(self) -> None:
        """Write one record per transaction for ISOLATION_TIME, to find the one that can't be stored."""
        self._isolate_records_until = self._clock() + ISOLATION_TIME

    def isolate_pages(self) -> None:
        """Write one page per transaction for ISOLATION_TIME, as several exceed the store's rate limit."""
        self._isolate_pages_until = self._clock() + ISOLATION_TIME

    def pack(self) -> PageBatch:
        """Pack pending writes, by priority, into as many pages as the rate limit and the size limits allow."""
        max_pages = self._max_pages()
        isolates_records = self.isolates_records
        capacity = self._pages.capacity
        batch = PageBatch()
        for write in self._queue.ready():
            text = self._value_text(write)
            if text is None:
                continue
            size = record_bytes(write.key, text)
            if size > capacity:
                # Never confirmed as durable, so actions that depend on it are not taken; all other work continues.
                log.error("record %s takes %s bytes, more than a page can hold; it is not written", write.key, size)
                self._queue.remove(write)
                continue
            if isolates_records and batch.pages:
                break
            if not batch.has_room(size, capacity):
                if len(batch.pages) >= max_pages:
                    break
                batch.pages.append(PageWrite(self._pages.allocate(), self._pages.next_number()))
            batch.add(write, text, size)
            self._queue.start(write)
        if batch.pages:
            self._limits.rate_limit.take(len(batch.pages), -self._limits.rate_limit.burst)
            if not isolates_records:
                self._compact(batch.pages[-1])
        return batch

    def _max_pages(self) -> int:
        affordable = max(1, int(self._limits.rate_limit.level()))
        fitting = max(1, MAX_TRANSACTION_BYTES // self._pages.capacity)
        if self._clock() < self._isolate_pages_until:
            return 1
        return min(self._limits.max_operations, affordable, fitting)

    def _value_text(self, write: PendingWrite) -> str | None:
        """Return the record as JSON, or None if a record is to be deleted that does not exist."""
        value = write.make_value()
        if value is None and write.key not in self._pages:
            # There is nothing to delete, so the write is durable without a transaction.
            self._queue.remove(write)
            write.notify_durable()
            return None
        return json_text(value)

    def _compact(self, last: PageWrite) -> None:
        """Move current records of nearly empty and of oversized pages into the last page, which frees those pages."""
        while True:
            excluded, room = self._queue.keys(), self._pages.capacity - last.size
            moved = self._pages.oversized_records(excluded, room)
            if not moved and self._pages.is_fragmented:
                moved = self._pages.smallest_page_records(excluded, room)
            if not moved:
                return
            last.texts |= moved
            last.size += sum(record_bytes(key, text) for key, text in moved.items())
            self._queue.mark_in_flight(moved)
