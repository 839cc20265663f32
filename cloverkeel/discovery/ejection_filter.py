"""Endpoint lists with hosts ejected by hand: any source's lists go through the pure overlay to the core."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from cloverkeel.balancing.events import ListKind

from cloverkeel.core.config import Address
from cloverkeel.core.ports import Endpoint, EndpointSource, OnEndpointList
from cloverkeel.discovery.manual_ejections import ManualEjections


class MovableSource(EndpointSource, Protocol):
    """An endpoint source that a reload of the configuration can move."""

    @property
    def address(self) -> Address:
        """Return the address that is asked."""

    def move(self, address: Address) -> None:
        """Ask at another address from now on."""


class EjectionFilter:
    """An endpoint source around another (`EndpointSource` in core/ports.py, `Movable` in core/reload.py)."""

    def __init__(self, source: MovableSource) -> None:
        self.source = source
        self.ejections = ManualEjections()
        self.on_list: OnEndpointList = lambda _kind, _endpoints: None  # until the core sets its own
        source.set_listener(self.on_source_list)

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Set who is notified, from now on."""
        self.on_list = on_list

    def on_source_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Pass on what the source tells, with ejected hosts draining."""
        self.on_list(kind, self.ejections.apply(kind, endpoints))

    def synchronize(self, ejected_us_by_name: dict[str, int], reinstated_us_by_name: dict[str, int]) -> None:
        """Take on the ejections as staff, or another process of this gateway, left them; in force when it returns."""
        endpoints = self.ejections.synchronize(ejected_us_by_name, reinstated_us_by_name)
        if endpoints:
            self.on_list(ListKind.DELTA, endpoints)

    # The rest is the source's

    def load_known(self, raw: dict[str, Any]) -> None:
        """Have the source begin with the list from before a restart."""
        self.source.load_known(raw)

    def watch(self, on: bool) -> None:
        """Have the source begin to watch, or stop."""
        self.source.watch(on)

    def fetch(self) -> None:
        """Have the source ask for a snapshot."""
        self.source.fetch()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Have the source catch up after a stall of this process."""
        self.source.catch_up(stall_us, done)

    @property
    def address(self) -> Address:
        """Return the address that the source asks."""
        return self.source.address

    def move(self, address: Address) -> None:
        """Have the source ask at another address."""
        self.source.move(address)

    def close(self) -> None:
        """Close the source."""
        self.source.close()
