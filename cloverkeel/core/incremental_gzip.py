"""Incremental gzip decompression, which lets the event loop run between steps. Pure: no I/O, no clock.

Invariants:
- a step consumes and produces at most MAX_BYTES_PER_STEP bytes, which takes about 0.1 ms for any input;
- decompression stops within one step beyond `limit`, as a few compressed bytes may expand to any size;
- the body must be exactly one complete gzip member (RFC 1952): truncated and trailing data are rejected.
"""

from __future__ import annotations

import zlib
from collections.abc import Generator
from typing import Final

MAX_BYTES_PER_STEP: Final = 64 << 10
_GZIP_WINDOW_BITS: Final = 16 + zlib.MAX_WBITS  # 16 selects the gzip header and checksum in zlib


def decompress_gzip(body: bytes, limit: int) -> Generator[None, None, bytes]:
    """Return the decompressed body.

    Raises ValueError if it is not exactly one gzip member, or is longer than `limit` bytes.
    """
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
            raise ValueError("truncated gzip data")
        size += len(chunk)
        if size > limit:
            raise ValueError(f"decompressed body exceeds {limit} bytes")
        chunks.append(chunk)
        yield
    if decompressor.unused_data or offset < len(body):
        raise ValueError("trailing data after the gzip member")
    return b"".join(chunks)
