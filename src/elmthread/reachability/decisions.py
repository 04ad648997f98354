"""What a leader does with what it can confirm; a pure function over views."""

import math
from collections.abc import Sequence

import msgspec

from elmthread.leadership.step_down import StepDownReason
from elmthread.reachability.links import LinkState
from elmthread.reachability.zone_health import MIN_MACHINES_TO_JUDGE

# Another node is clearly better off if it is reached by more machines, by this part of all and by this many.
BETTER_MARGIN_SHARE = 0.02
MIN_BETTER_MARGIN = 1


class OwnView(msgspec.Struct, frozen=True):
    """What the leader itself confirms."""

    # The lease is certainly held.
    holds_lease: bool
    # Leadership was given up so lately that it is not given up again.
    in_backoff: bool
    # Machines that ought to report; of these silent, and of these in time and seen to receive responses.
    expected: int
    silent: int
    confirmed: int


class PeerView(msgspec.Struct, frozen=True):
    """What is known of another controller."""

    node: str
    # Our link to it.
    link: LinkState
    # Machines that do not reach this term's leader and came to that node, without copies of old heartbeats.
    misdirected: int
    # Its link to the key-value store; None where it says nothing of it that counts.
    store: LinkState | None = None
    # It has given up leadership of late.
    in_backoff: bool = False


class KeepLeading(msgspec.Struct, frozen=True):
    """Go on."""


class LeaseUncertain(msgspec.Struct, frozen=True):
    """The lease can't be confirmed: act on nothing, answer workers only."""


class StepDown(msgspec.Struct, frozen=True):
    """End the lease; anybody may win."""

    reason: StepDownReason


class HandOver(msgspec.Struct, frozen=True):
    """End the lease, and name the node that is better off."""

    successor: str


Decision = KeepLeading | LeaseUncertain | StepDown | HandOver


def decide(own: OwnView, peers: Sequence[PeerView]) -> Decision:
    """Return whether to lead on. Whatever the views say, a lease is only given up; the next is granted by the store."""
    if not own.holds_lease:
        return LeaseUncertain()
    if own.in_backoff:
        return KeepLeading()
    successor = _successor(own, peers)
    if successor is not None:
        return HandOver(successor)
    # Of nodes that say nothing of their links, only the machines that came to them are known.
    misdirected = max((peer.misdirected for peer in peers if peer.store is None), default=0)
    if misdirected and majority_elsewhere(own.expected, own.silent, misdirected):
        return StepDown(StepDownReason.WORKERS_REACH_ANOTHER)
    if peers and not any(peer.link is LinkState.CONFIRMED for peer in peers) and _no_machine_reports(own):
        return StepDown(StepDownReason.ISOLATED)
    return KeepLeading()


def majority_elsewhere(expected: int, silent: int, misdirected: int) -> bool:
    """Return whether most machines are silent, and most of those reach another node.

    Or most come to another node, silent or not: they report here too, but no response reaches them.
    """
    return misdirected * 2 > (silent if silent * 2 > expected else expected)


def _no_machine_reports(own: OwnView) -> bool:
    """Return whether no machine reports, though most ought to.

    Where a few do, others may be on their way: workers try the nodes in turn, and wait at each that is cut off.
    """
    return own.expected >= MIN_MACHINES_TO_JUDGE and own.silent * 2 > own.expected and own.confirmed == 0


def _successor(own: OwnView, peers: Sequence[PeerView]) -> str | None:
    """Return the node that most machines reach, that confirms the store, and is clearly better off than the leader."""
    better = [
        peer
        for peer in peers
        if peer.link is LinkState.CONFIRMED
        and peer.store is LinkState.CONFIRMED
        and _is_better_off(own, peer.misdirected)
    ]
    if not better:
        return None
    # One that has just given leadership up itself leads again only where nobody else is better off.
    return min(better, key=lambda peer: (peer.in_backoff, -peer.misdirected, peer.node)).node


def _is_better_off(own: OwnView, misdirected: int) -> bool:
    """Return whether a node to which so many machines come is clearly better off than the leader."""
    if own.expected < MIN_MACHINES_TO_JUDGE:
        # One lost response is a large part of them: only silence for longer counts.
        return misdirected > 0 and majority_elsewhere(own.expected, own.silent, misdirected)
    return misdirected > own.confirmed + max(MIN_BETTER_MARGIN, math.ceil(own.expected * BETTER_MARGIN_SHARE))
