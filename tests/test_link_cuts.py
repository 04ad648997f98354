"""Cuts of single links between controllers, state service and workers, with views exchanged."""

import asyncio

import pytest

from elmthread.reachability.bounds import BACKOFF_JITTER
from tests.world.cut_days import cut, cut_day, fault_script, submit_and_cancel
from tests.world.history import History
from tests.world.links import Fault
from tests.world.settings import NODES
from tests.world.specs import job
from tests.world.world import World

LINKS = {
    "leader and store": ("leader", "store"),
    "follower and store": ("follower", "store"),
    "leader and follower": ("leader", "follower"),
    "leader and workers": ("leader", "workers"),
    "leader and a zone": ("leader", "workers/east"),
    "follower and workers": ("follower", "workers"),
}
SINGLE = {name: [cut(*ends)] for name, ends in LINKS.items()}
SINGLE |= {f"{name}, one way": [cut(*ends, both=False)] for name, ends in LINKS.items()}
SINGLE |= {f"{name}, the other way": [cut(target, source, both=False)] for name, (source, target) in LINKS.items()}
SINGLE["the store refuses the leader"] = [cut("leader", "store", kind="refuse")]
NAMES = sorted(LINKS)
PAIRS = {
    f"{one}; {other}": [cut(*LINKS[one]), cut(*LINKS[other], at=3.0)]
    for number, one in enumerate(NAMES)
    for other in NAMES[number + 1 :]
}


@pytest.mark.parametrize("faults", [*SINGLE.values(), *PAIRS.values()], ids=[*SINGLE, *PAIRS])
def test_no_cut_of_one_or_two_links_breaks_a_rule(faults: list[Fault]) -> None:
    cut_day(fault_script(*faults))


def test_a_leader_without_workers_names_a_node_that_hears_them_and_it_wins() -> None:
    """It is seen as soon as the first workers have given the leader up, and no other node is in the way."""

    async def script(world: World, history: History) -> None:
        assert world.leader is not None
        name, before = world.leader.node, world.loop.now
        await world.play_faults([cut("leader", "workers", length=12.0)])
        term = history.terms[-1]
        assert term[1] != name and len(history.terms) == 2
        # A worker waits for 4 s, turns to the next node 1 s later, and reports each 3.75 s at the longest.
        assert term[0] - before < 7.0

    for seed in range(3):
        cut_day(script, seed=seed)


def test_a_leader_of_two_machines_gives_way_too() -> None:
    async def script(world: World, history: History) -> None:
        for name in sorted(world.workers)[2:]:
            world.workers[name].terminate()
            world.cloud.machines[name].state = "failed"
            del world.workers[name]
        await asyncio.sleep(5)
        await world.play_faults([cut("leader", "workers", length=15.0)])
        assert len(history.terms) == 2

    cut_day(script)


@pytest.mark.parametrize("on_s, off_s", [(9.0, 4.0), (3.0, 0.1), (6.0, 10.0)])
def test_cuts_that_heal_and_return_for_ten_minutes_change_leaders_seldom(on_s: float, off_s: float) -> None:
    async def script(world: World, history: History) -> None:
        # There is work throughout, so there are machines to be cut off from.
        users = asyncio.ensure_future(submit_and_cancel(world, 30, 20.0, 100))
        await world.play_faults([cut("leader", "workers", length=600.0, on_s=on_s, off_s=off_s)])
        # Whoever leads is cut off each time. Once the rests have grown, a node gives way but once in each.
        assert world.leader is not None
        rest = world.leader.reachability.bounds.max_backoff.total_seconds() * (1 - BACKOFF_JITTER)
        late = [at for at, _, _ in history.terms if at > 300]
        assert len(late) <= len(NODES) * (300 / rest + 1), late
        assert set((await world.wait_until_finished(await users, 300)).values()) <= {"done", "cancelled"}

    cut_day(script)


