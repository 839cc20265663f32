"""Encode the bodies of responses, with gzip for clients that accept it. Pure.

Invariants:
- gzip is used only if the request clearly accepts it; if that is unclear, the response is not compressed;
- the content of a response does not depend on its encoding;
- a long body is encoded incrementally, and once for all clients that it is sent to: its age is the last member, and
  is appended when the body is sent.

GZIP_LEVEL is 1 because the relay's CPU, not the size of the responses, limits how many gateways can start at the same
time: at this level the responses have half of the bytes that a start may use. Size and CPU time by level in the
planned fleet, on a busy machine, with hosts whose start times are spread over four days:

    subset            level 1                  level 3                  level 6
    largest, 130 KB   19.9 KB, 0.6 to 1.0 ms   19.3 KB, 0.7 to 1.2 ms   17.2 KB, 1.8 to 2.4 ms
    mean, 81 KB       12.6 KB, 0.4 to 0.6 ms   12.3 KB, 0.6 ms          10.9 KB, 1.0 to 1.3 ms
"""

from __future__ import annotations

import re
import zlib
from typing import Final

from cloverkeel.core.incremental import Incremental
from cloverkeel.control_plane.messages import ListResponse, encode_tail

GZIP_LEVEL: Final = 1
GZIP_WINDOW_BITS: Final = 31  # zlib's wbits for the gzip format with the largest window
MIN_GZIP_BYTES: Final = 1_024  # a shorter body fits in one packet without gzip
ENTRIES_PER_STEP: Final = 256  # about 42 KB, 0.3 ms
CONTENT_ENCODING_HEADER: Final = b"Content-Encoding: gzip\r\n"
ACCEPT_ENCODING: Final = b"accept-encoding"
_GZIP_ACCEPTED: Final = re.compile(rb"\s*gzip\s*(;\s*q\s*=\s*(1(\.0*)?|0\.0*[1-9][0-9]*)\s*)?", re.IGNORECASE)


def accepts_gzip(value: bytes) -> bool:
    """Return whether an Accept-Encoding value lists gzip with a weight above 0 (RFC 9110, section 12.5.3)."""
    return any(_GZIP_ACCEPTED.fullmatch(coding) for coding in value.split(b","))


def gzip_body(body: bytes) -> bytes:
    """Return a body compressed with gzip."""
    compressor = _new_compressor()
    return compressor.compress(body) + compressor.flush()


def _new_compressor() -> zlib._Compress:
    return zlib.compressobj(GZIP_LEVEL, zlib.DEFLATED, GZIP_WINDOW_BITS)


class IncrementalBody:
    """The body of a response except for its tail, encoded incrementally."""

    __slots__ = ("chunks", "compressor", "size_bytes")

    def __init__(self, gzip: bool) -> None:
        self.compressor = _new_compressor() if gzip else None
        self.chunks: list[bytes] = []
        self.size_bytes = 0  # of all chunks

    def encode(self, response: ListResponse) -> Incremental[None]:
        """Encode the head and the entries of a response."""
        self._append_plain(response.head)
        for begin in range(0, len(response.entries), ENTRIES_PER_STEP):
            separator = b"," if begin else b""
            self._append_plain(separator + b",".join(response.entries[begin : begin + ENTRIES_PER_STEP]))
            yield
        if self.compressor is not None:
            self._append_chunk(self.compressor.flush(zlib.Z_SYNC_FLUSH))  # leaves little to compress in `tail`

    def tail(self, age_ms: int) -> bytes:
        """Return the end of the body for a client that it is sent to now; `age_ms` as for `encode_tail`."""
        if self.compressor is None:
            return encode_tail(age_ms)
        compressor = self.compressor.copy()
        return compressor.compress(encode_tail(age_ms)) + compressor.flush()

    def _append_plain(self, plain: bytes) -> None:
        self._append_chunk(plain if self.compressor is None else self.compressor.compress(plain))

    def _append_chunk(self, chunk: bytes) -> None:
        if chunk:
            self.chunks.append(chunk)
            self.size_bytes += len(chunk)
