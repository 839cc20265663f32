"""Records of the ZooKeeper client protocol, encoded and decoded. No I/O, no time.

Source: the protocol's published record definitions (zookeeper.jute) and the programmer's guide. Integers are
big-endian. A string or buffer is its length and its bytes, with length -1 for null; a vector is its count and its
items; a message on TCP is its length (four bytes) and its bytes.

Bytes that cannot be decoded raise JuteError, whatever they are. Nothing here allocates more than the message holds.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import astuple, dataclass, field
from enum import IntEnum
from typing import TypeVar

MAX_PACKET_BYTES = 0xFFFFF  # jute.maxbuffer: a longer message closes its connection
WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8
SEQUENCE_DIGITS = 10

_INT, _LONG = struct.Struct(">i"), struct.Struct(">q")
_STAT = struct.Struct(">qqqqiiiqiiq")
T = TypeVar("T")


class Op(IntEnum):
    """Request types."""

    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    GET_ACL = 6
    SET_ACL = 7
    GET_CHILDREN = 8
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    CHECK = 13
    MULTI = 14
    CREATE2 = 15
    CHECK_WATCHES = 17
    REMOVE_WATCHES = 18
    CREATE_CONTAINER = 19
    CREATE_TTL = 21
    AUTH = 100
    SET_WATCHES = 101
    GET_EPHEMERALS = 103
    GET_ALL_CHILDREN_NUMBER = 104
    SET_WATCHES2 = 105
    ADD_WATCH = 106
    CLOSE_SESSION = -11
    ERROR = -1


class Code(IntEnum):
    """Error codes of replies."""

    OK = 0
    SYSTEM_ERROR = -1
    RUNTIME_INCONSISTENCY = -2
    CONNECTION_LOSS = -4
    MARSHALLING_ERROR = -5
    UNIMPLEMENTED = -6
    OPERATION_TIMEOUT = -7
    BAD_ARGUMENTS = -8
    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    INVALID_ACL = -114
    AUTH_FAILED = -115
    SESSION_MOVED = -118
    NOT_READ_ONLY = -119
    NO_WATCHER = -121


class EventType(IntEnum):
    """Types of watch events."""

    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4


class KeeperState(IntEnum):
    """States of a client's connection, as watch events carry them."""

    DISCONNECTED = 0
    SYNC_CONNECTED = 3
    CONNECTED_READ_ONLY = 5
    EXPIRED = -112


class Perm(IntEnum):
    """Permissions of an ACL, as bits."""

    READ = 1
    WRITE = 2
    CREATE = 4
    DELETE = 8
    ADMIN = 16
    ALL = 31


class Mode(IntEnum):
    """Kinds of nodes: the flags of a create request."""

    PERSISTENT = 0
    EPHEMERAL = 1
    PERSISTENT_SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3
    CONTAINER = 4

    @property
    def is_ephemeral(self) -> bool:
        """Return whether the node is deleted with its session."""
        return self in (Mode.EPHEMERAL, Mode.EPHEMERAL_SEQUENTIAL)

    @property
    def is_sequential(self) -> bool:
        """Return whether the node's name gets a sequence number."""
        return self in (Mode.PERSISTENT_SEQUENTIAL, Mode.EPHEMERAL_SEQUENTIAL)


class JuteError(ValueError):
    """Bytes that are not a record of the expected type."""


