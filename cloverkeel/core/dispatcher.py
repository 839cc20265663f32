"""Carries out the balancer's actions: attempts, final responses, timers, endpoint lists and health checks.

This module makes no balancing decisions. The outcome of an attempt is posted to the event queue.
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
from cloverkeel.core.request_ids import RequestIds
from cloverkeel.core.request_table import NO_ATTEMPT, InFlightRequest, RequestTable


class RequestAttempt:
    """One attempt of a request; its methods are the callbacks that the upstream calls."""

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
        """Return whether the client still waits for the response.

        Prevents sending a request that was answered or abandoned while its connection was being established.
        """
        request = self.request
        if request.call.client.may_have_left():
            self.dispatcher.metrics.record_event("unread input")
            return False
        return request.awaits_response() and not request.call.client.has_disconnected()

    def build_payload(self, at_us: int) -> list[bytes]:
        """Return the request with the remaining time at `at_us`, when it is written.

        The time is not computed earlier because the connection may take long to establish.
        """
        call = self.request.call
        left_us = self.timeout_us - (at_us - self.started_us)
        budget_ms = str(max(1, left_us // 1000)).encode()
        head_and_body = [b"".join((call.head, b"X-Budget-Ms: ", budget_ms, b"\r\n\r\n", call.body))]
        return head_and_body if call.body_chunks is None else head_and_body + call.body_chunks

    def on_response_start(self, reply: Reply, length: int | None, _latency_us: int) -> ResponseStream | None:
        """Stream a large successful response to the client, unless another attempt's response started earlier."""
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
        """Post the outcome. A successful response is delivered to the client even during a hold."""
        dispatcher = self.dispatcher
        if result.outcome is Outcome.OK and dispatcher.queue.stall_detector.is_holding:
            dispatcher.queue.post_urgent(lambda: dispatcher.end_attempt(self, result))
        else:
            dispatcher.queue.post(lambda: dispatcher.end_attempt(self, result), self.request)


class ActionDispatcher:
    """Carries out actions, and posts the outcomes of attempts as events."""

    def __init__(
        self, settings: Settings, requests: RequestTable, queue: EventQueue, timers: LoopTimers,
        metrics: GatewayMetrics, hosts: HostTable, upstream: Upstream, endpoint_source: EndpointSource,
        request_ids: RequestIds,
    ) -> None:  # fmt: skip
        self.settings = settings
        self.requests = requests
        self.queue = queue
        self.timers = timers
        self.metrics = metrics
        self.hosts = hosts
        self.upstream = upstream
        self.endpoint_source = endpoint_source
        self.request_ids = request_ids
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
        """Schedule a timer whose event is posted when it expires."""
        self.timers.schedule(due_us, lambda: self.queue.post(lambda: TimerFired(token)))

    # Responses

    def reject_request(self, action: Refuse) -> None:
        """Send a rejection to the client, if the request still awaits its response."""
        request = self.requests.claim_response(action.request)
        if request is not None:
            self.metrics.record_rejection(request.call.class_index, action.reason)
            self.request_ids.release(request.call)
            request.call.client.on_rejected(request.call, action.retry_after_us)

    def fail_request(self, key: str) -> None:
        """Send a failure to the client, if the request still awaits its response."""
        request = self.requests.claim_response(key)
        if request is not None:
            self.metrics.failed_by_class[request.call.class_index] += 1
            request.call.client.on_failed(request.call, request.has_timed_out)

    def on_client_disconnected(self, call: Call) -> None:
        """Abandon a request whose client disconnected."""
        request = self.requests.find_unanswered(call)
        if request is None:
            return
        request.is_responded = True
        if request.streaming_attempt != NO_ATTEMPT:
            attempt = request.attempts[request.streaming_attempt]
            if attempt is not None:
                self.upstream.cancel_attempt(attempt)  # the balancer does not cancel a streaming attempt
        self.queue.post(lambda: self._end_abandoned(request))

    def _end_abandoned(self, request: InFlightRequest) -> Event:
        """Return the event of an abandoned request.

        The request stays in the table until the event is handled: until then the balancer may start further attempts
        of it, which end with the outcome MOOT.
        """
        self.requests.mark_responded(request)
        return RequestGone(request.key)

    # Attempts

    def send_attempt(self, action: Send) -> None:
        """Start an attempt; if it can no longer be started, it ends with the outcome MOOT."""
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
        """Return the end event of an attempt that was not started."""
        request = self.requests.by_key.get(action.request)
        is_finished = request is None or request.is_responded
        return AttemptEnded(action.request, index, action.server, Outcome.MOOT, 0, is_finished)

    def end_attempt(self, attempt: RequestAttempt, result: AttemptResult) -> Event:
        """Deliver the response of an attempt, if the client awaits one, and return the attempt's end event."""
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
        """End a streamed response when its attempt ends, unless the client disconnected."""
        stream, request.stream = request.stream, None
        if request.is_responded or stream is None:
            return
        self.requests.mark_responded(request)
        if outcome is Outcome.OK:
            stream.on_complete()
        else:
            stream.on_aborted()

    def cancel_attempt(self, action: Cancel) -> None:
        """Cancel an attempt in flight."""
        request = self.requests.by_key.get(action.request)
        if request is None or not 0 <= action.attempt < len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if attempt is not None:
            self.upstream.cancel_attempt(attempt)

    # Health checks

    def check_health(self, server: int) -> None:
        """Send a health check to a host, if it is still on the endpoint list."""
        if self.hosts.has_host(server):
            self.upstream.send_health_check(
                server, lambda result: self.queue.post(lambda: self._end_health_check(server, result))
            )

    def _end_health_check(self, server: int, result: AttemptResult) -> Event:
        """Return the event that reports the result of a health check."""
        return Probed(server, result.outcome, result.latency_us, result.load_report)
