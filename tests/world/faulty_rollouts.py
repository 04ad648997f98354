"""Rollouts with one safeguard removed or one rule changed, and scenarios in which a check must detect it."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import msgspec

from elmthread.common.features import SUPPORTED, ActiveFeatures
from elmthread.rollout import gate as gate_module
from elmthread.rollout import term as term_module
from elmthread.rollout.activation import Activate, Wait, plan_activation
from elmthread.rollout.gate import CompatibilityGate
from elmthread.rollout.term import TermRollout
from elmthread.rollout.view import Announcement, RolloutView
from elmthread.settings.rollout import RolloutSettings
from elmthread.store import messages as store
from tests.world.rollouts import PREVIOUS_LEVELS, SOAK_S, replace, stored_level, wait_for_level
from tests.world.settings import NODES
from tests.world.staged_days import submit_some, upgrade_all
from tests.world.world import World


async def announce_late(world: World) -> None:
    """Kill a process so soon after its start that its announcement arrives after that of its successor.

    The process runs this version, and the successor the previous one.
    """
    for node in NODES[:2]:
        replace(world, node, SUPPORTED, 0.1)
    await asyncio.sleep(6)
    for turn in range(6):
        replace(world, NODES[2], SUPPORTED, 0.05)
        await asyncio.sleep(0.052 + 0.004 * turn)
        # Requests that it sends in these 20 ms are applied up to 20 s after their timeout or 6 s after its end.
        if NODES[2] in world.controllers:
            world.ports[NODES[2]].store.faults.late_share = 1.0
            await asyncio.sleep(0.02)
            world.kill(NODES[2])
            world.ports[NODES[2]].store.faults.delivered_after_end = True
        replace(world, NODES[2], PREVIOUS_LEVELS, 0.05)
        await asyncio.sleep(1.0)
        assert world.store.items[f"rollout/nodes/{NODES[2]}"][0]["highest"] == 1
        await asyncio.sleep(12 + SOAK_S)
        assert world.store.items[f"rollout/nodes/{NODES[2]}"][0]["highest"] == 1
        assert stored_level(world) == 1


async def roll_back_unannounced(world: World) -> None:
    """Leave an announcement in the store that names another process than the one that the node runs."""
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(2)
    assert world.leader is not None
    rolled_back_node = next(node for node in NODES if node != world.leader.node)
    # With rollout disabled it announces nothing, like a version without levels.
    world.rollout = RolloutSettings()
    replace(world, rolled_back_node, PREVIOUS_LEVELS, 0.2)
    await asyncio.sleep(0.5)
    world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
    await asyncio.sleep(4 * SOAK_S)
    assert world.store.items[f"rollout/nodes/{rolled_back_node}"][0]["highest"] == SUPPORTED.highest
    assert stored_level(world) == 1, "the level is active although a node runs a version that announced nothing"
    replace(world, rolled_back_node, SUPPORTED, 0.2)
    await wait_for_level(world, SUPPORTED.highest)


# Mutations: each removes a safeguard or changes a rule, and has a scenario in which a check must detect it.


def activate_by_majority(view: RolloutView, members: frozenset[str], supported: Any) -> Activate | Wait:
    """Activate level 2 as soon as a majority of the nodes supports it."""
    supporting = {
        node for node, one in view.announcements.items() if getattr(one, "levels", PREVIOUS_LEVELS).highest >= 2
    }
    if view.level < 2 and len(supporting) * 2 > len(members):
        found = {node: one for node, one in view.announcements.items() if isinstance(one, Announcement)}
        return Activate(2, view.level_mod_revision, tuple((node, found[node]) for node in supporting))
    return plan_activation(view, members, supported)


class MessagesWithoutComparisons:
    """Replaces the module of store messages; omits comparisons of keys that contain `omitted`."""

    def __init__(self, omitted: str) -> None:
        self._omitted, self.put = omitted, store.put

    def compare(self, key: str, mod_revision: int) -> store.Comparison:
        """Return the comparison, or for an omitted key one that always succeeds: that no key `never` exists."""
        return store.compare("never", 0) if self._omitted in key else store.compare(key, mod_revision)


async def upgrade_most(world: World) -> None:
    for node in NODES[:2]:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(3)
    # If the node with the previous version leads, one of the others takes over.
    replace(world, NODES[2], PREVIOUS_LEVELS, 3.0)
    await asyncio.sleep(4 * SOAK_S)


def transaction(comparisons: list[store.Comparison], put: store.Put) -> dict[str, Any]:
    """Return the transaction as encoded on the wire."""
    body: dict[str, Any] = msgspec.to_builtins(store.Transaction(comparisons, [put]))
    return body


def previous_version_announcement(world: World, node: str) -> dict[str, Any]:
    """Return the transaction with which a process of the previous version announces itself."""
    key = f"rollout/nodes/{node}"
    record = world.store.items[key][0] | {"lowest": 1, "highest": 1, "process": "rolled back"}
    comparisons = [store.compare(key, world.store.items[key][1])]
    if "rollout/level" in world.store.items:
        comparisons.append(store.compare("rollout/level", world.store.items["rollout/level"][1]))
    return transaction(comparisons, store.put(key, record))


def call_before_put(world: World, key: str, call: Callable[[], None]) -> None:
    """Call once, right before the first transaction that puts the key is applied."""
    transact, called = world.store._transact, False

    def watched(body: Any) -> Any:
        nonlocal called
        if not called and any(change.get("put") == key for change in body.get("then", [])):
            called = True
            call()
        return transact(body)

    world.store._transact = watched  # type: ignore[method-assign]


async def roll_back_as_the_level_rises(world: World) -> None:
    def announce_rollback() -> None:
        answer = world.store._transact(previous_version_announcement(world, NODES[2]))
        assert answer.status == 200

    call_before_put(world, "rollout/level", announce_rollback)
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(3 * SOAK_S)


async def raise_the_level_as_a_process_announces_itself(world: World) -> None:
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(2)

    def raise_stored_level() -> None:
        fencing_token = world.store.items["leader"][1]
        put = store.put("rollout/level", {"level": 2, "token": fencing_token})
        assert world.store._transact(transaction([], put)).status == 200

    call_before_put(world, f"rollout/nodes/{NODES[2]}", raise_stored_level)
    replace(world, NODES[2], PREVIOUS_LEVELS, 0.2)
    await asyncio.sleep(10)


async def mark_tasks_done_before_the_upgrade(world: World) -> None:
    await submit_some(world)
    await asyncio.sleep(16)


async def mark_tasks_done(world: World) -> None:
    """Upgrade all nodes and run jobs until some tasks are stored as done."""
    await upgrade_all(world)
    await submit_some(world)
    await asyncio.sleep(16)


async def roll_all_back(world: World) -> None:
    await mark_tasks_done(world)
    for node in NODES:
        replace(world, node, PREVIOUS_LEVELS, 0.2)
    await asyncio.sleep(10)


def raise_level_without_fence(rollout: TermRollout) -> None:
    """Use new record forms without writing the fence."""
    rollout._rollout.features.raise_level(rollout._level)


MUTATIONS: dict[str, tuple[Callable[[], Any], Callable[[World], Awaitable[None]]]] = {
    "a majority is enough": (
        lambda: mock.patch.object(term_module, "plan_activation", activate_by_majority),
        upgrade_most,
    ),
    "the activation does not compare the announcements": (
        lambda: mock.patch.object(term_module, "store_messages", MessagesWithoutComparisons("/nodes/")),
        roll_back_as_the_level_rises,
    ),
    "an announcement does not compare the level": (
        lambda: mock.patch.object(gate_module, "store_messages", MessagesWithoutComparisons("rollout/level")),
        raise_the_level_as_a_process_announces_itself,
    ),
    "an announcement does not compare the one before it": (
        lambda: mock.patch.object(gate_module, "store_messages", MessagesWithoutComparisons("/nodes/")),
        announce_late,
    ),
    "new forms do not wait for the level": (
        lambda: mock.patch.object(ActiveFeatures, "is_active", lambda self, feature: True),
        mark_tasks_done_before_the_upgrade,
    ),
    "new forms do not wait for the fence": (
        lambda: mock.patch.object(TermRollout, "_write_fence", raise_level_without_fence),
        mark_tasks_done,
    ),
    "processes are not asked which they are": (
        lambda: mock.patch.object(TermRollout, "_process_obstacles", mock.AsyncMock(return_value=())),
        roll_back_unannounced,
    ),
    "every process is admitted": (
        lambda: mock.patch.object(CompatibilityGate, "check", lambda self, level: None),
        roll_all_back,
    ),
}
