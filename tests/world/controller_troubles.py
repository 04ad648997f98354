"""Controller faults: crashes, suspended processes and changes of leader."""

import asyncio

from elmthread.leadership.step_down import StepDownReason
from tests.world.stage import Stage


async def leader_ends(stage: Stage) -> None:
    leader = stage.leader()
    if leader is not None:
        stage.kill(leader, stage.world.rng.choice([0.05, 0.4, 3.0, 8.0]))


async def all_end(stage: Stage) -> None:
    """Kill all controllers; each restarts after more than a lease, or the first of them within seconds."""
    rng = stage.world.rng
    for number, node in enumerate(list(stage.world.controllers)):
        stage.kill(node, rng.choice([0.2, 9.0, 16.0]) + number)


async def leaders_change(stage: Stage) -> None:
    """Change the leader ten times in two minutes, by step-downs and kills, also during a store outage."""
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


async def leader_stands_still(stage: Stage) -> None:
    leader = stage.leader()
    if leader is not None:
        await stage.world.suspend(leader, stage.world.rng.choice([0.8, 2.5, 10.0]))
