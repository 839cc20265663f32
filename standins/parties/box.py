"""A box: an HTTP server with cores, a queue, a warm-up and a memory, and faults switched as it runs.

Where it is given a law (strain.py), it slows down by what it holds, and finishes what nobody waits for any more.
"""

from __future__ import annotations

import asyncio
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

from standins.event_log import BackendAttempt, BackendLoad, BackendStarted, BackendStopped, EventLog, now_us
from standins.parties.network import Address, Flow, Network
from standins.parties.strain import Choke, Strain
from standins.site import CLASSES, BackendType, RequestClass, Rules, draw_uniform

BODY = b"." * 400
SPOILT = ("noise", "head", "length", "huge", "short")  # a failed attempt that has run
ENDLESS = {"head": b"X-More: " + b"y" * 4000 + b"\r\n", "huge": b"." * 65536}  # what goes on after the beginning
FLOOD_LIMIT = 256 << 20  # bytes of one such answer
MORE = ("copy", "behind", "interim", "report")  # a good answer, and more than belongs to it


@dataclass(slots=True)
class Faults:
    """Each is on while it is set."""

    hang: bool = False  # takes requests, answers none
    silent: bool = False  # reads nothing and says nothing, nobody comes in
    slow: float = 1.0  # times the work
    error: float = 0.0  # share of requests answered with 500
    reset: float = 0.0  # share of answers broken off with a reset
    reset_at: int = 0  # at this byte of the answer
    spoil: float = 0.0  # share of spoilt answers
    spoil_kind: str = ""  # one of SPOILT or MORE; "": any
    late: float = 0.0  # share of answers held until 30 ms past the deadline that the gateway told
    drain: bool = False  # turns new requests away


@dataclass
class Shelf:
    """Boxes of one group drop each other's repeats."""

    group: int
    window_us: int
    seen: OrderedDict[str, int] = field(default_factory=OrderedDict)  # key: when its first run began

    def is_repeat(self, key: str, at_us: int) -> bool:
        while self.seen and at_us - next(iter(self.seen.values())) >= self.window_us:
            self.seen.popitem(last=False)
        if key in self.seen:
            return True
        self.seen[key] = at_us
        return False


