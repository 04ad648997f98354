"""The users' requests and the responses to them, in the words of the wire."""

import math
import re
from enum import StrEnum
from typing import Any

import msgspec

from elmthread.common.errors import ElmthreadError
from elmthread.store.job_spec import JobSpec

JOB_ID = re.compile(r"run-[A-Za-z0-9_.-]{1,64}\Z")
MAX_MACHINE_TYPES_PER_JOB = 100


class InvalidSubmissionError(ElmthreadError):
    """The body is no valid submission; the message names the field."""


# Fields that must be finite numbers, by the names that error messages use.
_AMOUNTS = {
    "cpus": "cpus",
    "cards": "gpus",
    "ram_gb": "ram_gb",
    "image_gb": "image_gb",
    "expected_s": "expected_run_time_s",
    "checkpoint_s": "checkpoint_interval_s",
    "save_s": "checkpoint_duration_s",
    "due_s": "deadline_s",
}


def job_id_of(body: Any) -> str:
    """Return the job's id alone, as the response for a known job does not depend on the rest.

    Raises InvalidSubmissionError.
    """
    if not isinstance(body, dict):
        raise InvalidSubmissionError("not a map")
    job_id = body.get("name_id")
    if not isinstance(job_id, str) or not JOB_ID.match(job_id):
        raise InvalidSubmissionError("name_id: malformed")
    return job_id


def read_submission(body: Any) -> JobSpec:
    """Return the specification in a decoded body. Raises InvalidSubmissionError."""
    job_id_of(body)
    try:
        spec = msgspec.convert(body, JobSpec)
    except (msgspec.ValidationError, TypeError, ValueError, OverflowError) as error:
        raise InvalidSubmissionError(str(error)) from error
    for name, field in _AMOUNTS.items():
        value = getattr(spec, field)
        if value is not None and not math.isfinite(value):
            raise InvalidSubmissionError(f"{name}: not a finite number")
    if spec.machine_types is not None and len(spec.machine_types) > MAX_MACHINE_TYPES_PER_JOB:
        raise InvalidSubmissionError("builds: too many")
    return spec


class StatusName(StrEnum):
    """The state of a job in responses to users."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class JobStatus(
    msgspec.Struct,
    omit_defaults=True,
    rename={"job_id": "name_id", "state": "status", "done_count": "done", "running_count": "running"},
):
    """A job's state in a response to a user; the counts of tasks are for display."""

    job_id: str
    state: StatusName
    done_count: int | None = None
    running_count: int | None = None

    def body(self) -> dict[str, Any]:
        """Return the status in the words of the wire."""
        fields: dict[str, Any] = msgspec.to_builtins(self)
        return fields
