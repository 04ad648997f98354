"""Counts calls of the code under test and changes of the store, for tests that bound work instead of time."""

from collections import Counter
from typing import Any

import pytest

from tests.world.world import World


def count_calls(patch: pytest.MonkeyPatch, calls: Counter[str], owner: Any, name: str) -> None:
    """Counts each call of a function and leaves it as it is."""
    real = getattr(owner, name)

    def counted(*arguments: Any, **named: Any) -> Any:
        calls[name] += 1
        return real(*arguments, **named)

    patch.setattr(owner, name, counted)


def count_changes(world: World, changes: Counter[int]) -> None:
    """Counts the changes that the state service is asked for, by second."""
    transact = world.store._transact

    def counted(body: Any) -> Any:
        changes[int(world.loop.now)] += len(body.get("then", []))
        return transact(body)

    world.store._transact = counted  # type: ignore[method-assign]
