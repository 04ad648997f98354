"""Validation of submitted jobs: jobs that can never run on this platform are rejected."""

from elmthread.cluster.catalog import MachineTypeCatalog
from elmthread.cluster.job_factory import JobFactory
from elmthread.common.clock import ZERO
from elmthread.persistence.records import job_record
from elmthread.placement.feasibility import infeasibility
from elmthread.placement.requests import PlacementClass, SortKey, TaskRequest
from elmthread.settings.platform import ClusterSettings
from elmthread.store.job_spec import SERVICE, JobSpec
from elmthread.store.pages import json_text, page_capacity, record_bytes
from elmthread.store.records import job_key


class JobValidator:
    """Checks jobs against their teams' quotas, the machine types and the maximum size of a stored record."""

    def __init__(self, cluster: ClusterSettings, factory: JobFactory, catalog: MachineTypeCatalog) -> None:
        """Initialize with `factory`, which makes a job to measure its record, and `catalog` of the machine types."""
        self._teams = {team.name: team for team in cluster.teams}
        self._max_record_bytes = page_capacity(cluster.store.strictest().value_kb)
        self._factory = factory
        self._catalog = catalog

    @property
    def is_ready(self) -> bool:
        """Whether the machine types, which validation needs, are known."""
        return self._catalog.is_known

    def rejection_reason(self, spec: JobSpec) -> str | None:
        """Return why the job can never run, or None."""
        team = self._teams.get(spec.team)
        if team is None:
            return "unknown team"
        record = job_record(self._factory.new(spec, ZERO))
        if record_bytes(job_key(spec.id), json_text(record)) > self._max_record_bytes:
            return "its record is larger than the state service takes"
        return infeasibility(_task_request(spec), team, self._catalog.types.values())


def _task_request(spec: JobSpec) -> TaskRequest:
    """Return a request for as many of the job's tasks as must run at the same time."""
    return TaskRequest(
        job_id=spec.id,
        team=spec.team,
        sort_key=SortKey(PlacementClass.ON_TIME),
        # Tasks of a batch job may run one after another; replicas of a service must run at the same time.
        count=spec.tasks if spec.form == SERVICE else 1,
        cpus=spec.cpus,
        gpus=spec.gpus,
        memory_gb=spec.ram_gb,
        machine_types=None if spec.machine_types is None else frozenset(spec.machine_types),
        zone=spec.zone,
    )
