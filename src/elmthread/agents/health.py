"""Faulty machines told from faulty jobs.

Tasks of different jobs failing on one machine speak against the machine; one job failing on
several machines speaks against the job, which is then tried ever less often and blames none.
"""

from datetime import timedelta

from elmthread.common.clock import ZERO, seconds
from elmthread.placement.book import Job, Machine

FIRST_PAUSE = seconds(2)
LONGEST_PAUSE = seconds(120)
# A job that failed on this many machines without a success between is itself suspect.
MACHINES_OF_A_BAD_JOB = 3
FAILURES_OF_A_BAD_MACHINE = 2


class Health:
    def failed(self, machine: Machine, job: Job, now: timedelta) -> None:
        job.errors.add(machine.name)
        if len(job.errors) >= MACHINES_OF_A_BAD_JOB:
            job.backoff = min(max(job.backoff * 2, FIRST_PAUSE), LONGEST_PAUSE)
            job.retry_at = now + job.backoff
            return
        machine.failures[job.id] = machine.failures.get(job.id, 0) + 1
        # Several failures of one job count as well once the job has done tasks elsewhere.
        if len(machine.failures) >= FAILURES_OF_A_BAD_MACHINE or (
            machine.failures[job.id] >= FAILURES_OF_A_BAD_MACHINE and job.count_done > 0
        ):
            machine.suspect = True

    def succeeded(self, machine: Machine, job: Job) -> None:
        job.errors.clear()
        job.backoff = ZERO
        machine.failures.clear()

    def refused(self, job: Job, now: timedelta) -> None:
        # A refusal is soon over (room being freed, a job being uploaded): a short pause.
        job.retry_at = max(job.retry_at, now + seconds(1))
