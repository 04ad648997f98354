"""The registry of gated features, and which of them are active.

A compatibility level is an integer. Each feature that changes a stored format, a message between
controllers or a decision belongs to one level, and is used only once that level is active. Code
checks `ActiveFeatures.is_active`; it never compares version numbers.
"""

import logging
from collections.abc import Callable
from enum import Enum, auto

import msgspec

log = logging.getLogger(__name__)

# The level of versions that predate compatibility levels.
FIRST_LEVEL = 1
# Larger numbers are not valid as a level.
MAX_VALID_LEVEL = 1_000_000


class Feature(Enum):
    """A feature that may be used only while all controllers support its level."""

    DONE_BITMAPS = auto()
    ASSIGNMENT_RUNS = auto()
    LEVEL_IN_ANNOUNCEMENTS = auto()
    LINK_VIEWS = auto()


class ChangeKind(Enum):
    """What a feature changes."""

    STORED_FORMAT = auto()
    MESSAGE = auto()


class FeatureDescription(msgspec.Struct, frozen=True):
    """What a feature changes from its level on, and how earlier versions would react to it without the gate."""

    level: int
    changes: ChangeKind
    what: str
    earlier_versions: str


REGISTRY = {
    Feature.DONE_BITMAPS: FeatureDescription(
        level=2,
        changes=ChangeKind.STORED_FORMAT,
        what="done tasks are stored as compressed bitmaps of up to 1,024 tasks",
        earlier_versions="reject the record, which lacks the field `marks`, so they can't load the state or lead",
    ),
    Feature.ASSIGNMENT_RUNS: FeatureDescription(
        level=2,
        changes=ChangeKind.STORED_FORMAT,
        what="a machine's assignments are stored as runs of tasks with consecutive attempts",
        earlier_versions="reject the record, which lacks the field `build`, so they can't load the state or lead",
    ),
    Feature.LEVEL_IN_ANNOUNCEMENTS: FeatureDescription(
        level=2,
        changes=ChangeKind.MESSAGE,
        what="a leader tells the other controllers the active level",
        earlier_versions="ignore the field `level`",
    ),
    Feature.LINK_VIEWS: FeatureDescription(
        level=3,
        changes=ChangeKind.MESSAGE,
        what="controllers tell one another which of their links they can confirm, and a leader names a successor",
        earlier_versions="ignore the field `links`: they echo no messages and do not wait for a named successor",
    ),
}


class SupportedLevels(msgspec.Struct, frozen=True, order=True):
    """The levels whose formats a process can read and write, from the lowest to the highest."""

    lowest: int
    highest: int

    def __contains__(self, level: int) -> bool:
        """Return whether the level's formats can be read and written."""
        return self.lowest <= level <= self.highest

    def reads(self, feature: Feature) -> bool:
        """Return whether the feature's formats can be read."""
        return REGISTRY[feature].level <= self.highest


SUPPORTED = SupportedLevels(FIRST_LEVEL, max(description.level for description in REGISTRY.values()))


class ActiveFeatures:
    """The active level as known to this process. Like the stored level, it never decreases."""

    def __init__(self) -> None:
        """Start at the first level, which is active everywhere."""
        self._level = FIRST_LEVEL
        self._callbacks: list[Callable[[], None]] = []

    @property
    def level(self) -> int:
        """The highest level known to be active."""
        return self._level

    def is_active(self, feature: Feature) -> bool:
        """Return whether the feature's formats may be written and sent now."""
        return self._level >= REGISTRY[feature].level

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for each increase of the level."""
        self._callbacks.append(callback)

    def raise_level(self, level: int) -> None:
        """Record that the level is active; a level that is not above the known one changes nothing."""
        if level <= self._level:
            return
        self._level = level
        log.info("compatibility level %s is in use here", level)
        for callback in self._callbacks:
            callback()
