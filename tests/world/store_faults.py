"""Faults of the state service: refusals, outages, lost and late responses."""

import asyncio

from tests.world.scenario import Scenario
from tests.world.user_faults import cancel_now


async def refused_then_down(scenario: Scenario) -> None:
    """Refuse the leader, then all nodes for longer than `cancel_s`, while users cancel and query jobs."""
    world, leader = scenario.world, scenario.leader()
    if leader is None:
        return
    world.ports[leader].store.faults.refused = True
    scenario.begin(cancel_now(scenario))
    await asyncio.sleep(world.rng.choice([1.0, 1.0, 2.5]))
    world.store.outage(True)
    for _ in range(4):
        await asyncio.sleep(world.cancel / 4 + 1)
        scenario.begin(cancel_now(scenario))
    world.store.outage(False)
    world.ports[leader].store.faults.refused = False


async def outage(scenario: Scenario) -> None:
    scenario.world.store.outage(True)
    await asyncio.sleep(scenario.world.rng.uniform(1, 20))
    scenario.world.store.outage(False)


async def _fault(scenario: Scenario, share: str, value: float, for_s: float) -> None:
    """Set a share in the ServiceFaults of every node's store client for `for_s` seconds."""
    for faults in scenario.store_faults():
        setattr(faults, share, value)
    await asyncio.sleep(for_s)
    for faults in scenario.store_faults():
        setattr(faults, share, 0.0)


async def late_writes(scenario: Scenario) -> None:
    """Apply a share of the requests after newer ones, without a response."""
    await _fault(scenario, "late_share", 0.3, 25)


async def answers_lost(scenario: Scenario) -> None:
    """Apply requests at once and lose a share of the responses."""
    await _fault(scenario, "lost_response_share", 0.4, 25)


async def slow_store(scenario: Scenario) -> None:
    scenario.world.store.latency = 1.2
    await asyncio.sleep(25)
    scenario.world.store.latency = 0.004
