"""The state of a link, and what others may make of a view of it."""

import json
import random
from bisect import bisect_left
from datetime import timedelta
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.common.clock import ZERO, seconds
from elmthread.reachability.backoff import LeadershipBackoff
from elmthread.reachability.bounds import HOUR, JITTER, ReachabilityBounds
from elmthread.reachability.exchange import ViewExchange
from elmthread.reachability.links import Link, LinkState
from elmthread.reachability.messages import LinkStatus, LinkViewMessage, encode_view

# The same examples in every run.
PLAYED = settings(derandomize=True, database=None, deadline=None)
BOUNDS = ReachabilityBounds(seconds(2), seconds(3), seconds(12))


class Time:
    """A clock that is set by hand."""

    def __init__(self) -> None:
        self.now = seconds(100)

    def __call__(self) -> timedelta:
        return self.now

    def pass_by(self, span: float) -> None:
        """Time goes on."""
        self.now += seconds(span)


EVENTS = st.lists(
    st.tuples(st.sampled_from(["confirm", "hear", "look"]), st.floats(0.0, 6.0), st.floats(0.0, 6.0)), max_size=12
)


@settings(PLAYED)
@given(EVENTS)
def test_only_a_round_trip_confirms_and_only_for_its_time(events: list[tuple[str, float, float]]) -> None:
    """Against the plain reading: the age of the newest round trip's beginning says it all, whoever looks when."""
    time = Time()
    link = Link("x", time, seconds(3), seconds(7))
    newest, known = time.now, False
    for kind, later, before in events:
        time.pass_by(later)
        if kind == "confirm":
            began = max(seconds(100), time.now - seconds(before))
            link.confirm(began)
            newest, known = (max(newest, began) if known else began), True
        elif kind == "hear":
            link.hear()
            assert link.heard_at == time.now
        age = time.now - newest
        if known and age <= seconds(3):
            assert link.state is LinkState.CONFIRMED
        else:
            assert link.state is (LinkState.CUT if age > seconds(7) else LinkState.DOUBTFUL)


def pair(time: Time) -> tuple[ViewExchange, ViewExchange]:
    return (
        ViewExchange("a", ["b", "c"], BOUNDS, time, 1000),
        ViewExchange("b", ["a", "c"], BOUNDS, time, 2000),
    )


def said(one: ViewExchange, **changes: Any) -> msgspec.Raw:
    """A view of a node with a good link to the state service."""
    view = LinkViewMessage(one.next_number(), one.echoes(), LinkStatus(LinkState.CONFIRMED, 0.1), {})
    return msgspec.Raw(encode_view(msgspec.structs.replace(view, **changes)))


def test_a_link_is_confirmed_by_an_echo_as_of_the_sending() -> None:
    time = Time()
    a, b = pair(time)
    assert b.hear("a", said(a)) is None
    assert b.links["a"].heard_at is not None and b.links["a"].state is LinkState.DOUBTFUL
    time.pass_by(1)
    sent = time.now
    echo = said(b)
    time.pass_by(1)
    assert a.hear("b", echo) is not None
    # A's message was sent two seconds ago, and that is as far as the round trip reaches back.
    assert a.links["b"].confirmed_at == sent - seconds(1) and a.view_of("b") is not None
    time.pass_by(2.5)
    assert a.view_of("b") is None and a.links["b"].state is LinkState.DOUBTFUL


def test_one_way_only_confirms_nothing() -> None:
    time = Time()
    a, b = pair(time)
    for _ in range(10):
        time.pass_by(1)
        a.next_number()
        assert a.hear("b", said(b)) is None
    assert a.links["b"].state is LinkState.CUT and a.links["b"].heard_at == time.now


def test_a_view_that_was_held_up_is_dropped_by_our_own_clock() -> None:
    time = Time()
    a, b = pair(time)
    b.hear("a", said(a))
    held = said(b)
    time.pass_by(BOUNDS.view_age.total_seconds() + 0.1)
    assert a.hear("b", held) is None and a.dropped == 1 and a.view_of("b") is None
    # An earlier process of ours sent what this one echoes.
    again = ViewExchange("a", ["b", "c"], BOUNDS, time, 500_000)
    assert again.hear("b", held) is None and again.links["b"].state is not LinkState.CONFIRMED


