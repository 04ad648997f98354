"""Tests of the link state."""

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.common.clock import seconds
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.links import LinkState
from elmthread.reachability.tests.stand_ins import SAME_EXAMPLES, ManualClock, announced_by
from elmthread.reachability.view_exchange import ViewExchange

EVENTS = st.lists(
    st.tuples(st.sampled_from(["confirm", "arrive", "look"]), st.floats(0.0, 6.0), st.floats(0.0, 6.0)), max_size=12
)


@settings(SAME_EXAMPLES)
@given(EVENTS)
def test_only_a_round_trip_confirms_and_only_for_its_time(events: list[tuple[str, float, float]]) -> None:
    """Check that the state depends only on the start of the latest round trip, not on when the state is read."""
    clock = ManualClock()
    bounds = ReachabilityBounds(seconds(2), seconds(3), seconds(14))
    receiver, sender = ViewExchange("a", ["x"], bounds, clock, 1000), ViewExchange("x", ["a"], bounds, clock, 2000)
    link = receiver.links["x"]
    newest, known, arrived = clock.now, False, 0
    for kind, later, before in events:
        clock.advance(later)
        if kind == "confirm":
            began = max(seconds(100), clock.now - seconds(before))
            link.confirm(began)
            newest, known = (max(newest, began) if known else began), True
        elif kind == "arrive":
            # This message echoes none of the receiver's messages.
            arrived += 1
            assert receiver.receive("x", announced_by(sender)) is None
            assert receiver.echoes() == {"x": 2000 + arrived}
        age = clock.now - newest
        if known and age <= seconds(3):
            assert link.state is LinkState.CONFIRMED
        else:
            assert link.state is (LinkState.CUT if age > seconds(7) else LinkState.DOUBTFUL)
