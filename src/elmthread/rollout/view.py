"""The state of the rollout in the key-value store, as plain values on which decisions are based."""

from collections.abc import Mapping

import msgspec

from elmthread.common.features import SupportedLevels


class Announcement(msgspec.Struct, frozen=True):
    """A node's latest announcement: the levels it supports, the cluster members in its settings, and its process."""

    levels: SupportedLevels
    members: frozenset[str]
    mod_revision: int
    process: str = ""
    # Unix time in seconds.
    announced_at: float = 0.0
    # Set by an operator: no level above this one may be activated.
    hold_at: int | None = None


class UnreadableAnnouncement(msgspec.Struct, frozen=True):
    """A record under a node's key that is not a valid announcement."""

    mod_revision: int
    reason: str


class RolloutView(msgspec.Struct, frozen=True):
    """The active level and all announcements, with the revisions by which a transaction compares them."""

    level: int
    level_mod_revision: int
    announcements: Mapping[str, Announcement | UnreadableAnnouncement]
