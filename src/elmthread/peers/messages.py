"""What controllers say to one another: netstrings, each a JSON object with a `kind`."""

from enum import StrEnum
from typing import Any

import msgspec


class RequestVerb(StrEnum):
    """What one controller asks another; the values are the words of the wire."""

    SUBMIT = "submit"
    STATUS = "status"
    CANCEL = "withdraw"
    # Whether nobody there has won since the asker's term began. An earlier version confirms nothing.
    CONFIRM_NO_LATER_TERM = "vouch"
    # Which process of its node this is. An earlier version refuses the question.
    WHICH_PROCESS = "process"


class LeaderAnnouncement(msgspec.Struct, tag_field="kind", tag="lead", rename={"fencing_token": "token"}):
    """The sender says who leads, as far as it knows, and by which token."""

    leader: str | None
    fencing_token: int
    node: str = ""
    # Machines that came to the sender of late as they did not reach that leader, and a few of
    # them: machine, session and sequence.
    strays: int = 0
    some: list[tuple[str, int, int]] = []
    # Machines that a leader has, by which the others judge how many strays are many.
    machines: int = 0
    # The active compatibility level, once it is above the first; earlier versions never meet it.
    level: int | msgspec.UnsetType = msgspec.UNSET
    # The sender's view of its links (`reachability/messages.py`), once all controllers read it. It is read by
    # itself, so that a malformed one costs nothing but itself.
    links: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


class ForwardedRequest(msgspec.Struct, tag_field="kind", tag="ask", rename={"fencing_token": "token"}):
    """A user's request, parsed by the node that took it."""

    number: int
    verb: str
    job_id: str
    # The leadership that is asked; any other one would answer from another view.
    fencing_token: int = 0
    body: dict[str, Any] | None = None
    # Why the body is no submission; the leader says so only if it does not know the job.
    fault: str | None = None


class ForwardedResponse(msgspec.Struct, tag_field="kind", tag="reply", rename={"fencing_token": "token"}):
    """The answer to a forwarded request."""

    number: int
    status: int
    body: dict[str, Any] | None = None
    retry_after_s: float | None = None
    # The leadership that answers, as far as one does.
    fencing_token: int = 0


Message = LeaderAnnouncement | ForwardedRequest | ForwardedResponse

encode = msgspec.json.Encoder().encode
_decoder: msgspec.json.Decoder[Message] = msgspec.json.Decoder(Message)
decode = _decoder.decode
