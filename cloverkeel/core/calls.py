"""Interface between a frontend and the core: calls, and the callbacks that deliver the response to each."""

from __future__ import annotations

from typing import Protocol

from cloverkeel.core.body_budget import BodyReservation
from cloverkeel.core.messages import Reply


class FlowControl(Protocol):
    """Flow control of the upstream connection that a streamed response is read from."""

    def pause_reading(self) -> None:
        """Stop reading the response until the client has received what was read so far."""

    def resume_reading(self) -> None:
        """Resume reading the response."""

    def limit_read_size(self, size: int) -> None:
        """Read at most `size` bytes at a time from now on."""


class ResponseStream(Protocol):
    """Receiver of a streamed response. `on_complete` or `on_aborted` is the last call."""

    def on_chunk(self, data: bytes) -> None:
        """Handle the next bytes of the body."""

    def on_complete(self) -> None:
        """Handle the end of the body."""

    def on_aborted(self) -> None:
        """Handle an incomplete body: the client must be able to detect the truncation."""


class Client(Protocol):
    """Receiver of the response to a call. Exactly one of its `on_` methods is called."""

    def on_response(self, call: Call, reply: Reply) -> None:
        """Handle a complete response."""

    def on_stream_start(self, call: Call, reply: Reply, size: int | None, flow: FlowControl) -> ResponseStream | None:
        """Handle the head of a large response and return the receiver of its body; None if the client disconnected.

        `size`: length of the body in bytes; None if unknown.
        """

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        """Handle the rejection of the call. `retry_after_us`: when to retry; 0 if unknown."""

    def on_failed(self, call: Call, timed_out: bool) -> None:
        """Handle the failure of the call."""

    def has_disconnected(self) -> bool:
        """Return whether the client closed its connection, even if the event loop has not read the close yet."""

    def may_have_left(self) -> bool:
        """Return whether a close of the client may wait behind input that is not being read."""


class Call:
    """A client's request, as the frontend hands it to the gateway."""

    __slots__ = (
        "affinity_key", "body", "body_chunks", "body_reservation", "class_index", "client", "client_timeout_us",
        "cost_us", "head", "id_", "is_retry", "tenant",
    )  # fmt: skip

    def __init__(
        self, id_: str, class_index: int, client_timeout_us: int, affinity_key: int | None, cost_us: int | None,
        is_retry: bool, tenant: int, head: bytes, body: bytes, client: Client,
    ) -> None:  # fmt: skip
        self.id_ = id_  # chosen by the client; unique only among calls in flight
        self.class_index = class_index
        self.client_timeout_us = client_timeout_us
        self.affinity_key = affinity_key
        self.cost_us = cost_us  # CPU time that the client announces; None if it does not
        self.is_retry = is_retry
        self.tenant = tenant
        self.head = head  # request line and headers to forward, without X-Budget-Ms and the final empty line
        self.body = body
        self.body_chunks: list[bytes] | None = None  # a large body; replaces `body`
        self.body_reservation: BodyReservation | None = None  # reservation for `body_chunks`
        self.client = client
