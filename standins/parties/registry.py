"""The registry of boxes: a list and a watch over HTTP/1.1, seconds late, and faults that are switched as it runs.

Each gateway has a listener of its own, since the address of a box may differ from one gateway to the next. Where many
share one (`Bodies`), each answer is encoded once for all who ask the same, counted, and no account is kept of who was
told what: whoever shares a listener judges by what the gateways got.
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

HISTORY = 512  # changes kept for watches; who asks from before them gets the whole list
MOST_HOLD_MS = 60_000
BODIES = 64  # encoded answers kept at once; whoever is further behind has its own made


@dataclass(slots=True)
class RegistryFaults:
    down: str = ""  # "", "503", "reset" or "silent"
    garble: bool = False  # lists that can't be read
    lag_s: tuple[float, float] = (0.7, 3.0)


@dataclass(slots=True, eq=False)
class Entry:
    """One box, as registered."""

    name: str
    room: str
    kind: str
    group: int
    since_ms: int
    status: str = "SERVING"
    service: str | None = None  # None: the field is left out
    weight: float = 1.0


@dataclass(slots=True)
class Counts:
    """What went over a shared listener."""

    calls: int = 0
    wholes: int = 0
    came: int = 0  # bytes
    sent: int = 0


class Bodies:
    """Answers encoded once for all views that share the addresses: the whole list, and changes since a version."""

    def __init__(self, registry: Registry, address_of: Callable[[str], Address | None]) -> None:
        self.registry, self.address_of = registry, address_of
        self.index = 0  # that `made` is for
        self.made: dict[int | None, bytes] = {}  # by the version that is asked from; None: the whole list
        self.texts: dict[str, tuple[int, bytes]] = {}  # of listed entries: the version of their last change, encoded

    def body(self, since: int | None) -> bytes:
        """The answer to who has this version; None: has none."""
        registry = self.registry
        if self.index != registry.index:
            self.index = registry.index
            self.made.clear()
        body = self.made.get(since)
        if body is None:
            whole, forms = registry.forms_since(since)
            texts = [self.text(form) if whole else self.encode(form) for form in forms]
            head = b'{"index": %d, "snapshot": %s, "endpoints": [' % (self.index, b"true" if whole else b"false")
            body = head + b", ".join(text for text in texts if text) + b"]}"
            if len(self.made) < BODIES:
                self.made[since] = body
        return body

    def text(self, form: dict[str, Any]) -> bytes:
        """Of a listed entry: encoded again only once it has changed."""
        changed = self.registry.changed.get(form["name"], 0)
        known = self.texts.get(form["name"])
        if known is None or known[0] != changed:
            known = self.texts[form["name"]] = (changed, self.encode(form))
        return known[1]

    def encode(self, form: dict[str, Any]) -> bytes:
        """b"" for one that cannot be reached from here."""
        address = self.address_of(form["name"])
        if address is None:
            return b""
        return json.dumps({"address": f"{address[0]}:{address[1]}"} | form).encode()


@dataclass(slots=True, eq=False)
class View:
    """What one gateway is told, and where; with `bodies`, what many are told alike."""

    gateway: str
    address_of: Callable[[str], Address | None]  # of a box, as this gateway reaches it
    may_pass: Callable[[], Awaitable[None]]  # waits while the network is cut
    told: dict[str, str] = field(default_factory=dict)
    servers: list[asyncio.Server] = field(default_factory=list)
    calls: set[asyncio.Task[Any]] = field(default_factory=set)
    address: Address | None = None
    bodies: Bodies | None = None
    counts: Counts = field(default_factory=Counts)


class Registry:
    """`history`: how many changes are kept for watches."""

    def __init__(self, ledger: EventLog, seed: int = 0, history: int = HISTORY) -> None:
        self.ledger, self.dice = ledger, random.Random(f"{seed}/registry")
        self.faults = RegistryFaults()
        self.index = 1
        self.entries: dict[str, Entry] = {}
        self.history: deque[tuple[int, str, dict[str, Any] | None]] = deque(maxlen=history)
        self.changed: dict[str, int] = {}  # listed entries that have changed: the version of their last change
        self.waiting: set[asyncio.Future[None]] = set()  # watches
        self.views: dict[str, View] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    # What it knows

    def put(self, entry: Entry) -> None:
        """Register at once: for the start of a play."""
        self.entries[entry.name] = entry
        self.ledger.add(EndpointChanged(now_us(), entry.name, entry.status))

    def announce(self, entry: Entry, status: str, lag_s: float | None = None) -> None:
        """A change that this registry learns of after its lag."""
        wait_s = self.dice.uniform(*self.faults.lag_s) if lag_s is None else lag_s
        task = asyncio.get_running_loop().create_task(self.learn(entry, status, wait_s))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def learn(self, entry: Entry, status: str, wait_s: float) -> None:
        await asyncio.sleep(wait_s)
        if status != "SERVING" and self.entries.get(entry.name) is not entry:
            return  # another has been registered under its name meanwhile
        self.change([(entry, status)])

    def change(self, changes: Iterable[tuple[Entry, str]]) -> int:
        """Learn of these now, all at once; returns when, in µs of the ledger's clock."""
        for entry, status in changes:
            self.index += 1
            entry.status = status
            if status == "DELETED":
                self.entries.pop(entry.name, None)
                self.changed.pop(entry.name, None)
            else:
                self.entries[entry.name] = entry
                self.changed[entry.name] = self.index
            self.history.append((self.index, entry.name, self.form(entry)))
            self.ledger.add(EndpointChanged(now_us(), entry.name, status))
        at_us = now_us()
        self.wake()
        return at_us

    def wake(self) -> None:
        """Whoever waits for news looks again."""
        waiting, self.waiting = self.waiting, set()
        for woken in waiting:
            _end_wait(woken)

    def form(self, entry: Entry) -> dict[str, Any]:
        return {
            "name": entry.name, "zone": entry.room, "type": entry.kind, "group": entry.group,
            "status": entry.status, "weight": entry.weight, "since_ms": entry.since_ms,
        } | ({} if entry.service is None else {"service": entry.service})  # fmt: skip

    def is_whole(self, since: int | None) -> bool:
        """Whether who asks from this version is told the whole list."""
        known = self.history[0][0] if self.history else self.index + 1
        return since is None or since > self.index or (since < self.index and since + 1 < known)

    def forms_since(self, since: int | None) -> tuple[bool, list[dict[str, Any]]]:
        """Whether it is the whole list; its entries, or the newest of each that has changed since."""
        if since is None or self.is_whole(since):
            return True, [self.form(entry) for entry in self.entries.values()]
        newest: dict[str, dict[str, Any] | None] = {}
        for at, name, form in reversed(self.history):
            if at <= since:
                break
            newest.setdefault(name, form)
        return False, [form for form in reversed(newest.values()) if form]

    def step_back(self, by: int) -> None:
        """Lose the last versions' numbers: a registry restored from a copy."""
        self.index = max(1, self.index - by)
        self.history.clear()

    # Listening

    async def open(self, gateway: str, address_of: Callable[[str], Address | None],
                   may_pass: Callable[[], Awaitable[None]], bodies: Bodies | None = None) -> View:  # fmt: skip
        view = View(gateway, address_of, may_pass, bodies=bodies)
        self.views[gateway] = view
        await self.listen(view)
        return view

    async def listen(self, view: View) -> None:
        server = await asyncio.start_server(lambda r, w: self.serve(view, server, r, w), "127.0.0.1", 0)
        view.servers.append(server)
        view.address = server.sockets[0].getsockname()

    async def move(self, view: View, close_after_s: float = 1.5) -> None:
        """Listen elsewhere; the old listener takes nothing new and ends what is open after a while."""
        old = list(view.servers)
        await self.listen(view)
        for server in old:
            server.close()
            view.servers.remove(server)

        def end() -> None:
            for task in list(view.calls):
                if task.get_name() in {str(id(server)) for server in old}:
                    task.cancel()

        asyncio.get_running_loop().call_later(close_after_s, end)

    async def serve(
        self, view: View, server: asyncio.Server, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        task.set_name(str(id(server)))
        view.calls.add(task)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                view.counts.calls += 1
                view.counts.came += len(head)
                if view.bodies is not None:
                    await self.answer(view, head, writer)
                    continue
                listening = DiscoveryPoll(now_us(), view.gateway)
                self.ledger.add(listening)
                try:
                    await self.answer(view, head, writer)
                finally:
                    listening.until_us = now_us()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            view.calls.discard(task)
            writer.transport.abort()

    async def answer(self, view: View, head: str, writer: asyncio.StreamWriter) -> None:
        method, _, rest = head.partition(" ")
        url = urlsplit(rest.partition(" ")[0])
        if method != "GET" or url.path != "/registry/instances":
            await self.write(view, writer, 404, b"{}")
            return
        query = parse_qs(url.query)
        body: dict[str, Any]
        try:
            since = int(query["from"][0]) if "from" in query else None
            hold_s = min(int(query.get("hold_ms", ["0"])[0]), MOST_HOLD_MS) / 1000
        except ValueError:
            await self.write(view, writer, 400, b"{}")
            return
        if since is not None and since <= self.index:
            await self.wait_for_news(since, hold_s)
        match self.faults.down:
            case "503":
                await self.write(view, writer, 503, b"{}")
                return
            case "reset":
                writer.transport.abort()
                return
            case "silent":
                while self.faults.down == "silent":
                    await asyncio.sleep(0.05)
            case _:
                pass
        if view.bodies is not None:
            view.counts.wholes += self.is_whole(since)
            text = view.bodies.body(since)
            await view.may_pass()
            await self.write(view, writer, 200, text)
            return
        whole, forms = self.forms_since(since)
        entries = []
        for form in forms:
            address = view.address_of(form["name"])
            if address is not None:
                entries.append({"address": f"{address[0]}:{address[1]}"} | form)
        body = {"index": self.index, "snapshot": whole, "endpoints": entries}
        text = json.dumps(body).encode()
        if self.faults.garble:
            await self.write(view, writer, 200, text[: len(text) // 2].replace(b'"', b"\x00"))
            return
        await view.may_pass()
        await self.write(view, writer, 200, text)
        self.note(view, whole, entries)

    async def wait_for_news(self, since: int, hold_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + hold_s
        while self.index == since and not self.faults.down and (left_s := until_s - loop.time()) > 0:
            woken: asyncio.Future[None] = loop.create_future()
            self.waiting.add(woken)
            timer = loop.call_later(left_s, _end_wait, woken)
            try:
                await woken
            finally:
                timer.cancel()
                self.waiting.discard(woken)

    async def write(self, view: View, writer: asyncio.StreamWriter, status: int, body: bytes) -> None:
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
        view.counts.sent += len(head) + len(body)
        writer.writelines((head, body))
        await writer.drain()

    def note(self, view: View, whole: bool, entries: list[dict[str, Any]]) -> None:
        """Written to the gateway, so it counts as told."""
        at_us = now_us()
        statuses = {entry["name"]: entry["status"] for entry in entries}
        if whole:
            for name in view.told.keys() - statuses.keys():
                statuses[name] = "DELETED"
        for name, status in statuses.items():
            self.ledger.add(NotificationDelivered(at_us, view.gateway, name, status))
            if status == "DELETED":
                view.told.pop(name, None)
            else:
                view.told[name] = status

    async def set_down(self, how: str) -> None:
        """Go down in this way, or come back with "". Watches end when it goes down."""
        self.faults.down = how
        self.wake()

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for view in self.views.values():
            for server in view.servers:
                server.close()
            for call in list(view.calls):
                call.cancel()


def _end_wait(woken: asyncio.Future[None]) -> None:
    if not woken.done():
        woken.set_result(None)
