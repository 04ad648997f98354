"""The scheduling round: allocates waiting tasks, and stops interrupted and preempted tasks."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

import msgspec

from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.cluster.run_times import RunTimeModel
from elmthread.leadership.context import TermContext
from elmthread.placement.attempts import AttemptCounter
from elmthread.placement.bin_packing import Placement, place
from elmthread.placement.capacity import free_capacity
from elmthread.placement.interruptions import SpotInterruptions, has_room_elsewhere
from elmthread.placement.job_order import JobOrder
from elmthread.placement.preemption import Preemption
from elmthread.placement.quotas import RemainingQuota, TeamQuotas
from elmthread.placement.requests import MAX_TASKS_PLACED_PER_ROUND, RequestFactory, TaskRequest
from elmthread.settings.platform import Team


class AssignmentSink(Protocol):
    """Persists the assignments of machines."""

    def record_assignments(self, machine: Machine) -> None:
        """Write the machine's new allocations; their tasks are started once the write is durable."""


class SchedulerSettings(msgspec.Struct, frozen=True):
    """The platform settings that the scheduler uses."""

    teams: Mapping[str, Team]
    heartbeat_interval: timedelta


class Scheduler:
    """Places waiting tasks on machines, and provides the waiting requests and the quotas to the autoscaler."""

    def __init__(
        self,
        context: TermContext,
        settings: SchedulerSettings,
        attempts: AttemptCounter,
        assignments: AssignmentSink,
        run_times: RunTimeModel,
    ) -> None:
        """Schedule for one term: `assignments` persists placements, `run_times` estimates how long tasks run."""
        self._cluster = context.cluster
        self._clock = context.clock
        self._attempts = attempts
        self._assignments = assignments
        self._requests = RequestFactory(attempts)
        self._quotas = TeamQuotas(context.cluster, settings.teams)
        self._job_order = JobOrder(context, self._quotas, self._requests, run_times)
        self._interruptions = SpotInterruptions(context.cluster, self._requests, run_times, settings.heartbeat_interval)
        self._preemption = Preemption(context.cluster)

    def run_round(self) -> None:
        """Stop tasks on interrupted machines, place waiting tasks, and preempt for urgent tasks that found no room."""
        now = self._clock()
        self._interruptions.stop_tasks(now)
        requests = self.requests(now)
        if not requests:
            self._cluster.has_waiting_tasks = False
            return
        remaining_quotas = self.remaining_quotas()
        capacities = [
            free_capacity(machine, self._cluster)
            for machine in self._cluster.up_machines()
            if machine.is_schedulable and machine.cpus > machine.cpus_used
        ]
        is_at_limit = self._allocate(place(requests, capacities, remaining_quotas))
        self._cluster.has_waiting_tasks = is_at_limit or any(request.count > 0 for request in requests)
        if not is_at_limit:
            self._preemption.run(requests, remaining_quotas, now)

    def _allocate(self, placements: list[Placement]) -> bool:
        """Allocate the placed tasks up to the limit of a round; return whether the limit was reached."""
        assigned: dict[str, Machine] = {}
        tasks_left = MAX_TASKS_PLACED_PER_ROUND
        for request, capacity, count in placements:
            machine = self._cluster.machines[capacity.name]
            job = self._cluster.jobs[request.job_id]
            for _ in range(min(count, tasks_left)):
                task = job.pending_tasks.popleft()
                self._cluster.allocate(machine, job, task, self._attempts.next(), AllocationState.PLANNED)
                assigned[machine.name] = machine
            tasks_left -= count
            if tasks_left <= 0:
                break
        for machine in assigned.values():
            self._assignments.record_assignments(machine)
        return tasks_left <= 0

    def requests(self, now: timedelta) -> list[TaskRequest]:
        """Return the waiting requests in placement order."""
        return self._job_order.requests(now)

    def request_for_one_task(self, job: Job) -> TaskRequest:
        """Return a request for one task of the job, even if none is waiting."""
        return self._requests.request_for_one_task(job)

    def remaining_quotas(self) -> dict[str, RemainingQuota]:
        """Return what each team may still use, as new objects that the caller may modify."""
        return self._quotas.remaining()

    def cpu_quota(self, team: str) -> float:
        """Return the cores that the team may use at once."""
        return self._quotas.cpu_quota(team)

    def has_room_elsewhere(self, allocation: Allocation) -> bool:
        """Return whether another machine that is not draining has room for the task; quotas are not checked."""
        return has_room_elsewhere(self._cluster, self._requests, allocation)