class Reader:
    """Reads consecutive values from one message."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    @property
    def remaining_bytes(self) -> int:
        """Return the number of bytes not yet read."""
        return len(self.data) - self.position

    def read_bytes(self, size: int) -> bytes:
        """Read a fixed number of bytes."""
        if size < 0 or size > self.remaining_bytes:
            raise JuteError(f"{size} bytes expected, {self.remaining_bytes} left")
        data = self.data[self.position : self.position + size]
        self.position += size
        return data

    def int32(self) -> int:
        """Read an int."""
        value: int = _INT.unpack(self.read_bytes(4))[0]
        return value

    def int64(self) -> int:
        """Read a long."""
        value: int = _LONG.unpack(self.read_bytes(8))[0]
        return value

    def boolean(self) -> bool:
        """Read a boolean."""
        byte = self.read_bytes(1)[0]
        if byte > 1:
            raise JuteError(f"a boolean is 0 or 1, found {byte}")
        return byte == 1

    def buffer(self) -> bytes | None:
        """Read a buffer; None for null."""
        size = self.int32()
        return None if size == -1 else self.read_bytes(size)

    def text(self) -> str:
        """Read a string; empty for null."""
        data = self.buffer()
        try:
            return (data or b"").decode()
        except UnicodeDecodeError:
            raise JuteError("a string is not UTF-8") from None

    def vector(self, item: Callable[[], T]) -> list[T]:
        """Read a vector, each item with `item`."""
        count = self.int32()
        if count > self.remaining_bytes:  # an item has at least one byte
            raise JuteError(f"a vector of {count} items does not fit into the remaining {self.remaining_bytes} bytes")
        return [item() for _ in range(max(count, 0))]

    def expect_end(self) -> None:
        """Raise JuteError if bytes follow the record."""
        if self.remaining_bytes:
            raise JuteError(f"{self.remaining_bytes} bytes follow the record")


class Writer:
    """Collects encoded values; `data` is the message so far."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    @property
    def data(self) -> bytes:
        """Return the bytes written so far."""
        return b"".join(self.parts)

    def int32(self, value: int) -> Writer:
        """Write an int."""
        self.parts.append(_INT.pack(value))
        return self

    def int64(self, value: int) -> Writer:
        """Write a long."""
        self.parts.append(_LONG.pack(value))
        return self

    def boolean(self, value: bool) -> Writer:
        """Write a boolean."""
        self.parts.append(b"\x01" if value else b"\x00")
        return self

    def buffer(self, value: bytes | None) -> Writer:
        """Write a buffer; None is null."""
        if value is None:
            return self.int32(-1)
        self.int32(len(value))
        self.parts.append(value)
        return self

    def text(self, value: str) -> Writer:
        """Write a string."""
        return self.buffer(value.encode())

    def vector(self, values: list[T], item: Callable[[T], object]) -> Writer:
        """Write a vector, each item with `item`."""
        self.int32(len(values))
        for value in values:
            item(value)
        return self

    def raw(self, value: bytes) -> Writer:
        """Write encoded bytes."""
        self.parts.append(value)
        return self


def frame(payload: bytes) -> bytes:
    """Return the message with its length, as it is sent on TCP."""
    return _INT.pack(len(payload)) + payload


class Deframer:
    """Splits a stream into messages; JuteError for a negative or too large length."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the messages that they complete."""
        self.buffer += data
        messages: list[bytes] = []
        offset = 0
        while len(self.buffer) - offset >= 4:
            (size,) = _INT.unpack_from(self.buffer, offset)
            if not 0 <= size <= MAX_PACKET_BYTES:
                raise JuteError(f"message length {size} is negative or too large")
            if len(self.buffer) - offset < 4 + size:
                break
            messages.append(self.buffer[offset + 4 : offset + 4 + size])
            offset += 4 + size
        self.buffer = self.buffer[offset:]
        return messages


# Records


@dataclass(slots=True, frozen=True)
class Acl:
    """One entry of an access control list."""

    perms: int
    scheme: str
    id: str

    def write(self, writer: Writer) -> None:
        writer.int32(self.perms).text(self.scheme).text(self.id)

    @classmethod
    def read(cls, reader: Reader) -> Acl:
        return cls(reader.int32(), reader.text(), reader.text())


OPEN_ACL = (Acl(Perm.ALL, "world", "anyone"),)


@dataclass(slots=True, frozen=True)
class Stat:
    """A node's stat: zxids of its creation, last change and last change of children; times in Unix milliseconds."""

    czxid: int = 0
    mzxid: int = 0
    ctime: int = 0
    mtime: int = 0
    version: int = 0
    cversion: int = 0
    aversion: int = 0
    ephemeral_owner: int = 0  # session id; 0: not ephemeral
    data_length: int = 0
    num_children: int = 0
    pzxid: int = 0

    def write(self, writer: Writer) -> None:
        writer.raw(_STAT.pack(*astuple(self)))

    @classmethod
    def read(cls, reader: Reader) -> Stat:
        return cls(*_STAT.unpack(reader.read_bytes(_STAT.size)))


@dataclass(slots=True, frozen=True)
class ConnectRequest:
    """The first message of a client, which opens or resumes a session."""

    protocol: int = 0
    last_zxid: int = 0
    timeout_ms: int = 10_000
    session: int = 0
    password: bytes = b"\x00" * 16
    read_only: bool | None = False  # None: from a client older than read-only mode, which leaves out the field

    def encode(self) -> bytes:
        writer = Writer().int32(self.protocol).int64(self.last_zxid).int32(self.timeout_ms).int64(self.session)
        writer.buffer(self.password)
        return (writer if self.read_only is None else writer.boolean(self.read_only)).data

    @classmethod
    def decode(cls, data: bytes) -> ConnectRequest:
        reader = Reader(data)
        head = (reader.int32(), reader.int64(), reader.int32(), reader.int64(), reader.buffer() or b"")
        read_only = reader.boolean() if reader.remaining_bytes else None
        reader.expect_end()
        return cls(*head, read_only)


