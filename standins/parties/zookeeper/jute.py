"""Records of the ZooKeeper client protocol, to bytes and back. No I/O, no time.

Source: the protocol's published record definitions (zookeeper.jute) and the programmer's guide. Integers are
big-endian; a string or buffer is its length and its bytes, -1 for none; a vector is its count and its items; a
message on TCP is its length (four bytes) and its bytes.

What cannot be read raises JuteError, whatever the bytes are; nothing here allocates more than the message holds.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import astuple, dataclass, field
from enum import IntEnum
from typing import TypeVar

MAX_PACKET_BYTES = 0xFFFFF  # jute.maxbuffer: a longer message ends its connection
WATCH_XID, PING_XID, AUTH_XID, SET_WATCHES_XID = -1, -2, -4, -8
SEQUENCE_DIGITS = 10

_INT, _LONG = struct.Struct(">i"), struct.Struct(">q")
_STAT = struct.Struct(">qqqqiiiqiiq")
T = TypeVar("T")


class Op(IntEnum):
    """Types of requests."""

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
    CREATED = 1
    DELETED = 2
    DATA_CHANGED = 3
    CHILDREN_CHANGED = 4


class KeeperState(IntEnum):
    DISCONNECTED = 0
    SYNC_CONNECTED = 3
    CONNECTED_READ_ONLY = 5
    EXPIRED = -112


class Perm(IntEnum):
    READ = 1
    WRITE = 2
    CREATE = 4
    DELETE = 8
    ADMIN = 16
    ALL = 31


class Mode(IntEnum):
    """Kinds of nodes, as `create` names them."""

    PERSISTENT = 0
    EPHEMERAL = 1
    PERSISTENT_SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3
    CONTAINER = 4

    @property
    def is_ephemeral(self) -> bool:
        return self in (Mode.EPHEMERAL, Mode.EPHEMERAL_SEQUENTIAL)

    @property
    def is_sequential(self) -> bool:
        return self in (Mode.PERSISTENT_SEQUENTIAL, Mode.EPHEMERAL_SEQUENTIAL)


class JuteError(ValueError):
    """Bytes that are no record of the kind that was expected."""


class Reader:
    """Reads values one after the other from one message."""

    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    @property
    def remaining_bytes(self) -> int:
        return len(self.data) - self.position

    def read_bytes(self, size: int) -> bytes:
        if size < 0 or size > self.remaining_bytes:
            raise JuteError(f"{size} bytes expected, {self.remaining_bytes} left")
        data = self.data[self.position : self.position + size]
        self.position += size
        return data

    def int32(self) -> int:
        value: int = _INT.unpack(self.read_bytes(4))[0]
        return value

    def int64(self) -> int:
        value: int = _LONG.unpack(self.read_bytes(8))[0]
        return value

    def boolean(self) -> bool:
        byte = self.read_bytes(1)[0]
        if byte > 1:
            raise JuteError(f"{byte} is no boolean")
        return byte == 1

    def buffer(self) -> bytes | None:
        size = self.int32()
        return None if size == -1 else self.read_bytes(size)

    def text(self) -> str:
        data = self.buffer()
        try:
            return (data or b"").decode()
        except UnicodeDecodeError:
            raise JuteError("a string is not UTF-8") from None

    def vector(self, item: Callable[[], T]) -> list[T]:
        count = self.int32()
        if count > self.remaining_bytes:  # no item is shorter than a byte
            raise JuteError(f"{count} items in {self.remaining_bytes} bytes")
        return [item() for _ in range(max(count, 0))]

    def expect_end(self) -> None:
        if self.remaining_bytes:
            raise JuteError(f"{self.remaining_bytes} bytes more than the record")


class Writer:
    """Collects values; `data` is the message so far."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    @property
    def data(self) -> bytes:
        return b"".join(self.parts)

    def int32(self, value: int) -> Writer:
        self.parts.append(_INT.pack(value))
        return self

    def int64(self, value: int) -> Writer:
        self.parts.append(_LONG.pack(value))
        return self

    def boolean(self, value: bool) -> Writer:
        self.parts.append(b"\x01" if value else b"\x00")
        return self

    def buffer(self, value: bytes | None) -> Writer:
        if value is None:
            return self.int32(-1)
        self.int32(len(value))
        self.parts.append(value)
        return self

    def text(self, value: str) -> Writer:
        return self.buffer(value.encode())

    def vector(self, values: list[T], item: Callable[[T], object]) -> Writer:
        self.int32(len(values))
        for value in values:
            item(value)
        return self

    def raw(self, value: bytes) -> Writer:
        self.parts.append(value)
        return self


