"""Table of requests in flight, with their attempts and whether they still await a response.

Invariants:
- request keys are unique, while clients may reuse ids: the balancer identifies a request by its key;
- a request gets at most one response: `claim_response` returns each request at most once;
- a request is removed once it is answered and none of its attempts is in flight; a later request with the same id is
  not removed with it.
"""

from __future__ import annotations

import itertools

from cloverkeel.core.calls import Call, FlowControl, ResponseStream

NO_ATTEMPT = -1


class InFlightRequest:
    """A request that awaits its response or has attempts in flight."""

    __slots__ = (
        "attempts", "attempts_in_flight", "call", "deadline_us", "has_timed_out", "is_responded", "key", "stream",
        "streaming_attempt",
    )  # fmt: skip

    def __init__(self, call: Call, key: str, deadline_us: int) -> None:
        self.call = call
        self.key = key
        self.deadline_us = deadline_us
        self.attempts: list[FlowControl | None] = []  # by attempt index; None: never sent
        self.attempts_in_flight = 0
        self.is_responded = False  # also True if the client disconnected: nothing more is sent to it
        self.has_timed_out = False  # the attempt that ended last timed out
        self.streaming_attempt = NO_ATTEMPT  # index of the attempt whose response is streamed
        self.stream: ResponseStream | None = None  # receiver of the streamed response; None: nothing is streamed

    def awaits_response(self) -> bool:
        """Return whether the client awaits a response and none has started."""
        return not self.is_responded and self.stream is None


class RequestTable:
    """Requests in flight, by key and by the client's id."""

    def __init__(self) -> None:
        self.by_key: dict[str, InFlightRequest] = {}
        self.by_client_id: dict[str, InFlightRequest] = {}
        self.keys = itertools.count(1)

    def has_client_id(self, client_id: str) -> bool:
        """Return whether a request with this id is in flight."""
        return client_id in self.by_client_id

    def add(self, call: Call, deadline_us: int) -> InFlightRequest:
        """Add a client's request under a new key; its id must not be in flight."""
        key = str(next(self.keys))
        request = InFlightRequest(call, key, deadline_us)
        self.by_key[key] = self.by_client_id[call.id_] = request
        return request

    def find_unanswered(self, call: Call) -> InFlightRequest | None:
        """Return the request of a call; None if it is unknown or already responded."""
        request = self.by_client_id.get(call.id_)
        if request is None or request.call is not call or request.is_responded:
            return None
        return request

    def claim_response(self, key: str) -> InFlightRequest | None:
        """Mark a request as responded and return it; None if it does not await a response."""
        request = self.by_key.get(key)
        if request is None or not request.awaits_response():
            return None
        self.mark_responded(request)
        return request

    def mark_responded(self, request: InFlightRequest) -> None:
        """Mark a request as responded: nothing more is sent to its client."""
        request.is_responded = True
        self.forget_if_over(request)

    def forget_if_over(self, request: InFlightRequest) -> None:
        """Remove a request that is responded and has no attempt in flight."""
        if not request.is_responded or request.attempts_in_flight:
            return
        self.by_key.pop(request.key, None)
        if self.by_client_id.get(request.call.id_) is request:
            del self.by_client_id[request.call.id_]
