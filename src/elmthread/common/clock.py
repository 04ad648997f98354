"""Monotonic time as timedelta, and the allowance for clock drift between machines."""

import time
from collections.abc import Callable
from datetime import timedelta

Clock = Callable[[], timedelta]

ZERO = timedelta()
# The clock rates of two machines differ by at most 0.05% in either direction; the allowance is twice that.
DRIFT_ALLOWANCE = 0.001


def steady_clock() -> timedelta:
    """Return the time since an arbitrary reference point, by this machine's monotonic clock."""
    return timedelta(seconds=time.monotonic())


def seconds(value: float) -> timedelta:
    """Return a time span of `value` seconds."""
    return timedelta(seconds=value)


def reduce_for_drift(span: timedelta) -> timedelta:
    """Shorten `span` so that, measured here, it surely ends before `span` has passed on another machine's clock."""
    return span * (1 - DRIFT_ALLOWANCE)


def extend_for_drift(span: timedelta) -> timedelta:
    """Extend `span` so that, measured here, it ends only after `span` has passed on another machine's clock."""
    return span * (1 + DRIFT_ALLOWANCE)
