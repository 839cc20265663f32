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
from standins.parties.overload_model import OverloadModel, OverloadState
from standins.site import CLASSES, BoxKind, Klass, Rules, draw

RESPONSE_PADDING = b"." * 400
MALFORMED_KINDS = ("noise", "head", "length", "huge", "short")  # a failed attempt that has run
ENDLESS_DATA_BY_KIND = {
    "head": b"X-More: " + b"y" * 4000 + b"\r\n",
    "huge": b"." * 65536,
}  # what goes on after the beginning
MAX_FLOOD_BYTES = 256 << 20  # bytes of one such answer
EXCESS_DATA_KINDS = ("copy", "behind", "interim", "report")  # a good answer, and more than belongs to it


@dataclass(slots=True)
class Faults:
    """Each is on while it is set."""

    hang: bool = False  # takes requests, answers none
    silent: bool = False  # reads nothing and says nothing, nobody comes in
    slowdown_factor: float = 1.0  # times the work
    error_share: float = 0.0  # share of requests answered with 500
    reset_share: float = 0.0  # share of answers broken off with a reset
    reset_at_byte: int = 0  # at this byte of the answer
    malformed_share: float = 0.0  # share of spoilt answers
    malformed_kind: str = ""  # one of SPOILT or MORE; "": any
    late_share: float = 0.0  # share of answers held until 30 ms past the deadline that the gateway told
    drain: bool = False  # turns new requests away


@dataclass
class IdempotencyStore:
    """Boxes of one group drop each other's repeats."""

    group: int
    window_us: int
    first_run_us_by_key: OrderedDict[str, int] = field(default_factory=OrderedDict)  # key: when its first run began

    def is_repeat(self, key: str, at_us: int) -> bool:
        while self.first_run_us_by_key and at_us - next(iter(self.first_run_us_by_key.values())) >= self.window_us:
            self.first_run_us_by_key.popitem(last=False)
        if key in self.first_run_us_by_key:
            return True
        self.first_run_us_by_key[key] = at_us
        return False


