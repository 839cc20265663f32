"""A lease that a gateway requests, and the interface of the leased role. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from cloverkeel.leases.lease import NO_GATEWAY
from cloverkeel.leases.quorum_lease import QuorumLease
from cloverkeel.leases.zookeeper_lease import ZookeeperLease


class LeasedTask(Protocol):
    """A leased role: gateways report to the lease holder, and the holder replies."""

    def build_report(self, now_us: int, lease_id: int, holder_process: int) -> bytes | None:
        """Return the payload of a report that is sent right now; None if no report has to be sent.

        `holder_process`: the process whose timestamp the report echoes; UNKNOWN_PROCESS if it echoes none.
        """

    def on_report(self, now_us: int, lease_id: int, reporter: int, echoed_us: int, payload: bytes) -> bytes:
        """Return the holder's reply; `echoed_us`: when the holder made the echoed timestamp, 0 if there is none."""

    def on_reply(self, now_us: int, lease_id: int, reported_us: int, payload: bytes) -> None:
        """Handle the holder's reply to the report that was sent at `reported_us`."""

    def on_acquired(self, lease_id: int, state: bytes) -> None:
        """Start to act as the holder, with the state that the former holder handed over."""

    def on_ended(self, lease_id: int) -> None:
        """Stop acting as the holder."""

    def handover_state(self, lease_id: int) -> bytes:
        """Return the state to hand over to a successor."""


@dataclass(slots=True)
class LeaseRequest:
    """One lease that this gateway requests."""

    name: str
    task: LeasedTask
    lease: QuorumLease | ZookeeperLease
    rendezvous_order: list[int]  # gateways, the preferred holder first
    holder: int = NO_GATEWAY  # the gateway to report to; NO_GATEWAY if unknown
    report_timestamp: int = 0  # timestamp of the last report
    unanswered_reports: int = 0  # consecutive
    holder_timestamp: int = 0  # the holder's newest timestamp; 0 if unknown
    next_report_us: int = 0
    acquired_us: int = 0  # when this gateway acquired the lease
    reported_us_by_gateway: dict[int, int] = field(default_factory=dict)  # last report of each other requester

    def expect_holder(self, gateway: int, now_us: int) -> None:
        """Send reports to this gateway from now on."""
        self.holder = gateway
        self.unanswered_reports = 0
        self.holder_timestamp = 0
        self.next_report_us = now_us

    def forget_holder(self, now_us: int) -> None:
        """Stop reporting: the holder lost the lease or does not answer."""
        self.holder = NO_GATEWAY
        self.unanswered_reports = 0
        self.holder_timestamp = 0
        self.lease.on_holder_lost(now_us)

    def describe(self, now_us: int, gateway: int, newest_token: int) -> dict[str, object]:
        """Return this gateway's view of the lease; the keys are part of the output of `duties show --json`."""
        is_holder = self.holder == gateway
        return {
            "duty": self.name,
            "phase": self.lease.phase.value,
            "holder": self.holder,
            "epoch": self.lease.token if is_holder else newest_token,
            "left_ms": max(0, self.lease.valid_until_us - now_us) // 1000 if is_holder else 0,
            "held_s": round((now_us - self.acquired_us) / 1e6, 1) if is_holder else 0,
        }


@dataclass(slots=True)
class LeaseCounters:
    """Counters since the process started."""

    rejected_headers: int = 0  # datagrams with a different number of voters or an invalid gateway number
    stale_replies: int = 0  # replies rejected because of their fencing token
    sent: int = 0  # datagrams
    sent_bytes: int = 0
    received: int = 0  # datagrams
    acquired: int = 0  # leases
    lost: int = 0  # leases that could not be renewed in time
    rejected_requests: int = 0  # requests in excess of MAX_REQUESTS