@dataclass(slots=True, frozen=True)
class ConnectResponse:
    """The first message of a server."""

    timeout_ms: int  # 0: the session does not exist or the password is wrong
    session: int
    password: bytes
    read_only: bool | None = False
    protocol: int = 0

    def encode(self) -> bytes:
        writer = Writer().int32(self.protocol).int32(self.timeout_ms).int64(self.session).buffer(self.password)
        return (writer if self.read_only is None else writer.boolean(self.read_only)).data

    @classmethod
    def decode(cls, data: bytes) -> ConnectResponse:
        reader = Reader(data)
        protocol, timeout_ms, session, password = (
            reader.int32(),
            reader.int32(),
            reader.int64(),
            reader.buffer() or b"",
        )
        read_only = reader.boolean() if reader.remaining_bytes else None
        reader.expect_end()
        return cls(timeout_ms, session, password, read_only, protocol)


@dataclass(slots=True, frozen=True)
class ReplyHeader:
    """The header of a reply."""

    xid: int
    zxid: int
    err: int = Code.OK

    def encode(self, body: bytes = b"") -> bytes:
        return Writer().int32(self.xid).int64(self.zxid).int32(self.err).data + body

    @classmethod
    def read(cls, reader: Reader) -> ReplyHeader:
        return cls(reader.int32(), reader.int64(), reader.int32())


@dataclass(slots=True, frozen=True)
class WatcherEvent:
    """Notification of a triggered watch."""

    type: EventType
    path: str
    state: int = KeeperState.SYNC_CONNECTED

    def encode(self, zxid: int = -1) -> bytes:
        body = Writer().int32(self.type).int32(self.state).text(self.path).data
        return ReplyHeader(WATCH_XID, zxid).encode(body)


