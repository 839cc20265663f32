"""Measures ops calls, upgrades and large responses on real gateway processes under load.

    .venv-dev/bin/python -m benchmarks.operating [--calls 200] [--upgrades 20] [--transfers 50] [--json FILE]

Calls: time until the ACK of an ops call while the load exceeds the gateway's capacity.
Upgrades: requests lost at the proxy address while the gateway process is replaced repeatedly, and the maximum of the
memory and descriptors of both processes.
Transfers: memory of a gateway with a limit of 64 MB that relays responses of 32 MB, all at the same time, to clients
that read 2 MB per second.
Exit code: 0, or 1 if a call had no ACK within a second, a response was incomplete, or the memory limit was exceeded.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import socket
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from standins.parties.fleet import read_usage
from standins.site import BackendType, Rules, configuration, settings

LARGE_BODY_BYTES = 32_000_000
MEMORY_LIMIT_MB = 64
READ_BYTES, READ_INTERVAL_S = 65_536, 65_536 / 2_000_000  # 2 MB per second
SERVICE_TIME_S = 0.005
ACK_DEADLINE_S = 1.0


async def serve_backend(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves one connection of the gateway; a search key that begins with `f` gets a large body."""
    with suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"GET /search/f" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES)
                for _ in range(LARGE_BODY_BYTES // 50_000):
                    writer.write(b"x" * 50_000)
                    await writer.drain()
            else:
                await asyncio.sleep(SERVICE_TIME_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    writer.close()


@dataclass
class RequestCounts:
    """Outcomes of the requests of the load."""

    served: int = 0
    refused: int = 0
    lost: int = 0  # requests without a response on a new connection, or after one retry of a request on a kept one


def encode_request(number: int, key: str) -> bytes:
    """Builds a search request; the number makes its id and its key unique."""
    return (
        f"GET /search/{key}{number:x} HTTP/1.1\r\nHost: b\r\nX-Call-Id: {number:x}\r\nX-Call-Class: search\r\n"
        "X-Caller: central\r\nX-Budget-Ms: 700\r\n\r\n"
    ).encode()


@dataclass
class LoadedGateway:
    """One gateway, whose successive processes listen at the same proxy address, and the load on it."""

    folder: Path
    backend_port: int
    memory_mb: int = 192
    reserved_socket: socket.socket = field(default_factory=socket.socket)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    counts: RequestCounts = field(default_factory=RequestCounts)
    request_count: int = 0
    is_over: bool = False

    def __post_init__(self) -> None:
        self.reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.reserved_socket.bind(("127.0.0.1", 0))  # binds without listening, which reserves the port

    @property
    def proxy_address(self) -> tuple[str, int]:
        """Proxy address of the gateway."""
        return ("127.0.0.1", int(self.reserved_socket.getsockname()[1]))

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        """Starts a gateway process and waits until it acknowledges ops calls; returns it and its ops port."""
        with socket.create_server(("127.0.0.1", 0)) as free_socket:
            ops_port = int(free_socket.getsockname()[1])
        entry = {
            "name": "s-0", "address": f"127.0.0.1:{self.backend_port}", "zone": "kita-room", "type": "small-2c",
            "group": 0, "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip
        gateway_settings = settings(1, 0, 0, BackendType(), Rules()) | {"membershipMode": "pushed"}
        config_path = self.folder / "config.json"
        listen = f"127.0.0.1:{self.proxy_address[1]}"
        rules = Rules(memory_mib=self.memory_mb)
        config_path.write_text(
            json.dumps(configuration("n0", listen, "127.0.0.1:9", "1", [entry], gateway_settings, rules))
        )
        environment = os.environ | {
            "LB_CONFIG": str(config_path), "LB_OPS": f"127.0.0.1:{ops_port}", "TMPDIR": str(self.folder),
        }  # fmt: skip
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverkeel", env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        self.processes.append(process)
        while not (await send_ops_call(ops_port, b"STATUS")).startswith("ACK"):
            if process.returncode is not None:
                raise RuntimeError(f"the gateway exited with code {process.returncode}")
            await asyncio.sleep(0.02)
        return process, ops_port

    async def send_requests(self, keep_alive: bool) -> None:
        """Sends requests one after another until the run is over, with or without keep-alive."""
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.is_over:
            self.request_count += 1
            request = encode_request(self.request_count, "k")
            for is_retry in (False, True):
                is_kept = streams is not None
                try:
                    streams = streams or await asyncio.open_connection(*self.proxy_address)
                    streams[1].write(request)
                    head = await streams[0].readuntil(b"\r\n\r\n")
                    if b"Content-Length: 2\r\n" in head:
                        await streams[0].readexactly(2)
                except (OSError, asyncio.IncompleteReadError):
                    if streams is not None:
                        streams[1].close()
                    streams = None
                    if is_retry or not is_kept:
                        self.counts.lost += 1
                        break
                    continue
                self.counts.served += head.startswith(b"HTTP/1.1 200")
                self.counts.refused += head.startswith(b"HTTP/1.1 503")
                if not keep_alive or b"Connection: close" in head:
                    streams[1].close()
                    streams = None
                break
        if streams is not None:
            streams[1].close()

    async def receive_large_response(self) -> bool:
        """Requests a large response and reads it slowly; returns whether it is complete."""
        self.request_count += 1
        request = encode_request(self.request_count, "f")
        reader, writer = await asyncio.open_connection(*self.proxy_address, limit=READ_BYTES)
        try:
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                return False
            remaining_bytes = LARGE_BODY_BYTES
            while remaining_bytes:
                chunk = await reader.read(READ_BYTES)
                if not chunk:
                    return False
                remaining_bytes -= len(chunk)
                await asyncio.sleep(READ_INTERVAL_S * len(chunk) / READ_BYTES)
            return True
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def read_total_usage(self) -> tuple[float, int]:
        """Memory in MiB and descriptors of all running processes of the gateway."""
        usages = [read_usage(process.pid) for process in self.processes if process.returncode is None]
        return sum(usage[0] for usage in usages if usage) / 1024, sum(usage[1] for usage in usages if usage)


async def send_ops_call(port: int, line: bytes) -> str:
    """Sends a line to the ops port; returns the reply, or an empty string if there is none in time."""
    try:
        async with asyncio.timeout(4 * ACK_DEADLINE_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(line + b"\n")
            reply = (await reader.readline()).decode()
            writer.close()
            return reply
    except (OSError, TimeoutError):
        return ""


@asynccontextmanager
async def open_gateway(backend_port: int, memory_mb: int = 192) -> AsyncIterator[LoadedGateway]:
    """Provides a gateway that has no process yet; on exit, kills the processes that are still running."""
    with tempfile.TemporaryDirectory() as folder:
        gateway = LoadedGateway(Path(folder), backend_port, memory_mb)
        try:
            yield gateway
        finally:
            gateway.is_over = True
            for process in gateway.processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            gateway.reserved_socket.close()


async def measure_calls(backend_port: int, count: int, clients: int) -> dict[str, Any]:
    """Measures the time to the ACK of ops calls under overload."""
    async with open_gateway(backend_port) as gateway:
        _, ops_port = await gateway.start()
        load_tasks = [asyncio.create_task(gateway.send_requests(number % 4 != 0)) for number in range(clients)]
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0)
        latencies_s, missed = [], 0
        for _ in range(count):
            began_s = loop.time()
            missed += not (await send_ops_call(ops_port, b"STATUS")).startswith("ACK")
            latencies_s.append(loop.time() - began_s)
            await asyncio.sleep(0.02)
        gateway.is_over = True
        await asyncio.gather(*load_tasks)
        late = sum(latency_s > ACK_DEADLINE_S for latency_s in latencies_s)
        return {
            "calls": count, "median_ms": 1e3 * statistics.median(latencies_s), "most_ms": 1e3 * max(latencies_s),
            "missed": missed, "late": late, "served": gateway.counts.served, "refused": gateway.counts.refused,
        }  # fmt: skip


async def measure_upgrades(backend_port: int, count: int, clients: int) -> dict[str, Any]:
    """Replaces the gateway process repeatedly under load; measures losses, times and the usage of both processes."""
    async with open_gateway(backend_port) as gateway:
        old, _ = await gateway.start()
        load_tasks = [asyncio.create_task(gateway.send_requests(number % 2 == 0)) for number in range(clients)]
        loop = asyncio.get_running_loop()
        max_mib, max_fds, ready_times_s, exit_times_s = 0.0, 0, [], []
        for _ in range(count):
            began_s = loop.time()
            new, _ = await gateway.start()
            ready_times_s.append(loop.time() - began_s)
            began_s = loop.time()
            old.send_signal(signal.SIGTERM)
            while old.returncode is None:
                mib, fds = gateway.read_total_usage()
                max_mib, max_fds = max(max_mib, mib), max(max_fds, fds)
                await asyncio.sleep(0.05)
            exit_times_s.append(loop.time() - began_s)
            old = new
        gateway.is_over = True
        await asyncio.gather(*load_tasks)
        return {
            "upgrades": count, "lost": gateway.counts.lost, "served": gateway.counts.served,
            "refused": gateway.counts.refused, "ready_s": max(ready_times_s), "gone_s": max(exit_times_s),
            "both_mib": max_mib, "both_descriptors": max_fds,
        }  # fmt: skip


async def measure_transfers(backend_port: int, count: int) -> dict[str, Any]:
    """Measures the maximum memory of a gateway that relays large responses to slow clients."""
    async with open_gateway(backend_port, MEMORY_LIMIT_MB) as gateway:
        process, _ = await gateway.start()
        completions = await asyncio.gather(*(gateway.receive_large_response() for _ in range(count)))
        usage = read_usage(process.pid)
        assert usage is not None
        return {
            "transfers": count,
            "whole": sum(completions),
            "most_mib": usage[3] / 1024,
            "limit_mb": MEMORY_LIMIT_MB,
        }


async def run(options: argparse.Namespace) -> dict[str, Any]:
    """Runs the chosen measurements; returns their figures, by name of the measurement."""
    server = await asyncio.start_server(serve_backend, "127.0.0.1", 0, backlog=1024)
    backend_port = int(server.sockets[0].getsockname()[1])
    results: dict[str, Any] = {}
    if options.calls:
        results["calls"] = await measure_calls(backend_port, options.calls, options.clients)
    if options.upgrades:
        results["upgrades"] = await measure_upgrades(backend_port, options.upgrades, options.clients // 4)
    if options.transfers:
        results["transfers"] = await measure_transfers(backend_port, options.transfers)
    server.close()
    return results


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--calls", type=int, default=200)
    parser.add_argument(
        "--clients", type=int, default=96, help="number of clients of the load, each with one request at a time"
    )
    parser.add_argument("--upgrades", type=int, default=20)
    parser.add_argument("--transfers", type=int, default=50)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(run(options))
    for name, figures in results.items():
        print(f"{name}: " + ", ".join(f"{key} {value:.4g}" for key, value in figures.items()))
    if options.json is not None:
        options.json.write_text(json.dumps(results, indent=1) + "\n")
    late_calls = results.get("calls", {}).get("missed", 0) + results.get("calls", {}).get("late", 0)
    transferred = results.get("transfers", {"whole": 0, "transfers": 0, "most_mib": 0.0})
    return int(
        late_calls > 0
        or transferred["whole"] < transferred["transfers"]
        or transferred["most_mib"] * 1.048576 > MEMORY_LIMIT_MB
    )


if __name__ == "__main__":
    raise SystemExit(main())
