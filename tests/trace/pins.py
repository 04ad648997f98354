"""Pins what differs between two runs: the system's random numbers and all clocks."""

import datetime as datetimes
import random
import secrets
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from typing import Any
from unittest import mock

from tests.world.loop import SimLoop

EPOCH_S = 1_700_000_000.25
PACKAGE = "elmthread"
RealDatetime = datetimes.datetime


class SimulatedTime:
    """Wall-clock and monotonic time that follow a simulated loop, once there is one."""

    def __init__(self) -> None:
        """Start at the epoch, where time stays until a loop is set."""
        self.loop: SimLoop | None = None

    def monotonic(self) -> float:
        """Return the simulated seconds since the day began."""
        return 0.0 if self.loop is None else self.loop.now

    def monotonic_ns(self) -> int:
        """Return the same in nanoseconds."""
        return int(self.monotonic() * 1e9)

    def wall(self) -> float:
        """Return the simulated seconds since 1970."""
        return EPOCH_S + self.monotonic()

    def wall_ns(self) -> int:
        """Return the same in nanoseconds."""
        return int(self.wall() * 1e9)


def _datetime(clock: SimulatedTime) -> type[RealDatetime]:
    """Return a datetime class that reads the simulated time and is otherwise unchanged."""

    class SimulatedDatetime(RealDatetime):
        @classmethod
        def now(cls, tz: datetimes.tzinfo | None = None) -> Any:
            return RealDatetime.fromtimestamp(clock.wall(), tz)

        @classmethod
        def utcnow(cls) -> Any:
            return RealDatetime.fromtimestamp(clock.wall(), datetimes.UTC).replace(tzinfo=None)

    return SimulatedDatetime


def _no_processor_time() -> int:
    """Return a constant CPU time, so that no node ever counts as overloaded."""
    return 0


def _replacements(clock: SimulatedTime) -> list[tuple[Any, str, Any]]:
    """Return the module, name and replacement of each pinned function or class."""
    clocks: dict[str, Callable[[], float]] = {
        "time": clock.wall,
        "time_ns": clock.wall_ns,
        "monotonic": clock.monotonic,
        "monotonic_ns": clock.monotonic_ns,
        "perf_counter": clock.monotonic,
        "perf_counter_ns": clock.monotonic_ns,
    }
    clocks |= dict.fromkeys(("process_time", "process_time_ns", "thread_time", "thread_time_ns"), _no_processor_time)
    found: list[tuple[Any, str, Any]] = [(time, name, one) for name, one in clocks.items()]
    return [*found, (datetimes, "datetime", _datetime(clock))]


def _patch_imported_names(stack: ExitStack, replacements: dict[int, Any]) -> None:
    """Replace what modules of the service have imported by `from time import ...` and the like.

    The variables are found by the identity of their values, so that no name of a module or variable is needed here.
    """
    modules = [one for name, one in sys.modules.items() if name == PACKAGE or name.startswith(f"{PACKAGE}.")]
    for module in modules:
        for name, value in list(vars(module).items()):
            if id(value) in replacements:
                stack.enter_context(mock.patch.object(module, name, replacements[id(value)]))


@contextmanager
def pinned(seed: int, clock: SimulatedTime) -> Iterator[None]:
    """Pin clocks and random numbers; each world also seeds those of `random` itself."""
    rng = random.Random(seed + 1000)
    with ExitStack() as stack:
        # All functions of `secrets` use this generator, however they were imported.
        stack.enter_context(mock.patch.object(secrets, "_sysrand", rng))
        replacements: dict[int, Any] = {id(secrets.choice): rng.choice, id(secrets.randbits): rng.getrandbits}
        for name in ("choice", "randbits"):
            stack.enter_context(mock.patch.object(secrets, name, replacements[id(getattr(secrets, name))]))
        for module, name, replacement in _replacements(clock):
            replacements[id(getattr(module, name))] = replacement
            stack.enter_context(mock.patch.object(module, name, replacement))
        _patch_imported_names(stack, replacements)
        random.seed(seed)
        yield
