"""Simulated days on which single links are cut while controllers tell one another which links they can confirm.

Checked against the protocol's rules and the recorded history (`tests/world/history.py`): no action that needs
a lease is taken without a valid one, each job reaches a single final state, and leadership settles.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from elmthread.common.features import SUPPORTED, SupportedLevels
from elmthread.settings.rollout import RolloutSettings
from tests.world.day import day
from tests.world.history import History
from tests.world.links import Fault, check_schedule
from tests.world.rollouts import wait_for_level
from tests.world.settings import NODES
from tests.world.specs import job
from tests.world.world import World

Script = Callable[[World, History], Awaitable[None]]
# Time in which workers find a new leader: a heartbeat timeout of 4 s, 1 s per node that they try, and two of the
# longest heartbeat intervals.
FIND_LEADER_S = 4 + len(NODES) + 2 * 3.75
LEVELS_WITHOUT_LINK_VIEWS = SupportedLevels(1, 2)


def cut(source: str, target: str, at: float = 0.0, length: float = 15.0, **more: Any) -> Fault:
    return {"at_s": at, "for_s": length, "from": source, "to": target, "both": True} | more


async def wait_until_led(world: World, timeout_s: float) -> None:
    """Wait until a leader has confirmed the links in both directions to most of its machines."""
    end = world.loop.now + timeout_s
    while world.loop.now < end:
        leader = world.leader
        if leader is not None and leader.leader is not None and leader.leader.loaded:
            total = leader.leader.reachability.zone_health.counts.total()
            if leader.election.holds_lease() and total.confirmed * 2 > total.expected:
                return
        await asyncio.sleep(0.25)
    raise AssertionError(f"no leader hears most machines {timeout_s} s after the last cut")


def cut_day(script: Script, seed: int = 1, levels: SupportedLevels = SUPPORTED) -> History:
    """Run a day whose script begins once the highest of `levels` is active; all jobs must finish.

    By default, controllers then exchange views of their links. Lower `levels` simulate an earlier version.
    """
    histories: list[History] = []

    def before(world: World) -> None:
        world.rollout = RolloutSettings(enabled=True, soak_s=0.5)
        world.levels = dict.fromkeys(world.nodes, levels)
        histories.append(History(world))

    async def full_script(world: World) -> None:
        history = histories[0]
        await wait_for_level(world, levels.highest)
        users = asyncio.ensure_future(submit_and_cancel(world, 6, 0.0))
        await asyncio.sleep(8)
        await script(world, history)
        bounds = next(iter(world.controllers.values())).reachability.bounds
        await wait_until_led(world, bounds.max_time_without_leader.total_seconds() + FIND_LEADER_S)
        states = await world.wait_until_finished(await users, 300)
        assert set(states.values()) <= {"done", "cancelled"}, states
        assert len(history.terms) <= bounds.max_terms_per_hour(len(world.nodes))

    world = day(full_script, seed=seed, before=before, machines=8)
    assert histories[0].checked_actions > 0
    assert histories[0].violations == []
    for reported in world.rules.history.values():
        assert len({state for _, state in reported if state in ("done", "cancelled")}) == 1
    return histories[0]


async def submit_and_cancel(world: World, count: int, pause: float, first: int = 0) -> list[str]:
    """Submit jobs, later cancel the first and the last, and return the ids of all accepted jobs."""
    ids = []
    for number in range(first, first + count):
        spec = job(number, pieces=6, true_s=25.0, expected_s=25.0, crew=["red", "blue"][number % 2])
        if await world.submit(spec):
            ids.append(spec["name_id"])
        await asyncio.sleep(pause)
    await asyncio.sleep(12)
    await asyncio.gather(*(world.withdraw(job_id, 90.0) for job_id in {*ids[:1], *ids[-1:]}))
    return ids


def fault_script(*faults: Fault) -> Script:
    async def script(world: World, history: History) -> None:
        await world.play_faults(check_schedule({"faults": list(faults)}))

    return script
