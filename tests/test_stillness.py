"""A process that stood still: what was said meanwhile is read before anything is sent.

The loop stands still here because the test does not give it a turn. What the test's plain sockets send then waits in
the kernel; the client's request is sent first, so that the loop comes to it first.
"""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.core import clock
from cloverkeel.core.stall_detector import HEARTBEAT_INTERVAL_US, STALL_THRESHOLD_US, MAX_HOLD_US, StallDetector

from tests.sockets import Message, Running, configuration, endpoint, hosts_list, on_loop, read_message, reply, request
from tests.sockets import running, until

GRACE_US = 200_000
STALL_S = 0.45


# The decision


STANDS_US = (
    st.integers(0, STALL_THRESHOLD_US)
    | st.integers(STALL_THRESHOLD_US - 10, STALL_THRESHOLD_US + 10)
    | st.integers(0, 5_000_000)
)


class Loop:
    """A loop that turns or stands still, words that wait for it, and sends that ask whether they may."""

    def __init__(self) -> None:
        self.now_us = 1_000_000
        self.still = StallDetector(self.now_us)
        self.unread: list[int] = []  # when each came to this machine

    def stand(self, us: int, word_at: int | None) -> None:
        """Nothing turns; a word may come at some moment of it."""
        if word_at is not None:
            self.unread.append(self.now_us + min(word_at, us))
        self.now_us += us

    def look(self) -> None:
        self.still.check(self.now_us)

    def turn(self) -> None:
        """The loop reads what has come; in a hold that is for membership to say."""
        if not self.still.is_holding:
            self.unread.clear()

    def send(self) -> None:
        self.look()
        if not self.still.is_holding:
            assert all(self.now_us - word_us <= STALL_THRESHOLD_US for word_us in self.unread)

    def end(self, caught_up: bool) -> None:
        """Membership has read what there was, or the time of the hold is looked at."""
        self.look()
        if self.still.is_holding and caught_up:
            self.unread.clear()
        since_us = self.still.hold_started_us
        if self.still.end_hold(self.now_us, caught_up) and not caught_up:
            assert self.now_us - since_us >= MAX_HOLD_US
            self.unread.clear()  # it goes on without: that is the bound


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("stand"), STANDS_US, st.none() | STANDS_US),
            st.tuples(st.sampled_from(["look", "send", "caught up", "time"]), st.just(0), st.none()),
        ),
        max_size=60,
    )
)
def test_nothing_is_sent_before_what_came_in_a_gap_is_read(steps: list[tuple[str, int, int | None]]) -> None:
    loop = Loop()
    for what, us, word_at in steps:
        loop.stand(us, word_at)
        match what:
            case "look":
                loop.look()
            case "send":
                loop.send()
            case "caught up":
                loop.end(caught_up=True)
            case "time":
                loop.end(caught_up=False)
            case _:
                continue
        loop.turn()


def test_a_gap_of_just_under_the_limit_each_second_holds_nothing_up() -> None:
    still = StallDetector(0)
    for second in range(1, 100):
        still.check(second * 1_000_000 - STALL_THRESHOLD_US)
        for beat in range(1_000_000 - STALL_THRESHOLD_US, 0, -HEARTBEAT_INTERVAL_US):
            still.check(second * 1_000_000 - beat + (1_000_000 - STALL_THRESHOLD_US) - STALL_THRESHOLD_US)
    assert not StallDetector(0).check(STALL_THRESHOLD_US) and StallDetector(0).check(STALL_THRESHOLD_US + 1)


def test_a_second_gap_begins_the_hold_anew_and_a_clock_that_steps_back_is_none() -> None:
    still = StallDetector(0)
    assert still.check(1_000_000) and still.is_holding and still.stall_us == 1_000_000
    assert not still.end_hold(1_000_000 + MAX_HOLD_US - 1, caught_up=False)
    assert still.check(1_900_000) and still.hold_started_us == 1_900_000 and still.stall_count == 2
    assert not still.check(1_200_000) and not still.check(1_900_000 + STALL_THRESHOLD_US)
    assert still.end_hold(1_900_000 + MAX_HOLD_US, caught_up=False) and still.expired_holds == 1
    assert not still.end_hold(1_900_000 + MAX_HOLD_US, caught_up=True)


