"""The events of a log, indexed for the checks by request, gateway and backend."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, replace
from typing import Final

from standins.checker.notifications import NotificationHistory
from standins.checker.process_history import ProcessHistory, ProcessLifetime
from standins.checker.scheduling_delays import SchedulingDelays
from standins.event_log import (
    BackendAttempt,
    BackendStarted,
    BackendStopped,
    ClientDisconnected,
    DiscoveryPoll,
    EndpointChanged,
    Event,
    EventLog,
    ManualEjection,
    MisbehavingClient,
    NotificationDelivered,
    ProcessEvent,
    RequestSent,
    ResourceUsage,
    ResponseMissing,
    ResponseReceived,
    RuleOverrides,
    SchedulingDelay,
    UnexpectedBytes,
)
from standins.site import CLASSES, Rules

Outcome = ResponseReceived | ResponseMissing
COLLAPSED: Final = "fell"  # `BackendStopped.how` of a backend that collapsed under overload in slow start


@dataclass(slots=True, frozen=True)
class BackendIncarnation:
    """Identifies one process of a backend."""

    backend: str
    incarnation: int


class Observations:
    """What all parties of a run observed. `rules`, if given, take the place of the log's own."""

    def __init__(self, event_log: EventLog, rules: Rules | None = None) -> None:
        self.rules = rules or Rules()
        self.has_fixed_rules = rules is not None
        self.classes = dict(CLASSES)
        self.requests_by_id: dict[str, list[RequestSent]] = defaultdict(list)
        self.outcomes_by_id: dict[str, list[Outcome]] = defaultdict(list)
        self.attempts_by_id: dict[str, list[BackendAttempt]] = defaultdict(list)
        self.disconnected_us_by_id: dict[str, int] = {}
        self.usage_by_gateway: dict[str, list[ResourceUsage]] = defaultdict(list)
        self.unexpected_bytes: list[UnexpectedBytes] = []
        self.misbehaving_clients: list[MisbehavingClient] = []
        self.backend_starts: list[BackendStarted] = []
        self.backend_collapses: list[BackendStopped] = []
        self.processes = ProcessHistory()
        self.delays = SchedulingDelays()
        self.notifications = NotificationHistory()
        self.end_us = 0
        self._changes: list[EndpointChanged] = []
        self._polls: list[DiscoveryPoll] = []
        for event in event_log.events:
            self.end_us = max(self.end_us, event.at_us)
            self._record(event)
        self.notifications.add_missed_changes(
            self._changes, self._polls, self.processes, self.rules.ask_us, self.end_us
        )

    def process_of(self, attempt: BackendAttempt) -> ProcessLifetime | None:
        """Return the gateway's process that sent an attempt."""
        return self.processes.process_at(self.sender_of(attempt), attempt.at_us)

    def sender_of(self, attempt: BackendAttempt) -> str:
        """Return the gateway that sent an attempt.

        It is the gateway that the link recorded, or else the one to which a client had last sent the request.
        """
        if attempt.gateway:
            return attempt.gateway
        requests = self.requests_by_id.get(attempt.id, [])
        earlier = [request for request in requests if request.at_us <= attempt.at_us]
        return earlier[-1].gateway if earlier else ""

    def _record(self, event: Event) -> None:
        match event:
            case RequestSent() | ResponseReceived() | ResponseMissing() | BackendAttempt() | ClientDisconnected():
                self._record_request_event(event)
            case UnexpectedBytes():
                self.unexpected_bytes.append(event)
            case MisbehavingClient():
                self.misbehaving_clients.append(event)
            case NotificationDelivered() | ManualEjection() | EndpointChanged() | DiscoveryPoll():
                self._record_discovery_event(event)
            case ProcessEvent():
                self.processes.record(event)
            case ResourceUsage():
                self.usage_by_gateway[event.gateway].append(event)
            case BackendStarted() | BackendStopped():
                self._record_backend_event(event)
            case SchedulingDelay():
                self.delays.record(event)
            case RuleOverrides() if not self.has_fixed_rules:
                self._apply_overrides(event)
            case _:
                pass

    def _record_request_event(
        self, event: RequestSent | ResponseReceived | ResponseMissing | BackendAttempt | ClientDisconnected
    ) -> None:
        match event:
            case RequestSent():
                self.requests_by_id[event.id].append(event)
            case ResponseReceived() | ResponseMissing():
                self.outcomes_by_id[event.id].append(event)
            case BackendAttempt():
                self.attempts_by_id[event.id].append(event)
            case ClientDisconnected():
                self.disconnected_us_by_id[event.id] = event.at_us

    def _record_backend_event(self, event: BackendStarted | BackendStopped) -> None:
        if isinstance(event, BackendStarted):
            self.backend_starts.append(event)
        elif event.how == COLLAPSED:
            self.backend_collapses.append(event)

    def _record_discovery_event(
        self, event: NotificationDelivered | ManualEjection | EndpointChanged | DiscoveryPoll
    ) -> None:
        match event:
            case NotificationDelivered():
                self.notifications.record_notification(event)
            case ManualEjection():
                self.notifications.record_ejection(event)
            case EndpointChanged():
                self._changes.append(event)
            case DiscoveryPoll():
                self._polls.append(event)

    def _apply_overrides(self, event: RuleOverrides) -> None:
        self.rules = replace(self.rules, **event.rules)
        for name, values in event.classes.items():
            self.classes[name] = replace(CLASSES[name], **values)
