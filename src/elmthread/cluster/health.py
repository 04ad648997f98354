"""Task failures: attributes them to the machine or to the job.

A machine is quarantined when tasks of different jobs fail on it, or when a job fails on it that runs
elsewhere. A job that fails on several machines and runs on no more than those is itself suspect: it is
retried with exponential backoff, and no machine is quarantined. In both cases the job avoids the machines
where it has failed for a while, because a machine on which tasks fail at once always has room and would be
given the same tasks again.
"""

from datetime import timedelta

from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.common.clock import ZERO, seconds

# Pauses before a job is tried again.
MIN_BACKOFF = seconds(2)
MAX_BACKOFF = seconds(120)
REFUSAL_BACKOFF = seconds(1)
# A job that has failed on this many machines, and runs on no more than those, is suspect.
MACHINES_FOR_SUSPECT_JOB = 3
# A machine is quarantined once this many jobs have failed there, or one that runs elsewhere this often.
FAILURES_FOR_QUARANTINE = 2
# A task that has run for this long has not failed at its start.
START_UP_TIME = seconds(3)
# A replica that has run for this long is started again without a pause when it ends.
STEADY_RUN_TIME = seconds(30)
# A job that fails everywhere must still be tried: what it avoids is bounded in number and time.
MAX_AVOIDED_MACHINES = 20
AVOIDANCE_TIME = seconds(60)


def record_failure(machine: Machine, job: Job, now: timedelta) -> None:
    """Record a failed task: quarantine the machine, back off the job, or only let it avoid the machine."""
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
    """Record a completed task, which clears the earlier failures of the job on the machine and of the machine."""
    job.backoff = ZERO
    job.failed_machines.discard(machine.name)
    machine.failures_by_job.clear()


def has_run_steadily(allocation: Allocation, now: timedelta) -> bool:
    """Return whether the task has run for so long that its end does not count as a failed start."""
    return allocation.started_at is not None and now - allocation.started_at >= STEADY_RUN_TIME


def record_replica_end(allocation: Allocation, now: timedelta) -> None:
    """Record that a replica ended without being stopped, which is no fault of the machine.

    It is restarted at once, or after a pause if it ended soon after its start.
    """
    if has_run_steadily(allocation, now):
        allocation.job.backoff = ZERO
    else:
        _back_off(allocation.job, now)


def record_refusal(job: Job, now: timedelta) -> None:
    """Record that a machine refused a task; the pause is short, as its room is usually being freed."""
    job.retry_at = max(job.retry_at, now + REFUSAL_BACKOFF)


def release_avoided_machines(job: Job, now: timedelta) -> None:
    """Let the job use the machines on which it has failed again, once its last failure is long enough ago."""
    if job.failed_machines and now - job.last_failure_at > AVOIDANCE_TIME:
        job.failed_machines.clear()


def _back_off(job: Job, now: timedelta) -> None:
    """Double the job's pause; tasks that fail during a pause do not extend it."""
    if now >= job.retry_at:
        job.backoff = min(max(job.backoff * 2, MIN_BACKOFF), MAX_BACKOFF)
        job.retry_at = now + job.backoff


def _count_healthy_machines(job: Job, now: timedelta) -> int:
    """Return on how many machines the job runs past its start and has not failed; stops once above the failed ones."""
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
