"""The nodes of the service and what changes them. Pure: times and zxids come from outside, no I/O.

Invariants: a change is decided once, by `prepare` on the leader's tree, and applied as it was decided by every
replica, so replicas that have applied the same changes are equal. A multi is one change. Nothing here knows a
connection or a watch: `apply` returns what happened, and the watches of each server hear of it.
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
# Characters that no path may have: controls, surrogates and private use, specials.
FORBIDDEN_CHARACTERS = re.compile("[\x00-\x1f\x7f-\x9f\ud800-\uf8ff\ufff0-\uffff]")


class KeeperError(Exception):
    """A request that is answered with a code; in a multi, at which operation."""

    def __init__(self, code: Code, op_index: int = 0) -> None:
        super().__init__(code.name)
        self.code, self.op_index = code, op_index


@dataclass(slots=True)
class Node:
    data: bytes | None  # None: null
    acl: tuple[Acl, ...]
    stat: Stat
    children: set[str] = field(default_factory=set)

    def full_stat(self) -> Stat:
        return replace(self.stat, data_length=len(self.data or b""), num_children=len(self.children))


# What is decided and applied


@dataclass(slots=True, frozen=True)
class Created:
    path: str
    data: bytes | None
    acl: tuple[Acl, ...]
    owner: int


@dataclass(slots=True, frozen=True)
class Deleted:
    path: str


@dataclass(slots=True, frozen=True)
class DataSet:
    path: str
    data: bytes | None


@dataclass(slots=True, frozen=True)
class AclSet:
    path: str
    acl: tuple[Acl, ...]


@dataclass(slots=True, frozen=True)
class Checked:
    """Of a multi: it was so."""

    path: str


@dataclass(slots=True, frozen=True)
class SessionClosed:
    session: int
    expired: bool = False


Step = Created | Deleted | DataSet | AclSet | Checked


@dataclass(slots=True, frozen=True)
class Change:
    """One change of the whole: its zxid, when, and its steps; a closed session takes its ephemerals along."""

    zxid: int
    time_ms: int
    steps: tuple[Step, ...] = ()
    closed: SessionClosed | None = None


def parent_of(path: str) -> str:
    return path.rpartition("/")[0] or "/"


def name_of(path: str) -> str:
    return path.rpartition("/")[2]


def is_valid(path: str) -> bool:
    """Whether a node may have this path."""
    if path == "/":
        return True
    if not path.startswith("/") or path.endswith("/"):
        return False
    parts = path[1:].split("/")
    return all(part not in ("", ".", "..") for part in parts) and not FORBIDDEN_CHARACTERS.search(path)


def allows(acl: Iterable[Acl], permission: Perm, ids: Iterable[tuple[str, str]]) -> bool:
    """Whether an ACL grants this to somebody who is known by these (scheme, id) pairs."""
    known = {("world", "anyone"), *ids}
    return any(entry.perms & permission and (entry.scheme, entry.id) in known for entry in acl)


class Tree:
    """All nodes, as of `zxid`."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {"/": Node(b"", OPEN_ACL, Stat())}
        self.ephemerals: dict[int, set[str]] = defaultdict(set)
        self.zxid = 0

    def node(self, path: str) -> Node:
        node = self.nodes.get(path)
        if node is None:
            raise KeeperError(Code.NO_NODE)
        return node

    # Deciding

    def prepare(
        self, request: Write | SetAcl | Multi, session: int, ids: Iterable[tuple[str, str]] = ()
    ) -> tuple[Step, ...]:
        """The steps that a request comes to on this tree, which is left as it is; KeeperError where it fails."""
        known = tuple(ids)
        if not isinstance(request, Multi):
            return (_Draft(self, session, known).prepare_step(request),)
        draft, steps = _Draft(self, session, known), list[Step]()
        for index, operation in enumerate(request.ops):
            try:
                steps.append(draft.prepare_step(operation))
            except KeeperError as error:
                raise KeeperError(error.code, index) from None
        return tuple(steps)

    # Applying

    def apply(self, change: Change) -> list[Event]:
        """Apply what was decided; returns what happened, in order, deletions of a closed session at the end."""
        self.zxid = change.zxid
        events: list[Event] = []
        for step in change.steps:
            events += self.apply_step(step, change)
        if change.closed is not None:
            # Sorted: every replica deletes in the same order.
            for path in sorted(self.ephemerals.pop(change.closed.session, ()), reverse=True):
                if path in self.nodes:
                    events += self.apply_step(Deleted(path), change)
        return events

    def apply_step(self, step: Step, change: Change) -> list[Event]:
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
        parent = self.nodes[parent_of(path)]
        parent.stat = replace(parent.stat, cversion=parent.stat.cversion + 1, pzxid=change.zxid)
        return parent.children


class _Draft:
    """The tree as it would be after the steps decided so far: what a multi's later operations see."""

    def __init__(self, tree: Tree, session: int, ids: tuple[tuple[str, str], ...]) -> None:
        self.tree, self.session, self.ids = tree, session, ids
        self.changed: dict[str, Node | None] = {}  # None: deleted
        self.child_counts: dict[str, int] = {}  # of children, where that may have changed

    def get_node(self, path: str) -> Node:
        if path in self.changed:
            node = self.changed[path]
            if node is None:
                raise KeeperError(Code.NO_NODE)
            return node
        return self.tree.node(path)

    def copy_for_change(self, path: str) -> Node:
        """A copy that may be changed, but for its children: they are counted, not copied."""
        node = self.get_node(path)
        if path not in self.changed:
            self.child_counts[path] = len(node.children)
            node = self.changed[path] = Node(node.data, node.acl, node.stat)
        return node

    def has_node(self, path: str) -> bool:
        return self.changed[path] is not None if path in self.changed else path in self.tree.nodes

    def require_permission(self, node: Node, permission: Perm) -> None:
        if not allows(node.acl, permission, self.ids):
            raise KeeperError(Code.NO_AUTH)

    def prepare_step(self, request: Write | SetAcl) -> Step:
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
        if expected not in (-1, node.stat.version):
            raise KeeperError(Code.BAD_VERSION)

    def resolve_acl(self, acl: tuple[Acl, ...]) -> tuple[Acl, ...]:
        """An ACL with `auth` put into the ids that the session has; none at all is invalid."""
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
        return tuple(dict.fromkeys(resolved))  # each once

    def create(self, request: Create) -> Created:
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
    """Whether the leader decides it."""
    return op in WRITES


WRITES = frozenset(
    {Op.CREATE, Op.CREATE2, Op.CREATE_CONTAINER, Op.DELETE, Op.SET_DATA, Op.SET_ACL, Op.MULTI, Op.CLOSE_SESSION}
)
