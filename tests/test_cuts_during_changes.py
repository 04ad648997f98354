"""Link cuts during a failover, a restart, a suspension of the leader or a rollout."""

import asyncio
from unittest import mock

import pytest

from elmthread.common.features import SUPPORTED
from elmthread.reachability.succession import Succession
from tests.world.cut_days import LEVELS_WITHOUT_LINK_VIEWS, Script, cut, cut_day
from tests.world.history import History
from tests.world.rollouts import replace, wait_for_level
from tests.world.settings import NODES
from tests.world.world import World, start

# Cuts during another change


async def kill_named_successor(world: World, history: History) -> None:
    """Kill the named successor before it becomes a candidate."""
    assert world.leader is not None
    succession = world.leader.reachability.succession
    name_successor = succession.name_successor

    def name_and_kill(node: str, fencing_token: int) -> None:
        name_successor(node, fencing_token)
        world.kill(node)
        world.loop.call_later(0.3, start, world, node)

    succession.name_successor = name_and_kill  # type: ignore[method-assign]
    await world.play_faults([cut("leader", "workers")])
    assert len(history.terms) >= 2


async def cut_named_successor(world: World, history: History) -> None:
    """Cut the successor off from the state service at the moment it is named."""
    assert world.leader is not None
    succession = world.leader.reachability.succession
    name_successor = succession.name_successor
    cuts: list[asyncio.Task[None]] = []

    def name_and_cut(node: str, fencing_token: int) -> None:
        name_successor(node, fencing_token)
        cuts.append(world.loop.create_task(world.play_faults([cut(node, "store")])))

    succession.name_successor = name_and_cut  # type: ignore[method-assign]
    await world.play_faults([cut("leader", "workers")])
    await asyncio.gather(*cuts)
    assert cuts and len(history.terms) >= 2


async def lose_successor_announcement(world: World, history: History) -> None:
    """Keep the other controllers from learning which successor was named."""
    with mock.patch.object(Succession, "observe_successor", lambda self, node, fencing_token: None):
        await world.play_faults([cut("leader", "workers")])
    assert len(history.terms) >= 2


async def cut_during_election(world: World, history: History) -> None:
    assert world.leader is not None
    name = world.leader.node
    world.kill(name)
    world.loop.call_later(0.2, start, world, name)
    await world.play_faults(
        [cut("follower", "store", at=0.1), cut("leader", "workers", at=2.1), cut("leader", "peers", at=2.2)]
    )


async def cut_during_rolling_restart(world: World, history: History) -> None:
    """Restart one node after another, each within 0.2 s, with intermittent link cuts meanwhile."""
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
        await world.play_faults(
            [cut("leader", "workers", length=6.0, on_s=2.0, off_s=0.5), cut(node, "peers", length=4.0)]
        )


async def cut_while_leader_is_suspended(world: World, history: History) -> None:
    assert world.leader is not None
    suspension = world.loop.create_task(world.suspend(world.leader.node, 8.0))
    await world.play_faults([cut("leader", "workers"), cut("follower", "store", at=2.0)])
    await suspension


SCRIPTS: list[Script] = [
    kill_named_successor,
    cut_named_successor,
    lose_successor_announcement,
    cut_during_election,
    cut_during_rolling_restart,
    cut_while_leader_is_suspended,
]


@pytest.mark.parametrize("script", SCRIPTS)
def test_cut_during_another_change(script: Script) -> None:
    cut_day(script)


def test_feature_is_activated_during_a_cut_and_beside_the_previous_version() -> None:
    async def script(world: World, history: History) -> None:
        # Nodes of the previous version are replaced one by one; each time the leader, of either version, is cut off.
        for node in NODES:
            replace(world, node, SUPPORTED, 0.3)
            await world.play_faults(
                [cut("leader", "workers", at=1.0, length=9.0), cut("leader", "follower", length=3.0)]
            )
        await wait_for_level(world, SUPPORTED.highest)

    cut_day(script, levels=LEVELS_WITHOUT_LINK_VIEWS)
