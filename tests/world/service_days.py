"""Helpers of tests of services: renting machines in every zone, waiting until all replicas serve."""

import asyncio

from elmthread.cluster.job import Job
from tests.world.settings import ZONES
from tests.world.world import World


def rent_on_demand(world: World, each: int = 2) -> None:
    """Rent on-demand machines in every zone, for services that may not use spot machines."""
    for zone in ZONES:
        for _ in range(each):
            world.rent("small", zone)


def leader_job(world: World, job_id: str) -> Job:
    assert world.leader is not None and world.leader.leader is not None
    return world.leader.leader.cluster.jobs[job_id]


async def wait_until_serving(world: World, job_id: str, within: float, replicas: int = 3) -> float:
    """Wait until all replicas serve; return how long that took, in seconds."""
    began = world.loop.now
    while world.rules.serving(job_id) < replicas:
        assert world.loop.now - began < within, f"{world.rules.serving(job_id)} of {replicas} after {within} s"
        await asyncio.sleep(0.2)
    return world.loop.now - began
