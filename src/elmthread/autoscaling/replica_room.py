"""Room for replicas of services: which replicas lack it, and which instances to request or reserve for them.

Pure functions, except DemandTrend.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import replace
from datetime import timedelta
from typing import NamedTuple

from elmthread.autoscaling.instance_offers import InstanceOffer
from elmthread.common.clock import seconds
from elmthread.placement.bin_packing import EPSILON, is_allowed, place
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest

# Window in which the growth of the services' demand is measured, and the minimum time over which it is averaged.
TREND_WINDOW = seconds(60)
MIN_TREND_TIME = seconds(20)


class DemandTrend:
    """Measures the growth of the cores that replicas need, since the lowest demand in the window."""

    def __init__(self) -> None:
        """Start without history."""
        self._history: deque[tuple[timedelta, float]] = deque()

    def growth(self, now: timedelta, cores: float) -> float:
        """Record the cores needed now, and return their growth in cores per second."""
        self._history.append((now, cores))
        while self._history[0][0] < now - TREND_WINDOW:
            self._history.popleft()
        lowest = min(cores for _, cores in self._history)
        lowest_at = max(at for at, cores in self._history if cores == lowest)
        return (cores - lowest) / max(now - lowest_at, MIN_TREND_TIME).total_seconds()


def unplaced_requests(
    requests: Iterable[TaskRequest], capacities: Sequence[FreeCapacity], remaining_quotas: dict[str, RemainingQuota]
) -> list[TaskRequest]:
    """Return the tasks that the quotas allow but that fit no capacity; those that fit are deducted from both."""
    remaining = [
        replace(request, tasks_by_zone=dict(request.tasks_by_zone), tasks_by_machine=dict(request.tasks_by_machine))
        for request in requests
    ]
    place(remaining, capacities, remaining_quotas)
    return [
        request
        for request in remaining
        if request.count > 0 and remaining_quotas[request.team].cpus + EPSILON >= request.cpus
    ]


def instances_for_replicas(
    requests: Iterable[TaskRequest],
    offers: Sequence[InstanceOffer],
    remaining_quotas: dict[str, RemainingQuota],
    max_count: int,
) -> list[InstanceOffer]:
    """Return at most `max_count` instances that have room for the tasks, also by zone, GPUs and memory.

    Each instance is filled before the next one is added.
    """
    chosen: list[InstanceOffer] = []
    capacities: list[FreeCapacity] = []
    for request in requests:
        place([request], capacities, remaining_quotas)
        while request.count > 0 and len(chosen) < max_count:
            offer = _best_offer(request, offers)
            if offer is None:
                break
            capacity = FreeCapacity(
                f"+{len(capacities)}",
                offer.machine_type,
                offer.zone,
                offer.spot,
                offer.cores,
                offer.gpus,
                offer.memory_gb,
            )
            if not place([request], [capacity], remaining_quotas):
                break
            chosen.append(offer)
            capacities.append(capacity)
    return chosen


def _best_offer(request: TaskRequest, offers: Sequence[InstanceOffer]) -> InstanceOffer | None:
    """Return the offer with the lowest price per core in the zone with the fewest of the job's replicas.

    Among equally cheap offers, return the largest, so that the fewest instances are requested.
    """
    fitting = [offer for offer in offers if _fits(request, offer)]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda offer: (
            request.tasks_by_zone.get(offer.zone, 0),
            round(offer.price_per_hour / offer.cores, 3),
            -offer.cores,
        ),
    )


def _fits(request: TaskRequest, offer: InstanceOffer) -> bool:
    return (
        is_allowed(request, offer.machine_type, offer.zone, offer.spot)
        and request.tasks_by_zone.get(offer.zone, 0) < request.max_per_zone
        and request.cpus <= offer.cores
        and request.gpus <= offer.gpus
        and request.memory_gb <= offer.memory_gb
    )


class ReplicaCapacity(NamedTuple):
    """A machine, and the cores that replicas could use on it."""

    machine: str
    zone: str
    cores: float


def machines_to_reserve(machines: Iterable[ReplicaCapacity], cores: float) -> set[str]:
    """Return the machines to keep in reserve, taken in the given order until replicas can use `cores` cores on them.

    No zone counts for more than half of the cores, as at most half of the replicas of a spread job may run
    in one zone.
    """
    reserved: set[str] = set()
    by_zone: dict[str, float] = {}
    total = 0.0
    for name, zone, free_cores in machines:
        useful = min(free_cores, cores / 2 - by_zone.get(zone, 0.0))
        if total < cores and useful > 0:
            by_zone[zone] = by_zone.get(zone, 0.0) + useful
            total += useful
            reserved.add(name)
    return reserved
