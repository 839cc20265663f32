"""What a front hands to the core, and how it hears of the one final answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from cloverkeel.core.messages import Reply


class Client(Protocol):
    """Who waits for the final answer of a request; it gets just one of these."""

    def on_served(self, call: Call, reply: Reply) -> None: ...

    def on_refused(self, call: Call, retry_after_us: int) -> None: ...

    def on_failed(self, call: Call, timed_out: bool) -> None: ...


@dataclass(slots=True, eq=False)
class Call:
    """A client's request, as the gateway takes it."""

    id: str
    klass: int
    patience_us: int
    key: int | None
    work_us: int | None
    is_retry: bool
    tenant: int
    head: bytes  # request line and headers to pass on, all but the budget and the end
    body: bytes
    client: Client
