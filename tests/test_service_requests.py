"""Which services are taken, and how their replicas count and are placed."""

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


def test_what_no_service_can_be_is_refused() -> None:
    async def script(world: World) -> None:
        await asyncio.sleep(3)
        never: list[dict[str, Any]] = [
            # All replicas count at once: 4 of 4 cores are more than the 12 of the team.
            {"crew": "red", "pieces": 4, "cpus": 4.0, "scatter": False},
            {"crew": "green"},
            {"cpus": 17.0},
            {"builds": ["huge"]},
            {"builds": ["large"], "yard": "west"},
        ]
        for change in never:
            assert (await world.ask("POST", "/submissions", daemon(1) | change)).status == 422, change
        # A batch of the same size runs by turns.
        batch = job(2, crew="red", pieces=4, cpus=4.0)
        assert (await world.ask("POST", "/submissions", batch)).status == 201
        bad: list[tuple[str, Any]] = [
            ("form", "group"),
            ("form", None),
            ("expected_s", None),
            ("expected_s", -1.0),
            ("expected_s", "long"),
            ("pieces", 0),
            ("scatter", "wide"),
            ("cpus", 0.0),
        ]
        for field, value in bad:
            answer = await world.ask("POST", "/submissions", daemon(1) | {field: value})
            assert answer.status == 400 and field in answer.body["error"], (field, answer.body)
        missing = daemon(1)
        del missing["expected_s"]
        answer = await world.ask("POST", "/submissions", missing)
        assert answer.status == 400 and "expected_s" in answer.body["error"]
        assert (await world.ask("GET", "/submissions/run-000001")).status == 404

    day(script)


def test_cards_of_all_replicas_count_against_the_limit() -> None:
    types = [MachineType("g8", 96.0, 8.0, 768.0, 100.0, 1.0, 10.0, 4.0, 30.0, ["east"])]
    sort_key = SortKey(PlacementClass.URGENT)
    limit = platform.Team("red", gpus_max=8.0)
    assert infeasibility(TaskRequest("u", "red", sort_key, 2, 1.0, 4.0, 1.0), limit, types) is None
    assert infeasibility(TaskRequest("u", "red", sort_key, 3, 1.0, 4.0, 1.0), limit, types) is not None


def test_services_get_room_that_deferrable_work_holds_and_never_give_it_back() -> None:
    async def script(world: World) -> None:
        assert await world.submit(job(1, pieces=60, true_s=40.0, expected_s=40.0))
        await asyncio.sleep(12)
        # Spot machines may come, but no ordinary one: the service must get room that is taken.
        world.cloud.capacity = {kind: 0 if not kind[2] else 9 for kind in world.cloud.capacity}
        assert await world.submit(daemon(2, pieces=6, scatter=False))
        assert await wait_until_serving(world, "run-000002", 15, 6) < 15
        mine = dict(world.rules.machines_of)
        assert await world.submit(job(3, pieces=60, urgency="high", true_s=20.0, expected_s=20.0))
        await asyncio.sleep(60)
        for number in range(6):
            assert world.rules.machines_of[f"run-000002/{number}"] == mine[f"run-000002/{number}"]
        states = await world.wait_until_finished(["run-000001", "run-000003"], 400)
        assert set(states.values()) == {"done"}

    day(script)


def test_ordinary_machines_come_in_the_zones_that_a_spread_service_needs() -> None:
    """Cores enough are up, but of spot machines, or of one zone."""

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


def test_one_machine_takes_few_replicas_of_a_service() -> None:
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


def test_others_wait_no_longer_than_their_bound_while_services_hold_cores_all_day() -> None:
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
        came = world.loop.now
        await asyncio.sleep(240)
        for job_id in ids:
            assert world.rules.first_start[job_id] - came < 240
        states = await world.wait_until_finished(ids, 400)
        assert set(states.values()) == {"done"}
        for number in range(4):
            assert world.rules.serving(f"run-{number:06d}") == 4

    day(script, machines=0)


def test_expected_time_of_nothing_teaches_the_work_model_nothing() -> None:
    async def script(world: World) -> None:
        rent_on_demand(world)
        await asyncio.sleep(5)
        assert await world.submit(daemon(1, true_s=35.0))
        await asyncio.sleep(150)
        assert world.leader is not None and world.leader.leader is not None
        work = world.leader.leader.run_times
        assert work.correction_factor("gateway") == 1.0 and work.correction_factor("nightly") == 1.0

    day(script, machines=0)


def test_services_are_urgent_whatever_the_operators_say() -> None:
    """Deferrable work is judged by its deadline; a service has none, and would wait beside all of it."""
    facts = platform.parse(settings("loom-0", ["loom-0"])).cluster
    jobs = JobFactory(facts, operators.parse("urgent = \"priority == 'high'\""), ActiveFeatures())
    spec = submission_body(daemon(1))
    assert jobs.new(read_submission(spec), seconds(0)).urgent
    assert not jobs.new(read_submission(spec | {"form": "batch"}), seconds(0)).urgent


def test_a_machine_is_not_kept_for_replicas_that_others_could_take() -> None:
    """They move one at a time, so a service is never without more than one of them."""

    async def script(world: World) -> None:
        rent_on_demand(world, 2)
        await asyncio.sleep(5)
        # Work of three cores on each machine leaves room for one replica on each.
        assert await world.submit(job(1, urgency="high", pieces=6, cpus=3.0, true_s=30.0, expected_s=30.0))
        await asyncio.sleep(6)
        assert await world.submit(daemon(2, pieces=6, scatter=False))
        await wait_until_serving(world, "run-000002", 15, 6)
        assert len({name for name, task in world.rules.running if task.startswith("run-000002")}) == 6
        await asyncio.sleep(300)
        # A move costs replica time: nothing is emptied lightly.
        assert len({name for name, _ in world.rules.running}) == 6
        least = 6
        for _ in range(2000):
            await asyncio.sleep(0.5)
            least = min(least, world.rules.serving("run-000002"))
        assert least == 5
        assert max(world.rules.starts[f"run-000002/{task}"] for task in range(6)) <= 2
        # What stays is what the band keeps; one machine less could be chance, as answers get lost.
        assert len({name for name, _ in world.rules.running}) <= 4
        assert len(world.cloud.machines) <= 4
        assert world.rules.serving("run-000002") == 6

    day(script, machines=0)


def test_aims_for_a_class_of_services_say_how_soon_its_replicas_are_to_serve() -> None:
    facts = platform.parse(settings("loom-0", ["loom-0"])).cluster
    spec = read_submission(submission_body(daemon(1)))
    due = []
    aims = [("none", None, None), ("wait", 20.0, None), ("up", None, 12.0), ("finished", 5.0, None)]
    for kind, within, after in aims:
        facts.objectives.append(platform.Objective(kind, "gateway", within_s=within, after_s=after))
        due.append(JobFactory(facts, operators.load(None), ActiveFeatures()).new(spec, seconds(0)).deadline)
    # An end is nothing that a service could be judged by.
    assert due == [seconds(3600), seconds(20), seconds(12), seconds(12)]
