"""HTTP/1.1 with CBOR bodies, as in PROTOCOL: a small server and a small client for the stand-ins."""

import asyncio
import random
from urllib.parse import parse_qsl, urlsplit

import cbor2

# An address of its own for each run, so that runs beside one another never meet on a port.
_draw = random.SystemRandom().randrange
LOOPBACK = f"127.{_draw(1, 250)}.{_draw(1, 250)}.{_draw(1, 250)}"


async def read_message(reader):
    """Return the start line, the headers and the decoded body of one message; None at the end of the stream."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    data = await reader.readexactly(length) if length else b""
    return lines[0], headers, cbor2.loads(data) if data else None


def message(start_line, body, headers=()):
    """Return the bytes of one message."""
    data = b"" if body is None else cbor2.dumps(body)
    lines = [start_line, "content-type: application/cbor", f"content-length: {len(data)}", *headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


class Server:
    """Serves `handle(method, path, query, body) -> (status, body)`; connections stay open."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, port, limit=1 << 20, backlog=500)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{LOOPBACK}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                start_line, headers, body = request
                method, target, _ = start_line.split(" ")
                parts = urlsplit(target)
                status, answer = await self.handle(method, parts.path, dict(parse_qsl(parts.query)), body)
                writer.write(message(f"HTTP/1.1 {status} -", answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # also at the end of the test, when all tasks are cancelled
        finally:
            self.writers.discard(writer)
            writer.close()


class NoAnswer(Exception):
    """No response within the time that the protocol allows, or no connection."""


class Client:
    """Sends requests to one address over one kept connection, one at a time."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self.host, self.port, self.streams = host, int(port), None

    async def call(self, method, path, body, timeout_s):
        """Return (status, body, headers). Raises NoAnswer."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(method, path, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            raise NoAnswer(f"{type(error).__name__} {error}") from None
        except asyncio.CancelledError:
            self.close()
            raise

    async def _call(self, method, path, body):
        if self.streams is None or self.streams[0].at_eof():
            self.close()
            async with asyncio.timeout(2):
                self.streams = await asyncio.open_connection(self.host, self.port, limit=1 << 20)
        reader, writer = self.streams
        writer.write(message(f"{method} {path} HTTP/1.1", body, [f"host: {self.host}:{self.port}"]))
        answer = await read_message(reader)
        if answer is None:
            raise ConnectionResetError("closed")
        start_line, headers, content = answer
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(start_line.split(" ")[1]), content, headers

    def close(self):
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
