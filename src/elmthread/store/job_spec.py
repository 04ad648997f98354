"""The specification of a job: the form of a submission, and part of the job's stored record."""

from typing import Annotated, Literal

import msgspec

BATCH: Literal["batch"] = "batch"
SERVICE: Literal["daemon"] = "daemon"
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
    """What a user submits: the tasks of a job, what each needs, and where and by when they are to run.

    Resources are those of one task; `_gb` are gigabytes and `_s` seconds.
    """

    id: Name
    job_class: Name
    team: Name
    # The tasks of a batch run to completion; those of a daemon (a service) are replicas that run until cancelled.
    form: Literal["batch", "daemon"]
    priority: Literal["production", "high", "normal", "best_effort"]
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)]
    cpus: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
    gpus: Amount
    ram_gb: Amount
    image: Name
    image_gb: Amount
    # Whether all tasks are to run in one zone, or at most half of them in each.
    one_zone: bool
    spread: bool
    # Whether tasks may run on spot instances.
    spot: bool
    expected_run_time_s: Amount
    # 0 if the tasks make no checkpoints.
    checkpoint_interval_s: Amount
    checkpoint_duration_s: Amount
    # Where tasks may run; anywhere if None.
    machine_types: list[Name] | None = None
    zone: Name | None = None
    deadline_s: Amount | None = None

    @property
    def makes_checkpoints(self) -> bool:
        """Whether a preempted task can continue from a checkpoint."""
        return self.checkpoint_interval_s > 0
