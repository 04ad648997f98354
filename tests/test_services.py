"""Services: replicas run until the service is withdrawn, and are restarted whatever ends them."""

import asyncio
import json
from collections.abc import Callable

import pytest

from tests.world.day import day
from tests.world.random_faults import set_isolated
from tests.world.service_days import leader_job, rent_on_demand, wait_until_serving
from tests.world.specs import daemon, job
from tests.world.world import World, start


def test_service_runs_until_it_is_withdrawn_and_is_never_done() -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(5)
        assert await world.submit(daemon(1))
        await wait_until_serving(world, "run-000001", 8)
        answer = await world.ask("GET", "/submissions/run-000001")
        assert answer.body == {"name_id": "run-000001", "status": "running", "done": 0, "running": 3}
        await asyncio.sleep(300)
        # No replica was stopped or restarted in all that time, and no machine was deleted under one.
        assert world.rules.serving("run-000001") == 3
        assert max(world.rules.starts.values()) == 1
        assert await world.withdraw("run-000001") == "cancelled"
        await asyncio.sleep(8)
        assert world.rules.serving("run-000001") == 0
        assert await world.poll("run-000001") == "cancelled"

    day(script, machines=0)


@pytest.mark.parametrize("ends", ["done", "error", "halted"])
def test_replica_that_ends_is_restarted_whatever_its_exit_state(ends: str) -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(5)
        assert await world.submit(daemon(1, true_s=40.0, ends=ends))
        await asyncio.sleep(250)
        # Each replica ended about five times; restarts are quick, and no end counts as final.
        assert sum(world.rules.starts.values()) >= 15
        assert await wait_until_serving(world, "run-000001", 15) < 15
        assert await world.poll("run-000001") == "running"
        world.kill(world.leader.node)  # type: ignore[union-attr]
        await asyncio.sleep(10)
        assert leader_job(world, "run-000001").is_service and leader_job(world, "run-000001").done_count == 0

    world = day(script, machines=0, controllers=5)
    assert not any(key.startswith("d/") for page in record_keys_by_page(world) for key in page)


def record_keys_by_page(world: World) -> list[list[str]]:
    return [list(json.loads(value["text"])) for key, (value, _, _) in world.store.items.items() if key[:2] == "s/"]


def test_replica_that_ends_at_once_is_not_restarted_in_a_loop_and_quarantines_no_machine() -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(5)
        assert await world.submit(daemon(1, pieces=2, true_s=0.0, ends="done"))
        assert await world.submit(daemon(2, pieces=2, true_s=0.0, ends="error"))
        assert await world.submit(daemon(3))
        await wait_until_serving(world, "run-000003", 10)
        requests_before = len(world.cloud.requests)
        for _ in range(240):
            await asyncio.sleep(1)
            assert world.leader is not None and world.leader.leader is not None
            assert not any(one.quarantined for one in world.leader.leader.cluster.machines.values())
        for number in (1, 2):
            start_count = sum(
                count for task, count in world.rules.starts.items() if task.startswith(f"run-00000{number}")
            )
            assert 8 <= start_count <= 60, start_count
        # The healthy service was not disturbed, and retries launched at most one machine.
        assert all(world.rules.starts[f"run-000003/{n}"] == 1 for n in range(3))
        assert len(world.cloud.requests) <= requests_before + 1

    day(script, machines=0)


def lose_machine(world: World, name: str) -> None:
    world.workers.pop(name).terminate()


def interrupt_machine(world: World, name: str) -> None:
    worker = world.workers[name]
    worker.interruption_at = world.loop.now + 12
    worker.state_changed.set()


def cut_off_zone(world: World, name: str) -> None:
    zone = world.workers[name].zone
    for other, worker in world.workers.items():
        if worker.zone == zone:
            world.cut_worker_links |= {(other, node) for node in world.nodes}


@pytest.mark.parametrize(("loss", "within"), [(lose_machine, 11.0), (interrupt_machine, 11.0), (cut_off_zone, 20.0)])
def test_replicas_are_restarted_after_a_loss(loss: Callable[[World, str], None], within: float) -> None:
    async def script(world: World) -> None:
        rent_on_demand(world, 3)
        await asyncio.sleep(5)
        # Two services, one spread over zones and one not, beside deferrable tasks.
        assert await world.submit(daemon(1))
        assert await world.submit(daemon(2, pieces=4, scatter=False))
        assert await world.submit(job(3, pieces=20, true_s=30.0, expected_s=30.0))
        await wait_until_serving(world, "run-000001", 10)
        await wait_until_serving(world, "run-000002", 10, 4)
        name = next(machine for machine, task in world.rules.running if task.startswith("run-000001"))
        its_tasks = {task for machine, task in world.rules.running if machine == name}
        loss(world, name)
        lost_at = world.loop.now
        while any(world.rules.machines_of.get(task) == [name] for task in its_tasks):
            await asyncio.sleep(0.1)
        await wait_until_serving(world, "run-000001", within)
        await wait_until_serving(world, "run-000002", within, 4)
        assert world.loop.now - lost_at < within

    day(script, machines=0)


def test_no_change_of_leader_stops_or_duplicates_a_replica() -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(5)
        for number in range(3):
            assert await world.submit(daemon(number))
        for number in range(3):
            await wait_until_serving(world, f"run-{number:06d}", 12)
        for turn in range(4):
            leader = world.leader
            assert leader is not None
            node = leader.node
            if turn % 2:
                world.kill(node)
                world.loop.call_later(0.3, start, world, node)
            else:
                set_isolated(world, node, True)
                world.loop.call_later(20, set_isolated, world, node, False)
            await asyncio.sleep(30)

    world = day(script, machines=0)
    assert max(world.rules.starts.values()) == 1


@pytest.mark.parametrize("moment", ["fetching", "saving", "lost"])
def test_withdrawal_ends_a_service_whatever_its_replicas_do(moment: str) -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(5)
        spec = daemon(1, snapshot_every_s=5.0, snapshot_s=2.0)
        assert await world.submit(spec)
        if moment == "fetching":
            while not any(task.state == "fetching" for w in world.workers.values() for task in w.tasks.values()):
                await asyncio.sleep(0.05)
        else:
            await wait_until_serving(world, "run-000001", 10)
            name = next(machine for machine, _ in world.rules.running)
            if moment == "lost":
                lose_machine(world, name)
            else:
                interrupt_machine(world, name)
                while not any(task.state == "saving" for w in world.workers.values() for task in w.tasks.values()):
                    await asyncio.sleep(0.05)
        assert await world.withdraw("run-000001") == "cancelled"
        await asyncio.sleep(30)
        world.rules.check_cancelled()
        assert world.rules.serving("run-000001") == 0

    day(script, machines=0)
