"""Reader and cache of the backends' nodes in ZooKeeper. Not thread-safe: used by one thread at a time.

A read sets its watch before it fetches the data, so no change is missed between a watch event and the new watch.
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

MAX_NODES: Final = 4_096  # further nodes are ignored, and a line is logged

OnWatchEvent = Callable[[Any], None]  # called on kazoo's threads


@dataclass(slots=True)
class WatcherCounters:
    """Totals since the start."""

    node_reads: int = 0
    list_reads: int = 0
    failures: int = 0
    connects: int = 0
    unusable_nodes: int = 0  # log_unusable counts each change of a node once


@dataclass(slots=True, frozen=True)
class CachedNode:
    """The result of reading one node."""

    backend: Backend | None  # None if the data is invalid or not readable


class NodeReader:
    """Read the folder of nodes and single nodes, set their watches, and cache the result."""

    def __init__(self, client: KazooClient, path: str, on_children: OnWatchEvent, on_node: OnWatchEvent) -> None:
        self.client, self.path = client, path
        self.on_children, self.on_node = on_children, on_node
        self.counters = WatcherCounters()
        self.node_by_name: dict[str, CachedNode] = {}
        self.logged_unusable: set[tuple[str, int]] = set()  # (node name, mzxid)

    def clear(self) -> None:
        """Clear the cache, so that the next read_folder reads every node."""
        self.node_by_name = {}

    def backend_by_node(self, excluded: Collection[str]) -> dict[str, Backend]:
        """Return the backends of the nodes with valid data, by node name, without the `excluded` nodes."""
        return {
            name: node.backend
            for name, node in self.node_by_name.items()
            if node.backend and name not in excluded
        }  # fmt: skip

    def read_folder(self, changed: set[str]) -> None:
        """Read the names of all nodes, then each new or `changed` node; a changed node is removed from the set."""
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

    def watch_missing_folder(self) -> None:
        """Watch for the creation of the folder, which does not exist."""
        self.client.exists(self.path, watch=self.on_children)

    def read_node(self, name: str) -> None:
        """Read one node and cache it; a node with invalid data affects only its own backend."""
        try:
            data, stat = self.client.get(f"{self.path}/{name}", watch=self.on_node)
        except NoNodeError:
            self.node_by_name.pop(name, None)  # deleted meanwhile, which the list of children shows too
            return
        except NoAuthError:
            self.log_unusable(name, 0, "no permission to read it")
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
        """Log why a node is left out, once for each change of the node (`mzxid`)."""
        if (name, mzxid) in self.logged_unusable:
            return
        if len(self.logged_unusable) > MAX_NODES:
            self.logged_unusable.clear()
        self.logged_unusable.add((name, mzxid))
        self.counters.unusable_nodes += 1
        log(f"zookeeper: node left out, path={self.path}/{name}, cause={cause}")
