"""What the store holds: the keys and the form of each record.

`j/ID` a job, `d/ID/CHUNK` its done tasks, `m/NAME` a machine's assignments, `r/NAME` a
rental request, `t/types` the machine types. They stand packed in slots (`log.py`), all but
the leader key. An earlier form of the store had one key for each record; `layout` says that
none is to be looked for any more.
"""

from datetime import UTC, datetime

import msgspec

from elmthread.cluster.job import Job, JobState
from elmthread.store.job_spec import JobSpec
from elmthread.store.machine_type import MachineType
from elmthread.store.pages import json_text, record_bytes

LEADER = "leader"
TYPES = "t/types"
LAYOUT = "layout"
# Parts of the machine types, where all of them are more than a value may hold. An earlier version
# passes over them, and asks the cloud, as it does at its first start.
TYPE_PARTS = "y/"


def job_key(job_id: str) -> str:
    return f"j/{job_id}"


def done_key(job_id: str, chunk: int) -> str:
    return f"d/{job_id}/{chunk:04d}"


def machine_key(name: str) -> str:
    return f"m/{name}"


def types_records(types: list[MachineType], most: int) -> dict[str, list[MachineType]]:
    """The machine types as one record, or, where that is more than `most` bytes, as one for each."""
    if record_bytes(TYPES, json_text(types)) <= most:
        return {TYPES: types}
    return {f"{TYPE_PARTS}{number:04d}": [kind] for number, kind in enumerate(types)}


def rental_key(name: str) -> str:
    return f"r/{name}"


class JobRecord(msgspec.Struct, omit_defaults=True):
    state: str
    tasks: int
    at: float = 0.0
    chunk: int = 0
    spec: JobSpec | None = None


class RentalRecord(msgspec.Struct, rename={"machine_type": "build"}):
    machine_type: str
    zone: str
    spot: bool
    pool: bool = False


def job_record(job: Job) -> JobRecord:
    if job.state is JobState.OPEN:
        return JobRecord(
            job.state.value, job.task_count, job.submission_time.timestamp(), job.tasks_per_chunk, job.spec
        )
    if job.state is JobState.CANCELLED:
        # Tasks of a cancelled job may be on machines for a while: what they take, and whose
        # limit they count for, must outlive the leader that cancelled it. Where they may run
        # matters no more: a job with a long list that larger values once took must stay
        # cancellable where values have become smaller.
        spec = msgspec.structs.replace(job.spec, job_class="-", image="-", machine_types=None, zone=None)
        return JobRecord(job.state.value, job.task_count, job.submission_time.timestamp(), job.tasks_per_chunk, spec)
    # What is over is kept for ever, so it is kept small.
    return JobRecord(job.state.value, job.task_count)


def submitted_at(record: JobRecord) -> datetime:
    return datetime.fromtimestamp(record.at, UTC)
