"""Applies the placement decisions to the cluster state: allocations for what starts, stops for what gives way."""

import logging
import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import timedelta
from typing import Protocol

from elmthread.autoscaling.decide import Line, jobs_to_put_off
from elmthread.cluster import health
from elmthread.cluster.allocation import Allocation, AllocationState, StopMode
from elmthread.cluster.job import Job, JobState
from elmthread.cluster.machine import Machine
from elmthread.cluster.run_times import RunTimeModel
from elmthread.cluster.state import ClusterState, entry_size, task_size
from elmthread.common.clock import ZERO, seconds
from elmthread.leadership.context import TermContext
from elmthread.placement.attempts import AttemptCounter
from elmthread.placement.decide import (
    FreeCapacity,
    PreemptionCandidate,
    RemainingQuota,
    TaskRequest,
    fits,
    place,
    preempt,
)
from elmthread.settings.platform import Team

log = logging.getLogger(__name__)

# Bounds the work of one round: tasks placed, and jobs looked at for preemption.
MOST_PLACED = 400
MOST_PREEMPTING = 8
# Looking for tasks to requeue walks over all that runs, so it is not done every round.
PREEMPT_EVERY = seconds(0.5)
# The order of jobs is judged anew this often, and when a job comes or goes.
ORDER_EVERY = seconds(1)
# A job that has waited for this long, and of which nothing has begun, starts one task before
# all others. One that is put off for others' sake has its tasks in turn again, within a part
# of the cores that all such jobs share.
BEGIN = seconds(150)
PART = 0.1
# One machine is given this part of a service's replicas at most, as long as others have room.
APART = 3
# Replicas on a machine that will be taken run on where none has room for them, until what is
# left is needed to stop them.
LAST_CALL = 1.5


class AssignmentSink(Protocol):
    """What makes the assignments of a machine durable."""

    def assign(self, machine: Machine) -> None:
        """Write the machine's new allocations; they start once that is durable."""


@dataclass(frozen=True)
class SchedulerSettings:
    """What the scheduler takes from the platform's settings."""

    teams: Mapping[str, Team]
    heartbeat_interval: timedelta


