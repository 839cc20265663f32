"""Check gateways behind relays by what hosts, clients and discoveries observed, and by which links were cut. Pure.

Invariants that it checks; times in microseconds of one clock:
- nobody sends to a host that drains or is gone once it could have heard of that: some chain gateway, relay, discovery
  was whole for DELIVERY_TIMEOUT_US since, and INTERRUPTION_COST_US for each time that it was interrupted;
- a host that a gateway has left is not used again while it drains, however soon that is;
- a host that is back is used by each gateway that could have heard of it, FIRST_USE_TIMEOUT_US later;
- no gateway is without hosts: not all its requests are refused for MAX_REFUSING_US, and clients get nothing but a
  host's response or 503;
- each request gets its own response within RESPONSE_TIMEOUT_US, the gateway's stops left out;
- a gateway polls discovery directly once in `direct_poll_interval_us`;
- no process exits unasked.
Where discoveries disagree on a host, its use is not checked: it serves, or it is left, once all of them say so.
"""

from standins.checker.relays.direct_polls import check_direct_polls
from standins.checker.relays.endpoints import EndpointCheck
from standins.checker.relays.outages import OutageHistory
from standins.checker.relays.record import (
    BackendArrival,
    ClientRequest,
    Component,
    DirectPoll,
    EndpointChange,
    Outage,
    RelayViolation,
    RunRecord,
    UnaskedExit,
)
from standins.checker.relays.responses import ResponseCheck

__all__ = [
    "BackendArrival",
    "ClientRequest",
    "Component",
    "DirectPoll",
    "EndpointChange",
    "Outage",
    "RelayViolation",
    "RunRecord",
    "UnaskedExit",
    "check_relays",
]


def check_relays(record: RunRecord) -> list[RelayViolation]:
    """Return all violations of a run, by time."""
    outages = OutageHistory(record)
    violations = [
        *EndpointCheck(record, outages).check(),
        *ResponseCheck(record, outages).check(),
        *check_direct_polls(record, outages),
    ]
    violations += [RelayViolation("a process ended by itself", exit_.at_us, exit_.process) for exit_ in record.exits]
    return sorted(violations, key=lambda violation: violation.at_us)
