"""Staged rollouts with lost responses, crashes and unreadable records."""

import asyncio
import logging
from typing import Any

import pytest

from elmthread.common.features import SUPPORTED
from elmthread.rollout.gate import GateState
from elmthread.settings.rollout import RolloutSettings
from tests.world import earlier_reader
from tests.world.faulty_rollouts import announce_late, roll_back_unannounced
from tests.world.loop import play
from tests.world.rollouts import (
    PREVIOUS_LEVELS,
    SOAK_S,
    RolloutMonitor,
    configure_previous_version,
    monitored,
    replace,
    stored_level,
    wait_for_level,
)
from tests.world.settings import NODES
from tests.world.specs import job
from tests.world.staged_days import staged_day, submit_some, upgrade_all, wait_until_done
from tests.world.world import World, start


async def check_refused(world: World, node: str) -> None:
    controller = world.controllers[node]
    assert controller.rollout.gate.state is GateState.REFUSED and controller.election.role.name == "FOLLOWER"
    assert (await world.ask("GET", "/ready", node=node)).status == 503
    answer = await world.ask("GET", "/submissions/run-000000", node=node)
    assert answer.status == 503 and answer.retry_after is not None and answer.close


def test_a_version_that_does_not_read_the_active_level_takes_no_part_and_logs_what_to_do(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def scenario(world: World) -> None:
        with monitored(world) as monitor:
            await upgrade_all(world)
            ids = await submit_some(world)
            # The leader itself is rolled back: the others keep serving, and it does not act on what it would misread.
            assert world.leader is not None
            rolled_back = world.leader.node
            replace(world, rolled_back, PREVIOUS_LEVELS, 0.3)
            await asyncio.sleep(8)
            await check_refused(world, rolled_back)
            assert world.leader is not None and world.leader.node != rolled_back
            # It does not lead as the only running node either.
            for node in NODES:
                if node != rolled_back:
                    world.kill(node)
            await asyncio.sleep(40)
            await check_refused(world, rolled_back)
            assert world.leader is None
            for node in NODES:
                replace(world, node, SUPPORTED, 0.5)
            await wait_until_done(world, ids)
            assert (await world.ask("GET", "/ready", node=rolled_back)).status == 200
        assert monitor.violations == [] and len(monitor.activations) == 1

    world = World(3)
    configure_previous_version(world)

    async def main() -> None:
        world.rent("large", "east")
        for node in world.nodes:
            world.start(node)
        await scenario(world)

    with caplog.at_level(logging.ERROR, "elmthread"):
        play(main(), world.loop)
    assert world.rules.violations == []
    errors = [record.getMessage() for record in caplog.records]
    # Logged once, not at every try.
    assert len(errors) == 1
    assert f"level {SUPPORTED.highest} is active" in errors[0] and "start a version that reads" in errors[0]


def test_late_requests_of_a_nodes_ended_process_cannot_replace_the_present_announcement() -> None:
    staged_day(lambda world, monitor: announce_late(world))


def test_more_controllers_than_a_transaction_can_compare_keep_the_level(caplog: pytest.LogCaptureFixture) -> None:
    world = World()
    world.rollout = RolloutSettings(enabled=True, soak_s=1.0)
    # Four keys can be compared: the token, the level and two announcements.
    world.limits = {"txn_ops": 1}

    async def main() -> None:
        for node in world.nodes:
            world.start(node)
        await asyncio.sleep(30)
        assert stored_level(world) == 1 and await world.submit(job(1))

    with caplog.at_level(logging.ERROR, "elmthread"):
        play(main(), world.loop)
    assert [record.getMessage().split(":")[0] for record in caplog.records] == [
        "3 controllers are more than one transaction can compare"
    ]
    assert world.store.bad_requests == []


@pytest.mark.parametrize("seed", range(3))
def test_an_activation_whose_response_is_lost_is_found_in_the_store_and_not_repeated(seed: int) -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world)
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        await asyncio.sleep(3)
        for node in NODES:
            world.ports[node].store.faults.lost_response_share = 0.6
        await asyncio.sleep(2 * SOAK_S)
        for node in NODES:
            world.ports[node].store.faults.lost_response_share = 0.0
        await wait_for_level(world, SUPPORTED.highest)
        await wait_until_done(world, ids)

    staged_day(script, seed=seed)


