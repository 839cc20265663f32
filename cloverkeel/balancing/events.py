"""Events that the balancer is fed: pure data.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration. Servers, requests, classes and zones are plain identifiers that
are compared and never interpreted.

What is made for every request has an `__init__` of its own and is not frozen: the one that `dataclass` makes runs
interpreted also where all else is compiled, and costs ten times as much. Nobody sets these objects' attributes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ServerStatus(Enum):
    """State of a listed server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How the entries of a ServerList are to be read."""

    DELTA = "delta"  # changed servers only
    FULL = "full"  # every server; one that is missing has left
    DISK = "disk"  # every server as last stored by this proxy, possibly stale
    ERROR = "error"  # a call failed or the subscription dropped; the old list stands


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # rejected; never ran, unless the settings say that this is no proof
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection lost with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # never sent


# Outcomes that prove that the request did not run.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


@dataclass(slots=True, frozen=True)
class ListedServer:
    """Describe one entry of the server list."""

    server: int
    status: ServerStatus = ServerStatus.READY
    weight: float = 1.0
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0  # clock reading; 0: long ago
    users: int = 0  # proxies that are told of this server, at the most; 0: all of `Settings.proxies`


@dataclass(slots=True, frozen=True)
class ServerList:
    """Carry a server list, or a change of it, from discovery."""

    kind: ListKind
    servers: tuple[ListedServer, ...] = ()


@dataclass(slots=True, unsafe_hash=True, init=False)
class RequestArrived:
    """Tell that a client's request has arrived."""

    request: str
    class_index: int
    client_timeout_us: int  # of this try
    key: int | None
    work_us: int | None  # expected work on a standard core
    is_retry: bool
    tenant: int  # its place in the settings

    def __init__(
        self, request: str, class_index: int, client_timeout_us: int, key: int | None = None,
        work_us: int | None = None, is_retry: bool = False, tenant: int = 0,
    ) -> None:  # fmt: skip
        self.request = request
        self.class_index = class_index
        self.client_timeout_us = client_timeout_us
        self.key = key
        self.work_us = work_us
        self.is_retry = is_retry
        self.tenant = tenant


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Load as a server reports it, late and noisy; None where it does not say."""

    inflight: float | None = None  # requests it holds
    queue: float | None = None  # requests waiting
    util: float | None = None  # how busy its cores are
    latency_ms: float | None = None
    qps: float | None = None
    eps: float | None = None


@dataclass(slots=True, unsafe_hash=True, init=False)
class AttemptEnded:
    """Tell how an attempt that was sent has ended."""

    request: str
    attempt: int
    server: int
    outcome: Outcome
    latency_us: int
    finished: bool  # the request has had its final answer
    load: LoadReport | None

    def __init__(
        self, request: str, attempt: int, server: int, outcome: Outcome, latency_us: int, finished: bool = False,
        load: LoadReport | None = None,
    ) -> None:  # fmt: skip
        self.request = request
        self.attempt = attempt
        self.server = server
        self.outcome = outcome
        self.latency_us = latency_us
        self.finished = finished
        self.load = load


@dataclass(slots=True, frozen=True)
class RequestGone:
    """Tell that the client has disconnected: no answer is awaited any more."""

    request: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """Tell that the response has begun: it is streaming to the client and no deadline holds."""

    request: str
    attempt: int


@dataclass(slots=True, unsafe_hash=True, init=False)
class TimerFired:
    """Tell that a timer which `SetTimer` asked for is due."""

    token: int

    def __init__(self, token: int) -> None:
        self.token = token


@dataclass(slots=True, frozen=True)
class Probed:
    """Tell the result of a `Probe` (a health check)."""

    server: int
    outcome: Outcome
    latency_us: int
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ProcessesChanged:
    """Tell how many processes this proxy has, each with a balancer of its own: they share its budgets."""

    count: int


@dataclass(slots=True, frozen=True)
class SlowStartQuota:
    """Move quotas of a warming server's collapse budget between proxies.

    This proxy has lent its own quota until `lent_us`, and has `granted` quotas of others until `granted_us`; each
    ends by itself. `server` -1: no warming server is used until `lent_us`.
    """

    server: int
    started_us: int
    lent_us: int
    granted: float = 0.0
    granted_us: int = 0


@dataclass(slots=True, frozen=True)
class ProbesSuspended:
    """Suspend half-open probes of a server: another proxy probes it for all until then.

    `until_us` 0: it answers there; probe it now.
    """

    server: int
    until_us: int


@dataclass(slots=True, frozen=True)
class PeerHealthReport:
    """Summarise what all proxies, this one among them, observed of a server's process of late.

    `good` and `bad` count outcomes, newer ones for more. `reporters` other proxies saw it fail, `well` others were
    only answered well. Nothing of it counts after `until_us`.
    """

    server: int
    started_us: int
    good: float
    bad: float
    reporters: int
    well: int
    until_us: int


@dataclass(slots=True, frozen=True)
class RetryTokenGrant:
    """Set how many retry tokens this proxy saves up at the most, and move tokens between proxies.

    `moved` above 0 arrive, and those beyond `cap` expire at `until_us`; below 0 they leave.
    """

    cap: float
    moved: float = 0.0
    until_us: int = 0


@dataclass(slots=True, frozen=True)
class AnswerAll:
    """Tell that this process ends: every request in flight gets its final answer now."""


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Carry a message of another proxy."""

    sender: int  # its number among the proxies
    payload: bytes


Event = (
    ServerList
    | RequestArrived
    | AttemptEnded
    | RequestGone
    | StreamStarted
    | TimerFired
    | Probed
    | ProcessesChanged
    | SlowStartQuota
    | ProbesSuspended
    | PeerHealthReport
    | RetryTokenGrant
    | AnswerAll
    | PeerMessage
)
