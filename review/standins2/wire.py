"""HTTP/1.1 with CBOR bodies on loopback: a small server and a small client, written from PROTOCOL-elmthread.md."""

import asyncio
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import cbor2


def _own_address() -> str:
    """Return a loopback address of this run's own, so that two runs can't meet on a port."""
    address = "127." + ".".join(str(random.SystemRandom().randint(2, 250)) for _ in range(3))
    with socket.socket() as probe:
        try:
            probe.bind((address, 0))
        except OSError:
            return "127.0.0.1"
    return address


HOST = _own_address()
# Below the usual ephemeral range, so that no outgoing connection takes the port of a process that is restarted.
PORTS = range(20_000, 30_000)

# Handles (method, path, query, body) and returns (status, body).
Handler = Callable[[str, str, dict[str, str], Any], Awaitable[tuple[int, Any]]]


class NoAnswerError(Exception):
    """The connection failed, or no answer came in time."""


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens now."""
    sockets: list[socket.socket] = []
    try:
        for port in random.SystemRandom().sample(PORTS, len(PORTS)):
            listener = socket.socket()
            try:
                listener.bind((HOST, port))
            except OSError:
                listener.close()
                continue
            sockets.append(listener)
            if len(sockets) == count:
                return [one.getsockname()[1] for one in sockets]
        raise OSError("not enough free ports")
    finally:
        for one in sockets:
            one.close()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of one message. Raises EOFError at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise EOFError from error
    return lines[0], headers, body


async def serve(handler: Handler) -> str:
    """Serve `handler` on a free port of loopback, and return the address."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                answer = await handler(
                    method, unquote(parts.path), dict(parse_qsl(parts.query)), cbor2.loads(body) if body else None
                )
                payload = cbor2.dumps(answer[1])
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/cbor\r\ncontent-length: %d\r\n\r\n"
                    % (answer[0], len(payload))
                    + payload
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (EOFError, OSError, asyncio.CancelledError):
            # Cancelled only when the case ends.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, HOST, 0, limit=1 << 20)
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


class Client:
    """One caller's connection to one address, which stays open between requests."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection; the next call opens another one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def call(
        self, method: str, path: str, body: Any = None, timeout: float = 4.0
    ) -> tuple[int, dict[str, str], Any]:
        """Return status, headers and body of the answer. Raises NoAnswerError."""
        payload = b"" if body is None else cbor2.dumps(body)
        head = f"{method} {path} HTTP/1.1\r\nhost: {self._host}\r\ncontent-type: application/cbor\r\n"
        done = False
        try:
            async with asyncio.timeout(timeout):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(self._host, self._port, limit=1 << 20)
                reader, writer = self._streams
                writer.write(f"{head}content-length: {len(payload)}\r\n\r\n".encode() + payload)
                first, headers, data = await read_message(reader)
                done = headers.get("connection", "").lower() != "close"
                return int(first.split(" ")[1]), headers, cbor2.loads(data) if data else None
        except (TimeoutError, OSError, EOFError) as error:
            raise NoAnswerError(type(error).__name__) from error
        finally:
            if not done:
                self.close()
