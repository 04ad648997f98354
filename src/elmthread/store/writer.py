"""Group commit: changed records are packed into few pages and written within the configured rate limits.

Every transaction compares the revision of the leader key and of each page that it writes. The first
comparison keeps a former leader from writing. The second keeps a transaction that is applied late or twice
from overwriting newer records, as a page's revision only grows. A transaction whose outcome is unknown is
sent again unchanged until the store responds to it.
"""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Protocol

import msgspec

from elmthread.common.clock import Clock, seconds
from elmthread.common.errors import ElmthreadError
from elmthread.store import messages
from elmthread.store.client import (
    ConflictError,
    KeyValueStore,
    RateLimitedError,
    RejectedTransactionError,
    StoreUnavailableError,
    UnknownOutcomeError,
)
from elmthread.store.page_batch import BatchPacker, PageBatch, PageWrite, WriteLimits
from elmthread.store.pages import PageRecord, RecordPages, pack_records
from elmthread.store.records import LEADER_KEY
from elmthread.store.write_queue import MakeValue, WritePriority, WriteQueue

log = logging.getLogger(__name__)

# Two, so that one slow response does not delay all writes.
CONCURRENT_TRANSACTIONS = 2
RETRY_PAUSE = seconds(0.25)
# Minimum time between two checks of the queue: writes added in between go into one transaction.
MIN_BATCHING_DELAY = seconds(0.05)


class WriterStoppedError(ElmthreadError):
    """The writer of a term stopped before the record was confirmed as durable."""


class WriterTerm(Protocol):
    """The term under which records are written."""

    @property
    def fencing_token(self) -> int:
        """The revision of the leader key, which each transaction compares."""

    def end_after_conflict(self) -> None:
        """End the term, if it is still the current one, as a transaction has detected another leader."""


