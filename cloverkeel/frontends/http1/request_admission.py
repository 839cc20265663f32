"""Admission of one parsed request: a readiness check is answered, all else is checked and passed to the core."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from cloverkeel.core.memory_account import REQUEST_BYTES
from cloverkeel.core.recent_ids import ClaimResult
from cloverkeel.frontends.http1.call_reader import read_call
from cloverkeel.frontends.http1.errors import RequestError
from cloverkeel.frontends.http1.requests import Request

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.connection import ClientConnection

READY_PATH: Final = b"/health/ready"
NO_MEMORY: Final = "no memory for this request now; ask again later"


def admit_request(connection: ClientConnection, request: Request) -> None:
    """Answer a request here or pass it to the core. Raises RequestError for an error response."""
    path = request.target.partition(b"?")[0]
    if path == READY_PATH:
        _answer_readiness_check(connection, request)
        return
    context = connection.context
    if not context.account.can_admit(request.held_bytes):
        context.gateway.metrics.record_event("memory")
        raise RequestError(503, NO_MEMORY)
    call = read_call(request, path, context.config, connection)
    request.release_head(REQUEST_BYTES + len(call.head) + len(call.body))
    context.drain.limit_call(call)
    connection.confirm_presence()
    connection.call = call
    claim = context.gateway.admit_request(call)
    if claim is ClaimResult.ACCEPTED:
        return
    connection.call = None
    if claim is ClaimResult.FULL:
        raise RequestError(503, "too many new ids now; ask again later")
    raise RequestError(400, "this X-Call-Id is in use")


def _answer_readiness_check(connection: ClientConnection, request: Request) -> None:
    """Respond to a readiness check: 200 if clients are served, else 503."""
    if request.method not in (b"GET", b"HEAD"):
        raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
    connection.respond(200 if connection.context.is_ready() else 503, [], b"")
