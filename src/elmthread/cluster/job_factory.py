"""Makes jobs from their specifications, with the deadlines and the urgency that placement orders them by."""

from datetime import UTC, datetime, timedelta
from typing import Any

from elmthread.cluster.job import Job, JobPolicy
from elmthread.common.features import ActiveFeatures, Feature
from elmthread.settings.operators import OperatorSettings
from elmthread.settings.platform import ClusterSettings, Objective
from elmthread.store.done_marks import bits_per_chunk, marks_per_chunk
from elmthread.store.job_spec import SERVICE, JobSpec


class ClassObjectives:
    """The service-level objectives of each class of jobs."""

    def __init__(self, objectives: list[Objective]) -> None:
        """Objectives without a class, or of kinds that set no time, are left out."""
        # Times within which jobs are to end.
        self._end_times_s: dict[str, list[float]] = {}
        # How many times its own deadline a job may take at the latest.
        self._deadline_factors: dict[str, float] = {}
        # Times within which a replica is to be started.
        self._start_times_s: dict[str, float] = {}
        for objective in objectives:
            if objective.job_class:
                self._add(objective.job_class, objective)

    def _add(self, job_class: str, objective: Objective) -> None:
        start_time_s = {"wait": objective.within_s, "up": objective.after_s}.get(objective.kind)
        if start_time_s:
            self._start_times_s[job_class] = min(start_time_s, self._start_times_s.get(job_class, start_time_s))
        if objective.kind == "finished" and objective.within_s:
            self._end_times_s.setdefault(job_class, []).append(objective.within_s)
        elif objective.kind == "deadline" and objective.times:
            self._deadline_factors[job_class] = max(objective.times, self._deadline_factors.get(job_class, 1.0))

    def time_s(self, spec: JobSpec) -> float:
        """Return the time to the start of a service, or to the end of a batch; 0 if there is none."""
        if spec.form == SERVICE:
            return self._start_times_s.get(spec.job_class, 0.0)
        return min(self._end_times_s.get(spec.job_class, [0.0]))

    def latest_deadline_factor(self, spec: JobSpec) -> float:
        """Return how many times its deadline a job may take once that can't be met."""
        if spec.deadline_s:
            return self._deadline_factors.get(spec.job_class, 1.0)
        times_s = self._end_times_s.get(spec.job_class, [0.0])
        return max(times_s) / min(times_s) if min(times_s) > 0 else 1.0


class JobFactory:
    """Makes jobs from submissions and from stored records."""

    def __init__(self, cluster: ClusterSettings, operators: OperatorSettings, features: ActiveFeatures) -> None:
        """`operators` give deadlines and urgency; `features` the form of records of done tasks."""
        self._features = features
        self._operators = operators
        value_kb = cluster.store.strictest().value_kb
        self._tasks_per_chunk = marks_per_chunk(value_kb)
        self._tasks_per_bitmap_chunk = bits_per_chunk(value_kb)
        self._objectives = ClassObjectives(cluster.objectives)

    def new(self, spec: JobSpec, submitted_at: timedelta, submission_time: datetime | None = None) -> Job:
        """Return an open job, submitted at `submitted_at` by this process's clock; `submission_time` is now if None."""
        tasks_per_chunk = self._tasks_per_chunk
        if self._features.is_active(Feature.DONE_BITMAPS):
            tasks_per_chunk = self._tasks_per_bitmap_chunk
        return Job(spec, submission_time or datetime.now(UTC), submitted_at, self._policy(spec), tasks_per_chunk)

    def _policy(self, spec: JobSpec) -> JobPolicy:
        variables = self._expression_variables(spec)
        return JobPolicy(
            self._operators.deadline(variables),
            self._objectives.latest_deadline_factor(spec),
            # Replicas have no end to be late with: they are urgent whatever the operators say.
            spec.form == SERVICE or self._operators.urgent(variables),
        )

    def _expression_variables(self, spec: JobSpec) -> dict[str, Any]:
        """Return the job's fields under the names that the operators' expressions use."""
        return {
            "job_class": spec.job_class,
            "team": spec.team,
            "form": spec.form,
            "priority": spec.priority,
            "tasks": spec.tasks,
            "cpus": spec.cpus,
            "cards": spec.gpus,
            "ram_gb": spec.ram_gb,
            "expected_s": spec.expected_run_time_s,
            "due_s": spec.deadline_s or 0.0,
            "objective_s": self._objectives.time_s(spec),
            "saves": spec.makes_checkpoints,
            "spot": spec.spot,
        }
