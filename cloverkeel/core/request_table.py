"""The requests in flight: which still await their response, and which attempts of theirs are out.

Invariants:
- a request key is never given twice, while a client's id may come again: the balancer knows a request by its key;
- a request gets one response at the most: `claim_response` gives each out once;
- a request is forgotten once it is responded and no attempt of it is in flight, and only it, never a later one with
  the same id.
"""

from __future__ import annotations

import itertools

from cloverkeel.core.calls import Call, FlowControl, ResponseStream

NO_ATTEMPT = -1


class InFlightRequest:
    """A request that awaits its response, or whose attempts are not all over."""

    __slots__ = (
        "attempts", "attempts_in_flight", "call", "deadline_us", "has_timed_out", "is_responded", "key", "stream",
        "streaming_attempt",
    )  # fmt: skip

    def __init__(self, call: Call, key: str, deadline_us: int) -> None:
        self.call = call
        self.key = key
        self.deadline_us = deadline_us
        self.attempts: list[FlowControl | None] = []  # None: never sent
        self.attempts_in_flight = 0
        self.is_responded = False  # or its client has gone: nothing more is due to it
        self.has_timed_out = False  # its last attempt
        self.streaming_attempt = NO_ATTEMPT  # index of the attempt whose large answer is streamed
        self.stream: ResponseStream | None = None  # where that goes

    def awaits_response(self) -> bool:
        """Tell whether a response is due, and none has begun."""
        return not self.is_responded and self.stream is None


class RequestTable:
    """Owns the requests in flight, by their key and by the client's id."""

    def __init__(self) -> None:
        self.by_key: dict[str, InFlightRequest] = {}
        self.by_client_id: dict[str, InFlightRequest] = {}
        self.keys = itertools.count(1)

    def has_client_id(self, client_id: str) -> bool:
        """Tell whether a request with this id is in flight."""
        return client_id in self.by_client_id

    def add(self, call: Call, deadline_us: int) -> InFlightRequest:
        """Add a client's request, whose id is not in flight, under a key of its own."""
        key = str(next(self.keys))
        request = InFlightRequest(call, key, deadline_us)
        self.by_key[key] = self.by_client_id[call.id_] = request
        return request

    def find_unanswered(self, call: Call) -> InFlightRequest | None:
        """Return the request of a call, unless nothing more is due to its client."""
        request = self.by_client_id.get(call.id_)
        if request is None or request.call is not call or request.is_responded:
            return None
        return request

    def claim_response(self, key: str) -> InFlightRequest | None:
        """Return a request that awaits its response, which counts as given from now on; None if it does not."""
        request = self.by_key.get(key)
        if request is None or not request.awaits_response():
            return None
        self.mark_responded(request)
        return request

    def mark_responded(self, request: InFlightRequest) -> None:
        """Note that nothing more is due to the client."""
        request.is_responded = True
        self.forget_if_over(request)

    def forget_if_over(self, request: InFlightRequest) -> None:
        """Forget a request that is responded and has no attempt in flight."""
        if not request.is_responded or request.attempts_in_flight:
            return
        self.by_key.pop(request.key, None)
        if self.by_client_id.get(request.call.id_) is request:
            del self.by_client_id[request.call.id_]
