"""Controller faults: crashes, suspended processes and changes of leader."""

import asyncio

from elmthread.leadership.step_down import StepDownReason
from tests.world.scenario import Scenario


async def leader_ends(scenario: Scenario) -> None:
    leader = scenario.leader()
    if leader is not None:
        scenario.kill(leader, scenario.world.rng.choice([0.05, 0.4, 3.0, 8.0]))


async def all_end(scenario: Scenario) -> None:
    """Kill all controllers; each restarts after its own delay, from 0.2 s to longer than a worker's lease."""
    rng = scenario.world.rng
    for number, node in enumerate(list(scenario.world.controllers)):
        scenario.kill(node, rng.choice([0.2, 9.0, 16.0]) + number)


async def leaders_change(scenario: Scenario) -> None:
    """Make the leader, if there is one, step down or crash, ten times within two minutes, also in a store outage."""
    world = scenario.world
    for turn in range(10):
        if turn == 4:
            world.store.outage(True)
            world.loop.call_later(5, world.store.outage, False)
        if world.leader is not None:
            if world.rng.random() < 0.5:
                world.leader.election.step_down(StepDownReason.FAULT)
            else:
                await leader_ends(scenario)
        await asyncio.sleep(world.rng.uniform(0.3, 12))


async def leader_stands_still(scenario: Scenario) -> None:
    leader = scenario.leader()
    if leader is not None:
        await scenario.world.suspend(leader, scenario.world.rng.choice([0.8, 2.5, 10.0]))
