"""Repeated upgrades and rollbacks combined with random faults."""

import asyncio
import random

from hypothesis import strategies as st

from elmthread.common.features import SUPPORTED
from tests.world.random_faults import FAULT_NAMES, inject_fault, restore
from tests.world.rollouts import PREVIOUS_LEVELS, RolloutMonitor, configure_previous_version, replace, wait_for_level
from tests.world.settings import NEXT_LIMITS, NODES
from tests.world.staged_days import staged_day, submit_some
from tests.world.upgrades import lower_store_limits
from tests.world.versions import EarlierVersion
from tests.world.world import World

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["new", "new", "new", "before", "before", *FAULT_NAMES]),
        st.sampled_from(NODES),
        st.floats(0.05, 9.0),
    ),
    min_size=10,
    max_size=16,
)


async def upgrades_and_rollbacks(
    world: World, monitor: RolloutMonitor, steps: list[tuple[str, str, float]], limits_lowered_at_s: float
) -> None:
    """Change the nodes' versions repeatedly while faults occur; upgrade all of them in the end."""
    world.loop.call_later(limits_lowered_at_s, lower_store_limits, world)
    ids = await submit_some(world, 6)
    for kind, node, pause in steps:
        if kind in ("new", "before"):
            replace(world, node, SUPPORTED if kind == "new" else PREVIOUS_LEVELS, world.rng.uniform(0.02, 4.0))
        else:
            await inject_fault(world, kind, ids)
        await asyncio.sleep(pause)
        for job_id in ids:
            await world.poll(job_id)
    restore(world)
    for node in NODES:
        if world.levels[node] != SUPPORTED:
            replace(world, node, SUPPORTED, world.rng.uniform(0.02, 4.0))
    await asyncio.sleep(5)
    await wait_for_level(world, SUPPORTED.highest)
    ids += await submit_some(world, 3, 20)
    states = await world.wait_until_finished(ids, 400)
    assert all(state in ("done", "cancelled") for state in states.values()), states
    await asyncio.sleep(max(0.0, limits_lowered_at_s - world.loop.now))


def day_beside_an_earlier_version(seed: int, earlier: EarlierVersion) -> None:
    """Run a day of upgrades from, and rollbacks to, an actual earlier version (`tests/both.py`)."""
    rng = random.Random(seed)
    reads_level = earlier.reads_level(SUPPORTED.highest)

    async def script(world: World, monitor: RolloutMonitor) -> None:
        ids = await submit_some(world, 6)
        await _change_versions(world, rng, ids)
        restore(world)
        for node in sorted(world.earlier_nodes):
            world.earlier_nodes.discard(node)
            replace(world, node, SUPPORTED, rng.uniform(0.05, 4.0))
        await asyncio.sleep(5)
        await wait_for_level(world, SUPPORTED.highest)
        ids += await submit_some(world, 3, 20)
        await asyncio.sleep(14)
        await _roll_back(world, reads_level)
        states = await world.wait_until_finished(ids, 400)
        assert all(state in ("done", "cancelled") for state in states.values()), states

    def before(world: World) -> None:
        configure_previous_version(world)
        world.levels.clear()
        world.limits, world.earlier, world.earlier_nodes = dict(NEXT_LIMITS), earlier, set(world.nodes)

    staged_day(script, before, seed=seed)


async def _change_versions(world: World, rng: random.Random, ids: list[str]) -> None:
    """Move random nodes to this version or back to the earlier one while faults occur."""
    for _ in range(12):
        kind, node = rng.choice(["new", "new", "earlier", *rng.sample(FAULT_NAMES, 2)]), rng.choice(NODES)
        if kind in ("new", "earlier"):
            (world.earlier_nodes.discard if kind == "new" else world.earlier_nodes.add)(node)
            replace(world, node, SUPPORTED, rng.uniform(0.05, 4.0))
        else:
            await inject_fault(world, kind, ids)
        await asyncio.sleep(rng.uniform(0.05, 9.0))
        for job_id in ids:
            await world.poll(job_id)


async def _roll_back(world: World, reads_level: bool) -> None:
    """Roll all nodes back to the earlier version, then upgrade them again.

    While all run the earlier version, they must have a leader if it reads the active level, and none otherwise.
    """
    world.earlier_nodes.update(NODES)
    for node in NODES:
        replace(world, node, SUPPORTED, 0.5)
    leader_found = False
    for _ in range(60):
        await asyncio.sleep(0.5)
        leader_found |= any(one.leader is not None and one.leader.loaded for one in world.controllers.values())
        assert not leader_found or reads_level
    assert leader_found is reads_level
    world.earlier_nodes.clear()
    for node in NODES:
        replace(world, node, SUPPORTED, 0.5)
