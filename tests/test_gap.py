"""The gap: an earlier leader that can't know of a cancellation, and a store that nobody reaches.

The state service refuses the leader alone, another controller wins and confirms cancellations,
then the service is down for all, for longer than `cancel_s`, while workers still report to the
earlier leader. Those tasks must be gone within `cancel_s` of the confirmation all the same.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

import pytest

from elmthread.cluster.machine import NO_HEARTBEAT
from elmthread.leadership.role import Role
from tests.world.day import day
from tests.world.random_troubles import restore
from tests.world.specs import job
from tests.world.world import World, start

PIECES = 3


async def watch(world: World, seen: Counter[str]) -> None:
    """Judges presence all the time, and notes how often the gap was really there."""
    while True:
        await asyncio.sleep(0.2)
        world.rules.check_cancelled()
        held = [one for one in world.controllers.values() if one.election.role is Role.LEASE_UNCERTAIN]
        seen["two hold"] += len(held) > 1
        for job_id in world.rules.cancelled_at:
            if any(task.startswith(job_id) for _, task in world.rules.running):
                seen["present after"] += 1
                seen["present, held by an earlier leader"] += len(held) > 0


async def gap(world: World, ids: list[str]) -> None:
    """One round: refused alone, cancelled through another, down for all."""
    rng = world.rng
    old = world.leader
    assert old is not None
    name = old.node
    peers_too = rng.random() < 0.7
    world.ports[name].store.faults.refused = True
    if peers_too:
        world.isolated_nodes.add(name)
    refused_for = rng.choice([rng.uniform(2, 20), 90.0])

    def heal() -> None:
        world.isolated_nodes.discard(name)
        world.ports[name].store.faults.refused = False

    def cut_again() -> None:
        """Refuse the node's new process for as long as the node is refused."""
        if world.loop.now < refused_until and name in world.controllers:
            world.ports[name].store.faults.refused = True

    refused_until = world.loop.now + refused_for
    world.loop.call_later(refused_for, heal)
    calls = [
        world.loop.create_task(delayed(rng.uniform(0.0, 6.0), partial(world.withdraw, job_id, 50.0))) for job_id in ids
    ]
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    world.store.outage(True)
    end = world.loop.now + world.cancel + rng.uniform(1, 15)
    if rng.random() < 0.3:
        world.loop.create_task(world.suspend(name, rng.uniform(0.5, 6.0)))
    crash = rng.choice([rng.uniform(0, 30), None])
    while world.loop.now < end:
        await asyncio.sleep(rng.uniform(1, 8))
        if crash is not None and world.loop.now > end - world.cancel + crash:
            crash = None
            restart_any(world)
            world.loop.call_later(1.0, cut_again)
        if rng.random() < 0.2 and world.workers:
            hang_any(world)
    world.store.outage(False)
    for call in calls:
        call.cancel()


def restart_any(world: World) -> None:
    """Kill a process, the holding one or any other, and start it again at once."""
    victim = world.rng.choice(list(world.controllers))
    world.kill(victim)
    world.loop.call_later(world.rng.uniform(0.05, 0.9), partial(start, world, victim))


def hang_any(world: World) -> None:
    worker = world.rng.choice(list(world.workers.values()))
    worker.hung = True
    world.loop.call_later(world.rng.uniform(1, 20), setattr, worker, "hung", False)


async def delayed(pause: float, begin: Callable[[], Awaitable[object]]) -> None:
    await asyncio.sleep(pause)
    await begin()


@pytest.mark.parametrize(("controllers", "seeds"), [(3, range(8)), (5, range(8, 14)), (7, range(14, 18))])
def test_cancelled_tasks_are_gone_in_time_whoever_confirmed_and_whoever_holds(controllers: int, seeds: range) -> None:
    seen: Counter[str] = Counter()

    async def script(world: World) -> None:
        watcher = world.loop.create_task(watch(world, seen))
        ids = []
        for number in range(16):
            spec = job(number, pieces=PIECES, true_s=150.0, expected_s=150.0)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        await asyncio.sleep(10)
        for round_ in range(2):
            await gap(world, ids[round_ * 6 : round_ * 6 + 6])
            await asyncio.sleep(world.rng.uniform(2, 20))
        restore(world)
        states = await world.wait_until_finished(ids, 400)
        assert set(states.values()) <= {"done", "cancelled"}, states
        watcher.cancel()

    for seed in seeds:
        day(script, seed=seed, controllers=controllers, each=1, machines=6)
    # The meeting was there: confirmed, on machines still, and an earlier leader answering them.
    assert seen["present, held by an earlier leader"] > 0, seen


