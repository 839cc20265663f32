"""What a client of the coordination service costs a gateway: memory, start-up, threads, time to hear of a change.

    .venv-dev/bin/python -m benchmarks.keeper_clients [--clients kazoo,own] [--boxes 64] [--changes 50]

Each client runs in a process of its own, on the gateway's loop (uvloop), against the stand-in service: it imports,
connects, reads the list and all nodes with watches, then hears of deletions. aiozk is measured where it is installed
(it is no requirement of the project). `own` is the least that the protocol allows, on the stand-in's codec, with one
recursive watch: what a client of our own could reach at best, without reconnects.
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

ROOT = "/boxes"


def rss_kib() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4


class Own:
    """One connection, one recursive watch."""

    async def start(self, hosts: str, heard: Callable[[str], None]) -> None:
        from standins.parties.zookeeper import jute

        self.jute, self.heard, self.xid = jute, heard, 0
        host, _, port = hosts.split(",")[0].rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(jute.frame(jute.ConnectRequest().encode()))
        await self.message()
        await self.ask(jute.AddWatch(ROOT, 1))
        of = await self.ask(jute.Read(ROOT, False, jute.Op.GET_CHILDREN))
        for name in of.vector(of.text):
            await self.ask(jute.Read(f"{ROOT}/{name}", False, jute.Op.GET_DATA))
        self.task = asyncio.create_task(self.listen())

    async def message(self) -> bytes:
        size = int.from_bytes(await self.reader.readexactly(4), "big")
        return await self.reader.readexactly(size)

    async def ask(self, request: Any) -> Any:
        self.xid += 1
        self.writer.write(self.jute.frame(self.jute.encode_request(self.xid, request)))
        of = self.jute.Reader(await self.message())
        self.jute.ReplyHeader.read(of)
        return of

    async def listen(self) -> None:
        while True:
            of = self.jute.Reader(await self.message())
            if self.jute.ReplyHeader.read(of).xid == -1:
                of.int32(), of.int32()
                self.heard(of.text())


class Kazoo:
    """The well-kept client, in threads of its own."""

    async def start(self, hosts: str, heard: Callable[[str], None]) -> None:
        from kazoo.client import KazooClient

        loop = asyncio.get_running_loop()
        self.client = KazooClient(hosts)

        def on_event(event: Any) -> None:
            loop.call_soon_threadsafe(heard, event.path)

        def read() -> None:
            self.client.start()
            for name in self.client.get_children(ROOT, watch=on_event):
                self.client.get(f"{ROOT}/{name}", watch=on_event)

        await asyncio.to_thread(read)


class Aiozk:
    """The client for asyncio."""

    async def start(self, hosts: str, heard: Callable[[str], None]) -> None:
        import aiozk
        from aiozk import protocol

        self.client = aiozk.ZKClient(hosts)
        await self.client.start()
        events = (aiozk.WatchEvent.DELETED, aiozk.WatchEvent.DATA_CHANGED)
        for name in await self.client.get_children(ROOT):
            path = f"{ROOT}/{name}"

            def on_event(*args: Any, path: str = path) -> None:
                heard(path)

            await self.client.send(protocol.GetDataRequest(path=path, watch=True))
            for event in events:
                self.client.session.add_watch_callback(event, path, on_event)


KINDS: dict[str, type[Any]] = {"own": Own, "kazoo": Kazoo, "aiozk": Aiozk}


def in_a_process_of_its_own(kind: str, hosts: str) -> None:
    """The child: what it prints is read by the parent, a line each."""

    async def run() -> None:
        import ssl  # noqa: F401  the gateway has it anyway

        before_kib, begun = rss_kib(), time.perf_counter()

        def heard(path: str) -> None:
            print(json.dumps({"heard": path, "at": time.time()}), flush=True)

        client = KINDS[kind]()
        await client.start(hosts, heard)
        cost = {"ms": (time.perf_counter() - begun) * 1000, "kib": rss_kib() - before_kib}
        print(json.dumps(cost | {"threads": threading.active_count()}), flush=True)
        await asyncio.to_thread(sys.stdin.readline)

    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def measure(kind: str, boxes: int, changes: int) -> dict[str, Any]:
    from standins.parties.zookeeper.jute import Create, Delete
    from standins.parties.zookeeper.threaded import ThreadedEnsemble

    keeper = ThreadedEnsemble(1)
    ensemble = keeper.ensemble

    def put(request: Any) -> None:
        keeper.call(lambda: ensemble.commit(ensemble.tree.prepare(request, 1)))

    put(Create(ROOT))
    for n in range(boxes):
        put(Create(f"{ROOT}/s-{n}", b"x" * 200))
    child = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.keeper_clients", "--child", kind, "--hosts", ensemble.hosts],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert child.stdout is not None and child.stdin is not None
    try:
        cost: dict[str, Any] = json.loads(child.stdout.readline())
        late: list[float] = []
        for n in range(min(changes, boxes)):
            path = f"{ROOT}/s-{n}"
            begun = time.time()
            put(Delete(path))
            while json.loads(line := child.stdout.readline())["heard"] != path:
                pass
            late.append((json.loads(line)["at"] - begun) * 1000)
            time.sleep(0.005)
        return cost | {"heard_ms": statistics.median(late), "heard_most_ms": max(late)}
    finally:
        child.stdin.close()
        child.kill()
        child.wait()
        keeper.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--clients", default="own,kazoo")
    parser.add_argument("--boxes", type=int, default=64)
    parser.add_argument("--changes", type=int, default=50)
    parser.add_argument("--child", choices=sorted(KINDS), help=argparse.SUPPRESS)
    parser.add_argument("--hosts", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        in_a_process_of_its_own(options.child, options.hosts)
        return 0
    for kind in options.clients.split(","):
        found = measure(kind, options.boxes, options.changes)
        print(
            f"{kind:6} {found['kib'] / 1024:5.1f} MiB  {found['ms']:6.1f} ms to the list  {found['threads']} threads"
            f"  a change heard after {found['heard_ms']:.2f} ms ({found['heard_most_ms']:.2f} at most)"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
