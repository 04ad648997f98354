"""Messages between controllers: netstrings, each a JSON object with a `kind`."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any

import msgspec


class RequestVerb(StrEnum):
    """The request types between controllers; the values are sent in messages."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "withdraw"
    # Asks the node to confirm that its processes have won no later term than that of the token. Earlier versions of
    # this program never confirm it.
    CONFIRM_NO_LATER_TERM = "vouch"
    # Asks for the id of the node's current process. Earlier versions of this program reject the request.
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
    """The leader known to the sender, with its fencing token, and further state of the sender."""

    leader: str | None
    fencing_token: int
    node: str = ""
    # The number of machines that recently sent the sender heartbeats because they could not reach that leader, and a
    # sample: machine, incarnation and sequence number of each heartbeat.
    misdirected_count: int = 0
    misdirected_sample: Sequence[tuple[str, int, int]] = []
    # The number of machines that the sender manages as leader, 0 if it does not lead. The others derive their
    # thresholds for misdirected heartbeats from it.
    machine_count: int = 0
    # The active compatibility level, sent by a leader once it is above the first; versions that know only the first
    # level never receive this field.
    level: int | msgspec.UnsetType = msgspec.UNSET
    # The sender's view of its links (`reachability/messages.py`), once all controllers can read it. It is decoded
    # separately, so that a malformed view does not invalidate the announcement.
    links: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class ForwardedRequest(msgspec.Struct, tag_field="kind", tag="ask", rename={"fencing_token": "token"}):
    """A user's request, parsed and forwarded by the node that received it, or a request of that node itself."""

    number: int
    verb: str
    job_id: str
    # The term to which the request is addressed; a leader of another term has a different cluster state.
    fencing_token: int = 0
    body: dict[str, Any] | None = None
    # Why the body is not a valid submission; the leader returns this error only if it does not know the job.
    fault: str | None = None


class ForwardedResponse(msgspec.Struct, tag_field="kind", tag="reply", rename={"fencing_token": "token"}):
    """The response to a forwarded request."""

    number: int
    status: int
    body: dict[str, Any] | None = None
    retry_after_s: float | None = None
    # The token of the request, which was processed in that term unless the status is 429 or 503. It is 0 if too many
    # requests were in progress or processing failed.
    fencing_token: int = 0


Message = LeaderAnnouncement | ForwardedRequest | ForwardedResponse

encode = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)
decode = _decoder.decode
