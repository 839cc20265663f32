"""Network links: what they pass and hold back; during a cut both ends see a silent connection."""

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

from tests.sockets import on_loop, wait_until


@asynccontextmanager
async def echo_through(network: Network) -> AsyncIterator[tuple[TcpLink, list[asyncio.StreamWriter]]]:
    """Yield a link to an echo server, and the writers of the connections that the server accepted."""
    server_writers: list[asyncio.StreamWriter] = []

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_writers.append(writer)
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
        yield link, server_writers
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
        await wait_until(lambda: not link.flows)


@on_loop
async def test_delay_and_jitter_keep_the_order() -> None:
    async with echo_through(Network(1)) as (link, _):
        link.conditions[FORWARD].delay_us, link.conditions[FORWARD].jitter_us = 30_000, 20_000
        link.conditions[BACK].loss, link.conditions[BACK].resend_us = 0.5, 20_000
        reader, writer = await asyncio.open_connection(*link.address)
        start_s = time.monotonic()
        for number in range(50):
            writer.write(b"%04d" % number)
            await asyncio.sleep(0.001)
        assert await reader.readexactly(200) == b"".join(b"%04d" % number for number in range(50))
        assert time.monotonic() - start_s >= 0.03


@on_loop
async def test_cut_link_is_silent_and_passes_everything_after_healing() -> None:
    network = Network(1)
    async with echo_through(network) as (link, _):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"1")
        assert await reader.read(1) == b"1"
        network.partition(["a"], ["b", "c"])
        writer.write(b"2")
        assert await is_silent(reader)
        # A new connection is neither established nor refused.
        pending = asyncio.create_task(asyncio.open_connection(*link.address))
        done, _ = await asyncio.wait((pending,), timeout=0.2)
        assert not done
        network.heal()
        assert await reader.read(1) == b"2"
        late_reader, late_writer = await pending  # the kernel resends its SYN within a second
        late_writer.write(b"3")
        assert await late_reader.read(1) == b"3"


@on_loop
async def test_one_way_cut_lets_the_other_direction_pass() -> None:
    network = Network(1)
    async with echo_through(network) as (link, server_writers):
        reader, writer = await asyncio.open_connection(*link.address)
        writer.write(b"1")
        assert await reader.read(1) == b"1"
        network.partition(["b"], ["a"], one_way=True)  # nothing from b to a passes
        assert [conditions.is_cut for conditions in link.conditions] == [False, True]
        writer.write(b"2")
        flow = next(iter(link.flows))
        await wait_until(lambda: flow.in_transit[BACK])  # the echo waits at the cut
        assert await is_silent(reader)
        server_writers[0].write(b"x")
        network.heal()
        assert await reader.readexactly(2) == b"2x"


@on_loop
async def test_close_during_a_cut_is_seen_after_it_and_healing_can_reset() -> None:
    network = Network(1)
    async with echo_through(network) as (link, server_writers):
        pairs = [await asyncio.open_connection(*link.address) for _ in range(2)]
        for reader, writer in pairs:
            writer.write(b"1")
            await reader.read(1)
        network.partition(["a"], ["b"])
        server_writers[0].transport.abort()
        assert await is_silent(pairs[0][0])
        network.heal(reset=True)
        for reader, _ in pairs:
            with pytest.raises(ConnectionResetError):
                await reader.readexactly(1)


@on_loop
async def test_connection_can_be_reset_within_a_message() -> None:
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
async def test_refusing_link_keeps_its_port() -> None:
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
async def test_flows_of_one_local_port_to_two_targets_are_distinguished() -> None:
    """The kernel may use one local port for connections to different targets."""
    network, flows, loop = Network(1), list[Flow](), asyncio.get_running_loop()
    async with echo_through(network) as (first, server_writers), echo_through(network) as (second, other_writers):
        port = 0
        for link in (first, second):
            flow, target = Flow(link), link.target()
            assert target is not None
            flows.append(flow)
            flow.target_port = target[1]
            sock = reserve_port(("127.0.0.1", port))
            port = sock.getsockname()[1]
            sock.setblocking(False)
            await loop.sock_connect(sock, target)
            await loop.create_connection(lambda flow=flow: flow.ends[BACK], sock=sock)  # type: ignore[misc]
        await wait_until(lambda: len(server_writers) == len(other_writers) == 1)
        assert [network.flow_of(writer.transport) for writer in (*server_writers, *other_writers)] == flows
        for flow in flows:
            flow.abort()


