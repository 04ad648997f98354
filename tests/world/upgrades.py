"""Upgrades by kills: nodes of the earlier version restart as this one, and the store's limits are lowered."""

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from tests.world.day import day
from tests.world.random_faults import FAULT_NAMES, inject_fault, restore
from tests.world.settings import NEXT_LIMITS, NODES, ZONES
from tests.world.specs import daemon, job
from tests.world.versions import EarlierVersion
from tests.world.world import World, start


def configure_earlier_version(world: World) -> None:
    world.earlier_nodes, world.limits = set(world.nodes), dict(NEXT_LIMITS)


def lower_store_limits(world: World) -> None:
    world.store.set_limits(NEXT_LIMITS["value_kb"], int(NEXT_LIMITS["txn_ops"]), NEXT_LIMITS["write_rps"])


async def upgrade(world: World, order: list[str], pause: float, inject_next: Any = None) -> None:
    """Kill one node at a time and restart it as this version; until its turn, a node restarts as the earlier one."""
    for node in order:
        if inject_next is not None:
            await inject_next()
        if node in world.controllers:
            world.kill(node)
        world.earlier_nodes.discard(node)
        world.loop.call_later(world.rng.uniform(0.2, 8.0), partial(start, world, node))
        await asyncio.sleep(pause)


def upgraded_day(seed: int, earlier: EarlierVersion) -> None:
    """Run an upgrade from an actual earlier version; its order and faults are drawn from the seed alone."""
    rng = random.Random(seed)
    faults = [(rng.choice(FAULT_NAMES), rng.uniform(0.5, 12.0)) for _ in range(8)]

    def before(world: World) -> None:
        configure_earlier_version(world)
        world.earlier = earlier

    run_upgrade(seed, rng.sample(NODES, len(NODES)), faults, rng.uniform(0.0, 40.0), before)


def run_upgrade(
    world_seed: int,
    order: list[str],
    faults: list[tuple[str, float]],
    limits_lowered_after_s: float,
    before: Callable[[World], None],
) -> None:
    """Upgrade in this order while faults occur; lower the limits `limits_lowered_after_s` after the upgrade."""

    async def script(world: World) -> None:
        for zone in ZONES:
            world.rent("small", zone)
        ids = await _submit_jobs(world)
        remaining = iter(faults)

        async def inject_next() -> None:
            kind, pause = next(remaining)
            await inject_fault(world, kind, ids)
            await asyncio.sleep(pause)

        await upgrade(world, order, world.rng.uniform(0.5, 12.0), inject_next)
        # Features of the new version are used only once all nodes run it; the limits may be lowered any time after.
        world.loop.call_later(limits_lowered_after_s, lower_store_limits, world)
        services = await _submit_services(world)
        for kind, pause in remaining:
            await inject_fault(world, kind, ids + services)
            await asyncio.sleep(pause)
            for job_id in ids + services:
                await world.poll(job_id)
        restore(world)
        await asyncio.sleep(max(0.0, 41 - limits_lowered_after_s))
        states = await world.wait_until_finished(ids, 400)
        assert all(state in ("done", "cancelled") for state in states.values()), states
        # Services that were not cancelled have all their replicas again.
        for job_id in services:
            if world.rules.reported_states.get(job_id) != "cancelled":
                await _until_serving(world, job_id)

    day(script, seed=world_seed, before=before)


async def _submit_jobs(world: World) -> list[str]:
    ids = []
    for index in range(6):
        spec = job(
            index,
            crew="red" if index % 3 else "blue",
            urgency=world.rng.choice(["high", "normal", "best_effort"]),
            pieces=world.rng.randint(1, 9),
            true_s=world.rng.uniform(2, 30),
            scatter=index == 4,
            snapshot_every_s=5.0 if index % 2 else 0.0,
            snapshot_s=1.0 if index % 2 else 0.0,
        )
        if await world.submit(spec):
            ids.append(spec["name_id"])
    return ids


async def _submit_services(world: World) -> list[str]:
    services = []
    for index in range(20, 23):
        spec = daemon(index, crew="red" if index == 20 else "blue", pieces=3, true_s=world.rng.choice([25.0, 1e9]))
        if await world.submit(spec):
            services.append(spec["name_id"])
    return services


async def _until_serving(world: World, job_id: str) -> None:
    for _ in range(600):
        if world.rules.serving(job_id) == 3:
            return
        await asyncio.sleep(0.2)
    raise AssertionError(f"{job_id}: {world.rules.serving(job_id)} of 3 replicas")
