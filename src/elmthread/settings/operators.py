"""The operators' settings file: expressions over a job's fields and a few bounded numbers."""

import math
import tomllib
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from elmthread.common.clock import seconds
from elmthread.settings.expressions import Expression, ExpressionError
from elmthread.settings.platform import SettingsError
from elmthread.settings.rollout import RolloutSettings

# Deadlines after submission: the default if the expression has no finite value, and the bounds of its value.
DEFAULT_DEADLINE_S = 3600.0
MIN_DEADLINE_S, MAX_DEADLINE_S = 1.0, 30 * 86400.0
# Names that an expression may use, with their types: the job's fields and its class's objective (0: none). Where a
# field's name differs from the code's, it is the one in the submission, except `saves`: whether tasks make checkpoints.
JOB_FIELD_TYPES = {
    "job_class": "text",
    "team": "text",
    "form": "text",
    "priority": "text",
    "tasks": "number",
    "cpus": "number",
    "cards": "number",  # GPUs
    "ram_gb": "number",
    "expected_s": "number",
    "due_s": "number",
    "objective_s": "number",
    "saves": "truth",
    "spot": "truth",
}


class OperatorsFile(msgspec.Struct, forbid_unknown_fields=True):
    """The contents of the operators' settings file, before validation."""

    urgent: str = "form == 'daemon' or priority in ('production', 'high')"
    deadline_s: str = "due_s if due_s > 0 else objective_s if objective_s > 0 else 3600"
    theta: float = 0.6
    delta: float = 0.05
    check_s: float = 5.0
    rollout: RolloutSettings = RolloutSettings()


class OperatorSettings:
    """The validated settings of the operators; the defaults suit a deployment without a file."""

    def __init__(self, file: OperatorsFile) -> None:
        """Validate all fields. Raises SettingsError."""
        self._urgent = _parse_expression("urgent", file.urgent, "truth")
        self._deadline = _parse_expression("deadline_s", file.deadline_s, "number")
        # The share of the cores outside the deferrable pool that urgent jobs should take, which is raised while their
        # demand is steady, and by how much the share may deviate from it.
        self.target_urgent_share = _bounded_number("theta", file.theta, 0.05, 1.0)
        self.urgent_share_tolerance = _bounded_number("delta", file.delta, 0.0, 0.5)
        self.urgent_share_check_interval: timedelta = seconds(_bounded_number("check_s", file.check_s, 0.5, 600.0))
        problem = file.rollout.problem()
        if problem is not None:
            raise SettingsError(problem)
        self.rollout = file.rollout

    def urgent(self, job: dict[str, Any]) -> bool:
        """Return whether a job is urgent, by its fields."""
        return bool(self._urgent(job))

    def deadline(self, job: dict[str, Any]) -> timedelta:
        """Return a job's deadline as the time after its submission, from 1 s to 30 days."""
        try:
            value = float(self._deadline(job))
        except (ZeroDivisionError, OverflowError):
            value = DEFAULT_DEADLINE_S
        # An expression may yield any number; a deadline must fit into a timedelta.
        if not math.isfinite(value):
            value = DEFAULT_DEADLINE_S
        return seconds(min(max(value, MIN_DEADLINE_S), MAX_DEADLINE_S))


def _parse_expression(name: str, source: str, expected_type: str) -> Expression:
    try:
        return Expression(source, JOB_FIELD_TYPES, expected_type)
    except ExpressionError as error:
        raise SettingsError(f"{name}: {error}") from error


def _bounded_number(name: str, value: float, low: float, high: float) -> float:
    if not low <= value <= high:
        raise SettingsError(f"{name}: must be from {low} to {high}, is {value}")
    return value


def parse(text: str) -> OperatorSettings:
    """Parse the text of a settings file. Raises SettingsError."""
    try:
        return OperatorSettings(msgspec.convert(tomllib.loads(text), OperatorsFile))
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(str(error)) from error


def load(path: Path | None) -> OperatorSettings:
    """Load a settings file, or return the defaults without one. Raises SettingsError, which names the file."""
    if path is None:
        return OperatorSettings(OperatorsFile())
    try:
        return parse(path.read_text())
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error
