"""Servers of one ensemble on loopback: one state, followers that lag, sessions that expire, and injected faults.

The leader decides each change on its own tree and appends it to the log. Each server applies the log to its replica,
at once or after its lag, and triggers its watches then. Reads are served from the replica. A write is answered once
the server that received it has applied it, so a client sees its own writes. Requests of one connection are answered
in order.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import cast

from standins.parties.network import Address, reserve_port
from standins.parties.zookeeper.jute import (
    AddWatch,
    Auth,
    EmptyRequest,
    Code,
    ConnectRequest,
    ConnectResponse,
    Create,
    Deframer,
    EventType,
    JuteError,
    Multi,
    PathRequest,
    Op,
    Perm,
    Read,
    RemoveWatches,
    ReplyHeader,
    Request,
    SetAcl,
    SetData,
    SetWatches,
    WatcherEvent,
    Writer,
    decode_request,
    frame,
)
from standins.parties.zookeeper.tree import (
    Change,
    Created,
    Event,
    KeeperError,
    SessionClosed,
    Step,
    Tree,
    allows,
    is_valid,
    is_write,
)
from standins.parties.zookeeper.watches import WatchKind, Watches

MAX_LOG_CHANGES = 200_000  # the ensemble refuses changes above it
MAX_QUEUED_REQUESTS = 1_000  # per connection; above it the server stops reading from the connection
VERSION = "3.8.0-standin, built on 2022-02-25 08:49 UTC"
FOUR_LETTER_WORDS = frozenset((b"ruok", b"srvr", b"envi", b"stat", b"mntr", b"isro"))
NO_SESSION = ConnectResponse(0, 0, b"\x00" * 16)


@dataclass(slots=True, eq=False)
class Session:
    """A client's session and the faults that are injected into it."""

    id: int
    password: bytes
    timeout_ms: int
    last_heard_s: float
    connection: KeeperConnection | None = None
    is_closed: bool = False
    notification_delay_s: float = 0.0  # delay of its notifications
    lose_next_reply: bool = False  # close the connection instead of answering the next write, which has been applied
    notification_count: int = 0
    # Messages dropped on all connections of the session: "in" (of its client), "out" (to its client) or "both".
    silenced_direction: str = ""


@dataclass(slots=True)
class EnsembleCounts:
    """Totals since the start."""

    connections_opened: int = 0
    connections_refused: int = 0
    requests: int = 0
    notifications: int = 0
    expired: int = 0


