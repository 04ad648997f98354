"""The users' requests as the leader carries them out: from a complete state, and only what is durable."""

from dataclasses import dataclass
from datetime import timedelta

from elmthread.api.cancellation import CancellationHandler
from elmthread.api.job_writes import JobWrites
from elmthread.api.status import StatusReporter
from elmthread.api.submission import SubmissionHandler
from elmthread.api.validation import JobValidator
from elmthread.cluster.job_factory import JobFactory
from elmthread.cluster.leases import WorkerLeases
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Response
from elmthread.store.job_spec import JobSpec


@dataclass(frozen=True)
class RequestLimits:
    """What users' requests are held to."""

    # Submissions and cancellations that may wait for the store at a time.
    max_waiting: int
    # How soon after a confirmed cancellation no task may run any more.
    cancellation_time: timedelta


class JobService:
    """All that users can ask of the leader, in one term."""

    def __init__(
        self,
        context: TermContext,
        factory: JobFactory,
        validator: JobValidator,
        leases: WorkerLeases,
        limits: RequestLimits,
    ) -> None:
        """`leases` says when a machine that is not reached has ended its tasks."""
        self._term = context.term
        writes = JobWrites(context, limits.max_waiting)
        self._status = StatusReporter(context, leases, limits.cancellation_time)
        self._submissions = SubmissionHandler(context, factory, validator, writes, self._status)
        self._cancellations = CancellationHandler(context, writes, self._status)

    @property
    def fencing_token(self) -> int:
        """The term's token."""
        return self._term.fencing_token

    def holds_lease(self) -> bool:
        """Return whether responses may still leave; asked right before one does."""
        return self._term.holds_lease()

    async def submit(self, job_id: str, spec: JobSpec | None, fault: str | None) -> Response:
        """Accept a job, or answer for one that was accepted before; without `spec`, `fault` says why."""
        return await self._submissions.submit(job_id, spec, fault)

    def status(self, job_id: str) -> Response:
        """Return the response to a request for a job's status."""
        return self._status.status(job_id)

    async def cancel(self, job_id: str) -> Response:
        """Cancel a job, or answer for one that has ended."""
        return await self._cancellations.cancel(job_id)
