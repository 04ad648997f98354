"""The queue of records to be written, and the keys of records in flight in a transaction."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from enum import IntEnum
from typing import Any

import msgspec

from elmthread.common.clock import ZERO, Clock, seconds


class WritePriority(IntEnum):
    """The order in which records are written, and (see MAX_BATCHING_DELAY) how long they may wait to be batched."""

    USER = 0
    ASSIGNMENT = 1
    COMPLETION = 2
    MAINTENANCE = 3


# A record that has waited for this long starts a transaction, which includes other pending records.
MAX_BATCHING_DELAY = {
    WritePriority.USER: ZERO,
    WritePriority.ASSIGNMENT: seconds(0.1),
    WritePriority.COMPLETION: seconds(0.4),
    WritePriority.MAINTENANCE: seconds(5),
}

# Makes a record's value at the moment of writing; None deletes the record.
MakeValue = Callable[[], Any]


class PendingWrite(msgspec.Struct, eq=False):
    """A record that waits to be written."""

    key: str
    priority: WritePriority
    make_value: MakeValue
    waiting_since: timedelta
    # Called once the value, or a newer one, is durable.
    on_durable: list[Callable[[], None]] = msgspec.field(default_factory=list)

    def notify_durable(self) -> None:
        """Call the functions that wait for the record to be durable."""
        for call in self.on_durable:
            call()


class WriteQueue:
    """Holds at most one pending write per key; a key in flight is not written again until it is finished."""

    def __init__(self, clock: Clock) -> None:
        """Start empty; `clock` tells the time at which writes are added."""
        self._clock = clock
        self.pending: dict[str, PendingWrite] = {}
        self._in_flight: set[str] = set()
        # Set when a write was added or keys in flight were finished; the writer clears it.
        self.changed = asyncio.Event()

    def __contains__(self, key: str) -> bool:
        """Return whether a write of the record is pending or in flight."""
        return key in self.pending or key in self._in_flight

    def add(
        self, key: str, priority: WritePriority, make_value: MakeValue, on_durable: Callable[[], None] | None
    ) -> None:
        """Queue a write of the record; one that is already queued gets the newer value and the higher priority."""
        write = self.pending.get(key)
        if write is None:
            write = self.pending[key] = PendingWrite(key, priority, make_value, self._clock())
        else:
            write.priority = min(priority, write.priority)
            write.make_value = make_value
        if on_durable is not None:
            write.on_durable.append(on_durable)
        self.changed.set()

    def requeue(self, writes: Iterable[PendingWrite]) -> None:
        """Queue writes again whose transaction was not executed and never will be."""
        for write in writes:
            newer = self.pending.get(write.key)
            if newer is None:
                self.pending[write.key] = write
                continue
            newer.on_durable += write.on_durable
            newer.priority = min(newer.priority, write.priority)
            newer.waiting_since = write.waiting_since

    def ready(self) -> list[PendingWrite]:
        """Return the pending writes whose keys are not in flight, by priority and then by waiting time."""
        return sorted(
            (write for write in self.pending.values() if write.key not in self._in_flight),
            key=lambda write: (write.priority, write.waiting_since),
        )

    def next_due(self) -> timedelta | None:
        """Return when the first pending write is due, or None if there is none whose key is not in flight."""
        return min(
            (
                write.waiting_since + MAX_BATCHING_DELAY[write.priority]
                for write in self.pending.values()
                if write.key not in self._in_flight
            ),
            default=None,
        )

    def remove(self, write: PendingWrite) -> None:
        """Remove a pending write that needs no transaction, or can't be stored."""
        del self.pending[write.key]

    def start(self, write: PendingWrite) -> None:
        """Mark a pending write as in flight."""
        del self.pending[write.key]
        self._in_flight.add(write.key)

    def mark_in_flight(self, keys: Iterable[str]) -> None:
        """Mark keys as in flight while a transaction moves their records, so that they are not written."""
        self._in_flight.update(keys)

    def finish(self, *keys: Iterable[str]) -> None:
        """Mark keys as no longer in flight, so that they may be written again."""
        self._in_flight.difference_update(*keys)
        self.changed.set()

    def keys(self) -> set[str]:
        """Return all keys that are pending or in flight."""
        return self._in_flight | self.pending.keys()
