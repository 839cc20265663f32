"""The operators' figures as the brief gives them: classes, what they need, and a gateway's configuration."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from standins.event_log import RuleOverrides, now_us

ROOMS = ("kita-room", "higashi-room")
TENANTS = ("central", "university", "schools", "coast")


@dataclass(slots=True, frozen=True)
class Klass:
    """One class of requests. Times in microseconds."""

    name: str
    effect: str  # "safe", "keyed" or "unsafe"
    share: float  # of the requests
    work_us: tuple[int, int]  # on a core
    waits_us: tuple[int, int]  # on others: no core is held
    aim_us: int
    give_up_us: int
    worth: float
    window_us: int = 0  # keyed: how long the boxes of a shelf drop a repeat


CLASSES = {
    klass.name: klass
    for klass in (
        Klass("search", "safe", 0.42, (29_000, 53_000), (28_000, 52_000), 300_000, 750_000, 1.0),
        Klass("hold", "keyed", 0.38, (45_000, 82_000), (29_000, 54_000), 600_000, 1_500_000, 8.0, 1_500_000),
        Klass("transfer", "unsafe", 0.20, (45_000, 82_000), (15_000, 27_000), 600_000, 3_000_000, 3.0),
    )
}
EFFECTS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
MEAN_WORK_US = sum(k.share * sum(k.work_us) / 2 for k in CLASSES.values())


@dataclass(slots=True, frozen=True)
class Rules:
    """The figures of the four rules. Times in microseconds."""

    grace_us: int = 1_000_000  # after word that a box drains or is gone
    slack_us: int = 50_000  # every time limit on sockets is this much longer
    multiple: float = 3.0  # of what a cold box can do
    fall_us: int = 1_000_000  # in so long
    rude_us: int = 3_000_000  # for a client that breaks the protocol: an error or a close
    ask_us: int = 10_000_000  # a gateway that was silent to the registry for so long counts as told
    attempts: int = 6  # of one request by one gateway
    second_copies: bool = True  # two of them may be out together
    # Of one gateway's process
    memory_mib: int = 192
    sockets: int = 512


@dataclass(slots=True, frozen=True)
class BoxKind:
    """What a box can do. Times in microseconds."""

    name: str = "small-2c"
    cores: int = 2
    queue: int = 40  # requests that wait; more are turned away
    connections: int = 100  # open at once; a further one is closed at once
    cold_share: float = 0.35
    warm_us: int = 6_000_000
    warm_told_us: int = 0  # what gateways are told of it; 0: the truth
    hint: float = 1.0  # what clients tell of the work, as a share of it
    key_us: int = 8_000_000  # a key met in so long
    key_saves: float = 0.5  # saves this share of the work
    keys: int = 400  # remembered at most
    handshake_us: int = 10_000  # of work for a new connection
    report_us: int = 800_000  # between refreshed load reports
    report_late_us: int = 400_000
    report_noise: float = 0.05
    idle_us: int = 60_000_000


def terms(rules: Rules, classes: Mapping[str, Klass]) -> RuleOverrides:
    """What differs from the usual, for the ledger: who judges it later has nothing else."""
    usual = asdict(Rules())
    changed = {
        name: {key: value for key, value in asdict(klass).items() if value != asdict(CLASSES[name])[key]}
        for name, klass in classes.items()
    }
    return RuleOverrides(
        now_us(), {key: value for key, value in asdict(rules).items() if value != usual[key]},
        {name: of for name, of in changed.items() if of},
    )  # fmt: skip


def draw(dice: random.Random, between: tuple[int, int]) -> int:
    return int(dice.uniform(*between))


def settings(
    gateways: int, number: int, room: int, kind: BoxKind, rules: Rules, classes: Mapping[str, Klass] = CLASSES
) -> dict[str, Any]:
    """The settings object of a gateway's configuration."""
    return {
        "balancers": gateways,
        "index": number,
        "zone": room,
        "zones": list(ROOMS),
        "shapes": [kind.name],
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
            "retryAfter": True, "maxRetryAfterUs": 1_000_000, "keepaliveUs": kind.idle_us,
            "connectTimeoutUs": 250_000,
        },
        "contract": {
            "answerSlackUs": 0, "stopSendingWithinUs": rules.grace_us, "mustAskInUs": rules.ask_us,
            "startCapacity": kind.cold_share, "warmAfterUs": kind.warm_told_us or kind.warm_us,
            "tipMultiple": rules.multiple, "fallUs": rules.fall_us,
        },
        "lanes": [
            {
                "name": klass.name, "effect": EFFECTS[klass.effect], "aimUs": klass.aim_us,
                "giveUpUs": klass.give_up_us, "value": klass.worth, "lateValue": 0.0,
            } | ({"group": "cell", "windowUs": klass.window_us} if klass.effect == "keyed" else {})
            for klass in classes.values()
        ],
    }  # fmt: skip


def configuration(
    name: str, listen: str, discovery: str, seed: str, known: Sequence[dict[str, Any]],
    settings: dict[str, Any], rules: Rules | None = None,
) -> dict[str, Any]:  # fmt: skip
    """What LB_CONFIG names, as an object."""
    rules = rules or Rules()
    return {
        "name": name, "listen": listen, "discovery": discovery, "seed": seed,
        "limits": {"cores": 1.0, "memory_mb": rules.memory_mib, "sockets": rules.sockets},
        "known": {"index": 1, "snapshot": True, "endpoints": list(known)},
        "settings": settings,
    }  # fmt: skip
