"""Tests of the link state."""

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.common.clock import seconds
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.links import LinkState
from elmthread.reachability.tests.stand_ins import DETERMINISTIC_SETTINGS, ManualClock, encode_view_of
from elmthread.reachability.view_exchange import ViewExchange

EVENTS = st.lists(
    st.tuples(st.sampled_from(["confirm", "arrive", "look"]), st.floats(0.0, 6.0), st.floats(0.0, 6.0)), max_size=12
)


@settings(DETERMINISTIC_SETTINGS)
@given(EVENTS)
def test_only_round_trips_confirm_a_link_and_only_for_a_limited_time(events: list[tuple[str, float, float]]) -> None:
    """Check that the state depends only on the start of the latest round trip, not on when the state is read."""
    clock = ManualClock()
    bounds = ReachabilityBounds(seconds(2), seconds(3), seconds(14))
    receiver, sender = ViewExchange("a", ["x"], bounds, clock, 1000), ViewExchange("x", ["a"], bounds, clock, 2000)
    link = receiver.links["x"]
    latest_start, confirmed, arrived = clock.now, False, 0
    for kind, delay, duration in events:
        clock.advance(delay)
        if kind == "confirm":
            began = max(seconds(100), clock.now - seconds(duration))
            link.confirm(began)
            latest_start, confirmed = (max(latest_start, began) if confirmed else began), True
        elif kind == "arrive":
            # This message echoes none of the receiver's messages.
            arrived += 1
            assert receiver.receive("x", encode_view_of(sender)) is None
            assert receiver.echoes() == {"x": 2000 + arrived}
        age = clock.now - latest_start
        if confirmed and age <= seconds(3):
            assert link.state is LinkState.CONFIRMED
        else:
            assert link.state is (LinkState.CUT if age > seconds(7) else LinkState.DOUBTFUL)
