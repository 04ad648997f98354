"""One simulated day: nodes and machines start, a script plays, and no rule may be broken."""

from collections.abc import Awaitable, Callable

from tests.world.faults import errors_logged
from tests.world.loop import play
from tests.world.world import World


def day(
    script: Callable[[World], Awaitable[None]],
    seed: int = 1,
    machines: int = 4,
    controllers: int = 3,
    each: int = 3,
    before: Callable[[World], None] = lambda world: None,
    cancel: float = 30.0,
) -> World:
    world = World(seed, controllers, each, cancel)
    before(world)

    async def main() -> None:
        for index in range(machines):
            world.rent("small" if index % 2 else "large", ["east", "north"][index % 2])
        for node in world.nodes:
            world.start(node)
        await script(world)

    # A fault in the leader's work ends its leadership and is healed by the next: it must be
    # seen here, since the world goes on as if nothing had been.
    with errors_logged() as faults:
        play(main(), world.loop)
    assert faults == []
    assert world.rules.broken == []
    assert world.store.bad_requests == []
    return world
