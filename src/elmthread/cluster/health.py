"""Attributes task failures to the machine or to the job.

A machine is quarantined when tasks of different jobs fail on it, or when a job that runs elsewhere fails on it
repeatedly. A job that has completed no task, fails on several machines, and runs well on no more machines than it
fails on, is itself suspect: it is retried with exponential backoff, and no machine is quarantined. In both cases the
job avoids, for a while, the machines on which it has failed: a machine on which tasks fail immediately always has
free capacity and would be given the same tasks again.
"""

from datetime import timedelta

from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.common.clock import ZERO, seconds

# Delays before a job is retried.
MIN_BACKOFF = seconds(2)
MAX_BACKOFF = seconds(120)
REFUSAL_BACKOFF = seconds(1)
# A job without a completed task is suspect if it has failed on at least this many machines, and runs well on no more
# machines than it has failed on.
MACHINES_FOR_SUSPECT_JOB = 3
# A machine is quarantined once this many jobs have failed on it, or once a job that runs elsewhere has failed on it
# this many times.
FAILURES_FOR_QUARANTINE = 2
# A task that has run for this long counts as started successfully.
START_UP_TIME = seconds(3)
# A replica that has run for this long is restarted without a delay when it ends.
STEADY_RUN_TIME = seconds(30)
# A job that fails everywhere must still be retried, so the machines it avoids are bounded in number and time.
MAX_AVOIDED_MACHINES = 20
AVOIDANCE_TIME = seconds(60)


def record_failure(machine: Machine, job: Job, now: timedelta) -> None:
    """Record a failed task: quarantine the machine, back off the job, or only make the job avoid the machine."""
    if len(job.failed_machines) >= MAX_AVOIDED_MACHINES:
        job.failed_machines.clear()
    job.failed_machines.add(machine.name)
    job.last_failure_at = now
    failures = machine.failures_by_job[job.id] = machine.failures_by_job.get(job.id, 0) + 1
    healthy = _count_healthy_machines(job, now)
    failed = len(job.failed_machines)
    if not job.done_count and failed >= MACHINES_FOR_SUSPECT_JOB and healthy <= failed:
        _back_off(job, now)
        return
    runs_elsewhere = job.done_count or healthy
    if len(machine.failures_by_job) >= FAILURES_FOR_QUARANTINE or (
        failures >= FAILURES_FOR_QUARANTINE and runs_elsewhere
    ):
        machine.quarantined = True


def record_success(machine: Machine, job: Job) -> None:
    """Record a completed task: reset the job's backoff, stop avoiding the machine, and clear the machine's failures."""
    job.backoff = ZERO
    job.failed_machines.discard(machine.name)
    machine.failures_by_job.clear()


def has_run_steadily(allocation: Allocation, now: timedelta) -> bool:
    """Return whether the task has run long enough that its end does not count as a failed start."""
    return allocation.started_at is not None and now - allocation.started_at >= STEADY_RUN_TIME


def record_replica_end(allocation: Allocation, now: timedelta) -> None:
    """Record the end of a replica that completed or had run steadily, which is not attributed to the machine.

    It is restarted immediately if it had run steadily, and otherwise with backoff.
    """
    if has_run_steadily(allocation, now):
        allocation.job.backoff = ZERO
    else:
        _back_off(allocation.job, now)


def record_refusal(job: Job, now: timedelta) -> None:
    """Record that a machine refused a task; the backoff is short, as the machine is usually freeing capacity."""
    job.retry_at = max(job.retry_at, now + REFUSAL_BACKOFF)


def release_avoided_machines(job: Job, now: timedelta) -> None:
    """Stop avoiding the machines on which the job has failed, once AVOIDANCE_TIME has passed since its last failure."""
    if job.failed_machines and now - job.last_failure_at > AVOIDANCE_TIME:
        job.failed_machines.clear()


def _back_off(job: Job, now: timedelta) -> None:
    """Double the job's backoff; tasks that fail during a backoff do not extend it."""
    if now >= job.retry_at:
        job.backoff = min(max(job.backoff * 2, MIN_BACKOFF), MAX_BACKOFF)
        job.retry_at = now + job.backoff


def _count_healthy_machines(job: Job, now: timedelta) -> int:
    """Count the machines on which the job runs past its start and has not failed, up to one more than it failed on."""
    healthy: set[str] = set()
    for allocation in job.allocations.values():
        if (
            allocation.state is AllocationState.RUNNING
            and allocation.started_at is not None
            and now - allocation.started_at >= START_UP_TIME
            and allocation.machine.name not in job.failed_machines
        ):
            healthy.add(allocation.machine.name)
            if len(healthy) > len(job.failed_machines):
                break
    return len(healthy)
