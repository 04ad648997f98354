"""Compressed bitmaps as text: sparse ones by the numbers of their bits, dense ones bit by bit.

Tasks of a job are done about in order, so a chunk is mostly empty, then mostly full. A full chunk is as
small as an empty one, as the bits of whichever kind is rarer are kept.
"""

import base64
from collections.abc import Iterator
from dataclasses import dataclass

from bitarray import bitarray
from bitarray.util import sc_decode, sc_encode


@dataclass(frozen=True)
class Bitmap:
    """The text, and whether its bits stand for what is not set."""

    text: str
    inverted: bool


def compress(marks: bytes, count: int) -> Bitmap:
    """`count` bits of `marks`, the lowest of each byte first."""
    bits = bitarray(endian="little")
    bits.frombytes(marks)
    del bits[count:]
    inverted = bits.count() * 2 > count
    if inverted:
        bits.invert()
    return Bitmap(base64.b64encode(sc_encode(bits)).decode(), inverted)


def expand(bitmap: Bitmap, most: int) -> Iterator[int]:
    """Numbers of the bits that are set. Raises ValueError for what is no bitmap of at most `most` bits."""
    raw = base64.b64decode(bitmap.text, validate=True)
    try:
        bits = sc_decode(raw)
    except StopIteration as error:
        raise ValueError("a compressed bitmap that ends too soon") from error
    if sc_encode(bits) != raw:
        raise ValueError("a compressed bitmap with something behind it")
    if len(bits) > most:
        raise ValueError(f"a bitmap of {len(bits)} bits where at most {most} may be")
    return bits.search(0 if bitmap.inverted else 1)
