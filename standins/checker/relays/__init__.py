"""Check gateways behind relays by the observations of hosts, clients and discoveries, and by the outages. Pure.

The checked invariants; times are microseconds of one clock:
- no gateway sends to a host that drains or is gone once the change could have reached the gateway: since the change,
  some chain of gateway, relay and discovery has worked for DELIVERY_TIMEOUT_US, and for INTERRUPTION_COST_US more for
  each of its interruptions;
- a gateway that has left a draining host does not use the host again while it drains, even before that time;
- a host that has returned is used by each gateway that the change could have reached, at most FIRST_USE_TIMEOUT_US
  later;
- no gateway is without hosts: it does not refuse all requests for MAX_REFUSING_US, and clients get only a host's
  response or 503;
- each request gets its own response within RESPONSE_TIMEOUT_US, not counting the gateway's stops;
- a gateway polls discovery directly at most once in `direct_poll_interval_us`;
- no process exits without having been signalled to exit.
While discoveries disagree on a host, its use is not checked: it counts as serving or removed once all agree.
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
    UnexpectedExit,
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
    "UnexpectedExit",
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
    violations += [
        RelayViolation("a process exited unexpectedly", exit_.at_us, exit_.process) for exit_ in record.exits
    ]
    return sorted(violations, key=lambda violation: violation.at_us)
