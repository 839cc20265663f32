"""Drain of client connections, on a schedule of core/draining.py."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from cloverkeel.core.calls import Call
from cloverkeel.core.draining import DrainSchedule
from cloverkeel.core.gateway import Gateway
from cloverkeel.frontends.http1.errors import RequestError
from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

if TYPE_CHECKING:
    from cloverkeel.frontends.http1.connection import ClientConnection
    from cloverkeel.frontends.http1.listener import Listener

DRAIN_POLL_INTERVAL_S: Final = 0.02


class DrainState:
    """The schedule and start time of a drain; `schedule` is None if no drain is in progress."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.schedule: DrainSchedule | None = None
        self.started_s = 0.0

    def elapsed_s(self) -> float:
        """Return the time since the drain began."""
        return self.loop.time() - self.started_s

    def is_reported_ready(self) -> bool:
        """Return whether readiness checks may succeed: no drain is in progress, or its schedule allows it."""
        return self.schedule is None or self.schedule.is_reported_ready

    def limit_call(self, call: Call) -> None:
        """Limit a call's timeout to the end of the drain. Raises RequestError once calls are rejected."""
        schedule = self.schedule
        if schedule is None:
            return
        left_s = schedule.respond_by_s - self.elapsed_s()
        if self.elapsed_s() >= schedule.reject_from_s:
            raise RequestError(503, "this gateway is being emptied; ask again on a new connection")
        call.client_timeout_us = min(call.client_timeout_us, max(1, int(left_s * 1e6)))

    def is_over(self) -> bool:
        """Return whether no further request is served, as the process is about to exit."""
        return self.schedule is not None and self.schedule.is_over(self.elapsed_s())

    def closes_connections(self) -> bool:
        """Return whether connections are closed after a response."""
        return self.schedule is not None and self.elapsed_s() >= self.schedule.keep_alive_until_s


class ClientDrain:
    """Carries out a drain, driven by its own timer."""

    def __init__(
        self, state: DrainState, gateway: Gateway, listener: Listener, connections: set[ClientConnection],
        timeouts: ConnectionTimeouts,
    ) -> None:  # fmt: skip
        self.state = state
        self.loop = state.loop
        self.gateway = gateway
        self.listener = listener
        self.connections = connections
        self.timeouts = timeouts
        self.is_shutdown = False  # the process exits at the end of the drain
        self.timer: asyncio.TimerHandle | None = None

    def start(self, schedule: DrainSchedule) -> None:
        """Start a drain."""
        self.state.schedule = schedule
        self.state.started_s = self.loop.time()
        if self.timer is None:
            self.on_timer()

    def stop(self) -> None:
        """End the drain and serve clients again, unless the process shuts down."""
        if not self.is_shutdown:
            self.state.schedule = None

    def close(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def on_timer(self) -> None:
        """Carry out the steps of the schedule that are due, and repeat until the drain ends."""
        schedule = self.state.schedule
        self.timer = None
        if schedule is None:
            return
        self.timer = self.loop.call_later(DRAIN_POLL_INTERVAL_S, self.on_timer)
        elapsed_s = self.state.elapsed_s()
        if elapsed_s >= schedule.accept_until_s:
            self.listener.close()
        if self.is_shutdown and schedule.is_over(elapsed_s):
            self.gateway.answer_all_requests()
        now_s = self.loop.time()
        for connection in list(self.timeouts.reading):
            if schedule.can_abort_read(elapsed_s, now_s - connection.last_read_s):
                connection.time_out_request()
        for connection in list(self.connections):
            age_s = now_s - connection.accepted_s
            if schedule.can_close_idle(elapsed_s, connection.has_responded, age_s) and connection.is_idle():
                connection.close()
