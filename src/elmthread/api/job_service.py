"""The leader's side of the API: executes users' requests, and confirms only durable changes."""

from datetime import timedelta

import msgspec

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


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on users' requests."""

    # Maximum number of submissions and cancellations that wait for the store at the same time.
    max_waiting: int
    # All tasks of a job must have ended within this time after its cancellation was confirmed.
    cancellation_time: timedelta


class JobService:
    """Executes users' requests during one leadership term."""

    def __init__(
        self,
        context: TermContext,
        factory: JobFactory,
        validator: JobValidator,
        leases: WorkerLeases,
        limits: RequestLimits,
    ) -> None:
        """Initialize with `leases`, which tells by when an unreachable machine has ended its tasks."""
        self._term = context.term
        writes = JobWrites(context, limits.max_waiting)
        self._status = StatusReporter(context, leases, limits.cancellation_time)
        self._submissions = SubmissionHandler(context, factory, validator, writes, self._status)
        self._cancellations = CancellationHandler(context, writes, self._status)

    @property
    def fencing_token(self) -> int:
        """The fencing token of the term."""
        return self._term.fencing_token

    def holds_lease(self) -> bool:
        """Return whether the leader lease is valid; called right before a response is sent."""
        return self._term.holds_lease()

    async def submit(self, job_id: str, spec: JobSpec | None, error: str | None) -> Response:
        """Accept a job, or return the status of one accepted before; without `spec`, `error` tells what is invalid."""
        return await self._submissions.submit(job_id, spec, error)

    def status(self, job_id: str) -> Response:
        """Return the response to a request for a job's status."""
        return self._status.status(job_id)

    async def cancel(self, job_id: str) -> Response:
        """Cancel a job, or return the status of one that is finished."""
        return await self._cancellations.cancel(job_id)
