"""Clients of the emulator: an open-loop load generator with retries, and clients that violate the protocol.

A connection balancer assigns their connections to the gateways of a zone, and detects a failed gateway only after a
delay.
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

LATE_RESPONSE_WAIT_US = 300_000  # clients listen this long past an attempt's timeout, to record late responses
MISBEHAVING_WAIT_US = 4_000_000  # wait of a misbehaving client for an error response or a close
REQUESTS_PER_CONNECTION_RANGE = (40, 160)


@dataclass(slots=True, eq=False)
class GatewayTarget:
    """One gateway in the connection balancer's table; new connections are assigned to it while it is open."""

    name: str
    zone_index: int
    address: Address
    is_open: bool = False


class ConnectionBalancer:
    """Assigns connections round-robin to the open gateways of a zone."""

    def __init__(self, seed: int = 0, detection_delay_s: tuple[float, float] = (0.82, 3.9)) -> None:
        self.targets_by_name: dict[str, GatewayTarget] = {}
        self.rng = random.Random(f"{seed}/front")
        self.detection_delay_s = detection_delay_s
        self.pick_count = 0
        self.closing_timers_by_name: dict[str, asyncio.TimerHandle] = {}

    def add(self, target: GatewayTarget) -> None:
        """Open a gateway that has become ready for new connections; cancels a scheduled close."""
        closing_timer = self.closing_timers_by_name.pop(target.name, None)
        if closing_timer is not None:
            closing_timer.cancel()
        target.is_open = True
        self.targets_by_name[target.name] = target

    def schedule_planned_close(self, name: str) -> None:
        """Close a gateway that is shutting down; new connections still reach it for a short time."""
        self.schedule_close(name, self.rng.uniform(0.2, 0.4))

    def schedule_close_after_failure(self, name: str) -> None:
        """Close a failed gateway once its failure has been detected."""
        self.schedule_close(name, self.rng.uniform(*self.detection_delay_s))

    def schedule_close(self, name: str, delay_s: float) -> None:
        """Close a gateway after a delay, unless a close is scheduled already."""
        if name not in self.closing_timers_by_name:
            self.closing_timers_by_name[name] = asyncio.get_running_loop().call_later(delay_s, self.close, name)

    def close(self, name: str) -> None:
        """Assign no more new connections to the gateway."""
        self.closing_timers_by_name.pop(name, None)
        target = self.targets_by_name.get(name)
        if target is not None:
            target.is_open = False

    def pick_target(self, zone_index: int) -> GatewayTarget | None:
        """The next open gateway of the zone, or of all zones if the zone has none; None if all are closed."""
        targets = [target for target in self.targets_by_name.values() if target.is_open]
        targets = [target for target in targets if target.zone_index == zone_index] or targets
        if not targets:
            return None
        self.pick_count += 1
        return targets[self.pick_count % len(targets)]


class ClientConnection(asyncio.Protocol):
    """A client's connection to a gateway; it carries one request at a time."""

    def __init__(
        self, target: GatewayTarget, on_unexpected_bytes: Callable[[str, bytes], None], max_requests: int
    ) -> None:
        self.target, self.on_unexpected_bytes = target, on_unexpected_bytes
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.response_future: asyncio.Future[ResponseReceived | ResponseMissing] | None = None
        self.request_id = ""
        self.requests_left = max_requests
        self.response_count = 0
        self.status = 0
        self.body = b""
        self.retry_after_us = 0
        self.should_keep_alive = True
        self.has_response_begun = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    @property
    def is_open(self) -> bool:
        return self.transport is not None and not self.transport.is_closing()

    def send(self, request_id: str, data: bytes) -> asyncio.Future[ResponseReceived | ResponseMissing]:
        """Send a request; the future gets its response, or the reason why there is none."""
        assert self.transport is not None
        self.request_id, self.has_response_begun = request_id, False
        self.requests_left -= 1
        self.response_future = asyncio.get_running_loop().create_future()
        self.transport.write(data)
        return self.response_future

    def data_received(self, data: bytes) -> None:
        if self.response_future is None or self.response_future.done():
            self.on_unexpected_bytes(self.request_id, data)
            self.abort()
            return
        self.has_response_begun = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.end_without_response("cut")
            self.abort()

    def on_message_begin(self) -> None:
        if self.response_future is not None and self.response_future.done():
            self.on_unexpected_bytes(self.request_id, b"a second response")
        self.body, self.retry_after_us = b"", 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self.retry_after_us = int(float(value) * 1e6)

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        status = self.parser.get_status_code()
        if status < 200 or self.response_future is None or self.response_future.done():
            return
        self.should_keep_alive = self.parser.should_keep_alive() and self.requests_left > 0
        self.response_count += 1
        echoed_id = self.body.split(b" ", 1)[0].decode("latin-1") if status == 200 else ""
        self.response_future.set_result(
            ResponseReceived(now_us(), self.request_id, status, echoed_id, self.retry_after_us)
        )
        if not self.should_keep_alive:
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.end_without_response("cut" if self.has_response_begun else "closed" if exc is None else "reset")

    def end_without_response(self, reason: str) -> None:
        """Complete the pending request, if there is one, as failed."""
        if self.response_future is not None and not self.response_future.done():
            self.response_future.set_result(ResponseMissing(now_us(), self.request_id, reason))

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()


