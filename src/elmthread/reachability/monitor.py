"""The reachability state of one process, whether it leads or not: its own links and the views of other nodes.

None of it confers leadership, which depends on the lease alone.
"""

import asyncio
import random
import secrets
from datetime import timedelta
from typing import Protocol

import msgspec

from elmthread.common.clock import Clock
from elmthread.common.features import ActiveFeatures, Feature
from elmthread.net.http_messages import Request
from elmthread.peers.messages import LeaderAnnouncement
from elmthread.reachability.backoff import LeadershipBackoff
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.links import Link, LinkState
from elmthread.reachability.messages import (
    MAX_FIRST_NUMBER,
    LinkStatus,
    LinkViewMessage,
    encode_view,
    status_of,
)
from elmthread.reachability.misdirected import MisdirectedHeartbeats, Redirection
from elmthread.reachability.succession import Succession
from elmthread.reachability.view_exchange import ViewExchange


class PeerConnections(Protocol):
    """The connections to the other controllers."""

    def is_connected(self, node: str) -> bool:
        """Return whether the connection to the node is up."""

    def announce(self) -> None:
        """Announce this node's state to all others immediately."""


class TermEvaluator(Protocol):
    """Evaluates the links of the leader during one term."""

    def evaluate(self) -> None:
        """Evaluate the links now and act on the result."""

    def worker_statuses(self) -> dict[str, LinkStatus]:
        """Return the state of the links to the workers, by zone."""


class ReachabilitySettings(msgspec.Struct, frozen=True):
    """The names of this node and the other controllers, and the timeouts for links."""

    node: str
    others: list[str]
    bounds: ReachabilityBounds
    # Misdirected heartbeats older than this are ignored.
    misdirected_window: timedelta


class Reachability:
    """The links of one process, its leadership backoff, and the named successors."""

    def __init__(
        self, settings: ReachabilitySettings, clock: Clock, features: ActiveFeatures, peers: PeerConnections
    ) -> None:
        """Start with all links unconfirmed."""
        bounds = settings.bounds
        self.node = settings.node
        self.others = settings.others
        self.bounds = bounds
        self.peers = peers
        self._features = features
        self.store = Link("the key-value store", clock, bounds.store_confirmed_for, bounds.cut_after)
        self.misdirected = MisdirectedHeartbeats(clock, settings.misdirected_window)
        self.backoff = LeadershipBackoff(bounds, clock, random.Random(self.node), single_node=not self.others)
        first_number = secrets.randbelow(MAX_FIRST_NUMBER)
        self.exchange = ViewExchange(self.node, self.others, bounds, clock, first_number)
        self.succession = Succession(clock, bounds.successor_precedence)
        # None while this node does not lead.
        self.term: TermEvaluator | None = None
        # Set while this node leads and has loaded the cluster state.
        self.leader_ready = asyncio.Event()

    @property
    def views_active(self) -> bool:
        """Whether the compatibility feature is active under which all controllers announce their link views."""
        return self._features.is_active(Feature.LINK_VIEWS)

    def is_isolated(self) -> bool:
        """Return whether there are other controllers but the link to none of them is confirmed."""
        confirmed = any(link.state is LinkState.CONFIRMED for link in self.exchange.links.values())
        return self.views_active and bool(self.others) and not confirmed

    # Heartbeats received while this node does not lead

    def redirect(self, request: Request, leader: str | None, fencing_token: int) -> Redirection:
        """Return where to redirect a worker whose heartbeat this node received while not leading."""
        redirection = self.misdirected.redirect(request, leader, fencing_token)
        if self.views_active and self.misdirected.should_announce_now():
            self.peers.announce()
        return redirection

    async def wait_until_leading(self) -> bool:
        """Wait briefly if this node is isolated and may lead soon; return whether it leads then.

        An isolated node does not know the leader and can't redirect the worker, which would try the other controllers,
        wait for a timeout at each unreachable one, and return here only after its lease has expired.
        """
        if not self.is_isolated():
            return False
        try:
            async with asyncio.timeout(self.bounds.heartbeat_hold_time.total_seconds()):
                await self.leader_ready.wait()
        except TimeoutError:
            return False
        return True

    # Announcements

    def add_view_to(self, announcement: LeaderAnnouncement) -> None:
        """Add this node's link view to an announcement, once all other controllers can read it."""
        if self.views_active:
            announcement.links = msgspec.Raw(encode_view(self.make_view()))

    def make_view(self) -> LinkViewMessage:
        """Return this node's current link view, as a message with the next number."""
        view = LinkViewMessage(
            number=self.exchange.next_number(),
            echoes=self.exchange.echoes(),
            store=status_of(self.store),
            peers={node: status_of(link) for node, link in self.exchange.links.items()},
            workers=self.term.worker_statuses() if self.term is not None else {},
            in_backoff=self.backoff.is_active,
        )
        successor = self.succession.successor_to_announce()
        if successor is not None:
            view.successor, view.successor_fencing_token = successor.node, successor.fencing_token
        return view

    def receive(self, announcement: LeaderAnnouncement) -> None:
        """Process another node's announcement of its misdirected heartbeats and its link view."""
        self.misdirected.observe(announcement)
        if announcement.links is msgspec.UNSET or not self.views_active:
            return
        view = self.exchange.receive(announcement.node, announcement.links)
        if self.term is not None and self.leader_ready.is_set() and announcement.misdirected_count:
            # Evaluates immediately instead of at the next interval, but only once the cluster state is loaded.
            self.term.evaluate()
        if view is not None and view.successor is not None:
            self.succession.observe_successor(view.successor, view.successor_fencing_token)
