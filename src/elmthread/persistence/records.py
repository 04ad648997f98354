"""Converts jobs and machines to stored records, in the newest format that every controller reads."""

import msgspec

from elmthread.cluster.job import Job, JobState
from elmthread.cluster.machine import Machine
from elmthread.common.features import ActiveFeatures, Feature
from elmthread.store.done_marks import done_tasks
from elmthread.store.machine_records import AssignmentRunsRecord, MachineRecord, as_runs
from elmthread.store.pages import json_text, record_bytes
from elmthread.store.records import DoneBitmapRecord, DoneRecord, JobRecord, machine_key


def job_record(job: Job) -> JobRecord:
    """Return the stored record of a job."""
    if job.state is JobState.DONE:
        # The record of a done job is never deleted, so it is kept small.
        return JobRecord(job.state.value, job.task_count)
    spec = job.spec
    if job.state is JobState.CANCELLED:
        # Its tasks may stay on machines for a while, and a new leader must count their resources and its team's
        # usage. Where they may run no longer matters: without its list of machine types, the record is small
        # enough to be written even after the store's limit on values has been lowered.
        spec = msgspec.structs.replace(spec, job_class="-", image="-", machine_types=None, zone=None)
    return JobRecord(job.state.value, job.task_count, job.submission_time.timestamp(), job.tasks_per_chunk, spec)


def done_record(job: Job, chunk: int, features: ActiveFeatures) -> DoneRecord | DoneBitmapRecord:
    """Return the stored record of the done tasks of a chunk."""
    first_byte = chunk * job.tasks_per_chunk // 8
    marks = bytes(job.done_bits[first_byte : first_byte + job.tasks_per_chunk // 8])
    if not features.is_active(Feature.DONE_BITMAPS):
        return DoneRecord(marks.hex())
    from elmthread.store import bitmaps  # its library is loaded only where it is used

    return bitmaps.compress(marks, min(job.tasks_per_chunk, job.task_count - chunk * job.tasks_per_chunk))


def mark_done(job: Job, chunk: int, record: DoneRecord | DoneBitmapRecord) -> None:
    """Mark the done tasks of a chunk. Raises ValueError if the record is not a valid bitmap of the chunk."""
    first_task = chunk * job.tasks_per_chunk
    for task in done_tasks(record, job.tasks_per_chunk):
        job.mark_done(first_task + task)


def machine_record(machine: Machine, features: ActiveFeatures) -> MachineRecord | AssignmentRunsRecord:
    """Return the record of the machine's assignments, in the smaller of the formats that every controller reads."""
    pairs = _pairs_record(machine)
    if not features.is_active(Feature.ASSIGNMENT_RUNS) or not pairs.holds:
        return pairs
    runs = as_runs(pairs)
    # Placement computes the size of a machine's record as pairs, so no record may be larger than that.
    return runs if len(json_text(runs)) < len(json_text(pairs)) else pairs


def empty_machine_record_bytes(machine: Machine) -> int:
    """Return the maximum size in a page of the record of a machine without assignments."""
    record = MachineRecord(machine.machine_type, machine.zone, True, True, {"": []})
    return record_bytes(machine_key(machine.name), json_text(record))


def _pairs_record(machine: Machine) -> MachineRecord:
    holds: dict[str, list[int]] = {}
    for allocation in machine.allocations.values():
        holds.setdefault(allocation.job.id, []).extend((allocation.task, allocation.attempt))
    return MachineRecord(machine.machine_type, machine.zone, machine.spot, machine.in_deferrable_pool, holds)
