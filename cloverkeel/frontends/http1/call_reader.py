"""Conversion of a client's request to a `Call`, with all checks of its class, headers and method. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from cloverkeel.balancing.settings import Effect

from cloverkeel.core.calls import Call, Client
from cloverkeel.core.config import Config, stable_id
from cloverkeel.core.messages import HOP_BY_HOP_HEADERS, parse_token_list
from cloverkeel.frontends.http1.errors import RequestError
from cloverkeel.frontends.http1.requests import Request

MAX_ID_BYTES: Final = 128
MAX_NUMBER_DIGITS: Final = 15
NOT_FORWARDED_HEADERS: Final = HOP_BY_HOP_HEADERS | {b"x-budget-ms"}
UNIQUE_HEADERS: Final = frozenset(
    {b"x-call-id", b"x-call-class", b"x-caller", b"x-budget-ms", b"x-call-cost", b"idempotency-key"}
)


def read_call(request: Request, path: bytes, config: Config, client: Client) -> Call:
    """Return the call for a request. Raises RequestError if a check fails."""
    for name in request.repeated_names:
        if name in UNIQUE_HEADERS:
            raise RequestError(400, f"{name.decode()} comes twice")
    headers = request.header_by_name
    segments = [segment for segment in path.split(b"/") if segment]
    class_index = _read_class(request, path, segments, config.names.classes)
    settings = config.settings.classes[class_index]
    _check_method(request, settings.effect)
    id_ = headers.get(b"x-call-id")
    if not id_ or len(id_) > MAX_ID_BYTES:
        raise RequestError(400, "no X-Call-Id that can be used")
    budget_ms = _read_number(headers.get(b"x-budget-ms"), "X-Budget-Ms")
    # The class's client timeout limits the budget that a client may ask for.
    client_timeout_us = (
        settings.client_timeout_us if budget_ms is None else min(budget_ms * 1000, settings.client_timeout_us)
    )
    call = Call(
        id_=id_.decode("latin-1"),
        class_index=class_index,
        client_timeout_us=client_timeout_us,
        affinity_key=stable_id(segments[-1], 8) if len(segments) > 1 else None,
        cost_us=_read_number(headers.get(b"x-call-cost"), "X-Call-Cost"),
        is_retry=headers.get(b"x-again") == b"1",
        tenant=config.names.tenants.get(headers.get(b"x-caller", b""), 0),
        head=_build_forwarded_head(request),
        body=request.body.take_bytes() if request.body_reservation is None else b"",
        client=client,
    )
    if request.body_reservation is not None:
        call.body_chunks = request.body.take_chunks()
        call.body_reservation = request.body_reservation
    return call


def _read_class(request: Request, path: bytes, segments: list[bytes], index_by_class: Mapping[bytes, int]) -> int:
    """Return the index of the class in the path, which must match the class header if there is one."""
    named = request.header_by_name.get(b"x-call-class")
    if named is not None and named not in index_by_class:
        raise RequestError(400, "unknown class")
    if not segments or not path.startswith(b"/") or segments[0] not in index_by_class:
        raise RequestError(404, "unknown path")
    if b"#" in request.target:
        raise RequestError(400, "a fragment is not sent")
    if named is not None and named != segments[0]:
        raise RequestError(400, "the class is not that of the path")
    return index_by_class[segments[0]]


def _check_method(request: Request, effect: Effect) -> None:
    """Check that the method fits the effect of the class, and that a keyed request has a key."""
    method = b"GET" if effect is Effect.SAFE else b"POST"
    if request.method != method:
        raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
    if effect is Effect.KEYED and not request.header_by_name.get(b"idempotency-key"):
        raise RequestError(400, "no Idempotency-Key")


def _read_number(text: bytes | None, name: str) -> int | None:
    """Return a header's value as a non-negative integer; None if the header is missing."""
    if text is None:
        return None
    if not text.isdigit() or len(text) > MAX_NUMBER_DIGITS:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _build_forwarded_head(request: Request) -> bytes:
    """Return the head to forward to a host, without the time budget and the final empty line."""
    parts = [request.method, b" ", request.target, b" HTTP/1.1"]  # joined once: cheaper than formatting each line
    excluded = NOT_FORWARDED_HEADERS
    if b"connection" in request.header_by_name:
        # Headers that Connection names are hop-by-hop too.
        values = [value for lower, _, value in request.header_lines if lower == b"connection"]
        excluded = NOT_FORWARDED_HEADERS.union(*map(parse_token_list, values))
    for lower, name, value in request.header_lines:
        if lower not in excluded:
            parts += (b"\r\n", name, b": ", value)
    if request.body_size or request.method == b"POST":
        parts += (b"\r\nContent-Length: ", str(request.body_size).encode())
    parts.append(b"\r\n")
    return b"".join(parts)
