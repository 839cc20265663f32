"""All duties of one gateway: those that it holds or would hold, its voter's part, and whom it reports to. Pure.

Datagrams and time come in, datagrams and changes go out; what a duty is about is a `Work`.

Invariants:
- nothing is answered to who names another number of voters;
- an act goes out only if the lease says at that moment that it may;
- an act that comes in counts only if its epoch is the newest seen of that duty;
- at most NEEDS_MOST duties are wanted at a time; what is beyond is left as it is without any of this.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, Protocol

from cloverkeel.leases.acceptor import Acceptor
from cloverkeel.leases.ballots import MAX_GATEWAYS, RANDOM_BITS, REFERENCE_TIME_US, BallotClock, FencingTokenCheck
from cloverkeel.leases.lease import (
    NEVER_US,
    Action,
    LeaseAcquired,
    LeaseConfig,
    LeaseEnded,
    LeasePhase,
    NodeRequest,
    QuorumLease,
    SendMessage,
)
from cloverkeel.leases.messages import (
    LEASE_ID_BITS,
    Accepted,
    Handover,
    HandoverAck,
    Header,
    Hello,
    LeaderReply,
    Message,
    NotLeaseHolder,
    Prepare,
    Promised,
    Propose,
    Refused,
    Release,
    Report,
    StaleTokenNotice,
)
from cloverkeel.leases.zookeeper_lease import DELETE, NodeOutcome, NodeResponse, ZookeeperLease

MAX_REQUESTS: Final = 256
REPORT_INTERVAL_US: Final = 400_000  # between two reports
REPORTER_TIMEOUT_US: Final = 3 * REPORT_INTERVAL_US  # since its last report a gateway counts as there
MAX_UNANSWERED_REPORTS: Final = 3  # without an answer: the holder is not there any more
STALLS_BEFORE_HANDOVER: Final = 2  # stalls within GAPS_US after which a holder hands on
STALL_WINDOW_US: Final = 10_000_000


class LeasedTask(Protocol):
    """What one kind of duty is about."""

    def report(self, now_us: int, duty: int, to: int) -> bytes | None:
        """What to tell the holder, at the moment of telling; None: nothing, and no answer is wanted.

        `to`: names the holder's process, a stamp of which the report gives back; -1: it gives back none.
        """

    def on_report(self, now_us: int, duty: int, number: int, echo_us: int, payload: bytes) -> bytes:
        """The holder's part: what to answer. `echo_us`: when its own stamp was made that came back; 0: none did."""

    def on_act(self, now_us: int, duty: int, asked_us: int, payload: bytes) -> None:
        """What the holder answered to the report of that moment."""

    def began(self, duty: int, state: bytes) -> None: ...

    def ended(self, duty: int) -> None: ...

    def state(self, duty: int) -> bytes:
        """For a successor."""


