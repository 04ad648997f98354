"""An event loop whose time jumps to the next timer: minutes pass in milliseconds."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any


class _Jumping(selectors.SelectSelector):
    """Never waits; tells the loop how far to jump instead."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: SimLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        found = super().select(0)
        if not found and timeout is None:
            raise RuntimeError("the simulated world has come to a standstill")
        if not found and timeout and self.loop is not None:
            self.loop.now += timeout
        return found


class SimLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.now = 0.0
        selector = _Jumping()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        return self.now

    def clock(self, drift: float = 0.0) -> timedelta:
        """A node's steady clock, fast or slow by `drift`, with an offset of its own."""
        return timedelta(seconds=self.now * (1 + drift) + 1000 * abs(drift))


def play(main: "Coroutine[Any, Any, None]", loop: SimLoop) -> None:
    """Runs `main` to its end in simulated time and ends what it left running."""
    try:
        loop.run_until_complete(main)
    finally:
        rest = asyncio.all_tasks(loop)
        for task in rest:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*rest, return_exceptions=True))
        loop.close()
