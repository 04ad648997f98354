"""Placement against plain bounds, checked one by one."""

import copy
import math
import random
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.placement.bin_packing import Placement, is_allowed, place
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import PlacementClass, SortKey, TaskRequest
from elmthread.placement.tests import reference
from elmthread.placement.victims import PreemptionCandidate, preempt

steady = settings(max_examples=150, deadline=None, derandomize=True, database=None)

capacities = st.lists(
    st.builds(
        FreeCapacity,
        name=st.sampled_from("abcdefgh"),
        machine_type=st.sampled_from(["s", "l"]),
        zone=st.sampled_from(["x", "y"]),
        spot=st.booleans(),
        cpus=st.integers(0, 8).map(float),
        gpus=st.just(0.0),
        memory_gb=st.integers(1, 8).map(float),
    ),
    max_size=5,
    unique_by=lambda capacity: capacity.name,
)
requests = st.lists(
    st.builds(
        TaskRequest,
        job_id=st.sampled_from(["j1", "j2", "j3", "j4"]),
        team=st.sampled_from(["t1", "t2"]),
        sort_key=st.builds(SortKey, st.just(PlacementClass.URGENT), st.integers(0, 3)),
        count=st.integers(1, 6),
        cpus=st.sampled_from([1.0, 1.5, 2.0]),
        gpus=st.just(0.0),
        memory_gb=st.sampled_from([0.5, 1.0]),
        machine_types=st.none() | st.just(frozenset({"l"})),
        zone=st.none() | st.just("x"),
        spot=st.booleans(),
        one_zone=st.booleans(),
        tasks_by_zone=st.just({}).map(dict),
        max_per_zone=st.sampled_from([math.inf, 2.0]),
        urgent=st.booleans(),
    ),
    max_size=4,
    unique_by=lambda request: request.job_id,
)


@steady
@given(capacities, requests, st.integers(0, 8))
def test_placement_keeps_every_bound_and_leaves_no_room_unused(
    machines: list[FreeCapacity], jobs: list[TaskRequest], limit: int
) -> None:
    jobs.sort(key=lambda request: request.sort_key)
    before = {capacity.name: (capacity.cpus, capacity.memory_gb) for capacity in machines}
    counts = {request.job_id: request.count for request in jobs}
    remaining_quotas = {"t1": RemainingQuota(float(limit)), "t2": RemainingQuota()}
    placed = place(jobs, machines, remaining_quotas)
    used: dict[str, float] = {}
    team = 0.0
    where: dict[str, list[str]] = {}
    for request, capacity, count in placed:
        assert count > 0
        used[capacity.name] = used.get(capacity.name, 0.0) + count * request.cpus
        team += count * request.cpus if request.team == "t1" else 0.0
        where.setdefault(request.job_id, []).extend([capacity.zone] * count)
        assert (request.machine_types is None or capacity.machine_type in request.machine_types) and (
            request.zone in (None, capacity.zone)
        )
        assert request.spot or not capacity.spot
    assert team <= limit
    for name, cpus in used.items():
        assert cpus <= before[name][0]
    for request in jobs:
        zones = where.get(request.job_id, [])
        assert len(zones) <= counts[request.job_id]
        if request.one_zone:
            assert len(set(zones)) <= 1
        if request.max_per_zone < math.inf:
            assert all(zones.count(zone) <= request.max_per_zone for zone in zones)
    # Nothing that waits could still be put anywhere, unless room is kept for urgent work.
    kept = any(request.urgent and request.count for request in jobs)
    for request in jobs:
        if request.count and not kept:
            for capacity in machines:
                fits = (
                    capacity.cpus >= request.cpus
                    and capacity.memory_gb >= request.memory_gb
                    and remaining_quotas[request.team].cpus >= request.cpus
                    and is_allowed(request, capacity.machine_type, capacity.zone, capacity.spot)
                    and request.tasks_by_zone.get(capacity.zone, 0) < request.max_per_zone
                )
                assert not fits


def request(job: str, count: int, cpus: float, team: str = "t", urgent: bool = False) -> TaskRequest:
    return TaskRequest(
        job_id=job,
        team=team,
        sort_key=SortKey(PlacementClass.URGENT),
        count=count,
        cpus=cpus,
        gpus=0.0,
        memory_gb=0.1,
        urgent=urgent,
    )


