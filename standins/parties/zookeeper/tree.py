"""The nodes of the service and the changes to them. Pure: times and zxids are passed in, no I/O.

Invariants: `prepare` decides each change once, on the leader's tree, and every replica applies it as decided, so
replicas that have applied the same changes are equal. A multi is one change. The tree knows no connections and no
watches: `apply` returns the events, and each server triggers its watches with them.
"""

from __future__ import annotations

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from standins.parties.zookeeper.jute import (
    OPEN_ACL,
    SEQUENCE_DIGITS,
    Acl,
    Check,
    Code,
    Create,
    Delete,
    EventType,
    Mode,
    Multi,
    Op,
    Perm,
    SetAcl,
    SetData,
    Stat,
    Write,
)

Event = tuple[EventType, str]
# Characters that no path may contain: control characters, surrogates, private use and specials.
FORBIDDEN_CHARACTERS = re.compile("[\x00-\x1f\x7f-\x9f\ud800-\uf8ff\ufff0-\uffff]")


class KeeperError(Exception):
    """A request that fails with an error code; in a multi, `op_index` is the index of the failed operation."""

    def __init__(self, code: Code, op_index: int = 0) -> None:
        super().__init__(code.name)
        self.code, self.op_index = code, op_index


@dataclass(slots=True)
class Node:
    """A node with its ACL, its stat and the names of its children."""

    data: bytes | None  # None: the protocol's null
    acl: tuple[Acl, ...]
    stat: Stat
    children: set[str] = field(default_factory=set)

    def full_stat(self) -> Stat:
        """Return the stat with the data length and the number of children."""
        return replace(self.stat, data_length=len(self.data or b""), num_children=len(self.children))


# Changes


@dataclass(slots=True, frozen=True)
class Created:
    """A node to create; `owner` is the session of an ephemeral node, else 0."""

    path: str
    data: bytes | None
    acl: tuple[Acl, ...]
    owner: int


@dataclass(slots=True, frozen=True)
class Deleted:
    """A node to delete."""

    path: str


@dataclass(slots=True, frozen=True)
class DataSet:
    """New data of a node."""

    path: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class AclSet:
    """New ACL of a node."""

    path: str
    acl: tuple[Acl, ...]


@dataclass(slots=True, frozen=True)
class Checked:
    """A version check that succeeded; an operation of a multi."""

    path: str


@dataclass(slots=True, frozen=True)
class SessionClosed:
    """The end of a session."""

    session: int
    expired: bool = False


Step = Created | Deleted | DataSet | AclSet | Checked


@dataclass(slots=True, frozen=True)
class Change:
    """One change of the tree; `closed_session` is a session that ends, and whose ephemeral nodes are deleted."""

    zxid: int
    time_ms: int
    steps: tuple[Step, ...] = ()
    closed_session: SessionClosed | None = None


def parent_of(path: str) -> str:
    """Return the path of the parent."""
    return path.rpartition("/")[0] or "/"


def name_of(path: str) -> str:
    """Return the last part of the path."""
    return path.rpartition("/")[2]


def is_valid(path: str) -> bool:
    """Return whether a node may have this path."""
    if path == "/":
        return True
    if not path.startswith("/") or path.endswith("/"):
        return False
    parts = path[1:].split("/")
    return all(part not in ("", ".", "..") for part in parts) and not FORBIDDEN_CHARACTERS.search(path)


def allows(acl: Iterable[Acl], permission: Perm, ids: Iterable[tuple[str, str]]) -> bool:
    """Return whether an ACL grants the permission to a client with these (scheme, id) pairs."""
    identities = {("world", "anyone"), *ids}
    return any(entry.perms & permission and (entry.scheme, entry.id) in identities for entry in acl)


