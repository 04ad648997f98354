"""Compressed bitmaps as Base64 text: sparse ones as the indexes of their set bits, dense ones bit by bit.

Tasks of a job complete roughly in order, so the bitmap of a chunk of them is mostly 0 at first and mostly 1 later.
The rarer of the two bit values is stored, so a full chunk is as small as an empty one.
"""

import base64
from collections.abc import Iterator

from bitarray import bitarray
from bitarray.util import sc_decode, sc_encode

from elmthread.store.records import DoneBitmapRecord


def compress(marks: bytes, count: int) -> DoneBitmapRecord:
    """Compress the first `count` bits of `marks`, the least significant bit of each byte first."""
    bits = bitarray(endian="little")
    bits.frombytes(marks)
    del bits[count:]
    inverted = bits.count() * 2 > count
    if inverted:
        bits.invert()
    return DoneBitmapRecord(base64.b64encode(sc_encode(bits)).decode(), inverted)


def expand(record: DoneBitmapRecord, max_bits: int) -> Iterator[int]:
    """Return the indexes of the set bits. Raises ValueError for an invalid bitmap, or over `max_bits` bits."""
    raw = base64.b64decode(record.bits, validate=True)
    try:
        bits = sc_decode(raw)
    except StopIteration as error:
        raise ValueError("compressed bitmap is truncated") from error
    if sc_encode(bits) != raw:
        raise ValueError("compressed bitmap is followed by other data, or is not in canonical form")
    if len(bits) > max_bits:
        raise ValueError(f"bitmap has {len(bits)} bits; at most {max_bits} are allowed")
    return bits.search(0 if record.inverted else 1)
