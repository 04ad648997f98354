"""Troubles of machines and of their heartbeats: out of reach, hung, dead, back, late."""

import asyncio
from collections.abc import Iterable

import cbor2

from elmthread.net.http_messages import Request
from tests.world.controller_troubles import leader_ends
from tests.world.stage import Scenario, add_for


def cut_off(stage: Scenario, names: Iterable[str], for_s: float) -> None:
    cut = {(name, node) for name in names for node in stage.world.nodes}
    add_for(stage, stage.world.cut_worker_links, cut, for_s)


def hang(stage: Scenario, names: Iterable[str], times: list[float]) -> None:
    for name in names:
        worker = stage.world.workers[name]
        worker.hung = True
        stage.world.loop.call_later(stage.world.rng.choice(times), setattr, worker, "hung", False)


async def machines_mute(stage: Scenario) -> None:
    """They reach no controller."""
    cut_off(stage, stage.some(0.4), stage.world.rng.uniform(5, 30))


async def machines_deaf(stage: Scenario) -> None:
    add_for(stage, stage.world.workers_without_responses, set(stage.some(0.4)), stage.world.rng.uniform(5, 40))


async def machines_hang(stage: Scenario) -> None:
    """They go on within their lease, or after it."""
    hang(stage, stage.some(0.4), [3.0, 10.0, 20.0, 35.0])


async def machines_die(stage: Scenario) -> None:
    for name in stage.some(0.25):
        stage.world.workers.pop(name).terminate()
        stage.world.cloud.machines[name].state = "failed"


async def machines_reborn(stage: Scenario) -> None:
    for name in stage.some(0.3):
        worker = stage.world.workers[name]
        worker.restart(worker.incarnation + stage.world.rng.randint(0, 1))


async def quick_machines(stage: Scenario) -> None:
    """Up within two seconds, with work at once, while writes lag and the leader ends."""
    world = stage.world
    world.cloud.fast_boot = True
    world.store.latency = 0.5
    stage.begin(stage.submit(pieces=40, urgency="high", true_s=10.0, expected_s=10.0))
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(1, 4))
        await leader_ends(stage)
    await asyncio.sleep(5)
    world.cloud.fast_boot = False
    world.store.latency = 0.004


async def late_reports(stage: Scenario) -> None:
    """Send copies of heartbeats to any node, up to long after a lease."""
    stage.world.duplicate_share = 0.5
    await asyncio.sleep(25)
    stage.world.duplicate_share = 0.0


async def held_up(stage: Scenario) -> None:
    """Delay heartbeats and responses by seconds."""
    stage.world.delayed_share = 0.4
    await asyncio.sleep(25)
    stage.world.delayed_share = 0.0


async def kept_for_the_next(stage: Scenario) -> None:
    """Old reports, and reports that were held back, reach every controller as a new leader begins."""
    world = stage.world
    kept: list[Request] = []
    world.captured_requests = kept
    held = [cbor2.dumps(worker.heartbeat_body()) for worker in world.workers.values()]
    await asyncio.sleep(world.rng.uniform(2, 12))
    world.captured_requests = None
    fencing_token = world.leader.election.fencing_token if world.leader is not None else 0
    await leader_ends(stage)
    for _ in range(200):
        await asyncio.sleep(0.05)
        if world.leader is not None and world.leader.election.fencing_token > fencing_token:
            break
    late = [Request("POST", "/agent/beat", {}, body) for body in held]
    for _ in range(2):
        for node in list(world.controllers):
            for request in kept[-40:] + late:
                world.loop.call_later(world.rng.uniform(0, 0.3), world._copy, node, request)
        await asyncio.sleep(world.rng.uniform(0.5, 6))
