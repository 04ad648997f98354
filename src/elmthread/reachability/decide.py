"""What a leader does with what it can confirm; a pure function over views."""

import math
from collections.abc import Sequence
from enum import Enum

import msgspec

from elmthread.reachability.links import LinkState
from elmthread.reachability.zones import MIN_MACHINES_TO_JUDGE

# Another node is clearly better off if it hears more machines than the leader by this part of all, and by this many.
MARGIN = 0.02
LEAST_MARGIN = 1


class StepDownReason(Enum):
    """Why leadership is given up for nobody in particular."""

    WORKERS_ELSEWHERE = "most machines don't reach this node, and reach another"
    ALONE = "neither machines nor another controller are reached"


class OwnView(msgspec.Struct, frozen=True):
    """What the leader itself confirms."""

    # The lease is surely held.
    sure: bool
    # Leadership was given up so lately that it is not given up again.
    resting: bool
    # Machines that ought to report; of these silent, and of these heard and seen to be answered.
    expected: int
    silent: int
    confirmed: int


class PeerView(msgspec.Struct, frozen=True):
    """What is known of another controller."""

    node: str
    # Our link to it.
    link: LinkState
    # Machines that miss this term's leader and came to that node, without copies of old reports.
    heard: int
    # Its link to the state service; None where it says nothing of it that counts.
    store: LinkState | None = None
    # It has given up leadership of late.
    resting: bool = False


class Lead(msgspec.Struct, frozen=True):
    """Go on."""


class Hold(msgspec.Struct, frozen=True):
    """The lease can't be confirmed: act on nothing, answer workers only."""


class StepDown(msgspec.Struct, frozen=True):
    """End the lease; anybody may win."""

    reason: StepDownReason


class GiveWay(msgspec.Struct, frozen=True):
    """End the lease, and name the node that is better off."""

    successor: str


Decision = Lead | Hold | StepDown | GiveWay


def decide(own: OwnView, peers: Sequence[PeerView]) -> Decision:
    """No view grants a right: whatever it says, the lease is only given up, and another is won by the store."""
    if not own.sure:
        return Hold()
    if own.resting:
        return Lead()
    successor = _successor(own, peers)
    if successor is not None:
        return GiveWay(successor)
    # Of nodes that say nothing of their links, only the machines that came to them tell.
    heard = max((peer.heard for peer in peers if peer.store is None), default=0)
    if heard and majority_elsewhere(own.expected, own.silent, heard):
        return StepDown(StepDownReason.WORKERS_ELSEWHERE)
    if peers and not any(peer.link is LinkState.CONFIRMED for peer in peers) and _hears_nobody(own):
        return StepDown(StepDownReason.ALONE)
    return Lead()


def majority_elsewhere(expected: int, silent: int, heard: int) -> bool:
    """Most machines are silent, and most of those reach another node.

    Or most come to another node, silent or not: they report here too, but no answer reaches them.
    """
    return heard * 2 > (silent if silent * 2 > expected else expected)


def _hears_nobody(own: OwnView) -> bool:
    """No machine is heard, though most ought to be.

    Where a few are, others may be on their way: workers try the nodes in turn, and wait at each that is cut off.
    """
    return own.expected >= MIN_MACHINES_TO_JUDGE and own.silent * 2 > own.expected and own.confirmed == 0


def _successor(own: OwnView, peers: Sequence[PeerView]) -> str | None:
    """The node that hears most machines, confirms the state service, and is clearly better off than the leader."""
    fit = [
        peer
        for peer in peers
        if peer.link is LinkState.CONFIRMED and peer.store is LinkState.CONFIRMED and _better_off(own, peer.heard)
    ]
    if not fit:
        return None
    # One that has just given way itself leads again only where nobody else is better off.
    return min(fit, key=lambda peer: (peer.resting, -peer.heard, peer.node)).node


def _better_off(own: OwnView, heard: int) -> bool:
    """Whether a node that hears so many machines is clearly better off than the leader."""
    if own.expected < MIN_MACHINES_TO_JUDGE:
        # One lost answer is a large part of them: only silence for longer counts.
        return heard > 0 and majority_elsewhere(own.expected, own.silent, heard)
    return heard > own.confirmed + max(LEAST_MARGIN, math.ceil(own.expected * MARGIN))
