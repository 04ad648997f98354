"""The simulated days that are traced: a script for each, and the preparation of its world."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from tests.trace.pins import SimulatedTime, pinned
from tests.trace.recorder import Recorder
from tests.trace.users import interrupt_spot_machines, leader_of, query_until, rent_machines, run_users
from tests.world.rollouts import configure_previous_version, wait_for_level
from tests.world.world import World, start

Script = Callable[[World, random.Random], Awaitable[None]]
MACHINES = 16
# The level from which controllers exchange views of their links.
LINK_VIEW_LEVEL = 3


async def ordinary(world: World, rng: random.Random) -> None:
    """Submit, query and cancel jobs of all forms, and interrupt spot machines."""
    await asyncio.gather(run_users(world, rng, 45), interrupt_spot_machines(world, rng, 4, 25.0))
    await query_until(world, rng, 200.0)


async def outage(world: World, rng: random.Random) -> None:
    """Lose responses, delay and duplicate requests, take the store down, and lower its limit of writes per second."""
    users = asyncio.ensure_future(run_users(world, rng, 40))
    await asyncio.sleep(15)
    for ports in world.ports.values():
        state, cloud = ports.store.faults, ports.cloud.faults
        state.lost_response_share, state.late_share, state.duplicate_share = 0.1, 0.05, 0.1
        cloud.lost_response_share = cloud.duplicate_share = 0.2
    await asyncio.sleep(25)
    for ports in world.ports.values():
        state = ports.store.faults
        state.lost_response_share = state.late_share = state.duplicate_share = 0.0
        state.request_delay_s, state.response_delay_s = 0.3, 0.4
    await asyncio.sleep(20)
    for ports in world.ports.values():
        ports.store.faults.request_delay_s = ports.store.faults.response_delay_s = 0.0
    world.store.outage(True)
    await asyncio.sleep(20)
    world.store.outage(False)
    await asyncio.sleep(15)
    world.store.set_limits(8.0, 8, 15.0)
    await users
    await query_until(world, rng, 170.0)


async def cuts(world: World, rng: random.Random) -> None:
    """Cut single links and a zone, while machines hang, stop and fail their tasks."""
    users = asyncio.ensure_future(run_users(world, rng, 35))
    await asyncio.sleep(12)
    names = sorted(world.workers)
    world.workers[names[0]].hung = True
    world.workers[names[1]].faulty = True
    world.workers_without_responses.add(names[2])
    world.workers.pop(names[3]).terminate()
    for source, target in (("leader", "store"), ("leader", "peers"), ("leader", "workers/east"), ("leader", "workers")):
        fault = {"at_s": 0.0, "for_s": 14.0, "from": source, "to": target, "both": rng.random() < 0.7}
        await world.play_faults([fault])
        await asyncio.sleep(12)
    if names[0] in world.workers:
        world.workers[names[0]].hung = False
    world.workers_without_responses.clear()
    world.duplicate_share = 0.2
    cut = [name for name, worker in sorted(world.workers.items()) if worker.zone == "north"]
    world.cut_worker_links |= {(name, node) for name in cut for node in world.nodes}
    await asyncio.sleep(25)
    world.cut_worker_links.clear()
    await users
    await query_until(world, rng, 220.0)


async def kills(world: World, rng: random.Random) -> None:
    """Kill and restart the leader twice, suspend the leader, kill and restart all nodes."""
    users = asyncio.ensure_future(run_users(world, rng, 40))
    for _ in range(2):
        await asyncio.sleep(18)
        node = leader_of(world)
        world.kill(node)
        await asyncio.sleep(rng.uniform(1.0, 9.0))
        world.start(node)
    await asyncio.sleep(15)
    await world.suspend(leader_of(world), 8.0)
    await asyncio.sleep(15)
    for node in world.nodes:
        world.kill(node)
    await asyncio.sleep(6)
    for node in world.nodes:
        world.start(node)
    await users
    await query_until(world, rng, 180.0)


async def levels(world: World, rng: random.Random) -> None:
    """Upgrade the nodes from the previous version one by one; once the new level is active, cut links."""
    users = asyncio.ensure_future(run_users(world, rng, 40))
    await asyncio.sleep(12)
    for node in world.nodes:
        # It restarts with all levels that this version supports.
        world.kill(node)
        del world.levels[node]
        world.loop.call_later(1.0, start, world, node)
        await asyncio.sleep(9)
    await wait_for_level(world, LINK_VIEW_LEVEL)
    await asyncio.sleep(10)
    for source, target in (("leader", "workers"), ("leader", "follower"), ("leader", "store")):
        await world.play_faults([{"at_s": 0.0, "for_s": 12.0, "from": source, "to": target, "both": True}])
        await asyncio.sleep(14)
    await users
    world.kill(leader_of(world))
    await query_until(world, rng, 190.0)


DAYS: dict[str, tuple[Script, Callable[[World], None]]] = {
    "ordinary": (ordinary, lambda world: None),
    "outage": (outage, lambda world: None),
    "cuts": (cuts, lambda world: None),
    "kills": (kills, lambda world: None),
    "levels": (levels, configure_previous_version),
}


def play_day(name: str, seed: int) -> list[str]:
    """Run a day and return its lines. Raises AssertionError if a rule is violated."""
    from tests.world.day import day

    script, prepare = DAYS[name]
    recorder, clock = Recorder(), SimulatedTime()

    def before(world: World) -> None:
        recorder.world, clock.loop = world, world.loop
        prepare(world)

    async def traced_script(world: World) -> None:
        rent_machines(world, 12)
        await script(world, random.Random(seed))
        # Work that is cancelled at the end ends in no defined order.
        recorder.closed = True

    more: dict[str, Any] = {"machines": MACHINES, "each": 8, "before": before}
    with pinned(seed, clock), recorder.recording():
        day(traced_script, seed=seed, **more)
    return recorder.lines
