"""The remaining work of running tasks, computed once per job and machine in a round."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from elmthread.cluster.allocation import Allocation
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.cluster.run_times import RunTimeModel
from elmthread.cluster.state import ClusterState

# A task is expected to run for at least this part of its expected run time more.
MIN_REMAINING_PART = 0.2


class HeldWork(NamedTuple):
    """Cores that tasks hold, and the core-seconds that they still take."""

    cores: float
    core_seconds: float


class RunningWork:
    """Sums of one round, which are cached, as shares of machines overlap."""

    def __init__(self, cluster: ClusterState, run_times: RunTimeModel, now: timedelta) -> None:
        """`run_times` says how long tasks run; sums are computed when first needed."""
        self._cluster = cluster
        self._run_times = run_times
        self._now = now
        self._task_time_s: dict[str, float] = {}
        self._held: dict[str, HeldWork] = {}

    def task_time_s(self, job: Job) -> float:
        """Return how long a task of the job is expected to run."""
        task_time_s = self._task_time_s.get(job.id)
        if task_time_s is None:
            task_time_s = self._task_time_s[job.id] = self._run_times.expected_run_time(job).total_seconds()
        return task_time_s

    def on_machines(self, names: Iterable[str]) -> HeldWork:
        """Return what tasks, except replicas, hold on these machines."""
        cores = core_seconds = 0.0
        for name in names:
            held = self._held.get(name)
            if held is None:
                held = self._held[name] = self._on_machine(self._cluster.machines[name])
            cores += held.cores
            core_seconds += held.core_seconds
        return HeldWork(cores, core_seconds)

    def _on_machine(self, machine: Machine) -> HeldWork:
        cores = core_seconds = 0.0
        for allocation in machine.allocations.values():
            if not allocation.job.is_service:
                cpus = allocation.job.spec.cpus
                cores += cpus
                core_seconds += cpus * self._time_left_s(allocation)
        return HeldWork(cores, core_seconds)

    def _time_left_s(self, allocation: Allocation) -> float:
        whole_s = self.task_time_s(allocation.job)
        if allocation.started_at is None:
            return whole_s
        return max(whole_s - (self._now - allocation.started_at).total_seconds(), whole_s * MIN_REMAINING_PART)
