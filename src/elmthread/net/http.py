"""HTTP/1.1 with CBOR bodies over asyncio streams: a server and a small pooled client."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from functools import lru_cache
from typing import Any, Protocol
from urllib.parse import parse_qsl, urlsplit

import cbor2
import h11
import httptools

from elmthread.common.clock import Clock, seconds, steady
from elmthread.common.errors import ElmthreadError

log = logging.getLogger(__name__)

MAX_BODY = 64 * 1024
MAX_HEAD = 16 * 1024
READ_SIZE = 64 * 1024
# A client that stays silent in the middle of a request, or idle between two, is cut off.
REQUEST_TIME = seconds(10)
IDLE_TIME = seconds(75)


@dataclass(slots=True)
class Request:
    """One request, its body undecoded."""

    method: str
    path: str
    query: Mapping[str, str]
    body: bytes = b""
    # When the request before it on the same connection was answered. As none is sent before the
    # answer to the last has come, that answer has arrived.
    answered_at: timedelta | None = None


@dataclass(slots=True)
class Response:
    """One answer; the body is encoded as CBOR."""

    status: int
    body: Any = None
    retry_after: timedelta | None = None
    close: bool = False
    # Asked right before the bytes leave, however long the answer took to get there: a process
    # may have stood still since it was made. Where it says no, UNSURE leaves instead.
    sure: Callable[[], bool] | None = None


def again(status: int, after: timedelta, why: str) -> Response:
    """An answer for what can't be taken now: told at once, with the time to come back."""
    return Response(status, {"error": why}, retry_after=after)


UNSURE = again(503, seconds(1), "no longer sure")

Handler = Callable[[Request], Awaitable[Response]]


class MalformedBodyError(ElmthreadError):
    """The body is not CBOR."""


