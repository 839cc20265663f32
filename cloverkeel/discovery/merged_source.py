"""An endpoint source that combines ZooKeeper's ephemeral nodes with the registry's list.

Updates of all sources pass through `SourceMerge`; the resulting changes are reported to the core. Imported only if
ephemeral membership is enabled. If the registry is one of the sources, watches and fetches that the core requests are
forwarded to it, and its failures are reported to the core; without the registry such requests are ignored.
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

SAVE_DELAY_S: Final = 0.2  # collects changes that follow each other closely into one write
LOG_INTERVAL_S: Final = 10.0  # between two log lines of the counters; none is logged if they are unchanged


class MergedEndpointSource:
    """Merge endpoint sources (implements `EndpointSource` in core/ports.py, `MovableSource` in core/reload.py)."""

    def __init__(self, options: ZooKeeperOptions, registry: HttpEndpointSource | None, names: Names) -> None:
        self.names, self.registry = names, registry
        self.snapshot_path = options.state
        self.save_task: asyncio.Task[None] | None = None
        self.is_unsaved = False
        self.merge = SourceMerge(tuple(Source(name) for name in options.precedence))
        self.on_list: OnEndpointList = lambda _kind, _endpoints: None  # replaced by set_listener
        self.zookeeper = ZookeeperWatcher(
            ZookeeperSessionOptions(options.hosts, options.path, options.session_ms, options.spread_ms / 1000),
            BackendListener(self.on_nodes, self.on_session_state, self.on_nodes_confirmed, self.on_node_deleted),
        )
        self.logged_counts = (0, 0, 0)
        self.log_timer: asyncio.TimerHandle | None = None
        if registry is not None:
            registry.set_listener(self.on_registry_list)

    def set_listener(self, on_list: OnEndpointList) -> None:
        """Set the callback for changes of the list; it replaces the previous one."""
        self.on_list = on_list

    def load_known(self, raw: dict[str, Any]) -> None:
        """Start from the list known before a restart, then start reading the sources."""
        endpoints: list[Endpoint] = []
        try:
            endpoints = parse_endpoint_list(raw, self.names).endpoints
        except (KeyError, TypeError, ValueError) as error:
            if raw:
                log(f"discovery: known list unusable, cause={error!r}")
        # The gateway's own snapshot is newer than the list in its configuration: a backend whose removal the gateway
        # has seen must not reappear from the older list.
        saved = snapshot_file.load_snapshot(self.snapshot_path) if self.snapshot_path else None
        known = [to_backend(endpoint) for endpoint in endpoints] if saved is None else saved
        changes = self.merge.load_known(now_us(), known)
        kind = ListKind.DISK if self.registry is not None else ListKind.FULL
        self.on_list(kind, [to_endpoint(backend, self.names) for backend in changes.updated])
        self.zookeeper.start()
        self._log_counts()
        if self.registry is not None and self.registry.pushed:
            self.registry.watch(True)

    # Callbacks of the sources

    def on_nodes(self, backends: list[Backend]) -> None:
        """Merge the complete list of nodes."""
        self._notify(self.merge.on_snapshot(now_us(), Source.EPHEMERAL, backends))

    def on_node_deleted(self, name: str) -> None:
        """Remove the backend of a deleted node; the next list shows whether the backend has another node."""
        self._notify(self.merge.on_changes(now_us(), Source.EPHEMERAL, removed=[name]))

    def on_session_state(self, state: ConnectionState) -> None:
        """Record the state of the session; the list is kept in every state."""
        self.merge.on_connection_state(now_us(), Source.EPHEMERAL, state)
        if state is not ConnectionState.CONNECTED:
            log(f"discovery: session {state.value}, backends_kept={len(self.merge.backend_by_name)}")

    def on_nodes_confirmed(self) -> None:
        """Record that the list of nodes is unchanged since it was read."""
        self.merge.confirm(now_us(), Source.EPHEMERAL)

    def on_registry_list(self, kind: ListKind, endpoints: list[Endpoint]) -> None:
        """Merge a list or a delta of the registry; an error is passed on to the core."""
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
        """Report changes to the core and schedule writing the snapshot."""
        removed = [to_endpoint(backend, self.names, is_removed=True) for backend in changes.removed]
        updated = [to_endpoint(backend, self.names) for backend in changes.updated]
        self.on_list(ListKind.DELTA, removed + updated)
        if self.snapshot_path and changes:
            self.is_unsaved = True
            if self.save_task is None:
                self.save_task = asyncio.get_running_loop().create_task(self._save())

    async def _save(self) -> None:
        """Write the snapshot in a worker thread, once for several changes within SAVE_DELAY_S."""
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

    # Calls from the core

    def watch(self, on: bool) -> None:
        """Start or stop watching the registry."""
        if self.registry is not None:
            self.registry.watch(on)

    def fetch(self) -> None:
        """Request a snapshot from the registry."""
        if self.registry is not None:
            self.registry.fetch()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Let all sources catch up after this process was stalled for `stall_us`; `done` is called once all have."""
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
        """Return the registry's address, which a reload may change; ("", 0) without a registry."""
        return self.registry.address if self.registry is not None else ("", 0)

    def move(self, address: Address) -> None:
        """Use another address of the registry."""
        if self.registry is not None:
            self.registry.move(address)

    def close(self) -> None:
        """Stop permanently: close the sources, cancel a pending write of the snapshot."""
        if self.log_timer is not None:
            self.log_timer.cancel()
        self.zookeeper.close()
        if self.save_task is not None:
            self.save_task.cancel()
        if self.registry is not None:
            self.registry.close()

    def _log_counts(self) -> None:
        """Log the counters if they have changed since the previous line, and schedule the next check."""
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
