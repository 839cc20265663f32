"""Endpoint lists with hosts ejected by hand: any source's lists go through the pure overlay to the core."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from cloverkeel.balancing.events import ListKind

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address
from cloverkeel.core.ports import Endpoint, EndpointSource, OnEndpointList
from cloverkeel.discovery.manual_ejections import Bans


class Source(EndpointSource, Protocol):
    """A membership that a reload can move."""

    @property
    def address(self) -> Address: ...

    def move(self, address: Address) -> None: ...


class BannedMembership:
    """As the core asks it of an EndpointSource (core/ports.py), and as a reload asks it (core/reload.py)."""

    def __init__(self, source: Source) -> None:
        self.source = source
        self.bans = Bans()
        self.on_list: OnEndpointList = lambda kind, entries: None
        source.set_listener(self.on_source)

    def set_listener(self, on_list: OnEndpointList) -> None:
        self.on_list = on_list

    def on_source(self, kind: ListKind, entries: list[Endpoint]) -> None:
        self.on_list(kind, self.bans.take(kind, entries))

    # From staff: in force when these return

    def suspend(self, name: str) -> None:
        self.pass_on(self.bans.suspend(now_us(), name))

    def restore(self, name: str) -> None:
        self.pass_on(self.bans.restore(now_us(), name))

    def adopt(self, out: dict[str, int], back: dict[str, int]) -> None:
        self.pass_on(self.bans.adopt(out, back))

    def pass_on(self, entries: list[Endpoint]) -> None:
        if entries:
            self.on_list(ListKind.DELTA, entries)

    # The rest is the source's

    def load_known(self, raw: dict[str, Any]) -> None:
        self.source.load_known(raw)

    def watch(self, on: bool) -> None:
        self.source.watch(on)

    def fetch(self) -> None:
        self.source.fetch()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        self.source.catch_up(stall_us, done)

    @property
    def address(self) -> Address:
        return self.source.address

    def move(self, address: Address) -> None:
        self.source.move(address)

    def close(self) -> None:
        self.source.close()
