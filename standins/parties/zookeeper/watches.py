"""The watches of one server, and which watchers an event notifies. Pure.

Invariants: a one-shot watch triggers once, a persistent one until it is removed. One connection is notified of one
event once, however many of its watches match. The watches of a connection are removed when it closes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Hashable, Iterable
from enum import Enum

from standins.parties.zookeeper.jute import EventType, SetWatches
from standins.parties.zookeeper.tree import Event, Tree, parent_of

Watcher = Hashable


class WatchKind(Enum):
    """Kinds of watches."""

    DATA = "data"  # of a node that exists or may be created
    CHILD = "child"
    PERSISTENT = "persistent"
    RECURSIVE = "recursive"


ONE_SHOT_KINDS = (WatchKind.DATA, WatchKind.CHILD)
# Kinds that an event on the watched path triggers. A recursive watch gets no events for lists of children.
KINDS_BY_EVENT_TYPE = {
    EventType.CREATED: (WatchKind.DATA, WatchKind.PERSISTENT, WatchKind.RECURSIVE),
    EventType.DELETED: (WatchKind.DATA, WatchKind.CHILD, WatchKind.PERSISTENT, WatchKind.RECURSIVE),
    EventType.DATA_CHANGED: (WatchKind.DATA, WatchKind.PERSISTENT, WatchKind.RECURSIVE),
    EventType.CHILDREN_CHANGED: (WatchKind.CHILD, WatchKind.PERSISTENT),
}


class Watches:
    """Watches by kind and path, and by watcher."""

    def __init__(self) -> None:
        self.by_path: dict[WatchKind, dict[str, set[Watcher]]] = {kind: defaultdict(set) for kind in WatchKind}
        self.by_watcher: dict[Watcher, set[tuple[WatchKind, str]]] = defaultdict(set)

    def __len__(self) -> int:
        return sum(len(paths) for paths in self.by_watcher.values())

    def add(self, watcher: Watcher, kind: WatchKind, path: str) -> None:
        """Set a watch."""
        self.by_path[kind][path].add(watcher)
        self.by_watcher[watcher].add((kind, path))

    def remove(self, watcher: Watcher, kind: WatchKind, path: str) -> bool:
        """Remove a watch; return whether it was set."""
        if (kind, path) not in self.by_watcher.get(watcher, ()):
            return False
        self.by_watcher[watcher].discard((kind, path))
        if not self.by_watcher[watcher]:
            del self.by_watcher[watcher]
        watchers = self.by_path[kind][path]
        watchers.discard(watcher)
        if not watchers:
            del self.by_path[kind][path]
        return True

    def has_watch(self, watcher: Watcher, kinds: Iterable[WatchKind], path: str) -> bool:
        """Return whether the watcher has a watch of one of these kinds on the path."""
        return any((kind, path) in self.by_watcher.get(watcher, ()) for kind in kinds)

    def remove_watcher(self, watcher: Watcher) -> None:
        """Remove all watches of a watcher."""
        for kind, path in list(self.by_watcher.get(watcher, ())):
            self.remove(watcher, kind, path)

    def trigger(self, events: Iterable[Event]) -> list[tuple[Watcher, Event]]:
        """Return which watcher gets which event, in order, and remove the triggered one-shot watches."""
        notifications: list[tuple[Watcher, Event]] = []
        for event in events:
            type_, path = event
            watchers: dict[Watcher, None] = {}
            for kind in KINDS_BY_EVENT_TYPE[type_]:
                for watched_path in ancestors(path) if kind is WatchKind.RECURSIVE else (path,):
                    for watcher in sorted(self.by_path[kind].get(watched_path, ()), key=id):
                        watchers[watcher] = None
                        if kind in ONE_SHOT_KINDS:
                            self.remove(watcher, kind, path)
            notifications += [(watcher, event) for watcher in watchers]
        return notifications

    def restore(self, watcher: Watcher, request: SetWatches, tree: Tree) -> list[Event]:
        """Set again the watches of a client that reconnected; return the events that it missed."""
        missed: list[Event] = []
        for path in request.data:
            node = tree.nodes.get(path)
            if node is None:
                missed.append((EventType.DELETED, path))
            elif node.stat.mzxid > request.zxid:
                missed.append((EventType.DATA_CHANGED, path))
            else:
                self.add(watcher, WatchKind.DATA, path)
        for path in request.exist:
            if path in tree.nodes:
                missed.append((EventType.CREATED, path))
            else:
                self.add(watcher, WatchKind.DATA, path)
        for path in request.child:
            node = tree.nodes.get(path)
            if node is None:
                missed.append((EventType.DELETED, path))
            elif node.stat.pzxid > request.zxid:
                missed.append((EventType.CHILDREN_CHANGED, path))
            else:
                self.add(watcher, WatchKind.CHILD, path)
        for path in request.persistent:
            self.add(watcher, WatchKind.PERSISTENT, path)
        for path in request.recursive:
            self.add(watcher, WatchKind.RECURSIVE, path)
        return missed


def ancestors(path: str) -> list[str]:
    """Return the path itself and all paths above it."""
    paths = [path]
    while path != "/":
        path = parent_of(path)
        paths.append(path)
    return paths
