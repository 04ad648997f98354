"""Who runs where: pure functions over a view of what waits and what has room."""

import heapq
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import IntEnum

from elmthread.common.clock import ZERO


@dataclass(slots=True)
class FreeCapacity:
    """A machine with room."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float
    price_per_core: float = 0.0  # an hour and core
    image_fetch_rate: float = 1.0
    cached_images: frozenset[str] | dict[str, float] = frozenset()
    # Images that it fetches now, or will for tasks it has been given.
    images_being_fetched: set[str] = field(default_factory=set)
    record_bytes_left: float = math.inf  # bytes that its record in the store may still take
    draining: bool = False


@dataclass(slots=True)
class TaskRequest:
    """Tasks of one job that wait for room, all alike."""

    job_id: str
    team: str
    sort_key: tuple[float, ...]
    count: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str = ""
    image_gb: float = 0.0
    machine_types: frozenset[str] | None = None
    zone: str | None = None
    spot: bool = True
    one_zone: bool = False
    # Tasks of the job by zone, as far as they may be on machines now.
    tasks_by_zone: dict[str, int] = field(default_factory=dict)
    max_per_zone: float = math.inf  # for a spread job: most tasks in one zone
    # Machines on which the job has failed: not tried again there.
    excluded_machines: Collection[str] = frozenset()
    urgent: bool = False
    priority_rank: int = 0
    # Bytes that its tasks take in a machine's record: once for the job, and for each task.
    record_bytes_per_job: int = 0
    record_bytes_per_task: int = 0
    # Replicas that one machine is given as long as others have room: what takes the machine
    # should not take all of a service.
    preferred_max_per_machine: float = math.inf
    # Tasks of the job by machine, as far as they may be there now; kept only with such a bound.
    tasks_by_machine: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class RemainingQuota:
    """What a team may still use."""

    cpus: float = math.inf
    gpus: float = math.inf


TINY = 1e-6


def allowed(request: TaskRequest, machine_type: str, zone: str, spot: bool) -> bool:
    """The job's own word on types, zones and spot machines."""
    return (
        (request.machine_types is None or machine_type in request.machine_types)
        and (request.zone is None or zone == request.zone)
        and (request.spot or not spot)
        and not (request.one_zone and request.tasks_by_zone and zone not in request.tasks_by_zone)
    )


