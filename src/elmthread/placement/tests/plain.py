"""Placement the slow and plain way: every machine is looked at for every job and every task."""

import math

from elmthread.placement.decide import (
    FETCH_COST,
    TINY,
    FreeCapacity,
    PreemptionCandidate,
    RemainingQuota,
    TaskRequest,
    allowed,
    enough,
    fits,
    keep_for,
    price_penalty,
    take,
    way_to_image,
)


def preference(request: TaskRequest, slot: FreeCapacity, cheapest: float) -> tuple[bool, float, float, str]:
    """Small is better: machines that are to empty come last; then the time to fetch the
    image and the price; full machines first.
    """
    fetch = FETCH_COST[way_to_image(request, slot)] * request.image_gb / slot.image_fetch_rate
    return (slot.draining, fetch + price_penalty(request, slot.price_per_core, cheapest), slot.cpus, slot.name)


def place(
    requests: list[TaskRequest], slots: list[FreeCapacity], remaining_quotas: dict[str, RemainingQuota]
) -> list[tuple[TaskRequest, FreeCapacity, int]]:
    """Gives tasks to machines in the order of `requests`; slots, allowances and requests are used up."""
    placed: list[tuple[TaskRequest, FreeCapacity, int]] = []
    cheapest = min((slot.price_per_core for slot in slots), default=0.0)
    open_slots = [slot for slot in slots if slot.cpus > TINY]
    for request in requests:
        remaining_quota = remaining_quotas.setdefault(request.team, RemainingQuota())
        if request.count <= 0:
            continue
        if remaining_quota.cpus + TINY < request.cpus:
            if request.urgent:
                keep_for(remaining_quota)
            continue
        # Replicas stand apart as long as there is room for that, and wherever there is any after that.
        for apart in (True, False):
            choice = [slot for slot in open_slots if fits(request, slot, remaining_quota, apart)]
            choice.sort(key=lambda slot: preference(request, slot, cheapest))
            for slot in choice:
                count = fits(request, slot, remaining_quota, apart)
                if count <= 0:
                    continue
                take(request, slot, remaining_quota, count)
                placed.append((request, slot, count))
        if request.urgent and request.count > 0 and remaining_quota.cpus + TINY < request.cpus:
            keep_for(remaining_quota)
        open_slots = [slot for slot in open_slots if slot.cpus > TINY]
    return placed


def preempt(
    request: TaskRequest,
    slots: dict[str, FreeCapacity],
    candidates: list[PreemptionCandidate],
    remaining_quota: RemainingQuota,
) -> list[PreemptionCandidate]:
    """The tasks to stop so that `request` gets room: those that lose least for the room they give.

    `slots` counts room that is already being freed. Each machine is filled as far as its
    victims allow; machines where the loss for each task gained is least come first.
    """
    chosen: list[PreemptionCandidate] = []
    by_machine: dict[str, list[PreemptionCandidate]] = {}
    for candidate in candidates:
        by_machine.setdefault(candidate.machine, []).append(candidate)
    # A team at its limit makes room for its urgent work itself, wherever its tasks run.
    own = sorted(
        (candidate for candidate in candidates if candidate.team == request.team), key=lambda candidate: candidate.loss
    )
    while own and remaining_quota.cpus + TINY < request.count * request.cpus:
        candidate = own.pop(0)
        by_machine[candidate.machine].remove(candidate)
        remaining_quota.cpus += candidate.cpus
        remaining_quota.gpus += candidate.gpus
        slot = slots.get(candidate.machine)
        if slot is not None:
            slot.cpus += candidate.cpus
            slot.gpus += candidate.gpus
            slot.memory_gb += candidate.memory_gb
        chosen.append(candidate)
    if chosen:
        place([request], list(slots.values()), {request.team: remaining_quota})
    while request.count > 0 and remaining_quota.cpus + TINY >= request.cpus:
        best: tuple[float, list[PreemptionCandidate], FreeCapacity] | None = None
        for name, held in by_machine.items():
            slot = slots.get(name)
            if (
                slot is None
                or name in request.excluded_machines
                or not allowed(request, slot.machine_type, slot.zone, slot.spot)
            ):
                continue
            if request.max_per_zone < math.inf and request.tasks_by_zone.get(slot.zone, 0) >= request.max_per_zone:
                continue
            some = enough(request, slot, held)
            if some is None:
                continue
            loss = sum(candidate.loss.total_seconds() * candidate.cpus for candidate in some)
            if best is None or loss < best[0]:
                best = (loss, some, slot)
        if best is None:
            break
        _, some, slot = best
        for candidate in some:
            by_machine[slot.name].remove(candidate)
            slot.cpus += candidate.cpus
            slot.gpus += candidate.gpus
            slot.memory_gb += candidate.memory_gb
        chosen += some
        take(request, slot, remaining_quota, 1)
    return chosen
