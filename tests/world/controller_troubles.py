"""Troubles of controllers: they end, stand still or hand over."""

import asyncio

from elmthread.leadership.step_down import StepDownReason
from tests.world.stage import Scenario


async def leader_ends(stage: Scenario) -> None:
    leader = stage.leader()
    if leader is not None:
        stage.kill(leader, stage.world.rng.choice([0.05, 0.4, 3.0, 8.0]))


async def all_end(stage: Scenario) -> None:
    """For longer than a lease, or one of them back within a second."""
    rng = stage.world.rng
    for number, node in enumerate(list(stage.world.controllers)):
        stage.kill(node, rng.choice([0.2, 9.0, 16.0]) + number)


async def leaders_change(stage: Scenario) -> None:
    """Ten times in two minutes, handed over, handed back, ended, inside an outage too."""
    world = stage.world
    for turn in range(10):
        if turn == 4:
            world.store.outage(True)
            world.loop.call_later(5, world.store.outage, False)
        if world.leader is not None:
            if world.rng.random() < 0.5:
                world.leader.election.step_down(StepDownReason.FAULT)
            else:
                await leader_ends(stage)
        await asyncio.sleep(world.rng.uniform(0.3, 12))


async def leader_stands_still(stage: Scenario) -> None:
    leader = stage.leader()
    if leader is not None:
        await stage.world.suspend(leader, stage.world.rng.choice([0.8, 2.5, 10.0]))
