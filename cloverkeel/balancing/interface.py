"""Settings, events and actions of the balancer: pure data, no decisions.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration. Servers, requests, classes and zones are plain identifiers that are
compared and never interpreted.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What running a request a second time would do."""

    SAFE = "safe"  # nothing: repeat at will
    KEYED = "keyed"  # repeats are dropped by the servers of one scope, for a while
    UNSAFE = "unsafe"  # the effect would happen twice


class Scope(Enum):
    """Which servers drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


class ServerStatus(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a ServerList event is to be read."""

    DELTA = "delta"  # changed servers only
    FULL = "full"  # every server; one that is missing has left
    DISK = "disk"  # every server as last stored by this proxy, possibly stale
    ERROR = "error"  # a call failed or the subscription dropped; the old list stands


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away; never ran, unless the settings say that this is no proof
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # connection lost with the attempt in flight; may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # never sent


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


def _check(settings: object, least: Mapping[str, float], shares: tuple[str, ...] = ()) -> None:
    """Raise for a field that no decision can be made from: not finite, below its least, or no share."""
    for name in (*least, *shares):
        value = getattr(settings, name)
        if not math.isfinite(value):
            raise ValueError(f"{name} is not a finite number")
        if value < least.get(name, 0):
            raise ValueError(f"{name} is below {least.get(name, 0)}")
        if name in shares and value > 1:
            raise ValueError(f"{name} is above 1")


@dataclass(slots=True, frozen=True)
class RequestClass:
    aim_us: int  # answered within this: full worth
    give_up_us: int  # the client's patience over all its tries
    worth: float = 1.0
    late_worth: float = 0.0  # fraction of the worth left after the aim
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL  # for KEYED
    window_us: int = 0  # for KEYED: how long repeats are dropped, from the first attempt's sending
    in_order: bool = False  # requests with one key run one at a time, in the order taken
    aim_stretch: float = 0.0  # the aim grows by this many times the request's own work, up to the deadline

    def __post_init__(self) -> None:
        least = {"aim_us": 1, "give_up_us": 1, "worth": 0, "window_us": 0, "aim_stretch": 0}
        _check(self, least, shares=("late_worth",))


@dataclass(slots=True, frozen=True)
class Goal:
    """How the operator weighs the parts of good service."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0  # inside its share

    def __post_init__(self) -> None:
        _check(self, least=dict.fromkeys(("whole", "worst_window", "worst_class", "worst_tenant"), 0))


@dataclass(slots=True, frozen=True)
class Tenant:
    share: float = 0.0  # of the service
    allowance_per_s: float = math.inf  # requests within its share, over all proxies

    def __post_init__(self) -> None:
        _check(self, least={}, shares=("share",))
        if not self.allowance_per_s >= 0:
            raise ValueError("allowance_per_s is below 0")


@dataclass(slots=True, frozen=True)
class Prices:
    """Points of the result that each costs."""

    cross_zone: float = 0.0  # an attempt to another zone
    handshake: float = 0.0  # a new connection
    waste: float = 0.0  # server work that served no answer
    late_fail: float = 0.0  # worth left unserved after its aim
    connection: float = 0.0  # a hundred open connections a server
    probe: float = 0.0
    peer: float = 0.0  # a message of 256 bytes to one peer
    list_lines: float = 0.0  # a hundred lines of the server list

    def __post_init__(self) -> None:
        _check(self, least=dict.fromkeys(self.__dataclass_fields__, 0))


class Reports(Enum):
    """How servers tell their load."""

    ANSWERS = "answers"  # in each answer
    PROBES = "probes"  # in the answers to probes alone
    NONE = "none"


@dataclass(slots=True, frozen=True)
class Settings:
    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    worth_by_work: bool = False  # worth counts for each unit of work, not for each request
    proxies: int = 1  # how many share the servers
    proxy: int = 0  # this proxy's own number among them
    zone: int = 0  # where this proxy sits
    prices: Prices = field(default_factory=Prices)
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: float = 1.0  # worth of a request beyond its tenant's share, as a fraction
    marks_retry: bool = False  # clients say of a repeat that it is one
    max_attempts: int = 3
    may_cancel: bool = True
    second_copies: bool = False  # two attempts of one request may be out together
    may_probe: bool = False
    may_tell_peers: bool = False
    reports: Reports = Reports.NONE
    attempts_per_connection: int = 1
    keepalive_us: int = 60_000_000  # idle connections are closed after this
    connect_timeout_us: int = 1_000_000
    answer_slack_us: int = 0  # a final answer may be this late
    stop_sending_within_us: int = 0  # after word that a server drains or is gone
    cpu_us_per_s: int = 0  # for this proxy's decisions; 0: no limit known
    warm_keys: bool = False  # a server that met a key lately serves it for less work
    list_is_pushed: bool = True  # False: changes come only after WatchList
    must_ask_within_us: int = 10_000_000  # longest silence towards the list service without a subscription
    max_retry_after_us: int = 1_000_000
    start_capacity: float = 1.0  # a server that starts can do at least this share of its work
    warm_after_us: int = 0  # and all of it after this
    fall_multiple: float = 1.0  # sent more than this times its present capacity
    fall_us: int = 1_000_000  # for this long, a cold server falls over
    full_unproven: bool = False  # FULL may also be said of work that had begun
    key_rest_us: int = 0  # in order: how long a key rests after an attempt that may still be running

    def __post_init__(self) -> None:
        """Reject settings that no decision can be made from."""
        if not self.classes:
            raise ValueError("classes is empty")
        durations = (
            "must_ask_within_us", "warm_after_us", "max_retry_after_us", "key_rest_us", "keepalive_us",
            "connect_timeout_us", "answer_slack_us", "stop_sending_within_us",
        )  # fmt: skip
        least: dict[str, float] = dict.fromkeys((*durations, "proxy", "cpu_us_per_s"), 0)
        counts = ("proxies", "max_attempts", "fall_us", "attempts_per_connection", "fall_multiple")
        _check(self, least | dict.fromkeys(counts, 1), shares=("start_capacity", "over_share_worth"))
        if self.proxy >= self.proxies:
            raise ValueError("proxy is not below proxies")


# Events


@dataclass(slots=True, frozen=True)
class ListedServer:
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
    kind: ListKind
    servers: tuple[ListedServer, ...] = ()


# What is made for every request has an `__init__` of its own, and is not frozen: what `dataclass` makes of it runs
# interpreted also where all else is compiled, and costs ten times as much. Nobody sets their attributes.


@dataclass(slots=True, unsafe_hash=True, init=False)
class RequestArrived:
    request: str
    klass: int
    patience_us: int  # until the client abandons this try
    key: int | None
    work_us: int | None  # expected work on a standard core
    is_retry: bool
    tenant: int  # its place in the settings

    def __init__(
        self, request: str, klass: int, patience_us: int, key: int | None = None, work_us: int | None = None,
        is_retry: bool = False, tenant: int = 0,
    ) -> None:  # fmt: skip
        self.request = request
        self.klass = klass
        self.patience_us = patience_us
        self.key = key
        self.work_us = work_us
        self.is_retry = is_retry
        self.tenant = tenant


@dataclass(slots=True, frozen=True)
class LoadReport:
    """What a server says of its load, late and noisy; None where it does not say."""

    inflight: float | None = None  # requests it holds
    queue: float | None = None  # requests waiting
    util: float | None = None  # how busy its cores are
    latency_ms: float | None = None
    qps: float | None = None
    eps: float | None = None


@dataclass(slots=True, unsafe_hash=True, init=False)
class AttemptEnded:
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
    """The client left; nothing is owed any more."""

    request: str


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The answer has begun: the client owns the attempt and no deadline holds."""

    request: str
    attempt: int


