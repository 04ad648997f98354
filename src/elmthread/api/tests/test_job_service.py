"""Responses to users' requests while the store is slow, fails and recovers."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, cast

from elmthread.api.job_service import JobService, RequestLimits
from elmthread.api.job_writes import DURABILITY_TIMEOUT
from elmthread.api.messages import read_submission
from elmthread.cluster.job import Job, JobPolicy, JobState
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Response
from elmthread.store.job_spec import JobSpec
from elmthread.store.write_queue import WritePriority
from tests.world.loop import SimLoop, play
from tests.world.specs import job as submission_body
from tests.world.term import StubTerm, term_context


class FakeWriter:
    """A store writer that makes nothing durable until a test calls `write_all`."""

    def __init__(self) -> None:
        self.pending: list[tuple[Callable[[], Any], Callable[[], None], asyncio.Future[None]]] = []
        self.failing_since: timedelta | None = None

    def write_and_wait(
        self, key: str, priority: WritePriority, make_value: Callable[[], Any], on_durable: Callable[[], None]
    ) -> asyncio.Future[None]:
        written = asyncio.get_running_loop().create_future()
        self.pending.append((make_value, on_durable, written))
        return written

    def write_all(self) -> None:
        for make_value, on_durable, written in self.pending:
            make_value()
            on_durable()
            written.set_result(None)
        self.pending.clear()


class FakeJobFactory:
    """A job factory whose jobs all have the same policy."""

    def new(self, spec: JobSpec, submitted_at: timedelta) -> Job:
        return Job(spec, datetime.now(UTC), submitted_at, JobPolicy(seconds(60), 1.5, False), 64)


class FakeValidator:
    """Accepts all jobs except those of one team."""

    is_ready = True

    def rejection_reason(self, spec: JobSpec) -> str | None:
        return "unknown team" if spec.team == "green" else None


def job_service(max_waiting: int = 5) -> tuple[SimLoop, FakeWriter, TermContext, JobService]:
    loop, writer, term = SimLoop(), FakeWriter(), StubTerm(7)
    asyncio.set_event_loop(loop)
    context = term_context(loop.clock, ClusterState(100), writer, term)
    leases = WorkerLeases(seconds(17), seconds(0))
    limits = RequestLimits(max_waiting, seconds(30))
    service = JobService(context, FakeJobFactory(), FakeValidator(), leases, limits)  # type: ignore[arg-type]
    return loop, writer, context, service


def submit(service: JobService, number: int) -> Coroutine[Any, Any, Response]:
    spec = read_submission(submission_body(number))
    return service.submit(spec.id, spec, None)


def test_only_durable_states_are_confirmed_and_pending_jobs_are_not_reported_as_unknown() -> None:
    loop, writer, context, service = job_service()

    async def main() -> None:
        first = asyncio.create_task(submit(service, 1))
        await asyncio.sleep(0.1)
        # Until the job is durable, its status is reported neither as known nor as unknown.
        assert service.status("run-000001").status == 503
        assert service.status("run-000002").status == 404
        started_at = loop.now
        response = await first
        assert (
            response.status == 503
            and response.retry_after
            and loop.now - started_at < DURABILITY_TIMEOUT.total_seconds() + 0.1
        )
        writer.write_all()
        await asyncio.sleep(0)
        assert (await submit(service, 1)).status == 200
        assert service.status("run-000001").status == 200
        # A cancellation is confirmed once it is durable; until then the status does not show it.
        cancellation = asyncio.create_task(service.cancel("run-000001"))
        await asyncio.sleep(0.1)
        assert service.status("run-000001").body["status"] == "queued"
        writer.write_all()
        assert (await cancellation).body["status"] == "cancelled"
        assert service.status("run-000001").body["status"] == "cancelled"
        # A leader whose lease may have expired confirms nothing, although it holds the job's state.
        cast(StubTerm, context.term).lease_valid = False
        assert (await submit(service, 1)).status == 503 and (await service.cancel("run-000001")).status == 503

    play(main(), loop)


def test_a_request_that_cannot_be_accepted_is_refused_at_once() -> None:
    loop, writer, context, service = job_service(max_waiting=5)

    async def main() -> None:
        submissions = [asyncio.create_task(submit(service, number)) for number in range(5)]
        await asyncio.sleep(0.01)
        started_at = loop.now
        over_limit = await submit(service, 9)
        assert over_limit.status == 429 and over_limit.retry_after and service.status("run-000009").status == 404
        writer.write_all()
        assert {(await task).status for task in submissions} == {201}
        assert service.status("run-000003").body["status"] == "queued"
        writer.failing_since = loop.clock() - seconds(1.5)
        rejected = await submit(service, 10)
        assert rejected.status == 503 and rejected.retry_after
        assert (await service.cancel("run-000003")).status == 503
        # Rejected requests have changed no state and queued no write.
        assert service.status("run-000003").body["status"] == "queued" and not writer.pending
        spec = read_submission(submission_body(11, crew="green"))
        assert (await service.submit(spec.id, spec, None)).status == 422
        assert (await service.submit("run-000012", None, "cpus: missing")).status == 400
        assert loop.now - started_at < 0.01
        assert context.cluster.jobs["run-000003"].state is JobState.OPEN

    play(main(), loop)