@dataclass(slots=True)
class ClientProfile:
    """Behaviour of the clients; the defaults are those of the specification."""

    max_retries: int = 2
    attempt_timeout_share: float = 0.5  # timeout of one attempt, as a share of the request class's give-up time
    retry_delay_s: float = 0.05  # delay before a retry when no Retry-After is followed
    retry_after_share: float = 0.7  # share of retries that follow Retry-After
    early_disconnect_share: float = 0.01  # share of attempts that the client aborts early
    key_count: int = 2000  # number of distinct resources
    popular_key_share: float = 0.0  # share of operations on one and the same resource
    work_hint_factor: float = 1.0  # work hint sent, as a multiple of the actual work; 0: no hint


@dataclass
class LoadGenerator:
    """Open-loop load generator for all clients of a scenario run."""

    event_log: EventLog
    balancer: ConnectionBalancer
    seed: int = 0
    operations_per_s: float = 100.0  # may be changed at run time
    profile: ClientProfile = field(default_factory=ClientProfile)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.seed}/clients")
        self.idle_connections_by_zone: dict[int, list[ClientConnection]] = {
            zone_index: [] for zone_index in range(len(ZONES))
        }
        self.operation_count = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.open_connections: set[ClientConnection] = set()
        self.gateway_by_open_request: dict[str, str] = {}  # by request id

    def pick_open_request_id(self, gateway: str) -> str:
        """The id of a random request that is open at the gateway; "" if there is none."""
        ids = [request_id for request_id, sent_to in self.gateway_by_open_request.items() if sent_to == gateway]
        return self.rng.choice(ids) if ids else ""

    # Operations

    async def run(self, seconds: float) -> None:
        """Start operations as a Poisson process for `seconds`, whatever the responses; wait until all have ended."""
        loop = asyncio.get_running_loop()
        next_at_s, end_s = loop.time(), loop.time() + seconds
        while True:
            next_at_s += self.rng.expovariate(self.operations_per_s)
            if next_at_s >= end_s:
                break
            if next_at_s > loop.time():
                await asyncio.sleep(next_at_s - loop.time())
            self.start_operation()
        while self.tasks:
            await asyncio.wait(self.tasks)

    def start_operation(self) -> None:
        """Start one operation of a random request class in a task."""
        request_class = self.rng.choices(list(CLASSES.values()), [k.share for k in CLASSES.values()])[0]
        task = asyncio.get_running_loop().create_task(self.run_operation(request_class))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run_operation(self, request_class: RequestClass) -> None:
        """Run one operation of a client: a request and its retries."""
        rng, profile = self.rng, self.profile
        zone_index = rng.randrange(len(ZONES))
        self.operation_count += 1
        operation_id = f"{self.seed:x}.{self.operation_count:x}"
        resource_number = (
            1 if rng.random() < profile.popular_key_share else min(int(rng.paretovariate(0.8)), profile.key_count)
        )
        work_us = draw_uniform(rng, request_class.work_us)
        idempotency_key = f"k{operation_id}" if request_class.effect == "keyed" else ""
        tenant = rng.choice(TENANTS)
        end_us = now_us() + request_class.give_up_us
        self.event_log.add(OperationStarted(now_us(), operation_id, request_class.name, ZONES[zone_index]))
        for attempt_index in range(profile.max_retries + 1):
            budget_us = min(int(request_class.give_up_us * profile.attempt_timeout_share), end_us - now_us())
            if budget_us < 1_000:
                return
            request_id = operation_id if attempt_index == 0 else f"{operation_id}-{attempt_index}"
            disconnects_early = rng.random() < profile.early_disconnect_share
            request_bytes = self.build_request(
                request_class,
                request_id,
                tenant,
                budget_us,
                resource_number,
                idempotency_key,
                int(work_us * profile.work_hint_factor),
            )
            result = await self.send_attempt(
                zone_index,
                request_class,
                request_id,
                request_bytes,
                budget_us,
                idempotency_key,
                tenant,
                operation_id,
                disconnects_early,
            )
            delay_s = profile.retry_delay_s
            if isinstance(result, ResponseReceived):
                if result.status == 200:
                    return
                if result.status not in (429, 503) and request_class.effect == "unsafe":
                    return  # an unsafe request that may have run is not retried
                if result.retry_after_us and rng.random() < profile.retry_after_share:
                    delay_s = result.retry_after_us / 1e6
            elif result is not None and (disconnects_early or request_class.effect == "unsafe"):
                return
            await asyncio.sleep(delay_s)

    def build_request(
        self,
        request_class: RequestClass,
        request_id: str,
        tenant: str,
        budget_us: int,
        resource_number: int,
        idempotency_key: str,
        work_us: int,
    ) -> bytes:
        body = b"" if request_class.effect == "safe" else f"slip {resource_number} ".encode() * 8
        lines = [
            f"{'GET' if request_class.effect == 'safe' else 'POST'} /{request_class.name}/{resource_number} HTTP/1.1",
            "Host: backend.local",
            f"X-Call-Id: {request_id}", f"X-Call-Class: {request_class.name}", f"X-Caller: {tenant}",
            f"X-Budget-Ms: {budget_us // 1000}",
        ]  # fmt: skip
        if work_us:
            lines.append(f"X-Call-Cost: {work_us}")
        if idempotency_key:
            lines.append(f"Idempotency-Key: {idempotency_key}")
        if request_class.effect != "safe":
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    # Attempts

    async def send_attempt(
        self, zone_index: int, request_class: RequestClass, request_id: str, data: bytes, budget_us: int,
        idempotency_key: str, tenant: str, operation_id: str, disconnects_early: bool,
    ) -> ResponseReceived | ResponseMissing | None:  # fmt: skip
        """Send one attempt and wait for its result; None if no gateway accepted a connection."""
        is_resend = False
        while True:
            connection, is_new = await self.get_connection(zone_index, needs_new=is_resend)
            if connection is None:
                return None
            sent_us = now_us()
            response_future = connection.send(request_id, data)
            gateway = connection.target.name
            request_event = RequestSent(
                sent_us,
                request_id,
                request_class.name,
                gateway,
                budget_us,
                idempotency_key,
                tenant,
                operation_id,
                is_resend,
            )
            self.event_log.add(request_event)
            timeout_us = budget_us + LATE_RESPONSE_WAIT_US
            if disconnects_early:
                timeout_us = int(budget_us * self.rng.random() * 0.3)
            self.gateway_by_open_request[request_id] = gateway
            done, _ = await asyncio.wait((response_future,), timeout=timeout_us / 1e6)
            self.gateway_by_open_request.pop(request_id, None)
            if not done:
                self.event_log.add(
                    ClientDisconnected(now_us(), request_id)
                    if disconnects_early
                    else ResponseMissing(now_us(), request_id, "none")
                )
                connection.abort()
                return ResponseMissing(now_us(), request_id, "none")
            result = response_future.result()
            if isinstance(result, ResponseMissing) and not is_new and not is_resend and result.how != "cut":
                # The gateway closed the idle connection while the request was in flight: resend once, on a new one.
                is_resend = True
                continue
            self.event_log.add(result)
            if isinstance(result, ResponseReceived) and connection.should_keep_alive and connection.is_open:
                self.idle_connections_by_zone[zone_index].append(connection)
            return result

    async def get_connection(self, zone_index: int, needs_new: bool) -> tuple[ClientConnection | None, bool]:
        """An idle connection or a new one, and whether it is new; None if the connection attempt fails."""
        idle_connections = self.idle_connections_by_zone[zone_index]
        while idle_connections and not needs_new:
            connection = idle_connections.pop(self.rng.randrange(len(idle_connections)))
            if connection.is_open:
                return connection, False
        target = self.balancer.pick_target(zone_index)
        if target is None:
            return None, True
        new_connection = ClientConnection(
            target, self.on_unexpected_bytes, self.rng.randint(*REQUESTS_PER_CONNECTION_RANGE)
        )
        try:
            async with asyncio.timeout(1.0):
                await asyncio.get_running_loop().create_connection(lambda: new_connection, *target.address)
        except (OSError, TimeoutError):
            return None, True
        self.open_connections.add(new_connection)
        if len(self.open_connections) > 1000:
            self.open_connections = {connection for connection in self.open_connections if connection.is_open}
        return (new_connection, True) if new_connection.is_open else (None, True)

    def on_unexpected_bytes(self, request_id: str, data: bytes) -> None:
        """Log bytes that arrived while no response was due, with the id of the last request."""
        self.event_log.add(UnexpectedBytes(now_us(), request_id, data[:80].decode("latin-1")))

    def close(self) -> None:
        """Cancel all operations and abort all connections."""
        for task in self.tasks:
            task.cancel()
        for connection in self.open_connections:
            connection.abort()


