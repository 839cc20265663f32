"""Backends from ephemeral nodes of a ZooKeeper ensemble, through kazoo. Imported only if it is enabled.

kazoo's threads maintain the session and call the watches; a reader thread of this module reads the nodes. The results
are posted to the event loop in order. Invariants:
- no change is missed between a watch event and the renewal of the watch (node_reader.py);
- after a failed read everything is read again;
- a list is reported only when it was read completely.
"""

from __future__ import annotations

import asyncio
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from kazoo.exceptions import KazooException, NoAuthError, NoNodeError
from kazoo.handlers.threading import KazooTimeoutError
from kazoo.protocol.states import Callback

from cloverkeel.core.log import log
from cloverkeel.discovery.node_reader import NodeReader
from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.source_merge import ConnectionState, deduplicate_by_name
from cloverkeel.discovery.zookeeper_session import STATE_BY_KAZOO_NAME, ZookeeperSessionOptions, create_client

DELETION_DELAY_S: Final = 0.2  # from a watch event to its report without a new list; requests must stop within 1 s
CALLBACK_FLUSH_TIMEOUT_S: Final = 1.0  # for pending callbacks on kazoo's threads
CONFIRM_INTERVAL_S: Final = 1.0  # between checks that the list is still current
ACL_RETRY_DELAY_S: Final = 5.0  # before the next read after an ACL denied one
INITIAL_RETRY_DELAY_S: Final = 0.1  # between failed reads; doubled up to MAX_RETRY_DELAY_S
MAX_RETRY_DELAY_S: Final = 2.0
# Reconnect delay (KazooRetry, in s): doubled, and jittered over its whole length to spread the gateways of a fleet.
CONNECTION_RETRY_OPTIONS: Final = {"max_tries": -1, "delay": 0.5, "backoff": 2, "max_jitter": 0.5, "max_delay": 5.0}
DELETED_EVENT: Final = "DELETED"  # as in kazoo.protocol.states.EventType


@dataclass(slots=True, frozen=True)
class BackendListener:
    """Callbacks of a ZookeeperWatcher, all called on the event loop."""

    on_backends: Callable[[list[Backend]], None]  # the complete list, after each change
    on_connection_state: Callable[[ConnectionState], None]
    on_confirmed: Callable[[], None] = lambda: None  # the list is still current
    on_deleted: Callable[[str], None] = lambda _name: None  # a backend's node was deleted; no list was read since


@dataclass(slots=True, frozen=True)
class PendingReads:
    """The reads that are due."""

    everything: bool
    children: bool  # the names of all nodes
    nodes: set[str]  # names of single nodes
    deletions: dict[str, int]  # deletion_number_by_node when the read started


