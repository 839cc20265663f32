"""Backends from ephemeral nodes of a ZooKeeper ensemble, through kazoo. Imported only where it is switched on.

kazoo's threads hold the session and call the watches; one thread of ours reads. What is found out goes to the event
loop, in order. Invariants:
- no change is missed between a watch that fired and its renewal (node_reader.py);
- a read that fails is made again as a whole;
- a list is told only when all of it was read.
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

DELETION_DELAY_S: Final = 0.2  # until it is notified without a list: far under the drain rule's second
CALLBACK_FLUSH_TIMEOUT_S: Final = 1.0  # for kazoo's threads to call back
CONFIRM_INTERVAL_S: Final = 1.0  # between checks whether the list is still the service's
ACL_RETRY_DELAY_S: Final = 5.0  # before what an ACL refuses is asked for again
INITIAL_RETRY_DELAY_S: Final = 0.1  # between reads that fail
MAX_RETRY_DELAY_S: Final = 2.0
# Between connects that fail: doubled each time, spread over its whole length, so that a fleet does not come together.
CONNECTION_RETRY_OPTIONS: Final = {"max_tries": -1, "delay": 0.5, "backoff": 2, "max_jitter": 0.5, "max_delay": 5.0}
DELETED_EVENT: Final = "DELETED"  # kazoo's name


@dataclass(slots=True, frozen=True)
class BackendListener:
    """Who is notified; all are called on the event loop."""

    on_backends: Callable[[list[Backend]], None]  # the complete list, each time that it changed
    on_connection_state: Callable[[ConnectionState], None]
    on_confirmed: Callable[[], None] = lambda: None  # the list is still the service's
    on_deleted: Callable[[str], None] = lambda _name: None  # a backend's node was deleted; no list was read since


@dataclass(slots=True, frozen=True)
class PendingReads:
    """What is to be read."""

    everything: bool
    children: bool
    nodes: set[str]
    deletions: dict[str, int]


class ZookeeperWatcher:
    """Keep the list of backends as the service has it, and notify of changes."""

    def __init__(self, options: ZookeeperSessionOptions, listener: BackendListener) -> None:
        self.loop = asyncio.get_running_loop()
        self.path, self.spread_s = options.path, options.spread_s
        self.listener = listener
        self.wake_event = threading.Event()
        self.lock = threading.Lock()  # of what follows
        self.reads_everything = True
        self.changed_nodes: set[str] = set()
        self.has_changed_children = False
        self.deletion_by_node: dict[str, int] = {}  # nodes that went and were not read anew since
        self.deletions = 0
        self.is_deletion_timer_set = False
        self.catch_ups: list[Callable[[], None]] = []  # who waits for what was sent while the process was stalled
        self.was_connected = False
        self.is_closed = False
        self.backend_by_node: dict[str, Backend] = {}  # what was notified last
        self.notified: dict[str, Backend] | None = None  # the same by backend
        self.must_notify = False  # of the next list, changed or not
        self.client = create_client(options.hosts, options.session_ms, CONNECTION_RETRY_OPTIONS)
        self.client.add_listener(self._on_session_state)
        self.reader = NodeReader(self.client, self.path, self._on_children_changed, self._on_node_changed)
        self.counters = self.reader.counters
        self.reader_thread = threading.Thread(target=self._run, name="zookeeper-reader", daemon=True)

    def start(self) -> None:
        """Begin a session, and to read."""
        self.client.start_async()
        self.reader_thread.start()

    def close(self) -> None:
        """End the session; what it held is nobody's but ours, so nothing waits for it."""
        self.is_closed = True
        self.wake_event.set()
        threading.Thread(target=self._end_session, name="zookeeper-end", daemon=True).start()

    def catch_up(self, done: Callable[[], None]) -> None:
        """Call `done`, on the loop, once all was notified of that this process was told before."""
        with self.lock:
            self.catch_ups.append(done)
        self.wake_event.set()

    def _end_session(self) -> None:
        try:
            self.client.stop()
            self.client.close()
        except Exception as error:
            log(f"zookeeper: session end failed, cause={error!r}")

    def _post(self, callback: Callable[..., None], *values: Any) -> None:
        """Call back on the loop."""
        if self.is_closed:
            return
        try:
            self.loop.call_soon_threadsafe(callback, *values)
        except RuntimeError:
            self.is_closed = True  # the loop has ended

    # From kazoo's threads

    def _on_session_state(self, state: str) -> None:
        self._post(self.listener.on_connection_state, STATE_BY_KAZOO_NAME[state])
        if STATE_BY_KAZOO_NAME[state] is not ConnectionState.CONNECTED:
            return
        self.counters.connects += 1
        with self.lock:
            self.reads_everything = True  # kazoo's watches ended with the connection
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
                self._note_deletion(name)
        self.wake_event.set()

    def _note_deletion(self, name: str) -> None:
        self.deletions += 1
        self.deletion_by_node[name] = self.deletions
        if not self.is_deletion_timer_set:
            self.is_deletion_timer_set = True
            self._post(self._set_deletion_timer)

    # On the loop

    def _set_deletion_timer(self) -> None:
        self.loop.call_later(DELETION_DELAY_S, self._notify_deletions)

    def _notify_deletions(self) -> None:
        """Notify of what was deleted and could not be read anew since: what restricts needs no list.

        Guards against a connection that is lost, or falls silent, between the watch event and the reading.
        """
        with self.lock:
            self.is_deletion_timer_set = False
            for name in self.deletion_by_node:
                deleted = self.backend_by_node.get(name)
                if deleted is None or self.notified is None:
                    continue
                if self.notified.get(deleted.name) == deleted:
                    self.must_notify = True
                    self._post(self.listener.on_deleted, deleted.name)

    # The reader's thread

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
                # Whatever it is: a reader that ends would leave the list as it is for ever.
                log(f"zookeeper: DEFECT: {error!r}")
                self._schedule_retry(MAX_RETRY_DELAY_S)

    def _read_or_confirm(self) -> None:
        waiting = self._flush_callbacks()
        if self._is_read_due():
            self._read()
        else:
            self._confirm()
        self._release_catch_ups(waiting)

    def _is_read_due(self) -> bool:
        """Whether anything is to be read: by what is noted, not by the wake.

        Guards against an event that comes between the end of a wait and the clearing of its flag, or before the
        session counts as up: its wake is lost, and without this the list would stand as it is for ever.
        """
        with self.lock:
            has_changes = self.has_changed_children or self.changed_nodes or self.deletion_by_node
            return bool(self.reads_everything or has_changes or self.catch_ups)

    def _schedule_retry(self, delay_s: float) -> None:
        with self.lock:
            self.reads_everything = True
        threading.Event().wait(delay_s)
        self.wake_event.set()

    def _flush_callbacks(self) -> int:
        """Let kazoo's threads hand over what had come before now; returns how many catch-ups wait for that.

        A notification precedes the answer to what is asked after it, and the threads call back in their order.
        """
        waiting = len(self.catch_ups)
        if waiting:
            self.client.exists(self.path)
            is_flushed = threading.Event()
            self.client.handler.dispatch_callback(Callback("flush", is_flushed.set, ()))
            is_flushed.wait(CALLBACK_FLUSH_TIMEOUT_S)
        return waiting

    def _release_catch_ups(self, count: int) -> None:
        with self.lock:
            released, self.catch_ups = self.catch_ups[:count], self.catch_ups[count:]
        for done in released:
            self._post(done)

    def _confirm(self) -> None:
        """Ask for anything: that it is answered shows that the watches hold."""
        if self.notified is not None:
            self.client.exists(self.path)
            self._post(self.listener.on_confirmed)

    def _take_pending(self) -> PendingReads:
        with self.lock:
            deletions = dict(self.deletion_by_node)
            nodes = self.changed_nodes | deletions.keys()  # what stands under a deleted name is another node
            pending = PendingReads(self.reads_everything, self.has_changed_children, nodes, deletions)
            self.reads_everything, self.has_changed_children, self.changed_nodes = False, False, set()
        return pending

    def _read(self) -> None:
        pending = self._take_pending()
        if pending.everything:
            if self.was_connected and self.spread_s:
                # Guards against hundreds of gateways that all read all of it at once after a reconnect.
                threading.Event().wait(random.uniform(0, self.spread_s))
            self.reader.clear()
        try:
            if pending.everything or pending.children:
                self.reader.read_folder(pending.nodes)
            for name in pending.nodes & self.reader.node_by_name.keys():
                self.reader.read_node(name)
        except NoNodeError:
            # There is no such folder: nobody has registered there, ever. That tells nothing of any backend.
            self.reader.await_folder()
            log(f"zookeeper: folder missing, path={self.path}")
            return
        except BaseException:
            with self.lock:
                self.reads_everything = True
            raise
        self.was_connected = True
        self.counters.list_reads += 1
        self._notify_list(pending.deletions)

    def _notify_list(self, handled: dict[str, int]) -> None:
        """Notify of what was read; deletions from before it began are `handled` with that, later ones are not."""
        with self.lock:
            remaining = {n: number for n, number in self.deletion_by_node.items() if handled.get(n) != number}
            self.deletion_by_node = remaining
            self.backend_by_node = self.reader.backend_by_node(except_for=remaining)
            backends, duplicates = deduplicate_by_name(self.backend_by_node)
            is_changed = backends != self.notified or self.must_notify
            self.notified, self.must_notify = backends, False
            if is_changed:
                self._post(self.listener.on_backends, list(backends.values()))
            else:
                self._post(self.listener.on_confirmed)
        for name in duplicates:
            self.reader.log_unusable(
                name, -len(self.reader.node_by_name), "two nodes name this backend; the newer counts"
            )
