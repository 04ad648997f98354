"""What a submission becomes: a job with its deadline and urgency, or the reason why it can never run."""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from elmthread.cluster.job import Job, JobPolicy
from elmthread.common.clock import ZERO
from elmthread.common.features import ActiveFeatures, Feature
from elmthread.persistence.records import job_record
from elmthread.placement.feasibility import infeasibility
from elmthread.placement.requests import PlacementClass, SortKey, TaskRequest
from elmthread.settings.operators import Operators
from elmthread.settings.platform import Facts
from elmthread.store.done_marks import bits_per_chunk, marks_per_chunk
from elmthread.store.job_spec import SERVICE, JobSpec
from elmthread.store.machine_type import MachineType
from elmthread.store.pages import json_text, page_capacity, record_bytes
from elmthread.store.records import job_key


class JobFactory:
    def __init__(self, facts: Facts, operators: Operators, features: ActiveFeatures) -> None:
        self._features = features
        self._operators = operators
        self._teams = {team.name: team for team in facts.teams}
        value_kb = facts.state.kept().value_kb
        self._chunk = marks_per_chunk(value_kb)
        self._bitmap_chunk = bits_per_chunk(value_kb)
        self._most_record = page_capacity(value_kb)
        # What is wanted of each class: the soonest bound, and how much later the last one is.
        self._within: dict[str, list[float]] = {}
        self._times: dict[str, float] = {}
        # How soon a replica of the class is to serve: an aim for its start, or from when on it is missed.
        self._start: dict[str, float] = {}
        for aim in facts.objectives:
            start = {"wait": aim.within_s, "up": aim.after_s}.get(aim.kind)
            if aim.job_class and start:
                self._start[aim.job_class] = min(start, self._start.get(aim.job_class, start))
            if aim.job_class and aim.kind == "finished" and aim.within_s:
                self._within.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.job_class and aim.kind == "deadline" and aim.times:
                self._times[aim.job_class] = max(aim.times, self._times.get(aim.job_class, 1.0))

    def new(self, spec: JobSpec, submitted_at: timedelta, submission_time: datetime | None = None) -> Job:
        within = self._within.get(spec.job_class, [0.0])
        if spec.deadline_s:
            slack = self._times.get(spec.job_class, 1.0)
        else:
            slack = max(within) / min(within) if min(within) > 0 else 1.0
        fields: dict[str, Any] = {
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
            "objective_s": self._start.get(spec.job_class, 0.0) if spec.form == SERVICE else min(within),
            "saves": spec.makes_checkpoints,
            "spot": spec.spot,
        }
        return Job(
            spec,
            submission_time or datetime.now(UTC),
            submitted_at,
            JobPolicy(
                self._operators.deadline(fields),
                slack,
                # Replicas have no end to be late with: they are urgent whatever the operators say.
                spec.form == SERVICE or self._operators.urgent(fields),
            ),
            self._bitmap_chunk if self._features.is_active(Feature.DONE_BITMAPS) else self._chunk,
        )

    def can_run(self, spec: JobSpec, kinds: Iterable[MachineType]) -> str | None:
        """Why the job can never run, or None."""
        team = self._teams.get(spec.team)
        if team is None:
            return "unknown team"
        request = TaskRequest(
            job_id=spec.id,
            team=spec.team,
            sort_key=SortKey(PlacementClass.ON_TIME),
            # A batch's tasks may take turns, replicas can't.
            count=spec.tasks if spec.form == SERVICE else 1,
            cpus=spec.cpus,
            gpus=spec.gpus,
            memory_gb=spec.ram_gb,
            machine_types=None if spec.machine_types is None else frozenset(spec.machine_types),
            zone=spec.zone,
        )
        record = job_record(self.new(spec, ZERO))
        if record_bytes(job_key(spec.id), json_text(record)) > self._most_record:
            return "its record is larger than the state service takes"
        return infeasibility(request, team, kinds)