class Scheduler:
    def __init__(
        self,
        context: TermContext,
        settings: SchedulerSettings,
        attempts: AttemptCounter,
        assignments: AssignmentSink,
        run_times: RunTimeModel,
    ) -> None:
        """`assignments` makes what is placed durable; `run_times` says how long tasks run."""
        self._cluster = context.cluster
        self._events = context.events
        self._clock = context.clock
        self._teams = settings.teams
        self._heartbeat_interval = settings.heartbeat_interval
        self._attempts = attempts
        self._assignments = assignments
        self._run_times = run_times
        self._guaranteed: set[str] = set()
        self._last: set[str] = set()
        self._ordered_at: timedelta | None = None
        self._preempted_at = ZERO

    def run_round(self) -> None:
        now = self._clock()
        self._stop_for_recall(now)
        requests = self.requests(now)
        if not requests:
            self._cluster.has_waiting_tasks = False
            return
        remaining_quotas = self.remaining_quotas()
        machines = [
            machine
            for machine in self._cluster.up_machines()
            if machine.is_schedulable and machine.cpus > machine.cpus_used
        ]
        slots = {machine.name: _slot(machine, self._cluster) for machine in machines}
        touched: dict[str, Machine] = {}
        left = MOST_PLACED
        for request, slot, count in place(requests, slots.values(), remaining_quotas):
            machine = self._cluster.machines[slot.name]
            job = self._cluster.jobs[request.job_id]
            for _ in range(min(count, left)):
                task = job.pending_tasks.popleft()
                self._cluster.allocate(machine, job, task, self._attempts.next(), AllocationState.PLANNED)
                touched[machine.name] = machine
            left -= count
            if left <= 0:
                break
        for machine in touched.values():
            self._assignments.assign(machine)
        self._cluster.has_waiting_tasks = left <= 0 or any(request.count > 0 for request in requests)
        if left > 0 and now - self._preempted_at >= PREEMPT_EVERY:
            urgent = [request for request in requests if request.urgent and request.count > 0]
            if urgent:
                self._preempted_at = now
                self._make_room(urgent, remaining_quotas, now)

    def limit(self, team: str) -> float:
        return self._teams[team].cpu_quota if team in self._teams else math.inf

    def remaining_quotas(self) -> dict[str, RemainingQuota]:
        return {
            name: RemainingQuota(
                team.cpu_quota - self._cluster.cpus_by_team.get(name, 0.0),
                team.gpu_quota - self._cluster.gpus_by_team.get(name, 0.0),
            )
            for name, team in self._teams.items()
        }

    def requests(self, now: timedelta) -> list[TaskRequest]:
        """What waits, in the order in which it gets room."""
        if self._events.take_jobs_changed() or self._ordered_at is None or now - self._ordered_at >= ORDER_EVERY:
            self._ordered_at = now
            self._guaranteed = self._fit_guarantees()
            self._last = self._put_off(now)
        requests: list[TaskRequest] = []
        put_off: list[tuple[timedelta, TaskRequest]] = []
        for job in self._cluster.open_jobs.values():
            count = len(job.pending_tasks)
            if not count or job.durable_state is not JobState.OPEN or job.retry_at > now:
                continue
            health.release(job, now)
            due = (job.submitted_at + job.target_deadline - now).total_seconds()
            first = _unbegun(job, now)
            # Urgent work by rank and deadline; then work within a guarantee; then by deadline,
            # jobs that would only make others late behind them.
            order: tuple[float, float, float]
            if job.urgent:
                order = (0.0, job.priority_rank, due)
            elif job.id in self._guaranteed:
                order = (1.0, 0.0, due)
            elif job.id in self._last:
                order = (1.0, 2.0, due)
            else:
                order = (1.0, 1.0, due)
            request = self._want(job, order, count)
            requests.append(request)
            if first and not job.allocations:
                # Nobody is left out: whatever the load, something of every job begins.
                requests.append(_split(request, 1, (-1.0, job.priority_rank, due)))
            if order[1] == 2.0 and not job.urgent and now - job.submitted_at > BEGIN:
                put_off.append((job.submitted_at, request))
        if put_off:
            requests += self._part(put_off)
        requests.sort(key=lambda request: request.sort_key)
        return requests

    def _part(self, put_off: list[tuple[timedelta, TaskRequest]]) -> list[TaskRequest]:
        """Tasks of jobs put off for long that go in turn with the others all the same."""
        turns = []
        cores = PART * sum(machine.cpus for machine in self._cluster.up_machines() if machine.is_schedulable)
        for _, request in sorted(put_off, key=lambda one: one[0]):
            cores -= len(self._cluster.jobs[request.job_id].allocations) * request.cpus
            count = min(request.count, int(cores / request.cpus))
            if count > 0:
                cores -= count * request.cpus
                turns.append(_split(request, count, (1.0, 1.0, request.sort_key[2])))
        return turns

    def _fit_guarantees(self) -> set[str]:
        """Jobs that fit their team's guarantee together with the team's earlier unfinished ones."""
        used: dict[str, float] = {}
        inside: set[str] = set()
        for job in sorted(self._cluster.open_jobs.values(), key=lambda job: job.submitted_at):
            team = self._teams.get(job.spec.team)
            if team is None or not team.cpus:
                continue
            total = used.get(team.name, 0.0) + job.spec.cpus * (job.task_count - job.done_count)
            used[team.name] = total
            if total <= team.cpus:
                inside.add(job.id)
        return inside

    def _put_off(self, now: timedelta) -> set[str]:
        """Deferrable jobs that wait behind the others, so that the most end in time.

        Where the work does not fit, which jobs are late is a matter of order alone. A team's
        limit is all it will ever get; the cores that there are or that are coming are all
        that can be had for now. Urgent work goes first.
        """
        lines: dict[str, list[Line]] = {}
        urgent: dict[str, float] = {}
        # Replicas have no end: what they hold, or soon will, is no team's to share out.
        standing: dict[str, float] = {}
        for job in self._cluster.open_jobs.values():
            team = self._teams.get(job.spec.team)
            if team is None:
                continue
            if job.is_service:
                standing[team.name] = standing.get(team.name, 0.0) + job.task_count * job.spec.cpus
                continue
            each = self._run_times.expected(job).total_seconds()
            # Of what runs, about half is still to do.
            work = (len(job.pending_tasks) + len(job.allocations) / 2) * job.spec.cpus * each
            own = max(each, work / team.cpu_quota) if job.pending_tasks else 0.0
            if (job.submitted_at + job.deadline - now).total_seconds() < own:
                job.target_deadline = job.latest_deadline
            if job.urgent:
                urgent[team.name] = urgent.get(team.name, 0.0) + work
                continue
            due = (job.submitted_at + job.target_deadline - now).total_seconds()
            lines.setdefault(team.name, []).append(Line(job.id, due, work, own))
        last: set[str] = set()
        for name, line in lines.items():
            own_cores = self._teams[name].cpu_quota - standing.get(name, 0.0)
            if own_cores > 0:
                last |= jobs_to_put_off(line, own_cores, urgent.get(name, 0.0))
        cores = sum(machine.cpus for machine in self._cluster.machines.values() if machine.provides_capacity(now))
        cores -= sum(standing.values())
        if cores > 0:
            rest = [one for line in lines.values() for one in line if one.job_id not in last]
            last |= jobs_to_put_off(rest, cores, sum(urgent.values()))
        return last

    def _want(self, job: Job, order: tuple[float, ...], count: int) -> TaskRequest:
        spec = job.spec
        return TaskRequest(
            job_id=job.id,
            team=spec.team,
            sort_key=order,
            count=count,
            cpus=spec.cpus,
            gpus=spec.gpus,
            memory_gb=spec.ram_gb,
            image=spec.image,
            image_gb=spec.image_gb,
            machine_types=job.machine_types,
            zone=spec.zone,
            spot=spec.spot,
            one_zone=spec.one_zone,
            tasks_by_zone=dict(job.tasks_by_zone) if spec.one_zone or spec.spread else {},
            max_per_zone=math.ceil(job.task_count / 2) if spec.spread else math.inf,
            excluded_machines=job.failed_machines,
            urgent=job.urgent,
            priority_rank=job.priority_rank,
            record_bytes_per_job=entry_size(job.id),
            record_bytes_per_task=task_size(job.task_count, self._attempts.last + MOST_PLACED),
            preferred_max_per_machine=math.ceil(job.task_count / APART) if job.is_service else math.inf,
            tasks_by_machine=Counter(allocation.machine.name for allocation in job.allocations.values())
            if job.is_service
            else {},
        )

    def _make_room(
        self, requests: list[TaskRequest], remaining_quotas: dict[str, RemainingQuota], now: timedelta
    ) -> None:
        """Urgent work that lacks room requeues deferrable work."""
        slots = {
            machine.name: _slot(machine, self._cluster)
            for machine in self._cluster.up_machines()
            if machine.is_schedulable
        }
        candidates: dict[str, list[PreemptionCandidate]] = {}
        for name, slot in slots.items():
            machine = self._cluster.machines[name]
            held = candidates[name] = []
            for allocation in machine.allocations.values():
                spec = allocation.job.spec
                if allocation.stop_mode is not None:
                    # Already on its way out: its room is not asked for twice.
                    slot.cpus += spec.cpus
                    slot.gpus += spec.gpus
                    slot.memory_gb += spec.ram_gb
                    remaining_quotas[spec.team].cpus += spec.cpus
                    remaining_quotas[spec.team].gpus += spec.gpus
                elif (
                    not allocation.job.urgent
                    and allocation.state is not AllocationState.CHECKPOINTING
                    and not (len(allocation.job.allocations) == 1 and _unbegun(allocation.job, now))
                ):
                    held.append(
                        PreemptionCandidate(
                            allocation.attempt,
                            machine.name,
                            spec.team,
                            spec.cpus,
                            spec.gpus,
                            spec.ram_gb,
                            self._loss(allocation, now),
                            allocation.job.priority_rank,
                        )
                    )
        place(requests, slots.values(), remaining_quotas)
        for request in requests[:MOST_PREEMPTING]:
            if request.count <= 0:
                continue
            for candidate in preempt(request, slots, candidates, remaining_quotas[request.team]):
                allocation = self._cluster.machines[candidate.machine].allocations[candidate.attempt]
                log.debug("%s/%s gives way to %s", allocation.job.id, allocation.task, request.job_id)
                allocation.stop_mode = StopMode.CHECKPOINT

    def _loss(self, allocation: Allocation, now: timedelta) -> timedelta:
        if allocation.started_at is None:
            return ZERO
        if allocation.job.spec.makes_checkpoints:
            return seconds(allocation.job.spec.checkpoint_duration_s)
        return now - allocation.started_at

    def _stop_for_recall(self, now: timedelta) -> None:
        """On a machine that will be taken: what can't end in time is stopped, saved if it can be."""
        for machine in self._cluster.up_machines():
            if machine.interruption_at is None:
                continue
            left = machine.interruption_at - now
            for allocation in machine.allocations.values():
                if allocation.stop_mode is not None or self._ends_within(allocation, left, now):
                    continue
                if allocation.job.is_service and not self._should_move(allocation, left):
                    continue
                allocation.stop_mode = StopMode.CHECKPOINT

    def _should_move(self, allocation: Allocation, left: timedelta) -> bool:
        """A replica is moved as soon as another machine has room for it; until then it serves on."""
        stopping = self._heartbeat_interval * LAST_CALL + seconds(allocation.job.spec.checkpoint_duration_s)
        if allocation.started_at is None or left < stopping:
            return True
        return self.has_room(allocation)

    def has_room(self, allocation: Allocation) -> bool:
        """Another machine has room for the task, once it is off this one."""
        request = self.request_of(allocation.job)
        zone = allocation.machine.zone
        if zone in request.tasks_by_zone:
            request.tasks_by_zone[zone] -= 1
        return any(
            fits(request, _slot(machine, self._cluster), RemainingQuota())
            for machine in self._cluster.up_machines()
            if machine.is_schedulable
            and not machine.draining
            and machine is not allocation.machine
            and machine.free_cpus >= request.cpus
        )

    def request_of(self, job: Job) -> TaskRequest:
        """One task of the job, whether any waits or not."""
        return self._want(job, (), 1)

    def _ends_within(self, allocation: Allocation, left: timedelta, now: timedelta) -> bool:
        if allocation.started_at is None or allocation.job.is_service:
            return False
        return self._run_times.expected(allocation.job) - (now - allocation.started_at) < left


