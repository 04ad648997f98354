"""Runs a simulated day: nodes and machines start, a script runs, and no rule may be violated."""

import re
from collections.abc import Awaitable, Callable
from typing import TypedDict, Unpack

from tests.world.error_log import errors_logged
from tests.world.loop import play
from tests.world.rollouts import stored_level
from tests.world.world import World

# The error of a process that can't read the active compatibility level, with the level and those that it reads.
REFUSAL = re.compile(r"compatibility level (\d+) is active, this version reads (\d+) to (\d+): ")


class DayOptions(TypedDict, total=False):
    """Initial conditions of a simulated day that differ from the defaults."""

    seed: int
    # Machines running at the start.
    machines: int
    controllers: int
    # Cloud capacity: the number of machines of each type and zone, for on-demand and for spot.
    each: int
    # Called before any node starts.
    before: Callable[[World], None]
    # The setting `cancel_s`.
    cancel: float


DEFAULTS = DayOptions(seed=1, machines=4, controllers=3, each=3, before=lambda world: None, cancel=30.0)


def day(script: Callable[[World], Awaitable[None]], **options: Unpack[DayOptions]) -> World:
    """Run a script in a world whose nodes and machines have started; no rule may be violated."""
    conditions = DEFAULTS | options
    world = World(conditions["seed"], conditions["controllers"], conditions["each"], conditions["cancel"])
    conditions["before"](world)

    async def main() -> None:
        for index in range(conditions["machines"]):
            world.rent("small" if index % 2 else "large", ["east", "north"][index % 2])
        for node in world.nodes:
            world.start(node)
        await script(world)

    # An exception in the leader's work ends its term, and the next leader recovers from it. Logged errors
    # are checked here, since the simulation goes on without failing.
    with errors_logged() as errors:
        play(main(), world.loop)
    assert [error for error in errors if not is_required_refusal(world, error)] == []
    assert world.rules.violations == []
    assert world.store.bad_requests == []
    return world


def is_required_refusal(world: World, error: str) -> bool:
    """Return whether the error is a refusal to take part that the level in the store requires."""
    refusal = REFUSAL.match(error)
    if refusal is None:
        return False
    level, lowest, highest = map(int, refusal.groups())
    return level <= stored_level(world) and not lowest <= level <= highest
