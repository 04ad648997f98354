"""Whether the active level may be raised, and what it waits for; a pure function over a view."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from elmthread.common.features import SupportedLevels
from elmthread.rollout.view import Announcement, RolloutView, UnreadableAnnouncement


class ObstacleKind(Enum):
    """Why a node keeps the level from rising."""

    NOT_ANNOUNCED = "has never announced itself: it runs a version that knows no levels, or never ran"
    UNREADABLE = "has a record that is no announcement"
    OTHER_MEMBERS = "names other controllers in its settings"
    OLDER = "runs an older version"
    NEWER = "runs a version that can't read the active level"
    HELD = "holds the level by its settings"
    OTHER_PROCESS = "runs another process than the one that announced itself"


class Obstacle(msgspec.Struct, frozen=True):
    """One node that the rollout waits for."""

    node: str
    kind: ObstacleKind
    detail: str = ""

    def __str__(self) -> str:
        """Return the text for the log and for operators."""
        return f"{self.node} {self.kind.value}{f' ({self.detail})' if self.detail else ''}"


class Wait(msgspec.Struct, frozen=True):
    """The level stays, because of these nodes; without any there is no higher level."""

    obstacles: tuple[Obstacle, ...] = ()


class Activate(msgspec.Struct, frozen=True):
    """The level may be raised, if the view's revisions still stand when the transaction is carried out."""

    level: int
    level_mod_revision: int
    announcements: tuple[tuple[str, Announcement], ...]


def plan_activation(view: RolloutView, members: frozenset[str], supported: SupportedLevels) -> Activate | Wait:
    """Return the highest level that every member can read and write and that nobody holds back, or who keeps it."""
    readable: dict[str, Announcement] = {}
    obstacles: list[Obstacle] = []
    for node in sorted(members):
        found = view.announcements.get(node)
        obstacle = _announcement_obstacle(node, found, view.level, members)
        if obstacle is not None:
            obstacles.append(obstacle)
        elif isinstance(found, Announcement):
            readable[node] = found
    if obstacles:
        return Wait((*obstacles, *_level_obstacles(readable, view.level + 1)))
    target = min([supported.highest, *map(_highest_allowed, readable.values())])
    if target > view.level:
        return Activate(target, view.level_mod_revision, tuple(readable.items()))
    if view.level >= supported.highest:
        return Wait()
    return Wait(tuple(_level_obstacles(readable, view.level + 1)))


def _announcement_obstacle(
    node: str, found: Announcement | UnreadableAnnouncement | None, level: int, members: frozenset[str]
) -> Obstacle | None:
    """Return what is wrong with a node's announcement, whatever the level is to be."""
    if found is None:
        return Obstacle(node, ObstacleKind.NOT_ANNOUNCED)
    if isinstance(found, UnreadableAnnouncement):
        return Obstacle(node, ObstacleKind.UNREADABLE, found.reason)
    if found.members != members:
        return Obstacle(node, ObstacleKind.OTHER_MEMBERS, ", ".join(sorted(found.members)))
    if level not in found.levels:
        kind = ObstacleKind.NEWER if found.levels.lowest > level else ObstacleKind.OLDER
        return Obstacle(node, kind, f"levels {found.levels.lowest} to {found.levels.highest}")
    return None


def _highest_allowed(announcement: Announcement) -> int:
    """Return the highest level that a node allows."""
    if announcement.hold_at is None:
        return announcement.levels.highest
    return min(announcement.levels.highest, announcement.hold_at)


def _level_obstacles(readable: dict[str, Announcement], wanted: int) -> Iterator[Obstacle]:
    """Yield an obstacle for each node that does not allow the wanted level."""
    for node, found in readable.items():
        if found.levels.highest < wanted:
            detail = f"levels {found.levels.lowest} to {found.levels.highest}"
            yield Obstacle(node, ObstacleKind.OLDER, detail)
        elif found.hold_at is not None and found.hold_at < wanted:
            yield Obstacle(node, ObstacleKind.HELD, f"at {found.hold_at}")
