"""Read backends' nodes from the coordination service, and keep what was read. Used by one thread at a time.

A read sets its watch before it gets its data, so no change is missed between a watch that fired and its renewal.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Any, Final

from kazoo.client import KazooClient
from kazoo.exceptions import NoAuthError, NoNodeError

from cloverkeel.core.log import log
from cloverkeel.discovery.errors import NodeDataError
from cloverkeel.discovery.node_codec import decode_backend
from cloverkeel.discovery.backend import Backend

MAX_NODES: Final = 4_096  # more are left out, and that is logged

OnWatchEvent = Callable[[Any], None]  # called by kazoo's threads


@dataclass(slots=True)
class WatcherCounters:
    """What was done since the start."""

    node_reads: int = 0
    list_reads: int = 0
    failures: int = 0
    connects: int = 0
    unusable_nodes: int = 0


@dataclass(slots=True, frozen=True)
class CachedNode:
    """One node as it was read."""

    backend: Backend | None  # None: its data cannot be used


class NodeReader:
    """Read the folder of nodes, and single nodes, and set their watches."""

    def __init__(self, client: KazooClient, path: str, on_children: OnWatchEvent, on_node: OnWatchEvent) -> None:
        self.client, self.path = client, path
        self.on_children, self.on_node = on_children, on_node
        self.counters = WatcherCounters()
        self.node_by_name: dict[str, CachedNode] = {}
        self.logged_unusable: set[tuple[str, int]] = set()  # node and mzxid

    def clear(self) -> None:
        """Forget what was read: everything is read anew."""
        self.node_by_name = {}

    def backend_by_node(self, except_for: Collection[str]) -> dict[str, Backend]:
        """Return the backends of the nodes that can be used, by node."""
        return {
            name: node.backend
            for name, node in self.node_by_name.items()
            if node.backend and name not in except_for
        }  # fmt: skip

    def read_folder(self, changed: set[str]) -> None:
        """Read the names of all nodes, then those that are new or `changed`; the latter are taken off the set."""
        names = sorted(self.client.get_children(self.path, watch=self.on_children))
        if len(names) > MAX_NODES:
            log(f"zookeeper: too many nodes, count={len(names)}, read={MAX_NODES}")
            names = names[:MAX_NODES]
        for name in self.node_by_name.keys() - set(names):
            del self.node_by_name[name]
        for name in names:
            if name not in self.node_by_name or name in changed:
                self.read_node(name)
                changed.discard(name)

    def await_folder(self) -> None:
        """Set the watch on a folder that does not exist."""
        self.client.exists(self.path, watch=self.on_children)

    def read_node(self, name: str) -> None:
        """Read one node; what cannot be used leaves out that backend alone."""
        try:
            data, stat = self.client.get(f"{self.path}/{name}", watch=self.on_node)
        except NoNodeError:
            self.node_by_name.pop(name, None)  # it was deleted since: the list of children shows that too
            return
        except NoAuthError:
            self.log_unusable(name, 0, "it may not be read")
            self.node_by_name[name] = CachedNode(None)
            return
        self.counters.node_reads += 1
        backend = None
        try:
            backend = decode_backend(data, stat.czxid)
        except NodeDataError as error:
            self.log_unusable(name, stat.mzxid, str(error))
        self.node_by_name[name] = CachedNode(backend)

    def log_unusable(self, name: str, mzxid: int, cause: str) -> None:
        """Log once, for each change of a node, why it is left out."""
        if (name, mzxid) in self.logged_unusable:
            return
        if len(self.logged_unusable) > MAX_NODES:
            self.logged_unusable.clear()
        self.logged_unusable.add((name, mzxid))
        self.counters.unusable_nodes += 1
        log(f"zookeeper: node left out, path={self.path}/{name}, cause={cause}")
