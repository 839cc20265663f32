"""Events of requests, as clients and backends observed them. Times are Unix microseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class OperationStarted:
    """Record that a client starts an operation, which takes one request, or several if the client retries."""

    at_us: int
    id: str  # id of the operation's first request
    request_class: str
    zone: str


@dataclass(slots=True, eq=False)
class RequestSent:
    """Record that a client wrote the last byte of a request to a connection that a gateway's machine accepted."""

    at_us: int
    id: str
    request_class: str
    gateway: str
    budget_us: int
    idempotency_key: str = ""  # value of the Idempotency-Key header
    tenant: str = ""
    first_id: str = ""  # id of the first request of the same operation
    is_resend: bool = False  # sent again: its first connection was closed before the request was read


@dataclass(slots=True, eq=False)
class ResponseReceived:
    """Record that the last byte of a response arrived at the client."""

    at_us: int
    id: str
    status: int
    echoed_id: str = ""  # id of the request that the body names
    retry_after_us: int = 0


@dataclass(slots=True, eq=False)
class ResponseMissing:
    """Record that a client's connection ended, or that the client stopped waiting, without a complete response."""

    at_us: int
    id: str
    how: str  # "closed", "reset", "cut" (part of a response had arrived), "none" (the client stopped waiting)


@dataclass(slots=True, eq=False)
class ClientDisconnected:
    """Record that a client disconnected of its own accord; no response is due any more."""

    at_us: int
    id: str


@dataclass(slots=True, eq=False)
class UnexpectedBytes:
    """Record bytes on a client's connection when no response was due."""

    at_us: int
    id: str  # id of the last request on the connection
    data: str


@dataclass(slots=True, eq=False)
class MisbehavingClient:
    """Record what a client that breaks the protocol received."""

    at_us: int  # time at which the client was connected
    what: str  # what the client sent, such as "half a request"
    gateway: str
    ended_us: int = 0  # time at which a response or a close arrived; 0: neither arrived
    status: int = 0  # status of the response; 0: the connection was closed
    may_be_served: bool = False  # the request is valid, though unusual


@dataclass(slots=True, eq=False)
class BackendAttempt:
    """Record one attempt of a request at a backend, from its first byte on; its fields are filled in as it proceeds.

    `how` is "coming" (not received completely), "waiting", "running", "ok", "duplicate" (dropped, and answered from
    the idempotency store), "rejected" (before work began, and the gateway was notified), "error", "spoilt" (corrupted
    response), "cancelled" or "crashed".
    """

    at_us: int  # time at which its first byte was sent
    backend: str
    incarnation: int
    group: int
    id: str = ""
    request_class: str = ""
    idempotency_key: str = ""
    gateway: str = ""
    received_us: int = 0  # time at which its last byte arrived; 0: never
    started_us: int = 0  # time at which work began; 0: never
    ended_us: int = 0  # time at which the last byte of the response was written, or the attempt ended otherwise
    how: str = "coming"
    work_us: int = 0  # work on a standard core, without the share that a remembered key saves

    @property
    def may_have_run(self) -> bool:
        """Tell whether a gateway must assume that the attempt ran: it was received completely and not rejected."""
        return self.received_us > 0 and self.how != "rejected"
