"""Rebuilds a new leader's state from the store: jobs, done tasks, assignments and machine types."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import Any, Protocol

import msgspec

from elmthread.cluster.allocation import AllocationState
from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.job import Job, JobPolicy, JobState
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.common.clock import ZERO, seconds
from elmthread.common.features import SupportedLevels
from elmthread.leadership.context import TermContext
from elmthread.persistence.completions import CompletionRecorder
from elmthread.persistence.records import mark_done
from elmthread.store import messages, records
from elmthread.store.client import StoreUnavailableError, UnknownOutcomeError, read_prefix
from elmthread.store.done_marks import MAX_TASKS_PER_CHUNK, read_done
from elmthread.store.job_spec import BATCH, JobSpec
from elmthread.store.machine_records import read_machine
from elmthread.store.machine_type import MachineType
from elmthread.store.pages import PAGE_PREFIX, UnreadableRecordError
from elmthread.store.write_queue import WritePriority

log = logging.getLogger(__name__)

RETRY_PAUSE = seconds(0.2)
# Keys in one read of the store.
READ_PAGE_SIZE = 400
# Records loaded before the event loop runs other work: lease renewals must not wait for a large load.
RECORDS_PER_TURN = 100


class JobMaker(Protocol):
    """Makes a job from its specification."""

    def new(self, spec: JobSpec, submitted_at: timedelta, submission_time: datetime | None = None) -> Job:
        """Return the job, submitted at `submitted_at` by the clock and `submission_time` by the calendar."""


class CompatibilityLevel(Protocol):
    """The level of the stored forms, before which nothing else may be read."""

    @property
    def supported(self) -> SupportedLevels:
        """The levels whose forms this process reads."""

    @property
    def enabled(self) -> bool:
        """Whether the records of the level are read; the fence always is."""

    def load(self, items: Iterable[messages.KeyValue], packed_records: Mapping[str, Any], /) -> None:
        """Read the level and the fence. Raises an error for a level that this process does not read."""


class StateLoader:
    """Loads the state of one term, once."""

    def __init__(
        self,
        context: TermContext,
        factory: JobMaker,
        catalog: MachineTypeCatalog,
        completions: CompletionRecorder,
        level: CompatibilityLevel,
    ) -> None:
        """Load into the cluster of `context` and into `catalog`; `completions` ends jobs whose tasks are all done."""
        self._store = context.store
        self._writer = context.writer
        self._pages = context.writer.pages
        self._cluster = context.cluster
        self._clock = context.clock
        self._factory = factory
        self._catalog = catalog
        self._completions = completions
        self._level = level
        self._supported = level.supported
        self._types: dict[str, MachineType] = {}

    async def load(self) -> None:
        """Rebuild the state. Raises UnreadableRecordError, which names the key."""
        view = await self._read_view()
        await self._load_records(view)
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

    async def _read_view(self) -> dict[str, Any]:
        """Return the newest version of each record."""
        level = await self._read_all(records.ROLLOUT_PREFIX) if self._level.enabled else []
        pages = await self._read_all(PAGE_PREFIX)
        view = self._pages.load((item.key, item.value, item.mod_revision) for item in pages)
        # Nothing else may be interpreted on a level that this process does not read.
        self._level.load(level, view)
        view.pop(records.COMPATIBILITY_FENCE_KEY, None)
        if records.LAYOUT_KEY not in view:
            await self._migrate_earlier_layout(view)
        return view

    async def _load_records(self, view: dict[str, Any]) -> None:
        readers: tuple[tuple[str, Callable[[str, Any], None]], ...] = (
            (records.JOB_PREFIX, self._load_job),
            (records.DONE_TASKS_PREFIX, self._load_done_tasks),
            (records.MACHINE_PREFIX, self._load_machine),
            (records.INSTANCE_REQUEST_PREFIX, self._discard_instance_request),
            (records.MACHINE_TYPE_PREFIX, self._load_types),
            (records.MACHINE_TYPE_PARTS_PREFIX, self._load_types),
        )
        count = 0
        for prefix, read in readers:
            for key, value in view.items():
                if not key.startswith(prefix):
                    continue
                try:
                    read(key, value)
                except (msgspec.MsgspecError, ValueError) as error:
                    raise UnreadableRecordError(f"{key}: {error}") from error
                count += 1
                if count % RECORDS_PER_TURN == 0:
                    await asyncio.sleep(0)

    async def _migrate_earlier_layout(self, view: dict[str, Any]) -> None:
        """Pack the records that an earlier version wrote under keys of their own into pages."""
        found = [
            item
            for prefix in (
                records.JOB_PREFIX,
                records.DONE_TASKS_PREFIX,
                records.MACHINE_PREFIX,
                records.MACHINE_TYPE_PREFIX,
            )
            for item in await self._read_all(prefix)
            if item.key not in view
        ]
        remaining = len(found)

        def migrated() -> None:
            nonlocal remaining
            remaining -= 1
            if remaining <= 0:
                self._writer.write(records.LAYOUT_KEY, WritePriority.MAINTENANCE, lambda: records.PAGES_LAYOUT)

        for item in found:
            view[item.key] = item.value
            self._writer.write(item.key, WritePriority.MAINTENANCE, partial(_same, item.value), migrated)
        if not found:
            migrated()

    async def _read_all(self, prefix: str) -> list[messages.KeyValue]:
        return (await read_prefix(self._read_page, prefix, READ_PAGE_SIZE)).items

    async def _read_page(self, prefix: str, after: str | None, page_size: int) -> messages.RangePage:
        """Return one page, requested until the key-value store responds."""
        while True:
            try:
                return await self._store.read_page(prefix, after, page_size)
            except (StoreUnavailableError, UnknownOutcomeError) as error:
                log.info("reading the records under %s failed, trying again: %s", prefix, error)
                await asyncio.sleep(RETRY_PAUSE.total_seconds())

    def _load_job(self, key: str, value: Any) -> None:
        record = msgspec.convert(value, records.JobRecord)
        state = JobState(record.state)
        if record.spec is None:
            spec = _finished_spec(key.removeprefix(records.JOB_PREFIX), record.tasks)
            policy = JobPolicy(deadline=ZERO, slack=1.0, urgent=False)
            job = Job(spec, datetime.now(UTC), self._clock(), policy, MAX_TASKS_PER_CHUNK)
        else:
            submission_time = record.submission_time
            age = max(timedelta(), datetime.now(UTC) - submission_time)
            job = self._factory.new(record.spec, self._clock() - age, submission_time)
            job.tasks_per_chunk = record.chunk
        job.state = job.durable_state = job.state_being_written = state
        if not job.is_open:
            job.pending_tasks.clear()
        if state is JobState.DONE:
            job.done_count = job.task_count
        self._cluster.add_job(job)

    def _load_done_tasks(self, key: str, value: Any) -> None:
        _, job_id, chunk = key.split("/")
        job = self._cluster.jobs.get(job_id)
        if job is not None and job.is_open:
            mark_done(job, int(chunk), read_done(value, self._supported))
        else:
            self._writer.delete(key)

    def _discard_instance_request(self, key: str, value: Any) -> None:
        # The machine list shows whether it was carried out; its name is never used again.
        self._writer.delete(key)

    def _load_types(self, key: str, value: Any) -> None:
        types = msgspec.convert(value, list[MachineType])
        self._types.update((machine_type.name, machine_type) for machine_type in types)

    def _load_machine(self, key: str, value: Any) -> None:
        record = read_machine(value, self._supported)
        kind = InstanceKind(record.machine_type, record.zone, record.spot)
        machine = Machine(key.removeprefix(records.MACHINE_PREFIX), kind, MachineState.UNCONFIRMED, self._clock())
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
    """Return a specification for a finished job, of which only its end is kept."""
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
