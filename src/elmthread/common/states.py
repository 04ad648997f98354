"""The one way in which a named state changes: along a table of allowed steps."""

import logging
from collections.abc import Mapping
from enum import Enum
from typing import TypeVar

from elmthread.common.errors import ElmthreadError

log = logging.getLogger(__name__)

S = TypeVar("S", bound=Enum)


class TransitionError(ElmthreadError):
    """A change of state that the table does not allow: a fault in the program."""


def step(name: str, table: Mapping[S, frozenset[S]], old: S, new: S) -> S:
    """The new state. Raises TransitionError where the table does not allow the change."""
    if new is old:
        return old
    if new not in table[old]:
        raise TransitionError(f"{name}: {old.name} -> {new.name}")
    log.debug("%s: %s -> %s", name, old.name, new.name)
    return new
