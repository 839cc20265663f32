"""A subscriber's request to a relay, and the response. Pure.

Wire format (docs/relay-design.md); `services` and `wide` are Subscriber.services and .widenings:

    GET /registry/instances?gateway=NAME&services=a,b&wide=0[&from=INDEX&hold_ms=1000]
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

MAX_WIDENINGS: Final = 3  # each doubles the subset, so at most 8 times as many hosts


@dataclass(slots=True, frozen=True)
class Subscriber:
    """A client that polls a relay, and the hosts that it asks for.

    gateway: its name; "" for an unnamed client, which gets the full list.
    services: the services that it routes to; if empty, the services listed in the roster, or all if none are listed.
    widenings: how many times its subset is doubled, 0 to MAX_WIDENINGS.
    """

    gateway: str = ""
    services: tuple[str, ...] = ()
    widenings: int = 0


@dataclass(slots=True, frozen=True)
class ListResponse:
    """An endpoint list in the registry's format: a snapshot, or the changes since an earlier response.

    index: index of this response; the next request passes it as `from`.
    entries: encoded JSON objects, one per host.
    """

    index: int
    is_snapshot: bool
    entries: tuple[bytes, ...]

    @property
    def entries_bytes(self) -> int:
        """Size of the entries with separators, in bytes."""
        return sum(map(len, self.entries)) + len(self.entries)

    @property
    def head(self) -> bytes:
        """The part of the body before the first entry."""
        return b'{"index":%d,"snapshot":%s,"endpoints":[' % (self.index, b"true" if self.is_snapshot else b"false")

    def body(self, age_ms: int) -> bytes:
        """Return the whole body; see `encode_tail` for `age_ms`."""
        return self.head + b",".join(self.entries) + encode_tail(age_ms)


def encode_tail(age_ms: int) -> bytes:
    """Return the part of the body after the last entry.

    age_ms: time since the registry was last known to have exactly this list.
    """
    return b'],"age_ms":%d}' % age_ms