class Tree:
    """All nodes after the change `zxid`."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {"/": Node(b"", OPEN_ACL, Stat())}
        self.ephemerals: dict[int, set[str]] = defaultdict(set)
        self.zxid = 0

    def node(self, path: str) -> Node:
        """Return the node; KeeperError if there is none."""
        node = self.nodes.get(path)
        if node is None:
            raise KeeperError(Code.NO_NODE)
        return node

    # Preparing changes

    def prepare(
        self, request: Write | SetAcl | Multi, session: int, ids: Iterable[tuple[str, str]] = ()
    ) -> tuple[Step, ...]:
        """Return the steps that the request leads to, without applying them; KeeperError if it fails."""
        identities = tuple(ids)
        if not isinstance(request, Multi):
            return (_Draft(self, session, identities).prepare_step(request),)
        draft, steps = _Draft(self, session, identities), list[Step]()
        for index, operation in enumerate(request.ops):
            try:
                steps.append(draft.prepare_step(operation))
            except KeeperError as error:
                raise KeeperError(error.code, index) from None
        return tuple(steps)

    # Applying changes

    def apply(self, change: Change) -> list[Event]:
        """Apply a change and return its events in order; the deletions of a closed session come last."""
        self.zxid = change.zxid
        events: list[Event] = []
        for step in change.steps:
            events += self.apply_step(step, change)
        if change.closed_session is not None:
            # Sorted, so that every replica deletes in the same order.
            for path in sorted(self.ephemerals.pop(change.closed_session.session, ()), reverse=True):
                if path in self.nodes:
                    events += self.apply_step(Deleted(path), change)
        return events

    def apply_step(self, step: Step, change: Change) -> list[Event]:
        """Apply one step and return its events."""
        match step:
            case Created(path, data, acl, owner):
                stat = Stat(change.zxid, change.zxid, change.time_ms, change.time_ms, pzxid=change.zxid)
                self.nodes[path] = Node(data, acl, replace(stat, ephemeral_owner=owner))
                if owner:
                    self.ephemerals[owner].add(path)
                self.update_parent(path, change).add(name_of(path))
                return [(EventType.CREATED, path), (EventType.CHILDREN_CHANGED, parent_of(path))]
            case Deleted(path):
                node = self.nodes.pop(path)
                owner = node.stat.ephemeral_owner
                if owner and owner in self.ephemerals:
                    self.ephemerals[owner].discard(path)
                    if not self.ephemerals[owner]:
                        del self.ephemerals[owner]
                self.update_parent(path, change).discard(name_of(path))
                return [(EventType.DELETED, path), (EventType.CHILDREN_CHANGED, parent_of(path))]
            case DataSet(path, data):
                node = self.nodes[path]
                node.data = data
                node.stat = replace(node.stat, mzxid=change.zxid, mtime=change.time_ms, version=node.stat.version + 1)
                return [(EventType.DATA_CHANGED, path)]
            case AclSet(path, acl):
                node = self.nodes[path]
                node.acl, node.stat = acl, replace(node.stat, aversion=node.stat.aversion + 1)
                return []
            case Checked():
                return []

    def update_parent(self, path: str, change: Change) -> set[str]:
        """Count a change of the parent's children in its stat and return their names."""
        parent = self.nodes[parent_of(path)]
        parent.stat = replace(parent.stat, cversion=parent.stat.cversion + 1, pzxid=change.zxid)
        return parent.children


