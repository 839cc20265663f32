"""Apply manual ejections to the endpoint lists of any source before the core receives them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from cloverkeel.balancing.events import ListKind

from cloverkeel.core.config import Address
from cloverkeel.core.ports import Endpoint, EndpointSource, OnEndpointList
from cloverkeel.discovery.manual_ejections import ManualEjections


class MovableSource(EndpointSource, Protocol):
    """An endpoint source whose address a configuration reload can change."""

    @property
    def address(self) -> Address:
        """Return the address that this source polls."""

    def move(self, address: Address) -> None:
        """Poll another address from now on."""


class EjectionFilter:
    """Endpoint source that forwards another source's lists, changed by the operators' manual ejections of hosts.

    It implements `EndpointSource` in core/ports.py and `MovableSource` in core/reload.py.
    """

    def __init__(self, source: MovableSource) -> None:
        self.source = source
        self.ejections = ManualEjections()
        self.on_list: OnEndpointList = lambda _kind, _endpoints: None  # replaced by the core
        source.set_listener(self.on_source_list)

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Set the function that receives endpoint lists from now on."""
        self.on_list = on_list

    def on_source_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Forward a list of the source, with ejected hosts as draining."""
        self.on_list(kind, self.ejections.apply(kind, endpoints))

    def synchronize(self, ejected_us_by_name: dict[str, int], reinstated_us_by_name: dict[str, int]) -> None:
        """Adopt ejections that an operator or another process of this gateway stored; they apply on return."""
        endpoints = self.ejections.synchronize(ejected_us_by_name, reinstated_us_by_name)
        if endpoints:
            self.on_list(ListKind.DELTA, endpoints)

    # Delegated to the source

    def load_known(self, raw: dict[str, Any]) -> None:
        """Give the source the list from before a restart."""
        self.source.load_known(raw)

    def watch(self, on: bool) -> None:
        """Start or stop the source's watch."""
        self.source.watch(on)

    def fetch(self) -> None:
        """Make the source request a snapshot."""
        self.source.fetch()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Make the source catch up after a stall of this process, then call `done`."""
        self.source.catch_up(stall_us, done)

    @property
    def address(self) -> Address:
        """Return the address that the source polls."""
        return self.source.address

    def move(self, address: Address) -> None:
        """Make the source poll another address."""
        self.source.move(address)

    def close(self) -> None:
        """Close the source."""
        self.source.close()
