"""Creates jobs from their specifications, with the deadlines and the urgency that determine placement order."""

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
        """Index `objectives` by class, leaving out those without a class or of a kind that sets no time or factor."""
        # Target times from the submission to the completion of batch jobs.
        self._end_times_s: dict[str, list[float]] = {}
        # The latest completion of a job, as a multiple of its own deadline.
        self._deadline_factors: dict[str, float] = {}
        # Target times from the submission to the start of replicas.
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

    def target_time_s(self, spec: JobSpec) -> float:
        """Return the time after submission by which a service is to start or a batch job to end; 0 if there is none."""
        if spec.form == SERVICE:
            return self._start_times_s.get(spec.job_class, 0.0)
        return min(self._end_times_s.get(spec.job_class, [0.0]))

    def latest_deadline_factor(self, spec: JobSpec) -> float:
        """Return the multiple of its deadline that applies to a job once the deadline can't be met."""
        if spec.deadline_s:
            return self._deadline_factors.get(spec.job_class, 1.0)
        times_s = self._end_times_s.get(spec.job_class, [0.0])
        return max(times_s) / min(times_s) if min(times_s) > 0 else 1.0


class JobFactory:
    """Creates jobs from submissions and from stored records."""

    def __init__(self, cluster: ClusterSettings, operators: OperatorSettings, features: ActiveFeatures) -> None:
        """Take deadlines and urgency from `operators`, and the format of done-task records from `features`."""
        self._features = features
        self._operators = operators
        value_kb = cluster.store.strictest().value_kb
        self._tasks_per_chunk = marks_per_chunk(value_kb)
        self._tasks_per_bitmap_chunk = bits_per_chunk(value_kb)
        self._objectives = ClassObjectives(cluster.objectives)

    def new(self, spec: JobSpec, submitted_at: timedelta, submission_time: datetime | None = None) -> Job:
        """Create an open job.

        `submitted_at` is by the monotonic clock, `submission_time` (by default now) by the wall clock.
        """
        tasks_per_chunk = self._tasks_per_chunk
        if self._features.is_active(Feature.DONE_BITMAPS):
            tasks_per_chunk = self._tasks_per_bitmap_chunk
        return Job(spec, submission_time or datetime.now(UTC), submitted_at, self._policy(spec), tasks_per_chunk)

    def _policy(self, spec: JobSpec) -> JobPolicy:
        variables = self._expression_variables(spec)
        return JobPolicy(
            self._operators.deadline(variables),
            self._objectives.latest_deadline_factor(spec),
            # Services are urgent regardless of the operators' expression. They never complete, so an expression that
            # depends on a deadline would not make them urgent.
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
            "objective_s": self._objectives.target_time_s(spec),
            "saves": spec.makes_checkpoints,
            "spot": spec.spot,
        }
