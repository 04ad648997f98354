"""Admission of services, and how their replicas count against limits and are placed."""

import asyncio
from typing import Any

from elmthread.api.messages import read_submission
from elmthread.cluster.job_factory import JobFactory
from elmthread.common.clock import seconds
from elmthread.common.features import ActiveFeatures
from elmthread.placement.feasibility import infeasibility
from elmthread.placement.requests import PlacementClass, SortKey, TaskRequest
from elmthread.settings import operators, platform
from elmthread.store.machine_type import MachineType
from tests.world.day import day
from tests.world.service_days import rent_on_demand, wait_until_serving
from tests.world.settings import ZONES, settings
from tests.world.specs import daemon, job, submission_body
from tests.world.world import World


def test_invalid_and_infeasible_services_are_rejected() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(3)
        infeasible: list[dict[str, Any]] = [
            # All replicas run at once: 4 with 4 cores each exceed the team's limit of 12.
            {"crew": "red", "pieces": 4, "cpus": 4.0, "scatter": False},
            {"crew": "green"},
            {"cpus": 17.0},
            {"builds": ["huge"]},
            {"builds": ["large"], "yard": "west"},
        ]
        for changes in infeasible:
            assert (await world.ask("POST", "/submissions", daemon(1) | changes)).status == 422, changes
        # A batch job of the same size is accepted: its tasks can run one after another.
        batch = job(2, crew="red", pieces=4, cpus=4.0)
        assert (await world.ask("POST", "/submissions", batch)).status == 201
        invalid_fields: list[tuple[str, Any]] = [
            ("form", "group"),
            ("form", None),
            ("expected_s", None),
            ("expected_s", -1.0),
            ("expected_s", "long"),
            ("pieces", 0),
            ("scatter", "wide"),
            ("cpus", 0.0),
        ]
        for field, value in invalid_fields:
            answer = await world.ask("POST", "/submissions", daemon(1) | {field: value})
            assert answer.status == 400 and field in answer.body["error"], (field, answer.body)
        missing = daemon(1)
        del missing["expected_s"]
        answer = await world.ask("POST", "/submissions", missing)
        assert answer.status == 400 and "expected_s" in answer.body["error"]
        assert (await world.ask("GET", "/submissions/run-000001")).status == 404

    day(script)


def test_gpus_of_all_replicas_count_against_the_limit() -> None:
    types = [MachineType("g8", 96.0, 8.0, 768.0, 100.0, 1.0, 10.0, 4.0, 30.0, ["east"])]
    sort_key = SortKey(PlacementClass.URGENT)
    limit = platform.Team("red", gpus_max=8.0)
    assert infeasibility(TaskRequest("u", "red", sort_key, 2, 1.0, 4.0, 1.0), limit, types) is None
    assert infeasibility(TaskRequest("u", "red", sort_key, 3, 1.0, 4.0, 1.0), limit, types) is not None


def test_services_preempt_deferrable_tasks_and_are_never_preempted() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=60, true_s=40.0, expected_s=40.0))
        await asyncio.sleep(12)
        # Only spot machines can be launched: the service needs capacity that other tasks occupy.
        world.cloud.capacity = {kind: 0 if not kind[2] else 9 for kind in world.cloud.capacity}
        assert await world.submit(daemon(2, pieces=6, scatter=False))
        assert await wait_until_serving(world, "run-000002", 15, 6) < 15
        service_machines = dict(world.rules.machines_of)
        assert await world.submit(job(3, pieces=60, urgency="high", true_s=20.0, expected_s=20.0))
        await asyncio.sleep(60)
        for number in range(6):
            assert world.rules.machines_of[f"run-000002/{number}"] == service_machines[f"run-000002/{number}"]
        states = await world.wait_until_finished(["run-000001", "run-000003"], 400)
        assert set(states.values()) == {"done"}

    day(script)


def test_on_demand_machines_are_launched_in_the_zones_that_a_spread_service_needs() -> None:
    """Start with enough cores, but on spot machines or in a single zone."""

    async def script(world: World) -> None:
        for _ in range(3):
            world.rent("large", "east", spot=True)
        world.rent("small", "east")
        await asyncio.sleep(6)
        assert await world.submit(daemon(1, pieces=6))
        assert await wait_until_serving(world, "run-000001", 45, 6) < 45
        zones = {world.workers[name].zone for name, task in world.rules.running}
        assert len(zones) >= 2
        assert not any(world.workers[name].spot for name, _ in world.rules.running)

    day(script, machines=0)


