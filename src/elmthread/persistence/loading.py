"""A new leader's view, rebuilt from the store: jobs, done tasks, assignments, rentals in doubt, types."""

import asyncio
import logging
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import Any

import msgspec

from elmthread.api.jobs import JobFactory
from elmthread.cluster.allocation import AllocationState
from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.job import Job, JobState
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.persistence.completions import CompletionRecorder
from elmthread.rollout import records as rollout_messages
from elmthread.rollout.term import TermRollout
from elmthread.store import messages, records
from elmthread.store.assignments import read_machine
from elmthread.store.client import StoreUnavailableError, UnknownOutcomeError, read_all
from elmthread.store.done_marks import MOST_MARKS, mark_done, read_done
from elmthread.store.job_spec import BATCH, JobSpec
from elmthread.store.log import SLOTS, UnreadableRecordError
from elmthread.store.machine_type import MachineType
from elmthread.store.records import LAYOUT
from elmthread.store.writer import WritePriority

log = logging.getLogger(__name__)

RETRY = seconds(0.2)
PAGE = 400
# Records taken in before other work gets a turn: renewals must not wait for a large load.
BREATH = 100


class StateLoader:
    def __init__(
        self,
        context: TermContext,
        factory: JobFactory,
        catalog: MachineTypeCatalog,
        completions: CompletionRecorder,
        rollout: TermRollout,
    ) -> None:
        """`rollout` takes in the compatibility level, before which nothing else may be read."""
        self._store = context.store
        self._writer = context.writer
        self._pages = context.writer.pages
        self._cluster = context.cluster
        self._clock = context.clock
        self._factory = factory
        self._catalog = catalog
        self._completions = completions
        self._rollout = rollout
        self._supported = rollout.supported
        self._types: dict[str, MachineType] = {}

    async def load(self) -> None:
        """Rebuilds the view: jobs, done tasks, assignments, rentals in doubt, machine types."""
        level = await self._all(rollout_messages.PREFIX) if self._rollout.enabled else []
        view = self._pages.load((item.key, item.value, item.mod_revision) for item in await self._all(SLOTS))
        # Before anything else is read: on a level that is not known here, nothing may be.
        self._rollout.load(level, view)
        view.pop(rollout_messages.FENCE_KEY, None)
        if LAYOUT not in view:
            await self._adopt_earlier_layout(view)
        count = 0
        for prefix, read in (
            ("j/", self._read_job),
            ("d/", self._read_marks),
            ("m/", self._read_machine),
            ("r/", self._read_rental),
            ("t/", self._read_types),
            (records.TYPE_PARTS, self._read_types),
        ):
            for key, value in view.items():
                if key.startswith(prefix):
                    try:
                        read(key, value)
                    except (msgspec.MsgspecError, ValueError) as error:
                        raise UnreadableRecordError(f"{key}: {error}") from error
                    count += 1
                    if count % BREATH == 0:
                        await asyncio.sleep(0)
        if self._types:
            self._catalog.replace(self._types.values())
        for job in list(self._cluster.open_jobs.values()):
            job.rebuild_pending_tasks()
            if job.done_count == job.task_count:
                self._completions.record(job, 0, lambda: None)
        log.info(
            "loaded %s jobs, %s of them open, and %s machines",
            len(self._cluster.jobs),
            len(self._cluster.open_jobs),
            len(self._cluster.machines),
        )

    async def _adopt_earlier_layout(self, view: dict[str, Any]) -> None:
        """Takes over records that stand under keys of their own, as an earlier version wrote them."""
        found = [
            item for prefix in ("j/", "d/", "m/", "t/") for item in await self._all(prefix) if item.key not in view
        ]
        left = len(found)

        def taken_over() -> None:
            nonlocal left
            left -= 1
            if left <= 0:
                self._writer.write(LAYOUT, WritePriority.MAINTENANCE, lambda: 2)

        for item in found:
            view[item.key] = item.value
            self._writer.write(item.key, WritePriority.MAINTENANCE, partial(_same, item.value), taken_over)
        if not found:
            taken_over()

    async def _all(self, prefix: str) -> list[messages.KeyValue]:
        items, _ = await read_all(self._page, prefix, PAGE)
        return items

    async def _page(self, prefix: str, after: str | None, most: int) -> messages.Page:
        """One page, asked for until the state service answers."""
        while True:
            try:
                return await self._store.page(prefix, after, most)
            except (StoreUnavailableError, UnknownOutcomeError) as error:
                log.info("loading %s: %s", prefix, error)
                await asyncio.sleep(RETRY.total_seconds())

    def _read_job(self, key: str, value: Any) -> None:
        record = msgspec.convert(value, records.JobRecord)
        state = JobState(record.state)
        if record.spec is None:
            spec = _finished_spec(key.removeprefix("j/"), record.tasks)
            job = Job(spec, datetime.now(UTC), self._clock(), seconds(0), 1.0, False, MOST_MARKS)
        else:
            submitted = records.submitted_at(record)
            age = max(timedelta(), datetime.now(UTC) - submitted)
            job = self._factory.new(record.spec, self._clock() - age, submitted)
            job.tasks_per_chunk = record.chunk
        job.state = job.durable_state = job.state_being_written = state
        if not job.is_open:
            job.pending_tasks.clear()
        if state is JobState.DONE:
            job.done_count = job.task_count
        self._cluster.add_job(job)

    def _read_marks(self, key: str, value: Any) -> None:
        _, job_id, chunk = key.split("/")
        job = self._cluster.jobs.get(job_id)
        if job is not None and job.is_open:
            mark_done(job, int(chunk), read_done(value, self._supported))
        else:
            self._writer.delete(key)

    def _read_rental(self, key: str, value: Any) -> None:
        # Whether it was carried out shows in the machine list; the name is never used again.
        self._writer.delete(key)

    def _read_types(self, key: str, value: Any) -> None:
        self._types.update((kind.name, kind) for kind in msgspec.convert(value, list[MachineType]))

    def _read_machine(self, key: str, value: Any) -> None:
        record = read_machine(value, self._supported)
        name = key.removeprefix("m/")
        machine = Machine(
            name, InstanceKind(record.machine_type, record.zone, record.spot), MachineState.UNCONFIRMED, self._clock()
        )
        machine.in_deferrable_pool = record.pool
        self._cluster.add_machine(machine)
        for job_id, numbers in record.holds.items():
            job = self._cluster.jobs.get(job_id)
            if job is None:
                continue
            for task, attempt in zip(numbers[::2], numbers[1::2], strict=True):
                if not job.is_done(task) and job.state is not JobState.DONE:
                    self._cluster.allocate(machine, job, task, attempt, AllocationState.UNCONFIRMED)


def _finished_spec(job_id: str, tasks: int) -> JobSpec:
    """Of a job that is over only its end is kept; this fills the form."""
    return JobSpec(
        id=job_id,
        job_class="-",
        team="-",
        form=BATCH,
        priority="normal",
        tasks=tasks,
        cpus=1.0,
        gpus=0.0,
        ram_gb=0.0,
        image="-",
        image_gb=0.0,
        one_zone=False,
        spread=False,
        spot=True,
        expected_run_time_s=0.0,
        checkpoint_interval_s=0.0,
        checkpoint_duration_s=0.0,
    )


def _same(value: Any) -> Any:
    return value
