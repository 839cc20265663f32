"""Staff's calls, upgrades and large answers on real processes under load.

    .venv-dev/bin/python -m benchmarks.operating [--calls 200] [--upgrades 20] [--transfers 50] [--json FILE]

Printed: time to a call's ACK while more is asked than the gateway can do; what ended at the door while its process
was replaced so many times, with memory and descriptors of both processes at the worst moment; and the memory of a
gateway of 64 MB that passes on so many answers of 32 MB at once to clients that read 2 MB a second.
Exit code: 0, or 1 if a call had no ACK within a second, an answer was not whole, or a bound on memory was passed.
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

LARGE = 32_000_000
LIMIT_MB = 64
READ_AT_ONCE, READ_EVERY_S = 65_536, 65_536 / 2_000_000
ANSWER_S = 0.005
DUE_S = 1.0  # for an ACK


async def host(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answers what it is asked; a key that begins with `f` with a large body, as fast as that is taken."""
    with suppress(OSError, asyncio.IncompleteReadError):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            if b"GET /search/f" in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE)
                for _ in range(LARGE // 50_000):
                    writer.write(b"x" * 50_000)
                    await writer.drain()
            else:
                await asyncio.sleep(ANSWER_S)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    writer.close()


@dataclass
class Asked:
    served: int = 0
    refused: int = 0
    lost: int = 0  # at the door: nothing came back on a new connection, or twice on kept ones


def request(number: int, key: str) -> bytes:
    return (
        f"GET /search/{key}{number:x} HTTP/1.1\r\nHost: b\r\nX-Call-Id: {number:x}\r\nX-Call-Class: search\r\n"
        "X-Caller: central\r\nX-Budget-Ms: 700\r\n\r\n"
    ).encode()


@dataclass
class Site:
    """One gateway, whose processes follow one another at its address, and the load on it."""

    folder: Path
    box: int
    memory_mb: int = 192
    held: socket.socket = field(default_factory=socket.socket)
    processes: list[asyncio.subprocess.Process] = field(default_factory=list)
    asked: Asked = field(default_factory=Asked)
    count: int = 0
    over: bool = False

    def __post_init__(self) -> None:
        self.held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.held.bind(("127.0.0.1", 0))  # bound and not listening: the port stays this site's

    @property
    def address(self) -> tuple[str, int]:
        return ("127.0.0.1", int(self.held.getsockname()[1]))

    async def start(self) -> tuple[asyncio.subprocess.Process, int]:
        with socket.create_server(("127.0.0.1", 0)) as free:
            ops = int(free.getsockname()[1])
        known = {
            "name": "s-0", "address": f"127.0.0.1:{self.box}", "zone": "kita-room", "type": "small-2c", "group": 0,
            "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip
        made = settings(1, 0, 0, BackendType(), Rules()) | {"membershipMode": "pushed"}
        file = self.folder / "config.json"
        listen = f"127.0.0.1:{self.address[1]}"
        rules = Rules(memory_mib=self.memory_mb)
        file.write_text(json.dumps(configuration("n0", listen, "127.0.0.1:9", "1", [known], made, rules)))
        environment = os.environ | {
            "LB_CONFIG": str(file), "LB_OPS": f"127.0.0.1:{ops}", "TMPDIR": str(self.folder),
        }  # fmt: skip
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cloverkeel", env=environment, stderr=asyncio.subprocess.DEVNULL
        )
        self.processes.append(process)
        while not (await call(ops, b"STATUS")).startswith("ACK"):
            if process.returncode is not None:
                raise RuntimeError(f"the gateway ended with {process.returncode}")
            await asyncio.sleep(0.02)
        return process, ops

    async def client(self, keeps: bool) -> None:
        """Asks again as soon as it is answered."""
        streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        while not self.over:
            self.count += 1
            data = request(self.count, "k")
            for again in (False, True):
                used = streams is not None
                try:
                    streams = streams or await asyncio.open_connection(*self.address)
                    streams[1].write(data)
                    head = await streams[0].readuntil(b"\r\n\r\n")
                    if b"Content-Length: 2\r\n" in head:
                        await streams[0].readexactly(2)
                except (OSError, asyncio.IncompleteReadError):
                    if streams is not None:
                        streams[1].close()
                    streams = None
                    if again or not used:
                        self.asked.lost += 1
                        break
                    continue
                self.asked.served += head.startswith(b"HTTP/1.1 200")
                self.asked.refused += head.startswith(b"HTTP/1.1 503")
                if not keeps or b"Connection: close" in head:
                    streams[1].close()
                    streams = None
                break
        if streams is not None:
            streams[1].close()

    async def large(self) -> bool:
        """Whether a large answer came whole to one who reads slowly."""
        self.count += 1
        data = request(self.count, "f")
        reader, writer = await asyncio.open_connection(*self.address, limit=READ_AT_ONCE)
        try:
            writer.write(data)
            head = await reader.readuntil(b"\r\n\r\n")
            if not head.startswith(b"HTTP/1.1 200"):
                return False
            left = LARGE
            while left:
                piece = await reader.read(READ_AT_ONCE)
                if not piece:
                    return False
                left -= len(piece)
                await asyncio.sleep(READ_EVERY_S * len(piece) / READ_AT_ONCE)
            return True
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def usage(self) -> tuple[float, int]:
        """MiB and descriptors of all its processes that live."""
        found = [read_usage(process.pid) for process in self.processes if process.returncode is None]
        return sum(one[0] for one in found if one) / 1024, sum(one[1] for one in found if one)


async def call(port: int, line: bytes) -> str:
    try:
        async with asyncio.timeout(4 * DUE_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(line + b"\n")
            said = (await reader.readline()).decode()
            writer.close()
            return said
    except (OSError, TimeoutError):
        return ""


@asynccontextmanager
async def site(box: int, memory_mb: int = 192) -> AsyncIterator[Site]:
    with tempfile.TemporaryDirectory() as folder:
        made = Site(Path(folder), box, memory_mb)
        try:
            yield made
        finally:
            made.over = True
            for process in made.processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            made.held.close()


async def calls(box: int, count: int, clients: int) -> dict[str, Any]:
    async with site(box) as made:
        _, ops = await made.start()
        load = [asyncio.create_task(made.client(number % 4 != 0)) for number in range(clients)]
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0)
        took, missed = [], 0
        for _ in range(count):
            began_s = loop.time()
            missed += not (await call(ops, b"STATUS")).startswith("ACK")
            took.append(loop.time() - began_s)
            await asyncio.sleep(0.02)
        made.over = True
        await asyncio.gather(*load)
        late = sum(one > DUE_S for one in took)
        return {
            "calls": count, "median_ms": 1e3 * statistics.median(took), "most_ms": 1e3 * max(took),
            "missed": missed, "late": late, "served": made.asked.served, "refused": made.asked.refused,
        }  # fmt: skip


async def upgrades(box: int, count: int, clients: int) -> dict[str, Any]:
    async with site(box) as made:
        old, _ = await made.start()
        load = [asyncio.create_task(made.client(number % 2 == 0)) for number in range(clients)]
        loop = asyncio.get_running_loop()
        most_mib, most_fds, ready, gone = 0.0, 0, [], []
        for _ in range(count):
            began_s = loop.time()
            new, _ = await made.start()
            ready.append(loop.time() - began_s)
            began_s = loop.time()
            old.send_signal(signal.SIGTERM)
            while old.returncode is None:
                mib, fds = made.usage()
                most_mib, most_fds = max(most_mib, mib), max(most_fds, fds)
                await asyncio.sleep(0.05)
            gone.append(loop.time() - began_s)
            old = new
        made.over = True
        await asyncio.gather(*load)
        return {
            "upgrades": count, "lost": made.asked.lost, "served": made.asked.served,
            "refused": made.asked.refused, "ready_s": max(ready), "gone_s": max(gone),
            "both_mib": most_mib, "both_descriptors": most_fds,
        }  # fmt: skip


async def transfers(box: int, count: int) -> dict[str, Any]:
    async with site(box, LIMIT_MB) as made:
        process, _ = await made.start()
        done = await asyncio.gather(*(made.large() for _ in range(count)))
        usage = read_usage(process.pid)
        assert usage is not None
        return {"transfers": count, "whole": sum(done), "most_mib": usage[3] / 1024, "limit_mb": LIMIT_MB}


async def run(options: argparse.Namespace) -> dict[str, Any]:
    server = await asyncio.start_server(host, "127.0.0.1", 0, backlog=1024)
    box = int(server.sockets[0].getsockname()[1])
    found: dict[str, Any] = {}
    if options.calls:
        found["calls"] = await calls(box, options.calls, options.clients)
    if options.upgrades:
        found["upgrades"] = await upgrades(box, options.upgrades, options.clients // 4)
    if options.transfers:
        found["transfers"] = await transfers(box, options.transfers)
    server.close()
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--calls", type=int, default=200)
    parser.add_argument("--clients", type=int, default=96, help="of the load, each with one request at a time")
    parser.add_argument("--upgrades", type=int, default=20)
    parser.add_argument("--transfers", type=int, default=50)
    parser.add_argument("--json", type=Path)
    options = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(run(options))
    for name, figures in found.items():
        print(f"{name}: " + ", ".join(f"{key} {value:.4g}" for key, value in figures.items()))
    if options.json is not None:
        options.json.write_text(json.dumps(found, indent=1) + "\n")
    bad = found.get("calls", {}).get("missed", 0) + found.get("calls", {}).get("late", 0)
    large = found.get("transfers", {"whole": 0, "transfers": 0, "most_mib": 0.0})
    return int(bad > 0 or large["whole"] < large["transfers"] or large["most_mib"] * 1.048576 > LIMIT_MB)


if __name__ == "__main__":
    raise SystemExit(main())
