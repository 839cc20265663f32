"""Map events to the JSON objects of a log file and back.

Files keep the names that earlier versions wrote, so that each version can read the files of the others. Only this
module maps them to the names of the code.
"""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

from standins.event_log.environment_events import (
    BackendLoad,
    BackendStarted,
    BackendStopped,
    DiscoveryPoll,
    EndpointChanged,
    FaultInjected,
    ManualEjection,
    NotificationDelivered,
    ProcessEvent,
    ResourceUsage,
    RuleOverrides,
    SchedulingDelay,
)
from standins.event_log.request_events import (
    BackendAttempt,
    ClientDisconnected,
    MisbehavingClient,
    OperationStarted,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    UnexpectedBytes,
)

Event = (
    RuleOverrides
    | OperationStarted
    | RequestSent
    | ResponseReceived
    | ResponseMissing
    | ClientDisconnected
    | UnexpectedBytes
    | MisbehavingClient
    | BackendAttempt
    | BackendStarted
    | BackendStopped
    | BackendLoad
    | NotificationDelivered
    | ManualEjection
    | EndpointChanged
    | DiscoveryPoll
    | ProcessEvent
    | ResourceUsage
    | SchedulingDelay
    | FaultInjected
)
# The name of each event type in a file.
EVENT_TYPES: dict[str, type[Any]] = {
    "Terms": RuleOverrides,
    "Wanted": OperationStarted,
    "Asked": RequestSent,
    "Answered": ResponseReceived,
    "Unanswered": ResponseMissing,
    "Left": ClientDisconnected,
    "Extra": UnexpectedBytes,
    "Rude": MisbehavingClient,
    "Run": BackendAttempt,
    "BoxUp": BackendStarted,
    "BoxDown": BackendStopped,
    "BoxLoad": BackendLoad,
    "Told": NotificationDelivered,
    "Banned": ManualEjection,
    "Changed": EndpointChanged,
    "Listening": DiscoveryPoll,
    "Process": ProcessEvent,
    "Usage": ResourceUsage,
    "Lag": SchedulingDelay,
    "Trouble": FaultInjected,
}
KIND_BY_TYPE = {event_type: kind for kind, event_type in EVENT_TYPES.items()}
# The key of a field in a file, where it differs from the field's name; by event type and field name.
FILE_KEYS: dict[type[Any], dict[str, str]] = {
    OperationStarted: {"request_class": "klass", "zone": "room"},
    RequestSent: {"request_class": "klass", "idempotency_key": "key", "first_id": "first", "is_resend": "again"},
    ResponseReceived: {"echoed_id": "names"},
    BackendAttempt: {
        "backend": "box", "request_class": "klass", "idempotency_key": "key", "received_us": "whole_us",
        "started_us": "began_us", "ended_us": "over_us",
    },
    BackendStarted: {"backend": "box", "initial_capacity": "cold_share", "slow_start_us": "warm_us"},
    BackendStopped: {"backend": "box"},
    BackendLoad: {"backend": "box"},
    NotificationDelivered: {"backend": "box"},
    ManualEjection: {"backend": "box"},
    EndpointChanged: {"backend": "box"},
    ProcessEvent: {"was_requested": "asked"},
    SchedulingDelay: {"delay_us": "lag_us"},
}  # fmt: skip
FIELD_BY_KEY = {event_type: {key: name for name, key in keys.items()} for event_type, keys in FILE_KEYS.items()}


def encode_event(event: Event) -> dict[str, Any]:
    """Return the JSON object of an event."""
    event_type = type(event)
    keys = FILE_KEYS.get(event_type, {})
    return {"kind": KIND_BY_TYPE[event_type]} | {keys.get(name, name): value for name, value in asdict(event).items()}


def decode_event(raw: dict[str, Any]) -> Event:
    """Return the event of a JSON object; KeyError or TypeError if the object is not an event."""
    values = dict(raw)
    event_type = EVENT_TYPES[values.pop("kind")]
    fields = FIELD_BY_KEY.get(event_type, {})
    event: Event = event_type(**{fields.get(key, key): value for key, value in values.items()})
    return event
