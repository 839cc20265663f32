"""Reports to lease holders, and the holders' replies under a fencing token. Pure.

Invariants:
- a holder replies only while its lease is valid;
- a reply counts only if its token is the newest one seen for that lease.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.leases.fencing import FencingTokenCheck
from cloverkeel.leases.lease_request import LeaseCounters, LeaseRequest
from cloverkeel.leases.messages import LeaderReply, NotLeaseHolder, Report, StaleTokenNotice
from cloverkeel.leases.outbox import Outbox
from cloverkeel.leases.process import UNKNOWN_PROCESS, ProcessId, process_of_timestamp

REPORT_INTERVAL_US: Final = 400_000
REPORTER_TIMEOUT_US: Final = 3 * REPORT_INTERVAL_US  # a gateway counts as alive for this time after its last report
MAX_UNANSWERED_REPORTS: Final = 3  # after this many the holder counts as lost


@dataclass(slots=True, frozen=True)
class ReportExchange:
    """Both sides of reporting, for all leases of one gateway."""

    process: ProcessId
    gateway_count: int
    lease_us: int
    fencing: FencingTokenCheck
    outbox: Outbox
    counters: LeaseCounters

    # The reporter's side

    def send_report(self, now_us: int, request: LeaseRequest) -> None:
        """Report to the holder, or forget the holder if it has not answered MAX_UNANSWERED_REPORTS reports."""
        request.next_report_us = now_us + REPORT_INTERVAL_US
        if request.holder == self.process.gateway:
            self.report_locally(now_us, request)
            return
        if request.unanswered_reports >= MAX_UNANSWERED_REPORTS:
            request.forget_holder(now_us)
            return
        lease_id = request.lease.lease_id
        payload = request.task.build_report(now_us, lease_id, holder_process_of(request))
        if payload is None:
            return
        request.report_timestamp = self.process.make_timestamp(now_us)
        request.unanswered_reports += 1
        report = Report(lease_id, request.report_timestamp, request.holder_timestamp, payload)
        self.outbox.send(request.holder, report)

    def report_locally(self, now_us: int, request: LeaseRequest) -> None:
        """Process a report of the holder to itself: it requests and lends quota like any other gateway."""
        lease_id, gateway = request.lease.lease_id, self.process.gateway
        process = process_of_timestamp(gateway, self.process.make_timestamp(now_us))
        payload = request.task.build_report(now_us, lease_id, process)
        if payload is None or not request.lease.can_act(now_us):
            return
        reply = request.task.on_report(now_us, lease_id, gateway, now_us, payload)
        request.task.on_reply(now_us, lease_id, now_us, reply)

    def on_reply(self, now_us: int, reply: LeaderReply, sender: ProcessId, request: LeaseRequest) -> None:
        """Handle the holder's reply if its token is the newest one and it answers the last report."""
        lease_id = reply.lease_id
        if not self.fencing.admit(lease_id, reply.token, sender.key):
            self.counters.stale_replies += 1
            self.outbox.send(sender.gateway, StaleTokenNotice(lease_id, self.fencing.newest_token(lease_id)))
            return
        if reply.echoed_timestamp != request.report_timestamp or request.holder != sender.gateway:
            return
        request.holder_timestamp = reply.timestamp
        request.unanswered_reports = 0
        request.lease.on_held_elsewhere(now_us, self.lease_us)
        reported_us = self.process.read_timestamp(reply.echoed_timestamp)
        request.task.on_reply(now_us, lease_id, reported_us, reply.payload)

    def on_not_lease_holder(self, now_us: int, sender: ProcessId, request: LeaseRequest) -> None:
        """Stop reporting to a gateway that does not hold the lease."""
        if request.holder == sender.gateway:
            request.forget_holder(now_us)

    # The holder's side

    def on_report(self, now_us: int, report: Report, reporter: int, request: LeaseRequest | None) -> None:
        """Reply to a report, with NotLeaseHolder if this gateway may not act as the holder."""
        if request is None or not request.lease.can_act(now_us):
            self.outbox.send(reporter, NotLeaseHolder(report.lease_id))
            return
        if report.payload and 0 <= reporter < self.gateway_count:  # an empty report only asks who the holder is
            request.reported_us_by_gateway[reporter] = now_us
        echoed_us = self.process.read_timestamp(report.echoed_timestamp)
        payload = request.task.on_report(now_us, report.lease_id, reporter, echoed_us, report.payload)
        timestamp = self.process.make_timestamp(now_us)
        reply = LeaderReply(report.lease_id, request.lease.token, timestamp, report.timestamp, payload)
        self.outbox.send(reporter, reply)


def holder_process_of(request: LeaseRequest) -> int:
    """Return the holder's process whose timestamp the next report echoes; UNKNOWN_PROCESS if there is none."""
    if not request.holder_timestamp:
        return UNKNOWN_PROCESS
    return process_of_timestamp(request.holder, request.holder_timestamp)


def live_reporters(now_us: int, request: LeaseRequest) -> list[int]:
    """Return the other gateways alive that request the lease, in order of preference as its holder."""
    seen_us = request.reported_us_by_gateway
    return [
        gateway for gateway in request.rendezvous_order if now_us - seen_us.get(gateway, 0) < REPORTER_TIMEOUT_US
    ]  # fmt: skip
