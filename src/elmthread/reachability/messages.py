"""The link view that controllers include in their leader announcements."""

import math
from typing import Annotated

import msgspec

from elmthread.common.errors import ElmthreadError
from elmthread.reachability.links import Link, LinkState

# The first message number of a process is random and below this, so that echoes of an earlier process's messages can be
# recognized.
MAX_FIRST_NUMBER = 1 << 48
# A view with a longer age is rejected as an error of the sender.
MAX_AGE_S = 30 * 86400.0

Count = Annotated[int, msgspec.Meta(ge=0)]


class LinkStatus(msgspec.Struct, omit_defaults=True):
    """The state of one link as seen by its node."""

    state: LinkState
    # The time since the last confirmed round trip started, by the node's monotonic clock; None if there was none.
    age_s: float | None = None


class LinkViewMessage(
    msgspec.Struct, omit_defaults=True, rename={"in_backoff": "resting", "successor_fencing_token": "successor_token"}
):
    """A node's view of its links, with the age of each. It never makes a node the leader; only the election does."""

    # The sequence number of this message, which the others echo.
    number: Count
    # The number of the latest message received from each node.
    echoes: dict[str, Count]
    store: LinkStatus
    peers: dict[str, LinkStatus]
    # By zone. Empty unless the node leads, since workers report to the leader only.
    workers: dict[str, LinkStatus] = {}
    # Whether this node gave up leadership recently.
    in_backoff: bool = False
    # The node that is to lead after the term with that token, which this node has just ended.
    successor: str | None = None
    successor_fencing_token: Count = 0


class InvalidViewError(ElmthreadError):
    """A view can't be decoded, contradicts itself, or contradicts this node's own records."""


encode_view = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[LinkViewMessage] = msgspec.json.Decoder(LinkViewMessage)


def status_of(link: Link) -> LinkStatus:
    """Return the status of a link for an announcement."""
    age = link.age
    return LinkStatus(link.state, None if age is None else round(age.total_seconds(), 3))


def read_view(raw: msgspec.Raw, sender: str, own_node: str, own_number: int) -> LinkViewMessage:
    """Decode and validate the link view of `sender`; `own_number` is the number of this node's latest message.

    Raises InvalidViewError.
    """
    try:
        view = _decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise InvalidViewError(f"malformed: {error}") from error
    for status in (view.store, *view.peers.values(), *view.workers.values()):
        problem = _find_contradiction(status)
        if problem is not None:
            raise InvalidViewError(f"contradictory: {problem}")
    if sender in view.peers or sender in view.echoes:
        raise InvalidViewError("contradictory: a link of the sender to itself")
    if view.successor == sender:
        raise InvalidViewError("contradictory: the sender names itself as its successor")
    if view.echoes.get(own_node, 0) > own_number:
        raise InvalidViewError("contradictory: it echoes a message that was never sent")
    return view


def _find_contradiction(status: LinkStatus) -> str | None:
    if status.age_s is None:
        return "confirmed without an age" if status.state is LinkState.CONFIRMED else None
    if not (math.isfinite(status.age_s) and 0 <= status.age_s <= MAX_AGE_S):
        return f"an age of {status.age_s} s"
    return None
