"""Schedules of draining a gateway: by an operator (PAUSE), at shutdown (SIGTERM), or with a successor at its address.

Pure: one type of schedule for all three, in seconds since the drain began. The frontend carries it out: which
connections are closed, which are still accepted, which requests are rejected.

Invariants:
- no connection that awaits a response, or whose request goes on arriving, is closed before `abort_incomplete_from_s`;
- from `reject_from_s` on no new request is begun, and at `respond_by_s`, before any SIGKILL, each that is in flight
  has had its response.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

NEVER_S: Final = 1e9
KILL_GRACE_S: Final = 0.7  # SIGKILL comes no sooner than the longest client timeout, 3 s at most, and this
KILL_SAFETY_S: Final = 0.2  # the process ends so long before SIGKILL at the latest
RESPONSE_DELIVERY_S: Final = 0.2  # for the last responses to reach their clients
READ_STALL_TIMEOUT_S: Final = 0.4  # between two chunks of a request: a slow client sends some all the time
MAX_SHUTDOWN_S = 3.4  # after SIGTERM, whatever is left: the longest client timeout, and the time that new ones come


@dataclass(slots=True, frozen=True)
class DrainSchedule:
    """Limits of one drain; times are seconds since it began."""

    is_reported_ready: bool  # what a readiness check is answered
    accept_until_s: float  # new connections are accepted until then
    keep_alive_until_s: float  # responses leave their connections open until then
    close_idle_from_s: float  # idle connections that had a response are closed from then on
    first_request_timeout_s: float  # a new connection's first request is waited for, since it was accepted
    reject_from_s: float  # requests that arrive from then on are rejected at once
    abort_stalled_from_s: float  # a request that stalls for READ_STALL_TIMEOUT_S is aborted from then on
    abort_incomplete_from_s: float  # any that has not arrived completely by then
    respond_by_s: float  # what is in flight then gets its response, however long its client would wait

    def can_abort_read(self, now_s: float, quiet_s: float) -> bool:
        """Tell whether a request that has partly arrived, with nothing new for `quiet_s`, may be aborted."""
        if now_s >= self.abort_incomplete_from_s:
            return True
        return now_s >= self.abort_stalled_from_s and quiet_s >= READ_STALL_TIMEOUT_S

    def can_close_idle(self, now_s: float, served: bool, age_s: float) -> bool:
        """Tell whether an idle connection may be closed.

        `served`: it had a response. `age_s`: time since it was accepted.
        """
        if now_s >= self.abort_incomplete_from_s:
            return True
        if served:
            return now_s >= self.close_idle_from_s
        return age_s >= self.first_request_timeout_s


def shutdown_schedule(max_client_timeout_s: float) -> DrainSchedule:
    """Return the schedule for SIGTERM without a successor.

    New connections go on arriving for 0.4 s, and open ones are used. Both are served for a while: another gateway may
    be down at the same time, and a client that is sent away finds none. A stalled request does not delay the end: the
    sooner the process ends, the sooner it is back.
    """
    return DrainSchedule(
        is_reported_ready=False,
        accept_until_s=1.5,
        keep_alive_until_s=1.2,
        close_idle_from_s=1.2,
        first_request_timeout_s=0.5,
        reject_from_s=NEVER_S,
        abort_stalled_from_s=1.0,
        abort_incomplete_from_s=NEVER_S,
        respond_by_s=response_deadline_s(max_client_timeout_s),
    )


def response_deadline_s(max_client_timeout_s: float) -> float:
    """Return when, since SIGTERM, the last responses must be written."""
    before_kill_s = max_client_timeout_s + KILL_GRACE_S - KILL_SAFETY_S
    return min(MAX_SHUTDOWN_S, before_kill_s) - RESPONSE_DELIVERY_S


def pause_schedule() -> DrainSchedule:
    """Return the schedule for PAUSE.

    After 0.2 s no new connections come; after 4 s none is idle or has a request of the last 2 s. Until 1.5 s clients
    find out by the response to their next request: a close would cross some of these.
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

    Nothing new is accepted, and open connections have their time: a request that arrives is served while its response
    can be in time. `max_client_timeout_s`: the longest that a client waits.
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
