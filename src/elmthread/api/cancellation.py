"""Cancellation of jobs by the leader, which is idempotent."""

from elmthread.api import responses
from elmthread.api.job_writes import JobWrites
from elmthread.api.messages import JobStatus, StatusName
from elmthread.api.status import StatusReporter
from elmthread.cluster.job import Job, JobState
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Response


class CancellationHandler:
    """Cancels jobs that are not finished."""

    def __init__(self, context: TermContext, writes: JobWrites, status: StatusReporter) -> None:
        """Initialize with `writes`, which persists a final state before it is confirmed; `status` builds responses."""
        self._cluster = context.cluster
        self._term = context.term
        self._events = context.events
        self._writes = writes
        self._status = status

    async def cancel(self, job_id: str) -> Response:
        """Cancel the job unless it is finished, and return the response once its final state is durable."""
        job = self._cluster.jobs.get(job_id)
        if job is None:
            return responses.unknown_job()
        if job.durable_state is None:
            failure = await self._writes.wait_until_durable(job_id)
            if failure is not None:
                return failure
        if job.is_open:
            rejection = self._writes.check_admission()
            if rejection is not None:
                return rejection
            self._cluster.close_job(job, JobState.CANCELLED)
            self._writes.write(job)
            self._events.notify_jobs_changed()
        failure = await self._persist_final_state(job)
        if failure is not None:
            return failure
        if not self._term.holds_lease():
            return responses.not_leading()
        final_state = StatusName.DONE if job.durable_state is JobState.DONE else StatusName.CANCELLED
        return self._status.respond(job, 200, JobStatus(job.id, final_state))

    async def _persist_final_state(self, job: Job) -> Response | None:
        if job.durable_state is job.state:
            return None
        if not self._writes.is_pending(job.id):
            self._writes.write(job)
        failure = await self._writes.wait_until_durable(job.id)
        if failure is not None:
            return failure
        return None if job.durable_state is job.state else responses.not_durable_yet()