class _Draft:
    """The tree as it would be after the steps prepared so far, which the later operations of a multi see."""

    def __init__(self, tree: Tree, session: int, ids: tuple[tuple[str, str], ...]) -> None:
        self.tree, self.session, self.ids = tree, session, ids
        self.changed: dict[str, Node | None] = {}  # None: deleted
        self.child_counts: dict[str, int] = {}  # by path, where the number of children may have changed

    def get_node(self, path: str) -> Node:
        """Return the node; KeeperError if there is none."""
        if path in self.changed:
            node = self.changed[path]
            if node is None:
                raise KeeperError(Code.NO_NODE)
            return node
        return self.tree.node(path)

    def copy_for_change(self, path: str) -> Node:
        """Return a copy of the node that may be changed. Its children are counted in `child_counts`, not copied."""
        node = self.get_node(path)
        if path not in self.changed:
            self.child_counts[path] = len(node.children)
            node = self.changed[path] = Node(node.data, node.acl, node.stat)
        return node

    def has_node(self, path: str) -> bool:
        """Return whether the node exists."""
        return self.changed[path] is not None if path in self.changed else path in self.tree.nodes

    def require_permission(self, node: Node, permission: Perm) -> None:
        """Raise KeeperError unless the session has the permission for this node."""
        if not allows(node.acl, permission, self.ids):
            raise KeeperError(Code.NO_AUTH)

    def prepare_step(self, request: Write | SetAcl) -> Step:
        """Check one request and return its step; KeeperError if it fails."""
        if not is_valid(request.path) and not (isinstance(request, Create) and request.path.endswith("/")):
            raise KeeperError(Code.BAD_ARGUMENTS)
        match request:
            case Create():
                return self.create(request)
            case Check():
                node = self.get_node(request.path)
                self.require_permission(node, Perm.READ)
                self.check_version(node, request.version)
                return Checked(request.path)
            case Delete():
                return self.delete(request)
            case SetData():
                node = self.copy_for_change(request.path)
                self.require_permission(node, Perm.WRITE)
                self.check_version(node, request.version)
                node.data, node.stat = request.data, replace(node.stat, version=node.stat.version + 1)
                return DataSet(request.path, request.data)
            case SetAcl():
                node = self.copy_for_change(request.path)
                self.require_permission(node, Perm.ADMIN)
                if request.version not in (-1, node.stat.aversion):
                    raise KeeperError(Code.BAD_VERSION)
                return AclSet(request.path, self.resolve_acl(request.acl))

    def check_version(self, node: Node, expected: int) -> None:
        """Raise KeeperError unless the node has the expected version; -1 accepts any."""
        if expected not in (-1, node.stat.version):
            raise KeeperError(Code.BAD_VERSION)

    def resolve_acl(self, acl: tuple[Acl, ...]) -> tuple[Acl, ...]:
        """Return the ACL with `auth` entries replaced by the session's ids; an empty result is an invalid ACL."""
        resolved: list[Acl] = []
        for entry in acl:
            if entry.scheme == "auth":
                resolved += [Acl(entry.perms, scheme, id_) for scheme, id_ in self.ids]
            elif entry.scheme in ("world", "digest", "ip"):
                resolved.append(entry)
            else:
                raise KeeperError(Code.INVALID_ACL)
        if not resolved:
            raise KeeperError(Code.INVALID_ACL)
        return tuple(dict.fromkeys(resolved))  # without duplicates

    def create(self, request: Create) -> Created:
        """Check a creation and return its step."""
        try:
            mode = Mode(request.flags)
        except ValueError:
            raise KeeperError(Code.BAD_ARGUMENTS) from None
        parent_path = parent_of(request.path)
        if not is_valid(parent_path):
            raise KeeperError(Code.BAD_ARGUMENTS)
        parent = self.copy_for_change(parent_path)
        path = request.path
        if mode.is_sequential:
            path += f"{parent.stat.cversion:0{SEQUENCE_DIGITS}d}"
        if path == "/" or not is_valid(path):
            raise KeeperError(Code.NODE_EXISTS if path == "/" else Code.BAD_ARGUMENTS)
        self.require_permission(parent, Perm.CREATE)
        if self.has_node(path):
            raise KeeperError(Code.NODE_EXISTS)
        if parent.stat.ephemeral_owner:
            raise KeeperError(Code.NO_CHILDREN_FOR_EPHEMERALS)
        acl = self.resolve_acl(request.acl)
        owner = self.session if mode.is_ephemeral else 0
        self.child_counts[parent_path] += 1
        parent.stat = replace(parent.stat, cversion=parent.stat.cversion + 1)
        self.child_counts[path] = 0
        self.changed[path] = Node(request.data, acl, Stat(ephemeral_owner=owner))
        return Created(path, request.data, acl, owner)

    def delete(self, request: Delete) -> Deleted:
        """Check a deletion and return its step."""
        if request.path == "/":
            raise KeeperError(Code.BAD_ARGUMENTS)
        node = self.get_node(request.path)
        parent = self.copy_for_change(parent_of(request.path))
        self.require_permission(parent, Perm.DELETE)
        self.check_version(node, request.version)
        if self.child_counts.get(request.path, len(node.children)):
            raise KeeperError(Code.NOT_EMPTY)
        self.child_counts[parent_of(request.path)] -= 1
        parent.stat = replace(parent.stat, cversion=parent.stat.cversion + 1)
        self.changed[request.path] = None
        return Deleted(request.path)


def is_write(op: Op) -> bool:
    """Return whether requests of this type change the tree, so that the leader decides them."""
    return op in WRITES


WRITES = frozenset(
    {Op.CREATE, Op.CREATE2, Op.CREATE_CONTAINER, Op.DELETE, Op.SET_DATA, Op.SET_ACL, Op.MULTI, Op.CLOSE_SESSION}
)
