"""Decides whether a leader keeps leading, steps down or hands over, as a pure function of link views."""

import math
from collections.abc import Sequence

import msgspec

from elmthread.leadership.step_down import StepDownReason
from elmthread.reachability.links import LinkState
from elmthread.reachability.zone_health import MIN_MACHINES_TO_JUDGE

# Another node is clearly better connected if more machines reach it than the leader, by more than both of these
# margins: a share of the machines expected to report, and a number of machines.
HANDOVER_MARGIN_SHARE = 0.02
MIN_HANDOVER_MARGIN = 1


class OwnView(msgspec.Struct, frozen=True):
    """The leader's own view of its lease and machines."""

    # Whether the lease is known to be held.
    holds_lease: bool
    # Whether this node gave up leadership so recently that it does not do so again.
    in_backoff: bool
    # The number of machines expected to report; of these, the silent ones, and those that report on time and are
    # known to receive responses.
    expected: int
    silent: int
    confirmed: int


class PeerView(msgspec.Struct, frozen=True):
    """The leader's information about another controller."""

    node: str
    # This node's link to it.
    link: LinkState
    # The estimated number of machines that sent it heartbeats because they can't reach the leader of this term; delayed
    # copies of older heartbeats are excluded.
    misdirected: int
    # Its link to the key-value store; None without a valid view of that node.
    store: LinkState | None = None
    # Whether it gave up leadership recently.
    in_backoff: bool = False


class KeepLeading(msgspec.Struct, frozen=True):
    """Keep leading."""


class LeaseUncertain(msgspec.Struct, frozen=True):
    """The lease can't be confirmed: take no action except answering workers."""


class StepDown(msgspec.Struct, frozen=True):
    """Release the lease; any node may win the next election."""

    reason: StepDownReason


class HandOver(msgspec.Struct, frozen=True):
    """Release the lease and name a better connected node as successor."""

    successor: str


Decision = KeepLeading | LeaseUncertain | StepDown | HandOver


def decide(own: OwnView, peers: Sequence[PeerView]) -> Decision:
    """Return whether to keep leading. Views can only end a lease; the next one is granted by the store alone."""
    if not own.holds_lease:
        return LeaseUncertain()
    if own.in_backoff:
        return KeepLeading()
    successor = _select_successor(own, peers)
    if successor is not None:
        return HandOver(successor)
    # Nodes without a valid view can't be named as successor; only the number of machines that reach them is known.
    misdirected = max((peer.misdirected for peer in peers if peer.store is None), default=0)
    if misdirected and majority_reaches_other_node(own.expected, own.silent, misdirected):
        return StepDown(StepDownReason.WORKERS_REACH_ANOTHER)
    if peers and not any(peer.link is LinkState.CONFIRMED for peer in peers) and _no_machine_reports(own):
        return StepDown(StepDownReason.ISOLATED)
    return KeepLeading()


def majority_reaches_other_node(expected: int, silent: int, misdirected: int) -> bool:
    """Return whether most machines are silent and most of the silent ones reach another node.

    Also true if most of all machines reach another node: their heartbeats arrive here, but they get no responses.
    """
    return misdirected * 2 > (silent if silent * 2 > expected else expected)


def _no_machine_reports(own: OwnView) -> bool:
    """Return whether no machine reports and most of the expected machines are silent.

    If a few report, others may follow: workers try the nodes in turn and wait for a timeout at each unreachable one.
    """
    return own.expected >= MIN_MACHINES_TO_JUDGE and own.silent * 2 > own.expected and own.confirmed == 0


def _select_successor(own: OwnView, peers: Sequence[PeerView]) -> str | None:
    """Return the node that the most machines reach, of those that are clearly better connected and reach the store."""
    candidates = [
        peer
        for peer in peers
        if peer.link is LinkState.CONFIRMED
        and peer.store is LinkState.CONFIRMED
        and _is_better_connected(own, peer.misdirected)
    ]
    if not candidates:
        return None
    # A node that recently gave up leadership is chosen only if no other node is better connected.
    return min(candidates, key=lambda peer: (peer.in_backoff, -peer.misdirected, peer.node)).node


def _is_better_connected(own: OwnView, misdirected: int) -> bool:
    """Return whether a node that this many misdirected machines reach is clearly better connected than the leader."""
    if own.expected < MIN_MACHINES_TO_JUDGE:
        # With so few machines, one lost response affects a large share of them, so a majority is required.
        return misdirected > 0 and majority_reaches_other_node(own.expected, own.silent, misdirected)
    return misdirected > own.confirmed + max(MIN_HANDOVER_MARGIN, math.ceil(own.expected * HANDOVER_MARGIN_SHARE))
