"""Events that are passed to the balancer.

Times are in whole microseconds. Absolute times are readings of the caller's monotonic clock; all others are
durations. Servers, requests, classes and zones are opaque identifiers: they are only compared.

Classes that are instantiated for every request define `__init__` by hand and are not frozen: the `__init__` that
`dataclass` generates is interpreted even in the compiled build, and takes ten times as long. Treat their instances
as immutable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ServerStatus(Enum):
    """Status of a server in the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Kind of a `ServerList`: which servers its entries cover."""

    DELTA = "delta"  # only the servers that changed
    FULL = "full"  # all servers; a server without an entry is removed
    DISK = "disk"  # all servers, as this proxy last stored them; possibly stale
    ERROR = "error"  # a poll failed or the subscription was lost; the previous list stays valid


class Outcome(Enum):
    """Outcome of an attempt, and whether the server may have run the request."""

    OK = "ok"
    ERROR = "error"  # error response; may have run
    FULL = "full"  # rejected by the server; did not run, unless `Settings.full_unproven`
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # did not run
    RESET = "reset"  # connection lost with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # not sent


# Outcomes after which the request is known not to have run.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


@dataclass(slots=True, frozen=True)
class ListedServer:
    """Entry of the server list."""

    server: int
    status: ServerStatus = ServerStatus.READY
    weight: float = 1.0
    zone: int = 0
    group: int = 0
    kind: int = 0
    started_us: int = 0  # when the server's process started (absolute); 0 if it started long ago
    users: int = 0  # maximum number of proxies that have this server in their list; 0 for all `Settings.proxies`


@dataclass(slots=True, frozen=True)
class ServerList:
    """Server list from discovery, or a change to it."""

    kind: ListKind
    servers: tuple[ListedServer, ...] = ()


@dataclass(slots=True, unsafe_hash=True, init=False)
class RequestArrived:
    """Arrival of a client's request."""

    request: str
    class_index: int
    client_timeout_us: int  # the client's timeout for this try
    key: int | None
    work_us: int | None  # expected processing time on a standard core; None if the client states none
    is_retry: bool
    tenant: int  # index into `Settings.tenants`

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
    """Load that a server reports, delayed and noisy; None for values it does not report."""

    inflight: float | None = None  # requests that the server has accepted and not answered
    queue: float | None = None  # requests that wait in the server's queue
    util: float | None = None  # CPU utilisation
    latency_ms: float | None = None
    qps: float | None = None
    eps: float | None = None


@dataclass(slots=True, unsafe_hash=True, init=False)
class AttemptEnded:
    """End of an attempt that was sent."""

    request: str
    attempt: int
    server: int
    outcome: Outcome
    latency_us: int
    finished: bool  # whether the client has received its final answer
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
    """Disconnect of the client before its request was answered: the request needs no answer."""

    request: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """Start of a response that is streamed to the client; from then on the request has no deadline."""

    request: str
    attempt: int


@dataclass(slots=True, unsafe_hash=True, init=False)
class TimerFired:
    """Expiry of a timer that was set with `SetTimer`."""

    token: int

    def __init__(self, token: int) -> None:
        self.token = token


@dataclass(slots=True, frozen=True)
class Probed:
    """Result of a `Probe` (a health check)."""

    server: int
    outcome: Outcome
    latency_us: int
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ProcessesChanged:
    """Change of the number of processes of this proxy; each has its own balancer, and they share its budgets."""

    count: int


@dataclass(slots=True, frozen=True)
class SlowStartQuota:
    """Transfer of quotas of a warming server's collapse budget between proxies.

    This proxy has lent its own quota to another proxy until `lent_us`, and holds `granted` quotas of other proxies
    until `granted_us`; both expire without another event. If `server` is -1, no warming server is used until
    `lent_us`.
    """

    server: int
    started_us: int
    lent_us: int
    granted: float = 0.0
    granted_us: int = 0


@dataclass(slots=True, frozen=True)
class ProbesSuspended:
    """Suspension of half-open probes of a server, as another proxy probes it on behalf of all until `until_us`.

    `until_us` is 0 if the server answered the other proxy's probes: this proxy probes it at once.
    """

    server: int
    until_us: int


@dataclass(slots=True, frozen=True)
class PeerHealthReport:
    """Summary of the recent outcomes of a server's process at all proxies, this one included.

    `good` and `bad` are sums of outcomes, recent outcomes weighted more. `reporters` is the number of other proxies
    that saw the server fail, `success_reporters` that of other proxies that saw only good outcomes. The report
    expires at `until_us`.
    """

    server: int
    started_us: int
    good: float
    bad: float
    reporters: int
    success_reporters: int
    until_us: int


@dataclass(slots=True, frozen=True)
class RetryTokenGrant:
    """New cap of this proxy's retry tokens, and tokens that are moved between proxies.

    A positive `moved` adds tokens; those above `cap` expire at `until_us`. A negative `moved` removes tokens.
    """

    cap: float
    moved: float = 0.0
    until_us: int = 0


@dataclass(slots=True, frozen=True)
class AnswerAll:
    """Shutdown of this process: every request in flight must get its final answer now."""


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Message from another proxy."""

    sender: int  # the other proxy's `Settings.proxy`
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
