"""Rebuilds a new leader's state from the store: jobs, done tasks, assignments and machine types."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from datetime import UTC, datetime, timedelta
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
from elmthread.persistence.layout_migration import LayoutMigration
from elmthread.persistence.records import mark_done
from elmthread.store import messages, records
from elmthread.store.client import StoreUnavailableError, UnknownOutcomeError, read_prefix
from elmthread.store.done_marks import MAX_TASKS_PER_CHUNK, read_done
from elmthread.store.job_spec import BATCH, JobSpec
from elmthread.store.machine_records import read_machine
from elmthread.store.machine_type import MachineType
from elmthread.store.pages import PAGE_PREFIX, UnreadableRecordError

log = logging.getLogger(__name__)

RETRY_PAUSE = seconds(0.2)
# Keys in one read of the store.
READ_PAGE_SIZE = 400
# Records loaded before yielding to the event loop: lease renewals must not wait for a large load.
RECORDS_PER_YIELD = 100


class JobCreator(Protocol):
    """Creates a job from its specification."""

    def new(self, spec: JobSpec, submitted_at: timedelta, submission_time: datetime | None = None) -> Job:
        """Create the job, submitted at `submitted_at` by the monotonic and `submission_time` by the wall clock."""


class CompatibilityLevel(Protocol):
    """The compatibility level of the stored records, which must be read before any other record."""

    @property
    def supported(self) -> SupportedLevels:
        """The levels whose formats this process reads."""

    @property
    def enabled(self) -> bool:
        """Whether the records under `rollout/`, which hold the active level, are read; the fence (`load`) always is."""

    def load(self, items: Iterable[messages.KeyValue], packed_records: Mapping[str, Any], /) -> None:
        """Read the active level from `items` and the compatibility fence from `packed_records`.

        Versions that know no levels can't read the fence, so they do not lead with formats that they would misread.
        Raises an error for a level that this process does not support.
        """


class StateLoader:
    """Loads the state of one term, once."""

    def __init__(
        self,
        context: TermContext,
        factory: JobCreator,
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
        newest_records = await self._read_newest_records()
        await self._load_records(newest_records)
        if self._types:
            self._catalog.replace(self._types.values())
        for job in list(self._cluster.open_jobs.values()):
            job.rebuild_pending_tasks()
            if job.done_count == job.task_count:
                self._completions.record(job, 0, lambda: None)
            elif job.spec.one_zone and len(job.tasks_by_zone) > 1:
                _log_ambiguous_zone(job)
        log.info(
            "loaded %s jobs, %s of them open, and %s machines",
            len(self._cluster.jobs),
            len(self._cluster.open_jobs),
            len(self._cluster.machines),
        )

    async def _read_newest_records(self) -> dict[str, Any]:
        """Return the newest version of each record, by key."""
        rollout_records = await self._read_all(records.ROLLOUT_PREFIX) if self._level.enabled else []
        pages = await self._read_all(PAGE_PREFIX)
        newest_records = self._pages.load((item.key, item.value, item.mod_revision) for item in pages)
        # No other record may be interpreted if this process does not support the level.
        self._level.load(rollout_records, newest_records)
        newest_records.pop(records.COMPATIBILITY_FENCE_KEY, None)
        if records.LAYOUT_KEY not in newest_records:
            await self._migrate_earlier_layout(newest_records)
        return newest_records

    async def _load_records(self, newest_records: dict[str, Any]) -> None:
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
            for key, value in newest_records.items():
                if not key.startswith(prefix):
                    continue
                try:
                    read(key, value)
                except (msgspec.MsgspecError, ValueError) as error:
                    raise UnreadableRecordError(f"{key}: {error}") from error
                count += 1
                if count % RECORDS_PER_YIELD == 0:
                    await asyncio.sleep(0)

    async def _migrate_earlier_layout(self, newest_records: dict[str, Any]) -> None:
        """Move records that an earlier version wrote under their own keys into pages."""
        migration = LayoutMigration(self._writer)
        found = [
            item
            for prefix in (
                records.JOB_PREFIX,
                records.DONE_TASKS_PREFIX,
                records.MACHINE_PREFIX,
                records.MACHINE_TYPE_PREFIX,
            )
            for item in await self._read_all(prefix)
            if item.key not in newest_records
        ]
        newest_records.update((item.key, item.value) for item in found)
        migration.start(found)

    async def _read_all(self, prefix: str) -> list[messages.KeyValue]:
        return (await read_prefix(self._read_page, prefix, READ_PAGE_SIZE)).items

    async def _read_page(self, prefix: str, after: str | None, page_size: int) -> messages.RangePage:
        """Return one page of the keys under the prefix, retrying until the key-value store responds."""
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
            spec = _placeholder_spec(key.removeprefix(records.JOB_PREFIX), record.tasks)
            policy = JobPolicy(deadline=ZERO, latest_deadline_factor=1.0, urgent=False)
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
        # The cloud's machine list shows whether the request was fulfilled; its name is never reused.
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


def _log_ambiguous_zone(job: Job) -> None:
    zones = ", ".join(f"{zone} ({count} tasks)" for zone, count in sorted(job.tasks_by_zone.items()))
    log.info("job %s is limited to one zone, but its stored assignments are in several: %s", job.id, zones)


def _placeholder_spec(job_id: str, tasks: int) -> JobSpec:
    """Return a placeholder specification for a done job, whose record no longer contains one."""
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
