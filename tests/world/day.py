"""One simulated day: nodes and machines start, a script plays, and no rule may be broken."""

from collections.abc import Awaitable, Callable
from typing import TypedDict, Unpack

from tests.world.error_log import errors_logged
from tests.world.loop import play
from tests.world.world import World


class DayOptions(TypedDict, total=False):
    """What a day begins with, where it is not the usual."""

    seed: int
    # Machines that are there at the start.
    machines: int
    controllers: int
    # Machines that can be had of each type, zone and kind.
    each: int
    # Called before any node starts.
    before: Callable[[World], None]
    # The setting `cancel_s`.
    cancel: float


USUAL = DayOptions(seed=1, machines=4, controllers=3, each=3, before=lambda world: None, cancel=30.0)


def day(script: Callable[[World], Awaitable[None]], **options: Unpack[DayOptions]) -> World:
    """Play a script in a world in which nodes and machines have started; no rule may be broken."""
    chosen = USUAL | options
    world = World(chosen["seed"], chosen["controllers"], chosen["each"], chosen["cancel"])
    chosen["before"](world)

    async def main() -> None:
        for index in range(chosen["machines"]):
            world.rent("small" if index % 2 else "large", ["east", "north"][index % 2])
        for node in world.nodes:
            world.start(node)
        await script(world)

    # A fault in the leader's work ends its leadership and is healed by the next: it must be
    # seen here, since the world goes on as if nothing had been.
    with errors_logged() as faults:
        play(main(), world.loop)
    assert faults == []
    assert world.rules.violations == []
    assert world.store.bad_requests == []
    return world
