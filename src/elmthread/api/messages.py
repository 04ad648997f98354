"""What users send and are told, checked; wire words stay here."""

import math
import re
from typing import Annotated, Any, Literal

import msgspec

BATCH: Literal["batch"] = "batch"
DAEMON: Literal["daemon"] = "daemon"
JOB_ID = re.compile(r"run-[A-Za-z0-9_.-]{1,64}\Z")
MOST_TASKS = 100_000

Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class InvalidSubmissionError(Exception):
    """The body can't be a submission; says which field is wrong."""


class Submission(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "id": "name_id",
        "job_class": "docket",
        "team": "crew",
        "priority": "urgency",
        "tasks": "pieces",
        "gpus": "cards",
        "image": "kit",
        "image_gb": "size_gb",
        "machine_types": "builds",
        "zone": "yard",
        "spread": "scatter",
        "spot": "loaners",
        "checkpoint_interval_s": "snapshot_every_s",
        "checkpoint_duration_s": "snapshot_s",
        "expected_run_time_s": "expected_s",
        "deadline_s": "due_s",
    },
):
    id: Name
    job_class: Name
    team: Name
    # A daemon's tasks are replicas, which run until it is withdrawn; a batch's run to completion.
    form: Literal["batch", "daemon"]
    priority: Literal["production", "high", "normal", "best_effort"]
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MOST_TASKS)]
    cpus: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
    gpus: Amount
    ram_gb: Amount
    image: Name
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    expected_run_time_s: Amount
    checkpoint_interval_s: Amount
    checkpoint_duration_s: Amount
    machine_types: list[Name] | None = None
    zone: Name | None = None
    deadline_s: Amount | None = None

    @property
    def makes_checkpoints(self) -> bool:
        return self.checkpoint_interval_s > 0


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


def read_submission(body: Any) -> Submission:
    job_id_of(body)
    try:
        job = msgspec.convert(body, Submission)
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
