"""Incremental parsing of the requests on one connection, with limits on their size."""

from collections import deque
from dataclasses import dataclass

import httptools

from elmthread.common.errors import ElmthreadError

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
CONTENT_LENGTH = b"content-length"


class MalformedRequestError(ElmthreadError):
    """The bytes are not a valid request, or the request is too large."""


@dataclass(slots=True)
class ParsedRequest:
    """A request that has been received completely."""

    method: str
    target: bytes
    body: bytes
    keep_alive: bool


class RequestParser:
    """Parses the bytes received on one connection.

    The server uses httptools because h11 takes several times as much CPU time per heartbeat. httptools does
    not limit the size of a request; the limits are enforced here.
    """

    def __init__(self) -> None:
        """Start with the first request of the connection."""
        self.complete: deque[ParsedRequest] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body: list[bytes] = []
        self._body_size = 0
        # Bytes received since the last head or request was complete; limited while a head is being received.
        self._head_size = 0
        self._in_body = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes, and append completed requests to `complete`. Raises MalformedRequestError."""
        self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError("no upgrade is known") from error
        except httptools.HttpParserCallbackError as error:
            raise MalformedRequestError("body too large") from error
        except httptools.HttpParserError as error:
            raise MalformedRequestError(str(error) or "malformed") from error
        if self._head_size > MAX_HEAD_BYTES and not self._in_body:
            raise MalformedRequestError("head too large")

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._target = b""
        self._body = []
        self._body_size = 0
        self._in_body = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Reject a request whose Content-Length is above the limit."""
        if len(name) == len(CONTENT_LENGTH) and name.lower() == CONTENT_LENGTH and int(value) > MAX_BODY_BYTES:
            raise MalformedRequestError("body too large")

    def on_headers_complete(self) -> None:
        """Switch from the head to the body."""
        self._in_body = True
        self._head_size = 0

    def on_body(self, data: bytes) -> None:
        """Append a part of the body. Raises MalformedRequestError if the body is too large."""
        self._body_size += len(data)
        if self._body_size > MAX_BODY_BYTES:
            raise MalformedRequestError("body too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Append the request to `complete`."""
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        parser = self._parser
        method, keep_alive = parser.get_method().decode("ascii"), parser.should_keep_alive()
        self.complete.append(ParsedRequest(method, self._target, body, keep_alive))
        self._in_body = False
        self._head_size = 0
