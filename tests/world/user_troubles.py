"""Troubles that users make: cancellations at any moment, many small jobs, requests that cannot be met."""

import asyncio
from typing import Any

from tests.world.machine_troubles import cut_off, hang, held_up
from tests.world.stage import Scenario


async def cancel_now(stage: Scenario) -> None:
    """Cancel some running jobs, first those of the team at its limit, within a fifth of a second."""
    on = {task.rpartition("/")[0] for _, task in stage.world.rules.running}
    jobs = stage.unfinished()
    stage.world.rng.shuffle(jobs)
    specs = stage.world.rules.specs
    jobs.sort(key=lambda one: (one not in on, specs[one]["crew"] != "red"))
    for job_id in jobs[:3]:
        stage.world.loop.call_later(
            stage.world.rng.uniform(0, 0.2),
            lambda one=job_id: stage.begin(stage.cancel(one)),  # type: ignore[misc]
        )


async def cancel_and_hang(stage: Scenario) -> None:
    """Cancel jobs while machines of the team at its limit hang or can't be reached."""
    world = stage.world
    specs = world.rules.specs
    theirs = {name for name, task in world.rules.running if specs[task.rpartition("/")[0]]["crew"] == "red"}
    await cancel_now(stage)
    await asyncio.sleep(0.25)
    if world.rng.random() < 0.5:
        cut_off(stage, theirs, world.rng.uniform(8, 30))
    else:
        hang(stage, theirs & world.workers.keys(), [10.0, 20.0])


async def cancel_at_end(stage: Scenario) -> None:
    """Cancel, query or resubmit jobs at the moment at which their last task ends."""
    world = stage.world

    async def one() -> None:
        takes = world.rng.uniform(1, 3)
        job_id = await stage.submit(pieces=world.rng.randint(1, 2), urgency="high", true_s=takes, expected_s=takes)
        if job_id is None:
            return
        end = world.loop.now + 20
        while world.loop.now < end and not any(task.startswith(job_id) for task in world.rules.finished):
            await asyncio.sleep(0.05)
        await asyncio.sleep(world.rng.uniform(0, 0.7))
        await (stage.cancel(job_id) if world.rng.random() < 0.5 else stage.look(job_id))

    for _ in range(8):
        stage.begin(one())
        await asyncio.sleep(world.rng.uniform(0.2, 2))


async def stream(stage: Scenario) -> None:
    """Submit one-task jobs, four a second, a quarter of them cancelled, some at once."""
    world = stage.world

    async def one() -> None:
        job_id = await stage.submit(pieces=1, urgency="high", true_s=3.0, expected_s=3.0)
        if job_id is not None and world.rng.random() < 0.25:
            await asyncio.sleep(world.rng.choice([0.0, 1.0, 3.0]))
            await stage.cancel(job_id)

    for _ in range(100):
        stage.begin(one())
        await asyncio.sleep(0.25)


async def close_looks(stage: Scenario) -> None:
    """Ask all nodes right after a job was accepted; cancel some at once."""
    world = stage.world

    async def one() -> None:
        job_id = await stage.submit(pieces=2, true_s=4.0, expected_s=4.0)
        if job_id is not None:
            await stage.look(job_id)
            if world.rng.random() < 0.5:
                await stage.cancel(job_id)

    for _ in range(12):
        stage.begin(one())
        await asyncio.sleep(world.rng.uniform(0.3, 3))


async def odd_requests(stage: Scenario) -> None:
    """Send jobs that can't run or lack a field, repetitions, and cancellations of what is done."""
    world = stage.world
    odd: list[dict[str, Any]] = [
        {"cpus": 17.0},
        {"crew": "green"},
        {"crew": "red", "cpus": 13.0},
        {"builds": ["none"]},
        {"yard": "south"},
        {"ram_gb": 65.0},
    ]
    for number in range(20):
        spec = stage.spec(**world.rng.choice(odd))
        if number % 3 == 0:
            del spec[world.rng.choice(["crew", "pieces", "cpus", "kit", "urgency", "expected_s"])]
        world.rules.specs[spec["name_id"]] = spec
        world.rules.invalid_jobs.add(spec["name_id"])
        answer = await world.offer(spec)
        assert answer.status in (400, 422, 429, 503, 504), answer
        assert answer.retry_after is not None or answer.status not in (429, 503), answer
        ended = [one for one, state in world.rules.reported_states.items() if state == "done"]
        if ended:
            stage.begin(stage.cancel(world.rng.choice(ended)))
        if stage.unfinished():
            stage.begin(world.offer(world.rules.specs[world.rng.choice(stage.unfinished())]))
        assert (await world.ask("GET", "/submissions/run-999999")).status in (404, 429, 503, 504)
        await asyncio.sleep(1)


async def overload(stage: Scenario) -> None:
    """Submit more work than there is room for, urgent and not, over slow links."""
    stage.begin(held_up(stage))
    for _ in range(10):
        for urgency in ("high", "normal", "best_effort"):
            stage.begin(stage.submit(pieces=12, cpus=2.0, urgency=urgency, true_s=6.0, expected_s=6.0))
        await asyncio.sleep(2)
