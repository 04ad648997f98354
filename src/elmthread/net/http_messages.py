"""HTTP requests and responses with CBOR bodies, and the encoding of responses."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from typing import Any

import cbor2
import h11

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError

# Maximum number of bytes that a stream reads at once, and the limit of its buffer.
MAX_READ_BYTES = 64 * 1024
REASON_PHRASES = {200: b"OK", 201: b"Created", 400: b"Bad Request", 404: b"Not Found"}


# Returns whether a message may still be sent; called right before it is sent.
Precondition = Callable[[], bool]


@dataclass(slots=True)
class Request:
    """A request with its body still encoded."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes = b""
    # When the response to the previous request on this connection was sent. A client sends its next
    # request only after it has received that response, so this request shows that it arrived.
    previous_response_at: timedelta | None = None


@dataclass(slots=True)
class Response:
    """A response, whose body is sent as CBOR."""

    status: int
    body: Any = None
    retry_after: timedelta | None = None
    close: bool = False
    # Checked right before the bytes are sent, as the process may have been suspended since the response
    # was made. If it no longer holds, PRECONDITION_FAILED is sent instead.
    precondition: Precondition | None = None

    def check_precondition(self) -> "Response":
        """Return this response if its precondition holds, else PRECONDITION_FAILED."""
        if self.precondition is not None and not self.precondition():
            return PRECONDITION_FAILED
        return self


Handler = Callable[[Request], Awaitable[Response]]


def retry_later(status: int, after: timedelta, error: str) -> Response:
    """Return an error response that tells the client when to retry."""
    return Response(status, {"error": error}, retry_after=after)


PRECONDITION_FAILED = retry_later(503, seconds(1), "no longer sure")


class MalformedBodyError(ElmthreadError):
    """The body is not CBOR."""


def decode_body(body: bytes) -> Any:
    """Decode a CBOR body. Raises MalformedBodyError."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # cbor2 raises many types of exceptions on malformed input
        raise MalformedBodyError(str(error)) from error


def encode_response(response: Response, close: bool) -> bytes:
    """Encode a response that is sent now; `close` tells the client that the connection is closed after it."""
    response = response.check_precondition()
    payload = b"" if response.body is None else cbor2.dumps(response.body)
    after = response.retry_after
    retry_after_s = None if after is None else max(1, round(after.total_seconds()))
    return _encode_head(response.status, len(payload), retry_after_s, close) + payload


@lru_cache(maxsize=512)
def _encode_head(status: int, content_length: int, retry_after_s: int | None, close: bool) -> bytes:
    """Encode the status line and headers with h11. The result is cached, as responses have few distinct heads."""
    headers = [(b"content-type", b"application/cbor"), (b"content-length", b"%d" % content_length)]
    if retry_after_s is not None:
        headers.append((b"retry-after", b"%d" % retry_after_s))
    if close:
        headers.append((b"connection", b"close"))
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    connection.next_event()
    head = connection.send(h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES.get(status, b"")))
    assert head is not None
    return head
