"""Queue of events for the balancer, with holds: the times after a stall when the endpoint source catches up.

Invariants:
- endpoint lists are handled first, so that no decision is based on an outdated list;
- urgent events are next, also during a hold, because handling them sends nothing upstream;
- other events wait for the end of a hold, or until their request's deadline: then they become urgent, and the
  balancer answers the request without being able to send it;
- an event is created when it is handled, not when it is posted; it is None if it no longer applies by then.
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
    """Handles queued events. A base class, not a protocol, so that compiled code calls it directly."""

    def process_events(self) -> None:
        """Handle the queued events, unless a call is already doing so."""
        raise NotImplementedError


class EventQueue:
    """Queues events by priority: endpoint lists, urgent events, all other events."""

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
        """Queue an event; `request` is the request that it concerns, if any."""
        if self.stall_detector.is_holding:
            event = self._limit_wait(event, request)
        self.events.append((event, request))
        self.processor.process_events()

    def post_urgent(self, event: PendingEvent) -> None:
        """Queue an event that is handled even during a hold."""
        self.urgent.append(event)
        self.processor.process_events()

    def post_endpoint_list(self, kind: ListKind, entries: list[Endpoint]) -> None:
        """Queue an endpoint list, ahead of all other events."""
        self.endpoint_lists.append((kind, entries))
        self.processor.process_events()

    def next_event(self, may_send: bool) -> PendingEvent | None:
        """Remove and return the next event that may be handled now; None if there is none."""
        if self.urgent:
            return self.urgent.popleft()
        if self.events and may_send:
            return self.events.popleft()[0]
        return None

    def limit_waits(self) -> None:
        """Limit the wait of each queued event to its request's deadline. Called when a hold begins."""
        self.events = deque((self._limit_wait(event, request), request) for event, request in self.events)

    def _limit_wait(self, event: PendingEvent, request: InFlightRequest | None) -> PendingEvent:
        """Return an event that becomes urgent at its request's deadline and is created only once."""
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
