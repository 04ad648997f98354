"""Rollouts that lack one guard each, and the days on which a check must see it."""

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
    """Replace a new process by an old one at once: the new one's announcement arrives after the old one's."""
    for node in NODES[:2]:
        replace(world, node, SUPPORTED, 0.1)
    await asyncio.sleep(6)
    for turn in range(6):
        replace(world, NODES[2], SUPPORTED, 0.05)
        await asyncio.sleep(0.052 + 0.004 * turn)
        # Whatever it has sent by now arrives within six seconds.
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
    """Leave a node's announcement that names another process than the one that runs."""
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(2)
    assert world.leader is not None
    back = next(node for node in NODES if node != world.leader.node)
    # Without the setting it announces nothing, as a version that knows no levels.
    world.rollout = RolloutSettings()
    replace(world, back, PREVIOUS_LEVELS, 0.2)
    await asyncio.sleep(0.5)
    world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
    await asyncio.sleep(4 * SOAK_S)
    assert world.store.items[f"rollout/nodes/{back}"][0]["highest"] == SUPPORTED.highest
    assert stored_level(world) == 1, "active though a node runs a version that announced nothing"
    replace(world, back, SUPPORTED, 0.2)
    await wait_for_level(world, SUPPORTED.highest)


# Faults: one guard less, or another rule. A day made for each of them shows that a check sees it.


def by_majority(view: RolloutView, members: frozenset[str], supported: Any) -> Activate | Wait:
    """Raise the level once most nodes have it."""
    able = {node for node, one in view.announcements.items() if getattr(one, "levels", PREVIOUS_LEVELS).highest >= 2}
    if view.level < 2 and len(able) * 2 > len(members):
        found = {node: one for node, one in view.announcements.items() if isinstance(one, Announcement)}
        return Activate(2, view.level_mod_revision, tuple((node, found[node]) for node in able))
    return plan_activation(view, members, supported)


class GuardsLeftOut:
    """The store's messages, but keys of a kind are not compared."""

    def __init__(self, left_out: str) -> None:
        self._left_out, self.put = left_out, store.put

    def compare(self, key: str, mod_revision: int) -> store.Comparison:
        """Return the comparison, of a key that never exists where it is left out."""
        return store.compare("never", 0) if self._left_out in key else store.compare(key, mod_revision)


async def upgrade_most(world: World) -> None:
    for node in NODES[:2]:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(3)
    # If the version before leads, one of the others does from now on.
    replace(world, NODES[2], PREVIOUS_LEVELS, 3.0)
    await asyncio.sleep(4 * SOAK_S)


def transaction(comparisons: list[store.Comparison], put: store.Put) -> dict[str, Any]:
    """Return the transaction as it is on the wire."""
    body: dict[str, Any] = msgspec.to_builtins(store.Transaction(comparisons, [put]))
    return body


def announce_before(world: World, node: str) -> dict[str, Any]:
    """Return the transaction by which a process of the version before announces itself."""
    key = f"rollout/nodes/{node}"
    record = world.store.items[key][0] | {"lowest": 1, "highest": 1, "process": "rolled back"}
    comparisons = [store.compare(key, world.store.items[key][1])]
    if "rollout/level" in world.store.items:
        comparisons.append(store.compare("rollout/level", world.store.items["rollout/level"][1]))
    return transaction(comparisons, store.put(key, record))


def before_putting(world: World, key: str, call: Callable[[], None]) -> None:
    """Call once, right before the first transaction that puts the key is carried out."""
    transact, called = world.store._transact, False

    def watched(body: Any) -> Any:
        nonlocal called
        if not called and any(change.get("put") == key for change in body.get("then", [])):
            called = True
            call()
        return transact(body)

    world.store._transact = watched  # type: ignore[method-assign]


async def roll_back_as_the_level_rises(world: World) -> None:
    def rolled_back() -> None:
        answer = world.store._transact(announce_before(world, NODES[2]))
        assert answer.status == 200

    before_putting(world, "rollout/level", rolled_back)
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(3 * SOAK_S)


async def raise_the_level_as_a_process_announces_itself(world: World) -> None:
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await asyncio.sleep(2)

    def raised() -> None:
        fencing_token = world.store.items["leader"][1]
        put = store.put("rollout/level", {"level": 2, "token": fencing_token})
        assert world.store._transact(transaction([], put)).status == 200

    before_putting(world, f"rollout/nodes/{NODES[2]}", raised)
    replace(world, NODES[2], PREVIOUS_LEVELS, 0.2)
    await asyncio.sleep(10)


async def mark_tasks_done_before_the_upgrade(world: World) -> None:
    await submit_some(world)
    await asyncio.sleep(16)


async def mark_tasks_done(world: World) -> None:
    """Upgraded, with a job of which some tasks are done and stored."""
    await upgrade_all(world)
    await submit_some(world)
    await asyncio.sleep(16)


async def roll_all_back(world: World) -> None:
    await mark_tasks_done(world)
    for node in NODES:
        replace(world, node, PREVIOUS_LEVELS, 0.2)
    await asyncio.sleep(10)


def learn_at_once(rollout: TermRollout) -> None:
    """Use new forms without the fence."""
    rollout._rollout.features.raise_level(rollout._level)


MUTATIONS: dict[str, tuple[Callable[[], Any], Callable[[World], Awaitable[None]]]] = {
    "a majority is enough": (lambda: mock.patch.object(term_module, "plan_activation", by_majority), upgrade_most),
    "the activation does not compare the announcements": (
        lambda: mock.patch.object(term_module, "store_messages", GuardsLeftOut("/nodes/")),
        roll_back_as_the_level_rises,
    ),
    "an announcement does not compare the level": (
        lambda: mock.patch.object(gate_module, "store_messages", GuardsLeftOut("rollout/level")),
        raise_the_level_as_a_process_announces_itself,
    ),
    "an announcement does not compare the one before it": (
        lambda: mock.patch.object(gate_module, "store_messages", GuardsLeftOut("/nodes/")),
        announce_late,
    ),
    "new forms do not wait for the level": (
        lambda: mock.patch.object(ActiveFeatures, "is_active", lambda self, feature: True),
        mark_tasks_done_before_the_upgrade,
    ),
    "new forms do not wait for the fence": (
        lambda: mock.patch.object(TermRollout, "_write_fence", learn_at_once),
        mark_tasks_done,
    ),
    "processes are not asked which they are": (
        lambda: mock.patch.object(TermRollout, "_other_processes", mock.AsyncMock(return_value=())),
        roll_back_unannounced,
    ),
    "every process is admitted": (
        lambda: mock.patch.object(CompatibilityGate, "check", lambda self, level: None),
        roll_all_back,
    ),
}
