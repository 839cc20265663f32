"""Crowds of clients, and hosts, that cost a gateway far more memory or time than they send bytes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, Final

import pytest

from tests.cli.process import program
from tests.resource_limits.clients import MIB, Probe, memory_mb
from tests.resource_limits.load import running_load, tiny_chunks
from tests.sockets import configuration, on_loop_for, reply, respond_with, scripted_server

SOCKETS: Final = 1024
CROWD: Final = SOCKETS // 3
LOAD_S: Final = 5.0
CLIENT_TIMEOUT_S: Final = 0.75  # of the class with the shortest one; an answer later than that is worth nothing
OBJECTIVE_S: Final = 0.3  # of the same class
AFTERWARDS_S: Final = 3.0  # bad clients get their error or close within this time
MIN_SERVED_RATIO: Final = 0.5  # beside a crowd; the others may be refused
CHUNKED: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK: Final = b"0\r\n\r\n"

pytestmark = pytest.mark.processes


def limited(memory: int, *hosts: Any) -> dict[str, Any]:
    """Return a configuration with a memory limit and the times of a usual deployment."""
    config = configuration(*hosts) | {"limits": {"memory_mb": memory, "sockets": SOCKETS}}
    for class_settings, objective_us in zip(config["settings"]["lanes"], (300_000, 600_000, 600_000), strict=True):
        class_settings.update(aimUs=objective_us, giveUpUs=int(objective_us * 2.5), lateValue=0.0)
    return config


def percentile(latencies_s: list[float], fraction: float) -> float:
    """Return the latency that this fraction of all is below."""
    return sorted(latencies_s)[int(fraction * (len(latencies_s) - 1))]


async def probe_for(port: int, seconds: float) -> Probe:
    """Send requests as one sound client for some time."""
    probe, is_over = Probe(port), asyncio.Event()
    probing = asyncio.create_task(probe.run(is_over))
    await asyncio.sleep(seconds)
    is_over.set()
    await probing
    return probe


async def assert_all_served_afterwards(port: int) -> None:
    """Assert that a client is served once the load has ended."""
    await asyncio.sleep(AFTERWARDS_S)
    afterwards = Probe(port)
    for _ in range(10):
        await afterwards.send_one()
    assert afterwards.statuses == [200] * 10


@pytest.mark.parametrize("memory", [64, 80, 96])
@pytest.mark.parametrize("kind", ["single-bytes-stopped", "byte-pairs-stopped"])
@on_loop_for(2.0)
async def test_bodies_in_tiny_chunks_stay_within_memory(tmp_path: Path, kind: str, memory: int) -> None:
    """Guards against bodies that are kept as one object for each chunk and charged at their bytes."""
    async with scripted_server() as host, program(tmp_path, limited(memory, host)) as (process, port):
        async with running_load(kind, port, CROWD):
            probe = await probe_for(port, LOAD_S)
        assert memory_mb(process.pid, "VmHWM") <= memory
        assert probe.unanswered == 0 and probe.served > 0
        await assert_all_served_afterwards(port)


@pytest.mark.parametrize("clients", [1, 10, CROWD])
@pytest.mark.parametrize("kind", ["single-bytes-endless", "byte-pairs-endless", "unsound"])
@on_loop_for(2.0)
async def test_crowd_at_full_speed_delays_others_by_a_bounded_time(tmp_path: Path, kind: str, clients: int) -> None:
    """Guards against turns of the event loop that last as long as all connections have input."""
    async with scripted_server() as host, program(tmp_path, limited(64, host)) as (process, port):
        async with running_load(kind, port, clients):
            probe = await probe_for(port, LOAD_S)
        assert memory_mb(process.pid, "VmHWM") <= 64
        assert probe.unanswered == 0
        assert probe.served >= MIN_SERVED_RATIO * len(probe.statuses)
        assert percentile(probe.latencies_s, 0.5) < OBJECTIVE_S
        assert percentile(probe.latencies_s, 0.95) < CLIENT_TIMEOUT_S
        await assert_all_served_afterwards(port)


@pytest.mark.parametrize("kind", ["leave", "leave-by-reset"])
@on_loop_for(2.0)
async def test_clients_that_leave_early_shut_no_others_out(tmp_path: Path, kind: str) -> None:
    """Guards against requests of clients that have left, for whose memory the connections of others are closed."""

    async def respond_late(exchange: Any) -> None:
        await asyncio.sleep(0.02)
        exchange.respond(reply())

    async with scripted_server(respond_late) as host, program(tmp_path, limited(64, host)) as (process, port):
        async with running_load(kind, port, 8):
            probe = await probe_for(port, LOAD_S)
        assert memory_mb(process.pid, "VmHWM") <= 64
        assert probe.unanswered == 0
        assert probe.served >= MIN_SERVED_RATIO * len(probe.statuses)
        await assert_all_served_afterwards(port)


@pytest.mark.parametrize("size", [1, 2])
@on_loop_for(2.0)
async def test_hosts_that_send_tiny_chunks_delay_others_by_a_bounded_time(tmp_path: Path, size: int) -> None:
    """Guards against a response that is parsed and written chunk by chunk, however small the chunks are."""
    response = CHUNKED + tiny_chunks(size, MIB // 4) + LAST_CHUNK

    def respond(exchange: Any) -> None:
        is_probe = exchange.message.start_line.startswith("POST")
        exchange.respond(reply() if is_probe else response)

    async with scripted_server(respond) as host, program(tmp_path, limited(64, host)) as (process, port):
        async with running_load("slow-reader", port, 80):
            probe = await probe_for(port, LOAD_S)
        assert memory_mb(process.pid, "VmHWM") <= 64
        assert probe.unanswered == 0
        assert probe.served >= MIN_SERVED_RATIO * len(probe.statuses)
        assert percentile(probe.latencies_s, 0.95) < CLIENT_TIMEOUT_S
        await assert_all_served_afterwards(port)


@pytest.mark.parametrize("rest_s", [5.0, 15.0])
@on_loop_for(3.0)
async def test_all_requests_are_served_after_an_overload_and_a_rest(tmp_path: Path, rest_s: float) -> None:
    """Guards against a shed ratio that stays as it was when the last answer of an overload came."""
    is_slow = True

    async def respond(exchange: Any) -> None:
        if is_slow:
            await asyncio.sleep(0.55)
        exchange.respond(reply())

    async with scripted_server(respond) as host, program(tmp_path, limited(64, host)) as (process, port):
        loads = [asyncio.create_task(probe_for(port, 4.0)) for _ in range(3)]
        overloaded = await asyncio.gather(*loads)
        assert any(503 in probe.statuses for probe in overloaded)
        is_slow = False
        await asyncio.sleep(rest_s)
        afterwards = Probe(port)
        for _ in range(10):
            await afterwards.send_one()
            await asyncio.sleep(0.5)
        assert afterwards.statuses == [200] * 10
        assert process.returncode is None


@on_loop_for(3.0)
async def test_all_requests_are_served_after_a_crowd_with_half_bodies_has_left(tmp_path: Path) -> None:
    """Guards against guards that stay on after a crowd has left."""
    async with (
        scripted_server(respond_with(reply())) as host,
        program(tmp_path, limited(64, host)) as (process, port),
    ):
        async with running_load("half-body", port, CROWD):
            probe = await probe_for(port, LOAD_S)
        assert probe.unanswered == 0
        assert memory_mb(process.pid, "VmHWM") <= 64
        await assert_all_served_afterwards(port)