class Box:
    """One front box. `start`, `crash`, `stop` and `faults` may be used at any time while the loop runs."""

    def __init__(
        self, name: str, room: int, shelf: Shelf, ledger: EventLog, network: Network,
        kind: BackendType | None = None, rules: Rules | None = None, seed: int = 0,
        on_listening: Callable[[bool], None] = lambda up: None, law: Choke | None = None,
    ) -> None:  # fmt: skip
        self.name, self.room, self.shelf, self.ledger, self.network = name, room, shelf, ledger, network
        self.kind, self.rules = kind or BackendType(), rules or Rules()
        self.on_listening = on_listening  # the network's links refuse while nobody listens
        self.on_over: Callable[[Job], None] = lambda job: None  # told of each job once it is over
        self.law = law  # None: its pace does not depend on what it holds
        self.strain: Strain | None = None
        self.dice = random.Random(f"{seed}/{name}")
        self.faults = Faults()
        self.incarnation = 0
        self.started_us = 0
        self.cold = False
        self.fell = False
        self.leaving = False  # it was told to drain; the registry may not know yet
        self.server: asyncio.Server | None = None
        self.address: Address | None = None
        self.connections: set[BoxConnection] = set()
        self.running = 0  # cores in use
        self.waiting: deque[Job] = deque()
        self.jobs: set[Job] = set()
        self.sent: deque[tuple[int, int]] = deque()  # while cold: when, and how much work
        self.keys: OrderedDict[str, int] = OrderedDict()
        self.served: deque[tuple[int, float]] = deque(maxlen=200)  # when, and the service time in ms
        self.reports: deque[tuple[int, str]] = deque(maxlen=8)
        self.ticker: asyncio.TimerHandle | None = None

    # Life

    async def start(self, cold: bool, port: int = 0) -> None:
        """Begin a new life, at the same port if one is named."""
        assert self.server is None, "it runs"
        self.incarnation += 1
        self.started_us, self.cold, self.fell = now_us(), cold, False
        self.leaving = False
        self.faults = Faults()
        self.use(self.law)
        self.keys.clear()
        self.sent.clear()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: BoxConnection(self), "127.0.0.1", port, backlog=512, reuse_address=True
        )
        self.address = self.server.sockets[0].getsockname()
        share = self.kind.cold_share if cold else 1.0
        self.ledger.add(
            BackendStarted(self.started_us, self.name, self.incarnation, self.kind.cores, share, self.kind.warm_us)
        )
        self.on_listening(True)
        self.tick()

    def crash(self, how: str = "crash") -> None:
        """The process dies: its connections are reset, new ones refused, what it did is lost."""
        if self.server is None:
            return
        self.ledger.add(BackendStopped(now_us(), self.name, self.incarnation, how))
        self.on_listening(False)
        self.server.close()
        self.server = None
        for job in list(self.jobs):
            job.end("crashed")
        for connection in list(self.connections):
            connection.abort()
        self.waiting.clear()
        if self.ticker is not None:
            self.ticker.cancel()

    def silence(self, on: bool) -> None:
        """The machine is cut off: it reads nothing, says nothing, and goes on working."""
        self.faults.silent = on
        if on:
            self.ledger.add(BackendStopped(now_us(), self.name, self.incarnation, "silent"))
        for connection in list(self.connections):
            connection.heed()

    @property
    def state(self) -> str:
        if self.server is None:
            return "fell" if self.fell else "down"
        faults = self.faults
        for name in ("silent", "hang"):
            if getattr(faults, name):
                return name
        if self.leaving or faults.drain:
            return "drain"
        if faults.error or faults.reset or faults.spoil or faults.late or faults.slow > 1:
            return "bad"
        return "cold" if self.capacity() < 1 else "up"

    # Work

    def capacity(self) -> float:
        """Share of what it can do when warm; it rises evenly."""
        if not self.cold:
            return 1.0
        age = (now_us() - self.started_us) / self.kind.warm_us
        return min(1.0, self.kind.cold_share + (1 - self.kind.cold_share) * age)

    def use(self, law: Choke | None) -> None:
        """Be under this law from now on, as one that has held nothing."""
        self.law = law
        self.strain = Strain(law) if law is not None else None
        self.hold()

    def hold(self) -> None:
        """What it holds has changed."""
        if self.strain is not None:
            self.strain.note(now_us(), len(self.jobs))

    def pace(self) -> float:
        """Work takes so many times as long."""
        strained = self.strain.pace(now_us()) if self.strain is not None else 1.0
        return self.faults.slow * strained / self.capacity()

    def is_overdriven(self, work_us: int) -> bool:
        """Count work that was sent while cold; True if it is more than a box that warms up can stand."""
        share, now = self.capacity(), now_us()
        if share >= 1.0:
            return False
        self.sent.append((now, work_us))
        while self.sent[0][0] <= now - self.rules.fall_us:
            self.sent.popleft()
        limit = self.rules.multiple * share * self.kind.cores * self.rules.fall_us
        return sum(work for _, work in self.sent) > limit

    def take(self, job: Job) -> None:
        """A whole request has come."""
        run = job.run
        # What a client tells of the work is rough.
        rough = self.dice.uniform(0.8, 1.25)
        run.work_us = (
            int(job.hint_us / self.kind.hint * rough) if job.hint_us else draw_uniform(self.dice, job.klass.work_us)
        )
        run.work_us += job.handshake_us
        if self.is_overdriven(run.work_us):
            self.fell = True
            self.crash("fell")
            return
        is_full = self.running >= self.kind.cores and len(self.waiting) >= self.kind.queue
        if self.faults.drain or is_full:
            job.reject(503)
        else:
            self.jobs.add(job)
            self.hold()
            run.how = "waiting"
            self.waiting.append(job)
            self.next_job()

    def next_job(self) -> None:
        while self.waiting and self.running < self.kind.cores:
            job = self.waiting.popleft()
            if job.run.how != "waiting":
                continue
            if job.until_us and now_us() >= job.until_us and (self.law is None or self.law.heeds):
                job.reject(504)  # nobody waits for it any more
                continue
            self.running += 1
            job.begin()

    def saved(self, key: str) -> float:
        """Share of the work that a key saves that was met lately."""
        now = now_us()
        met = self.keys.pop(key, 0)
        self.keys[key] = now
        if len(self.keys) > self.kind.keys:
            self.keys.popitem(last=False)
        return self.kind.key_saves if met and now - met <= self.kind.key_us else 0.0

    # What it tells

    def tick(self) -> None:
        """Refresh the load report and note the load."""
        now = now_us()
        self.ticker = asyncio.get_running_loop().call_later(self.kind.report_us / 4e6, self.tick)
        for connection in list(self.connections):
            connection.close_if_idle(now - self.kind.idle_us)
        noise = self.dice.gauss(1.0, self.kind.report_noise)
        recent = [ms for at, ms in self.served if at > now - 1_000_000]
        latency = sum(recent) / len(recent) if recent else 0.0
        fields = f"queue={len(self.waiting) * noise:.1f}, latency_ms={latency * noise:.1f}, qps={len(recent)}"
        if not self.reports or now - self.reports[-1][0] >= self.kind.report_us:
            self.reports.append((now, fields))
        self.ledger.add(
            BackendLoad(
                now,
                self.name,
                self.state,
                self.running,
                len(self.waiting),
                len(self.connections),
                self.capacity(),
            )
        )

    def report(self) -> str:
        """The newest report that is old enough to be known."""
        late_us = int(self.dice.random() * self.kind.report_late_us)
        known = [text for at, text in self.reports if at <= now_us() - late_us]
        return known[-1] if known else "queue=0, latency_ms=0, qps=0"


