"""A link is cut in the middle of a failover, a restart, a pause or a rollout."""

import asyncio
from unittest import mock

import pytest

from elmthread.common.features import SUPPORTED
from elmthread.reachability.succession import Succession
from tests.world.cut_days import PREVIOUS_LEVELS, Script, cut, cut_day
from tests.world.history import History
from tests.world.rollouts import replace, wait_for_level
from tests.world.settings import NODES
from tests.world.world import World, start

# A cut in the middle of something


async def kill_named(world: World, history: History) -> None:
    """Kill the named successor before it stands."""
    assert world.leader is not None
    succession = world.leader.reachability.succession
    name_successor = succession.name_successor

    def named(node: str, fencing_token: int) -> None:
        name_successor(node, fencing_token)
        world.kill(node)
        world.loop.call_later(0.3, start, world, node)

    succession.name_successor = named  # type: ignore[method-assign]
    await world.play_faults([cut("leader", "workers")])
    assert len(history.terms) >= 2


async def cut_named(world: World, history: History) -> None:
    """Cut the named successor off from the store as it is named."""
    assert world.leader is not None
    succession = world.leader.reachability.succession
    name_successor = succession.name_successor
    cuts: list[asyncio.Task[None]] = []

    def named(node: str, fencing_token: int) -> None:
        name_successor(node, fencing_token)
        cuts.append(world.loop.create_task(world.play_faults([cut(node, "store")])))

    succession.name_successor = named  # type: ignore[method-assign]
    await world.play_faults([cut("leader", "workers")])
    await asyncio.gather(*cuts)
    assert cuts and len(history.terms) >= 2


async def name_not_heard(world: World, history: History) -> None:
    """Keep the others from learning who was named."""
    with mock.patch.object(Succession, "observe_successor", lambda self, node, fencing_token: None):
        await world.play_faults([cut("leader", "workers")])
    assert len(history.terms) >= 2


async def in_an_election(world: World, history: History) -> None:
    assert world.leader is not None
    name = world.leader.node
    world.kill(name)
    world.loop.call_later(0.2, start, world, name)
    await world.play_faults(
        [cut("follower", "store", at=0.1), cut("leader", "workers", at=2.1), cut("leader", "peers", at=2.2)]
    )


async def in_a_rolling_restart(world: World, history: History) -> None:
    """Each node ends and is back at once, with cuts that come and go meanwhile."""
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
        await world.play_faults(
            [cut("leader", "workers", length=6.0, on_s=2.0, off_s=0.5), cut(node, "peers", length=4.0)]
        )


async def leader_hangs(world: World, history: History) -> None:
    assert world.leader is not None
    still = world.loop.create_task(world.suspend(world.leader.node, 8.0))
    await world.play_faults([cut("leader", "workers"), cut("follower", "store", at=2.0)])
    await still


MIDDLE: list[Script] = [kill_named, cut_named, name_not_heard, in_an_election, in_a_rolling_restart, leader_hangs]


@pytest.mark.parametrize("script", MIDDLE)
def test_a_cut_in_the_middle_of_something(script: Script) -> None:
    cut_day(script)


def test_the_feature_turns_on_inside_a_cut_and_beside_the_version_before() -> None:
    async def script(world: World, history: History) -> None:
        # The version before leads, or follows, until its turn comes; each time the leader is cut off.
        for node in NODES:
            replace(world, node, SUPPORTED, 0.3)
            await world.play_faults(
                [cut("leader", "workers", at=1.0, length=9.0), cut("leader", "follower", length=3.0)]
            )
        await wait_for_level(world, SUPPORTED.highest)

    cut_day(script, levels=PREVIOUS_LEVELS)
