"""Machines from their request to their deletion: idle, faulty, silent, stuck and interrupted."""

import asyncio

import pytest

from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World


def test_idle_machines_are_deleted_and_late_jobs_launch_more() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=200, expected_s=20.0, true_s=20.0))
        await asyncio.sleep(60)
        assert len(world.cloud.machines) > 1
        states = await world.wait_until_finished(["run-000001"], 240)
        assert states == {"run-000001": "done"}
        await asyncio.sleep(90)
        assert len(world.cloud.machines) <= 1

    day(script, machines=1)


def test_faulty_machine_is_deleted() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(2)
        faulty_machine = next(iter(world.workers))
        world.workers[faulty_machine].faulty = True
        for number in range(14):
            assert await world.submit(job(number))
        await world.wait_until_finished([f"run-{n:06d}" for n in range(14)], 120)
        assert faulty_machine in world.cloud.deleted

    day(script)


def test_silent_machine_gets_no_new_tasks() -> None:
    """Guard against an incident in which a hung machine was repeatedly given tasks and had them taken back."""

    async def script(world: World) -> None:
        await asyncio.sleep(3)
        name = next(iter(world.workers))
        world.workers[name].hung = True
        await asyncio.sleep(8)
        for number in range(5):
            assert await world.submit(job(number, pieces=6))
        leader = world.leader
        assert leader is not None and leader.leader is not None
        for _ in range(20):
            await asyncio.sleep(0.5)
            machine = leader.leader.cluster.machines.get(name)
            assert machine is None or not machine.allocations

    day(script)


def test_machine_that_never_becomes_ready_is_deleted() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(2)
        stuck_machine = world.cloud.add("small", "east", True, 10_000.0)
        await asyncio.sleep(60)
        assert stuck_machine.name in world.cloud.deleted

    day(script)


def test_deletions_are_retried_until_confirmed() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(2)
        assert world.leader is not None
        cloud_faults = world.ports[world.leader.node].cloud.faults
        stuck_machine = world.cloud.add("small", "east", True, 10_000.0)
        await asyncio.sleep(25)
        cloud_faults.lost_response_share = 0.9
        await asyncio.sleep(60)
        cloud_faults.lost_response_share = 0.0
        await asyncio.sleep(15)
        assert stuck_machine.name not in world.cloud.machines
        assert stuck_machine.name not in world.leader.leader.cluster.machines  # type: ignore[union-attr]

    day(script)


@pytest.mark.parametrize("notice", [True, False])
def test_interrupted_machine_loses_no_job(notice: bool) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=20, true_s=20.0, expected_s=20.0, snapshot_every_s=5.0, snapshot_s=1.0))
        await asyncio.sleep(8)
        name, its_tasks = next((m, [t for n, t in world.rules.running if n == m]) for m, _ in world.rules.running)
        worker = world.workers[name]
        if notice:
            worker.interruption_at = world.loop.now + 12
            worker.state_changed.set()
            await asyncio.sleep(10.5)
            # The machine's tasks had time to save checkpoints and continue elsewhere, and it was assigned no new ones.
            assert not any(m == name for m, _ in world.rules.running)
            assert set(its_tasks) <= {t for _, t in world.rules.running} | world.rules.finished
            await asyncio.sleep(1.5)
        if name in world.cloud.machines:
            del world.cloud.machines[name]
            world.on_machine_deleted(name)
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    day(script)