class RecordWriter:
    """Makes records durable for one term."""

    def __init__(
        self, client: KeyValueStore, pages: RecordPages, term: WriterTerm, limits: WriteLimits, clock: Clock
    ) -> None:
        """Write to `client` under the fencing token of `term`; `pages` tracks where each record is stored."""
        self._client = client
        self.pages = pages
        self._term = term
        self._rate_limit = limits.rate_limit
        self._clock = clock
        self.queue = WriteQueue(clock)
        self._packer = BatchPacker(self.queue, pages, limits, clock)
        self._futures: set[asyncio.Future[None]] = set()
        self._stopped = False
        # Since when transactions have failed, None if the last succeeded; users' requests are refused if this lasts.
        self.failing_since: timedelta | None = None

    @property
    def max_record_bytes(self) -> int:
        """Bytes that one record may take in a page."""
        return self.pages.capacity

    def write(
        self,
        key: str,
        priority: WritePriority,
        make_value: MakeValue,
        on_durable: Callable[[], None] | None = None,
    ) -> None:
        """Queue a write of the record; `on_durable` is called once its value, or a newer one, is durable."""
        self.queue.add(key, priority, make_value, on_durable)

    def delete(self, key: str) -> None:
        """Queue the deletion of the record, if it exists or a write of it is queued or in flight."""
        if key in self.pages or key in self.queue:
            self.write(key, WritePriority.MAINTENANCE, lambda: None)

    def write_and_wait(
        self, key: str, priority: WritePriority, make_value: MakeValue, on_durable: Callable[[], None]
    ) -> asyncio.Future[None]:
        """Return a future that is done once the record is durable; `on_durable` is called right before that.

        The future fails with WriterStoppedError if the term ends first.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._stopped:
            future.set_exception(WriterStoppedError())
            return future
        self._futures.add(future)
        future.add_done_callback(self._futures.discard)
        self.write(key, priority, make_value, partial(_notify_and_resolve, on_durable, future))
        return future

    def stop(self) -> None:
        """Send no further transaction, and fail all futures of `write_and_wait`."""
        self._stopped = True
        for future in list(self._futures):
            if not future.done():
                future.set_exception(WriterStoppedError())

    async def run(self) -> None:
        """Write queued records until cancelled."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CONCURRENT_TRANSACTIONS):
                group.create_task(self._write_batches())

    async def _write_batches(self) -> None:
        while True:
            await self._wait_until_due()
            batch = self._packer.pack()
            if not batch.pages:
                continue
            try:
                await self._commit(batch)
            finally:
                self.queue.finish(*(page.texts for page in batch.pages))

    async def _wait_until_due(self) -> None:
        """Wait until a pending write is due and the rate limit allows a change."""
        while True:
            now = self._clock()
            due = self.queue.next_due()
            if due is not None and due <= now and self._rate_limit.level() >= 1.0:
                return
            self.queue.changed.clear()
            pause = None if due is None else max(due - now, self._rate_limit.time_until(), MIN_BATCHING_DELAY)
            try:
                async with asyncio.timeout(None if pause is None else pause.total_seconds()):
                    await self.queue.changed.wait()
            except TimeoutError:
                continue
            if due is not None:
                await asyncio.sleep(MIN_BATCHING_DELAY.total_seconds())

    async def _commit(self, batch: PageBatch) -> None:
        """Send the batch as one transaction until its outcome is known, or the term has ended."""
        comparisons = [messages.compare(LEADER_KEY, self._term.fencing_token)]
        comparisons += [messages.compare(write.page.key, write.page.mod_revision) for write in batch.pages]
        puts = [
            messages.put(write.page.key, PageRecord(write.number, pack_records(write.texts))) for write in batch.pages
        ]
        may_be_applied = False
        while not self._stopped:
            try:
                revision = await self._client.compare_and_swap(comparisons, puts)
            except StoreUnavailableError as error:
                log.info("a transaction was not executed, sending it again: %s", error)
                await self._pause_after_failure()
                if isinstance(error, RateLimitedError) and self._split_after_rate_limit(batch, may_be_applied):
                    return
            except UnknownOutcomeError as error:
                # It may have been applied, or may still be. Sent again unchanged, it is applied only if it was
                # not before: otherwise the comparisons with the pages' revisions fail.
                log.info("the outcome of a transaction is unknown, sending it again: %s", error)
                may_be_applied = True
                await self._pause_after_failure()
            except RejectedTransactionError as error:
                log.error(
                    "the key-value store refuses a transaction with pages of %s bytes: %s", batch.page_sizes, error
                )
                if may_be_applied:
                    # An earlier attempt may still be applied; only a new fencing token prevents that.
                    raise
                self._requeue_rejected(batch)
                return
            except ConflictError as conflict:
                await self._resolve_conflict(batch, conflict)
                return
            else:
                self._committed(batch, revision)
                return

    async def _pause_after_failure(self) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock()
        await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _split_after_rate_limit(self, batch: PageBatch, may_be_applied: bool) -> bool:
        """Requeue a batch of several pages, as one that exceeds the store's rate would be refused every time.

        Returns whether it was requeued; one that may be applied must be sent again unchanged.
        """
        self._rate_limit.drain()
        if len(batch.pages) <= 1 or may_be_applied:
            return False
        self._packer.isolate_pages()
        self._requeue(batch)
        return True

    def _requeue_rejected(self, batch: PageBatch) -> None:
        """Queue the rejected writes again, each record for a transaction of its own.

        A record that is rejected alone is dropped, like one that is too large: actions that depend on it
        are not taken, and all other work continues. Stepping down would not help, as the next leader would send the
        same transaction.
        """
        if len(batch.writes) == 1 and self._packer.isolates_records:
            log.error("record %s can't be stored: the key-value store refuses it", batch.writes[0].key)
            batch.writes.clear()
        else:
            self._packer.isolate_records()
        self._requeue(batch)

    def _requeue(self, batch: PageBatch) -> None:
        for write in batch.pages:
            self.pages.release(write.page)
        self.queue.requeue(batch.writes)

    async def _resolve_conflict(self, batch: PageBatch, conflict: ConflictError) -> None:
        """Commit a batch that an earlier attempt has written; end the term if another leader has written."""
        revision = None if LEADER_KEY in conflict.failed else await self._revision_if_written(batch.pages[0])
        if revision is None:
            log.info("leadership lost: the keys %s were changed by another leader", conflict.failed)
            self._term.end_after_conflict()
            return
        self._committed(batch, revision)

    async def _revision_if_written(self, write: PageWrite) -> int | None:
        """Return the revision of the page if it holds what was sent; None if it does not or this writer is stopped."""
        while not self._stopped:
            try:
                item = await self._client.get(write.page.key)
            except (StoreUnavailableError, UnknownOutcomeError):
                await asyncio.sleep(RETRY_PAUSE.total_seconds())
                continue
            if item is None or msgspec.convert(item.value, PageRecord).number != write.number:
                return None
            return item.mod_revision
        return None

    def _committed(self, batch: PageBatch, revision: int) -> None:
        self.failing_since = None
        for page_write in batch.pages:
            self.pages.commit(page_write.page, revision, page_write.texts)
        for write in batch.writes:
            write.notify_durable()


def _notify_and_resolve(on_durable: Callable[[], None], future: asyncio.Future[None]) -> None:
    on_durable()
    if not future.done():
        future.set_result(None)
