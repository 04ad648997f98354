"""Faults of machines and heartbeats: unreachable, hung, failed, restarted, delayed."""

import asyncio
from collections.abc import Iterable

import cbor2

from elmthread.net.http_messages import Request
from tests.world.controller_faults import leader_ends
from tests.world.scenario import Scenario, add_temporarily


def cut_off_workers(scenario: Scenario, names: Iterable[str], for_s: float) -> None:
    cut = {(name, node) for name in names for node in scenario.world.nodes}
    add_temporarily(scenario, scenario.world.cut_worker_links, cut, for_s)


def hang_workers(scenario: Scenario, names: Iterable[str], times: list[float]) -> None:
    for name in names:
        worker = scenario.world.workers[name]
        worker.hung = True
        scenario.world.loop.call_later(scenario.world.rng.choice(times), setattr, worker, "hung", False)


async def machines_mute(scenario: Scenario) -> None:
    """Cut some workers off from all controllers."""
    cut_off_workers(scenario, scenario.sample_workers(0.4), scenario.world.rng.uniform(5, 30))


async def machines_deaf(scenario: Scenario) -> None:
    """Lose all responses to some workers, whose heartbeats still arrive."""
    add_temporarily(
        scenario,
        scenario.world.workers_without_responses,
        set(scenario.sample_workers(0.4)),
        scenario.world.rng.uniform(5, 40),
    )


async def machines_hang(scenario: Scenario) -> None:
    """Hang some workers, and resume them within their lease or after it."""
    hang_workers(scenario, scenario.sample_workers(0.4), [3.0, 10.0, 20.0, 35.0])


async def machines_die(scenario: Scenario) -> None:
    for name in scenario.sample_workers(0.25):
        scenario.world.workers.pop(name).terminate()
        scenario.world.cloud.machines[name].state = "failed"


async def machines_reborn(scenario: Scenario) -> None:
    """Restart some machines at once, with the same incarnation number or the next."""
    for name in scenario.sample_workers(0.3):
        worker = scenario.world.workers[name]
        worker.restart(worker.incarnation + scenario.world.rng.randint(0, 1))


async def quick_machines(scenario: Scenario) -> None:
    """Boot machines within two seconds and give them work at once, while writes are slow and leaders are killed."""
    world = scenario.world
    world.cloud.fast_boot = True
    world.store.latency = 0.5
    scenario.begin(scenario.submit(pieces=40, urgency="high", true_s=10.0, expected_s=10.0))
    for _ in range(3):
        await asyncio.sleep(world.rng.uniform(1, 4))
        await leader_ends(scenario)
    await asyncio.sleep(5)
    world.cloud.fast_boot = False
    world.store.latency = 0.004


async def late_reports(scenario: Scenario) -> None:
    """Deliver copies of heartbeats to any node, some of them long after a lease has expired."""
    scenario.world.duplicate_share = 0.5
    await asyncio.sleep(25)
    scenario.world.duplicate_share = 0.0


async def held_up(scenario: Scenario) -> None:
    """Delay heartbeats and responses by seconds."""
    scenario.world.delayed_share = 0.4
    await asyncio.sleep(25)
    scenario.world.delayed_share = 0.0


async def kept_for_the_next(scenario: Scenario) -> None:
    """Deliver copies of earlier heartbeats, and heartbeats held back, to every controller as a new leader begins."""
    world = scenario.world
    captured: list[Request] = []
    world.captured_requests = captured
    held_back = [cbor2.dumps(worker.heartbeat_body()) for worker in world.workers.values()]
    await asyncio.sleep(world.rng.uniform(2, 12))
    world.captured_requests = None
    fencing_token = world.leader.election.fencing_token if world.leader is not None else 0
    await leader_ends(scenario)
    for _ in range(200):
        await asyncio.sleep(0.05)
        if world.leader is not None and world.leader.election.fencing_token > fencing_token:
            break
    late = [Request("POST", "/agent/beat", {}, body) for body in held_back]
    for _ in range(2):
        for node in list(world.controllers):
            for request in captured[-40:] + late:
                world.loop.call_later(world.rng.uniform(0, 0.3), world._deliver_copy, node, request)
        await asyncio.sleep(world.rng.uniform(0.5, 6))