class Ensemble:
    """The servers, their common log and their sessions. `clock` is in seconds and only moves forward."""

    def __init__(
        self, servers: int = 3, seed: int = 0, clock: Callable[[], float] = time.monotonic,
        timeouts_ms: tuple[int, int] = (200, 40_000),
    ) -> None:  # fmt: skip
        self.rng = random.Random(f"{seed}/keeper")
        self.clock, self.timeouts_ms = clock, timeouts_ms
        self.epoch, self.change_count = 1, 0
        self.tree = Tree()  # of the leader
        self.log: list[Change] = []
        self.sessions: dict[int, Session] = {}
        self.has_leader = True
        self.serves_read_only = False  # whether servers serve reads while there is no leader
        self.servers = [KeeperServer(self, number) for number in range(servers)]
        self.counts = EnsembleCounts()
        # Called for each watch event, and for each result of a read of data or children, that is written to a client,
        # with the connection, the type of the event or read, the path and the result: None for an event or a missing
        # node.
        self.on_delivery: Callable[[KeeperConnection, Op | EventType, str, list[str] | bytes | None], None] | None = (
            None
        )
        # Returns a node's data for one client: an address may differ between clients.
        self.data_for_client: Callable[[KeeperConnection, str, bytes], bytes] = lambda connection, path, data: data
        self.expiry_timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all servers and the expiry of sessions."""
        for server in self.servers:
            await server.start()
        self.expire_silent_sessions()

    @property
    def hosts(self) -> str:
        """Return the connection string for clients: host:port,host:port"""
        return ",".join(f"{server.address[0]}:{server.address[1]}" for server in self.servers)

    def close(self) -> None:
        """Stop all servers and release their ports."""
        if self.expiry_timer is not None:
            self.expiry_timer.cancel()
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.stop()
            server.reserved_socket.close()

    # Sessions

    def expire_silent_sessions(self) -> None:
        """Expire each session whose client has sent nothing for its timeout."""
        self.expiry_timer = asyncio.get_running_loop().call_later(0.02, self.expire_silent_sessions)
        if not self.has_leader:
            return
        now_s = self.clock()
        for session in list(self.sessions.values()):
            if now_s - session.last_heard_s > session.timeout_ms / 1000:
                self.expire(session.id)

    def open_session(self, timeout_ms: int, server: int) -> Session:
        """Open a session with a timeout within the bounds."""
        min_ms, max_ms = self.timeouts_ms
        session_id = (server + 1) << 56 | self.rng.getrandbits(48) << 4
        session = Session(session_id, self.rng.randbytes(16), min(max(timeout_ms, min_ms), max_ms), self.clock())
        self.sessions[session_id] = session
        self.commit(())
        return session

    def expire(self, session_id: int) -> None:
        """End a session as its timeout does: delete its ephemeral nodes and close its connection."""
        session = self.sessions.get(session_id)
        if session is None:
            return
        self.counts.expired += 1
        self.end_session(session, expired=True)
        if session.connection is not None:
            session.connection.close()

    def end_session(self, session: Session, expired: bool = False) -> Change:
        """Close a session and delete its ephemeral nodes."""
        session.is_closed = True
        self.sessions.pop(session.id, None)
        return self.commit((), SessionClosed(session.id, expired))

    # Changes

    def commit(self, steps: tuple[Step, ...], closed_session: SessionClosed | None = None) -> Change:
        """Append a change to the log, apply it to the leader's tree and pass it to the servers."""
        if len(self.log) >= MAX_LOG_CHANGES:
            raise KeeperError(Code.SYSTEM_ERROR)
        self.change_count += 1
        change = Change(self.epoch << 32 | self.change_count, int(time.time() * 1000), steps, closed_session)
        self.tree.apply(change)
        self.log.append(change)
        for server in self.servers:
            server.on_commit(change)
        return change

    # Faults

    def lose_leader(self, duration_s: float | None = None) -> None:
        """Stop serving until a leader is elected, after `duration_s` or by `elect_leader`."""
        self.has_leader = False
        for server in self.servers:
            server.drop_connections()
        if duration_s is not None:
            asyncio.get_running_loop().call_later(duration_s, self.elect_leader)

    def elect_leader(self) -> None:
        """Begin a new epoch with a leader; each session has its whole timeout again."""
        self.has_leader = True
        self.epoch, self.change_count = self.epoch + 1, 0
        for session in self.sessions.values():
            session.last_heard_s = self.clock()
        for server in self.servers:
            server.drop_connections()  # also those that were served read-only

    def stop(self) -> None:
        """Stop the whole ensemble: connections are reset and new ones refused."""
        self.has_leader = False
        for server in self.servers:
            server.stop()

    def stop_server(self, server: KeeperServer) -> None:
        """Stop one server; without a majority there is no leader."""
        server.stop()
        if self.has_leader and 2 * sum(s.server is not None for s in self.servers) <= len(self.servers):
            self.lose_leader()

    async def start_server(self, server: KeeperServer) -> None:
        """Start one server again, without its watches; with a majority a leader is elected."""
        server.watches = Watches()
        server.catch_up()
        await server.start()
        if not self.has_leader and 2 * sum(s.server is not None for s in self.servers) > len(self.servers):
            self.elect_leader()

    async def restart(self, lost_changes: int = 0) -> None:
        """Start again without the last changes of the log, so that zxids go back; all sessions are kept."""
        if lost_changes:
            kept = self.log[:-lost_changes]
            self.log, self.tree = [], Tree()
            for server in self.servers:
                server.tree, server.applied_count = Tree(), 0
            for change in kept:
                self.tree.apply(change)
            self.log = kept
            self.change_count = kept[-1].zxid & 0xFFFFFFFF if kept else 0
            self.epoch = kept[-1].zxid >> 32 if kept else 1
        for session in self.sessions.values():
            session.last_heard_s = self.clock()
        self.has_leader = True
        for server in self.servers:
            server.watches = Watches()
            server.catch_up()
            await server.start()

    def disrupt_session(self, session_id: int, mode: str = "reset") -> None:
        """Close a session's connection ("reset") or drop its messages: "in" (from the client), "out" or "both".

        Messages are dropped on its later connections too, until the mode "" is set.
        """
        session = self.sessions.get(session_id)
        if session is None:
            return
        if mode != "reset":
            session.silenced_direction = mode
        elif session.connection is not None:
            session.connection.close()


