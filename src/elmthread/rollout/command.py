"""`elmthread rollout status`: what each controller has announced and what prevents a higher level."""

import asyncio
import sys
import time

from elmthread.common.clock import steady_clock
from elmthread.common.features import REGISTRY, SUPPORTED, SupportedLevels
from elmthread.net.http_client import HttpClient
from elmthread.rollout.activation import Activate, plan_activation
from elmthread.rollout.records import UnreadableLevelError, read_records, read_view
from elmthread.rollout.view import Announcement, RolloutView, UnreadableAnnouncement
from elmthread.settings.platform import PlatformSettings
from elmthread.settings.rollout import RolloutSettings
from elmthread.store.client import KeyValueStore, StoreError
from elmthread.store.token_bucket import TokenBucket

OK, FAILED = 0, 1
MAX_STORE_RPS = 10.0


def run(platform: PlatformSettings, settings: RolloutSettings) -> int:
    """Print the state of the rollout; return 1 if it can't be read."""
    client = KeyValueStore(
        HttpClient(platform.endpoints.store), TokenBucket(MAX_STORE_RPS, MAX_STORE_RPS, steady_clock)
    )
    try:
        view = read_view(asyncio.run(read_records(client)).items)
    except (StoreError, UnreadableLevelError) as error:
        print(f"elmthread: {platform.endpoints.store}: {error}", file=sys.stderr)
        return FAILED
    for line in describe(view, platform.members, SUPPORTED, settings, time.time()):
        print(line)
    return OK


def describe(
    view: RolloutView, members: frozenset[str], supported: SupportedLevels, settings: RolloutSettings, now: float
) -> list[str]:
    """Return a description of the rollout's state, as lines of text."""
    lines = [f"active level: {view.level}"]
    for feature, description in REGISTRY.items():
        state = "active" if description.level <= view.level else "off"
        lines.append(f"  {feature.name} (level {description.level}): {state}; {description.what}")
    lines += [_describe_node(node, view.announcements.get(node), now) for node in sorted(members)]
    unknown_nodes = sorted(view.announcements.keys() - members)
    if unknown_nodes:
        lines.append(f"announced, but not in these settings: {', '.join(unknown_nodes)}")
    plan = plan_activation(view, members, supported)
    if isinstance(plan, Activate):
        latest = max(
            announcement.announced_at
            for announcement in view.announcements.values()
            if isinstance(announcement, Announcement)
        )
        remaining_s = max(0.0, latest + settings.soak_s - now)
        lines.append(
            f"level {plan.level} may be activated, in about {remaining_s:.0f} s or {settings.soak_s:.0f} s "
            "after the last change of leader, whichever is later"
        )
    elif plan.obstacles:
        lines += [f"level {view.level + 1} waits: {obstacle}" for obstacle in plan.obstacles]
    else:
        lines.append("this version knows no higher level")
    return lines


def _describe_node(node: str, announcement: Announcement | UnreadableAnnouncement | None, now: float) -> str:
    if announcement is None:
        return f"{node}: nothing announced"
    if isinstance(announcement, UnreadableAnnouncement):
        return f"{node}: unreadable announcement: {announcement.reason}"
    held = "" if announcement.hold_at is None else f", holds at {announcement.hold_at}"
    age_s = max(0.0, now - announcement.announced_at)
    return (
        f"{node}: levels {announcement.levels.lowest} to {announcement.levels.highest}{held}, "
        f"announced {age_s:.0f} s ago"
    )
