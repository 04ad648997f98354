"""Troubles of the network: a leader or a zone is cut off from the others."""

import asyncio

from tests.world.settings import ZONES
from tests.world.stage import Stage, _gone
from tests.world.user_troubles import cancel_now


async def leader_apart(stage: Stage) -> None:
    """Without the state service and the others, but with workers and users; jobs are cancelled."""
    world, leader = stage.world, stage.leader()
    if leader is None:
        return
    world.apart.add(leader)
    refused = world.rng.random() < 0.5
    state = world.ports[leader][0].trouble
    state.refused, state.cut = refused, not refused
    await asyncio.sleep(world.rng.uniform(2, 5))
    await cancel_now(stage)
    await asyncio.sleep(world.rng.uniform(2, 30))
    world.apart.discard(leader)
    now = world.ports[leader][0].trouble
    now.refused = now.cut = False


async def zone_cut(stage: Stage) -> None:
    """A zone with its workers and a controller, which goes on inside, for longer than a lease."""
    world = stage.world
    zone, node = world.rng.choice(ZONES), world.rng.choice(world.nodes)
    inside = {name for name, worker in world.workers.items() if worker.zone == zone}
    cut = {(name, other) for name in inside for other in world.nodes if other != node}
    cut |= {(name, node) for name in world.workers if name not in inside}
    _gone(stage, world.cut_workers, cut, 20.0)
    world.apart.add(node)
    world.ports[node][0].trouble.cut = True
    await asyncio.sleep(20)
    world.apart.discard(node)
    world.ports[node][0].trouble.cut = False
