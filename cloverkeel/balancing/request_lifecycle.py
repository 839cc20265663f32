"""Lifecycle of a request: its arrival, its attempts and its final answer.

Invariants: each request gets at most one final answer; a request is kept until none of its attempts is in flight; a
request that may have run is sent again only if its class allows it.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.balancing.actions import Fail
from cloverkeel.balancing.attempt_sender import AttemptSender
from cloverkeel.balancing.attempts import Request
from cloverkeel.balancing.events import NEVER_RAN, AttemptEnded, Outcome, RequestArrived, RequestGone, StreamStarted
from cloverkeel.balancing.final_answers import FinalAnswers
from cloverkeel.balancing.key_queues import KeyQueues
from cloverkeel.balancing.latency_model import WorkModel
from cloverkeel.balancing.outlier_detection import OutlierDetector
from cloverkeel.balancing.retry_budget import ERROR_RETRY_COST, FULL_RETRY_COST, RetryBudget
from cloverkeel.balancing.settings import Effect, Settings
from cloverkeel.balancing.tenant_fairness import TenantFairness

MAY_STILL_RUN: Final = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED})


class RequestLifecycle:
    """Keep the requests in flight, and handle the events that concern them."""

    def __init__(
        self,
        settings: Settings,
        work: WorkModel,
        retry_budget: RetryBudget,
        outliers: OutlierDetector,
        sender: AttemptSender,
        final_answers: FinalAnswers,
    ) -> None:
        self.settings = settings
        self.work = work
        self.retry_budget = retry_budget
        self.outliers = outliers
        self.sender = sender
        self.final_answers = final_answers
        # State shared with the objects above.
        self.latency = sender.latency
        self.load_shedder = sender.load_shedder
        self.client_timeouts = outliers.client_timeouts
        self.timers = sender.timers
        self.expiry_scan = sender.expiry_scan
        self.buffer = sender.buffer
        self.tenant_fairness = TenantFairness(settings)
        self.key_queues = KeyQueues()
        self.requests: dict[str, Request] = {}

    def on_request_arrived(self, now_us: int, event: RequestArrived) -> None:
        """Send a request, queue it behind earlier requests of its key, or refuse it."""
        if event.request in self.requests:
            self.buffer.log(now_us, f"balancer: duplicate request ignored, request={event.request}")
            return
        if not 0 <= event.class_index < len(self.settings.classes):
            self.buffer.log(now_us, f"balancer: unknown class, request={event.request} class={event.class_index}")
            self.buffer.actions.append(Fail(event.request))
            return
        request = self.create_request(now_us, event)
        self.requests[request.id_] = request
        if self.load_shedder.should_shed(now_us, request):
            self.answer_unserved(now_us, request, "shed")
        elif not self.waits_for_key(now_us, request) and not self.sender.send(now_us, request):
            self.answer_unserved(now_us, request, "none")

    def create_request(self, now_us: int, event: RequestArrived) -> Request:
        """Update the statistics of clients with a request, and return its new state."""
        class_index = event.class_index
        used_us = self.client_timeouts.record(event)
        is_first_try = not event.is_retry and used_us == 0
        size = self.work.record(class_index, event.work_us)
        if is_first_try:
            self.retry_budget.deposit(now_us)
            self.load_shedder.record_first_try(class_index)
        return Request(
            event.request,
            class_index,
            event.key,
            now_us + event.client_timeout_us,
            now_us + max(0, self.settings.classes[class_index].objective_us - used_us),
            size,
            is_first_try,
            self.tenant_fairness.record(event.tenant),
        )

    def waits_for_key(self, now_us: int, request: Request) -> bool:
        """Queue a request of an in-order class under its key; return True if it must not be sent now.

        A request that could not be answered in time behind those already queued is refused at once, which bounds the
        length of the queue.
        """
        if request.key is None or not self.settings.classes[request.class_index].in_order:
            return False
        expected_us = self.latency.expected_us(request.class_index, request.size)
        latest_send_us = self.sender.attempt_deadline_us(now_us, request) - int(expected_us)
        length = self.key_queues.length(request.key)
        if length and now_us + length * expected_us > latest_send_us:
            self.answer_unserved(now_us, request)
            return True
        if self.key_queues.append(request.key, request):
            return False
        self.timers.start(latest_send_us, request)
        return True

    def remove(self, now_us: int, request: Request) -> None:
        """Remove a finished request; if its class is `in_order`, send the next request of its key.

        The next request is not sent before this request's `key_blocked_until_us`.

        The id alone does not identify the request: its timer may fire after a client has reused the id for another.
        """
        if self.requests.get(request.id_) is request:
            del self.requests[request.id_]
        key = request.key
        if key is None or not self.key_queues.contains(request):
            return
        if now_us < request.key_blocked_until_us:
            self.timers.start(request.key_blocked_until_us, request)
            return
        next_request = self.key_queues.remove(key, request)
        if next_request is None or next_request.is_answered:
            return
        if not self.sender.send(now_us, next_request):
            self.answer_unserved(now_us, next_request)

    def answer_unserved(self, now_us: int, request: Request, reason: str = "turn") -> None:
        """Give the final answer to a request without a successful attempt, if it has none yet."""
        if not request.is_answered:
            self.final_answers.give(now_us, request, reason)
            self.finish(now_us, request)

    def finish(self, now_us: int, request: Request) -> None:
        """Mark a request as answered; cancel its attempts that are still in flight."""
        request.is_answered = True
        if request.in_flight == 0:
            self.remove(now_us, request)
        elif not request.is_streaming:
            self.sender.cancel_attempts(request)

    def on_request_gone(self, now_us: int, event: RequestGone) -> None:
        """Finish a request whose client has disconnected."""
        request = self.requests.get(event.request)
        if request is not None and not request.is_answered:
            self.finish(now_us, request)

    def on_answer_all(self, now_us: int) -> None:
        """Answer all requests in flight, except those that are streaming, as the process is shutting down."""
        for request in [request for request in self.requests.values() if not request.is_streaming]:
            self.answer_unserved(now_us, request, "ending")

    def on_stream_started(self, now_us: int, event: StreamStarted) -> None:
        """Cancel other attempts, and stop counting the streaming attempt as in flight at its server.

        The server has answered. However long the rest of the response takes, the attempt must not make the server
        count as silent or use up its concurrency limit.
        """
        request = self.requests.get(event.request)
        if request is None or request.is_answered or not 0 <= event.attempt < len(request.attempts):
            return
        request.is_streaming = True
        if request.is_first_try and now_us <= request.objective_us:
            self.load_shedder.record_served(request.class_index)
        attempt = request.attempts[event.attempt]
        attempt.server.in_flight.pop(attempt, None)
        self.sender.cancel_attempts(request, event.attempt)

    def on_timer_fired(self, now_us: int, token: int) -> None:
        """Handle the expiry of a request's timer.

        One of its attempts is overdue, the delay before the next request with the same key is over, or the request
        was queued for too long.
        """
        request = self.timers.pop(token)
        if request is None:
            return
        if request.in_flight == 0:
            self.answer_and_remove(now_us, request)
        elif not request.is_answered:
            self.on_attempt_overdue(now_us, request)

    def answer_and_remove(self, now_us: int, request: Request) -> None:
        """Remove a request with no attempt in flight, giving its final answer first if it has none."""
        if request.is_answered:
            self.remove(now_us, request)
        else:
            self.answer_unserved(now_us, request)

    def on_attempt_overdue(self, now_us: int, request: Request) -> None:
        """Send a hedged request if an attempt is overdue and the settings allow it.

        While low-priority requests are shed or no retry token is available, nothing is sent: hedging under overload
        would add load and so cause more hedging.
        """
        if request.is_streaming:
            return
        overdue = [attempt for attempt in request.attempts if not attempt.has_ended]
        for attempt in overdue:
            attempt.is_overdue = True
        if not overdue or not self.settings.may_hedge or self.load_shedder.low_priority_ratio > 0.0:
            return
        if not self.retry_budget.can_withdraw(now_us, FULL_RETRY_COST):
            return
        if len(request.attempts) < self.settings.max_attempts and self.sender.send(now_us, request):
            self.retry_budget.withdraw(FULL_RETRY_COST)

    def on_attempt_ended(self, now_us: int, event: AttemptEnded) -> None:
        """Record an attempt's outcome, and finish or retry its request."""
        request = self.requests.get(event.request)
        if request is None or not 0 <= event.attempt < len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if attempt.has_ended:
            return
        full_may_have_run = event.outcome is Outcome.FULL and self.settings.full_unproven
        attempt.may_have_run = event.outcome not in NEVER_RAN or full_may_have_run
        if event.outcome in MAY_STILL_RUN:
            request.key_blocked_until_us = now_us + self.settings.key_rest_us
        self.sender.record_end(request, attempt)
        self.outliers.record_outcome(now_us, request, attempt, event)
        if request.is_answered:
            if request.in_flight == 0:
                self.remove(now_us, request)
        elif event.finished or event.outcome is Outcome.OK or request.is_streaming:
            self.record_served(now_us, request, event.outcome)
            self.finish(now_us, request)
        elif request.in_flight == 0:
            self.retry(now_us, request, event.outcome)

    def record_served(self, now_us: int, request: Request, outcome: Outcome) -> None:
        """Count a first try that was answered within its objective; a streamed one was counted when it started."""
        if outcome is not Outcome.OK or request.is_streaming or not request.is_first_try:
            return
        if now_us <= request.objective_us:
            self.load_shedder.record_served(request.class_index)

    def retry(self, now_us: int, request: Request, outcome: Outcome) -> None:
        """Retry a request after its last attempt in flight has failed, or give its final answer."""
        may_have_run = request.may_have_run()
        cost = FULL_RETRY_COST if outcome is Outcome.TIMEOUT else ERROR_RETRY_COST
        if self.can_retry(now_us, request, outcome, may_have_run, cost) and self.sender.send(now_us, request):
            if may_have_run:
                self.retry_budget.withdraw(cost)
        else:
            self.answer_unserved(now_us, request, outcome.value)

    def can_retry(self, now_us: int, request: Request, outcome: Outcome, may_have_run: bool, cost: float) -> bool:
        """Return whether to retry a request; if it may have run, it must not be unsafe and needs retry tokens."""
        # Evaluated first, so that whether should_shed draws random numbers does not depend on the other conditions.
        if outcome is Outcome.TIMEOUT:
            is_shed = self.load_shedder.low_priority_ratio > 0.0
        else:
            is_shed = self.load_shedder.should_shed(now_us, request)
        remaining_us = self.sender.attempt_deadline_us(now_us, request) - now_us
        if remaining_us <= self.latency.expected_unloaded_us(request.class_index, request.size):
            return False
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if not may_have_run:
            return True
        if is_shed or self.settings.classes[request.class_index].effect is Effect.UNSAFE:
            return False
        return self.retry_budget.can_withdraw(now_us, cost)

    def on_expiry_scan(self, now_us: int) -> None:
        """End attempts that have expired, and schedule the next scan while any attempt is in flight."""
        if self.expiry_scan.begin(now_us) and self.sender.in_flight:
            for request in list(self.requests.values()):
                self.expire_attempts(now_us, request)
        if self.sender.in_flight:
            self.expiry_scan.schedule(now_us)

    def expire_attempts(self, now_us: int, request: Request) -> None:
        """End a request's attempts that have expired."""
        expired = self.expiry_scan.expired_attempts(now_us, request)
        if not expired:
            return
        for attempt in expired:
            self.sender.record_end(request, attempt)
            attempt.server.breaker.abandon_probe(attempt.probe_episode)
            health = attempt.server.class_health(request.class_index)
            health.breaker.abandon_probe(attempt.class_probe_episode)
        server = expired[0].server.entry.server
        self.buffer.log(now_us, f"balancer: DEFECT: attempt expired, request={request.id_} server={server}")
        if request.in_flight == 0:
            self.answer_and_remove(now_us, request)