class Backend:
    """One front box. `start`, `crash`, `stop` and `faults` may be used at any time while the loop runs."""

    def __init__(
        self, name: str, room: int, idempotency_store: IdempotencyStore, event_log: EventLog, network: Network,
        kind: BoxKind | None = None, rules: Rules | None = None, seed: int = 0,
        on_listening: Callable[[bool], None] = lambda up: None, overload_model: OverloadModel | None = None,
    ) -> None:  # fmt: skip
        self.name, self.room, self.idempotency_store, self.event_log, self.network = (
            name,
            room,
            idempotency_store,
            event_log,
            network,
        )
        self.kind, self.rules = kind or BoxKind(), rules or Rules()
        self.on_listening = on_listening  # the network's links refuse while nobody listens
        self.on_job_end: Callable[[Job], None] = lambda job: None  # told of each job once it is over
        self.overload_model = overload_model  # None: its pace does not depend on what it holds
        self.overload_state: OverloadState | None = None
        self.rng = random.Random(f"{seed}/{name}")
        self.faults = Faults()
        self.incarnation = 0
        self.started_us = 0
        self.needs_warmup = False
        self.has_collapsed = False
        self.is_leaving = False  # it was told to drain; the registry may not know yet
        self.server: asyncio.Server | None = None
        self.address: Address | None = None
        self.connections: set[BackendConnection] = set()
        self.busy_cores = 0  # cores in use
        self.queued_jobs: deque[Job] = deque()
        self.jobs: set[Job] = set()
        self.recent_work: deque[tuple[int, int]] = deque()  # while cold: when, and how much work
        self.recent_paths: OrderedDict[str, int] = OrderedDict()
        self.recent_service_times: deque[tuple[int, float]] = deque(maxlen=200)  # when, and the service time in ms
        self.load_reports: deque[tuple[int, str]] = deque(maxlen=8)
        self.report_timer: asyncio.TimerHandle | None = None

    # Life

    async def start(self, needs_warmup: bool, port: int = 0) -> None:
        """Begin a new life, at the same port if one is named."""
        assert self.server is None, "it runs"
        self.incarnation += 1
        self.started_us, self.needs_warmup, self.has_collapsed = now_us(), needs_warmup, False
        self.is_leaving = False
        self.faults = Faults()
        self.set_overload_model(self.overload_model)
        self.recent_paths.clear()
        self.recent_work.clear()
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: BackendConnection(self), "127.0.0.1", port, backlog=512, reuse_address=True
        )
        self.address = self.server.sockets[0].getsockname()
        share = self.kind.cold_share if needs_warmup else 1.0
        self.event_log.add(
            BackendStarted(self.started_us, self.name, self.incarnation, self.kind.cores, share, self.kind.warm_us)
        )
        self.on_listening(True)
        self.refresh_load_report()

    def crash(self, cause: str = "crash") -> None:
        """The process dies: its connections are reset, new ones refused, what it did is lost."""
        if self.server is None:
            return
        self.event_log.add(BackendStopped(now_us(), self.name, self.incarnation, cause))
        self.on_listening(False)
        self.server.close()
        self.server = None
        for job in list(self.jobs):
            job.end("crashed")
        for connection in list(self.connections):
            connection.abort()
        self.queued_jobs.clear()
        if self.report_timer is not None:
            self.report_timer.cancel()

    def set_silent(self, is_silent: bool) -> None:
        """The machine is cut off: it reads nothing, says nothing, and goes on working."""
        self.faults.silent = is_silent
        if is_silent:
            self.event_log.add(BackendStopped(now_us(), self.name, self.incarnation, "silent"))
        for connection in list(self.connections):
            connection.update_reading()

    @property
    def state(self) -> str:
        if self.server is None:
            return "fell" if self.has_collapsed else "down"
        faults = self.faults
        for name in ("silent", "hang"):
            if getattr(faults, name):
                return name
        if self.is_leaving or faults.drain:
            return "drain"
        if (
            faults.error_share
            or faults.reset_share
            or faults.malformed_share
            or faults.late_share
            or faults.slowdown_factor > 1
        ):
            return "bad"
        return "cold" if self.capacity() < 1 else "up"

    # Work

    def capacity(self) -> float:
        """Share of what it can do when warm; it rises evenly."""
        if not self.needs_warmup:
            return 1.0
        age = (now_us() - self.started_us) / self.kind.warm_us
        return min(1.0, self.kind.cold_share + (1 - self.kind.cold_share) * age)

    def set_overload_model(self, overload_model: OverloadModel | None) -> None:
        """Be under this law from now on, as one that has held nothing."""
        self.overload_model = overload_model
        self.overload_state = OverloadState(overload_model) if overload_model is not None else None
        self.record_held_count()

    def record_held_count(self) -> None:
        """What it holds has changed."""
        if self.overload_state is not None:
            self.overload_state.set_held_count(now_us(), len(self.jobs))

    def work_factor(self) -> float:
        """Work takes so many times as long."""
        overload_factor = self.overload_state.work_factor(now_us()) if self.overload_state is not None else 1.0
        return self.faults.slowdown_factor * overload_factor / self.capacity()

    def exceeds_warmup_limit(self, work_us: int) -> bool:
        """Count work that was sent while cold; True if it is more than a box that warms up can stand."""
        share, now = self.capacity(), now_us()
        if share >= 1.0:
            return False
        self.recent_work.append((now, work_us))
        while self.recent_work[0][0] <= now - self.rules.fall_us:
            self.recent_work.popleft()
        limit = self.rules.multiple * share * self.kind.cores * self.rules.fall_us
        return sum(work for _, work in self.recent_work) > limit

    def accept_job(self, job: Job) -> None:
        """A whole request has come."""
        attempt = job.attempt
        # What a client tells of the work is rough.
        hint_error = self.rng.uniform(0.8, 1.25)
        attempt.work_us = (
            int(job.work_hint_us / self.kind.hint * hint_error)
            if job.work_hint_us
            else draw(self.rng, job.request_class.work_us)
        )
        attempt.work_us += job.handshake_us
        if self.exceeds_warmup_limit(attempt.work_us):
            self.has_collapsed = True
            self.crash("fell")
            return
        is_full = self.busy_cores >= self.kind.cores and len(self.queued_jobs) >= self.kind.queue
        if self.faults.drain or is_full:
            job.reject(503)
        else:
            self.jobs.add(job)
            self.record_held_count()
            attempt.how = "waiting"
            self.queued_jobs.append(job)
            self.start_queued_jobs()

    def start_queued_jobs(self) -> None:
        while self.queued_jobs and self.busy_cores < self.kind.cores:
            job = self.queued_jobs.popleft()
            if job.attempt.how != "waiting":
                continue
            if (
                job.deadline_us
                and now_us() >= job.deadline_us
                and (self.overload_model is None or self.overload_model.heeds)
            ):
                job.reject(504)  # nobody waits for it any more
                continue
            self.busy_cores += 1
            job.start()

    def saved_work_share(self, path: str) -> float:
        """Share of the work that a key saves that was met lately."""
        now = now_us()
        last_seen_us = self.recent_paths.pop(path, 0)
        self.recent_paths[path] = now
        if len(self.recent_paths) > self.kind.keys:
            self.recent_paths.popitem(last=False)
        return self.kind.key_saves if last_seen_us and now - last_seen_us <= self.kind.key_us else 0.0

    # What it tells

    def refresh_load_report(self) -> None:
        """Refresh the load report and note the load."""
        now = now_us()
        self.report_timer = asyncio.get_running_loop().call_later(self.kind.report_us / 4e6, self.refresh_load_report)
        for connection in list(self.connections):
            connection.close_if_idle(now - self.kind.idle_us)
        noise = self.rng.gauss(1.0, self.kind.report_noise)
        recent = [ms for at, ms in self.recent_service_times if at > now - 1_000_000]
        latency = sum(recent) / len(recent) if recent else 0.0
        fields = f"queue={len(self.queued_jobs) * noise:.1f}, latency_ms={latency * noise:.1f}, qps={len(recent)}"
        if not self.load_reports or now - self.load_reports[-1][0] >= self.kind.report_us:
            self.load_reports.append((now, fields))
        self.event_log.add(
            BackendLoad(
                now,
                self.name,
                self.state,
                self.busy_cores,
                len(self.queued_jobs),
                len(self.connections),
                self.capacity(),
            )
        )

    def latest_load_report(self) -> str:
        """The newest report that is old enough to be known."""
        delay_us = int(self.rng.random() * self.kind.report_late_us)
        known = [text for at, text in self.load_reports if at <= now_us() - delay_us]
        return known[-1] if known else "queue=0, latency_ms=0, qps=0"


