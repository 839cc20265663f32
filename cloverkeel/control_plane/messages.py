"""What a gateway asks of a relay, and what it is answered. Pure.

On the wire (docs/relay-design.md), where `services` and `wide` stand for Subscriber.services and .widenings:

    GET /registry/instances?gateway=NAME&services=a,b&wide=0[&from=INDEX&hold_ms=1000]
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_WIDENINGS: Final = 3  # a subset is doubled at most so often: 8 times as many hosts


@dataclass(slots=True, frozen=True)
class Subscriber:
    """Who polls a relay, and for what.

    gateway: its name; "" for one that does not name itself, and gets the full list.
    services: those that it routes to; none: what the roster has for it, else all of them.
    widenings: how often its subset is to be doubled, 0 to MAX_WIDENINGS.
    """

    gateway: str = ""
    services: tuple[str, ...] = ()
    widenings: int = 0


@dataclass(slots=True, frozen=True)
class ListResponse:
    """An endpoint list in discovery's published form: a snapshot, or the changes since an earlier response.

    index: of this response; `from` names it in the next request.
    entries: each one JSON object, encoded.
    """

    index: int
    is_snapshot: bool
    entries: tuple[bytes, ...]

    @property
    def entries_bytes(self) -> int:
        """Size of the entries with their separators."""
        return sum(map(len, self.entries)) + len(self.entries)

    @property
    def head(self) -> bytes:
        """The body up to its first entry."""
        return b'{"index":%d,"snapshot":%s,"endpoints":[' % (self.index, b"true" if self.is_snapshot else b"false")

    def body(self, age_ms: int) -> bytes:
        """Return the whole body; `age_ms` as for `encode_tail`."""
        return self.head + b",".join(self.entries) + encode_tail(age_ms)


def encode_tail(age_ms: int) -> bytes:
    """Return the body behind its last entry. `age_ms`: since discovery was last known to have just this list."""
    return b'],"age_ms":%d}' % age_ms
