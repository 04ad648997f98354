"""Steady time as timedelta, and the allowance for clocks that drift apart."""

import time
from collections.abc import Callable
from datetime import timedelta

Clock = Callable[[], timedelta]

ZERO = timedelta()
# Clocks of two machines differ by at most 0.05%; twice that covers both directions.
DRIFT = 0.001


def steady() -> timedelta:
    """Time since some moment, by this machine's steady clock."""
    return timedelta(seconds=time.monotonic())


def seconds(value: float) -> timedelta:
    """A span of so many seconds."""
    return timedelta(seconds=value)


def at_most(span: timedelta) -> timedelta:
    """How much of span may be trusted here when another clock measures it."""
    return span * (1 - DRIFT)


def at_least(span: timedelta) -> timedelta:
    """How long to wait here until span has surely passed on another clock."""
    return span * (1 + DRIFT)
