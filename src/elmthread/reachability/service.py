"""A controller's reachability: its links, what the others say of theirs, and the rest after a term.

`Reachability` lives as long as the process. `TermReachability` is the leader's part, for one term: it counts
the machines, decides, and gives leadership up. Neither grants anything: the lease alone says who leads.
"""

import asyncio
import logging
import random
import secrets
from datetime import timedelta
from typing import Protocol

import msgspec

from elmthread.common.clock import ZERO, Clock, seconds
from elmthread.common.features import ActiveFeatures, Feature
from elmthread.leadership.context import TermContext
from elmthread.net.http_messages import Request, Response
from elmthread.peers.messages import LeaderAnnouncement
from elmthread.reachability.backoff import LeadershipBackoff
from elmthread.reachability.bounds import ReachabilityBounds
from elmthread.reachability.decide import (
    Decision,
    GiveWay,
    OwnView,
    PeerView,
    StepDown,
    StepDownReason,
    decide,
)
from elmthread.reachability.exchange import ViewExchange
from elmthread.reachability.links import Link, LinkState
from elmthread.reachability.messages import (
    FIRST_NUMBERS,
    LinkViewMessage,
    encode_view,
    status_of,
)
from elmthread.reachability.strays import MisdirectedReports, Stray
from elmthread.reachability.zones import ZoneHealth

log = logging.getLogger(__name__)

DECIDE_EVERY = seconds(0.5)


class Successor(msgspec.Struct, frozen=True):
    """Who is to lead after a term, and until when the others leave it to that node."""

    node: str
    fencing_token: int
    until: timedelta


class PeerLinks(Protocol):
    """What the connections to the other controllers tell."""

    def reaches(self, node: str) -> bool:
        """Whether a connection to the node stands."""

    def tell(self) -> None:
        """Announces this node's state to all others at once."""


class Reachability:
    """What one process can confirm of the system, whoever leads."""

    def __init__(
        self,
        node: str,
        others: list[str],
        bounds: ReachabilityBounds,
        clock: Clock,
        features: ActiveFeatures,
        stray_window: timedelta,
        peers: PeerLinks,
    ) -> None:
        """`others` are the other controllers; machines that came here longer than `stray_window` ago don't count."""
        self.peers = peers
        self.node = node
        self.others = others
        self.bounds = bounds
        self._clock = clock
        self._features = features
        self.store = Link("the state service", clock, bounds.store_confirmed, bounds.cut_after)
        self.strays = MisdirectedReports(clock, stray_window)
        self.backoff = LeadershipBackoff(bounds, clock, random.Random(node), alone=not others)
        self.exchange = ViewExchange(node, others, bounds, clock, secrets.randbelow(FIRST_NUMBERS))
        self.term: TermReachability | None = None
        # Set while this node leads on a view that is loaded.
        self.leading = asyncio.Event()
        # Named by this node when it gave way, and by another node that did.
        self._named: Successor | None = None
        self._named_by_other: Successor | None = None

    @property
    def views_active(self) -> bool:
        """Whether all controllers tell one another their views."""
        return self._features.is_active(Feature.LINK_VIEWS)

    def redirect(self, request: Request, leader: str | None, fencing_token: int) -> Response:
        """The answer to a report that came here, though this node does not lead."""
        response = self.strays.redirect(request, leader, fencing_token)
        if self.views_active and self.strays.worth_telling():
            self.peers.tell()
        return response

    async def wait_to_lead(self) -> bool:
        """Holds a report for a moment where this node may lead soon; whether it does by then.

        Without links to other controllers nobody can send the worker to the right one: on its own it would try the
        others, wait for 4 s at each that is cut off, and be back here after its lease.
        """
        if not self._is_isolated():
            return False
        try:
            async with asyncio.timeout(self.bounds.heartbeat_hold_time.total_seconds()):
                await self.leading.wait()
        except TimeoutError:
            return False
        return True

    def _is_isolated(self) -> bool:
        """Whether no other controller is confirmed, though there are some."""
        confirmed = any(link.state is LinkState.CONFIRMED for link in self.exchange.links.values())
        return self.views_active and bool(self.others) and not confirmed

    # What is said and heard

    def add_to(self, announcement: LeaderAnnouncement) -> None:
        """Puts this node's view into what it announces, once all others read it."""
        if self.views_active:
            announcement.links = msgspec.Raw(encode_view(self.view()))

    def view(self) -> LinkViewMessage:
        """This node's view now, as a message of its own number."""
        view = LinkViewMessage(
            number=self.exchange.next_number(),
            echoes=self.exchange.echoes(),
            store=status_of(self.store),
            peers={node: status_of(link) for node, link in self.exchange.links.items()},
            workers=dict(self.term.zones.statuses()) if self.term is not None else {},
            resting=self.backoff.resting,
        )
        if self._named is not None and self._clock() < self._named.until:
            view.successor, view.successor_fencing_token = self._named.node, self._named.fencing_token
        return view

    def hear(self, announcement: LeaderAnnouncement) -> None:
        """What another node says of the machines that came to it, and of its links."""
        self.strays.hear(
            announcement.node, announcement.strays, announcement.some, announcement.fencing_token, announcement.machines
        )
        if announcement.links is msgspec.UNSET or not self.views_active:
            return
        view = self.exchange.hear(announcement.node, announcement.links)
        if self.term is not None and self.leading.is_set() and announcement.strays:
            # Not before the view is loaded, and not only with the next round.
            self.term.look()
        if view is not None and view.successor is not None:
            self._hear_successor(view.successor, view.successor_fencing_token)

    def _hear_successor(self, node: str, fencing_token: int) -> None:
        if self._named_by_other is not None and fencing_token <= self._named_by_other.fencing_token:
            # Said again: the wait has begun already.
            return
        self._named_by_other = Successor(node, fencing_token, self._clock() + self.bounds.successor_wait)

    # Standing for leader

    def wait_before_standing(self, vacant_for: timedelta, fencing_token: int) -> timedelta:
        """How long to leave a vacant leadership to others; `fencing_token` is that of the last term that is known."""
        rest = self.backoff.wait_before_standing(vacant_for)
        named = self._named_by_other
        if named is None or named.fencing_token != fencing_token:
            return max(rest, self._wait_unheard(vacant_for))
        if named.node == self.node:
            # Whoever gave way knows that this node is better off.
            return ZERO
        return max(rest, named.until - self._clock(), ZERO)

    def _wait_unheard(self, vacant_for: timedelta) -> timedelta:
        """How long a node that confirms no other controller and hears no workers leaves standing to those that do.

        A leader without peers can name nobody. Whoever is reached by the workers that have lost it stands at once.
        """
        if not self._is_isolated() or self.strays.hears_workers():
            return ZERO
        return max(ZERO, self.bounds.unheard_wait - vacant_for)

    def term_ended(self) -> None:
        """A term of this node has ended before its process did."""
        self.backoff.rest()

    def watch_time(self, usual: timedelta) -> timedelta:
        """How long a follower may wait for news of the leader before it asks the state service anew."""
        return min(usual, self.bounds.follower_watch) if self.views_active else usual

    def name_successor(self, node: str, fencing_token: int) -> None:
        """This node is about to end the term of that token and leaves leading to the named node."""
        self._named = Successor(node, fencing_token, self._clock() + self.bounds.successor_wait)


