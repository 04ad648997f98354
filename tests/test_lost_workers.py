"""A leader that loses its workers, its peers or a zone: when it gives way and when it leads on."""

import asyncio

import pytest

from tests.world.day import day
from tests.world.random_troubles import restore, set_isolated
from tests.world.specs import job
from tests.world.world import World

# A controller loses the state service and the other controllers, not its workers


@pytest.mark.parametrize("drift", [-0.0005, 0.0005])
def test_leader_apart_with_some_workers_is_followed_without_running_anything_twice(drift: float) -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, crew="red", pieces=12, true_s=60.0, expected_s=60.0))
        assert await world.submit(job(2, pieces=14, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(8)
        old = world.leader
        assert old is not None
        name = old.node
        world.drift[name] = drift
        set_isolated(world, name, True)
        # Half of the workers hear only the old leader, which answers them for a bounded time.
        with_old = sorted(world.workers)[::2]
        world.cut_worker_links |= {(worker, node) for worker in with_old for node in world.nodes if node != name}
        apart = world.loop.now
        while old.election.role.name != "FOLLOWER":
            await asyncio.sleep(0.1)
        assert world.loop.now - apart < 20
        # It comes back in the middle of all that, and the workers with it.
        await asyncio.sleep(world.rng.uniform(0.0, 10.0))
        set_isolated(world, name, False)
        world.cut_worker_links.clear()
        assert await world.withdraw("run-000002") == "cancelled"
        await asyncio.sleep(31)
        world.rules.check_cancelled()
        assert (await world.wait_until_finished(["run-000001"], 200)) == {"run-000001": "done"}

    for seed in range(3):
        day(script, seed=seed, machines=6)


# A leader that loses its workers


def test_leader_that_workers_do_not_reach_gives_way_before_their_leases_run_out() -> None:
    """Seen on a day: the leader kept the state service and led on, and all its workers' tasks died."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=200, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(10)
        running = set(world.rules.running)
        old = world.leader
        assert old is not None and len(running) == 200
        name = old.node
        world.cut_worker_links |= {(worker, name) for worker in world.workers}
        await asyncio.sleep(10)
        assert world.leader is not None and world.leader is not old
        await asyncio.sleep(20)
        # One fail-over, not one after the other.
        assert world.leader.election.fencing_token == max(
            c.election.highest_seen_token for c in world.controllers.values()
        )
        kept = {(machine, task) for machine, task in running if (machine, task) in set(world.rules.running)}
        # A worker gives a node four seconds; those that were sent back once may come too late.
        assert len(kept) > len(running) * 0.6, len(kept)
        world.cut_worker_links.clear()
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    for seed in range(3):
        day(script, seed=seed, machines=24, each=0)


def test_leader_whose_answers_reach_no_worker_gives_way() -> None:
    """Their reports go on arriving at it, so it hears them all and never takes them for silent."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=100, true_s=40.0, expected_s=40.0))
        await asyncio.sleep(10)
        old = world.leader
        assert old is not None
        world.nodes_without_responses.add(old.node)
        await asyncio.sleep(14)
        assert world.leader is not None and world.leader is not old
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    for seed in range(2):
        day(script, seed=seed, machines=24, each=0)


@pytest.mark.parametrize("reaching", ["none", "some"])
def test_leader_whose_machines_are_dead_or_cut_off_leads_on(reaching: str) -> None:
    """Silence alone is no reason: nobody else hears them either, or only a few of them are meant."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=40, true_s=20.0, expected_s=20.0))
        await asyncio.sleep(10)
        old = world.leader
        assert old is not None
        workers = sorted(world.workers)
        if reaching == "none":
            for worker in workers[:5]:
                world.workers[worker].hung = True
                world.cut_worker_links |= {(worker, node) for node in world.nodes}
        else:
            world.cut_worker_links |= {(worker, old.node) for worker in workers[:2]}
        await asyncio.sleep(25)
        assert world.leader is old
        world.cut_worker_links.clear()
        for one in world.workers.values():
            one.hung = False
        assert (await world.wait_until_finished(["run-000001"], 200)) == {"run-000001": "done"}

    day(script, machines=6)


# A zone that is cut off


def test_machines_of_a_zone_that_is_cut_off_are_kept_and_none_rented_there() -> None:
    """They are back sooner than others would boot, and others there could not report either."""

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
        rented = {name for name, one in world.cloud.machines.items() if one.zone == "west"}
        # Past the lease its tasks run elsewhere; the machines stay.
        await asyncio.sleep(32)
        assert {name for name, one in world.cloud.machines.items() if one.zone == "west"} == rented >= west
        assert not any(machine in west for machine, _ in world.rules.running)
        world.cut_worker_links.clear()
        assert await world.submit(job(2, pieces=120, true_s=10.0, expected_s=10.0))
        await asyncio.sleep(8)
        assert any(machine in west for machine, _ in world.rules.running)
        # Cut off for good, they are given up in the end.
        world.cut_worker_links |= {(worker, node) for worker in west for node in world.nodes}
        await asyncio.sleep(130)
        assert not west & set(world.cloud.machines)
        assert set((await world.wait_until_finished(["run-000001", "run-000002"], 200)).values()) == {"done"}

    day(script, machines=4, each=2)


@pytest.mark.parametrize("others_live", [True, False])
def test_leader_with_nothing_but_the_state_service_gives_way_once(others_live: bool) -> None:
    """It keeps its lease, but neither workers nor controllers reach it: nobody can tell it so."""

    async def script(world: World) -> None:
        for number in range(4):
            assert await world.submit(job(number, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(8)
        first = world.leader
        assert first is not None
        node, fencing_token = first.node, first.election.fencing_token
        if not others_live:
            for other in [name for name in world.nodes if name != node]:
                world.kill(other)
        world.isolated_nodes.add(node)
        world.cut_worker_links |= {(worker, node) for worker in world.workers}
        await asyncio.sleep(11)
        if others_live:
            assert world.leader is not None and world.leader.node != node
            await asyncio.sleep(60)
        else:
            # Nobody else can lead: after one try it goes on, and is there when the machines are back.
            await asyncio.sleep(30)
            assert first.election.holds_lease() and first.election.fencing_token > fencing_token
            won = first.election.fencing_token
            await asyncio.sleep(40)
            assert first.election.fencing_token == won
        restore(world)
        world.cut_worker_links.clear()
        states = await world.wait_until_finished([f"run-{number:06d}" for number in range(4)], 200)
        assert set(states.values()) == {"done"}
        if others_live:
            assert max(world.rules.starts.values()) == 1

    day(script, machines=6)