def test_reserved_port_is_only_usable_with_address_reuse() -> None:
    with reserve_port() as reserved:
        address = reserved.getsockname()
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(address)  # without SO_REUSEADDR
        with socket.create_server(address) as server, socket.create_connection(address) as client:
            server.accept()[0].close()
            assert client.recv(1) == b""
        with socket.create_server(address):
            pass  # a second time, as a restarted gateway does


@on_loop
async def test_send_time_of_each_byte_excludes_the_delay() -> None:
    network = Network(1)
    async with echo_through(network) as (link, server_writers):
        link.conditions[FORWARD].delay_us = 60_000
        reader, writer = await asyncio.open_connection(*link.address)
        before = now_us()
        writer.write(b"12345")
        await reader.readexactly(5)
        middle = now_us()
        writer.write(b"678")
        await reader.readexactly(3)
        flow = network.flow_of(server_writers[0].transport)
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
async def test_bytes_buffered_during_a_cut_are_bounded() -> None:
    network = Network(1)
    async with echo_through(network) as (link, _):
        _, writer = await asyncio.open_connection(*link.address)
        network.partition(["a"], ["b"])
        data = b"x" * (4 << 20)
        writer.write(data)
        max_buffered_bytes = 0
        for _ in range(20):
            await asyncio.sleep(0.01)
            max_buffered_bytes = max([max_buffered_bytes, *(flow.buffered_bytes[FORWARD] for flow in link.flows)])
        assert 256 * 1024 < max_buffered_bytes < 1 << 20


class DatagramRecorder(asyncio.DatagramProtocol):
    """Records the datagrams that it receives; with `echoes`, answers each."""

    def __init__(self, echoes: bool) -> None:
        self.received: list[bytes] = []
        self.echoes = echoes

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        self.received.append(data)
        if self.echoes:
            self.transport.sendto(b"re:" + data, addr)


async def open_recorder(echoes: bool) -> tuple[DatagramRecorder, tuple[str, int]]:
    transport, protocol = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: DatagramRecorder(echoes), ("127.0.0.1", 0)
    )
    return protocol, transport.get_extra_info("sockname")


@on_loop
async def test_datagrams_are_passed_lost_duplicated_and_cut() -> None:
    network = Network(1)
    target, address = await open_recorder(echoes=True)
    caller, _ = await open_recorder(echoes=False)
    link = network.add_udp_link("a", "b", lambda: address)
    assert isinstance(link, UdpLink)
    await link.open()

    def send(data: bytes) -> None:
        caller.transport.sendto(data, link.address)

    send(b"1")
    await wait_until(lambda: caller.received == [b"re:1"])
    link.conditions[FORWARD].duplicate = 1.0
    send(b"2")
    await wait_until(lambda: target.received == [b"1", b"2", b"2"] and len(caller.received) == 3)
    link.conditions[FORWARD].duplicate, link.conditions[FORWARD].loss = 0.0, 1.0
    send(b"3")
    await wait_until(lambda: link.lost_count == 1)
    link.conditions[FORWARD].loss = 0.0
    network.partition(["b"], ["a"], one_way=True)
    send(b"4")
    await wait_until(lambda: link.lost_count == 2 and target.received[-1] == b"4")
    assert caller.received == [b"re:1", b"re:2", b"re:2"]
    network.close()
    caller.transport.close()
    target.transport.close()


@on_loop
async def test_connection_is_reset_if_the_target_refuses() -> None:
    """Guards against a connection that hangs because the link listens while its target does not."""
    network = Network(1)
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        unused_address = probe.getsockname()
    link = network.add_tcp_link("a", "b", lambda: unused_address)
    link.open()
    reader, _ = await asyncio.open_connection(*link.address)
    with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
        await reader.readexactly(1)
    network.close()
