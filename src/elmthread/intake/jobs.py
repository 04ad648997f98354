"""What a submission becomes: a job with its deadline and urgency, or the reason why it can never run."""

from collections.abc import Iterable
from datetime import UTC, datetime, timedelta
from typing import Any

from elmthread.fleet.messages import Type
from elmthread.intake.messages import Submission
from elmthread.ledger.records import chunk_tasks
from elmthread.placement.book import Job
from elmthread.placement.decide import Want
from elmthread.placement.service import may_ever_run
from elmthread.settings.operators import Operators
from elmthread.settings.platform import Facts


class Jobs:
    def __init__(self, facts: Facts, operators: Operators) -> None:
        self._operators = operators
        self._teams = {team.name: team for team in facts.teams}
        self._chunk = chunk_tasks(facts.state.value_kb)
        # What is wanted of each class: the soonest bound, and how much later the last one is.
        self._within: dict[str, list[float]] = {}
        self._times: dict[str, float] = {}
        for aim in facts.objectives:
            if aim.job_class and aim.kind == "finished" and aim.within_s:
                self._within.setdefault(aim.job_class, []).append(aim.within_s)
            elif aim.job_class and aim.kind == "deadline" and aim.times:
                self._times[aim.job_class] = max(aim.times, self._times.get(aim.job_class, 1.0))

    def new(self, spec: Submission, since: timedelta, submitted: datetime | None = None) -> Job:
        within = self._within.get(spec.job_class, [0.0])
        if spec.due_s:
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
            "cards": spec.cards,
            "ram_gb": spec.ram_gb,
            "expected_s": spec.expected_s,
            "due_s": spec.due_s or 0.0,
            "objective_s": min(within),
            "saves": spec.saves,
            "spot": spec.spot,
        }
        return Job(
            spec,
            submitted or datetime.now(UTC),
            since,
            self._operators.deadline(fields),
            slack,
            self._operators.urgent(fields),
            self._chunk,
        )

    def can_run(self, spec: Submission, kinds: Iterable[Type]) -> str | None:
        """Why the job can never run, or None."""
        team = self._teams.get(spec.team)
        if team is None:
            return "unknown team"
        want = Want(
            job=spec.id,
            team=spec.team,
            order=(),
            count=1,
            cpus=spec.cpus,
            cards=spec.cards,
            ram=spec.ram_gb,
            types=None if spec.types is None else frozenset(spec.types),
            zone=spec.zone,
        )
        types = [(t.name, t.cpus, t.cards, t.memory_gb, t.zones) for t in kinds]
        return may_ever_run(want, team, types)
