"""Heartbeats that go unanswered, come late, come twice or cannot be read."""

import asyncio
from functools import partial
from typing import Any

import pytest

from elmthread.cluster.machine import Machine
from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World


def machine(world: World, name: str) -> Machine | None:
    assert world.leader is not None and world.leader.leader is not None
    return world.leader.leader.cluster.machines.get(name)


def busiest(world: World) -> str:
    names = [name for name, _ in world.rules.running]
    return max(set(names), key=names.count)


# A machine's reports arrive, answers and commands don't


@pytest.mark.parametrize("heals", [False, True])
def test_deaf_machine_gets_nothing_new_until_answers_are_seen_to_arrive(heals: bool) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=90, urgency="high", true_s=20.0, expected_s=20.0))
        await asyncio.sleep(8)
        name = busiest(world)
        lost = {task for on, task in world.rules.running if on == name}
        world.workers_without_responses.add(name)
        # Its lease runs out, its tasks die, and it reports on with a higher session.
        await asyncio.sleep(14)
        assert not [task for on, task in world.rules.running if on == name]
        await asyncio.sleep(8)
        assert lost & {task for _, task in world.rules.running} | (lost & world.rules.finished)
        if heals:
            world.workers_without_responses.discard(name)
            await asyncio.sleep(3)
        # However much waits, it has been given nothing.
        assert await world.submit(job(2, pieces=160, urgency="high", true_s=20.0, expected_s=20.0))
        seen = set()
        for _ in range(50):
            await asyncio.sleep(0.2)
            found = machine(world, name)
            seen |= {allocation.job.id for allocation in found.allocations.values()} if found else set()
        assert "run-000002" not in seen
        await asyncio.sleep(35)
        if heals:
            assert name not in world.cloud.deleted
            assert any(on == name for on, _ in world.rules.running)
        else:
            assert name in world.cloud.deleted
        states = await world.wait_until_finished(["run-000001", "run-000002"], 300)
        assert set(states.values()) == {"done"}

    day(script, each=0)


# Copies of reports come late


def test_late_copies_prove_nothing() -> None:
    """Every report comes again, to any node, from seconds to several leases later."""

    async def script(world: World) -> None:
        world.duplicate_share, world.duplicate_delay_s = 1.0, (15.0, 40.0)
        ids = []
        for number in range(8):
            spec = job(number, crew="red" if number % 2 else "blue", pieces=9, true_s=6.0, expected_s=6.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        await asyncio.sleep(12)
        # One machine dies, one is deleted, one controller is followed by another.
        names = sorted(world.workers)
        world.workers.pop(names[0]).terminate()
        leader = world.leader
        assert leader is not None
        world.kill(leader.node)
        await asyncio.sleep(10)
        world.start(leader.node)
        died = world.loop.now
        while names[0] in world.cloud.machines and world.loop.now < died + 90:
            await asyncio.sleep(0.5)
        # Copies were no sign of life: it is given up in about the time it takes without them.
        assert world.loop.now - died < 45
        states = await world.wait_until_finished(ids, 300)
        assert set(states.values()) == {"done"}
        await asyncio.sleep(100)
        # Nor do they make machines that stay.
        assert world.leader is not None and world.leader.leader is not None
        assert set(world.leader.leader.cluster.machines) <= set(world.cloud.machines)

    for seed in range(3):
        day(script, seed=seed)


def test_copy_of_an_older_report_calls_off_no_start() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=3, true_s=30.0, expected_s=30.0))
        requests: list[Any] = []
        handle = {name: controller.api.handle for name, controller in world.controllers.items()}

        async def noting(node: str, request: Any) -> Any:
            requests.append(request)
            return await handle[node](request)

        for node, controller in world.controllers.items():
            controller.api.handle = partial(noting, node)  # type: ignore[method-assign]
        await asyncio.sleep(10)
        before = list(world.rules.running)
        assert len(before) == 3
        assert world.leader is not None
        for request in [one for one in requests if one.path == "/agent/beat"]:
            response = await handle[world.leader.node](request)
            assert response.status == 503
        assert sorted(world.rules.running) == sorted(before)
        assert world.leader.leader is not None
        assert len(world.leader.leader.cluster.jobs["run-000001"].allocations) == 3
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1


def test_bad_reports_are_answered_at_once_and_disturb_nobody() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, true_s=20.0, expected_s=20.0))
        await asyncio.sleep(8)
        leader = world.leader
        assert leader is not None
        before = sorted(world.rules.running)
        good = next(iter(world.workers.values())).heartbeat_body()
        for change in (
            {"baton": 1 << 64},
            {"baton": -1},
            {"tally": "many"},
            {"shift": None},
            {"pieces": [{"piece": "run-000001/0"}]},
            {"pieces": [{"piece": "run-000001/0", "try": -5, "status": "running"}]},
            {"pieces": "none"},
        ):
            response = await world.send_heartbeat(good | change, leader.node)
            assert response.status == 400, change
        assert (await world.send_heartbeat([1, 2], leader.node)).status == 400
        # Of a machine that nobody knows: it gets the token, and nothing else changes.
        stranger = good | {"loom": "m-999999", "baton": 0, "pieces": []}
        assert (await world.send_heartbeat(stranger, leader.node)).status == 200
        assert world.leader is leader and sorted(world.rules.running) == before
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1


# Back at once


@pytest.mark.parametrize("session", [1, 2])
def test_machine_back_at_once_loses_no_task_and_runs_none_twice(session: int) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=40, true_s=15.0, expected_s=15.0))
        await asyncio.sleep(8)
        name = busiest(world)
        world.workers[name].restart(session)
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    day(script)