@pytest.mark.parametrize(
    ("sender", "changes"),
    [
        ("d", {}),
        ("b", {"store": LinkStatus(LinkState.CONFIRMED)}),
        ("b", {"store": LinkStatus(LinkState.CONFIRMED, -1.0)}),
        ("b", {"workers": {"east": LinkStatus(LinkState.CUT, 1e12)}}),
        ("b", {"peers": {"b": LinkStatus(LinkState.CUT, 9.0)}}),
        ("b", {"successor": "b", "successor_token": 4}),
        ("b", {"echoes": {"a": 5000}}),
        ("b", {"number": "nine"}),
        ("b", {"store": {"state": "splendid"}}),
    ],
    ids=["unknown", "never", "negative", "endless", "itself", "heir of itself", "not sent", "text", "no state"],
)
def test_what_is_malformed_contradictory_or_of_an_unknown_node_is_dropped(sender: str, changes: dict[str, Any]) -> None:
    time = Time()
    a, b = pair(time)
    b.hear("a", said(a))
    good = json.loads(bytes(said(b)))
    built = msgspec.Raw(msgspec.json.encode(good | msgspec.to_builtins(changes)))
    assert a.hear(sender, built) is None
    assert a.dropped == 1 and a.view_of("b") is None
    assert a.hear("b", said(b)) is not None


def test_rests_grow_while_cuts_return_and_are_forgotten_in_quiet() -> None:
    time = Time()
    backoff = LeadershipBackoff(BOUNDS, time, random.Random(1), alone=False)
    assert not backoff.resting and backoff.wait_before_standing(ZERO) == ZERO
    rests = []
    for _ in range(8):
        backoff.rest()
        began = time.now
        # A vacancy ends what a rest leaves to others.
        assert backoff.wait_before_standing(BOUNDS.least_rest) == ZERO
        assert ZERO < backoff.wait_before_standing(ZERO) <= BOUNDS.least_rest
        while backoff.resting:
            time.pass_by(0.5)
        rests.append(time.now - began)
    assert rests[0] <= BOUNDS.least_rest + seconds(0.5) and rests[-1] > BOUNDS.longest_rest * (1 - JITTER)
    assert max(rests) <= BOUNDS.longest_rest + seconds(0.5) and rests[3] > rests[0]
    time.pass_by(10 * BOUNDS.longest_rest.total_seconds())
    backoff.rest()
    assert backoff._until - time.now == BOUNDS.least_rest
    # Nobody is there to leave leadership to.
    alone = LeadershipBackoff(BOUNDS, time, random.Random(1), alone=True)
    alone.rest(at_length=True)
    assert not alone.resting


@settings(PLAYED)
@given(st.integers(0, 1000), st.sampled_from([0.1, 0.5, 3.0, 30.0, 100.0]))
def test_terms_that_cuts_end_are_no_more_than_the_bound_in_any_hour(seed: int, longest_pause: float) -> None:
    """Three nodes, each of whose terms is ended at once; the next begins as soon as the rests allow it."""
    time = Time()
    nodes = [LeadershipBackoff(BOUNDS, time, random.Random(seed + n), alone=False) for n in range(3)]
    began: list[timedelta] = []
    vacant_since = time.now
    rng = random.Random(seed)
    for _ in range(2000):
        time.pass_by(rng.uniform(0.0, longest_pause))
        waits = [one.wait_before_standing(time.now - vacant_since) for one in nodes]
        if min(waits) == ZERO:
            nodes[waits.index(ZERO)].rest()
            began.append(time.now)
            vacant_since = time.now
    for number, first in enumerate(began):
        assert bisect_left(began, first + HOUR) - number <= BOUNDS.most_terms_an_hour(3)
