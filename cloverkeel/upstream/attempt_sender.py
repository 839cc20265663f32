"""Sends attempts over pooled connections and follows each to its outcome.

Invariants:
- an attempt ends exactly once, with a call of its `on_end`;
- nothing is written unless `find_refusal` allows it at the moment of the write;
- an attempt whose last byte is not written has not run: it ends as CONNECT_FAILED or MOOT, never as RESET or TIMEOUT.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final, cast

from cloverkeel.balancing.events import Outcome
from cloverkeel.balancing.settings import Settings

from cloverkeel.core.clock import now_us
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.messages import Reply
from cloverkeel.core.peer_resources import PeerResources
from cloverkeel.core.ports import AttemptResult, MayStart, OnAttemptEnd, OnResponseStart, PayloadBuilder
from cloverkeel.upstream.attempt import Attempt
from cloverkeel.upstream.connection import ConnectionHandler, HostConnection, ReadBuffers
from cloverkeel.upstream.connection_pool import ConnectionPool
from cloverkeel.upstream.health_check import HEALTH_CHECK_TIMEOUT_US, build_health_check
from cloverkeel.upstream.outcomes import classify_reply, parse_load_report

RECHECK_DELAY_US: Final = 1_000  # lets the loop read bytes that already wait in the socket
STREAM_START_MARGIN_US: Final = 30_000  # before the timeout: the first bytes must reach the client by then
MIN_TIMEOUTS_PER_MARGIN: Final = 10  # the margin of a short timeout is this part of it
PROGRESS_TIMEOUT_US: Final = 5_000_000  # cancels a streamed response that stalls while its reading is not paused


class AttemptSender(ConnectionHandler):
    """Sends attempts to hosts. Implements the core's `Upstream`."""

    def __init__(
        self, settings: Settings, pool: ConnectionPool, resources: PeerResources, max_responses: int
    ) -> None:
        """`max_responses`: responses of hosts that may arrive at a time."""
        self.settings = settings
        self.pool = pool
        self.account = resources.account
        self.input_scheduler = resources.input_scheduler
        self.buffered_response_bytes = self.account.buffered_response_bytes(max_responses)
        self.buffers = ReadBuffers(self.buffered_response_bytes)
        self.reads_load_reports = False  # the balancer ignores load reports; True parses them for another consumer
        self.loop = asyncio.get_running_loop()
        self.timers = LoopTimers(self.loop)
        self.may_write: Callable[[int], bool] = lambda _now_us: True
        self.on_event: Callable[[str], None] = lambda _name: None  # counts events for the metrics line

    def set_write_guard(self, may_write: Callable[[int], bool]) -> None:
        """Set a callback that gets the time in µs just before a first byte is written; if False, nothing is sent."""
        self.may_write = may_write

    # Starting an attempt

    def start_attempt(
        self, server: int, build_payload: PayloadBuilder, timeout_us: int, on_end: OnAttemptEnd,
        on_response_start: OnResponseStart, may_start: MayStart | None = None, write_deadline_us: int = 0,
    ) -> Attempt:  # fmt: skip
        """Start an attempt at a listed host; `on_end` may be called before this returns."""
        host = self.pool.hosts[server]
        attempt = Attempt(host, build_payload, on_end, on_response_start, may_start, write_deadline_us)
        self.send(attempt, timeout_us)
        return attempt

    def send_health_check(self, server: int, on_end: OnAttemptEnd) -> None:
        """Send a health check to a host; `on_end` gets its result, as for any attempt."""
        host = self.pool.hosts[server]
        payload = build_health_check(host.address, self.settings.reports)
        self.send(Attempt(host, lambda _at_us: [payload], on_end), HEALTH_CHECK_TIMEOUT_US)

    def send(self, attempt: Attempt, timeout_us: int) -> None:
        """Send an attempt on an idle connection, or on a new one if none is idle."""
        attempt.sent_us = now_us()
        due_us = attempt.sent_us + timeout_us
        near_us = due_us - min(STREAM_START_MARGIN_US, timeout_us // MIN_TIMEOUTS_PER_MARGIN)
        attempt.timeout_timer = self.timers.schedule(near_us, lambda: self.on_timeout_near(attempt, due_us))
        refusal = self.find_refusal(attempt, attempt.sent_us)
        if refusal is not None:
            self.end_attempt(attempt, refusal)
            return
        if attempt.write_deadline_us:
            attempt.write_deadline_timer = self.timers.schedule(
                attempt.write_deadline_us, lambda: self.on_write_deadline(attempt)
            )
        if self.write_to_idle_connection(attempt):
            return
        if not self.pool.reserve_descriptor():
            self.end_attempt(attempt, Outcome.MOOT)
            return
        self.open_connection(attempt)

    def write_to_idle_connection(self, attempt: Attempt) -> bool:
        """Write an attempt to an idle connection; return False if there is none."""
        while (connection := self.pool.acquire_idle(attempt.host)) is not None:
            if self.write_attempt(connection, attempt):
                self.pool.counts.reused += 1
                return True
            # The write failed and nothing has reached the host, so the attempt may use another connection.
            self.pool.counts.stale += 1
        return False

    def open_connection(self, attempt: Attempt) -> None:
        """Open a connection for an attempt, which is written once it is established."""
        attempt.connect_timer = self.timers.schedule(
            attempt.sent_us + self.settings.connect_timeout_us, lambda: self.on_connect_timeout(attempt)
        )
        connection = HostConnection(self, attempt.host, attempt)
        attempt.connection = connection
        self.pool.count_opened(connection)
        connect_task: asyncio.Task[object] = self.loop.create_task(
            self.loop.create_connection(lambda: cast(asyncio.Protocol, connection), *attempt.host.address)
        )
        attempt.connect_task = connect_task
        connect_task.add_done_callback(lambda task: self.on_connect_done(task, connection))

    def find_refusal(self, attempt: Attempt, at_us: int) -> Outcome | None:
        """Return the outcome of an attempt that must not be written now; None if it may be written.

        This is the only check before the first byte: of the host's drain grace period and its process, a stall, a
        request that has ended, and the time until which retries are deduplicated.
        """
        if not self.may_write(at_us) or not attempt.may_start(at_us):
            return Outcome.MOOT
        if attempt.write_deadline_us and at_us > attempt.write_deadline_us:
            return Outcome.MOOT
        if self.pool.is_replaced(attempt.host, attempt.connection):
            self.on_event("host replaced")
            return Outcome.MOOT
        draining_since_us = attempt.host.draining_since_us
        if draining_since_us is not None and at_us - draining_since_us > self.settings.stop_sending_within_us:
            return Outcome.CONNECT_FAILED
        return None

    def write_attempt(self, connection: HostConnection, attempt: Attempt) -> bool:
        """Write an attempt's request; close the connection and return False if it is broken."""
        connection.attempt, attempt.connection = attempt, connection
        if connection.write(attempt.build_payload(now_us())):
            return True
        connection.attempt = attempt.connection = None
        connection.close()
        return False

    # Ending an attempt

    def cancel_attempt(self, attempt: Attempt, outcome: Outcome = Outcome.CANCELLED) -> None:
        """End an attempt and close its connection, which notifies the host and frees the descriptor."""
        if attempt.has_ended:
            return
        connection, connect_task = attempt.connection, attempt.connect_task
        self.end_attempt(attempt, outcome)
        if connect_task is not None and not connect_task.done():
            connect_task.cancel()
        if connection is not None:
            connection.attempt = None
            connection.close()

    def end_attempt(self, attempt: Attempt, outcome: Outcome, reply: Reply | None = None) -> None:
        """Report the outcome of an attempt, unless it is already reported."""
        if attempt.has_ended:
            return
        attempt.has_ended = True
        if attempt.stream is None:  # a streamed response sets the latency when it starts
            attempt.measure_latency()
        attempt.cancel_timers()
        if outcome is Outcome.CONNECT_FAILED:
            self.pool.counts.failed += 1
        load_report = parse_load_report(reply) if self.reads_load_reports else None
        on_end = attempt.on_end
        attempt.release_references()
        on_end(AttemptResult(outcome, attempt.latency_us, reply, load_report))

    # Timers

    def on_timeout_near(self, attempt: Attempt, due_us: int) -> None:
        """Stream a response whose head has come, so that it begins in time; otherwise wait for the timeout."""
        if not self.begin_stream(attempt):
            attempt.timeout_timer = self.timers.schedule(due_us, lambda: self.on_timeout(attempt))

    def begin_stream(self, attempt: Attempt) -> bool:
        """Stream the response of an attempt if it has begun and may be large; return whether it is streamed.

        Guards against cutting off a response that began in time and whose body the host sends late.
        """
        connection = attempt.connection
        if connection is None or connection.attempt is not attempt or not connection.replies.begin_stream():
            return False
        self.on_event("late body")
        return True

    def on_timeout(self, attempt: Attempt) -> None:
        """Handle the timeout of an attempt."""
        if not attempt.has_rechecked and attempt.connection is not None and attempt.connection.has_unread():
            # Guards against dropping a response that has arrived: after a stall, timers run before sockets are read.
            attempt.has_rechecked = True
            attempt.timeout_timer = self.timers.schedule(
                now_us() + RECHECK_DELAY_US, lambda: self.on_timeout(attempt)
            )
            return
        if self.begin_stream(attempt):
            return
        self.cancel_attempt(attempt, Outcome.TIMEOUT if attempt.is_written() else Outcome.CONNECT_FAILED)

    def on_connect_timeout(self, attempt: Attempt) -> None:
        """Handle the timeout of a connection that is being established."""
        if attempt.connection is not None and attempt.connection.transport is None:
            self.cancel_attempt(attempt, Outcome.CONNECT_FAILED)

    def on_write_deadline(self, attempt: Attempt) -> None:
        """Cancel an attempt that is not fully written by then: later, retries are no longer deduplicated."""
        if not attempt.is_written():
            self.cancel_attempt(attempt, Outcome.MOOT)

    def check_progress(self, attempt: Attempt) -> None:
        """Cancel an attempt whose streamed response has stalled; otherwise schedule the next check."""
        at_us = now_us()
        if attempt.is_held_back():
            attempt.last_progress_us = at_us  # the host does not stall
        if at_us - attempt.last_progress_us >= PROGRESS_TIMEOUT_US:
            self.cancel_attempt(attempt, Outcome.TIMEOUT)
            return
        attempt.timeout_timer = self.timers.schedule(
            attempt.last_progress_us + PROGRESS_TIMEOUT_US, lambda: self.check_progress(attempt)
        )

    # Connection events

    def on_connected(self, connection: HostConnection) -> None:
        """Write the attempt for which a connection was opened."""
        attempt = connection.attempt
        if attempt is None or attempt.has_ended:
            # Cancelled in the loop iteration that established its connection: on_connect_done discards it next.
            connection.attempt = None
            connection.close()
            return
        refusal = self.find_refusal(attempt, now_us())
        if refusal is None and self.write_attempt(connection, attempt):
            return
        connection.attempt = None
        connection.close()
        self.end_attempt(attempt, refusal or Outcome.CONNECT_FAILED)

    def on_connect_done(self, connect_task: asyncio.Task[object], connection: HostConnection) -> None:
        """Discard a connection that failed or was cancelled as it was established: no connection_lost may follow."""
        if connect_task.cancelled() or connect_task.exception() is not None:
            self.on_lost(connection)

    def on_response_start(self, connection: HostConnection, reply: Reply, length: int | None) -> None:
        """Stream a large response; from now on only a progress timeout applies."""
        attempt = connection.attempt
        if attempt is None or attempt.has_ended:
            connection.close()
            return
        attempt.measure_latency()
        stream = attempt.on_response_start(reply, length, attempt.latency_us)
        if attempt.has_ended:
            return
        if stream is None:
            self.cancel_attempt(attempt)
            return
        attempt.stream, attempt.last_progress_us = stream, now_us()
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        self.check_progress(attempt)

    def on_reply(self, connection: HostConnection, reply: Reply) -> None:
        """End an attempt with its response, and return a reusable connection to the pool."""
        attempt, connection.attempt = connection.attempt, None
        if attempt is None:
            connection.close()
            return
        attempt.resume_reading()
        if reply.keep_alive and connection.is_flushed:
            self.pool.release(connection)
        else:
            connection.close()
        self.end_attempt(attempt, classify_reply(reply), reply)

    def on_malformed(self, connection: HostConnection) -> None:
        """End an attempt whose response is malformed."""
        attempt, connection.attempt = connection.attempt, None
        connection.close()
        if attempt is not None:
            self.end_attempt(attempt, Outcome.ERROR)

    def on_lost(self, connection: HostConnection) -> None:
        """End the attempt of a lost connection."""
        self.pool.discard(connection)
        attempt, connection.attempt = connection.attempt, None
        if attempt is not None:
            self.end_attempt(attempt, Outcome.RESET if connection.is_written() else Outcome.CONNECT_FAILED)

    def close(self) -> None:
        """Cancel all timers and close the idle connections."""
        self.timers.close()
        self.pool.close()
