"""An HTTP/1.1 server over asyncio streams with CBOR bodies."""

import asyncio
import logging
from urllib.parse import parse_qsl, urlsplit

from elmthread.common.clock import Clock, seconds, steady_clock
from elmthread.net.connections import Connection, ConnectionLimit, ConnectionTable
from elmthread.net.http_messages import MAX_READ_BYTES, Handler, Request, Response, encode_response, retry_later
from elmthread.net.http_parser import MalformedRequestError, ParsedRequest, RequestParser

log = logging.getLogger(__name__)

EXPIRY_CHECK_INTERVAL = seconds(2)


class HttpServer:
    """Serves a limited number of connections with timeouts; requests on one connection are handled in order."""

    def __init__(
        self,
        handler: Handler,
        max_connections: int,
        clock: Clock = steady_clock,
        limit: ConnectionLimit | None = None,
    ) -> None:
        """Handle requests with `handler`; `limit` restricts the connections of one class of clients."""
        self._handler = handler
        self._max_connections = max_connections
        self._clock = clock
        self.connections = ConnectionTable(max_connections, clock, limit)
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port. Raises OSError."""
        # All workers may connect at once while the event loop is busy, so the backlog is as large as `max_connections`.
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=MAX_READ_BYTES, backlog=self._max_connections
        )
        return int(self._server.sockets[0].getsockname()[1])

    async def close_expired(self) -> None:
        """Close expired connections periodically until cancelled, which is cheaper than a timer per connection."""
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL.total_seconds())
            self.connections.close_expired()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.connections.close_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = self.connections.open(writer)
        if connection is None:
            writer.transport.abort()
            return
        try:
            await self._serve_requests(connection, reader)
        except (ConnectionError, TimeoutError, OSError):
            pass
        finally:
            self.connections.remove(connection)
            writer.close()

    async def _serve_requests(self, connection: Connection, reader: asyncio.StreamReader) -> None:
        parser, writer = RequestParser(), connection.writer
        while True:
            try:
                if not await self._receive(connection, reader, parser):
                    return
            except MalformedRequestError as error:
                writer.write(encode_response(Response(400, {"error": str(error)}), close=True))
                await writer.drain()
                return
            parsed = parser.complete.popleft()
            self.connections.request_received(connection)
            response = await self._respond(connection, parsed)
            # Not set on the response itself, as the same object may be sent to several clients.
            close = response.close or not parsed.keep_alive
            connection.last_response_at = self._clock()
            writer.write(encode_response(response, close))
            await writer.drain()
            if close:
                return
            self.connections.response_sent(connection)

    async def _receive(self, connection: Connection, reader: asyncio.StreamReader, parser: RequestParser) -> bool:
        """Read until a request is complete, or return False at the end of the stream. Raises MalformedRequestError."""
        while not parser.complete:
            data = await reader.read(MAX_READ_BYTES)
            if not data:
                return False
            self.connections.data_received(connection)
            parser.feed(data)
        return True

    async def _respond(self, connection: Connection, parsed: ParsedRequest) -> Response:
        try:
            target = urlsplit(parsed.target.decode("ascii", "replace"))
        except ValueError:
            return Response(400, {"error": "malformed target"}, close=True)
        if not self.connections.admit(connection, target.path):
            return Response(503, {"error": "too many connections"}, seconds(1), close=True)
        query = dict(parse_qsl(target.query)) if target.query else {}
        request = Request(parsed.method, target.path, query, parsed.body, connection.last_response_at)
        try:
            return await self._handler(request)
        except Exception:
            # An error while handling one request must not close the connection or stop the server.
            log.exception("unhandled error while answering %s %s", request.method, request.path)
            return retry_later(503, seconds(1), "internal error")
