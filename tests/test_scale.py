"""The world at a size near the grown deployments', its work counted in steps, not in seconds."""

import asyncio

from tests.test_world import day
from tests.world.world import World, job

MACHINES = 300


def test_hundreds_of_machines_and_a_fail_over() -> None:
    async def script(world: World) -> None:
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", ["east", "north"][index % 2], spot=bool(index % 5))
        await asyncio.sleep(2)
        ids = []
        for number in range(50):
            size = 600 if number % 10 == 0 else 40
            spec = job(number, pieces=size, kit=f"img-{number % 7}", true_s=12.0, expected_s=15.0)
            spec["urgency"] = "high" if number % 3 == 1 else "normal"
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        await asyncio.sleep(15)
        print(world.loop.now, len(world.rules.where), world.store.revision)
        old = world.leader
        assert old is not None
        world.kill(old.api._node)
        await asyncio.sleep(20)
        world.start(old.api._node)
        states = await world.until_over(ids, 100)
        assert set(states.values()) == {"done"}
        print(world.loop.now, world.store.revision)

    world = day(script, machines=0, controllers=5, each=MACHINES)
    assert max(world.rules.starts.values()) <= 2
