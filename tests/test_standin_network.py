"""Links: what passes, what is cut, and that neither end can tell a cut from silence."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from standins.event_log import now_us
from standins.parties.network import BACK, FORWARD, Flow, Network, TcpLink, UdpLink, reserve_port

from tests.sockets import on_loop, until


@asynccontextmanager
async def echo_through(network: Network) -> AsyncIterator[tuple[TcpLink, list[asyncio.StreamWriter]]]:
    """An echo server behind a link, and the connections that it has had."""
    seen: list[asyncio.StreamWriter] = []

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        seen.append(writer)
        try:
            while data := await reader.read(65536):
                writer.write(data)
            writer.write(b"-end")
            writer.write_eof()
        except ConnectionError:
            pass

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    link = network.add_tcp_link("a", "b", lambda: server.sockets[0].getsockname())
    link.open()
    try:
        yield link, seen
    finally:
        network.close()
        server.close()


async def is_silent(reader: asyncio.StreamReader, wait_s: float = 0.15) -> bool:
    try:
        async with asyncio.timeout(wait_s):
            await reader.read(1)
    except TimeoutError:
        return True
    return False


@on_loop
async def test_bytes_and_half_closes_pass_in_order() -> None:
    async with echo_through(Network(1)) as (link, _):
        reader, writer = await asyncio.open_connection(*link.address)
        data = bytes(range(256)) * 4096
        writer.write(data)
        writer.write_eof()
        assert await reader.read(-1) == data + b"-end"
        await until(lambda: not link.flows)


@on_loop
async def test_delay_and_jitter_keep_the_order() -> None:
    async with echo_through(Network(1)) as (link, _):
        link.conditions[FORWARD].delay_us, link.conditions[FORWARD].jitter_us = 30_000, 20_000
        link.conditions[BACK].loss, link.conditions[BACK].resend_us = 0.5, 20_000
        reader, writer = await asyncio.open_connection(*link.address)
        begun = time.monotonic()
        for n in range(50):
            writer.write(b"%04d" % n)
            await asyncio.sleep(0.001)
        assert await reader.readexactly(200) == b"".join(b"%04d" % n for n in range(50))
        assert time.monotonic() - begun >= 0.03


@on_loop
async def test_a_cut_is_silence_and_healing_lets_all_pass() -> None:
    network = Network(1)
    async with echo_through(network) as (link, _):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"1")
        assert await reader.read(1) == b"1"
        network.partition(["a"], ["b", "c"])
        writer.write(b"2")
        assert await is_silent(reader)
        # A new connection neither comes up nor is refused.
        fresh = asyncio.create_task(asyncio.open_connection(*link.address))
        done, _ = await asyncio.wait((fresh,), timeout=0.2)
        assert not done
        network.heal()
        assert await reader.read(1) == b"2"
        late_reader, late_writer = await fresh  # its SYN is sent again within a second
        late_writer.write(b"3")
        assert await late_reader.read(1) == b"3"


@on_loop
async def test_a_cut_one_way_lets_the_other_way_pass() -> None:
    network = Network(1)
    async with echo_through(network) as (link, seen):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"1")
        assert await reader.read(1) == b"1"
        network.partition(["b"], ["a"], one_way=True)  # nothing that b says arrives
        assert [c.is_cut for c in link.conditions] == [False, True]
        writer.write(b"2")
        flow = next(iter(link.flows))
        await until(lambda: flow.in_transit[BACK])  # it went there and came back as far as the cut
        assert await is_silent(reader)
        seen[0].write(b"x")
        network.heal()
        assert await reader.readexactly(2) == b"2x"


@on_loop
async def test_an_end_during_a_cut_is_heard_of_after_it_and_a_healed_link_can_reset() -> None:
    network = Network(1)
    async with echo_through(network) as (link, seen):
        pairs = [await asyncio.open_connection(*link.address) for _ in range(2)]
        for reader, writer in pairs:
            writer.write(b"1")
            await reader.read(1)
        network.partition(["a"], ["b"])
        seen[0].transport.abort()
        assert await is_silent(pairs[0][0])
        network.heal(reset=True)
        for reader, _ in pairs:
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)


@on_loop
async def test_a_connection_can_be_cut_in_mid_message() -> None:
    async with echo_through(Network(1)) as (link, _):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"1")
        await reader.read(1)
        next(iter(link.flows)).reset_after_bytes = 3
        writer.write(b"abcdef")
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)) as ended:
            await reader.readexactly(6)
        if isinstance(ended.value, asyncio.IncompleteReadError):
            assert ended.value.partial == b"abc"


@on_loop
async def test_nobody_listening_is_refused_and_the_port_stays() -> None:
    async with echo_through(Network(1)) as (link, _):
        link.refuse()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*link.address)
        before = link.address
        link.open()
        assert link.address == before
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"1")
        assert await reader.read(1) == b"1"


@on_loop
async def test_connections_to_two_targets_from_one_port_are_told_apart() -> None:
    """The kernel gives one port to connections that lead to different places."""
    network, flows, loop = Network(1), list[Flow](), asyncio.get_running_loop()
    async with echo_through(network) as (one, seen), echo_through(network) as (other, seen_too):
        port = 0
        for link in (one, other):
            flow, target = Flow(link), link.target()
            assert target is not None
            flows.append(flow)
            flow.target_port = target[1]
            mine = reserve_port(("127.0.0.1", port))
            port = mine.getsockname()[1]
            mine.setblocking(False)
            await loop.sock_connect(mine, target)
            await loop.create_connection(lambda flow=flow: flow.ends[BACK], sock=mine)  # type: ignore[misc]
        await until(lambda: len(seen) == len(seen_too) == 1)
        assert [network.flow_of(writer.transport) for writer in (*seen, *seen_too)] == flows
        for flow in flows:
            flow.abort()


def test_a_port_is_held_for_who_reserved_it() -> None:
    with reserve_port() as held:
        address = held.getsockname()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(address)  # as somebody does who knows nothing of it
        with socket.create_server(address) as server, socket.create_connection(address) as client:
            server.accept()[0].close()
            assert client.recv(1) == b""
        with socket.create_server(address):
            pass  # and again, as a gateway that restarts


@on_loop
async def test_the_time_of_each_byte_is_that_of_its_sending() -> None:
    network = Network(1)
    async with echo_through(network) as (link, seen):
        link.conditions[FORWARD].delay_us = 60_000
        reader, writer = await asyncio.open_connection(*link.address)
        before = now_us()
        writer.write(b"12345")
        await reader.readexactly(5)
        middle = now_us()
        writer.write(b"678")
        await reader.readexactly(3)
        flow = network.flow_of(seen[0].transport)
        assert flow is not None
        assert (
            before
            <= flow.find_send_time_us(4)
            < before + 60_000
            <= middle
            <= flow.find_send_time_us(5)
            < middle + 60_000
        )


@on_loop
async def test_what_a_cut_holds_is_bounded() -> None:
    network = Network(1)
    async with echo_through(network) as (link, _):
        _, writer = await asyncio.open_connection(*link.address)
        network.partition(["a"], ["b"])
        data = b"x" * (4 << 20)
        writer.write(data)
        held = 0
        for _ in range(20):
            await asyncio.sleep(0.01)
            held = max([held, *(flow.buffered_bytes[FORWARD] for flow in link.flows)])
        assert 256 * 1024 < held < 1 << 20


class Collector(asyncio.DatagramProtocol):
    def __init__(self, answers: bool) -> None:
        self.got: list[bytes] = []
        self.answers = answers

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        self.got.append(data)
        if self.answers:
            self.transport.sendto(b"re:" + data, addr)


async def collector(answers: bool) -> tuple[Collector, tuple[str, int]]:
    transport, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Collector(answers), ("127.0.0.1", 0)
    )
    return protocol, transport.get_extra_info("sockname")


@on_loop
async def test_datagrams_are_passed_lost_doubled_and_cut() -> None:
    network = Network(1)
    target, address = await collector(answers=True)
    caller, _ = await collector(answers=False)
    link = network.add_udp_link("a", "b", lambda: address)
    assert isinstance(link, UdpLink)
    await link.open()

    def send(data: bytes) -> None:
        caller.transport.sendto(data, link.address)

    send(b"1")
    await until(lambda: caller.got == [b"re:1"])
    link.conditions[FORWARD].duplicate = 1.0
    send(b"2")
    await until(lambda: target.got == [b"1", b"2", b"2"] and len(caller.got) == 3)
    link.conditions[FORWARD].duplicate, link.conditions[FORWARD].loss = 0.0, 1.0
    send(b"3")
    await until(lambda: link.lost_count == 1)
    link.conditions[FORWARD].loss = 0.0
    network.partition(["b"], ["a"], one_way=True)
    send(b"4")
    await until(lambda: link.lost_count == 2 and target.got[-1] == b"4")
    assert caller.got == [b"re:1", b"re:2", b"re:2"]
    network.close()
    caller.transport.close()
    target.transport.close()


@on_loop
async def test_a_refused_target_resets_the_caller() -> None:
    """Where the link stands but its target does not: no connection hangs."""
    network = Network(1)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        dead = probe.getsockname()
    link = network.add_tcp_link("a", "b", lambda: dead)
    link.open()
    reader, _ = await asyncio.open_connection(*link.address)
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    network.close()
