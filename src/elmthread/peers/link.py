"""Links between controllers: who leads is spread, and users' requests go to the leader.

Each node keeps one outgoing connection to each other node. Questions go out on it and
answers come back on it; what a node hears on an incoming one it answers there.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from enum import Enum, auto

import msgspec
import pynetstring

from elmthread.common.clock import seconds
from elmthread.common.errors import ElmthreadError
from elmthread.common.states import transition
from elmthread.peers.messages import ForwardedRequest, ForwardedResponse, LeaderAnnouncement, Message, decode, encode

log = logging.getLogger(__name__)

MAX_FRAME = 256 * 1024
CONNECT_TIME = seconds(1)
REDIAL = seconds(0.5)
SAY_EVERY = seconds(1)
# A link on which the other side has said nothing for this long is taken for dead.
SILENCE = seconds(2.8)


class PeerUnreachableError(ElmthreadError):
    """The other node did not answer; it may have acted all the same."""


class LinkState(Enum):
    """Whether a connection to another node stands."""

    DOWN = auto()
    DIALLING = auto()
    UP = auto()


LINK_STEPS = {
    LinkState.DOWN: frozenset({LinkState.DIALLING}),
    LinkState.DIALLING: frozenset({LinkState.UP, LinkState.DOWN}),
    LinkState.UP: frozenset({LinkState.DOWN}),
}

Answerer = Callable[[ForwardedRequest], Awaitable[ForwardedResponse]]
Hear = Callable[[LeaderAnnouncement], None]
Say = Callable[[], LeaderAnnouncement]


class Dropped:
    """Counts frames that can't be read: one is an accident, many are a fault on the other side."""

    def __init__(self) -> None:
        """None yet."""
        self.count = 0

    def note(self, who: str, error: Exception) -> None:
        """One more was dropped."""
        self.count += 1
        log.warning("frame from %s dropped (%s so far): %s", who, self.count, error)


async def _frames(
    reader: asyncio.StreamReader, who: str, got: Callable[[Message], None], limit: timedelta, dropped: Dropped
) -> None:
    """Hands each message on until the other side closes, falls silent or sends what is no frame.

    A frame that is none, or is too long, ends the link: where the next one starts is not known.
    """
    decoder = pynetstring.Decoder(MAX_FRAME)
    while True:
        async with asyncio.timeout(limit.total_seconds()):
            data = await reader.read(65536)
        if not data:
            return
        try:
            frames = decoder.feed(data)
        except pynetstring.ParseError as error:
            dropped.note(who, error)
            return
        for frame in frames:
            try:
                message = decode(frame)
            except msgspec.MsgspecError as error:
                dropped.note(who, error)
                continue
            got(message)


def _announcement(say: Say) -> bytes:
    frame: bytes = pynetstring.encode(encode(say()))
    return frame


class Link:
    """Our connection to one other node."""

    def __init__(self, node: str, host: str, port: int, hear: Hear, say: Say, dropped: Dropped, most: int) -> None:
        """`most` questions may wait for an answer."""
        self.node = node
        self._most = most
        self._dropped = dropped
        self._host, self._port = host, port
        self._hear = hear
        self._say = say
        self._writer: asyncio.StreamWriter | None = None
        self._asked: dict[int, asyncio.Future[ForwardedResponse]] = {}
        self._number = 0
        self.state = LinkState.DOWN

    def _move(self, new: LinkState) -> None:
        self.state = transition(f"link to {self.node}", LINK_STEPS, self.state, new)

    async def run(self) -> None:
        """Connects, and connects anew, for ever."""
        while True:
            self._move(LinkState.DIALLING)
            try:
                async with asyncio.timeout(CONNECT_TIME.total_seconds()):
                    reader, writer = await asyncio.open_connection(self._host, self._port)
            except (OSError, TimeoutError):
                self._move(LinkState.DOWN)
                await asyncio.sleep(REDIAL.total_seconds())
                continue
            self._writer = writer
            self._move(LinkState.UP)
            self.tell()
            try:
                await _frames(reader, self.node, self._got, SILENCE, self._dropped)
            except (OSError, TimeoutError) as error:
                log.info("link to %s: %s", self.node, error or type(error).__name__)
            finally:
                self._writer = None
                self._move(LinkState.DOWN)
                writer.transport.abort()
                for future in self._asked.values():
                    if not future.done():
                        future.set_exception(PeerUnreachableError(self.node))
                self._asked.clear()
            await asyncio.sleep(REDIAL.total_seconds())

    def tell(self, frame: bytes | None = None) -> None:
        """Announces this node's state; `frame` is that announcement where others get it too."""
        if self._writer is not None:
            self._writer.write(frame or _announcement(self._say))

    def _got(self, message: Message) -> None:
        if isinstance(message, ForwardedResponse):
            future = self._asked.pop(message.number, None)
            if future is not None and not future.done():
                future.set_result(message)
        elif isinstance(message, LeaderAnnouncement):
            self._hear(message)

    async def ask(self, ask: ForwardedRequest, timeout: timedelta) -> ForwardedResponse:
        """Asks the other node. Raises PeerUnreachableError."""
        if self._writer is None:
            raise PeerUnreachableError(self.node)
        if len(self._asked) >= self._most:
            log.info("%s questions to %s wait for an answer: no more are asked", len(self._asked), self.node)
            raise PeerUnreachableError(self.node)
        self._number += 1
        ask.number = self._number
        future: asyncio.Future[ForwardedResponse] = asyncio.get_running_loop().create_future()
        self._asked[ask.number] = future
        self._writer.write(pynetstring.encode(encode(ask)))
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await future
        except TimeoutError:
            raise PeerUnreachableError(self.node) from None
        finally:
            self._asked.pop(ask.number, None)


