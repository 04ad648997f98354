"""The registry of gated features, and which of them are active.

A compatibility level is an integer. Each feature that changes a stored form, a message between
controllers or a decision belongs to one level, and is used only once that level is active. Code
asks `ActiveFeatures.is_active`; it never compares version numbers.
"""

import logging
from collections.abc import Callable
from enum import Enum, auto

import msgspec

log = logging.getLogger(__name__)

# The forms of the versions that know no levels.
FIRST_LEVEL = 1
# Beyond this a number is no level but a fault.
LAST_LEVEL = 1_000_000


class Feature(Enum):
    """Everything that needs all controllers to have a certain level."""

    DONE_BITMAPS = auto()
    ASSIGNMENT_RUNS = auto()
    LEVEL_IN_ANNOUNCEMENTS = auto()
    LINK_VIEWS = auto()


class Changes(Enum):
    """What kind of thing a feature changes."""

    STORED_FORM = auto()
    MESSAGE = auto()


class FeatureDescription(msgspec.Struct, frozen=True):
    """What an upgrade to a feature's level brings, and what would go wrong without the gate."""

    level: int
    changes: Changes
    what: str
    earlier_versions: str


REGISTRY = {
    Feature.DONE_BITMAPS: FeatureDescription(
        level=2,
        changes=Changes.STORED_FORM,
        what="done tasks are stored as compressed bitmaps of up to 1,024 tasks",
        earlier_versions="miss the field `marks`, refuse the record and do not lead",
    ),
    Feature.ASSIGNMENT_RUNS: FeatureDescription(
        level=2,
        changes=Changes.STORED_FORM,
        what="a machine's assignments are stored as runs of tasks with consecutive attempts",
        earlier_versions="miss the field `build`, refuse the record and do not lead",
    ),
    Feature.LEVEL_IN_ANNOUNCEMENTS: FeatureDescription(
        level=2,
        changes=Changes.MESSAGE,
        what="a leader tells the other controllers the active level",
        earlier_versions="pass over the field",
    ),
    Feature.LINK_VIEWS: FeatureDescription(
        level=3,
        changes=Changes.MESSAGE,
        what="controllers tell one another which of their links they can confirm, and a leader names a successor",
        earlier_versions="pass over the field, echo nothing, and stand at once though another is named",
    ),
}


class SupportedLevels(msgspec.Struct, frozen=True, order=True):
    """The levels whose forms one process can read and write, from the lowest to the highest."""

    lowest: int
    highest: int

    def __contains__(self, level: int) -> bool:
        """Whether the level's forms can be read and written."""
        return self.lowest <= level <= self.highest

    def reads(self, feature: Feature) -> bool:
        """Whether the feature's forms can be read."""
        return REGISTRY[feature].level <= self.highest


SUPPORTED = SupportedLevels(FIRST_LEVEL, max(description.level for description in REGISTRY.values()))


class ActiveFeatures:
    """The active level as far as this process knows it. It only ever rises, as the stored level does."""

    def __init__(self) -> None:
        """The first level is active everywhere."""
        self._level = FIRST_LEVEL
        self._changed: list[Callable[[], None]] = []

    @property
    def level(self) -> int:
        """The highest level that is known to be active."""
        return self._level

    def is_active(self, feature: Feature) -> bool:
        """Whether the feature's forms may be written and sent now."""
        return self._level >= REGISTRY[feature].level

    def on_change(self, call: Callable[[], None]) -> None:
        """Calls back after each rise of the level."""
        self._changed.append(call)

    def learn(self, level: int) -> None:
        """The level is known to be active; an older piece of news changes nothing."""
        if level <= self._level:
            return
        self._level = level
        log.info("compatibility level %s is in use here", level)
        for call in self._changed:
            call()
