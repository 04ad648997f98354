"""Decides from a `RolloutView` whether the active compatibility level may be raised, or which nodes prevent it."""

from collections.abc import Iterator
from enum import Enum

import msgspec

from elmthread.common.features import SupportedLevels
from elmthread.rollout.view import Announcement, RolloutView, UnreadableAnnouncement


class ObstacleKind(Enum):
    """Why a node prevents the level from being raised."""

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
        """Return the text that is logged and shown to operators."""
        return f"{self.node} {self.kind.value}{f' ({self.detail})' if self.detail else ''}"


class Wait(msgspec.Struct, frozen=True):
    """The level is not raised: because of the obstacles or, without any, because this version has no higher level."""

    obstacles: tuple[Obstacle, ...] = ()


class Activate(msgspec.Struct, frozen=True):
    """The level may be raised to `level`, by a transaction that compares these revisions of the records."""

    level: int
    level_mod_revision: int
    announcements: tuple[tuple[str, Announcement], ...]


def plan_activation(view: RolloutView, members: frozenset[str], supported: SupportedLevels) -> Activate | Wait:
    """Return an activation of the highest level that all members support and allow, or what prevents a higher one."""
    readable: dict[str, Announcement] = {}
    obstacles: list[Obstacle] = []
    for node in sorted(members):
        announcement = view.announcements.get(node)
        obstacle = _announcement_obstacle(node, announcement, view.level, members)
        if obstacle is not None:
            obstacles.append(obstacle)
        elif isinstance(announcement, Announcement):
            readable[node] = announcement
    if obstacles:
        return Wait((*obstacles, *_level_obstacles(readable, view.level + 1)))
    target = min([supported.highest, *map(_highest_allowed, readable.values())])
    if target > view.level:
        return Activate(target, view.level_mod_revision, tuple(readable.items()))
    if view.level >= supported.highest:
        return Wait()
    return Wait(tuple(_level_obstacles(readable, view.level + 1)))


def _announcement_obstacle(
    node: str, announcement: Announcement | UnreadableAnnouncement | None, level: int, members: frozenset[str]
) -> Obstacle | None:
    """Return the obstacle in a node's announcement that prevents any level from being activated, if there is one."""
    if announcement is None:
        return Obstacle(node, ObstacleKind.NOT_ANNOUNCED)
    if isinstance(announcement, UnreadableAnnouncement):
        return Obstacle(node, ObstacleKind.UNREADABLE, announcement.reason)
    if announcement.members != members:
        return Obstacle(node, ObstacleKind.OTHER_MEMBERS, ", ".join(sorted(announcement.members)))
    if level not in announcement.levels:
        kind = ObstacleKind.NEWER if announcement.levels.lowest > level else ObstacleKind.OLDER
        return Obstacle(node, kind, f"levels {announcement.levels.lowest} to {announcement.levels.highest}")
    return None


def _highest_allowed(announcement: Announcement) -> int:
    """Return the highest level that a node supports and its operators allow."""
    if announcement.hold_at is None:
        return announcement.levels.highest
    return min(announcement.levels.highest, announcement.hold_at)


def _level_obstacles(readable: dict[str, Announcement], target_level: int) -> Iterator[Obstacle]:
    """Yield an obstacle for each node that does not support or allow the target level."""
    for node, announcement in readable.items():
        if announcement.levels.highest < target_level:
            detail = f"levels {announcement.levels.lowest} to {announcement.levels.highest}"
            yield Obstacle(node, ObstacleKind.OLDER, detail)
        elif announcement.hold_at is not None and announcement.hold_at < target_level:
            yield Obstacle(node, ObstacleKind.HELD, f"at {announcement.hold_at}")