def _unbegun(job: Job, now: timedelta) -> bool:
    """A job that has waited for long and of which no task is done: its first one is not put off."""
    return not job.done_count and now - job.submitted_at > BEGIN


def _split(request: TaskRequest, count: int, order: tuple[float, ...]) -> TaskRequest:
    """Moves `count` of the tasks to another place in the order; the zones stay shared."""
    request.count -= count
    return replace(request, sort_key=order, count=count)


# An allocation in one of these states has its image fetched still.
_COMING = frozenset({AllocationState.PLANNED, AllocationState.COMMITTED, AllocationState.FETCHING})


def _slot(machine: Machine, cluster: ClusterState) -> FreeCapacity:
    return FreeCapacity(
        name=machine.name,
        machine_type=machine.machine_type,
        zone=machine.zone,
        spot=machine.spot,
        cpus=machine.free_cpus,
        gpus=machine.gpus - machine.gpus_used,
        memory_gb=machine.memory_gb - machine.memory_gb_used,
        price_per_core=machine.price_per_core,
        image_fetch_rate=machine.image_fetch_rate,
        cached_images=machine.cached_images,
        images_being_fetched={
            allocation.job.spec.image
            for allocation in machine.allocations.values()
            if allocation.state in _COMING and allocation.job.spec.image not in machine.cached_images
        },
        record_bytes_left=cluster.record_bytes_left(machine),
        draining=machine.draining,
    )


def may_ever_run(job: TaskRequest, limit: Team, types: list[tuple[str, float, float, float, list[str]]]) -> str | None:
    """Why the job can never run, or None; `count` of its tasks must be able to run at once.

    `types`: name, cpus, cards, memory, zones.
    """
    if job.cpus * job.count > limit.cpu_quota or job.gpus * job.count > limit.gpu_quota:
        who = "one task needs" if job.count == 1 else "its replicas together need"
        return f"{who} more than the team's limit"
    for name, cpus, gpus, ram, zones in types:
        if job.machine_types is not None and name not in job.machine_types:
            continue
        if job.zone is not None and job.zone not in zones:
            continue
        if job.cpus <= cpus and job.gpus <= gpus and job.memory_gb <= ram:
            return None
    return "a task fits no allowed machine type"