class KeeperServer:
    """One server with its replica, watches and connections."""

    def __init__(self, ensemble: Ensemble, number: int) -> None:
        self.ensemble, self.number = ensemble, number
        self.tree = Tree()
        self.applied_count = 0  # number of changes of the log
        self.watches = Watches()
        self.lag_s = 0.0
        self.server: asyncio.Server | None = None
        self.reserved_socket = reserve_port()  # holds the port while the server is down
        self.address: Address = self.reserved_socket.getsockname()
        self.connections: set[KeeperConnection] = set()
        self.zxid_waiters: list[tuple[int, asyncio.Future[None]]] = []  # zxid that the replica must reach, future

    async def start(self) -> None:
        """Listen, unless the server listens already."""
        if self.server is None:
            loop = asyncio.get_running_loop()
            self.server = await loop.create_server(
                lambda: KeeperConnection(self), *self.address, reuse_address=True, backlog=512
            )

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()

    @property
    def is_serving(self) -> bool:
        """Return whether the server answers requests."""
        return self.ensemble.has_leader or self.ensemble.serves_read_only

    def four_letter_response(self, word: bytes) -> bytes:
        """Return the response to a four-letter word, which a server gives even while it serves no requests."""
        ensemble, tree = self.ensemble, self.tree
        if word == b"ruok":
            return b"imok"
        if word == b"isro":
            return b"rw" if ensemble.has_leader else b"ro"
        if word == b"envi":
            return f"Environment:\nzookeeper.version={VERSION}\nhost.name=localhost\n".encode()
        if not self.is_serving:
            return b"This ZooKeeper instance is not currently serving requests\n"
        mode = "leader" if self.number == 0 else "follower"
        if not ensemble.has_leader:
            mode = "read-only"
        sent, received = ensemble.counts.notifications, ensemble.counts.requests
        figures = {
            "connections": len(self.connections), "received": received, "sent": received + sent,
            "outstanding": sum(c.queue.qsize() for c in self.connections), "node count": len(tree.nodes),
        }  # fmt: skip
        if word == b"mntr":
            figures |= {"watch_count": len(self.watches), "ephemerals_count": sum(map(len, tree.ephemerals.values()))}
            lines = [f"zk_version\t{VERSION}", f"zk_server_state\t{mode}"]
            names = {"connections": "num_alive_connections", "received": "packets_received", "sent": "packets_sent",
                     "outstanding": "outstanding_requests", "node count": "znode_count"}  # fmt: skip
            lines += [f"zk_{names.get(name, name)}\t{value}" for name, value in figures.items()]
            return "\n".join(lines).encode() + b"\n"
        lines = [f"Zookeeper version: {VERSION}"]
        if word == b"stat":
            lines += ["Clients:", *(f" {c.name}" for c in self.connections), ""]
        lines += [f"{name.capitalize()}: {value}" for name, value in figures.items() if name != "node count"]
        lines += [f"Zxid: {tree.zxid:#x}", f"Mode: {mode}", f"Node count: {figures['node count']}"]
        return "\n".join(lines).encode() + b"\n"

    # The replica

    def on_commit(self, change: Change) -> None:
        """Apply the log up to this change, after the lag."""
        if self.lag_s:
            asyncio.get_running_loop().call_later(self.lag_s, self.catch_up, change.zxid)
        else:
            self.catch_up()

    def catch_up(self, zxid: int | None = None) -> None:
        """Apply the log up to `zxid`. A watcher is notified of a change before any client can read it."""
        log = self.ensemble.log
        while self.applied_count < len(log) and (zxid is None or log[self.applied_count].zxid <= zxid):
            change = log[self.applied_count]
            self.applied_count += 1
            for watcher, event in self.watches.trigger(self.tree.apply(change)):
                cast(KeeperConnection, watcher).notify(event)
        remaining = []
        for awaited_zxid, future in self.zxid_waiters:
            if self.tree.zxid < awaited_zxid:
                remaining.append((awaited_zxid, future))
            elif not future.done():
                future.set_result(None)
        self.zxid_waiters = remaining

    async def wait_for_zxid(self, zxid: int) -> None:
        """Wait until the replica has applied the change."""
        if self.tree.zxid < zxid:
            future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.zxid_waiters.append((zxid, future))
            await future


