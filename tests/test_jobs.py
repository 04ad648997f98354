"""Jobs from submission to their end: completed, cancelled and rejected jobs, and one of the maximum size."""

import asyncio
from typing import Any

from tests.world.day import day
from tests.world.specs import job
from tests.world.world import World


def test_jobs_run_and_are_reported_done() -> None:
    async def script(world: World) -> None:
        for number in range(6):
            assert await world.submit(job(number, urgency="high" if number % 2 else "normal"))
        states = await world.wait_until_finished([f"run-{n:06d}" for n in range(6)], 90)
        assert set(states.values()) == {"done"}

    world = day(script)
    assert max(world.rules.starts.values()) == 1


def test_cancelled_job_stops_on_all_machines() -> None:
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


def test_invalid_submissions_and_requests_are_rejected() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(3)
        malformed: list[dict[str, Any]] = [
            {"pieces": 0},
            {"cpus": -1.0},
            {"cpus": float("nan")},
            {"urgency": "soon"},
            {"form": "ring"},
        ]
        malformed += [{"name_id": "x y"}, {"due_s": float("inf")}, {"one_zone": "yes"}, {"pieces": 200_000}]
        for change in malformed:
            assert (await world.ask("POST", "/submissions", job(1, **change))).status == 400, change
        unsatisfiable: list[dict[str, Any]] = [
            {"crew": "green"},
            {"cpus": 17.0},
            {"builds": ["huge"]},
            {"builds": ["large"], "yard": "west"},
        ]
        unsatisfiable += [{"crew": "red", "cpus": 13.0}]
        for change in unsatisfiable:
            assert (await world.ask("POST", "/submissions", job(1, **change))).status == 422, change
        assert (await world.ask("GET", "/submissions/run-000001")).status == 404
        assert (await world.ask("GET", "/submissions/other")).status == 404
        assert (await world.ask("POST", "/submissions/run-000001/withdraw")).status == 404
        assert (await world.ask("PUT", "/submissions")).status == 405
        assert (await world.ask("GET", "/nothing")).status == 404
        assert await world.submit(job(1))
        # A known id is answered with the job's state before the repeated submission is validated.
        repeated = await world.ask("POST", "/submissions", job(1, cpus="many"))
        assert repeated.status == 200 and repeated.body["name_id"] == "run-000001"

    day(script)


def test_job_of_maximum_size_delays_no_other_and_fits_its_records() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=100_000, true_s=1.0, expected_s=1.0))
        assert await world.submit(job(2, urgency="high"))
        assert (await world.wait_until_finished(["run-000002"], 60)) == {"run-000002": "done"}
        await asyncio.sleep(20)
        finished_before_failover = len(world.rules.finished)
        assert finished_before_failover > 100
        old = world.leader
        assert old is not None
        world.kill(old.node)
        await asyncio.sleep(10)
        assert await world.poll("run-000001") == "running"
        assert len(world.rules.finished) > finished_before_failover
        # Only tasks that a worker lost when its lease expired without a leader are started twice.
        workers_with_expired_lease = [worker for worker in world.workers.values() if worker.incarnation > 1]
        assert sum(count > 1 for count in world.rules.starts.values()) <= sum(
            int(w.machine_type["cpus"]) for w in workers_with_expired_lease
        )

    day(script)
