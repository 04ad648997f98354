"""A TCP forwarder for one link that drops, delays, resets or refuses traffic in each direction."""

import asyncio

from tests.world.links import LinkFaults

CHUNK_BYTES = 65536
# Interval at which a dropped direction checks whether its fault is over.
CHECK_INTERVAL_S = 0.02
REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class Forwarder:
    """Listens in place of a target and forwards traffic subject to the active faults.

    Bytes in a dropped direction are buffered and arrive in order after the fault, as with TCP retransmission.
    Faults of kind `duplicate` have no effect, as TCP discards duplicates.
    """

    def __init__(self, faults: LinkFaults, source: str, target: str, host: str, address: str) -> None:
        """Forward to `address`; the forwarder listens on `host`."""
        self._faults, self._source, self._target = faults, source, target
        self._host, self._address = host, address
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Start listening; return the address to use in place of the target's."""
        self._server = await asyncio.start_server(self._serve, self._host, 0)
        return f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target_writer: asyncio.StreamWriter | None = None
        try:
            await self._wait_until_passable(self._source, self._target)
            host, _, port = self._address.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(
                self._pump(reader, target_writer, self._source, self._target, writer),
                self._pump(target_reader, writer, self._target, self._source, writer),
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            if target_writer is not None:
                target_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        target: str,
        client_writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self._wait_until_passable(source, target)
            if self._faults.has("refuse", source, target):
                client_writer.write(REFUSAL)
                await client_writer.drain()
                break
            writer.write(data)
            await writer.drain()
        # When one side has closed, close both; the rest of the data from the other side is discarded.
        raise ConnectionResetError

    async def _wait_until_passable(self, source: str, target: str) -> None:
        """Wait until data may pass in that direction. Raises ConnectionResetError if the fault is a reset."""
        delay = self._faults.delay(source, target)
        if delay:
            await asyncio.sleep(delay)
        while self._faults.has("drop", source, target):
            await asyncio.sleep(CHECK_INTERVAL_S)
        if self._faults.has("reset", source, target):
            raise ConnectionResetError
