"""Responses with the status of jobs: only states that are durable and can't be reverted."""

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

# A worker kills its tasks within this time after its worker lease expires.
MAX_KILL_DELAY = seconds(1)
MAX_RETRY_AFTER = seconds(30)


class StatusReporter:
    """Builds the responses with the status of jobs."""

    def __init__(self, context: TermContext, leases: WorkerLeases, cancellation_time: timedelta) -> None:
        """Initialize with `cancellation_time`, within which all tasks must end once a cancellation is confirmed."""
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
            # The submission is not durable yet and may still be lost.
            return responses.not_durable_yet()
        return self.respond(job, 200, make_job_status(job))

    def respond(self, job: Job, status: int, job_status: JobStatus) -> Response:
        """Return the response with the job's status, or one that asks for a retry while the status can't be sent.

        Once a cancellation has been confirmed to a user, all tasks must end within the cancellation time. The
        tasks on an unreachable machine have ended once its worker lease has expired, including every renewal by this
        or an earlier leader. While that may be too late, the cancellation is not confirmed. The previous status is not
        sent either, as an earlier leader may have confirmed the cancellation.
        """
        if job.durable_state is not JobState.CANCELLED:
            return Response(status, job_status.to_body())
        machines = (allocation.machine for allocation in job.allocations.values())
        ended_by = max(map(self._leases.expires_by, machines), default=ZERO)
        wait = ended_by - self._clock() - reduce_for_drift(self._cancellation_time) + MAX_KILL_DELAY
        if wait <= ZERO:
            return Response(status, job_status.to_body())
        log.info("the cancellation of job %s can't be confirmed to users for %.1f s", job.id, wait.total_seconds())
        retry_after = min(max(wait, responses.RETRY_AFTER), MAX_RETRY_AFTER)
        return responses.retry("its tasks may not be gone in time", retry_after)


def make_job_status(job: Job) -> JobStatus:
    """Return the job's durable state with its task counts."""
    match job.durable_state:
        case JobState.DONE:
            return JobStatus(job.id, StatusName.DONE, job.task_count, 0)
        case JobState.CANCELLED:
            return JobStatus(job.id, StatusName.CANCELLED, job.done_count, 0)
    state = StatusName.RUNNING if job.running_count else StatusName.QUEUED
    return JobStatus(job.id, state, job.done_count, job.running_count)