@dataclass(slots=True, unsafe_hash=True, init=False)
class TimerFired:
    token: int

    def __init__(self, token: int) -> None:
        self.token = token


@dataclass(slots=True, frozen=True)
class Probed:
    """The result of a Probe."""

    server: int
    outcome: Outcome
    latency_us: int
    load: LoadReport | None = None


@dataclass(slots=True, frozen=True)
class ProcessesChanged:
    """This proxy is so many processes from now on, each with decisions of its own: its budgets are shared out."""

    count: int


@dataclass(slots=True, frozen=True)
class SlowStartQuota:
    """Parts of a cold server's fall budget move: this proxy has lent its own until `lent_us`, and has `granted` parts
    of others until `granted_us`; each ends by itself. `server` -1: no cold server is used until `lent_us`."""

    server: int
    started_us: int
    lent_us: int
    granted: float = 0.0
    granted_us: int = 0


@dataclass(slots=True, frozen=True)
class ProbesSuspended:
    """Another proxy tries this server for all, until then: it is not tried here. 0: it answers there; try it now."""

    server: int
    until_us: int


@dataclass(slots=True, frozen=True)
class PeerHealthReport:
    """What other proxies saw of a server's process of late, and this one with them: outcomes, newer ones counted for
    more; how many others saw it fail, and how many were only answered well; nothing of it counts after `until_us`."""

    server: int
    started_us: int
    good: float
    bad: float
    reporters: int
    well: int
    until_us: int


@dataclass(slots=True, frozen=True)
class RetryTokenGrant:
    """How many tokens for further attempts this proxy saves up at the most, and those that move between proxies now:
    more than 0 come, and what is beyond `cap` ends at `until_us`; less than 0 go."""

    cap: float
    moved: float = 0.0
    until_us: int = 0


@dataclass(slots=True, frozen=True)
class AnswerAll:
    """This process ends: every request that is held gets its final answer now."""


@dataclass(slots=True, frozen=True)
class PeerMessage:
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


# Actions


@dataclass(slots=True, unsafe_hash=True, init=False)
class Send:
    request: str
    server: int
    timeout_us: int
    begin_by_us: int  # its last byte is written by then or it is not sent: repeats are no longer dropped. 0: no limit

    def __init__(self, request: str, server: int, timeout_us: int, begin_by_us: int = 0) -> None:
        self.request = request
        self.server = server
        self.timeout_us = timeout_us
        self.begin_by_us = begin_by_us


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: str
    retry_after_us: int = 0
    why: str = field(default="", compare=False)  # for the log


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: no success and no promise about the effect."""

    request: str


@dataclass(slots=True, frozen=True)
class Cancel:
    request: str
    attempt: int


@dataclass(slots=True, unsafe_hash=True, init=False)
class SetTimer:
    due_us: int
    token: int

    def __init__(self, due_us: int, token: int) -> None:
        self.due_us = due_us
        self.token = token


@dataclass(slots=True, frozen=True)
class WatchList:
    """Subscribe to changes of the server list, or no longer."""

    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    """Ask for the whole server list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    server: int


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections that this proxy holds to a server."""

    server: int


@dataclass(slots=True, frozen=True)
class TellPeers:
    payload: bytes  # 256 bytes at most
    peer: int = -1  # -1: all


@dataclass(slots=True, frozen=True)
class Log:
    line: str


Action = Send | Refuse | Fail | Cancel | SetTimer | WatchList | FetchList | Probe | CloseIdle | TellPeers | Log
