"""Records packed into slots: what many small records cost as one change each, one slot costs.

A slot is a key `s/NNNN` whose value holds a sequence number and a text of many records.
Each transaction fills slots that hold nothing current, so a record's newest version is the
one in the slot with the highest number. Slots are written over and never deleted: a slot's
stamp only grows, and a transaction that guards on it can be carried out once at most.

A deleted record is kept as a null for as long as an older version of it stands in any slot,
current or not: a reader must not find that one again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import msgspec

from elmthread.common.errors import ElmthreadError

SLOTS = "s/"
# Space in a value for its own frame, and for characters that the text's quoting adds.
FRAME = 64


class PageRecord(msgspec.Struct):
    number: int
    text: str


class UnreadableRecordError(ElmthreadError):
    """A slot that can't be read: named, and never taken for empty."""


def pack(records: dict[str, str]) -> str:
    """`records` holds values as JSON already."""
    return "{" + ",".join(f"{quoted(key)}:{text}" for key, text in records.items()) + "}"


def slot_bytes(value_kb: float) -> int:
    """What the records of one slot may take together."""
    return int(value_kb * 1024) - FRAME


def quoted(key: str) -> str:
    return msgspec.json.encode(key).decode()


def text_of(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def weight(key: str, text: str) -> int:
    """Bytes that a record takes at most in a slot's value, its quotes escaped once more.

    Letters beyond ASCII are taken as written out (`\\u03b1`), which a size may be counted in.
    """
    whole = key + text
    size = len(whole) if whole.isascii() else 3 * len(whole.encode("utf-16-le"))
    return size + whole.count('"') + whole.count("\\") + 8


@dataclass(slots=True, eq=False)
class RecordPage:
    key: str
    mod_revision: int = 0
    # Every record that stands in it, current or not.
    keys: frozenset[str] = frozenset()
    # Those of them of which no newer version is durable, and the bytes they take.
    current: set[str] = field(default_factory=set)
    live: int = 0


class RecordPages:
    """Where each record's newest durable version stands, and which slots may be written over."""

    def __init__(self, most: int) -> None:
        """`most` bytes of records go into one slot (`slot_bytes`)."""
        self.most = most
        self.number = 0
        self._slots: dict[str, RecordPage] = {}
        self._free: list[RecordPage] = []
        self._taken: set[str] = set()
        self._where: dict[str, RecordPage] = {}
        self._texts: dict[str, str] = {}
        # Bytes of all that is current, and slots of larger values than are allowed now.
        self._live = 0
        self._large: set[str] = set()
        # In how many slots a version of the record stands.
        self._copies: dict[str, int] = {}

    # Reading

    def load(self, items: Iterable[tuple[str, Any, int]]) -> dict[str, Any]:
        """Takes in all slots as (key, value, stamp); returns the newest version of each record."""
        read = []
        for key, value, mod_revision in items:
            try:
                slot = msgspec.convert(value, PageRecord)
                records: dict[str, msgspec.Raw] = msgspec.json.decode(slot.text, type=dict[str, msgspec.Raw])
            except msgspec.MsgspecError as error:
                raise UnreadableRecordError(f"{key}: {error}") from error
            read.append((slot.number, key, mod_revision, {name: bytes(raw).decode() for name, raw in records.items()}))
        read.sort(key=lambda one: one[0])
        for number, key, mod_revision, texts in read:
            self._put(self._slots.setdefault(key, RecordPage(key)), mod_revision, texts)
            self.number = max(self.number, number)
        return {name: msgspec.json.decode(text) for name, text in self._texts.items() if text != "null"}

    # Writing

    def __contains__(self, key: str) -> bool:
        return self._texts.get(key, "null") != "null"

    def take(self) -> RecordPage:
        """A slot that may be written over; `written` must follow."""
        slot = self._free.pop() if self._free else self._new()
        self._taken.add(slot.key)
        return slot

    def _new(self) -> RecordPage:
        """A slot of a name that no other has.

        Numbers may be missing: of two transactions under way, the one that was to fill the earlier
        slot is lost with its leader. Counting slots would then name one that exists, as if it did
        not; its guard would fail for each leader, for ever.
        """
        names = (f"{SLOTS}{number:04d}" for number in count())
        key = next(name for name in names if name not in self._slots)
        slot = self._slots[key] = RecordPage(key)
        return slot

    def give_back(self, slot: RecordPage) -> None:
        """A slot that was taken, and surely was not and will not be filled."""
        self._taken.discard(slot.key)
        self._free.append(slot)

    def written(self, slot: RecordPage, mod_revision: int, texts: dict[str, str]) -> None:
        self._taken.discard(slot.key)
        self._put(slot, mod_revision, texts)

    def next_number(self) -> int:
        self.number += 1
        return self.number

    def _put(self, slot: RecordPage, mod_revision: int, texts: dict[str, str]) -> None:
        before, slot.mod_revision, slot.keys = slot.keys, mod_revision, frozenset(texts)
        for key, text in texts.items():
            self._copies[key] = self._copies.get(key, 0) + 1
            old = self._where.get(key)
            if old is not None:
                self._outdate(old, key)
            self._where[key] = slot
            self._texts[key] = text
            slot.current.add(key)
            slot.live += weight(key, text)
            self._live += weight(key, text)
        if slot.live > self.most:
            self._large.add(slot.key)
        for key in before:
            self._copies[key] -= 1
        for key in (*before, *texts):
            self._forget(key)
        if not slot.current and slot.key not in self._taken and slot not in self._free:
            self._free.append(slot)

    def _outdate(self, slot: RecordPage, key: str) -> None:
        slot.current.discard(key)
        slot.live -= weight(key, self._texts[key])
        self._live -= weight(key, self._texts[key])
        if slot.live <= self.most:
            self._large.discard(slot.key)
        if not slot.current and slot.key not in self._taken:
            self._free.append(slot)

    def _forget(self, key: str) -> None:
        """Drops a deleted record once no slot holds an older version of it."""
        slot = self._where.get(key)
        if slot is None or self._texts[key] != "null" or self._copies[key] > 1:
            return
        self._outdate(slot, key)
        del self._where[key], self._texts[key]
        # It still stands in that slot as a null, which says the same as nothing.
        slot.keys -= {key}
        del self._copies[key]

    # Tidying

    def crowded(self) -> bool:
        """More slots in use than what is current needs, with ample room for what is to come."""
        used = len(self._slots) - len(self._free)
        return used > 24 + 2 * self._live // self.most

    def too_large(self, busy: set[str], room: int) -> dict[str, str]:
        """Some current records of a slot that holds more than a value may now, as many as fit.

        What larger values were allowed to hold is carried along bit by bit: the whole would
        never fit. A record that is itself too large stays, readable, until a newer version of
        it is written.
        """
        moved: dict[str, str] = {}
        for name in self._large:
            slot = self._slots[name]
            for key in sorted(slot.current - busy):
                size = weight(key, self._texts[key])
                if size <= room:
                    moved[key] = self._texts[key]
                    room -= size
            if moved:
                break
        return moved

    def least_filled(self, busy: set[str], room: int) -> dict[str, str]:
        """Current records of the slot with the fewest bytes of them, if they fit into `room`."""
        best: RecordPage | None = None
        for slot in self._slots.values():
            if (
                slot.current
                and slot.key not in self._taken
                and slot.live <= room
                and (best is None or slot.live < best.live)
                and not slot.current & busy
            ):
                best = slot
        return {} if best is None else {key: self._texts[key] for key in best.current}
