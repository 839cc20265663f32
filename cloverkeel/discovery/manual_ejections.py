"""Hosts that an operator has ejected: an overlay on the endpoint list of any source. Pure: no clock.

The overlay changes an ejected host that serves to draining and passes on its other fields, including a later start
time. Outlier ejection, which the balancer decides, is separate. The admin commands for ejection and reinstatement are
`suspend` and `restore`.

Invariants:
- an ejection only restricts: a host that the list drains or removes never gets a less restrictive status;
- an ejected host is never forgotten, and one call reinstates it, however often it was ejected;
- a reinstated host is passed on with a start time no earlier than its reinstatement, unless the list has reported a
  start after the ejection: discovery reports a restart late, and the host may have restarted at any time in between;
- memory is bounded: MAX_FORMERLY_LISTED names that left the list (listed and ejected names are kept in addition),
  MAX_EJECTIONS ejections.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Final

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.ports import Endpoint

MAX_FORMERLY_LISTED: Final = 4_096  # names that left the list and are remembered
MAX_EJECTIONS: Final = 1_024  # at the same time


class ManualEjections:
    """The manual ejections, and the latest list entry of each host. Times are in µs."""

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}
        self.formerly_listed: OrderedDict[str, None] = OrderedDict()  # in the order in which they left the list
        self.ejected_us_by_name: dict[str, int] = {}
        self.reinstated_us_by_name: dict[str, int] = {}  # lower bound of the start time passed on

    # Input from the endpoint list

    def apply(self, kind: ListKind, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Store the entries of a list and return them with the ejections applied."""
        endpoints = list(endpoints)
        if kind is ListKind.ERROR:
            return endpoints
        if kind is not ListKind.DELTA:
            self._unlist_absent(endpoints)
        for endpoint in endpoints:
            if endpoint.listed.status is ServerStatus.GONE:
                self._unlist(endpoint.name)
            else:
                self.listed[endpoint.name] = endpoint
                self.formerly_listed.pop(endpoint.name, None)
        return [self._overlay(endpoint) for endpoint in endpoints]

    def _unlist_absent(self, endpoints: list[Endpoint]) -> None:
        present = {endpoint.name for endpoint in endpoints}
        for name in [name for name in self.listed if name not in present]:
            self._unlist(name)

    def _unlist(self, name: str) -> None:
        if self.listed.pop(name, None) is None:
            return
        self.formerly_listed.pop(name, None)
        self.formerly_listed[name] = None
        while len(self.formerly_listed) > MAX_FORMERLY_LISTED:
            forgotten, _ = self.formerly_listed.popitem(last=False)
            self.reinstated_us_by_name.pop(forgotten, None)

    def _overlay(self, endpoint: Endpoint) -> Endpoint:
        """Return an entry with its ejection or reinstatement applied."""
        listed = endpoint.listed
        status = listed.status
        if endpoint.name in self.ejected_us_by_name and status is ServerStatus.READY:
            status = ServerStatus.DRAINING
        started_us = max(listed.started_us, self.reinstated_us_by_name.get(endpoint.name, 0))
        if (status, started_us) == (listed.status, listed.started_us):
            return endpoint
        return Endpoint(endpoint.name, endpoint.address, replace(listed, status=status, started_us=started_us))

    # Input from the operator

    def was_listed(self, name: str) -> bool:
        """Whether this host is listed, ejected, or remembered as formerly listed."""
        return name in self.listed or name in self.formerly_listed or name in self.ejected_us_by_name

    def can_eject(self, name: str) -> bool:
        """Whether this host is ejected, or the limit of ejections permits it."""
        return name in self.ejected_us_by_name or len(self.ejected_us_by_name) < MAX_EJECTIONS

    def eject(self, now_us: int, name: str) -> list[Endpoint]:
        """Eject a host from now on; return the entries to pass to the core."""
        self.ejected_us_by_name.setdefault(name, now_us)
        return self._current_entries(name)

    def reinstate(self, now_us: int, name: str) -> list[Endpoint]:
        """End an ejection; return the entries to pass to the core."""
        ejected_us = self.ejected_us_by_name.pop(name, None)
        if ejected_us is None:
            return []
        endpoint = self.listed.get(name)
        if endpoint is None or endpoint.listed.started_us <= ejected_us:
            self.reinstated_us_by_name[name] = now_us
        return self._current_entries(name)

    def synchronize(
        self, ejected_us_by_name: Mapping[str, int], reinstated_us_by_name: Mapping[str, int]
    ) -> list[Endpoint]:
        """Adopt the ejections that another process of this gateway stored; return the entries to pass to the core."""
        before, after = self.ejected_us_by_name.keys(), ejected_us_by_name.keys()
        changed = before ^ after
        changed |= {
            name for name, at_us in reinstated_us_by_name.items() if self.reinstated_us_by_name.get(name, 0) < at_us
        }
        self.ejected_us_by_name = dict(ejected_us_by_name)
        self.reinstated_us_by_name = {
            name: max(self.reinstated_us_by_name.get(name, 0), reinstated_us_by_name.get(name, 0))
            for name in {*self.reinstated_us_by_name, *reinstated_us_by_name}
        }
        return [endpoint for name in sorted(changed) for endpoint in self._current_entries(name)]

    def _current_entries(self, name: str) -> list[Endpoint]:
        endpoint = self.listed.get(name)
        return [self._overlay(endpoint)] if endpoint is not None else []
