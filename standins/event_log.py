"""What the stand-ins saw with their own eyes: the one account that the auditor reads.

Every entry is written by the party that saw it happen (a box, a client, the registry, the network, or whoever
signals the gateways); nothing that a gateway says of itself is in here. Times are Unix microseconds that only
move forward, from one clock for all parties of a play, which is why they all live in one process.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, TypeVar

_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def now_us() -> int:
    """Unix time in microseconds that only moves forward."""
    return (_OFFSET_NS + time.monotonic_ns()) // 1000


@dataclass(slots=True, eq=False)
class RuleOverrides:
    """What a play is judged by, where that is not the usual: fields of Rules, and of classes by their names."""

    at_us: int
    rules: dict[str, Any]
    classes: dict[str, dict[str, Any]]


@dataclass(slots=True, eq=False)
class OperationStarted:
    """A client wants something, and will ask for it in one try or several."""

    at_us: int
    id: str  # of the first try
    request_class: str
    zone: str


@dataclass(slots=True, eq=False)
class RequestSent:
    """A client has written the last byte of a request to a connection that a gateway's machine accepted."""

    at_us: int
    id: str
    request_class: str
    gateway: str
    budget_us: int
    idempotency_key: str = ""  # Idempotency-Key
    tenant: str = ""
    first_id: str = ""  # id of the first try of what the client wants
    is_resend: bool = False  # the same request once more: its first connection was closed before it was read


@dataclass(slots=True, eq=False)
class ResponseReceived:
    """The last byte of an answer has come."""

    at_us: int
    id: str
    status: int
    echoed_id: str = ""  # the request that the body says it was made for
    retry_after_us: int = 0


@dataclass(slots=True, eq=False)
class ResponseMissing:
    """A client's connection ended, or it stopped waiting, with no whole answer."""

    at_us: int
    id: str
    how: str  # "closed", "reset", "cut" (an answer had begun), "none" (waited past the end)


@dataclass(slots=True, eq=False)
class ClientDisconnected:
    """A client went away of its own will; nothing is owed to it any more."""

    at_us: int
    id: str


@dataclass(slots=True, eq=False)
class UnexpectedBytes:
    """Bytes that came on a connection of a client where none were owed."""

    at_us: int
    id: str  # of the last request there
    data: str


@dataclass(slots=True, eq=False)
class MisbehavingClient:
    """What a client that breaks the protocol got."""

    at_us: int  # when it had connected
    what: str
    gateway: str
    ended_us: int = 0  # an answer or a close; 0: neither
    status: int = 0  # 0: a close
    may_be_served: bool = False  # what it sent can be read, and is odd


@dataclass(slots=True, eq=False)
class BackendAttempt:
    """A request at a box, from its first byte on. It is filled in as it goes on.

    `how`: "coming" (not whole), "waiting", "running", "ok", "duplicate" (dropped, answered from memory),
    "rejected" (turned away before it began, and told so), "error", "spoilt", "cancelled", "crashed".
    """

    at_us: int  # its first byte was sent
    backend: str
    incarnation: int
    group: int
    id: str = ""
    request_class: str = ""
    idempotency_key: str = ""
    gateway: str = ""
    received_us: int = 0  # its last byte has come; 0: never
    started_us: int = 0  # work began; 0: never
    ended_us: int = 0  # the last byte of the answer was written, or it ended otherwise
    how: str = "coming"
    work_us: int = 0  # on a standard core, before what a remembered key saves

    @property
    def may_have_run(self) -> bool:
        """What a gateway has to take for granted: it went out whole and was not turned away."""
        return self.received_us > 0 and self.how != "rejected"


@dataclass(slots=True, eq=False)
class BackendStarted:
    at_us: int
    backend: str
    incarnation: int
    cores: float
    initial_capacity: float  # of its capacity at the start; 1: warm
    slow_start_us: int  # after the start, at the latest


@dataclass(slots=True, eq=False)
class BackendStopped:
    at_us: int
    backend: str
    incarnation: int
    how: str  # "crash", "silent", "hang", "drained", "fell"


