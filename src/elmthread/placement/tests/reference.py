"""Reference models of bin packing and preemption, which consider every machine for every job and task."""

import math

from elmthread.placement.bin_packing import (
    EPSILON,
    IMAGE_ACCESS_COST,
    Placement,
    assign_tasks,
    fitting_tasks,
    image_access,
    is_allowed,
    price_penalty_s,
)
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest
from elmthread.placement.victims import PreemptionCandidate, least_loss_victims


def preference(request: TaskRequest, capacity: FreeCapacity, cheapest: float) -> tuple[bool, float, float, str]:
    """Return a sort key that puts the best machine first.

    Draining machines come last; then by the time to fetch the image and the price; then the fullest first.
    """
    fetch = IMAGE_ACCESS_COST[image_access(request, capacity)] * request.image_gb / capacity.image_fetch_gb_per_s
    return (
        capacity.draining,
        fetch + price_penalty_s(request, capacity.price_per_core, cheapest),
        capacity.cpus,
        capacity.name,
    )


def place(
    requests: list[TaskRequest], capacities: list[FreeCapacity], remaining_quotas: dict[str, RemainingQuota]
) -> list[Placement]:
    """Assign tasks to machines in the order of `requests`, and update requests, capacities and quotas in place."""
    placements: list[Placement] = []
    cheapest = min((capacity.price_per_core for capacity in capacities), default=0.0)
    open_capacities = [capacity for capacity in capacities if capacity.cpus > EPSILON]
    for request in requests:
        remaining_quota = remaining_quotas.setdefault(request.team, RemainingQuota())
        if request.count <= 0:
            continue
        if remaining_quota.cpus + EPSILON < request.cpus:
            if request.urgent:
                remaining_quota.reserve_for_urgent()
            continue
        # Replicas are first spread over machines; the remaining ones are placed wherever there is room.
        for spread_replicas in (True, False):
            fitting = [
                capacity
                for capacity in open_capacities
                if fitting_tasks(request, capacity, remaining_quota, spread_replicas)
            ]
            fitting.sort(key=lambda capacity: preference(request, capacity, cheapest))
            for capacity in fitting:
                count = fitting_tasks(request, capacity, remaining_quota, spread_replicas)
                if count <= 0:
                    continue
                assign_tasks(request, capacity, remaining_quota, count)
                placements.append(Placement(request, capacity, count))
        if request.urgent and request.count > 0 and remaining_quota.cpus + EPSILON < request.cpus:
            remaining_quota.reserve_for_urgent()
        open_capacities = [capacity for capacity in open_capacities if capacity.cpus > EPSILON]
    return placements


def preempt(
    request: TaskRequest,
    capacities: dict[str, FreeCapacity],
    candidates: list[PreemptionCandidate],
    remaining_quota: RemainingQuota,
) -> list[PreemptionCandidate]:
    """Choose the tasks to preempt for `request`: those with the least loss for the capacity that they free.

    `capacities` includes capacity that is already being freed. Each task is placed on the machine with the
    least loss for the capacity of one task.
    """
    if not any(is_allowed(request, one.machine_type, one.zone, one.spot) for one in capacities.values()):
        return []
    by_machine: dict[str, list[PreemptionCandidate]] = {}
    for candidate in candidates:
        by_machine.setdefault(candidate.machine, []).append(candidate)
    chosen = _preempt_own_team(request, capacities, by_machine, remaining_quota)
    if chosen:
        place([request], list(capacities.values()), {request.team: remaining_quota})
    while request.count > 0 and remaining_quota.cpus + EPSILON >= request.cpus:
        selection = _least_loss(request, capacities, by_machine)
        if selection is None:
            break
        name, preempted = selection
        for candidate in preempted:
            _preempt(candidate, capacities, by_machine)
        chosen += preempted
        assign_tasks(request, capacities[name], remaining_quota, 1)
    return chosen


def _preempt_own_team(
    request: TaskRequest,
    capacities: dict[str, FreeCapacity],
    by_machine: dict[str, list[PreemptionCandidate]],
    remaining_quota: RemainingQuota,
) -> list[PreemptionCandidate]:
    """Free quota of a team that is at its limit by preempting its own tasks on any machine."""
    chosen: list[PreemptionCandidate] = []
    own_candidates = sorted(
        (
            candidate
            for machine_candidates in by_machine.values()
            for candidate in machine_candidates
            if candidate.team == request.team
        ),
        key=lambda candidate: candidate.loss,
    )
    while own_candidates and remaining_quota.cpus + EPSILON < request.count * request.cpus:
        candidate = own_candidates.pop(0)
        remaining_quota.cpus += candidate.cpus
        remaining_quota.gpus += candidate.gpus
        _preempt(candidate, capacities, by_machine)
        chosen.append(candidate)
    return chosen


def _preempt(
    candidate: PreemptionCandidate,
    capacities: dict[str, FreeCapacity],
    by_machine: dict[str, list[PreemptionCandidate]],
) -> None:
    by_machine[candidate.machine].remove(candidate)
    capacity = capacities.get(candidate.machine)
    if capacity is not None:
        capacity.cpus += candidate.cpus
        capacity.gpus += candidate.gpus
        capacity.memory_gb += candidate.memory_gb


def _least_loss(
    request: TaskRequest,
    capacities: dict[str, FreeCapacity],
    by_machine: dict[str, list[PreemptionCandidate]],
) -> tuple[str, list[PreemptionCandidate]] | None:
    """Return the machine with the least loss for the capacity of one task, and the tasks to preempt there."""
    best: tuple[float, str, list[PreemptionCandidate]] | None = None
    for name, machine_candidates in by_machine.items():
        capacity = capacities.get(name)
        if (
            capacity is None
            or name in request.excluded_machines
            or not is_allowed(request, capacity.machine_type, capacity.zone, capacity.spot)
        ):
            continue
        if request.max_per_zone < math.inf and request.tasks_by_zone.get(capacity.zone, 0) >= request.max_per_zone:
            continue
        victims = least_loss_victims(request, capacity, machine_candidates)
        if victims is None:
            continue
        loss = sum(candidate.loss.total_seconds() * candidate.cpus for candidate in victims)
        if best is None or loss < best[0]:
            best = (loss, name, victims)
    return None if best is None else best[1:]
