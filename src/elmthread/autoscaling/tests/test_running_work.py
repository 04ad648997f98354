"""Tests of the remaining work on machines, against sums computed by hand."""

from datetime import UTC, datetime

import pytest

from elmthread.api.messages import read_submission
from elmthread.autoscaling.running_work import RunningWork
from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.job import Job, JobPolicy
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.cluster.run_times import RunTimeModel
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import ZERO, seconds
from tests.world.specs import daemon, job

NOW = seconds(100)


@pytest.fixture
def cluster() -> ClusterState:
    cluster = ClusterState(1000)
    cluster.add_machine(Machine("m", InstanceKind("large", "east", False), MachineState.UP, ZERO))
    return cluster


def allocate(cluster: ClusterState, number: int, spec: dict[str, object]) -> Allocation:
    new = Job(read_submission(spec), datetime.now(UTC), ZERO, JobPolicy(seconds(60), 1.5, False), 64)
    cluster.add_job(new)
    return cluster.allocate(cluster.machines["m"], new, 0, number, AllocationState.RUNNING)


def test_running_tasks_count_with_their_remaining_work_and_replicas_not_at_all(cluster: ClusterState) -> None:
    not_started = allocate(cluster, 1, job(1, expected_s=40.0))
    half_done = allocate(cluster, 2, job(2, expected_s=40.0))
    half_done.started_at = NOW - seconds(20)
    overdue = allocate(cluster, 3, job(3, expected_s=40.0))
    overdue.started_at = NOW - seconds(90)
    allocate(cluster, 4, daemon(4))
    cpus = not_started.job.spec.cpus
    work = RunningWork(cluster, RunTimeModel(), NOW).on_machines(["m"])
    assert work.cores == 3 * cpus
    assert work.core_seconds == pytest.approx(cpus * (40.0 + 20.0 + 8.0))
