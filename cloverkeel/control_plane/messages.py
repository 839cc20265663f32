"""What a gateway asks of a relay, and what it is answered: the types between the room's files. Pure, no I/O.

On the wire (docs/relay-design.md):

    GET /registry/instances?gateway=NAME&services=a,b&wide=0[&from=INDEX&hold_ms=1000]
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

WIDEST: Final = 3  # a subset is doubled at most so often: 8 times as many hosts


@dataclass(slots=True, frozen=True)
class Asker:
    """Who asks. `gateway` "" is one that does not name itself: it gets the whole list."""

    gateway: str = ""
    services: tuple[str, ...] = ()  # that it is for; none named: what the roster has for it, else all
    wide: int = 0  # how often its subset is to be doubled, 0 to WIDEST


@dataclass(slots=True, frozen=True)
class Answer:
    """One answer in discovery's published form. `entries`: each one JSON object, encoded."""

    index: int  # of this answer; `from=` names it in the next call
    whole: bool
    entries: tuple[bytes, ...]

    @property
    def size(self) -> int:
        """Bytes of its entries."""
        return sum(map(len, self.entries)) + len(self.entries)

    @property
    def head(self) -> bytes:
        """Before the entries."""
        return b'{"index":%d,"snapshot":%s,"endpoints":[' % (self.index, b"true" if self.whole else b"false")

    def body(self, age_ms: int) -> bytes:
        return self.head + b",".join(self.entries) + tail(age_ms)


def tail(age_ms: int) -> bytes:
    """Behind the entries. `age_ms`: since discovery was last known to have just this."""
    return b'],"age_ms":%d}' % age_ms
