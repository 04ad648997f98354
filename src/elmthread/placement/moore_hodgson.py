"""Moore and Hodgson's rule: which jobs to put off so that the fewest are late."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class JobWork:
    """What is left of a job, with its deadline in seconds from now."""

    job_id: str
    due_s: float
    core_seconds: float
    min_duration_s: float  # the soonest that it can end


def jobs_to_postpone(jobs: Sequence[JobWork], cores: float, core_seconds_ahead: float = 0.0) -> set[str]:
    """Return the jobs to put last so that the most others end in time, on `cores` shared by all.

    By deadline; whenever one would end late, the one with the most work so far is put last
    (Moore and Hodgson's rule, which leaves the fewest jobs late on one server).
    """
    postponed: set[str] = set()
    scheduled: list[JobWork] = []
    total = core_seconds_ahead
    for job in sorted(jobs, key=lambda job: job.due_s):
        if job.min_duration_s > job.due_s:
            postponed.add(job.job_id)
            continue
        scheduled.append(job)
        total += job.core_seconds
        if total / cores > job.due_s:
            largest = max(scheduled, key=lambda job: job.core_seconds)
            scheduled.remove(largest)
            total -= largest.core_seconds
            postponed.add(largest.job_id)
    return postponed
