"""A process that stalled: what it was notified of meanwhile is read before anything is sent.

The loop stalls here because the test does not give it a turn. What the test's plain sockets send then waits in
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


STALLS_US = (
    st.integers(0, STALL_THRESHOLD_US)
    | st.integers(STALL_THRESHOLD_US - 10, STALL_THRESHOLD_US + 10)
    | st.integers(0, 5_000_000)
)


class Loop:
    """A loop that turns or stalls, notifications that wait for it, and sends that ask whether they may."""

    def __init__(self) -> None:
        self.now_us = 1_000_000
        self.stall_detector = StallDetector(self.now_us)
        self.unread: list[int] = []  # when each came to this machine

    def stall(self, us: int, notified_at: int | None) -> None:
        """Nothing turns; a notification may come at some moment of it."""
        if notified_at is not None:
            self.unread.append(self.now_us + min(notified_at, us))
        self.now_us += us

    def check(self) -> None:
        self.stall_detector.check(self.now_us)

    def turn(self) -> None:
        """The loop reads what has come; in a hold that is for membership to say."""
        if not self.stall_detector.is_holding:
            self.unread.clear()

    def send(self) -> None:
        self.check()
        if not self.stall_detector.is_holding:
            assert all(self.now_us - notified_us <= STALL_THRESHOLD_US for notified_us in self.unread)

    def end(self, caught_up: bool) -> None:
        """Membership has read what there was, or the time of the hold is looked at."""
        self.check()
        if self.stall_detector.is_holding and caught_up:
            self.unread.clear()
        since_us = self.stall_detector.hold_started_us
        if self.stall_detector.end_hold(self.now_us, caught_up) and not caught_up:
            assert self.now_us - since_us >= MAX_HOLD_US
            self.unread.clear()  # it goes on without: that is the bound


@settings(max_examples=300, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("stall"), STALLS_US, st.none() | STALLS_US),
            st.tuples(st.sampled_from(["check", "send", "caught up", "time"]), st.just(0), st.none()),
        ),
        max_size=60,
    )
)
def test_nothing_is_sent_before_what_came_during_a_stall_is_read(steps: list[tuple[str, int, int | None]]) -> None:
    loop = Loop()
    for what, us, notified_at in steps:
        loop.stall(us, notified_at)
        match what:
            case "check":
                loop.check()
            case "send":
                loop.send()
            case "caught up":
                loop.end(caught_up=True)
            case "time":
                loop.end(caught_up=False)
            case _:
                continue
        loop.turn()


def test_a_stall_of_just_under_the_threshold_each_second_delays_nothing() -> None:
    detector = StallDetector(0)
    for second in range(1, 100):
        detector.check(second * 1_000_000 - STALL_THRESHOLD_US)
        for beat in range(1_000_000 - STALL_THRESHOLD_US, 0, -HEARTBEAT_INTERVAL_US):
            detector.check(second * 1_000_000 - beat + (1_000_000 - STALL_THRESHOLD_US) - STALL_THRESHOLD_US)
    assert not StallDetector(0).check(STALL_THRESHOLD_US) and StallDetector(0).check(STALL_THRESHOLD_US + 1)


def test_a_second_stall_begins_the_hold_anew_and_a_clock_that_steps_back_is_none() -> None:
    detector = StallDetector(0)
    assert detector.check(1_000_000) and detector.is_holding and detector.stall_us == 1_000_000
    assert not detector.end_hold(1_000_000 + MAX_HOLD_US - 1, caught_up=False)
    assert detector.check(1_900_000) and detector.hold_started_us == 1_900_000 and detector.stall_count == 2
    assert not detector.check(1_200_000) and not detector.check(1_900_000 + STALL_THRESHOLD_US)
    assert detector.end_hold(1_900_000 + MAX_HOLD_US, caught_up=False) and detector.expired_holds == 1
    assert not detector.end_hold(1_900_000 + MAX_HOLD_US, caught_up=True)


def test_the_clock_counts_suspends(monkeypatch: pytest.MonkeyPatch) -> None:
    before = clock.now_us()
    monkeypatch.setattr(time, "monotonic_ns", lambda: 0)  # as in a suspend in which it stands still
    assert before <= clock.now_us() < before + 60_000_000
    assert abs(clock.now_us() * 1000 - time.clock_gettime_ns(time.CLOCK_BOOTTIME) - clock._OFFSET_NS) < 60 * 10**9


# The program


@dataclass
class PlainSocket:
    """A plain socket that the loop knows nothing of."""

    sock: socket.socket

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    async def receive(self) -> bytes:
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
        chunk = sock.recv(65536)
        if not chunk:
            raise EOFError
        data += chunk

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
    registry: PlainSocket
    listener: socket.socket  # of the registry

    def client(self) -> PlainSocket:
        return PlainSocket(socket.create_connection(("127.0.0.1", self.run.port)))

    async def kept(self) -> PlainSocket:
        """A client's connection that the gateway knows."""
        client = self.client()
        before = len(self.run.server.connections)
        await until(lambda: len(self.run.server.connections) > before)
        return client

    def notify(self, status: str, index: int = 8) -> None:
        body = json.dumps(hosts_list(index, endpoint("s-0", self.address, status=status), snapshot=False)).encode()
        self.registry.send(reply(200, body))

    @property
    def address(self) -> str:
        host, port = self.host.getsockname()
        return f"{host}:{port}"

    async def accept(self) -> PlainSocket:
        self.host.setblocking(False)
        sock, _ = await asyncio.get_running_loop().sock_accept(self.host)
        return PlainSocket(sock)

    async def answer(self, client: PlainSocket) -> Message:
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
            registry = PlainSocket(sock)
            assert b"GET /registry/instances?from=7&hold_ms=0 " in await registry.receive()
            registry.send(reply(200, json.dumps(hosts_list(7, snapshot=False)).encode()))
            assert b"GET /registry/instances?from=7&hold_ms=1000 " in await registry.receive()
            made = Stage(run, host, registry, listener)
            try:
                yield made
            finally:
                registry.sock.close()


