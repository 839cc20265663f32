"""Carries out the balancer's actions: attempts, final responses, timers, lists, health checks.

Nothing is chosen here. What an attempt finds out is posted as an event and handled in its turn.
"""

from __future__ import annotations

from collections.abc import Callable

from cloverkeel.balancing.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SetTimer,
    WatchList,
)
from cloverkeel.balancing.events import AttemptEnded, Event, Outcome, Probed, RequestGone, StreamStarted, TimerFired
from cloverkeel.balancing.settings import Settings

from cloverkeel.core.calls import Call, ResponseStream
from cloverkeel.core.clock import now_us
from cloverkeel.core.event_queue import EventQueue
from cloverkeel.core.log import log
from cloverkeel.core.loop_timers import LoopTimers
from cloverkeel.core.messages import Reply
from cloverkeel.core.metrics import GatewayMetrics
from cloverkeel.core.ports import AttemptResult, EndpointSource, HostTable, Upstream
from cloverkeel.core.request_table import NO_ATTEMPT, InFlightRequest, RequestTable


class RequestAttempt:
    """One attempt of a request as the dispatcher sees it; its methods are what the upstream calls."""

    __slots__ = ("dispatcher", "index", "request", "server", "started_us", "timeout_us")

    def __init__(
        self, dispatcher: ActionDispatcher, request: InFlightRequest, index: int, server: int, timeout_us: int
    ) -> None:
        self.dispatcher = dispatcher
        self.request = request
        self.index = index
        self.server = server
        self.started_us = now_us()
        self.timeout_us = timeout_us

    def may_start(self, _at_us: int) -> bool:
        """Tell whether anybody still waits for it.

        Guards against sending what nobody waits for: its connection came up after its request was over.
        """
        request = self.request
        return request.awaits_response() and not request.call.client.has_disconnected()

    def build_payload(self, at_us: int) -> list[bytes]:
        """Return the request with the time that is left as it is written: a connection may take long to come up."""
        call = self.request.call
        left_us = self.timeout_us - (at_us - self.started_us)
        budget_ms = str(max(1, left_us // 1000)).encode()
        head_and_body = [b"".join((call.head, b"X-Budget-Ms: ", budget_ms, b"\r\n\r\n", call.body))]
        return head_and_body if call.body_chunks is None else head_and_body + call.body_chunks

    def on_response_start(self, reply: Reply, length: int | None, _latency_us: int) -> ResponseStream | None:
        """Stream a large answer to the client: the first good one to begin."""
        request = self.request
        attempt = request.attempts[self.index]
        if not request.awaits_response() or attempt is None:
            return None
        request.stream = request.call.client.on_stream_start(request.call, reply, length, attempt)
        if request.stream is not None:
            request.streaming_attempt = self.index
            self.dispatcher.queue.post_urgent(lambda: StreamStarted(request.key, self.index))
        return request.stream

    def on_end(self, result: AttemptResult) -> None:
        """Post the outcome; a good one has its client's response also during a hold."""
        dispatcher = self.dispatcher
        if result.outcome is Outcome.OK and dispatcher.queue.stall_detector.is_holding:
            dispatcher.queue.post_urgent(lambda: dispatcher.end_attempt(self, result))
        else:
            dispatcher.queue.post(lambda: dispatcher.end_attempt(self, result), self.request)


class ActionDispatcher:
    """Carries out actions, and makes events of how attempts end."""

    def __init__(
        self, settings: Settings, requests: RequestTable, queue: EventQueue, timers: LoopTimers,
        metrics: GatewayMetrics, hosts: HostTable, upstream: Upstream, endpoint_source: EndpointSource,
    ) -> None:  # fmt: skip
        self.settings = settings
        self.requests = requests
        self.queue = queue
        self.timers = timers
        self.metrics = metrics
        self.hosts = hosts
        self.upstream = upstream
        self.endpoint_source = endpoint_source
        self.on_attempt_outcome: Callable[[int, Outcome, int], None] | None = None  # server, outcome, latency in µs

    def carry_out(self, action: Action) -> None:
        """Carry out one action."""
        match action:
            case Send():
                self.send_attempt(action)
            case SetTimer():
                self.set_timer(action.due_us, action.token)
            case Refuse():
                self.reject_request(action)
            case Fail():
                self.fail_request(action.request)
            case Cancel():
                self.cancel_attempt(action)
            case WatchList():
                self.endpoint_source.watch(action.on)
            case FetchList():
                self.endpoint_source.fetch()
            case Probe():
                self.check_health(action.server)
            case CloseIdle():
                self.hosts.close_idle_connections(action.server)
            case Log():
                log(action.line)
            case _:
                log(f"gateway: action not carried out, action={action!r}")

    def set_timer(self, due_us: int, token: int) -> None:
        """Post a timer's event when its time has come."""
        self.timers.schedule(due_us, lambda: self.queue.post(lambda: TimerFired(token)))

    # Responses

    def reject_request(self, action: Refuse) -> None:
        """Respond that a request is rejected, if it awaits its response."""
        request = self.requests.claim_response(action.request)
        if request is not None:
            self.metrics.record_rejection(request.call.class_index, action.reason)
            request.call.client.on_rejected(request.call, action.retry_after_us)

    def fail_request(self, key: str) -> None:
        """Respond that a request has failed, if it awaits its response."""
        request = self.requests.claim_response(key)
        if request is not None:
            self.metrics.failed_by_class[request.call.class_index] += 1
            request.call.client.on_failed(request.call, request.has_timed_out)

    def on_client_disconnected(self, call: Call) -> None:
        """Give up a request whose client has gone."""
        request = self.requests.find_unanswered(call)
        if request is None:
            return
        request.is_responded = True
        if request.streaming_attempt != NO_ATTEMPT:
            attempt = request.attempts[request.streaming_attempt]
            if attempt is not None:
                self.upstream.cancel_attempt(attempt)  # the balancer leaves it to the client
        self.queue.post(lambda: self._end_abandoned(request))

    def _end_abandoned(self, request: InFlightRequest) -> Event:
        """Forget a request only now: what was sent for it before the balancer hears of this gets its outcome."""
        self.requests.mark_responded(request)
        return RequestGone(request.key)

    # Attempts

    def send_attempt(self, action: Send) -> None:
        """Start an attempt; where it can't be started any more it ends as moot."""
        request = self.requests.by_key.get(action.request)
        is_known = self.hosts.has_host(action.server)
        if request is None:
            log(f"gateway: DEFECT: attempt of an unknown request, action={action!r}")
            return
        index = len(request.attempts)
        left_us = request.deadline_us - now_us()
        timeout_us = min(action.timeout_us, left_us) if action.timeout_us else left_us
        if not request.is_responded and request.call.client.has_disconnected():
            self.on_client_disconnected(request.call)
        request.attempts.append(None)
        is_over = request.is_responded or timeout_us <= 0
        if not is_known or is_over or index >= self.settings.max_attempts:
            self.queue.post(lambda: self._end_unsent(action, index), request)
            return
        attempt = RequestAttempt(self, request, index, action.server, timeout_us)
        request.attempts_in_flight += 1
        self.metrics.record_attempt(action.server)
        request.attempts[index] = self.upstream.start_attempt(
            action.server, attempt.build_payload, timeout_us, attempt.on_end, attempt.on_response_start,
            attempt.may_start, action.write_deadline_us,
        )  # fmt: skip

    def _end_unsent(self, action: Send, index: int) -> Event:
        """Return the event of an attempt that was not started."""
        request = self.requests.by_key.get(action.request)
        is_finished = request is None or request.is_responded
        return AttemptEnded(action.request, index, action.server, Outcome.MOOT, 0, is_finished)

    def end_attempt(self, attempt: RequestAttempt, result: AttemptResult) -> Event:
        """Respond with what an attempt brought, if a response is due, and return the event of its end."""
        request, server, outcome = attempt.request, attempt.server, result.outcome
        request.attempts_in_flight -= 1
        self.metrics.record_outcome(server, outcome, result.latency_us)
        if self.on_attempt_outcome is not None:
            self.on_attempt_outcome(server, outcome, result.latency_us)
        request.has_timed_out = outcome is Outcome.TIMEOUT
        if request.stream is not None and attempt.index == request.streaming_attempt:
            self._end_stream(request, outcome)
        elif request.awaits_response() and outcome is Outcome.OK and result.reply is not None:
            self.requests.mark_responded(request)
            request.call.client.on_response(request.call, result.reply)
        self.requests.forget_if_over(request)
        is_finished, latency_us, load = request.is_responded, result.latency_us, result.load_report
        return AttemptEnded(request.key, attempt.index, server, outcome, latency_us, is_finished, load)

    def _end_stream(self, request: InFlightRequest, outcome: Outcome) -> None:
        """End a streamed response with its attempt, unless the client has gone."""
        stream, request.stream = request.stream, None
        if request.is_responded or stream is None:
            return
        self.requests.mark_responded(request)
        if outcome is Outcome.OK:
            stream.on_complete()
        else:
            stream.on_aborted()

    def cancel_attempt(self, action: Cancel) -> None:
        """Cancel an attempt that is out."""
        request = self.requests.by_key.get(action.request)
        if request is None or not 0 <= action.attempt < len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if attempt is not None:
            self.upstream.cancel_attempt(attempt)

    # Health checks

    def check_health(self, server: int) -> None:
        """Send a health check to a host that is on the list."""
        if self.hosts.has_host(server):
            self.upstream.send_health_check(
                server, lambda result: self.queue.post(lambda: self._end_health_check(server, result))
            )

    def _end_health_check(self, server: int, result: AttemptResult) -> Event:
        """Return the event of a health check's end."""
        return Probed(server, result.outcome, result.latency_us, result.load_report)
