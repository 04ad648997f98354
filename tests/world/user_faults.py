"""Difficult requests of users: cancellations at any moment, many small jobs, requests that can't be satisfied."""

import asyncio
from typing import Any

from tests.world.machine_faults import cut_off_workers, hang_workers, held_up
from tests.world.scenario import Scenario


async def cancel_now(scenario: Scenario) -> None:
    """Cancel up to three unfinished jobs within 0.2 s, preferably running ones of the team at its limit."""
    running_jobs = {task.rpartition("/")[0] for _, task in scenario.world.rules.running}
    jobs = scenario.unfinished()
    scenario.world.rng.shuffle(jobs)
    specs = scenario.world.rules.specs
    jobs.sort(key=lambda one: (one not in running_jobs, specs[one]["crew"] != "red"))
    for job_id in jobs[:3]:
        scenario.world.loop.call_later(
            scenario.world.rng.uniform(0, 0.2),
            lambda one=job_id: scenario.begin(scenario.cancel(one)),  # type: ignore[misc]
        )


async def cancel_and_hang(scenario: Scenario) -> None:
    """Cancel jobs, then hang or cut off the machines that run tasks of the team at its limit."""
    world = scenario.world
    specs = world.rules.specs
    team_machines = {name for name, task in world.rules.running if specs[task.rpartition("/")[0]]["crew"] == "red"}
    await cancel_now(scenario)
    await asyncio.sleep(0.25)
    if world.rng.random() < 0.5:
        cut_off_workers(scenario, team_machines, world.rng.uniform(8, 30))
    else:
        hang_workers(scenario, team_machines & world.workers.keys(), [10.0, 20.0])


async def cancel_at_end(scenario: Scenario) -> None:
    """Cancel, query or resubmit jobs at about the time at which their last task ends."""
    world = scenario.world

    async def one() -> None:
        duration_s = world.rng.uniform(1, 3)
        job_id = await scenario.submit(
            pieces=world.rng.randint(1, 2), urgency="high", true_s=duration_s, expected_s=duration_s
        )
        if job_id is None:
            return
        end = world.loop.now + 20
        while world.loop.now < end and not any(task.startswith(job_id) for task in world.rules.finished):
            await asyncio.sleep(0.05)
        await asyncio.sleep(world.rng.uniform(0, 0.7))
        await (scenario.cancel(job_id) if world.rng.random() < 0.5 else scenario.query_all_nodes(job_id))

    for _ in range(8):
        scenario.begin(one())
        await asyncio.sleep(world.rng.uniform(0.2, 2))


async def stream(scenario: Scenario) -> None:
    """Submit four one-task jobs per second, and cancel a quarter of them, some at once."""
    world = scenario.world

    async def one() -> None:
        job_id = await scenario.submit(pieces=1, urgency="high", true_s=3.0, expected_s=3.0)
        if job_id is not None and world.rng.random() < 0.25:
            await asyncio.sleep(world.rng.choice([0.0, 1.0, 3.0]))
            await scenario.cancel(job_id)

    for _ in range(100):
        scenario.begin(one())
        await asyncio.sleep(0.25)


async def close_looks(scenario: Scenario) -> None:
    """Query all nodes right after a job was accepted; cancel some jobs at once."""
    world = scenario.world

    async def one() -> None:
        job_id = await scenario.submit(pieces=2, true_s=4.0, expected_s=4.0)
        if job_id is not None:
            await scenario.query_all_nodes(job_id)
            if world.rng.random() < 0.5:
                await scenario.cancel(job_id)

    for _ in range(12):
        scenario.begin(one())
        await asyncio.sleep(world.rng.uniform(0.3, 3))


async def odd_requests(scenario: Scenario) -> None:
    """Submit jobs that can't run or lack a field, repeat submissions, and cancel finished jobs."""
    world = scenario.world
    odd: list[dict[str, Any]] = [
        {"cpus": 17.0},
        {"crew": "green"},
        {"crew": "red", "cpus": 13.0},
        {"builds": ["none"]},
        {"yard": "south"},
        {"ram_gb": 65.0},
    ]
    for number in range(20):
        spec = scenario.spec(**world.rng.choice(odd))
        if number % 3 == 0:
            del spec[world.rng.choice(["crew", "pieces", "cpus", "kit", "urgency", "expected_s"])]
        world.rules.specs[spec["name_id"]] = spec
        world.rules.invalid_jobs.add(spec["name_id"])
        answer = await world.submit_once(spec)
        assert answer.status in (400, 422, 429, 503, 504), answer
        assert answer.retry_after is not None or answer.status not in (429, 503), answer
        ended = [one for one, state in world.rules.reported_states.items() if state == "done"]
        if ended:
            scenario.begin(scenario.cancel(world.rng.choice(ended)))
        if scenario.unfinished():
            scenario.begin(world.submit_once(world.rules.specs[world.rng.choice(scenario.unfinished())]))
        assert (await world.ask("GET", "/submissions/run-999999")).status in (404, 429, 503, 504)
        await asyncio.sleep(1)


async def overload(scenario: Scenario) -> None:
    """Submit more work than there is room for, of several priorities, over slow links."""
    scenario.begin(held_up(scenario))
    for _ in range(10):
        for urgency in ("high", "normal", "best_effort"):
            scenario.begin(scenario.submit(pieces=12, cpus=2.0, urgency=urgency, true_s=6.0, expected_s=6.0))
        await asyncio.sleep(2)
