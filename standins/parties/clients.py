"""Clients: an open loop of mixed requests with retries, and some that break the protocol.

A front deals their connections out among the gateways of a room, and is slow to notice a dead one.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from standins.event_log import (
    ClientDisconnected,
    EventLog,
    MisbehavingClient,
    OperationStarted,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    UnexpectedBytes,
    now_us,
)
from standins.parties.network import Address
from standins.site import CLASSES, ZONES, TENANTS, RequestClass, draw_uniform

WAITED_US = 300_000  # past a try's time: how long a client goes on listening, so that a late answer is seen
RUDE_US = 4_000_000  # how long a client that breaks the protocol waits for an error or a close
USES = (40, 160)  # requests on one connection before the client opens another


@dataclass(slots=True, eq=False)
class Door:
    """One gateway, as the front knows it."""

    name: str
    room: int
    address: Address
    is_open: bool = False


class Front:
    """Deals out connections in turn among the gateways of a room."""

    def __init__(self, seed: int = 0, notice_s: tuple[float, float] = (0.82, 3.9)) -> None:
        self.doors: dict[str, Door] = {}
        self.dice = random.Random(f"{seed}/front")
        self.notice_s = notice_s
        self.turn = 0
        self.closing: dict[str, asyncio.TimerHandle] = {}

    def admit(self, door: Door) -> None:
        """It is ready: connections go to it from now on."""
        closing = self.closing.pop(door.name, None)
        if closing is not None:
            closing.cancel()
        door.is_open = True
        self.doors[door.name] = door

    def on_term(self, name: str) -> None:
        """A planned restart: new connections go on coming for a moment."""
        self.close_after(name, self.dice.uniform(0.2, 0.4))

    def on_dead(self, name: str) -> None:
        self.close_after(name, self.dice.uniform(*self.notice_s))

    def close_after(self, name: str, wait_s: float) -> None:
        if name not in self.closing:
            self.closing[name] = asyncio.get_running_loop().call_later(wait_s, self.shut, name)

    def shut(self, name: str) -> None:
        self.closing.pop(name, None)
        door = self.doors.get(name)
        if door is not None:
            door.is_open = False

    def pick(self, room: int) -> Door | None:
        """The next gateway of the room; of any other, where it has none."""
        doors = [door for door in self.doors.values() if door.is_open]
        doors = [door for door in doors if door.room == room] or doors
        if not doors:
            return None
        self.turn += 1
        return doors[self.turn % len(doors)]


class Connection(asyncio.Protocol):
    """A client's connection to a gateway: one request at a time."""

    def __init__(self, door: Door, on_extra: Callable[[str, bytes], None], uses: int) -> None:
        self.door, self.on_extra = door, on_extra
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.answer: asyncio.Future[ResponseReceived | ResponseMissing] | None = None
        self.id = ""
        self.left = uses
        self.answers = 0
        self.status = 0
        self.body = b""
        self.retry_after_us = 0
        self.keep = True
        self.has_begun = False  # an answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def send(self, id_: str, data: bytes) -> asyncio.Future[ResponseReceived | ResponseMissing]:
        assert self.transport is not None
        self.id, self.has_begun = id_, False
        self.left -= 1
        self.answer = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.answer

    def data_received(self, data: bytes) -> None:
        if self.answer is None or self.answer.done():
            self.on_extra(self.id, data)
            self.abort()
            return
        self.has_begun = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end("cut")
            self.abort()

    def on_message_begin(self) -> None:
        if self.answer is not None and self.answer.done():
            self.on_extra(self.id, b"a second answer")
        self.body, self.retry_after_us = b"", 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after_us = int(float(value) * 1e6)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200 or self.answer is None or self.answer.done():
            return
        self.keep = self.parser.should_keep_alive() and self.left > 0
        self.answers += 1
        names = self.body.split(b" ", 1)[0].decode("latin-1") if status == 200 else ""
        self.answer.set_result(ResponseReceived(now_us(), self.id, status, names, self.retry_after_us))
        if not self.keep:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.end("cut" if self.has_begun else "closed" if exc is None else "reset")

    def end(self, how: str) -> None:
        if self.answer is not None and not self.answer.done():
            self.answer.set_result(ResponseMissing(now_us(), self.id, how))

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


