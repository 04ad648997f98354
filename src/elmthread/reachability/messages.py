"""What controllers announce of their links: a part of each leader announcement."""

import math
from typing import Annotated

import msgspec

from elmthread.common.errors import ElmthreadError
from elmthread.reachability.links import Link, LinkState

# The first message number of a process is drawn below this, so that messages of an earlier process can be recognized.
MAX_FIRST_NUMBER = 1 << 48
# A longer age is a fault of the sender.
MAX_AGE_S = 30 * 86400.0

Count = Annotated[int, msgspec.Meta(ge=0)]


class LinkStatus(msgspec.Struct, omit_defaults=True):
    """One link, as its node sees it."""

    state: LinkState
    # Since the last confirmed round trip began, by the node's steady clock; None: there was none.
    age_s: float | None = None


class LinkViewMessage(
    msgspec.Struct, omit_defaults=True, rename={"in_backoff": "resting", "successor_fencing_token": "successor_token"}
):
    """A node's view of its links. It says how old each part of it is, and grants nothing."""

    # Counts this node's messages; the others echo it.
    number: Count
    # By node, the newest message that was received from it.
    echoes: dict[str, Count]
    store: LinkStatus
    peers: dict[str, LinkStatus]
    # By zone; of a node that does not lead, empty: the workers report to the leader.
    workers: dict[str, LinkStatus] = {}
    # Leadership was given up by this node of late.
    in_backoff: bool = False
    # Who is to lead after the term of that token, which this node has just ended.
    successor: str | None = None
    successor_fencing_token: Count = 0


class InvalidViewError(ElmthreadError):
    """A view that can't be read, or that contradicts itself or what this node knows."""


encode_view = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[LinkViewMessage] = msgspec.json.Decoder(LinkViewMessage)


def status_of(link: Link) -> LinkStatus:
    """Return what to announce of a link."""
    age = link.age
    return LinkStatus(link.state, None if age is None else round(age.total_seconds(), 3))


def read_view(raw: msgspec.Raw, sender: str, own_node: str, own_number: int) -> LinkViewMessage:
    """Read and check what `sender` says of its links; `own_number` is the number of our newest message.

    Raises InvalidViewError.
    """
    try:
        view = _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise InvalidViewError(f"malformed: {error}") from error
    for status in (view.store, *view.peers.values(), *view.workers.values()):
        problem = _contradiction_in(status)
        if problem is not None:
            raise InvalidViewError(f"contradictory: {problem}")
    if sender in view.peers or sender in view.echoes:
        raise InvalidViewError("contradictory: a link of the sender to itself")
    if view.successor == sender:
        raise InvalidViewError("contradictory: the sender names itself as its successor")
    if view.echoes.get(own_node, 0) > own_number:
        raise InvalidViewError("contradictory: it echoes a message that was never sent")
    return view


def _contradiction_in(status: LinkStatus) -> str | None:
    if status.age_s is None:
        return "confirmed without an age" if status.state is LinkState.CONFIRMED else None
    if not (math.isfinite(status.age_s) and 0 <= status.age_s <= MAX_AGE_S):
        return f"an age of {status.age_s} s"
    return None
