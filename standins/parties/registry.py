"""Emulates the discovery registry: lists and watches over HTTP/1.1, delayed changes, and switchable faults.

Each gateway has a listener of its own, because the address of a backend may differ between gateways. Where many
callers share one listener (it has a `ResponseCache`), each response is encoded once for all callers with the same
request. The requests are counted, but no delivery is written to the event log: such a run is judged by what the
gateways received.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.event_log import DiscoveryPoll, EndpointChanged, EventLog, NotificationDelivered, now_us
from standins.parties.network import Address

MAX_HISTORY_CHANGES = 512  # a watch from before the oldest kept change gets the full list
MAX_HOLD_MS = 60_000  # limits the time that a request asks to wait for changes
MAX_CACHED_BODIES = 64  # a caller that is further behind gets a response encoded for it alone


@dataclass(slots=True)
class RegistryFaults:
    """Faults that are switched on while the registry runs."""

    outage_mode: str = ""  # "" (up), "503", "reset" or "silent"
    has_garbled_lists: bool = False  # responses with a list cannot be parsed
    lag_s: tuple[float, float] = (0.7, 3.0)  # bounds of the random delay after which a change is applied


@dataclass(slots=True, eq=False)
class Entry:
    """A registered backend."""

    name: str
    zone: str
    kind: str  # machine type
    group: int
    since_ms: int
    status: str = "SERVING"
    service: str | None = None  # None: the record has no such field
    weight: float = 1.0


@dataclass(slots=True)
class ListenerCounts:
    """Traffic of a shared listener."""

    requests: int = 0
    full_lists: int = 0
    received_bytes: int = 0
    sent_bytes: int = 0


class ResponseCache:
    """Encodes each response once for all listeners with the same addresses: full lists and changes since an index."""

    def __init__(self, registry: Registry, address_of: Callable[[str], Address | None]) -> None:
        self.registry, self.address_of = registry, address_of
        self.index = 0  # index of the registry for which `bodies` was encoded
        self.bodies: dict[int | None, bytes] = {}  # by the index in the request; None: full list
        self.encoded_entries: dict[str, tuple[int, bytes]] = {}  # by name: index of the last change, encoded record

    def get_body(self, since: int | None) -> bytes:
        """Return the response body for a caller that has the list of index `since`; None: it has no list."""
        registry = self.registry
        if self.index != registry.index:
            self.index = registry.index
            self.bodies.clear()
        body = self.bodies.get(since)
        if body is None:
            is_full_list, records = registry.records_since(since)
            encoded = [
                self.encode_listed_entry(record) if is_full_list else self.encode_entry(record) for record in records
            ]
            head = b'{"index": %d, "snapshot": %s, "endpoints": [' % (
                self.index,
                b"true" if is_full_list else b"false",
            )
            body = head + b", ".join(text for text in encoded if text) + b"]}"
            if len(self.bodies) < MAX_CACHED_BODIES:
                self.bodies[since] = body
        return body

    def encode_listed_entry(self, record: dict[str, Any]) -> bytes:
        """Return the encoded record of a listed entry, which is encoded anew only after a change."""
        last_change_index = self.registry.last_change_indexes.get(record["name"], 0)
        cached = self.encoded_entries.get(record["name"])
        if cached is None or cached[0] != last_change_index:
            cached = self.encoded_entries[record["name"]] = (last_change_index, self.encode_entry(record))
        return cached[1]

    def encode_entry(self, record: dict[str, Any]) -> bytes:
        """Return the encoded record, or b"" for a backend that cannot be reached from this listener."""
        address = self.address_of(record["name"])
        if address is None:
            return b""
        return json.dumps({"address": f"{address[0]}:{address[1]}"} | record).encode()


@dataclass(slots=True, eq=False)
class RegistryListener:
    """Listener of one gateway; with `response_cache`, of many callers that get the same responses."""

    gateway: str
    address_of: Callable[[str], Address | None]  # maps a backend name to the address at which this gateway reaches it
    wait_for_network: Callable[[], Awaitable[None]]  # returns once the network is not cut
    delivered_statuses: dict[str, str] = field(default_factory=dict)
    servers: list[asyncio.Server] = field(default_factory=list)
    connection_tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    address: Address | None = None
    response_cache: ResponseCache | None = None
    counts: ListenerCounts = field(default_factory=ListenerCounts)


class Registry:
    """Keeps the entries and the last `history` changes, and serves lists and watches of them."""

    def __init__(self, event_log: EventLog, seed: int = 0, history: int = MAX_HISTORY_CHANGES) -> None:
        self.event_log, self.rng = event_log, random.Random(f"{seed}/registry")
        self.faults = RegistryFaults()
        self.index = 1
        self.entries: dict[str, Entry] = {}
        self.history: deque[tuple[int, str, dict[str, Any] | None]] = deque(maxlen=history)
        self.last_change_indexes: dict[str, int] = {}  # by name: index of the last change of a listed entry
        self.waiting_watches: set[asyncio.Future[None]] = set()
        self.listeners: dict[str, RegistryListener] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    # Entries

    def add_entry(self, entry: Entry) -> None:
        """Register a backend without a change that watches would receive; used before the start of a run."""
        self.entries[entry.name] = entry
        self.event_log.add(EndpointChanged(now_us(), entry.name, entry.status))

    def schedule_change(self, entry: Entry, status: str, lag_s: float | None = None) -> None:
        """Apply a change after `lag_s`, by default a random lag within the bounds in `faults`."""
        wait_s = self.rng.uniform(*self.faults.lag_s) if lag_s is None else lag_s
        task = asyncio.get_running_loop().create_task(self.apply_change_after(entry, status, wait_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def apply_change_after(self, entry: Entry, status: str, wait_s: float) -> None:
        """Apply a change after `wait_s`, unless another entry has taken the name in the meantime."""
        await asyncio.sleep(wait_s)
        if status != "SERVING" and self.entries.get(entry.name) is not entry:
            return  # another backend has registered with this name in the meantime
        self.apply_changes([(entry, status)])

    def apply_changes(self, changes: Iterable[tuple[Entry, str]]) -> int:
        """Apply changes at once and wake the watches; return the time on the event log's clock, in µs."""
        for entry, status in changes:
            self.index += 1
            entry.status = status
            if status == "DELETED":
                self.entries.pop(entry.name, None)
                self.last_change_indexes.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
                self.last_change_indexes[entry.name] = self.index
            self.history.append((self.index, entry.name, self.to_record(entry)))
            self.event_log.add(EndpointChanged(now_us(), entry.name, status))
        at_us = now_us()
        self.wake_watches()
        return at_us

    def wake_watches(self) -> None:
        """Make each waiting watch check the index again."""
        waiting, self.waiting_watches = self.waiting_watches, set()
        for waiter in waiting:
            _finish_wait(waiter)

    def to_record(self, entry: Entry) -> dict[str, Any]:
        """Return the entry as the protocol's JSON object, without the address."""
        return {
            "name": entry.name, "zone": entry.zone, "type": entry.kind, "group": entry.group,
            "status": entry.status, "weight": entry.weight, "since_ms": entry.since_ms,
        } | ({} if entry.service is None else {"service": entry.service})  # fmt: skip

    def needs_full_list(self, since: int | None) -> bool:
        """Return whether a request with the index `since` gets the full list instead of changes."""
        oldest_index = self.history[0][0] if self.history else self.index + 1
        return since is None or since > self.index or (since < self.index and since + 1 < oldest_index)

    def records_since(self, since: int | None) -> tuple[bool, list[dict[str, Any]]]:
        """Return whether the list is full, and its records: all of them, or the newest of each changed backend."""
        if since is None or self.needs_full_list(since):
            return True, [self.to_record(entry) for entry in self.entries.values()]
        newest: dict[str, dict[str, Any] | None] = {}
        for index, name, record in reversed(self.history):
            if index <= since:
                break
            newest.setdefault(name, record)
        return False, [record for record in reversed(newest.values()) if record]

    def roll_back_index(self, count: int) -> None:
        """Decrease the index and forget the history, as a registry does that is restored from a backup."""
        self.index = max(1, self.index - count)
        self.history.clear()

    # Listeners

    async def open_listener(
        self, gateway: str, address_of: Callable[[str], Address | None],
        wait_for_network: Callable[[], Awaitable[None]], response_cache: ResponseCache | None = None,
    ) -> RegistryListener:  # fmt: skip
        """Start a listener for a gateway, or for a group of callers if it has a response cache."""
        listener = RegistryListener(gateway, address_of, wait_for_network, response_cache=response_cache)
        self.listeners[gateway] = listener
        await self.start_server(listener)
        return listener

    async def start_server(self, listener: RegistryListener) -> None:
        """Listen on a new port."""
        server = await asyncio.start_server(
            lambda r, w: self.serve_connection(listener, server, r, w), "127.0.0.1", 0
        )
        listener.servers.append(server)
        listener.address = server.sockets[0].getsockname()

    async def move_listener(self, listener: RegistryListener, close_after_s: float = 1.5) -> None:
        """Listen on a new port; stop the old server at once and end its connections after `close_after_s`."""
        old_servers = list(listener.servers)
        await self.start_server(listener)
        for server in old_servers:
            server.close()
            listener.servers.remove(server)

        def cancel_old_connections() -> None:
            for task in list(listener.connection_tasks):
                if task.get_name() in {str(id(server)) for server in old_servers}:
                    task.cancel()

        asyncio.get_running_loop().call_later(close_after_s, cancel_old_connections)

    async def serve_connection(
        self,
        listener: RegistryListener,
        server: asyncio.Server,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Respond to the requests of one connection until it closes."""
        task = asyncio.current_task()
        assert task is not None
        task.set_name(str(id(server)))
        listener.connection_tasks.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                listener.counts.requests += 1
                listener.counts.received_bytes += len(head)
                if listener.response_cache is not None:
                    await self.respond(listener, head, writer)
                    continue
                poll = DiscoveryPoll(now_us(), listener.gateway)
                self.event_log.add(poll)
                try:
                    await self.respond(listener, head, writer)
                finally:
                    poll.until_us = now_us()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            listener.connection_tasks.discard(task)
            writer.transport.abort()

    async def respond(self, listener: RegistryListener, head: str, writer: asyncio.StreamWriter) -> None:
        """Send the response to one request, with the faults that are on."""
        method, _, rest = head.partition(" ")
        url = urlsplit(rest.partition(" ")[0])
        if method != "GET" or url.path != "/registry/instances":
            await self.write_response(listener, writer, 404, b"{}")
            return
        query = parse_qs(url.query)
        body: dict[str, Any]
        try:
            since = int(query["from"][0]) if "from" in query else None
            hold_s = min(int(query.get("hold_ms", ["0"])[0]), MAX_HOLD_MS) / 1000
        except ValueError:
            await self.write_response(listener, writer, 400, b"{}")
            return
        if since is not None and since <= self.index:
            await self.wait_for_change(since, hold_s)
        match self.faults.outage_mode:
            case "503":
                await self.write_response(listener, writer, 503, b"{}")
                return
            case "reset":
                writer.transport.abort()
                return
            case "silent":
                while self.faults.outage_mode == "silent":
                    await asyncio.sleep(0.05)
            case _:
                pass
        if listener.response_cache is not None:
            listener.counts.full_lists += self.needs_full_list(since)
            text = listener.response_cache.get_body(since)
            await listener.wait_for_network()
            await self.write_response(listener, writer, 200, text)
            return
        is_full_list, records = self.records_since(since)
        entries = []
        for record in records:
            address = listener.address_of(record["name"])
            if address is not None:
                entries.append({"address": f"{address[0]}:{address[1]}"} | record)
        body = {"index": self.index, "snapshot": is_full_list, "endpoints": entries}
        text = json.dumps(body).encode()
        if self.faults.has_garbled_lists:
            await self.write_response(listener, writer, 200, text[: len(text) // 2].replace(b'"', b"\x00"))
            return
        await listener.wait_for_network()
        await self.write_response(listener, writer, 200, text)
        self.record_delivery(listener, is_full_list, entries)

    async def wait_for_change(self, since: int, hold_s: float) -> None:
        """Wait until the index changes, an outage begins or `hold_s` has passed."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + hold_s
        while self.index == since and not self.faults.outage_mode and (remaining_s := end_s - loop.time()) > 0:
            waiter: asyncio.Future[None] = loop.create_future()
            self.waiting_watches.add(waiter)
            timer = loop.call_later(remaining_s, _finish_wait, waiter)
            try:
                await waiter
            finally:
                timer.cancel()
                self.waiting_watches.discard(waiter)

    async def write_response(
        self, listener: RegistryListener, writer: asyncio.StreamWriter, status: int, body: bytes
    ) -> None:
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        listener.counts.sent_bytes += len(head) + len(body)
        writer.writelines((head, body))
        await writer.drain()

    def record_delivery(self, listener: RegistryListener, is_full_list: bool, entries: list[dict[str, Any]]) -> None:
        """Write to the event log what the gateway was sent. A response counts as delivered once it is written."""
        at_us = now_us()
        statuses = {entry["name"]: entry["status"] for entry in entries}
        if is_full_list:
            for name in listener.delivered_statuses.keys() - statuses.keys():
                statuses[name] = "DELETED"
        for name, status in statuses.items():
            self.event_log.add(NotificationDelivered(at_us, listener.gateway, name, status))
            if status == "DELETED":
                listener.delivered_statuses.pop(name, None)
            else:
                listener.delivered_statuses[name] = status

    async def set_outage_mode(self, mode: str) -> None:
        """Begin an outage of this kind, which ends the waiting watches, or end it with an empty mode."""
        self.faults.outage_mode = mode
        self.wake_watches()

    def close(self) -> None:
        """Close all listeners and connections and cancel pending changes."""
        for task in self.tasks:
            task.cancel()
        for listener in self.listeners.values():
            for server in listener.servers:
                server.close()
            for task in list(listener.connection_tasks):
                task.cancel()


def _finish_wait(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)
