"""Selection of the tasks that urgent requests preempt. Pure functions over candidates and free capacity."""

import heapq
from datetime import timedelta

import msgspec

from elmthread.common.clock import ZERO
from elmthread.placement.bin_packing import EPSILON, assign_tasks, is_allowed, place
from elmthread.placement.capacity import FreeCapacity
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest


class PreemptionCandidate(msgspec.Struct):
    """An allocated task that may be preempted, and the run time lost by stopping it."""

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
    capacities: dict[str, FreeCapacity],
    candidates: dict[str, list[PreemptionCandidate]],
    remaining_quota: RemainingQuota,
) -> list[PreemptionCandidate]:
    """Choose the tasks to preempt for `request`, those that lose the least run time first.

    If the team's quota is too small, the team's own tasks are preempted first. After that, room is made for one task
    at a time, on the machine where this loses the least. `capacities` includes capacity that is already being freed;
    `candidates` are by machine, and chosen ones are removed. Nothing is preempted for a request that no machine allows.
    """
    if not any(is_allowed(request, one.machine_type, one.zone, one.spot) for one in capacities.values()):
        return []
    selection = _VictimSelection(request, capacities, candidates, remaining_quota)
    selection.preempt_own_team()
    if request.count > 0 and remaining_quota.cpus + EPSILON >= request.cpus:
        selection.preempt_by_machine()
    return selection.chosen


def least_loss_victims(
    request: TaskRequest, capacity: FreeCapacity, candidates: list[PreemptionCandidate]
) -> list[PreemptionCandidate] | None:
    """Return candidates of lower priority, in order of loss, until one task fits; None if all free too little."""
    cpus, gpus, memory_gb = capacity.cpus, capacity.gpus, capacity.memory_gb
    victims: list[PreemptionCandidate] = []
    for candidate in sorted(
        (other for other in candidates if other.priority_rank > request.priority_rank),
        key=lambda candidate: candidate.loss,
    ):
        if (
            cpus + EPSILON >= request.cpus
            and gpus + EPSILON >= request.gpus
            and memory_gb + EPSILON >= request.memory_gb
        ):
            break
        victims.append(candidate)
        cpus += candidate.cpus
        gpus += candidate.gpus
        memory_gb += candidate.memory_gb
    if cpus + EPSILON >= request.cpus and gpus + EPSILON >= request.gpus and memory_gb + EPSILON >= request.memory_gb:
        return victims
    return None


class _VictimSelection:
    """The selection of victims for one request."""

    def __init__(
        self,
        request: TaskRequest,
        capacities: dict[str, FreeCapacity],
        candidates: dict[str, list[PreemptionCandidate]],
        remaining_quota: RemainingQuota,
    ) -> None:
        self.chosen: list[PreemptionCandidate] = []
        self._request = request
        self._capacities = capacities
        self._candidates = candidates
        self._remaining_quota = remaining_quota
        # Heap of (core-seconds lost by making room for one task, position in `candidates`, machine).
        self._machines_by_loss: list[tuple[float, int, str]] = []

    def preempt_own_team(self) -> None:
        """Preempt tasks of the request's own team, on any machine, if the team's quota is too small for the request."""
        request, quota = self._request, self._remaining_quota
        if quota.cpus + EPSILON >= request.count * request.cpus:
            return
        own_candidates = [
            candidate
            for machine_candidates in self._candidates.values()
            for candidate in machine_candidates
            if candidate.team == request.team and candidate.priority_rank > request.priority_rank
        ]
        own_candidates.sort(key=lambda candidate: candidate.loss)
        for candidate in own_candidates:
            if quota.cpus + EPSILON >= request.count * request.cpus:
                break
            quota.cpus += candidate.cpus
            quota.gpus += candidate.gpus
            self._preempt(candidate)
        if self.chosen:
            place([request], self._capacities.values(), {request.team: quota})

    def preempt_by_machine(self) -> None:
        """Free capacity for one task after another, each on the machine with the least loss.

        The loss of a machine is computed again only after the machine was chosen, as all others stay the same.
        """
        request, quota = self._request, self._remaining_quota
        for order, name in enumerate(self._candidates):
            self._push_machine(order, name)
        while self._machines_by_loss and request.count > 0 and quota.cpus + EPSILON >= request.cpus:
            _, order, name = heapq.heappop(self._machines_by_loss)
            capacity = self._capacities[name]
            if not is_allowed(request, capacity.machine_type, capacity.zone, capacity.spot):
                continue
            if request.tasks_by_zone.get(capacity.zone, 0) >= request.max_per_zone:
                continue
            victims = least_loss_victims(request, capacity, self._candidates[name])
            if victims is None:
                continue
            for candidate in victims:
                self._preempt(candidate)
            assign_tasks(request, capacity, quota, 1)
            self._push_machine(order, name)

    def _push_machine(self, order: int, name: str) -> None:
        request, capacity = self._request, self._capacities.get(name)
        if (
            capacity is None
            or name in request.excluded_machines
            or not is_allowed(request, capacity.machine_type, capacity.zone, capacity.spot)
        ):
            return
        victims = least_loss_victims(request, capacity, self._candidates[name])
        if victims is not None:
            loss = sum(candidate.loss.total_seconds() * candidate.cpus for candidate in victims)
            heapq.heappush(self._machines_by_loss, (loss, order, name))

    def _preempt(self, candidate: PreemptionCandidate) -> None:
        self._candidates[candidate.machine].remove(candidate)
        capacity = self._capacities.get(candidate.machine)
        if capacity is not None:
            capacity.cpus += candidate.cpus
            capacity.gpus += candidate.gpus
            capacity.memory_gb += candidate.memory_gb
        self.chosen.append(candidate)
