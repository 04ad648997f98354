"""Counts calls of the code under test and changes of the store, for tests that bound work instead of time."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from tests.world.world import World


def observe_calls(patch: pytest.MonkeyPatch, owner: Any, name: str, observe: Callable[[], None]) -> None:
    """Call `observe` before each call of a function, whose behaviour does not change."""
    real = getattr(owner, name)

    def observed(*arguments: Any, **named: Any) -> Any:
        observe()
        return real(*arguments, **named)

    patch.setattr(owner, name, observed)


def count_calls(patch: pytest.MonkeyPatch, calls: Counter[str], owner: Any, name: str) -> None:
    """Count each call of a function, by its name."""

    def count() -> None:
        calls[name] += 1

    observe_calls(patch, owner, name, count)


def count_changes(world: World, changes: Counter[int]) -> None:
    """Count the changes requested of the store, by second."""
    transact = world.store._transact

    def counted(body: Any) -> Any:
        changes[int(world.loop.now)] += len(body.get("then", []))
        return transact(body)

    world.store._transact = counted  # type: ignore[method-assign]
