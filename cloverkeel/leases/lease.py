"""One duty as a gateway that wants it sees it: asking, holding, renewing, handing on. Pure: time comes in.

Invariants (docs/duties-design.md):
- it believes that it holds the duty until `until_us` at the most: the moment at which the round that won was begun,
  before its first datagram left, and the length less the allowance;
- answers count for the round that they name and for no other;
- once it has begun to hand on it acts no more under that ballot, whatever comes;
- `may_act` reads the time that it is given: ask at the moment of sending, with a clock that was read then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from cloverkeel.leases.ballots import BallotClock, counter_of, gateway_of
from cloverkeel.leases.messages import (
    Accepted,
    Handover,
    HandoverAck,
    Message,
    Prepare,
    Promised,
    Propose,
    RefusalReason,
    Refused,
    Release,
)

CLOCK_DRIFT_DIVISOR: Final = 200  # one part in so many: two clocks that are each wrong by 1e-3 in rate, and more
RENEWALS_PER_LEASE: Final = 3  # a lease is renewed when a third of it is over
RESENDS_PER_LEASE: Final = 12  # an unanswered round is begun anew after this part of the length
BACKOFF_DIVISOR: Final = 4  # who was refused by a higher ballot waits up to this part of the length, drawn
MAX_HANDOVER_ATTEMPTS: Final = 4  # hand-overs that are sent, a RESEND apart
NEVER_US: Final = 1 << 60


class LeasePhase(Enum):
    """As the field names them."""

    FREE = "free"  # it does not hold the duty; others may
    ACQUIRING = "asking"
    HELD = "held"
    HANDING_OVER = "handing on"
    LOST = "lost"  # it held the duty, and could not renew in time


@dataclass(slots=True, frozen=True)
class LeaseConfig:
    """What all gateways agree on."""

    voters: int  # gateways 0 to voters - 1
    length_us: int  # of a lease

    @property
    def majority(self) -> int:
        return self.voters // 2 + 1

    @property
    def held_us(self) -> int:
        """How long a holder believes, from before its round was begun."""
        return self.length_us - self.length_us // CLOCK_DRIFT_DIVISOR

    @property
    def silent_us(self) -> int:
        """How long a voter that began anew says nothing: the longest lease, and the allowance."""
        return self.length_us + self.length_us // CLOCK_DRIFT_DIVISOR


# What is to be done


@dataclass(slots=True, frozen=True)
class SendMessage:
    to: int  # a gateway's number
    message: Message


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """It holds the duty, with this epoch; `state` is what the holder before handed on."""

    duty: int
    epoch: int
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class LeaseEnded:
    """It does not hold the duty any more."""

    duty: int
    epoch: int
    why: str


@dataclass(slots=True, frozen=True)
class NodeRequest:
    """To the coordination service (service.py)."""

    duty: int
    what: str
    round: int


Action = SendMessage | LeaseAcquired | LeaseEnded | NodeRequest


class Lease:
    """What every kind of lease has, whoever decides who holds it."""

    def __init__(self, duty: int, length_us: int, rank: float, draw: Callable[[], float]) -> None:
        """`rank`: 0 for who should hold it, up to 1 for who should last: how long it lets others ask first.

        `draw` gives a number from 0 to 1.
        """
        self.duty, self.length_us = duty, length_us
        self.rank = rank
        self.draw = draw
        self.phase = LeasePhase.FREE
        self.wanted = False
        self.epoch = 0  # of what it holds
        self.until_us = 0  # it believes until then
        self.due_us = NEVER_US
        self.tries = 0  # rounds in a row that came to nothing
        self.consent = 0  # the ballot of a holder that hands on
        self.state = b""  # handed on to it, or by it
        self.successor = -1

    def may_act(self, now_us: int) -> bool:
        """Whether an act may be sent at this very moment."""
        return self.phase is LeasePhase.HELD and now_us < self.until_us

    def next_due(self) -> int:
        return self.due_us

    def is_older(self, now_us: int, seen: int) -> list[Action]:
        """Somebody refused an act: it has seen this epoch. Take it over, and act by a higher one."""
        raise NotImplementedError

    def want(self, now_us: int, wanted: bool) -> list[Action]:
        """Whether to hold it, if nobody does."""
        if wanted == self.wanted:
            return []
        self.wanted = wanted
        if wanted:
            if self.phase is LeasePhase.FREE:
                self.due_us = now_us + int(self.rank * self.length_us / 2)
            return []
        return self.give_up(now_us, "not needed any more")

    def give_up(self, now_us: int, why: str) -> list[Action]:
        """Hold it no more, at once; whoever wants it need not wait. If it is wanted here, others come first."""
        raise NotImplementedError

    def found_held(self, now_us: int, left_us: int) -> None:
        """Somebody else's lease lives: ask when it has ended, and later than who should have it."""
        if self.phase is LeasePhase.FREE and self.wanted:
            later_us = now_us + left_us + int(self.rank * self.length_us / 2)
            self.due_us = max(self.due_us, later_us) if self.due_us < NEVER_US else later_us

    def found_free(self, now_us: int) -> None:
        """Who held it holds it no more, or says nothing: ask sooner than its lease would end."""
        if self.phase is LeasePhase.FREE and self.wanted:
            wait_us = int(self.length_us / RESENDS_PER_LEASE * (self.rank + self.draw()))
            self.due_us = min(self.due_us, now_us + wait_us)

    def wait_us(self) -> int:
        """Before it asks anew: drawn, longer after each try, so that who comes together does not stay together."""
        part = self.length_us / BACKOFF_DIVISOR * min(4, 1 + self.tries)
        return int(part * (0.2 + self.rank + self.draw()) / 2)

    def rest(self, due_us: int) -> None:
        """Free, and asking again at that time if it is wanted then."""
        self.phase = LeasePhase.FREE
        self.until_us = 0
        self.consent, self.state, self.successor = 0, b"", -1
        self.due_us = due_us if self.wanted else NEVER_US


