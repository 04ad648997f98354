"""Failover: crashes, lost links and outages neither lose a job nor run it twice."""

import asyncio
from functools import partial

import pytest

from elmthread.leadership.step_down import StepDownReason
from tests.world.balancer import Balancer
from tests.world.day import day
from tests.world.random_faults import set_isolated
from tests.world.settings import NODES
from tests.world.specs import job
from tests.world.world import World, start


@pytest.mark.parametrize("controllers", [1, 7])
def test_any_number_of_controllers_recovers_from_crashes(controllers: int) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=6, true_s=20.0, expected_s=20.0))
        await asyncio.sleep(8)
        for _ in range(2):
            assert world.leader is not None
            name = world.leader.node
            world.kill(name)
            world.loop.call_later(1, start, world, name)
            await asyncio.sleep(5)
            assert world.leader is not None and await world.poll("run-000001") == "running"
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}

    day(script, controllers=controllers)


@pytest.mark.parametrize("victims", [["leader"], NODES])
def test_controller_crashes_lose_no_job_and_run_none_twice(victims: list[str]) -> None:
    async def script(world: World) -> None:
        for number in range(4):
            assert await world.submit(job(number, true_s=25.0, expected_s=25.0))
        await asyncio.sleep(8)
        assert world.leader is not None
        leader = world.leader.node
        names = [leader] if victims == ["leader"] else list(NODES)
        for name in names:
            world.kill(name)
        await asyncio.sleep(4)
        for name in names:
            world.start(name)
        states = await world.wait_until_finished([f"run-{n:06d}" for n in range(4)], 120)
        assert set(states.values()) == {"done"}

    world = day(script)
    # Worker leases outlast the failover, so no task is started twice.
    assert max(world.rules.starts.values()) == 1


def test_state_service_outage_keeps_tasks_running_and_rejects_users_at_once() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(8)
        world.store.outage(True)
        await asyncio.sleep(7)
        sent_at = world.loop.now
        response = await world.ask("POST", "/submissions", job(2))
        assert response.status == 503 and response.retry_after is not None
        assert world.loop.now - sent_at < 0.5
        await asyncio.sleep(9)
        world.store.outage(False)
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1


def test_leader_steps_down_if_the_state_service_refuses_only_it() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(6)
        old = world.leader
        assert old is not None
        world.ports[old.node].store.faults.refused = True
        await asyncio.sleep(10)
        assert world.leader is not None and world.leader is not old
        assert old.election.role.name == "FOLLOWER"
        assert (await world.wait_until_finished(["run-000001"], 60)) == {"run-000001": "done"}

    day(script)


def test_new_leader_waits_for_workers_that_only_the_old_leader_reaches() -> None:
    """Start no task elsewhere while a worker that only the old leader reaches may still run it."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=12, true_s=40.0, expected_s=40.0))
        await asyncio.sleep(6)
        old = world.leader
        assert old is not None
        name = old.node
        world.ports[name].cloud.faults.cut = True
        # The old leader is also cut off from the state service and the other controllers, but workers reach only it.
        set_isolated(world, name, True)
        for worker in list(world.workers):
            world.cut_worker_links |= {(worker, node) for node in NODES if node != name}
        await asyncio.sleep(35)
        world.cut_worker_links.clear()
        set_isolated(world, name, False)
        world.ports[name].cloud.faults.cut = False
        assert (await world.wait_until_finished(["run-000001"], 200)) == {"run-000001": "done"}

    day(script)


def test_responses_begun_under_an_old_token_are_not_completed_under_a_new_one() -> None:
    """Guard against a team limit exceeded by a node that lost and regained leadership during one request."""

    async def script(world: World) -> None:
        ids = []
        for index in range(6):
            spec = job(index, crew="red", pieces=30, true_s=3.0, expected_s=3.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        for _ in range(60):
            if world.leader is not None:
                world.leader.election.step_down(StepDownReason.FAULT)
            await asyncio.sleep(world.rng.uniform(0.3, 3.0))
        assert set((await world.wait_until_finished(ids, 300)).values()) == {"done"}

    for number in range(4):
        day(script, seed=number, machines=6)


def test_new_leader_counts_unreachable_cancelled_tasks_towards_the_limit() -> None:
    """Guard against a record of a cancelled job without team and size, which hid its tasks' cores from the limit."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, crew="red", pieces=12, true_s=100.0, expected_s=100.0))
        await asyncio.sleep(8)
        assert len(world.rules.running) == 12
        # The workers receive nothing more, so their tasks run until their leases expire.
        world.cut_worker_links |= {(worker, node) for worker in world.workers for node in NODES}
        assert await world.withdraw("run-000001") == "cancelled"
        old = world.leader
        assert old is not None
        world.kill(old.node)
        for name in ("large", "large"):
            world.rent(name, "east")
        assert await world.submit(job(2, crew="red", pieces=12))
        assert (await world.wait_until_finished(["run-000002"], 120)) == {"run-000002": "done"}

    day(script)


def test_readiness_distinguishes_an_isolated_node_from_a_missing_leader() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(5)
        assert world.leader is not None
        name = world.leader.node
        isolated = next(node for node in NODES if node != name)

        async def ready(node: str) -> bool:
            return (await world.ask("GET", "/ready", node=node)).status == 200

        assert all([await ready(node) for node in NODES])
        can_reach = world.can_reach
        world.can_reach = lambda one, other: isolated not in (one, other) and can_reach(one, other)  # type: ignore[method-assign]
        world.ports[isolated].store.faults.cut = True
        # The user retries. A node that is not ready closes the connection, so that another node is tried.
        response = await world.ask("GET", "/submissions/run-000001", node=isolated)
        assert (response.status, response.close) == (503, False)
        await asyncio.sleep(6)
        assert not await ready(isolated) and await ready(name)
        response = await world.ask("GET", "/submissions/run-000001", node=isolated)
        assert (response.status, response.close) == (503, True)
        world.can_reach = can_reach  # type: ignore[method-assign]
        world.ports[isolated].store.faults.cut = False
        await asyncio.sleep(3)
        assert await ready(isolated)
        world.store.outage(True)
        await asyncio.sleep(30)
        assert all([await ready(node) for node in NODES])

    day(script)


def test_load_balancer_forwards_user_requests_during_a_rolling_restart() -> None:
    async def script(world: World) -> None:
        balancer = Balancer(world)
        await asyncio.sleep(6)
        assert balancer.healthy == set(NODES)
        answered = failed = 0
        for index, node in enumerate(NODES):
            world.kill(node)
            world.loop.call_later(4, partial(start, world, node))
            for step in range(15):
                spec = job(100 * index + step, pieces=1, true_s=1.0)
                world.rules.submitted(spec)
                response = await balancer.ask("POST", "/submissions", spec)
                if response is None or response.status not in (200, 201):
                    failed += 1
                    assert response is None or response.retry_after is not None
                else:
                    answered += 1
                await asyncio.sleep(1)
        # Each restart leaves at most about 5 s without a leader, and a node is always up.
        assert answered > 25 and failed < 20
        await asyncio.sleep(10)
        assert len(balancer.healthy) >= 2

    day(script)