@dataclass(slots=True, frozen=True)
class Create:
    """CREATE, CREATE2 or CREATE_CONTAINER."""

    path: str
    data: bytes | None = b""  # None: null, which differs from empty
    acl: tuple[Acl, ...] = OPEN_ACL
    flags: int = Mode.PERSISTENT
    op: Op = Op.CREATE

    def write(self, writer: Writer) -> None:
        writer.text(self.path).buffer(self.data)
        writer.vector(list(self.acl), lambda acl: acl.write(writer)).int32(self.flags)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> Create:
        path, data = reader.text(), reader.buffer()
        return cls(path, data, tuple(reader.vector(lambda: Acl.read(reader))), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class Delete:
    """Deletes a node if it has this version; -1 accepts any."""

    path: str
    version: int = -1
    op: Op = Op.DELETE

    def write(self, writer: Writer) -> None:
        writer.text(self.path).int32(self.version)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> Delete:
        return cls(reader.text(), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class Check(Delete):
    """Fails unless the node has this version; changes nothing."""

    op: Op = Op.CHECK


@dataclass(slots=True, frozen=True)
class SetData:
    """Sets a node's data if the node has this version."""

    path: str
    data: bytes | None
    version: int = -1
    op: Op = Op.SET_DATA

    def write(self, writer: Writer) -> None:
        writer.text(self.path).buffer(self.data).int32(self.version)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> SetData:
        return cls(reader.text(), reader.buffer(), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class SetAcl:
    """Sets a node's ACL if the ACL has this version."""

    path: str
    acl: tuple[Acl, ...]
    version: int = -1
    op: Op = Op.SET_ACL

    def write(self, writer: Writer) -> None:
        writer.text(self.path).vector(list(self.acl), lambda acl: acl.write(writer)).int32(self.version)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> SetAcl:
        return cls(reader.text(), tuple(reader.vector(lambda: Acl.read(reader))), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class Read:
    """EXISTS, GET_DATA, GET_CHILDREN or GET_CHILDREN2; `watch` sets a one-shot watch."""

    path: str
    watch: bool = False
    op: Op = Op.GET_DATA

    def write(self, writer: Writer) -> None:
        writer.text(self.path).boolean(self.watch)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> Read:
        return cls(reader.text(), reader.boolean(), op)


@dataclass(slots=True, frozen=True)
class PathRequest:
    """SYNC, GET_ACL, GET_EPHEMERALS or GET_ALL_CHILDREN_NUMBER."""

    path: str
    op: Op = Op.SYNC

    def write(self, writer: Writer) -> None:
        writer.text(self.path)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> PathRequest:
        return cls(reader.text(), op)


@dataclass(slots=True, frozen=True)
class AddWatch:
    """Sets a persistent watch."""

    path: str
    mode: int  # 0: persistent, 1: persistent and recursive
    op: Op = Op.ADD_WATCH

    def write(self, writer: Writer) -> None:
        writer.text(self.path).int32(self.mode)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> AddWatch:
        return cls(reader.text(), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class RemoveWatches:
    """CHECK_WATCHES fails if there are none, REMOVE_WATCHES removes them."""

    path: str
    type: int  # 1: children, 2: data, 3: any
    op: Op = Op.REMOVE_WATCHES

    def write(self, writer: Writer) -> None:
        writer.text(self.path).int32(self.type)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> RemoveWatches:
        return cls(reader.text(), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class SetWatches:
    """The watches of a client that reconnected, and the last zxid that it has seen."""

    zxid: int
    data: list[str] = field(default_factory=list)
    exist: list[str] = field(default_factory=list)
    child: list[str] = field(default_factory=list)
    persistent: list[str] = field(default_factory=list)
    recursive: list[str] = field(default_factory=list)
    op: Op = Op.SET_WATCHES2

    def write(self, writer: Writer) -> None:
        writer.int64(self.zxid)
        lists = (self.data, self.exist, self.child, self.persistent, self.recursive)
        for paths in lists if self.op is Op.SET_WATCHES2 else lists[:3]:
            writer.vector(paths, writer.text)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> SetWatches:
        zxid = reader.int64()
        data, exist, child = (reader.vector(reader.text) for _ in range(3))
        if op is Op.SET_WATCHES:
            return cls(zxid, data, exist, child, op=op)
        return cls(zxid, data, exist, child, reader.vector(reader.text), reader.vector(reader.text), op)


@dataclass(slots=True, frozen=True)
class Auth:
    """Adds an identity to the connection."""

    scheme: str
    auth: bytes
    type: int = 0
    op: Op = Op.AUTH

    def write(self, writer: Writer) -> None:
        writer.int32(self.type).text(self.scheme).buffer(self.auth)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> Auth:
        type_ = reader.int32()
        return cls(reader.text(), reader.buffer() or b"", type_, op)


@dataclass(slots=True, frozen=True)
class EmptyRequest:
    """PING or CLOSE_SESSION, which have no body."""

    op: Op

    def write(self, writer: Writer) -> None:
        pass

    @classmethod
    def read(cls, reader: Reader, op: Op) -> EmptyRequest:
        return cls(op)


Write = Create | Delete | Check | SetData


@dataclass(slots=True, frozen=True)
class Multi:
    """Applies all of its operations or none."""

    ops: tuple[Write, ...]
    op: Op = Op.MULTI

    def write(self, writer: Writer) -> None:
        for operation in self.ops:
            writer.int32(operation.op).boolean(False).int32(-1)
            operation.write(writer)
        writer.int32(-1).boolean(True).int32(-1)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> Multi:
        ops: list[Write] = []
        while True:
            type_, done, _ = reader.int32(), reader.boolean(), reader.int32()
            if done:
                return cls(tuple(ops), op)
            record_type = MULTI_RECORDS.get(type_)
            if record_type is None:
                raise JuteError(f"type {type_} is not an operation of a multi")
            ops.append(record_type.read(reader, Op(type_)))


Request = (
    Create | Delete | Check | SetData | SetAcl | Read | PathRequest | AddWatch | RemoveWatches | SetWatches | Auth
    | EmptyRequest | Multi
)  # fmt: skip
MULTI_RECORDS: dict[int, type[Create] | type[Delete] | type[Check] | type[SetData]] = {
    Op.CREATE: Create, Op.CREATE2: Create, Op.CREATE_CONTAINER: Create, Op.DELETE: Delete, Op.SET_DATA: SetData,
    Op.CHECK: Check,
}  # fmt: skip
RECORDS: dict[int, type[Request]] = {
    Op.CREATE: Create, Op.CREATE2: Create, Op.CREATE_CONTAINER: Create, Op.DELETE: Delete, Op.SET_DATA: SetData,
    Op.SET_ACL: SetAcl, Op.EXISTS: Read, Op.GET_DATA: Read, Op.GET_CHILDREN: Read, Op.GET_CHILDREN2: Read,
    Op.SYNC: PathRequest, Op.GET_ACL: PathRequest, Op.GET_EPHEMERALS: PathRequest,
    Op.GET_ALL_CHILDREN_NUMBER: PathRequest, Op.ADD_WATCH: AddWatch, Op.CHECK_WATCHES: RemoveWatches,
    Op.REMOVE_WATCHES: RemoveWatches, Op.SET_WATCHES: SetWatches, Op.SET_WATCHES2: SetWatches, Op.AUTH: Auth,
    Op.PING: EmptyRequest, Op.CLOSE_SESSION: EmptyRequest, Op.MULTI: Multi, Op.CHECK: Check,
}  # fmt: skip


def decode_request(data: bytes) -> tuple[int, Request | int]:
    """Return xid and request, or the type alone if it is unknown. JuteError for bytes that are no request."""
    reader = Reader(data)
    xid, type_ = reader.int32(), reader.int32()
    record_type = RECORDS.get(type_)
    if record_type is None:
        return xid, type_
    request = record_type.read(reader, Op(type_))
    reader.expect_end()
    return xid, request


def encode_request(xid: int, request: Request) -> bytes:
    """Return the request as a message."""
    writer = Writer().int32(xid).int32(request.op)
    request.write(writer)
    return writer.data
