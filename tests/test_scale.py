"""The world at a size near the grown deployments', its work counted in steps, not in seconds."""

import asyncio
from collections import Counter
from typing import Any

from elmthread.placement import decide
from tests.test_world import day
from tests.world.world import World, job

MACHINES = 300
JOBS = 50


def test_hundreds_of_machines_and_a_fail_over() -> None:
    """Thousands of tasks; the work for each stays within bounds that a quadratic slip would break."""
    changes: Counter[int] = Counter()  # by second
    looks = 0
    fits = decide.fits

    def counted(want: decide.Want, slot: decide.Slot, room: decide.Room) -> int:
        nonlocal looks
        looks += 1
        return fits(want, slot, room)

    async def script(world: World) -> None:
        transact = world.store._transact

        def noting(body: Any) -> Any:
            changes[int(world.loop.now)] += len(body.get("then", []))
            return transact(body)

        world.store._transact = noting  # type: ignore[method-assign]
        for index in range(MACHINES):
            world.rent("small" if index % 3 else "large", ["east", "north"][index % 2], spot=bool(index % 5))
        await asyncio.sleep(2)
        ids = []
        for number in range(JOBS):
            size = 600 if number % 10 == 0 else 40
            spec = job(number, pieces=size, kit=f"img-{number % 7}", true_s=12.0, expected_s=15.0)
            spec["urgency"] = "high" if number % 3 == 1 else "normal"
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        await asyncio.sleep(15)
        running = set(world.rules.where)
        assert len(running) > 1500
        old = world.leader
        assert old is not None
        world.kill(old.api._node)
        crashed = world.loop.now
        while world.leader is None or not world.leader.leader.loaded:  # type: ignore[union-attr]
            await asyncio.sleep(0.1)
        # The new leader serves within seconds, with all that there is in the store.
        assert world.loop.now - crashed < 6
        for job_id in ids:
            assert await world.poll(job_id) is not None
        world.start(old.api._node)
        states = await world.until_over(ids, 100)
        assert set(states.values()) == {"done"}

    decide.fits = counted
    try:
        world = day(script, machines=0, controllers=5, each=MACHINES)
    finally:
        decide.fits = fits
    tasks = sum(world.rules.starts.values())
    # A lease outlasts a crash: hardly a task is started again for it.
    assert tasks < 1.02 * len(world.rules.starts)
    assert sum(changes.values()) < tasks / 10
    # The rate with its burst, and the other nodes' share.
    assert max(changes.values()) <= 30 * 2
    assert looks < 10 * tasks, looks / tasks
