"""Restores a term's state from stored records: jobs, done tasks, assignments and machine types."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol

import msgspec

from elmthread.cluster.allocation import AllocationState
from elmthread.cluster.job import Job, JobPolicy, JobState
from elmthread.cluster.machine import InstanceKind, Machine, MachineState
from elmthread.common.clock import ZERO
from elmthread.common.features import SupportedLevels
from elmthread.leadership.context import TermContext
from elmthread.persistence.records import mark_done
from elmthread.store import records
from elmthread.store.done_marks import MAX_TASKS_PER_CHUNK, read_done
from elmthread.store.job_spec import BATCH, JobSpec
from elmthread.store.machine_records import read_machine
from elmthread.store.machine_type import MachineType
from elmthread.store.pages import UnreadableRecordError

# Records restored before yielding to the event loop: lease renewals must not wait for a large load.
RECORDS_PER_YIELD = 100


class JobCreator(Protocol):
    """Creates a job from its specification."""

    def new(self, spec: JobSpec, submitted_at: timedelta, submission_time: datetime | None = None) -> Job:
        """Create the job, submitted at `submitted_at` by the monotonic and `submission_time` by the wall clock."""


class StateRestorer:
    """Adds the jobs, machines and allocations of stored records to a term's cluster, in the order of dependence."""

    def __init__(self, context: TermContext, factory: JobCreator, supported: SupportedLevels) -> None:
        """Restore the cluster of `context` from records in formats of the `supported` levels."""
        self._writer = context.writer
        self._cluster = context.cluster
        self._clock = context.clock
        self._factory = factory
        self._supported = supported
        # The stored machine types, by name.
        self.machine_types: dict[str, MachineType] = {}

    async def restore(self, newest_records: Mapping[str, Any]) -> None:
        """Restore the state from records by key. Raises UnreadableRecordError, which names the key."""
        readers: tuple[tuple[str, Callable[[str, Any], None]], ...] = (
            (records.JOB_PREFIX, self._restore_job),
            (records.DONE_TASKS_PREFIX, self._restore_done_tasks),
            (records.MACHINE_PREFIX, self._restore_machine),
            (records.INSTANCE_REQUEST_PREFIX, self._discard_instance_request),
            (records.MACHINE_TYPE_PREFIX, self._restore_types),
            (records.MACHINE_TYPE_PARTS_PREFIX, self._restore_types),
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

    def _restore_job(self, key: str, value: Any) -> None:
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

    def _restore_done_tasks(self, key: str, value: Any) -> None:
        _, job_id, chunk = key.split("/")
        job = self._cluster.jobs.get(job_id)
        if job is not None and job.is_open:
            mark_done(job, int(chunk), read_done(value, self._supported))
        else:
            self._writer.delete(key)

    def _discard_instance_request(self, key: str, value: Any) -> None:
        # The cloud's machine list shows whether the request was fulfilled; its name is never reused.
        self._writer.delete(key)

    def _restore_types(self, key: str, value: Any) -> None:
        types = msgspec.convert(value, list[MachineType])
        self.machine_types.update((machine_type.name, machine_type) for machine_type in types)

    def _restore_machine(self, key: str, value: Any) -> None:
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
