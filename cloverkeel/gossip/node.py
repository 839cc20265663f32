"""Gossip of one gateway: takes datagrams, outcomes and time; produces datagrams and assessments of hosts. Pure.

Dispatches incoming datagrams to the failure detector, outlier reports and retry tokens, and sends their messages,
filled up with piggybacked broadcasts.

Invariants:
- a datagram is sent only if the token bucket allows it; exempt are answers to probes, and grants of retry tokens, as
  the grantor has already given the tokens up;
- a gateway that has just started is sent the state it requests in a bounded number of datagrams, at a bounded rate.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.dissemination import BroadcastQueue, max_transmissions, unconfirmed_fanout
from cloverkeel.gossip.failure_detector import FailureDetector
from cloverkeel.gossip.membership import MembershipTable
from cloverkeel.gossip.messages import (
    MIN_DATAGRAM_BYTES,
    Datagram,
    GatewayProcess,
    Header,
    HostProcess,
    Item,
    MemberItem,
    MemberStatus,
    MessageKind,
    ObservationItem,
    TokenGrantItem,
    TokenRequestItem,
    encode,
)
from cloverkeel.gossip.outcome_window import WINDOW_SLOT_US
from cloverkeel.gossip.outlier_gossip import AssessmentHandler, OutlierGossip
from cloverkeel.gossip.peer_clock import timestamp_ms_of
from cloverkeel.gossip.peer_state import OutgoingMessage
from cloverkeel.gossip.retry_tokens import TOKEN_REQUEST_FANOUT, RetryTokenBucket, RetryTokens
from cloverkeel.gossip.sampling import UniformRandom, shuffled

MIN_ACCUSERS: Final = 2  # accusers required to broadcast a suspicion to the whole fleet
BROADCAST_INTERVAL_US: Final = 100_000  # between rounds while no urgent broadcast is queued
URGENT_BROADCAST_INTERVAL_US: Final = 10_000  # above 0, so that broadcasts queued together share a round
STATE_REQUEST_FANOUT: Final = 3  # gateways that are sent a STATE_REQUEST after a start
STATE_REQUEST_JITTER_US: Final = 300_000
MAX_STATE_RESPONSE_DATAGRAMS: Final = 8
MAX_STATE_RESPONSES_PER_S: Final = 20.0
ITEMS_PER_STATE_RESPONSE: Final = 8


@dataclass(slots=True, frozen=True)
class NodeIdentity:
    """This gateway process, its zone and the size of its fleet."""

    process: GatewayProcess
    fleet_size: int
    zone: int


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """An encoded datagram and the gateway to send it to."""

    recipient: int
    payload: bytes


@dataclass(slots=True)
class TransportCounts:
    """Counters of datagrams, bytes and items since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    unaffordable: int = 0  # not sent, as the token bucket did not allow it
    unknown_items: int = 0  # items of a later release


