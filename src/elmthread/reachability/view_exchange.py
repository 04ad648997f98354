"""Exchange of link views with the other nodes, whose echoes confirm the links to them.

Each node numbers its messages and records when it sent them. A message that echoes one of this node's numbers was
created after that message was sent. It therefore confirms the link in both directions. By this node's clock, its
content is at most as old as the echoed message, even if it was delayed.
"""

import logging
from collections import deque
from collections.abc import Iterable, Mapping
from datetime import timedelta

import msgspec

from elmthread.common.clock import Clock
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.links import Link
from elmthread.reachability.messages import InvalidViewError, LinkViewMessage, read_view

log = logging.getLogger(__name__)

# The number of sent messages whose times are kept; an echo of an older message is too old to confirm a link.
MAX_SENT_RECORDS = 64


class ReceivedView(msgspec.Struct, frozen=True):
    """An accepted view, and a lower bound of the time at which it was created, by this node's clock."""

    view: LinkViewMessage
    made_after: timedelta


class ViewExchange:
    """Numbers this node's messages and keeps the latest view of each other node."""

    def __init__(
        self, node: str, others: Iterable[str], bounds: ReachabilityBounds, clock: Clock, first_number: int
    ) -> None:
        """Start at the random `first_number`, so that echoes of an earlier process's messages can be recognized."""
        self._node = node
        self._bounds = bounds
        self._clock = clock
        self.links: Mapping[str, Link] = {
            other: Link(other, clock, bounds.peer_confirmed_for, bounds.cut_after) for other in others
        }
        self._number = first_number
        self._sent: deque[tuple[int, timedelta]] = deque(maxlen=MAX_SENT_RECORDS)
        self._views: dict[str, ReceivedView] = {}
        self._latest_numbers: dict[str, int] = {}
        self.rejected_count = 0

    def next_number(self) -> int:
        """Return the number for a message that is sent now, and record the time."""
        self._number += 1
        self._sent.append((self._number, self._clock()))
        return self._number

    def echoes(self) -> dict[str, int]:
        """Return the number of the latest message received from each node."""
        return dict(self._latest_numbers)

    def receive(self, sender: str, raw: msgspec.Raw) -> LinkViewMessage | None:
        """Return a view and confirm the link; None if it is invalid, outdated or echoes no known message."""
        link = self.links.get(sender)
        if link is None:
            self._reject(sender, "unknown node")
            return None
        try:
            view = read_view(raw, sender, self._node, self._number)
        except InvalidViewError as error:
            self._reject(sender, str(error))
            return None
        # Echo the message whatever its age: after a link failure, the first messages of both sides echo numbers that
        # are too old, and if these were not echoed in turn, neither side would ever receive a recent echo.
        self._latest_numbers[sender] = view.number
        sent_at = self._sent_at(view.echoes.get(self._node))
        if sent_at is None:
            return None
        previous = self._views.get(sender)
        if self._clock() - sent_at > self._bounds.max_view_age:
            self._reject(sender, "too old")
            return None
        if previous is not None and sent_at < previous.made_after:
            # There are two connections to each node, and a newer view has arrived on the other one.
            return None
        link.confirm(sent_at)
        self._views[sender] = ReceivedView(view, sent_at)
        return view

    def view_of(self, node: str) -> LinkViewMessage | None:
        """Return the latest view of a node; None if there is none or it is too old."""
        received = self._views.get(node)
        if received is None or self._clock() - received.made_after > self._bounds.max_view_age:
            return None
        return received.view

    def _sent_at(self, number: int | None) -> timedelta | None:
        return next((at for sent, at in self._sent if sent == number), None)

    def _reject(self, sender: str, reason: str) -> None:
        self.rejected_count += 1
        # Log only when the count is a power of two, to limit the number of log lines.
        if self.rejected_count & (self.rejected_count - 1) == 0:
            log.warning(
                "link view from %s rejected (%s from all nodes so far): %s", sender, self.rejected_count, reason
            )
