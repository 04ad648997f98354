"""The Moore-Hodgson algorithm: selects the jobs to postpone so that the fewest jobs are late."""

from collections.abc import Sequence

import msgspec


class JobWork(msgspec.Struct, frozen=True):
    """The remaining work of a job, with its deadline in seconds from now."""

    job_id: str
    due_s: float
    core_seconds: float
    min_duration_s: float  # the shortest time in which the job can be completed


def jobs_to_postpone(jobs: Sequence[JobWork], cores: float, core_seconds_ahead: float = 0.0) -> set[str]:
    """Return the jobs to postpone so that as many others as possible end on time, on `cores` shared by all.

    Jobs are scheduled by deadline, after `core_seconds_ahead` of other work. Whenever one would end late, the
    scheduled job with the most work is postponed. On a single server, this minimizes the number of late jobs.
    Jobs whose `min_duration_s` exceeds `due_s` are postponed in any case.
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
