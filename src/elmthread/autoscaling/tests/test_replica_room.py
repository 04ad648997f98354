"""Tests of room for replicas of services, against brute force and a direct check of each rule."""

import copy
import itertools
import math
import random

from elmthread.autoscaling.instance_offers import InstanceOffer
from elmthread.autoscaling.replica_room import (
    DemandTrend,
    ReplicaCapacity,
    instances_for_replicas,
    machines_to_reserve,
    unplaced_requests,
)
from elmthread.common.clock import seconds
from elmthread.placement.bin_packing import is_allowed
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import PlacementClass, SortKey, TaskRequest


def make_request(count: int, max_per_zone: float = math.inf, **changes: object) -> TaskRequest:
    return TaskRequest(
        **{  # type: ignore[arg-type]
            "job_id": "s",
            "team": "t",
            "sort_key": SortKey(PlacementClass.URGENT),
            "count": count,
            "cpus": 2.0,
            "gpus": 0.0,
            "memory_gb": 2.0,
            "spot": False,
            "urgent": True,
            "max_per_zone": max_per_zone,
        }
        | changes
    )


OFFERS = [
    InstanceOffer("small", zone, spot, 4.0, 0.2 if spot else 0.5, 30.0, memory_gb=8.0)
    for zone in "xyz"
    for spot in (True, False)
] + [InstanceOffer("large", "x", False, 32.0, 4.0, 30.0, memory_gb=64.0)]


def test_instances_are_of_the_kind_and_in_the_zones_that_replicas_need() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        tasks = rng.randint(1, 9)
        max_per_zone = rng.choice([math.inf, math.ceil(tasks / 2)])
        request = make_request(
            tasks, max_per_zone, tasks_by_zone={"x": rng.randint(0, 2)} if rng.random() < 0.5 else {}
        )
        initial_by_zone = dict(request.tasks_by_zone)
        remaining_quotas = {"t": RemainingQuota(rng.choice([math.inf, 6.0]))}
        max_placed = min(tasks, int(remaining_quotas["t"].cpus / 2) if remaining_quotas["t"].cpus < math.inf else tasks)
        chosen = instances_for_replicas([request], OFFERS, remaining_quotas, 50)
        assert not any(offer.spot for offer in chosen)
        # All tasks that the quotas allow are placed, and no instance is superfluous.
        assert tasks - request.count == max_placed
        assert sum(offer.cores for offer in chosen) - 2 * max_placed < 32 * len(chosen)
        for zone, count in request.tasks_by_zone.items():
            assert count <= max(max_per_zone, initial_by_zone.get(zone, 0))


def test_no_instances_are_requested_for_what_fits_somewhere() -> None:
    for seed in range(200):
        rng = random.Random(seed)
        capacities = [
            FreeCapacity(f"m{n}", "small", rng.choice("xy"), rng.random() < 0.4, float(rng.randint(0, 4)), 0.0, 8.0)
            for n in range(4)
        ]
        replicas = make_request(rng.randint(1, 5), rng.choice([math.inf, 2.0]))
        remaining = unplaced_requests([replicas], copy.deepcopy(capacities), {"t": RemainingQuota()})
        # The maximum number of replicas that any distribution can place, by brute force.
        best = 0
        count_ranges = [
            range(int(s.cpus // 2) + 1) if is_allowed(replicas, s.machine_type, s.zone, s.spot) else range(1)
            for s in capacities
        ]
        for counts in itertools.product(*count_ranges):
            by_zone = {z: sum(c for c, s in zip(counts, capacities, strict=True) if s.zone == z) for z in "xy"}
            if max(by_zone.values()) <= replicas.max_per_zone:
                best = max(best, min(sum(counts), replicas.count))
        assert replicas.count - sum(request.count for request in remaining) == best


def test_no_instances_are_requested_for_a_team_at_its_quota() -> None:
    assert unplaced_requests([make_request(3)], [], {"t": RemainingQuota(1.0)}) == []


def test_reserve_has_the_cores_and_no_zone_counts_for_more_than_half() -> None:
    machines = [ReplicaCapacity(name, zone, 8.0) for name, zone in zip("abcde", "xxxyz", strict=True)]
    assert machines_to_reserve(machines, 0.0) == set()
    # One large machine has enough cores, but only half of a spread service may run in its zone.
    assert machines_to_reserve([ReplicaCapacity("l", "x", 64.0), *machines], 10.0) == {"l", "d"}
    assert machines_to_reserve(machines, 16.0) == {"a", "d"}
    assert machines_to_reserve(machines, 32.0) == {"a", "b", "d", "e"}


def test_growth_is_detected_quickly_and_returns_to_0_after_it_ends() -> None:
    trend = DemandTrend()
    assert trend.growth(seconds(0), 0.0) == 0.0
    # Demand grows by two cores per second from 100 s on.
    rates = [trend.growth(seconds(at), max(0.0, 2.0 * (at - 100))) for at in range(5, 131, 5)]
    assert rates[-1] == 2.0 and rates[20] <= 2.0
    later_rates = [trend.growth(seconds(at), 60.0) for at in range(135, 300, 5)]
    assert later_rates[-1] == 0.0