@dataclass(eq=False)
class KeeperConnection(asyncio.Protocol):
    """One client connection to a server."""

    server: KeeperServer
    transport: asyncio.Transport | None = None
    session: Session | None = None
    is_read_only: bool = False
    deframer: Deframer = field(default_factory=Deframer)
    ids: list[tuple[str, str]] = field(default_factory=list)
    queue: asyncio.Queue[bytes] = field(default_factory=asyncio.Queue)
    worker: asyncio.Task[None] | None = None
    first_bytes: bytes = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.ensemble.counts.connections_opened += 1
        self.worker = asyncio.get_running_loop().create_task(self.process_requests())

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.server.connections.discard(self)
        self.server.watches.remove_watcher(self)
        if self.worker is not None:
            self.worker.cancel()
        if self.session is not None and self.session.connection is self:
            self.session.connection = None

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.session is not None and self.session.silenced_direction in ("in", "both"):
            return
        if self.session is None and len(self.first_bytes) < 4:
            self.first_bytes += data
            if len(self.first_bytes) < 4:
                return
            data = self.first_bytes
            if data[:4] in FOUR_LETTER_WORDS:
                self.answer_four_letter_word(data[:4])
                return
        try:
            for message in self.deframer.feed(data):
                self.queue.put_nowait(message)
        except JuteError:
            self.close()
            return
        if self.queue.qsize() > MAX_QUEUED_REQUESTS and self.transport is not None:
            self.transport.pause_reading()

    @property
    def name(self) -> str:
        """Return the description of the connection for the `stat` response."""
        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        session = f"{self.session.id:#x}" if self.session is not None else "none"
        return f"/{peer[0]}:{peer[1]}[1](queued={self.queue.qsize()},sid={session})" if peer else "/gone"

    def answer_four_letter_word(self, word: bytes) -> None:
        """Answer a four-letter word and close the connection."""
        assert self.transport is not None
        self.transport.write(self.server.four_letter_response(word))
        self.transport.close()

    def send(self, payload: bytes) -> None:
        """Send a message, unless messages to the client are dropped."""
        is_silenced = self.session is not None and self.session.silenced_direction in ("out", "both")
        if self.transport is not None and not is_silenced and not self.transport.is_closing():
            self.transport.write(frame(payload))

    def notify(self, event: Event) -> None:
        """Send a watch event, after the session's notification delay."""
        session = self.session
        if session is None:
            return
        session.notification_count += 1
        if self.server.ensemble.on_delivery is not None:
            self.server.ensemble.on_delivery(self, event[0], event[1], None)
        self.server.ensemble.counts.notifications += 1
        data = WatcherEvent(event[0], event[1]).encode()
        if session.notification_delay_s:
            asyncio.get_running_loop().call_later(session.notification_delay_s, self.send, data)
        else:
            self.send(data)

    # Requests, which are handled in order

    async def process_requests(self) -> None:
        """Handle the connect request and then each request of the queue."""
        try:
            self.connect(ConnectRequest.decode(await self.queue.get()))
            while self.transport is not None:
                message = await self.queue.get()
                if self.queue.qsize() <= MAX_QUEUED_REQUESTS // 2 and self.transport is not None:
                    self.transport.resume_reading()
                await self.handle(message)
        except JuteError:
            self.close()  # a message that cannot be parsed closes the connection

    def connect(self, request: ConnectRequest) -> None:
        """Open or resume a session, or refuse the connection."""
        ensemble, server = self.server.ensemble, self.server
        if not server.is_serving:
            self.close()
            return
        if request.last_zxid > server.tree.zxid:
            ensemble.counts.connections_refused += 1
            self.close()  # the client has seen a newer change than this server has; it tries another server
            return
        if not ensemble.has_leader:
            if not request.read_only:
                ensemble.counts.connections_refused += 1
                self.close()
                return
            self.is_read_only = True
        if request.session:
            session = ensemble.sessions.get(request.session)
            if session is None or session.password != request.password:
                ensemble.counts.connections_refused += 1
                self.send(NO_SESSION.encode())
                if self.transport is not None:
                    self.transport.close()
                return
            if session.silenced_direction in ("in", "both"):
                return  # its messages are dropped, also on this connection
        elif self.is_read_only:
            min_ms, max_ms = ensemble.timeouts_ms
            timeout_ms = min(max(request.timeout_ms, min_ms), max_ms)
            session = Session(ensemble.rng.getrandbits(48), ensemble.rng.randbytes(16), timeout_ms, 0.0)
        else:
            session = ensemble.open_session(request.timeout_ms, server.number)
        session.last_heard_s = ensemble.clock()
        self.session, session.connection = session, self
        read_only = None if request.read_only is None else self.is_read_only
        self.send(ConnectResponse(session.timeout_ms, session.id, session.password, read_only).encode())

    async def handle(self, message: bytes) -> None:
        """Decode one request and answer it."""
        ensemble, session = self.server.ensemble, self.session
        if session is None:
            return
        xid, request = decode_request(message)
        ensemble.counts.requests += 1
        if session.is_closed:
            self.close()
            return
        if session.connection is not self:
            self.reply(xid, Code.SESSION_MOVED)
            self.close()
            return
        session.last_heard_s = ensemble.clock()
        if isinstance(request, int):
            self.reply(xid, Code.UNIMPLEMENTED)
            return
        try:
            if is_write(request.op):
                await self.write(xid, request, session)
            else:
                body = await self.read(request)
                if request.op is not Op.SET_WATCHES and request.op is not Op.SET_WATCHES2:
                    self.reply(xid, Code.OK, body)
                if isinstance(request, SetWatches):
                    self.reply(xid, Code.OK)
        except KeeperError as error:
            self.reply(xid, error.code, encode_multi_failure(request, error) if isinstance(request, Multi) else b"")
            if error.code is Code.AUTH_FAILED and self.transport is not None:
                self.transport.close()

    def reply(self, xid: int, code: Code, body: bytes = b"") -> None:
        """Send a reply."""
        err = Code.OK if body and code is not Code.OK else code  # the body of a failed multi has its error codes
        self.send(ReplyHeader(xid, self.server.tree.zxid, err).encode(body))

    async def write(self, xid: int, request: Request, session: Session) -> None:
        """Commit a write and answer it once this server has applied it."""
        ensemble = self.server.ensemble
        if self.is_read_only:
            raise KeeperError(Code.NOT_READ_ONLY)
        if isinstance(request, EmptyRequest):  # CLOSE_SESSION
            change = ensemble.end_session(session)
            await self.server.wait_for_zxid(change.zxid)
            self.reply(xid, Code.OK)
            if self.transport is not None:
                self.transport.close()
            return
        assert isinstance(request, Multi | SetAcl | Create | SetData) or request.op in (Op.DELETE, Op.CHECK)
        steps = ensemble.tree.prepare(request, session.id, self.ids)  # type: ignore[arg-type]
        change = ensemble.commit(steps)
        if session.lose_next_reply:
            session.lose_next_reply = False
            self.close()
            return
        await self.server.wait_for_zxid(change.zxid)
        if isinstance(request, Multi):
            writer = Writer()
            for operation, step in zip(request.ops, steps, strict=True):
                writer.int32(operation.op).boolean(False).int32(Code.OK)
                writer.raw(self.encode_result(operation, step))
            self.reply(xid, Code.OK, writer.int32(-1).boolean(True).int32(-1).data)
        else:
            self.reply(xid, Code.OK, self.encode_result(request, steps[0]))

    def encode_result(self, request: Request, step: Step) -> bytes:
        """Return the body of the reply to a write, from this server's replica."""
        writer, tree = Writer(), self.server.tree
        if isinstance(step, Created):
            writer.text(step.path)
            if request.op in (Op.CREATE2, Op.CREATE_CONTAINER) and step.path in tree.nodes:
                tree.node(step.path).full_stat().write(writer)
        elif isinstance(request, SetData | SetAcl) and request.path in tree.nodes:
            tree.node(request.path).full_stat().write(writer)
        return writer.data

    async def read(self, request: Request) -> bytes:
        """Carry out a request that changes no node and return the body of its reply."""
        tree, watches, writer = self.server.tree, self.server.watches, Writer()
        match request:
            case EmptyRequest():
                pass  # PING: `handle` has noted the time
            case Auth():
                self.authenticate(request)
            case Read(path=path):
                self.check_path(path)
                self.read_node(request, writer)
            case PathRequest(path=path, op=Op.SYNC):
                self.check_path(path)
                await self.server.wait_for_zxid(self.server.ensemble.tree.zxid)
                writer.text(path)
            case PathRequest(path=path, op=Op.GET_EPHEMERALS):
                assert self.session is not None
                owned = tree.ephemerals.get(self.session.id, set())
                writer.vector(sorted(p for p in owned if p.startswith(path)), writer.text)
            case PathRequest(path=path, op=Op.GET_ALL_CHILDREN_NUMBER):
                tree.node(path)
                prefix = path.rstrip("/") + "/"
                writer.int32(sum(p.startswith(prefix) and p != "/" for p in tree.nodes))
            case PathRequest(path=path):  # GET_ACL
                node = tree.node(path)
                writer.vector(list(node.acl), lambda acl: acl.write(writer))
                node.full_stat().write(writer)
            case AddWatch(path=path, mode=mode) if mode in (0, 1):
                self.check_path(path)
                watches.add(self, WatchKind.RECURSIVE if mode else WatchKind.PERSISTENT, path)
                writer.int32(Code.OK)
            case RemoveWatches():
                self.remove_watches(request)
            case SetWatches():
                for event in watches.restore(self, request, tree):
                    self.notify(event)
            case _:
                raise KeeperError(Code.BAD_ARGUMENTS)
        return writer.data

    def check_path(self, path: str) -> None:
        """Raise KeeperError for a path that no node may have."""
        if not is_valid(path):
            raise KeeperError(Code.BAD_ARGUMENTS)

    def read_node(self, request: Read, writer: Writer) -> None:
        """Write the stat, the data or the children of a node, and set a watch if the request asks for it."""
        tree, watches = self.server.tree, self.server.watches
        if request.op is Op.EXISTS:
            if request.watch:
                watches.add(self, WatchKind.DATA, request.path)  # also of a node that does not exist yet
            tree.node(request.path).full_stat().write(writer)
            return
        on_delivery = self.server.ensemble.on_delivery
        if request.path not in tree.nodes and on_delivery is not None:
            on_delivery(self, request.op, request.path, None)
        node = tree.node(request.path)
        if not allows(node.acl, Perm.READ, self.ids):
            raise KeeperError(Code.NO_AUTH)
        if request.watch:
            watches.add(self, WatchKind.DATA if request.op is Op.GET_DATA else WatchKind.CHILD, request.path)
        stat = node.full_stat()
        if request.op is Op.GET_DATA:
            data = node.data and self.server.ensemble.data_for_client(self, request.path, node.data)
            stat = replace(stat, data_length=len(data or b""))
            writer.buffer(data)
        else:
            writer.vector(sorted(node.children), writer.text)
        if on_delivery is not None:
            result = (node.data or b"") if request.op is Op.GET_DATA else sorted(node.children)
            on_delivery(self, request.op, request.path, result)
        if request.op is not Op.GET_CHILDREN:
            stat.write(writer)

    def remove_watches(self, request: RemoveWatches) -> None:
        """Remove watches of this connection, or check that there are any."""
        kinds = {1: (WatchKind.CHILD,), 2: (WatchKind.DATA,), 3: tuple(WatchKind)}.get(request.type)
        if kinds is None:
            raise KeeperError(Code.BAD_ARGUMENTS)
        watches = self.server.watches
        if not watches.has_watch(self, kinds, request.path):
            raise KeeperError(Code.NO_WATCHER)
        if request.op is Op.REMOVE_WATCHES:
            for kind in kinds:
                watches.remove(self, kind, request.path)

    def authenticate(self, request: Auth) -> None:
        """Add the digest id of the client to the connection."""
        user, separator, _ = request.auth.decode("utf-8", "replace").partition(":")
        if request.scheme != "digest" or not separator:
            raise KeeperError(Code.AUTH_FAILED)
        digest = base64.b64encode(hashlib.sha1(request.auth).digest()).decode()
        self.ids.append(("digest", f"{user}:{digest}"))


def encode_multi_failure(request: Multi, error: KeeperError) -> bytes:
    """Return the results of a failed multi: OK before the failed operation, its code, RUNTIME_INCONSISTENCY after."""
    writer = Writer()
    for index in range(len(request.ops)):
        other_code = Code.OK if index < error.op_index else Code.RUNTIME_INCONSISTENCY
        code = error.code if index == error.op_index else other_code
        writer.int32(Op.ERROR).boolean(False).int32(code).int32(code)
    return writer.int32(-1).boolean(True).int32(-1).data
