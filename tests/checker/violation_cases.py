"""Events that violate a rule, each with the most similar events that comply with it."""

from __future__ import annotations

from dataclasses import dataclass, replace

from standins.event_log import (
    BackendStopped,
    ClientDisconnected,
    DiscoveryPoll,
    EndpointChanged,
    Event,
    ManualEjection,
    MisbehavingClient,
    NotificationDelivered,
    ProcessEvent,
    ResourceUsage,
    ResponseMissing,
    ResponseReceived,
    RuleOverrides,
    UnexpectedBytes,
)
from tests.checker.events import (
    BEGIN_US,
    BUDGET_US,
    COMPLIANT,
    DRAIN_NOTIFICATION,
    LAST_SENT_US,
    MS_US,
    NO_CONCURRENT_ATTEMPTS,
    SECOND_US,
    attempt,
    gateway_started,
    hold_repeated,
    load_of,
    request_sent,
    response,
    sent_after_grace,
    slow_start_limit_us,
    slow_starting_backend,
)


@dataclass(slots=True, frozen=True)
class ViolationCase:
    """Events that violate one rule, and the most similar events that violate none."""

    rule: str  # value of Rule
    name: str  # what happens in the violating events, and in the compliant ones
    violating: list[Event]
    compliant: list[Event]