class TermReachability:
    """The leader's view of its workers, and whether it goes on leading; for one term."""

    def __init__(self, reachability: Reachability, zones: ZoneHealth, context: TermContext) -> None:
        """`zones` counts the machines that this leader hears."""
        self._reachability = reachability
        self.zones = zones
        self._term = context.term
        self._cluster = context.cluster

    async def run(self) -> None:
        """Looks at the links until the term ends."""
        while True:
            await asyncio.sleep(DECIDE_EVERY.total_seconds())
            self.look()

    def look(self) -> None:
        """Judges the links now, and acts on it."""
        self.zones.confirm_links()
        self._act(self.decide())

    def decide(self) -> Decision:
        """What to do with what is known now."""
        own = self._own_view()
        return decide(own, [self._peer_view(node) for node in self._reachability.others])

    def _own_view(self) -> OwnView:
        total = self.zones.census.total()
        return OwnView(
            sure=self._term.holds_lease(),
            resting=self._reachability.backoff.resting,
            expected=total.expected,
            silent=total.silent,
            confirmed=total.confirmed,
        )

    def _peer_view(self, node: str) -> PeerView:
        reachability = self._reachability
        heard = reachability.strays.heard_by(node, self._term.fencing_token, self._is_newer)
        if not reachability.views_active:
            return PeerView(node, LinkState.CONFIRMED if reachability.peers.reaches(node) else LinkState.CUT, heard)
        link = reachability.exchange.links[node].state
        view = reachability.exchange.view_of(node)
        if view is None:
            return PeerView(node, link, heard)
        return PeerView(node, link, heard, view.store.state, view.resting)

    def _is_newer(self, stray: Stray) -> bool:
        return self._cluster.is_newer_heartbeat(*stray)

    def _act(self, decision: Decision) -> None:
        if isinstance(decision, GiveWay):
            log.info("giving way to %s, which hears more machines", decision.successor)
            self._reachability.name_successor(decision.successor, self._term.fencing_token)
            self._reachability.peers.tell()
            self._term.step_down("the workers are out of reach")
        elif isinstance(decision, StepDown):
            log.info("%s", decision.reason.value)
            if decision.reason is StepDownReason.ALONE:
                self._reachability.backoff.rest(at_length=True)
            self._term.step_down("the workers are out of reach")
