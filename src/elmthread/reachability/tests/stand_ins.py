"""Fixtures for the reachability tests: a manual clock, timeouts and link views."""

from datetime import timedelta
from typing import Any

import msgspec
from hypothesis import settings

from elmthread.common.clock import seconds
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.links import LinkState
from elmthread.reachability.messages import LinkStatus, LinkViewMessage, encode_view
from elmthread.reachability.view_exchange import ViewExchange

# Hypothesis settings with the same examples in every run.
DETERMINISTIC_SETTINGS = settings(derandomize=True, database=None, deadline=None)
BOUNDS = ReachabilityBounds(seconds(2), seconds(3), seconds(12))


class ManualClock:
    """A clock that tests advance explicitly."""

    def __init__(self) -> None:
        self.now = seconds(100)

    def __call__(self) -> timedelta:
        return self.now

    def advance(self, duration_s: float) -> None:
        """Advance the clock by that many seconds."""
        self.now += seconds(duration_s)


def encode_view_of(exchange: ViewExchange, **changes: Any) -> msgspec.Raw:
    """Return the encoded view of a node with a confirmed link to the key-value store."""
    view = LinkViewMessage(exchange.next_number(), exchange.echoes(), LinkStatus(LinkState.CONFIRMED, 0.1), {})
    return msgspec.Raw(encode_view(msgspec.structs.replace(view, **changes)))
