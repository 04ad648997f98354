"""The work model: how long tasks really run against what their owners expected, by class.

Chiron fits a distribution to what earlier requests produced (section 5.3); here a class's
mean logarithm of run time over estimate is kept, with its spread, and recent tasks weigh
more. A class of which nothing is known yet borrows the correction of all classes together:
on some days all owners err the same way.
"""

import math
from dataclasses import dataclass
from datetime import timedelta

from elmthread.cluster.job import Job
from elmthread.common.clock import seconds

# Weight of the newest task; the first tasks of a class are averaged plainly.
NEWEST = 0.05
SHORTEST = 0.5


@dataclass
class _Fit:
    count: int = 0
    mean: float = 0.0
    square: float = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        weight = max(NEWEST, 1 / self.count)
        self.mean += weight * (value - self.mean)
        self.square += weight * (value * value - self.square)


class RunTimeModel:
    def __init__(self) -> None:
        self._classes: dict[str, _Fit] = {}
        self._all = _Fit()

    def saw(self, job_class: str, expected_s: float, ran: timedelta) -> None:
        ratio = max(ran.total_seconds(), SHORTEST) / max(expected_s, SHORTEST)
        value = math.log(min(max(ratio, 0.02), 50.0))
        self._classes.setdefault(job_class, _Fit()).add(value)
        self._all.add(value)

    def correction(self, job_class: str) -> float:
        fit = self._classes.get(job_class)
        if fit is None or fit.count < 5:
            fit = self._all
        return math.exp(fit.mean) if fit.count >= 5 else 1.0

    def expected(self, job: Job) -> timedelta:
        """Return how long a task of the job is expected to run: its owner's estimate, corrected by what was seen."""
        return self.run_time(job.spec.job_class, job.spec.expected_run_time_s)

    def run_time(self, job_class: str, expected_s: float) -> timedelta:
        return seconds(max(expected_s, SHORTEST) * self.correction(job_class))
