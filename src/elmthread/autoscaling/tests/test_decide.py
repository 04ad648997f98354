"""Sizing against brute force over small cases."""

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.autoscaling.decide import (
    Band,
    Group,
    Offer,
    Supply,
    band,
    ends,
    fewest,
    finish,
    merged,
    refill,
    unsavable,
)

steady = settings(max_examples=150, deadline=None, derandomize=True, database=None)


def plain_finish(work: float, supplies: list[Supply]) -> float:
    """Small steps of time instead of sums."""
    at, step = 0.0, 0.01
    while work > 1e-9 and at < 500:
        work -= step * sum(supply.cores for supply in supplies if supply.start <= at + 1e-9)
        at += step
    return at


@steady
@given(
    st.integers(1, 60).map(float),
    st.lists(st.builds(Supply, st.integers(0, 9).map(float), st.integers(1, 4).map(float)), min_size=1, max_size=4),
)
def test_finish_agrees_with_small_steps(work: float, supplies: list[Supply]) -> None:
    assert abs(finish(work, merged(supplies)) - plain_finish(work, supplies)) < 0.05


groups = st.lists(
    st.builds(
        Group,
        due=st.integers(5, 60).map(float),
        work=st.integers(1, 200).map(float),
        longest=st.integers(1, 15).map(float),
        usable=st.integers(1, 16).map(float),
    ),
    min_size=1,
    max_size=3,
).map(lambda some: sorted(some, key=lambda group: group.due))
OFFERS = [
    Offer("s", "x", True, 2.0, 0.1, 5.0),
    Offer("m", "x", True, 4.0, 0.24, 5.0),
    Offer("l", "x", True, 8.0, 0.56, 5.0),
]


@steady
@given(groups, st.integers(0, 4), st.integers(0, 40))
def test_fewest_is_fewest(some: list[Group], cores: int, ahead: int) -> None:
    supplies = [Supply(0.0, float(cores))] if cores else []
    skip = unsavable(some, 5.0)
    chosen = fewest(some, supplies, float(ahead), OFFERS, usable=1000.0, most=4)

    def good(machines: tuple[Offer, ...]) -> bool:
        more = [Supply(offer.boot_s, offer.cores) for offer in machines]
        found = ends(some, [*supplies, *more], float(ahead))
        return all(end <= group.due or n in skip for n, (end, group) in enumerate(zip(found, some, strict=True)))

    best = next(
        (
            count
            for count in range(5)
            if any(good(pick) for pick in itertools.combinations_with_replacement(OFFERS, count))
        ),
        None,
    )
    if best is None:
        assert len(chosen) == 4  # all that may be rented: it helps, though it does not save all
    else:
        assert len(chosen) == best and good(tuple(chosen))


def test_rentals_stay_within_what_waiting_tasks_can_use() -> None:
    some = [Group(due=10.0, work=1000.0, longest=1.0, usable=1000.0)]
    assert len(fewest(some, [], 0.0, OFFERS, usable=9.0)) == 2
    assert fewest(some, [], 0.0, OFFERS, usable=0.0) == []


def test_a_group_is_never_faster_than_one_task_or_its_usable_cores() -> None:
    assert ends([Group(99.0, 10.0, 7.0, 100.0)], [Supply(0.0, 100.0)], 0.0) == [7.0]
    assert ends([Group(99.0, 40.0, 1.0, 2.0)], [Supply(0.0, 100.0)], 0.0) == [20.0]


def test_band() -> None:
    assert band(50, 100, 0.4, 0.05) is Band.RENT
    assert band(42, 100, 0.4, 0.05) is Band.STAY
    assert band(30, 100, 0.4, 0.05) is Band.RETURN
    assert band(1, 0, 0.4, 0.05) is Band.RENT
    assert band(0, 0, 0.4, 0.05) is Band.STAY


@steady
@given(st.integers(0, 60))
def test_refill_is_fewest_and_covers_what_is_lacking(lacking: int) -> None:
    chosen = refill(OFFERS, float(lacking), 50)
    best = next(
        count
        for count in itertools.count()
        if any(
            sum(offer.cores for offer in pick) >= lacking
            for pick in itertools.combinations_with_replacement(OFFERS, count)
        )
    )
    assert len(chosen) == best and sum(offer.cores for offer in chosen) >= lacking
    # The last machine is no dearer than it must be.
    if chosen:
        rest = lacking - sum(offer.cores for offer in chosen[:-1])
        assert chosen[-1].price_per_hour == min(offer.price_per_hour for offer in OFFERS if offer.cores >= rest)


def test_dear_kinds_are_rented_only_where_no_others_are_left() -> None:
    dear = Offer("l", "x", False, 8.0, 1.6, 5.0)
    some = [Group(due=30.0, work=160.0, longest=1.0, usable=99.0)]
    assert dear not in fewest(some, [], 0.0, [*OFFERS, dear], usable=99.0)
    assert set(fewest(some, [], 0.0, [dear], usable=99.0)) == {dear}
    few = [Offer("s", "x", True, 2.0, 0.1, 5.0, max_count=2), dear]
    assert [offer.cores for offer in refill(few, 20.0, 50)] == [2.0, 2.0, 8.0, 8.0]