class Job:
    """One request at a box, until its answer."""

    def __init__(self, box: Box, connection: BoxConnection, run: BackendAttempt, klass: RequestClass) -> None:
        self.box, self.connection, self.run, self.klass = box, connection, run, klass
        self.hint_us = 0  # the work, where the client told it
        self.handshake_us = 0
        self.path = ""
        self.until_us = 0  # when the gateway stops waiting
        self.timer: asyncio.TimerHandle | None = None
        self.has_core = False
        self.gone_us = 0  # whoever asked has gone, and the work goes on
        self.took_us = 0  # on a core, as planned when it began
        self.freed_us = 0  # it gave its core back

    def begin(self) -> None:
        box, run, now = self.box, self.run, now_us()
        self.has_core = True
        run.started_us, run.how = now, "running"
        if run.idempotency_key and box.shelf.is_repeat(run.idempotency_key, now):
            self.finish("duplicate")
            return
        saved = box.saved(self.path)
        self.took_us = int(run.work_us * (1 - saved) * box.pace())
        self.timer = asyncio.get_running_loop().call_later(self.took_us / 1e6, self.wait_on_others)

    def wait_on_others(self) -> None:
        self.free_core()
        waits_us = draw_uniform(self.box.dice, self.klass.waits_us)
        self.timer = asyncio.get_running_loop().call_later(waits_us / 1e6, self.finish, "ok")

    def free_core(self) -> None:
        if self.has_core:
            self.has_core = False
            self.freed_us = now_us()
            self.box.running -= 1
            self.box.next_job()

    def finish(self, how: str) -> None:
        """The work is done: answer, as well as the faults allow."""
        box, faults, dice = self.box, self.box.faults, self.box.dice
        box.served.append((now_us(), (now_us() - self.run.started_us) / 1e3))
        self.free_core()
        self.timer = None
        if faults.hang:
            if self.gone_us:
                self.end("cancelled")
            return  # and it stays so, until the other side gives up
        if faults.late and dice.random() < faults.late and self.until_us:
            wait_s = max(0, self.until_us - now_us()) / 1e6 + 0.03
            self.timer = asyncio.get_running_loop().call_later(wait_s, self.answer, how, 200)
        elif dice.random() < faults.error:
            self.answer("error", 500)
        elif dice.random() < faults.spoil:
            self.spoil(how)
        elif dice.random() < faults.reset:
            self.connection.write(self.message(200)[: faults.reset_at])
            self.end("error")
            self.connection.reset()
        else:
            self.answer(how, 200)

    def message(self, status: int, *more: str) -> bytes:
        body = b"%s %s %s" % (self.run.id.encode("latin-1"), self.box.name.encode(), BODY)
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *more]
        if not any(line.startswith("X-Load-Report") for line in more):
            lines.append(f"X-Load-Report: TEXT {self.box.report()}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def spoil(self, how: str) -> None:
        good = self.message(200)
        kind = self.box.faults.spoil_kind or self.box.dice.choice(SPOILT + MORE)
        if kind in MORE:
            data = {
                "copy": good + good,
                "behind": good + b"\x00\xff~~~~",
                "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + good,
                "report": self.message(200, "X-Load-Report: TEXT queue=full, latency_ms=;;"),
            }[kind]
            self.connection.write(data)
            self.end(how)
            return
        data = {
            "noise": b"\x00\xff\x13~~~~ not an answer \r\n\r\n" * 8,
            "head": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
            "length": good.replace(b"Content-Length: ", b"Content-Length: -", 1),
            "huge": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "short": good[: len(good) // 2],
        }[kind]
        self.connection.write(data)
        self.end("spoilt")
        if kind == "short":
            self.connection.close()
        elif kind in ENDLESS:
            self.connection.flood(ENDLESS[kind])

    def answer(self, how: str, status: int) -> None:
        self.connection.write(self.message(status))
        self.end(how)

    def reject(self, status: int) -> None:
        """Turn it away before it began: it never runs, and that is said."""
        self.connection.write(self.message(status, "X-Rejected: 1"))
        self.end("rejected")

    def end(self, how: str) -> None:
        if self.run.ended_us:
            return
        if self.gone_us and how != "crashed":
            how = "cancelled"  # nobody has it
        self.run.how, self.run.ended_us = how, now_us()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.box.jobs.discard(self)
        self.box.hold()
        if self.connection.job is self:
            self.connection.job = None
            self.connection.idle_since_us = now_us()
        self.free_core()
        self.box.on_over(self)

    def give_up(self) -> None:
        """Whoever asked has gone: work for it stops, or goes on to its end."""
        law = self.box.law
        if law is None or not law.stale or (self.run.started_us and self.timer is None):
            self.end("cancelled")
        else:
            self.gone_us = now_us()


class BoxConnection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self, box: Box) -> None:
        self.box = box
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.passed = 0  # bytes read before the present piece
        self.run: BackendAttempt | None = None  # being read
        self.job: Job | None = None
        self.headers: dict[str, str] = {}
        self.target = b""
        self.fresh = True  # the first request on it pays for the handshake
        self.idle_since_us = now_us()
        self.flooding, self.flood_left, self.paused = b"", 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.box.connections) >= self.box.kind.connections:
            self.transport.abort()
            return
        self.box.connections.add(self)
        self.heed()

    @property
    def flow(self) -> Flow | None:
        """What it came through. Not known yet when it has just come up: the other end may be told later."""
        return self.box.network.flow_of(self.transport) if self.transport is not None else None

    def heed(self) -> None:
        """Read, or not, as the faults have it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.box.faults.silent:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self.begun(self.passed)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()
        self.passed += len(data)

    def begun(self, offset: int) -> None:
        """The first byte of a request, if none is being read."""
        if self.run is not None or (self.job is not None and not self.job.run.ended_us):
            return
        flow = self.flow
        at_us = flow.sent_at(offset) if flow is not None else now_us()
        gateway = flow.link.near if flow is not None else ""
        self.run = BackendAttempt(at_us, self.box.name, self.box.incarnation, self.box.shelf.group, gateway=gateway)

    def on_message_begin(self) -> None:
        self.headers, self.target = {}, b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.run is not None:
            self.run.id = self.headers.get("x-call-id", "")
            self.run.idempotency_key = self.headers.get("idempotency-key", "")
            self.box.ledger.add(self.run) if self.run.id else None

    def on_message_complete(self) -> None:
        run, self.run = self.run, None
        path = self.target.decode("latin-1").partition("?")[0]
        if path in ("/health/live", "/stats"):
            report = self.box.report()
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report.encode()))
            return
        klass = CLASSES.get(path.split("/")[1] if path.count("/") else "")
        if run is None or not run.id or klass is None:
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        run.request_class, run.received_us = klass.name, now_us()
        job = self.job = Job(self.box, self, run, klass)
        job.path = path
        hint, budget = self.headers.get("x-call-cost", ""), self.headers.get("x-budget-ms", "")
        job.hint_us = int(hint) if hint.isdigit() else 0
        job.until_us = run.received_us + int(budget) * 1000 if budget.isdigit() else 0
        if self.fresh:
            self.fresh = False
            job.handshake_us = self.box.kind.handshake_us
        self.box.take(job)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.box.faults.silent:
            self.transport.write(data)

    def flood(self, piece: bytes) -> None:
        """Go on and on, as fast as the other side reads, until it closes."""
        self.flooding, self.flood_left = piece, FLOOD_LIMIT
        self.go_on()

    def go_on(self) -> None:
        """A little of it in each turn, so that the play goes on."""
        if self.transport is None or self.transport.is_closing() or self.paused or self.flood_left <= 0:
            return
        self.flood_left -= len(self.flooding)
        self.transport.write(self.flooding)
        asyncio.get_running_loop().call_soon(self.go_on)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False
        if self.flooding:
            self.go_on()

    def eof_received(self) -> bool:
        self.give_up()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.box.connections.discard(self)
        self.give_up()

    def give_up(self) -> None:
        """The other side stopped waiting."""
        job, self.job = self.job, None
        if job is not None:
            job.give_up()

    def close_if_idle(self, since_us: int) -> None:
        if self.job is None and self.run is None and self.idle_since_us <= since_us and not self.box.faults.silent:
            self.close()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def reset(self) -> None:
        """End with a reset once what was written is with the other side."""
        flow = self.flow
        asyncio.get_running_loop().call_later(0.002, flow.reset if flow is not None else self.abort)
