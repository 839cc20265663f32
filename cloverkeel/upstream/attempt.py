"""State of one attempt: a request sent to one host, up to its outcome. attempt_sender.py drives it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cloverkeel.core.calls import ResponseStream
from cloverkeel.core.clock import now_us
from cloverkeel.core.messages import Reply
from cloverkeel.core.ports import AttemptResult, MayStart, OnAttemptEnd, OnResponseStart, PayloadBuilder
from cloverkeel.core.timers import Timer
from cloverkeel.upstream.host import Host

if TYPE_CHECKING:
    from cloverkeel.upstream.connection import HostConnection


class Attempt:
    """State of one attempt. Times are in microseconds of this gateway's clock."""

    __slots__ = (
        "build_payload", "connect_task", "connect_timer", "connection", "has_ended", "has_rechecked",
        "held_back_us", "host", "is_paused", "last_progress_us", "latency_us", "may_start", "on_end",
        "on_response_start", "read_bytes",
        "sent_us", "stream", "timeout_timer", "write_deadline_timer", "write_deadline_us",
    )  # fmt: skip

    def __init__(
        self, host: Host, build_payload: PayloadBuilder, on_end: OnAttemptEnd,
        on_response_start: OnResponseStart | None = None, may_start: MayStart | None = None,
        write_deadline_us: int = 0,
    ) -> None:  # fmt: skip
        self.host = host
        self.build_payload: PayloadBuilder = build_payload
        self.may_start: MayStart = may_start or _always_may_start
        self.write_deadline_us = write_deadline_us  # an attempt not fully written by then is cancelled; 0: never
        self.on_end: OnAttemptEnd = on_end
        self.on_response_start: OnResponseStart = on_response_start or _discard_response
        self.stream: ResponseStream | None = None  # receives the body of a streamed response once it has begun
        self.last_progress_us = 0  # when the last chunk of the streamed response arrived
        self.read_bytes = 0  # limit of one read of the streamed response; 0: none but the usual one
        self.is_paused = False  # reading is paused until the client has read the buffered bytes
        self.sent_us = 0
        self.held_back_us = 0  # for how long this process did not read what had arrived
        self.latency_us = 0
        self.connection: HostConnection | None = None
        self.connect_task: asyncio.Task[object] | None = None
        self.timeout_timer: Timer | None = None
        self.connect_timer: Timer | None = None
        self.write_deadline_timer: Timer | None = None
        self.has_ended = False
        self.has_rechecked = False  # timed out; the loop got one more iteration to read a pending response

    def pause_reading(self) -> None:
        """Stop reading the response until the client has read the buffered bytes."""
        if not self.is_paused and self.connection is not None and self.connection.transport is not None:
            self.is_paused = True
            self.connection.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading the response."""
        if self.is_paused and self.connection is not None and self.connection.transport is not None:
            self.is_paused = False
            self.last_progress_us = now_us()
            self.connection.resume_input()

    def is_held_back(self) -> bool:
        """Return whether the response is not being read, because of the client or of this process."""
        return self.is_paused or (self.connection is not None and self.connection.is_input_postponed)

    def limit_read_size(self, size: int) -> None:
        """Read at most `size` bytes at a time from now on."""
        self.read_bytes = size

    def measure_latency(self) -> None:
        """Set the latency to the time since the attempt was sent, without the time that this process took."""
        self.latency_us = max(0, now_us() - self.sent_us - self.held_back_us)

    def is_written(self) -> bool:
        """Return whether the kernel has taken the last byte, so that the host may have run the request."""
        connection = self.connection
        return connection is not None and connection.is_written()

    def cancel_timers(self) -> None:
        """Cancel all timers of the attempt."""
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.connect_timer is not None:
            self.connect_timer.cancel()
        if self.write_deadline_timer is not None:
            self.write_deadline_timer.cancel()
        self.timeout_timer = self.connect_timer = self.write_deadline_timer = None

    def release_references(self) -> None:
        """Break the reference cycle with the request, so that both are freed without garbage collection."""
        self.connection = self.connect_task = None
        self.on_end = _ignore_result
        self.on_response_start = _discard_response
        self.may_start = _always_may_start
        self.build_payload = _build_nothing
        self.stream = None


def _ignore_result(_result: AttemptResult) -> None:
    """Replace `on_end` of an attempt that has ended."""


def _build_nothing(_at_us: int) -> list[bytes]:
    """Replace `build_payload` of an attempt that has ended."""
    return []


def _always_may_start(_at_us: int) -> bool:
    """Allow an attempt that has no start condition."""
    return True


def _discard_response(_reply: Reply, _length: int | None, _latency_us: int) -> ResponseStream | None:
    """Refuse a streamed response."""
    return None
