"""The rollout's records in the key-value store.

`rollout/nodes/NODE` is a controller's announcement and the only record besides the leader key that a
follower writes. `rollout/level` is the active level, written by the leader. Versions that know no levels read
neither. The fence is a record that keeps those versions from leading with formats that they would misread: it is
stored in the record pages under a key that they do read, in a format that they reject.
"""

from collections.abc import Iterable
from typing import Annotated, Any, TypeVar

import msgspec

from elmthread.common.errors import ElmthreadError
from elmthread.common.features import FIRST_LEVEL, MAX_VALID_LEVEL, SupportedLevels
from elmthread.rollout.view import Announcement, RolloutView, UnreadableAnnouncement
from elmthread.store.client import KeyValueStore, PrefixRecords, read_prefix
from elmthread.store.messages import KeyValue
from elmthread.store.records import COMPATIBILITY_FENCE_KEY, ROLLOUT_PREFIX

PREFIX = ROLLOUT_PREFIX
LEVEL_KEY = f"{PREFIX}level"
NODES_PREFIX = f"{PREFIX}nodes/"
FENCE_KEY = COMPATIBILITY_FENCE_KEY
PAGE_SIZE = 200

Level = Annotated[int, msgspec.Meta(ge=FIRST_LEVEL, le=MAX_VALID_LEVEL)]


class AnnouncementRecord(msgspec.Struct, omit_defaults=True):
    """The levels of one controller's current process, and the members in its settings."""

    lowest: Level
    highest: Level
    members: list[str]
    # Identifies the process: distinguishes its record from an earlier one with the same content.
    process: str
    # Unix time in seconds.
    announced_at: float
    hold_at: Level | None = None


class LevelRecord(msgspec.Struct, rename={"fencing_token": "token"}):
    """The active level, and the fencing token of the leader that activated it."""

    level: Level
    fencing_token: int


class FenceRecord(msgspec.Struct):
    """Prevents versions that know no levels from leading with stored formats that they would misread."""

    level: Level


LevelOrFence = TypeVar("LevelOrFence", LevelRecord, FenceRecord)


class UnreadableLevelError(ElmthreadError):
    """The record of the active level, or the fence, is malformed, so the active level is unknown."""


def node_key(node: str) -> str:
    """Return the key under which a controller announces its levels."""
    return f"{NODES_PREFIX}{node}"


def read_level(key: str, value: Any, record_type: type[LevelOrFence]) -> LevelOrFence:
    """Return the level record or the fence read under the key. Raises UnreadableLevelError if it is malformed."""
    try:
        return msgspec.convert(value, record_type)
    except msgspec.ValidationError as error:
        raise UnreadableLevelError(f"{key}: {error}") from error


async def read_records(store: KeyValueStore) -> PrefixRecords:
    """Read all records under the rollout's prefix, in pages. Raises StoreError."""
    return await read_prefix(store.read_page, PREFIX, PAGE_SIZE)


def read_view(items: Iterable[KeyValue]) -> RolloutView:
    """Return the rollout's state from all records under its prefix. Raises UnreadableLevelError."""
    level, level_mod_revision = FIRST_LEVEL, 0
    announcements: dict[str, Announcement | UnreadableAnnouncement] = {}
    for item in items:
        if item.key == LEVEL_KEY:
            level, level_mod_revision = read_level(LEVEL_KEY, item.value, LevelRecord).level, item.mod_revision
        elif item.key.startswith(NODES_PREFIX):
            announcements[item.key.removeprefix(NODES_PREFIX)] = _read_announcement(item)
    return RolloutView(level, level_mod_revision, announcements)


def _read_announcement(item: KeyValue) -> Announcement | UnreadableAnnouncement:
    try:
        record = msgspec.convert(item.value, AnnouncementRecord)
    except msgspec.ValidationError as error:
        return UnreadableAnnouncement(item.mod_revision, str(error))
    if record.lowest > record.highest:
        return UnreadableAnnouncement(item.mod_revision, "the lowest level is above the highest")
    return Announcement(
        levels=SupportedLevels(record.lowest, record.highest),
        members=frozenset(record.members),
        mod_revision=item.mod_revision,
        process=record.process,
        announced_at=record.announced_at,
        hold_at=record.hold_at,
    )
