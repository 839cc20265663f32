"""Apply manual ejections, and what the process before this one was told, to the endpoint lists of any source."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from cloverkeel.balancing.events import ListKind

from cloverkeel.core.config import Address
from cloverkeel.core.ports import Endpoint, EndpointSource, OnEndpointList
from cloverkeel.discovery.host_restrictions import HostRestriction, HostRestrictions
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
        self.restrictions = HostRestrictions()
        self.is_confirmed = False  # discovery has sent this process a list
        self.requires_snapshot = False  # inherited restrictions stay until a complete list arrives
        self.on_list: OnEndpointList = lambda _kind, _endpoints: None  # replaced by the core
        source.set_listener(self.on_source_list)

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Set the function that receives endpoint lists from now on."""
        self.on_list = on_list

    def on_source_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Forward a list of the source, with ejected hosts as draining."""
        if kind is ListKind.DISK:
            endpoints = self.restrictions.apply(endpoints)
        elif kind is not ListKind.ERROR:
            self._record(kind, endpoints)
        self.on_list(kind, self.ejections.apply(kind, endpoints))

    def _record(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Record what discovery told, and have it confirm what was inherited."""
        self.is_confirmed = True
        self.restrictions.record(kind, endpoints, self.ejections.listed)
        if self.requires_snapshot:
            self.requires_snapshot = False
            if kind is not ListKind.FULL:
                self.source.fetch()

    def inherit(self, restriction_by_name: Mapping[str, HostRestriction]) -> None:
        """Adopt what discovery told the process before this one, unless it has told this one since."""
        if self.is_confirmed:
            return
        self.restrictions.inherit(restriction_by_name)
        self.requires_snapshot = bool(restriction_by_name)
        changed = self.restrictions.changes(self.ejections.listed.values())
        if changed:
            self.on_list(ListKind.DELTA, self.ejections.apply(ListKind.DELTA, changed))

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
