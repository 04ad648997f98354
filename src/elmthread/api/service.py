"""Users' requests, as the leader answers them: only from a complete view, only what is durable."""

import asyncio
import logging
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from typing import Any

from elmthread.api import messages
from elmthread.api.jobs import JobFactory
from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.job import Job, JobState
from elmthread.cluster.leases import WorkerLeases
from elmthread.common.clock import ZERO, at_most, seconds
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Response, retry_later
from elmthread.persistence.completions import make_job_record
from elmthread.store.job_spec import JobSpec
from elmthread.store.records import job_key
from elmthread.store.write_queue import WritePriority
from elmthread.store.writer import WriterStoppedError

log = logging.getLogger(__name__)

SOON = seconds(1)
# A user gives up after 5 s; an answer must leave well before.
DURABLE_TIME = seconds(3.5)
# The store has not taken a change for this long: say so at once instead of waiting.
FAILING = seconds(1)
# A worker kills its tasks this long after its lease has run out, at the latest.
LATE = seconds(1)
# Users come back after this at the latest.
LONGEST = seconds(30)


@dataclass(frozen=True)
class RequestLimits:
    """What users' requests are held to."""

    # Submissions and cancellations that may wait for the store at a time.
    max_waiting: int
    # How soon after a confirmed cancellation no task may run any more.
    cancellation_time: timedelta


class JobService:
    def __init__(
        self,
        context: TermContext,
        factory: JobFactory,
        catalog: MachineTypeCatalog,
        leases: WorkerLeases,
        limits: RequestLimits,
    ) -> None:
        """`leases` says when a machine that is not reached has ended its tasks."""
        self._cluster = context.cluster
        self._term = context.term
        self._writer = context.writer
        self._clock = context.clock
        self._events = context.events
        self._factory = factory
        self._catalog = catalog
        self._leases = leases
        self._limits = limits
        # Submissions and withdrawals on their way to the store, by job.
        self._storing: dict[str, asyncio.Future[None]] = {}

    @property
    def fencing_token(self) -> int:
        return self._term.fencing_token

    def sure(self) -> bool:
        """Asked right before an answer leaves."""
        return self._term.holds_lease()

    async def submit(self, job_id: str, job: JobSpec | None, fault: str | None) -> Response:
        known = self._cluster.jobs.get(job_id)
        if known is None:
            if fault is not None or job is None:
                return Response(400, {"error": fault or "malformed"})
            if not self._catalog.is_known:
                return retry_later(503, SOON, "machine types not known yet")
            reason = self._factory.can_run(job, self._catalog.types.values())
            if reason is not None:
                return Response(422, {"error": reason})
            busy = self._too_busy()
            if busy is not None:
                return busy
            known = self._factory.new(job, self._clock())
            self._cluster.add_job(known)
            log.info("%s: %s of %s, %s tasks of %s cpus", job.id, job.job_class, job.team, job.tasks, job.cpus)
            self._store(known)
        created = known.durable_state is None
        if created:
            failed = await self._stored(known.id)
            if failed is not None:
                return failed
        if not self._term.holds_lease():
            return retry_later(503, SOON, "not leading")
        return self._tell(known, Response(201 if created else 200, self._describe(known)))

    def _too_busy(self) -> Response | None:
        failing = self._writer.failing_since
        if failing is not None and self._clock() - failing > FAILING:
            return retry_later(503, seconds(2), "the state service does not answer")
        if len(self._storing) >= self._limits.max_waiting:
            log.info("%s submissions and withdrawals wait for the store: no more are taken", len(self._storing))
            return retry_later(429, seconds(2), "too many submissions at once")
        return None

    def _store(self, job: Job) -> None:
        def durable() -> None:
            job.durable_state = job.state_being_written
            self._events.notify_jobs_changed()

        stored = self._writer.write_and_wait(
            job_key(job.id), WritePriority.USER, partial(make_job_record, job), durable
        )
        self._storing[job.id] = stored

        def over(done: asyncio.Future[None]) -> None:
            if self._storing.get(job.id) is done:
                del self._storing[job.id]
            if not done.cancelled():
                done.exception()

        stored.add_done_callback(over)

    async def _stored(self, job_id: str) -> Response | None:
        """None once the job's record is durable; else what to tell the user now."""
        stored = self._storing.get(job_id)
        if stored is None:
            return None
        try:
            async with asyncio.timeout(DURABLE_TIME.total_seconds()):
                await asyncio.shield(stored)
        except (TimeoutError, WriterStoppedError):
            return retry_later(503, SOON, "not durable yet")
        return None

    def status(self, job_id: str) -> Response:
        job = self._cluster.jobs.get(job_id)
        if job is None:
            return Response(404, {"error": "no such job"})
        if job.durable_state is None:
            # Submitted, but not durable: neither known nor unknown.
            return retry_later(503, SOON, "not durable yet")
        return self._tell(job, Response(200, self._describe(job)))

    async def withdraw(self, job_id: str) -> Response:
        job = self._cluster.jobs.get(job_id)
        if job is None:
            return Response(404, {"error": "no such job"})
        if job.durable_state is None:
            failed = await self._stored(job_id)
            if failed is not None:
                return failed
        if job.is_open:
            busy = self._too_busy()
            if busy is not None:
                return busy
            self._cluster.close_job(job, JobState.CANCELLED)
            self._store(job)
            self._events.notify_jobs_changed()
        if job.durable_state is not job.state:
            if job_id not in self._storing:
                self._store(job)
            failed = await self._stored(job_id)
            if failed is not None:
                return failed
            if job.durable_state is not job.state:
                return retry_later(503, SOON, "not durable yet")
        if not self._term.holds_lease():
            return retry_later(503, SOON, "not leading")
        assert job.durable_state is not None
        return self._tell(job, Response(200, messages.status(job.id, job.durable_state.value)))

    def _tell(self, job: Job, response: Response) -> Response:
        """The answer that names the job's state, or when to ask again while that can't be told.

        From the moment a user hears `cancelled`, all must be gone within `cancel_s`. A machine that
        can't be reached is empty once its lease has run out, as this leader and every earlier one
        can have renewed it; where that might be later, nobody hears of it yet. Neither is an older
        state told: an earlier leader may have told this one.
        """
        if job.durable_state is JobState.CANCELLED:
            gone = max(
                (self._leases.expires_by(allocation.machine) for allocation in job.allocations.values()), default=ZERO
            )
            early = gone - self._clock() - at_most(self._limits.cancellation_time) + LATE
            if early > ZERO:
                log.info("%s is cancelled, which can't be told for %.1f s", job.id, early.total_seconds())
                return retry_later(503, min(max(early, SOON), LONGEST), "its tasks may not be gone in time")
        return response

    def _describe(self, job: Job) -> dict[str, Any]:
        """The job as the store has it; done and running counts are for display."""
        stored = job.durable_state
        if stored is JobState.OPEN or stored is None:
            return messages.status(
                job.id, "running" if job.running_count else "queued", job.done_count, job.running_count
            )
        done = job.task_count if stored is JobState.DONE else job.done_count
        return messages.status(job.id, stored.value, done, 0)
