"""The leader's part of a rollout, for one term: reads and raises the active level, and writes the fence (`records.py`).

The level is raised by one transaction that compares the fencing token, the record of the level and each member's
announcement. New formats are written only after that, and only once the fence is durable. Versions without levels
can't read the fence, so none of them leads with formats that it would misread.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Mapping
from datetime import timedelta
from functools import partial
from typing import Any

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.features import FIRST_LEVEL, ActiveFeatures, SupportedLevels
from elmthread.leadership.context import TermContext
from elmthread.peers.connection import PeerUnreachableError
from elmthread.rollout import records
from elmthread.rollout.activation import Activate, Obstacle, ObstacleKind, plan_activation
from elmthread.rollout.gate import CompatibilityGate
from elmthread.rollout.membership import Membership
from elmthread.store import messages as store_messages
from elmthread.store.client import ConflictError, StoreError
from elmthread.store.records import LEADER_KEY
from elmthread.store.write_queue import WritePriority

log = logging.getLogger(__name__)

RETRY_INTERVAL = seconds(1)
WATCH_TIMEOUT = seconds(10)
# Interval of checks for conditions that only an operator can change.
RECHECK_INTERVAL = seconds(60)


class RolloutContext(msgspec.Struct, frozen=True):
    """The process's part of the rollout, independent of its terms."""

    membership: Membership
    gate: CompatibilityGate
    features: ActiveFeatures
    # How many keys one transaction may compare.
    max_comparisons: int
    # Returns the id of the process that another node runs now, or None if its version does not support the request;
    # raises PeerUnreachableError.
    get_process: Callable[[str], Awaitable[str | None]]

    @property
    def supported(self) -> SupportedLevels:
        """The levels whose formats this process reads."""
        return self.membership.supported


class TermRollout:
    """Reads and raises the active level during one term."""

    def __init__(self, rollout: RolloutContext, context: TermContext) -> None:
        """Assume the first level until `load`."""
        self._rollout = rollout
        self._store = context.store
        self._writer = context.writer
        self._clock = context.clock
        self._fencing_token = context.term.fencing_token
        self._level = FIRST_LEVEL
        self._fence = FIRST_LEVEL
        # The planned activation and when it was planned first; the obstacles that were logged last.
        self._planned: Activate | None = None
        self._planned_at = self._clock()
        self._logged_obstacles: tuple[Obstacle, ...] | None = None

    @property
    def supported(self) -> SupportedLevels:
        """The levels whose formats this process reads."""
        return self._rollout.supported

    @property
    def enabled(self) -> bool:
        """Whether the level is read and raised. If not, the fence alone says which formats may be read and written."""
        return self._rollout.membership.settings.enabled

    def load(self, items: Iterable[store_messages.KeyValue], packed_records: Mapping[str, Any]) -> None:
        """Set the active level from the store's records. Raises IncompatibleLevelError and UnreadableLevelError."""
        if records.FENCE_KEY in packed_records:
            fence = packed_records[records.FENCE_KEY]
            self._fence = records.read_level(records.FENCE_KEY, fence, records.FenceRecord).level
        self._level = max(records.read_view(items).level, self._fence)
        self._rollout.gate.check(self._level)
        # Formats up to the fence's level may be in the store and may be written.
        self._rollout.features.raise_level(self._fence)

    async def run(self) -> None:
        """Write the fence if it is missing, then raise the level as soon as this is allowed."""
        if self._fence < self._level:
            self._write_fence()
        while self.enabled and self._level < self._rollout.supported.highest:
            try:
                await self._raise_if_allowed()
            except StoreError as error:
                log.info("the records of the rollout were not read or written: %s", error)
                await asyncio.sleep(RETRY_INTERVAL.total_seconds())
            except records.UnreadableLevelError as error:
                log.error("%s", error)
                await asyncio.sleep(WATCH_TIMEOUT.total_seconds())

    async def _raise_if_allowed(self) -> None:
        stored = await records.read_records(self._store)
        view = records.read_view(stored.items)
        if view.level > self._level:
            # Raised by an earlier transaction of this term whose response was lost.
            self._on_activated(view.level)
            return
        plan = plan_activation(view, self._rollout.membership.members, self._rollout.supported)
        pause = WATCH_TIMEOUT
        if isinstance(plan, Activate):
            if plan != self._planned:
                self._planned, self._planned_at = plan, self._clock()
                log.info(
                    "compatibility level %s will be activated in %s s",
                    plan.level,
                    self._rollout.membership.settings.soak_s,
                )
            remaining = self._planned_at + self._rollout.membership.settings.soak - self._clock()
            if remaining <= timedelta():
                await self._activate(plan)
                return
            pause = min(pause, remaining)
        else:
            self._planned = None
            self._log_obstacles(plan.obstacles)
        await self._store.watch(records.PREFIX, stored.revision, pause)

    async def _activate(self, plan: Activate) -> None:
        obstacles = await self._process_obstacles(plan)
        if obstacles:
            self._planned = None
            self._log_obstacles(obstacles)
            await asyncio.sleep(WATCH_TIMEOUT.total_seconds())
            return
        comparisons = [
            store_messages.compare(LEADER_KEY, self._fencing_token),
            store_messages.compare(records.LEVEL_KEY, plan.level_mod_revision),
        ]
        comparisons += [
            store_messages.compare(records.node_key(node), announcement.mod_revision)
            for node, announcement in plan.announcements
        ]
        if len(comparisons) > self._rollout.max_comparisons:
            log.error(
                "%s controllers are more than one transaction can compare: the level is not raised",
                len(comparisons) - 2,
            )
            await asyncio.sleep(RECHECK_INTERVAL.total_seconds())
            return
        record = msgspec.to_builtins(records.LevelRecord(plan.level, self._fencing_token))
        try:
            await self._store.compare_and_swap(comparisons, [store_messages.put(records.LEVEL_KEY, record)])
        except ConflictError as conflict:
            log.info(
                "compatibility level %s was not activated, as these records changed: %s", plan.level, conflict.failed
            )
            self._planned = None
            await asyncio.sleep(RETRY_INTERVAL.total_seconds())
            return
        self._on_activated(plan.level)

    async def _process_obstacles(self, plan: Activate) -> tuple[Obstacle, ...]:
        """Return an obstacle for each node that responds with another process id than it has announced.

        A node that was rolled back to a version without levels announces nothing, so its earlier announcement is
        still stored. For a node that does not respond, its announcement counts: if it comes back with a version
        without levels, the fence prevents it from leading.
        """
        obstacles = []
        for node, announcement in plan.announcements:
            if node == self._rollout.membership.node:
                continue
            try:
                process = await self._rollout.get_process(node)
            except PeerUnreachableError:
                continue
            if process != announcement.process:
                obstacles.append(Obstacle(node, ObstacleKind.OTHER_PROCESS))
        return tuple(obstacles)

    def _on_activated(self, level: int) -> None:
        self._level = level
        log.info("compatibility level %s is active", level)
        self._write_fence()

    def _write_fence(self) -> None:
        record = records.FenceRecord(self._level)
        on_durable = partial(self._on_fence_durable, self._level)
        self._writer.write(records.FENCE_KEY, WritePriority.USER, lambda: record, on_durable)

    def _on_fence_durable(self, level: int) -> None:
        self._fence = level
        self._rollout.features.raise_level(level)

    def _log_obstacles(self, obstacles: tuple[Obstacle, ...]) -> None:
        if obstacles == self._logged_obstacles:
            return
        self._logged_obstacles = obstacles
        for obstacle in obstacles:
            log.info("compatibility level %s waits: %s", self._level + 1, obstacle)
