"""The connections between this controller and the others.

Each node maintains one outgoing connection to each other node, on which it sends requests and receives their
responses. Announcements are sent in both directions on every connection.
"""

import asyncio
import logging
from collections.abc import Iterable
from datetime import timedelta
from functools import partial

from elmthread.common.clock import seconds
from elmthread.peers.connection import ConnectionState, PeerAddress, PeerConnection, PeerUnreachableError
from elmthread.peers.framing import RejectedFrames, encode_frame, receive_messages
from elmthread.peers.handler import PeerMessageHandler
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement, Message

log = logging.getLogger(__name__)

ANNOUNCEMENT_INTERVAL = seconds(1)
INCOMING_IDLE_TIMEOUT = seconds(60)
BUSY_RETRY_AFTER_S = 1.0
DEFAULT_MAX_PENDING = 256


class PeerNetwork:
    """The outgoing and incoming connections of this node."""

    def __init__(
        self, addresses: Iterable[PeerAddress], handler: PeerMessageHandler, max_pending: int = DEFAULT_MAX_PENDING
    ) -> None:
        """Allow `max_pending` unanswered requests on each outgoing connection, and on all incoming ones together."""
        self._handler = handler
        self._max_pending = max_pending
        self.rejected = RejectedFrames()
        self._outgoing = {
            address.node: PeerConnection(address, handler, self.rejected, max_pending) for address in addresses
        }
        self._incoming: set[asyncio.StreamWriter] = set()
        self._response_tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    def is_connected(self, node: str) -> bool:
        """Return whether the connection to the node is up."""
        connection = self._outgoing.get(node)
        return connection is not None and connection.state is ConnectionState.UP

    async def request(self, node: str, request: ForwardedRequest, timeout: timedelta) -> ForwardedResponse:
        """Return a node's response. Raises PeerUnreachableError."""
        connection = self._outgoing.get(node)
        if connection is None:
            raise PeerUnreachableError(node)
        return await connection.request(request, timeout)

    def announce(self) -> None:
        """Announce this node's state immediately, since a change of leader must not wait for the next interval."""
        frame = encode_frame(self._handler.make_announcement())
        for connection in self._outgoing.values():
            connection.announce(frame)
        for writer in self._incoming:
            writer.write(frame)

    async def run(self, host: str, port: int) -> None:
        """Listen on the address, maintain all connections and send announcements periodically, until cancelled."""
        self._server = await asyncio.start_server(self._serve, host, port)
        async with asyncio.TaskGroup() as group:
            for connection in self._outgoing.values():
                group.create_task(connection.run())
            group.create_task(self._announce_periodically())

    async def _announce_periodically(self) -> None:
        while True:
            self.announce()
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL.total_seconds())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._incoming.add(writer)
        receive = partial(self._receive, writer)
        try:
            await receive_messages(reader, "an incoming connection", receive, INCOMING_IDLE_TIMEOUT, self.rejected)
        except (OSError, TimeoutError) as error:
            log.info("incoming peer connection closed: %s", error or type(error).__name__)
        finally:
            self._incoming.discard(writer)
            writer.transport.abort()

    def _receive(self, writer: asyncio.StreamWriter, message: Message) -> None:
        if isinstance(message, LeaderAnnouncement):
            self._handler.handle_announcement(message)
        elif isinstance(message, ForwardedRequest):
            self._start_response(writer, message)

    def _start_response(self, writer: asyncio.StreamWriter, request: ForwardedRequest) -> None:
        if len(self._response_tasks) >= self._max_pending:
            log.info("peer request rejected: %s requests are already in progress", len(self._response_tasks))
            self._send(writer, ForwardedResponse(request.number, 503, {"error": "busy"}, BUSY_RETRY_AFTER_S))
            return
        task = asyncio.get_running_loop().create_task(self._respond(writer, request))
        self._response_tasks.add(task)
        task.add_done_callback(self._response_tasks.discard)

    async def _respond(self, writer: asyncio.StreamWriter, request: ForwardedRequest) -> None:
        try:
            response = await self._handler.handle_request(request)
        except Exception:
            log.exception("peer request failed: %s", request.verb)
            response = ForwardedResponse(request.number, 503, {"error": "internal error"}, BUSY_RETRY_AFTER_S)
        response.number = request.number
        self._send(writer, response)

    def _send(self, writer: asyncio.StreamWriter, response: ForwardedResponse) -> None:
        if not writer.is_closing():
            writer.write(encode_frame(response))
