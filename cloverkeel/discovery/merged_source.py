"""Several discovery sources as one for the core: what they tell goes through the pure merge, and on to the core.

Imported only where ephemeral membership is switched on. With the registry among the sources, the core's wish for a
watch or a call goes to it, and its failures come back; without it nobody is asked.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final

from cloverkeel.balancing.events import ListKind, ServerStatus

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address, Names
from cloverkeel.core.log import log
from cloverkeel.core.options import ZooKeeperOptions
from cloverkeel.core.ports import Endpoint, OnEndpointList
from cloverkeel.discovery import snapshot_file
from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.backend_conversion import to_backend, to_endpoint, with_setting_names
from cloverkeel.discovery.endpoint_parser import parse_endpoint_list
from cloverkeel.discovery.http_client import HttpEndpointSource
from cloverkeel.discovery.source_merge import BackendChanges, ConnectionState, Source, SourceMerge
from cloverkeel.discovery.zookeeper_session import ZookeeperSessionOptions
from cloverkeel.discovery.zookeeper_source import BackendListener, ZookeeperWatcher

SAVE_DELAY_S: Final = 0.2  # after a change, for others that come with it
LOG_INTERVAL_S: Final = 10.0  # between lines of the log, while something changes


class MergedEndpointSource:
    """An endpoint source over others (`EndpointSource` in core/ports.py, `Movable` in core/reload.py)."""

    def __init__(self, options: ZooKeeperOptions, registry: HttpEndpointSource | None, names: Names) -> None:
        self.names, self.registry = names, registry
        self.snapshot_path = options.state
        self.save_task: asyncio.Task[None] | None = None
        self.is_unsaved = False
        self.merge = SourceMerge(tuple(Source(name) for name in options.precedence))
        self.on_list: OnEndpointList = lambda _kind, _endpoints: None  # until the core sets its own
        self.zookeeper = ZookeeperWatcher(
            ZookeeperSessionOptions(options.hosts, options.path, options.session_ms, options.spread_ms / 1000),
            BackendListener(self.on_nodes, self.on_session_state, self.on_nodes_confirmed, self.on_node_deleted),
        )
        self.logged_counts = (0, 0, 0)
        self.log_timer: asyncio.TimerHandle | None = None
        if registry is not None:
            registry.set_listener(self.on_registry_list)

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Set who is notified, from now on."""
        self.on_list = on_list

    def load_known(self, raw: dict[str, Any]) -> None:
        """Begin with the list from before a restart, and to read the sources."""
        endpoints: list[Endpoint] = []
        try:
            endpoints = parse_endpoint_list(raw, self.names).endpoints
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"discovery: known list unusable, cause={error!r}")
        # What this gateway wrote down itself is newer than what it is given at a start: a backend that it was told
        # is removed must not come back with an old list.
        saved = snapshot_file.load_snapshot(self.snapshot_path) if self.snapshot_path else None
        known = [to_backend(endpoint) for endpoint in endpoints] if saved is None else saved
        changes = self.merge.load_known(now_us(), known)
        kind = ListKind.DISK if self.registry is not None else ListKind.FULL
        self.on_list(kind, [to_endpoint(backend, self.names) for backend in changes.updated])
        self.zookeeper.start()
        self._log_counts()
        if self.registry is not None and self.registry.pushed:
            self.registry.watch(True)

    # From the sources

    def on_nodes(self, backends: list[Backend]) -> None:
        """Take the list of all nodes."""
        self._notify(self.merge.on_snapshot(now_us(), Source.EPHEMERAL, backends))

    def on_node_deleted(self, name: str) -> None:
        """Note that a node was deleted; whether the backend has another is yet to be read."""
        self._notify(self.merge.on_changes(now_us(), Source.EPHEMERAL, removed=[name]))

    def on_session_state(self, state: ConnectionState) -> None:
        """Note the session's state: the list stands."""
        self.merge.on_connection_state(now_us(), Source.EPHEMERAL, state)
        if state is not ConnectionState.CONNECTED:
            log(f"discovery: session {state.value}, backends_kept={len(self.merge.backend_by_name)}")

    def on_nodes_confirmed(self) -> None:
        """Note that the list of all nodes is as it was read."""
        self.merge.confirm(now_us(), Source.EPHEMERAL)

    def on_registry_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Take what the registry tells, failures too."""
        if kind is ListKind.ERROR:
            self.merge.on_connection_state(now_us(), Source.REGISTRY, ConnectionState.SUSPENDED)
            self.on_list(kind, endpoints)
            return
        self.merge.on_connection_state(now_us(), Source.REGISTRY, ConnectionState.CONNECTED)
        present = [to_backend(endpoint) for endpoint in endpoints if endpoint.listed.status is not ServerStatus.GONE]
        if kind is ListKind.FULL:
            self._notify(self.merge.on_snapshot(now_us(), Source.REGISTRY, present))
            return
        removed = [endpoint.name for endpoint in endpoints if endpoint.listed.status is ServerStatus.GONE]
        self._notify(self.merge.on_changes(now_us(), Source.REGISTRY, present, removed))

    def _notify(self, changes: BackendChanges) -> None:
        """Notify the core of what changed, and have it saved."""
        removed = [to_endpoint(backend, self.names, is_removed=True) for backend in changes.removed]
        updated = [to_endpoint(backend, self.names) for backend in changes.updated]
        self.on_list(ListKind.DELTA, removed + updated)
        if self.snapshot_path and changes:
            self.is_unsaved = True
            if self.save_task is None:
                self.save_task = asyncio.get_running_loop().create_task(self._save())

    async def _save(self) -> None:
        """Write the snapshot off the loop, and once for several changes that come together."""
        try:
            while self.is_unsaved:
                await asyncio.sleep(SAVE_DELAY_S)
                self.is_unsaved = False
                backends = [
                    with_setting_names(backend, self.names) for backend in self.merge.backend_by_name.values()
                ]
                await asyncio.to_thread(snapshot_file.save_snapshot, self.snapshot_path, backends)
        except OSError as error:
            log(f"discovery: snapshot cannot be written, path={self.snapshot_path}, cause={error.strerror}")
        finally:
            self.save_task = None

    # From the core

    def watch(self, on: bool) -> None:
        """Have the registry watched, or not."""
        if self.registry is not None:
            self.registry.watch(on)

    def fetch(self) -> None:
        """Ask the registry for a snapshot."""
        if self.registry is not None:
            self.registry.fetch()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Have all sources catch up after a stall of this process; `done` is called once all have."""
        remaining = 1 if self.registry is None else 2

        def on_source_done() -> None:
            nonlocal remaining
            remaining -= 1
            if remaining == 0:
                done()

        self.zookeeper.catch_up(on_source_done)
        if self.registry is not None:
            self.registry.catch_up(stall_us, on_source_done)

    @property
    def address(self) -> Address:
        """Return the registry's address: what a reload may move."""
        return self.registry.address if self.registry is not None else ("", 0)

    def move(self, address: Address) -> None:
        """Ask the registry at another address."""
        if self.registry is not None:
            self.registry.move(address)

    def close(self) -> None:
        """Stop for good."""
        if self.log_timer is not None:
            self.log_timer.cancel()
        self.zookeeper.close()
        if self.save_task is not None:
            self.save_task.cancel()
        if self.registry is not None:
            self.registry.close()

    def _log_counts(self) -> None:
        """Log a line where something has changed since the last one."""
        self.log_timer = asyncio.get_running_loop().call_later(LOG_INTERVAL_S, self._log_counts)
        merged, read = self.merge.counters, self.zookeeper.counters
        counts = (merged.changes, merged.suspended, merged.lost)
        if counts == self.logged_counts:
            return
        self.logged_counts = counts
        age_s = self.merge.age_us(now_us()) / 1e6
        log(
            f"discovery: backends={len(self.merge.backend_by_name)}, age_s={age_s:.1f}, changes={merged.changes}, "
            f"lists_read={read.list_reads}, nodes_read={read.node_reads}, connections_lost={merged.suspended}, "
            f"sessions_lost={merged.lost}, unusable_nodes={read.unusable_nodes}"
        )
