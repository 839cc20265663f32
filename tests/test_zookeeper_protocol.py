"""The codec with golden and random bytes, tree and watches without I/O, and requests that kazoo never sends."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins.parties.zookeeper.ensemble import Ensemble
from standins.parties.zookeeper.jute import (
    OPEN_ACL,
    RECORDS,
    AddWatch,
    Auth,
    EmptyRequest,
    Check,
    Code,
    ConnectRequest,
    ConnectResponse,
    Create,
    Deframer,
    Delete,
    EventType,
    JuteError,
    Mode,
    Multi,
    PathRequest,
    Op,
    Read,
    Reader,
    RemoveWatches,
    ReplyHeader,
    Request,
    SetData,
    SetWatches,
    Stat,
    WatcherEvent,
    Writer,
    decode_request,
    encode_request,
    frame,
)
from standins.parties.zookeeper.tree import Change, KeeperError, SessionClosed, Tree, is_valid
from standins.parties.zookeeper.watches import WatchKind, Watches

from tests.sockets import on_loop

# Golden bytes, written by hand after the protocol's record definitions.
GOLDEN_CONNECT = bytes.fromhex(
    "00000000"  # protocolVersion
    "0000000000000000"  # lastZxidSeen
    "00002710"  # timeOut: 10,000 ms
    "0000000000000000"  # sessionId
    "00000010"
    + "00" * 16  # passwd
    + "00"  # readOnly
)
GOLDEN_CREATE = bytes.fromhex(
    "00000001"
    "00000001"  # xid 1, type create
    "00000002"
    "2f61"  # "/a"
    "00000001"
    "78"  # data "x"
    "00000001"
    "0000001f"
    "00000005"
    "776f726c64"
    "00000006"
    "616e796f6e65"  # one ACL: 31, world, anyone
    "00000001"  # flags: ephemeral
)
GOLDEN_EVENT = bytes.fromhex(
    "ffffffff"
    "ffffffffffffffff"
    "00000000"  # xid -1, zxid -1, err 0
    "00000003"
    "00000003"
    "00000002"
    "2f61"  # changed, connected, "/a"
)
GOLDEN_MULTI = bytes.fromhex(
    "00000002" "0000000e"
    "0000000d" "00" "ffffffff" "00000002" "2f61" "00000003"  # check /a at 3
    "00000002" "00" "ffffffff" "00000002" "2f62" "ffffffff"  # delete /b
    "ffffffff" "01" "ffffffff"
)  # fmt: skip


def test_records_match_golden_bytes() -> None:
    assert ConnectRequest().encode() == GOLDEN_CONNECT and ConnectRequest.decode(GOLDEN_CONNECT) == ConnectRequest()
    create = Create("/a", b"x", OPEN_ACL, Mode.EPHEMERAL)
    assert encode_request(1, create) == GOLDEN_CREATE and decode_request(GOLDEN_CREATE) == (1, create)
    assert WatcherEvent(EventType.DATA_CHANGED, "/a").encode() == GOLDEN_EVENT
    multi = Multi((Check("/a", 3), Delete("/b")))
    assert encode_request(2, multi) == GOLDEN_MULTI and decode_request(GOLDEN_MULTI) == (2, multi)
    assert ConnectRequest.decode(GOLDEN_CONNECT[:-1]).read_only is None  # a client older than read-only mode
    stat = Stat(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
    writer = Writer()
    stat.write(writer)
    assert writer.data.hex() == (
        "0000000000000001" "0000000000000002" "0000000000000003" "0000000000000004" "00000005" "00000006" "00000007"
        "0000000000000008" "00000009" "0000000a" "000000000000000b"
    )  # fmt: skip
    assert Stat.read(Reader(writer.data)) == stat


PATHS = st.sampled_from(["/", "/a", "/a/b", "/ä", "/a/b/c-"])
REQUESTS = st.one_of(
    st.builds(Create, PATHS, st.binary(max_size=20), st.just(OPEN_ACL), st.integers(0, 4),
              st.sampled_from([Op.CREATE, Op.CREATE2])),
    st.builds(Delete, PATHS, st.integers(-1, 9)),
    st.builds(SetData, PATHS, st.binary(max_size=20), st.integers(-1, 9)),
    st.builds(Read, PATHS, st.booleans(),
              st.sampled_from([Op.EXISTS, Op.GET_DATA, Op.GET_CHILDREN, Op.GET_CHILDREN2])),
    st.builds(PathRequest, PATHS, st.sampled_from([Op.SYNC, Op.GET_ACL, Op.GET_EPHEMERALS])),
    st.builds(AddWatch, PATHS, st.integers(0, 1)), st.builds(RemoveWatches, PATHS, st.integers(1, 3)),
    st.builds(SetWatches, st.integers(0, 99), *[st.lists(PATHS, max_size=3)] * 5),
    st.builds(Auth, st.just("digest"), st.binary(max_size=9)),
    st.builds(EmptyRequest, st.sampled_from([Op.PING, Op.CLOSE_SESSION])),
    st.builds(Multi, st.lists(st.builds(Check, PATHS, st.integers(-1, 9)), max_size=3).map(tuple)),
)  # fmt: skip


@given(REQUESTS, st.integers(-8, 2**31 - 1))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_every_request_decodes_as_encoded(request: Request, xid: int) -> None:
    assert decode_request(encode_request(xid, request)) == (xid, request)


@given(REQUESTS, st.randoms(use_true_random=False), st.integers(1, 4))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_corrupted_requests_are_decoded_or_raise_jute_error(
    request: Request, rng: random.Random, corruption_count: int
) -> None:
    data = bytearray(encode_request(7, request))
    for _ in range(corruption_count):
        data[rng.randrange(len(data))] = rng.randrange(256)
    truncated = bytes(data[: rng.randrange(len(data) + 1)])
    for corrupted in (bytes(data), truncated):
        with suppress(JuteError):
            decode_request(corrupted)


@given(st.binary(max_size=200), st.sampled_from(sorted(RECORDS)))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_random_bytes_are_decoded_or_raise_jute_error(random_bytes: bytes, op: int) -> None:
    for data in (random_bytes, Writer().int32(1).int32(op).data + random_bytes):
        with suppress(JuteError):
            decode_request(data)
    with suppress(JuteError):
        ConnectRequest.decode(random_bytes)


@given(st.lists(st.binary(max_size=30), max_size=8), st.randoms(use_true_random=False))
def test_messages_are_split_from_a_stream_in_any_chunks(messages: list[bytes], rng: random.Random) -> None:
    stream, deframer, messages_read = b"".join(map(frame, messages)), Deframer(), list[bytes]()
    while stream:
        size = rng.randint(1, 9)
        messages_read += deframer.feed(stream[:size])
        stream = stream[size:]
    assert messages_read == messages


@pytest.mark.parametrize("size", [-1, 0x100000, 0x7FFFFFFF])
def test_invalid_message_length_is_refused(size: int) -> None:
    with pytest.raises(JuteError):
        Deframer().feed(Writer().int32(size).data)


@pytest.mark.parametrize(
    ("path", "valid"),
    [("/", True), ("/a", True), ("/a/b", True), ("", False), ("a", False), ("/a/", False), ("//", False),
     ("/a//b", False), ("/a/../b", False), ("/.", False), ("/a\x00", False), ("/a.b", True)],
)  # fmt: skip
def test_path_validity(path: str, valid: bool) -> None:
    assert is_valid(path) is valid


# The tree


class Replicas:
    """A leader and a follower that applies every change."""

    def __init__(self) -> None:
        self.leader, self.follower, self.zxid = Tree(), Tree(), 0

    def commit_request(self, request: Request, session: int = 1) -> bool:
        assert isinstance(request, Create | Delete | Check | SetData | Multi)
        try:
            steps = self.leader.prepare(request, session)
        except KeeperError:
            return False
        self.zxid += 1
        change = Change(self.zxid, 0, steps)
        assert self.leader.apply(change) == self.follower.apply(change)
        return True

    def end_session(self, session: int) -> None:
        self.zxid += 1
        change = Change(self.zxid, 0, (), SessionClosed(session))
        assert self.leader.apply(change) == self.follower.apply(change)


NAMES = st.sampled_from(["/a", "/b", "/a/x", "/a/y", "/b/z", "/a/x/k"])
WRITES = st.one_of(
    st.builds(Create, NAMES, st.binary(max_size=3), st.just(OPEN_ACL), st.integers(0, 3)),
    st.builds(Delete, NAMES, st.integers(-1, 2)),
    st.builds(SetData, NAMES, st.binary(max_size=3), st.integers(-1, 2)),
    st.builds(Check, NAMES, st.integers(-1, 2)),
)  # fmt: skip
ANY_WRITE = st.one_of(WRITES, st.builds(Multi, st.lists(WRITES, max_size=5).map(tuple)))


@given(st.lists(st.tuples(ANY_WRITE, st.integers(1, 3), st.booleans()), max_size=40))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_replicas_stay_equal_and_trees_consistent(steps: list[tuple[Request, int, bool]]) -> None:
    replicas = Replicas()
    for request, session, ends_session in steps:
        before = {path: node.full_stat() for path, node in replicas.leader.nodes.items()}
        if not replicas.commit_request(request, session):  # a failed request changes nothing
            assert {path: node.full_stat() for path, node in replicas.leader.nodes.items()} == before
        if ends_session:
            replicas.end_session(session)
            assert session not in replicas.leader.ephemerals
    for tree in (replicas.leader, replicas.follower):
        for path, node in tree.nodes.items():
            expected_children = {p for p in tree.nodes if p != "/" and p.rpartition("/")[0] == path.rstrip("/")}
            assert {path.rstrip("/") + "/" + name for name in node.children} == expected_children
            assert not (node.stat.ephemeral_owner and node.children)
        owned = {p: n.stat.ephemeral_owner for p, n in tree.nodes.items() if n.stat.ephemeral_owner}
        assert owned == {p: session for session, paths in tree.ephemerals.items() for p in paths}
    assert {p: (n.data, n.full_stat()) for p, n in replicas.leader.nodes.items()} == {
        p: (n.data, n.full_stat()) for p, n in replicas.follower.nodes.items()
    }


def test_multi_operations_see_earlier_operations() -> None:
    replicas = Replicas()
    assert replicas.commit_request(
        Multi((Create("/a"), Create("/a/x"), Delete("/a/x"), SetData("/a", b"1", 0), Check("/a", 1)))
    )
    assert list(replicas.leader.nodes) == ["/", "/a"]
    assert not replicas.commit_request(Multi((Create("/b"), Delete("/a"), Create("/a/x"))))
    assert "/b" not in replicas.leader.nodes and "/a" in replicas.leader.nodes
    assert not replicas.commit_request(Multi((Create("/a/x"), Delete("/a"))))  # "/a" has a child by then


# Watches


def test_one_event_notifies_a_watcher_once() -> None:
    watches = Watches()
    for kind in (WatchKind.DATA, WatchKind.CHILD, WatchKind.PERSISTENT, WatchKind.RECURSIVE):
        watches.add("one", kind, "/a")
    watches.add("two", WatchKind.RECURSIVE, "/")
    notifications = watches.trigger([(EventType.DELETED, "/a"), (EventType.CHILDREN_CHANGED, "/")])
    assert sorted(notifications) == [("one", (EventType.DELETED, "/a")), ("two", (EventType.DELETED, "/a"))]
    assert len(watches) == 3  # the one-shot watches are removed
    watches.remove_watcher("one")
    watches.remove_watcher("two")
    assert len(watches) == 0 and not any(paths for paths in watches.by_path.values())


def test_set_watches_returns_missed_events_and_sets_the_other_watches() -> None:
    replicas, watches = Replicas(), Watches()
    for path in ("/same", "/changed", "/parent", "/new"):
        replicas.commit_request(Create(path))
    last_zxid = replicas.zxid
    replicas.commit_request(SetData("/changed", b"1"))
    replicas.commit_request(Create("/parent/x"))
    request = SetWatches(
        last_zxid, ["/same", "/changed", "/gone"], ["/new", "/not"], ["/parent", "/same"], ["/p"], ["/r"]
    )
    missed = watches.restore("me", request, replicas.leader)
    assert missed == [
        (EventType.DATA_CHANGED, "/changed"), (EventType.DELETED, "/gone"), (EventType.CREATED, "/new"),
        (EventType.CHILDREN_CHANGED, "/parent"),
    ]  # fmt: skip
    assert watches.by_watcher["me"] == {
        (WatchKind.DATA, "/same"), (WatchKind.DATA, "/not"), (WatchKind.CHILD, "/same"), (WatchKind.PERSISTENT, "/p"),
        (WatchKind.RECURSIVE, "/r"),
    }  # fmt: skip


# The ensemble, with a raw client


class RawClient:
    """A client that sends single protocol messages."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.xid = reader, writer, 0
        self.events: list[tuple[int, str]] = []

    async def read_message(self) -> bytes:
        size = int.from_bytes(await self.reader.readexactly(4), "big")
        return await self.reader.readexactly(size)

    async def connect(self, request: ConnectRequest | None = None) -> ConnectResponse:
        self.writer.write(frame((request or ConnectRequest()).encode()))
        return ConnectResponse.decode(await self.read_message())

    async def read_reply(self) -> tuple[ReplyHeader, Reader]:
        """Return the next message that is no watch event; events before it are added to `events`."""
        while True:
            reader = Reader(await self.read_message())
            header = ReplyHeader.read(reader)
            if header.xid != -1:
                return header, reader
            type_, _, path = reader.int32(), reader.int32(), reader.text()
            self.events.append((type_, path))

    async def send_request(self, request: Request) -> tuple[int, Reader]:
        self.xid += 1
        self.writer.write(frame(encode_request(self.xid, request)))
        header, reader = await self.read_reply()
        assert header.xid == self.xid
        return header.err, reader


