"""Tests of a leader's decisions against a simple model of the same rules."""

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.leadership.step_down import StepDownReason
from elmthread.reachability.decisions import (
    Decision,
    HandOver,
    KeepLeading,
    LeaseUncertain,
    OwnView,
    PeerView,
    StepDown,
    decide,
    majority_reaches_other_node,
)
from elmthread.reachability.links import LinkState
from elmthread.reachability.tests.stand_ins import DETERMINISTIC_SETTINGS

CONFIRMED, DOUBTFUL = LinkState.CONFIRMED, LinkState.DOUBTFUL


def model(own: OwnView, peers: list[PeerView]) -> Decision:
    """Apply the rules of docs/reachability-design.md one after the other, as simply as possible."""
    if not own.holds_lease:
        return LeaseUncertain()
    if own.in_backoff:
        return KeepLeading()
    best = model_successor(own, peers)
    if best is not None:
        return HandOver(best.node)
    most_silent = own.silent > own.expected - own.silent
    for peer in peers:
        if peer.store is not None or peer.misdirected == 0:
            continue
        reference = own.silent if most_silent else own.expected
        if peer.misdirected > reference - peer.misdirected:
            return StepDown(StepDownReason.WORKERS_REACH_ANOTHER)
    no_peer_confirmed = peers and all(peer.link is not CONFIRMED for peer in peers)
    if no_peer_confirmed and most_silent and own.expected >= 4 and not own.confirmed:
        return StepDown(StepDownReason.ISOLATED)
    return KeepLeading()


def model_successor(own: OwnView, peers: list[PeerView]) -> PeerView | None:
    best: PeerView | None = None
    for peer in sorted(peers, key=lambda item: item.node):
        eligible = peer.link is CONFIRMED and peer.store is CONFIRMED
        if not (eligible and model_better_connected(own, peer)):
            continue
        if best is None or (best.in_backoff, -best.misdirected) > (peer.in_backoff, -peer.misdirected):
            best = peer
    return best


def model_better_connected(own: OwnView, peer: PeerView) -> bool:
    if own.expected < 4:
        reference = own.silent if own.silent * 2 > own.expected else own.expected
        return peer.misdirected > 0 and peer.misdirected * 2 > reference
    # The margin over the confirmed machines is more than one machine, and more than a fiftieth of all machines.
    surplus = peer.misdirected - own.confirmed
    return surplus > 1 and surplus * 50 > own.expected


def own_view(holds_lease: bool, in_backoff: bool, expected: int, silent: int, confirmed: int) -> OwnView:
    """Return a view in which silent and confirmed machines are disjoint subsets of those expected."""
    silent = min(silent, expected)
    return OwnView(holds_lease, in_backoff, expected, silent, min(confirmed, expected - silent))


COUNTS = st.integers(0, 40)
STATES = st.sampled_from(LinkState)
PEERS = st.lists(
    st.builds(
        PeerView,
        node=st.sampled_from(["a", "b", "c", "d"]),
        link=STATES,
        misdirected=COUNTS,
        store=st.one_of(st.none(), STATES),
        in_backoff=st.booleans(),
    ),
    max_size=4,
    unique_by=lambda peer: peer.node,
)


OWN_VIEWS = st.builds(own_view, st.booleans(), st.booleans(), COUNTS, COUNTS, COUNTS)


@settings(DETERMINISTIC_SETTINGS)
@given(OWN_VIEWS, PEERS)
def test_decisions_match_the_model(own: OwnView, peers: list[PeerView]) -> None:
    assert decide(own, peers) == model(own, peers)


def test_majority_must_reach_the_other_node_and_not_this_one() -> None:
    assert majority_reaches_other_node(600, 400, 250)
    # Machines that have failed or reach no node would not reach another leader either.
    assert not majority_reaches_other_node(600, 600, 0)
    # A zone and its controller are partitioned from the rest; the other machines report here.
    assert not majority_reaches_other_node(600, 150, 150)
    assert not majority_reaches_other_node(0, 0, 0)
    # Heartbeats arrive here, but their senders receive no responses.
    assert majority_reaches_other_node(600, 50, 350) and not majority_reaches_other_node(600, 50, 250)


def test_leadership_is_handed_over_only_to_a_clearly_better_connected_node() -> None:
    half = OwnView(holds_lease=True, in_backoff=False, expected=100, silent=50, confirmed=50)
    assert decide(half, [PeerView("b", CONFIRMED, 50, CONFIRMED)]) == KeepLeading()
    assert decide(half, [PeerView("b", CONFIRMED, 52, CONFIRMED)]) == KeepLeading()
    assert decide(half, [PeerView("b", CONFIRMED, 53, CONFIRMED)]) == HandOver("b")
    # A node that does not reach the key-value store can't lead, however many machines reach it.
    assert decide(half, [PeerView("b", CONFIRMED, 100, DOUBTFUL)]) == KeepLeading()
    # Of several better connected nodes, the one that most machines reach is chosen.
    others = [PeerView("b", CONFIRMED, 60, CONFIRMED), PeerView("c", CONFIRMED, 70, CONFIRMED)]
    assert decide(half, others) == HandOver("c")
