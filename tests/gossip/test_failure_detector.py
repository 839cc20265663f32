"""Failure detector and membership table on a simulated clock: suspicion, refutation, restarts and stalls."""

from __future__ import annotations

import random
from collections.abc import Callable

from cloverkeel.gossip.failure_detector import FailureDetector
from cloverkeel.gossip.local_health import MAX_LOCAL_HEALTH_SCORE
from cloverkeel.gossip.membership import REFUTATION_INTERVAL_US, MembershipTable
from cloverkeel.gossip.messages import MASK32, GatewayProcess, MemberItem, MemberStatus, MessageKind
from cloverkeel.gossip.peer_state import OutgoingMessage
from cloverkeel.gossip.status import peer_state_name
from tests.gossip.helpers import NOW_US, constant_rng


def make_detector(
    gateway: int, fleet_size: int, incarnation: int = 1, rng: Callable[[], float] = constant_rng
) -> FailureDetector:
    return FailureDetector(MembershipTable(GatewayProcess(gateway, incarnation), fleet_size), rng)


class SimulatedFleet:
    """Failure detectors that exchange messages without delay, except over links that are cut."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.detectors = [make_detector(gateway, count, 1, self.rng.random) for gateway in range(count)]
        self.cut: set[tuple[int, int]] = set()  # sender, recipient
        self.dead: set[int] = set()
        self.now_us = NOW_US

    def deliver(self) -> None:
        while any(detector.membership.outbox or detector.membership.updates for detector in self.detectors):
            for sender, detector in enumerate(self.detectors):
                updates, messages = detector.membership.drain_updates(), detector.membership.drain_outbox()
                if sender in self.dead:
                    continue
                for item in updates:
                    for recipient in range(len(self.detectors)):
                        if recipient != sender and self.is_reachable(sender, recipient):
                            self.detectors[recipient].membership.merge(self.now_us, item)
                for message in messages:
                    if self.is_reachable(sender, message.recipient):
                        self.receive(sender, detector.membership.incarnation, message)

    def is_reachable(self, sender: int, recipient: int) -> bool:
        return (sender, recipient) not in self.cut and recipient not in self.dead

    def receive(self, sender: int, incarnation: int, message: OutgoingMessage) -> None:
        recipient = self.detectors[message.recipient]
        recipient.membership.on_datagram(self.now_us, sender, incarnation)
        for item in message.items:
            assert isinstance(item, MemberItem)
            recipient.membership.merge(self.now_us, item)
        if message.kind is MessageKind.PING:
            recipient.on_ping(sender, message.sequence)
        elif message.kind is MessageKind.PING_REQ:
            recipient.on_ping_req(self.now_us, sender, message.sequence, message.subject)
        elif message.kind is MessageKind.ACK:
            recipient.on_ack(message.sequence, message.subject)
        elif message.kind is MessageKind.NACK:
            recipient.on_nack(message.sequence)

    def run(self, seconds: float) -> None:
        end_us = self.now_us + int(seconds * 1e6)
        while self.now_us < end_us:
            self.now_us += 20_000
            for gateway, detector in enumerate(self.detectors):
                if gateway not in self.dead:
                    detector.tick(self.now_us)
            self.deliver()

    def states(self, gateway: int) -> set[str]:
        """Return the states of a gateway according to all other live gateways."""
        observers = [detector for n, detector in enumerate(self.detectors) if n not in self.dead | {gateway}]
        return {peer_state_name(observer.membership.peers[gateway]) for observer in observers}


def test_killed_gateway_is_suspected_first_and_then_dead_for_all_peers() -> None:
    fleet = SimulatedFleet(8)
    fleet.run(10)
    assert all(fleet.states(gateway) == {"alive"} for gateway in range(8))
    fleet.dead.add(3)
    fleet.run(3)
    assert "gone" not in fleet.states(3)
    fleet.run(30)
    assert fleet.states(3) == {"gone"}


def test_gateway_with_some_links_cut_is_probed_indirectly() -> None:
    """One gateway is connected to both sides of a partition, so no gateway is considered dead."""
    fleet = SimulatedFleet(5)
    fleet.run(6)
    fleet.cut = {(a, b) for a in (0, 1) for b in (3, 4)} | {(b, a) for a in (0, 1) for b in (3, 4)}
    fleet.run(40)
    assert all("gone" not in fleet.states(gateway) for gateway in range(5))


def test_gateway_restarted_with_a_clock_one_hour_back_is_alive() -> None:
    fleet = SimulatedFleet(4)
    for detector in fleet.detectors:
        detector.membership.incarnation = 50_000
    fleet.run(5)
    fleet.detectors[2] = make_detector(2, 4, 50_000 - 8 * 3600, fleet.rng.random)
    fleet.run(5)
    assert fleet.detectors[2].membership.incarnation > 50_000
    assert fleet.states(2) == {"alive"}


def test_dead_gateway_returns_with_a_higher_incarnation() -> None:
    fleet = SimulatedFleet(4)
    fleet.run(5)
    fleet.cut = {(gateway, 1) for gateway in range(4)} | {(1, gateway) for gateway in range(4)}
    fleet.run(40)
    assert fleet.states(1) == {"gone"}
    assert fleet.detectors[1].health.score == MAX_LOCAL_HEALTH_SCORE  # unanswered probes raise its own score first
    fleet.cut = set()
    fleet.run(130)
    assert fleet.states(1) == {"alive"}
    assert fleet.detectors[1].membership.incarnation > 1


def test_processes_with_the_same_number_refute_each_other_at_most_once_per_second() -> None:
    first, second = (MembershipTable(GatewayProcess(1, 7), 3) for _ in range(2))
    for step in range(10):
        at_us = NOW_US + step * 100_000
        first.merge(at_us, MemberItem(1, second.incarnation + 1, MemberStatus.ALIVE, 1))
        second.merge(at_us, MemberItem(1, first.incarnation + 1, MemberStatus.ALIVE, 1))
    assert first.refutation_count <= 1 + 1_000_000 // REFUTATION_INTERVAL_US
    assert first.incarnation < 20
    first.merge(NOW_US + 10**8, MemberItem(1, MASK32, MemberStatus.DEAD, 2))  # there is no higher incarnation
    assert first.incarnation < 20


def test_gateways_that_suspect_each_other_do_not_answer_notices_endlessly() -> None:
    """Guards against a loop: neither may refute the suspicion yet, so every datagram would cause a notice."""
    fleet = SimulatedFleet(2)
    tables = [detector.membership for detector in fleet.detectors]
    for own, other in (tables, tables[::-1]):
        own.peers[other.gateway].status = MemberStatus.SUSPECT
        own.peers[other.gateway].incarnation = 1
        own.last_refutation_us = fleet.now_us
    tables[0].outbox.append(OutgoingMessage(1, MessageKind.GOSSIP))
    sent_count = 0
    while any(table.outbox for table in tables) and sent_count < 100:
        for table in tables:
            for message in table.drain_outbox():
                sent_count += 1
                tables[message.recipient].on_datagram(fleet.now_us, table.gateway, table.incarnation)
    assert sent_count <= 3


def test_stalled_gateway_suspects_no_peer_for_unanswered_probes() -> None:
    stalled = make_detector(0, 3)
    stalled.tick(NOW_US)
    assert stalled.probe is not None
    stalled.membership.merge(NOW_US, MemberItem(2, 1, MemberStatus.SUSPECT, 1))
    stalled.on_stall(NOW_US + 60_000_000, 60_000_000)
    stalled.tick(NOW_US + 60_000_000)
    assert stalled.probe is None or stalled.probe.ends_us > NOW_US + 60_000_000
    assert stalled.suspicion_count == 0
    assert peer_state_name(stalled.membership.peers[2]) == "suspect"
    assert stalled.health.score == 1


def test_state_of_a_peer_only_advances() -> None:
    table = MembershipTable(GatewayProcess(0, 1), 3)
    states = [
        (1, MemberStatus.ALIVE),
        (1, MemberStatus.SUSPECT),
        (1, MemberStatus.DEAD),
        (2, MemberStatus.ALIVE),
        (2, MemberStatus.SUSPECT),
        (3, MemberStatus.ALIVE),
    ]
    for index, (incarnation, status) in enumerate(states):
        table.merge(NOW_US, MemberItem(1, incarnation, status, 2))
        for earlier_incarnation, earlier_status in states[:index]:
            table.merge(NOW_US, MemberItem(1, earlier_incarnation, earlier_status, 2))
        assert (table.peers[1].incarnation, table.peers[1].status) == (incarnation, status)