def test_nothing_is_deleted_or_rented_for_the_silence_of_a_zone_in_doubt() -> None:
    """Most of a zone, though not nearly all, is out of the leader's sight: it may be the leader's own link."""

    async def script(world: World, history: History) -> None:
        assert world.leader is not None
        for _ in range(6):
            world.rent("small", "west")
        assert await world.submit(job(50, pieces=60, true_s=90.0, expected_s=90.0))
        await asyncio.sleep(9)
        west = sorted(name for name, worker in world.workers.items() if worker.zone == "west")
        silent = west[: len(west) * 2 // 3]
        assert len(west) * 0.5 < len(silent) < len(west) * 0.8 and len(west) >= 4
        world.cut_worker_links |= {(worker, node) for worker in silent for node in NODES}
        await asyncio.sleep(8)
        before = len([one for one in world.cloud.machines.values() if one.zone == "west"])
        # Past the lease their tasks run elsewhere; the machines stay, and there are no others.
        await asyncio.sleep(40)
        assert set(silent) <= set(world.cloud.machines)
        assert len([one for one in world.cloud.machines.values() if one.zone == "west"]) <= before
        assert not {machine for machine, _ in world.rules.running} & set(silent)
        # After 90 s more they are given up: a machine that is dead must not be paid for ever.
        await asyncio.sleep(75)
        assert not set(silent) & set(world.cloud.machines)
        world.cut_worker_links.clear()
        assert set((await world.wait_until_finished(["run-000050"], 300)).values()) == {"done"}
        # Users come back, so there are machines to hear.
        assert await world.submit(job(51, pieces=8, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(20)
        assert set((await world.wait_until_finished(["run-000051"], 100)).values()) == {"done"}

    cut_day(script)


def test_two_controllers_that_each_see_another_half_do_not_fight() -> None:
    async def script(world: World, history: History) -> None:
        faults = [cut("leader", "workers/east", length=60.0), cut("follower", "workers/north", length=60.0)]
        await world.play_faults(faults)
        # The halves are not the same by then; the one that hears clearly more leads from then on.
        assert len(history.terms) <= 2

    for seed in range(3):
        cut_day(script, seed=seed)


def test_a_ring_of_cuts_in_which_no_node_sees_all() -> None:
    one, two, three = NODES
    faults = [cut(one, two), cut(two, "workers/east"), cut(two, three, at=2.0), cut(three, "workers/north", at=2.0)]
    cut_day(fault_script(*faults, cut(three, one, at=4.0), cut(one, "store", at=4.0)))


def test_without_peers_the_node_that_workers_reach_leads() -> None:
    """Seen on a day: two of three lost the workers, nobody could name anybody, and the other of the two won.

    The node that is reached is the one to which workers turn first: of another nobody hears anything in time. It
    leads on though some of them wait for 4 s at each of the others before they come, and it holds the reports that
    come just before it leads: sent on, their workers would be back after their leases.
    """
    running = kept = 0

    async def script(world: World, history: History) -> None:
        nonlocal running, kept
        assert world.leader is not None
        leader = world.leader.node
        reached, other = (NODES[(NODES.index(leader) + step) % len(NODES)] for step in (1, 2))
        long_jobs = [f"run-{number:06d}" for number in range(60, 64)]
        for number in range(60, 64):
            assert await world.submit(job(number, pieces=10, true_s=45.0, expected_s=45.0))
        await asyncio.sleep(8)
        before = {(machine, task) for machine, task in world.rules.running if task.rpartition("/")[0] in long_jobs}
        pairs = [(one, two) for one in NODES for two in NODES if one < two]
        cuts = [cut(*pair, length=25.0) for pair in pairs]
        cuts += [cut(node, "workers", at=0.5, length=24.0) for node in (leader, other)]
        await world.play_faults(cuts)
        assert [node for _, node, _ in history.terms] == [leader, reached]
        running += len(before)
        kept += len(before & set(world.rules.running))
        assert set((await world.wait_until_finished(long_jobs, 300)).values()) == {"done"}
        assert await world.submit(job(70, pieces=8, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(15)
        assert set((await world.wait_until_finished(["run-000070"], 100)).values()) == {"done"}

    for seed in range(8):
        cut_day(script, seed=seed)
    assert kept > running * 0.75, (kept, running)
