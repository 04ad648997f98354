"""Responses with the status of jobs: only states that are durable and can't change back."""

import logging
from datetime import timedelta

from elmthread.api import responses
from elmthread.api.messages import JobStatus, StatusName
from elmthread.cluster.job import Job, JobState
from elmthread.cluster.leases import WorkerLeases
from elmthread.common.clock import ZERO, reduce_for_drift, seconds
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Response

log = logging.getLogger(__name__)

# A worker kills its tasks within this time after its lease has expired.
MAX_KILL_DELAY = seconds(1)
MAX_RETRY_AFTER = seconds(30)


class StatusReporter:
    """Makes the responses that state the status of jobs."""

    def __init__(self, context: TermContext, leases: WorkerLeases, cancellation_time: timedelta) -> None:
        """`cancellation_time`: within it after a confirmed cancellation, all tasks of the job must have ended."""
        self._cluster = context.cluster
        self._clock = context.clock
        self._leases = leases
        self._cancellation_time = cancellation_time

    def status(self, job_id: str) -> Response:
        """Return the response to a request for a job's status."""
        job = self._cluster.jobs.get(job_id)
        if job is None:
            return responses.unknown_job()
        if job.durable_state is None:
            # Not durable yet, so it may still be lost.
            return responses.not_durable_yet()
        return self.respond(job, 200, describe(job))

    def respond(self, job: Job, status: int, body: JobStatus) -> Response:
        """Return the response with the job's status, or one to retry later while the status can't be sent.

        Once a cancellation has been confirmed to a user, all tasks must end within `cancel_s`. A machine that
        can't be reached is empty once its worker lease has expired, with every renewal by this or an earlier
        leader. While that may be too late, the cancellation is not confirmed. An older status is not sent
        either, as an earlier leader may have confirmed the cancellation.
        """
        if job.durable_state is not JobState.CANCELLED:
            return Response(status, body.body())
        machines = (allocation.machine for allocation in job.allocations.values())
        ended_by = max(map(self._leases.expires_by, machines), default=ZERO)
        wait = ended_by - self._clock() - reduce_for_drift(self._cancellation_time) + MAX_KILL_DELAY
        if wait <= ZERO:
            return Response(status, body.body())
        log.info("the cancellation of job %s can't be confirmed to users for %.1f s", job.id, wait.total_seconds())
        after = min(max(wait, responses.RETRY_AFTER), MAX_RETRY_AFTER)
        return responses.retry("its tasks may not be gone in time", after)


def describe(job: Job) -> JobStatus:
    """Return the job's durable state with its counts of tasks."""
    match job.durable_state:
        case JobState.DONE:
            return JobStatus(job.id, StatusName.DONE, job.task_count, 0)
        case JobState.CANCELLED:
            return JobStatus(job.id, StatusName.CANCELLED, job.done_count, 0)
    state = StatusName.RUNNING if job.running_count else StatusName.QUEUED
    return JobStatus(job.id, state, job.done_count, job.running_count)
