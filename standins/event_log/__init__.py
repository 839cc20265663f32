"""The event log of a run: everything the checker knows.

Each event is recorded by the party that observed it (a backend, a client, the registry, the network, or the process
that signals the gateways); the log contains nothing that a gateway reports about itself. Times are Unix microseconds
that never move backward. All parties of a run share one process, so that they share one clock.
"""

from standins.event_log.clock import now_us
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
from standins.event_log.errors import EventLogError
from standins.event_log.file_format import Event
from standins.event_log.log import EventLog
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

__all__ = [
    "BackendAttempt",
    "BackendLoad",
    "BackendStarted",
    "BackendStopped",
    "ClientDisconnected",
    "DiscoveryPoll",
    "EndpointChanged",
    "Event",
    "EventLog",
    "EventLogError",
    "FaultInjected",
    "ManualEjection",
    "MisbehavingClient",
    "NotificationDelivered",
    "OperationStarted",
    "ProcessEvent",
    "RequestSent",
    "ResourceUsage",
    "ResponseMissing",
    "ResponseReceived",
    "RuleOverrides",
    "SchedulingDelay",
    "UnexpectedBytes",
    "now_us",
]
