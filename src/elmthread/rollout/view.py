"""What the key-value store says of the rollout, as plain values for decisions."""

from collections.abc import Mapping

import msgspec

from elmthread.common.features import SupportedLevels


class Announcement(msgspec.Struct, frozen=True):
    """What the last process of a node that announced itself can read and write."""

    levels: SupportedLevels
    members: frozenset[str]
    mod_revision: int
    process: str = ""
    announced_at: float = 0.0
    # An operator's wish: no level above this one is to be activated.
    hold_at: int | None = None


class UnreadableAnnouncement(msgspec.Struct, frozen=True):
    """A record under a node's key that is no valid announcement."""

    mod_revision: int
    reason: str


class RolloutView(msgspec.Struct, frozen=True):
    """The active level and all announcements, with the revisions by which a transaction compares them."""

    level: int
    level_mod_revision: int
    announcements: Mapping[str, Announcement | UnreadableAnnouncement]
