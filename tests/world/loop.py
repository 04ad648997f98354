"""An event loop with simulated time, which jumps to the next timer: minutes pass in milliseconds.

What runs in a node's context (`NODE`) can be suspended while the clocks run on, like a process that
gets no CPU time: its callbacks are queued and run in order when it is resumed.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from datetime import timedelta
from typing import Any

NODE: ContextVar[str] = ContextVar("NODE", default="")


class _JumpingSelector(selectors.SelectSelector):
    """A selector that never waits, but advances the loop's time by the timeout."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: SimLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        found = super().select(0)
        if not found and timeout is None:
            raise RuntimeError("deadlock in the simulation: no callback is ready and no timer is pending")
        if not found and timeout and self.loop is not None:
            self.loop.now += timeout
        return found


class _NodeCallback:
    """A node's callback: runs now, or when the node is resumed, unless it was cancelled by then."""

    __slots__ = ("args", "callback", "context", "handle", "loop", "node")

    def __init__(
        self, loop: "SimLoop", node: str, callback: Callable[..., object], args: tuple[Any, ...], context: Context
    ) -> None:
        self.loop, self.node, self.callback, self.args, self.context = loop, node, callback, args, context
        self.handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if self.node in self.loop.suspended:
            self.loop.suspended[self.node].append(self)
        elif self.handle is None or not self.handle.cancelled():
            self.callback(*self.args)


class SimLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.now = 0.0
        # Suspended nodes, and the callbacks that are queued until each is resumed.
        self.suspended: dict[str, list[_NodeCallback]] = {}
        selector = _JumpingSelector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        return self.now

    def clock(self, drift: float = 0.0) -> timedelta:
        """Return the time of a node's monotonic clock, fast or slow by `drift`, with an offset of its own."""
        return timedelta(seconds=self.now * (1 + drift) + 1000 * abs(drift))

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        context = copy_context() if context is None else context
        node = context.get(NODE, "")
        if not node:
            return super().call_soon(callback, *args, context=context)
        node_callback = _NodeCallback(self, node, callback, args, context)
        node_callback.handle = super().call_soon(node_callback, context=context)
        return node_callback.handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        context = copy_context() if context is None else context
        node = context.get(NODE, "")
        if not node:
            return super().call_at(when, callback, *args, context=context)
        node_callback = _NodeCallback(self, node, callback, args, context)
        handle = super().call_at(when, node_callback, context=context)
        node_callback.handle = handle
        return handle

    def suspend(self, node: str) -> None:
        self.suspended.setdefault(node, [])

    def resume(self, node: str) -> None:
        for node_callback in self.suspended.pop(node, []):
            super().call_soon(node_callback, context=node_callback.context)


def play(main: "Coroutine[Any, Any, None]", loop: SimLoop) -> None:
    """Run `main` to its end in simulated time, then cancel the tasks that it left running."""
    try:
        loop.run_until_complete(main)
    finally:
        for node in list(loop.suspended):
            loop.resume(node)
        rest = asyncio.all_tasks(loop)
        for task in rest:
            task.cancel()
        if rest:
            # Tasks of a node that was killed while suspended never end.
            loop.run_until_complete(asyncio.wait(rest, timeout=5))
        loop.close()