@dataclass(slots=True, eq=False)
class BackendLoad:
    """A look at a box, a few times a second."""

    at_us: int
    backend: str
    state: str
    running: int
    waiting: int
    connections: int
    capacity: float  # share


@dataclass(slots=True, eq=False)
class NotificationDelivered:
    """The registry has written an entry to a gateway; in a whole list, also those missing from it."""

    at_us: int
    gateway: str
    backend: str
    status: str  # "SERVING", "DRAINING" or "DELETED"


@dataclass(slots=True, eq=False)
class ManualEjection:
    """Staff have taken a box out at a gateway, and were told yes; whatever the registry says meanwhile."""

    at_us: int
    gateway: str
    backend: str
    until_us: int = 0  # the call back; 0: not yet


@dataclass(slots=True, eq=False)
class EndpointChanged:
    """The registry could have told this from now on."""

    at_us: int
    backend: str
    status: str


@dataclass(slots=True, eq=False)
class DiscoveryPoll:
    """A gateway's call to the registry, or a time in which none could reach it."""

    at_us: int
    gateway: str  # "": all
    until_us: int = 0  # 0: still


@dataclass(slots=True, eq=False)
class ProcessEvent:
    """What happened to a gateway's process."""

    at_us: int
    gateway: str
    what: str  # "start", "ready", "TERM", "KILL", "HUP", "STOP", "CONT", "exit"
    code: int = 0  # of an exit
    was_requested: bool = True  # for an exit: it had been signalled to


@dataclass(slots=True, eq=False)
class ResourceUsage:
    """What a gateway's process holds."""

    at_us: int
    gateway: str
    rss_kib: int
    descriptors: int
    cpu_us: int
    peak_kib: int = 0  # the most that was ever resident


@dataclass(slots=True, eq=False)
class SchedulingDelay:
    """The stand-ins themselves stood still: what they saw in this time, came late by this much at most."""

    at_us: int  # the end of it
    delay_us: int


@dataclass(slots=True, eq=False)
class FaultInjected:
    """What the scenario did, for the time lines and plots."""

    at_us: int
    text: str


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
# What a log file calls each event: files stay readable by, and from, earlier versions.
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
# What a log file calls a field, where the code's name is another; by type, and by name in the code.
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
EventT = TypeVar("EventT")
MAX_EVENTS = 5_000_000  # entries: a play that writes more is not kept whole, and says so


@dataclass
class EventLog:
    events: list[Event] = field(default_factory=list)
    dropped: int = 0  # entries beyond MAX_EVENTS; the auditor refuses an account that is not whole

    def add(self, entry: Event) -> None:
        if len(self.events) >= MAX_EVENTS:
            self.dropped += 1
            return
        self.events.append(entry)

    def events_of(self, kind: type[EventT]) -> Iterator[EventT]:
        """Entries of one kind, in the order in which they were written."""
        return (entry for entry in self.events if isinstance(entry, kind))

    def dump(self, path: Path) -> None:
        """One JSON object a line, so that a play can be audited again."""
        with path.open("w") as file:
            for entry in self.events:
                keys = FILE_KEYS.get(type(entry), {})
                raw = {keys.get(name, name): value for name, value in asdict(entry).items()}
                file.write(json.dumps({"kind": KIND_BY_TYPE[type(entry)]} | raw) + "\n")

    @classmethod
    def load(cls, path: Path) -> EventLog:
        """ValueError names the line that is no entry."""
        ledger = cls()
        for number, line in enumerate(path.read_text().splitlines(), 1):
            try:
                raw = json.loads(line)
                event_type = EVENT_TYPES[raw.pop("kind")]
                names = {key: name for name, key in FILE_KEYS.get(event_type, {}).items()}
                ledger.add(event_type(**{names.get(key, key): value for key, value in raw.items()}))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                raise ValueError(f"{path}, line {number}: not an entry of a ledger ({error!r})") from None
        return ledger