def test_room_under_a_limit_gathers_for_urgent_work() -> None:
    """One core at a time came free and went to one-core tasks, so the two-core urgent one starved."""
    capacity = FreeCapacity("m", "s", "x", False, cpus=8.0, gpus=0.0, memory_gb=8.0)
    remaining_quotas = {"t": RemainingQuota(1.0)}
    urgent, other = request("u", 1, 2.0, urgent=True), request("o", 5, 1.0)
    assert place([urgent, other], [capacity], remaining_quotas) == []


def test_team_at_its_limit_makes_room_itself() -> None:
    capacities = {"m": FreeCapacity("m", "s", "x", False, cpus=8.0, gpus=0.0, memory_gb=8.0)}
    candidates = [PreemptionCandidate(n, "m", team, 1.0, 0.0, 0.1) for n, team in enumerate(["t", "v", "t", "t"])]
    chosen = preempt(request("u", 1, 2.0, urgent=True), capacities, {"m": candidates}, RemainingQuota(0.0))
    assert [candidate.team for candidate in chosen] == ["t", "t"]


@steady
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 9)), max_size=6), st.integers(0, 3), st.integers(1, 4))
def test_preemption_frees_enough_and_nothing_needless(held: list[tuple[int, int]], free: int, need: int) -> None:
    candidates = [
        PreemptionCandidate(n, "m", "other", float(cpus), 0.0, 0.0, timedelta(seconds=loss))
        for n, (cpus, loss) in enumerate(held)
    ]
    capacity = FreeCapacity("m", "s", "x", False, cpus=float(free), gpus=0.0, memory_gb=9.0)
    chosen = preempt(request("u", 1, float(need)), {"m": capacity}, {"m": list(candidates)}, RemainingQuota())
    if free + sum(cpus for cpus, _ in held) < need or free >= need:
        assert chosen == []
    else:
        freed = free + sum(candidate.cpus for candidate in chosen)
        assert freed >= need
        # The last one chosen was still needed.
        assert freed - chosen[-1].cpus < need


def crowd(
    rng: random.Random, machines: int, jobs: int
) -> tuple[list[TaskRequest], list[FreeCapacity], dict[str, RemainingQuota]]:
    """A cluster of three types in some zones, some machines full, some with images, and many jobs."""
    kinds = [("s", 4.0, 0.025, 0.2), ("m", 8.0, 0.031, 0.5), ("l", 64.0, 0.04, 0.6)]
    capacities = []
    for number in range(machines):
        machine_type, cores, price, rate = rng.choices(kinds, [6, 3, 1])[0]
        spot = rng.random() < 0.8
        capacities.append(
            FreeCapacity(
                name=f"m-{number}",
                machine_type=machine_type,
                zone=rng.choice("xyz"),
                spot=spot,
                cpus=float(rng.randint(0, int(cores))),
                gpus=0.0,
                memory_gb=cores * 2,
                price_per_core=price if spot else price * 2.5,
                image_fetch_rate=rate,
                cached_images={f"i{n}": 1.0 for n in range(6) if rng.random() < 0.2},
                images_being_fetched={f"i{n}" for n in range(6, 8) if rng.random() < 0.2},
                record_bytes_left=rng.choice([math.inf, 60]),
                draining=rng.random() < 0.1,
            )
        )
    requests = []
    for number in range(jobs):
        urgent = rng.random() < 0.5
        requests.append(
            TaskRequest(
                job_id=f"j{number}",
                team=rng.choice(["t1", "t2", "t3"]),
                sort_key=SortKey(PlacementClass.URGENT if urgent else PlacementClass.ON_TIME, 0, float(number)),
                count=rng.randint(1, 60),
                cpus=rng.choice([1.0, 2.0, 3.0]),
                gpus=0.0,
                memory_gb=rng.choice([1.0, 3.0]),
                image=f"i{rng.randint(0, 7)}",
                image_gb=rng.uniform(0.5, 3.0),
                machine_types=rng.choice([None, None, frozenset({"m", "l"})]),
                spot=rng.random() < 0.9,
                one_zone=rng.random() < 0.1,
                max_per_zone=rng.choice([math.inf, math.inf, 9.0]),
                excluded_machines={f"m-{rng.randrange(machines)}" for _ in range(3)},
                urgent=urgent,
                record_bytes_per_job=18,
                record_bytes_per_task=14,
                preferred_max_per_machine=rng.choice([math.inf, math.inf, 2]),
                tasks_by_machine={"m-1": 1},
            )
        )
    requests.sort(key=lambda request: request.sort_key)
    return requests, capacities, {"t1": RemainingQuota(300.0), "t2": RemainingQuota(90.0), "t3": RemainingQuota()}


