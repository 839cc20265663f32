"""What a front hands to the core, and how it hears of the one final answer."""

from __future__ import annotations

from typing import Protocol

from cloverkeel.core.messages import Reply


class Client(Protocol):
    """Who waits for the final answer of a request; it gets just one of these."""

    def on_served(self, call: Call, reply: Reply) -> None: ...

    def on_refused(self, call: Call, retry_after_us: int) -> None: ...

    def on_failed(self, call: Call, timed_out: bool) -> None: ...


class Call:
    """A client's request, as the gateway takes it."""

    __slots__ = ("body", "client", "head", "id", "is_retry", "key", "klass", "patience_us", "tenant", "work_us")

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
        self.client = client
