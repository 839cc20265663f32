"""Settings of the balancer: pure data, checked when it is made.

Times are whole microseconds. An absolute time is a reading of the caller's clock, which only moves forward;
everything else is a duration.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from cloverkeel.balancing.errors import SettingError


class Effect(Enum):
    """What running a request a second time would do: whether it is idempotent."""

    SAFE = "safe"  # nothing: repeat at will
    KEYED = "keyed"  # repeats are dropped by the servers of one scope, for a while
    UNSAFE = "unsafe"  # the effect would happen twice


class Scope(Enum):
    """Which servers drop each other's repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"


# Fields whose names in errors are those that operators know from earlier versions.
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
    """Raise SettingError for a field that is not finite, below its minimum, or no ratio."""
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
    """Describe one class of requests: its latency objective, priority and what a retry may do."""

    objective_us: int  # the latency objective: answered within this, it counts in full
    client_timeout_us: int  # over all tries of a client
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the priority weight left after the objective
    effect: Effect = Effect.UNSAFE
    scope: Scope = Scope.ALL  # for KEYED
    window_us: int = 0  # for KEYED: how long repeats are dropped, from the first attempt's sending
    in_order: bool = False  # requests with one key run one at a time, in the order taken
    objective_stretch: float = 0.0  # the objective grows by so many times the request's own work, up to the deadline

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
    """Hold how the operator weighs the parts of good service."""

    overall: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0  # inside its share

    def __post_init__(self) -> None:
        _check(self, minima=dict.fromkeys(("overall", "worst_window", "worst_class", "worst_tenant"), 0))


@dataclass(slots=True, frozen=True)
class Tenant:
    """Describe one tenant's quota of the service."""

    share: float = 0.0  # of the service
    allowance_per_s: float = math.inf  # requests within its share, over all proxies

    def __post_init__(self) -> None:
        _check(self, minima={}, ratios=("share",))
        if not self.allowance_per_s >= 0:
            raise SettingError("allowance_per_s", "is below 0")


@dataclass(slots=True, frozen=True)
class Prices:
    """Hold the points of the result that each costs."""

    cross_zone: float = 0.0  # an attempt to another zone
    handshake: float = 0.0  # a new connection
    waste: float = 0.0  # server work that served no answer
    late_fail: float = 0.0  # priority weight left unserved after its objective
    connection: float = 0.0  # a hundred open connections a server
    probe: float = 0.0
    peer: float = 0.0  # a message of 256 bytes to one peer
    list_lines: float = 0.0  # a hundred lines of the server list

    def __post_init__(self) -> None:
        _check(self, minima=dict.fromkeys(self.__dataclass_fields__, 0))


class Reports(Enum):
    """How servers report their load."""

    ANSWERS = "answers"  # in each answer
    PROBES = "probes"  # in the answers to probes alone
    NONE = "none"


@dataclass(slots=True, frozen=True)
class Settings:
    """Hold all settings of one balancer."""

    classes: tuple[RequestClass, ...]
    goal: Goal = field(default_factory=Goal)
    weight_by_work: bool = False  # the priority weight counts for each unit of work, not for each request
    proxies: int = 1  # how many share the servers
    proxy: int = 0  # this proxy's own number among them
    zone: int = 0  # where this proxy sits
    prices: Prices = field(default_factory=Prices)
    tenants: tuple[Tenant, ...] = ()
    overuse_weight: float = 1.0  # of a request beyond its tenant's share, as a fraction
    marks_retry: bool = False  # clients say of a repeat that it is one
    max_attempts: int = 3
    may_cancel: bool = True
    may_hedge: bool = False  # two attempts of one request may be in flight together
    may_probe: bool = False
    may_tell_peers: bool = False
    reports: Reports = Reports.NONE
    attempts_per_connection: int = 1
    keepalive_us: int = 60_000_000  # idle connections are closed after this
    connect_timeout_us: int = 1_000_000
    answer_slack_us: int = 0  # a final answer may be this late
    stop_sending_within_us: int = 0  # after word that a server drains or is gone
    cpu_us_per_s: int = 0  # for this proxy's decisions; 0: no limit known
    servers_know_keys: bool = False  # a server that met a key lately serves it for less work
    list_is_pushed: bool = True  # False: changes come only after WatchList
    max_poll_interval_us: int = 10_000_000  # between polls of the server list, without a subscription
    max_retry_after_us: int = 1_000_000
    start_capacity: float = 1.0  # a server that starts can do at least this share of its work
    slow_start_us: int = 0  # and all of it after this
    collapse_multiple: float = 1.0  # sent more than this times its present capacity
    collapse_window_us: int = 1_000_000  # for this long, a warming server collapses
    full_unproven: bool = False  # FULL may also be said of work that had begun
    key_rest_us: int = 0  # in order: how long a key rests after an attempt that may still be running

    def __post_init__(self) -> None:
        """Reject settings that no decision can be made from."""
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
