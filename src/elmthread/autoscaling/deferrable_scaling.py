"""The deferrable pressure: scales out for groups of deferrable tasks that would miss their deadline."""

import logging
import math
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from elmthread.autoscaling.context import RoundView, ScalingContext
from elmthread.autoscaling.instance_offers import BOOT_TIME_FACTOR, MAX_INSTANCES_PER_DECISION
from elmthread.autoscaling.instance_selection import DeferrableBacklog, fewest_instances
from elmthread.autoscaling.lateness import CoreSupply, DeadlineGroup
from elmthread.autoscaling.running_work import RunningWork
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine, MachineState
from elmthread.cluster.run_times import RunTimeModel
from elmthread.common.clock import seconds
from elmthread.placement.bin_packing import is_allowed
from elmthread.placement.requests import TaskRequest

log = logging.getLogger(__name__)

# Tasks whose deadlines are in the same interval of this length form one group.
GROUP_SPAN = seconds(20)
# Tasks should end within this fraction of the time from their job's submission to its deadline, as estimates are
# rough and starts take time.
DEADLINE_FRACTION = 0.6
# Work that can no longer meet its deadline should end within this many times the shortest time still possible.
INFEASIBLE_DEADLINE_FACTOR = 1.5
# A machine without a heartbeat within this many times its boot time is not counted as supply.
MAX_BOOT_TIME_FACTOR = 2


class _Requirements(NamedTuple):
    """The requirements of a task that determine which machines can run it, except for memory."""

    machine_types: frozenset[str] | None
    zone: str | None
    spot: bool
    cpus: float
    gpus: float


class _MachineSet(msgspec.Struct):
    """Names of machines that can run the same requests, those requests, and the urgent ones placed ahead of them."""

    machines: set[str]
    waiting: list[TaskRequest] = msgspec.field(default_factory=list)
    urgent: list[TaskRequest] = msgspec.field(default_factory=list)


