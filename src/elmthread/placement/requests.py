"""Placement requests: the waiting tasks of one job, their requirements, and their position in the placement order."""

import math
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import NamedTuple, Self

from elmthread.cluster.job import Job
from elmthread.cluster.state import job_entry_bytes, task_entry_bytes
from elmthread.placement.attempts import AttemptCounter

# Bounds the work of one scheduling round, and the attempt numbers that it uses.
MAX_TASKS_PLACED_PER_ROUND = 400
# The replicas of a service are preferably spread over at least this many machines.
REPLICA_SPREAD = 3


class PlacementClass(IntEnum):
    """The classes of requests, in placement order."""

    FIRST_TASK = 0
    URGENT = 1
    GUARANTEED = 2
    ON_TIME = 3
    POSTPONED = 4


class SortKey(NamedTuple):
    """The position of a request in the placement order: by class, then priority rank, then deadline."""

    placement_class: PlacementClass
    priority_rank: int = 0
    due_s: float = 0.0  # seconds from now


@dataclass(slots=True)
class TaskRequest:
    """Identical waiting tasks of one job; `count` decreases as they are placed."""

    job_id: str
    team: str
    sort_key: SortKey
    count: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str = ""
    image_gb: float = 0.0
    machine_types: frozenset[str] | None = None
    zone: str | None = None
    spot: bool = True
    one_zone: bool = False
    # Number of tasks of the job that may currently be on machines, by zone; only for `one_zone` and spread jobs.
    tasks_by_zone: dict[str, int] = field(default_factory=dict)
    max_per_zone: float = math.inf  # for a spread job: maximum number of tasks in one zone
    # Machines on which the job has failed; its tasks are not placed there.
    excluded_machines: Collection[str] = frozenset()
    urgent: bool = False
    priority_rank: int = 0
    # Bytes that the tasks need in a machine's record: once for the job, and for each task.
    record_bytes_per_job: int = 0
    record_bytes_per_task: int = 0
    # Maximum number of replicas on one machine while other machines have room, so that the loss of a machine
    # does not stop a whole service.
    preferred_max_per_machine: float = math.inf
    # Number of tasks of the job that may currently be on each machine; only if `preferred_max_per_machine` is finite.
    tasks_by_machine: dict[str, int] = field(default_factory=dict)

    def split_off(self, count: int, sort_key: SortKey) -> Self:
        """Move `count` of the tasks to a new request with that sort key; both share the counts by zone and machine."""
        self.count -= count
        return replace(self, sort_key=sort_key, count=count)


class RequestFactory:
    """Creates requests for tasks of jobs."""

    def __init__(self, attempts: AttemptCounter) -> None:
        """Estimate record bytes for the highest attempt number of the next round, as its digits are stored."""
        self._attempts = attempts

    def request_for_one_task(self, job: Job) -> TaskRequest:
        """Return a request for one task of the job, even if none is waiting."""
        return self.make(job, SortKey(PlacementClass.ON_TIME), 1)

    def make(self, job: Job, sort_key: SortKey, count: int) -> TaskRequest:
        """Return a request for `count` tasks of the job."""
        spec = job.spec
        return TaskRequest(
            job_id=job.id,
            team=spec.team,
            sort_key=sort_key,
            count=count,
            cpus=spec.cpus,
            gpus=spec.gpus,
            memory_gb=spec.ram_gb,
            image=spec.image,
            image_gb=spec.image_gb,
            machine_types=job.machine_types,
            zone=spec.zone,
            spot=spec.spot,
            one_zone=spec.one_zone,
            tasks_by_zone=dict(job.tasks_by_zone) if spec.one_zone or spec.spread else {},
            max_per_zone=math.ceil(job.task_count / 2) if spec.spread else math.inf,
            excluded_machines=job.failed_machines,
            urgent=job.urgent,
            priority_rank=job.priority_rank,
            record_bytes_per_job=job_entry_bytes(job.id),
            record_bytes_per_task=task_entry_bytes(job.task_count, self._attempts.last + MAX_TASKS_PLACED_PER_ROUND),
            preferred_max_per_machine=math.ceil(job.task_count / REPLICA_SPREAD) if job.is_service else math.inf,
            tasks_by_machine=Counter(allocation.machine.name for allocation in job.allocations.values())
            if job.is_service
            else {},
        )
