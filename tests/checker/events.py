"""Builders of events for the tests of the checker."""

from __future__ import annotations

from dataclasses import replace

from standins.event_log import (
    BackendAttempt,
    BackendStarted,
    DiscoveryPoll,
    Event,
    NotificationDelivered,
    ProcessEvent,
    RequestSent,
    ResponseReceived,
    RuleOverrides,
)

SECOND_US = 1_000_000
BEGIN_US = 1_000 * SECOND_US
BUDGET_US = 300_000
MS_US = 1_000


def gateway_started(gateway: str = "n0", at_us: int = BEGIN_US - 10 * SECOND_US) -> list[Event]:
    """Return the start of a gateway's process that watches the registry from then on."""
    return [ProcessEvent(at_us, gateway, "start"), DiscoveryPoll(at_us, gateway)]


def request_sent(
    id_: str = "r", request_class: str = "search", at_us: int = BEGIN_US, budget_us: int = BUDGET_US
) -> RequestSent:
    """Return a request that a client sent."""
    return RequestSent(
        at_us, id_, request_class, "n0", budget_us, idempotency_key=f"k-{id_}" if request_class == "hold" else ""
    )


def attempt(
    id_: str = "r",
    request_class: str = "search",
    at_us: int = BEGIN_US + 2 * MS_US,
    backend: str = "s-0",
    how: str = "ok",
    took_us: int = 80 * MS_US,
    group: int = 0,
    is_received: bool = True,
    work_us: int = 50 * MS_US,
    incarnation: int = 1,
) -> BackendAttempt:
    """Return an attempt at a backend; it was received completely if `is_received`."""
    result = BackendAttempt(
        at_us, backend, incarnation, group, id_, request_class, gateway="n0", work_us=work_us, how=how
    )
    if is_received:
        result.received_us = at_us + 100
    if how not in ("rejected", "coming"):
        result.started_us = at_us + 200
    result.ended_us = at_us + took_us
    return result


def response(id_: str = "r", at_us: int = BEGIN_US + 90 * MS_US, status: int = 200) -> ResponseReceived:
    """Return the response to a request."""
    return ResponseReceived(at_us, id_, status, id_ if status == 200 else "")


def slow_starting_backend(at_us: int = BEGIN_US - SECOND_US) -> BackendStarted:
    """Return the start of a backend that warms up for nine seconds."""
    return BackendStarted(at_us, "s-0", 1, 2, 0.3, 9 * SECOND_US)


def load_of(total_us: int, count: int = 10, first_us: int = BEGIN_US, name: str = "w") -> list[Event]:
    """Return served requests within 0.9 s that have equal parts of the total work."""
    events: list[Event] = []
    for n in range(count):
        at_us = first_us + n * 900_000 // count
        id_ = f"{name}{n}"
        events += [
            request_sent(id_, at_us=at_us),
            attempt(id_, at_us=at_us + 2 * MS_US, work_us=total_us // count),
            response(id_, at_us + 90 * MS_US),
        ]
    return events


def slow_start_limit_us(last_sent_us: int) -> int:
    """Return the limit of slow_starting_backend() when the last request of a load has arrived."""
    age = (last_sent_us + 100 - (BEGIN_US - SECOND_US)) / (9 * SECOND_US)
    return int(3 * (0.3 + 0.7 * age) * 2 * SECOND_US)


LAST_SENT_US = BEGIN_US + 9 * 90 * MS_US + 2 * MS_US
COMPLIANT = [*gateway_started(), request_sent(), attempt(), response()]
NO_CONCURRENT_ATTEMPTS = RuleOverrides(BEGIN_US - 20 * SECOND_US, {"second_copies": False}, {})
DRAIN_NOTIFICATION = NotificationDelivered(BEGIN_US - 2 * SECOND_US, "n0", "s-0", "DRAINING")


def sent_after_grace(over_us: int) -> list[Event]:
    """Return events with an attempt that is sent `over_us` after the grace period of a drain."""
    first_us = BEGIN_US + 2 * MS_US
    notification = replace(DRAIN_NOTIFICATION, at_us=first_us - SECOND_US - over_us)
    return [*gateway_started(), notification, request_sent(), attempt(at_us=first_us), response()]


def hold_repeated(after_us: int, group: int = 0) -> list[Event]:
    """Return events with a hold that is repeated `after_us` after its first attempt, which may have run."""
    first = attempt(request_class="hold", how="cancelled", at_us=BEGIN_US)
    second = attempt(request_class="hold", backend="s-2", at_us=BEGIN_US + after_us, group=group, how="duplicate")
    final = response(at_us=BEGIN_US + after_us + 90 * MS_US)
    return [
        *gateway_started(),
        request_sent(request_class="hold", at_us=BEGIN_US - MS_US, budget_us=3 * SECOND_US),
        first,
        second,
        final,
    ]
