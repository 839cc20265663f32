"""Merge several discovery sources into one list of backends. Pure: no I/O, no clock, events carry their time.

For a source, a backend is present (SERVING or DRAINING), removed, or unknown (never reported). Removed and unknown
are different states:

- A backend that a connected source's snapshot no longer contains is removed, immediately and for any number of them.
- The loss of a source's connection removes nothing: its last report stays valid, and its age is measured.
- The first source in the order of precedence for which a backend is present or removed decides. A removed backend
  stays removed, whatever a later source lists, until the same source lists it again or a later source lists an
  incarnation that started after the removal.
- The list known before a restart has the lowest precedence and is used only until any source delivers a snapshot.

Invariants: the list depends only on the last report of each source, not on how the reports of several sources are
interleaved; a report of one source does not change the state of another; the number of remembered removals is bounded
(MAX_REMOVALS_REMEMBERED).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.errors import PrecedenceError

MAX_REMOVALS_REMEMBERED: Final = 4_096  # for each source; the oldest are dropped first


class Source(Enum):
    """A source of backends; the values are the names in the options file."""

    EPHEMERAL = "ephemeral"
    REGISTRY = "registry"
    KNOWN = "known"


class ConnectionState(Enum):
    """State of a source's connection, in ZooKeeper's terms of session states."""

    CONNECTED = "connected"
    SUSPENDED = "suspended"  # disconnected; the session may still exist
    LOST = "lost"  # the session has expired


@dataclass(slots=True)
class SourceState:
    """The last report of one source."""

    backend_by_name: dict[str, Backend] = field(default_factory=dict)
    removed_ms_by_name: OrderedDict[str, int] = field(default_factory=OrderedDict)  # time of the removal, Unix ms
    connection: ConnectionState = ConnectionState.LOST
    has_snapshot: bool = False  # whether one was delivered since the start
    confirmed_us: int = 0  # Unix time at which this state was last known to be current

    def add(self, backend: Backend) -> None:
        """Record a backend that is present."""
        self.backend_by_name[backend.name] = backend
        self.removed_ms_by_name.pop(backend.name, None)

    def remove(self, name: str, now_us: int) -> None:
        """Record the removal of a backend."""
        self.backend_by_name.pop(name, None)
        self.removed_ms_by_name.pop(name, None)
        self.removed_ms_by_name[name] = now_us // 1000
        while len(self.removed_ms_by_name) > MAX_REMOVALS_REMEMBERED:
            self.removed_ms_by_name.popitem(last=False)


@dataclass(slots=True, frozen=True)
class BackendChanges:
    """The changes of the merged list caused by an event: new or changed backends, and removed ones."""

    updated: tuple[Backend, ...] = ()
    removed: tuple[Backend, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.updated or self.removed)


@dataclass(slots=True)
class MergeCounters:
    """Totals of events since the start."""

    changes: int = 0
    snapshots: int = 0
    suspended: int = 0
    lost: int = 0


class SourceMerge:
    """Merge the reports of the sources; each event method returns the resulting changes of the merged list."""

    def __init__(self, precedence: Sequence[Source] = (Source.EPHEMERAL, Source.REGISTRY)) -> None:
        if Source.KNOWN in precedence or len(set(precedence)) != len(precedence) or not precedence:
            raise PrecedenceError
        self.order = (*precedence, Source.KNOWN)
        self.state_by_source: dict[Source, SourceState] = {source: SourceState() for source in self.order}
        self.backend_by_name: dict[str, Backend] = {}
        self.counters = MergeCounters()

    # Reports of the sources

    def load_known(self, now_us: int, backends: Iterable[Backend]) -> BackendChanges:
        """Set the list known before a restart, which has the lowest precedence."""
        state = self.state_by_source[Source.KNOWN]
        state.backend_by_name = {backend.name: backend for backend in backends}
        state.confirmed_us = now_us
        return self._recompute()

    def on_snapshot(self, now_us: int, source: Source, backends: Iterable[Backend]) -> BackendChanges:
        """Apply a source's complete list; backends that it no longer contains are removed."""
        state = self.state_by_source[source]
        present = {backend.name: backend for backend in backends}
        for name in state.backend_by_name.keys() - present.keys():
            state.remove(name, now_us)
        state.backend_by_name, state.has_snapshot, state.confirmed_us = present, True, now_us
        for name in present:
            state.removed_ms_by_name.pop(name, None)
        self.counters.snapshots += 1
        return self._recompute()

    def on_changes(
        self, now_us: int, source: Source, present: Iterable[Backend] = (), removed: Iterable[str] = ()
    ) -> BackendChanges:
        """Apply a delta of a connected source."""
        state = self.state_by_source[source]
        for backend in present:
            state.add(backend)
        for name in removed:
            state.remove(name, now_us)
        state.confirmed_us = now_us
        return self._recompute()

    def on_connection_state(self, now_us: int, source: Source, connection: ConnectionState) -> BackendChanges:
        """Record the state of a source's connection. Changes no backend, whatever the state."""
        state = self.state_by_source[source]
        if connection is not state.connection:
            self.counters.suspended += connection is ConnectionState.SUSPENDED
            self.counters.lost += connection is ConnectionState.LOST
        state.connection = connection
        if connection is ConnectionState.CONNECTED and state.has_snapshot:
            state.confirmed_us = now_us
        return BackendChanges()

    def confirm(self, now_us: int, source: Source) -> None:
        """Record that the last report of a source is still current."""
        state = self.state_by_source[source]
        if state.connection is ConnectionState.CONNECTED and state.has_snapshot:
            state.confirmed_us = now_us

    # Merged state

    @property
    def has_snapshot(self) -> bool:
        """Whether any source has delivered a snapshot."""
        return any(state.has_snapshot for state in self.state_by_source.values())

    def age_us(self, now_us: int) -> int:
        """Return the age of the newest confirmation of a source with a snapshot; 0 without one, never negative."""
        times = [state.confirmed_us for state in self.state_by_source.values() if state.has_snapshot]
        return max(0, now_us - max(times)) if times else 0

    def _resolve(self, name: str) -> Backend | None:
        """Return a backend as reported by the first source that knows it; None if it is removed or unknown."""
        removed_ms: int | None = None
        for source in self.order:
            state = self.state_by_source[source]
            if source is Source.KNOWN and self.has_snapshot:
                return None
            backend = state.backend_by_name.get(name)
            if backend is not None:
                # After a removal by a source of higher precedence, only an incarnation started since then is listed.
                is_present = removed_ms is None or (backend.since_ms and backend.since_ms > removed_ms)
                return backend if is_present else None
            removed_here_ms = state.removed_ms_by_name.get(name)
            if removed_here_ms is not None:
                removed_ms = removed_here_ms if removed_ms is None else max(removed_ms, removed_here_ms)
        return None

    def _recompute(self) -> BackendChanges:
        """Update the merged list from the states of the sources, and return the changes."""
        names = {name for state in self.state_by_source.values() for name in state.backend_by_name}
        resolved: dict[str, Backend] = {}
        for name in sorted(names):
            backend = self._resolve(name)
            if backend is not None:
                resolved[name] = backend
        updated = tuple(
            backend for name, backend in resolved.items() if self.backend_by_name.get(name) != backend
        )  # fmt: skip
        removed = tuple(backend for name, backend in self.backend_by_name.items() if name not in resolved)
        self.backend_by_name = resolved
        changes = BackendChanges(updated, removed)
        self.counters.changes += bool(changes)
        return changes


def deduplicate_by_name(backend_by_node: Mapping[str, Backend]) -> tuple[dict[str, Backend], list[str]]:
    """Return the backends by name, and the names that several nodes have; the newest registration is kept."""
    backend_by_name: dict[str, Backend] = {}
    duplicates: set[str] = set()
    for backend in backend_by_node.values():
        other = backend_by_name.get(backend.name)
        if other is not None:
            duplicates.add(backend.name)
        if other is None or (backend.since_ms, backend.czxid) > (other.since_ms, other.czxid):
            backend_by_name[backend.name] = backend
    return backend_by_name, sorted(duplicates)
