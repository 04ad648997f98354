"""Network partitions: a leader or a zone is cut off from the others."""

import asyncio

from tests.world.scenario import Scenario, add_temporarily
from tests.world.settings import ZONES
from tests.world.user_faults import cancel_now


async def leader_apart(scenario: Scenario) -> None:
    """Cut the leader off from the store and other nodes, but not from workers and users, who cancel jobs."""
    world, leader = scenario.world, scenario.leader()
    if leader is None:
        return
    world.isolated_nodes.add(leader)
    refused = world.rng.random() < 0.5
    state = world.ports[leader].store.faults
    state.refused, state.cut = refused, not refused
    await asyncio.sleep(world.rng.uniform(2, 5))
    await cancel_now(scenario)
    await asyncio.sleep(world.rng.uniform(2, 30))
    world.isolated_nodes.discard(leader)
    store_faults = world.ports[leader].store.faults
    store_faults.refused = store_faults.cut = False


async def zone_cut(scenario: Scenario) -> None:
    """Cut off a zone with its workers and a controller, which keeps running, for longer than a worker's lease."""
    world = scenario.world
    zone, node = world.rng.choice(ZONES), world.rng.choice(world.nodes)
    inside = {name for name, worker in world.workers.items() if worker.zone == zone}
    cut = {(name, other) for name in inside for other in world.nodes if other != node}
    cut |= {(name, node) for name in world.workers if name not in inside}
    add_temporarily(scenario, world.cut_worker_links, cut, 20.0)
    world.isolated_nodes.add(node)
    world.ports[node].store.faults.cut = True
    await asyncio.sleep(20)
    world.isolated_nodes.discard(node)
    world.ports[node].store.faults.cut = False