class DeferrableScaling:
    """Requests the fewest instances with which all groups that can still meet their deadline do so."""

    def __init__(self, context: ScalingContext, run_times: RunTimeModel) -> None:
        """Use `run_times` to estimate how long tasks run."""
        self._cluster = context.cluster
        self._scheduler = context.scheduler
        self._offers = context.offers
        self._catalog = context.machines.catalog
        self._run_times = run_times

    def run(self, view: RoundView) -> None:
        """Check the deadline groups on each set of machines, and request missing instances."""
        running = RunningWork(self._cluster, self._run_times, view.now)
        for machine_set in self._machine_sets(view):
            self._scale_out_for(machine_set, view, running)

    def _machine_sets(self, view: RoundView) -> list[_MachineSet]:
        """Partition the waiting requests by the machines that can run them.

        Cores count only for work that may use them, so requests that can run on the same machines are checked
        together. Otherwise, a group that can't start at all would appear to be on time because of cores of the
        wrong kind, or of machines too small for a task.
        """
        by_requirements: dict[_Requirements, list[TaskRequest]] = {}
        for request in view.requests:
            requirements = _Requirements(request.machine_types, request.zone, request.spot, request.cpus, request.gpus)
            by_requirements.setdefault(requirements, []).append(request)
        machine_sets: dict[tuple[str, ...], _MachineSet] = {}
        urgent: list[tuple[set[str], list[TaskRequest]]] = []
        for matching in by_requirements.values():
            machines = self._suitable_machines(matching[0], view)
            machine_names = set(machines)
            # UrgentBand scales out for urgent requests that some machine can run; here, they only count as work
            # ahead of the deferrable ones. ServiceScaling scales out for replicas, which have no deadline.
            waiting = [
                request
                for request in matching
                if not self._job(request).is_service and (not request.urgent or not machines)
            ]
            if waiting:
                machine_sets.setdefault(machines, _MachineSet(machine_names)).waiting.extend(waiting)
            if machines:
                urgent.append((machine_names, [request for request in matching if request.urgent]))
        for machine_set in machine_sets.values():
            machine_set.urgent = [
                request
                for names, requests in urgent
                if not machine_set.machines.isdisjoint(names)
                for request in requests
            ]
        return list(machine_sets.values())

    def _suitable_machines(self, request: TaskRequest, view: RoundView) -> tuple[str, ...]:
        """Return the machines, up or booting, that the request allows and that are large enough for a task."""
        return tuple(
            machine.name
            for kind, machines in view.machines_by_kind.items()
            if is_allowed(request, kind.machine_type, kind.zone, kind.spot)
            and request.cpus <= machines[0].cpus
            and request.gpus <= machines[0].gpus
            and request.memory_gb <= machines[0].memory_gb
            for machine in machines
        )

    def _scale_out_for(self, machine_set: _MachineSet, view: RoundView, running: RunningWork) -> None:
        offers = self._offers.for_requests(machine_set.waiting)
        if not offers:
            return
        inexpensive = self._offers.without_expensive(offers)
        # Expensive instances are requested only for work that no machine can run at all, or that would otherwise
        # miss even its `Job.latest_deadline`.
        use_latest_deadline = not inexpensive and bool(machine_set.machines)
        offers = inexpensive or offers
        boot_s = min(offer.boot_s for offer in offers)
        groups, usable = self._deadline_groups(machine_set.waiting, view, running, boot_s, use_latest_deadline)
        supplies = self._supplies(machine_set, view)
        running_cores, core_seconds_ahead = running.on_machines(machine_set.machines)
        for request in machine_set.urgent:
            job = self._job(request)
            if not job.is_service:
                core_seconds_ahead += request.count * request.cpus * running.task_time_s(job)
        usable += view.usable_cores(machine_set.urgent) + running_cores - sum(supply.cores for supply in supplies)
        backlog = DeferrableBacklog(groups, core_seconds_ahead, usable)
        chosen = fewest_instances(backlog, supplies, offers, MAX_INSTANCES_PER_DECISION)
        if chosen:
            _log_scale_out(len(chosen), backlog, supplies)
        self._offers.request(chosen, for_deferrable_pool=True)

    def _deadline_groups(
        self,
        waiting: Sequence[TaskRequest],
        view: RoundView,
        running: RunningWork,
        boot_s: float,
        use_latest_deadline: bool,
    ) -> tuple[list[DeadlineGroup], float]:
        """Return the waiting tasks grouped by deadline, and the cores that they could use at once.

        With `use_latest_deadline`, apply the latest deadlines, and leave out tasks that can no longer meet them.
        """
        group_by_span: dict[int, DeadlineGroup] = {}
        team_cores: dict[str, float] = {}
        for request in waiting:
            job = self._job(request)
            task_time_s = running.task_time_s(job)
            quota = max(0.0, view.remaining_quotas[request.team].cpus - team_cores.get(request.team, 0.0))
            cores = min(quota, request.count * request.cpus)
            team_cores[request.team] = team_cores.get(request.team, 0.0) + cores
            # A team at its quota can use all of it again once its running tasks end.
            usable = max(min(self._scheduler.cpu_quota(request.team), request.count * request.cpus), request.cpus)
            core_seconds = request.count * request.cpus * task_time_s
            time_allowed = job.latest_deadline if use_latest_deadline else job.target_deadline * DEADLINE_FRACTION
            due_s = (job.submitted_at + time_allowed - view.now).total_seconds()
            min_completion_s = boot_s + max(task_time_s, core_seconds / usable)
            if due_s < min_completion_s:
                if use_latest_deadline:
                    continue
                # The deadline is missed in any case; a later one keeps the tasks from waiting indefinitely.
                due_s = min_completion_s * INFEASIBLE_DEADLINE_FACTOR
            span = math.floor(due_s / GROUP_SPAN.total_seconds())
            group = group_by_span.setdefault(span, DeadlineGroup(due_s, 0.0, 0.0, 0.0))
            group.due_s = min(group.due_s, due_s)
            group.core_seconds += core_seconds
            group.longest_task_s = max(group.longest_task_s, task_time_s)
            group.usable_cores += usable
        return [group_by_span[span] for span in sorted(group_by_span)], sum(team_cores.values())

    def _supplies(self, machine_set: _MachineSet, view: RoundView) -> list[CoreSupply]:
        """Return the cores available to the requests, now or once machines have booted."""
        supplies = [
            supply
            for machine in self._cluster.machines.values()
            if machine.name in machine_set.machines and (supply := self._supply(machine, view)) is not None
        ]
        sample = machine_set.waiting[0]
        for pending, machine_type in self._offers.pending():
            if is_allowed(sample, pending.kind.machine_type, pending.kind.zone, pending.kind.spot):
                supplies.append(CoreSupply(machine_type.boot_s * BOOT_TIME_FACTOR, machine_type.cpus * pending.count))
        return supplies

    def _supply(self, machine: Machine, view: RoundView) -> CoreSupply | None:
        if machine.state is not MachineState.BOOTING:
            # Cores allocated to replicas never become available to other work.
            return CoreSupply(0.0, machine.cpus - machine.service_cpus)
        boot_s = self._catalog.types[machine.machine_type].boot_s
        age_s = (view.now - machine.first_seen_at).total_seconds()
        if age_s >= boot_s * MAX_BOOT_TIME_FACTOR:
            return None
        # Rounded to whole seconds, so that the supplies of machines that boot at about the same time are merged.
        return CoreSupply(float(max(1, round(boot_s * BOOT_TIME_FACTOR - age_s))), machine.cpus)

    def _job(self, request: TaskRequest) -> Job:
        return self._cluster.jobs[request.job_id]


def _log_scale_out(count: int, backlog: DeferrableBacklog, supplies: Sequence[CoreSupply]) -> None:
    groups = backlog.groups
    log.info(
        "scaling out by %s instances for %s deadline groups due in %.0f to %.0f s: "
        "%.0f core-seconds of work are ahead of them, they need %.0f core-seconds, %.0f cores are up or expected",
        count,
        len(groups),
        groups[0].due_s,
        groups[-1].due_s,
        backlog.core_seconds_ahead,
        sum(group.core_seconds for group in groups),
        sum(supply.cores for supply in supplies),
    )
