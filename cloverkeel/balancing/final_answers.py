"""Final answers to requests without a successful attempt: refused if a retry is harmless, failed otherwise."""

from __future__ import annotations

from cloverkeel.balancing.action_buffer import ActionBuffer
from cloverkeel.balancing.actions import Fail, Refuse
from cloverkeel.balancing.attempts import Request
from cloverkeel.balancing.circuit_breaker import BreakerState
from cloverkeel.balancing.endpoints import Endpoints
from cloverkeel.balancing.settings import Effect, Scope, Settings


class FinalAnswers:
    """Give final answers to requests without a successful attempt."""

    def __init__(self, settings: Settings, endpoints: Endpoints, buffer: ActionBuffer) -> None:
        self.settings = settings
        self.endpoints = endpoints
        self.buffer = buffer

    def give(self, now_us: int, request: Request, reason: str) -> None:
        """Refuse a request if a retry by the client is harmless, else fail it; `reason` is counted in metrics."""
        class_ = self.settings.classes[request.class_index]
        all_servers_drop_repeats = class_.effect is Effect.KEYED and class_.scope is Scope.ALL
        if not request.may_have_run() or class_.effect is Effect.SAFE or all_servers_drop_repeats:
            self.buffer.actions.append(Refuse(request.id_, self.retry_after_us(now_us), reason))
        else:
            self.buffer.actions.append(Fail(request.id_))

    def retry_after_us(self, now_us: int) -> int:
        """Return the shortest remaining cooldown if every server's breaker is open, else 0."""
        breakers = [endpoint.breaker for endpoint in self.endpoints.by_server.values()]
        if not breakers or any(breaker.state is not BreakerState.OPEN for breaker in breakers):
            return 0
        wait_us = min(breaker.open_until_us for breaker in breakers) - now_us
        return max(0, min(wait_us, self.settings.max_retry_after_us))
