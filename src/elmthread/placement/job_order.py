"""The order in which waiting jobs are placed.

One task of each starving job comes first. Then come urgent jobs by priority and deadline, jobs within their
team's guarantee, and other jobs by deadline. Jobs that are postponed so that as many others as possible meet
their deadlines come last.
"""

from datetime import timedelta

import msgspec

from elmthread.cluster import health
from elmthread.cluster.job import Job, JobState
from elmthread.cluster.run_times import RunTimeModel
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.placement.moore_hodgson import JobWork, jobs_to_postpone
from elmthread.placement.quotas import TeamQuotas
from elmthread.placement.requests import PlacementClass, RequestFactory, SortKey, TaskRequest

# The sets of guaranteed and postponed jobs are recomputed at this interval, and early if a job has been cancelled or if
# the write of a submission or cancellation has become durable. A job that completes is no reason to do so early.
REORDER_INTERVAL = seconds(1)
# A job submitted longer ago than this that has completed no task and runs none gets one task placed before all others.
# Postponed jobs submitted longer ago than this get tasks placed with those of on-time jobs, as long as all such
# postponed jobs together use at most POSTPONED_CORE_SHARE of the cores.
STARVATION_AGE = seconds(150)
POSTPONED_CORE_SHARE = 0.1


def is_starving(job: Job, now: timedelta) -> bool:
    """Return whether the job has waited for longer than STARVATION_AGE without completing a task."""
    return not job.done_count and now - job.submitted_at > STARVATION_AGE


class _Backlog(msgspec.Struct):
    """The remaining work by team: deferrable jobs, core-seconds of urgent jobs, and cores of services."""

    deferrable: dict[str, list[JobWork]] = msgspec.field(default_factory=dict)
    urgent_core_seconds: dict[str, float] = msgspec.field(default_factory=dict)
    service_cpus: dict[str, float] = msgspec.field(default_factory=dict)