@dataclass(slots=True)
class Habits:
    """How clients behave, as the brief has it."""

    retries: int = 2
    try_share: float = 0.5  # of the class's give-up time, for one try
    wait_s: float = 0.05  # before a retry that is not told when
    honour: float = 0.7  # share of clients that heed Retry-After
    leave: float = 0.01  # share of tries that are left early
    keys: int = 2000
    popular: float = 0.0  # share of the wants that are about one and the same
    hint: float = 1.0  # told of the work, as a share of it; 0: nothing is told


@dataclass
class Clients:
    """All clients of a play."""

    ledger: EventLog
    front: Front
    seed: int = 0
    rate: float = 100.0  # wants a second; may be changed while they run
    habits: Habits = field(default_factory=Habits)

    def __post_init__(self) -> None:
        self.dice = random.Random(f"{self.seed}/clients")
        self.idle: dict[int, list[Connection]] = {room: [] for room in range(len(ZONES))}
        self.count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.open: set[Connection] = set()
        self.asking: dict[str, str] = {}  # ids of requests that are out, and at which gateway

    def open_id(self, gateway: str) -> str:
        """The id of some request that is out there; "" if none is."""
        ids = [id_ for id_, at in self.asking.items() if at == gateway]
        return self.dice.choice(ids) if ids else ""

    # What they want

    async def run(self, seconds: float) -> None:
        """Ask for so long, at random moments that wait for no answer; returns when all is over."""
        loop = asyncio.get_running_loop()
        at, end = loop.time(), loop.time() + seconds
        while True:
            at += self.dice.expovariate(self.rate)
            if at >= end:
                break
            if at > loop.time():
                await asyncio.sleep(at - loop.time())
            self.spawn()
        while self.tasks:
            await asyncio.wait(self.tasks)

    def spawn(self) -> None:
        klass = self.dice.choices(list(CLASSES.values()), [k.share for k in CLASSES.values()])[0]
        task = asyncio.get_running_loop().create_task(self.want(klass))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def want(self, klass: RequestClass) -> None:
        """One thing that a client wants: tried, and tried again as its software does."""
        dice, habits = self.dice, self.habits
        room = dice.randrange(len(ZONES))
        self.count += 1
        first = f"{self.seed:x}.{self.count:x}"
        slip = 1 if dice.random() < habits.popular else min(int(dice.paretovariate(0.8)), habits.keys)
        cost = draw_uniform(dice, klass.work_us)
        key = f"k{first}" if klass.effect == "keyed" else ""
        tenant = dice.choice(TENANTS)
        end_us = now_us() + klass.give_up_us
        self.ledger.add(OperationStarted(now_us(), first, klass.name, ZONES[room]))
        for number in range(habits.retries + 1):
            budget_us = min(int(klass.give_up_us * habits.try_share), end_us - now_us())
            if budget_us < 1_000:
                return
            id_ = first if number == 0 else f"{first}-{number}"
            leaves = dice.random() < habits.leave
            head = self.request(klass, id_, tenant, budget_us, slip, key, int(cost * habits.hint))
            final = await self.ask(room, klass, id_, head, budget_us, key, tenant, first, leaves)
            wait_s = habits.wait_s
            if isinstance(final, ResponseReceived):
                if final.status == 200:
                    return
                if final.status not in (429, 503) and klass.effect == "unsafe":
                    return  # it may have run
                if final.retry_after_us and dice.random() < habits.honour:
                    wait_s = final.retry_after_us / 1e6
            elif final is not None and (leaves or klass.effect == "unsafe"):
                return
            await asyncio.sleep(wait_s)

    def request(
        self, klass: RequestClass, id_: str, tenant: str, budget_us: int, slip: int, key: str, cost: int
    ) -> bytes:
        body = b"" if klass.effect == "safe" else f"slip {slip} ".encode() * 8
        lines = [
            f"{'GET' if klass.effect == 'safe' else 'POST'} /{klass.name}/{slip} HTTP/1.1", "Host: backend.local",
            f"X-Call-Id: {id_}", f"X-Call-Class: {klass.name}", f"X-Caller: {tenant}",
            f"X-Budget-Ms: {budget_us // 1000}",
        ]  # fmt: skip
        if cost:
            lines.append(f"X-Call-Cost: {cost}")
        if key:
            lines.append(f"Idempotency-Key: {key}")
        if klass.effect != "safe":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    # One try

    async def ask(
        self, room: int, klass: RequestClass, id_: str, data: bytes, budget_us: int, key: str, tenant: str,
        first: str, leaves: bool,
    ) -> ResponseReceived | ResponseMissing | None:  # fmt: skip
        """One try; None if no gateway took it."""
        again = False
        while True:
            connection, is_new = await self.connection(room, fresh=again)
            if connection is None:
                return None
            asked_us = now_us()
            future = connection.send(id_, data)
            gateway = connection.door.name
            asked = RequestSent(asked_us, id_, klass.name, gateway, budget_us, key, tenant, first, again)
            self.ledger.add(asked)
            wait_us = budget_us + WAITED_US
            if leaves:
                wait_us = int(budget_us * self.dice.random() * 0.3)
            self.asking[id_] = gateway
            done, _ = await asyncio.wait((future,), timeout=wait_us / 1e6)
            self.asking.pop(id_, None)
            if not done:
                self.ledger.add(
                    ClientDisconnected(now_us(), id_) if leaves else ResponseMissing(now_us(), id_, "none")
                )
                connection.abort()
                return ResponseMissing(now_us(), id_, "none")
            final = future.result()
            if isinstance(final, ResponseMissing) and not is_new and not again and final.how != "cut":
                # Its closing crossed the request: once more, on a new connection.
                again = True
                continue
            self.ledger.add(final)
            if isinstance(final, ResponseReceived) and connection.keep and connection.is_open:
                self.idle[room].append(connection)
            return final

    async def connection(self, room: int, fresh: bool) -> tuple[Connection | None, bool]:
        idle = self.idle[room]
        while idle and not fresh:
            connection = idle.pop(self.dice.randrange(len(idle)))
            if connection.is_open:
                return connection, False
        door = self.front.pick(room)
        if door is None:
            return None, True
        made = Connection(door, self.on_extra, self.dice.randint(*USES))
        try:
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().create_connection(lambda: made, *door.address)
        except (OSError, TimeoutError):
            return None, True
        self.open.add(made)
        if len(self.open) > 1000:
            self.open = {connection for connection in self.open if connection.is_open}
        return (made, True) if made.is_open else (None, True)

    def on_extra(self, id_: str, data: bytes) -> None:
        self.ledger.add(UnexpectedBytes(now_us(), id_, data[:80].decode("latin-1")))

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for connection in self.open:
            connection.abort()


