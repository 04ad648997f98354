"""Who is to lead after a term that was handed over."""

from datetime import timedelta

import msgspec

from elmthread.common.clock import ZERO, Clock


class Successor(msgspec.Struct, frozen=True):
    """Who is to lead after the term of a token, and until when the others leave leadership to that node."""

    node: str
    fencing_token: int
    precedence_until: timedelta


class Succession:
    """The successors that this node and the others have named."""

    def __init__(self, clock: Clock, precedence: timedelta) -> None:
        """`precedence` is how long the other nodes leave leadership to a named successor."""
        self._clock = clock
        self._precedence = precedence
        self._named_here: Successor | None = None
        self._named_by_other: Successor | None = None

    def name_successor(self, node: str, fencing_token: int) -> None:
        """Name who is to lead after the term of that token, which this node is about to end."""
        self._named_here = Successor(node, fencing_token, self._clock() + self._precedence)

    def to_announce(self) -> Successor | None:
        """Return the successor that this node has named, while the others are to leave leadership to it."""
        named = self._named_here
        return named if named is not None and self._clock() < named.precedence_until else None

    def observe_successor(self, node: str, fencing_token: int) -> None:
        """Note the successor that another node has named; a repetition does not begin its precedence anew."""
        if self._named_by_other is not None and fencing_token <= self._named_by_other.fencing_token:
            return
        self._named_by_other = Successor(node, fencing_token, self._clock() + self._precedence)

    def announced_by_other(self, fencing_token: int) -> Successor | None:
        """Return who was named by another node to lead after the term of that token."""
        named = self._named_by_other
        return named if named is not None and named.fencing_token == fencing_token else None

    def remaining(self, successor: Successor) -> timedelta:
        """Return how long leadership is still left to that successor."""
        return max(successor.precedence_until - self._clock(), ZERO)
