"""Back-end server of the emulator: HTTP over loopback with cores, a queue, slow start and faults set at run time.

With an overload model (overload_model.py) the backend slows down as the number of requests in progress grows, and it
completes work for requests whose sender has gone.
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
from standins.site import CLASSES, BackendType, RequestClass, Rules, draw_uniform

RESPONSE_PADDING = b"." * 400
MALFORMED_KINDS = ("noise", "head", "length", "huge", "short")  # the attempt fails although its work was done
# Sent repeatedly after the start of the response.
ENDLESS_DATA_BY_KIND = {"head": b"X-More: " + b"y" * 4000 + b"\r\n", "huge": b"." * 65536}
MAX_FLOOD_BYTES = 256 << 20  # limit of one endless response
EXCESS_DATA_KINDS = ("copy", "behind", "interim", "report")  # a valid response with unexpected data around it


@dataclass(slots=True)
class Faults:
    """Faults of a backend. Each is active while it is set; a share is a probability per response."""

    hang: bool = False  # requests are accepted and never answered
    silent: bool = False  # nothing is read or written, new connections included
    slowdown_factor: float = 1.0  # multiplies the time on a core
    error_share: float = 0.0  # responses with status 500
    reset_share: float = 0.0  # responses cut off by a connection reset
    reset_at_byte: int = 0  # number of response bytes sent before the reset
    malformed_share: float = 0.0  # responses that are malformed or followed by excess data
    malformed_kind: str = ""  # one of MALFORMED_KINDS or EXCESS_DATA_KINDS; "": drawn for each response
    late_share: float = 0.0  # responses delayed until 30 ms past the deadline that the gateway sent
    drain: bool = False  # new requests are rejected


@dataclass
class IdempotencyStore:
    """Idempotency keys shared by the backends of one group, which skip requests that one of them has already run."""

    group: int
    window_us: int
    first_run_us_by_key: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def is_repeat(self, key: str, at_us: int) -> bool:
        """Whether the key was first run within the window before `at_us`; records the key if not."""
        while self.first_run_us_by_key and at_us - next(iter(self.first_run_us_by_key.values())) >= self.window_us:
            self.first_run_us_by_key.popitem(last=False)
        if key in self.first_run_us_by_key:
            return True
        self.first_run_us_by_key[key] = at_us
        return False


class Backend:
    """One back-end server. `start`, `crash`, `set_silent` and `faults` may be used while the event loop runs."""

    def __init__(
        self, name: str, zone_index: int, idempotency_store: IdempotencyStore, event_log: EventLog, network: Network,
        kind: BackendType | None = None, rules: Rules | None = None, seed: int = 0,
        on_listening: Callable[[bool], None] = lambda up: None, overload_model: OverloadModel | None = None,
    ) -> None:  # fmt: skip
        self.name, self.zone_index, self.idempotency_store, self.event_log, self.network = (
            name,
            zone_index,
            idempotency_store,
            event_log,
            network,
        )
        self.kind, self.rules = kind or BackendType(), rules or Rules()
        self.on_listening = on_listening  # links of the network refuse connections while no server listens
        self.on_job_end: Callable[[Job], None] = lambda job: None
        self.overload_model = overload_model  # None: the load does not slow the backend down
        self.overload_state: OverloadState | None = None
        self.rng = random.Random(f"{seed}/{name}")
        self.faults = Faults()
        self.incarnation = 0
        self.started_us = 0
        self.needs_warmup = False
        self.has_collapsed = False
        self.is_leaving = False  # a planned shutdown has begun; the registry may not list it as draining yet
        self.server: asyncio.Server | None = None
        self.address: Address | None = None
        self.connections: set[BackendConnection] = set()
        self.busy_cores = 0
        self.queued_jobs: deque[Job] = deque()
        self.jobs: set[Job] = set()
        self.recent_work: deque[tuple[int, int]] = deque()  # (time, work) in us, of requests during slow start
        self.recent_paths: OrderedDict[str, int] = OrderedDict()  # time of the last request in us, by path
        self.recent_service_times: deque[tuple[int, float]] = deque(maxlen=200)  # (end in us, duration in ms)
        self.load_reports: deque[tuple[int, str]] = deque(maxlen=8)  # (time in us, text)
        self.report_timer: asyncio.TimerHandle | None = None

    # Lifecycle

    async def start(self, needs_warmup: bool, port: int = 0) -> None:
        """Start a new incarnation; with a port, at that port. `needs_warmup` starts it in slow start."""
        assert self.server is None, "the backend is already running"
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
            BackendStarted(self.started_us, self.name, self.incarnation, self.kind.cores, share, self.kind.warm_up_us)
        )
        self.on_listening(True)
        self.refresh_load_report()

    def crash(self, cause: str = "crash") -> None:
        """Simulate the end of the process: connections are reset or refused, requests in progress are lost."""
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
        """Cut the machine off, or reconnect it: while silent it neither reads nor writes, but work continues."""
        self.faults.silent = is_silent
        if is_silent:
            self.event_log.add(BackendStopped(now_us(), self.name, self.incarnation, "silent"))
        for connection in list(self.connections):
            connection.update_reading()

    @property
    def state(self) -> str:
        """State as the event log writes it."""
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

    # Request processing

    def capacity(self) -> float:
        """Share of the warm capacity, which rises linearly during slow start."""
        if not self.needs_warmup:
            return 1.0
        age = (now_us() - self.started_us) / self.kind.warm_up_us
        return min(1.0, self.kind.cold_share + (1 - self.kind.cold_share) * age)

    def set_overload_model(self, overload_model: OverloadModel | None) -> None:
        """Apply the overload model from now on, with no history."""
        self.overload_model = overload_model
        self.overload_state = OverloadState(overload_model) if overload_model is not None else None
        self.record_held_count()

    def record_held_count(self) -> None:
        """Pass the current number of requests in progress to the overload model."""
        if self.overload_state is not None:
            self.overload_state.set_held_count(now_us(), len(self.jobs))

    def work_factor(self) -> float:
        """Factor on the time of work that starts now: faults, overload and slow start together."""
        overload_factor = self.overload_state.work_factor(now_us()) if self.overload_state is not None else 1.0
        return self.faults.slowdown_factor * overload_factor / self.capacity()

    def exceeds_warmup_limit(self, work_us: int) -> bool:
        """Count work received during slow start; True if the work of the last `fall_us` collapses the backend."""
        share, now = self.capacity(), now_us()
        if share >= 1.0:
            return False
        self.recent_work.append((now, work_us))
        while self.recent_work[0][0] <= now - self.rules.fall_us:
            self.recent_work.popleft()
        limit = self.rules.multiple * share * self.kind.cores * self.rules.fall_us
        return sum(work for _, work in self.recent_work) > limit

    def accept_job(self, job: Job) -> None:
        """Queue, start or reject a completely received request."""
        attempt = job.attempt
        # The work hint of a client is inexact.
        hint_error = self.rng.uniform(0.8, 1.25)
        attempt.work_us = (
            int(job.work_hint_us / self.kind.work_hint_factor * hint_error)
            if job.work_hint_us
            else draw_uniform(self.rng, job.request_class.work_us)
        )
        attempt.work_us += job.handshake_us
        if self.exceeds_warmup_limit(attempt.work_us):
            self.has_collapsed = True
            self.crash("fell")
            return
        is_full = self.busy_cores >= self.kind.cores and len(self.queued_jobs) >= self.kind.max_queued_requests
        if self.faults.drain or is_full:
            job.reject(503)
        else:
            self.jobs.add(job)
            self.record_held_count()
            attempt.how = "waiting"
            self.queued_jobs.append(job)
            self.start_queued_jobs()

    def start_queued_jobs(self) -> None:
        """Start queued requests while a core is free; expired ones are rejected without a core."""
        while self.queued_jobs and self.busy_cores < self.kind.cores:
            job = self.queued_jobs.popleft()
            if job.attempt.how != "waiting":
                continue
            if (
                job.deadline_us
                and now_us() >= job.deadline_us
                and (self.overload_model is None or self.overload_model.heeds)
            ):
                job.reject(504)  # the gateway has stopped waiting
                continue
            self.busy_cores += 1
            job.start()

    def saved_work_share(self, path: str) -> float:
        """Share of the work that is saved because the path was requested recently."""
        now = now_us()
        last_seen_us = self.recent_paths.pop(path, 0)
        self.recent_paths[path] = now
        if len(self.recent_paths) > self.kind.max_keys:
            self.recent_paths.popitem(last=False)
        return (
            self.kind.key_saved_work_share
            if last_seen_us and now - last_seen_us <= self.kind.key_retention_us
            else 0.0
        )

    # Load reports

    def refresh_load_report(self) -> None:
        """Close idle connections, refresh the load report and log the load; runs four times per report interval."""
        now = now_us()
        self.report_timer = asyncio.get_running_loop().call_later(
            self.kind.report_interval_us / 4e6, self.refresh_load_report
        )
        for connection in list(self.connections):
            connection.close_if_idle(now - self.kind.idle_timeout_us)
        noise = self.rng.gauss(1.0, self.kind.report_noise)
        recent = [ms for at, ms in self.recent_service_times if at > now - 1_000_000]
        latency = sum(recent) / len(recent) if recent else 0.0
        fields = f"queue={len(self.queued_jobs) * noise:.1f}, latency_ms={latency * noise:.1f}, qps={len(recent)}"
        if not self.load_reports or now - self.load_reports[-1][0] >= self.kind.report_interval_us:
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
        """The newest report older than a random delay, since reports become visible late."""
        delay_us = int(self.rng.random() * self.kind.max_report_age_us)
        known = [text for at, text in self.load_reports if at <= now_us() - delay_us]
        return known[-1] if known else "queue=0, latency_ms=0, qps=0"


class Job:
    """One request at a backend, from its receipt to its end."""

    def __init__(
        self, backend: Backend, connection: BackendConnection, attempt: BackendAttempt, request_class: RequestClass
    ) -> None:
        self.backend, self.connection, self.attempt, self.request_class = backend, connection, attempt, request_class
        self.work_hint_us = 0  # 0: the client sent none
        self.handshake_us = 0
        self.path = ""
        self.deadline_us = 0  # time at which the gateway stops waiting; 0: unknown
        self.timer: asyncio.TimerHandle | None = None
        self.has_core = False
        self.abandoned_us = 0  # time at which the sender disconnected while the work continued
        self.core_time_us = 0  # planned time on a core, computed at the start
        self.core_released_us = 0

    def start(self) -> None:
        """Begin the work on a core; a repeat within the idempotency window finishes at once."""
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
        """Release the core and wait for other services."""
        self.release_core()
        dependency_wait_us = draw_uniform(self.backend.rng, self.request_class.waits_us)
        self.timer = asyncio.get_running_loop().call_later(dependency_wait_us / 1e6, self.finish_work, "ok")

    def release_core(self) -> None:
        """Give the core, if the request holds one, to the next in the queue."""
        if self.has_core:
            self.has_core = False
            self.core_released_us = now_us()
            self.backend.busy_cores -= 1
            self.backend.start_queued_jobs()

    def finish_work(self, outcome: str) -> None:
        """Complete the work and respond as the active faults dictate."""
        backend, faults, rng = self.backend, self.backend.faults, self.backend.rng
        backend.recent_service_times.append((now_us(), (now_us() - self.attempt.started_us) / 1e3))
        self.release_core()
        self.timer = None
        if faults.hang:
            if self.abandoned_us:
                self.end("cancelled")
            return  # no response until the sender gives up
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
        """A complete response that names the request and the backend, with a load report unless given one."""
        body = b"%s %s %s" % (self.attempt.id.encode("latin-1"), self.backend.name.encode(), RESPONSE_PADDING)
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *extra_headers]
        if not any(line.startswith("X-Load-Report") for line in extra_headers):
            lines.append(f"X-Load-Report: TEXT {self.backend.latest_load_report()}")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body

    def send_malformed_response(self, outcome: str) -> None:
        """Send a malformed response, or a valid one with excess data, as `Faults.malformed_kind` selects."""
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
        """Send a complete response and end the request."""
        self.connection.write(self.build_response(status))
        self.end(outcome)

    def reject(self, status: int) -> None:
        """Reject the request before its work starts; a header states that it was not run."""
        self.connection.write(self.build_response(status, "X-Rejected: 1"))
        self.end("rejected")

    def end(self, outcome: str) -> None:
        """Record the outcome and free what the request holds; later calls have no effect."""
        if self.attempt.ended_us:
            return
        if self.abandoned_us and outcome != "crashed":
            outcome = "cancelled"  # the response has no receiver
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
        """The sender closed the connection: cancel the work, or let it continue as the overload model demands."""
        overload_model = self.backend.overload_model
        if overload_model is None or not overload_model.stale or (self.attempt.started_us and self.timer is None):
            self.end("cancelled")
        else:
            self.abandoned_us = now_us()


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; it carries one request at a time."""

    def __init__(self, backend: Backend) -> None:
        self.backend = backend
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.bytes_received = 0  # before the chunk that is being parsed
        self.attempt: BackendAttempt | None = None  # the request that is being received
        self.job: Job | None = None
        self.headers: dict[str, str] = {}
        self.target = b""
        self.is_new = True  # the first request on a connection includes the work of the handshake
        self.idle_since_us = now_us()
        self.flood_chunk, self.flood_bytes_left, self.is_write_paused = b"", 0, False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.backend.connections) >= self.backend.kind.max_connections:
            self.transport.abort()
            return
        self.backend.connections.add(self)
        self.update_reading()

    @property
    def flow(self) -> Flow | None:
        """The network flow of this connection; None until the link has registered it, shortly after connecting."""
        return self.backend.network.flow_of(self.transport) if self.transport is not None else None

    def update_reading(self) -> None:
        """Pause or resume reading according to the fault `silent`."""
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
        """Create the attempt at the first byte of a request; no effect while another request is in progress."""
        if self.attempt is not None or (self.job is not None and not self.job.attempt.ended_us):
            return
        flow = self.flow
        at_us = flow.find_send_time_us(offset) if flow is not None else now_us()
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
        """Send the chunk repeatedly, as fast as the peer reads, up to MAX_FLOOD_BYTES or until it closes."""
        self.flood_chunk, self.flood_bytes_left = chunk, MAX_FLOOD_BYTES
        self.continue_flood()

    def continue_flood(self) -> None:
        """Write one chunk per turn of the event loop, so that the rest of the emulator keeps running."""
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
        """The peer closed the connection and no longer waits for a response."""
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
        """Reset the connection after a short delay in which written data reaches the peer."""
        flow = self.flow
        asyncio.get_running_loop().call_later(0.002, flow.reset if flow is not None else self.abort)
