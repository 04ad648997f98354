"""What one process can confirm of the system, whoever leads: its links, and what the others say of theirs.

Nothing here grants anything: the lease alone says who leads.
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
        """Return whether a connection to the node stands."""

    def announce(self) -> None:
        """Announce this node's state to all others at once."""


class TermObserver(Protocol):
    """The leader's part of reachability, while this node leads."""

    def evaluate(self) -> None:
        """Judge the links now, and act on it."""

    def worker_statuses(self) -> dict[str, LinkStatus]:
        """Return the state of the links to the workers, by zone."""


class ReachabilitySettings(msgspec.Struct, frozen=True):
    """A node, the other controllers, and the times by which links to them are judged."""

    node: str
    others: list[str]
    bounds: ReachabilityBounds
    # Machines that came here because they did not reach the leader don't count if that is longer ago.
    misdirected_window: timedelta


class Reachability:
    """The links of one process, its backoff after a term, and the successors that were named."""

    def __init__(
        self, settings: ReachabilitySettings, clock: Clock, features: ActiveFeatures, peers: PeerConnections
    ) -> None:
        """Begin with links of which nothing is confirmed."""
        bounds = settings.bounds
        self.node = settings.node
        self.others = settings.others
        self.bounds = bounds
        self.peers = peers
        self._features = features
        self.store = Link("the key-value store", clock, bounds.store_confirmed_for, bounds.cut_after)
        self.misdirected = MisdirectedHeartbeats(clock, settings.misdirected_window)
        self.backoff = LeadershipBackoff(bounds, clock, random.Random(self.node), alone=not self.others)
        first_number = secrets.randbelow(MAX_FIRST_NUMBER)
        self.exchange = ViewExchange(self.node, self.others, bounds, clock, first_number)
        self.succession = Succession(clock, bounds.successor_precedence)
        self.term: TermObserver | None = None
        # Set while this node leads on a cluster state that is loaded.
        self.leader_ready = asyncio.Event()

    @property
    def views_active(self) -> bool:
        """Whether all controllers announce their views of their links to one another."""
        return self._features.is_active(Feature.LINK_VIEWS)

    def is_isolated(self) -> bool:
        """Return whether no other controller is confirmed, though there are some."""
        confirmed = any(link.state is LinkState.CONFIRMED for link in self.exchange.links.values())
        return self.views_active and bool(self.others) and not confirmed

    # Heartbeats that come while this node does not lead

    def redirect(self, request: Request, leader: str | None, fencing_token: int) -> Redirection:
        """Return where to send a worker whose heartbeat came here, though this node does not lead."""
        redirection = self.misdirected.redirect(request, leader, fencing_token)
        if self.views_active and self.misdirected.should_announce_now():
            self.peers.announce()
        return redirection

    async def wait_until_leading(self) -> bool:
        """Hold a heartbeat for a moment where this node may lead soon; return whether it does by then.

        Without links to other controllers nobody can send the worker to the right one: on its own it would try the
        others, wait for a timeout at each that is cut off, and be back here after its lease.
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
        """Put this node's view into what it announces, once all others read it."""
        if self.views_active:
            announcement.links = msgspec.Raw(encode_view(self.make_view()))

    def make_view(self) -> LinkViewMessage:
        """Return this node's view now, as a message of its own number."""
        view = LinkViewMessage(
            number=self.exchange.next_number(),
            echoes=self.exchange.echoes(),
            store=status_of(self.store),
            peers={node: status_of(link) for node, link in self.exchange.links.items()},
            workers=self.term.worker_statuses() if self.term is not None else {},
            in_backoff=self.backoff.is_active,
        )
        successor = self.succession.to_announce()
        if successor is not None:
            view.successor, view.successor_fencing_token = successor.node, successor.fencing_token
        return view

    def receive(self, announcement: LeaderAnnouncement) -> None:
        """Note what another node announces of the machines that came to it, and of its links."""
        self.misdirected.observe(announcement)
        if announcement.links is msgspec.UNSET or not self.views_active:
            return
        view = self.exchange.receive(announcement.node, announcement.links)
        if self.term is not None and self.leader_ready.is_set() and announcement.misdirected_count:
            # Not before the cluster state is loaded, and not only with the next regular evaluation.
            self.term.evaluate()
        if view is not None and view.successor is not None:
            self.succession.observe_successor(view.successor, view.successor_fencing_token)
