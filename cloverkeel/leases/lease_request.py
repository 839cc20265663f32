"""A lease that a gateway asks for, and the task that its holder does for all. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from cloverkeel.leases.lease import NOBODY
from cloverkeel.leases.quorum_lease import QuorumLease
from cloverkeel.leases.zookeeper_lease import ZookeeperLease


class LeasedTask(Protocol):
    """What one kind of lease is about: gateways report to its holder, the holder replies."""

    def build_report(self, now_us: int, lease_id: int, holder_process: int) -> bytes | None:
        """Return what to report to the holder, at the moment of sending; None: nothing, and no reply is wanted.

        `holder_process`: the process whose timestamp the report echoes; UNKNOWN_PROCESS: it echoes none.
        """

    def on_report(self, now_us: int, lease_id: int, reporter: int, echoed_us: int, payload: bytes) -> bytes:
        """Return the holder's reply. `echoed_us`: when its own timestamp was made that came back; 0: none did."""

    def on_reply(self, now_us: int, lease_id: int, reported_us: int, payload: bytes) -> None:
        """Take what the holder replied to the report of that moment."""

    def on_acquired(self, lease_id: int, state: bytes) -> None:
        """Begin to act as the holder, with what the holder before handed over."""

    def on_ended(self, lease_id: int) -> None:
        """Act as the holder no more."""

    def handover_state(self, lease_id: int) -> bytes:
        """Return what a successor should know."""


@dataclass(slots=True)
class LeaseRequest:
    """One lease that this gateway has a use for."""

    name: str
    task: LeasedTask
    lease: QuorumLease | ZookeeperLease
    rendezvous_order: list[int]  # gateways, the one that should hold it first
    holder: int = NOBODY  # the gateway to report to, where one is known
    report_timestamp: int = 0  # of the last report
    unanswered_reports: int = 0
    holder_timestamp: int = 0  # the holder's last one
    next_report_us: int = 0
    acquired_us: int = 0  # by this gateway
    reported_us_by_gateway: dict[int, int] = field(default_factory=dict)  # those with the same request

    def expect_holder(self, gateway: int, now_us: int) -> None:
        """Report to this gateway from now on."""
        self.holder = gateway
        self.unanswered_reports = 0
        self.holder_timestamp = 0
        self.next_report_us = now_us

    def forget_holder(self, now_us: int) -> None:
        """Report to nobody: the holder lost the lease, or does not answer."""
        self.holder = NOBODY
        self.unanswered_reports = 0
        self.holder_timestamp = 0
        self.lease.on_holder_gone(now_us)

    def describe(self, now_us: int, gateway: int, newest_token: int) -> dict[str, object]:
        """Return what this gateway knows of the lease. The keys are those of `duties show --json`, which stay."""
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
    """Counts since the start."""

    strangers: int = 0  # datagrams naming another number of voters
    stale_replies: int = 0  # rejected for their fencing token
    sent: int = 0  # datagrams
    sent_bytes: int = 0
    received: int = 0
    acquired: int = 0
    lost: int = 0  # leases that could not be renewed in time
    rejected_requests: int = 0  # beyond MAX_REQUESTS
