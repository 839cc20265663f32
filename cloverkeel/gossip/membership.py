"""SWIM's member list with suspicion and incarnations. Pure: time is passed in.

After SWIM (Das, Gupta, Motivala 2002, section 4.2) with the suspicion timeouts of Lifeguard (Dadgar, Phillips, Currey
2018); docs/peers-design.md.

Invariants:
- the state of a peer only advances: to higher incarnations, and within one from alive to suspect to dead;
- a peer becomes dead only after the suspicion timeout, or when another gateway reports it as dead;
- a gateway that receives a suspicion of itself, or a higher incarnation under its number, refutes it with a still
  higher incarnation, at most once per REFUTATION_INTERVAL_US.
"""

from __future__ import annotations

import math
from typing import Final

from cloverkeel.gossip.local_health import LocalHealth
from cloverkeel.gossip.messages import MASK32, GatewayProcess, MemberItem, MemberStatus, MessageKind
from cloverkeel.gossip.peer_state import OutgoingMessage, PeerState

PROBE_INTERVAL_US: Final = 1_000_000
SUSPICION_MULTIPLIER: Final = 3.0  # minimum suspicion timeout / (probe interval * max(1, log10(fleet size)))
MAX_SUSPICION_TIMEOUT_MULTIPLIER: Final = 4.0  # timeout with a single accuser / minimum timeout
MAX_CONFIRMATIONS: Final = 3  # additional accusers that shorten the timeout to the minimum
REFUTATION_INTERVAL_US: Final = 1_000_000
SUSPICION_NOTICE_INTERVAL_US: Final = 500_000  # between status notices to one gateway, besides those in probes


