"""Netstring framing of messages on the connections between controllers."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from datetime import timedelta

import msgspec
import pynetstring

from elmthread.peers.messages import Message, decode, encode

log = logging.getLogger(__name__)

MAX_FRAME_BYTES = 256 * 1024
READ_CHUNK_BYTES = 64 * 1024


class RejectedFrames:
    """Counts frames that can't be decoded; a single one may be chance, many indicate a fault of the sender."""

    def __init__(self) -> None:
        """Start with a count of zero."""
        self.count = 0

    def add(self, sender: str, error: Exception) -> None:
        """Count and log a rejected frame."""
        self.count += 1
        log.warning("frame from %s rejected (%s from all senders so far): %s", sender, self.count, error)


def encode_frame(message: Message) -> bytes:
    """Return the frame of a message."""
    frame: bytes = pynetstring.encode(encode(message))
    return frame


async def read_frames(
    reader: asyncio.StreamReader, idle_timeout: timedelta | None = None, max_frame_bytes: int = MAX_FRAME_BYTES
) -> AsyncGenerator[bytes, None]:
    """Yield the content of each frame until the other side closes the connection.

    Raises TimeoutError if no data arrives for `idle_timeout`, and ParseError for a frame that is malformed or longer
    than `max_frame_bytes`, after which the start of the next frame is unknown.
    """
    decoder = pynetstring.Decoder(max_frame_bytes)
    idle_timeout_s = None if idle_timeout is None else idle_timeout.total_seconds()
    while True:
        async with asyncio.timeout(idle_timeout_s):
            data = await reader.read(READ_CHUNK_BYTES)
        if not data:
            return
        for frame in decoder.feed(data):
            yield frame


async def receive_messages(
    reader: asyncio.StreamReader,
    sender: str,
    handle: Callable[[Message], None],
    idle_timeout: timedelta,
    rejected: RejectedFrames,
) -> None:
    """Pass each message to `handle` until the connection ends or a frame is malformed.

    A frame without a valid message is counted and skipped. Raises TimeoutError and OSError.
    """
    async with aclosing(read_frames(reader, idle_timeout)) as frames:
        try:
            async for frame in frames:
                try:
                    message = decode(frame)
                except msgspec.MsgspecError as error:
                    rejected.add(sender, error)
                else:
                    handle(message)
        except pynetstring.ParseError as error:
            rejected.add(sender, error)
