"""Group commit: what changed waits here, packed into transactions within the settings' rates.

Every transaction guards on the leader key's stamp and on the stamp of each key it changes.
The first keeps a leader of the past from writing. The second keeps a transaction that is
applied late, after we had given it up, from putting an old value over a newer one.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum
from typing import Any

import msgspec

from elmthread.common.clock import Clock, seconds
from elmthread.ledger import messages
from elmthread.ledger.client import Expired, Lost, StateClient, Unavailable, Unsure
from elmthread.ledger.pacing import Bucket
from elmthread.ledger.records import LEADER

log = logging.getLogger(__name__)

LANES = 3
MAX_TXN = 60 * 1024
PAUSE = seconds(0.25)


class Rank(IntEnum):
    """What is written first, and (see RESERVE) how much of the rate it leaves to the others."""

    USER = 0
    ASSIGN = 1
    DONE = 2
    TIDY = 3


RESERVE = {Rank.USER: 0.0, Rank.ASSIGN: 0.2, Rank.DONE: 0.35, Rank.TIDY: 0.7}
# However little is left of the rate, what has waited this long goes with the next transaction.
PATIENCE = {Rank.USER: seconds(0), Rank.ASSIGN: seconds(1), Rank.DONE: seconds(2), Rank.TIDY: seconds(20)}

Make = Callable[[], Any]


@dataclass(eq=False, slots=True)
class Change:
    """A key whose value is made when it is written; None deletes it."""

    key: str
    rank: Rank
    make: Make
    since: timedelta
    after: list[Callable[[], None]] = field(default_factory=list)


class Stopped(Exception):
    """This leader is no more; nothing that waited was made durable by us."""


class Writer:
    def __init__(
        self,
        client: StateClient,
        token: int,
        stamps: dict[str, int],
        changes: Bucket,
        most_ops: int,
        clock: Clock,
        lost: Callable[[], None],
    ) -> None:
        self._client = client
        self._token = token
        self._stamps = stamps
        self._changes = changes
        self._most_ops = most_ops
        self._clock = clock
        self._lost = lost
        self._waiting: dict[str, Change] = {}
        self._busy: set[str] = set()
        self._wake = asyncio.Event()
        self._futures: set[asyncio.Future[None]] = set()
        self._stopped = False
        # When the store last answered a transaction; users are told at once while it does not.
        self.failing_since: timedelta | None = None

    def write(self, key: str, rank: Rank, make: Make, after: Callable[[], None] | None = None) -> None:
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
        if key in self._stamps or key in self._waiting or key in self._busy:
            self.write(key, Rank.TIDY, lambda: None)

    async def written(self, key: str, rank: Rank, make: Make, after: Callable[[], None]) -> None:
        """Returns once make()'s value is durable; `after` is called at that very moment."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._stopped:
            raise Stopped
        self._futures.add(future)
        future.add_done_callback(self._futures.discard)

        def durable() -> None:
            after()
            if not future.done():
                future.set_result(None)

        self.write(key, rank, make, durable)
        await future

    def stop(self) -> None:
        self._stopped = True
        for future in list(self._futures):
            if not future.done():
                future.set_exception(Stopped())

    async def run(self) -> None:
        async with asyncio.TaskGroup() as lanes:
            for _ in range(LANES):
                lanes.create_task(self._lane())

    async def _lane(self) -> None:
        while True:
            batch, wait = self._pick()
            if not batch:
                self._wake.clear()
                try:
                    async with asyncio.timeout(None if wait is None else wait.total_seconds()):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                continue
            try:
                await self._commit(batch)
            finally:
                self._busy.difference_update(change.key for change in batch)
                self._wake.set()

    def _pick(self) -> tuple[list[Change], timedelta | None]:
        """The next batch that the rate allows, or how long to wait for one."""
        now = self._clock()
        ready = sorted(
            (change for change in self._waiting.values() if change.key not in self._busy),
            key=lambda change: (change.rank, change.since),
        )
        batch: list[Change] = []
        for change in ready:
            if len(batch) >= self._most_ops:
                break
            patient = now - change.since < PATIENCE[change.rank]
            keep = RESERVE[change.rank] * self._changes.burst if patient else 0.0
            if not self._changes.take(1, keep):
                if batch:
                    break
                return [], max(self._changes.wait(1, keep), seconds(0.01))
            batch.append(change)
        for change in batch:
            del self._waiting[change.key]
            self._busy.add(change.key)
        return batch, None

    async def _commit(self, batch: list[Change]) -> None:
        guards = [messages.guard(LEADER, self._token)]
        then = []
        size = 0
        taken: list[tuple[Change, Any]] = []
        for change in batch:
            value = change.make()
            weight = len(msgspec.json.encode(value)) + 3 * len(change.key) + 100
            if taken and size + weight > MAX_TXN:
                self._put_back(change)
                continue
            size += weight
            stamp = self._stamps.get(change.key, 0)
            if value is None and not stamp:
                continue
            taken.append((change, value))
            guards.append(messages.guard(change.key, stamp))
            then.append(messages.delete(change.key) if value is None else messages.put(change.key, value))
        if not then:
            return
        try:
            revision = await self._client.commit(guards, then)
        except Unavailable as error:
            log.info("not written: %s", error)
            self._failed()
            self._put_back(*(change for change, _ in taken))
            await asyncio.sleep(PAUSE.total_seconds())
        except (Unsure, Expired) as error:
            log.info("outcome unknown: %s", error)
            self._failed()
            await self._reread([change.key for change, _ in taken])
            self._put_back(*(change for change, _ in taken))
        except Lost as lost:
            if LEADER in lost.failed:
                log.info("leadership lost: %s", lost.failed)
                self._lost()
            else:
                await self._reread(lost.failed)
            self._put_back(*(change for change, _ in taken))
        else:
            self.failing_since = None
            for change, value in taken:
                if value is None:
                    self._stamps.pop(change.key, None)
                else:
                    self._stamps[change.key] = revision
            for change, _ in taken:
                for call in change.after:
                    call()

    def _failed(self) -> None:
        if self.failing_since is None:
            self.failing_since = self._clock()

    def _put_back(self, *changes: Change) -> None:
        for change in changes:
            newer = self._waiting.get(change.key)
            if newer is None:
                self._waiting[change.key] = change
            else:
                newer.after[:0] = change.after
                newer.rank = min(newer.rank, change.rank)
                newer.since = min(newer.since, change.since)

    async def _reread(self, keys: list[str]) -> None:
        """Learns the stamps anew after an unknown outcome; it may still be applied later."""
        for key in keys:
            while not self._stopped:
                try:
                    item = await self._client.get(key)
                except (Unavailable, Unsure):
                    await asyncio.sleep(PAUSE.total_seconds())
                    continue
                if item is None:
                    self._stamps.pop(key, None)
                else:
                    self._stamps[key] = item.stamp
                break