def test_one_machine_runs_few_replicas_of_a_service() -> None:
    async def script(world: World) -> None:
        for zone in ZONES[:2]:
            world.rent("large", zone)
            world.rent("large", zone)
        await asyncio.sleep(6)
        assert await world.submit(daemon(1, pieces=6, scatter=False))
        await wait_until_serving(world, "run-000001", 10, 6)
        names = [name for name, _ in world.rules.running]
        assert max(names.count(name) for name in names) <= 2

    day(script, machines=0)


def test_jobs_start_within_their_bound_while_services_occupy_cores() -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(4)
        for number in range(4):
            assert await world.submit(daemon(number, pieces=4, cpus=2.0))
        ids = []
        for number in range(10, 18):
            team = "red" if number % 2 else "blue"
            spec = job(number, crew=team, pieces=30, true_s=15.0, expected_s=15.0, urgency="best_effort")
            assert await world.submit(spec)
            ids.append(spec["name_id"])
        submitted_at = world.loop.now
        await asyncio.sleep(240)
        for job_id in ids:
            assert world.rules.first_start[job_id] - submitted_at < 240
        states = await world.wait_until_finished(ids, 400)
        assert set(states.values()) == {"done"}
        for number in range(4):
            assert world.rules.serving(f"run-{number:06d}") == 4

    day(script, machines=0)


def test_services_do_not_train_the_run_time_model() -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(5)
        assert await world.submit(daemon(1, true_s=35.0))
        await asyncio.sleep(150)
        assert world.leader is not None and world.leader.leader is not None
        run_times = world.leader.leader.run_times
        assert run_times.correction_factor("gateway") == 1.0 and run_times.correction_factor("nightly") == 1.0

    day(script, machines=0)


def test_services_are_urgent_whatever_the_operators_expression_says() -> None:
    """Guard against starvation of services: deferrable jobs are ordered by deadline, and a service has none."""
    facts = platform.parse(settings("loom-0", ["loom-0"])).cluster
    jobs = JobFactory(facts, operators.parse("urgent = \"priority == 'high'\""), ActiveFeatures())
    spec = submission_body(daemon(1))
    assert jobs.new(read_submission(spec), seconds(0)).urgent
    assert not jobs.new(read_submission(spec | {"form": "batch"}), seconds(0)).urgent


def test_replicas_move_off_machines_that_are_not_needed() -> None:
    """Check that replicas move one at a time, so that a service never lacks more than one."""

    async def script(world: World) -> None:
        rent_on_demand(world, 2)
        await asyncio.sleep(5)
        # A three-core task on each machine leaves room for one replica there.
        assert await world.submit(job(1, urgency="high", pieces=6, cpus=3.0, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(6)
        assert await world.submit(daemon(2, pieces=6, scatter=False))
        await wait_until_serving(world, "run-000002", 15, 6)
        assert len({name for name, task in world.rules.running if task.startswith("run-000002")}) == 6
        await asyncio.sleep(300)
        # A move costs replica time, so no machine has been drained yet.
        assert len({name for name, _ in world.rules.running}) == 6
        min_serving = 6
        for _ in range(2000):
            await asyncio.sleep(0.5)
            min_serving = min(min_serving, world.rules.serving("run-000002"))
        assert min_serving == 5
        assert max(world.rules.starts[f"run-000002/{task}"] for task in range(6)) <= 2
        # Two machines at least became empty (a single one could be chance, as responses get lost); the autoscaler keeps
        # the others, so that the share of urgent cores stays in its band.
        assert len({name for name, _ in world.rules.running}) <= 4
        assert len(world.cloud.machines) <= 4
        assert world.rules.serving("run-000002") == 6

    day(script, machines=0)


def test_objectives_for_a_class_of_services_set_the_deadline_of_its_replicas() -> None:
    facts = platform.parse(settings("loom-0", ["loom-0"])).cluster
    spec = read_submission(submission_body(daemon(1)))
    deadlines = []
    objectives = [("none", None, None), ("wait", 20.0, None), ("up", None, 12.0), ("finished", 5.0, None)]
    for kind, within, after in objectives:
        facts.objectives.append(platform.Objective(kind, "gateway", within_s=within, after_s=after))
        deadlines.append(JobFactory(facts, operators.load(None), ActiveFeatures()).new(spec, seconds(0)).deadline)
    # Objectives for the end of a job do not apply to services.
    assert deadlines == [seconds(3600), seconds(20), seconds(12), seconds(12)]
