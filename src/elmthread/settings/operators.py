"""Operators' own settings: expressions over a job's fields and a few bounded numbers."""

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

# What an expression may name: fields of the job, and the objective of its class (0: none).
JOB_NAMES = {
    "job_class": "text",
    "team": "text",
    "form": "text",
    "priority": "text",
    "tasks": "number",
    "cpus": "number",
    "cards": "number",
    "ram_gb": "number",
    "expected_s": "number",
    "due_s": "number",
    "objective_s": "number",
    "saves": "truth",
    "spot": "truth",
}


class Raw(msgspec.Struct, forbid_unknown_fields=True):
    """The operators' file as it is written."""

    urgent: str = "form == 'daemon' or priority in ('production', 'high')"
    deadline_s: str = "due_s if due_s > 0 else objective_s if objective_s > 0 else 3600"
    theta: float = 0.6
    delta: float = 0.05
    check_s: float = 5.0
    rollout: RolloutSettings = RolloutSettings()


class Operators:
    """The checked settings, with defaults that serve a deployment that says nothing."""

    def __init__(self, raw: Raw) -> None:
        """Checks everything. Raises SettingsError."""
        self._urgent = _expression("urgent", raw.urgent, "truth")
        self._deadline = _expression("deadline_s", raw.deadline_s, "number")
        self.theta = _number("theta", raw.theta, 0.05, 1.0)
        self.delta = _number("delta", raw.delta, 0.0, 0.5)
        self.check: timedelta = seconds(_number("check_s", raw.check_s, 0.5, 600.0))
        problem = raw.rollout.problem()
        if problem is not None:
            raise SettingsError(problem)
        self.rollout = raw.rollout

    def urgent(self, job: dict[str, Any]) -> bool:
        """Whether a job goes first, by its fields."""
        return bool(self._urgent(job))

    def deadline(self, job: dict[str, Any]) -> timedelta:
        """How long after its submission a job is to be done, from 1 s to 30 days."""
        try:
            value = float(self._deadline(job))
        except (ZeroDivisionError, OverflowError):
            value = 3600.0
        # An expression may give any number; a deadline is bounded to what a clock can hold.
        return seconds(min(max(value, 1.0), 30 * 86400.0) if math.isfinite(value) else 3600.0)


def _expression(name: str, source: str, wanted: str) -> Expression:
    try:
        return Expression(source, JOB_NAMES, wanted)
    except ExpressionError as error:
        raise SettingsError(f"{name}: {error}") from error


def _number(name: str, value: float, low: float, high: float) -> float:
    if not low <= value <= high:
        raise SettingsError(f"{name}: must be from {low} to {high}, is {value}")
    return value


def parse(text: str) -> Operators:
    """Reads a file's text. Raises SettingsError."""
    try:
        return Operators(msgspec.convert(tomllib.loads(text), Raw))
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise SettingsError(str(error)) from error


def load(path: Path | None) -> Operators:
    """Reads a file; without one, the defaults. Raises SettingsError, naming the file."""
    if path is None:
        return Operators(Raw())
    try:
        return parse(path.read_text())
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        raise SettingsError(f"{path}: {error}") from error
