"""Group commit: what changed waits here, packed into few slots and written within the settings' rates.

Every transaction guards on the leader key's stamp and on the stamp of each slot it fills.
The first keeps a leader of the past from writing. The second keeps a transaction that is
applied late, or twice, from putting old records over newer ones: a slot's stamp only grows.
A transaction of which the outcome is not known is sent again as it is until the store says.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from typing import Any, Protocol

import msgspec

from elmthread.common.clock import ZERO, Clock, seconds
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
from elmthread.store.log import PageRecord, RecordPage, RecordPages, pack, text_of, weight
from elmthread.store.pacing import TokenBucket
from elmthread.store.records import LEADER

log = logging.getLogger(__name__)

# Two transactions at a time: one answer that takes long does not hold up all others.
LANES = 2
MAX_TXN = 60 * 1024
PAUSE = seconds(0.25)
# Between two picks: what comes meanwhile goes together.
GATHER = seconds(0.05)
# After a transaction was refused as too large or malformed, records go alone for so long: the
# one that can't be stored is found, and holds up no other. After one beyond the rate of
# changes, slots do.
ALONE = seconds(30)


class WritePriority(IntEnum):
    """What is written first, and (see GATHERED) how long it may gather."""

    USER = 0
    ASSIGNMENT = 1
    COMPLETION = 2
    MAINTENANCE = 3


# What has waited for this long makes a transaction; whatever else waits goes with it.
GATHERED = {
    WritePriority.USER: ZERO,
    WritePriority.ASSIGNMENT: seconds(0.1),
    WritePriority.COMPLETION: seconds(0.4),
    WritePriority.MAINTENANCE: seconds(5),
}

Make = Callable[[], Any]


@dataclass(eq=False, slots=True)
class Change:
    """A record whose value is made when it is written; None deletes it."""

    key: str
    rank: WritePriority
    make: Make
    since: timedelta
    after: list[Callable[[], None]] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Filled:
    """A slot on its way to the store."""

    slot: RecordPage
    number: int
    texts: dict[str, str] = field(default_factory=dict)
    size: int = 0


class WriterStoppedError(ElmthreadError):
    """This leader is no more; nothing that waited was made durable by us."""


class WriterTerm(Protocol):
    """The term under which records are written."""

    @property
    def fencing_token(self) -> int:
        """The revision of the leader key, which each transaction compares."""

    def end_after_conflict(self) -> None:
        """End the term, if it is still the present one: a transaction found another leader."""


@dataclass(frozen=True)
class WriteLimits:
    """What the store takes of one leader."""

    # Puts and deletes a second.
    changes: TokenBucket
    # Puts and deletes in a transaction.
    max_operations: int


class RecordWriter:
    def __init__(
        self, client: KeyValueStore, pages: RecordPages, term: WriterTerm, limits: WriteLimits, clock: Clock
    ) -> None:
        """`pages` says where each record stands; `term` is the one whose token guards each transaction."""
        self._client = client
        self.pages = pages
        self._term = term
        self._changes = limits.changes
        self._max_operations = limits.max_operations
        self._clock = clock
        self._waiting: dict[str, Change] = {}
        self._busy: set[str] = set()
        self._wake = asyncio.Event()
        self._futures: set[asyncio.Future[None]] = set()
        self._stopped = False
        # Since when the store has not taken a transaction; users are told at once while it does not.
        self.failing_since: timedelta | None = None
        self._alone_until = ZERO
        self._single_until = ZERO

    @property
    def max_record_bytes(self) -> int:
        """Bytes that one record may take in a slot."""
        return self.pages.most

    def write(self, key: str, rank: WritePriority, make: Make, after: Callable[[], None] | None = None) -> None:
        """Writes make()'s value soon; `after` is called once that, or something newer, is durable."""
        change = self._waiting.get(key)
        if change is None:
            change = self._waiting[key] = Change(key, rank, make, self._clock())
        else:
            change.rank = min(rank, change.rank)
            change.make = make
        if after is not None:
            change.after.append(after)
        self._wake.set()

    def delete(self, key: str) -> None:
        if key in self.pages or key in self._waiting or key in self._busy:
            self.write(key, WritePriority.MAINTENANCE, lambda: None)

    def write_and_wait(
        self, key: str, rank: WritePriority, make: Make, after: Callable[[], None]
    ) -> asyncio.Future[None]:
        """Done once make()'s value is durable; `after` is called at that very moment."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._stopped:
            future.set_exception(WriterStoppedError())
            return future
        self._futures.add(future)
        future.add_done_callback(self._futures.discard)

        def durable() -> None:
            after()
            if not future.done():
                future.set_result(None)

        self.write(key, rank, make, durable)
        return future

    def stop(self) -> None:
        self._stopped = True
        for future in list(self._futures):
            if not future.done():
                future.set_exception(WriterStoppedError())

    async def run(self) -> None:
        async with asyncio.TaskGroup() as lanes:
            for _ in range(LANES):
                lanes.create_task(self._lane())

    async def _lane(self) -> None:
        while True:
            await self._due()
            filled, batch = self._fill()
            if not filled:
                continue
            try:
                await self._commit(filled, batch)
            finally:
                self._busy.difference_update(*(one.texts for one in filled))
                self._wake.set()

    async def _due(self) -> None:
        """Waits until something has gathered for long enough and the rate allows to write it."""
        while True:
            now = self._clock()
            due = [one.since + GATHERED[one.rank] for one in self._waiting.values() if one.key not in self._busy]
            if due and min(due) <= now and self._changes.level() >= 1.0:
                return
            self._wake.clear()
            wait = max(min(due) - now, self._changes.wait(), GATHER) if due else None
            try:
                async with asyncio.timeout(None if wait is None else wait.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                continue
            if due:
                await asyncio.sleep(GATHER.total_seconds())

    def _fill(self) -> tuple[list[Filled], list[Change]]:
        """Packs what waits, by rank, into as many slots as the rate and the limits allow."""
        ready = sorted(
            (change for change in self._waiting.values() if change.key not in self._busy),
            key=lambda change: (change.rank, change.since),
        )
        most = min(self._max_operations, max(1, int(self._changes.level())), max(1, MAX_TXN // self.pages.most))
        now = self._clock()
        alone = now < self._alone_until
        if now < self._single_until:
            most = 1
        filled: list[Filled] = []
        batch: list[Change] = []
        for change in ready:
            value = change.make()
            if value is None and change.key not in self.pages:
                # Never written, or deleted already: nothing to change, and that is durable.
                del self._waiting[change.key]
                self._call(change)
                continue
            text = text_of(value)
            size = weight(change.key, text)
            if size > self.pages.most:
                # Never told as durable: what depends on it stays undone, and all else goes on.
                log.error("%s: %s bytes are more than a value may hold", change.key, size)
                del self._waiting[change.key]
                continue
            if alone and filled:
                break
            if not filled or filled[-1].size + size > self.pages.most:
                if len(filled) >= most:
                    break
                filled.append(Filled(self.pages.take(), self.pages.next_number()))
            filled[-1].texts[change.key] = text
            filled[-1].size += size
            del self._waiting[change.key]
            self._busy.add(change.key)
            batch.append(change)
        if filled:
            self._changes.take(len(filled), -self._changes.burst)
            if not alone:
                self._tidy(filled[-1])
        return filled, batch

    def _tidy(self, last: Filled) -> None:
        """Moves what is current in nearly empty slots, and in too large ones, along, so that they
        can be written over.
        """
        while True:
            busy, room = self._busy | self._waiting.keys(), self.pages.most - last.size
            moved = self.pages.too_large(busy, room)
            if not moved and self.pages.crowded():
                moved = self.pages.least_filled(busy, room)
            if not moved:
                return
            last.texts |= moved
            last.size += sum(weight(key, text) for key, text in moved.items())
            self._busy.update(moved)

    async def _commit(self, filled: list[Filled], batch: list[Change]) -> None:
        comparisons = [messages.compare(LEADER, self._term.fencing_token)]
        then = []
        for one in filled:
            comparisons.append(messages.compare(one.slot.key, one.slot.mod_revision))
            then.append(messages.put(one.slot.key, msgspec.to_builtins(PageRecord(one.number, pack(one.texts)))))
        unsure = False
        while not self._stopped:
            try:
                revision = await self._client.compare_and_swap(comparisons, then)
            except StoreUnavailableError as error:
                log.info("not written: %s", error)
                self._failed()
                await asyncio.sleep(PAUSE.total_seconds())
                if isinstance(error, RateLimitedError):
                    self._changes.drain()
                    if len(filled) > 1 and not unsure:
                        # More changes than the rate lets through at once would never pass.
                        self._single_until = self._clock() + ALONE
                        self._wait_again(filled, batch)
                        return
            except RejectedTransactionError as error:
                sizes = ", ".join(str(one.size) for one in filled)
                log.error("the state service refuses a transaction with slots of %s bytes: %s", sizes, error)
                if unsure:
                    # An earlier sending of it may still be carried out, which only a new token prevents.
                    raise
                self._refused(filled, batch)
                return
            except UnknownOutcomeError as error:
                # It may have been carried out, or may still be: sent again as it is, it is
                # carried out once, or the guards on the slots tell that it was.
                log.info("outcome unknown: %s", error)
                unsure = True
                self._failed()
                await asyncio.sleep(PAUSE.total_seconds())
            except ConflictError as lost:
                found = None if LEADER in lost.failed else await self._stamp_of(filled[0])
                if found is None:
                    log.info("leadership lost: %s", lost.failed)
                    self._term.end_after_conflict()
                    return
                self._done(filled, batch, found)
                return
            else:
                self._done(filled, batch, revision)
                return

    def _refused(self, filled: list[Filled], batch: list[Change]) -> None:
        """Nothing was carried out: what was in it waits again, each record for a change of its own.

        A record that is refused alone is given up, as one that is known to be too large: what
        depends on it stays undone, and all else goes on. Giving up leadership for it would
        bring the next leader to the same transaction.
        """
        if len(batch) == 1 and self._clock() < self._alone_until:
            log.error("%s can't be stored", batch[0].key)
            batch = []
        else:
            self._alone_until = self._clock() + ALONE
        self._wait_again(filled, batch)

    def _wait_again(self, filled: list[Filled], batch: list[Change]) -> None:
        for one in filled:
            self.pages.give_back(one.slot)
        for change in batch:
            newer = self._waiting.get(change.key)
            if newer is not None:
                newer.after += change.after
                newer.rank, newer.since = min(newer.rank, change.rank), change.since
            else:
                self._waiting[change.key] = change

    def _done(self, filled: list[Filled], batch: list[Change], revision: int) -> None:
        self.failing_since = None
        for one in filled:
            self.pages.written(one.slot, revision, one.texts)
        for change in batch:
            self._call(change)

    def _call(self, change: Change) -> None:
        for call in change.after:
            call()

    async def _stamp_of(self, one: Filled) -> int | None:
        """The stamp of a slot that an earlier sending of ours has filled; None if another did."""
        while not self._stopped:
            try:
                item = await self._client.get(one.slot.key)
            except (StoreUnavailableError, UnknownOutcomeError):
                await asyncio.sleep(PAUSE.total_seconds())
                continue
            mine = item is not None and msgspec.convert(item.value, PageRecord).number == one.number
            return item.mod_revision if mine and item is not None else None
        return None

    def _failed(self) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock()
