"""Troubles of the state service: refusals, outages, lost and late answers."""

import asyncio

from tests.world.stage import Scenario
from tests.world.user_troubles import cancel_now


async def refused_then_down(stage: Scenario) -> None:
    """Refuse the leader, then everybody for longer than `cancel_s`, while users cancel and ask."""
    world, leader = stage.world, stage.leader()
    if leader is None:
        return
    world.ports[leader].store.faults.refused = True
    stage.begin(cancel_now(stage))
    await asyncio.sleep(world.rng.choice([1.0, 1.0, 2.5]))
    world.store.outage(True)
    for _ in range(4):
        await asyncio.sleep(world.cancel / 4 + 1)
        stage.begin(cancel_now(stage))
    world.store.outage(False)
    world.ports[leader].store.faults.refused = False


async def outage(stage: Scenario) -> None:
    stage.world.store.outage(True)
    await asyncio.sleep(stage.world.rng.uniform(1, 20))
    stage.world.store.outage(False)


async def _fault(stage: Scenario, share: str, value: float, for_s: float) -> None:
    """Set a share of ServiceFaults at every node's way to the store for so long."""
    for faults in stage.store_faults():
        setattr(faults, share, value)
    await asyncio.sleep(for_s)
    for faults in stage.store_faults():
        setattr(faults, share, 0.0)


async def late_writes(stage: Scenario) -> None:
    """Carry out a share of the requests after newer ones, without a response."""
    await _fault(stage, "late_share", 0.3, 25)


async def answers_lost(stage: Scenario) -> None:
    """Carry out requests at once and lose a share of the responses."""
    await _fault(stage, "lost_response_share", 0.4, 25)


async def slow_store(stage: Scenario) -> None:
    stage.world.store.latency = 1.2
    await asyncio.sleep(25)
    stage.world.store.latency = 0.004
