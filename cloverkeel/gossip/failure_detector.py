"""Failure detector: SWIM's probes of peers with Lifeguard's extensions. Pure: time is passed in.

SWIM (Das, Gupta, Motivala 2002, section 3.1): in each period one peer is pinged, in an order shuffled for each round
(section 4.3); if it does not answer, other gateways are asked to ping it (ping-req). Lifeguard (Dadgar, Phillips,
Currey 2018) adds nacks from these gateways, and a local health multiplier that stretches the timeouts.

Invariants:
- a failed probe alone does not make a peer dead: the peer is suspected first (membership.py);
- the worse this gateway's local health, the longer it waits before it suspects a peer;
- after a stall of this process, no peer is suspected for a probe that was unanswered meanwhile.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.gossip.membership import PROBE_INTERVAL_US, MembershipTable
from cloverkeel.gossip.messages import MASK32, MemberStatus, MessageKind
from cloverkeel.gossip.peer_state import OutgoingMessage, Probe, RelayedProbe
from cloverkeel.gossip.sampling import UniformRandom, shuffled

PROBE_TIMEOUT_US: Final = 250_000  # for a direct ack; indirect probes start after it
INDIRECT_PROBES: Final = 3  # gateways that are asked to ping the target
NACK_TIMEOUT_RATIO: Final = 0.8  # part of the probe timeout after which a relaying gateway sends a nack
# A peer that has been dead for this long is probed again: it may be alive, and consider all others dead.
DEAD_PROBE_INTERVAL_US: Final = 60_000_000
MAX_RELAYED_PROBES: Final = 64
MIN_INTERVAL_JITTER: Final = 0.9
INTERVAL_JITTER_RANGE: Final = 0.2


class FailureDetector:
    """The probes that this gateway sends, relays and answers."""

    def __init__(self, membership: MembershipTable, rng: UniformRandom) -> None:
        self.membership, self.rng = membership, rng
        self.health = membership.health
        self.probe: Probe | None = None
        self.remaining_targets: list[int] = []  # peers that are not yet probed in this round
        self.relayed_probe_by_sequence: dict[int, RelayedProbe] = {}  # by the sequence number of this gateway's ping
        self.sequence = 0
        self.next_probe_us = 0
        self.suspicion_count = 0  # peers suspected after a failed probe that were considered alive before

    def start(self, now_us: int) -> None:
        """Start probing at a random time in the first period: gateways started together must not synchronize."""
        self.next_probe_us = now_us + int(self.rng() * PROBE_INTERVAL_US)

    def on_stall(self, now_us: int, stall_us: int) -> None:
        """Cancel all probes after a stall of this process: answers may have been missed meanwhile."""
        self.probe = None
        self.relayed_probe_by_sequence.clear()
        self.membership.on_stall(stall_us)
        self.start(now_us)

    def next_timer_us(self) -> int:
        """Return the time at which `tick` next has work to do."""
        due_us = self.next_probe_us
        probe = self.probe
        if probe is not None:
            due_us = min(due_us, probe.ends_us)
            if probe.is_waiting_for_direct_ack:
                due_us = min(due_us, probe.indirect_due_us if probe.is_resent else probe.resend_due_us)
        for relayed_probe in self.relayed_probe_by_sequence.values():
            due_us = min(due_us, relayed_probe.nack_due_us)
        return due_us

    def tick(self, now_us: int) -> None:
        """Do the work that is due."""
        self._send_due_nacks(now_us)
        if self.probe is not None:
            self._advance_probe(now_us, self.probe)
        self.membership.expire_suspicions(now_us)
        if self.probe is None and now_us >= self.next_probe_us:
            self._begin_probe(now_us)

    def _send_due_nacks(self, now_us: int) -> None:
        for sequence, relayed_probe in list(self.relayed_probe_by_sequence.items()):
            if now_us >= relayed_probe.nack_due_us:
                del self.relayed_probe_by_sequence[sequence]
                self._answer_requester(relayed_probe, MessageKind.NACK)

    def _answer_requester(self, relayed_probe: RelayedProbe, kind: MessageKind) -> None:
        self._send(
            OutgoingMessage(
                relayed_probe.requester, kind, relayed_probe.requester_sequence, relayed_probe.target
            )
        )  # fmt: skip

    def _send(self, message: OutgoingMessage) -> None:
        self.membership.outbox.append(message)

    def _send_ping(self, target: int, sequence: int) -> None:
        notice = self.membership.suspicion_notice(target)
        self._send(OutgoingMessage(target, MessageKind.PING, sequence, items=notice))

    def _next_sequence(self) -> int:
        self.sequence = (self.sequence + 1) & MASK32
        return self.sequence

    # Own probes

    def _begin_probe(self, now_us: int) -> None:
        interval_us = PROBE_INTERVAL_US * self.health.multiplier
        jitter = MIN_INTERVAL_JITTER + INTERVAL_JITTER_RANGE * self.rng()
        self.next_probe_us = now_us + int(interval_us * jitter)
        target = self._next_target(now_us)
        if target is None:
            return
        sequence = self._next_sequence()
        timeout_us = PROBE_TIMEOUT_US * self.health.multiplier
        self.probe = Probe(target, sequence, now_us + timeout_us // 2, now_us + timeout_us, self.next_probe_us)
        self._send_ping(target, sequence)

    def _next_target(self, now_us: int) -> int | None:
        """Return the next peer of the shuffled round, skipping those that died recently; None if there is none."""
        for _ in range(2):
            while self.remaining_targets:
                gateway = self.remaining_targets.pop()
                peer = self.membership.peers[gateway]
                is_dead = peer.status is MemberStatus.DEAD
                if not is_dead or now_us - peer.status_since_us > DEAD_PROBE_INTERVAL_US:
                    return gateway
            self.remaining_targets = shuffled(self.membership.peers, self.rng)
        return None

    def _advance_probe(self, now_us: int, probe: Probe) -> None:
        if probe.is_waiting_for_direct_ack:
            if now_us >= probe.resend_due_us and not probe.is_resent:
                probe.is_resent = True
                self._send_ping(probe.target, probe.sequence)
            if now_us >= probe.indirect_due_us:
                self._probe_indirectly(probe)
        if now_us >= probe.ends_us:
            self._end_probe(now_us, probe)

    def _probe_indirectly(self, probe: Probe) -> None:
        """Ask other gateways to ping the target."""
        probe.is_indirect = True
        candidates = [gateway for gateway in self.membership.gateways_not_dead() if gateway != probe.target]
        for gateway in shuffled(candidates, self.rng)[:INDIRECT_PROBES]:
            probe.indirect_probes += 1
            self._send(OutgoingMessage(gateway, MessageKind.PING_REQ, probe.sequence, probe.target))

    def _end_probe(self, now_us: int, probe: Probe) -> None:
        self.probe = None
        if probe.is_acked:
            self.health.improve()
            return
        # A relaying gateway that sends neither ack nor nack indicates that this gateway's own network is faulty.
        missing_nacks = max(0, probe.indirect_probes - probe.nacks)
        self.health.worsen(missing_nacks)
        if self.membership.suspect(now_us, probe.target):
            self.suspicion_count += 1

    # Messages from peers

    def on_ping(self, gateway: int, sequence: int) -> None:
        """Answer a ping with an ack, and notify the sender if it is suspected or dead."""
        notice = self.membership.suspicion_notice(gateway)
        own_gateway = self.membership.gateway
        self._send(OutgoingMessage(gateway, MessageKind.ACK, sequence, own_gateway, notice))

    def on_ping_req(self, now_us: int, requester: int, sequence: int, target: int) -> None:
        """Ping the target on behalf of another gateway."""
        peers = self.membership.peers
        if target not in peers or requester not in peers:
            return
        if len(self.relayed_probe_by_sequence) >= MAX_RELAYED_PROBES:
            return
        own_sequence = self._next_sequence()
        nack_due_us = now_us + int(PROBE_TIMEOUT_US * NACK_TIMEOUT_RATIO)
        self.relayed_probe_by_sequence[own_sequence] = RelayedProbe(requester, sequence, target, nack_due_us)
        self._send_ping(target, own_sequence)

    def on_ack(self, sequence: int, target: int) -> None:
        """Record the answer to this gateway's probe, or forward it to the gateway that requested the probe."""
        probe = self.probe
        if probe is not None and sequence == probe.sequence and target == probe.target:
            probe.is_acked = True
        relayed_probe = self.relayed_probe_by_sequence.pop(sequence, None)
        if relayed_probe is not None and relayed_probe.target == target:
            self._answer_requester(relayed_probe, MessageKind.ACK)

    def on_nack(self, sequence: int) -> None:
        """Count a nack: the target did not answer the relaying gateway, which is itself reachable."""
        if self.probe is not None and sequence == self.probe.sequence:
            self.probe.nacks += 1
