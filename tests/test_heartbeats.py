"""Heartbeats whose responses are lost, and late, duplicated or malformed heartbeats."""

import asyncio
from functools import partial
from typing import Any

import pytest

from elmthread.cluster.machine import Machine
from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World


def find_machine(world: World, name: str) -> Machine | None:
    assert world.leader is not None and world.leader.leader is not None
    return world.leader.leader.cluster.machines.get(name)


def busiest_machine(world: World) -> str:
    names = [name for name, _ in world.rules.running]
    return max(set(names), key=names.count)


# A machine's heartbeats arrive, but responses and commands don't


@pytest.mark.parametrize("recovers", [False, True])
def test_machine_without_responses_gets_no_task_until_responses_are_known_to_arrive(recovers: bool) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=90, urgency="high", true_s=20.0, expected_s=20.0))
        await asyncio.sleep(8)
        name = busiest_machine(world)
        lost_tasks = {task for on, task in world.rules.running if on == name}
        world.workers_without_responses.add(name)
        # Its lease expires, its tasks are killed, and it continues to report with a higher incarnation.
        await asyncio.sleep(14)
        assert not [task for on, task in world.rules.running if on == name]
        await asyncio.sleep(8)
        assert lost_tasks & {task for _, task in world.rules.running} | (lost_tasks & world.rules.finished)
        if recovers:
            world.workers_without_responses.discard(name)
            await asyncio.sleep(3)
        # However many tasks wait, it is assigned none.
        assert await world.submit(job(2, pieces=160, urgency="high", true_s=20.0, expected_s=20.0))
        assigned_jobs = set()
        for _ in range(50):
            await asyncio.sleep(0.2)
            found = find_machine(world, name)
            assigned_jobs |= {allocation.job.id for allocation in found.allocations.values()} if found else set()
        assert "run-000002" not in assigned_jobs
        await asyncio.sleep(35)
        if recovers:
            assert name not in world.cloud.deleted
            assert any(on == name for on, _ in world.rules.running)
        else:
            assert name in world.cloud.deleted
        states = await world.wait_until_finished(["run-000001", "run-000002"], 300)
        assert set(states.values()) == {"done"}

    day(script, each=0)


# Late duplicates of heartbeats


def test_late_duplicates_are_no_sign_of_life() -> None:
    """Deliver every heartbeat a second time, to any node, seconds to several leases later."""

    async def script(world: World) -> None:
        world.duplicate_share, world.duplicate_delay_s = 1.0, (15.0, 40.0)
        ids = []
        for number in range(8):
            spec = job(number, crew="red" if number % 2 else "blue", pieces=9, true_s=6.0, expected_s=6.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        await asyncio.sleep(12)
        # One machine fails and is later deleted, and the leader is replaced by another controller.
        names = sorted(world.workers)
        world.workers.pop(names[0]).terminate()
        leader = world.leader
        assert leader is not None
        world.kill(leader.node)
        await asyncio.sleep(10)
        world.start(leader.node)
        failed_at = world.loop.now
        while names[0] in world.cloud.machines and world.loop.now < failed_at + 90:
            await asyncio.sleep(0.5)
        # Duplicates count as no sign of life: the machine is deleted in about the same time as without them.
        assert world.loop.now - failed_at < 45
        states = await world.wait_until_finished(ids, 300)
        assert set(states.values()) == {"done"}
        await asyncio.sleep(100)
        # Nor do duplicates leave records of machines that no longer exist.
        assert world.leader is not None and world.leader.leader is not None
        assert set(world.leader.leader.cluster.machines) <= set(world.cloud.machines)

    for seed in range(3):
        day(script, seed=seed)


def test_duplicate_of_an_older_heartbeat_cancels_no_start() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=3, true_s=30.0, expected_s=30.0))
        requests: list[Any] = []
        handlers = {name: controller.api.handle for name, controller in world.controllers.items()}

        async def record_request(node: str, request: Any) -> Any:
            requests.append(request)
            return await handlers[node](request)

        for node, controller in world.controllers.items():
            controller.api.handle = partial(record_request, node)  # type: ignore[method-assign]
        await asyncio.sleep(10)
        before = list(world.rules.running)
        assert len(before) == 3
        assert world.leader is not None
        for request in [one for one in requests if one.path == "/agent/beat"]:
            response = await handlers[world.leader.node](request)
            assert response.status == 503
        assert sorted(world.rules.running) == sorted(before)
        assert world.leader.leader is not None
        assert len(world.leader.leader.cluster.jobs["run-000001"].allocations) == 3
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1


def test_malformed_heartbeats_are_rejected_without_side_effects() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, true_s=20.0, expected_s=20.0))
        await asyncio.sleep(8)
        leader = world.leader
        assert leader is not None
        before = sorted(world.rules.running)
        valid_body = next(iter(world.workers.values())).heartbeat_body()
        for change in (
            {"baton": 1 << 64},
            {"baton": -1},
            {"tally": "many"},
            {"shift": None},
            {"pieces": [{"piece": "run-000001/0"}]},
            {"pieces": [{"piece": "run-000001/0", "try": -5, "status": "running"}]},
            {"pieces": "none"},
        ):
            response = await world.send_heartbeat(valid_body | change, leader.node)
            assert response.status == 400, change
        assert (await world.send_heartbeat([1, 2], leader.node)).status == 400
        # A heartbeat of an unknown machine is answered with the fencing token and changes nothing else.
        unknown_machine_body = valid_body | {"loom": "m-999999", "baton": 0, "pieces": []}
        assert (await world.send_heartbeat(unknown_machine_body, leader.node)).status == 200
        assert world.leader is leader and sorted(world.rules.running) == before
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1


# Immediate restarts


@pytest.mark.parametrize("incarnation", [1, 2])
def test_machine_that_restarts_at_once_loses_no_task_and_runs_none_twice(incarnation: int) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=40, true_s=15.0, expected_s=15.0))
        await asyncio.sleep(8)
        name = busiest_machine(world)
        world.workers[name].restart(incarnation)
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    day(script)
