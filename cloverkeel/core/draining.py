"""Schedules for draining a gateway: on PAUSE, on SIGTERM, and on SIGTERM with a successor at the same address.

Pure: the three cases share one type of schedule, in seconds since the drain began. The frontend carries it out: it
closes connections, accepts new ones and rejects requests accordingly.

Invariants:
- before `abort_incomplete_from_s` no connection is closed that awaits a response or is still receiving a request;
- no request that arrives after `reject_from_s` is processed, and by `respond_by_s`, which precedes any SIGKILL, each
  request in flight has received its response, or the begin of a streamed one;
- a response that has begun is not cut off by the end of a drain: the process waits until its client has read it or is
  given up by the limits of every response.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.core.messages import MAX_BODY_BYTES

NEVER_S: Final = 1e9
KILL_GRACE_S: Final = 0.7  # SIGKILL follows SIGTERM after at least the longest client timeout (up to 3 s) plus this
KILL_SAFETY_S: Final = 0.2  # margin between the latest exit of the process and SIGKILL
RESPONSE_DELIVERY_S: Final = 0.2  # time for the last responses to reach their clients
READ_STALL_TIMEOUT_S: Final = 0.4  # maximum gap between two chunks of a request; even a slow client sends sooner
MAX_DRAIN_S: Final = 3.4  # after SIGTERM: the longest client timeout plus the time in which clients still connect
SLOWEST_CLIENT_BYTES_PER_S: Final = 64_000
# Of the largest response, if it begins just before the end of the drain.
MAX_DELIVERY_S = MAX_BODY_BYTES / SLOWEST_CLIENT_BYTES_PER_S


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """Limits of one drain. Times are seconds since the drain began, unless stated otherwise."""

    is_reported_ready: bool  # the answer to readiness checks
    accept_until_s: float  # end of accepting new connections
    keep_alive_until_s: float  # responses before this time leave their connection open
    close_idle_from_s: float  # when to start closing idle connections that had a response
    first_request_timeout_s: float  # maximum time from accepting a connection to its first request
    reject_from_s: float  # when to start rejecting new requests immediately
    abort_stalled_from_s: float  # when to start aborting requests without new data for READ_STALL_TIMEOUT_S
    abort_incomplete_from_s: float  # when to start aborting all incomplete requests
    respond_by_s: float  # when requests in flight are answered, even if clients would wait longer

    def is_over(self, now_s: float) -> bool:
        """Return whether no further request is served; responses that have begun may still be on their way."""
        return now_s >= self.respond_by_s

    def can_abort_read(self, now_s: float, read_gap_s: float) -> bool:
        """Return whether a partly received request may be aborted; `read_gap_s` is the time since its last data."""
        if now_s >= self.abort_incomplete_from_s:
            return True
        return now_s >= self.abort_stalled_from_s and read_gap_s >= READ_STALL_TIMEOUT_S

    def can_close_idle(self, now_s: float, served: bool, age_s: float) -> bool:
        """Return whether an idle connection may be closed.

        `served`: a response was sent on it. `age_s`: time since it was accepted.
        """
        if now_s >= self.abort_incomplete_from_s:
            return True
        if served:
            return now_s >= self.close_idle_from_s
        return age_s >= self.first_request_timeout_s


def shutdown_schedule(max_client_timeout_s: float) -> DrainSchedule:
    """Return the schedule for SIGTERM without a successor.

    New connections keep arriving for 0.4 s, and clients keep using open ones. Both are served for a while: another
    gateway may be down at the same time, and a client that is rejected may then find no gateway. A stalled request
    does not delay the exit: the sooner the process exits, the sooner its replacement serves.
    """
    respond_by_s = response_deadline_s(max_client_timeout_s)
    return DrainSchedule(
        is_reported_ready=False,
        accept_until_s=min(1.5, respond_by_s),
        keep_alive_until_s=1.2,
        close_idle_from_s=1.2,
        first_request_timeout_s=0.5,
        reject_from_s=NEVER_S,
        abort_stalled_from_s=1.0,
        abort_incomplete_from_s=respond_by_s,
        respond_by_s=respond_by_s,
    )


def response_deadline_s(max_client_timeout_s: float) -> float:
    """Return the time since SIGTERM by which the last responses must be written."""
    before_kill_s = max_client_timeout_s + KILL_GRACE_S - KILL_SAFETY_S
    return min(MAX_DRAIN_S, before_kill_s) - RESPONSE_DELIVERY_S


def pause_schedule() -> DrainSchedule:
    """Return the schedule for PAUSE.

    No new connections arrive after 0.2 s. After 4 s no connection may be idle, nor have a request that began in the
    last 2 s. Until 1.5 s clients learn of the drain from the response to their next request: closing their
    connections earlier would race with requests on their way.
    """
    return DrainSchedule(
        is_reported_ready=False,
        accept_until_s=NEVER_S,
        keep_alive_until_s=0.0,
        close_idle_from_s=1.5,
        first_request_timeout_s=1.5,
        reject_from_s=1.9,
        abort_stalled_from_s=2.2,
        abort_incomplete_from_s=3.4,
        respond_by_s=NEVER_S,
    )


def handover_schedule(max_client_timeout_s: float) -> DrainSchedule:
    """Return the schedule for SIGTERM while a successor serves at this address.

    No new connections are accepted. Requests on open connections are served as long as their responses can be sent
    before `respond_by_s`. `max_client_timeout_s`: the longest timeout of any client.
    """
    respond_by_s = response_deadline_s(max_client_timeout_s)
    return DrainSchedule(
        is_reported_ready=True,
        accept_until_s=0.0,
        keep_alive_until_s=0.0,
        close_idle_from_s=min(2.0, respond_by_s / 2),
        first_request_timeout_s=min(2.2, respond_by_s / 2),
        reject_from_s=respond_by_s - 0.3,
        abort_stalled_from_s=respond_by_s - 0.8,
        abort_incomplete_from_s=respond_by_s - 0.2,
        respond_by_s=respond_by_s,
    )
