"""Hosts that staff have ejected by hand: an overlay on the endpoint list of any source. Pure: no clock.

The list's entries go in, and come out as the core is to have them: an ejected host that serves is passed on as
draining, with all else that the list tells of it, its restarts too. (Outlier ejection, which the balancer decides by
itself, is another thing.) The admin address calls an ejection `suspend` and its end `restore`.

Invariants:
- an ejection only restricts: what the list has as draining or gone never becomes more through it;
- an ejected host is never forgotten, and one call reinstates it, however often it was ejected;
- no reinstated host is presented as older than its reinstatement, unless the list has told a start of it that is
  later than the ejection: discovery tells a restart late, and it may have happened at any moment in between;
- what is kept is bounded: names that were listed once by MAX_FORMERLY_LISTED (ejected and listed ones beyond that),
  ejections by MAX_EJECTIONS.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Final

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.ports import Endpoint

MAX_FORMERLY_LISTED: Final = 4_096  # names that left the list, and are still known
MAX_EJECTIONS: Final = 1_024  # at one time


class ManualEjections:
    """Who is ejected by hand, and the last entry of the list for each host. Times in µs."""

    def __init__(self) -> None:
        self.listed: dict[str, Endpoint] = {}
        self.formerly_listed: OrderedDict[str, None] = OrderedDict()  # the longest ago first
        self.ejected_us_by_name: dict[str, int] = {}
        self.reinstated_us_by_name: dict[str, int] = {}  # no later start is listed yet

    # From the list

    def apply(self, kind: ListKind, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Note what the list tells, and return what the core is to be told in its place."""
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
        """Return an entry of the list as the core is to have it."""
        listed = endpoint.listed
        status = listed.status
        if endpoint.name in self.ejected_us_by_name and status is ServerStatus.READY:
            status = ServerStatus.DRAINING
        started_us = max(listed.started_us, self.reinstated_us_by_name.get(endpoint.name, 0))
        if (status, started_us) == (listed.status, listed.started_us):
            return endpoint
        return Endpoint(endpoint.name, endpoint.address, replace(listed, status=status, started_us=started_us))

    # From staff

    def was_listed(self, name: str) -> bool:
        """Whether this host was ever listed, as far as is remembered."""
        return name in self.listed or name in self.formerly_listed or name in self.ejected_us_by_name

    def can_eject(self, name: str) -> bool:
        """Whether this host may be ejected, or is already."""
        return name in self.ejected_us_by_name or len(self.ejected_us_by_name) < MAX_EJECTIONS

    def eject(self, now_us: int, name: str) -> list[Endpoint]:
        """Eject a host from now on; returns what the core is to be told."""
        self.ejected_us_by_name.setdefault(name, now_us)
        return self._current(name)

    def reinstate(self, now_us: int, name: str) -> list[Endpoint]:
        """End an ejection; returns what the core is to be told."""
        ejected_us = self.ejected_us_by_name.pop(name, None)
        if ejected_us is None:
            return []
        endpoint = self.listed.get(name)
        if endpoint is None or endpoint.listed.started_us <= ejected_us:
            self.reinstated_us_by_name[name] = now_us
        return self._current(name)

    def synchronize(
        self, ejected_us_by_name: Mapping[str, int], reinstated_us_by_name: Mapping[str, int]
    ) -> list[Endpoint]:
        """Take on the ejections as another process of this gateway left them; returns what the core is to be told."""
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
        return [endpoint for name in sorted(changed) for endpoint in self._current(name)]

    def _current(self, name: str) -> list[Endpoint]:
        endpoint = self.listed.get(name)
        return [self._overlay(endpoint)] if endpoint is not None else []
