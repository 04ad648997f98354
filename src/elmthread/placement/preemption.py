"""Preemption: stops and requeues deferrable tasks where urgent tasks find no room."""

import logging
from datetime import timedelta

from elmthread.cluster.allocation import Allocation, AllocationState, StopMode
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import ZERO, seconds
from elmthread.placement.bin_packing import place
from elmthread.placement.capacity import FreeCapacity, free_capacity
from elmthread.placement.job_order import is_starving
from elmthread.placement.quotas import RemainingQuota
from elmthread.placement.requests import TaskRequest
from elmthread.placement.victims import PreemptionCandidate, preempt

log = logging.getLogger(__name__)

# Choosing victims considers all running tasks, so it is not done in every round.
PREEMPTION_INTERVAL = seconds(0.5)
# Maximum number of requests for which victims are chosen in one round, to bound its work.
MAX_PREEMPTING_REQUESTS = 8


class Preemption:
    """Selects the tasks that urgent requests preempt, and marks them to be stopped."""

    def __init__(self, cluster: ClusterState) -> None:
        """Allow the first preemption immediately."""
        self._cluster = cluster
        self._last_run_at = ZERO

    def run(self, waiting: list[TaskRequest], remaining_quotas: dict[str, RemainingQuota], now: timedelta) -> None:
        """Preempt tasks for the urgent requests in `waiting`, at most once per PREEMPTION_INTERVAL."""
        if now - self._last_run_at < PREEMPTION_INTERVAL:
            return
        urgent = [request for request in waiting if request.urgent and request.count > 0]
        if not urgent:
            return
        self._last_run_at = now
        capacities = {
            machine.name: free_capacity(machine, self._cluster)
            for machine in self._cluster.up_machines()
            if machine.is_schedulable
        }
        candidates = {name: self._candidates(capacity, remaining_quotas, now) for name, capacity in capacities.items()}
        place(urgent, capacities.values(), remaining_quotas)
        for request in urgent[:MAX_PREEMPTING_REQUESTS]:
            if request.count <= 0:
                continue
            for candidate in preempt(request, capacities, candidates, remaining_quotas[request.team]):
                allocation = self._cluster.machines[candidate.machine].allocations[candidate.attempt]
                log.debug("task %s/%s is preempted by job %s", allocation.job.id, allocation.task, request.job_id)
                allocation.stop_mode = StopMode.CHECKPOINT

    def _candidates(
        self, capacity: FreeCapacity, remaining_quotas: dict[str, RemainingQuota], now: timedelta
    ) -> list[PreemptionCandidate]:
        """Return the preemptible tasks on the machine; add what tasks being stopped free to capacity and quotas."""
        candidates = []
        for allocation in self._cluster.machines[capacity.name].allocations.values():
            spec = allocation.job.spec
            if allocation.stop_mode is not None:
                capacity.cpus += spec.cpus
                capacity.gpus += spec.gpus
                capacity.memory_gb += spec.ram_gb
                remaining_quotas[spec.team].cpus += spec.cpus
                remaining_quotas[spec.team].gpus += spec.gpus
            elif _is_preemptible(allocation, now):
                candidates.append(
                    PreemptionCandidate(
                        allocation.attempt,
                        capacity.name,
                        spec.team,
                        spec.cpus,
                        spec.gpus,
                        spec.ram_gb,
                        _loss(allocation, now),
                        allocation.job.priority_rank,
                    )
                )
        return candidates


def _is_preemptible(allocation: Allocation, now: timedelta) -> bool:
    """Return whether urgent work may preempt the task; the only task of a starving job may not be preempted."""
    job = allocation.job
    return (
        not job.urgent
        and allocation.state is not AllocationState.CHECKPOINTING
        and not (len(job.allocations) == 1 and is_starving(job, now))
    )


def _loss(allocation: Allocation, now: timedelta) -> timedelta:
    """Return the run time lost by stopping the task: the duration of its checkpoint, or all since its start."""
    if allocation.started_at is None:
        return ZERO
    if allocation.job.spec.makes_checkpoints:
        return seconds(allocation.job.spec.checkpoint_duration_s)
    return now - allocation.started_at
