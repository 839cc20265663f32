"""What discovery told this gateway that restricts the use of hosts, for the process that replaces this one. Pure.

A process starts with the list in its configuration, which may be older than what its predecessor was told. While
discovery cannot be reached, the predecessor's restrictions keep it from using hosts that drain or have left, and from
taking a host that has restarted for a warm one.

Invariants:
- a restriction is kept until discovery reports the host as serving, or sends a complete list;
- at most MAX_RESTRICTIONS are kept, the oldest are discarded first.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Final

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.config import Address
from cloverkeel.core.ports import Endpoint

MAX_RESTRICTIONS: Final = 4_096


@dataclass(slots=True, frozen=True)
class HostRestriction:
    """The latest report of a host that drains, has left, or has restarted while it was listed.

    `started_us`: start time of its process in µs of Unix time, 0 for long ago.
    """

    status: ServerStatus
    address: Address
    started_us: int

    @classmethod
    def of(cls, endpoint: Endpoint) -> HostRestriction:
        """Return what an entry of a list reports."""
        return cls(endpoint.listed.status, endpoint.address, endpoint.listed.started_us)


class HostRestrictions:
    """The restrictions by name of the host."""

    def __init__(self) -> None:
        self.by_name: dict[str, HostRestriction] = {}  # oldest first
        self.version = 0  # counts the changes that discovery reported

    def inherit(self, by_name: Mapping[str, HostRestriction]) -> None:
        """Adopt the restrictions that the process before this one was told."""
        self.by_name = dict(by_name)

    def apply(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the entries of a list that may be older than the restrictions, with the restrictions applied."""
        restricted = (self._restrict(endpoint) for endpoint in endpoints)
        return [endpoint for endpoint in restricted if endpoint is not None]

    def changes(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the entries that change if the restrictions are applied to these; hosts that have left as GONE."""
        changed: list[Endpoint] = []
        for endpoint in endpoints:
            restricted = self._restrict(endpoint)
            if restricted is None:
                gone = replace(endpoint.listed, status=ServerStatus.GONE)
                changed.append(Endpoint(endpoint.name, endpoint.address, gone))
            elif restricted is not endpoint:
                changed.append(restricted)
        return changed

    def _restrict(self, endpoint: Endpoint) -> Endpoint | None:
        """Return an entry with its host's restriction applied; None if the host has left."""
        restriction = self.by_name.get(endpoint.name)
        listed = endpoint.listed
        if restriction is None or listed.started_us > restriction.started_us:
            return endpoint
        if restriction.status is ServerStatus.GONE:
            return None
        status = restriction.status if listed.status is ServerStatus.READY else listed.status
        changed = replace(listed, status=status, started_us=restriction.started_us)
        return Endpoint(endpoint.name, restriction.address, changed)

    def record(self, kind: ListKind, endpoints: Iterable[Endpoint], listed_by_name: Mapping[str, Endpoint]) -> None:
        """Record a list of discovery; `listed_by_name`: the entries before it."""
        endpoints = list(endpoints)
        if kind is ListKind.FULL:
            self._record_absent({endpoint.name for endpoint in endpoints}, listed_by_name)
        for endpoint in endpoints:
            if endpoint.listed.status is not ServerStatus.READY:
                self._set(endpoint.name, HostRestriction.of(endpoint))
            else:
                self._record_serving(endpoint, listed_by_name.get(endpoint.name))
        while len(self.by_name) > MAX_RESTRICTIONS:
            del self.by_name[next(iter(self.by_name))]

    def _record_absent(self, present: set[str], listed_by_name: Mapping[str, Endpoint]) -> None:
        """Record the hosts that a complete list leaves out."""
        for name in [name for name in self.by_name if name not in present]:
            self._set(name, replace(self.by_name[name], status=ServerStatus.GONE))
        for name, endpoint in listed_by_name.items():
            if name not in present and name not in self.by_name:
                self._set(name, replace(HostRestriction.of(endpoint), status=ServerStatus.GONE))

    def _record_serving(self, endpoint: Endpoint, before: Endpoint | None) -> None:
        """Record a host that serves: as restarted if its process has changed; `before`: its previous entry."""
        name, started_us = endpoint.name, endpoint.listed.started_us
        restriction = self.by_name.get(name)
        if before is not None and before.listed.started_us == started_us:
            is_restart = restriction is not None and restriction.started_us == started_us
        else:
            is_restart = before is not None or restriction is not None
        if is_restart and started_us:
            self._set(name, HostRestriction.of(endpoint))
        elif restriction is not None:
            del self.by_name[name]
            self.version += 1

    def _set(self, name: str, restriction: HostRestriction) -> None:
        """Keep a restriction, as the newest one if it differs from the one before."""
        if self.by_name.get(name) != restriction:
            self.by_name.pop(name, None)
            self.by_name[name] = restriction
            self.version += 1
