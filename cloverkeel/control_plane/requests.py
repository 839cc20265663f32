"""A call to a relay, read from its target; and how many whole lists may go out. Pure: no clock, no sockets.

Invariants:
- what cannot be read is refused by name, never guessed: a call that is misread would be answered with a wrong subset;
- wholes that have been let go by any moment are at most `burst` and `rate` a second since the start; a large one
  counts as many.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final
from urllib.parse import unquote_to_bytes

from cloverkeel.control_plane.messages import WIDEST, Asker

LIST: Final = b"/registry/instances"
HOLD_MOST_MS: Final = 60_000  # for news: as discovery allows
NAME_MOST: Final = 256  # bytes of a gateway's or a service's name
SERVICES_MOST: Final = 2_000  # a gateway that is for more asks for all: the plan has 1,400
WHOLE_UNIT: Final = 256 << 10  # bytes: one larger than that counts as several


class CallError(ValueError):
    """The call cannot be answered: what was expected, in one line."""


@dataclass(slots=True, frozen=True)
class Ask:
    """One call for the list."""

    asker: Asker
    since: int | None  # the answer that it has; None: none
    hold_ms: int = 0


def read_query(query: bytes) -> Ask:
    """CallError for what cannot be read. Keys that are not known are left alone, as discovery does."""
    gateway, wide, hold_ms = "", 0, 0
    services: tuple[str, ...] = ()
    since: int | None = None
    for part in query.split(b"&") if query else ():
        key, _, value = part.partition(b"=")
        if key == b"gateway":
            gateway = _text(value, "gateway")
        elif key == b"services":
            names = value.split(b",") if value else []
            if len(names) > SERVICES_MOST:
                raise CallError(f"services: expected at most {SERVICES_MOST} names, found {len(names)}")
            services = tuple(_text(name, "services") for name in names)
        elif key == b"wide":
            wide = _number(value, "wide", WIDEST)
        elif key == b"from":
            since = _number(value, "from", 1 << 62)
        elif key == b"hold_ms":
            hold_ms = min(_number(value, "hold_ms", 1 << 62), HOLD_MOST_MS)
    return Ask(Asker(gateway, services, wide), since, hold_ms)


def _text(value: bytes, key: str) -> str:
    if b"%" in value:
        value = unquote_to_bytes(value)
    if len(value) > NAME_MOST:
        raise CallError(f"{key}: expected names of at most {NAME_MOST} bytes")
    try:
        return value.decode()
    except UnicodeDecodeError:
        raise CallError(f"{key}: expected UTF-8") from None


def _number(value: bytes, key: str, most: int) -> int:
    if not value.isdigit() or len(value) > 19 or int(value) > most:
        raise CallError(f"{key}: expected a whole number from 0 to {most}, found {value[:20]!r}")
    return int(value)


@dataclass(slots=True)
class Meter:
    """How many wholes may go out. Times in seconds, of a clock that only moves forward."""

    rate: float  # a second
    burst: float  # at once, after a quiet time
    tokens: float = field(init=False)
    at_s: float = 0.0

    def __post_init__(self) -> None:
        self.tokens = self.burst

    def wait_s(self, now_s: float) -> float:
        """Until one may go; 0.0: now."""
        self.tokens = min(self.burst, self.tokens + (now_s - self.at_s) * self.rate)
        self.at_s = now_s
        return max(0.0, (1.0 - self.tokens) / self.rate)

    def went(self, size: int) -> None:
        """One went out, of so many bytes. A large one is paid for by those after it."""
        self.tokens -= 1.0 + size // WHOLE_UNIT
