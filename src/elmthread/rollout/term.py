"""The leader's part of a rollout, for one term: reads the active level, raises it, and puts up the fence.

The level is raised by one transaction that compares the leader's token, the record of the level and each
member's announcement. New forms are written only after that, and only once the fence is durable: a record
that versions without levels can't read, so none of them leads on forms that it would misread.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping
from datetime import timedelta
from typing import Any

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.features import FIRST_LEVEL, ActiveFeatures, SupportedLevels
from elmthread.leadership.context import TermContext
from elmthread.peers.link import PeerUnreachableError
from elmthread.rollout import messages
from elmthread.rollout.decide import Activate, Obstacle, ObstacleKind, plan_activation
from elmthread.rollout.gate import CompatibilityGate
from elmthread.rollout.store import read_records
from elmthread.settings.rollout import RolloutSettings
from elmthread.store import messages as store
from elmthread.store.client import ConflictError, StoreError
from elmthread.store.records import LEADER
from elmthread.store.write_queue import WritePriority

log = logging.getLogger(__name__)

RETRY = seconds(1)
WATCH = seconds(10)
# What only an operator can change is looked at again after this time.
LOOK_AGAIN = seconds(60)


class RolloutContext(msgspec.Struct, frozen=True):
    """What a process has of the rollout, whoever leads."""

    node: str
    members: frozenset[str]
    supported: SupportedLevels
    settings: RolloutSettings
    gate: CompatibilityGate
    features: ActiveFeatures
    # Conditions that one transaction may have.
    max_comparisons: int
    # Which process another node runs now; raises PeerUnreachableError.
    process_of: Callable[[str], Awaitable[str | None]]


class TermRollout:
    """Reads and raises the level under one token."""

    def __init__(self, rollout: RolloutContext, context: TermContext) -> None:
        """The level counts as the first until `load`."""
        self._context = rollout
        self._client = context.store
        self._writer = context.writer
        self._clock = context.clock
        self._fencing_token = context.term.fencing_token
        self._level = FIRST_LEVEL
        self._fence = FIRST_LEVEL
        # What is planned, and since when; what was last told of as an obstacle.
        self._planned: Activate | None = None
        self._planned_at = self._clock()
        self._told: tuple[Obstacle, ...] | None = None

    @property
    def supported(self) -> SupportedLevels:
        """The levels whose forms this process reads."""
        return self._context.supported

    @property
    def enabled(self) -> bool:
        """Whether the level is read and raised. Without that, only the fence says what may be met and written."""
        return self._context.settings.enabled

    def load(self, items: Iterable[store.KeyValue], records: Mapping[str, Any]) -> None:
        """Takes in the active level. Raises IncompatibleLevelError and UnreadableLevelError."""
        if messages.FENCE_KEY in records:
            self._fence = messages.read_fence(records[messages.FENCE_KEY]).level
        self._level = max(messages.read_view(items).level, self._fence)
        self._context.gate.check(self._level)
        # Forms up to the fence's level may stand in the store, and may be written.
        self._context.features.raise_level(self._fence)

    async def run(self) -> None:
        """Puts up the fence where it is missing, then raises the level as soon as it may be."""
        if self._fence < self._level:
            self._put_up_fence()
        while self.enabled and self._level < self._context.supported.highest:
            try:
                await self._look()
            except StoreError as error:
                log.info("compatibility level: %s", error)
                await asyncio.sleep(RETRY.total_seconds())
            except messages.UnreadableLevelError as error:
                log.error("%s", error)
                await asyncio.sleep(WATCH.total_seconds())

    async def _look(self) -> None:
        records = await read_records(self._client)
        view = messages.read_view(records.items)
        if view.level > self._level:
            # An earlier transaction of this term, of which no answer came.
            self._activated(view.level)
            return
        plan = plan_activation(view, self._context.members, self._context.supported)
        pause = WATCH
        if isinstance(plan, Activate):
            if plan != self._planned:
                self._planned, self._planned_at = plan, self._clock()
                log.info("compatibility level %s: in %s s", plan.level, self._context.settings.soak_s)
            left = self._planned_at + self._context.settings.soak - self._clock()
            if left <= timedelta():
                await self._activate(plan)
                return
            pause = min(pause, left)
        else:
            self._planned = None
            self._tell(plan.obstacles)
        await self._client.watch(messages.PREFIX, records.revision, pause)

    async def _activate(self, plan: Activate) -> None:
        strangers = await self._other_processes(plan)
        if strangers:
            self._planned = None
            self._tell(strangers)
            await asyncio.sleep(WATCH.total_seconds())
            return
        comparisons = [
            store.compare(LEADER, self._fencing_token),
            store.compare(messages.LEVEL_KEY, plan.level_mod_revision),
        ]
        comparisons += [
            store.compare(messages.node_key(node), found.mod_revision) for node, found in plan.announcements
        ]
        if len(comparisons) > self._context.max_comparisons:
            log.error("%s controllers are more than one transaction can compare: the level stays", len(comparisons) - 2)
            await asyncio.sleep(LOOK_AGAIN.total_seconds())
            return
        record = msgspec.to_builtins(messages.LevelRecord(plan.level, self._fencing_token))
        try:
            await self._client.compare_and_swap(comparisons, [store.put(messages.LEVEL_KEY, record)])
        except ConflictError as lost:
            log.info("compatibility level %s: not raised, as these have changed: %s", plan.level, lost.failed)
            self._planned = None
            await asyncio.sleep(RETRY.total_seconds())
            return
        self._activated(plan.level)

    async def _other_processes(self, plan: Activate) -> tuple[Obstacle, ...]:
        """Nodes that answer, but not as the process that announced itself.

        A node that was rolled back to a version without levels announces nothing, so its earlier
        announcement still stands. One that does not answer counts by what it has announced: should it come
        back with such a version, the fence keeps it from leading.
        """
        found = []
        for node, announcement in plan.announcements:
            if node == self._context.node:
                continue
            try:
                process = await self._context.process_of(node)
            except PeerUnreachableError:
                continue
            if process != announcement.process:
                found.append(Obstacle(node, ObstacleKind.OTHER_PROCESS))
        return tuple(found)

    def _activated(self, level: int) -> None:
        self._level = level
        log.info("compatibility level %s is active", level)
        self._put_up_fence()

    def _put_up_fence(self) -> None:
        level = self._level

        def durable() -> None:
            self._fence = level
            self._context.features.raise_level(level)

        self._writer.write(messages.FENCE_KEY, WritePriority.USER, lambda: messages.FenceRecord(level), durable)

    def _tell(self, obstacles: tuple[Obstacle, ...]) -> None:
        if obstacles == self._told:
            return
        self._told = obstacles
        for obstacle in obstacles:
            log.info("compatibility level %s waits: %s", self._level + 1, obstacle)
