"""Jobs from submission to their end: run, cancelled, refused, of the largest size."""

import asyncio
from typing import Any

from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World


def test_jobs_run_and_are_told_done() -> None:
    async def script(world: World) -> None:
        for number in range(6):
            assert await world.submit(job(number, urgency="high" if number % 2 else "normal"))
        states = await world.wait_until_finished([f"run-{n:06d}" for n in range(6)], 90)
        assert set(states.values()) == {"done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1


def test_withdrawn_job_stops_everywhere() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=20, true_s=200.0, expected_s=200.0))
        await asyncio.sleep(6)
        world.workers[next(iter(world.workers))].hung = True
        assert await world.withdraw("run-000001") == "cancelled"
        await asyncio.sleep(31)
        world.rules.check_cancelled()
        assert world.rules.running == [] or all(world.workers[m].hung for m, _ in world.rules.running)
        assert await world.poll("run-000001") == "cancelled"

    day(script)


def test_answers_to_what_cannot_be_taken() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(3)
        bad: list[dict[str, Any]] = [
            {"pieces": 0},
            {"cpus": -1.0},
            {"cpus": float("nan")},
            {"urgency": "soon"},
            {"form": "ring"},
        ]
        bad += [{"name_id": "x y"}, {"due_s": float("inf")}, {"one_zone": "yes"}, {"pieces": 200_000}]
        for change in bad:
            assert (await world.ask("POST", "/submissions", job(1, **change))).status == 400, change
        never: list[dict[str, Any]] = [
            {"crew": "green"},
            {"cpus": 17.0},
            {"builds": ["huge"]},
            {"builds": ["large"], "yard": "west"},
        ]
        never += [{"crew": "red", "cpus": 13.0}]
        for change in never:
            assert (await world.ask("POST", "/submissions", job(1, **change))).status == 422, change
        assert (await world.ask("GET", "/submissions/run-000001")).status == 404
        assert (await world.ask("GET", "/submissions/other")).status == 404
        assert (await world.ask("POST", "/submissions/run-000001/withdraw")).status == 404
        assert (await world.ask("PUT", "/submissions")).status == 405
        assert (await world.ask("GET", "/nothing")).status == 404
        assert await world.submit(job(1))
        # A known id is answered with the job's state before the repeat is looked at.
        again = await world.ask("POST", "/submissions", job(1, cpus="many"))
        assert again.status == 200 and again.body["name_id"] == "run-000001"

    day(script)


def test_a_job_of_the_largest_size_stalls_nothing_and_fits_its_records() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=100_000, true_s=1.0, expected_s=1.0))
        assert await world.submit(job(2, urgency="high"))
        assert (await world.wait_until_finished(["run-000002"], 60)) == {"run-000002": "done"}
        await asyncio.sleep(20)
        done = len(world.rules.finished)
        assert done > 100
        old = world.leader
        assert old is not None
        world.kill(old.node)
        await asyncio.sleep(10)
        assert await world.poll("run-000001") == "running"
        assert len(world.rules.finished) > done
        # Nothing is started twice but what a worker lost with its lease while nobody led.
        lost = [worker for worker in world.workers.values() if worker.incarnation > 1]
        assert sum(count > 1 for count in world.rules.starts.values()) <= sum(int(w.machine_type["cpus"]) for w in lost)

    day(script)
