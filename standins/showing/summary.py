"""Figures of a scenario run from its event log: service, latency, attempts, connections. Pure; checks no rules."""

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
from standins.site import CLASSES, RequestClass


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which this share of the values lies; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


@dataclass(slots=True)
class ClassFigures:
    """Figures of a request class. Times in milliseconds, shares from 0 to 1.

    An operation takes one request, or several if the client retries.
    """

    wanted: int = 0  # operations
    in_time: int = 0  # operations served within the latency objective, retries included
    service: float = 0.0  # share of the operations that were served in time
    tries: int = 0  # requests
    statuses: dict[str, int] = field(default_factory=dict)
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0
    longest: float = 0.0
    attempts: float = 0.0  # mean number per request that reached a backend


@dataclass(slots=True)
class Summary:
    """Figures of a scenario run. The field names are the keys of the JSON report."""

    scenario: str
    seed: int
    seconds: float
    service: float  # share of the operations served in time, weighted by the worth of their class
    classes: dict[str, ClassFigures]
    connections: float  # maximum at a backend, sampled a few times a second
    rude: int  # misbehaving clients
    rude_owed: int  # those that got neither an error nor a close in time
    memory_mib: float  # maximum of a gateway
    descriptors: int  # maximum of a gateway
    cpu_us: float  # of all gateways, per request
    restarts: int
    cold: float  # maximum load of a backend in slow start, as a share of what makes it collapse
    breaches: dict[str, int]  # number of violations by rule

    def as_json(self) -> dict[str, Any]:
        """Return the object of the JSON report."""
        return asdict(self)


def served_latencies(event_log: EventLog) -> dict[str, list[tuple[int, float]]]:
    """Return by class when each served request was sent, in µs, and its latency in ms."""
    requests = {entry.id: entry for entry in event_log.events_of(RequestSent)}
    latencies: dict[str, list[tuple[int, float]]] = defaultdict(list)
    for response in event_log.events_of(ResponseReceived):
        if response.status == 200 and response.id in requests:
            request = requests[response.id]
            latencies[request.request_class].append((request.at_us, (response.at_us - request.at_us) / 1e3))
    return latencies


def served_in_time(event_log: EventLog, classes: Mapping[str, RequestClass] = CLASSES) -> dict[str, int]:
    """Return the operations that were served within their latency objective, by id, and when each started."""
    operations = {entry.id: entry for entry in event_log.events_of(OperationStarted)}
    first_ids = {entry.id: entry.first_id for entry in event_log.events_of(RequestSent)}
    served: dict[str, int] = {}
    for response in event_log.events_of(ResponseReceived):
        operation = operations.get(first_ids.get(response.id, ""))
        if (
            response.status == 200
            and operation
            and response.at_us - operation.at_us <= classes[operation.request_class].aim_us
        ):
            served[operation.id] = operation.at_us
    return served


def summarise(checker: Checker, scenario: str, seed: int, seconds: float) -> Summary:
    """Return the figures of a run whose event log the checker has checked."""
    event_log = checker.event_log
    figures = {name: ClassFigures() for name in CLASSES}
    served = served_in_time(event_log)
    for operation in event_log.events_of(OperationStarted):
        figures[operation.request_class].wanted += 1
        figures[operation.request_class].in_time += operation.id in served
    requests = {entry.id: entry for entry in event_log.events_of(RequestSent)}
    for entry in requests.values():
        figures[entry.request_class].tries += 1
    statuses: dict[str, Counter[str]] = defaultdict(Counter)
    outcomes: list[ResponseReceived | ResponseMissing] = [
        *event_log.events_of(ResponseReceived),
        *event_log.events_of(ResponseMissing),
    ]
    for outcome in outcomes:
        if outcome.id in requests:
            status = str(outcome.status) if isinstance(outcome, ResponseReceived) else outcome.how
            statuses[requests[outcome.id].request_class][status] += 1
    sent: dict[str, Counter[str]] = defaultdict(Counter)
    for attempt in event_log.events_of(BackendAttempt):
        if attempt.received_us:
            sent[attempt.request_class][attempt.id] += 1
    latencies = served_latencies(event_log)
    served_worth = total_worth = 0.0
    for name, class_figures in figures.items():
        latencies_ms = [ms for _, ms in latencies.get(name, [])]
        class_figures.p50, class_figures.p90, class_figures.p99 = (
            quantile(latencies_ms, 0.5),
            quantile(latencies_ms, 0.9),
            quantile(latencies_ms, 0.99),
        )
        class_figures.longest = max(latencies_ms, default=0.0)
        class_figures.service = class_figures.in_time / class_figures.wanted if class_figures.wanted else 0.0
        class_figures.statuses = dict(statuses[name].most_common())
        class_figures.attempts = sum(sent[name].values()) / len(sent[name]) if sent[name] else 0.0
        served_worth += CLASSES[name].worth * class_figures.in_time
        total_worth += CLASSES[name].worth * class_figures.wanted
    misbehaving = list(event_log.events_of(MisbehavingClient))
    usage = list(event_log.events_of(ResourceUsage))
    tries = sum(class_figures.tries for class_figures in figures.values())
    violation_counts = Counter[str](violation.rule for violation in checker.violations)
    return Summary(
        scenario, seed, seconds, served_worth / total_worth if total_worth else 0.0, figures,
        float(max((load.connections for load in event_log.events_of(BackendLoad)), default=0)),
        len(misbehaving), violation_counts["owed"],
        max((sample.rss_kib for sample in usage), default=0) / 1024,
        max((sample.descriptors for sample in usage), default=0),
        total_cpu_us(usage) / tries if tries else 0.0,
        sum(event.what == "start" for event in event_log.events_of(ProcessEvent))
        - len({event.gateway for event in event_log.events_of(ProcessEvent)}),
        max(checker.slow_start_peaks.values(), default=0.0), {rule: violation_counts[rule] for rule in RULES},
    )  # fmt: skip


def total_cpu_us(usage: Sequence[ResourceUsage]) -> float:
    """Return the CPU time of all gateway processes: where a gateway's counter falls, a new process has started."""
    total_us, last_us = 0.0, dict[str, int]()
    for entry in usage:
        previous_us = last_us.get(entry.gateway, 0)
        total_us += entry.cpu_us - previous_us if entry.cpu_us >= previous_us else entry.cpu_us
        last_us[entry.gateway] = entry.cpu_us
    return total_us
