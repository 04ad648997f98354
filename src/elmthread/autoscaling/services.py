"""Room for services: replicas hold their cores for good, and often may use no spot machine.

Pure functions over a view. The urgent band counts cores of every kind; replicas that may run
on ordinary machines only, spread over zones, need room of just that kind, so it is judged
apart: what waits and fits nowhere is rented for at once, and the share of replicas in the
cores they may use is held in the same band.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import replace
from datetime import timedelta

from elmthread.autoscaling.decide import Offer
from elmthread.common.clock import seconds
from elmthread.placement.bin_packing import EPSILON, is_allowed, place
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest

# How far back the growth of the demand of services is looked for, and the shortest rise judged.
TREND = seconds(60)
SHORTEST = seconds(20)


class Trend:
    """How fast the cores that replicas need grow, since the lowest of late."""

    def __init__(self) -> None:
        self._seen: deque[tuple[timedelta, float]] = deque()

    def growth(self, now: timedelta, cores: float) -> float:
        """Notes what is needed now; returns the cores by which it grows each second."""
        self._seen.append((now, cores))
        while self._seen[0][0] < now - TREND:
            self._seen.popleft()
        low = min(cores for _, cores in self._seen)
        since = max(at for at, cores in self._seen if cores == low)
        return (cores - low) / max(now - since, SHORTEST).total_seconds()


def unplaced(
    requests: Iterable[TaskRequest], slots: Sequence[FreeCapacity], remaining_quotas: dict[str, RemainingQuota]
) -> list[TaskRequest]:
    """What is left of the tasks once `slots` (used up) are full, as far as limits let it run."""
    left = [
        replace(request, tasks_by_zone=dict(request.tasks_by_zone), tasks_by_machine=dict(request.tasks_by_machine))
        for request in requests
    ]
    place(left, slots, remaining_quotas)
    return [
        request
        for request in left
        if request.count > 0 and remaining_quotas[request.team].cpus + EPSILON >= request.cpus
    ]


def machines_for(
    requests: Iterable[TaskRequest], offers: Sequence[Offer], remaining_quotas: dict[str, RemainingQuota], most: int
) -> list[Offer]:
    """Machines on which the tasks fit, zones and memory included; each is filled before the next.

    The zone with the fewest of a job's replicas comes first, there the cheapest core, and of
    equally cheap ones the largest machine, for the fewest.
    """
    chosen: list[Offer] = []
    slots: list[FreeCapacity] = []
    for request in requests:
        place([request], slots, remaining_quotas)
        while request.count > 0 and len(chosen) < most:
            fit = [offer for offer in offers if _takes(request, offer)]
            if not fit:
                break
            best = min(
                fit,
                key=lambda offer: (
                    request.tasks_by_zone.get(offer.zone, 0),
                    round(offer.price_per_hour / offer.cores, 3),
                    -offer.cores,
                ),
            )
            slot = FreeCapacity(
                f"+{len(slots)}", best.machine_type, best.zone, best.spot, best.cores, best.gpus, best.memory_gb
            )
            before = request.count
            place([request], [slot], remaining_quotas)
            if request.count == before:
                break
            chosen.append(best)
            slots.append(slot)
    return chosen


def _takes(request: TaskRequest, offer: Offer) -> bool:
    return (
        is_allowed(request, offer.machine_type, offer.zone, offer.spot)
        and request.tasks_by_zone.get(offer.zone, 0) < request.max_per_zone
        and request.cpus <= offer.cores
        and request.gpus <= offer.gpus
        and request.memory_gb <= offer.memory_gb
    )


def reserve(machines: Iterable[tuple[str, str, float]], needed: float) -> set[str]:
    """The machines (name, zone, cores that replicas could have) that stand in reserve, the first
    ones first, until they have the cores needed. No zone counts for more than half of these: what
    comes next is spread over zones, and all room in one would take half of it.
    """
    kept: set[str] = set()
    by_zone: dict[str, float] = {}
    total = 0.0
    for name, zone, cores in machines:
        useful = min(cores, needed / 2 - by_zone.get(zone, 0.0))
        if total < needed and useful > 0:
            by_zone[zone] = by_zone.get(zone, 0.0) + useful
            total += useful
            kept.add(name)
    return kept
