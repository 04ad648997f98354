"""Writes of jobs to the store, and the requests that wait for them."""

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

# Users abandon a request after 5 s; the response must be sent well before.
DURABILITY_TIMEOUT = seconds(3.5)
# After this time without a transaction accepted by the store, requests are refused instead of waiting.
MAX_STORE_FAILURE_TIME = seconds(1)


class JobWrites:
    """Makes jobs durable whose submission or cancellation a user waits for."""

    def __init__(self, context: TermContext, max_waiting: int) -> None:
        """At most `max_waiting` writes may be pending."""
        self._writer = context.writer
        self._events = context.events
        self._clock = context.clock
        self._max_waiting = max_waiting
        # Pending writes, by job.
        self._pending: dict[str, asyncio.Future[None]] = {}

    def refuse_more(self) -> Response | None:
        """Return the response to a request that needs another write, if none can be accepted now."""
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
        """Queue a write of the job, in the state that it has when the write is sent."""
        written = self._writer.write_and_wait(
            job_key(job.id), WritePriority.USER, partial(job_record_for_write, job), partial(self._mark_durable, job)
        )
        self._pending[job.id] = written
        written.add_done_callback(partial(self._end, job.id))

    async def wait_until_durable(self, job_id: str) -> Response | None:
        """Wait for a pending write of the job; return None, or the response if that takes too long."""
        written = self._pending.get(job_id)
        if written is None:
            return None
        try:
            async with asyncio.timeout(DURABILITY_TIMEOUT.total_seconds()):
                await asyncio.shield(written)
        except (TimeoutError, WriterStoppedError):
            return responses.not_durable_yet()
        return None

    def _mark_durable(self, job: Job) -> None:
        job.durable_state = job.state_being_written
        self._events.notify_jobs_changed()

    def _end(self, job_id: str, written: asyncio.Future[None]) -> None:
        if self._pending.get(job_id) is written:
            del self._pending[job_id]
        if not written.cancelled():
            # Retrieved, as asyncio logs exceptions that nobody has retrieved.
            written.exception()
