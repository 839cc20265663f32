"""Events that wait to be handled, by what may be handled while the endpoint source catches up after a stall.

Invariants:
- endpoint lists come first: nothing is decided by an old list;
- urgent events come next, also during a hold, since nothing is sent for them;
- all other events wait for the end of a hold, or until the time of their request is over: they are urgent then, and
  the balancer answers them and can send nothing;
- an event is made in its turn and not when it is posted: it may be void by then (None).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from cloverkeel.balancing.events import Event, ListKind

from cloverkeel.core.clock import now_us
from cloverkeel.core.ports import Endpoint
from cloverkeel.core.request_table import InFlightRequest
from cloverkeel.core.stall_detector import StallDetector

PendingEvent = Callable[[], Event | None]


class EventProcessor:
    """What is told that events wait. A base class and not a protocol: its calls stay direct when compiled."""

    def process_events(self) -> None:
        """Handle what waits, unless that is under way."""
        raise NotImplementedError


class EventQueue:
    """Holds events in the order in which they may be handled."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, stall_detector: StallDetector, processor: EventProcessor
    ) -> None:
        self.loop = loop
        self.stall_detector = stall_detector
        self.processor = processor
        self.endpoint_lists: deque[tuple[ListKind, list[Endpoint]]] = deque()
        self.urgent: deque[PendingEvent] = deque()
        self.events: deque[tuple[PendingEvent, InFlightRequest | None]] = deque()

    def post(self, event: PendingEvent, request: InFlightRequest | None = None) -> None:
        """Queue an event, of a request or of none."""
        if self.stall_detector.is_holding:
            event = self._limit_wait(event, request)
        self.events.append((event, request))
        self.processor.process_events()

    def post_urgent(self, event: PendingEvent) -> None:
        """Queue an event that must not wait until the endpoint source has caught up."""
        self.urgent.append(event)
        self.processor.process_events()

    def post_endpoint_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Queue an endpoint list, ahead of whatever else waits."""
        self.endpoint_lists.append((kind, entries))
        self.processor.process_events()

    def next_event(self, may_send: bool) -> PendingEvent | None:
        """Take the next event that may be handled now; None if there is none."""
        if self.urgent:
            return self.urgent.popleft()
        if self.events and may_send:
            return self.events.popleft()[0]
        return None

    def limit_waits(self) -> None:
        """Let what waits now wait no longer than its request may: a hold has begun."""
        self.events = deque((self._limit_wait(event, request), request) for event, request in self.events)

    def _limit_wait(self, event: PendingEvent, request: InFlightRequest | None) -> PendingEvent:
        """Return an event that becomes urgent when its request's time is over, and is made once."""
        if request is None:
            return event
        is_waiting = True

        def make_once() -> Event | None:
            nonlocal is_waiting
            if not is_waiting:
                return None
            is_waiting = False
            return event()

        def on_deadline() -> None:
            if is_waiting and self.stall_detector.is_holding:
                self.post_urgent(make_once)

        self.loop.call_later(max(0, request.deadline_us - now_us()) / 1e6, on_deadline)
        return make_once
