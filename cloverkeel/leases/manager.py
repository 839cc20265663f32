"""All leases of one gateway, held and requested, and its acceptor if it is a voter. Pure: messages go to the outbox.

Invariants:
- a datagram with a different number of voters gets no answer;
- a holder replies only while its lease is valid;
- at most MAX_REQUESTS leases are requested at a time; further hosts are handled as if leases were disabled.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.ballots import MAX_GATEWAYS, BallotClock
from cloverkeel.leases.fencing import FencingTokenCheck
from cloverkeel.leases.lease import (
    NEVER_US,
    NO_GATEWAY,
    Action,
    LeaseAcquired,
    LeaseEnded,
    LeasePhase,
    NodeOperation,
    NodeRequest,
    SendMessage,
)
from cloverkeel.leases.lease_config import LeaseConfig
from cloverkeel.leases.lease_request import LeaseCounters, LeasedTask, LeaseRequest
from cloverkeel.leases.messages import (
    Handover,
    Header,
    Hello,
    LeaderReply,
    LeaseMessage,
    Message,
    NotLeaseHolder,
    Refused,
    Report,
    StaleTokenNotice,
    VoteRequest,
)
from cloverkeel.leases.outbox import Outbox
from cloverkeel.leases.placement import lease_id_of, rendezvous_order
from cloverkeel.leases.process import ProcessId
from cloverkeel.leases.quorum_lease import QuorumLease
from cloverkeel.leases.reports import ReportExchange, live_reporters
from cloverkeel.leases.zookeeper_lease import NO_ROUND, NodeOutcome, NodeResponse, ZookeeperLease

MAX_REQUESTS: Final = 256
STALLS_BEFORE_HANDOVER: Final = 2  # within STALL_WINDOW_US
STALL_WINDOW_US: Final = 10_000_000


@dataclass(slots=True)
class LeaseManager:
    """The leases of one gateway process."""

    process: ProcessId
    gateway_count: int
    config: LeaseConfig
    log: Callable[[str], None]
    draw_random: Callable[[], float]
    ballot_clock: BallotClock
    acceptor: Acceptor | None = None  # None if this gateway is not a voter
    uses_zookeeper: bool = False  # ZooKeeper grants the leases, not a quorum of voters
    is_excluded: bool = False  # an operator or the shutdown keeps this gateway from holding leases
    fencing: FencingTokenCheck = field(default_factory=FencingTokenCheck)
    request_by_lease: dict[int, LeaseRequest] = field(default_factory=dict)
    counters: LeaseCounters = field(default_factory=LeaseCounters)
    outbox: Outbox = field(default_factory=Outbox)
    recent_stalls_us: list[int] = field(default_factory=list)
    reports: ReportExchange = field(init=False)

    def __post_init__(self) -> None:
        self.reports = ReportExchange(
            self.process, self.gateway_count, self.config.lease_us, self.fencing, self.outbox, self.counters
        )

    def header(self) -> Header:
        """Return the header of a datagram that is sent now."""
        return Header(self.config.voters, self.process.gateway, self.process.nonce, self.ballot_clock.highest)

    # Requests

    def request_lease(self, now_us: int, name: str, task: LeasedTask) -> int:
        """Request a lease by name, unless it is already requested or there are too many; return its id."""
        lease_id = lease_id_of(name)
        if lease_id in self.request_by_lease:
            return lease_id
        if len(self.request_by_lease) >= MAX_REQUESTS:
            self.counters.rejected_requests += 1
            return lease_id
        order = rendezvous_order(lease_id, self.gateway_count)
        rank = order.index(self.process.gateway) / max(1, self.gateway_count)
        request = self.request_by_lease[lease_id] = LeaseRequest(name, task, self.make_lease(lease_id, rank), order)
        if not self.is_excluded:
            self.apply_actions(now_us, request, request.lease.set_wanted(now_us, True))
        return lease_id

    def make_lease(self, lease_id: int, rendezvous_rank: float) -> QuorumLease | ZookeeperLease:
        """Return a lease of the configured kind."""
        if self.uses_zookeeper:
            return ZookeeperLease(lease_id, self.config.lease_us, rendezvous_rank, self.draw_random)
        return QuorumLease(lease_id, self.config, self.ballot_clock, rendezvous_rank, self.draw_random)

    def withdraw_request(self, now_us: int, lease_id: int) -> None:
        """Stop requesting a lease, and release it if this gateway holds it."""
        request = self.request_by_lease.pop(lease_id, None)
        if request is not None:
            self.apply_actions(now_us, request, request.lease.set_wanted(now_us, False))

    def can_act(self, now_us: int, lease_id: int) -> bool:
        """Return whether this gateway may act as the lease's holder at this moment."""
        request = self.request_by_lease.get(lease_id)
        return request is not None and request.lease.can_act(now_us)

    def apply_actions(self, now_us: int, request: LeaseRequest, actions: list[Action]) -> None:
        """Perform a lease's actions: queue its messages, and notify its task when it is acquired or ends."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.outbox.messages.append(action)
            elif isinstance(action, NodeRequest):
                self.outbox.node_requests.append(action)
            elif isinstance(action, LeaseAcquired):
                self.on_acquired(now_us, request, action)
            else:
                self.on_ended(request, action)

    def on_acquired(self, now_us: int, request: LeaseRequest, acquired: LeaseAcquired) -> None:
        """Start to act as the holder."""
        self.counters.acquired += 1
        request.holder = self.process.gateway
        request.acquired_us = now_us
        self.fencing.admit(acquired.lease_id, acquired.token, self.process.key)
        request.task.on_acquired(acquired.lease_id, acquired.state)
        self.log(f"leases: acquired, name={request.name}, token={acquired.token}")

    def on_ended(self, request: LeaseRequest, ended: LeaseEnded) -> None:
        """Stop acting as the holder."""
        self.counters.lost += request.lease.phase is LeasePhase.LOST
        request.holder = NO_GATEWAY
        request.task.on_ended(ended.lease_id)
        self.log(f"leases: ended, name={request.name}, token={ended.token}, reason={ended.reason}")

    # Exclusion, shutdown, stalls

    def set_excluded(self, now_us: int, is_excluded: bool) -> None:
        """Exclude this gateway from holding leases, handing over those that it holds, or end the exclusion."""
        self.is_excluded = is_excluded
        for request in self.request_by_lease.values():
            if is_excluded:
                self.exclude(now_us, request)
            else:
                self.apply_actions(now_us, request, request.lease.set_wanted(now_us, True))

    def exclude(self, now_us: int, request: LeaseRequest) -> None:
        """Hand a lease over; one that is being acquired is released, as pending responses could still grant it."""
        was_held = self.hand_over(now_us, request)
        request.lease.is_wanted = False
        if not was_held and request.lease.phase is LeasePhase.ACQUIRING:
            self.apply_actions(now_us, request, request.lease.release(now_us, "no longer requested"))

    def release_all(self, now_us: int) -> None:
        """Release all leases that are still held: the process is about to exit."""
        for request in self.request_by_lease.values():
            request.lease.is_wanted = False
            self.apply_actions(now_us, request, request.lease.release(now_us, "shutdown"))

    def hand_over(self, now_us: int, request: LeaseRequest) -> bool:
        """Hand a lease to the preferred gateway among those alive; False if this gateway does not hold it."""
        lease = request.lease
        if not lease.can_act(now_us):
            return False
        successors = live_reporters(now_us, request)
        if not successors:
            self.apply_actions(now_us, request, lease.release(now_us, "no successor known"))
            return True
        state = request.task.handover_state(lease.lease_id)
        self.apply_actions(now_us, request, lease.hand_over(now_us, successors[0], state))
        return True

    def on_stall(self, now_us: int) -> None:
        """Check all leases against the current time; hand them over if the gateway stalls repeatedly."""
        self.tick(now_us)
        self.recent_stalls_us = [at_us for at_us in self.recent_stalls_us if now_us - at_us < STALL_WINDOW_US]
        self.recent_stalls_us.append(now_us)
        if len(self.recent_stalls_us) >= STALLS_BEFORE_HANDOVER:
            self.recent_stalls_us = []
            for request in self.request_by_lease.values():
                self.hand_over(now_us, request)

    # Timers

    def next_timer_us(self) -> int:
        """Return when to call `tick`. Reports of this gateway to itself need no call: any later one sends them."""
        due_us = NEVER_US
        for request in self.request_by_lease.values():
            due_us = min(due_us, request.lease.next_timer_us())
            if request.holder not in (NO_GATEWAY, self.process.gateway):
                due_us = min(due_us, request.next_report_us)
        return due_us

    def tick(self, now_us: int) -> None:
        """Run the due steps of all leases, and send the due reports."""
        for request in list(self.request_by_lease.values()):
            if request.lease.is_due(now_us):
                self.apply_actions(now_us, request, request.lease.tick(now_us))
            if request.holder != NO_GATEWAY and now_us >= request.next_report_us:
                self.reports.send_report(now_us, request)

    # Datagrams

    def receive(self, now_us: int, header: Header, message: Message) -> None:
        """Handle a datagram."""
        self.counters.received += 1
        if header.voters != self.config.voters or header.sender >= MAX_GATEWAYS:
            self.counters.rejected_headers += 1
            return
        if not self.ballot_clock.observe(now_us, header.highest_counter):
            return
        sender = ProcessId(header.sender, header.nonce)
        if isinstance(message, VoteRequest):
            self.on_vote_request(now_us, message, sender)
        elif isinstance(message, Report):
            self.reports.on_report(now_us, message, sender.gateway, self.request_by_lease.get(message.lease_id))
        elif isinstance(message, Hello):
            if message.wants_reply:
                self.outbox.send(sender.gateway, Hello(0))
        else:
            request = self.request_by_lease.get(message.lease_id)
            if request is not None:
                self.on_lease_message(now_us, message, sender, request)

    def on_vote_request(self, now_us: int, request: VoteRequest, sender: ProcessId) -> None:
        """Answer a vote request if this gateway is a voter."""
        if self.acceptor is None:
            return
        response = self.acceptor.receive(now_us, request, sender.gateway, sender.nonce)
        if response is not None:
            self.outbox.send(sender.gateway, response)

    def on_lease_message(self, now_us: int, message: LeaseMessage, sender: ProcessId, request: LeaseRequest) -> None:
        """Handle a message about a lease that this gateway requests."""
        if isinstance(message, LeaderReply):
            self.reports.on_reply(now_us, message, sender, request)
        elif isinstance(message, NotLeaseHolder):
            self.reports.on_not_lease_holder(now_us, sender, request)
        elif isinstance(message, StaleTokenNotice):
            self.apply_actions(now_us, request, request.lease.on_stale_token(now_us, message.newest_token))
        elif isinstance(message, Handover):
            self.on_handover(now_us, message, sender.gateway, request)
        else:
            if isinstance(message, Refused) and message.remaining_us > 0:
                self.learn_holder(now_us, message.holder, request)
            self.apply_actions(now_us, request, request.lease.receive(now_us, message, sender.gateway))

    def learn_holder(self, now_us: int, holder: int, request: LeaseRequest) -> None:
        """Report from now on to the holder that a voter or the lease's node names, unless one is already known."""
        if request.holder == NO_GATEWAY and holder != self.process.gateway:
            request.expect_holder(holder, now_us)

    def on_handover(self, now_us: int, handover: Handover, sender: int, request: LeaseRequest) -> None:
        """Take a lease over; an excluded gateway does not answer, so the sender aborts the handover."""
        if self.is_excluded:
            return
        lease = request.lease
        if isinstance(lease, ZookeeperLease):
            self.apply_actions(now_us, request, lease.on_handover(now_us, handover, sender))
        else:
            self.apply_actions(now_us, request, lease.on_handover(now_us, handover))

    # The coordination service

    def on_node_response(self, now_us: int, lease_id: int, response: NodeResponse) -> None:
        """Handle a response of the coordination service."""
        request = self.request_by_lease.get(lease_id)
        if request is None:
            if response.outcome is NodeOutcome.OWNED:  # the request was withdrawn before the response came
                self.outbox.node_requests.append(NodeRequest(lease_id, NodeOperation.DELETE, NO_ROUND))
            return
        if response.outcome is NodeOutcome.TAKEN:
            self.learn_holder(now_us, response.owner, request)
        if isinstance(request.lease, ZookeeperLease):
            self.apply_actions(now_us, request, request.lease.on_response(now_us, response))

    def on_session_lost(self, now_us: int) -> None:
        """Stop acting under any lease of the session."""
        for request in self.request_by_lease.values():
            if isinstance(request.lease, ZookeeperLease):
                self.apply_actions(now_us, request, request.lease.on_session_lost(now_us))

    def describe(self, now_us: int) -> list[dict[str, object]]:
        """Return the state of each requested lease, for operators."""
        return [
            request.describe(now_us, self.process.gateway, self.fencing.newest_token(lease_id))
            for lease_id, request in self.request_by_lease.items()
        ]