CASES = [
    ViolationCase(
        "missing",
        "response 51 ms late, and 49 ms late",
        [
            *gateway_started(),
            request_sent(),
            attempt(took_us=340 * MS_US),
            response(at_us=BEGIN_US + BUDGET_US + 51 * MS_US),
        ],
        [
            *gateway_started(),
            request_sent(),
            attempt(took_us=340 * MS_US),
            response(at_us=BEGIN_US + BUDGET_US + 49 * MS_US),
        ],
    ),
    ViolationCase(
        "missing",
        "connection closed by a running gateway, and by a killed one",
        [*gateway_started(), request_sent(), attempt(), ResponseMissing(BEGIN_US + 50 * MS_US, "r", "reset")],
        [
            *gateway_started(),
            request_sent(),
            attempt(),
            ProcessEvent(BEGIN_US + 49 * MS_US, "n0", "KILL"),
            ResponseMissing(BEGIN_US + 50 * MS_US, "r", "reset"),
            ProcessEvent(BEGIN_US + 51 * MS_US, "n0", "exit", -9),
        ],
    ),
    ViolationCase(
        "missing",
        "no response, and no response after the client disconnected",
        [
            *gateway_started(),
            request_sent(),
            attempt(),
            response("other", BEGIN_US + 5 * SECOND_US),
            request_sent("other"),
            attempt("other"),
        ],
        [
            *gateway_started(),
            request_sent(),
            attempt(),
            ClientDisconnected(BEGIN_US + 50 * MS_US, "r"),
            response("other"),
            request_sent("other"),
            attempt("other"),
        ],
    ),
    ViolationCase(
        "missing",
        "response of another request, and its own response",
        [*gateway_started(), request_sent(), attempt(), ResponseReceived(BEGIN_US + 90 * MS_US, "r", 200, "q")],
        COMPLIANT,
    ),
    ViolationCase(
        "missing",
        "status 200 though no backend responded, and status 502",
        [*gateway_started(), request_sent(), attempt(how="cancelled"), response()],
        [*gateway_started(), request_sent(), attempt(how="cancelled"), response(status=502)],
    ),
    ViolationCase(
        "missing",
        "attempt sent 51 ms after the final response, and 49 ms after it",
        [*COMPLIANT, attempt(backend="s-1", at_us=BEGIN_US + 141 * MS_US + 1)],
        [*COMPLIANT, attempt(backend="s-1", at_us=BEGIN_US + 139 * MS_US)],
    ),
    ViolationCase(
        "missing",
        "request unanswered at a SIGKILL 0.8 s after SIGTERM, and 0.6 s after",
        [
            *gateway_started(),
            request_sent(budget_us=2 * SECOND_US),
            ProcessEvent(BEGIN_US + MS_US, "n0", "TERM"),
            ProcessEvent(BEGIN_US + 801 * MS_US, "n0", "KILL"),
            ResponseMissing(BEGIN_US + 802 * MS_US, "r", "reset"),
        ],
        [
            *gateway_started(),
            request_sent(budget_us=2 * SECOND_US),
            ProcessEvent(BEGIN_US + MS_US, "n0", "TERM"),
            ProcessEvent(BEGIN_US + 601 * MS_US, "n0", "KILL"),
            ResponseMissing(BEGIN_US + 602 * MS_US, "r", "reset"),
        ],
    ),
    ViolationCase(
        "missing",
        "bytes after the response, and none",
        [*COMPLIANT, UnexpectedBytes(BEGIN_US + 95 * MS_US, "r", "HTTP/1.1 200 OK")],
        COMPLIANT,
    ),
    ViolationCase(
        "missing",
        "smuggled request is served, and rejected",
        [*COMPLIANT, MisbehavingClient(BEGIN_US, "both framings", "n0", BEGIN_US + 90 * MS_US, 200)],
        [*COMPLIANT, MisbehavingClient(BEGIN_US, "both framings", "n0", BEGIN_US + 90 * MS_US, 400)],
    ),
    ViolationCase(
        "twice",
        "transfer repeated after a reset, and after a rejection",
        [
            *gateway_started(),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="error", took_us=20 * MS_US),
            attempt(request_class="transfer", backend="s-1", at_us=BEGIN_US + 30 * MS_US, took_us=50 * MS_US),
            response(),
        ],
        [
            *gateway_started(),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="rejected", took_us=20 * MS_US),
            attempt(request_class="transfer", backend="s-1", at_us=BEGIN_US + 30 * MS_US, took_us=50 * MS_US),
            response(),
        ],
    ),
    ViolationCase(
        "twice",
        "transfer repeated before its rejection, and after an attempt that was not received completely",
        [
            *gateway_started(),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="rejected", took_us=40 * MS_US),
            attempt(request_class="transfer", backend="s-1", at_us=BEGIN_US + 30 * MS_US, took_us=50 * MS_US),
            response(),
        ],
        [
            *gateway_started(),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="coming", is_received=False),
            attempt(request_class="transfer", backend="s-1", at_us=BEGIN_US + 30 * MS_US, took_us=50 * MS_US),
            response(),
        ],
    ),
    ViolationCase(
        "twice",
        "client repeats a transfer after a close by a running gateway, and by a killed one",
        [
            *gateway_started(),
            *gateway_started("n1"),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="cancelled"),
            replace(
                request_sent(request_class="transfer", at_us=BEGIN_US + 50 * MS_US), gateway="n1", is_resend=True
            ),
            replace(attempt(request_class="transfer", at_us=BEGIN_US + 51 * MS_US, took_us=30 * MS_US), gateway="n1"),
            response(),
        ],
        [
            *gateway_started(),
            *gateway_started("n1"),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="cancelled"),
            ProcessEvent(BEGIN_US + 40 * MS_US, "n0", "KILL"),
            ProcessEvent(BEGIN_US + 41 * MS_US, "n0", "exit", -9),
            replace(
                request_sent(request_class="transfer", at_us=BEGIN_US + 50 * MS_US), gateway="n1", is_resend=True
            ),
            replace(attempt(request_class="transfer", at_us=BEGIN_US + 51 * MS_US, took_us=30 * MS_US), gateway="n1"),
            response(),
        ],
    ),
    ViolationCase(
        "twice",
        "transfer that may have run is refused, and failed",
        [
            *gateway_started(),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="cancelled"),
            response(status=503),
        ],
        [
            *gateway_started(),
            request_sent(request_class="transfer"),
            attempt(request_class="transfer", how="cancelled"),
            response(status=504),
        ],
    ),
    ViolationCase(
        "twice",
        "hold repeated after 1.51 s, and after 1.49 s",
        hold_repeated(1_510 * MS_US),
        hold_repeated(1_490 * MS_US),
    ),
    ViolationCase(
        "twice",
        "hold repeated in another group, and in its own",
        hold_repeated(100 * MS_US, 1),
        hold_repeated(100 * MS_US, 0),
    ),
    ViolationCase(
        "twice",
        "hold that may have run is refused, and a search",
        [
            *gateway_started(),
            request_sent(request_class="hold"),
            attempt(request_class="hold", how="cancelled"),
            response(status=429),
        ],
        [*gateway_started(), request_sent(), attempt(how="cancelled"), response(status=429)],
    ),
    ViolationCase(
        "drain",
        "first byte 51 ms after the grace period, and 49 ms after it",
        sent_after_grace(51 * MS_US),
        sent_after_grace(49 * MS_US),
    ),
    ViolationCase(
        "drain",
        "attempt sent after the grace period, and one that ends after it",
        [*gateway_started(), DRAIN_NOTIFICATION, request_sent(), attempt(), response()],
        [
            *gateway_started(),
            replace(DRAIN_NOTIFICATION, at_us=BEGIN_US - 900 * MS_US),
            request_sent(budget_us=SECOND_US),
            attempt(took_us=700 * MS_US),
            response(at_us=BEGIN_US + 710 * MS_US),
        ],
    ),
    ViolationCase(
        "drain",
        "backend deleted, and backend that serves again since",
        [*gateway_started(), replace(DRAIN_NOTIFICATION, status="DELETED"), request_sent(), attempt(), response()],
        [
            *gateway_started(),
            replace(DRAIN_NOTIFICATION, status="DELETED"),
            NotificationDelivered(BEGIN_US - MS_US, "n0", "s-0", "SERVING"),
            request_sent(),
            attempt(),
            response(),
        ],
    ),
    ViolationCase(
        "drain",
        "gateway that has not polled for longer than allowed, and one that watches",
        [
            ProcessEvent(BEGIN_US - 30 * SECOND_US, "n0", "start"),
            DiscoveryPoll(BEGIN_US - 30 * SECOND_US, "n0", BEGIN_US - 20 * SECOND_US),
            EndpointChanged(BEGIN_US - 15 * SECOND_US, "s-0", "DRAINING"),
            request_sent(),
            attempt(),
            response(),
        ],
        [
            ProcessEvent(BEGIN_US - 30 * SECOND_US, "n0", "start"),
            DiscoveryPoll(BEGIN_US - 30 * SECOND_US, "n0"),
            EndpointChanged(BEGIN_US - 15 * SECOND_US, "s-0", "DRAINING"),
            request_sent(),
            attempt(),
            response(),
        ],
    ),
    ViolationCase(
        "drain",
        "backend ejected by hand while the registry lists it as serving, and reinstated",
        [
            *gateway_started(),
            ManualEjection(BEGIN_US - 2 * SECOND_US, "n0", "s-0"),
            NotificationDelivered(BEGIN_US - MS_US, "n0", "s-0", "SERVING"),
            request_sent(),
            attempt(),
            response(),
        ],
        [
            *gateway_started(),
            ManualEjection(BEGIN_US - 2 * SECOND_US, "n0", "s-0", BEGIN_US - MS_US),
            request_sent(),
            attempt(),
            response(),
        ],
    ),
    ViolationCase(
        "drain",
        "backend ejected by hand before a restart of the gateway, and at another gateway",
        [
            *gateway_started(),
            ManualEjection(BEGIN_US - 3 * SECOND_US, "n0", "s-0"),
            ProcessEvent(BEGIN_US - SECOND_US, "n0", "start"),
            DiscoveryPoll(BEGIN_US - SECOND_US, "n0"),
            request_sent(),
            attempt(),
            response(),
        ],
        [
            *gateway_started(),
            ManualEjection(BEGIN_US - 3 * SECOND_US, "n1", "s-0"),
            request_sent(),
            attempt(),
            response(),
        ],
    ),
    ViolationCase(
        "drain",
        "this process was notified, and an earlier process was",
        [*gateway_started(), DRAIN_NOTIFICATION, request_sent(), attempt(), response()],
        [
            *gateway_started(),
            DRAIN_NOTIFICATION,
            ProcessEvent(BEGIN_US - SECOND_US, "n0", "start"),
            DiscoveryPoll(BEGIN_US - SECOND_US, "n0"),
            request_sent(),
            attempt(),
            response(),
        ],
    ),
    ViolationCase(
        "cold",
        "load just above the limit, and just below it",
        [*gateway_started(), slow_starting_backend(), *load_of(slow_start_limit_us(LAST_SENT_US) + 1_000)],
        [*gateway_started(), slow_starting_backend(), *load_of(slow_start_limit_us(LAST_SENT_US) - 1_000)],
    ),
    ViolationCase(
        "cold",
        "load within one window, and in halves more than a window apart",
        [*gateway_started(), slow_starting_backend(), *load_of(4_000_000)],
        [
            *gateway_started(),
            slow_starting_backend(),
            *load_of(2_000_000),
            *load_of(2_000_000, first_us=BEGIN_US + 1_200 * MS_US, name="v"),
        ],
    ),
    ViolationCase(
        "cold",
        "load on a backend in slow start, and on one after it",
        [*gateway_started(), slow_starting_backend(), *load_of(6_000_000)],
        [*gateway_started(), slow_starting_backend(BEGIN_US - 10 * SECOND_US), *load_of(6_000_000)],
    ),
    ViolationCase(
        "cold",
        "backend collapsed, and backend crashed",
        [*gateway_started(), slow_starting_backend(), BackendStopped(BEGIN_US, "s-0", 1, "fell")],
        [*gateway_started(), slow_starting_backend(), BackendStopped(BEGIN_US, "s-0", 1, "crash")],
    ),
    ViolationCase(
        "crash",
        "exit without a signal, and after SIGTERM",
        [*COMPLIANT, ProcessEvent(BEGIN_US + SECOND_US, "n0", "exit", 1, was_requested=False)],
        [
            *COMPLIANT,
            ProcessEvent(BEGIN_US + SECOND_US, "n0", "TERM"),
            ProcessEvent(BEGIN_US + 2 * SECOND_US, "n0", "exit", 0),
        ],
    ),
    ViolationCase(
        "twice",
        "search sent seven times by one process, and six times",
        [
            *gateway_started(),
            request_sent(),
            *(attempt(at_us=BEGIN_US + n * MS_US, backend=f"s-{n}") for n in range(7)),
            response(),
        ],
        [
            *gateway_started(),
            request_sent(),
            *(attempt(at_us=BEGIN_US + n * MS_US, backend=f"s-{n}") for n in range(6)),
            response(),
        ],
    ),
    ViolationCase(
        "twice",
        "two attempts in flight together although not allowed, and one after the other",
        [
            NO_CONCURRENT_ATTEMPTS,
            *gateway_started(),
            request_sent(),
            attempt(how="cancelled", took_us=200 * MS_US),
            attempt(at_us=BEGIN_US + 100 * MS_US, backend="s-1"),
            response(at_us=BEGIN_US + 200 * MS_US),
        ],
        [
            NO_CONCURRENT_ATTEMPTS,
            *gateway_started(),
            request_sent(),
            attempt(how="cancelled", took_us=80 * MS_US),
            attempt(at_us=BEGIN_US + 100 * MS_US, backend="s-1"),
            response(at_us=BEGIN_US + 200 * MS_US),
        ],
    ),
    ViolationCase(
        "twice",
        "hold repeated after 0.6 s with a window of 0.5 s, and of 1.5 s",
        [
            RuleOverrides(BEGIN_US - 20 * SECOND_US, {}, {"hold": {"window_us": 500 * MS_US}}),
            *hold_repeated(600 * MS_US),
        ],
        hold_repeated(600 * MS_US),
    ),
    ViolationCase(
        "bounds",
        "memory above the limit, and at it",
        [*COMPLIANT, ResourceUsage(BEGIN_US + SECOND_US, "n0", 30_000, 20, 0, peak_kib=193 * 1024)],
        [*COMPLIANT, ResourceUsage(BEGIN_US + SECOND_US, "n0", 30_000, 20, 0, peak_kib=192 * 1024)],
    ),
    ViolationCase(
        "bounds",
        "descriptors above the limit, and at it",
        [*COMPLIANT, ResourceUsage(BEGIN_US + SECOND_US, "n0", 30_000, 513, 0)],
        [*COMPLIANT, ResourceUsage(BEGIN_US + SECOND_US, "n0", 30_000, 512, 0)],
    ),
    ViolationCase(
        "owed",
        "misbehaving client with neither error nor close, and with a close after 3 s",
        [*COMPLIANT, MisbehavingClient(BEGIN_US, "half a request", "n0")],
        [*COMPLIANT, MisbehavingClient(BEGIN_US, "half a request", "n0", ended_us=BEGIN_US + 3 * SECOND_US)],
    ),
    ViolationCase(
        "owed",
        "close after 4 s, and after 4 s by a gateway that was stopped meanwhile",
        [*COMPLIANT, MisbehavingClient(BEGIN_US, "nothing", "n0", ended_us=BEGIN_US + 4 * SECOND_US)],
        [
            *COMPLIANT,
            MisbehavingClient(BEGIN_US, "nothing", "n0", ended_us=BEGIN_US + 4 * SECOND_US),
            ProcessEvent(BEGIN_US + SECOND_US, "n0", "STOP"),
            ProcessEvent(BEGIN_US + 3 * SECOND_US, "n0", "CONT"),
        ],
    ),
]
