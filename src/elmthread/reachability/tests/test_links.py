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
from elmthread.reachability.bounds import BACKOFF_JITTER, HOUR, ReachabilityBounds
from elmthread.reachability.links import LinkState
from elmthread.reachability.messages import LinkStatus, LinkViewMessage, encode_view
from elmthread.reachability.view_exchange import ViewExchange

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
    st.tuples(st.sampled_from(["confirm", "arrive", "look"]), st.floats(0.0, 6.0), st.floats(0.0, 6.0)), max_size=12
)


@settings(PLAYED)
@given(EVENTS)
def test_only_a_round_trip_confirms_and_only_for_its_time(events: list[tuple[str, float, float]]) -> None:
    """Against the plain reading: the age of the newest round trip's beginning says it all, whoever looks when."""
    time = Time()
    bounds = ReachabilityBounds(seconds(2), seconds(3), seconds(14))
    receiver, sender = ViewExchange("a", ["x"], bounds, time, 1000), ViewExchange("x", ["a"], bounds, time, 2000)
    link = receiver.links["x"]
    newest, known, arrived = time.now, False, 0
    for kind, later, before in events:
        time.pass_by(later)
        if kind == "confirm":
            began = max(seconds(100), time.now - seconds(before))
            link.confirm(began)
            newest, known = (max(newest, began) if known else began), True
        elif kind == "arrive":
            # It echoes nothing that was sent here.
            arrived += 1
            assert receiver.receive("x", announced_by(sender)) is None
            assert receiver.echoes() == {"x": 2000 + arrived}
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


def announced_by(one: ViewExchange, **changes: Any) -> msgspec.Raw:
    """The view of a node with a confirmed link to the key-value store."""
    view = LinkViewMessage(one.next_number(), one.echoes(), LinkStatus(LinkState.CONFIRMED, 0.1), {})
    return msgspec.Raw(encode_view(msgspec.structs.replace(view, **changes)))


def test_a_link_is_confirmed_by_an_echo_as_of_the_sending() -> None:
    time = Time()
    a, b = pair(time)
    assert b.receive("a", announced_by(a)) is None
    assert b.echoes() == {"a": 1001} and b.links["a"].state is LinkState.DOUBTFUL
    time.pass_by(1)
    sent = time.now
    echo = announced_by(b)
    time.pass_by(1)
    assert a.receive("b", echo) is not None
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
        assert a.receive("b", announced_by(b)) is None
    assert a.links["b"].state is LinkState.CUT and a.echoes() == {"b": 2010}


def test_a_view_that_was_held_up_is_rejected_by_our_own_clock() -> None:
    time = Time()
    a, b = pair(time)
    b.receive("a", announced_by(a))
    held = announced_by(b)
    time.pass_by(BOUNDS.max_view_age.total_seconds() + 0.1)
    assert a.receive("b", held) is None and a.rejected_count == 1 and a.view_of("b") is None
    # An earlier process of ours sent what this one echoes.
    again = ViewExchange("a", ["b", "c"], BOUNDS, time, 500_000)
    assert again.receive("b", held) is None and again.links["b"].state is not LinkState.CONFIRMED


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
    ids=["unknown", "never", "negative", "endless", "itself", "its own successor", "not sent", "text", "no state"],
)
def test_a_view_that_is_malformed_contradictory_or_of_an_unknown_node_is_rejected(
    sender: str, changes: dict[str, Any]
) -> None:
    time = Time()
    a, b = pair(time)
    b.receive("a", announced_by(a))
    good = json.loads(bytes(announced_by(b)))
    built = msgspec.Raw(msgspec.json.encode(good | msgspec.to_builtins(changes)))
    assert a.receive(sender, built) is None
    assert a.rejected_count == 1 and a.view_of("b") is None
    assert a.receive("b", announced_by(b)) is not None


def test_backoffs_grow_while_cuts_return_and_are_forgotten_without_cuts() -> None:
    time = Time()
    backoff = LeadershipBackoff(BOUNDS, time, random.Random(1), alone=False)
    assert not backoff.is_active and backoff.candidacy_delay(ZERO) == ZERO
    durations = []
    for _ in range(8):
        backoff.begin()
        began = time.now
        # A vacancy ends what a backoff leaves to others.
        assert backoff.candidacy_delay(BOUNDS.min_backoff) == ZERO
        assert ZERO < backoff.candidacy_delay(ZERO) <= BOUNDS.min_backoff
        while backoff.is_active:
            time.pass_by(0.5)
        durations.append(time.now - began)
    assert durations[0] <= BOUNDS.min_backoff + seconds(0.5) and durations[-1] > BOUNDS.max_backoff * (
        1 - BACKOFF_JITTER
    )
    assert max(durations) <= BOUNDS.max_backoff + seconds(0.5) and durations[3] > durations[0]
    time.pass_by(10 * BOUNDS.max_backoff.total_seconds())
    backoff.begin()
    assert backoff._until - time.now == BOUNDS.min_backoff
    # Nobody is there to leave leadership to.
    alone = LeadershipBackoff(BOUNDS, time, random.Random(1), alone=True)
    alone.begin(longest=True)
    assert not alone.is_active


@settings(PLAYED)
@given(st.integers(0, 1000), st.sampled_from([0.1, 0.5, 3.0, 30.0, 100.0]))
def test_terms_that_cuts_end_are_no_more_than_the_bound_in_any_hour(seed: int, longest_pause: float) -> None:
    """Three nodes, each of whose terms is ended at once; the next begins as soon as the backoffs allow it."""
    time = Time()
    nodes = [LeadershipBackoff(BOUNDS, time, random.Random(seed + n), alone=False) for n in range(3)]
    began: list[timedelta] = []
    vacant_since = time.now
    rng = random.Random(seed)
    for _ in range(2000):
        time.pass_by(rng.uniform(0.0, longest_pause))
        waits = [one.candidacy_delay(time.now - vacant_since) for one in nodes]
        if min(waits) == ZERO:
            nodes[waits.index(ZERO)].begin()
            began.append(time.now)
            vacant_since = time.now
    for number, first in enumerate(began):
        assert bisect_left(began, first + HOUR) - number <= BOUNDS.max_terms_per_hour(3)
