"""Parse the target of a request to a relay. Pure.

Invariant: an invalid value is rejected with an error that names its key, and never replaced by a default, as a
misread request would be answered with a wrong subset.

Keys of the query: `from` is PollRequest.known_index and `wide` is Subscriber.widenings; the other keys have the names
of their fields.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import unquote_to_bytes

from cloverkeel.control_plane.errors import RequestError
from cloverkeel.control_plane.messages import MAX_WIDENINGS, Subscriber

LIST_PATH: Final = b"/registry/instances"
MAX_HOLD_MS: Final = 60_000  # the maximum of discovery as well
MAX_NAME_BYTES: Final = 256  # of the name of a gateway or service
MAX_SERVICES: Final = 2_000  # a gateway with more services requests all of them; the capacity plan has 1,400
MAX_INTEGER: Final = 1 << 62
MAX_INTEGER_DIGITS: Final = 19
MAX_QUOTED_BYTES: Final = 20  # of an invalid value, in an error text


@dataclass(slots=True, frozen=True)
class PollRequest:
    """One request for the endpoint list.

    known_index: index of the last response that the subscriber received; None if it has none.
    hold_ms: how long the relay may hold the request while there is no change (long poll); 0 to answer at once.
    """

    subscriber: Subscriber
    known_index: int | None
    hold_ms: int = 0


def parse_poll_request(query: bytes) -> PollRequest:
    """Parse the query of a poll request. Unknown keys are ignored, as discovery does.

    Raises RequestError for an invalid value.
    """
    values: dict[bytes, Any] = {}
    for part in query.split(b"&") if query else ():
        key, _, value = part.partition(b"=")
        parse_value = _PARSER_BY_KEY.get(key)
        if parse_value is not None:
            values[key] = parse_value(value)
    subscriber = Subscriber(values.get(b"gateway", ""), values.get(b"services", ()), values.get(b"wide", 0))
    return PollRequest(subscriber, values.get(b"from"), values.get(b"hold_ms", 0))


def _parse_services(value: bytes) -> tuple[str, ...]:
    names = value.split(b",") if value else []
    if len(names) > MAX_SERVICES:
        raise RequestError("services", f"at most {MAX_SERVICES} names", str(len(names)))
    return tuple(_parse_name(name, "services") for name in names)


def _parse_name(value: bytes, key: str) -> str:
    if b"%" in value:
        value = unquote_to_bytes(value)
    if len(value) > MAX_NAME_BYTES:
        raise RequestError(key, f"names of at most {MAX_NAME_BYTES} bytes")
    try:
        return value.decode()
    except UnicodeDecodeError:
        raise RequestError(key, "UTF-8") from None


def _parse_integer(value: bytes, key: str, maximum: int) -> int:
    if not value.isdigit() or len(value) > MAX_INTEGER_DIGITS or int(value) > maximum:
        raise RequestError(key, f"a whole number from 0 to {maximum}", repr(value[:MAX_QUOTED_BYTES]))
    return int(value)


_PARSER_BY_KEY: Final[Mapping[bytes, Callable[[bytes], object]]] = {
    b"gateway": lambda value: _parse_name(value, "gateway"),
    b"services": _parse_services,
    b"wide": lambda value: _parse_integer(value, "wide", MAX_WIDENINGS),
    b"from": lambda value: _parse_integer(value, "from", MAX_INTEGER),
    b"hold_ms": lambda value: min(_parse_integer(value, "hold_ms", MAX_INTEGER), MAX_HOLD_MS),
}