@asynccontextmanager
async def running_ensemble(servers: int = 1) -> AsyncIterator[Ensemble]:
    ensemble = Ensemble(servers)
    await ensemble.start()
    try:
        yield ensemble
    finally:
        ensemble.close()


async def open_client(ensemble: Ensemble, server: int = 0) -> RawClient:
    return RawClient(*await asyncio.open_connection(*ensemble.servers[server].address))


@on_loop
async def test_persistent_and_recursive_watches() -> None:
    async with running_ensemble() as ensemble:
        client = await open_client(ensemble)
        await client.connect()
        await client.send_request(Create("/a"))
        for mode in (0, 1):
            assert (await client.send_request(AddWatch("/a", mode)))[0] == Code.OK
        assert (await client.send_request(AddWatch("/a", 7)))[0] == Code.BAD_ARGUMENTS
        await client.send_request(SetData("/a", b"1"))
        await client.send_request(Create("/a/x"))
        await client.send_request(SetData("/a/x", b"1"))
        assert client.events == [(3, "/a"), (1, "/a/x"), (4, "/a"), (3, "/a/x")]
        assert (await client.send_request(RemoveWatches("/a", 3, Op.CHECK_WATCHES)))[0] == Code.OK
        assert (await client.send_request(RemoveWatches("/a", 3)))[0] == Code.OK
        assert (await client.send_request(RemoveWatches("/a", 3)))[0] == Code.NO_WATCHER
        await client.send_request(SetData("/a", b"2"))
        assert len(client.events) == 4


