"""What is believed of each gateway: SWIM's member list with suspicion and incarnations. Pure: time is passed in.

After SWIM (Das, Gupta, Motivala 2002, section 4.2) with the suspicion timeouts of Lifeguard (Dadgar, Phillips, Currey
2018); docs/peers-design.md.

Invariants:
- what is believed of a gateway only grows: by incarnation, and within one from alive to suspect to dead;
- nobody is held for dead without having been suspected for the suspicion timeout, unless another gateway says so;
- a gateway that learns that it is suspected, or of a higher incarnation under its number, refutes that with a higher
  one, once in REFUTATION_INTERVAL_US at the most.
"""

from __future__ import annotations

import math
from typing import Final

from cloverkeel.gossip.local_health import LocalHealth
from cloverkeel.gossip.messages import MASK32, GatewayProcess, MemberItem, MemberStatus, MessageKind
from cloverkeel.gossip.peer_state import OutgoingMessage, PeerState

PROBE_INTERVAL_US: Final = 1_000_000
SUSPICION_MULTIPLIER: Final = 3.0  # probe intervals, times log10 of the number of gateways, at least once
MAX_SUSPICION_TIMEOUT_MULTIPLIER: Final = 4.0  # times that for a single accuser
MAX_CONFIRMATIONS: Final = 3  # further accusers after which the timeout is as short as it gets
REFUTATION_INTERVAL_US: Final = 1_000_000
SUSPICION_NOTICE_INTERVAL_US: Final = 500_000  # between two notices to a gateway of its status, outside of probes


