"""Tests of which views confirm a link and which are rejected."""

import json
from typing import Any

import msgspec
import pytest

from elmthread.common.clock import seconds
from elmthread.reachability.links import LinkState
from elmthread.reachability.messages import LinkStatus
from elmthread.reachability.tests.stand_ins import BOUNDS, ManualClock, announced_by
from elmthread.reachability.view_exchange import ViewExchange


def pair(clock: ManualClock) -> tuple[ViewExchange, ViewExchange]:
    return (
        ViewExchange("a", ["b", "c"], BOUNDS, clock, 1000),
        ViewExchange("b", ["a", "c"], BOUNDS, clock, 2000),
    )


def test_a_link_is_confirmed_by_an_echo_as_of_the_sending() -> None:
    clock = ManualClock()
    a, b = pair(clock)
    assert b.receive("a", announced_by(a)) is None
    assert b.echoes() == {"a": 1001} and b.links["a"].state is LinkState.DOUBTFUL
    clock.advance(1)
    sent = clock.now
    echo = announced_by(b)
    clock.advance(1)
    assert a.receive("b", echo) is not None
    # The link counts as confirmed from the time at which `a` sent its message, two seconds ago.
    assert a.links["b"].confirmed_at == sent - seconds(1) and a.view_of("b") is not None
    clock.advance(2.5)
    assert a.view_of("b") is None and a.links["b"].state is LinkState.DOUBTFUL


def test_one_way_only_confirms_nothing() -> None:
    clock = ManualClock()
    a, b = pair(clock)
    for _ in range(10):
        clock.advance(1)
        a.next_number()
        assert a.receive("b", announced_by(b)) is None
    assert a.links["b"].state is LinkState.CUT and a.echoes() == {"b": 2010}


def test_a_view_that_was_held_up_is_rejected_by_our_own_clock() -> None:
    clock = ManualClock()
    a, b = pair(clock)
    b.receive("a", announced_by(a))
    held = announced_by(b)
    clock.advance(BOUNDS.max_view_age.total_seconds() + 0.1)
    assert a.receive("b", held) is None and a.rejected_count == 1 and a.view_of("b") is None
    # The delayed view echoes a message that an earlier process of this node sent.
    again = ViewExchange("a", ["b", "c"], BOUNDS, clock, 500_000)
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
    clock = ManualClock()
    a, b = pair(clock)
    b.receive("a", announced_by(a))
    good = json.loads(bytes(announced_by(b)))
    built = msgspec.Raw(msgspec.json.encode(good | msgspec.to_builtins(changes)))
    assert a.receive(sender, built) is None
    assert a.rejected_count == 1 and a.view_of("b") is None
    assert a.receive("b", announced_by(b)) is not None
