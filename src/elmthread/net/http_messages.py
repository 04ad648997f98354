"""HTTP requests and responses with CBOR bodies, and the bytes of a response."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from typing import Any

import cbor2
import h11

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError

# A stream reads, and buffers, at most this many bytes at a time.
READ_BYTES = 64 * 1024
REASONS = {200: b"OK", 201: b"Created", 400: b"Bad Request", 404: b"Not Found"}


# Whether what is about to be sent may still be sent.
Precondition = Callable[[], bool]


@dataclass(slots=True)
class Request:
    """One request, its body undecoded."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes = b""
    # When the previous request on the same connection was answered. A client sends the next one
    # only after it has that response, so that response has arrived.
    previous_response_at: timedelta | None = None


@dataclass(slots=True)
class Response:
    """One response; the body is encoded as CBOR."""

    status: int
    body: Any = None
    retry_after: timedelta | None = None
    close: bool = False
    # Checked right before the bytes leave: the process may have been suspended since the response
    # was made. Where it no longer holds, PRECONDITION_FAILED is sent instead.
    precondition: Precondition | None = None

    def check_precondition(self) -> "Response":
        """Return this response if its precondition holds, else the one that is to be sent instead."""
        if self.precondition is not None and not self.precondition():
            return PRECONDITION_FAILED
        return self


Handler = Callable[[Request], Awaitable[Response]]


def retry_later(status: int, after: timedelta, error: str) -> Response:
    """Return an error response that tells the client when to try again."""
    return Response(status, {"error": error}, retry_after=after)


PRECONDITION_FAILED = retry_later(503, seconds(1), "no longer sure")


class MalformedBodyError(ElmthreadError):
    """The body is not CBOR."""


def decode_body(body: bytes) -> Any:
    """Return the value of a CBOR body. Raises MalformedBodyError."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds on hostile bytes
        raise MalformedBodyError(str(error)) from error


def encode_response(response: Response, close: bool) -> bytes:
    """Return the bytes to send now; `close` says that the connection ends after them."""
    response = response.check_precondition()
    payload = b"" if response.body is None else cbor2.dumps(response.body)
    after = response.retry_after
    retry_s = None if after is None else max(1, round(after.total_seconds()))
    return _encode_head(response.status, len(payload), retry_s, close) + payload


@lru_cache(maxsize=512)
def _encode_head(status: int, content_length: int, retry_s: int | None, close: bool) -> bytes:
    """Return the head as h11 writes it; cached, as few distinct heads serve all responses."""
    headers = [(b"content-type", b"application/cbor"), (b"content-length", b"%d" % content_length)]
    if retry_s is not None:
        headers.append((b"retry-after", b"%d" % retry_s))
    if close:
        headers.append((b"connection", b"close"))
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    conn.next_event()
    head = conn.send(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))
    assert head is not None
    return head
