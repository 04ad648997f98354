"""An HTTP/1.1 client over asyncio streams with CBOR bodies and a small pool of connections."""

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

import cbor2
import h11

from elmthread.common.errors import ElmthreadError
from elmthread.net.http_messages import MAX_READ_BYTES, MalformedBodyError, Precondition, decode_body


class NoResponseError(ElmthreadError):
    """No usable response; the server may or may not have executed the request."""


class NotSentError(NoResponseError):
    """The request was not sent: its precondition no longer held."""


@dataclass(slots=True)
class ClientResponse:
    """The status and decoded body of a response."""

    status: int
    body: Any


class HttpCaller(Protocol):
    """The interface of an HTTP client; tests implement it with fakes."""

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        """Send one request and return its response; `precondition` is checked right before the bytes are sent.

        Raises NoResponseError, or NotSentError if the precondition does not hold.
        """
        ...


# Exceptions that a call can fail with; the server may have executed the request nevertheless.
_CALL_FAILURES = (OSError, TimeoutError, EOFError, h11.ProtocolError, MalformedBodyError)


class HttpClient:
    """A client for one address with a small pool of connections, each with at most one request in flight."""

    def __init__(self, address: str, max_idle: int = 4) -> None:
        """Send requests to `address` (HOST:PORT), and keep up to `max_idle` connections open between requests."""
        host, _, port = address.rpartition(":")
        self.host, self.port, self.address = host, int(port), address
        self._idle: list[_ClientConnection] = []
        self._max_idle = max_idle

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, precondition: Precondition | None = None
    ) -> ClientResponse:
        """Send one request and return its response; `precondition` is checked right before the bytes are sent.

        Raises NoResponseError, or NotSentError if the precondition does not hold.
        """
        payload = b"" if body is None else cbor2.dumps(body)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._exchange(method, path, payload, precondition)
        except _CALL_FAILURES as error:
            raise NoResponseError(f"{method} {path.split('?')[0]}: {error or type(error).__name__}") from error

    async def _exchange(
        self, method: str, path: str, payload: bytes, precondition: Precondition | None
    ) -> ClientResponse:
        connection = self._take_idle() or await self._connect()
        reusable = False
        try:
            data = connection.encode_request(method, path, self.address, payload)
            if precondition is not None and not precondition():
                raise NotSentError(f"{method} {path}: its precondition no longer holds")
            connection.writer.write(data)
            response = await connection.receive_response()
            reusable = connection.is_reusable()
            return response
        finally:
            if reusable and len(self._idle) < self._max_idle:
                connection.protocol.start_next_cycle()
                self._idle.append(connection)
            else:
                connection.writer.transport.abort()

    def _take_idle(self) -> "_ClientConnection | None":
        """Remove and return the most recently used connection that the server has not closed, if there is one."""
        while self._idle:
            connection = self._idle.pop()
            if not connection.is_closed():
                return connection
            connection.writer.close()
        return None

    async def _connect(self) -> "_ClientConnection":
        reader, writer = await asyncio.open_connection(self.host, self.port, limit=MAX_READ_BYTES)
        return _ClientConnection(reader, writer, h11.Connection(h11.CLIENT))


@dataclass(slots=True)
class _ClientConnection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    protocol: h11.Connection

    def is_closed(self) -> bool:
        """Return whether either side has closed the connection."""
        return self.reader.at_eof() or self.writer.is_closing()

    def is_reusable(self) -> bool:
        """Return whether the last exchange is complete and another may follow."""
        return self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE

    def encode_request(self, method: str, path: str, host: str, payload: bytes) -> bytes:
        """Return the bytes of a request with `payload` as its body."""
        headers = [
            (b"host", host.encode()),
            (b"content-type", b"application/cbor"),
            (b"content-length", b"%d" % len(payload)),
        ]
        parts = [
            self.protocol.send(h11.Request(method=method, target=path, headers=headers)),
            self.protocol.send(h11.Data(data=payload)) if payload else b"",
            self.protocol.send(h11.EndOfMessage()),
        ]
        return b"".join(part for part in parts if part)

    async def receive_response(self) -> ClientResponse:
        """Return the response. Raises EOFError if the server closes the connection before the response is complete."""
        status = 0
        data = bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.reader.read(MAX_READ_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                data += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise EOFError("connection closed")
        return ClientResponse(status, decode_body(bytes(data)) if data else None)