def fits(request: TaskRequest, slot: FreeCapacity, remaining_quota: RemainingQuota, apart: bool = False) -> int:
    """How many of the tasks the machine, the team's limit and the zones take.

    `apart`: no more of them on one machine than are to stand there if others have room.
    """
    if slot.name in request.excluded_machines or not allowed(request, slot.machine_type, slot.zone, slot.spot):
        return 0
    count = request.count
    if (
        request.record_bytes_per_task > 0
        and slot.record_bytes_left < request.record_bytes_per_job + count * request.record_bytes_per_task
    ):
        count = int((slot.record_bytes_left - request.record_bytes_per_job) // request.record_bytes_per_task)
    if apart and request.preferred_max_per_machine < math.inf:
        count = min(count, int(request.preferred_max_per_machine) - request.tasks_by_machine.get(slot.name, 0))
    cpus = min(slot.cpus, remaining_quota.cpus)
    if request.cpus > 0:
        count = min(count, int(cpus / request.cpus + TINY))
    if request.gpus > 0:
        count = min(count, int(min(slot.gpus, remaining_quota.gpus) / request.gpus + TINY))
    if request.memory_gb > 0:
        count = min(count, int(slot.memory_gb / request.memory_gb + TINY))
    if request.max_per_zone < math.inf:
        count = min(count, int(request.max_per_zone) - request.tasks_by_zone.get(slot.zone, 0))
    return max(0, count)


class Fetch(IntEnum):
    """How a machine stands to a job's image: several images share the rate of one machine."""

    THERE = 0
    COMING = 1
    ALONE = 2
    SHARED = 3


# Parts of an image's own fetch time that each costs.
FETCH_COST = {Fetch.THERE: 0.0, Fetch.COMING: 0.5, Fetch.ALONE: 1.0, Fetch.SHARED: 2.0}


def way_to_image(request: TaskRequest, slot: FreeCapacity) -> Fetch:
    if request.image in slot.cached_images:
        return Fetch.THERE
    if request.image in slot.images_being_fetched:
        return Fetch.COMING
    return Fetch.SHARED if slot.images_being_fetched else Fetch.ALONE


def price_penalty(request: TaskRequest, price: float, cheapest: float) -> float:
    """Price weighed in seconds: a machine at twice the cheapest price per core counts like
    ten seconds of waiting for an image, for urgent work like two.
    """
    weight = 2.0 if request.urgent else 10.0
    return weight * min(price / cheapest - 1.0 if cheapest > 0 else 0.0, 5.0)


class _MachineGroup:
    """Machines alike but for their room, images and zone, the fullest first."""

    def __init__(self, slots: list[FreeCapacity]) -> None:
        self.slots = slots
        self.sorted = False

    def in_order(self) -> list[FreeCapacity]:
        if not self.sorted:
            self.slots = [slot for slot in self.slots if slot.cpus > TINY]
            self.slots.sort(key=_fullest)
            self.sorted = True
        return self.slots


def _fullest(slot: FreeCapacity) -> tuple[float, str]:
    return (slot.cpus, slot.name)


def place(
    requests: Iterable[TaskRequest], slots: Iterable[FreeCapacity], remaining_quotas: dict[str, RemainingQuota]
) -> list[tuple[TaskRequest, FreeCapacity, int]]:
    """Gives tasks to machines in the order of `requests`; slots, allowances and requests are used up.

    Machines that differ only in room, images and zone are one group, so that a job is
    weighed against a few shelves and not against every machine. `tests/plain.py` looks at
    every machine; the tests compare the two.
    """
    placed: list[tuple[TaskRequest, FreeCapacity, int]] = []
    by_kind: dict[tuple[bool, str, bool, float, float], list[FreeCapacity]] = {}
    cheapest = math.inf
    for slot in slots:
        cheapest = min(cheapest, slot.price_per_core)
        if slot.cpus > TINY:
            by_kind.setdefault(
                (slot.draining, slot.machine_type, slot.spot, slot.price_per_core, slot.image_fetch_rate), []
            ).append(slot)
    groups = [_MachineGroup(some) for some in by_kind.values()]
    for request in requests:
        remaining_quota = remaining_quotas.setdefault(request.team, RemainingQuota())
        if request.count <= 0:
            continue
        if remaining_quota.cpus + TINY < request.cpus:
            if request.urgent:
                keep_for(remaining_quota)
            continue
        if request.preferred_max_per_machine < math.inf:
            _give(request, groups, cheapest, remaining_quota, True, placed)
        if request.count > 0 and remaining_quota.cpus + TINY >= request.cpus:
            _give(request, groups, cheapest, remaining_quota, False, placed)
        if request.urgent and request.count > 0 and remaining_quota.cpus + TINY < request.cpus:
            keep_for(remaining_quota)
    return placed


def _give(
    request: TaskRequest,
    groups: list[_MachineGroup],
    cheapest: float,
    remaining_quota: RemainingQuota,
    apart: bool,
    placed: list[tuple[TaskRequest, FreeCapacity, int]],
) -> None:
    # Each group counts once for each way in which its machines come by the image.
    ranks = []
    for number, group in enumerate(groups):
        if not group.in_order():
            continue
        one = group.slots[0]
        if (request.machine_types is not None and one.machine_type not in request.machine_types) or (
            one.spot and not request.spot
        ):
            continue
        if group.slots[-1].cpus + TINY < request.cpus:
            continue
        time, dear = request.image_gb / one.image_fetch_rate, price_penalty(request, one.price_per_core, cheapest)
        ranks += [(one.draining, FETCH_COST[way] * time + dear, number, way) for way in Fetch]
    ranks.sort()
    ways: dict[int, dict[Fetch, list[FreeCapacity]]] = {}
    for _, _, number, way in ranks:
        group = groups[number]
        if number not in ways:
            ways[number] = {}
            for slot in group.slots:
                ways[number].setdefault(way_to_image(request, slot), []).append(slot)
        for slot in ways[number].get(way, ()):
            count = fits(request, slot, remaining_quota, apart)
            if count <= 0:
                continue
            take(request, slot, remaining_quota, count)
            group.sorted = False
            placed.append((request, slot, count))
            if request.count <= 0 or remaining_quota.cpus + TINY < request.cpus:
                return


def keep_for(remaining_quota: RemainingQuota) -> None:
    """What the team has left gathers for its urgent task, or smaller ones would take it each time."""
    remaining_quota.cpus = 0.0


def take(request: TaskRequest, slot: FreeCapacity, remaining_quota: RemainingQuota, count: int) -> None:
    request.count -= count
    request.tasks_by_zone[slot.zone] = request.tasks_by_zone.get(slot.zone, 0) + count
    slot.cpus -= count * request.cpus
    slot.gpus -= count * request.gpus
    slot.memory_gb -= count * request.memory_gb
    slot.record_bytes_left -= request.record_bytes_per_job + count * request.record_bytes_per_task
    if request.preferred_max_per_machine < math.inf:
        request.tasks_by_machine[slot.name] = request.tasks_by_machine.get(slot.name, 0) + count
    if request.image not in slot.cached_images:
        slot.images_being_fetched.add(request.image)
    remaining_quota.cpus -= count * request.cpus
    remaining_quota.gpus -= count * request.gpus


@dataclass(slots=True)
class PreemptionCandidate:
    """A running task that may be stopped, and what stopping it loses."""

    attempt: int
    machine: str
    team: str
    cpus: float
    gpus: float
    memory_gb: float
    loss: timedelta = ZERO
    priority_rank: int = 9


def preempt(
    request: TaskRequest,
    slots: dict[str, FreeCapacity],
    candidates: dict[str, list[PreemptionCandidate]],
    remaining_quota: RemainingQuota,
) -> list[PreemptionCandidate]:
    """The tasks to stop so that `request` gets room: those that lose least for the room they give.

    `slots` counts room that is already being freed; `victims` are by machine, and those that
    are chosen are taken out. Machines where the loss for one task's room is least come first.
    """
    chosen: list[PreemptionCandidate] = []

    def stop(candidate: PreemptionCandidate) -> None:
        candidates[candidate.machine].remove(candidate)
        slot = slots.get(candidate.machine)
        if slot is not None:
            slot.cpus += candidate.cpus
            slot.gpus += candidate.gpus
            slot.memory_gb += candidate.memory_gb
        chosen.append(candidate)

    # A team at its limit makes room for its urgent work itself, wherever its tasks run.
    if remaining_quota.cpus + TINY < request.count * request.cpus:
        own = [
            one
            for held in candidates.values()
            for one in held
            if one.team == request.team and one.priority_rank > request.priority_rank
        ]
        own.sort(key=lambda candidate: candidate.loss)
        for candidate in own:
            if remaining_quota.cpus + TINY >= request.count * request.cpus:
                break
            remaining_quota.cpus += candidate.cpus
            remaining_quota.gpus += candidate.gpus
            stop(candidate)
        if chosen:
            place([request], slots.values(), {request.team: remaining_quota})
    if request.count <= 0 or remaining_quota.cpus + TINY < request.cpus:
        return chosen
    # One look at each machine, then the best again and again: only its own offer changes.
    offers: list[tuple[float, int, str]] = []

    def offer(order: int, name: str) -> None:
        slot = slots.get(name)
        if (
            slot is None
            or name in request.excluded_machines
            or not allowed(request, slot.machine_type, slot.zone, slot.spot)
        ):
            return
        some = enough(request, slot, candidates[name])
        if some is not None:
            loss = sum(candidate.loss.total_seconds() * candidate.cpus for candidate in some)
            heapq.heappush(offers, (loss, order, name))

    for order, name in enumerate(candidates):
        offer(order, name)
    while offers and request.count > 0 and remaining_quota.cpus + TINY >= request.cpus:
        _, order, name = heapq.heappop(offers)
        slot = slots[name]
        if not allowed(request, slot.machine_type, slot.zone, slot.spot):
            continue
        if request.tasks_by_zone.get(slot.zone, 0) >= request.max_per_zone:
            continue
        some = enough(request, slot, candidates[name])
        if some is None:
            continue
        for candidate in some:
            stop(candidate)
        take(request, slot, remaining_quota, 1)
        offer(order, name)
    return chosen


def enough(
    request: TaskRequest, slot: FreeCapacity, held: list[PreemptionCandidate]
) -> list[PreemptionCandidate] | None:
    """The cheapest candidates on one machine whose room, with what is free, takes one task."""
    cpus, gpus, ram = slot.cpus, slot.gpus, slot.memory_gb
    some: list[PreemptionCandidate] = []
    for candidate in sorted(
        (one for one in held if one.priority_rank > request.priority_rank), key=lambda candidate: candidate.loss
    ):
        if cpus + TINY >= request.cpus and gpus + TINY >= request.gpus and ram + TINY >= request.memory_gb:
            break
        some.append(candidate)
        cpus += candidate.cpus
        gpus += candidate.gpus
        ram += candidate.memory_gb
    if cpus + TINY >= request.cpus and gpus + TINY >= request.gpus and ram + TINY >= request.memory_gb:
        return some
    return None