def test_the_clock_counts_suspends(monkeypatch: pytest.MonkeyPatch) -> None:
    before = clock.now_us()
    monkeypatch.setattr(time, "monotonic_ns", lambda: 0)  # as in a suspend in which it stands still
    assert before <= clock.now_us() < before + 60_000_000
    assert abs(clock.now_us() * 1000 - time.clock_gettime_ns(time.CLOCK_BOOTTIME) - clock._OFFSET_NS) < 60 * 10**9


# The program


@dataclass
class Line:
    """A plain socket that the loop knows nothing of."""

    sock: socket.socket

    def say(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def hear(self) -> bytes:
        """What has come, once something has."""
        self.sock.setblocking(False)
        try:
            return await asyncio.get_running_loop().sock_recv(self.sock, 65536)
        finally:
            self.sock.setblocking(True)

    def answer(self) -> Message:
        """The answer to what was said; the loop has had its turns by then."""
        self.sock.settimeout(5.0)
        return parse_message(self.sock)


def parse_message(sock: socket.socket) -> Message:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(65536)
        if not piece:
            raise EOFError
        data += piece

    async def read() -> Message:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await read_message(reader)

    return asyncio.new_event_loop().run_until_complete(read())


@dataclass
class Stage:
    """A gateway with one host and one registry, both plain sockets."""

    run: Running
    host: socket.socket
    registry: Line
    listener: socket.socket  # of the registry

    def client(self) -> Line:
        return Line(socket.create_connection(("127.0.0.1", self.run.port)))

    async def kept(self) -> Line:
        """A client's connection that the gateway knows."""
        client = self.client()
        before = len(self.run.server.connections)
        await until(lambda: len(self.run.server.connections) > before)
        return client

    def tell(self, status: str, index: int = 8) -> None:
        body = json.dumps(hosts_list(index, endpoint("s-0", self.address, status=status), snapshot=False)).encode()
        self.registry.say(reply(200, body))

    @property
    def address(self) -> str:
        host, port = self.host.getsockname()
        return f"{host}:{port}"

    async def accept(self) -> Line:
        self.host.setblocking(False)
        sock, _ = await asyncio.get_running_loop().sock_accept(self.host)
        return Line(sock)

    async def answer(self, client: Line) -> Message:
        reader, writer = await asyncio.open_connection(sock=client.sock)
        try:
            return await read_message(reader)
        finally:
            writer.transport.abort()


@asynccontextmanager
async def stage() -> AsyncIterator[Stage]:
    with socket.create_server(("127.0.0.1", 0)) as host, socket.create_server(("127.0.0.1", 0)) as listener:
        config = configuration("{}:{}".format(*host.getsockname()), discovery="{}:{}".format(*listener.getsockname()))
        config["settings"]["contract"]["stopSendingWithinUs"] = GRACE_US
        async with running(config) as run:
            listener.setblocking(False)
            sock, _ = await asyncio.get_running_loop().sock_accept(listener)
            registry = Line(sock)
            assert b"GET /registry/instances?from=7&hold_ms=0 " in await registry.hear()
            registry.say(reply(200, json.dumps(hosts_list(7, snapshot=False)).encode()))
            assert b"GET /registry/instances?from=7&hold_ms=1000 " in await registry.hear()
            made = Stage(run, host, registry, listener)
            try:
                yield made
            finally:
                registry.sock.close()


def stand_still() -> None:
    """The loop has no turn for longer than the grace of a drain."""
    time.sleep(STALL_S)


@on_loop
async def test_word_of_a_drain_is_read_before_a_request_that_came_first() -> None:
    async with stage() as at:
        client = await at.kept()
        client.say(request())
        at.tell("DRAINING")
        stand_still()
        assert (await at.answer(client)).status == 503
        assert at.run.pool.counts.opened == 0 and at.run.gateway.stall_detector.stall_count >= 1


@on_loop
async def test_without_word_a_request_is_served_at_once() -> None:
    async with stage() as at:
        client = await at.kept()
        client.say(request())
        stand_still()
        begun = time.monotonic()
        line = await at.accept()
        assert b"GET /search" in await line.hear()
        assert time.monotonic() - begun < MAX_HOLD_US / 2e6
        line.say(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_a_gap_while_a_connection_comes_up_sends_nothing_on_it() -> None:
    async with stage() as at:
        client, loop = await at.kept(), asyncio.get_running_loop()

        def stall() -> None:
            at.tell("DRAINING")
            stand_still()

        def room() -> bool:
            loop.call_soon(loop.call_soon, stall)  # in the turn after the one in which the connection is opened
            return True

        at.run.pool.reserve_descriptor = room
        client.say(request())
        assert (await at.answer(client)).status == 503
        line = await at.accept()
        assert await line.hear() == b""  # it came up, and was closed with nothing said


@on_loop
async def test_200_requests_that_waited_get_an_answer_each_and_none_is_sent() -> None:
    async with stage() as at:
        clients = [await at.kept() for _ in range(100)]
        clients += [at.client() for _ in range(100)]  # not yet accepted
        for client in clients:
            client.say(request())
        at.tell("DRAINING")
        stand_still()
        answers = await asyncio.gather(*(at.answer(client) for client in clients))
        assert [answer.status for answer in answers] == [503] * 200
        assert at.run.pool.counts.opened == 0 and not at.run.gateway.requests.by_key


@on_loop
async def test_a_registry_that_is_gone_holds_nothing_up() -> None:
    async with stage() as at:
        client = await at.kept()
        client.say(request())
        at.registry.sock.close()
        stand_still()
        line = await at.accept()
        assert b"GET /search" in await line.hear()
        line.say(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_a_list_that_comes_in_part_holds_up_within_the_bound() -> None:
    async with stage() as at:
        client = await at.kept()
        client.say(request())
        at.registry.say(b"HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{")
        stand_still()
        begun = time.monotonic()
        line = await at.accept()
        assert MAX_HOLD_US / 1e6 * 0.9 < time.monotonic() - begun < MAX_HOLD_US / 1e6 + 1.0
        assert at.run.gateway.stall_detector.expired_holds == 1
        line.say(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_a_request_whose_time_is_over_in_the_hold_is_refused_then() -> None:
    async with stage() as at:
        clients = [await at.kept(), await at.kept()]
        clients[0].say(request(budget_ms=100))  # it is the first to be looked at, and finds the gap
        at.registry.say(b"HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{")
        stand_still()
        await until(lambda: at.run.gateway.stall_detector.is_holding)
        clients[1].say(request(budget_ms=60))
        begun = time.monotonic()
        answers = await asyncio.gather(*(at.answer(client) for client in clients))
        assert [answer.status for answer in answers] == [503, 503]
        assert time.monotonic() - begun < 0.9 * MAX_HOLD_US / 1e6 and at.run.gateway.stall_detector.is_holding
        assert at.run.pool.counts.opened == 0 and not at.run.gateway.requests.by_key


@pytest.mark.parametrize("first", ["request", "list"])
@on_loop
async def test_after_a_long_gap_what_a_watch_may_have_missed_is_asked_for(first: str) -> None:
    """Where the list was read first, it was the list by which the gap was noticed, and none was asked for."""
    async with stage() as at:
        client = await at.kept()
        if first == "request":
            client.say(request())
        at.tell("SERVING")  # the watch is over with that, and nobody asked again
        if first == "list":
            # The loop takes the list in one turn, and the request in a later one.
            discovery = at.run.discovery
            assert discovery.line is not None
            waiting = discovery.line.answer
            assert waiting is not None
            waiting.add_done_callback(lambda _: client.say(request()))
        still = at.run.gateway.stall_detector
        still.last_check_us, still.next_check_due_us = (
            still.last_check_us - 5_000_000,
            still.next_check_due_us - 5_000_000,
        )
        # What still asks by the version of before is let go: the one call that is out is made anew.
        sock, _ = await asyncio.get_running_loop().sock_accept(at.listener)
        again = Line(sock)
        assert b"from=8&hold_ms=0 " in await again.hear()
        while b"from=8&hold_ms=1000 " in await at.registry.hear():
            pass  # at most one, before the gap was noticed; then its end
        assert at.run.pool.counts.opened == 0
        assert at.run.gateway.stall_detector.is_holding
        await until(lambda: not at.run.gateway.stall_detector.is_holding)
        line = await at.accept()
        line.say(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_an_answer_that_came_in_a_gap_is_passed_on_though_its_time_is_over() -> None:
    async with stage() as at:
        client = await at.kept()
        client.say(request(budget_ms=200))
        line = await at.accept()
        await line.hear()

        class Stall(asyncio.Protocol):
            """Called with sockets that were readable before: the timers are next, and only then the sockets again."""

            def data_received(self, data: bytes) -> None:
                line.say(reply(200, b"here"))
                stand_still()

        near, far = socket.socketpair()
        with far:
            transport, _ = await asyncio.get_running_loop().create_connection(Stall, sock=near)
            far.send(b"!")
            answer = await at.answer(client)
            assert (answer.status, answer.body) == (200, b"here")
            transport.close()
