"""Decompress a gzip body in steps, so that the event loop serves others between them. Pure: no I/O, no clock.

Invariants:
- a step makes MAX_BYTES_PER_STEP at the most and reads as many: some 0.1 ms, whatever was compressed;
- no more than a step beyond `limit` is ever made: what is a few bytes compressed may be any number once read;
- what is returned is one whole gzip member (RFC 1952) and all of the body: what is cut short, or goes
  on, is rejected.
"""

from __future__ import annotations

import zlib
from collections.abc import Generator
from typing import Final

MAX_BYTES_PER_STEP: Final = 64 << 10
_GZIP_WINDOW_BITS: Final = 16 + zlib.MAX_WBITS  # zlib's way to ask for gzip's header and checksum


def decompress_gzip(body: bytes, limit: int) -> Generator[None, None, bytes]:
    """Return what was compressed. ValueError: it is not gzip, not complete, or longer than `limit` bytes."""
    decompressor = zlib.decompressobj(_GZIP_WINDOW_BITS)
    chunks: list[bytes] = []
    offset = size = 0
    while not decompressor.eof:
        compressed = decompressor.unconsumed_tail
        if not compressed:
            compressed = body[offset : offset + MAX_BYTES_PER_STEP]
            offset += MAX_BYTES_PER_STEP
        try:
            chunk = decompressor.decompress(compressed, MAX_BYTES_PER_STEP)
        except zlib.error as error:
            raise ValueError(f"not gzip: {error}") from None
        if not chunk and not compressed:
            raise ValueError("gzip that is cut short")
        size += len(chunk)
        if size > limit:
            raise ValueError(f"more than {limit} bytes once read")
        chunks.append(chunk)
        yield
    if decompressor.unused_data or offset < len(body):
        raise ValueError("something comes after the gzip")
    return b"".join(chunks)
