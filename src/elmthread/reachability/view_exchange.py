"""The views of the other nodes, and the echoes that confirm the links to them.

Each node numbers its messages and remembers when it sent them. A message that echoes one of ours was made
after ours was sent, so it confirms the link in both directions, and it bounds the age of all that the
message says by this node's own clock, however long it was held up on its way.
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

# Messages of ours whose sending is remembered; an echo of an older one is too old to confirm anything.
MAX_REMEMBERED_SENDINGS = 64


class ReceivedView(msgspec.Struct, frozen=True):
    """A view that counts, and the latest moment by our clock after which it was certainly made."""

    view: LinkViewMessage
    made_after: timedelta


class ViewExchange:
    """Numbers this node's messages, and keeps the newest view of each other node."""

    def __init__(
        self, node: str, others: Iterable[str], bounds: ReachabilityBounds, clock: Clock, first_number: int
    ) -> None:
        """Begin with `first_number`, drawn at random, so that messages of an earlier process can be recognized."""
        self._node = node
        self._bounds = bounds
        self._clock = clock
        self.links: Mapping[str, Link] = {
            other: Link(other, clock, bounds.peer_confirmed_for, bounds.cut_after) for other in others
        }
        self._number = first_number
        self._sent: deque[tuple[int, timedelta]] = deque(maxlen=MAX_REMEMBERED_SENDINGS)
        self._views: dict[str, ReceivedView] = {}
        self._newest_numbers: dict[str, int] = {}
        self.rejected_count = 0

    def next_number(self) -> int:
        """Return the number of a message that is sent now."""
        self._number += 1
        self._sent.append((self._number, self._clock()))
        return self._number

    def echoes(self) -> dict[str, int]:
        """Return the number of the newest message that was received from each node."""
        return dict(self._newest_numbers)

    def receive(self, sender: str, raw: msgspec.Raw) -> LinkViewMessage | None:
        """Return the view; None where it is rejected, or too old for anything that it says to count."""
        link = self.links.get(sender)
        if link is None:
            self._reject(sender, "unknown node")
            return None
        try:
            view = read_view(raw, sender, self._node, self._number)
        except InvalidViewError as error:
            self._reject(sender, str(error))
            return None
        # Echoed whatever its age: after a cut the first messages of both sides echo what is too old, and
        # without an echo of these neither side would ever say anything newer.
        self._newest_numbers[sender] = view.number
        sent_at = self._sent_at(view.echoes.get(self._node))
        if sent_at is None:
            return None
        known = self._views.get(sender)
        if self._clock() - sent_at > self._bounds.max_view_age:
            self._reject(sender, "too old")
            return None
        if known is not None and sent_at < known.made_after:
            # Two connections lead to each node, and a newer view has come over the other one.
            return None
        link.confirm(sent_at)
        self._views[sender] = ReceivedView(view, sent_at)
        return view

    def view_of(self, node: str) -> LinkViewMessage | None:
        """Return the newest view of a node, while it counts."""
        received = self._views.get(node)
        if received is None or self._clock() - received.made_after > self._bounds.max_view_age:
            return None
        return received.view

    def _sent_at(self, number: int | None) -> timedelta | None:
        return next((at for sent, at in self._sent if sent == number), None)

    def _reject(self, sender: str, reason: str) -> None:
        self.rejected_count += 1
        # Logged at every power of two only.
        if self.rejected_count & (self.rejected_count - 1) == 0:
            log.warning("view of %s rejected (%s so far): %s", sender, self.rejected_count, reason)
