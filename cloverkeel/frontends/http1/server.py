"""Clients' connections: accepted within limits, answered, given up when silent; the way out at a restart."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import sys
import termios
from typing import Final, cast

from cloverkeel.core.calls import Call, Flow, Sink
from cloverkeel.core.config import Config
from cloverkeel.core.draining import DrainSchedule, shutdown_schedule
from cloverkeel.core.gateway import Gateway
from cloverkeel.core.log import log
from cloverkeel.core.messages import Header, Reply, end_to_end
from cloverkeel.core.ports import Descriptors
from cloverkeel.core.body_budget import Room, size_for
from cloverkeel.frontends.http1.requests import Request, RequestError, RequestReader, read_call

READY_PATH: Final = b"/health/ready"
POLL_S: Final = 0.02
PIPELINED: Final = 16  # requests read ahead on one connection
BACKLOG: Final = 1024
ACCEPT_AT_ONCE: Final = 16  # connections taken in one turn of the loop
# How long a connection may stay as it is, in seconds
SILENT_S = 2.0  # accepted, and no byte has come
READING_S = 2.4  # a request has begun to come; for the first one since it was accepted
PAUSE_S: Final = 1.0  # beyond that, between two pieces of a body
SLOWEST: Final = 32 * 1024  # bytes of a body a second, beyond that: who sends less is given up
KEPT_S = 20.0  # between requests
KEPT_CROWDED_S = 2.0  # the same where many connections are up
LINGER_S: Final = 0.5  # for the client to read an answer that it did not expect
STUCK_S: Final = 2.4  # an answer is not being read
STALL_S: Final = 10.0  # the same for a large one, of which the client takes nothing at all
MARK: Final = 256 * 1024  # of a large answer waits here for its client, at the most, and what one read brings
SWEEP_S: Final = 0.2
ACCEPT_PAUSE_S: Final = 0.1  # where there is no descriptor, and nobody to take one from
HURRIED_S: Final = 0.3  # who says nothing for so long goes first where descriptors run short
# Descriptors
RESERVE: Final = 32  # for all but connections of clients and to hosts: discovery, the loop, files; it is never lent
HOSTS_SHARE: Final = 0.35  # of the rest that clients leave to hosts; it is never lent to them
NOT_PASSED_BACK: Final = frozenset({b"x-load-report", b"x-rejected"})
REASONS: Final = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    413: b"Content Too Large", 417: b"Expectation Failed", 431: b"Request Header Fields Too Large",
    501: b"Not Implemented", 502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}  # fmt: skip
STATUS_LINES: Final = {status: b"HTTP/1.1 %d %s" % (status, reason) for status, reason in REASONS.items()}
GONE: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
Phase = dict["ClientConnection", float]  # since when each is in it, the longest first


class Server:
    """All connections of clients."""

    def __init__(self, config: Config, gateway: Gateway, hosts: Descriptors) -> None:
        self.config, self.gateway, self.hosts = config, gateway, hosts
        self.connections: set[ClientConnection] = set()
        self.silent: Phase = {}
        self.reading: Phase = {}
        self.kept: Phase = {}
        self.ending: Phase = {}
        self.passing: Phase = {}  # a large answer waits for its client to take it
        self.room = Room(size_for(config.memory_mb))
        self.longest_s = max(c.client_timeout_us for c in config.settings.classes) / 1e6  # that a client waits
        self.sockets = self.most = 0
        self.share(1)
        self.accepting: set[asyncio.Task[object]] = set()
        self.emptying: DrainSchedule | None = None
        self.since_s = 0.0  # when that began
        self.ending_for_good = False
        self.emptier: asyncio.TimerHandle | None = None
        self.listener: socket.socket | None = None
        self.loop = asyncio.get_running_loop()
        self.sweeper: asyncio.TimerHandle | None = None
        hosts.room = self.make_room

    async def start(self) -> None:
        host, port = self.config.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # With a second address this process may be replaced while it serves; without one a second start must fail.
        shared = self.config.admin_listen is not None
        self.listener = socket.create_server((host, port), family=family, backlog=BACKLOG, reuse_port=shared)
        self.listener.setblocking(False)
        self.gateway.start()  # nobody is let in before there is a list of hosts to serve from
        self.loop.add_reader(self.listener.fileno(), self.accept)
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    @property
    def is_ready(self) -> bool:
        return (self.emptying is None or self.emptying.is_reported_ready) and self.gateway.can_serve

    @property
    def takes_clients(self) -> bool:
        return self.listener is not None and self.emptying is None and self.gateway.can_serve

    def share(self, parts: int) -> None:
        """Descriptors are shared out among so many processes of this gateway."""
        self.sockets = self.config.sockets // parts
        self.most = int((self.sockets - RESERVE) * (1 - HOSTS_SHARE))

    # Connections in

    def accept(self, most: int = ACCEPT_AT_ONCE) -> None:
        """Take what waits, a few in a turn, so that a crowd is met by giving up others, not by an error."""
        for _ in range(most):
            if self.listener is None:
                return
            try:
                accepted, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError as error:
                log(f"cannot accept: {error.strerror}")
                if not self.make_way():
                    self.pause_accepting()
                return
            if not self.has_room() and not self.make_way():
                self.gateway.tally.at_the_door("full")
                accepted.close()  # it is told at once
                continue
            task: asyncio.Task[object] = self.loop.create_task(self.take(accepted))
            self.accepting.add(task)
            task.add_done_callback(self.accepting.discard)

    def pause_accepting(self) -> None:
        """Guards against turning without end where there is no descriptor, and nobody to take one from."""
        if self.listener is not None:
            self.loop.remove_reader(self.listener.fileno())
            self.loop.call_later(ACCEPT_PAUSE_S, self.accept_again)

    def accept_again(self) -> None:
        if self.listener is not None:
            self.loop.add_reader(self.listener.fileno(), self.accept)

    async def take(self, accepted: socket.socket) -> None:
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(lambda: cast(asyncio.Protocol, ClientConnection(self)), accepted)
        except OSError:
            accepted.close()  # it has gone already

    # Descriptors

    @property
    def clients(self) -> int:
        return len(self.connections) + len(self.accepting)

    def has_room(self) -> bool:
        return self.clients < self.most and not self.is_full()

    def is_full(self) -> bool:
        return self.clients + self.hosts.open + RESERVE >= self.sockets

    def make_room(self) -> bool:
        """Before a connection to a host is opened: clients that ask nothing yield first. False: there is none for it.

        Guards against a handshake for each request, as silent clients crowd out kept connections to hosts; and
        against using up the reserve, without which nobody hears of hosts.
        """
        return not self.is_full() or self.make_way() or self.hosts.give_up_idle()

    def make_way(self) -> bool:
        """Give up one client: who has asked nothing for a while, whose request stopped coming, who asks nothing."""
        return self.give_up_client(HURRIED_S) or self.give_up_slow() or self.give_up_client(0.0)

    def give_up_slow(self) -> bool:
        """End the connection whose request has begun and stopped coming, the longest ago."""
        now_s = self.loop.time()
        for connection in self.reading:
            if now_s - connection.read_s >= PAUSE_S:
                self.gateway.tally.at_the_door("crowded")
                connection.abort()
                return True
        return False

    def give_up_client(self, age_s: float) -> bool:
        """Close a connection on which nothing is asked: the oldest that never spoke, or that was kept."""
        now_s = self.loop.time()
        for phase in (self.silent, self.kept):
            for connection, since_s in phase.items():
                if now_s - since_s < age_s:
                    break
                if connection.is_idle():
                    self.gateway.tally.at_the_door("crowded")
                    connection.close()
                    return True
        return False

    def sweep(self) -> None:
        """Close what has stayed as it is for too long."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now_s = self.loop.time()
        kept_s = KEPT_CROWDED_S if self.clients > self.most / 3 else KEPT_S
        for phase, limit_s, why in (
            (self.silent, SILENT_S, "silent"), (self.kept, kept_s, "kept"),
        ):  # fmt: skip
            for connection, since_s in list(phase.items()):
                if now_s - since_s < limit_s:
                    break
                if connection.is_idle():
                    self.gateway.tally.at_the_door(why)
                    connection.close()
        for connection, since_s in list(self.reading.items()):
            if now_s - since_s >= READING_S and connection.is_late(now_s, now_s - since_s - READING_S):
                connection.give_up_reading()
        for connection, end_s in list(self.ending.items()):
            if now_s >= end_s and (connection.lingers or not connection.has_moved()):
                if not connection.lingers:
                    self.gateway.tally.at_the_door("unread")
                connection.abort()
            elif now_s >= end_s:
                self.ending[connection] = now_s + STUCK_S
        for connection in [c for c in self.connections if c.reader.rest and c.has_gone()]:
            connection.abort()  # what it has read ahead hides its end from the loop
        for connection, since_s in list(self.passing.items()):
            if connection.has_moved():
                self.passing[connection] = now_s
            elif now_s - since_s >= STALL_S:
                self.gateway.tally.at_the_door("unread")
                connection.abort()

    # Emptying: core/draining.py says when

    def empty(self, timetable: DrainSchedule) -> None:
        """Begin to send clients away."""
        self.emptying, self.since_s = timetable, self.loop.time()
        if self.emptier is None:
            self.empty_on()

    def refill(self) -> None:
        """Take clients again, unless this is the end."""
        if not self.ending_for_good:
            self.emptying = None

    @property
    def sends_away(self) -> bool:
        """Whether an answer ends its connection."""
        return self.emptying is not None and self.emptying_s() >= self.emptying.keep_alive_until_s

    def emptying_s(self) -> float:
        return self.loop.time() - self.since_s

    def empty_on(self) -> None:
        """What the timetable asks for by now; again as long as it holds."""
        timetable, self.emptier = self.emptying, None
        if timetable is None:
            return
        self.emptier = self.loop.call_later(POLL_S, self.empty_on)
        now_s = self.emptying_s()
        if now_s >= timetable.accept_until_s:
            self.stop_listening()
        if self.ending_for_good and now_s >= timetable.respond_by_s:
            self.gateway.answer_all()
        at_s = self.loop.time()
        for connection in list(self.reading):
            if timetable.can_abort_read(now_s, at_s - connection.read_s):
                connection.give_up_reading()
        for connection in list(self.connections):
            age_s = at_s - connection.opened_s
            if timetable.can_close_idle(now_s, connection.served, age_s) and connection.is_idle():
                connection.close()

    async def drain(self, timetable: DrainSchedule | None = None) -> None:
        """The way out: every request that was taken, or waits to be accepted, is answered first."""
        self.ending_for_good = True
        self.empty(timetable or shutdown_schedule(self.longest_s))
        while self.listener is not None or self.connections or self.accepting:
            await asyncio.sleep(POLL_S)

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.accept(BACKLOG)
            self.loop.remove_reader(self.listener.fileno())
            self.listener.close()
            self.listener = None

    def close(self) -> None:
        """Give up everything at once."""
        self.stop_listening()
        for timer in (self.sweeper, self.emptier):
            if timer is not None:
                timer.cancel()
        for connection in list(self.connections):
            connection.abort()


