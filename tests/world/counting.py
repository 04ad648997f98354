"""Counts calls of the code under test, for tests that bound work instead of time."""

from collections import Counter
from typing import Any

import pytest


def count_calls(patch: pytest.MonkeyPatch, calls: Counter[str], owner: Any, name: str) -> None:
    """Counts each call of a function and leaves it as it is."""
    real = getattr(owner, name)

    def counted(*arguments: Any, **named: Any) -> Any:
        calls[name] += 1
        return real(*arguments, **named)

    patch.setattr(owner, name, counted)
