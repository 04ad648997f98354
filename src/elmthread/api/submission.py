"""Submission of jobs to the leader, which is idempotent per job id."""

import logging

from elmthread.api import responses
from elmthread.api.job_writes import JobWrites
from elmthread.api.status import StatusReporter, make_job_status
from elmthread.api.validation import JobValidator
from elmthread.cluster.job import Job
from elmthread.cluster.job_factory import JobFactory
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Response
from elmthread.store.job_spec import JobSpec

log = logging.getLogger(__name__)


class SubmissionHandler:
    """Accepts jobs, and returns the status of jobs accepted before."""

    def __init__(
        self,
        context: TermContext,
        factory: JobFactory,
        validator: JobValidator,
        writes: JobWrites,
        status: StatusReporter,
    ) -> None:
        """Initialize with `writes`, which persists jobs before they are confirmed; `status` builds responses."""
        self._cluster = context.cluster
        self._term = context.term
        self._clock = context.clock
        self._factory = factory
        self._validator = validator
        self._writes = writes
        self._status = status

    async def submit(self, job_id: str, spec: JobSpec | None, error: str | None) -> Response:
        """Return the response once the job is durable; without `spec`, `error` tells what is invalid."""
        job = self._cluster.jobs.get(job_id)
        if job is None:
            rejection = self._find_rejection(spec, error)
            if rejection is not None:
                return rejection
            assert spec is not None
            job = self._accept(spec)
        is_new = job.durable_state is None
        if is_new:
            failure = await self._writes.wait_until_durable(job.id)
            if failure is not None:
                return failure
        if not self._term.holds_lease():
            return responses.not_leading()
        return self._status.respond(job, 201 if is_new else 200, make_job_status(job))

    def _find_rejection(self, spec: JobSpec | None, error: str | None) -> Response | None:
        if error is not None or spec is None:
            return responses.rejection(400, error or "malformed")
        if not self._validator.is_ready:
            return responses.retry("machine types not known yet")
        reason = self._validator.rejection_reason(spec)
        if reason is not None:
            return responses.rejection(422, reason)
        return self._writes.check_admission()

    def _accept(self, spec: JobSpec) -> Job:
        job = self._factory.new(spec, self._clock())
        self._cluster.add_job(job)
        log.info(
            "accepted job %s of class %s and team %s: %s tasks of %s CPUs",
            spec.id,
            spec.job_class,
            spec.team,
            spec.tasks,
            spec.cpus,
        )
        self._writes.write(job)
        return job