ID_REUSE_COUNT = 4  # requests that a client aborts before it sends their id again
FLOODING_KINDS = frozenset(
    {"thousands at once", "an endless head"}
)  # the client keeps sending after the first response
FLOOD_DURATION_S = 1.5
MAY_BE_SERVED_KINDS = frozenset(
    {"its own id again", "a budget beyond all", "thousands at once"}
)  # unusual, but valid requests


def build_misbehaving_requests(rng: random.Random, open_request_id: str = "") -> dict[str, list[bytes]]:
    """Chunks that a misbehaving client sends, by kind. Each kind must get an error response or a close."""
    request_id = f"rude-{rng.getrandbits(48):x}"
    head = "GET /search/1 HTTP/1.1\r\nHost: b\r\n"
    pipelined = "".join(f"{head}X-Call-Id: {request_id}-{n}\r\nX-Budget-Ms: 300\r\n\r\n" for n in range(400)).encode()
    valid_head = f"GET /search/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: {request_id}\r\nX-Budget-Ms: 400\r\n"
    post_head = f"POST /transfer/1 HTTP/1.1\r\nHost: b\r\nX-Call-Id: {request_id}\r\n"
    hidden = b"0\r\n\r\nGET /search/2 HTTP/1.1\r\nHost: b\r\nX-Call-Id: rude-hidden\r\n\r\n"
    return {
        "noise": [rng.randbytes(400)],
        "a head without end": [valid_head.encode()] + [b"X-More: " + b"y" * 4000 + b"\r\n"] * 12,
        "a negative length": [post_head.encode() + b"Content-Length: -5\r\n\r\nabcde"],
        "a length that is no number": [post_head.encode() + b"Content-Length: five\r\n\r\nabcde"],
        "a huge length": [post_head.encode() + b"Content-Length: 99999999999999999999\r\n\r\n"],
        "a body of 40 MB": [post_head.encode() + b"Content-Length: 41943040\r\n\r\n"] + [b"z" * 65536] * 32,
        "both framings": [post_head.encode() + b"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden],
        "an unknown class": [valid_head.replace("/search/1", "/nothing/1").encode() + b"\r\n"],
        "no id": [b"GET /search/1 HTTP/1.1\r\nHost: b\r\n\r\n"],
        "a budget that is no number": [valid_head.replace("400", "soon").encode() + b"\r\n"],
        "half a request": [valid_head.encode()],
        "an endless head": [valid_head.encode()] + [b"X-More: " + b"y" * 16000 + b"\r\n"] * 4000,
        "thousands at once": [pipelined] * 250,
        "the id of an open request": [f"{head}X-Call-Id: {open_request_id}\r\nX-Budget-Ms: 300\r\n\r\n".encode()],
        "its own id again": [valid_head.encode() + b"\r\n"],
        "a budget beyond all": [valid_head.replace("400", "9" * 15).encode() + b"\r\n"],
        "nothing": [],
        "two ids": [(valid_head + f"X-Call-Id: {request_id}-b\r\n").encode() + b"\r\n"],
    }


async def send_misbehaving_request(
    event_log: EventLog,
    target: GatewayTarget,
    rng: random.Random,
    kind: str = "",
    pick_open_request_id: Callable[[str], str] = lambda gateway: "",
) -> MisbehavingClient | None:
    """Send one misbehaving request.

    Returns None if no connection was made, or if the kind needs an open request and none is open.
    """
    open_request_id = pick_open_request_id(target.name)
    requests = build_misbehaving_requests(rng, open_request_id)
    kind = kind or rng.choice(sorted(requests))
    if kind == "the id of an open request" and not open_request_id:
        return None
    try:
        for _ in range(ID_REUSE_COUNT if kind == "its own id again" else 0):
            _, writer = await asyncio.open_connection(*target.address)
            writer.write(requests[kind][0])
            await asyncio.sleep(rng.uniform(0.001, 0.03))
            writer.transport.abort()
        reader, writer = await asyncio.open_connection(*target.address)
    except OSError:
        return None
    client = MisbehavingClient(now_us(), kind, target.name, may_be_served=kind in MAY_BE_SERVED_KINDS)
    event_log.add(client)
    sending = asyncio.create_task(_send_all(writer, requests[kind]))
    try:
        async with asyncio.timeout(MISBEHAVING_WAIT_US / 1e6):
            line = await reader.readline()
            parts = line.split(b" ")
            client.status = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0
            client.ended_us = now_us()
            if kind in FLOODING_KINDS:
                async with asyncio.timeout(FLOOD_DURATION_S):
                    while await reader.read(1 << 16):
                        pass
    except (OSError, ValueError):
        client.ended_us = client.ended_us or now_us()
    except TimeoutError:
        pass  # neither a response nor a close in time, or the flood has lasted long enough
    finally:
        sending.cancel()
        writer.transport.abort()
    return client


async def _send_all(writer: asyncio.StreamWriter, pieces: list[bytes]) -> None:
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
    except OSError:
        pass  # the gateway closed the connection; the reader sees that
