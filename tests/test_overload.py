"""Overload: no job is forgotten, and no class, team or size of jobs starves."""

import asyncio

from elmthread.common.clock import seconds
from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World

# Forgotten jobs and starvation


def test_every_node_answers_for_every_job_after_an_outage_and_restarts() -> None:
    async def script(world: World) -> None:
        ids = []
        for number in range(60):
            assert await world.submit(job(number, pieces=2, true_s=2.0, expected_s=2.0))
            ids.append(f"run-{number:06d}")
        await asyncio.sleep(15)
        world.store.outage(True)
        for node in world.nodes:
            world.kill(node)
        await asyncio.sleep(10)
        for node in world.nodes:
            world.start(node)
        await asyncio.sleep(3)
        world.store.outage(False)
        world.rules.faults_cleared_at = recovered_at = world.loop.now
        unanswered = {(node, job_id) for node in world.nodes for job_id in ids}
        while unanswered and world.loop.now < recovered_at + 90:
            for node, job_id in sorted(unanswered):
                if await world.poll(job_id, node) is not None:
                    unanswered.discard((node, job_id))
            await asyncio.sleep(0.5)
        assert world.loop.now - recovered_at < 20, unanswered
        assert set((await world.wait_until_finished(ids, 120)).values()) == {"done"}

    day(script)


def test_rules_detect_a_single_forgotten_job() -> None:
    """Check the checker: a job that goes unanswered is reported even if the other job is answered."""
    world = World()
    for number in (1, 2):
        world.rules.submitted(job(number))
        world.rules.observe_response(f"run-{number:06d}", 201, "queued")
    world.rules.faults_cleared_at = 0.0
    for now in range(90):
        world.loop.now = float(now)
        world.rules.observe_response("run-000001", 200, "queued")
        world.rules.observe_response("run-000002", 503, None)
    world.loop.close()
    assert [entry.split()[1:3] for entry in world.rules.violations[:1]] == [["forgotten:", "run-000002:"]]


def test_large_jobs_start_in_time_under_any_load() -> None:
    """Mix more urgent work than there are cores with a steady stream of small jobs and some large ones."""

    async def script(world: World) -> None:
        ids, large_ids = [], []
        number = 0
        while world.loop.now < 330:
            number += 1
            if number % 25 == 1 and world.loop.now < 80:
                spec = job(number, pieces=300, true_s=8.0, expected_s=8.0)
                large_ids.append(spec["name_id"])
            else:
                urgency = ("high", "normal", "best_effort")[number % 3]
                spec = job(number, pieces=15, cpus=2.0, true_s=8.0, expected_s=8.0, urgency=urgency)
            assert await world.submit(spec)
            ids.append(spec["name_id"])
            world.rules.specs[spec["name_id"]]["at"] = world.loop.now
            await asyncio.sleep(1.0)
        assert large_ids
        early_ids = [job_id for job_id in ids if world.rules.specs[job_id]["at"] < world.loop.now - 240]
        for job_id in (*early_ids, *large_ids):
            waited = world.rules.first_start.get(job_id, 1e9) - world.rules.specs[job_id]["at"]
            assert waited < 240, (job_id, waited)

    day(script, machines=6, each=0)


def test_half_of_each_class_team_and_size_finishes_under_overload() -> None:
    """Submit more work than there are cores for three minutes, large jobs among small ones; then wait up to four."""

    async def script(world: World) -> None:
        ids: list[str] = []
        while world.loop.now < 180:
            number = len(ids) + 1
            job_class, urgency = [("rush", "high"), ("nightly", "normal"), ("sort", "best_effort")][number % 3]
            spec = job(
                number,
                docket=job_class,
                urgency=urgency,
                crew="red" if number % 4 == 0 else "blue",
                pieces=95 if number % 9 == 1 else world.rng.randint(2, 12),
                cpus=world.rng.choice([1.0, 2.0]),
                true_s=8.0,
                expected_s=world.rng.choice([4.0, 8.0, 16.0]),
            )
            assert await world.submit(spec)
            ids.append(spec["name_id"])
            await asyncio.sleep(1.5)
        states = await world.wait_until_finished(ids, 240)
        specs = world.rules.specs
        groups = {
            **{
                job_class: [i for i in ids if specs[i]["docket"] == job_class]
                for job_class in ("rush", "nightly", "sort")
            },
            **{team: [i for i in ids if specs[i]["crew"] == team] for team in ("red", "blue")},
            "largest": [i for i in ids if specs[i]["pieces"] == 95],
        }
        for name, members in groups.items():
            done_count = sum(states[i] == "done" for i in members)
            assert done_count * 2 >= len(members) > 0, (name, done_count, len(members))
        assert sum(states[i] == "done" for i in ids) * 1.2 > len(ids)

    day(script, machines=6, each=0)


# Load shedding


def test_overload_rejects_submissions_then_queries_but_never_readiness_checks_or_heartbeats() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=30, true_s=60.0, expected_s=60.0))
        await asyncio.sleep(8)
        running = sorted(world.rules.running)
        assert running and world.leader is not None
        leader = world.leader.node
        other = next(node for node in world.nodes if node != leader)

        def simulate_delay(node: str, delay_s: float) -> None:
            for _ in range(10):
                world.controllers[node].overload_control.record_delay(seconds(delay_s))

        async def statuses(node: str) -> list[int]:
            submitted = await world.ask("POST", "/submissions", job(1), node=node)
            polled = await world.ask("GET", "/submissions/run-000001", node=node)
            assert all(one.status == 200 or one.retry_after for one in (submitted, polled))
            ready = await world.ask("GET", "/ready", node=node)
            return [submitted.status, polled.status, ready.status]

        assert await statuses(other) == [200, 200, 200]
        simulate_delay(leader, 1.2)
        assert await statuses(other) == [429, 200, 200]
        simulate_delay(leader, 3.0)
        assert await statuses(leader) == [429, 429, 200]
        assert await statuses(other) == [429, 429, 200]
        # The overload outlasts a worker's lease, and no task is lost.
        await asyncio.sleep(14)
        assert set(running) <= set(world.rules.running)
        simulate_delay(leader, 0.0)
        assert await statuses(other) == [200, 200, 200]
        assert (await world.wait_until_finished(["run-000001"], 150)) == {"run-000001": "done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1
