"""The decision of a leader against a plain model of the same rules."""

from hypothesis import given, settings
from hypothesis import strategies as st

from elmthread.reachability.decide import (
    Decision,
    GiveWay,
    Hold,
    Lead,
    OwnView,
    PeerView,
    StepDown,
    StepDownReason,
    decide,
)
from elmthread.reachability.links import LinkState

CONFIRMED, DOUBTFUL = LinkState.CONFIRMED, LinkState.DOUBTFUL


def model(own: OwnView, peers: list[PeerView]) -> Decision:
    """The rules of docs/reachability-design.md, one after the other, the slow way."""
    if not own.sure:
        return Hold()
    if own.resting:
        return Lead()
    best: PeerView | None = None
    for peer in sorted(peers, key=lambda one: one.node):
        able = peer.link is CONFIRMED and peer.store is CONFIRMED
        # More than a fiftieth of all machines, and more than one, above what is confirmed here.
        clearly = peer.heard - own.confirmed > 1 and (peer.heard - own.confirmed) * 50 > own.expected
        if own.expected < 4:
            of = own.silent if own.silent * 2 > own.expected else own.expected
            clearly = peer.heard > 0 and peer.heard * 2 > of
        if not (able and clearly):
            continue
        if best is None or (best.resting, -best.heard) > (peer.resting, -peer.heard):
            best = peer
    if best is not None:
        return GiveWay(best.node)
    most_silent = own.silent > own.expected - own.silent
    for peer in peers:
        if peer.store is not None or peer.heard == 0:
            continue
        of = own.silent if most_silent else own.expected
        if peer.heard > of - peer.heard:
            return StepDown(StepDownReason.WORKERS_ELSEWHERE)
    nobody = peers and all(peer.link is not CONFIRMED for peer in peers)
    if nobody and most_silent and own.expected >= 4 and not own.confirmed:
        return StepDown(StepDownReason.ALONE)
    return Lead()


# The same examples in every run.
PLAYED = settings(derandomize=True, database=None, deadline=None)
COUNTS = st.integers(0, 40)
STATES = st.sampled_from(LinkState)
PEERS = st.lists(
    st.builds(
        PeerView,
        node=st.sampled_from(["a", "b", "c", "d"]),
        link=STATES,
        heard=COUNTS,
        store=st.one_of(st.none(), STATES),
        resting=st.booleans(),
    ),
    max_size=4,
    unique_by=lambda peer: peer.node,
)


@settings(PLAYED)
@given(st.booleans(), st.booleans(), COUNTS, COUNTS, COUNTS, PEERS)
def test_decisions_are_those_of_the_plain_model(
    sure: bool, resting: bool, expected: int, silent: int, confirmed: int, peers: list[PeerView]
) -> None:
    silent = min(silent, expected)
    own = OwnView(sure, resting, expected, silent, min(confirmed, expected - silent))
    assert decide(own, peers) == model(own, peers)


def test_of_two_that_see_different_halves_the_one_that_leads_stays() -> None:
    half = OwnView(sure=True, resting=False, expected=100, silent=50, confirmed=50)
    assert decide(half, [PeerView("b", CONFIRMED, 50, CONFIRMED)]) == Lead()
    assert decide(half, [PeerView("b", CONFIRMED, 52, CONFIRMED)]) == Lead()
    assert decide(half, [PeerView("b", CONFIRMED, 53, CONFIRMED)]) == GiveWay("b")
    # More than that at a node without the state service: it could not lead.
    assert decide(half, [PeerView("b", CONFIRMED, 100, DOUBTFUL)]) == Lead()
    # Of several that are better off, the one that hears most.
    others = [PeerView("b", CONFIRMED, 60, CONFIRMED), PeerView("c", CONFIRMED, 70, CONFIRMED)]
    assert decide(half, others) == GiveWay("c")