def stall_loop() -> None:
    """The loop has no turn for longer than the grace of a drain."""
    time.sleep(STALL_S)


@on_loop
async def test_word_of_a_drain_is_read_before_a_request_that_came_first() -> None:
    async with stage() as at:
        client = await at.kept()
        client.send(request())
        at.notify("DRAINING")
        stall_loop()
        assert (await at.answer(client)).status == 503
        assert at.run.pool.counts.opened == 0 and at.run.gateway.stall_detector.stall_count >= 1


@on_loop
async def test_without_word_a_request_is_served_at_once() -> None:
    async with stage() as at:
        client = await at.kept()
        client.send(request())
        stall_loop()
        started_s = time.monotonic()
        line = await at.accept()
        assert b"GET /search" in await line.receive()
        assert time.monotonic() - started_s < MAX_HOLD_US / 2e6
        line.send(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_a_stall_while_a_connection_comes_up_sends_nothing_on_it() -> None:
    async with stage() as at:
        client, loop = await at.kept(), asyncio.get_running_loop()

        def stall() -> None:
            at.notify("DRAINING")
            stall_loop()

        def on_reserve() -> bool:
            loop.call_soon(loop.call_soon, stall)  # in the turn after the one in which the connection is opened
            return True

        at.run.pool.reserve_descriptor = on_reserve
        client.send(request())
        assert (await at.answer(client)).status == 503
        line = await at.accept()
        assert await line.receive() == b""  # it came up, and was closed with nothing said


@on_loop
async def test_200_requests_that_waited_get_an_answer_each_and_none_is_sent() -> None:
    async with stage() as at:
        clients = [await at.kept() for _ in range(100)]
        clients += [at.client() for _ in range(100)]  # not yet accepted
        for client in clients:
            client.send(request())
        at.notify("DRAINING")
        stall_loop()
        answers = await asyncio.gather(*(at.answer(client) for client in clients))
        assert [answer.status for answer in answers] == [503] * 200
        assert at.run.pool.counts.opened == 0 and not at.run.gateway.requests.by_key


@on_loop
async def test_a_registry_that_is_gone_holds_nothing_up() -> None:
    async with stage() as at:
        client = await at.kept()
        client.send(request())
        at.registry.sock.close()
        stall_loop()
        line = await at.accept()
        assert b"GET /search" in await line.receive()
        line.send(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_a_list_that_comes_in_part_holds_up_within_the_bound() -> None:
    async with stage() as at:
        client = await at.kept()
        client.send(request())
        at.registry.send(b"HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{")
        stall_loop()
        started_s = time.monotonic()
        line = await at.accept()
        assert MAX_HOLD_US / 1e6 * 0.9 < time.monotonic() - started_s < MAX_HOLD_US / 1e6 + 1.0
        assert at.run.gateway.stall_detector.expired_holds == 1
        line.send(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_a_request_whose_time_is_over_in_the_hold_is_refused_then() -> None:
    async with stage() as at:
        clients = [await at.kept(), await at.kept()]
        clients[0].send(request(budget_ms=100))  # it is the first to be looked at, and finds the gap
        at.registry.send(b"HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{")
        stall_loop()
        await until(lambda: at.run.gateway.stall_detector.is_holding)
        clients[1].send(request(budget_ms=60))
        started_s = time.monotonic()
        answers = await asyncio.gather(*(at.answer(client) for client in clients))
        assert [answer.status for answer in answers] == [503, 503]
        assert time.monotonic() - started_s < 0.9 * MAX_HOLD_US / 1e6 and at.run.gateway.stall_detector.is_holding
        assert at.run.pool.counts.opened == 0 and not at.run.gateway.requests.by_key


@pytest.mark.parametrize("first", ["request", "list"])
@on_loop
async def test_after_a_long_stall_what_a_watch_may_have_missed_is_asked_for(first: str) -> None:
    """Where the list was read first, it was the list by which the gap was noticed, and none was asked for."""
    async with stage() as at:
        client = await at.kept()
        if first == "request":
            client.send(request())
        at.notify("SERVING")  # the watch is over with that, and nobody asked again
        if first == "list":
            # The loop takes the list in one turn, and the request in a later one.
            discovery = at.run.discovery
            assert discovery.connection is not None
            waiting = discovery.connection.pending_reply
            assert waiting is not None
            waiting.add_done_callback(lambda _: client.send(request()))
        detector = at.run.gateway.stall_detector
        detector.last_check_us, detector.next_check_due_us = (
            detector.last_check_us - 5_000_000,
            detector.next_check_due_us - 5_000_000,
        )
        # What still asks by the version of before is let go: the one call that is out is made anew.
        sock, _ = await asyncio.get_running_loop().sock_accept(at.listener)
        again = PlainSocket(sock)
        assert b"from=8&hold_ms=0 " in await again.receive()
        while b"from=8&hold_ms=1000 " in await at.registry.receive():
            pass  # at most one, before the gap was noticed; then its end
        assert at.run.pool.counts.opened == 0
        assert at.run.gateway.stall_detector.is_holding
        await until(lambda: not at.run.gateway.stall_detector.is_holding)
        line = await at.accept()
        line.send(reply(200))
        assert (await at.answer(client)).status == 200


@on_loop
async def test_an_answer_that_came_during_a_stall_is_returned_though_its_time_is_over() -> None:
    async with stage() as at:
        client = await at.kept()
        client.send(request(budget_ms=200))
        line = await at.accept()
        await line.receive()

        class Stall(asyncio.Protocol):
            """Called with sockets that were readable before: the timers are next, and only then the sockets again."""

            def data_received(self, data: bytes) -> None:
                line.send(reply(200, b"here"))
                stall_loop()

        near, far = socket.socketpair()
        with far:
            transport, _ = await asyncio.get_running_loop().create_connection(Stall, sock=near)
            far.send(b"!")
            answer = await at.answer(client)
            assert (answer.status, answer.body) == (200, b"here")
            transport.close()
