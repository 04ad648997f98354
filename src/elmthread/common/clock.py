"""Monotonic time as timedelta, and the allowance for clocks that drift apart."""

import time
from collections.abc import Callable
from datetime import timedelta

Clock = Callable[[], timedelta]

ZERO = timedelta()
# Clocks of two machines differ by at most 0.05%; twice that covers both directions.
DRIFT = 0.001


def steady_clock() -> timedelta:
    """Return the time since an arbitrary moment, by this machine's monotonic clock."""
    return timedelta(seconds=time.monotonic())


def seconds(value: float) -> timedelta:
    """Return a time span of so many seconds."""
    return timedelta(seconds=value)


def reduce_for_drift(span: timedelta) -> timedelta:
    """Return the span that, measured here, surely ends before `span` has passed on another clock."""
    return span * (1 - DRIFT)


def extend_for_drift(span: timedelta) -> timedelta:
    """Return how long to wait here until the span has surely passed on another clock."""
    return span * (1 + DRIFT)
