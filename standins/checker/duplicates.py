"""Check that no request takes effect twice.

An unsafe request may be sent again only if each earlier attempt was rejected or was not received completely. A
request with an idempotency key that may have run may be sent again only within the idempotency window, and only to a
backend of the same group: the backends of a group share the idempotency keys that they have run. A request of either
kind that may have run must not be answered with 429 or 503, because clients repeat refused requests.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import pairwise
from typing import Final

from standins.checker.observations import Observations
from standins.checker.process_history import FOREVER_US, ProcessLifetime
from standins.checker.timeline import request_violation
from standins.checker.violations import Rule, Violation
from standins.event_log import BackendAttempt, ResponseReceived
from standins.site import RequestClass

REFUSAL_STATUSES: Final = (429, 503)


class DuplicateCheck:
    """Check the repeated attempts of each request."""

    def __init__(self, observations: Observations) -> None:
        self._observations = observations
        self._rules = observations.rules

    def check_request(self, id_: str) -> Iterator[Violation]:
        """Yield the violations among the attempts of a request."""
        attempts = sorted(self._observations.attempts_by_id.get(id_, []), key=lambda attempt: attempt.at_us)
        received = [attempt for attempt in attempts if attempt.received_us]
        yield from self._check_attempts_by_process(id_, received)
        first = self._observations.requests_by_id[id_][0]
        request_class = self._observations.classes.get(first.request_class)
        if request_class is None:
            return
        if request_class.effect == "safe":
            return
        for index, attempt in enumerate(received):
            yield from self._check_repeat(request_class, attempt, received[:index])
        yield from self._check_refusals(id_, received)

    def _check_attempts_by_process(self, id_: str, attempts: Sequence[BackendAttempt]) -> Iterator[Violation]:
        """Check how often one process sent the request, and whether two of its attempts were in flight together."""
        attempts_by_process: dict[ProcessLifetime | None, list[BackendAttempt]] = defaultdict(list)
        for attempt in attempts:
            attempts_by_process[self._observations.process_of(attempt)].append(attempt)
        for process_attempts in attempts_by_process.values():
            yield from self._check_attempt_count(id_, process_attempts)
            if not self._rules.second_copies:
                yield from self._check_concurrent_attempts(id_, process_attempts)

    def _check_attempt_count(self, id_: str, attempts: Sequence[BackendAttempt]) -> Iterator[Violation]:
        max_attempts = self._rules.attempts
        if len(attempts) > max_attempts:
            description = f"sent {len(attempts)} times, {max_attempts} at most"
            yield self._violation(id_, attempts[max_attempts].at_us, description)

    def _check_concurrent_attempts(self, id_: str, attempts: Sequence[BackendAttempt]) -> Iterator[Violation]:
        for earlier, attempt in pairwise(attempts):
            ended_us = earlier.ended_us - self._rules.slack_us if earlier.ended_us else FOREVER_US
            if attempt.at_us < ended_us:
                description = f"sent to {attempt.backend} while an attempt at {earlier.backend} is in flight"
                yield self._violation(id_, attempt.at_us, description)

    def _check_repeat(
        self, request_class: RequestClass, attempt: BackendAttempt, before: Sequence[BackendAttempt]
    ) -> Iterator[Violation]:
        sender = self._observations.sender_of(attempt)
        earlier = self._attempts_that_may_have_run(before, sender, attempt.at_us)
        if not earlier:
            return
        first = earlier[0]
        if request_class.effect == "unsafe":
            description = f"sent to {attempt.backend} although it may have run at {first.backend}"
            yield self._violation(attempt.id, attempt.at_us, description)
            return
        age_us = attempt.at_us - first.at_us
        if any(other.group != attempt.group for other in earlier):
            description = f"repeated at {attempt.backend}, not in the group of {first.backend}, where it may have run"
            yield self._violation(attempt.id, attempt.at_us, description)
        elif age_us >= request_class.window_us:
            description = f"repeated {age_us / 1e6:.3f} s after it was first sent; "
            description += f"backends drop repeats for {request_class.window_us / 1e6:g} s"
            yield self._violation(attempt.id, attempt.at_us, description)

    def _check_refusals(self, id_: str, attempts: Sequence[BackendAttempt]) -> Iterator[Violation]:
        """Check that no request that may have run was refused, because clients repeat refused requests."""
        gateway = self._observations.requests_by_id[id_][-1].gateway
        for outcome in self._observations.outcomes_by_id.get(id_, []):
            if not isinstance(outcome, ResponseReceived):
                continue
            if outcome.status not in REFUSAL_STATUSES:
                continue
            before = [attempt for attempt in attempts if attempt.at_us <= outcome.at_us]
            possibly_run = self._attempts_that_may_have_run(before, gateway, outcome.at_us)
            if possibly_run:
                description = (
                    f"refused with {outcome.status}, so a client repeats it, but it may have run"
                    f" at {possibly_run[0].backend}"
                )
                yield self._violation(id_, outcome.at_us, description)

    def _attempts_that_may_have_run(
        self, attempts: Sequence[BackendAttempt], gateway: str, at_us: int
    ) -> list[BackendAttempt]:
        """Return the attempts of which the gateway had to assume at `at_us` that they may have run."""
        return [
            attempt
            for attempt in attempts
            if not was_rejected(attempt, at_us) and not self._was_lost_with_its_process(attempt, gateway, at_us)
        ]

    def _was_lost_with_its_process(self, attempt: BackendAttempt, gateway: str, at_us: int) -> bool:
        """Tell whether a process that was killed sent the attempt, and not the gateway's process at `at_us`.

        A client may then repeat the request.
        """
        sender = self._observations.process_of(attempt)
        if sender is None:
            return False
        if sender.kill_us > at_us:
            return False
        return sender is not self._observations.processes.process_at(gateway, at_us)

    def _violation(self, id_: str, at_us: int, description: str) -> Violation:
        return request_violation(self._observations, id_, Rule.DUPLICATE, at_us, description)


def was_rejected(attempt: BackendAttempt, by_us: int) -> bool:
    """Tell whether the backend had rejected the attempt by `by_us`, so that the sender knows that it did not run."""
    return attempt.how == "rejected" and 0 < attempt.ended_us <= by_us
