"""A process that learns of a level that it can't read while its announcement is being written stays refused."""

import asyncio
from typing import Any

import pytest

from elmthread.common.features import SupportedLevels
from elmthread.rollout.gate import CompatibilityGate, GateState, IncompatibleLevelError
from elmthread.rollout.membership import Membership
from elmthread.settings.rollout import RolloutSettings
from elmthread.store.messages import RangePage


class SlowStore:
    """An empty store that delays each transaction."""

    async def read_page(self, prefix: str, after: str | None, page_size: int) -> RangePage:
        return RangePage([], 1)

    async def compare_and_swap(self, comparisons: Any, then: Any) -> int:
        await asyncio.sleep(0.05)
        return 2


def test_a_refusal_while_the_announcement_is_written_stays() -> None:
    refusals: list[str] = []

    async def main() -> None:
        gate = CompatibilityGate(
            Membership("a", frozenset({"a"}), SupportedLevels(1, 1), RolloutSettings(enabled=True)),
            SlowStore(),  # type: ignore[arg-type]
            lambda: refusals.append("refused"),
        )
        running = asyncio.create_task(gate.run())
        await asyncio.sleep(0.02)
        with pytest.raises(IncompatibleLevelError):
            gate.check(2)
        await asyncio.sleep(0.1)
        # A transition that GATE_TRANSITIONS does not allow would have ended the task.
        assert gate.state is GateState.REFUSED and not gate.admitted and not running.done()
        running.cancel()

    asyncio.run(main())
    assert refusals == ["refused"]
