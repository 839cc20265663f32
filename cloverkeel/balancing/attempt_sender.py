"""Sending of attempts: selects the server, sets the timeout, and starts the timer for an overdue answer."""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.actions import Cancel, Send
from cloverkeel.balancing.attempts import Attempt, Request
from cloverkeel.balancing.expiry_scan import ExpiryScan
from cloverkeel.balancing.latency_model import OVERDUE_FACTOR, LatencyModel
from cloverkeel.balancing.load_shedding import LoadShedder
from cloverkeel.balancing.request_timers import RequestTimers
from cloverkeel.balancing.server_selection import ServerSelection
from cloverkeel.balancing.settings import Effect, Settings

OBJECTIVE_TIMEOUT_RATIO: Final = 0.98  # timeout, as part of the time until the objective, if late_weight is 0


class AttemptSender:
    """Send and cancel attempts, and count those in flight."""

    def __init__(
        self,
        settings: Settings,
        selection: ServerSelection,
        latency: LatencyModel,
        load_shedder: LoadShedder,
        timers: RequestTimers,
        expiry_scan: ExpiryScan,
        buffer: ActionBuffer,
    ) -> None:
        self.settings = settings
        self.selection = selection
        self.latency = latency
        self.load_shedder = load_shedder
        self.timers = timers
        self.expiry_scan = expiry_scan
        self.buffer = buffer
        self.in_flight = 0  # attempts of all requests

    def send(self, now_us: int, request: Request) -> bool:
        """Send an attempt to a server that may take it now; return False if there is none."""
        class_index = request.class_index
        server = self.selection.select(now_us, request, self.load_shedder.is_low_priority[class_index])
        if server is None:
            return False
        class_probe_episode = server.class_health(class_index).breaker.start_probe()
        timeout_us = max(1, self.attempt_deadline_us(now_us, request) - now_us)
        probe_episode = server.breaker.start_probe()
        attempt = Attempt(server, now_us, now_us + timeout_us, probe_episode, class_probe_episode)
        request.attempts.append(attempt)
        request.in_flight += 1
        server.in_flight[attempt] = now_us
        self.in_flight += 1
        self.selection.subset.record_sent(self.in_flight)
        if now_us < server.slow_start.settled_at_us:
            self.selection.slow_start.record_sent(now_us, server, request)
        send = Send(request.id_, server.entry.server, timeout_us, self.write_deadline_us(request))
        self.buffer.actions.append(send)
        if not self.expiry_scan.due_at_us:
            self.expiry_scan.schedule(now_us)
        overdue_us = now_us + int(OVERDUE_FACTOR * self.latency.expected_us(class_index, request.size))
        if self.settings.classes[class_index].effect is not Effect.UNSAFE and overdue_us < request.deadline_us:
            self.timers.start(overdue_us, request)
        return True

    def write_deadline_us(self, request: Request) -> int:
        """Return when the retry of a keyed request that may have run must be written completely; 0 for no limit.

        Guards against a retry that is decided within the window of its key but waits for a connection until the
        window is over.
        """
        class_ = self.settings.classes[request.class_index]
        if class_.effect is not Effect.KEYED:
            return 0
        sent_us = [attempt.sent_us for attempt in request.attempts[:-1] if attempt.may_have_run]
        return sent_us[0] + class_.window_us if sent_us else 0

    def attempt_deadline_us(self, now_us: int, request: Request) -> int:
        """Return when an attempt times out: when its client does, or before the objective if late_weight is 0."""
        if self.settings.classes[request.class_index].late_weight > 0.0:
            return request.deadline_us
        return min(request.deadline_us, now_us + int(OBJECTIVE_TIMEOUT_RATIO * (request.objective_us - now_us)))

    def record_end(self, request: Request, attempt: Attempt) -> None:
        """Mark an attempt as ended, and stop counting it as in flight."""
        attempt.has_ended = True
        request.in_flight -= 1
        attempt.server.in_flight.pop(attempt, None)
        self.in_flight -= 1

    def cancel_attempts(self, request: Request, kept_attempt: int = -1) -> None:
        """Cancel the request's attempts in flight, except attempt number `kept_attempt` (-1 for none)."""
        if not self.settings.may_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if not attempt.has_ended and number != kept_attempt:
                self.buffer.actions.append(Cancel(request.id_, number))