class Peers:
    """All links of this node, and the side that listens."""

    def __init__(
        self, links: dict[str, tuple[str, int]], answer: Answerer, hear: Hear, say: Say, most: int = 256
    ) -> None:
        """`most` questions may wait for an answer on each link, and here for all of them."""
        self._most = most
        self._answer = answer
        self._hear = hear
        self._say = say
        self.dropped = Dropped()
        self._links = {
            node: Link(node, host, port, hear, say, self.dropped, most) for node, (host, port) in links.items()
        }
        self._busy: set[asyncio.Task[None]] = set()
        self._in: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    def reaches(self, node: str) -> bool:
        """Whether a connection to the node stands."""
        link = self._links.get(node)
        return link is not None and link.state is LinkState.UP

    async def ask(self, node: str, ask: ForwardedRequest, timeout: timedelta) -> ForwardedResponse:
        """Asks a node. Raises PeerUnreachableError."""
        link = self._links.get(node)
        if link is None:
            raise PeerUnreachableError(node)
        return await link.ask(ask, timeout)

    def tell(self) -> None:
        """Says at once who leads: a change of leader must not wait for the next round."""
        frame = _announcement(self._say)
        for link in self._links.values():
            link.tell(frame)
        for writer in self._in:
            writer.write(frame)

    async def run(self, host: str, port: int) -> None:
        """Listens there, keeps all links, and announces this node's state each second."""
        self._server = await asyncio.start_server(self._serve, host, port)
        async with asyncio.TaskGroup() as group:
            for link in self._links.values():
                group.create_task(link.run())
            group.create_task(self._speak())

    async def _speak(self) -> None:
        while True:
            self.tell()
            await asyncio.sleep(SAY_EVERY.total_seconds())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        def got(message: Message) -> None:
            if isinstance(message, LeaderAnnouncement):
                self._hear(message)
            elif isinstance(message, ForwardedRequest):
                if len(self._busy) >= self._most:
                    log.info("%s questions of peers wait for an answer: no more are taken", len(self._busy))
                    self._send(writer, ForwardedResponse(message.number, 503, {"error": "busy"}, 1.0))
                    return
                task = asyncio.get_running_loop().create_task(self._reply(message, writer))
                self._busy.add(task)
                task.add_done_callback(self._busy.discard)

        self._in.add(writer)
        try:
            await _frames(reader, "a node that called", got, seconds(60), self.dropped)
        except (OSError, TimeoutError) as error:
            log.info("incoming link: %s", error or type(error).__name__)
        finally:
            self._in.discard(writer)
            writer.transport.abort()

    async def _reply(self, ask: ForwardedRequest, writer: asyncio.StreamWriter) -> None:
        try:
            reply = await self._answer(ask)
        except Exception:
            log.exception("while answering a peer")
            reply = ForwardedResponse(ask.number, 503, {"error": "internal error"}, 1.0)
        reply.number = ask.number
        self._send(writer, reply)

    def _send(self, writer: asyncio.StreamWriter, reply: ForwardedResponse) -> None:
        if not writer.is_closing():
            writer.write(pynetstring.encode(encode(reply)))
