"""What users send and are told, checked; wire words stay here."""

import math
import re
from typing import Any

import msgspec

from elmthread.common.errors import ElmthreadError
from elmthread.store.job_spec import JobSpec

JOB_ID = re.compile(r"run-[A-Za-z0-9_.-]{1,64}\Z")


class InvalidSubmissionError(ElmthreadError):
    """The body can't be a submission; says which field is wrong."""


# Amounts that must be finite, by the name that an error gives them.
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
    """The id alone, so that a known job is answered before the rest is looked at."""
    if not isinstance(body, dict):
        raise InvalidSubmissionError("not a map")
    name = body.get("name_id")
    if not isinstance(name, str) or not JOB_ID.match(name):
        raise InvalidSubmissionError("name_id: malformed")
    return name


def read_submission(body: Any) -> JobSpec:
    job_id_of(body)
    try:
        job = msgspec.convert(body, JobSpec)
    except (msgspec.ValidationError, TypeError, ValueError, OverflowError) as error:
        raise InvalidSubmissionError(str(error)) from error
    for name, field in _AMOUNTS.items():
        value = getattr(job, field)
        if value is not None and not math.isfinite(value):
            raise InvalidSubmissionError(f"{name}: not a finite number")
    if job.machine_types is not None and len(job.machine_types) > 100:
        raise InvalidSubmissionError("builds: too many")
    return job


def status(job_id: str, state: str, done: int | None = None, running: int | None = None) -> dict[str, Any]:
    body: dict[str, Any] = {"name_id": job_id, "status": state}
    if done is not None:
        body |= {"done": done, "running": running}
    return body