@on_loop
async def test_watches_are_restored_on_a_new_connection_of_the_session() -> None:
    async with running_ensemble() as ensemble:
        client = await open_client(ensemble)
        response = await client.connect()
        await client.send_request(Create("/a"))
        await client.send_request(Read("/a", True))
        last_zxid = ensemble.tree.zxid
        ensemble.disrupt_session(response.session)
        other_client = await open_client(ensemble)
        await other_client.connect()
        await other_client.send_request(SetData("/a", b"1"))
        resumed = await open_client(ensemble)
        request = ConnectRequest(last_zxid=last_zxid, session=response.session, password=response.password)
        assert (await resumed.connect(request)).session == response.session
        assert (await resumed.send_request(SetWatches(last_zxid, ["/a"], ["/b"], [], [], ["/"])))[0] == Code.OK
        assert resumed.events == [(3, "/a")]
        await other_client.send_request(Create("/b"))
        await resumed.send_request(EmptyRequest(Op.PING))
        assert resumed.events == [(3, "/a"), (1, "/b")]


@on_loop
async def test_delayed_notification_is_dropped_after_the_end_of_the_session() -> None:
    async with running_ensemble() as ensemble:
        client, other_client = await open_client(ensemble), await open_client(ensemble)
        response = await client.connect()
        await other_client.connect()
        await client.send_request(Create("/a"))
        await client.send_request(Read("/a", True))
        ensemble.sessions[response.session].notification_delay_s = 0.05
        await other_client.send_request(SetData("/a", b"1"))
        ensemble.expire(response.session)
        assert await client.reader.read() == b"" and not client.events
        await asyncio.sleep(0.08)  # the delay has passed, and the client is gone
        assert ensemble.counts.notifications == 1 and ensemble.counts.expired == 1


