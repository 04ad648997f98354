"""Bin packing: assigns waiting tasks to machines. Pure functions over requests and free capacity."""

import math
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest

# Tolerance for rounding errors in sums of fractional cores, GPUs and gigabytes.
EPSILON = 1e-6
# The price penalty is one of these weights times the relative excess of the price per core over the lowest one (1.0
# for twice the lowest price, at most MAX_PRICE_EXCESS). It is added to image fetch times, so it is in seconds.
PRICE_WEIGHT_S = 10.0
URGENT_PRICE_WEIGHT_S = 2.0
MAX_PRICE_EXCESS = 5.0


class Placement(NamedTuple):
    """A number of tasks of one request that are assigned to one machine."""

    request: TaskRequest
    capacity: FreeCapacity
    task_count: int


def is_allowed(request: TaskRequest, machine_type: str, zone: str, spot: bool) -> bool:
    """Return whether the constraints of the job allow a machine of this type and zone, spot or on-demand.

    `request.tasks_by_zone` is an upper bound: right after a change of leader it may contain a zone that the tasks have
    left. So while it contains several zones, a job that must be in one zone is allowed in none of them.
    """
    return (
        (request.machine_types is None or machine_type in request.machine_types)
        and (request.zone is None or zone == request.zone)
        and (request.spot or not spot)
        and not (request.one_zone and any(used_zone != zone for used_zone in request.tasks_by_zone))
    )


