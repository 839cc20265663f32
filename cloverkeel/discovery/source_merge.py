"""Merge several discovery sources into one list of backends. Pure: no I/O, no clock, times come with the events.

What a source says of a backend is that it is present (SERVING, DRAINING) or removed. What no source has said anything
of is unknown, which is another thing:

- A source that is live tells: what its snapshot no longer names is removed, at once and for any number of backends.
- A source that lost its connection tells nothing: what it said last stands, with its age.
- For each backend the first source, in the order of precedence, that knows it decides. A backend that it removed
  stays removed whatever a later source lists, until the first one lists it again, or a later one lists a new life of
  it that began after the removal.
- The list known from before a restart has the last place, and only until some source has given a snapshot.

Invariants: the list depends on what each source said last alone, not on the order in which sources said it; nothing
that one source says changes what another said; what is kept of removed backends is bounded (MAX_REMOVALS_REMEMBERED).
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.errors import PrecedenceError

MAX_REMOVALS_REMEMBERED: Final = 4_096  # of each source; the oldest are forgotten first


class Source(Enum):
    """Where backends are known from, by the names in the options file."""

    EPHEMERAL = "ephemeral"
    REGISTRY = "registry"
    KNOWN = "known"


class ConnectionState(Enum):
    """A source's connection, by ZooKeeper's names of a session's states."""

    CONNECTED = "connected"
    SUSPENDED = "suspended"  # the connection is lost, the session may live
    LOST = "lost"  # the session has expired


@dataclass(slots=True)
class SourceState:
    """What one source said last."""

    backend_by_name: dict[str, Backend] = field(default_factory=dict)
    removed_ms_by_name: OrderedDict[str, int] = field(default_factory=OrderedDict)  # Unix ms
    connection: ConnectionState = ConnectionState.LOST
    has_snapshot: bool = False  # it has given one since the start
    confirmed_us: int = 0  # when what is held was last known to be as the source has it

    def add(self, backend: Backend) -> None:
        """Note a backend that is present."""
        self.backend_by_name[backend.name] = backend
        self.removed_ms_by_name.pop(backend.name, None)

    def remove(self, name: str, now_us: int) -> None:
        """Note a backend that is removed."""
        self.backend_by_name.pop(name, None)
        self.removed_ms_by_name.pop(name, None)
        self.removed_ms_by_name[name] = now_us // 1000
        while len(self.removed_ms_by_name) > MAX_REMOVALS_REMEMBERED:
            self.removed_ms_by_name.popitem(last=False)


@dataclass(slots=True, frozen=True)
class BackendChanges:
    """What an event came to: backends that are new or other than before, and backends that are removed."""

    updated: tuple[Backend, ...] = ()
    removed: tuple[Backend, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.updated or self.removed)


@dataclass(slots=True)
class MergeCounters:
    """What was told since the start."""

    changes: int = 0
    snapshots: int = 0
    suspended: int = 0
    lost: int = 0


class SourceMerge:
    """Feed it what the sources say; each call returns the change that follows for the gateway."""

    def __init__(self, precedence: Sequence[Source] = (Source.EPHEMERAL, Source.REGISTRY)) -> None:
        if Source.KNOWN in precedence or len(set(precedence)) != len(precedence) or not precedence:
            raise PrecedenceError
        self.order = (*precedence, Source.KNOWN)
        self.state_by_source: dict[Source, SourceState] = {source: SourceState() for source in self.order}
        self.backend_by_name: dict[str, Backend] = {}
        self.counters = MergeCounters()

    # What sources say

    def load_known(self, now_us: int, backends: Iterable[Backend]) -> BackendChanges:
        """Take the list from before a restart: it stands where nothing newer does."""
        state = self.state_by_source[Source.KNOWN]
        state.backend_by_name = {backend.name: backend for backend in backends}
        state.confirmed_us = now_us
        return self._recompute()

    def on_snapshot(self, now_us: int, source: Source, backends: Iterable[Backend]) -> BackendChanges:
        """Take all that a source has now; what it had and no longer has is removed."""
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
        """Take single changes of a live source."""
        state = self.state_by_source[source]
        for backend in present:
            state.add(backend)
        for name in removed:
            state.remove(name, now_us)
        state.confirmed_us = now_us
        return self._recompute()

    def on_connection_state(self, now_us: int, source: Source, connection: ConnectionState) -> BackendChanges:
        """Note a source's connection: that says nothing of any backend."""
        state = self.state_by_source[source]
        if connection is not state.connection:
            self.counters.suspended += connection is ConnectionState.SUSPENDED
            self.counters.lost += connection is ConnectionState.LOST
        state.connection = connection
        if connection is ConnectionState.CONNECTED and state.has_snapshot:
            state.confirmed_us = now_us
        return BackendChanges()

    def confirm(self, now_us: int, source: Source) -> None:
        """Note that a source still has what it said last."""
        state = self.state_by_source[source]
        if state.connection is ConnectionState.CONNECTED and state.has_snapshot:
            state.confirmed_us = now_us

    # What follows

    @property
    def has_snapshot(self) -> bool:
        """Whether some source has given a snapshot."""
        return any(state.has_snapshot for state in self.state_by_source.values())

    def age_us(self, now_us: int) -> int:
        """Return how old the newest confirmation is of the list that stands; never less than 0."""
        times = [state.confirmed_us for state in self.state_by_source.values() if state.has_snapshot]
        return max(0, now_us - max(times)) if times else 0

    def _resolve(self, name: str) -> Backend | None:
        """Return a backend as the first source that knows it has it; None: it is removed, or unknown."""
        removed_ms: int | None = None
        for source in self.order:
            state = self.state_by_source[source]
            if source is Source.KNOWN and self.has_snapshot:
                return None
            backend = state.backend_by_name.get(name)
            if backend is not None:
                # Removed by a source before this one: only a life that began since is another backend.
                is_new_life = removed_ms is None or (backend.since_ms and backend.since_ms > removed_ms)
                return backend if is_new_life else None
            removed_here_ms = state.removed_ms_by_name.get(name)
            if removed_here_ms is not None:
                removed_ms = removed_here_ms if removed_ms is None else max(removed_ms, removed_here_ms)
        return None

    def _recompute(self) -> BackendChanges:
        """Bring the list to what the sources say, and return what changed."""
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
    """Return backends by name, and the names that several nodes have: there the newest registration counts."""
    backend_by_name: dict[str, Backend] = {}
    duplicates: set[str] = set()
    for backend in backend_by_node.values():
        other = backend_by_name.get(backend.name)
        if other is not None:
            duplicates.add(backend.name)
        if other is None or (backend.since_ms, backend.czxid) > (other.since_ms, other.czxid):
            backend_by_name[backend.name] = backend
    return backend_by_name, sorted(duplicates)
