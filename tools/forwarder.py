"""A TCP forwarder on one link, each of whose directions can be cut, slowed, reset or refused."""

import asyncio

from tests.world.links import LinkFaults

CHUNK_BYTES = 65536
# While a direction is dropped, its fault is checked this often.
CHECK_INTERVAL_S = 0.02
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Forwarder:
    """Listens on loopback in place of a target and passes on what the faults let through.

    While a direction is dropped its bytes wait, as TCP would send them again, and arrive in order after it.
    Duplicates don't exist on a connection: that kind of fault changes nothing here.
    """

    def __init__(self, faults: LinkFaults, source: str, target: str, host: str, address: str) -> None:
        """Forward to `address`; the forwarder listens on `host`."""
        self._faults, self._source, self._target = faults, source, target
        self._host, self._address = host, address
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Begin to listen and return the address that stands for the target."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        return f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        onward: asyncio.StreamWriter | None = None
        try:
            await self._until_passable(self._source, self._target)
            host, _, port = self._address.rpartition(":")
            back, onward = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pump(reader, onward, self._source, self._target, writer),
                self._pump(back, writer, self._target, self._source, writer),
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            if onward is not None:
                onward.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: str,
        caller: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._until_passable(source, target)
            if self._faults.has("refuse", source, target):
                caller.write(REFUSAL)
                await caller.drain()
                break
            writer.write(data)
            await writer.drain()
        # One side has closed, so both do; what the other still sends is of no use.
        raise ConnectionResetError

    async def _until_passable(self, source: str, target: str) -> None:
        """Return once data may pass in that direction. Raises ConnectionResetError."""
        delay = self._faults.delay(source, target)
        if delay:
            await asyncio.sleep(delay)
        while self._faults.has("drop", source, target):
            await asyncio.sleep(CHECK_INTERVAL_S)
        if self._faults.has("reset", source, target):
            raise ConnectionResetError
