"""Tests of the end times of deferrable work against a simulation in small time steps."""

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.autoscaling.lateness import CoreSupply, DeadlineGroup, finish_time_s, group_end_times_s, merge_supplies

deterministic = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def simulated_finish_s(work: float, supplies: list[CoreSupply]) -> float:
    """Return the finish time according to a simulation in small steps."""
    at, step = 0.0, 0.01
    while work > 1e-9 and at < 500:
        work -= step * sum(supply.cores for supply in supplies if supply.start_s <= at + 1e-9)
        at += step
    return at


@deterministic
@given(
    st.integers(1, 60).map(float),
    st.lists(st.builds(CoreSupply, st.integers(0, 9).map(float), st.integers(1, 4).map(float)), min_size=1, max_size=4),
)
def test_finish_time_agrees_with_a_simulation(work: float, supplies: list[CoreSupply]) -> None:
    assert abs(finish_time_s(work, merge_supplies(supplies)) - simulated_finish_s(work, supplies)) < 0.05


def test_a_group_is_never_faster_than_one_task_or_its_usable_cores() -> None:
    assert group_end_times_s([DeadlineGroup(99.0, 10.0, 7.0, 100.0)], [CoreSupply(0.0, 100.0)], 0.0) == [7.0]
    assert group_end_times_s([DeadlineGroup(99.0, 40.0, 1.0, 2.0)], [CoreSupply(0.0, 100.0)], 0.0) == [20.0]
