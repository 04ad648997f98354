"""Messages between controllers: netstrings, each a JSON object with a `kind`."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any

import msgspec


class RequestVerb(StrEnum):
    """What one controller asks of another; the values are the words of the wire."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "withdraw"
    # Whether no process of that node has won a later term than that of the token. An earlier version confirms nothing.
    CONFIRM_NO_LATER_TERM = "vouch"
    # Which process of its node this is. An earlier version refuses the request.
    GET_PROCESS = "process"


class LeaderAnnouncement(
    msgspec.Struct,
    tag_field="kind",
    tag="lead",
    rename={
        "fencing_token": "token",
        "misdirected_count": "strays",
        "misdirected_sample": "some",
        "machine_count": "machines",
    },
):
    """Who leads, as far as the sender knows, and by which token."""

    leader: str | None
    fencing_token: int
    node: str = ""
    # Machines that came to the sender of late because they did not reach that leader, and some of them:
    # machine, incarnation and sequence of the heartbeat.
    misdirected_count: int = 0
    misdirected_sample: Sequence[tuple[str, int, int]] = []
    # Machines that a leader has, by which the others judge how many misdirected ones are many.
    machine_count: int = 0
    # The active compatibility level, once it is above the first; earlier versions never receive it.
    level: int | msgspec.UnsetType = msgspec.UNSET
    # The sender's view of its links (`reachability/messages.py`), once all controllers read it. It is decoded
    # separately, so that a malformed one does not invalidate the announcement.
    links: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class ForwardedRequest(msgspec.Struct, tag_field="kind", tag="ask", rename={"fencing_token": "token"}):
    """A user's request, parsed by the node that received it, or a request of that node itself."""

    number: int
    verb: str
    job_id: str
    # The term that is asked; any other one would answer from another cluster state.
    fencing_token: int = 0
    body: dict[str, Any] | None = None
    # Why the body is no valid submission; the leader says so only if it does not know the job.
    fault: str | None = None


class ForwardedResponse(msgspec.Struct, tag_field="kind", tag="reply", rename={"fencing_token": "token"}):
    """The response to a forwarded request."""

    number: int
    status: int
    body: dict[str, Any] | None = None
    retry_after_s: float | None = None
    # The term that answers, as far as one does.
    fencing_token: int = 0


Message = LeaderAnnouncement | ForwardedRequest | ForwardedResponse

encode = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)
decode = _decoder.decode
