"""Settings of the balancer, validated on construction.

Times are durations in whole microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from cloverkeel.balancing.errors import SettingError


class Effect(Enum):
    """Effect of running a request a second time."""

    SAFE = "safe"  # none: the request is idempotent
    KEYED = "keyed"  # none within the scope and window in which servers drop repeats of its idempotency key
    UNSAFE = "unsafe"  # the request's effect happens twice


class Scope(Enum):
    """Set of servers that drop repeats of a keyed request which any server of the set has run."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


# Field -> its name in error messages: the one from earlier versions, which operators know.
NAMES_IN_ERRORS: Final = {
    "client_timeout_us": "give_up_us",
    "collapse_multiple": "fall_multiple",
    "collapse_window_us": "fall_us",
    "late_weight": "late_worth",
    "max_poll_interval_us": "must_ask_within_us",
    "objective_stretch": "aim_stretch",
    "objective_us": "aim_us",
    "overall": "whole",
    "overuse_weight": "over_share_worth",
    "priority_weight": "worth",
    "slow_start_us": "warm_after_us",
}


def _check(settings: object, minima: Mapping[str, float], ratios: tuple[str, ...] = ()) -> None:
    """Raise SettingError for a field that is not finite, below its minimum, or a ratio outside 0 to 1."""
    for field_name in (*minima, *ratios):
        value = getattr(settings, field_name)
        name = NAMES_IN_ERRORS.get(field_name, field_name)
        if not math.isfinite(value):
            raise SettingError(name, "is not a finite number")
        if value < minima.get(field_name, 0):
            raise SettingError(name, f"is below {minima.get(field_name, 0)}")
        if field_name in ratios and value > 1:
            raise SettingError(name, "is above 1")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """Class of requests: its latency objective, its priority, and the effect of a retry."""

    objective_us: int  # latency objective: an answer within it has the full priority weight
    client_timeout_us: int  # over all tries of a client
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the priority weight that an answer after the objective has
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL  # KEYED only
    window_us: int = 0  # KEYED only: how long servers drop repeats, from the sending of the first attempt
    in_order: bool = False  # requests with the same key run one at a time, in order of arrival
    objective_stretch: float = 0.0  # extends the objective by this multiple of the request's work, up to its deadline

    def __post_init__(self) -> None:
        minima = {
            "objective_us": 1,
            "client_timeout_us": 1,
            "priority_weight": 0,
            "window_us": 0,
            "objective_stretch": 0,
        }
        _check(self, minima, ratios=("late_weight",))


@dataclass(slots=True, frozen=True)
class Goal:
    """Weights of the measures of service quality that the operator optimises for."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0  # requests within the tenant's share

    def __post_init__(self) -> None:
        _check(self, minima=dict.fromkeys(("overall", "worst_window", "worst_class", "worst_tenant"), 0))


@dataclass(slots=True, frozen=True)
class Tenant:
    """Quota of a tenant."""

    share: float = 0.0  # fraction of the service's requests
    allowance_per_s: float = math.inf  # requests per second that count as within its share, over all proxies

    def __post_init__(self) -> None:
        _check(self, minima={}, ratios=("share",))
        if not self.allowance_per_s >= 0:
            raise SettingError("allowance_per_s", "is below 0")


@dataclass(slots=True, frozen=True)
class Prices:
    """Cost of each use of a resource, in points of the overall result."""

    cross_zone: float = 0.0  # per attempt to a server in another zone
    handshake: float = 0.0  # per new connection
    waste: float = 0.0  # per unit of server work that led to no answer
    late_fail: float = 0.0  # per unit of priority weight that is left unserved after its objective
    connection: float = 0.0  # per 100 open connections to a server
    probe: float = 0.0  # per health check
    peer: float = 0.0  # per message of 256 bytes to one peer
    list_lines: float = 0.0  # per 100 lines of the server list

    def __post_init__(self) -> None:
        _check(self, minima=dict.fromkeys(self.__dataclass_fields__, 0))


class Reports(Enum):
    """Responses in which servers report their load."""

    ANSWERS = "answers"  # all responses
    PROBES = "probes"  # only responses to health checks
    NONE = "none"


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one balancer."""

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    weight_by_work: bool = False  # priority weights apply per unit of work instead of per request
    proxies: int = 1  # number of proxies that share the servers
    proxy: int = 0  # this proxy's number, from 0 to proxies - 1
    zone: int = 0  # zone of this proxy
    prices: Prices = field(default_factory=Prices)
    tenants: tuple[Tenant, ...] = ()
    overuse_weight: float = 1.0  # weight of a request beyond its tenant's share, as a fraction of its normal weight
    marks_retry: bool = False  # clients mark their retries as such
    max_attempts: int = 3
    may_cancel: bool = True
    may_hedge: bool = False  # two attempts of a request may be in flight at the same time
    may_probe: bool = False
    may_message_peers: bool = False
    reports: Reports = Reports.NONE
    attempts_per_connection: int = 1
    keepalive_us: int = 60_000_000  # idle connections are closed after this time
    connect_timeout_us: int = 1_000_000
    answer_slack_us: int = 0  # how late a final answer may be
    stop_sending_within_us: int = 0  # attempts may start this long after a server is known to drain or be removed
    cpu_us_per_s: int = 0  # CPU time for this proxy's decisions per second; 0 if unlimited or unknown
    servers_know_keys: bool = False  # servers cache by key: a key that was recently served costs less work
    list_is_pushed: bool = True  # False if changes arrive only after WatchList
    max_poll_interval_us: int = 10_000_000  # between polls of the server list if there is no subscription
    max_retry_after_us: int = 1_000_000
    start_capacity: float = 1.0  # minimum capacity of a server that has just started, as a fraction of the full one
    slow_start_us: int = 0  # time after which a started server has its full capacity
    # A warming server that gets more than this multiple of its present capacity during a window collapses.
    collapse_multiple: float = 1.0
    collapse_window_us: int = 1_000_000
    full_unproven: bool = False  # servers may report FULL also for requests that have begun to run
    key_rest_us: int = 0  # in-order classes: delay before a key's next request if an attempt may still be running

    def __post_init__(self) -> None:
        """Raise SettingError if the settings are invalid."""
        if not self.classes:
            raise SettingError("classes", "is empty")
        durations = (
            "max_poll_interval_us", "slow_start_us", "max_retry_after_us", "key_rest_us", "keepalive_us",
            "connect_timeout_us", "answer_slack_us", "stop_sending_within_us",
        )  # fmt: skip
        minima: dict[str, float] = dict.fromkeys((*durations, "proxy", "cpu_us_per_s"), 0)
        counts = ("proxies", "max_attempts", "collapse_window_us", "attempts_per_connection", "collapse_multiple")
        _check(self, minima | dict.fromkeys(counts, 1), ratios=("start_capacity", "overuse_weight"))
        if self.proxy >= self.proxies:
            raise SettingError("proxy", "is not below proxies")
