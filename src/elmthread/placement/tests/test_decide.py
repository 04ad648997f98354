"""Placement against plain bounds, checked one by one."""

import math
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.placement.decide import Room, Slot, Victim, Want, allowed, place, preempt

steady = settings(max_examples=150, deadline=None, derandomize=True, database=None)

slots = st.lists(
    st.builds(
        Slot,
        name=st.sampled_from("abcdefgh"),
        build=st.sampled_from(["s", "l"]),
        zone=st.sampled_from(["x", "y"]),
        spot=st.booleans(),
        cpus=st.integers(0, 8).map(float),
        cards=st.just(0.0),
        ram=st.integers(1, 8).map(float),
    ),
    max_size=5,
    unique_by=lambda slot: slot.name,
)
wants = st.lists(
    st.builds(
        Want,
        job=st.sampled_from(["j1", "j2", "j3", "j4"]),
        team=st.sampled_from(["t1", "t2"]),
        order=st.tuples(st.integers(0, 3).map(float)),
        count=st.integers(1, 6),
        cpus=st.sampled_from([1.0, 1.5, 2.0]),
        cards=st.just(0.0),
        ram=st.sampled_from([0.5, 1.0]),
        types=st.none() | st.just(frozenset({"l"})),
        zone=st.none() | st.just("x"),
        spot=st.booleans(),
        one_zone=st.booleans(),
        zones=st.just({}).map(dict),
        zone_most=st.sampled_from([math.inf, 2.0]),
        urgent=st.booleans(),
    ),
    max_size=4,
    unique_by=lambda want: want.job,
)


@steady
@given(slots, wants, st.integers(0, 8))
def test_placement_keeps_every_bound_and_leaves_no_room_unused(
    machines: list[Slot], jobs: list[Want], limit: int
) -> None:
    jobs.sort(key=lambda want: want.order)
    before = {slot.name: (slot.cpus, slot.ram) for slot in machines}
    counts = {want.job: want.count for want in jobs}
    rooms = {"t1": Room(float(limit)), "t2": Room()}
    placed = place(jobs, machines, rooms)
    used: dict[str, float] = {}
    team = 0.0
    where: dict[str, list[str]] = {}
    for want, slot, count in placed:
        assert count > 0
        used[slot.name] = used.get(slot.name, 0.0) + count * want.cpus
        team += count * want.cpus if want.team == "t1" else 0.0
        where.setdefault(want.job, []).extend([slot.zone] * count)
        assert (want.types is None or slot.build in want.types) and (want.zone in (None, slot.zone))
        assert want.spot or not slot.spot
    assert team <= limit
    for name, cpus in used.items():
        assert cpus <= before[name][0]
    for want in jobs:
        zones = where.get(want.job, [])
        assert len(zones) <= counts[want.job]
        if want.one_zone:
            assert len(set(zones)) <= 1
        if want.zone_most < math.inf:
            assert all(zones.count(zone) <= want.zone_most for zone in zones)
    # Nothing that waits could still be put anywhere, unless room is kept for urgent work.
    kept = any(want.urgent and want.count for want in jobs)
    for want in jobs:
        if want.count and not kept:
            for slot in machines:
                fits = (
                    slot.cpus >= want.cpus
                    and slot.ram >= want.ram
                    and rooms[want.team].cpus >= want.cpus
                    and allowed(want, slot.build, slot.zone, slot.spot)
                    and want.zones.get(slot.zone, 0) < want.zone_most
                )
                assert not fits


def want(job: str, count: int, cpus: float, team: str = "t", urgent: bool = False) -> Want:
    return Want(job=job, team=team, order=(0.0,), count=count, cpus=cpus, cards=0.0, ram=0.1, urgent=urgent)


def test_room_under_a_limit_gathers_for_urgent_work() -> None:
    """One core at a time came free and went to one-core tasks, so the two-core urgent one starved."""
    slot = Slot("m", "s", "x", False, cpus=8.0, cards=0.0, ram=8.0)
    rooms = {"t": Room(1.0)}
    urgent, other = want("u", 1, 2.0, urgent=True), want("o", 5, 1.0)
    assert place([urgent, other], [slot], rooms) == []


def test_team_at_its_limit_makes_room_itself() -> None:
    slots = {"m": Slot("m", "s", "x", False, cpus=8.0, cards=0.0, ram=8.0)}
    victims = [Victim(n, "m", team, 1.0, 0.0, 0.1) for n, team in enumerate(["t", "v", "t", "t"])]
    chosen = preempt(want("u", 1, 2.0, urgent=True), slots, victims, Room(0.0))
    assert [victim.team for victim in chosen] == ["t", "t"]


@steady
@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 9)), max_size=6), st.integers(0, 3), st.integers(1, 4))
def test_preemption_frees_enough_and_nothing_needless(held: list[tuple[int, int]], free: int, need: int) -> None:
    victims = [
        Victim(n, "m", "other", float(cpus), 0.0, 0.0, timedelta(seconds=loss)) for n, (cpus, loss) in enumerate(held)
    ]
    slot = Slot("m", "s", "x", False, cpus=float(free), cards=0.0, ram=9.0)
    chosen = preempt(want("u", 1, float(need)), {"m": slot}, list(victims), Room())
    if free + sum(cpus for cpus, _ in held) < need or free >= need:
        assert chosen == []
    else:
        freed = free + sum(victim.cpus for victim in chosen)
        assert freed >= need
        # The last one chosen was still needed.
        assert freed - chosen[-1].cpus < need
