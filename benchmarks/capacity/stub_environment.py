"""The servers that a measured gateway connects to, in one process: stub hosts, and discovery with a list of any size.

    python -m benchmarks.capacity.stub_environment HOSTS [LISTENERS]

Prints {"hosts": [port, ...], "discovery": port} once it listens, and exits when its stdin is closed.

It must not import the gateway. Each of LISTENERS listeners answers any request at once; the hosts of the list share
them. Discovery uses the published format, and three more requests control it:
    GET /changes?count=5&every_ms=333    change that many hosts at this interval (count 0: stop)
    GET /restarts?every_ms=350           drain, remove and return one host after another, one change at this interval
                                         (0: stop)
    GET /anew                            start a new version without history: each client's next response has the
                                         whole list
Whole lists are encoded only once: the cost of encoding in this process is not part of any measurement.
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

HOST_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 400\r\nX-Load-Report: TEXT queue=0.2, latency_ms=1.0, qps=80\r\n\r\n"
)
HOST_RESPONSE += b"." * 400
DEFAULT_HOST_LISTENERS = 8
MAX_HISTORY_CHANGES = 256  # changes kept for clients that are behind


def host_entries(hosts: int, ports: list[int]) -> list[dict[str, Any]]:
    """Return discovery's entries of the plan's fleet with this number of hosts. Its hosts share `ports` in turn."""
    fleet_hosts = build_fleet(gateways_for_hosts(hosts), hosts).hosts
    return [
        host.to_entry() | ({"address": f"127.0.0.1:{ports[index % len(ports)]}"} if ports else {})
        for index, host in enumerate(fleet_hosts)
    ]


def gateways_for_hosts(hosts: int) -> int:
    """Return the number of gateways that the plan has for this number of hosts."""
    return max(2, round(PLAN.gateways * hosts / PLAN.hosts))


def encode_response(index: int, is_snapshot: bool, entries: list[dict[str, Any]]) -> bytes:
    """Return an HTTP response of discovery, head and body."""
    body = json.dumps({"index": index, "snapshot": is_snapshot, "endpoints": entries}).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class HostConnection(asyncio.Protocol):
    """A connection to a stub host, which answers every request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.transport.write(HOST_RESPONSE)