def decode(body: bytes) -> Any:
    """The value of a CBOR body. Raises MalformedBodyError."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # the decoder raises many kinds on hostile bytes
        raise MalformedBodyError(str(error)) from error


REASONS = {200: b"OK", 201: b"Created", 400: b"Bad Request", 404: b"Not Found"}


@dataclass(slots=True, eq=False)
class _Open:
    writer: asyncio.StreamWriter
    until: timedelta
    heard: timedelta
    answered_at: timedelta | None = None
    # Between two requests.
    idle: bool = True
    crowd: bool = False


@dataclass(slots=True, frozen=True)
class ConnectionLimit:
    """Clients that come by the hundred and ask in short turns: they leave room for the others."""

    path: str
    # Of the connections of all, at most this many.
    most: int
    # Silent for this long between two requests, the client is dead or elsewhere.
    idle: timedelta


@dataclass(eq=False)
class Server:
    """Serves each connection in order; a bounded number of them, each with a time limit."""

    handle: Handler
    max_connections: int
    clock: Clock = steady
    crowd: ConnectionLimit | None = None
    refused: int = 0
    _open: set[_Open] = field(default_factory=set)
    _crowd: int = 0
    _server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Begins to listen; returns the port. Raises OSError."""
        # A whole fleet may come at once while the loop is busy: as many may wait as may be open.
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=READ_SIZE, backlog=self.max_connections
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def sweep(self) -> None:
        """Cuts off the slow and the silent; one loop is cheaper than a timer a connection."""
        while True:
            await asyncio.sleep(2)
            now = self.clock()
            for one in [one for one in self._open if one.until < now]:
                one.writer.transport.abort()

    async def close(self) -> None:
        """Ends all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        for one in list(self._open):
            one.writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        now = self.clock()
        if len(self._open) >= self.max_connections and not self._make_room(now):
            self._tell_refused(self.max_connections)
            writer.transport.abort()
            return
        me = _Open(writer, now + IDLE_TIME, now)
        self._open.add(me)
        try:
            await self._talk(me, reader, writer)
        except (ConnectionError, TimeoutError, OSError):
            pass
        finally:
            self._open.discard(me)
            self._crowd -= me.crowd
            writer.close()

    def _make_room(self, now: timedelta) -> bool:
        """Gives up the crowd's connection that has been silent for longest, if it is overdue.

        Clients that were cut off or died leave theirs behind, and come back on new ones.
        """
        if self.crowd is None:
            return False
        stale = min((one for one in self._open if one.crowd and one.idle), key=lambda one: one.heard, default=None)
        if stale is None or now - stale.heard < self.crowd.idle / 2:
            return False
        self._open.discard(stale)
        self._crowd -= 1
        stale.crowd = False
        stale.writer.transport.abort()
        return True

    def _join_crowd(self, me: _Open, path: str) -> bool:
        """Whether this connection may go on; the first request shows who is on it."""
        if me.crowd or self.crowd is None or path != self.crowd.path:
            return True
        if self._crowd >= self.crowd.most and not self._make_room(self.clock()):
            self._tell_refused(self.crowd.most)
            return False
        me.crowd = True
        self._crowd += 1
        return True

    def _tell_refused(self, bound: int) -> None:
        self.refused += 1
        log.info("connection refused: %s are open (%s refused so far)", bound, self.refused)

    async def _talk(self, me: _Open, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        incoming = _Incoming()
        while True:
            try:
                while not incoming.whole:
                    data = await reader.read(READ_SIZE)
                    if not data:
                        return
                    me.idle = False
                    me.until = min(me.until, self.clock() + REQUEST_TIME)
                    incoming.feed(data)
            except MalformedRequestError as error:
                writer.write(_encode(Response(400, {"error": str(error)}), close=True))
                await writer.drain()
                return
            one = incoming.whole.popleft()
            me.until = self.clock() + IDLE_TIME
            response = await self._respond(me, one)
            # Not noted in the response itself: some are kept and given to many.
            close = response.close or not one.keep_alive
            me.answered_at = self.clock()
            writer.write(_encode(response, close))
            await writer.drain()
            if close:
                return
            me.idle = True
            me.heard = self.clock()
            me.until = me.heard + (self.crowd.idle if me.crowd and self.crowd else IDLE_TIME)

    async def _respond(self, me: _Open, one: "_Whole") -> Response:
        try:
            target = urlsplit(one.target.decode("ascii", "replace"))
        except ValueError:
            return Response(400, {"error": "malformed target"}, close=True)
        if not self._join_crowd(me, target.path):
            return Response(503, {"error": "too many connections"}, seconds(1), close=True)
        query = dict(parse_qsl(target.query)) if target.query else {}
        request = Request(one.method, target.path, query, one.body, me.answered_at)
        try:
            return await self.handle(request)
        except Exception:
            # One bad request must not cost the others anything.
            log.exception("while answering %s %s", request.method, request.path)
            return again(503, seconds(1), "internal error")


class MalformedRequestError(ElmthreadError):
    """What came is no request, or is too large."""


@dataclass(slots=True)
class _Whole:
    """A request that has come in whole."""

    method: str
    target: bytes
    body: bytes
    keep_alive: bool


class _Incoming:
    """What comes in on one connection, taken apart.

    Reports come by the hundred a second, and h11 took more than half of what one costs
    (docs/results.md), so requests are parsed by httptools; their bounds are kept here.
    """

    def __init__(self) -> None:
        self.whole: deque[_Whole] = deque()
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._body: list[bytes] = []
        self._size = 0
        # Bytes that came since the last whole head, and whether a body is on its way.
        self._head = 0
        self._in_body = False

    def feed(self, data: bytes) -> None:
        self._head += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedRequestError("no upgrade is known") from error
        except httptools.HttpParserCallbackError as error:
            raise MalformedRequestError("body too large") from error
        except httptools.HttpParserError as error:
            raise MalformedRequestError(str(error) or "malformed") from error
        if self._head > MAX_HEAD and not self._in_body:
            raise MalformedRequestError("head too large")

    # Called by the parser

    def on_message_begin(self) -> None:
        self._target = b""
        self._body = []
        self._size = 0
        self._in_body = False

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(name) == 14 and name.lower() == b"content-length" and int(value) > MAX_BODY:
            raise MalformedRequestError("body too large")

    def on_headers_complete(self) -> None:
        self._in_body = True
        self._head = 0

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_BODY:
            raise MalformedRequestError("body too large")
        self._body.append(data)

    def on_message_complete(self) -> None:
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        parser = self._parser
        self.whole.append(_Whole(parser.get_method().decode("ascii"), self._target, body, parser.should_keep_alive()))
        self._in_body = False
        self._head = 0


@lru_cache(maxsize=512)
def _head(status: int, length: int, retry: int | None, close: bool) -> bytes:
    """The head of an answer as h11 writes it; a few forms of it serve all answers."""
    headers = [(b"content-type", b"application/cbor"), (b"content-length", b"%d" % length)]
    if retry is not None:
        headers.append((b"retry-after", b"%d" % retry))
    if close:
        headers.append((b"connection", b"close"))
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    conn.next_event()
    head = conn.send(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))
    assert head is not None
    return head


def _encode(response: Response, close: bool) -> bytes:
    payload = b"" if response.body is None else cbor2.dumps(response.body)
    if response.sure is not None and not response.sure():
        response = UNSURE
        payload = cbor2.dumps(response.body)
    after = response.retry_after
    retry = None if after is None else max(1, round(after.total_seconds()))
    return _head(response.status, len(payload), retry, close) + payload


class NoResponseError(ElmthreadError):
    """No usable answer: the request may or may not have been carried out."""


class NotSentError(NoResponseError):
    """The request was not sent: right before, it was no longer right to send it."""


@dataclass(slots=True)
class Answer:
    """A status and a decoded body."""

    status: int
    body: Any


class Caller(Protocol):
    """What the slices need of an HTTP client; tests put stand-ins here."""

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, sure: Callable[[], bool] | None = None
    ) -> Answer:
        """`sure` is asked right before the request leaves."""
        ...


# What a call can fail with; the server may have carried it out all the same.
CALL_FAILURES = (OSError, EOFError, h11.ProtocolError, MalformedBodyError)


class Client:
    """Keeps a few connections to one address, each with one request in flight."""

    def __init__(self, address: str, most_idle: int = 4) -> None:
        """`address` is HOST:PORT; `most_idle` connections are kept open between requests."""
        host, _, port = address.rpartition(":")
        self.host, self.port, self.address = host, int(port), address
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, h11.Connection]] = []
        self._most_idle = most_idle

    async def call(
        self, method: str, path: str, body: Any = None, *, timeout: timedelta, sure: Callable[[], bool] | None = None
    ) -> Answer:
        """Sends one request and returns its answer. Raises NoResponseError and NotSentError."""
        payload = b"" if body is None else cbor2.dumps(body)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._exchange(method, path, payload, sure)
        except (
            OSError,
            TimeoutError,
            EOFError,
            h11.ProtocolError,
            MalformedBodyError,
            asyncio.IncompleteReadError,
        ) as error:
            raise NoResponseError(f"{method} {path.split('?')[0]}: {error or type(error).__name__}") from error

    async def _exchange(self, method: str, path: str, payload: bytes, sure: Callable[[], bool] | None) -> Answer:
        while True:
            if self._idle:
                reader, writer, conn = self._idle.pop()
                if reader.at_eof() or writer.is_closing():
                    writer.close()
                    continue
            else:
                reader, writer = await asyncio.open_connection(self.host, self.port, limit=READ_SIZE)
                conn = h11.Connection(h11.CLIENT)
            break
        keep = False
        try:
            request = h11.Request(
                method=method,
                target=path,
                headers=[
                    (b"host", self.address.encode()),
                    (b"content-type", b"application/cbor"),
                    (b"content-length", b"%d" % len(payload)),
                ],
            )
            parts = [
                conn.send(request),
                conn.send(h11.Data(data=payload)) if payload else b"",
                conn.send(h11.EndOfMessage()),
            ]
            if sure is not None and not sure():
                raise NotSentError(f"{method} {path}: no longer sure")
            writer.write(b"".join(part for part in parts if part))
            status = 0
            data = bytearray()
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await reader.read(READ_SIZE))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    data += event.data
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise EOFError("connection closed")
            keep = conn.our_state is h11.DONE and conn.their_state is h11.DONE
            return Answer(status, decode(bytes(data)) if data else None)
        finally:
            if keep and len(self._idle) < self._most_idle:
                conn.start_next_cycle()
                self._idle.append((reader, writer, conn))
            else:
                writer.transport.abort()