@on_loop
async def test_lagging_server_refuses_a_client_with_a_later_zxid() -> None:
    async with running_ensemble(2) as ensemble:
        ensemble.servers[1].lag_s = 30.0
        client = await open_client(ensemble)
        await client.connect()
        await client.send_request(Create("/a"))
        lagging = await open_client(ensemble, 1)
        lagging.writer.write(frame(ConnectRequest(last_zxid=ensemble.tree.zxid).encode()))
        assert await lagging.reader.read() == b""


@on_loop
async def test_ensemble_that_lost_changes_goes_back_to_an_earlier_zxid() -> None:
    async with running_ensemble() as ensemble:
        client = await open_client(ensemble)
        response = await client.connect()
        for name in ("/a", "/b", "/c"):
            await client.send_request(Create(name, b"", OPEN_ACL, Mode.EPHEMERAL))
        before = ensemble.tree.zxid
        ensemble.stop()
        await ensemble.restart(lost_changes=2)
        assert ensemble.tree.zxid == before - 2 and set(ensemble.tree.nodes) == {"/", "/a"}
        refused = await open_client(ensemble)
        request = ConnectRequest(last_zxid=before, session=response.session, password=response.password)
        refused.writer.write(frame(request.encode()))
        assert await refused.reader.read() == b""  # the client has seen a later zxid than the ensemble has
        new_client = await open_client(ensemble)
        request = ConnectRequest(session=response.session, password=response.password)
        assert (await new_client.connect(request)).session == response.session


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xff\xff\xff",
        b"\x7f\xff\xff\xff",
        b"GET / HTTP/1.1\r\n\r\n",
        frame(b""),
        frame(b"\x00" * 7),
        frame(GOLDEN_CONNECT + b"more"),
        frame(GOLDEN_CONNECT) + frame(b"\x00\x00\x00\x01"),
        frame(GOLDEN_CONNECT) + frame(GOLDEN_CREATE[:-1]),
        frame(GOLDEN_CONNECT) + frame(GOLDEN_CREATE + b"x"),
        frame(GOLDEN_CONNECT) + frame(GOLDEN_MULTI[:-9]),
    ],
)
@on_loop
async def test_undecodable_bytes_close_the_connection(data: bytes) -> None:
    async with running_ensemble() as ensemble:
        client = await open_client(ensemble)
        client.writer.write(data)
        try:
            while await client.reader.read(4096):
                pass
        except ConnectionResetError:
            pass
        other_client = await open_client(ensemble)  # the server still accepts clients
        assert (await other_client.connect()).session


@on_loop
async def test_unknown_request_is_unimplemented_and_ruok_is_answered() -> None:
    async with running_ensemble() as ensemble:
        client = await open_client(ensemble)
        await client.connect()
        client.writer.write(frame(Writer().int32(1).int32(77).data))
        header, _ = await client.read_reply()
        assert header.err == Code.UNIMPLEMENTED
        word_client = await open_client(ensemble)
        word_client.writer.write(b"ruok")
        assert await word_client.reader.read() == b"imok"


@on_loop
async def test_pipelined_requests_are_answered_in_order() -> None:
    async with running_ensemble(2) as ensemble:
        ensemble.servers[1].lag_s = 0.03
        client = await open_client(ensemble, 1)
        await client.connect()
        for xid in range(1, 101):
            request = Create(f"/n{xid}") if xid % 2 else Read(f"/n{xid - 1}", False, Op.EXISTS)
            client.writer.write(frame(encode_request(xid, request)))
        replies = [(await client.read_reply())[0] for _ in range(100)]
        assert [reply.xid for reply in replies] == list(range(1, 101))
        assert all(reply.err == Code.OK for reply in replies)
        assert [r.zxid for r in replies] == sorted(r.zxid for r in replies)
