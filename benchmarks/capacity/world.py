"""What a measured gateway talks to, as a process of its own: bare hosts, and discovery with a list of any size.

    python -m benchmarks.capacity.world HOSTS [PORTS]

Prints {"hosts": [port, ...], "discovery": port} once it listens, and ends with its stdin.

It may not know the gateway. Each of PORTS listeners answers any request at once; the hosts of the list share them.
Discovery speaks the published form; `GET /changes?count=5&every_ms=333` makes it change so many hosts so often (0: no
more), `GET /restarts?every_ms=350` makes one host after another drain, go and come back, one change so often (0: no
more), `GET /anew` makes it begin anew, so that whoever asks next is told the whole list.
Its whole lists are encoded once: what it costs is no figure of any product.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from typing import Any, cast
from urllib.parse import parse_qs, urlsplit

import uvloop

from benchmarks.capacity.plan import PLAN, build_fleet

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\nX-Load-Report: TEXT queue=0.2, latency_ms=1.0, qps=80\r\n\r\n"
ANSWER += b"." * 400
PORTS = 8
HISTORY = 256  # changes that are kept for who is behind


def entries(hosts: int, ports: list[int]) -> list[dict[str, Any]]:
    """The plan's fleet at this number of hosts, in discovery's form, the hosts on these ports in turn."""
    made = build_fleet(gateways_at(hosts), hosts).hosts
    return [
        host.to_entry() | ({"address": f"127.0.0.1:{ports[at % len(ports)]}"} if ports else {})
        for at, host in enumerate(made)
    ]


def gateways_at(hosts: int) -> int:
    """As many as the plan has before so many hosts."""
    return max(2, round(PLAN.gateways * hosts / PLAN.hosts))


def encoded(index: int, whole: bool, listed: list[dict[str, Any]]) -> bytes:
    body = json.dumps({"index": index, "snapshot": whole, "endpoints": listed}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class Host(asyncio.Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.transport.write(ANSWER)


class Discovery:
    def __init__(self, listed: list[dict[str, Any]]) -> None:
        self.listed = listed
        self.index = 1
        self.history: list[tuple[int, bytes]] = []  # index before it, the answer
        self.at = 0
        self.whole = encoded(1, True, listed)
        self.waiting: list[Caller] = []
        self.changing: asyncio.TimerHandle | None = None
        self.dice = random.Random(1)
        self.restarted: dict[str, Any] = {}  # the host that drains, or is gone
        self.starts = 0

    def begin_anew(self) -> None:
        """A version that nobody has, and no history: all are told the whole list, with all hosts."""
        self.index += HISTORY
        self.history.clear()
        self.restarted = {}
        self.whole = encoded(self.index, True, self.listed)
        self.tell()

    def change(self, count: int, every_s: float) -> None:
        if self.changing is not None:
            self.changing.cancel()
            self.changing = None
        if not count:
            return
        names = [self.listed[(self.at + n) % len(self.listed)] for n in range(count)]
        self.at += count
        # Another weight: it costs a gateway what any change costs, and no host leaves meanwhile.
        changed = [entry | {"weight": 1.0 + 0.001 * (self.at % 7)} for entry in names]
        self.add(changed)
        self.changing = asyncio.get_running_loop().call_later(every_s, self.change, count, every_s)

    def restart(self, every_s: float) -> None:
        """The next change of one host after another: it drains, is gone, is back with a new start."""
        if self.changing is not None:
            self.changing.cancel()
            self.changing = None
        if not every_s:
            return
        self.changing = asyncio.get_running_loop().call_later(every_s, self.restart, every_s)
        host = self.restarted
        if not host:
            self.restarted = self.dice.choice(self.listed) | {"status": "DRAINING"}
            self.add([self.restarted])
        elif host["status"] == "DRAINING":
            self.restarted = host | {"status": "DELETED"}
            self.add([self.restarted])
        else:
            self.starts += 1
            self.restarted = {}
            self.add([host | {"status": "SERVING", "since_ms": 1_000_000 + self.starts}])

    def add(self, changed: list[dict[str, Any]]) -> None:
        self.history.append((self.index, encoded(self.index + 1, False, changed)))
        del self.history[:-HISTORY]
        self.index += 1
        self.tell()

    def tell(self) -> None:
        waiting, self.waiting = self.waiting, []
        for caller in waiting:
            caller.answer()

    def answer_to(self, since: int | None) -> bytes | None:
        """None: there is no news."""
        if since == self.index:
            return None
        for before, data in self.history:
            if before == since and self.history[-1][0] == before:
                return data
        return self.whole if since is None or not self.history or since < self.history[0][0] else self.between(since)

    def between(self, since: int) -> bytes:
        merged: dict[str, Any] = {}
        for before, data in self.history:
            if before >= since:
                merged |= {e["name"]: e for e in json.loads(data.partition(b"\r\n\r\n")[2])["endpoints"]}
        return encoded(self.index, False, list(merged.values()))


class Caller(asyncio.Protocol):
    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.since: int | None = None
        self.due: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        url = urlsplit(data.split(b" ")[1].decode())
        query = {key: int(values[0]) for key, values in parse_qs(url.query).items()}
        if url.path == "/changes":
            self.discovery.change(query["count"], query["every_ms"] / 1000)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif url.path == "/restarts":
            self.discovery.restart(query["every_ms"] / 1000)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif url.path == "/anew":
            self.discovery.begin_anew()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        else:
            self.since = query.get("from")
            answer = self.discovery.answer_to(self.since)
            if answer is not None:
                self.transport.write(answer)
                return
            self.discovery.waiting.append(self)
            self.due = asyncio.get_running_loop().call_later(query.get("hold_ms", 0) / 1000, self.over)

    def over(self) -> None:
        self.discovery.waiting.remove(self)
        self.due = None
        self.transport.write(encoded(self.discovery.index, False, []))

    def answer(self) -> None:
        """There is news; the discovery has taken it off its list already."""
        if self.due is not None:
            self.due.cancel()
        self.transport.write(self.discovery.answer_to(self.since) or encoded(self.discovery.index, False, []))

    def connection_lost(self, exc: Exception | None) -> None:
        if self.due is not None:
            self.due.cancel()
        if self in self.discovery.waiting:
            self.discovery.waiting.remove(self)


async def serve(hosts: int, ports: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Host, "127.0.0.1", 0, backlog=1024) for _ in range(ports)]
    numbers = [server.sockets[0].getsockname()[1] for server in servers]
    discovery = Discovery(entries(hosts, numbers))
    told = await loop.create_server(lambda: Caller(discovery), "127.0.0.1", 0)
    print(json.dumps({"hosts": numbers, "discovery": told.sockets[0].getsockname()[1]}), flush=True)
    await asyncio.to_thread(sys.stdin.read)


def main() -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else PORTS))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