class QuorumLease(Lease):
    """By a majority of voters."""

    def __init__(
        self, duty: int, terms: LeaseConfig, counter: BallotClock, rank: float, draw: Callable[[], float]
    ) -> None:
        super().__init__(duty, terms.length_us, rank, draw)
        self.terms, self.counter = terms, counter
        self.ballot = 0  # of the round that is out, or of what it holds
        self.round = 0  # counts what was sent to the voters; answers name it
        self.sent_us = 0  # when the round that is out was begun
        self.out = False  # a round is out
        self.proposing = False  # it asks to be accepted, not for promises
        self.promised: set[int] = set()
        self.accepted: set[int] = set()
        self.refused: dict[int, Refused] = {}
        self.hands = 0

    def give_up(self, now_us: int, why: str) -> list[Action]:
        actions: list[Action] = []
        if self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER):
            actions.append(LeaseEnded(self.duty, self.epoch, why))
            actions += self.to_voters(Release(self.duty, self.epoch))
        if self.phase in (LeasePhase.HELD, LeasePhase.ACQUIRING) and self.ballot != self.epoch:
            actions += self.to_voters(Release(self.duty, self.ballot))
        self.rest(now_us + 2 * self.terms.length_us)
        return actions

    # What comes in

    def receive(self, now_us: int, message: Message, number: int) -> list[Action]:
        """An answer of the voter with this number, or word of a hand-over."""
        if isinstance(message, HandoverAck):
            return self.on_taken(message)
        if not isinstance(message, Promised | Accepted | Refused):
            return []
        if not self.out or message.round != self.round or message.ballot != self.ballot:
            return []  # of an older round: it proves nothing of this one
        if isinstance(message, Refused):
            return self.on_refused(now_us, message, number)
        if isinstance(message, Promised) and not self.proposing:
            self.promised.add(number)
            if len(self.promised) >= self.terms.majority:
                return self.propose(now_us)
        elif isinstance(message, Accepted) and self.proposing:
            self.accepted.add(number)
            if len(self.accepted) >= self.terms.majority:
                return self.on_won()
        return []

    def is_older(self, now_us: int, seen: int) -> list[Action]:
        if self.phase is not LeasePhase.HELD or seen <= self.epoch or not self.counter.hear(now_us, counter_of(seen)):
            return []
        self.ask(now_us)
        return self.prepare(now_us)

    def on_won(self) -> list[Action]:
        first = self.phase is not LeasePhase.HELD
        changed = first or self.epoch != self.ballot
        self.phase = LeasePhase.HELD
        self.epoch = self.ballot
        self.until_us = self.sent_us + self.terms.held_us
        self.due_us = self.sent_us + self.terms.length_us // RENEWALS_PER_LEASE
        self.out, self.tries = False, 0
        consent, self.consent = self.consent, 0
        state, self.state = self.state, b""
        actions: list[Action] = [LeaseAcquired(self.duty, self.epoch, state)] if changed else []
        if consent:
            actions.append(SendMessage(gateway_of(consent), HandoverAck(self.duty, self.epoch)))
        return actions

    def on_refused(self, now_us: int, refused: Refused, number: int) -> list[Action]:
        self.refused[number] = refused
        if refused.promised:
            self.counter.hear(now_us, counter_of(refused.promised))
        if len(self.refused) <= self.terms.voters - self.terms.majority:
            return []
        return self.on_beaten(now_us)

    def on_beaten(self, now_us: int) -> list[Action]:
        """So many refused that no majority can come of this round."""
        if self.phase is LeasePhase.HELD:
            # Voters that began anew may have promised more than its ballot to nobody in particular.
            self.ask(now_us)
            return self.prepare(now_us)
        left_us = max((r.left_us for r in self.refused.values() if r.why == RefusalReason.HELD), default=0)
        return self.on_failed(now_us, left_us)

    def on_failed(self, now_us: int, left_us: int) -> list[Action]:
        """A round for a duty that it does not hold came to nothing; somebody else has it for so long, or nobody."""
        self.tries += 1
        # Answers may be lost: what voters may have accepted is given back, whether or not they said so.
        actions: list[Action] = self.to_voters(Release(self.duty, self.ballot)) if self.proposing else []
        if self.consent and self.tries < MAX_HANDOVER_ATTEMPTS:
            self.ask(now_us)
            return actions + self.prepare(now_us)
        self.rest(now_us + left_us + self.wait_us())
        return actions

    def on_taken(self, taken: HandoverAck) -> list[Action]:
        if self.phase is not LeasePhase.HANDING_OVER or taken.epoch <= self.epoch:
            return []
        ended = LeaseEnded(self.duty, self.epoch, f"handed on to gateway {self.successor}")
        self.rest(NEVER_US)
        return [ended]

    # Time

    def tick(self, now_us: int) -> list[Action]:
        """Call when `next_due` has come; also at once after a stall, before anything else."""
        if self.phase is LeasePhase.LOST:
            self.rest(now_us + self.wait_us())
            return []
        if self.phase is LeasePhase.HELD and now_us >= self.until_us:
            ended = LeaseEnded(self.duty, self.epoch, "it could not be renewed in time")
            actions: list[Action] = [ended, *self.to_voters(Release(self.duty, self.ballot))]
            self.phase, self.out, self.due_us = LeasePhase.LOST, False, now_us
            return actions
        if now_us < self.due_us:
            return []
        if self.phase is LeasePhase.HANDING_OVER:
            return self.hand(now_us)
        if self.phase is LeasePhase.HELD:
            # Renewed by the ballot that it has; or that round was not answered in time, or was one for promises.
            if self.out and not self.proposing:
                return self.prepare(now_us)
            self.proposing = True
            return self.propose(now_us)
        if self.phase is LeasePhase.ACQUIRING:
            return self.on_failed(now_us, 0)
        if self.wanted:
            self.phase = LeasePhase.ACQUIRING
            self.ask(now_us)
            return self.prepare(now_us)
        self.due_us = NEVER_US
        return []

    # Rounds

    def ask(self, now_us: int) -> None:
        """A new ballot."""
        self.ballot = self.counter.next(now_us)
        self.proposing = False

    def begin_round(self, now_us: int) -> None:
        self.round = (self.round + 1) & 0xFFFFFFFF
        self.sent_us = now_us
        self.out = True
        self.promised, self.accepted, self.refused = set(), set(), {}
        self.due_us = now_us + self.terms.length_us // RESENDS_PER_LEASE
        if self.phase is LeasePhase.HELD:
            self.due_us = min(self.due_us, self.until_us)

    def prepare(self, now_us: int) -> list[Action]:
        self.begin_round(now_us)
        return self.to_voters(Prepare(self.duty, self.ballot, self.round, self.consent))

    def propose(self, now_us: int) -> list[Action]:
        self.begin_round(now_us)
        self.proposing = True
        length_us = self.terms.length_us
        return self.to_voters(Propose(self.duty, self.ballot, self.round, length_us, self.consent))

    def to_voters(self, message: Message) -> list[Action]:
        return [SendMessage(number, message) for number in range(self.terms.voters)]

    def rest(self, due_us: int) -> None:
        """Free, and asking again at that time if it is wanted then."""
        super().rest(due_us)
        self.out = False

    # Handing on

    def hand_on(self, now_us: int, successor: int, state: bytes) -> list[Action]:
        """Stop acting, and let this gateway have it with this state; nothing where it is not held."""
        if not self.may_act(now_us):
            return []
        self.phase, self.out = LeasePhase.HANDING_OVER, False
        self.until_us = 0
        self.successor, self.state, self.hands = successor, state, 0
        self.due_us = now_us
        return self.hand(now_us)

    def hand(self, now_us: int) -> list[Action]:
        self.hands += 1
        if self.hands > MAX_HANDOVER_ATTEMPTS:
            # Nobody has said that it took it. Free for all: a late hand-over finds another's lease, or none.
            ended = LeaseEnded(self.duty, self.epoch, f"handing on to gateway {self.successor} broke off")
            actions: list[Action] = [ended, *self.to_voters(Release(self.duty, self.epoch))]
            self.tries += 1
            self.rest(now_us + self.terms.length_us // BACKOFF_DIVISOR + self.wait_us())
            return actions
        self.due_us = now_us + self.terms.length_us // RESENDS_PER_LEASE
        return [SendMessage(self.successor, Handover(self.duty, self.epoch, self.state))]

    def take_over(self, now_us: int, hand: Handover) -> list[Action]:
        """The holder hands on to this gateway: ask with its consent, at once."""
        if self.phase is LeasePhase.HELD and hand.ballot < self.epoch:
            return [
                SendMessage(gateway_of(hand.ballot), HandoverAck(self.duty, self.epoch))
            ]  # the same word once more
        if self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER) or self.consent == hand.ballot:
            return []
        self.counter.hear(now_us, counter_of(hand.ballot))
        self.phase, self.wanted = LeasePhase.ACQUIRING, True
        self.tries = 0
        self.consent, self.state = hand.ballot, hand.state
        self.ask(now_us)
        return self.prepare(now_us)