class MembershipTable:
    """One gateway's view of the fleet."""

    def __init__(self, process: GatewayProcess, fleet_size: int) -> None:
        self.gateway, self.fleet_size = process.gateway, fleet_size
        self.incarnation = process.incarnation
        self.health = LocalHealth()
        self.peers = {gateway: PeerState() for gateway in range(fleet_size) if gateway != self.gateway}
        self.suspects: set[int] = set()
        self.last_refutation_us = -REFUTATION_INTERVAL_US
        self.updates: list[MemberItem] = []  # changes that others should hear of
        self.outbox: list[OutgoingMessage] = []  # of the failure detector, too: one queue keeps their order
        self.refutation_count = 0
        self.recovery_count = 0  # peers that came back from suspect or dead

    @property
    def own_item(self) -> MemberItem:
        """The status of this gateway."""
        return MemberItem(self.gateway, self.incarnation, MemberStatus.ALIVE, self.gateway)

    def member_item(self, gateway: int) -> MemberItem:
        """Return what is believed of a peer."""
        peer = self.peers[gateway]
        accuser = min(peer.accusers, default=self.gateway)
        return MemberItem(gateway, peer.incarnation, peer.status, accuser)

    def gateways_not_dead(self) -> list[int]:
        """Return whom to send to."""
        return [gateway for gateway, peer in self.peers.items() if peer.status is not MemberStatus.DEAD]

    def is_alive(self, gateway: int) -> bool:
        """Return whether a peer is neither suspected nor held for dead."""
        return self.peers[gateway].status is MemberStatus.ALIVE

    def suspicion_notice(self, gateway: int) -> tuple[MemberItem, ...]:
        """Return what a suspected peer must learn, so that it can refute it at once; nothing for others."""
        return () if self.is_alive(gateway) else (self.member_item(gateway),)

    def drain_outbox(self) -> list[OutgoingMessage]:
        """Return the messages that wait, in their order."""
        messages, self.outbox = self.outbox, []
        return messages

    def drain_updates(self) -> list[MemberItem]:
        """Return the changes that others have not been sent yet."""
        updates, self.updates = self.updates, []
        return updates

    def on_datagram(self, now_us: int, gateway: int, incarnation: int) -> None:
        """Note a datagram of a peer's own."""
        peer = self.peers.get(gateway)
        if peer is None:
            return
        peer.last_heard_us = now_us
        if incarnation > peer.incarnation:
            self.set_status(now_us, MemberItem(gateway, incarnation, MemberStatus.ALIVE, gateway))
        elif peer.status is not MemberStatus.ALIVE or incarnation < peer.incarnation:
            self._notify_of_status(now_us, gateway)

    def _notify_of_status(self, now_us: int, gateway: int) -> None:
        """Tell a peer what is believed of it: it does not know that, and can refute it.

        Not each time: two that suspect one another, and may not refute it yet, would answer each other's answers.
        """
        peer = self.peers[gateway]
        if now_us - peer.last_notice_us >= SUSPICION_NOTICE_INTERVAL_US:
            peer.last_notice_us = now_us
            self.outbox.append(OutgoingMessage(gateway, MessageKind.GOSSIP, items=(self.member_item(gateway),)))

    def merge(self, now_us: int, item: MemberItem) -> None:
        """Take in what another gateway claims of one, perhaps of this one."""
        if item.gateway == self.gateway:
            self.on_claim_about_self(now_us, item)
            return
        peer = self.peers.get(item.gateway)
        if peer is None or item.status not in MemberStatus._value2member_map_:
            return
        status = MemberStatus(item.status)
        claimed, believed = (item.incarnation, status), (peer.incarnation, peer.status)
        if claimed > believed:
            self.set_status(now_us, item)
        elif claimed == believed and status is MemberStatus.SUSPECT:
            self._add_accuser(peer, item)

    def _add_accuser(self, peer: PeerState, item: MemberItem) -> None:
        """Count an independent suspicion: it shortens the timeout (Lifeguard's dynamic suspicion timeout)."""
        if item.reporter in peer.accusers or len(peer.accusers) > MAX_CONFIRMATIONS:
            return
        peer.accusers.add(item.reporter)
        self.updates.append(item)

    def on_claim_about_self(self, now_us: int, item: MemberItem) -> None:
        """Refute a claim that this gateway is not alive, or of a higher incarnation under its number."""
        is_accusation = item.incarnation == self.incarnation and item.status != MemberStatus.ALIVE
        if not is_accusation and item.incarnation <= self.incarnation:
            return
        if now_us - self.last_refutation_us < REFUTATION_INTERVAL_US or item.incarnation >= MASK32:
            return
        self.last_refutation_us = now_us
        if is_accusation:
            self.health.worsen()  # it was this process that could not be reached
        self.incarnation = item.incarnation + 1
        self.refutation_count += 1
        self.updates.append(self.own_item)

    def suspect(self, now_us: int, gateway: int) -> bool:
        """Accuse a peer on this gateway's own account; return whether it was believed alive."""
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
        """Believe what an item claims of a peer, and queue it for others."""
        peer = self.peers[item.gateway]
        status = MemberStatus(item.status)
        if peer.status is not MemberStatus.ALIVE and status is MemberStatus.ALIVE:
            self.recovery_count += 1
        is_worth_telling = status is not MemberStatus.ALIVE or peer.status is not MemberStatus.ALIVE
        peer.incarnation = item.incarnation
        peer.status = status
        peer.status_since_us = now_us
        if status is MemberStatus.SUSPECT:
            self.suspects.add(item.gateway)
            peer.accusers = {item.reporter}
        else:
            self.suspects.discard(item.gateway)
            peer.accusers = set()
        if is_worth_telling:
            self.updates.append(item)

    def suspicion_timeout_us(self, peer: PeerState) -> int:
        """Return how long a peer is suspected before it is held for dead; each further accuser shortens it."""
        min_us = SUSPICION_MULTIPLIER * max(1.0, math.log10(self.fleet_size)) * PROBE_INTERVAL_US
        max_us = MAX_SUSPICION_TIMEOUT_MULTIPLIER * min_us
        confirmations = min(MAX_CONFIRMATIONS, max(0, len(peer.accusers) - 1))
        return int(max_us - (max_us - min_us) * math.log(confirmations + 1) / math.log(MAX_CONFIRMATIONS + 1))

    def expire_suspicions(self, now_us: int) -> None:
        """Hold for dead who has been suspected for the timeout and has not refuted it."""
        for gateway in list(self.suspects):
            peer = self.peers[gateway]
            if now_us - peer.status_since_us >= self.suspicion_timeout_us(peer):
                self.set_status(now_us, MemberItem(gateway, peer.incarnation, MemberStatus.DEAD, self.gateway))

    def on_stall(self, stall_us: int) -> None:
        """Note that this process was stopped so long: no suspicion ages meanwhile."""
        self.health.worsen()
        for gateway in self.suspects:
            self.peers[gateway].status_since_us += stall_us
