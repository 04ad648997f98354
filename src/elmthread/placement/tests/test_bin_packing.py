"""Tests of bin packing: its bounds, checked one by one, and agreement with the reference model."""

import copy
import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.placement.bin_packing import Placement, is_allowed, place
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import PlacementClass, SortKey, TaskRequest
from elmthread.placement.tests import reference
from elmthread.placement.tests.clusters import make_request, random_cluster

deterministic = settings(max_examples=150, deadline=None, derandomize=True, database=None)

machine_lists = st.lists(
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
request_lists = st.lists(
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
        tasks_by_zone=st.dictionaries(st.sampled_from(["x", "y"]), st.integers(1, 2)),
        max_per_zone=st.sampled_from([math.inf, 2.0]),
        urgent=st.booleans(),
    ),
    max_size=4,
    unique_by=lambda request: request.job_id,
)


@deterministic
@given(machine_lists, request_lists, st.integers(0, 8))
def test_placement_keeps_all_bounds_and_leaves_no_room_unused(
    machines: list[FreeCapacity], requests: list[TaskRequest], cpu_quota: int
) -> None:
    requests.sort(key=lambda request: request.sort_key)
    initial = {capacity.name: (capacity.cpus, capacity.memory_gb) for capacity in machines}
    counts = {request.job_id: request.count for request in requests}
    zones_before = {request.job_id: dict(request.tasks_by_zone) for request in requests}
    remaining_quotas = {"t1": RemainingQuota(float(cpu_quota)), "t2": RemainingQuota()}
    placed = place(requests, machines, remaining_quotas)
    used: dict[str, float] = {}
    team_cpus = 0.0
    zones_by_job: dict[str, list[str]] = {}
    for request, capacity, count in placed:
        assert count > 0
        used[capacity.name] = used.get(capacity.name, 0.0) + count * request.cpus
        team_cpus += count * request.cpus if request.team == "t1" else 0.0
        zones_by_job.setdefault(request.job_id, []).extend([capacity.zone] * count)
        assert (request.machine_types is None or capacity.machine_type in request.machine_types) and (
            request.zone in (None, capacity.zone)
        )
        assert request.spot or not capacity.spot
    assert team_cpus <= cpu_quota
    for name, cpus in used.items():
        assert cpus <= initial[name][0]
    for request in requests:
        zones = zones_by_job.get(request.job_id, [])
        assert len(zones) <= counts[request.job_id]
        already_there = zones_before[request.job_id]
        if request.one_zone and zones:
            assert len({*zones, *already_there}) == 1
        if request.max_per_zone < math.inf:
            assert all(zones.count(zone) + already_there.get(zone, 0) <= request.max_per_zone for zone in zones)
    # No waiting task fits on any machine, unless quota is reserved for urgent work.
    quota_reserved = any(request.urgent and request.count for request in requests)
    for request in requests:
        if request.count and not quota_reserved:
            for capacity in machines:
                fits = (
                    capacity.cpus >= request.cpus
                    and capacity.memory_gb >= request.memory_gb
                    and remaining_quotas[request.team].cpus >= request.cpus
                    and is_allowed(request, capacity.machine_type, capacity.zone, capacity.spot)
                    and request.tasks_by_zone.get(capacity.zone, 0) < request.max_per_zone
                )
                assert not fits


def test_quota_is_reserved_for_urgent_work() -> None:
    """Otherwise, cores that become free one by one go to one-core tasks, and an urgent two-core task starves."""
    capacity = FreeCapacity("m", "s", "x", False, cpus=8.0, gpus=0.0, memory_gb=8.0)
    remaining_quotas = {"t": RemainingQuota(1.0)}
    urgent, other = make_request("u", 1, 2.0, urgent=True), make_request("o", 5, 1.0)
    assert place([urgent, other], [capacity], remaining_quotas) == []


def test_groups_of_machines_are_packed_as_in_the_reference() -> None:
    for seed in range(60):
        grouped, plain = random_cluster(random.Random(seed), 80, 30), random_cluster(random.Random(seed), 80, 30)
        cheapest = min(capacity.price_per_core for capacity in grouped[1])
        initial = {capacity.name: copy.deepcopy(capacity) for capacity in grouped[1]}
        placed, expected = place(*grouped), reference.place(*plain)

        def preferences(placements: list[Placement]) -> dict[str, list[tuple[object, ...]]]:
            by_job: dict[str, list[tuple[object, ...]]] = {}
            for request, capacity, count in placements:
                # Machines that differ only in zone may be chosen in any order.
                rank = reference.preference(request, initial[capacity.name], cheapest)[:2]  # noqa: B023
                by_job.setdefault(request.job_id, []).extend([rank] * count)
            return {job: sorted(ranks) for job, ranks in by_job.items()}

        assert [request.count for request in grouped[0]] == [request.count for request in plain[0]]
        assert preferences(placed) == preferences(expected)
        assert {team: remaining_quota.cpus for team, remaining_quota in grouped[2].items()} == {
            t: r.cpus for t, r in plain[2].items()
        }


def test_the_work_of_a_round_does_not_grow_with_machines_times_jobs() -> None:
    """Counted in lookups of a machine's images: a job examines about as many machines as it uses, not all of them."""
    lookups = 0
    requests, capacities, remaining_quotas = random_cluster(random.Random(1), 600, 300)

    class CountingCapacity(FreeCapacity):
        def __getattribute__(self, name: str) -> object:
            nonlocal lookups
            lookups += name == "cached_images"
            return super().__getattribute__(name)

    counting_capacities = [
        CountingCapacity(**{name: getattr(capacity, name) for name in FreeCapacity.__slots__})
        for capacity in capacities
    ]
    placed = place(requests, counting_capacities, remaining_quotas)
    assert sum(count for _, _, count in placed) > 1000
    assert 0 < lookups < 300 * 600 / 8, lookups