AGAIN = 4  # tries of a client that goes away and uses its id again
GO_ON = frozenset({"thousands at once", "an endless head"})  # these do not stop at the first answer
GO_ON_S = 1.5
MAY_BE_SERVED = frozenset({"its own id again", "a budget beyond all", "thousands at once"})  # odd, and readable


def rude_requests(dice: random.Random, open_id: str = "") -> dict[str, list[bytes]]:
    """What clients that break the protocol send, in pieces; each kind is owed an error or a close."""
    id_ = f"rude-{dice.getrandbits(48):x}"
    head = "GET /search/1 HTTP/1.1\r\nHost: b\r\n"
    many = "".join(f"{head}X-Call-Id: {id_}-{n}\r\nX-Budget-Ms: 300\r\n\r\n" for n in range(400)).encode()
    good = f"GET /search/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id_}\r\nX-Budget-Ms: 400\r\n"
    post = f"POST /transfer/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: {id_}\r\n"
    hidden = b"0\r\n\r\nGET /search/2 HTTP/1.1\r\nHost: b\r\nX-Call-Id: rude-hidden\r\n\r\n"
    return {
        "noise": [dice.randbytes(400)],
        "a head without end": [good.encode()] + [b"X-More: " + b"y" * 4000 + b"\r\n"] * 12,
        "a negative length": [post.encode() + b"Content-Length: -5\r\n\r\nabcde"],
        "a length that is no number": [post.encode() + b"Content-Length: five\r\n\r\nabcde"],
        "a huge length": [post.encode() + b"Content-Length: 99999999999999999999\r\n\r\n"],
        "a body of 40 MB": [post.encode() + b"Content-Length: 41943040\r\n\r\n"] + [b"z" * 65536] * 32,
        "both framings": [post.encode() + b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden],
        "an unknown class": [good.replace("/search/1", "/nothing/1").encode() + b"\r\n"],
        "no id": [b"GET /search/1 HTTP/1.1\r\nHost: b\r\n\r\n"],
        "a budget that is no number": [good.replace("400", "soon").encode() + b"\r\n"],
        "half a request": [good.encode()],
        "an endless head": [good.encode()] + [b"X-More: " + b"y" * 16000 + b"\r\n"] * 4000,
        "thousands at once": [many] * 250,
        "the id of an open request": [f"{head}X-Call-Id: {open_id}\r\nX-Budget-Ms: 300\r\n\r\n".encode()],
        "its own id again": [good.encode() + b"\r\n"],
        "a budget beyond all": [good.replace("400", "9" * 15).encode() + b"\r\n"],
        "nothing": [],
        "two ids": [(good + f"X-Call-Id: {id_}-b\r\n").encode() + b"\r\n"],
    }


