"""Check that each request gets one complete response in time, and that nothing is sent after it.

Requests that a gateway's process held when it was killed or stopped are excused: the client repeats them.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from standins.checker.observations import Observations
from standins.checker.process_history import FOREVER_US
from standins.checker.timeline import request_violation
from standins.checker.violations import Rule, Violation
from standins.event_log import BackendAttempt, RequestSent, ResponseMissing, ResponseReceived

STATUS_OK: Final = 200
MAX_SHOWN_BYTES: Final = 60
MISBEHAVING_ID_PREFIX: Final = "rude-"  # of the request ids of clients that break the protocol


class ResponseCheck:
    """Check each request's response."""

    def __init__(self, observations: Observations) -> None:
        self._observations = observations
        self._rules = observations.rules
        self._delays = observations.delays

    def check_request(self, id_: str) -> Iterator[Violation]:
        """Yield the violations of the response to a request, or of its absence."""
        request = self._observations.requests_by_id[id_][-1]
        outcomes = self._observations.outcomes_by_id.get(id_, [])
        responses = [outcome for outcome in outcomes if isinstance(outcome, ResponseReceived)]
        if len(responses) > 1:
            yield self._violation(id_, responses[1].at_us, "a second response")
        if not outcomes:
            yield from self._check_silence(request)
            return
        outcome = outcomes[0]
        if isinstance(outcome, ResponseMissing):
            yield from self._check_lost_connection(request, outcome)
            return
        yield from self._check_deadline(request, outcome)
        if outcome.status == STATUS_OK:
            yield from self._check_origin(outcome)
        yield from self._check_attempts_after(outcome)

    def check_was_sent(self, id_: str) -> Iterator[Violation]:
        """Yield a violation if a backend received a request that no client sent."""
        if id_ in self._observations.requests_by_id:
            return
        if id_.startswith(MISBEHAVING_ID_PREFIX):
            return
        first = self._observations.attempts_by_id[id_][0]
        yield self._violation(id_, first.at_us, "a backend received a request that no client sent")

    def check_unexpected_bytes(self) -> Iterator[Violation]:
        """Yield a violation for each client that received bytes when no response was due."""
        for event in self._observations.unexpected_bytes:
            description = f"bytes when no response was due: {event.data[:MAX_SHOWN_BYTES]!r}"
            yield self._violation(event.id, event.at_us, description)

    def _check_silence(self, request: RequestSent) -> Iterator[Violation]:
        deadline_us = self._deadline_us(request)
        if self._disconnected_us(request) != FOREVER_US:
            return
        if self._observations.end_us <= deadline_us:
            return
        if not self._is_excused(request, deadline_us):
            yield self._violation(request.id, deadline_us, "no response")

    def _check_lost_connection(self, request: RequestSent, outcome: ResponseMissing) -> Iterator[Violation]:
        # The request is lost both by a close before the deadline and by silence until after it.
        if self._disconnected_us(request) <= outcome.at_us:
            return
        if self._is_excused(request, outcome.at_us):
            return
        description = f"the connection ended without a complete response ({outcome.how})"
        if outcome.how == "none":
            description = "no response before the deadline"
        yield self._violation(request.id, outcome.at_us, description)

    def _check_deadline(self, request: RequestSent, response: ResponseReceived) -> Iterator[Violation]:
        deadline_us = self._deadline_us(request)
        stalled_us = self._delays.stalled_us(deadline_us - self._rules.slack_us, response.at_us)
        late_us = response.at_us - deadline_us - stalled_us
        if late_us <= 0:
            return
        if self._disconnected_us(request) <= deadline_us:
            return
        if not self._is_excused(request, response.at_us):
            description = f"response {late_us / 1e3:.1f} ms after the deadline and the tolerance"
            yield self._violation(request.id, response.at_us, description)

    def _check_origin(self, response: ResponseReceived) -> Iterator[Violation]:
        is_own = response.echoed_id == response.id
        attempts = self._observations.attempts_by_id.get(response.id, [])
        was_served = any(is_served_by(attempt, response.at_us) for attempt in attempts)
        if is_own and was_served:
            return
        description = "served with a response that no backend produced for it"
        if not is_own:
            description += f" (the body names {response.echoed_id!r})"
        yield self._violation(response.id, response.at_us, description)

    def _check_attempts_after(self, response: ResponseReceived) -> Iterator[Violation]:
        for attempt in self._observations.attempts_by_id.get(response.id, []):
            after_us = attempt.at_us - response.at_us - self._rules.slack_us
            if after_us > self._delays.stalled_us(response.at_us, attempt.at_us):
                description = f"sent to {attempt.backend} after the final response"
                yield self._violation(response.id, attempt.at_us, description)

    def _deadline_us(self, request: RequestSent) -> int:
        return request.at_us + request.budget_us + self._rules.slack_us

    def _disconnected_us(self, request: RequestSent) -> int:
        return self._observations.disconnected_us_by_id.get(request.id, FOREVER_US)

    def _is_excused(self, request: RequestSent, until_us: int) -> bool:
        return self._observations.processes.is_loss_excused(request.gateway, request.at_us, until_us)

    def _violation(self, id_: str, at_us: int, description: str) -> Violation:
        return request_violation(self._observations, id_, Rule.MISSING, at_us, description)


def is_served_by(attempt: BackendAttempt, at_us: int) -> bool:
    """Tell whether the attempt had produced a response by `at_us`."""
    return attempt.how in ("ok", "duplicate") and attempt.ended_us <= at_us