def test_shelves_place_as_the_plain_way_does() -> None:
    for seed in range(60):
        one, other = crowd(random.Random(seed), 80, 30), crowd(random.Random(seed), 80, 30)
        cheapest = min(capacity.price_per_core for capacity in one[1])
        start = {capacity.name: copy.deepcopy(capacity) for capacity in one[1]}
        found, expected = place(*one), reference.place(*other)

        def worth(placed: list[Placement]) -> dict[str, list[tuple[object, ...]]]:
            kept: dict[str, list[tuple[object, ...]]] = {}
            for request, capacity, count in placed:
                # Machines equally good but for their zone may come in any order.
                kind = reference.preference(request, start[capacity.name], cheapest)[:2]  # noqa: B023
                kept.setdefault(request.job_id, []).extend([kind] * count)
            return {job: sorted(kinds) for job, kinds in kept.items()}

        assert [request.count for request in one[0]] == [request.count for request in other[0]]
        assert worth(found) == worth(expected)
        assert {team: remaining_quota.cpus for team, remaining_quota in one[2].items()} == {
            t: r.cpus for t, r in other[2].items()
        }


def test_preemption_stops_what_the_plain_way_stops() -> None:
    for seed in range(40):
        outcomes = []
        for way in (preempt, reference.preempt):
            rng = random.Random(seed)
            _, capacities, _ = crowd(rng, 30, 0)
            candidates = [
                PreemptionCandidate(
                    n, rng.choice(capacities).name, rng.choice(["t1", "t2"]), 1.0, 0.0, 1.0, timedelta(rng.random())
                )
                for n in range(150)
            ]
            need = request("u", rng.randint(1, 40), 2.0, team="t1", urgent=True)
            by_name = {capacity.name: capacity for capacity in capacities}
            if way is preempt:
                held: dict[str, list[PreemptionCandidate]] = {}
                for candidate in candidates:
                    held.setdefault(candidate.machine, []).append(candidate)
                chosen = preempt(need, by_name, held, RemainingQuota(rng.choice([4.0, 500.0])))
            else:
                chosen = reference.preempt(need, by_name, candidates, RemainingQuota(rng.choice([4.0, 500.0])))
            outcomes.append((sorted(candidate.attempt for candidate in chosen), need.count))
        assert outcomes[0] == outcomes[1]


def test_the_work_of_a_round_does_not_grow_with_machines_times_jobs() -> None:
    """Counted in looks at a machine's room: each job looks at about what it takes, not at all machines."""
    looks = 0
    requests, capacities, remaining_quotas = crowd(random.Random(1), 600, 300)

    class Counted(FreeCapacity):
        def __getattribute__(self, name: str) -> object:
            nonlocal looks
            looks += name == "cached_images"
            return super().__getattribute__(name)

    counted = [Counted(**{name: getattr(capacity, name) for name in FreeCapacity.__slots__}) for capacity in capacities]
    placed = place(requests, counted, remaining_quotas)
    assert sum(count for _, _, count in placed) > 1000
    assert 0 < looks < 300 * 600 / 8, looks


def test_only_work_of_lower_priority_gives_way() -> None:
    """A service of a low priority is urgent, but takes no room from what is as important."""
    for rank, others in ((0, [1, 2, 3]), (2, [3]), (3, [])):
        held = [PreemptionCandidate(n, "m", "other", 2.0, 0.0, 0.0, timedelta(seconds=n), n) for n in range(1, 4)]
        capacity = FreeCapacity("m", "s", "x", False, cpus=0.0, gpus=0.0, memory_gb=9.0)
        need = request("u", 3, 2.0, urgent=True)
        need.priority_rank = rank
        chosen = preempt(need, {"m": capacity}, {"m": held}, RemainingQuota())
        assert sorted(candidate.priority_rank for candidate in chosen) == others
