"""When a leader that loses its workers, its peers or a zone steps down, and when it keeps leading."""

import asyncio

import pytest

from tests.world.day import day
from tests.world.random_faults import restore, set_isolated
from tests.world.specs import job
from tests.world.world import World

# A leader that is cut off from the state service and the other controllers, but not from its workers


@pytest.mark.parametrize("drift", [-0.0005, 0.0005])
def test_isolated_leader_with_some_workers_is_replaced_without_running_a_task_twice(drift: float) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, crew="red", pieces=12, true_s=60.0, expected_s=60.0))
        assert await world.submit(job(2, pieces=14, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(8)
        old_leader = world.leader
        assert old_leader is not None
        name = old_leader.node
        world.drift[name] = drift
        set_isolated(world, name, True)
        # Half of the workers reach only the old leader, which may answer them for a bounded time.
        old_workers = sorted(world.workers)[::2]
        world.cut_worker_links |= {(worker, node) for worker in old_workers for node in world.nodes if node != name}
        isolated_at = world.loop.now
        while old_leader.election.role.name != "FOLLOWER":
            await asyncio.sleep(0.1)
        assert world.loop.now - isolated_at < 20
        # The old leader and its workers reconnect at a random time during the fail-over.
        await asyncio.sleep(world.rng.uniform(0.0, 10.0))
        set_isolated(world, name, False)
        world.cut_worker_links.clear()
        assert await world.withdraw("run-000002") == "cancelled"
        await asyncio.sleep(31)
        world.rules.check_cancelled()
        assert (await world.wait_until_finished(["run-000001"], 200)) == {"run-000001": "done"}

    for seed in range(3):
        day(script, seed=seed, machines=6)


# A leader that its workers do not reach


def test_leader_that_workers_do_not_reach_steps_down_before_their_leases_expire() -> None:
    """Guard against a leader that keeps leading when no worker reaches it: all their tasks were lost that way once."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=200, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(10)
        running = set(world.rules.running)
        old_leader = world.leader
        assert old_leader is not None and len(running) == 200
        name = old_leader.node
        world.cut_worker_links |= {(worker, name) for worker in world.workers}
        await asyncio.sleep(10)
        assert world.leader is not None and world.leader is not old_leader
        await asyncio.sleep(20)
        # There was a single fail-over.
        assert world.leader.election.fencing_token == max(
            c.election.highest_seen_token for c in world.controllers.values()
        )
        kept = {(machine, task) for machine, task in running if (machine, task) in set(world.rules.running)}
        # A worker waits four seconds for a node; one that was redirected to the old leader may be too late.
        assert len(kept) > len(running) * 0.6, len(kept)
        world.cut_worker_links.clear()
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    for seed in range(3):
        day(script, seed=seed, machines=24, each=0)


def test_leader_whose_responses_reach_no_worker_steps_down() -> None:
    """Check the loss of responses alone: heartbeats still arrive, so the leader sees no worker as silent."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=100, true_s=40.0, expected_s=40.0))
        await asyncio.sleep(10)
        old_leader = world.leader
        assert old_leader is not None
        world.nodes_without_responses.add(old_leader.node)
        await asyncio.sleep(14)
        assert world.leader is not None and world.leader is not old_leader
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    for seed in range(2):
        day(script, seed=seed, machines=24, each=0)


@pytest.mark.parametrize("reached_nodes", ["none", "some"])
def test_leader_whose_machines_are_dead_or_cut_off_keeps_leading(reached_nodes: str) -> None:
    """Check that a leader keeps leading if no other node hears its workers either, or if only a few are silent."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=40, true_s=20.0, expected_s=20.0))
        await asyncio.sleep(10)
        old_leader = world.leader
        assert old_leader is not None
        workers = sorted(world.workers)
        if reached_nodes == "none":
            for worker in workers[:5]:
                world.workers[worker].hung = True
                world.cut_worker_links |= {(worker, node) for node in world.nodes}
        else:
            world.cut_worker_links |= {(worker, old_leader.node) for worker in workers[:2]}
        await asyncio.sleep(25)
        assert world.leader is old_leader
        world.cut_worker_links.clear()
        for one in world.workers.values():
            one.hung = False
        assert (await world.wait_until_finished(["run-000001"], 200)) == {"run-000001": "done"}

    day(script, machines=6)


# A zone that is cut off


def test_machines_of_a_zone_that_is_cut_off_are_kept_and_none_launched_there() -> None:
    """Check that the machines are kept: they return sooner than new ones boot, which could not report either."""

    async def script(world: World) -> None:
        for _ in range(8):
            world.rent("small", "west")
        await asyncio.sleep(2)
        assert await world.submit(job(1, pieces=80, true_s=25.0, expected_s=25.0))
        await asyncio.sleep(8)
        west = {name for name, worker in world.workers.items() if worker.zone == "west"}
        assert len(west) >= 8 and any(machine in west for machine, _ in world.rules.running)
        world.cut_worker_links |= {(worker, node) for worker in west for node in world.nodes}
        await asyncio.sleep(8)
        west_machines = {name for name, one in world.cloud.machines.items() if one.zone == "west"}
        # After the lease, the zone's tasks run elsewhere, but its machines are kept.
        await asyncio.sleep(32)
        assert {name for name, one in world.cloud.machines.items() if one.zone == "west"} == west_machines >= west
        assert not any(machine in west for machine, _ in world.rules.running)
        world.cut_worker_links.clear()
        assert await world.submit(job(2, pieces=120, true_s=10.0, expected_s=10.0))
        await asyncio.sleep(8)
        assert any(machine in west for machine, _ in world.rules.running)
        # If the zone stays cut off, its machines are deleted in the end.
        world.cut_worker_links |= {(worker, node) for worker in west for node in world.nodes}
        await asyncio.sleep(130)
        assert not west & set(world.cloud.machines)
        assert set((await world.wait_until_finished(["run-000001", "run-000002"], 200)).values()) == {"done"}

    day(script, machines=4, each=2)


@pytest.mark.parametrize("other_nodes_up", [True, False])
def test_leader_that_reaches_only_the_state_service_steps_down_once(other_nodes_up: bool) -> None:
    """Check a leader that can renew its lease, but that neither workers nor other controllers reach."""

    async def script(world: World) -> None:
        for number in range(4):
            assert await world.submit(job(number, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(8)
        first = world.leader
        assert first is not None
        node, fencing_token = first.node, first.election.fencing_token
        if not other_nodes_up:
            for other in [name for name in world.nodes if name != node]:
                world.kill(other)
        world.isolated_nodes.add(node)
        world.cut_worker_links |= {(worker, node) for worker in world.workers}
        await asyncio.sleep(11)
        if other_nodes_up:
            assert world.leader is not None and world.leader.node != node
            await asyncio.sleep(60)
        else:
            # No other node can lead: it steps down once, is elected again and still leads when the machines return.
            await asyncio.sleep(30)
            assert first.election.holds_lease() and first.election.fencing_token > fencing_token
            token_after_reelection = first.election.fencing_token
            await asyncio.sleep(40)
            assert first.election.fencing_token == token_after_reelection
        restore(world)
        world.cut_worker_links.clear()
        states = await world.wait_until_finished([f"run-{number:06d}" for number in range(4)], 200)
        assert set(states.values()) == {"done"}
        if other_nodes_up:
            assert max(world.rules.starts.values()) == 1

    day(script, machines=6)
