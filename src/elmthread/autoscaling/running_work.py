"""The remaining work of running tasks, computed once per job and machine in a round."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from elmthread.cluster.allocation import Allocation
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.cluster.run_times import RunTimeModel
from elmthread.cluster.state import ClusterState

# Minimum remaining time of a running task, as a fraction of its expected run time.
MIN_REMAINING_FRACTION = 0.2


class AllocatedWork(NamedTuple):
    """Cores allocated to tasks, and the core-seconds that these tasks still need."""

    cores: float
    core_seconds: float


class RunningWork:
    """Computes the remaining work in one round, cached by job and by machine, as sets of machines overlap."""

    def __init__(self, cluster: ClusterState, run_times: RunTimeModel, now: timedelta) -> None:
        """Use `run_times` to estimate how long tasks run; nothing is computed before it is needed."""
        self._cluster = cluster
        self._run_times = run_times
        self._now = now
        self._task_time_s: dict[str, float] = {}
        self._by_machine: dict[str, AllocatedWork] = {}

    def task_time_s(self, job: Job) -> float:
        """Return how long a task of the job is expected to run."""
        task_time_s = self._task_time_s.get(job.id)
        if task_time_s is None:
            task_time_s = self._task_time_s[job.id] = self._run_times.expected_run_time(job).total_seconds()
        return task_time_s

    def on_machines(self, names: Iterable[str]) -> AllocatedWork:
        """Return the allocated cores and remaining work of tasks on these machines, except replicas."""
        cores = core_seconds = 0.0
        for name in names:
            work = self._by_machine.get(name)
            if work is None:
                work = self._by_machine[name] = self._on_machine(self._cluster.machines[name])
            cores += work.cores
            core_seconds += work.core_seconds
        return AllocatedWork(cores, core_seconds)

    def _on_machine(self, machine: Machine) -> AllocatedWork:
        cores = core_seconds = 0.0
        for allocation in machine.allocations.values():
            if not allocation.job.is_service:
                cpus = allocation.job.spec.cpus
                cores += cpus
                core_seconds += cpus * self._time_left_s(allocation)
        return AllocatedWork(cores, core_seconds)

    def _time_left_s(self, allocation: Allocation) -> float:
        run_time_s = self.task_time_s(allocation.job)
        if allocation.started_at is None:
            return run_time_s
        return max(
            run_time_s - (self._now - allocation.started_at).total_seconds(), run_time_s * MIN_REMAINING_FRACTION
        )