def unsent(fd: int) -> int:
    """Bytes that the kernel holds for the other side."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:
        return 0


class ClientConnection:
    """One connection of a client; its requests are answered one after the other. A protocol by its methods."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(self.on_expect, server.room)
        self.phase: Phase | None = None
        self.opened_s = 0.0
        self.served = False  # has had an answer
        self.current: Request | None = None  # taken and not yet answered
        self.call: Call | None = None  # the same in the module's terms
        self.deaf = False  # nothing more is read as a request
        self.stuck = False  # the client does not read its answers
        self.lingers = False  # it has been answered, and has time to read that
        self.flow: Flow | None = None  # of a large answer that is passed on
        self.chunked = False  # so it is framed
        self.written = 0  # bytes of large answers
        self.taken = 0  # of those with the client, when that was looked at last
        self.expected = False  # a request waits for its turn before its body is asked for
        self.read_s = 0.0  # when a part of a request came last
        self.poll = select.poll()

    # Connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.opened_s = self.server.loop.time()
        self.server.connections.add(self)
        self.enter(self.server.silent, self.opened_s)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self.enter(None)
        self.deaf = True
        self.reader.close()
        self.transport = None
        call, self.call, self.flow = self.call, None, None
        if call is not None:
            self.server.gateway.leave(call)

    def eof_received(self) -> None:
        """Nothing stays half open."""

    def has_gone(self) -> bool:
        """Whether the client has ended its sending or its connection, also where that waits to be read.

        Guards against requests sent on for nobody: where a crowd of them is read ahead nothing is read any more, and
        after a stall timers run before sockets.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            return True
        return any(event & GONE for _, event in self.poll.poll(0))

    def enter(self, phase: Phase | None, since_s: float | None = None) -> None:
        """Note what this connection waits for, for the sweep."""
        if phase is self.phase:
            return
        if self.phase is not None:
            self.phase.pop(self, None)
        self.phase = phase
        if phase is not None:
            phase[self] = self.server.loop.time() if since_s is None else since_s

    def settle(self) -> None:
        """Enter the phase that follows from what has come and what is owed."""
        server = self.server
        if self.deaf:
            return
        if self.stuck:
            if self.flow is not None:
                self.enter(server.passing)
            else:
                self.enter(server.ending, self.server.loop.time() + STUCK_S)
        elif self.current is not None or self.reader.done:
            self.enter(None)
        elif self.reader.has_begun:
            self.enter(server.reading, None if self.served else self.opened_s)
        elif self.served or self.phase is not server.silent:
            self.enter(server.kept)

    def is_idle(self) -> bool:
        """Whether it may be closed: nothing is owed, nothing has begun, nothing waits to be read.

        Guards against losing a request that has reached this machine and not yet this program, and one that a
        client sends for the second time, on a new connection, since the first crossed the end of its old one.
        """
        if self.deaf or self.current is not None or self.reader.done or self.reader.has_begun:
            return False
        return not self.poll.poll(0)

    def close(self) -> None:
        """Close once what was written is with the client, and within bounds."""
        self.deaf = True
        if self.transport is not None:
            self.enter(self.server.ending, self.server.loop.time() + STUCK_S)
            self.transport.close()

    def abort(self) -> None:
        self.deaf = True
        self.enter(None)
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.stuck = True
        if self.flow is not None:
            self.flow.hold()
        self.settle()

    def resume_writing(self) -> None:
        self.stuck = False
        if self.flow is not None:
            self.flow.go_on()
        self.settle()
        self.take_next_soon()

    def has_moved(self) -> bool:
        """Whether the client has taken something of large answers since this was asked last; the kernel knows."""
        if self.transport is None or self.transport.get_extra_info("socket") is None:
            return False
        waits = self.transport.get_write_buffer_size() + unsent(self.transport.get_extra_info("socket").fileno())
        before, self.taken = self.taken, max(self.taken, self.written - waits)
        return self.taken > before

    def is_late(self, now_s: float, beyond_s: float) -> bool:
        """Whether a request that has taken so long, beyond what any may take, is not coming as fast as it must."""
        return now_s - self.read_s > PAUSE_S or self.reader.body_size < beyond_s * SLOWEST

    # Reading

    def data_received(self, data: bytes) -> None:
        if self.deaf:
            return  # what follows a request that can't be read, until the connection ends
        self.read_s = self.server.loop.time()
        self.read(data)
        self.take_next()
        self.settle()

    def read(self, data: bytes) -> None:
        assert self.transport is not None
        self.reader.feed(data, PIPELINED)
        if self.reader.is_broken or self.reader.rest:
            self.transport.pause_reading()

    def on_expect(self) -> None:
        self.expected = True
        self.ask_for_body()

    def ask_for_body(self) -> None:
        """What says `100 Continue` comes after the answers that are owed before."""
        if self.expected and self.current is None and not self.reader.done and self.transport is not None:
            self.expected = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def give_up_reading(self) -> None:
        """The rest of a request has not come in time."""
        self.reader.break_off(RequestError(408, "the request did not come in time"))
        self.take_next()

    # Answering

    def take_next(self) -> None:
        """Take the next request that was read, once the one before is answered."""
        if self.current is not None or self.stuck or self.transport is None or self.deaf:
            return
        if not self.reader.done and self.reader.rest:
            self.read(b"")
            if not self.reader.is_broken and not self.reader.rest:
                self.transport.resume_reading()
        if not self.reader.done:
            return
        request = self.current = self.reader.done.popleft()
        try:
            self.take(request)
        except RequestError as error:
            self.server.gateway.tally.at_the_door(f"{error.status} {error}")
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
        call = read_call(request, path, self.server.config, self)
        emptying = self.server.emptying
        if emptying is not None:
            left_s = emptying.respond_by_s - self.server.emptying_s()
            if self.server.emptying_s() >= emptying.reject_from_s:
                raise RequestError(503, "this gateway is being emptied; ask again on a new connection")
            call.patience_us = min(call.patience_us, max(1, int(left_s * 1e6)))
        self.call = call
        if not self.server.gateway.arrive(call):
            self.call = None
            raise RequestError(400, "this X-Call-Id is in use")

    def on_served(self, call: Call, reply: Reply) -> None:
        if self.call is call:
            self.answer(200, end_to_end(reply.headers, NOT_PASSED_BACK), reply.body)

    def on_refused(self, call: Call, retry_after_us: int) -> None:
        if self.call is call:
            after = [(b"Retry-After", b"%.3f" % (retry_after_us / 1e6))] if retry_after_us > 0 else []
            self.answer(503, after, b"")

    def on_failed(self, call: Call, timed_out: bool) -> None:
        if self.call is call:
            self.answer(504 if timed_out else 502, [], b"")

    def on_begun(self, call: Call, reply: Reply, length: int | None, flow: Flow) -> Sink | None:
        """A large answer: its head goes out, and its body as it comes."""
        request, transport = self.current, self.transport
        if self.call is not call or request is None or transport is None:
            return None
        self.flow = flow
        self.chunked = length is None and not request.is_old
        if length is None and request.is_old:
            request.keep_alive = False  # its end is that of the connection
        pieces = [STATUS_LINES[200]]
        for name, value in end_to_end(reply.headers, NOT_PASSED_BACK):
            pieces += (b"\r\n", name, b": ", value)
        if length is not None:
            pieces += (b"\r\nContent-Length: ", str(length).encode())
        elif self.chunked:
            pieces.append(b"\r\nTransfer-Encoding: chunked")
        if self.is_last(request):
            request.keep_alive = False
            pieces.append(b"\r\nConnection: close")
        pieces.append(b"\r\n\r\n")
        transport.set_write_buffer_limits(high=MARK)
        self.write(b"".join(pieces))
        return self

    def write(self, data: bytes) -> None:
        if self.transport is not None:
            self.written += len(data)
            self.transport.write(data)

    def on_piece(self, data: bytes) -> None:
        self.write(b"%x\r\n%b\r\n" % (len(data), data) if self.chunked else data)

    def on_whole(self) -> None:
        if self.chunked:
            self.write(b"0\r\n\r\n")
        request, self.current, self.call, self.flow = self.current, None, None, None
        self.served = True
        if request is not None and self.transport is not None:
            self.go_on_after(request, not request.keep_alive)

    def on_broken(self) -> None:
        """Its length is not reached, or its last chunk is missing: the client can tell."""
        self.call = self.flow = None
        self.abort()

    def is_last(self, request: Request) -> bool:
        """Whether the connection ends with the answer to this; what was read is answered, on the way out too."""
        more = bool(self.reader.done) or self.reader.has_begun
        return not request.keep_alive or (self.server.sends_away and not more)

    def answer(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the whole answer at once, and go on with the next request."""
        request, transport = self.current, self.transport
        assert request is not None and transport is not None
        self.current = self.call = None
        self.served = True
        last = self.is_last(request)
        pieces = [STATUS_LINES[status]]
        for name, value in headers:
            pieces += (b"\r\n", name, b": ", value)
        pieces += (b"\r\nContent-Length: ", str(len(body)).encode())
        if last:
            pieces.append(b"\r\nConnection: close")
        pieces.append(b"\r\n\r\n")
        if request.method != b"HEAD":
            pieces.append(body)
        transport.write(b"".join(pieces))
        self.go_on_after(request, last)

    def go_on_after(self, request: Request, last: bool) -> None:
        """The next request, or the end of the connection."""
        if last:
            self.reader.done.clear()
            self.end(linger=request.fault is not None)
        else:
            self.ask_for_body()
            self.take_next_soon()
            self.settle()

    def take_next_soon(self) -> None:
        if self.reader.done or self.reader.rest:
            self.server.loop.call_soon(self.take_next)

    def end(self, linger: bool) -> None:
        """Close once the answer is written.

        Guards against a reset that overtakes the answer where the client has still more to say: then it is
        left to read first. What it says meanwhile is left with the kernel, which holds little of it.
        """
        if not linger:
            self.close()
            return
        self.deaf = self.lingers = True
        assert self.transport is not None
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.enter(self.server.ending, self.server.loop.time() + LINGER_S)