def lease_id_of(name: str) -> int:
    """60 bits of a duty's name, the same everywhere."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest()) >> (64 - LEASE_ID_BITS)


TIMESTAMP_BITS: Final = 48  # of a stamp: microseconds since 2026; the bits above are drawn at each start
MAX_TIMESTAMP: Final = (1 << TIMESTAMP_BITS) - 1


def rendezvous_score(duty: int, number: int) -> int:
    """Rendezvous: who has the lowest should hold it. Little moves when a gateway comes or goes."""
    return int.from_bytes(hashlib.blake2b(b"%d/%d" % (duty, number), digest_size=7).digest())


@dataclass(slots=True)
class LeaseRequest:
    """One duty that this gateway has a need of."""

    name: str
    work: LeasedTask
    lease: QuorumLease | ZookeeperLease
    ranks: list[int]  # gateways, the one that should hold it first
    holder: int = -1  # whom it reports to; -1: not known
    stamp: int = 0  # of its last report
    unanswered: int = 0
    heard: int = 0  # the holder's last stamp
    report_us: int = 0
    since_us: int = 0  # when it was taken up by this gateway
    heard_from: dict[int, int] = field(default_factory=dict)  # gateways with the same need, and when they reported


@dataclass(slots=True)
class LeaseCounters:
    unreadable: int = 0
    unlisted: int = 0  # from an address that is not that of the gateway that it names
    strangers: int = 0  # naming another number of voters
    old_acts: int = 0
    sent: int = 0
    sent_bytes: int = 0
    came: int = 0
    began: int = 0  # duties taken up
    lost: int = 0  # that could not be renewed in time
    full: int = 0  # needs beyond NEEDS_MOST


Say = Callable[[str], None]


@dataclass(slots=True)
class LeaseManager:
    number: int
    gateways: int
    terms: LeaseConfig
    say: Say
    draw: Callable[[], float]
    counter: BallotClock
    acceptor: Acceptor | None  # of a voter
    nonce: int
    fence: FencingTokenCheck = field(default_factory=FencingTokenCheck)
    needs: dict[int, LeaseRequest] = field(default_factory=dict)
    counts: LeaseCounters = field(default_factory=LeaseCounters)
    out: list[tuple[int, Message]] = field(default_factory=list)  # to be sent, in order
    kept_off: bool = False  # staff want it to hold nothing
    gaps: list[int] = field(default_factory=list)
    by_service: bool = False  # the coordination service decides who holds, not a majority of peers
    asks: list[NodeRequest] = field(default_factory=list)  # of the service, in order

    # Stamps

    def mark(self, now_us: int) -> int:
        """This moment, for others to give back."""
        drawn = self.nonce & ((1 << RANDOM_BITS) - 1)
        return (drawn << TIMESTAMP_BITS) | min(MAX_TIMESTAMP, max(1, now_us - REFERENCE_TIME_US))

    def read_mark(self, mark: int) -> int:
        """The moment of a stamp of this process; 0 for one of another.

        Guards against a process that began anew with another wall clock: old stamps would seem to be of now.
        """
        if mark >> TIMESTAMP_BITS != self.nonce & ((1 << RANDOM_BITS) - 1):
            return 0
        return (mark & MAX_TIMESTAMP) + REFERENCE_TIME_US

    # What is sent

    @staticmethod
    def process_of(number: int, nonce: int) -> int:
        return (number << 32) | nonce

    def head(self) -> Header:
        return Header(self.terms.voters, self.number, self.nonce, self.counter.highest)

    def take_out(self) -> list[tuple[int, Message]]:
        said, self.out = self.out, []
        return said

    def carry_out(self, now_us: int, need: LeaseRequest, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendMessage):
                self.out.append((action.to, action.message))
            elif isinstance(action, NodeRequest):
                self.asks.append(action)
            elif isinstance(action, LeaseAcquired):
                self.counts.began += 1
                need.holder, need.since_us = self.number, now_us
                self.fence.admit(action.duty, action.epoch, self.process_of(self.number, self.nonce))
                need.work.began(action.duty, action.state)
                self.say(f"duty {need.name}: held here, epoch {action.epoch}")
            elif isinstance(action, LeaseEnded):
                self.counts.lost += need.lease.phase is LeasePhase.LOST
                need.holder = -1
                need.work.ended(action.duty)
                self.say(f"duty {need.name}: held no more, epoch {action.epoch}: {action.why}")

    # Needs

    def need(self, now_us: int, name: str, work: LeasedTask) -> int:
        """A duty that somebody should hold; returns its number."""
        duty = lease_id_of(name)
        if duty in self.needs:
            return duty
        if len(self.needs) >= MAX_REQUESTS:
            self.counts.full += 1
            return duty
        ranks = sorted(range(self.gateways), key=lambda number: rendezvous_score(duty, number))
        rank = ranks.index(self.number) / max(1, self.gateways)
        lease: QuorumLease | ZookeeperLease
        if self.by_service:
            lease = ZookeeperLease(duty, self.terms.length_us, rank, self.draw)
        else:
            lease = QuorumLease(duty, self.terms, self.counter, rank, self.draw)
        made = self.needs[duty] = LeaseRequest(name, work, lease, ranks)
        if not self.kept_off:
            self.carry_out(now_us, made, lease.want(now_us, True))
        return duty

    def drop(self, now_us: int, duty: int) -> None:
        need = self.needs.pop(duty, None)
        if need is not None:
            self.carry_out(now_us, need, need.lease.want(now_us, False))

    def may_act(self, now_us: int, duty: int) -> bool:
        need = self.needs.get(duty)
        return need is not None and need.lease.may_act(now_us)

    # Staff, stalls, load

    def keep_off(self, now_us: int, off: bool) -> None:
        """Hold nothing, and ask for nothing; what is held is handed on."""
        self.kept_off = off
        for need in self.needs.values():
            if off:
                # One that is being asked for is given up too: it would be held a moment later.
                if not self.hand_on(now_us, need) and need.lease.phase is LeasePhase.ACQUIRING:
                    need.lease.wanted = True
                    self.carry_out(now_us, need, need.lease.want(now_us, False))
                need.lease.wanted = False
            else:
                self.carry_out(now_us, need, need.lease.want(now_us, True))

    def end(self, now_us: int) -> None:
        """The process ends now: what is still held is free."""
        for need in self.needs.values():
            need.lease.wanted = False
            self.carry_out(now_us, need, need.lease.give_up(now_us, "the gateway ends"))

    def hand_on(self, now_us: int, need: LeaseRequest) -> bool:
        """To the gateway that should have it of those with the same need; False where it is not held."""
        if not need.lease.may_act(now_us):
            return False
        alive = [number for number in need.ranks if now_us - need.heard_from.get(number, 0) < REPORTER_TIMEOUT_US]
        if not alive:  # nobody is known that could take it: free for all
            self.carry_out(now_us, need, need.lease.give_up(now_us, "nobody is there to hand it on to"))
            return True
        state = need.work.state(need.lease.duty)
        self.carry_out(now_us, need, need.lease.hand_on(now_us, alive[0], state))
        return True

    def stood_still(self, now_us: int) -> None:
        """After a stall: leases first, by the time it is now. Who stalls again and again hands on."""
        self.tick(now_us)
        self.gaps = [at_us for at_us in self.gaps if now_us - at_us < STALL_WINDOW_US] + [now_us]
        if len(self.gaps) >= STALLS_BEFORE_HANDOVER:
            self.gaps = []
            for need in self.needs.values():
                self.hand_on(now_us, need)

    # Time

    def next_due(self) -> int:
        due_us = NEVER_US
        for need in self.needs.values():
            due_us = min(due_us, need.lease.next_due())
            if need.holder >= 0 and need.holder != self.number:
                due_us = min(due_us, need.report_us)
        return due_us

    def tick(self, now_us: int) -> None:
        for need in list(self.needs.values()):
            lease = need.lease
            if now_us >= lease.next_due() or (lease.phase is LeasePhase.HELD and now_us >= lease.until_us):
                self.carry_out(now_us, need, lease.tick(now_us))
            if need.holder >= 0 and now_us >= need.report_us:
                self.report(now_us, need)

    def report(self, now_us: int, need: LeaseRequest) -> None:
        need.report_us = now_us + REPORT_INTERVAL_US
        duty = need.lease.duty
        if need.holder == self.number:
            self.report_here(now_us, need)
            return
        if need.unanswered >= MAX_UNANSWERED_REPORTS:
            self.lose_holder(now_us, need)
            return
        process = (need.holder << RANDOM_BITS) | (need.heard >> TIMESTAMP_BITS)
        payload = need.work.report(now_us, duty, process if need.heard else -1)
        if payload is None:
            return
        need.stamp = self.mark(now_us)
        need.unanswered += 1
        self.out.append((need.holder, Report(duty, need.stamp, need.heard, payload)))

    def lose_holder(self, now_us: int, need: LeaseRequest) -> None:
        """Who held it does not, or is not there."""
        need.holder, need.unanswered, need.heard = -1, 0, 0
        need.lease.found_free(now_us)

    def report_here(self, now_us: int, need: LeaseRequest) -> None:
        """The holder has needs of its own, and lends like all others."""
        duty = need.lease.duty
        process = (self.number << RANDOM_BITS) | (self.mark(now_us) >> TIMESTAMP_BITS)
        payload = need.work.report(now_us, duty, process)
        if payload is not None and need.lease.may_act(now_us):
            need.work.on_act(now_us, duty, now_us, need.work.on_report(now_us, duty, self.number, now_us, payload))

    # What comes

    def receive(self, now_us: int, head: Header, message: Message) -> None:
        self.counts.came += 1
        if head.voters != self.terms.voters or head.number >= MAX_GATEWAYS:
            self.counts.strangers += 1
            return
        if not self.counter.hear(now_us, head.counter):
            return
        number, nonce = head.number, head.nonce
        if isinstance(message, Prepare | Propose | Release):
            self.vote(now_us, message, number, nonce)
        elif isinstance(message, Promised | Accepted | Refused | HandoverAck):
            self.on_answer(now_us, message, number)
        elif isinstance(message, Handover):
            self.on_hand(now_us, message, number)
        elif isinstance(message, Report):
            self.on_report(now_us, message, number)
        elif isinstance(message, LeaderReply):
            self.on_act(now_us, message, number, nonce)
        elif isinstance(message, NotLeaseHolder):
            need = self.needs.get(message.duty)
            if need is not None and need.holder == number:
                self.lose_holder(now_us, need)
        elif isinstance(message, StaleTokenNotice):
            need = self.needs.get(message.duty)
            if need is not None:
                self.carry_out(now_us, need, need.lease.is_older(now_us, message.epoch))
        elif isinstance(message, Hello) and message.wants_answer:
            self.out.append((number, Hello(0)))

    def vote(self, now_us: int, message: Prepare | Propose | Release, number: int, nonce: int) -> None:
        if self.acceptor is None:
            return
        said: Message | None = None
        if isinstance(message, Prepare):
            said = self.acceptor.prepare(now_us, message, number, nonce)
        elif isinstance(message, Propose):
            said = self.acceptor.propose(now_us, message, number, nonce)
        else:
            self.acceptor.release(now_us, message.duty, message.ballot)
        if said is not None:
            self.out.append((number, said))

    def on_answer(self, now_us: int, message: Promised | Accepted | Refused | HandoverAck, number: int) -> None:
        need = self.needs.get(message.duty)
        if need is None:
            return
        elsewhere = isinstance(message, Refused) and message.left_us > 0 and message.number != self.number
        if elsewhere and need.holder < 0:
            assert isinstance(message, Refused)
            need.holder, need.unanswered, need.heard, need.report_us = message.number, 0, 0, now_us
        self.carry_out(now_us, need, need.lease.receive(now_us, message, number))

    def on_hand(self, now_us: int, message: Handover, number: int) -> None:
        need = self.needs.get(message.duty)
        if need is None or self.kept_off:
            return  # not needed here: the holder's tries run out, and the duty is free
        lease = need.lease
        if isinstance(lease, ZookeeperLease):
            self.carry_out(now_us, need, lease.take_over(now_us, message, number))
        else:
            self.carry_out(now_us, need, lease.take_over(now_us, message))

    def on_service(self, now_us: int, duty: int, answer: NodeResponse) -> None:
        """What came of a question to the coordination service."""
        need = self.needs.get(duty)
        if need is None:
            if answer.node is NodeOutcome.MINE:  # too late: nobody needs it here
                self.asks.append(NodeRequest(duty, DELETE, 0))
            return
        if answer.node is NodeOutcome.OTHERS and need.holder < 0 and answer.number != self.number:
            need.holder, need.unanswered, need.heard, need.report_us = answer.number, 0, 0, now_us
        if isinstance(need.lease, ZookeeperLease):
            self.carry_out(now_us, need, need.lease.on_answer(now_us, answer))

    def on_session_lost(self, now_us: int) -> None:
        for need in self.needs.values():
            if isinstance(need.lease, ZookeeperLease):
                self.carry_out(now_us, need, need.lease.session_lost(now_us))

    def on_report(self, now_us: int, message: Report, number: int) -> None:
        need = self.needs.get(message.duty)
        if need is None or not need.lease.may_act(now_us):
            self.out.append((number, NotLeaseHolder(message.duty)))
            return
        if message.payload and 0 <= number < self.gateways:  # without, it only asks who holds
            need.heard_from[number] = now_us
        echo_us = self.read_mark(message.echo)
        payload = need.work.on_report(now_us, message.duty, number, echo_us, message.payload)
        self.out.append(
            (number, LeaderReply(message.duty, need.lease.epoch, self.mark(now_us), message.stamp, payload))
        )

    def on_act(self, now_us: int, message: LeaderReply, number: int, nonce: int) -> None:
        need = self.needs.get(message.duty)
        if need is None:
            return
        if not self.fence.admit(message.duty, message.epoch, self.process_of(number, nonce)):
            self.counts.old_acts += 1
            self.out.append((number, StaleTokenNotice(message.duty, self.fence.epoch(message.duty))))
            return
        if message.echo != need.stamp or need.holder != number:
            return  # of an older question
        need.heard, need.unanswered = message.stamp, 0
        need.lease.found_held(now_us, self.terms.length_us)
        need.work.on_act(now_us, message.duty, self.read_mark(message.echo), message.payload)

    def shown(self, now_us: int) -> list[dict[str, object]]:
        """For staff: what is known of each duty."""
        return [
            {
                "duty": need.name, "phase": need.lease.phase.value, "holder": need.holder,
                "epoch": need.lease.epoch if need.holder == self.number else self.fence.epoch(duty),
                "left_ms": max(0, need.lease.until_us - now_us) // 1000 if need.holder == self.number else 0,
                "held_s": round((now_us - need.since_us) / 1e6, 1) if need.holder == self.number else 0,
            }
            for duty, need in self.needs.items()
        ]  # fmt: skip
