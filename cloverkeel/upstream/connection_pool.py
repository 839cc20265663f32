"""Connections to hosts: one pool for each host, attempts over them and how these end, probes."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, cast

from cloverkeel.balancing import LoadReport, Outcome, Reports, Settings
from cloverkeel.simulator.codec import parse_load

from cloverkeel.core.calls import Sink
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address
from cloverkeel.core.messages import Reply, header
from cloverkeel.core.ports import End, MayBegin, OnBegin, OnEnd, Payload
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.timers import Timer
from cloverkeel.protocols.http1 import ReplyError, ReplyReader

IDLE_SHARE: Final = 0.8  # of the host's idle time: no connection is kept unused for longer
SPARE_IDLE_US: Final = 5_000_000  # the same for what only a burst has needed
SPARED: Final = 1  # connections of a host that may stay idle for longer than that
SWEEP_S: Final = 1.0
PROBE_TIMEOUT_US: Final = 250_000
REST_US: Final = 8_000  # after an answer a connection is not used: a second answer came up to 4 ms later
LOOK_US: Final = 1_000  # for the loop to read what waits
STALL_US: Final = 5_000_000  # a large answer of which nothing more comes, while it could, has broken off


@dataclass(slots=True, eq=False)
class Host:
    """One host as this gateway reaches it."""

    id: int
    name: str
    address: Address
    started_us: int = 0  # as discovery tells it
    drained_us: int | None = None  # when this gateway was told that it drains or is gone
    idle: list[HostConnection] = field(default_factory=list)  # the most recently used last
    open: int = 0  # connections up or coming up


class Attempt:
    """One request on its way to one host, until its outcome."""

    __slots__ = (
        "begin_by_us", "begin_timer", "connect_timer", "connection", "ended", "held_up", "host", "latency_us",
        "looked", "may_begin", "moved_us", "on_begin", "on_end", "opening", "payload", "sent_us", "sink", "timer",
    )  # fmt: skip

    def __init__(
        self, host: Host, payload: Payload, on_end: OnEnd, on_begin: OnBegin | None = None,
        may_begin: MayBegin | None = None, begin_by_us: int = 0,
    ) -> None:  # fmt: skip
        self.host = host
        self.may_begin: MayBegin = may_begin or _always
        self.begin_by_us = begin_by_us  # its last byte is written by then, or it is not sent; 0: no limit
        self.payload: Payload = payload  # made as it is written
        self.on_end: OnEnd = on_end
        self.on_begin: OnBegin = on_begin or _unwanted
        self.sink: Sink | None = None  # where its large answer goes, once it has begun
        self.moved_us = 0  # when something of that came last
        self.held_up = False  # the client is to take what it has first
        self.sent_us = 0
        self.latency_us = 0
        self.connection: HostConnection | None = None
        self.opening: asyncio.Task[object] | None = None
        self.timer: Timer | None = None  # of its time
        self.connect_timer: Timer | None = None
        self.begin_timer: Timer | None = None
        self.ended = False
        self.looked = False  # past its time it was looked whether its answer has come

    def hold(self) -> None:
        if not self.held_up and self.connection is not None and self.connection.transport is not None:
            self.held_up = True
            self.connection.transport.pause_reading()

    def go_on(self) -> None:
        if self.held_up and self.connection is not None and self.connection.transport is not None:
            self.held_up = False
            self.moved_us = now_us()
            self.connection.transport.resume_reading()


@dataclass(slots=True)
class PoolCounts:
    """What the pools have done since the start."""

    opened: int = 0
    reused: int = 0
    failed: int = 0
    stale: int = 0


class HostConnection:
    """One connection to a host; it carries one attempt at a time. A protocol in asyncio's sense, by its methods."""

    __slots__ = (
        "address",
        "attempt",
        "counted",
        "flushed",
        "host",
        "idle_since_us",
        "poll",
        "pools",
        "replies",
        "transport",
    )

    def __init__(self, pools: Pools, host: Host, attempt: Attempt | None) -> None:
        self.pools, self.host, self.attempt = pools, host, attempt
        self.address = host.address
        self.transport: asyncio.Transport | None = None
        self.replies = ReplyReader(on_large=self.on_large, on_piece=self.on_piece)
        self.flushed = True  # the last byte of what was written is with the kernel
        self.idle_since_us = 0
        self.counted = False
        self.poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        # With no room in the buffer, pause_writing tells at once that the last byte is not yet written.
        self.transport.set_write_buffer_limits(high=0)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)
        self.pools.on_connected(self)

    def is_fresh(self) -> bool:
        """False once the host has closed it, or said something unasked, seen by the loop or not yet.

        Guards against writing a request to a connection that the host has closed: it would end as a reset,
        and nobody could tell whether it has run.
        """
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self.poll.poll(0)

    def has_unread(self) -> bool:
        """Whether bytes of the host's, or its end, wait to be read."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and bool(self.poll.poll(0))

    def write(self, payload: list[bytes]) -> bool:
        """False if the connection turned out broken before the last byte was written."""
        assert self.transport is not None
        if self.transport.is_closing():
            return False
        if len(payload) == 1:
            self.transport.write(payload[0])
        else:
            self.transport.writelines(payload)
        return not self.transport.is_closing()

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def pause_writing(self) -> None:
        self.flushed = False

    def resume_writing(self) -> None:
        self.flushed = True

    def data_received(self, data: bytes) -> None:
        try:
            reply = self.replies.feed(data)
        except ReplyError:
            self.pools.on_garbage(self)
            return
        if reply is not None:
            self.pools.on_reply(self, reply)
        elif self.attempt is None:
            self.close()

    def on_large(self, reply: Reply, length: int | None) -> None:
        self.pools.on_begun(self, reply, length)

    def on_piece(self, data: bytes) -> None:
        attempt = self.attempt
        if attempt is not None and attempt.sink is not None:
            attempt.moved_us = now_us()
            attempt.sink.on_piece(data)

    def eof_received(self) -> None:
        """Nothing stays half open; some answers end so."""
        reply = self.replies.finish()
        if reply is not None:
            self.pools.on_reply(self, reply)

    def connection_lost(self, exc: Exception | None) -> None:
        self.pools.on_lost(self)
        self.replies.close()


class Pools:
    """Carries attempts to hosts. Every attempt that is sent ends once, by its `on_end`."""

    def __init__(self, settings: Settings, room: Callable[[], bool] = lambda: True, reads_load: bool = False) -> None:
        self.settings = settings
        self.reads_load = reads_load  # the decision module ignores load reports: they are read for who does not
        self.loop = asyncio.get_running_loop()
        self.timers = LoopTimers(self.loop)
        self.room = room  # called before a descriptor is taken
        self.may_write: Callable[[int], bool] = lambda now_us: True
        self.hosts: dict[int, Host] = {}
        self.counts = PoolCounts()
        self.open = 0
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)

    def guard(self, may_write: Callable[[int], bool]) -> None:
        self.may_write = may_write

    # Hosts

    def put(self, id_: int, name: str, address: Address, ready: bool, started_us: int = 0) -> None:
        """Learn of a host, of its new address, that it has started anew, or that it drains."""
        host = self.hosts.get(id_)
        if host is None:
            host = self.hosts[id_] = Host(id_, name, address, started_us)
        if (host.address, host.started_us) != (address, started_us):
            # Guards against writing to a connection of its earlier life: a machine that went silent may not
            # have ended it, and what is written there ends as a reset.
            host.address, host.started_us = address, started_us
            self.close_idle(id_)
        if ready:
            host.drained_us = None
        else:
            self.drain(host)

    def drain(self, host: Host) -> None:
        if host.drained_us is None:
            host.drained_us = now_us()
        self.close_idle(host.id)

    def remove(self, id_: int) -> None:
        """Forget a host that is gone; what is out there still ends as it will."""
        host = self.hosts.pop(id_, None)
        if host is not None:
            self.drain(host)

    def close_idle(self, id_: int) -> None:
        host = self.hosts.get(id_)
        while host is not None and host.idle:
            host.idle.pop().close()

    def knows(self, server: int) -> bool:
        return server in self.hosts

    def name_of(self, server: int) -> str | None:
        host = self.hosts.get(server)
        return host.name if host is not None else None

    def opened(self) -> int:
        return self.counts.opened

    def is_empty(self) -> bool:
        return not self.hosts

    def known(self) -> int:
        return len(self.hosts)

    def is_another(self, id_: int, address: Address, started_us: int) -> bool:
        host = self.hosts.get(id_)
        return host is not None and (host.address, host.started_us) != (address, started_us)

    def keep_only(self, named: set[int]) -> list[int]:
        """Forget every host that a whole list does not name; returns those."""
        gone = [id_ for id_ in self.hosts if id_ not in named]
        for id_ in gone:
            self.remove(id_)
        return gone

    # Attempts

    def begin(
        self, server: int, payload: Payload, timeout_us: int, on_end: OnEnd, on_begin: OnBegin,
        may_begin: MayBegin | None = None, begin_by_us: int = 0,
    ) -> Attempt:  # fmt: skip
        """Begin an attempt at a host that is known."""
        attempt = Attempt(self.hosts[server], payload, on_end, on_begin, may_begin, begin_by_us)
        self.send(attempt, timeout_us)
        return attempt

    def probe(self, server: int, on_end: OnEnd) -> None:
        """Ask a host how it is; with its load where the deployment has reports."""
        host = self.hosts[server]
        path = b"/health/live" if self.settings.reports is Reports.NONE else b"/stats"
        address = f"{host.address[0]}:{host.address[1]}".encode()
        payload = b"GET %s HTTP/1.1\r\nHost: %s\r\n\r\n" % (path, address)
        self.send(Attempt(host, lambda at_us: [payload], on_end), PROBE_TIMEOUT_US)

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Begin an attempt on a kept connection, or on a new one where none is free."""
        attempt.sent_us = now_us()
        attempt.timer = self.timers.set(attempt.sent_us + timeout_us, lambda: self.on_timeout(attempt))
        refused = self.refused(attempt, attempt.sent_us)
        if refused is not None:
            self.end(attempt, refused)
            return
        if attempt.begin_by_us:
            attempt.begin_timer = self.timers.set(attempt.begin_by_us, lambda: self.on_begun_late(attempt))
        while (connection := self.take(attempt.host)) is not None:
            if self.put_on(connection, attempt):
                self.counts.reused += 1
                return
            # The write itself failed: nothing has reached the host, so the same attempt may begin anew.
            self.counts.stale += 1
        if not self.room():
            self.end(attempt, Outcome.MOOT)
            return
        host, connect_us = attempt.host, self.settings.connect_timeout_us
        attempt.connect_timer = self.timers.set(
            attempt.sent_us + connect_us, lambda: self.on_connect_timeout(attempt)
        )
        connection = HostConnection(self, host, attempt)
        attempt.connection = connection
        connection.counted = True
        host.open += 1
        self.open += 1
        self.counts.opened += 1
        opening: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_connection(lambda: cast(asyncio.Protocol, connection), *host.address)
        )
        attempt.opening = opening
        opening.add_done_callback(lambda task: self.on_opened(task, connection))

    def refused(self, attempt: Attempt, at_us: int) -> Outcome | None:
        """How an attempt ends that may not be written now; None: it may.

        The one place that is asked before any byte is written, however long its connection took: nothing starts
        after a drain's grace, in a gap that was not caught up with, for a request that is over, or when repeats
        are no longer dropped.
        """
        if not self.may_write(at_us) or not attempt.may_begin(at_us):
            return Outcome.MOOT
        if attempt.begin_by_us and at_us > attempt.begin_by_us:
            return Outcome.MOOT
        drained_us = attempt.host.drained_us
        if drained_us is not None and at_us - drained_us > self.settings.stop_sending_within_us:
            return Outcome.CONNECT_FAILED
        return None

    def on_begun_late(self, attempt: Attempt) -> None:
        """What is not wholly written when repeats are no longer dropped has not run, and is not to run."""
        if not self.is_written(attempt):
            self.cancel(attempt, Outcome.MOOT)

    def take(self, host: Host) -> HostConnection | None:
        """The free connection used last of those that have rested: the bottom of the stack ages and is closed.

        Guards against taking what a host says again, some milliseconds after its answer, for the next one's answer:
        nothing in the protocol tells them apart once the next request is out.
        """
        at_us = now_us()
        oldest_us = at_us - int(self.settings.keepalive_us * IDLE_SHARE)
        place = len(host.idle) - 1
        while place >= 0 and at_us - host.idle[place].idle_since_us < REST_US:
            place -= 1
        while place >= 0:
            connection = host.idle.pop(place)
            if connection.idle_since_us >= oldest_us and connection.is_fresh():
                return connection
            place -= 1
            self.counts.stale += 1
            connection.close()
        return None

    def put_on(self, connection: HostConnection, attempt: Attempt) -> bool:
        connection.attempt, attempt.connection = attempt, connection
        if connection.write(attempt.payload(now_us())):
            return True
        connection.attempt = attempt.connection = None
        connection.close()
        return False

    def cancel(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """Stop waiting: the connection is closed, so that the host can tell, and its place is free."""
        if attempt.ended:
            return
        connection, opening = attempt.connection, attempt.opening
        self.end(attempt, outcome)
        if opening is not None and not opening.done():
            opening.cancel()
        if connection is not None:
            connection.attempt = None
            connection.close()

    def end(self, attempt: Attempt, outcome: Outcome, reply: Reply | None = None) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.sink is None:  # else it is the time until the first bytes
            attempt.latency_us = now_us() - attempt.sent_us
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.connect_timer is not None:
            attempt.connect_timer.cancel()
        if attempt.begin_timer is not None:
            attempt.begin_timer.cancel()
        attempt.timer = attempt.connect_timer = attempt.begin_timer = None
        if outcome is Outcome.CONNECT_FAILED:
            self.counts.failed += 1
        attempt.connection = attempt.opening = None
        load = load_of(reply) if self.reads_load else None
        # It knows its request, which knows its attempts: let go of, both are freed without a search for cycles.
        on_end, attempt.on_end, attempt.on_begin, attempt.may_begin = attempt.on_end, _told, _unwanted, _always
        attempt.payload, attempt.sink = _nothing, None
        on_end(End(outcome, attempt.latency_us, reply, load))

    def on_timeout(self, attempt: Attempt) -> None:
        if not attempt.looked and attempt.connection is not None and attempt.connection.has_unread():
            # Guards against giving up an answer that has come: after a stall, timers run before sockets are read.
            attempt.looked = True
            attempt.timer = self.timers.set(now_us() + LOOK_US, lambda: self.on_timeout(attempt))
            return
        # What was never written cannot have run, also when the time ended while connecting.
        self.cancel(attempt, Outcome.TIMEOUT if self.is_written(attempt) else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        if attempt.connection is not None and attempt.connection.transport is None:
            self.cancel(attempt, Outcome.CONNECT_FAILED)

    def is_written(self, attempt: Attempt) -> bool:
        connection = attempt.connection
        return connection is not None and connection.transport is not None and connection.flushed

    # Connections

    def on_connected(self, connection: HostConnection) -> None:
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            # Given up in the very turn in which it came up: its opening is cancelled, which closes it next.
            connection.attempt = None
            connection.close()
        elif (refused := self.refused(attempt, now_us())) is not None or not self.put_on(connection, attempt):
            connection.attempt = None
            connection.close()
            self.end(attempt, refused or Outcome.CONNECT_FAILED)

    def on_opened(self, opening: asyncio.Task[object], connection: HostConnection) -> None:
        """Account for a connection that did not come up, or was cancelled in the turn in which it did.

        Guards against counting it for good: of the latter, no connection_lost need follow.
        """
        if opening.cancelled() or opening.exception() is not None:
            self.on_lost(connection)

    def on_begun(self, connection: HostConnection, reply: Reply, length: int | None) -> None:
        """A large answer has begun: it goes on as it comes, and only progress is timed."""
        attempt = connection.attempt
        if attempt is None or attempt.ended:
            connection.close()
            return
        attempt.latency_us = now_us() - attempt.sent_us
        sink = attempt.on_begin(reply, length, attempt.latency_us)
        if attempt.ended:
            return
        if sink is None:
            self.cancel(attempt)
            return
        attempt.sink, attempt.moved_us = sink, now_us()
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.time_progress(attempt)

    def time_progress(self, attempt: Attempt) -> None:
        at_us = now_us()
        if attempt.held_up:
            attempt.moved_us = at_us  # it is not the host that waits
        if at_us - attempt.moved_us >= STALL_US:
            self.cancel(attempt, Outcome.TIMEOUT)
            return
        attempt.timer = self.timers.set(attempt.moved_us + STALL_US, lambda: self.time_progress(attempt))

    def on_reply(self, connection: HostConnection, reply: Reply) -> None:
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            connection.close()
            return
        attempt.go_on()
        if reply.keep_alive and connection.flushed:
            self.keep(connection)
        else:
            connection.close()
        self.end(attempt, outcome_of(reply), reply)

    def on_garbage(self, connection: HostConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        connection.close()
        if attempt is not None:
            self.end(attempt, Outcome.ERROR)

    def on_lost(self, connection: HostConnection) -> None:
        self.count_closed(connection)
        attempt, connection.attempt = connection.attempt, None
        if connection in connection.host.idle:
            connection.host.idle.remove(connection)
        if attempt is not None:
            written = connection.transport is not None and connection.flushed
            self.end(attempt, Outcome.RESET if written else Outcome.CONNECT_FAILED)

    def count_closed(self, connection: HostConnection) -> None:
        if connection.counted:
            connection.counted = False
            connection.host.open -= 1
            self.open -= 1

    def keep(self, connection: HostConnection) -> None:
        host = connection.host
        if host.drained_us is not None or connection.address != host.address:
            connection.close()
            return
        connection.idle_since_us = now_us()
        host.idle.append(connection)

    def sweep(self) -> None:
        """Close what has been idle for too long, well before the host does it."""
        self.sweeper = self.loop.call_later(SWEEP_S, self.sweep)
        now = now_us()
        oldest_us = now - int(self.settings.keepalive_us * IDLE_SHARE)
        spare_us = now - SPARE_IDLE_US
        for host in self.hosts.values():
            while host.idle:
                limit_us = spare_us if len(host.idle) > SPARED else oldest_us
                if host.idle[0].idle_since_us >= limit_us:
                    break
                host.idle.pop(0).close()

    def give_up_idle(self) -> bool:
        """Close the connection that was idle for the longest time, to gain a descriptor."""
        hosts = [host for host in self.hosts.values() if host.idle]
        if not hosts:
            return False
        min(hosts, key=lambda host: host.idle[0].idle_since_us).idle.pop(0).close()
        return True

    def close(self) -> None:
        self.sweeper.cancel()
        self.timers.close()
        for host in self.hosts.values():
            self.close_idle(host.id)


def _told(end: End) -> None:
    """In the place of what was called."""


def _nothing(at_us: int) -> list[bytes]:
    """What has ended is not written."""
    return []


def _always(at_us: int) -> bool:
    """Nobody minds."""
    return True


def _unwanted(reply: Reply, length: int | None, latency_us: int) -> Sink | None:
    """Nobody waits for a large answer to this."""
    return None


def outcome_of(reply: Reply) -> Outcome:
    if reply.status == 200:
        return Outcome.OK
    if reply.status in (503, 504) and header(reply.headers, b"x-rejected") == b"1":
        return Outcome.FULL
    return Outcome.ERROR


def load_of(reply: Reply | None) -> LoadReport | None:
    """The load report that came with an answer; what cannot be read is as good as none."""
    text = header(reply.headers, b"x-load-report") if reply is not None else None
    if text is None:
        return None
    form, _, values = text.decode("latin-1").partition(" ")
    try:
        return parse_load(values.replace(" ", "").replace("=", ":")) if form == "TEXT" else None
    except ValueError:
        return None
