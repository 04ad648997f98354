"""Tests of which views confirm a link and which are rejected."""

import json
from typing import Any

import msgspec
import pytest

from elmthread.common.clock import seconds
from elmthread.reachability.links import LinkState
from elmthread.reachability.messages import LinkStatus
from elmthread.reachability.tests.stand_ins import BOUNDS, ManualClock, encode_view_of
from elmthread.reachability.view_exchange import ViewExchange


def make_exchanges(clock: ManualClock) -> tuple[ViewExchange, ViewExchange]:
    return (
        ViewExchange("a", ["b", "c"], BOUNDS, clock, 1000),
        ViewExchange("b", ["a", "c"], BOUNDS, clock, 2000),
    )


def test_echo_confirms_a_link_as_of_the_time_of_sending() -> None:
    clock = ManualClock()
    a, b = make_exchanges(clock)
    assert b.receive("a", encode_view_of(a)) is None
    assert b.echoes() == {"a": 1001} and b.links["a"].state is LinkState.DOUBTFUL
    clock.advance(1)
    sent = clock.now
    echo = encode_view_of(b)
    clock.advance(1)
    assert a.receive("b", echo) is not None
    # The link counts as confirmed from the time at which `a` sent its message, two seconds ago.
    assert a.links["b"].confirmed_at == sent - seconds(1) and a.view_of("b") is not None
    clock.advance(2.5)
    assert a.view_of("b") is None and a.links["b"].state is LinkState.DOUBTFUL


def test_one_way_messages_confirm_nothing() -> None:
    clock = ManualClock()
    a, b = make_exchanges(clock)
    for _ in range(10):
        clock.advance(1)
        a.next_number()
        assert a.receive("b", encode_view_of(b)) is None
    assert a.links["b"].state is LinkState.CUT and a.echoes() == {"b": 2010}


def test_delayed_view_is_rejected_by_the_receivers_clock() -> None:
    clock = ManualClock()
    a, b = make_exchanges(clock)
    b.receive("a", encode_view_of(a))
    delayed = encode_view_of(b)
    clock.advance(BOUNDS.max_view_age.total_seconds() + 0.1)
    assert a.receive("b", delayed) is None and a.rejected_count == 1 and a.view_of("b") is None
    # The delayed view echoes a message that an earlier process of this node sent.
    restarted = ViewExchange("a", ["b", "c"], BOUNDS, clock, 500_000)
    assert restarted.receive("b", delayed) is None and restarted.links["b"].state is not LinkState.CONFIRMED


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
def test_invalid_view_is_rejected(sender: str, changes: dict[str, Any]) -> None:
    clock = ManualClock()
    a, b = make_exchanges(clock)
    b.receive("a", encode_view_of(a))
    valid = json.loads(bytes(encode_view_of(b)))
    encoded = msgspec.Raw(msgspec.json.encode(valid | msgspec.to_builtins(changes)))
    assert a.receive(sender, encoded) is None
    assert a.rejected_count == 1 and a.view_of("b") is None
    assert a.receive("b", encode_view_of(b)) is not None