def frame(payload: bytes) -> bytes:
    return _INT.pack(len(payload)) + payload


class Deframer:
    """Cuts a stream into messages; JuteError for a length that no message has."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        self.buffer += data
        messages: list[bytes] = []
        offset = 0
        while len(self.buffer) - offset >= 4:
            (size,) = _INT.unpack_from(self.buffer, offset)
            if not 0 <= size <= MAX_PACKET_BYTES:
                raise JuteError(f"a message of {size} bytes")
            if len(self.buffer) - offset < 4 + size:
                break
            messages.append(self.buffer[offset + 4 : offset + 4 + size])
            offset += 4 + size
        self.buffer = self.buffer[offset:]
        return messages


# Records


@dataclass(slots=True, frozen=True)
class Acl:
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
    """Of a node. zxids of its creation, last change and last change of children; times in Unix milliseconds."""

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
    protocol: int = 0
    last_zxid: int = 0
    timeout_ms: int = 10_000
    session: int = 0
    password: bytes = b"\x00" * 16
    read_only: bool | None = False  # None: a client that knows nothing of it

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
    timeout_ms: int  # 0: the session is not to be had
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
    type: EventType
    path: str
    state: int = KeeperState.SYNC_CONNECTED

    def encode(self, zxid: int = -1) -> bytes:
        body = Writer().int32(self.type).int32(self.state).text(self.path).data
        return ReplyHeader(WATCH_XID, zxid).encode(body)


@dataclass(slots=True, frozen=True)
class Create:
    path: str
    data: bytes | None = b""  # None: null, which is not empty
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
    """The version must be this one; nothing is done."""

    op: Op = Op.CHECK


@dataclass(slots=True, frozen=True)
class SetData:
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
    """EXISTS, GET_DATA, GET_CHILDREN or GET_CHILDREN2; with `watch`, a one-shot watch is left."""

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
    path: str
    mode: int  # 0 persistent, 1 persistent and recursive
    op: Op = Op.ADD_WATCH

    def write(self, writer: Writer) -> None:
        writer.text(self.path).int32(self.mode)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> AddWatch:
        return cls(reader.text(), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class RemoveWatches:
    """CHECK_WATCHES asks whether there are any, REMOVE_WATCHES takes them away."""

    path: str
    type: int  # 1 children, 2 data, 3 any
    op: Op = Op.REMOVE_WATCHES

    def write(self, writer: Writer) -> None:
        writer.text(self.path).int32(self.type)

    @classmethod
    def read(cls, reader: Reader, op: Op) -> RemoveWatches:
        return cls(reader.text(), reader.int32(), op)


@dataclass(slots=True, frozen=True)
class SetWatches:
    """What a client had watched before it reconnected, and what it had seen."""

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
    """PING or CLOSE_SESSION: no body."""

    op: Op

    def write(self, writer: Writer) -> None:
        pass

    @classmethod
    def read(cls, reader: Reader, op: Op) -> EmptyRequest:
        return cls(op)


Write = Create | Delete | Check | SetData


@dataclass(slots=True, frozen=True)
class Multi:
    """All of these or none."""

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
                raise JuteError(f"{type_} is no operation of a multi")
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
    """xid and request; the bare type where it is none that is known. JuteError for bytes that are no request."""
    reader = Reader(data)
    xid, type_ = reader.int32(), reader.int32()
    record_type = RECORDS.get(type_)
    if record_type is None:
        return xid, type_
    request = record_type.read(reader, Op(type_))
    reader.expect_end()
    return xid, request


def encode_request(xid: int, request: Request) -> bytes:
    writer = Writer().int32(xid).int32(request.op)
    request.write(writer)
    return writer.data