def test_a_leader_that_ends_between_activation_and_fence_leaves_the_fence_to_the_next() -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        killed_nodes: list[str] = []
        level_written = monitor._level_written

        def kill_the_leader(before: int, level: int) -> None:
            level_written(before, level)
            node = next(one.node for one in world.controllers.values() if one.election.holds_lease())
            killed_nodes.append(node)
            world.loop.call_soon(world.kill, node)

        monitor._level_written = kill_the_leader  # type: ignore[method-assign]
        for node in NODES:
            replace(world, node, SUPPORTED, 0.5)
        while not killed_nodes:
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.1)
        # No record of the new level has been written yet: the version in production can read the store.
        earlier_reader.read(world.store.values())
        ids = await submit_some(world)
        start(world, killed_nodes[0])
        await wait_for_level(world, SUPPORTED.highest)
        await wait_until_done(world, ids)

    staged_day(script)


@pytest.mark.parametrize(
    ("key", "value", "expected_text"),
    [
        ("rollout/level", {"level": "two", "token": 1}, "rollout/level"),
        ("rollout/level", {"level": 0, "token": 1}, "rollout/level"),
        ("rollout/level", 2, "rollout/level"),
        ("rollout/level", {"level": 9, "token": 1}, "level 9 is active"),
    ],
)
def test_no_node_leads_while_the_active_level_cannot_be_read(
    key: str, value: Any, expected_text: str, caplog: pytest.LogCaptureFixture
) -> None:
    world = World()
    world.rollout = RolloutSettings(enabled=True, soak_s=SOAK_S)
    world.store.items[key] = (value, 1, None)

    async def main() -> None:
        for node in world.nodes:
            world.start(node)
        await asyncio.sleep(30)
        assert world.leader is None
        assert (await world.ask("GET", "/ready")).status == 503
        # Once an operator has corrected the record, a node leads without a restart.
        world.store.revision += 1
        world.store.items[key] = ({"level": 1, "token": 1}, world.store.revision, None)
        await asyncio.sleep(20)
        assert world.leader is not None and await world.submit(job(1))

    with caplog.at_level(logging.ERROR, "elmthread"):
        play(main(), world.loop)
    assert any(expected_text in record.getMessage() for record in caplog.records)


@pytest.mark.parametrize(
    "value",
    [
        "rubbish",
        {"lowest": 2, "highest": 1, "members": NODES, "process": "x", "announced_at": 1.0},
        {"lowest": 1, "highest": 2, "process": "x", "announced_at": 1.0},
        {"lowest": 1, "highest": 2, "members": NODES[:2], "process": "x", "announced_at": 1.0},
    ],
)
def test_an_announcement_that_is_unreadable_or_names_other_members_counts_as_none(value: Any) -> None:
    async def script(world: World, monitor: RolloutMonitor) -> None:
        await asyncio.sleep(1)
        world.kill(NODES[2])
        world.store.revision += 1
        world.store.items[f"rollout/nodes/{NODES[2]}"] = (value, world.store.revision, None)
        for node in NODES[:2]:
            replace(world, node, SUPPORTED, 0.5)
        await asyncio.sleep(4 * SOAK_S)
        assert stored_level(world) == 1
        # The node replaces it when it restarts with the new version.
        replace(world, NODES[2], SUPPORTED, 0.5)
        await wait_for_level(world, SUPPORTED.highest)

    staged_day(script)


def test_a_node_rolled_back_to_a_version_without_levels_is_detected_while_it_answers() -> None:
    staged_day(lambda world, monitor: roll_back_unannounced(world))
