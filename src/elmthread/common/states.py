"""State machines, whose transitions are checked against a table of allowed ones."""

import logging
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from elmthread.common.errors import ElmthreadError

log = logging.getLogger(__name__)

S = TypeVar("S", bound=Enum)


class TransitionError(ElmthreadError):
    """A state transition that is not allowed: a bug in the program."""


def transition(name: str, table: Mapping[S, frozenset[S]], old: S, new: S) -> S:
    """Return the new state. Raises TransitionError where the table does not allow the change."""
    if new is old:
        return old
    if new not in table[old]:
        raise TransitionError(f"{name}: state transition {old.name} -> {new.name} is not allowed")
    log.debug("%s: %s -> %s", name, old.name, new.name)
    return new
