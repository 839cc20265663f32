"""Clients' connections: requests read, answers written, health, and the way out at a restart."""

from __future__ import annotations

import asyncio
import select
from collections import deque
from functools import partial
from typing import cast

import httptools

from caperdrift.interface import Effect

from cloverkeel.config import Config, stable_id
from cloverkeel.gateway import Call, Gateway
from cloverkeel.http1 import BODY_LIMIT, HEAD_LIMIT, Header, Reply, end_to_end, header

READY_PATH = b"/health/ready"
ACCEPT_ON_S = 1.0  # after SIGTERM: new connections go on coming for 0.4 s
FIRST_REQUEST_S = 0.5  # for the first request on a new connection to come, on the way out
LINGER_S = 1.0  # for the client to read an answer that it did not expect
POLL_S = 0.02
PIPELINED = 16  # requests read ahead on one connection
BACKLOG = 1024
RESERVE = 64  # descriptors kept free of pools and idle clients
NOT_PASSED_ON = frozenset({b"x-budget-ms"})
NOT_PASSED_BACK = frozenset({b"x-load-report", b"x-rejected"})
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    413: b"Content Too Large", 431: b"Request Header Fields Too Large", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip


class RequestError(ValueError):
    """A request that is answered here, with this status."""

    def __init__(self, status: int, why: str, *headers: Header) -> None:
        super().__init__(why)
        self.status = status
        self.headers = list(headers)


class Request:
    """One request as it was read; `fault` tells what is wrong with it."""

    __slots__ = ("body", "fault", "headers", "keep_alive", "method", "target")

    def __init__(self) -> None:
        self.method = b""
        self.target = b""
        self.headers: list[Header] = []
        self.body: list[bytes] = []
        self.keep_alive = False
        self.fault: RequestError | None = None


class Server:
    """All connections of clients."""

    def __init__(self, config: Config, gateway: Gateway) -> None:
        self.config, self.gateway = config, gateway
        self.connections: set[ClientConnection] = set()
        self.draining = False
        self.listener: asyncio.Server | None = None
        gateway.pools.room = self.make_room

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ClientConnection(self), *self.config.listen, backlog=BACKLOG, start_serving=False
        )
        self.gateway.start()  # nobody is let in before there is a list of hosts to serve from
        await self.listener.start_serving()

    @property
    def is_ready(self) -> bool:
        return not self.draining and self.gateway.can_serve

    async def drain(self) -> None:
        """The way out: every request that was taken, or waits to be accepted, is answered first."""
        self.draining = True
        loop = asyncio.get_running_loop()
        stop_accepting = loop.time() + ACCEPT_ON_S
        while loop.time() < stop_accepting:
            self.close_idle()
            await asyncio.sleep(POLL_S)
        if self.listener is not None:
            self.listener.close()
        while self.connections:
            self.close_idle()
            await asyncio.sleep(POLL_S)

    def close_idle(self) -> None:
        for connection in [c for c in self.connections if c.is_idle()]:
            connection.close()

    def make_room(self) -> None:
        """Give up idle connections first when descriptors run short."""
        pools = self.gateway.pools
        if len(self.connections) + pools.open + RESERVE < self.config.sockets:
            return
        if not pools.give_up_idle():
            idle = next((c for c in self.connections if c.is_idle()), None)
            if idle is not None:
                idle.close()


