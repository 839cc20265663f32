"""Measures what a ZooKeeper client costs a gateway: memory, start-up time, threads, and delay of a change.

    .venv-dev/bin/python -m benchmarks.keeper_clients [--clients kazoo,own] [--boxes 64] [--changes 50]

Each client runs in a process of its own, on the gateway's event loop (uvloop), against the emulated ensemble: it is
imported, connects, reads the list and all nodes with watches, and is then notified of deletions. aiozk must be
installed separately, as the project does not require it. `own` is a minimal client on the emulator's codec, with one
recursive watch and without reconnects: the best that a client written for this project could reach.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT_PATH = "/boxes"


def read_rss_kib() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4


class MinimalClient:
    """A client with one connection and one recursive watch."""

    async def start(self, hosts: str, on_change: Callable[[str], None]) -> None:
        """Connect, read all nodes and set the watches."""
        from standins.parties.zookeeper import jute

        self.jute, self.on_change, self.xid = jute, on_change, 0
        host, _, port = hosts.split(",")[0].rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(jute.frame(jute.ConnectRequest().encode()))
        await self.read_message()
        await self.send_request(jute.AddWatch(ROOT_PATH, 1))
        reader = await self.send_request(jute.Read(ROOT_PATH, False, jute.Op.GET_CHILDREN))
        for name in reader.vector(reader.text):
            await self.send_request(jute.Read(f"{ROOT_PATH}/{name}", False, jute.Op.GET_DATA))
        self.task = asyncio.create_task(self.report_events())

    async def read_message(self) -> bytes:
        """Read one frame."""
        size = int.from_bytes(await self.reader.readexactly(4), "big")
        return await self.reader.readexactly(size)

    async def send_request(self, request: Any) -> Any:
        """Send a request and return a reader of the reply's body."""
        self.xid += 1
        self.writer.write(self.jute.frame(self.jute.encode_request(self.xid, request)))
        reader = self.jute.Reader(await self.read_message())
        self.jute.ReplyHeader.read(reader)
        return reader

    async def report_events(self) -> None:
        """Call `on_change` with the path of each watch event."""
        while True:
            reader = self.jute.Reader(await self.read_message())
            if self.jute.ReplyHeader.read(reader).xid == -1:
                reader.int32(), reader.int32()
                self.on_change(reader.text())


class KazooAdapter:
    """The client kazoo, which runs threads of its own."""

    async def start(self, hosts: str, on_change: Callable[[str], None]) -> None:
        """Connect, read all nodes and set the watches."""
        from kazoo.client import KazooClient

        loop = asyncio.get_running_loop()
        self.client = KazooClient(hosts)

        def on_event(event: Any) -> None:
            loop.call_soon_threadsafe(on_change, event.path)

        def read() -> None:
            self.client.start()
            for name in self.client.get_children(ROOT_PATH, watch=on_event):
                self.client.get(f"{ROOT_PATH}/{name}", watch=on_event)

        await asyncio.to_thread(read)


class AiozkAdapter:
    """The client aiozk, which runs on the event loop."""

    async def start(self, hosts: str, on_change: Callable[[str], None]) -> None:
        """Connect, read all nodes and set the watches."""
        import aiozk
        from aiozk import protocol

        self.client = aiozk.ZKClient(hosts)
        await self.client.start()
        events = (aiozk.WatchEvent.DELETED, aiozk.WatchEvent.DATA_CHANGED)
        for name in await self.client.get_children(ROOT_PATH):
            path = f"{ROOT_PATH}/{name}"

            def on_event(*args: Any, path: str = path) -> None:
                on_change(path)

            await self.client.send(protocol.GetDataRequest(path=path, watch=True))
            for event in events:
                self.client.session.add_watch_callback(event, path, on_event)


CLIENTS: dict[str, type[Any]] = {"own": MinimalClient, "kazoo": KazooAdapter, "aiozk": AiozkAdapter}


def run_client(client_name: str, hosts: str) -> None:
    """Run a client in a child process; print its costs, then each change, as lines of JSON for the parent."""

    async def run() -> None:
        import ssl  # noqa: F401  the gateway imports it anyway, so it is not part of the client's cost

        before_kib, started_s = read_rss_kib(), time.perf_counter()

        def on_change(path: str) -> None:
            print(json.dumps({"heard": path, "at": time.time()}), flush=True)

        client = CLIENTS[client_name]()
        await client.start(hosts, on_change)
        cost = {"ms": (time.perf_counter() - started_s) * 1000, "kib": read_rss_kib() - before_kib}
        print(json.dumps(cost | {"threads": threading.active_count()}), flush=True)
        await asyncio.to_thread(sys.stdin.readline)

    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def measure(client_name: str, backend_count: int, change_count: int) -> dict[str, Any]:
    """Return the costs of a client, and its delays when single nodes are deleted."""
    from standins.parties.zookeeper.jute import Create, Delete
    from standins.parties.zookeeper.threaded import ThreadedEnsemble

    threaded_ensemble = ThreadedEnsemble(1)
    ensemble = threaded_ensemble.ensemble

    def commit(request: Any) -> None:
        threaded_ensemble.call(lambda: ensemble.commit(ensemble.tree.prepare(request, 1)))

    commit(Create(ROOT_PATH))
    for n in range(backend_count):
        commit(Create(f"{ROOT_PATH}/s-{n}", b"x" * 200))
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.keeper_clients", "--child", client_name, "--hosts", ensemble.hosts],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert process.stdout is not None and process.stdin is not None
    try:
        cost: dict[str, Any] = json.loads(process.stdout.readline())
        delays_ms: list[float] = []
        for n in range(min(change_count, backend_count)):
            path = f"{ROOT_PATH}/s-{n}"
            started_s = time.time()
            commit(Delete(path))
            while json.loads(line := process.stdout.readline())["heard"] != path:
                pass
            delays_ms.append((json.loads(line)["at"] - started_s) * 1000)
            time.sleep(0.005)
        return cost | {"heard_ms": statistics.median(delays_ms), "heard_most_ms": max(delays_ms)}
    finally:
        process.stdin.close()
        process.kill()
        process.wait()
        threaded_ensemble.close()


def main() -> int:
    """Measure the chosen clients, or run one as a child process."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--clients", default="own,kazoo")
    parser.add_argument("--boxes", type=int, default=64)
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--child", choices=sorted(CLIENTS), help=argparse.SUPPRESS)
    parser.add_argument("--hosts", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        run_client(options.child, options.hosts)
        return 0
    for client_name in options.clients.split(","):
        figures = measure(client_name, options.boxes, options.changes)
        print(
            f"{client_name:6} {figures['kib'] / 1024:5.1f} MiB  {figures['ms']:6.1f} ms until the list is read  "
            f"{figures['threads']} threads"
            f"  a change is reported after {figures['heard_ms']:.2f} ms (maximum {figures['heard_most_ms']:.2f} ms)"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
