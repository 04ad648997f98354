"""This node's outgoing connection to one other controller."""

import asyncio
import logging
from datetime import timedelta
from enum import Enum, auto

import msgspec

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.common.states import transition
from elmthread.peers.framing import RejectedFrames, encode_frame, receive_messages
from elmthread.peers.handler import PeerMessageHandler
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement, Message

log = logging.getLogger(__name__)

CONNECT_TIMEOUT = seconds(1)
RECONNECT_DELAY = seconds(0.5)
# The other side sends an announcement every second, so a connection that is idle for longer is considered dead.
IDLE_TIMEOUT = seconds(2.8)


class PeerUnreachableError(ElmthreadError):
    """No response from the other node; it may nevertheless have received and processed the request."""


class ConnectionState(Enum):
    """The state of the connection to another node."""

    DOWN = auto()
    CONNECTING = auto()
    UP = auto()


CONNECTION_TRANSITIONS = {
    ConnectionState.DOWN: frozenset({ConnectionState.CONNECTING}),
    ConnectionState.CONNECTING: frozenset({ConnectionState.UP, ConnectionState.DOWN}),
    ConnectionState.UP: frozenset({ConnectionState.DOWN}),
}


class PeerAddress(msgspec.Struct, frozen=True):
    """The address at which a controller listens for the others."""

    node: str
    host: str
    port: int


class PeerConnection:
    """Sends this node's requests and announcements to one other node, and receives its responses and announcements."""

    def __init__(
        self, address: PeerAddress, handler: PeerMessageHandler, rejected: RejectedFrames, max_pending: int
    ) -> None:
        """Allow at most `max_pending` requests to wait for a response."""
        self.node = address.node
        self._address = address
        self._handler = handler
        self._rejected = rejected
        self._max_pending = max_pending
        self._writer: asyncio.StreamWriter | None = None
        self._pending: dict[int, asyncio.Future[ForwardedResponse]] = {}
        self._last_number = 0
        self.state = ConnectionState.DOWN

    def _set_state(self, state: ConnectionState) -> None:
        self.state = transition(f"connection to {self.node}", CONNECTION_TRANSITIONS, self.state, state)

    async def run(self) -> None:
        """Connect, and reconnect whenever the connection ends, until cancelled."""
        while True:
            self._set_state(ConnectionState.CONNECTING)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT.total_seconds()):
                    reader, writer = await asyncio.open_connection(self._address.host, self._address.port)
            except (OSError, TimeoutError):
                self._set_state(ConnectionState.DOWN)
            else:
                await self._run_connection(reader, writer)
            await asyncio.sleep(RECONNECT_DELAY.total_seconds())

    async def _run_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Receive messages until the connection ends, then fail the pending requests."""
        self._writer = writer
        self._set_state(ConnectionState.UP)
        self.announce()
        try:
            await receive_messages(reader, self.node, self._receive, IDLE_TIMEOUT, self._rejected)
        except (OSError, TimeoutError) as error:
            log.info("connection to %s closed: %s", self.node, error or type(error).__name__)
        finally:
            self._writer = None
            self._set_state(ConnectionState.DOWN)
            writer.transport.abort()
            for response in self._pending.values():
                if not response.done():
                    response.set_exception(PeerUnreachableError(self.node))
            self._pending.clear()

    def announce(self, frame: bytes | None = None) -> None:
        """Announce this node's state; `frame` is the encoded announcement if it is sent to several nodes."""
        if self._writer is not None:
            self._writer.write(frame or encode_frame(self._handler.make_announcement()))

    def _receive(self, message: Message) -> None:
        if isinstance(message, ForwardedResponse):
            response = self._pending.pop(message.number, None)
            if response is not None and not response.done():
                response.set_result(message)
        elif isinstance(message, LeaderAnnouncement):
            self._handler.handle_announcement(message)

    async def request(self, request: ForwardedRequest, timeout: timedelta) -> ForwardedResponse:
        """Return the other node's response. Raises PeerUnreachableError."""
        if self._writer is None:
            raise PeerUnreachableError(self.node)
        if len(self._pending) >= self._max_pending:
            log.info("request to %s not sent: %s requests to it are already pending", self.node, len(self._pending))
            raise PeerUnreachableError(self.node)
        self._last_number += 1
        request.number = self._last_number
        response: asyncio.Future[ForwardedResponse] = asyncio.get_running_loop().create_future()
        self._pending[request.number] = response
        self._writer.write(encode_frame(request))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await response
        except TimeoutError:
            raise PeerUnreachableError(self.node) from None
        finally:
            self._pending.pop(request.number, None)
