"""The specification of a job: the body of a submission, and part of the job's stored record."""

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
    """A job as submitted: its tasks, the resources of each, and where and by when they are to run.

    Resources are per task; the suffix `_gb` stands for gigabytes and `_s` for seconds.
    """

    id: Name
    job_class: Name
    team: Name
    # The tasks of a batch job run to completion; those of a daemon (a service) are replicas that run until cancelled.
    form: Literal["batch", "daemon"]
    priority: Literal["production", "high", "normal", "best_effort"]
    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_JOB)]
    cpus: Annotated[float, msgspec.Meta(gt=0.0, le=1e6)]
    gpus: Amount
    ram_gb: Amount
    image: Name
    image_gb: Amount
    # Whether all tasks must run in one zone, and whether at most half of them may run in each zone.
    one_zone: bool
    spread: bool
    # Whether tasks may run on spot instances.
    spot: bool
    expected_run_time_s: Amount
    # 0 if the tasks write no checkpoints.
    checkpoint_interval_s: Amount
    checkpoint_duration_s: Amount
    # The machine types and the zone in which tasks may run; any if None.
    machine_types: list[Name] | None = None
    zone: Name | None = None
    # Time after submission by which the job is to be done.
    deadline_s: Amount | None = None

    @property
    def makes_checkpoints(self) -> bool:
        """Whether a preempted task can continue from a checkpoint."""
        return self.checkpoint_interval_s > 0