class JobOrder:
    """Creates requests for the waiting tasks of all jobs, in placement order."""

    def __init__(
        self, context: TermContext, quotas: TeamQuotas, requests: RequestFactory, run_times: RunTimeModel
    ) -> None:
        """Use `run_times` to estimate how long tasks run."""
        self._cluster = context.cluster
        self._events = context.events
        self._quotas = quotas
        self._requests = requests
        self._run_times = run_times
        self._guaranteed: set[str] = set()
        self._postponed: set[str] = set()
        self._last_reorder_at: timedelta | None = None

    def requests(self, now: timedelta) -> list[TaskRequest]:
        """Return the waiting requests in placement order."""
        if (
            self._events.take_jobs_changed()
            or self._last_reorder_at is None
            or now - self._last_reorder_at >= REORDER_INTERVAL
        ):
            self._last_reorder_at = now
            self._guaranteed = self._quotas.guaranteed_jobs()
            self._postponed = self._jobs_to_postpone(now)
        requests: list[TaskRequest] = []
        postponed: list[tuple[timedelta, TaskRequest]] = []
        for job in self._cluster.open_jobs.values():
            count = len(job.pending_tasks)
            if not count or job.durable_state is not JobState.OPEN or job.retry_at > now:
                continue
            health.release_avoided_machines(job, now)
            sort_key = self._sort_key(job, now)
            request = self._requests.make(job, sort_key, count)
            requests.append(request)
            if is_starving(job, now) and not job.allocations:
                # Every job makes some progress under any load.
                first_task = SortKey(PlacementClass.FIRST_TASK, job.priority_rank, sort_key.due_s)
                requests.append(request.split_off(1, first_task))
            if sort_key.placement_class is PlacementClass.POSTPONED and now - job.submitted_at > STARVATION_AGE:
                postponed.append((job.submitted_at, request))
        if postponed:
            requests += self._promote_postponed(postponed)
        requests.sort(key=lambda request: request.sort_key)
        return requests

    def _sort_key(self, job: Job, now: timedelta) -> SortKey:
        due_s = (job.submitted_at + job.target_deadline - now).total_seconds()
        if job.urgent:
            return SortKey(PlacementClass.URGENT, job.priority_rank, due_s)
        if job.id in self._guaranteed:
            return SortKey(PlacementClass.GUARANTEED, 0, due_s)
        if job.id in self._postponed:
            return SortKey(PlacementClass.POSTPONED, 0, due_s)
        return SortKey(PlacementClass.ON_TIME, 0, due_s)

    def _promote_postponed(self, postponed: list[tuple[timedelta, TaskRequest]]) -> list[TaskRequest]:
        """Split off tasks of the postponed requests, oldest job first, to be placed with those of on-time jobs.

        With the tasks that they already run, these jobs get at most POSTPONED_CORE_SHARE of the cores.
        """
        requests = []
        cores = POSTPONED_CORE_SHARE * sum(
            machine.cpus for machine in self._cluster.up_machines() if machine.is_schedulable
        )
        for _, request in sorted(postponed, key=lambda entry: entry[0]):
            cores -= len(self._cluster.jobs[request.job_id].allocations) * request.cpus
            count = min(request.count, int(cores / request.cpus))
            if count > 0:
                cores -= count * request.cpus
                requests.append(request.split_off(count, SortKey(PlacementClass.ON_TIME, 0, request.sort_key.due_s)))
        return requests

    def _jobs_to_postpone(self, now: timedelta) -> set[str]:
        """Choose the deferrable jobs to place last, so that as many others as possible meet their deadlines.

        Jobs are chosen for each team within its quota, and then for all teams within the cores that are up or
        booting. Urgent work is assumed to run first.
        """
        backlog = self._backlog(now)
        postponed: set[str] = set()
        for team, jobs in backlog.deferrable.items():
            cores = self._quotas.teams[team].cpu_quota - backlog.service_cpus.get(team, 0.0)
            if cores > 0:
                postponed |= jobs_to_postpone(jobs, cores, backlog.urgent_core_seconds.get(team, 0.0))
        cores = sum(machine.cpus for machine in self._cluster.machines.values() if machine.provides_capacity(now))
        cores -= sum(backlog.service_cpus.values())
        if cores > 0:
            others = [job for jobs in backlog.deferrable.values() for job in jobs if job.job_id not in postponed]
            postponed |= jobs_to_postpone(others, cores, sum(backlog.urgent_core_seconds.values()))
        return postponed

    def _backlog(self, now: timedelta) -> _Backlog:
        """Sum up the remaining work, and update the target deadline by which each job is ordered."""
        backlog = _Backlog()
        for job in self._cluster.open_jobs.values():
            team = self._quotas.teams.get(job.spec.team)
            if team is None:
                continue
            if job.is_service:
                # Replicas run indefinitely, so other jobs can't use their cores.
                cpus = job.task_count * job.spec.cpus
                backlog.service_cpus[team.name] = backlog.service_cpus.get(team.name, 0.0) + cpus
                continue
            run_time_s = self._run_times.expected_run_time(job).total_seconds()
            # On average, about half of the work of a running task is left.
            core_seconds = (len(job.pending_tasks) + len(job.allocations) / 2) * job.spec.cpus * run_time_s
            min_duration_s = max(run_time_s, core_seconds / team.cpu_quota) if job.pending_tasks else 0.0
            if (job.submitted_at + job.deadline - now).total_seconds() < min_duration_s:
                job.target_deadline = job.latest_deadline
            if job.urgent:
                urgent = backlog.urgent_core_seconds
                urgent[team.name] = urgent.get(team.name, 0.0) + core_seconds
                continue
            due_s = (job.submitted_at + job.target_deadline - now).total_seconds()
            work = JobWork(job.id, due_s, core_seconds, min_duration_s)
            backlog.deferrable.setdefault(team.name, []).append(work)
        return backlog