class ClientConnection(asyncio.Protocol):
    """One connection of a client; its requests are answered one after the other."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.reading: Request | None = None  # begun, not yet whole
        self.head_size = 0
        self.body_size = 0
        self.in_head = True
        self.passed_end = False  # a request has ended in the piece that was read last
        self.opened_s = 0.0
        self.served = False  # has had an answer
        self.waiting: deque[Request] = deque()
        self.current: Request | None = None  # read and not yet answered
        self.current_id = ""
        self.deaf = False  # nothing more is read as a request
        self.poll = select.poll()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self.opened_s = asyncio.get_running_loop().time()
        self.server.connections.add(self)
        self.server.make_room()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.deaf = True
        self.waiting.clear()
        if self.current is not None and self.current_id:
            self.server.gateway.leave(self.current_id)

    def is_idle(self) -> bool:
        """Whether it may be closed: nothing is owed, nothing has begun, nothing waits to be read.

        Guards against losing a request that has reached this machine and not yet this program, and one that a
        client sends for the second time, on a new connection, since the first crossed the end of its old one.
        """
        if self.current is not None or self.waiting or self.reading is not None or self.deaf:
            return False
        if not self.served and asyncio.get_running_loop().time() - self.opened_s < FIRST_REQUEST_S:
            return False
        return not self.poll.poll(0)

    def close(self) -> None:
        self.deaf = True
        if self.transport is not None:
            self.transport.close()

    # Reading

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return  # what follows a request that can't be read, until the connection ends
        fault: RequestError | None = None
        self.passed_end = False
        self.in_head = self.in_head or self.reading is None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            fault = RequestError(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            cause = error.__context__
            fault = cause if isinstance(cause, RequestError) else RequestError(400, "malformed")
        # Guards against a head without end: the parser hands a header over only once it is whole.
        # Of a piece that also ends another request, the part that is head is not known, and not counted.
        self.head_size = self.head_size + len(data) if self.in_head and not self.passed_end else 0
        if fault is None and self.head_size > HEAD_LIMIT:
            fault = RequestError(431, "the head is too long")
        if fault is not None:
            self.deaf = True
            request = Request()
            request.fault = fault
            self.waiting.append(request)
        if len(self.waiting) > PIPELINED and self.transport is not None:
            self.transport.pause_reading()
        self.take_next()

    def on_message_begin(self) -> None:
        self.reading = Request()
        self.body_size = 0
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        assert self.reading is not None
        self.reading.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        assert self.reading is not None
        self.reading.headers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self.reading is not None
        self.in_head = False
        headers = self.reading.headers
        self.reading.method = self.parser.get_method()
        length = header(headers, b"content-length")
        if length is not None and length.isdigit() and int(length) > BODY_LIMIT:
            raise RequestError(413, "the body is too long")
        expected = header(headers, b"expect")
        if expected is not None and expected.lower() == b"100-continue" and self.current is None:
            assert self.transport is not None
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        assert self.reading is not None
        self.body_size += len(data)
        if self.body_size > BODY_LIMIT:
            raise RequestError(413, "the body is too long")
        self.reading.body.append(data)

    def on_message_complete(self) -> None:
        request = self.reading
        assert request is not None
        self.reading = None
        self.passed_end = True
        request.keep_alive = self.parser.should_keep_alive()
        self.waiting.append(request)

    # Answering

    def take_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        while self.current is None and self.waiting:
            request = self.current = self.waiting.popleft()
            self.current_id = ""
            if not self.waiting and self.transport is not None:
                self.transport.resume_reading()
            try:
                self.take(request)
            except RequestError as error:
                self.answer(error.status, error.headers, f"{error}\n".encode())

    def take(self, request: Request) -> None:
        if request.fault is not None:
            raise request.fault
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if request.method not in (b"GET", b"HEAD"):
                raise RequestError(405, "GET it", (b"Allow", b"GET, HEAD"))
            self.answer(200 if self.server.is_ready else 503, [], b"")
            return
        call = self.read_call(request, path)
        self.current_id = call.id
        if not self.server.gateway.arrive(call):
            self.current_id = ""
            raise RequestError(400, "this X-Call-Id is in use")

    def read_call(self, request: Request, path: bytes) -> Call:
        """The request in the module's terms."""
        config, headers = self.server.config, {n.lower(): v for n, v in request.headers}
        names = config.names
        parts = [part for part in path.split(b"/") if part]
        named = headers.get(b"x-call-class")
        if named is not None and named not in names.classes:
            raise RequestError(400, "unknown class")
        if not parts or parts[0] not in names.classes:
            raise RequestError(404, "unknown path")
        if named is not None and named != parts[0]:
            raise RequestError(400, "the class is not that of the path")
        klass = names.classes[parts[0]]
        settings = config.settings.classes[klass]
        method = b"GET" if settings.effect is Effect.SAFE else b"POST"
        if request.method != method:
            raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
        if settings.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise RequestError(400, "no Idempotency-Key")
        id_ = headers.get(b"x-call-id")
        if not id_:
            raise RequestError(400, "no X-Call-Id")
        budget_ms = _whole(headers.get(b"x-budget-ms"), "X-Budget-Ms")
        body = b"".join(request.body)
        return Call(
            id=id_.decode("latin-1"),
            klass=klass,
            patience_us=settings.give_up_us if budget_ms is None else budget_ms * 1000,
            key=stable_id(parts[-1], 8) if len(parts) > 1 else None,
            work_us=_whole(headers.get(b"x-call-cost"), "X-Call-Cost"),
            is_retry=headers.get(b"x-again") == b"1",
            tenant=names.tenants.get(headers.get(b"x-caller", b""), 0),
            head=_head(request, body),
            body=body,
            on_served=partial(self.on_served, request),
            on_refused=partial(self.on_refused, request),
            on_failed=partial(self.on_failed, request),
        )

    def on_served(self, request: Request, reply: Reply) -> None:
        if self.current is request:
            self.answer(200, end_to_end(reply.headers, NOT_PASSED_BACK), reply.body)

    def on_refused(self, request: Request, retry_after_us: int) -> None:
        if self.current is request:
            after = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self.answer(503, after, b"")

    def on_failed(self, request: Request, timed_out: bool) -> None:
        if self.current is request:
            self.answer(504 if timed_out else 502, [], b"")

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the whole answer at once, and go on with the next request."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        self.current, self.current_id = None, ""
        self.served = True
        more = bool(self.waiting) or self.reading is not None  # what was read is answered, on the way out too
        last = not request.keep_alive or (self.server.draining and not more)
        lines = [b"HTTP/1.1 %d %s" % (status, REASONS[status])]
        lines += [b"%s: %s" % pair for pair in headers]
        lines += [b"Content-Length: %d" % len(body)]
        if last:
            lines.append(b"Connection: close")
        if request.method == b"HEAD":
            body = b""
        transport.write(b"%s\r\n\r\n%s" % (b"\r\n".join(lines), body))
        if last:
            self.waiting.clear()
            self.end(linger=request.fault is not None)
        else:
            self.take_next_soon()

    def take_next_soon(self) -> None:
        if self.waiting:
            asyncio.get_running_loop().call_soon(self.take_next)

    def end(self, linger: bool) -> None:
        """Close once the answer is written.

        Guards against a reset that overtakes the answer where the client has still more to say: then it is
        left to read first.
        """
        self.deaf = True
        assert self.transport is not None
        if linger and self.transport.can_write_eof():
            self.transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self.transport.close)
        else:
            self.transport.close()


def _whole(text: bytes | None, name: str) -> int | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > 15:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _head(request: Request, body: bytes) -> bytes:
    """What goes on to a host, all but the budget and the empty line."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % pair for pair in end_to_end(request.headers, NOT_PASSED_ON)]
    if body or request.method == b"POST":
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n"
