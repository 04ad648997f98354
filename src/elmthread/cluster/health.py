"""Faulty machines told from faulty jobs.

Tasks of different jobs failing on one machine speak against the machine, as does a job that
fails there while it runs elsewhere. One job failing on several machines and running nowhere
speaks against the job, which is then tried ever less often and blames none. Either way a job
is not tried again for a while where it has failed: a machine that fails at once has room at
once, and would be given the same tasks for ever.
"""

from datetime import timedelta

from elmthread.cluster.allocation import Allocation, AllocationState
from elmthread.cluster.job import Job
from elmthread.cluster.machine import Machine
from elmthread.common.clock import ZERO, seconds

FIRST_PAUSE = seconds(2)
LONGEST_PAUSE = seconds(120)
# A job that failed on this many machines and runs on no more than that is itself suspect.
MACHINES_OF_A_BAD_JOB = 3
FAILURES_OF_A_BAD_MACHINE = 2
# A task that has run for this long has not failed at its start.
SURVIVED = seconds(3)
# A replica that has served for this long and then ends is started again without a pause.
STEADY = seconds(30)
# A job that fails everywhere must still be tried: what it avoids is bounded in number and time.
MOST_AVOIDED = 20
AVOIDED = seconds(60)


def record_failure(machine: Machine, job: Job, now: timedelta) -> None:
    if len(job.failed_machines) >= MOST_AVOIDED:
        job.failed_machines.clear()
    job.failed_machines.add(machine.name)
    job.last_failure_at = now
    machine.failures_by_job[job.id] = machine.failures_by_job.get(job.id, 0) + 1
    fine = _runs_on(job, now)
    if not job.done_count and fine <= len(job.failed_machines) >= MACHINES_OF_A_BAD_JOB:
        _pause(job, now)
        return
    if len(machine.failures_by_job) >= FAILURES_OF_A_BAD_MACHINE or (
        machine.failures_by_job[job.id] >= FAILURES_OF_A_BAD_MACHINE and (job.done_count or fine)
    ):
        machine.quarantined = True


def record_success(machine: Machine, job: Job) -> None:
    job.backoff = ZERO
    job.failed_machines.discard(machine.name)
    machine.failures_by_job.clear()


def has_run_steadily(allocation: Allocation, now: timedelta) -> bool:
    """It has served for so long that its end says nothing about its start."""
    return allocation.started_at is not None and now - allocation.started_at >= STEADY


def record_replica_end(allocation: Allocation, now: timedelta) -> None:
    """A replica ended by itself, which is no fault of the machine: started again at once, but
    one that ends right after its start is not started in a loop.
    """
    if has_run_steadily(allocation, now):
        allocation.job.backoff = ZERO
    else:
        _pause(allocation.job, now)


def _pause(job: Job, now: timedelta) -> None:
    """Tried ever less often; tasks that fail together are one failure."""
    if now >= job.retry_at:
        job.backoff = min(max(job.backoff * 2, FIRST_PAUSE), LONGEST_PAUSE)
        job.retry_at = now + job.backoff


def release(job: Job, now: timedelta) -> None:
    if job.failed_machines and now - job.last_failure_at > AVOIDED:
        job.failed_machines.clear()


def record_refusal(job: Job, now: timedelta) -> None:
    # A refusal is soon over (room being freed, a job being uploaded): a short pause.
    job.retry_at = max(job.retry_at, now + seconds(1))


def _runs_on(job: Job, now: timedelta) -> int:
    """Machines on which the job's tasks have not failed and have run for a while; a few are enough."""
    fine: set[str] = set()
    for allocation in job.allocations.values():
        if (
            allocation.state is AllocationState.RUNNING
            and allocation.started_at is not None
            and now - allocation.started_at >= SURVIVED
            and allocation.machine.name not in job.failed_machines
        ):
            fine.add(allocation.machine.name)
            if len(fine) > len(job.failed_machines):
                break
    return len(fine)
