"""The keys of the store, and the records stored under them.

`j/ID` is a job, `d/ID/CHUNK` its done tasks, `m/NAME` a machine's assignments, `r/NAME` an instance
request, `t/types` the machine types. All of them are packed into pages (`pages.py`); the leader key and
the records of a rollout are not. An earlier layout had one key for each record; the record `layout` marks
that all of these have been migrated.
"""

from datetime import UTC, datetime

import msgspec

from elmthread.store.job_spec import JobSpec
from elmthread.store.machine_type import MachineType
from elmthread.store.pages import json_text, record_bytes

LEADER_KEY = "leader"
LAYOUT_KEY = "layout"
PAGES_LAYOUT = 2
JOB_PREFIX = "j/"
DONE_TASKS_PREFIX = "d/"
MACHINE_PREFIX = "m/"
INSTANCE_REQUEST_PREFIX = "r/"
MACHINE_TYPE_PREFIX = "t/"
MACHINE_TYPES_KEY = "t/types"
# Parts of the machine types, used if one value can't hold them all. Earlier versions ignore the parts and
# read the types from the cloud.
MACHINE_TYPE_PARTS_PREFIX = "y/"
# The records of a staged rollout, which are not packed, and the packed record that keeps versions without
# compatibility levels from leading: they read its key and reject its format.
ROLLOUT_PREFIX = "rollout/"
COMPATIBILITY_FENCE_KEY = "t/compatibility"


def job_key(job_id: str) -> str:
    """Return the key of a job."""
    return f"{JOB_PREFIX}{job_id}"


def done_key(job_id: str, chunk: int) -> str:
    """Return the key of a chunk of a job's done tasks."""
    return f"{DONE_TASKS_PREFIX}{job_id}/{chunk:04d}"


def machine_key(name: str) -> str:
    """Return the key of a machine's assignments."""
    return f"{MACHINE_PREFIX}{name}"


def instance_request_key(name: str) -> str:
    """Return the key of an instance request."""
    return f"{INSTANCE_REQUEST_PREFIX}{name}"


def machine_type_records(types: list[MachineType], max_bytes: int) -> dict[str, list[MachineType]]:
    """Return the machine types as one record, or as one record per type if it would exceed `max_bytes`."""
    if record_bytes(MACHINE_TYPES_KEY, json_text(types)) <= max_bytes:
        return {MACHINE_TYPES_KEY: types}
    return {f"{MACHINE_TYPE_PARTS_PREFIX}{number:04d}": [machine_type] for number, machine_type in enumerate(types)}


class JobRecord(msgspec.Struct, omit_defaults=True):
    """A job; once it is done, only its state and its number of tasks are kept.

    `state` is the value of a `cluster.job.JobState`, `at` the time of submission in seconds since the
    epoch, `chunk` the number of tasks in each of its records of done tasks.
    """

    state: str
    tasks: int
    at: float = 0.0
    chunk: int = 0
    spec: JobSpec | None = None

    @property
    def submission_time(self) -> datetime:
        """When the job was submitted."""
        return datetime.fromtimestamp(self.at, UTC)


class InstanceRequestRecord(msgspec.Struct, rename={"machine_type": "build"}):
    """An instance request that the cloud may have executed."""

    machine_type: str
    zone: str
    spot: bool
    pool: bool = False


class DoneRecord(msgspec.Struct):
    """Done tasks of a chunk: one bit per task, as hexadecimal digits."""

    marks: str


class DoneBitmapRecord(msgspec.Struct, omit_defaults=True):
    """Done tasks of a chunk as a compressed bitmap (`Feature.DONE_BITMAPS`)."""

    bits: str
    # Whether the set bits mark the tasks that are not done.
    inverted: bool = False
