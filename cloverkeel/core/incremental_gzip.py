"""Reading a body that came as gzip, by steps, so that others get their turn between them. Pure: no I/O, no clock.

Invariants:
- a step makes STEP bytes at the most and reads as many: some 0.1 ms, whatever was packed;
- no more than a step beyond `limit` is ever made: what is a few bytes packed may be any number once read;
- what is returned is one whole gzip member and all of the body: what is cut short, or goes on, is refused.
"""

from __future__ import annotations

import zlib
from collections.abc import Generator
from typing import Final

MAX_BYTES_PER_STEP: Final = 64 << 10  # bytes
_GZIP_WINDOW_BITS: Final = 16 + zlib.MAX_WBITS  # zlib's word for: with gzip's head and checksum


def decompress_gzip(body: bytes, limit: int) -> Generator[None, None, bytes]:
    """What was packed. ValueError: it is not gzip, not whole, or longer than `limit`."""
    reader = zlib.decompressobj(_GZIP_WINDOW_BITS)
    made: list[bytes] = []
    at = size = 0
    while not reader.eof:
        rest = reader.unconsumed_tail
        if not rest:
            rest = body[at : at + MAX_BYTES_PER_STEP]
            at += MAX_BYTES_PER_STEP
        try:
            part = reader.decompress(rest, MAX_BYTES_PER_STEP)
        except zlib.error as error:
            raise ValueError(f"not gzip: {error}") from None
        if not part and not rest:
            raise ValueError("gzip that is cut short")
        size += len(part)
        if size > limit:
            raise ValueError(f"more than {limit} bytes once read")
        made.append(part)
        yield
    if reader.unused_data or at < len(body):
        raise ValueError("something comes after the gzip")
    return b"".join(made)
