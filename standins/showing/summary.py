"""Figures of a play from its ledger: service, latency, attempts, connections. Pure; the checker judges, not this."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

from standins.checker import RULES, Checker
from standins.event_log import (
    BackendAttempt,
    BackendLoad,
    EventLog,
    MisbehavingClient,
    OperationStarted,
    ProcessEvent,
    RequestSent,
    ResourceUsage,
    ResponseMissing,
    ResponseReceived,
)
from standins.site import CLASSES, Klass


def quantile(values: Sequence[float], share: float) -> float:
    """The value below which this share lies; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


@dataclass(slots=True)
class ClassFigures:
    """One class. Times in milliseconds, shares from 0 to 1."""

    wanted: int = 0
    in_time: int = 0  # answered within the aim, over all tries
    service: float = 0.0
    tries: int = 0
    statuses: dict[str, int] = field(default_factory=dict)
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    longest: float = 0.0
    attempts: float = 0.0  # sent to boxes, for each try that was sent on at all


@dataclass(slots=True)
class Summary:
    scenario: str
    seed: int
    seconds: float
    service: float  # by worth
    classes: dict[str, ClassFigures]
    connections: float  # to a box at the most, seen a few times a second
    rude: int
    rude_owed: int  # got neither an error nor a close in time
    memory_mib: float  # of a gateway at the most
    descriptors: int
    cpu_us: float  # of all gateways, for each try
    restarts: int
    cold: float  # most that a cold box was sent, as a share of what pushes it over
    breaches: dict[str, int]

    def as_object(self) -> dict[str, Any]:
        return asdict(self)


def latencies(ledger: EventLog) -> dict[str, list[tuple[int, float]]]:
    """By class: when served tries were asked, and how long they took in ms."""
    asked = {entry.id: entry for entry in ledger.events_of(RequestSent)}
    found: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for final in ledger.events_of(ResponseReceived):
        if final.status == 200 and final.id in asked:
            ask = asked[final.id]
            found[ask.request_class].append((ask.at_us, (final.at_us - ask.at_us) / 1e3))
    return found


def served_in_time(ledger: EventLog, classes: Mapping[str, Klass] = CLASSES) -> dict[str, int]:
    """First tries' ids of what was answered within its aim, and when it was wanted."""
    wanted = {entry.id: entry for entry in ledger.events_of(OperationStarted)}
    firsts = {entry.id: entry.first_id for entry in ledger.events_of(RequestSent)}
    served: dict[str, int] = {}
    for final in ledger.events_of(ResponseReceived):
        want = wanted.get(firsts.get(final.id, ""))
        if final.status == 200 and want and final.at_us - want.at_us <= classes[want.request_class].aim_us:
            served[want.id] = want.at_us
    return served


def summarise(checker: Checker, scenario: str, seed: int, seconds: float) -> Summary:
    """Of a ledger that has been judged."""
    ledger = checker.event_log
    figures = {name: ClassFigures() for name in CLASSES}
    served = served_in_time(ledger)
    for want in ledger.events_of(OperationStarted):
        figures[want.request_class].wanted += 1
        figures[want.request_class].in_time += want.id in served
    asked = {entry.id: entry for entry in ledger.events_of(RequestSent)}
    for entry in asked.values():
        figures[entry.request_class].tries += 1
    statuses: dict[str, Counter[str]] = defaultdict(Counter)
    finals: list[ResponseReceived | ResponseMissing] = [
        *ledger.events_of(ResponseReceived),
        *ledger.events_of(ResponseMissing),
    ]
    for final in finals:
        if final.id in asked:
            said = str(final.status) if isinstance(final, ResponseReceived) else final.how
            statuses[asked[final.id].request_class][said] += 1
    sent: dict[str, Counter[str]] = defaultdict(Counter)
    for run in ledger.events_of(BackendAttempt):
        if run.received_us:
            sent[run.request_class][run.id] += 1
    times = latencies(ledger)
    worth = asked_worth = 0.0
    for name, one in figures.items():
        took = [ms for _, ms in times.get(name, [])]
        one.p50, one.p90, one.p99 = quantile(took, 0.5), quantile(took, 0.9), quantile(took, 0.99)
        one.longest = max(took, default=0.0)
        one.service = one.in_time / one.wanted if one.wanted else 0.0
        one.statuses = dict(statuses[name].most_common())
        one.attempts = sum(sent[name].values()) / len(sent[name]) if sent[name] else 0.0
        worth += CLASSES[name].worth * one.in_time
        asked_worth += CLASSES[name].worth * one.wanted
    rude = list(ledger.events_of(MisbehavingClient))
    usage = list(ledger.events_of(ResourceUsage))
    tries = sum(one.tries for one in figures.values())
    found = Counter[str](breach.rule for breach in checker.violations)
    return Summary(
        scenario, seed, seconds, worth / asked_worth if asked_worth else 0.0, figures,
        float(max((load.connections for load in ledger.events_of(BackendLoad)), default=0)),
        len(rude), found["owed"],
        max((u.rss_kib for u in usage), default=0) / 1024, max((u.descriptors for u in usage), default=0),
        cpu_of(usage) / tries if tries else 0.0,
        sum(p.what == "start" for p in ledger.events_of(ProcessEvent))
        - len({p.gateway for p in ledger.events_of(ProcessEvent)}),
        max(checker.slow_start_peaks.values(), default=0.0), {rule: found[rule] for rule in RULES},
    )  # fmt: skip


def cpu_of(usage: Sequence[ResourceUsage]) -> float:
    """CPU time of all processes: a figure that falls belongs to a new process."""
    total, last = 0.0, dict[str, int]()
    for entry in usage:
        before = last.get(entry.gateway, 0)
        total += entry.cpu_us - before if entry.cpu_us >= before else entry.cpu_us
        last[entry.gateway] = entry.cpu_us
    return total
