"""Reachability of the leader during one term: evaluates links, and steps down or hands over leadership."""

import asyncio
import logging

from elmthread.common.clock import seconds
from elmthread.leadership.context import TermContext
from elmthread.leadership.step_down import StepDownReason
from elmthread.reachability.decisions import Decision, HandOver, OwnView, PeerView, StepDown, decide
from elmthread.reachability.links import LinkState
from elmthread.reachability.messages import LinkStatus
from elmthread.reachability.misdirected import MisdirectedHeartbeat
from elmthread.reachability.monitor import Reachability
from elmthread.reachability.zone_health import ZoneHealth

log = logging.getLogger(__name__)

EVALUATION_INTERVAL = seconds(0.5)


class TermReachability:
    """Evaluates the leader's links to its workers and peers, and ends the term if another node should lead."""

    def __init__(self, reachability: Reachability, zone_health: ZoneHealth, context: TermContext) -> None:
        """Evaluate the links during the term of `context`; `zone_health` counts the machines that reach this leader."""
        self._reachability = reachability
        self.zone_health = zone_health
        self._term = context.term
        self._cluster = context.cluster

    async def run(self) -> None:
        """Evaluate the links periodically until the term ends."""
        while True:
            await asyncio.sleep(EVALUATION_INTERVAL.total_seconds())
            self.evaluate()

    def evaluate(self) -> None:
        """Evaluate the links now and act on the result."""
        self.zone_health.confirm_links()
        self._act_on(self.decide())

    def decide(self) -> Decision:
        """Return the decision that follows from the current views."""
        own = self._own_view()
        return decide(own, [self._peer_view(node) for node in self._reachability.others])

    def worker_statuses(self) -> dict[str, LinkStatus]:
        """Return the state of the links to the workers, by zone."""
        return dict(self.zone_health.statuses())

    def _own_view(self) -> OwnView:
        total = self.zone_health.counts.total()
        return OwnView(
            holds_lease=self._term.holds_lease(),
            in_backoff=self._reachability.backoff.is_active,
            expected=total.expected,
            silent=total.silent,
            confirmed=total.confirmed,
        )

    def _peer_view(self, node: str) -> PeerView:
        reachability = self._reachability
        misdirected = reachability.misdirected.estimate_at(node, self._term.fencing_token, self._is_newer)
        if not reachability.views_active:
            return PeerView(node, self._link_state_without_views(node), misdirected)
        link = reachability.exchange.links[node].state
        view = reachability.exchange.view_of(node)
        if view is None:
            return PeerView(node, link, misdirected)
        return PeerView(node, link, misdirected, view.store.state, view.in_backoff)

    def _link_state_without_views(self, node: str) -> LinkState:
        """Return the state of a link by its connection alone, as used below the compatibility level with link views."""
        return LinkState.CONFIRMED if self._reachability.peers.is_connected(node) else LinkState.CUT

    def _is_newer(self, heartbeat: MisdirectedHeartbeat) -> bool:
        return self._cluster.is_newer_heartbeat(heartbeat.machine, heartbeat.incarnation, heartbeat.sequence)

    def _act_on(self, decision: Decision) -> None:
        if isinstance(decision, HandOver):
            log.info("handing over leadership to %s, which more machines can reach", decision.successor)
            self._reachability.succession.name_successor(decision.successor, self._term.fencing_token)
            self._reachability.peers.announce()
            self._term.step_down(StepDownReason.HANDED_OVER)
        elif isinstance(decision, StepDown):
            if decision.reason is StepDownReason.ISOLATED:
                self._reachability.backoff.begin(longest=True)
            self._term.step_down(decision.reason)
