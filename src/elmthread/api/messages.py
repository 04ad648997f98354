"""Users' requests and the responses to them, with the field names used on the wire."""

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
    """The body is not a valid submission; the message names the field."""


# Fields that must be finite numbers: the name on the wire, which error messages use, and the attribute.
_FINITE_NUMBERS = {
    "cpus": "cpus",
    "cards": "gpus",
    "ram_gb": "ram_gb",
    "image_gb": "image_gb",
    "expected_s": "expected_run_time_s",
    "checkpoint_s": "checkpoint_interval_s",
    "save_s": "checkpoint_duration_s",
    "due_s": "deadline_s",
}


def read_job_id(body: Any) -> str:
    """Return the job's id without validating the other fields. Raises InvalidSubmissionError.

    The response for a job that is already known does not depend on them.
    """
    if not isinstance(body, dict):
        raise InvalidSubmissionError("not a map")
    job_id = body.get("name_id")
    if not isinstance(job_id, str) or not JOB_ID.match(job_id):
        raise InvalidSubmissionError("name_id: malformed")
    return job_id


def read_submission(body: Any) -> JobSpec:
    """Return the job specification in a decoded body. Raises InvalidSubmissionError."""
    read_job_id(body)
    try:
        spec = msgspec.convert(body, JobSpec)
    except (msgspec.ValidationError, TypeError, ValueError, OverflowError) as error:
        raise InvalidSubmissionError(str(error)) from error
    for name, field in _FINITE_NUMBERS.items():
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
    """A job's state in a response to a user; the task counts are for display only."""

    job_id: str
    state: StatusName
    done_count: int | None = None
    running_count: int | None = None

    def to_body(self) -> dict[str, Any]:
        """Return the response body, with the field names used on the wire."""
        fields: dict[str, Any] = msgspec.to_builtins(self)
        return fields