class GossipNode:
    """The gossip protocol of one gateway, without I/O."""

    def __init__(
        self, identity: NodeIdentity, rng: UniformRandom, on_assessment: AssessmentHandler,
        retry_token_bucket: RetryTokenBucket | None = None,
    ) -> None:  # fmt: skip
        """`on_assessment` is called with the assessment of a host when it has changed.

        `retry_token_bucket`: the balancer's tokens; None if they are not transferred.
        """
        self.gateway, self.zone, self.rng = identity.process.gateway, identity.zone, rng
        fleet_size = identity.fleet_size
        self.membership = MembershipTable(identity.process, fleet_size)
        self.failure_detector = FailureDetector(self.membership, rng)
        self.broadcasts = BroadcastQueue(fleet_size, rng)
        self.outliers = OutlierGossip(identity.zone, self.membership, self.broadcasts, on_assessment)
        self.retry_tokens: RetryTokens | None = None
        if retry_token_bucket is not None:
            self.retry_tokens = RetryTokens(self.gateway, retry_token_bucket)
        self.max_transmissions = max_transmissions(fleet_size)
        self.unconfirmed_fanout = unconfirmed_fanout(fleet_size)
        self.counts = TransportCounts()
        self.request_count = 0  # received by the gateway since its start; set by the driver
        self.last_broadcast_us = 0  # start of the last round
        self.last_assessed_us = 0  # last refresh of the assessments
        self.state_request_due_us = 0  # 0 if sent, or not started yet
        self.state_responses_left, self.state_responses_refilled_us = MAX_STATE_RESPONSES_PER_S, 0
        self.outbox: list[OutgoingDatagram] = []

    def start(self, now_us: int) -> None:
        """Start the protocol: datagrams can be sent from now on."""
        self.failure_detector.start(now_us)
        self.state_request_due_us = now_us + 1 + int(self.rng() * STATE_REQUEST_JITTER_US)
        self.broadcasts.bucket.refilled_us = now_us

    def record_outcome(self, now_us: int, host: HostProcess, is_success: bool, sent_us: int = 0) -> None:
        """Record the end of an attempt; `sent_us`: the time it was sent if it timed out, else 0."""
        self.outliers.record_outcome(now_us, host, is_success, sent_us)

    def request_retry_tokens(self, now_us: int) -> None:
        """Request retry tokens from some peers, because this gateway is short of them."""
        request = self.retry_tokens.request(now_us) if self.retry_tokens is not None else None
        if request is None:
            return
        for gateway in shuffled(self.membership.gateways_not_dead(), self.rng)[:TOKEN_REQUEST_FANOUT]:
            self._send(now_us, OutgoingMessage(gateway, MessageKind.GOSSIP, items=(request,)))

    # Incoming datagrams

    def receive(self, now_us: int, datagram: Datagram) -> None:
        """Process a datagram. The driver has checked that it came from the listed address of its sender."""
        header = datagram.header
        if header.sender not in self.membership.peers:
            return
        self.counts.received += 1
        self.counts.unknown_items += datagram.unknown_items
        self.outliers.observations.clocks.observe(now_us, header.sender, header.incarnation, header.timestamp_ms)
        self.membership.on_datagram(now_us, header.sender, header.incarnation)
        for item in datagram.items:
            self._handle_item(now_us, item, header)
        self._handle_message(now_us, header)

    def _handle_item(self, now_us: int, item: Item, header: Header) -> None:
        if isinstance(item, MemberItem):
            self.membership.merge(now_us, item)
        elif isinstance(item, ObservationItem):
            self.outliers.on_observation(now_us, item)
        elif self.retry_tokens is None:
            return
        elif isinstance(item, TokenRequestItem):
            self._handle_token_request(now_us, self.retry_tokens, item, header)
        else:
            self._handle_token_grant(now_us, self.retry_tokens, item, header)

    def _handle_token_request(
        self, now_us: int, retry_tokens: RetryTokens, request: TokenRequestItem, header: Header
    ) -> None:
        recipient = GatewayProcess(header.sender, header.incarnation)
        grant = retry_tokens.grant(request, recipient, self.membership.incarnation, timestamp_ms_of(now_us))
        if grant is not None:
            message = OutgoingMessage(header.sender, MessageKind.GOSSIP, items=(grant,))
            self._send(now_us, message, is_exempt=True)

    def _handle_token_grant(
        self, now_us: int, retry_tokens: RetryTokens, grant: TokenGrantItem, header: Header
    ) -> None:
        if grant.grantor != header.sender:
            return
        clocks = self.outliers.observations.clocks
        age_ms = clocks.age_ms(now_us, grant.grantor, grant.incarnation, grant.timestamp_ms)
        age_us = age_ms * 1000 if age_ms is not None else None
        retry_tokens.accept(now_us, grant, self.membership.incarnation, age_us)

    def _handle_message(self, now_us: int, header: Header) -> None:
        detector = self.failure_detector
        if header.kind == MessageKind.PING:
            detector.on_ping(header.sender, header.sequence)
        elif header.kind == MessageKind.PING_REQ:
            detector.on_ping_req(now_us, header.sender, header.sequence, header.subject)
        elif header.kind == MessageKind.ACK:
            detector.on_ack(header.sequence, header.subject)
        elif header.kind == MessageKind.NACK:
            detector.on_nack(header.sequence)
        elif header.kind == MessageKind.STATE_REQUEST:
            self._handle_state_request(now_us, header.sender)

    def _handle_state_request(self, now_us: int, sender: int) -> None:
        """Send non-alive members and suspected hosts, at a bounded rate: most of a fleet may restart at once."""
        elapsed_s = (now_us - self.state_responses_refilled_us) / 1e6
        refilled = self.state_responses_left + elapsed_s * MAX_STATE_RESPONSES_PER_S
        self.state_responses_left = min(MAX_STATE_RESPONSES_PER_S, refilled)
        self.state_responses_refilled_us = now_us
        items: list[Item] = [
            self.membership.member_item(gateway)
            for gateway in self.membership.peers
            if gateway != sender and not self.membership.is_alive(gateway)
        ]
        items += self.outliers.suspicion_items(now_us)
        sent = 0
        while items and sent < MAX_STATE_RESPONSE_DATAGRAMS and self.state_responses_left >= 1.0:
            batch, items = items[:ITEMS_PER_STATE_RESPONSE], items[ITEMS_PER_STATE_RESPONSE:]
            self.state_responses_left -= 1.0
            sent += 1
            self._send(now_us, OutgoingMessage(sender, MessageKind.GOSSIP, items=tuple(batch)))

    # Time

    def on_stall(self, now_us: int, stall_us: int) -> None:
        """Notify the failure detector that this process was stalled."""
        self.failure_detector.on_stall(now_us, stall_us)

    def next_timer_us(self) -> int:
        """Return the time at which `tick` next has work to do."""
        due_us = min(self.failure_detector.next_timer_us(), self.last_assessed_us + WINDOW_SLOT_US)
        if self.broadcasts.has_affordable:
            due_us = min(due_us, self._broadcast_due_us())
        if self.state_request_due_us:
            due_us = min(due_us, self.state_request_due_us)
        return due_us

    def tick(self, now_us: int) -> None:
        """Do the work that is due."""
        self.broadcasts.bucket.refill(now_us, self.request_count)
        if now_us >= self.last_assessed_us + WINDOW_SLOT_US:
            self.last_assessed_us = now_us
            self.outliers.refresh_assessments(now_us)
        if self.state_request_due_us and now_us >= self.state_request_due_us:
            self._request_state(now_us)
        self.failure_detector.tick(now_us)
        self._queue_member_updates()
        self._send_member_messages(now_us)
        if self.broadcasts.has_affordable and now_us >= self._broadcast_due_us():
            self._broadcast(now_us)

    def _request_state(self, now_us: int) -> None:
        self.state_request_due_us = 0
        for gateway in shuffled(self.membership.gateways_not_dead(), self.rng)[:STATE_REQUEST_FANOUT]:
            self._send(now_us, OutgoingMessage(gateway, MessageKind.STATE_REQUEST))

    def _queue_member_updates(self) -> None:
        for item in self.membership.drain_updates():
            # A single accuser may have a faulty network itself, so its suspicion is sent to a few gateways only (and
            # to the suspected gateway, by the failure detector).
            is_unconfirmed = item.gateway == self.gateway or (
                item.status == MemberStatus.SUSPECT
                and len(self.membership.peers[item.gateway].accusers) < MIN_ACCUSERS
            )
            self.broadcasts.add(item, self.unconfirmed_fanout if is_unconfirmed else self.max_transmissions)

    def _send_member_messages(self, now_us: int) -> None:
        for message in self.membership.drain_outbox():
            self._send(now_us, message, is_exempt=message.kind is MessageKind.ACK)

    # Outgoing datagrams

    def _broadcast_due_us(self) -> int:
        is_urgent = self.broadcasts.is_urgent
        return self.last_broadcast_us + (URGENT_BROADCAST_INTERVAL_US if is_urgent else BROADCAST_INTERVAL_US)

    def _broadcast(self, now_us: int) -> None:
        """Send a round of broadcasts, for those that were not piggybacked on other datagrams in time."""
        self.last_broadcast_us = now_us
        for gateway in self.broadcasts.choose_targets(self.membership.gateways_not_dead()):
            if not self.broadcasts.queued:
                break
            if self.broadcasts.bucket.available_bytes < MIN_DATAGRAM_BYTES:
                self.counts.unaffordable += 1
                break
            self._send(now_us, OutgoingMessage(gateway, MessageKind.GOSSIP))

    def _send(self, now_us: int, message: OutgoingMessage, is_exempt: bool = False) -> None:
        """Queue a datagram filled up with broadcasts; `is_exempt`: sent even if the token bucket is empty."""
        bucket = self.broadcasts.bucket
        if bucket.available_bytes <= 0 and not is_exempt:
            self.counts.unaffordable += 1
            return
        items = message.items + self.broadcasts.take_items(message.items)
        incarnation = self.membership.incarnation
        timestamp_ms = timestamp_ms_of(now_us)
        header = Header(
            message.kind, self.gateway, incarnation, timestamp_ms, message.sequence, message.subject
        )  # fmt: skip
        payload = encode(header, items)
        bucket.spend(len(payload))
        self.counts.sent += 1
        self.counts.sent_bytes += len(payload)
        self.outbox.append(OutgoingDatagram(message.recipient, payload))

    def drain_outbox(self) -> list[OutgoingDatagram]:
        """Remove and return the datagrams to be sent."""
        datagrams, self.outbox = self.outbox, []
        return datagrams