async def be_rude(
    ledger: EventLog, door: Door, dice: random.Random, kind: str = "", open_id: Callable[[str], str] = lambda door: ""
) -> MisbehavingClient | None:
    """Break the protocol once; None if no connection came up, or there is nothing to break it with."""
    taken = open_id(door.name)
    requests = rude_requests(dice, taken)
    kind = kind or dice.choice(sorted(requests))
    if kind == "the id of an open request" and not taken:
        return None
    try:
        for _ in range(AGAIN if kind == "its own id again" else 0):
            _, writer = await asyncio.open_connection(*door.address)
            writer.write(requests[kind][0])
            await asyncio.sleep(dice.uniform(0.001, 0.03))
            writer.transport.abort()
        reader, writer = await asyncio.open_connection(*door.address)
    except OSError:
        return None
    rude = MisbehavingClient(now_us(), kind, door.name, may_be_served=kind in MAY_BE_SERVED)
    ledger.add(rude)
    sending = asyncio.create_task(_send_all(writer, requests[kind]))
    try:
        async with asyncio.timeout(RUDE_US / 1e6):
            line = await reader.readline()
            parts = line.split(b" ")
            rude.status = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
            rude.ended_us = now_us()
            if kind in GO_ON:
                async with asyncio.timeout(GO_ON_S):
                    while await reader.read(1 << 16):
                        pass
    except (OSError, ValueError):
        rude.ended_us = rude.ended_us or now_us()
    except TimeoutError:
        pass  # neither an answer nor a close, or it has gone on for long enough
    finally:
        sending.cancel()
        writer.transport.abort()
    return rude


async def _send_all(writer: asyncio.StreamWriter, pieces: list[bytes]) -> None:
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
    except OSError:
        pass  # the gateway has closed: that is seen by who reads
