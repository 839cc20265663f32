"""The emulated site: request classes, rules, the type of the backends, and the configuration of a gateway."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from standins.event_log import RuleOverrides, now_us

ZONES = ("kita-room", "higashi-room")
TENANTS = ("central", "university", "schools", "coast")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """A class of requests. The field names are keys of event files. Times in microseconds."""

    name: str
    effect: str  # "safe", "keyed" or "unsafe"
    share: float  # share of all requests
    work_us: tuple[int, int]  # minimum and maximum of the work on a core
    waits_us: tuple[int, int]  # minimum and maximum of the time that a request waits without a core
    aim_us: int  # latency objective
    give_up_us: int  # clients give an operation up after this time
    worth: float  # weight of an operation that is served in time
    window_us: int = 0  # keyed: for how long backends that share an idempotency store drop repeats


CLASSES = {
    request_class.name: request_class
    for request_class in (
        RequestClass("search", "safe", 0.42, (29_000, 53_000), (28_000, 52_000), 300_000, 750_000, 1.0),
        RequestClass("hold", "keyed", 0.38, (45_000, 82_000), (29_000, 54_000), 600_000, 1_500_000, 8.0, 1_500_000),
        RequestClass("transfer", "unsafe", 0.20, (45_000, 82_000), (15_000, 27_000), 600_000, 3_000_000, 3.0),
    )
}
LANE_EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
MEAN_WORK_US = sum(request_class.share * sum(request_class.work_us) / 2 for request_class in CLASSES.values())


@dataclass(slots=True, frozen=True)
class Rules:
    """The limits that the checker applies. The field names are keys of event files. Times in microseconds."""

    grace_us: int = 1_000_000  # from the notice that a backend drains or is gone to the last request to it
    slack_us: int = 50_000  # tolerance of time limits that are observed on sockets
    multiple: float = 3.0  # a backend in slow start collapses at this multiple of its capacity
    fall_us: int = 1_000_000  # the work that a backend in slow start receives is summed over this window
    rude_us: int = 3_000_000  # a misbehaving client gets an error or a close within this time
    ask_us: int = 10_000_000  # a gateway that has not polled the registry for so long counts as notified
    attempts: int = 6  # maximum for one request by one gateway
    second_copies: bool = True  # two attempts of a request may be in flight at a time
    memory_mib: int = 192  # maximum of a gateway process
    sockets: int = 512  # maximum of open descriptors of a gateway process


@dataclass(slots=True, frozen=True)
class BackendType:
    """The capacity and behaviour of a backend. Times in microseconds."""

    name: str = "small-2c"
    cores: int = 2
    max_queued_requests: int = 40  # maximum of waiting requests; further ones are rejected
    max_connections: int = 100  # maximum of open connections; a further one is closed at once
    cold_share: float = 0.35  # initial capacity, as a share of that after warm-up
    warm_up_us: int = 6_000_000  # duration of the warm-up
    configured_warm_up_us: int = 0  # duration of the warm-up in the gateways' configuration; 0: `warm_up_us`
    work_hint_factor: float = 1.0  # cost that clients announce for a request, as a share of its actual work
    key_retention_us: int = 8_000_000  # a key is remembered for so long after its last request
    key_saved_work_share: float = 0.5  # share of a request's work that a remembered key saves
    max_keys: int = 400  # maximum of remembered keys
    handshake_us: int = 10_000  # work for a new connection
    report_interval_us: int = 800_000  # interval of load reports
    max_report_age_us: int = 400_000  # maximum age of a load report when it is sent
    report_noise: float = 0.05  # relative error of a load report
    idle_timeout_us: int = 60_000_000  # idle timeout of a connection


def rule_overrides(rules: Rules, classes: Mapping[str, RequestClass]) -> RuleOverrides:
    """Return where rules and classes differ from the defaults.

    The event log records that, so that it can be checked later without the scenario.
    """
    default_rules = asdict(Rules())
    changed_fields = {
        name: {key: value for key, value in asdict(request_class).items() if value != asdict(CLASSES[name])[key]}
        for name, request_class in classes.items()
    }
    return RuleOverrides(
        now_us(), {key: value for key, value in asdict(rules).items() if value != default_rules[key]},
        {name: fields for name, fields in changed_fields.items() if fields},
    )  # fmt: skip


def draw_uniform(rng: random.Random, bounds: tuple[int, int]) -> int:
    """Return a random whole number between two bounds."""
    return int(rng.uniform(*bounds))


def settings(
    gateway_count: int,
    index: int,
    zone_index: int,
    backend_type: BackendType,
    rules: Rules,
    classes: Mapping[str, RequestClass] = CLASSES,
) -> dict[str, Any]:
    """Return the settings object of a gateway's configuration."""
    return {
        "balancers": gateway_count,
        "index": index,
        "zone": zone_index,
        "zones": list(ZONES),
        "shapes": [backend_type.name],
        "tenants": [{"name": name, "fraction": 1 / len(TENANTS)} for name in TENANTS],
        "membershipMode": "on_request",
        "worthBy": "work",
        "objectiveMix": {"whole": 0.7, "worstWindow": 0.1, "worstClass": 0.2},
        "prices": {
            "crossZone": 0.08, "handshake": 0.03, "waste": 0.05, "lateFail": 0.08, "connection": 0.03,
            "probe": 0.01, "peer": 0.01,
        },
        "report": {"how": "piggyback", "fields": ["queue", "latency_ms", "qps"]},
        "familyInfo": {"warmKeys": True},
        "caps": {
            "maxAttempts": rules.attempts, "mayCancel": True, "secondCopies": rules.second_copies, "probes": True,
            "retryAfter": True, "maxRetryAfterUs": 1_000_000, "keepaliveUs": backend_type.idle_timeout_us,
            "connectTimeoutUs": 250_000,
        },
        "contract": {
            "answerSlackUs": 0, "stopSendingWithinUs": rules.grace_us, "mustAskInUs": rules.ask_us,
            "startCapacity": backend_type.cold_share,
            "warmAfterUs": backend_type.configured_warm_up_us or backend_type.warm_up_us,
            "tipMultiple": rules.multiple, "fallUs": rules.fall_us,
        },
        "lanes": [
            {
                "name": request_class.name, "effect": LANE_EFFECTS[request_class.effect],
                "aimUs": request_class.aim_us,
                "giveUpUs": request_class.give_up_us, "value": request_class.worth, "lateValue": 0.0,
            } | ({"group": "cell", "windowUs": request_class.window_us} if request_class.effect == "keyed" else {})
            for request_class in classes.values()
        ],
    }  # fmt: skip


def configuration(
    name: str, listen: str, discovery: str, seed: str, known: Sequence[dict[str, Any]],
    settings: dict[str, Any], rules: Rules | None = None,
) -> dict[str, Any]:  # fmt: skip
    """Return the configuration of a gateway, as in the file that LB_CONFIG names."""
    rules = rules or Rules()
    return {
        "name": name, "listen": listen, "discovery": discovery, "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": rules.memory_mib, "sockets": rules.sockets},
        "known": {"index": 1, "snapshot": True, "endpoints": list(known)},
        "settings": settings,
    }  # fmt: skip
