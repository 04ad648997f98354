"""What a user asks for: the form of a submission, and of a job in the store."""

from typing import Annotated, Literal

import msgspec

BATCH: Literal["batch"] = "batch"
SERVICE: Literal["daemon"] = "daemon"
# More tasks than this no job has.
MAX_TASKS_PER_JOB = 100_000

Amount = Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class JobSpec(
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
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)]
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
