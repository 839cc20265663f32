"""Two events that cross, each order forced: docs/crossings.md has the table."""

from __future__ import annotations

import asyncio
import errno
import os
import resource
import socket
import struct
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, cast

import pytest

from cloverkeel.balancing.actions import FetchList, WatchList
from cloverkeel.balancing.events import Outcome, ServerList
from cloverkeel.core.calls import ResponseStream
from cloverkeel.core.clock import now_us
from cloverkeel.core.messages import Reply
from cloverkeel.frontends.http1.admission import RESERVED_DESCRIPTORS
from cloverkeel.frontends.http1.listener import ACCEPT_RETRY_INTERVAL_S
from cloverkeel.discovery.poll_schedule import (
    EMPTY_REPLY_PAUSE_S,
    LONG_POLL_HOLD_S,
    MAX_NOTIFICATION_DELAY_S,
    SILENT_CONNECTION_DETECTION_S,
    SILENT_WATCH_DETECTION_S,
)
from tests.sockets import (
    Exchange, Running, answers, configuration, endpoint, host_id, list_reply, on_loop, overhear, peer, reply, request,
    running, silent, until,
)  # fmt: skip
from tests.cli.process import connect, program


class LateHost:
    """A port at which connections do not come up until `open`: its queue is full, and what knocks is not answered."""

    def __init__(self, listener: socket.socket) -> None:
        self.listener = listener
        self.address = f"127.0.0.1:{listener.getsockname()[1]}"
        self.fillers = [socket.socket() for _ in range(2)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        self.ports = {filler.getsockname()[1] for filler in self.fillers}

    def open(self) -> None:
        """What knocks now comes up; the kernel knocks again a second after the first time, then after two."""
        for filler in self.fillers:
            filler.close()
        self.listener.listen(16)

    async def accept(self) -> socket.socket:
        """The gateway's connection; the fillers' are passed over."""
        self.listener.setblocking(False)
        while True:
            sock, (_, port) = await asyncio.get_running_loop().sock_accept(self.listener)
            if port not in self.ports:
                return sock
            sock.close()


@contextmanager
def late_host() -> Iterator[LateHost]:
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        host = LateHost(listener)
        try:
            yield host
        finally:
            for filler in host.fillers:
                filler.close()


# Lists


def drained(run: Running, number: int = 0) -> bool:
    return run.pool.hosts[host_id(number)].draining_since_us is not None


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@on_loop
async def test_a_watch_that_falls_silent_is_made_anew_in_time(mode: str) -> None:
    """The change comes right after it fell silent: nobody else will tell of it."""
    gone_silent: list[float] = []

    def script(exchange: Exchange) -> None:
        if exchange.connection > 1:
            entry = endpoint("s-0", host.address, status="DRAINING")
            exchange.answer(list_reply(8, entry, snapshot=False))
            registry.script = silent
        elif b"hold_ms=0" in exchange.message.first.encode():
            exchange.answer(list_reply(7, snapshot=False))
        else:
            gone_silent.append(time.monotonic())

    async with peer() as host, peer(script) as registry:
        config = configuration(host, discovery=registry.address)
        config["settings"]["membershipMode"] = mode
        async with running(config) as run:
            run.gateway.dispatcher.carry_out(WatchList())
            await until(lambda: gone_silent)
            await until(lambda: drained(run))
            assert time.monotonic() - gone_silent[0] < SILENT_WATCH_DETECTION_S < MAX_NOTIFICATION_DELAY_S


@on_loop
async def test_a_connection_that_is_silent_from_the_first_is_given_up_in_time(capsys: Any) -> None:
    begun: list[float] = []

    def script(exchange: Exchange) -> None:
        if exchange.connection == 1:
            begun.append(time.monotonic())
        else:
            exchange.answer(list_reply(8, endpoint("s-0", host.address, status="DRAINING"), snapshot=False))
            registry.script = silent

    async with (
        peer() as host,
        peer(script) as registry,
        running(configuration(host, discovery=registry.address)) as run,
    ):
        await until(lambda: begun and drained(run))
        assert time.monotonic() - begun[0] < SILENT_CONNECTION_DETECTION_S < MAX_NOTIFICATION_DELAY_S
        assert "discovery: TimeoutError\n" in capsys.readouterr().err


@on_loop
async def test_what_a_call_was_answered_that_another_has_replaced_is_not_heard() -> None:
    """The older answer has come, and is not yet read, when the list is asked for anew."""
    old = list_reply(8, endpoint("s-0", "127.0.0.1:1", status="DRAINING"))
    async with peer(silent) as registry, running(configuration("127.0.0.1:1", discovery=registry.address)) as run:
        await until(lambda: registry.seen)
        told: list[object] = []
        overhear(run, told.append)
        os.write(registry.seen[0].writer.get_extra_info("socket").fileno(), old)
        run.gateway.dispatcher.carry_out(FetchList())
        await until(lambda: len(registry.seen) == 2)
        registry.seen[1].answer(list_reply(9, endpoint("s-0", "127.0.0.1:1")))
        await until(lambda: run.discovery.schedule.version == 9)
        assert not drained(run) and len([event for event in told if isinstance(event, ServerList)]) == 1
        await until(lambda: registry.ended == 1)


@on_loop
async def test_a_service_that_lost_its_versions_tells_all_and_is_believed() -> None:
    """Changes up to a version below the one held are no answer; the whole list of any version is."""
    listed = [endpoint("s-1", "127.0.0.1:1")]

    def script(exchange: Exchange) -> None:
        if "from=" not in exchange.message.first:
            exchange.answer(list_reply(2, *listed))
        elif "from=7" in exchange.message.first:
            exchange.answer(list_reply(1, endpoint("s-0", "127.0.0.1:1", status="SERVING"), snapshot=False))

    async with peer(script) as registry, running(configuration("127.0.0.1:1", discovery=registry.address)) as run:
        await until(lambda: set(run.pool.hosts) == {host_id(1)})
        assert run.discovery.schedule.version == 2
        await until(lambda: any("from=2" in exchange.message.first for exchange in registry.seen))


@on_loop
async def test_a_service_that_answers_a_watch_at_once_with_nothing_is_not_asked_without_end() -> None:
    async with (
        peer(answers(list_reply(7, snapshot=False))) as registry,
        running(configuration("127.0.0.1:1", discovery=registry.address)),
    ):
        await until(lambda: len(registry.seen) >= 3)
        before, begun_s = len(registry.seen), time.monotonic()
        await until(lambda: time.monotonic() - begun_s > LONG_POLL_HOLD_S / 2)
        assert len(registry.seen) - before <= LONG_POLL_HOLD_S / 2 / EMPTY_REPLY_PAUSE_S + 1


@pytest.mark.parametrize("status", ["DRAINING", "DELETED"])
@pytest.mark.parametrize("odd", [{}, {"address": "nowhere"}, {"weight": "heavy"}, {"since_ms": "long ago"}])
@on_loop
async def test_a_host_that_leaves_is_gone_whatever_else_its_entry_says(status: str, odd: dict[str, object]) -> None:
    entry: dict[str, object] = {"name": "s-0", "status": status}
    if odd:
        entry = endpoint("s-0", "127.0.0.1:1", status=status) | odd
    async with (
        peer(silent) as registry,
        running(configuration("127.0.0.1:1", "127.0.0.1:2", discovery=registry.address)) as run,
    ):
        await until(lambda: registry.seen)
        registry.seen[0].answer(list_reply(8, entry, {"status": status}, {"name": "s-1"}, snapshot=False))
        await until(lambda: set(run.pool.hosts) == {host_id(1)})
        assert set(run.module.endpoints.by_server) == {host_id(1)}


@pytest.mark.parametrize("first", ["silent", "503", "reset", "garbage"])
@pytest.mark.parametrize("known", [{}, {"index": "new", "endpoints": 3}])
@on_loop
async def test_a_process_that_knows_no_host_is_ready_in_time_though_its_first_call_fails(
    first: str, known: dict[str, object]
) -> None:
    """Nine in ten that restart together are to be ready within 10 s: one failure must leave room for another."""
    failing = {"silent": silent, "503": answers(reply(503)), "garbage": answers(b"\x00\x01\r\n\r\n")}

    def script(exchange: Exchange) -> None:
        if len(registry.seen) > 1:
            exchange.answer(list_reply(3, endpoint("s-0", host.address)))
            registry.script = silent
        elif first == "reset":
            exchange.reset()
        else:
            failing[first](exchange)

    async with peer() as host, peer(script) as registry:
        config = configuration(discovery=registry.address) | {"known": known}
        config["settings"]["membershipMode"] = "on_request"
        begun_s = time.monotonic()
        async with running(config) as run:
            assert not run.server.is_ready
            await until(lambda: run.server.is_ready)
            assert time.monotonic() - begun_s < 5.0
            assert (await run.ask(request())).status == 200


# Attempts


def unwanted(reply: Reply, length: int | None, latency_us: int) -> ResponseStream | None:
    return None


@pytest.mark.parametrize("begin_in_s", [0.3, 20.0])
@on_loop
async def test_what_may_only_begin_by_a_time_is_written_by_then_or_never(begin_in_s: float) -> None:
    """A repeat that was chosen while repeats are dropped, and whose connection comes up when they are run again."""
    with late_host() as late:
        async with running(configuration(late.address)) as run:
            ended: list[Outcome] = []
            by_us = now_us() + int(begin_in_s * 1e6)
            run.attempt_sender.start_attempt(
                host_id(0), lambda _: [request("hold")], 20_000_000, lambda result: ended.append(result.outcome),
                unwanted, None, by_us,
            )  # fmt: skip
            if begin_in_s < 1.0:
                await until(lambda: ended)
                assert ended == [Outcome.MOOT] and now_us() >= by_us
                await until(lambda: run.pool.open_connections == 0)
            else:
                late.open()
                assert b"POST /hold" in await asyncio.get_running_loop().sock_recv(await late.accept(), 65_536)
                assert not ended


@on_loop
async def test_a_host_gets_the_time_that_is_left_when_its_connection_has_come_up() -> None:
    with late_host() as late:
        async with running(configuration(late.address)) as run:
            client = await run.connect()
            client.send(request("search"))
            await until(lambda: run.pool.open_connections)
            (held,) = run.gateway.requests.by_key.values()
            opened_us = now_us()
            late.open()
            heard = await asyncio.get_running_loop().sock_recv(await late.accept(), 65_536)
            told_ms = int(heard.partition(b"X-Budget-Ms: ")[2].split(b"\r\n")[0])
            assert 0 < told_ms * 1000 <= held.deadline_us - opened_us
            client.close()


@on_loop
async def test_a_large_repeat_that_is_not_wholly_written_in_time_is_broken_off() -> None:
    """Its last byte has not gone out, so it has not run; a host that reads it later must not get the rest."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        async with running(configuration(f"127.0.0.1:{listener.getsockname()[1]}")) as run:
            ended: list[Outcome] = []
            head = request("hold").replace(b"content-length: 0", b"Content-Length: 20000000")
            body = [b"x" * 65_536] * 305
            by_us = now_us() + 300_000
            run.attempt_sender.start_attempt(
                host_id(0), lambda _: [head, *body], 20_000_000, lambda result: ended.append(result.outcome),
                unwanted, None, by_us,
            )  # fmt: skip
            await until(lambda: ended)  # nobody has read any of it
            assert ended == [Outcome.MOOT] and now_us() >= by_us


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("leaves", [True, False])
@on_loop
async def test_nothing_is_written_for_a_client_that_left_while_a_connection_came_up(
    may_cancel: bool, leaves: bool
) -> None:
    with late_host() as late:
        async with running(configuration(late.address, mayCancel=may_cancel)) as run:
            client = await run.connect()
            client.send(request("transfer"))
            await until(lambda: run.pool.open_connections)
            if leaves:
                client.close()
                await until(lambda: not run.server.connections)
            if leaves and may_cancel:
                await until(lambda: not run.pool.open_connections)  # counted out a turn after it is called off
                assert not run.pool.counts.failed  # that was no connection given up at its time-out
                late.open()
                assert not run.pool.open_connections and run.pool.counts.opened == 1
                return
            late.open()
            sock = await late.accept()
            heard = await asyncio.get_running_loop().sock_recv(sock, 65_536)
            assert heard == b"" if leaves else b"POST /transfer" in heard
            await until(lambda: not run.gateway.requests.by_key or not leaves)
            sock.close()


@pytest.mark.parametrize("end", ["FIN", "RST"])
@on_loop
async def test_what_a_client_sent_ahead_is_not_sent_on_once_it_has_gone(end: str) -> None:
    """So many requests that nothing more is read of the connection: its end is not read either."""
    async with peer(silent) as host, running(configuration(host)) as run:
        with socket.create_connection(("127.0.0.1", run.port)) as client:
            client.sendall(b"".join(request("search") for _ in range(200)))
            await until(lambda: host.seen)
            (connection,) = run.server.connections
            assert connection.reader.unparsed
            if end == "RST":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        async with asyncio.timeout(2.0):
            await until(lambda: not run.server.connections)
        host.script = answers(reply())
        assert (await run.ask(request())).status == 200
        assert len(host.seen) == 2 and not run.gateway.requests.by_key


@pytest.mark.parametrize("end", ["FIN", "RST"])
@on_loop
async def test_a_client_that_has_gone_gets_no_further_attempt_though_its_end_is_not_yet_read(end: str) -> None:
    """It leaves in the very turn in which its first attempt fails; the loop reads of that only afterwards."""
    with socket.socket() as client:

        def leave(server: int, outcome: Outcome, latency_us: int) -> None:
            if end == "RST":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()

        turned_away = answers(reply(503, b"", "X-Rejected: 1"))
        async with peer(turned_away) as one, peer(turned_away) as other, running(configuration(one, other)) as run:
            run.gateway.dispatcher.on_attempt_outcome = leave
            client.connect(("127.0.0.1", run.port))
            client.sendall(request("search"))
            await until(lambda: one.seen or other.seen)
            await until(lambda: not run.gateway.requests.by_key and not run.server.connections)
            assert len(one.seen) + len(other.seen) == 1
            run.gateway.dispatcher.on_attempt_outcome = None
            assert (await run.ask(request())).status == 503  # one that stays is tried at both
            assert len(one.seen) + len(other.seen) == 3


@pytest.mark.parametrize("late", [True, False])
@on_loop
async def test_a_second_answer_that_comes_late_is_not_the_next_requests(late: bool) -> None:
    """The next request comes between the two, or after both: it is answered by its own in either order."""
    async with peer(answers(reply(200, b"first"))) as host, running(configuration(host)) as run:
        assert (await run.ask(request())).body == b"first"
        host.script = silent
        if late:
            asked = asyncio.create_task(run.ask(request()))
            await until(lambda: len(host.seen) == 2)
            host.seen[0].answer(reply(200, b"first"))
        else:
            host.seen[0].answer(reply(200, b"first"))
            await until(lambda: run.pool.open_connections == 0)
            asked = asyncio.create_task(run.ask(request()))
            await until(lambda: len(host.seen) == 2)
        host.seen[1].answer(reply(200, b"second"))
        assert (await asked).body == b"second" and host.opened == 2


# Descriptors


@on_loop
async def test_who_stopped_in_the_middle_of_a_request_yields_to_who_asks() -> None:
    async with peer() as host, running(configuration(host)) as run:
        slow = [await run.connect() for _ in range(3)]
        for client in slow:
            client.send(request("transfer", b"body")[:40])
        await until(lambda: len(run.server.timeouts.reading) == 3)
        for connection in run.server.timeouts.reading:
            connection.last_read_s -= 60  # nothing of it has come for long
        run.server.admission.max_clients = 3
        assert (await run.ask(request())).status == 200
        await until(lambda: len(run.server.timeouts.reading) == 2)
        for client in slow:
            client.close()


@on_loop
async def test_attempts_leave_the_reserve_alone() -> None:
    """Every descriptor is a client's that waits or an attempt's; the next attempt is not sent, and the rest go on."""
    async with peer(silent) as host, running(configuration(host)) as run:
        clients = [await run.connect() for _ in range(3)]
        await until(lambda: len(run.server.connections) == 3 and not run.server.admission.accepting)
        run.server.admission.max_descriptors = RESERVED_DESCRIPTORS + 5
        for client in clients[:2]:
            client.send(request())
        await until(lambda: len(host.seen) == 2)
        clients[2].send(request())  # three clients and two attempts: the reserve begins here
        assert (await clients[2].answer()).status == 503
        assert (
            run.server.client_count + run.pool.open_connections + RESERVED_DESCRIPTORS
            <= run.server.admission.max_descriptors
        )
        for exchange in host.seen:
            exchange.answer(reply())
        for client in clients[:2]:
            assert (await client.answer()).status == 200
            client.close()
        clients[2].close()


@on_loop
async def test_without_descriptors_the_program_waits_and_goes_on_when_there_are_some(tmp_path: Path) -> None:
    """All are with clients that wait for their answers; the kernel has one more, which is taken later."""
    async with peer(silent) as host, program(tmp_path, configuration(host)) as (process, port):
        numbers = [int(entry.name) for entry in Path(f"/proc/{process.pid}/fd").iterdir()]
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (max(numbers) + 9, max(numbers) + 9))
        clients = []
        while len(host.seen) < 3:
            clients.append(await connect(port))
            clients[-1].send(request())
            await asyncio.sleep(0.01)
        more = [await connect(port) for _ in range(20)]
        for client in more:
            client.send(request("transfer", b"half")[:30])
        ticks = cpu_ticks(process.pid)
        await asyncio.sleep(1.0)
        assert cpu_ticks(process.pid) - ticks < 50  # half of that second: it does not turn all the time
        for client in clients + more[:-1]:
            client.close()
        host.script = answers(reply())
        assert (await (await connect(port)).ask(request())).status == 200
        more[-1].close()


class FullListener:
    """The gateway's listener while the process has no descriptor left: what waits there can't be taken."""

    def __init__(self, listener: socket.socket) -> None:
        self.listener, self.tried = listener, 0

    def accept(self) -> tuple[socket.socket, object]:
        self.tried += 1
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    def __getattr__(self, name: str) -> Any:
        return getattr(self.listener, name)


@on_loop
async def test_an_accept_without_a_descriptor_is_tried_again_only_after_a_pause() -> None:
    """Turns of the loop are counted, not processor time: a busy machine gives a turning loop little of that too."""
    async with peer(answers(reply())) as host, running(configuration(host)) as run:
        listener = run.server.listener.socket
        assert listener is not None
        full = FullListener(listener)
        run.server.listener.socket = cast(socket.socket, full)
        client = await run.connect()
        await until(lambda: full.tried)
        first, since_s = full.tried, time.monotonic()
        for _ in range(500):
            await asyncio.sleep(0)
        pauses = (time.monotonic() - since_s) / ACCEPT_RETRY_INTERVAL_S
        assert full.tried - first <= 1 + pauses
        run.server.listener.socket = listener
        assert (await client.ask(request())).status == 200
        client.close()


def cpu_ticks(pid: int) -> int:
    """Hundredths of a second of processor time."""
    return sum(map(int, Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13]))
