"""The successors that leaders name when they hand over leadership."""

from datetime import timedelta

import msgspec

from elmthread.common.clock import ZERO, Clock


class Successor(msgspec.Struct, frozen=True):
    """The node that is to lead after the term `fencing_token`, and until when it has precedence over the others."""

    node: str
    fencing_token: int
    precedence_until: timedelta


class Succession:
    """The latest successors named by this node and by other nodes."""

    def __init__(self, clock: Clock, precedence: timedelta) -> None:
        """Start with no successor; a named one has precedence over other candidates for `precedence`."""
        self._clock = clock
        self._precedence = precedence
        self._own_successor: Successor | None = None
        self._peer_successor: Successor | None = None

    def name_successor(self, node: str, fencing_token: int) -> None:
        """Name the node that is to lead after the term with that token, which this node is about to end."""
        self._own_successor = Successor(node, fencing_token, self._clock() + self._precedence)

    def successor_to_announce(self) -> Successor | None:
        """Return the successor that this node has named, as long as it has precedence."""
        named = self._own_successor
        return named if named is not None and self._clock() < named.precedence_until else None

    def observe_successor(self, node: str, fencing_token: int) -> None:
        """Record the successor that another node has named; a repeated message does not extend its precedence."""
        if self._peer_successor is not None and fencing_token <= self._peer_successor.fencing_token:
            return
        self._peer_successor = Successor(node, fencing_token, self._clock() + self._precedence)

    def announced_by_other(self, fencing_token: int) -> Successor | None:
        """Return the successor that another node has named to lead after the term with that token."""
        named = self._peer_successor
        return named if named is not None and named.fencing_token == fencing_token else None

    def remaining_precedence(self, successor: Successor) -> timedelta:
        """Return how much longer the successor has precedence."""
        return max(successor.precedence_until - self._clock(), ZERO)