@pytest.mark.parametrize("cancel", [6.0, 13.0, 17.0])
def test_a_cancellation_that_could_not_be_kept_is_not_confirmed_yet(cancel: float) -> None:
    """Where `cancel_s` leaves no time to hold on, or is shorter than a lease, the confirmation waits."""

    async def script(world: World) -> None:
        seen: Counter[str] = Counter()
        watcher = world.loop.create_task(watch(world, seen))
        assert await world.submit(job(1, pieces=20, true_s=60.0, expected_s=60.0))
        assert await world.submit(job(2, pieces=2, true_s=200.0, expected_s=200.0))
        await asyncio.sleep(10)
        # No machine can be asked: until their leases have surely run out, nobody may say `cancelled`.
        for worker in list(world.workers):
            world.cut_worker_links |= {(worker, node) for node in world.nodes}
        await asyncio.sleep(0.5)
        began = world.loop.now
        answer = await world.ask("POST", "/submissions/run-000001/withdraw")
        world.rules.asked_to_cancel.add("run-000001")
        if cancel < 12.0:
            assert answer.status == 503 and answer.retry_after is not None
            assert world.loop.now - began < 1
            # Nor does any node say it otherwise.
            for node in world.nodes:
                assert (await world.ask("GET", "/submissions/run-000001", node=node)).status == 503
        assert await world.withdraw("run-000001", 40.0) == "cancelled"
        assert world.loop.now - began < 20
        await asyncio.sleep(5)
        world.cut_worker_links.clear()
        await asyncio.sleep(40)
        # A leader is refused alone, with its workers: it does not hold on, or not for longer than it may.
        name = world.leader.node if world.leader is not None else ""
        world.ports[name].store.faults.refused = True
        world.isolated_nodes.add(name)
        await asyncio.sleep(4)
        await world.withdraw("run-000002", 30.0)
        await asyncio.sleep(30)
        restore(world)
        await asyncio.sleep(5)
        watcher.cancel()

    for seed in range(3):
        day(script, seed=seed, cancel=cancel)


def test_each_answer_stops_what_is_cancelled_even_a_new_leaders_first() -> None:
    """Leaders that change faster than reports come would else only renew leases, each with its token."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=6, true_s=200.0, expected_s=200.0))
        assert await world.submit(job(2, pieces=2, true_s=200.0, expected_s=200.0))
        await asyncio.sleep(8)
        assert await world.withdraw("run-000001") == "cancelled"
        listed = {name: [task for on, task in world.rules.running if on == name] for name in world.workers}
        body = next(
            worker.heartbeat_body()
            for worker in world.workers.values()
            if any("000001" in task for task in listed[worker.name])
        )
        old = world.leader
        assert old is not None
        world.kill(old.node)
        await asyncio.sleep(5)
        assert world.leader is not None and world.leader is not old
        machine = world.leader.leader.cluster.machines[body["loom"]]  # type: ignore[union-attr]
        machine.last_heartbeat_id = NO_HEARTBEAT
        answer = await world.send_heartbeat(body, world.leader.node)
        assert answer.status == 200 and answer.body["baton"] > body["baton"]
        told = {(order["verb"], order["piece"], order["try"]) for order in answer.body["orders"]}
        running = [one for one in body["pieces"] if one["piece"].startswith("run-000001") and one["status"] != "exited"]
        # Exactly what is cancelled is stopped; what runs on is left alone, as the report may be an old copy.
        assert running and told == {("halt", one["piece"], one["try"]) for one in running}
        world.start(old.node)

    day(script, machines=2, each=0)


# An outage in which all nodes confirm that they have not won


@pytest.mark.parametrize("all_there", [True, False])
def test_an_outage_costs_no_work_while_all_nodes_confirm(all_there: bool) -> None:
    """The store is down for two minutes; a node that can't be asked bounds the time of holding."""

    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=20, true_s=200.0, expected_s=200.0))
        await asyncio.sleep(10)
        before = sorted(world.rules.running)
        assert len(before) == 20
        leader = world.leader
        assert leader is not None
        world.store.outage(True)
        await asyncio.sleep(10)
        if not all_there:
            world.kill(next(node for node in world.nodes if node != leader.node))
        await asyncio.sleep(110)
        if all_there:
            assert sorted(world.rules.running) == before and leader.election.role is Role.LEASE_UNCERTAIN
        else:
            assert not world.rules.running and leader.election.role is Role.FOLLOWER
        restore(world)
        await asyncio.sleep(3)
        if all_there:
            # The same term goes on: nobody has won meanwhile, and nothing had to be loaded anew.
            assert world.leader is leader
        assert await world.wait_until_finished(["run-000001"], 400) == {"run-000001": "done"}

    world = day(script, machines=4)
    assert max(world.rules.starts.values()) == (1 if all_there else 2)


def test_a_process_that_knows_a_term_by_hearsay_confirms_nothing() -> None:
    """The process before it has won and confirmed a cancellation, of which it knows nothing."""

    async def script(world: World) -> None:
        seen: Counter[str] = Counter()
        watcher = world.loop.create_task(watch(world, seen))
        assert await world.submit(job(1, pieces=10, true_s=300.0, expected_s=300.0))
        await asyncio.sleep(10)
        old = world.leader
        assert old is not None
        name, other = old.node, next(node for node in world.nodes if node != old.node)
        world.ports[name].store.faults.refused = True
        world.isolated_nodes.add(name)
        await asyncio.sleep(4)
        assert await world.withdraw("run-000001", 5.0) == "cancelled"
        assert world.rules.running and old.election.role is Role.LEASE_UNCERTAIN
        world.store.outage(True)
        world.kill(other)
        world.isolated_nodes.discard(name)
        world.start(other)
        await asyncio.sleep(3)
        assert world.controllers[other].election.highest_seen_token == old.election.fencing_token
        await asyncio.sleep(60)
        assert seen["present, held by an earlier leader"] > 20 and not world.rules.running
        restore(world)
        await asyncio.sleep(10)
        watcher.cancel()

    for seed in range(4):
        day(script, seed=seed, controllers=2)
