"""Timelines of requests and backends, which are part of violations."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from standins.checker.observations import Observations
from standins.checker.violations import Rule, Violation
from standins.event_log import BackendAttempt, BackendStarted, RequestSent, ResponseReceived

NOTIFICATION_CONTEXT_US: Final = 10_000_000  # notifications this long before an attempt are shown
PROCESS_CONTEXT_US: Final = 5_000_000  # signals to the gateway this long before and after a request are shown


@dataclass(slots=True, frozen=True, order=True)
class TimelineEntry:
    """One line of a timeline."""

    at_us: int
    text: str


def request_violation(observations: Observations, id_: str, rule: Rule, at_us: int, description: str) -> Violation:
    """Return a violation that concerns a request, with the request's timeline."""
    return Violation(rule, at_us, id_, description, tuple(request_timeline(observations, id_)))


def request_timeline(observations: Observations, id_: str) -> list[str]:
    """Return all observations of a request, in milliseconds since it was first sent."""
    requests = observations.requests_by_id.get(id_, [])
    entries = [TimelineEntry(request.at_us, describe_request(request)) for request in requests]
    for attempt in observations.attempts_by_id.get(id_, []):
        entries += attempt_entries(attempt)
        entries += notification_entries(observations, attempt)
    for outcome in observations.outcomes_by_id.get(id_, []):
        text = (
            f"response {outcome.status}" if isinstance(outcome, ResponseReceived) else f"no response ({outcome.how})"
        )
        entries.append(TimelineEntry(outcome.at_us, f"client: {text}"))
    if id_ in observations.disconnected_us_by_id:
        entries.append(TimelineEntry(observations.disconnected_us_by_id[id_], "client: disconnected"))
    for gateway in {request.gateway for request in requests}:
        add_process_entries(entries, observations, gateway)
    return format_timeline(entries, requests[0].at_us if requests else None)


def describe_request(request: RequestSent) -> str:
    """Return the line of a request's arrival at a gateway."""
    text = f"client: {request.request_class} to {request.gateway}, {request.budget_us // 1000} ms"
    if request.idempotency_key:
        text += f", key {request.idempotency_key}"
    if request.first_id not in ("", request.id):
        text += f", a retry of {request.first_id}"
    if request.is_resend:
        text += ", sent again on a new connection"
    return text


def attempt_entries(attempt: BackendAttempt) -> list[TimelineEntry]:
    """Return the lines of an attempt at a backend."""
    place = f"{attempt.backend}#{attempt.incarnation}"
    sent = f"gateway {attempt.gateway or '?'}: first byte to {place} (group {attempt.group})"
    entries = [TimelineEntry(attempt.at_us, sent)]
    moments = ((attempt.received_us, "received"), (attempt.started_us, "started"), (attempt.ended_us, attempt.how))
    entries += [TimelineEntry(at_us, f"{place}: {text}") for at_us, text in moments if at_us]
    return entries


def notification_entries(observations: Observations, attempt: BackendAttempt) -> list[TimelineEntry]:
    """Return the recent notifications to the attempt's gateway about its backend."""
    gateway = observations.sender_of(attempt)
    return [
        TimelineEntry(event.at_us, f"registry: notified {event.gateway} that {event.backend} is {event.status}")
        for event in observations.notifications.notifications(gateway, attempt.backend)
        if attempt.at_us - NOTIFICATION_CONTEXT_US < event.at_us <= attempt.at_us
    ]


def add_process_entries(entries: list[TimelineEntry], observations: Observations, gateway: str) -> None:
    """Add signals and exits of the gateway's processes near the existing entries; each addition extends the range."""
    for lifetime in observations.processes.lifetimes_by_gateway.get(gateway, []):
        moments = ((lifetime.term_us, "SIGTERM"), (lifetime.kill_us, "SIGKILL"), (lifetime.end_us, "exited"))
        for at_us, text in moments:
            begin_us = min(entries).at_us - PROCESS_CONTEXT_US
            end_us = max(entries).at_us + PROCESS_CONTEXT_US
            if begin_us < at_us < end_us:
                entries.append(TimelineEntry(at_us, f"gateway {gateway}: {text}"))


def backend_timeline(
    start: BackendStarted, attempts: Sequence[BackendAttempt], at_us: int, window_us: int
) -> list[str]:
    """Return a backend's start, and what it received in the window up to `at_us`, in ms since the start."""
    text = f"{start.backend}#{start.incarnation}: up, {start.initial_capacity:.0%} of {start.cores} cores"
    entries = [TimelineEntry(start.at_us, text)]
    for attempt in attempts:
        if at_us - window_us < attempt.received_us <= at_us:
            text = f"{attempt.gateway or '?'}: {attempt.request_class} {attempt.id}, "
            text += f"{attempt.work_us / 1e3:.1f} ms of work, {attempt.how}"
            entries.append(TimelineEntry(attempt.received_us, text))
    return format_timeline(entries, start.at_us)


def format_timeline(entries: Sequence[TimelineEntry], zero_us: int | None) -> list[str]:
    """Return the lines in order of time, in milliseconds since `zero_us`, or since the first of them."""
    ordered = sorted(entries)
    if zero_us is None:
        zero_us = ordered[0].at_us if ordered else 0
    return [f"{(entry.at_us - zero_us) / 1e3:+10.1f} ms  {entry.text}" for entry in ordered]