class MembershipTable:
    """One gateway's view of the fleet."""

    def __init__(self, process: GatewayProcess, fleet_size: int) -> None:
        self.gateway, self.fleet_size = process.gateway, fleet_size
        self.incarnation = process.incarnation
        self.health = LocalHealth()
        self.peers = {gateway: PeerState() for gateway in range(fleet_size) if gateway != self.gateway}
        self.suspects: set[int] = set()
        self.last_refutation_us = -REFUTATION_INTERVAL_US
        self.updates: list[MemberItem] = []  # changes to be broadcast
        self.outbox: list[OutgoingMessage] = []  # shared with the failure detector, to keep the order of messages
        self.refutation_count = 0
        self.recovery_count = 0  # transitions of peers from suspect or dead to alive

    @property
    def own_item(self) -> MemberItem:
        """This gateway's own status."""
        return MemberItem(self.gateway, self.incarnation, MemberStatus.ALIVE, self.gateway)

    def member_item(self, gateway: int) -> MemberItem:
        """Return the status of a peer, reported by its lowest-numbered accuser, or by this gateway if it has none."""
        peer = self.peers[gateway]
        accuser = min(peer.accusers, default=self.gateway)
        return MemberItem(gateway, peer.incarnation, peer.status, accuser)

    def gateways_not_dead(self) -> list[int]:
        """Return the peers that are alive or suspected, to which messages are sent."""
        return [gateway for gateway, peer in self.peers.items() if peer.status is not MemberStatus.DEAD]

    def is_alive(self, gateway: int) -> bool:
        """Return whether a peer is neither suspected nor dead."""
        return self.peers[gateway].status is MemberStatus.ALIVE

    def suspicion_notice(self, gateway: int) -> tuple[MemberItem, ...]:
        """Return the status of a suspected or dead peer, for it to refute at once; empty if the peer is alive."""
        return () if self.is_alive(gateway) else (self.member_item(gateway),)

    def drain_outbox(self) -> list[OutgoingMessage]:
        """Remove and return the queued messages, oldest first."""
        messages, self.outbox = self.outbox, []
        return messages

    def drain_updates(self) -> list[MemberItem]:
        """Remove and return the changes that have not been broadcast yet."""
        updates, self.updates = self.updates, []
        return updates

    def on_datagram(self, now_us: int, gateway: int, incarnation: int) -> None:
        """Process the sender and incarnation of a datagram received directly from a peer."""
        peer = self.peers.get(gateway)
        if peer is None:
            return
        peer.last_received_us = now_us
        if incarnation > peer.incarnation:
            self.set_status(now_us, MemberItem(gateway, incarnation, MemberStatus.ALIVE, gateway))
        elif peer.status is not MemberStatus.ALIVE or incarnation < peer.incarnation:
            self._notify_of_status(now_us, gateway)

    def _notify_of_status(self, now_us: int, gateway: int) -> None:
        """Notify a peer that it is not considered alive, or of its newer incarnation, so that it can refute this.

        Rate-limited: two gateways that suspect each other, and may not refute it yet, would answer each other's
        notices endlessly.
        """
        peer = self.peers[gateway]
        if now_us - peer.last_notice_us >= SUSPICION_NOTICE_INTERVAL_US:
            peer.last_notice_us = now_us
            self.outbox.append(OutgoingMessage(gateway, MessageKind.GOSSIP, items=(self.member_item(gateway),)))

    def merge(self, now_us: int, item: MemberItem) -> None:
        """Merge a status received from a peer, which may be about this gateway itself."""
        if item.gateway == self.gateway:
            self.on_claim_about_self(now_us, item)
            return
        peer = self.peers.get(item.gateway)
        if peer is None or item.status not in MemberStatus._value2member_map_:
            return
        status = MemberStatus(item.status)
        claimed, current = (item.incarnation, status), (peer.incarnation, peer.status)
        if claimed > current:
            self.set_status(now_us, item)
        elif claimed == current and status is MemberStatus.SUSPECT:
            self._add_accuser(peer, item)

    def _add_accuser(self, peer: PeerState, item: MemberItem) -> None:
        """Add an independent accuser, which shortens the timeout (Lifeguard's dynamic suspicion timeout)."""
        if item.reporter in peer.accusers or len(peer.accusers) > MAX_CONFIRMATIONS:
            return
        peer.accusers.add(item.reporter)
        self.updates.append(item)

    def on_claim_about_self(self, now_us: int, item: MemberItem) -> None:
        """Refute a claim that this gateway is not alive or has a higher incarnation than its own."""
        is_accusation = item.incarnation == self.incarnation and item.status != MemberStatus.ALIVE
        if not is_accusation and item.incarnation <= self.incarnation:
            return
        if now_us - self.last_refutation_us < REFUTATION_INTERVAL_US or item.incarnation >= MASK32:
            return
        self.last_refutation_us = now_us
        if is_accusation:
            self.health.worsen()  # peers could not reach this process
        self.incarnation = item.incarnation + 1
        self.refutation_count += 1
        self.updates.append(self.own_item)

    def suspect(self, now_us: int, gateway: int) -> bool:
        """Suspect a peer after a failed probe by this gateway; return whether it was considered alive before."""
        peer = self.peers[gateway]
        item = MemberItem(gateway, peer.incarnation, MemberStatus.SUSPECT, self.gateway)
        if peer.status is MemberStatus.ALIVE:
            self.set_status(now_us, item)
            return True
        if peer.status is MemberStatus.SUSPECT and self.gateway not in peer.accusers:
            peer.accusers.add(self.gateway)
            self.updates.append(item)
        return False

    def set_status(self, now_us: int, item: MemberItem) -> None:
        """Apply a status to a peer and queue it for broadcast, unless the peer was and stays alive."""
        peer = self.peers[item.gateway]
        status = MemberStatus(item.status)
        if peer.status is not MemberStatus.ALIVE and status is MemberStatus.ALIVE:
            self.recovery_count += 1
        needs_broadcast = status is not MemberStatus.ALIVE or peer.status is not MemberStatus.ALIVE
        peer.incarnation = item.incarnation
        peer.status = status
        peer.status_since_us = now_us
        if status is MemberStatus.SUSPECT:
            self.suspects.add(item.gateway)
            peer.accusers = {item.reporter}
        else:
            self.suspects.discard(item.gateway)
            peer.accusers = set()
        if needs_broadcast:
            self.updates.append(item)

    def suspicion_timeout_us(self, peer: PeerState) -> int:
        """Return how long a peer stays suspected before it is considered dead; each further accuser shortens it."""
        min_us = SUSPICION_MULTIPLIER * max(1.0, math.log10(self.fleet_size)) * PROBE_INTERVAL_US
        max_us = MAX_SUSPICION_TIMEOUT_MULTIPLIER * min_us
        confirmations = min(MAX_CONFIRMATIONS, max(0, len(peer.accusers) - 1))
        return int(max_us - (max_us - min_us) * math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1))

    def expire_suspicions(self, now_us: int) -> None:
        """Mark the peers as dead that did not refute their suspicion within the timeout."""
        for gateway in list(self.suspects):
            peer = self.peers[gateway]
            if now_us - peer.status_since_us >= self.suspicion_timeout_us(peer):
                self.set_status(now_us, MemberItem(gateway, peer.incarnation, MemberStatus.DEAD, self.gateway))

    def on_stall(self, stall_us: int) -> None:
        """Extend all suspicions by the duration of a stall of this process."""
        self.health.worsen()
        for gateway in self.suspects:
            self.peers[gateway].status_since_us += stall_us
