"""What a frontend hands to the core, and how it hears of the one response."""

from __future__ import annotations

from typing import Protocol

from cloverkeel.core.body_budget import BodyReservation
from cloverkeel.core.messages import Reply


class FlowControl(Protocol):
    """Where a streamed answer comes from: reading of it can be paused."""

    def pause_reading(self) -> None:
        """Stop reading the answer until its client has taken what it has."""

    def resume_reading(self) -> None:
        """Read the answer again."""


class ResponseStream(Protocol):
    """Where a streamed answer goes. After `on_complete` or `on_aborted` nothing follows."""

    def on_chunk(self, data: bytes) -> None:
        """Take the next bytes of the body."""

    def on_complete(self) -> None:
        """Take the end of the body."""

    def on_aborted(self) -> None:
        """Take that the rest does not come: the client must be able to tell."""


class Client(Protocol):
    """Who awaits the response to a call; it gets just one of these."""

    def on_response(self, call: Call, reply: Reply) -> None:
        """Take an answer in full."""

    def on_stream_start(self, call: Call, reply: Reply, size: int | None, flow: FlowControl) -> ResponseStream | None:
        """Take the head of a large answer, of `size` bytes if that is known. None: the client has gone."""

    def on_rejected(self, call: Call, retry_after_us: int) -> None:
        """Take that the call was rejected; `retry_after_us` is 0 where nothing is known of when to retry."""

    def on_failed(self, call: Call, timed_out: bool) -> None:
        """Take that the call has failed."""

    def has_disconnected(self) -> bool:
        """Tell whether the client has ended its connection, also where that is not yet read."""


class Call:
    """A client's request, as the gateway takes it."""

    __slots__ = (
        "affinity_key", "body", "body_chunks", "body_reservation", "class_index", "client", "client_timeout_us",
        "cost_us", "head", "id_", "is_retry", "tenant",
    )  # fmt: skip

    def __init__(
        self, id_: str, class_index: int, client_timeout_us: int, affinity_key: int | None, cost_us: int | None,
        is_retry: bool, tenant: int, head: bytes, body: bytes, client: Client,
    ) -> None:  # fmt: skip
        self.id_ = id_  # the client's; unique among calls in flight alone
        self.class_index = class_index
        self.client_timeout_us = client_timeout_us
        self.affinity_key = affinity_key
        self.cost_us = cost_us  # of CPU, as the client announces it
        self.is_retry = is_retry
        self.tenant = tenant
        self.head = head  # request line and headers to forward, all but the time budget and the end
        self.body = body
        self.body_chunks: list[bytes] | None = None  # a large body, in place of `body`
        self.body_reservation: BodyReservation | None = None  # what that holds of the common budget
        self.client = client
