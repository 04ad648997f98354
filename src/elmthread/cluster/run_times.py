"""Run-time estimates: those of the job owners, corrected by the run times observed for each class of job.

The mean logarithm of the ratio of run time to estimate is kept for each class, with more weight on recent
tasks. A class with too few tasks uses the mean of all classes, as owners often err in the same way. (Chiron,
section 5.3, fits a distribution to earlier requests instead.)
"""

import math
from datetime import timedelta

import msgspec

from elmthread.cluster.job import Job
from elmthread.common.clock import seconds

# Weight of the newest task in a mean; the first tasks of a class are weighted equally.
NEWEST_WEIGHT = 0.05
# A mean is used only if at least this many tasks are included in it.
MIN_TASKS = 5
MIN_RUN_TIME_S = 0.5
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = 0.02, 50.0


class _LogRatioMean(msgspec.Struct):
    count: int = 0
    mean: float = 0.0

    def add(self, value: float) -> None:
        """Add the logarithm of one ratio; recent values weigh more."""
        self.count += 1
        weight = max(NEWEST_WEIGHT, 1 / self.count)
        self.mean += weight * (value - self.mean)


class RunTimeModel:
    """Corrects the job owners' estimates by the run times that were observed in this term."""

    def __init__(self) -> None:
        """Start without observations, so estimates are not corrected."""
        self._classes: dict[str, _LogRatioMean] = {}
        self._all = _LogRatioMean()

    def record(self, job_class: str, expected_s: float, ran: timedelta) -> None:
        """Record the run time of a finished task and its owner's estimate."""
        ratio = max(ran.total_seconds(), MIN_RUN_TIME_S) / max(expected_s, MIN_RUN_TIME_S)
        value = math.log(min(max(ratio, MIN_RUN_TIME_RATIO), MAX_RUN_TIME_RATIO))
        self._classes.setdefault(job_class, _LogRatioMean()).add(value)
        self._all.add(value)

    def correction_factor(self, job_class: str) -> float:
        """Return the factor that corrects the estimates of the class; 1 without enough observations."""
        mean = self._classes.get(job_class)
        if mean is None or mean.count < MIN_TASKS:
            mean = self._all
        return math.exp(mean.mean) if mean.count >= MIN_TASKS else 1.0

    def expected_run_time(self, job: Job) -> timedelta:
        """Return the expected run time of a task of the job: its owner's estimate, corrected."""
        return seconds(max(job.spec.expected_run_time_s, MIN_RUN_TIME_S) * self.correction_factor(job.spec.job_class))