class ZookeeperWatcher:
    """Mirror the list of backends in ZooKeeper, and report its changes."""

    def __init__(self, options: ZookeeperSessionOptions, listener: BackendListener) -> None:
        self.loop = asyncio.get_running_loop()
        self.path, self.spread_s = options.path, options.spread_s
        self.listener = listener
        self.wake_event = threading.Event()
        self.lock = threading.Lock()  # guards the pending changes and callbacks, and the reported list
        self.must_read_all = True
        self.changed_nodes: set[str] = set()
        self.has_changed_children = False
        self.deletion_number_by_node: dict[str, int] = {}  # nodes deleted and not read again since
        self.deletion_count = 0
        self.is_deletion_timer_set = False
        self.catch_up_callbacks: list[Callable[[], None]] = []  # pending `done` of catch_up()
        self.has_read_list = False
        self.is_closed = False
        self.backend_by_node: dict[str, Backend] = {}  # last reported list, by node
        self.notified_backends: dict[str, Backend] | None = None  # the same by name; None before the first list
        self.must_notify = False  # report the next list even if it is unchanged
        self.client = create_client(options.hosts, options.session_ms, CONNECTION_RETRY_OPTIONS)
        self.client.add_listener(self._on_session_state)
        self.reader = NodeReader(self.client, self.path, self._on_children_changed, self._on_node_changed)
        self.counters = self.reader.counters
        self.reader_thread = threading.Thread(target=self._run, name="zookeeper-reader", daemon=True)

    def start(self) -> None:
        """Open the session and start the reader thread."""
        self.client.start_async()
        self.reader_thread.start()

    def close(self) -> None:
        """End the session in the background: it owns no nodes, so no other client depends on its end."""
        self.is_closed = True
        self.wake_event.set()
        threading.Thread(target=self._end_session, name="zookeeper-end", daemon=True).start()

    def catch_up(self, done: Callable[[], None]) -> None:
        """Call `done` on the event loop once every change received before this call has been reported."""
        with self.lock:
            self.catch_up_callbacks.append(done)
        self.wake_event.set()

    def _end_session(self) -> None:
        try:
            self.client.stop()
            self.client.close()
        except Exception as error:
            log(f"zookeeper: session end failed, cause={error!r}")

    def _post(self, callback: Callable[..., None], *values: Any) -> None:
        """Schedule a callback on the event loop."""
        if self.is_closed:
            return
        try:
            self.loop.call_soon_threadsafe(callback, *values)
        except RuntimeError:
            self.is_closed = True  # the loop has ended

    # Called on kazoo's threads

    def _on_session_state(self, state: str) -> None:
        self._post(self.listener.on_connection_state, STATE_BY_KAZOO_NAME[state])
        if STATE_BY_KAZOO_NAME[state] is not ConnectionState.CONNECTED:
            return
        self.counters.connects += 1
        with self.lock:
            self.must_read_all = True  # the previous connection's watches are lost
        self.wake_event.set()

    def _on_children_changed(self, _event: Any) -> None:
        with self.lock:
            self.has_changed_children = True
        self.wake_event.set()

    def _on_node_changed(self, event: Any) -> None:
        name = event.path.rpartition("/")[2] if event.path else ""
        if not name:
            return
        with self.lock:
            self.changed_nodes.add(name)
            if event.type == DELETED_EVENT:
                self._record_deletion(name)
        self.wake_event.set()

    def _record_deletion(self, name: str) -> None:
        self.deletion_count += 1
        self.deletion_number_by_node[name] = self.deletion_count
        if not self.is_deletion_timer_set:
            self.is_deletion_timer_set = True
            self._post(self._set_deletion_timer)

    # Called on the event loop

    def _set_deletion_timer(self) -> None:
        self.loop.call_later(DELETION_DELAY_S, self._notify_deletions)

    def _notify_deletions(self) -> None:
        """Report deletions after which no list could be read: a removal is safe to report without one.

        Guards against a connection that is lost or becomes unresponsive between the watch event and the read.
        """
        with self.lock:
            self.is_deletion_timer_set = False
            for name in self.deletion_number_by_node:
                deleted = self.backend_by_node.get(name)
                if deleted is None or self.notified_backends is None:
                    continue
                if self.notified_backends.get(deleted.name) == deleted:
                    self.must_notify = True
                    self._post(self.listener.on_deleted, deleted.name)

    # Called on the reader thread

    def _run(self) -> None:
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while not self.is_closed:
            self.wake_event.wait(CONFIRM_INTERVAL_S)
            self.wake_event.clear()
            if self.is_closed:
                return
            if not self.client.connected:
                continue
            try:
                self._read_or_confirm()
                retry_delay_s = INITIAL_RETRY_DELAY_S
            except NoAuthError:
                log(f"zookeeper: folder may not be read, path={self.path}, retry_s={ACL_RETRY_DELAY_S:g}")
                self._schedule_retry(ACL_RETRY_DELAY_S)
            except (KazooException, KazooTimeoutError, OSError) as error:
                self.counters.failures += 1
                self._schedule_retry(retry_delay_s * random.uniform(0.5, 1.0))
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
                if not isinstance(error, KazooException):
                    log(f"zookeeper: read failed, cause={error!r}")
            except Exception as error:
                # Any exception: if the reader thread ended, the list would never be updated again.
                log(f"zookeeper: DEFECT: {error!r}")
                self._schedule_retry(MAX_RETRY_DELAY_S)

    def _read_or_confirm(self) -> None:
        waiting = self._flush_callbacks()
        if self._is_read_due():
            self._read()
        else:
            self._confirm()
        self._complete_catch_ups(waiting)

    def _is_read_due(self) -> bool:
        """Whether a read is due, according to the recorded changes and not to wake_event.

        Guards against an event between the return of wait() and clear(), or before the client counts as connected:
        its wake-up is lost, and the list would stay outdated.
        """
        with self.lock:
            has_changes = self.has_changed_children or self.changed_nodes or self.deletion_number_by_node
            return bool(self.must_read_all or has_changes or self.catch_up_callbacks)

    def _schedule_retry(self, delay_s: float) -> None:
        with self.lock:
            self.must_read_all = True
        threading.Event().wait(delay_s)
        self.wake_event.set()

    def _flush_callbacks(self) -> int:
        """Wait until kazoo's threads have delivered all events received so far; return the number of catch-ups.

        ZooKeeper sends a watch event before the reply to a later request, and kazoo's threads call back in order.
        """
        waiting = len(self.catch_up_callbacks)
        if waiting:
            self.client.exists(self.path)
            is_flushed = threading.Event()
            self.client.handler.dispatch_callback(Callback("flush", is_flushed.set, ()))
            is_flushed.wait(CALLBACK_FLUSH_TIMEOUT_S)
        return waiting

    def _complete_catch_ups(self, count: int) -> None:
        with self.lock:
            completed, self.catch_up_callbacks = self.catch_up_callbacks[:count], self.catch_up_callbacks[count:]
        for done in completed:
            self._post(done)

    def _confirm(self) -> None:
        """Send a request whose result is not used: the reply shows that the session and its watches are alive."""
        if self.notified_backends is not None:
            self.client.exists(self.path)
            self._post(self.listener.on_confirmed)

    def _take_pending(self) -> PendingReads:
        with self.lock:
            deletions = dict(self.deletion_number_by_node)
            nodes = self.changed_nodes | deletions.keys()  # a node found under a deleted name is a new node
            pending = PendingReads(self.must_read_all, self.has_changed_children, nodes, deletions)
            self.must_read_all, self.has_changed_children, self.changed_nodes = False, False, set()
        return pending

    def _read(self) -> None:
        pending = self._take_pending()
        if pending.everything:
            if self.has_read_list and self.spread_s:
                # Guards against hundreds of gateways that read everything at the same time after a reconnect.
                threading.Event().wait(random.uniform(0, self.spread_s))
            self.reader.clear()
        try:
            if pending.everything or pending.children:
                self.reader.read_folder(pending.nodes)
            for name in pending.nodes & self.reader.node_by_name.keys():
                self.reader.read_node(name)
        except NoNodeError:
            # No backend has ever registered in this folder: its absence does not mean that known ones were removed.
            self.reader.watch_missing_folder()
            log(f"zookeeper: folder missing, path={self.path}")
            return
        except BaseException:
            with self.lock:
                self.must_read_all = True
            raise
        self.has_read_list = True
        self.counters.list_reads += 1
        self._notify_list(pending.deletions)

    def _notify_list(self, handled: dict[str, int]) -> None:
        """Report the list that was read; it covers deletions before the read (`handled`), but no later ones."""
        with self.lock:
            remaining = {n: number for n, number in self.deletion_number_by_node.items() if handled.get(n) != number}
            self.deletion_number_by_node = remaining
            self.backend_by_node = self.reader.backend_by_node(excluded=remaining)
            backends, duplicates = deduplicate_by_name(self.backend_by_node)
            is_changed = backends != self.notified_backends or self.must_notify
            self.notified_backends, self.must_notify = backends, False
            if is_changed:
                self._post(self.listener.on_backends, list(backends.values()))
            else:
                self._post(self.listener.on_confirmed)
        for name in duplicates:
            self.reader.log_unusable(
                name, -len(self.reader.node_by_name), "several nodes name this backend; the newest one is used"
            )
