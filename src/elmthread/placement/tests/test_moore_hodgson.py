"""Tests of the Moore-Hodgson algorithm against brute force on small inputs."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.placement.moore_hodgson import JobWork, jobs_to_postpone

deterministic = settings(max_examples=150, deadline=None, derandomize=True, database=None)


@deterministic
@given(
    st.lists(st.tuples(st.integers(1, 30), st.integers(1, 20)), min_size=1, max_size=7),
    st.integers(1, 3),
)
def test_postponed_jobs_leave_the_fewest_late(work: list[tuple[int, int]], cores: int) -> None:
    all_jobs = [JobWork(str(n), float(due), float(core_seconds), 0.0) for n, (due, core_seconds) in enumerate(work)]

    def feasible(subset: tuple[JobWork, ...]) -> bool:
        total = 0.0
        for job in sorted(subset, key=lambda job: job.due_s):
            total += job.core_seconds / cores
            if total > job.due_s:
                return False
        return True

    max_on_time = max(
        count
        for count in range(len(all_jobs) + 1)
        if any(feasible(subset) for subset in itertools.combinations(all_jobs, count))
    )
    assert len(all_jobs) - len(jobs_to_postpone(all_jobs, float(cores))) == max_on_time
