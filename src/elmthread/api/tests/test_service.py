"""What users are told, with a store that stalls, refuses and recovers."""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from elmthread.api.messages import read_submission
from elmthread.api.service import DURABLE_TIME, JobService, RequestLimits
from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.job import Job, JobPolicy, JobState
from elmthread.cluster.leases import WorkerLeases
from elmthread.cluster.state import ClusterState
from elmthread.common.clock import seconds
from elmthread.net.http_messages import Response
from elmthread.store.job_spec import JobSpec
from elmthread.store.machine_type import MachineType
from elmthread.store.write_queue import WritePriority
from tests.world.loop import SimLoop, play
from tests.world.specs import job as wire
from tests.world.term import SureTerm, term_context


class Store:
    """A writer that makes nothing durable until it is told to."""

    def __init__(self) -> None:
        self.waiting: list[tuple[Callable[[], Any], Callable[[], None], asyncio.Future[None]]] = []
        self.failing_since: timedelta | None = None

    def write_and_wait(
        self, key: str, rank: WritePriority, make: Callable[[], Any], after: Callable[[], None]
    ) -> asyncio.Future[None]:
        stored = asyncio.get_running_loop().create_future()
        self.waiting.append((make, after, stored))
        return stored

    def take(self) -> None:
        for make, after, stored in self.waiting:
            make()
            after()
            stored.set_result(None)
        self.waiting.clear()


class Jobs:
    """Takes all jobs but those of one team."""

    def new(self, spec: JobSpec, since: timedelta) -> Job:
        return Job(spec, datetime.now(UTC), since, JobPolicy(seconds(60), 1.5, False), 64)

    def can_run(self, spec: JobSpec, types: object) -> str | None:
        return "unknown team" if spec.team == "green" else None


def intake(most: int = 5) -> tuple[SimLoop, Store, SureTerm, JobService]:
    loop, store, term = SimLoop(), Store(), SureTerm(7)
    asyncio.set_event_loop(loop)
    context = term_context(loop.clock, ClusterState(100), store, term)
    catalog = MachineTypeCatalog(context.cluster, context.events)
    catalog.replace([MachineType("small", 4.0, 0.0, 8.0, 80.0, 0.2, 0.26, 0.1, 50.0, ["east"])])
    leases = WorkerLeases(seconds(17), seconds(0))
    limits = RequestLimits(most, seconds(30))
    one = JobService(context, Jobs(), catalog, leases, limits)  # type: ignore[arg-type]
    return loop, store, term, one


def submit(one: JobService, number: int) -> Coroutine[Any, Any, Response]:
    spec = read_submission(wire(number))
    return one.submit(spec.id, spec, None)


def test_nothing_is_told_before_it_is_durable_and_nothing_durable_is_denied() -> None:
    loop, store, lease, one = intake()

    async def main() -> None:
        first = asyncio.create_task(submit(one, 1))
        await asyncio.sleep(0.1)
        # Neither known nor unknown, to the same user or to any other.
        assert one.status("run-000001").status == 503
        assert one.status("run-000002").status == 404
        began = loop.now
        response = await first
        assert response.status == 503 and response.retry_after and loop.now - began < DURABLE_TIME.total_seconds() + 0.1
        store.take()
        await asyncio.sleep(0)
        assert (await submit(one, 1)).status == 200
        assert one.status("run-000001").status == 200
        # A withdrawal is told once that is durable; until then the job is neither.
        ending = asyncio.create_task(one.withdraw("run-000001"))
        await asyncio.sleep(0.1)
        assert one.status("run-000001").body["status"] == "queued"
        store.take()
        assert (await ending).body["status"] == "cancelled"
        assert one.status("run-000001").body["status"] == "cancelled"
        # Not sure of its lease: it says nothing, though it knows.
        lease.sure = False
        assert (await submit(one, 1)).status == 503 and (await one.withdraw("run-000001")).status == 503

    play(main(), loop)


def test_what_cannot_be_taken_is_answered_at_once() -> None:
    loop, store, _, one = intake(most=5)

    async def main() -> None:
        waiting = [asyncio.create_task(submit(one, number)) for number in range(5)]
        await asyncio.sleep(0.01)
        began = loop.now
        more = await submit(one, 9)
        assert more.status == 429 and more.retry_after and one.status("run-000009").status == 404
        store.take()
        assert {(await task).status for task in waiting} == {201}
        assert one.status("run-000003").body["status"] == "queued"
        store.failing_since = loop.clock() - seconds(1.5)
        refused = await submit(one, 10)
        assert refused.status == 503 and refused.retry_after
        assert (await one.withdraw("run-000003")).status == 503
        # What was not taken has changed nothing.
        assert one.status("run-000003").body["status"] == "queued" and not store.waiting
        spec = read_submission(wire(11, crew="green"))
        assert (await one.submit(spec.id, spec, None)).status == 422
        assert (await one.submit("run-000012", None, "cpus: missing")).status == 400
        assert loop.now - began < 0.01
        assert one._cluster.jobs["run-000003"].state is JobState.OPEN

    play(main(), loop)