def fitting_tasks(
    request: TaskRequest, capacity: FreeCapacity, remaining_quota: RemainingQuota, spread_replicas: bool = False
) -> int:
    """Return how many of the request's tasks fit the machine, the team's quota and the job's limit per zone.

    With `spread_replicas`, the job's tasks on the machine are limited to `preferred_max_per_machine`.
    """
    if capacity.name in request.excluded_machines or not is_allowed(
        request, capacity.machine_type, capacity.zone, capacity.spot
    ):
        return 0
    count = request.count
    if (
        request.record_bytes_per_task > 0
        and capacity.record_bytes_left < request.record_bytes_per_job + count * request.record_bytes_per_task
    ):
        count = int((capacity.record_bytes_left - request.record_bytes_per_job) // request.record_bytes_per_task)
    if spread_replicas and request.preferred_max_per_machine < math.inf:
        count = min(count, int(request.preferred_max_per_machine) - request.tasks_by_machine.get(capacity.name, 0))
    cpus = min(capacity.cpus, remaining_quota.cpus)
    if request.cpus > 0:
        count = min(count, int(cpus / request.cpus + EPSILON))
    if request.gpus > 0:
        count = min(count, int(min(capacity.gpus, remaining_quota.gpus) / request.gpus + EPSILON))
    if request.memory_gb > 0:
        count = min(count, int(capacity.memory_gb / request.memory_gb + EPSILON))
    if request.max_per_zone < math.inf:
        count = min(count, int(request.max_per_zone) - request.tasks_by_zone.get(capacity.zone, 0))
    return max(0, count)


def assign_tasks(request: TaskRequest, capacity: FreeCapacity, remaining_quota: RemainingQuota, count: int) -> None:
    """Assign `count` tasks of the request to the machine, and deduct them from request, capacity and quota."""
    request.count -= count
    request.tasks_by_zone[capacity.zone] = request.tasks_by_zone.get(capacity.zone, 0) + count
    capacity.cpus -= count * request.cpus
    capacity.gpus -= count * request.gpus
    capacity.memory_gb -= count * request.memory_gb
    capacity.record_bytes_left -= request.record_bytes_per_job + count * request.record_bytes_per_task
    if request.preferred_max_per_machine < math.inf:
        request.tasks_by_machine[capacity.name] = request.tasks_by_machine.get(capacity.name, 0) + count
    if request.image not in capacity.cached_images:
        capacity.images_being_fetched.add(request.image)
    remaining_quota.cpus -= count * request.cpus
    remaining_quota.gpus -= count * request.gpus


class ImageAccess(IntEnum):
    """How a machine would obtain a job's image; concurrent fetches share the machine's bandwidth."""

    CACHED = 0
    FETCHING = 1
    FETCH_ALONE = 2
    FETCH_SHARED = 3


# Cost of each kind of access, in multiples of the time to fetch the image alone.
IMAGE_ACCESS_COST = {
    ImageAccess.CACHED: 0.0,
    ImageAccess.FETCHING: 0.5,
    ImageAccess.FETCH_ALONE: 1.0,
    ImageAccess.FETCH_SHARED: 2.0,
}


def image_access(request: TaskRequest, capacity: FreeCapacity) -> ImageAccess:
    """Return how the machine would obtain the job's image."""
    if request.image in capacity.cached_images:
        return ImageAccess.CACHED
    if request.image in capacity.images_being_fetched:
        return ImageAccess.FETCHING
    return ImageAccess.FETCH_SHARED if capacity.images_being_fetched else ImageAccess.FETCH_ALONE


def price_penalty_s(request: TaskRequest, price: float, lowest_price_per_core: float) -> float:
    """Return the penalty for a price per core above the lowest one, in equivalent seconds of image fetch time."""
    weight = URGENT_PRICE_WEIGHT_S if request.urgent else PRICE_WEIGHT_S
    return weight * min(price / lowest_price_per_core - 1.0 if lowest_price_per_core > 0 else 0.0, MAX_PRICE_EXCESS)


def place(
    requests: Iterable[TaskRequest],
    capacities: Iterable[FreeCapacity],
    remaining_quotas: dict[str, RemainingQuota],
) -> list[Placement]:
    """Assign tasks to machines in the order of `requests`, and update requests, capacities and quotas in place.

    Machines that differ only in free capacity, images and zone form one group, so that a job is compared with
    a few groups instead of every machine. The tests compare the result with that of `tests/reference.py`,
    which considers every machine.
    """
    packer = _Packer(capacities)
    for request in requests:
        remaining_quota = remaining_quotas.setdefault(request.team, RemainingQuota())
        if request.count <= 0:
            continue
        if remaining_quota.cpus + EPSILON < request.cpus:
            if request.urgent:
                remaining_quota.reserve_for_urgent()
            continue
        if request.preferred_max_per_machine < math.inf:
            packer.pack(request, remaining_quota, spread_replicas=True)
        if request.count > 0 and remaining_quota.cpus + EPSILON >= request.cpus:
            packer.pack(request, remaining_quota, spread_replicas=False)
        if request.urgent and request.count > 0 and remaining_quota.cpus + EPSILON < request.cpus:
            remaining_quota.reserve_for_urgent()
    return packer.placements


class _MachineGroup:
    """Machines that differ only in free capacity, images and zone, those with the fewest free cores first."""

    def __init__(self, capacities: list[FreeCapacity]) -> None:
        self.capacities = capacities
        self.is_sorted = False

    def sort(self) -> list[FreeCapacity]:
        """Sort the machines that have free cores, those with the fewest first, and return them."""
        if not self.is_sorted:
            self.capacities = [capacity for capacity in self.capacities if capacity.cpus > EPSILON]
            self.capacities.sort(key=_by_free_cpus)
            self.is_sorted = True
        return self.capacities

    def by_image_access(self, request: TaskRequest) -> dict[ImageAccess, list[FreeCapacity]]:
        """Return the machines by how they would obtain the image of the request."""
        by_access: dict[ImageAccess, list[FreeCapacity]] = {}
        for capacity in self.capacities:
            by_access.setdefault(image_access(request, capacity), []).append(capacity)
        return by_access


def _by_free_cpus(capacity: FreeCapacity) -> tuple[float, str]:
    return (capacity.cpus, capacity.name)


class _Packer:
    """Packs the tasks of one request after another onto groups of machines."""

    def __init__(self, capacities: Iterable[FreeCapacity]) -> None:
        self.placements: list[Placement] = []
        self._lowest_price_per_core = math.inf
        by_kind: dict[tuple[bool, str, bool, float, float], list[FreeCapacity]] = {}
        for capacity in capacities:
            self._lowest_price_per_core = min(self._lowest_price_per_core, capacity.price_per_core)
            if capacity.cpus > EPSILON:
                by_kind.setdefault(
                    (
                        capacity.draining,
                        capacity.machine_type,
                        capacity.spot,
                        capacity.price_per_core,
                        capacity.image_fetch_gb_per_s,
                    ),
                    [],
                ).append(capacity)
        self._groups = [_MachineGroup(members) for members in by_kind.values()]

    def pack(self, request: TaskRequest, remaining_quota: RemainingQuota, spread_replicas: bool) -> None:
        """Place as many of the request's tasks as fit."""
        by_access: dict[int, dict[ImageAccess, list[FreeCapacity]]] = {}
        for _, _, index, access in self._ranks(request):
            group = self._groups[index]
            if index not in by_access:
                by_access[index] = group.by_image_access(request)
            for capacity in by_access[index].get(access, ()):
                count = fitting_tasks(request, capacity, remaining_quota, spread_replicas)
                if count <= 0:
                    continue
                assign_tasks(request, capacity, remaining_quota, count)
                group.is_sorted = False
                self.placements.append(Placement(request, capacity, count))
                if request.count <= 0 or remaining_quota.cpus + EPSILON < request.cpus:
                    return

    def _ranks(self, request: TaskRequest) -> list[tuple[bool, float, int, ImageAccess]]:
        """Rank each group that the job allows, once for each kind of image access.

        A rank is (draining, cost in seconds, index of the group, image access); the smallest is filled first.
        It is a plain tuple because many are created in each scheduling round.
        """
        ranks: list[tuple[bool, float, int, ImageAccess]] = []
        for index, group in enumerate(self._groups):
            if not group.sort():
                continue
            sample = group.capacities[0]
            if (request.machine_types is not None and sample.machine_type not in request.machine_types) or (
                sample.spot and not request.spot
            ):
                continue
            if group.capacities[-1].cpus + EPSILON < request.cpus:
                continue
            fetch_s = request.image_gb / sample.image_fetch_gb_per_s
            penalty_s = price_penalty_s(request, sample.price_per_core, self._lowest_price_per_core)
            ranks += [
                (sample.draining, IMAGE_ACCESS_COST[access] * fetch_s + penalty_s, index, access)
                for access in ImageAccess
            ]
        ranks.sort()
        return ranks
