"""Writes of job records to the store, and the requests that wait for them."""

import asyncio
import logging
from functools import partial

from elmthread.api import responses
from elmthread.cluster.job import Job
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Response
from elmthread.persistence.completions import job_record_for_write
from elmthread.store.records import job_key
from elmthread.store.write_queue import WritePriority
from elmthread.store.writer import WriterStoppedError

log = logging.getLogger(__name__)

# Users time out after 5 s; the response must be sent well before that.
DURABILITY_TIMEOUT = seconds(3.5)
# Once the store has accepted no transaction for this long, requests are rejected instead of waiting.
MAX_STORE_FAILURE_TIME = seconds(1)


class JobWrites:
    """Writes submitted and cancelled jobs to the store, and lets requests wait until the writes are durable."""

    def __init__(self, context: TermContext, max_waiting: int) -> None:
        """Allow at most `max_waiting` pending writes."""
        self._writer = context.writer
        self._events = context.events
        self._clock = context.clock
        self._max_waiting = max_waiting
        # Pending writes by job id.
        self._pending: dict[str, asyncio.Future[None]] = {}

    def check_admission(self) -> Response | None:
        """Return the rejection of a request that needs a write, or None if a write can be queued now."""
        failing_since = self._writer.failing_since
        if failing_since is not None and self._clock() - failing_since > MAX_STORE_FAILURE_TIME:
            return responses.retry("the state service does not answer", responses.RETRY_AFTER_OVERLOAD)
        if len(self._pending) >= self._max_waiting:
            log.info(
                "%s submissions and cancellations wait for the key-value store; no more are accepted",
                len(self._pending),
            )
            return responses.overloaded("too many submissions at once")
        return None

    def is_pending(self, job_id: str) -> bool:
        """Return whether a write of the job is pending."""
        return job_id in self._pending

    def write(self, job: Job) -> None:
        """Queue a write of the job; the record is made from the job's state when the write is sent."""
        pending_write = self._writer.write_and_wait(
            job_key(job.id), WritePriority.USER, partial(job_record_for_write, job), partial(self._mark_durable, job)
        )
        self._pending[job.id] = pending_write
        pending_write.add_done_callback(partial(self._on_write_done, job.id))

    async def wait_until_durable(self, job_id: str) -> Response | None:
        """Wait for a pending write of the job; return None, or an error response if it fails or times out."""
        pending_write = self._pending.get(job_id)
        if pending_write is None:
            return None
        try:
            async with asyncio.timeout(DURABILITY_TIMEOUT.total_seconds()):
                await asyncio.shield(pending_write)
        except (TimeoutError, WriterStoppedError):
            return responses.not_durable_yet()
        return None

    def _mark_durable(self, job: Job) -> None:
        job.durable_state = job.state_being_written
        self._events.notify_jobs_changed()

    def _on_write_done(self, job_id: str, pending_write: asyncio.Future[None]) -> None:
        if self._pending.get(job_id) is pending_write:
            del self._pending[job_id]
        if not pending_write.cancelled():
            # Retrieves the exception, as asyncio logs exceptions that are never retrieved.
            pending_write.exception()
