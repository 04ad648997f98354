"""Simulated staged rollouts: a feature is off until every controller supports it, then turned on once."""

import asyncio
from typing import Any

import pytest

from elmthread.common.features import SUPPORTED, Feature
from elmthread.settings.rollout import RolloutSettings
from tests.world import earlier_reader
from tests.world.rollouts import (
    PREVIOUS_LEVELS,
    SOAK_S,
    RolloutMonitor,
    configure_previous_version,
    done_in_store,
    replace,
    stored_level,
    wait_for_level,
)
from tests.world.settings import NODES
from tests.world.staged_days import staged_day, submit_some, upgrade_all, wait_until_done
from tests.world.world import World


def test_a_feature_stays_off_until_the_last_node_supports_it_and_turns_on_once() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        for node in NODES:
            assert stored_level(world) == 1
            replace(world, node, SUPPORTED, 1.0)
            await asyncio.sleep(8)
            if node != NODES[-1]:
                # Whichever node leads, the previous version can read what it writes.
                earlier_reader.read(world.store.values())
        await wait_for_level(world, SUPPORTED.highest)
        assert len(monitor.activations) == 1
        for one in world.controllers.values():
            assert one.rollout.features.is_active(Feature.DONE_BITMAPS)
        # The version in production reads the store until the fence is written, and refuses it from then on.
        with pytest.raises(earlier_reader.UnreadableError):
            earlier_reader.read(world.store.values())
        ids += await submit_some(world, 4, 10)
        await asyncio.sleep(14)
        assert world.leader is not None
        world.kill(world.leader.node)
        await wait_until_done(world, ids)
        assert monitor.loads >= 2

    world = staged_day(script)
    assert max(world.rules.starts.values()) == 1


def test_a_rollout_costs_one_transaction_per_start_and_few_requests() -> None:
    """Count two requests per start, one per load, two every ten seconds while the leader waits, then none."""
    requests: list[str] = []

    async def script(world: World, monitor: RolloutMonitor) -> None:
        apply, serve = world.store.apply, world.store.serve

        def apply_and_record(method: str, path: str, body: Any) -> Any:
            if method == "GET" and "starts=rollout/" in path:
                requests.append("read")
            elif path == "/txn" and any(one.get("put", "").startswith("rollout/") for one in body["then"]):
                requests.append("write")
            return apply(method, path, body)

        async def serve_and_record(method: str, path: str, body: Any) -> Any:
            if path.startswith("/watch?starts=rollout/"):
                requests.append("watch")
            return await serve(method, path, body)

        world.store.apply, world.store.serve = apply_and_record, serve_and_record  # type: ignore[method-assign]
        await upgrade_all(world)
        # Three starts and the activation.
        assert requests.count("write") == 4
        # One read per start, per load, and per announcement that wakes the leader.
        assert requests.count("read") <= 3 + 3 + 8 and requests.count("watch") <= 8
        requests.clear()
        await asyncio.sleep(60)
        assert requests == []

    staged_day(script)


def test_the_level_waits_for_the_soak_time_and_a_new_announcement_restarts_it() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        for node in NODES:
            replace(world, node, SUPPORTED, 0.1)
        await asyncio.sleep(6)
        assert stored_level(world) == 1
        follower = next(node for node in NODES if world.leader and node != world.leader.node)
        replace(world, follower, SUPPORTED, 0.1)
        replaced_at = world.loop.now
        await wait_for_level(world, SUPPORTED.highest)
        assert monitor.activations[0] - replaced_at >= 10.0

    def before(world: World) -> None:
        configure_previous_version(world)
        world.rollout = RolloutSettings(enabled=True, soak_s=10.0)

    staged_day(script, before)


# `new`, `back` and `held` replace a node's process by this version, by the previous one, or by this one with an
# operator's hold; `end` kills it. `wait` is longer than the soak time; `off` checks that the level has not risen.
SCENARIOS = {
    "rolled back halfway": "new 0, new 1, wait, back 0, new 2, wait, off, new 0",
    "down meanwhile, and back as before": "end 2, new 0, new 1, wait, off, back 2, wait, off, new 2",
    "rolled back twice": "new 2, wait, back 2, new 1, new 0, wait, off, new 2, back 2, wait, off, new 2",
    "held by an operator on one node": "new 0, new 2, held 1, wait, wait, off, new 1",
}


@pytest.mark.parametrize("steps", SCENARIOS.values(), ids=SCENARIOS)
def test_the_level_does_not_rise_while_one_node_is_old_or_down_or_holds_it(steps: str) -> None:
    async def apply_step(world: World, kind: str, node: str) -> None:
        hold_at = 1 if kind == "held" else None
        world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S, hold_at=hold_at)
        if kind == "end":
            world.kill(node)
        else:
            replace(world, node, PREVIOUS_LEVELS if kind == "back" else SUPPORTED, 0.5)
            await asyncio.sleep(1)

    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        for step in steps.split(", "):
            kind, *number = step.split()
            if kind == "wait":
                await asyncio.sleep(3 * SOAK_S)
            elif kind == "off":
                assert stored_level(world) == 1
                assert all(one.rollout.gate.admitted for one in world.controllers.values())
            else:
                await apply_step(world, kind, NODES[int(number[0])])
        await wait_for_level(world, SUPPORTED.highest)
        await wait_until_done(world, ids)

    staged_day(script)


def test_a_store_written_by_the_version_without_levels_is_upgraded() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        await asyncio.sleep(6)
        assert not any(key.startswith("rollout/") for key in world.store.items)
        # The rollout is enabled node by node, together with the new version.
        world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
        for node in NODES:
            assert stored_level(world) == 1
            replace(world, node, SUPPORTED, 1.0)
            await asyncio.sleep(6)
        await wait_for_level(world, SUPPORTED.highest)
        await wait_until_done(world, ids)

    def before(world: World) -> None:
        world.levels = dict.fromkeys(world.nodes, PREVIOUS_LEVELS)

    staged_day(script, before)


def test_without_the_setting_no_level_is_announced_or_raised_but_an_active_one_still_applies() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        await asyncio.sleep(3 * SOAK_S)
        assert not any(key.startswith("rollout/") for key in world.store.items)
        world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
        await upgrade_all(world)
        ids = await submit_some(world)
        while not any(done_in_store(world).values()):
            assert any(world.rules.reported_states[job_id] != "done" for job_id in ids)
            await asyncio.sleep(0.2)
        world.rollout = RolloutSettings()
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        await asyncio.sleep(5)
        assert all(one.rollout.features.level == SUPPORTED.highest for one in world.controllers.values() if one.leader)
        await wait_until_done(world, ids)

    staged_day(script, lambda world: None)
