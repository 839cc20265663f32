"""What a front hands to the core, and how it hears of the one final answer."""

from __future__ import annotations

from typing import Protocol

from cloverkeel.core.messages import Reply
from cloverkeel.core.body_budget import Share


class FlowControl(Protocol):
    """Where a large answer comes from: it can be held up, and called off."""

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...


class ResponseStream(Protocol):
    """Where a large answer goes. After `on_complete` or `on_aborted` nothing follows."""

    def on_chunk(self, data: bytes) -> None: ...

    def on_complete(self) -> None: ...

    def on_aborted(self) -> None:
        """The rest does not come; who reads must be able to tell."""


class Client(Protocol):
    """Who waits for the final answer of a request; it gets just one of these."""

    def on_stream_start(
        self, call: Call, reply: Reply, length: int | None, flow_control: FlowControl
    ) -> ResponseStream | None:
        """Served, with a large body, of this length if that is known: it follows. None: the client has gone."""

    def on_response(self, call: Call, reply: Reply) -> None: ...

    def on_rejected(self, call: Call, retry_after_us: int) -> None: ...

    def on_failed(self, call: Call, timed_out: bool) -> None: ...

    def has_disconnected(self) -> bool:
        """Whether it has ended its connection, also where that is not yet read."""


class Call:
    """A client's request, as the gateway takes it."""

    __slots__ = (
        "body", "client", "head", "id", "is_retry", "key", "klass", "patience_us", "pieces", "share", "tenant",
        "work_us",
    )  # fmt: skip

    def __init__(
        self, id: str, klass: int, patience_us: int, key: int | None, work_us: int | None, is_retry: bool,
        tenant: int, head: bytes, body: bytes, client: Client,
    ) -> None:  # fmt: skip
        self.id = id
        self.klass = klass
        self.patience_us = patience_us
        self.key = key
        self.work_us = work_us
        self.is_retry = is_retry
        self.tenant = tenant
        self.head = head  # request line and headers to pass on, all but the budget and the end
        self.body = body
        self.pieces: list[bytes] | None = None  # a large body, in place of `body`
        self.share: Share | None = None  # what that holds of the common room
        self.client = client