class Job:
    """One request at a box, until its answer."""

    def __init__(
        self, backend: Backend, connection: BackendConnection, attempt: BackendAttempt, request_class: Klass
    ) -> None:
        self.backend, self.connection, self.attempt, self.request_class = backend, connection, attempt, request_class
        self.work_hint_us = 0  # the work, where the client told it
        self.handshake_us = 0
        self.path = ""
        self.deadline_us = 0  # when the gateway stops waiting
        self.timer: asyncio.TimerHandle | None = None
        self.has_core = False
        self.abandoned_us = 0  # whoever asked has gone, and the work goes on
        self.core_time_us = 0  # on a core, as planned when it began
        self.core_released_us = 0  # it gave its core back

    def start(self) -> None:
        backend, attempt, now = self.backend, self.attempt, now_us()
        self.has_core = True
        attempt.started_us, attempt.how = now, "running"
        if attempt.idempotency_key and backend.idempotency_store.is_repeat(attempt.idempotency_key, now):
            self.finish_work("duplicate")
            return
        saved_share = backend.saved_work_share(self.path)
        self.core_time_us = int(attempt.work_us * (1 - saved_share) * backend.work_factor())
        self.timer = asyncio.get_running_loop().call_later(self.core_time_us / 1e6, self.wait_for_dependencies)

    def wait_for_dependencies(self) -> None:
        self.release_core()
        dependency_wait_us = draw(self.backend.rng, self.request_class.waits_us)
        self.timer = asyncio.get_running_loop().call_later(dependency_wait_us / 1e6, self.finish_work, "ok")

    def release_core(self) -> None:
        if self.has_core:
            self.has_core = False
            self.core_released_us = now_us()
            self.backend.busy_cores -= 1
            self.backend.start_queued_jobs()

    def finish_work(self, outcome: str) -> None:
        """The work is done: answer, as well as the faults allow."""
        backend, faults, rng = self.backend, self.backend.faults, self.backend.rng
        backend.recent_service_times.append((now_us(), (now_us() - self.attempt.started_us) / 1e3))
        self.release_core()
        self.timer = None
        if faults.hang:
            if self.abandoned_us:
                self.end("cancelled")
            return  # and it stays so, until the other side gives up
        if faults.late_share and rng.random() < faults.late_share and self.deadline_us:
            wait_s = max(0, self.deadline_us - now_us()) / 1e6 + 0.03
            self.timer = asyncio.get_running_loop().call_later(wait_s, self.send_response, outcome, 200)
        elif rng.random() < faults.error_share:
            self.send_response("error", 500)
        elif rng.random() < faults.malformed_share:
            self.send_malformed_response(outcome)
        elif rng.random() < faults.reset_share:
            self.connection.write(self.build_response(200)[: faults.reset_at_byte])
            self.end("error")
            self.connection.reset()
        else:
            self.send_response(outcome, 200)

    def build_response(self, status: int, *extra_headers: str) -> bytes:
        body = b"%s %s %s" % (self.attempt.id.encode("latin-1"), self.backend.name.encode(), RESPONSE_PADDING)
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *extra_headers]
        if not any(line.startswith("X-Load-Report") for line in extra_headers):
            lines.append(f"X-Load-Report: TEXT {self.backend.latest_load_report()}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def send_malformed_response(self, outcome: str) -> None:
        valid_response = self.build_response(200)
        kind = self.backend.faults.malformed_kind or self.backend.rng.choice(MALFORMED_KINDS + EXCESS_DATA_KINDS)
        if kind in EXCESS_DATA_KINDS:
            data = {
                "copy": valid_response + valid_response,
                "behind": valid_response + b"\x00\xff~~~~",
                "interim": b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + valid_response,
                "report": self.build_response(200, "X-Load-Report: TEXT queue=full, latency_ms=;;"),
            }[kind]
            self.connection.write(data)
            self.end(outcome)
            return
        data = {
            "noise": b"\x00\xff\x13~~~~ not an answer \r\n\r\n" * 8,
            "head": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
            "length": valid_response.replace(b"Content-Length: ", b"Content-Length: -", 1),
            "huge": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
            "short": valid_response[: len(valid_response) // 2],
        }[kind]
        self.connection.write(data)
        self.end("spoilt")
        if kind == "short":
            self.connection.close()
        elif kind in ENDLESS_DATA_BY_KIND:
            self.connection.start_flood(ENDLESS_DATA_BY_KIND[kind])

    def send_response(self, outcome: str, status: int) -> None:
        self.connection.write(self.build_response(status))
        self.end(outcome)

    def reject(self, status: int) -> None:
        """Turn it away before it began: it never runs, and that is said."""
        self.connection.write(self.build_response(status, "X-Rejected: 1"))
        self.end("rejected")

    def end(self, outcome: str) -> None:
        if self.attempt.ended_us:
            return
        if self.abandoned_us and outcome != "crashed":
            outcome = "cancelled"  # nobody has it
        self.attempt.how, self.attempt.ended_us = outcome, now_us()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        self.backend.jobs.discard(self)
        self.backend.record_held_count()
        if self.connection.job is self:
            self.connection.job = None
            self.connection.idle_since_us = now_us()
        self.release_core()
        self.backend.on_job_end(self)

    def on_peer_gone(self) -> None:
        """Whoever asked has gone: work for it stops, or goes on to its end."""
        overload_model = self.backend.overload_model
        if overload_model is None or not overload_model.stale or (self.attempt.started_us and self.timer is None):
            self.end("cancelled")
        else:
            self.abandoned_us = now_us()


class BackendConnection(asyncio.Protocol):
    """One connection; it carries one request at a time."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.bytes_received = 0  # bytes read before the present piece
        self.attempt: BackendAttempt | None = None  # being read
        self.job: Job | None = None
        self.headers: dict[str, str] = {}
        self.target = b""
        self.is_new = True  # the first request on it pays for the handshake
        self.idle_since_us = now_us()
        self.flood_chunk, self.flood_bytes_left, self.is_write_paused = b"", 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.backend.connections) >= self.backend.kind.connections:
            self.transport.abort()
            return
        self.backend.connections.add(self)
        self.update_reading()

    @property
    def flow(self) -> Flow | None:
        """What it came through. Not known yet when it has just come up: the other end may be told later."""
        return self.backend.network.flow_of(self.transport) if self.transport is not None else None

    def update_reading(self) -> None:
        """Read, or not, as the faults have it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.backend.faults.silent:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        self.begin_attempt(self.bytes_received)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.abort()
        self.bytes_received += len(data)

    def begin_attempt(self, offset: int) -> None:
        """The first byte of a request, if none is being read."""
        if self.attempt is not None or (self.job is not None and not self.job.attempt.ended_us):
            return
        flow = self.flow
        at_us = flow.sent_at(offset) if flow is not None else now_us()
        gateway = flow.link.near if flow is not None else ""
        self.attempt = BackendAttempt(
            at_us, self.backend.name, self.backend.incarnation, self.backend.idempotency_store.group, gateway=gateway
        )

    def on_message_begin(self) -> None:
        self.headers, self.target = {}, b""

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        if self.attempt is not None:
            self.attempt.id = self.headers.get("x-call-id", "")
            self.attempt.idempotency_key = self.headers.get("idempotency-key", "")
            self.backend.event_log.add(self.attempt) if self.attempt.id else None

    def on_message_complete(self) -> None:
        attempt, self.attempt = self.attempt, None
        path = self.target.decode("latin-1").partition("?")[0]
        if path in ("/health/live", "/stats"):
            report = self.backend.latest_load_report()
            self.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report.encode()))
            return
        request_class = CLASSES.get(path.split("/")[1] if path.count("/") else "")
        if attempt is None or not attempt.id or request_class is None:
            self.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        attempt.request_class, attempt.received_us = request_class.name, now_us()
        job = self.job = Job(self.backend, self, attempt, request_class)
        job.path = path
        work_hint, budget = self.headers.get("x-call-cost", ""), self.headers.get("x-budget-ms", "")
        job.work_hint_us = int(work_hint) if work_hint.isdigit() else 0
        job.deadline_us = attempt.received_us + int(budget) * 1000 if budget.isdigit() else 0
        if self.is_new:
            self.is_new = False
            job.handshake_us = self.backend.kind.handshake_us
        self.backend.accept_job(job)

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing() and not self.backend.faults.silent:
            self.transport.write(data)

    def start_flood(self, chunk: bytes) -> None:
        """Go on and on, as fast as the other side reads, until it closes."""
        self.flood_chunk, self.flood_bytes_left = chunk, MAX_FLOOD_BYTES
        self.continue_flood()

    def continue_flood(self) -> None:
        """A little of it in each turn, so that the play goes on."""
        if (
            self.transport is None
            or self.transport.is_closing()
            or self.is_write_paused
            or self.flood_bytes_left <= 0
        ):
            return
        self.flood_bytes_left -= len(self.flood_chunk)
        self.transport.write(self.flood_chunk)
        asyncio.get_running_loop().call_soon(self.continue_flood)

    def pause_writing(self) -> None:
        self.is_write_paused = True

    def resume_writing(self) -> None:
        self.is_write_paused = False
        if self.flood_chunk:
            self.continue_flood()

    def eof_received(self) -> bool:
        self.on_peer_gone()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.backend.connections.discard(self)
        self.on_peer_gone()

    def on_peer_gone(self) -> None:
        """The other side stopped waiting."""
        job, self.job = self.job, None
        if job is not None:
            job.on_peer_gone()

    def close_if_idle(self, since_us: int) -> None:
        if (
            self.job is None
            and self.attempt is None
            and self.idle_since_us <= since_us
            and not self.backend.faults.silent
        ):
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
