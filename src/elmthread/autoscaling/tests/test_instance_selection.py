"""Tests of instance selection against brute force on small inputs."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.autoscaling.instance_offers import InstanceOffer
from elmthread.autoscaling.instance_selection import DeferrableBacklog, cover_shortfall, fewest_instances
from elmthread.autoscaling.lateness import CoreSupply, DeadlineGroup, group_end_times_s, infeasible_groups

deterministic = settings(max_examples=150, deadline=None, derandomize=True, database=None)


deadline_groups = st.lists(
    st.builds(
        DeadlineGroup,
        due_s=st.integers(5, 60).map(float),
        core_seconds=st.integers(1, 200).map(float),
        longest_task_s=st.integers(1, 15).map(float),
        usable_cores=st.integers(1, 16).map(float),
    ),
    min_size=1,
    max_size=3,
).map(lambda groups: sorted(groups, key=lambda group: group.due_s))
OFFERS = [
    InstanceOffer("s", "x", True, 2.0, 0.1, 5.0),
    InstanceOffer("m", "x", True, 4.0, 0.24, 5.0),
    InstanceOffer("l", "x", True, 8.0, 0.56, 5.0),
]


@deterministic
@given(deadline_groups, st.integers(0, 4), st.integers(0, 40))
def test_fewest_instances_are_fewest(groups: list[DeadlineGroup], cores: int, core_seconds_ahead: int) -> None:
    supplies = [CoreSupply(0.0, float(cores))] if cores else []
    infeasible = infeasible_groups(groups, 5.0)
    chosen = fewest_instances(
        DeferrableBacklog(groups, float(core_seconds_ahead), 1000.0), supplies, OFFERS, max_count=4
    )

    def is_sufficient(machines: tuple[InstanceOffer, ...]) -> bool:
        added = [CoreSupply(offer.boot_s, offer.cores) for offer in machines]
        end_times_s = group_end_times_s(groups, [*supplies, *added], float(core_seconds_ahead))
        return all(
            end <= group.due_s or n in infeasible
            for n, (end, group) in enumerate(zip(end_times_s, groups, strict=True))
        )

    fewest = next(
        (
            count
            for count in range(5)
            if any(is_sufficient(selection) for selection in itertools.combinations_with_replacement(OFFERS, count))
        ),
        None,
    )
    if fewest is None:
        assert len(chosen) == 4  # the maximum, although some groups are still late
    else:
        assert len(chosen) == fewest and is_sufficient(tuple(chosen))


def test_requests_stay_within_what_waiting_tasks_can_use() -> None:
    groups = [DeadlineGroup(due_s=10.0, core_seconds=1000.0, longest_task_s=1.0, usable_cores=1000.0)]
    assert len(fewest_instances(DeferrableBacklog(groups, 0.0, 9.0), [], OFFERS)) == 2
    assert fewest_instances(DeferrableBacklog(groups, 0.0, 0.0), [], OFFERS) == []


@deterministic
@given(st.integers(0, 60))
def test_a_shortfall_is_covered_by_the_fewest_instances(shortfall: int) -> None:
    chosen = cover_shortfall(OFFERS, float(shortfall), 50)
    fewest = next(
        count
        for count in itertools.count()
        if any(
            sum(offer.cores for offer in selection) >= shortfall
            for selection in itertools.combinations_with_replacement(OFFERS, count)
        )
    )
    assert len(chosen) == fewest and sum(offer.cores for offer in chosen) >= shortfall
    # The last instance is the cheapest that suffices.
    if chosen:
        missing = shortfall - sum(offer.cores for offer in chosen[:-1])
        assert chosen[-1].price_per_hour == min(offer.price_per_hour for offer in OFFERS if offer.cores >= missing)


def test_expensive_kinds_are_requested_only_where_no_others_are_left() -> None:
    expensive = InstanceOffer("l", "x", False, 8.0, 1.6, 5.0)
    groups = [DeadlineGroup(due_s=30.0, core_seconds=160.0, longest_task_s=1.0, usable_cores=99.0)]
    assert expensive not in fewest_instances(DeferrableBacklog(groups, 0.0, 99.0), [], [*OFFERS, expensive])
    assert set(fewest_instances(DeferrableBacklog(groups, 0.0, 99.0), [], [expensive])) == {expensive}
    limited = [InstanceOffer("s", "x", True, 2.0, 0.1, 5.0, max_count=2), expensive]
    assert [offer.cores for offer in cover_shortfall(limited, 20.0, 50)] == [2.0, 2.0, 8.0, 8.0]
