"""Who of the other gateways is there: SWIM with Lifeguard's refinements (docs/peers-design.md). Pure: time comes in.

Invariants:
- what is believed of a gateway only grows: by incarnation, and within one from alive to suspect to gone;
- nobody is held for gone by one failed probe: it is suspected first, for SUSPICION_MULTIPLIER periods at the least;
- a gateway that hears itself suspected, or of a higher incarnation under its name, goes above it, once in
  REFUTATION_INTERVAL_US at the most;
- the worse this gateway's own health, the longer it waits before it accuses another.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from cloverkeel.gossip.peer_state import OutgoingMessage, PeerState, Probe, RelayedProbe
from cloverkeel.gossip.messages import MASK32, MessageKind, MemberStatus, MemberItem

PROBE_INTERVAL_US: Final = 1_000_000  # between two probes
PROBE_TIMEOUT_US: Final = 250_000  # for an answer, before others are asked to probe it
INDIRECT_PROBES: Final = 3
SUSPICION_MULTIPLIER: Final = 3.0  # times log10 of the number of gateways, at least once
MAX_SUSPICION_TIMEOUT_MULTIPLIER: Final = 4.0  # times that for a single accuser
MAX_CONFIRMATIONS: Final = 3  # further ones after which a suspicion is as short as it gets
MAX_LOCAL_HEALTH_SCORE: Final = 8
REFUTATION_INTERVAL_US: Final = 1_000_000
NACK_TIMEOUT_RATIO: Final = 0.8  # of the wait, after which who was asked to probe says that it heard nothing
DEAD_PROBE_INTERVAL_US: Final = 60_000_000  # after which one that is gone is probed again: it may be back and alone
MAX_RELAYED_PROBES: Final = 64
SUSPICION_NOTICE_INTERVAL_US: Final = (
    500_000  # between two times that a gateway is told what is said of it, beside probes
)


class FailureDetector:
    """One gateway's view of the others."""

    def __init__(self, number: int, count: int, incarnation: int, draw: Callable[[], float]) -> None:
        """`draw` gives a number from 0 to 1; `incarnation` grows from one start to the next, as a rule."""
        self.number, self.count = number, count
        self.incarnation = incarnation
        self.draw = draw
        self.others = {n: PeerState() for n in range(count) if n != number}
        self.suspects: set[int] = set()
        self.health = 0  # 0: well
        self.round: list[int] = []
        self.probe: Probe | None = None
        self.relays: dict[int, RelayedProbe] = {}  # by the sequence of our own ping
        self.sequence = 0
        self.next_us = 0
        self.refuted_us = -REFUTATION_INTERVAL_US
        self.out: list[OutgoingMessage] = []
        self.news: list[MemberItem] = []  # changes that others should hear of
        self.suspicions = self.refutations = self.returns = 0  # counts: suspected here; of oneself; back from suspect

    # What is believed

    @property
    def own(self) -> MemberItem:
        return MemberItem(self.number, self.incarnation, MemberStatus.ALIVE, self.number)

    def item(self, number: int) -> MemberItem:
        other = self.others[number]
        by = min(other.accusers, default=self.number)
        return MemberItem(number, other.incarnation, other.life, by)

    def alive(self) -> list[int]:
        """Whom to tell: all but those that are held for gone."""
        return [number for number, other in self.others.items() if other.life is not MemberStatus.DEAD]

    def heard(self, now_us: int, number: int, incarnation: int) -> None:
        """A datagram of its own has come from that gateway."""
        other = self.others.get(number)
        if other is None:
            return
        other.heard_us = now_us
        if incarnation > other.incarnation:
            self.believe(now_us, number, incarnation, MemberStatus.ALIVE, number)
        elif (
            other.life is not MemberStatus.ALIVE or incarnation < other.incarnation
        ) and now_us - other.told_us >= SUSPICION_NOTICE_INTERVAL_US:
            # It does not know what is said of it: it can go above that. Not each time: two that suspect one another,
            # and may not go above it yet, would answer each other's answers.
            other.told_us = now_us
            self.out.append(OutgoingMessage(number, MessageKind.GOSSIP, item=self.item(number)))

    def learn(self, now_us: int, item: MemberItem) -> None:
        """What another says of a gateway, perhaps of this one."""
        if item.number == self.number:
            self.hear_of_oneself(now_us, item)
            return
        other = self.others.get(item.number)
        if other is None or item.life not in MemberStatus._value2member_map_:
            return
        life = MemberStatus(item.life)
        if (item.incarnation, life) > (other.incarnation, other.life):
            self.believe(now_us, item.number, item.incarnation, life, item.by)
        elif (item.incarnation, life) == (other.incarnation, other.life) and life is MemberStatus.SUSPECT:
            if item.by in other.accusers or len(other.accusers) > MAX_CONFIRMATIONS:
                return
            other.accusers.add(item.by)
            self.news.append(item)

    def hear_of_oneself(self, now_us: int, item: MemberItem) -> None:
        worse = item.incarnation > self.incarnation or (
            item.incarnation == self.incarnation and item.life != MemberStatus.ALIVE
        )
        if not worse or now_us - self.refuted_us < REFUTATION_INTERVAL_US or item.incarnation >= MASK32:
            return
        self.refuted_us = now_us
        if item.life != MemberStatus.ALIVE and item.incarnation == self.incarnation:
            self.health = min(
                MAX_LOCAL_HEALTH_SCORE, self.health + 1
            )  # it was this process that could not be reached
        self.incarnation = item.incarnation + 1
        self.refutations += 1
        self.news.append(self.own)

    def believe(self, now_us: int, number: int, incarnation: int, life: MemberStatus, by: int) -> None:
        other = self.others[number]
        if other.life is not MemberStatus.ALIVE and life is MemberStatus.ALIVE:
            self.returns += 1
        told = life is not MemberStatus.ALIVE or other.life is not MemberStatus.ALIVE
        other.incarnation, other.life, other.since_us = incarnation, life, now_us
        self.suspects.add(number) if life is MemberStatus.SUSPECT else self.suspects.discard(number)
        other.accusers = {by} if life is MemberStatus.SUSPECT else set()
        if told:  # that one is there is no news where nobody thought otherwise
            self.news.append(MemberItem(number, incarnation, life, by))

    def suspect_us(self, other: PeerState) -> int:
        """How long it is suspected before it is held for gone."""
        least = SUSPICION_MULTIPLIER * max(1.0, math.log10(self.count)) * PROBE_INTERVAL_US
        most = MAX_SUSPICION_TIMEOUT_MULTIPLIER * least
        further = min(MAX_CONFIRMATIONS, max(0, len(other.accusers) - 1))
        return int(most - (most - least) * math.log(further + 1) / math.log(MAX_CONFIRMATIONS + 1))

    # Time

    @property
    def stretch(self) -> int:
        return 1 + self.health

    def stood_still(self, now_us: int, stall_us: int) -> None:
        """This process was stopped: what went unanswered is nobody's fault, and suspicions begin where they were."""
        self.probe = None
        self.relays.clear()
        self.health = min(MAX_LOCAL_HEALTH_SCORE, self.health + 1)
        for number in self.suspects:
            self.others[number].since_us += stall_us
        self.next_us = now_us + int(self.draw() * PROBE_INTERVAL_US)

    def next_due(self) -> int:
        due_us = self.next_us
        if self.probe is not None:
            due_us = min(due_us, self.probe.over_us)
            if not self.probe.answered and not self.probe.asked:
                again = not self.probe.asked_again
                due_us = min(due_us, self.probe.again_us if again else self.probe.ask_others_us)
        for relay in self.relays.values():
            due_us = min(due_us, relay.nack_us)
        return due_us

    def tick(self, now_us: int) -> None:
        for sequence, relay in list(self.relays.items()):
            if now_us >= relay.nack_us:
                del self.relays[sequence]
                self.out.append(OutgoingMessage(relay.by, MessageKind.NACK, relay.sequence, relay.target))
        probe = self.probe
        if probe is not None and not probe.answered and not probe.asked:
            if now_us >= probe.again_us and not probe.asked_again:
                probe.asked_again = True
                self.out.append(
                    OutgoingMessage(probe.target, MessageKind.PING, probe.sequence, item=self.to_tell(probe.target))
                )
            if now_us >= probe.ask_others_us:
                self.ask_others(probe)
        if probe is not None and now_us >= probe.over_us:
            self.end_probe(now_us, probe)
        for number in list(self.suspects):
            other = self.others[number]
            if now_us - other.since_us >= self.suspect_us(other):
                self.believe(now_us, number, other.incarnation, MemberStatus.DEAD, self.number)
        if self.probe is None and now_us >= self.next_us:
            self.begin_probe(now_us)

    def next_sequence(self) -> int:
        self.sequence = (self.sequence + 1) & MASK32
        return self.sequence

    def begin_probe(self, now_us: int) -> None:
        period_us = PROBE_INTERVAL_US * self.stretch
        # A beginning of its own: gateways that started together do not ask together.
        self.next_us = now_us + int(period_us * (0.9 + 0.2 * self.draw()))
        target = self.next_target(now_us)
        if target is None:
            return
        sequence = self.next_sequence()
        wait_us = PROBE_TIMEOUT_US * self.stretch
        self.probe = Probe(target, sequence, now_us + wait_us // 2, now_us + wait_us, self.next_us)
        self.out.append(OutgoingMessage(target, MessageKind.PING, sequence, item=self.to_tell(target)))

    def to_tell(self, number: int) -> MemberItem | None:
        """One that is suspected is told so: it can answer for itself at once."""
        return self.item(number) if self.others[number].life is not MemberStatus.ALIVE else None

    def next_target(self, now_us: int) -> int | None:
        """Each in turn, in an order drawn anew for each round."""
        for _ in range(2):
            while self.round:
                number = self.round.pop()
                other = self.others[number]
                if other.life is not MemberStatus.DEAD or now_us - other.since_us > DEAD_PROBE_INTERVAL_US:
                    return number
            self.round = sorted(self.others, key=lambda _: self.draw())
        return None

    def ask_others(self, probe: Probe) -> None:
        able = [n for n in self.alive() if n != probe.target]
        for number in sorted(able, key=lambda _: self.draw())[:INDIRECT_PROBES]:
            probe.asked += 1
            self.out.append(OutgoingMessage(number, MessageKind.PING_REQ, probe.sequence, probe.target))
        probe.asked = probe.asked or -1  # nobody is left to ask

    def end_probe(self, now_us: int, probe: Probe) -> None:
        self.probe = None
        if probe.answered:
            self.health = max(0, self.health - 1)
            return
        # Who was asked and says nothing at all is a sign that this gateway hears badly itself.
        self.health = min(MAX_LOCAL_HEALTH_SCORE, self.health + max(0, max(0, probe.asked) - probe.nacks))
        other = self.others[probe.target]
        if other.life is MemberStatus.ALIVE:
            self.suspicions += 1
            self.believe(now_us, probe.target, other.incarnation, MemberStatus.SUSPECT, self.number)
        elif other.life is MemberStatus.SUSPECT and self.number not in other.accusers:
            other.accusers.add(self.number)
            self.news.append(MemberItem(probe.target, other.incarnation, MemberStatus.SUSPECT, self.number))

    # Probes that come

    def on_ping(self, number: int, sequence: int) -> None:
        self.out.append(OutgoingMessage(number, MessageKind.ACK, sequence, self.number, self.to_tell(number)))

    def on_ping_for(self, now_us: int, number: int, sequence: int, target: int) -> None:
        if target not in self.others or number not in self.others or len(self.relays) >= MAX_RELAYED_PROBES:
            return
        own = self.next_sequence()
        self.relays[own] = RelayedProbe(number, sequence, target, now_us + int(PROBE_TIMEOUT_US * NACK_TIMEOUT_RATIO))
        self.out.append(OutgoingMessage(target, MessageKind.PING, own, item=self.to_tell(target)))

    def on_ack(self, sequence: int, target: int) -> None:
        probe = self.probe
        if probe is not None and sequence == probe.sequence and target == probe.target:
            probe.answered = True
        relay = self.relays.pop(sequence, None)
        if relay is not None and relay.target == target:
            self.out.append(OutgoingMessage(relay.by, MessageKind.ACK, relay.sequence, target))

    def on_nack(self, sequence: int) -> None:
        if self.probe is not None and sequence == self.probe.sequence:
            self.probe.nacks += 1
