"""The codec against golden bytes and any bytes; tree and watches as pure parts; what no stock client sends."""

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

# Golden bytes, laid out by hand from the record definitions of the protocol.
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


def test_golden_bytes() -> None:
    assert ConnectRequest().encode() == GOLDEN_CONNECT and ConnectRequest.decode(GOLDEN_CONNECT) == ConnectRequest()
    create = Create("/a", b"x", OPEN_ACL, Mode.EPHEMERAL)
    assert encode_request(1, create) == GOLDEN_CREATE and decode_request(GOLDEN_CREATE) == (1, create)
    assert WatcherEvent(EventType.DATA_CHANGED, "/a").encode() == GOLDEN_EVENT
    multi = Multi((Check("/a", 3), Delete("/b")))
    assert encode_request(2, multi) == GOLDEN_MULTI and decode_request(GOLDEN_MULTI) == (2, multi)
    assert ConnectRequest.decode(GOLDEN_CONNECT[:-1]).read_only is None  # a client from before read-only mode
    stat = Stat(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
    to = Writer()
    stat.write(to)
    assert to.data.hex() == (
        "0000000000000001" "0000000000000002" "0000000000000003" "0000000000000004" "00000005" "00000006" "00000007"
        "0000000000000008" "00000009" "0000000a" "000000000000000b"
    )  # fmt: skip
    assert Stat.read(Reader(to.data)) == stat


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
def test_every_request_reads_back_as_it_was_written(request: Request, xid: int) -> None:
    assert decode_request(encode_request(xid, request)) == (xid, request)


@given(REQUESTS, st.randoms(use_true_random=False), st.integers(1, 4))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_spoilt_requests_are_read_or_refused_and_never_more(request: Request, dice: random.Random, hits: int) -> None:
    data = bytearray(encode_request(7, request))
    for _ in range(hits):
        data[dice.randrange(len(data))] = dice.randrange(256)
    cut = bytes(data[: dice.randrange(len(data) + 1)])
    for spoilt in (bytes(data), cut):
        with suppress(JuteError):
            decode_request(spoilt)


@given(st.binary(max_size=200), st.sampled_from(sorted(RECORDS)))
@settings(max_examples=300, deadline=None, derandomize=True)
def test_noise_is_refused(noise: bytes, op: int) -> None:
    for data in (noise, Writer().int32(1).int32(op).data + noise):
        with suppress(JuteError):
            decode_request(data)
    with suppress(JuteError):
        ConnectRequest.decode(noise)


@given(st.lists(st.binary(max_size=30), max_size=8), st.randoms(use_true_random=False))
def test_messages_are_cut_out_of_any_pieces(messages: list[bytes], dice: random.Random) -> None:
    stream, deframer, found = b"".join(map(frame, messages)), Deframer(), list[bytes]()
    while stream:
        size = dice.randint(1, 9)
        found += deframer.feed(stream[:size])
        stream = stream[size:]
    assert found == messages


@pytest.mark.parametrize("size", [-1, 0x100000, 0x7FFFFFFF])
def test_a_length_that_no_message_has_is_refused(size: int) -> None:
    with pytest.raises(JuteError):
        Deframer().feed(Writer().int32(size).data)


@pytest.mark.parametrize(
    ("path", "valid"),
    [("/", True), ("/a", True), ("/a/b", True), ("", False), ("a", False), ("/a/", False), ("//", False),
     ("/a//b", False), ("/a/../b", False), ("/.", False), ("/a\x00", False), ("/a.b", True)],
)  # fmt: skip
def test_paths(path: str, valid: bool) -> None:
    assert is_valid(path) is valid


# The tree


class Replicas:
    """One leader and one that hears of every change."""

    def __init__(self) -> None:
        self.leader, self.follower, self.zxid = Tree(), Tree(), 0

    def do(self, request: Request, session: int = 1) -> bool:
        assert isinstance(request, Create | Delete | Check | SetData | Multi)
        try:
            steps = self.leader.prepare(request, session)
        except KeeperError:
            return False
        self.zxid += 1
        change = Change(self.zxid, 0, steps)
        assert self.leader.apply(change) == self.follower.apply(change)
        return True

    def end(self, session: int) -> None:
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
def test_replicas_stay_equal_and_trees_hold_together(steps: list[tuple[Request, int, bool]]) -> None:
    replicas = Replicas()
    for request, session, ends in steps:
        before = {path: node.full_stat() for path, node in replicas.leader.nodes.items()}
        if not replicas.do(request, session):  # it did nothing at all
            assert {path: node.full_stat() for path, node in replicas.leader.nodes.items()} == before
        if ends:
            replicas.end(session)
            assert session not in replicas.leader.ephemerals
    for tree in (replicas.leader, replicas.follower):
        for path, node in tree.nodes.items():
            kids = {p for p in tree.nodes if p != "/" and p.rpartition("/")[0] == path.rstrip("/")}
            assert {path.rstrip("/") + "/" + name for name in node.children} == kids
            assert not (node.stat.ephemeral_owner and node.children)
        owned = {p: n.stat.ephemeral_owner for p, n in tree.nodes.items() if n.stat.ephemeral_owner}
        assert owned == {p: session for session, paths in tree.ephemerals.items() for p in paths}
    assert {p: (n.data, n.full_stat()) for p, n in replicas.leader.nodes.items()} == {
        p: (n.data, n.full_stat()) for p, n in replicas.follower.nodes.items()
    }


def test_a_multi_sees_its_own_steps() -> None:
    replicas = Replicas()
    assert replicas.do(Multi((Create("/a"), Create("/a/x"), Delete("/a/x"), SetData("/a", b"1", 0), Check("/a", 1))))
    assert list(replicas.leader.nodes) == ["/", "/a"]
    assert not replicas.do(Multi((Create("/b"), Delete("/a"), Create("/a/x"))))
    assert "/b" not in replicas.leader.nodes and "/a" in replicas.leader.nodes
    assert not replicas.do(Multi((Create("/a/x"), Delete("/a"))))  # not empty by then


# Watches


def test_one_event_is_heard_once_however_many_watches_meet_it() -> None:
    watches = Watches()
    for kind in (WatchKind.DATA, WatchKind.CHILD, WatchKind.PERSISTENT, WatchKind.RECURSIVE):
        watches.add("one", kind, "/a")
    watches.add("two", WatchKind.RECURSIVE, "/")
    told = watches.trigger([(EventType.DELETED, "/a"), (EventType.CHILDREN_CHANGED, "/")])
    assert sorted(told) == [("one", (EventType.DELETED, "/a")), ("two", (EventType.DELETED, "/a"))]
    assert len(watches) == 3  # the one-shot ones are gone
    watches.remove_watcher("one")
    watches.remove_watcher("two")
    assert len(watches) == 0 and not any(paths for paths in watches.by_path.values())


def test_set_watches_tells_what_was_missed_and_sets_the_rest() -> None:
    replicas, watches = Replicas(), Watches()
    for path in ("/same", "/changed", "/parent", "/new"):
        replicas.do(Create(path))
    seen = replicas.zxid
    replicas.do(SetData("/changed", b"1"))
    replicas.do(Create("/parent/x"))
    wanted = SetWatches(seen, ["/same", "/changed", "/gone"], ["/new", "/not"], ["/parent", "/same"], ["/p"], ["/r"])
    missed = watches.restore("me", wanted, replicas.leader)
    assert missed == [
        (EventType.DATA_CHANGED, "/changed"), (EventType.DELETED, "/gone"), (EventType.CREATED, "/new"),
        (EventType.CHILDREN_CHANGED, "/parent"),
    ]  # fmt: skip
    assert watches.by_watcher["me"] == {
        (WatchKind.DATA, "/same"), (WatchKind.DATA, "/not"), (WatchKind.CHILD, "/same"), (WatchKind.PERSISTENT, "/p"),
        (WatchKind.RECURSIVE, "/r"),
    }  # fmt: skip


# The service, by hand


class Hand:
    """A client that sends what it is told to."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer, self.xid = reader, writer, 0
        self.events: list[tuple[int, str]] = []

    async def message(self) -> bytes:
        size = int.from_bytes(await self.reader.readexactly(4), "big")
        return await self.reader.readexactly(size)

    async def connect(self, request: ConnectRequest | None = None) -> ConnectResponse:
        self.writer.write(frame((request or ConnectRequest()).encode()))
        return ConnectResponse.decode(await self.message())

    async def reply(self) -> tuple[ReplyHeader, Reader]:
        """The next that is no event; events on the way are kept."""
        while True:
            of = Reader(await self.message())
            header = ReplyHeader.read(of)
            if header.xid != -1:
                return header, of
            type_, _, path = of.int32(), of.int32(), of.text()
            self.events.append((type_, path))

    async def ask(self, request: Request) -> tuple[int, Reader]:
        self.xid += 1
        self.writer.write(frame(encode_request(self.xid, request)))
        header, of = await self.reply()
        assert header.xid == self.xid
        return header.err, of


@asynccontextmanager
async def service(servers: int = 1) -> AsyncIterator[Ensemble]:
    ensemble = Ensemble(servers)
    await ensemble.start()
    try:
        yield ensemble
    finally:
        ensemble.close()


async def hand(ensemble: Ensemble, server: int = 0) -> Hand:
    return Hand(*await asyncio.open_connection(*ensemble.servers[server].address))


@on_loop
async def test_persistent_and_recursive_watches() -> None:
    async with service() as ensemble:
        one = await hand(ensemble)
        await one.connect()
        await one.ask(Create("/a"))
        for mode in (0, 1):
            assert (await one.ask(AddWatch("/a", mode)))[0] == Code.OK
        assert (await one.ask(AddWatch("/a", 7)))[0] == Code.BAD_ARGUMENTS
        await one.ask(SetData("/a", b"1"))
        await one.ask(Create("/a/x"))
        await one.ask(SetData("/a/x", b"1"))
        assert one.events == [(3, "/a"), (1, "/a/x"), (4, "/a"), (3, "/a/x")]
        assert (await one.ask(RemoveWatches("/a", 3, Op.CHECK_WATCHES)))[0] == Code.OK
        assert (await one.ask(RemoveWatches("/a", 3)))[0] == Code.OK
        assert (await one.ask(RemoveWatches("/a", 3)))[0] == Code.NO_WATCHER
        await one.ask(SetData("/a", b"2"))
        assert len(one.events) == 4


@on_loop
async def test_watches_are_set_again_on_a_new_connection_of_the_session() -> None:
    async with service() as ensemble:
        one = await hand(ensemble)
        response = await one.connect()
        await one.ask(Create("/a"))
        await one.ask(Read("/a", True))
        seen = ensemble.tree.zxid
        ensemble.disrupt_session(response.session)
        other = await hand(ensemble)
        await other.connect()
        await other.ask(SetData("/a", b"1"))
        again = await hand(ensemble)
        request = ConnectRequest(last_zxid=seen, session=response.session, password=response.password)
        assert (await again.connect(request)).session == response.session
        assert (await again.ask(SetWatches(seen, ["/a"], ["/b"], [], [], ["/"])))[0] == Code.OK
        assert again.events == [(3, "/a")]
        await other.ask(Create("/b"))
        await again.ask(EmptyRequest(Op.PING))
        assert again.events == [(3, "/a"), (1, "/b")]


@on_loop
async def test_a_notification_that_was_held_comes_after_the_sessions_end_to_nobody() -> None:
    async with service() as ensemble:
        one, other = await hand(ensemble), await hand(ensemble)
        response = await one.connect()
        await other.connect()
        await one.ask(Create("/a"))
        await one.ask(Read("/a", True))
        ensemble.sessions[response.session].notification_delay_s = 0.05
        await other.ask(SetData("/a", b"1"))
        ensemble.expire(response.session)
        assert await one.reader.read() == b"" and not one.events
        await asyncio.sleep(0.08)  # its time has come, and there is nobody to tell
        assert ensemble.counts.notifications == 1 and ensemble.counts.expired == 1


@on_loop
async def test_a_server_that_has_seen_less_than_the_client_sends_it_elsewhere() -> None:
    async with service(2) as ensemble:
        ensemble.servers[1].lag_s = 30.0
        one = await hand(ensemble)
        await one.connect()
        await one.ask(Create("/a"))
        late = await hand(ensemble, 1)
        late.writer.write(frame(ConnectRequest(last_zxid=ensemble.tree.zxid).encode()))
        assert await late.reader.read() == b""


@on_loop
async def test_an_ensemble_that_lost_its_last_changes_goes_back() -> None:
    async with service() as ensemble:
        one = await hand(ensemble)
        response = await one.connect()
        for name in ("/a", "/b", "/c"):
            await one.ask(Create(name, b"", OPEN_ACL, Mode.EPHEMERAL))
        before = ensemble.tree.zxid
        ensemble.stop()
        await ensemble.restart(lost_changes=2)
        assert ensemble.tree.zxid == before - 2 and set(ensemble.tree.nodes) == {"/", "/a"}
        again = await hand(ensemble)
        request = ConnectRequest(last_zxid=before, session=response.session, password=response.password)
        again.writer.write(frame(request.encode()))
        assert await again.reader.read() == b""  # it has seen more than the ensemble has
        fresh = await hand(ensemble)
        request = ConnectRequest(session=response.session, password=response.password)
        assert (await fresh.connect(request)).session == response.session


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
async def test_what_cannot_be_read_gets_a_close_and_never_a_hang(data: bytes) -> None:
    async with service() as ensemble:
        one = await hand(ensemble)
        one.writer.write(data)
        try:
            while await one.reader.read(4096):
                pass
        except ConnectionResetError:
            pass
        other = await hand(ensemble)  # and the service goes on
        assert (await other.connect()).session


@on_loop
async def test_an_unknown_request_is_unimplemented_and_the_four_letter_words_answer() -> None:
    async with service() as ensemble:
        one = await hand(ensemble)
        await one.connect()
        one.writer.write(frame(Writer().int32(1).int32(77).data))
        header, _ = await one.reply()
        assert header.err == Code.UNIMPLEMENTED
        word = await hand(ensemble)
        word.writer.write(b"ruok")
        assert await word.reader.read() == b"imok"


@on_loop
async def test_requests_that_come_together_are_answered_in_their_order() -> None:
    async with service(2) as ensemble:
        ensemble.servers[1].lag_s = 0.03
        one = await hand(ensemble, 1)
        await one.connect()
        for xid in range(1, 101):
            request = Create(f"/n{xid}") if xid % 2 else Read(f"/n{xid - 1}", False, Op.EXISTS)
            one.writer.write(frame(encode_request(xid, request)))
        replies = [(await one.reply())[0] for _ in range(100)]
        assert [reply.xid for reply in replies] == list(range(1, 101))
        assert all(reply.err == Code.OK for reply in replies)
        assert [r.zxid for r in replies] == sorted(r.zxid for r in replies)
