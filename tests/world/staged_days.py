"""Simulated days that begin with the previous version, watched by the rollout monitor."""

from collections.abc import Awaitable, Callable
from typing import Any

from elmthread.common.features import SUPPORTED
from tests.world.day import day
from tests.world.rollouts import RolloutMonitor, configure_previous_version, monitored, replace, wait_for_level
from tests.world.settings import NODES
from tests.world.specs import job
from tests.world.world import World

Script = Callable[[World, RolloutMonitor], Awaitable[None]]


def staged_day(script: Script, before: Callable[[World], None] = configure_previous_version, **more: Any) -> World:
    """Run a day that begins with the previous version; the monitor must see no violation and at most one activation."""

    async def watched(world: World) -> None:
        with monitored(world) as monitor:
            await script(world, monitor)
        assert monitor.violations == []
        assert len(monitor.activations) <= 1

    return day(watched, before=before, **more)


async def submit_some(world: World, count: int = 4, first: int = 0) -> list[str]:
    """Submit jobs of 1 to 300 tasks; return the ids of those accepted.

    With `NEXT_LIMITS`, uncompressed done marks of 300 tasks take two chunks.
    """
    ids = []
    for number in range(first, first + count):
        pieces = [1, 40, 300, 7][number % 4]
        spec = job(number, pieces=pieces, cpus=0.1, ram_gb=0.05, true_s=12.0, expected_s=12.0)
        if await world.submit(spec):
            ids.append(spec["name_id"])
    return ids


async def upgrade_all(world: World) -> None:
    for node in NODES:
        replace(world, node, SUPPORTED, 0.2)
    await wait_for_level(world, SUPPORTED.highest)


async def wait_until_done(world: World, ids: list[str]) -> None:
    assert set((await world.wait_until_finished(ids, 200)).values()) == {"done"}