class StubDiscovery:
    """The host list, its history of changes, and the connections that wait for the next change."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.entries = entries
        self.index = 1
        self.history: list[tuple[int, bytes]] = []  # index before the change, and its response
        self.next_entry_index = 0
        self.snapshot_response = encode_response(1, True, entries)
        self.waiting_connections: list[DiscoveryConnection] = []
        self.change_timer: asyncio.TimerHandle | None = None
        self.rng = random.Random(1)
        self.restarting_host: dict[str, Any] = {}  # the host that drains or is removed
        self.restart_count = 0

    def reset(self) -> None:
        """Start a version that no client has, without history, so that every client receives the whole list."""
        self.index += MAX_HISTORY_CHANGES
        self.history.clear()
        self.restarting_host = {}
        self.snapshot_response = encode_response(self.index, True, self.entries)
        self.answer_waiting()

    def change_weights(self, count: int, interval_s: float) -> None:
        """Change the weights of the next `count` hosts now and at every interval. Count 0 stops the changes."""
        if self.change_timer is not None:
            self.change_timer.cancel()
            self.change_timer = None
        if not count:
            return
        selected_entries = [self.entries[(self.next_entry_index + n) % len(self.entries)] for n in range(count)]
        self.next_entry_index += count
        # A new weight costs a gateway as much as any other change, and no host is removed.
        changed = [entry | {"weight": 1.0 + 0.001 * (self.next_entry_index % 7)} for entry in selected_entries]
        self.publish_change(changed)
        self.change_timer = asyncio.get_running_loop().call_later(interval_s, self.change_weights, count, interval_s)

    def restart_next_host(self, interval_s: float) -> None:
        """Make the next change of a restart, now and at every interval. Interval 0 stops the restarts.

        One host after another drains, is removed, and returns with a new start time.
        """
        if self.change_timer is not None:
            self.change_timer.cancel()
            self.change_timer = None
        if not interval_s:
            return
        self.change_timer = asyncio.get_running_loop().call_later(interval_s, self.restart_next_host, interval_s)
        host = self.restarting_host
        if not host:
            self.restarting_host = self.rng.choice(self.entries) | {"status": "DRAINING"}
            self.publish_change([self.restarting_host])
        elif host["status"] == "DRAINING":
            self.restarting_host = host | {"status": "DELETED"}
            self.publish_change([self.restarting_host])
        else:
            self.restart_count += 1
            self.restarting_host = {}
            self.publish_change([host | {"status": "SERVING", "since_ms": 1_000_000 + self.restart_count}])

    def publish_change(self, changed: list[dict[str, Any]]) -> None:
        """Add a change of these entries to the history, and answer the waiting connections."""
        self.history.append((self.index, encode_response(self.index + 1, False, changed)))
        del self.history[:-MAX_HISTORY_CHANGES]
        self.index += 1
        self.answer_waiting()

    def answer_waiting(self) -> None:
        """Send the changes to all waiting connections."""
        connections, self.waiting_connections = self.waiting_connections, []
        for connection in connections:
            connection.send_changes()

    def response_since(self, since: int | None) -> bytes | None:
        """Return the response to a client that has index `since`, or None if nothing has changed."""
        if since == self.index:
            return None
        for previous_index, data in self.history:
            if previous_index == since and self.history[-1][0] == previous_index:
                return data
        return (
            self.snapshot_response
            if since is None or not self.history or since < self.history[0][0]
            else self.merge_changes_since(since)
        )

    def merge_changes_since(self, since: int) -> bytes:
        """Return one response with the last change of each host since this index."""
        merged: dict[str, Any] = {}
        for previous_index, data in self.history:
            if previous_index >= since:
                merged |= {entry["name"]: entry for entry in json.loads(data.partition(b"\r\n\r\n")[2])["endpoints"]}
        return encode_response(self.index, False, list(merged.values()))


class DiscoveryConnection(asyncio.Protocol):
    """A connection to discovery: a client's poll, held until a change or a timeout, or a control request."""

    def __init__(self, discovery: StubDiscovery) -> None:
        self.discovery = discovery
        self.since: int | None = None
        self.wait_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        url = urlsplit(data.split(b" ")[1].decode())
        query = {key: int(values[0]) for key, values in parse_qs(url.query).items()}
        if url.path == "/changes":
            self.discovery.change_weights(query["count"], query["every_ms"] / 1000)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif url.path == "/restarts":
            self.discovery.restart_next_host(query["every_ms"] / 1000)
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        elif url.path == "/anew":
            self.discovery.reset()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        else:
            self.since = query.get("from")
            response = self.discovery.response_since(self.since)
            if response is not None:
                self.transport.write(response)
                return
            self.discovery.waiting_connections.append(self)
            self.wait_timer = asyncio.get_running_loop().call_later(query.get("hold_ms", 0) / 1000, self.end_wait)

    def end_wait(self) -> None:
        """Answer that nothing has changed."""
        self.discovery.waiting_connections.remove(self)
        self.wait_timer = None
        self.transport.write(encode_response(self.discovery.index, False, []))

    def send_changes(self) -> None:
        """Answer with the changes. The discovery has already removed this connection from the waiting ones."""
        if self.wait_timer is not None:
            self.wait_timer.cancel()
        self.transport.write(
            self.discovery.response_since(self.since) or encode_response(self.discovery.index, False, [])
        )

    def connection_lost(self, exc: Exception | None) -> None:
        if self.wait_timer is not None:
            self.wait_timer.cancel()
        if self in self.discovery.waiting_connections:
            self.discovery.waiting_connections.remove(self)


async def serve(hosts: int, listeners: int) -> None:
    """Serve a list of this many hosts until stdin is closed."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(HostConnection, "127.0.0.1", 0, backlog=1024) for _ in range(listeners)]
    host_ports = [server.sockets[0].getsockname()[1] for server in servers]
    discovery = StubDiscovery(host_entries(hosts, host_ports))
    discovery_server = await loop.create_server(lambda: DiscoveryConnection(discovery), "127.0.0.1", 0)
    print(json.dumps({"hosts": host_ports, "discovery": discovery_server.sockets[0].getsockname()[1]}), flush=True)
    await asyncio.to_thread(sys.stdin.read)


def main() -> int:
    """Run the servers with the arguments of the command line."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(int(sys.argv[1]), int(sys.argv[2]) if len(sys.argv) > 2 else DEFAULT_HOST_LISTENERS))
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
