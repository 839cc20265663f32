"""A lease of one duty by the coordination service: an ephemeral node. Pure: time and answers come in.

Invariants (docs/duties-design.md):
- it believes until the moment before its last write that the service has done was sent, and the session's time-out
  less what follows, at the most: a follower tells the leader of the sessions that it heard from every half tick, and
  no session is shorter than two ticks, so a quarter of the time-out; and one part in 200 for clocks;
- a node counts as its own only if its owner is the session that answers and its text was drawn by this process;
- an answer that comes too late to count leaves no node behind;
- SUSPENDED takes nothing away but renewals; LOST ends it at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from cloverkeel.leases.lease import (
    CLOCK_DRIFT_DIVISOR,
    NEVER_US,
    RENEWALS_PER_LEASE,
    RESENDS_PER_LEASE,
    Action,
    Lease,
    LeaseAcquired,
    LeaseEnded,
    LeasePhase,
    NodeRequest,
    SendMessage,
)
from cloverkeel.leases.messages import Handover, HandoverAck, Message

CREATE: Final = "create"
RENEW_IT: Final = "renew"  # write the node anew: only a majority of the service can
DELETE: Final = "delete"


class NodeOutcome(Enum):
    """What came of a question."""

    MINE = "mine"  # made, or written: it is there, and this session's and process's
    OTHERS = "others"
    NONE = "none"
    FAILED = "failed"  # not known: the connection was lost, or there is none


@dataclass(slots=True, frozen=True)
class NodeResponse:
    round: int
    node: NodeOutcome
    epoch: int = 0  # czxid
    number: int = -1  # the gateway that the node names


class ZookeeperLease(Lease):
    """By an ephemeral node."""

    round = 0
    sent_us = 0
    out = False
    floor = 0  # an epoch that others have seen: a service that came back from an older state gives lower ones

    @property
    def held_us(self) -> int:
        """How long a holder believes, from before its write was sent."""
        return self.length_us - self.length_us // 4 - self.length_us // CLOCK_DRIFT_DIVISOR

    def ask(self, now_us: int, what: str) -> list[Action]:
        self.round += 1
        self.sent_us, self.out = now_us, what != DELETE
        self.due_us = now_us + self.length_us // RESENDS_PER_LEASE
        if self.phase is LeasePhase.HELD:
            self.due_us = min(self.due_us, self.until_us)
        return [NodeRequest(self.duty, what, self.round)]

    def give_up(self, now_us: int, why: str) -> list[Action]:
        actions: list[Action] = []
        if self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER):
            actions.append(LeaseEnded(self.duty, self.epoch, why))
        if self.phase in (LeasePhase.HELD, LeasePhase.ACQUIRING):
            actions += self.ask(now_us, DELETE)
        self.rest(now_us + 2 * self.length_us)
        return actions

    def lose(self, now_us: int, why: str) -> list[Action]:
        """It does not hold it any more, or can't know."""
        if self.phase is not LeasePhase.HELD:
            return []
        ended = LeaseEnded(self.duty, self.epoch, why)
        self.rest(NEVER_US)
        self.phase, self.out, self.due_us = LeasePhase.LOST, False, now_us
        return [ended]

    def session_lost(self, now_us: int) -> list[Action]:
        """LOST: the service has ended the session, and its nodes with it."""
        actions = self.lose(now_us, "the session is lost")
        if self.phase is LeasePhase.ACQUIRING:
            self.rest(now_us + self.wait_us())
        return actions

    def on_answer(self, now_us: int, answer: NodeResponse) -> list[Action]:
        if answer.round != self.round or not self.out:
            late = answer.node is NodeOutcome.MINE and self.phase in (LeasePhase.FREE, LeasePhase.LOST)
            return [NodeRequest(self.duty, DELETE, 0)] if late else []
        if answer.node is NodeOutcome.FAILED:
            return []  # its time tells
        self.out = False
        if answer.node is NodeOutcome.MINE:
            return self.on_mine(answer.epoch)
        if self.phase is LeasePhase.HELD:
            return self.lose(
                now_us, "its node is gone" if answer.node is NodeOutcome.NONE else "the node is another's"
            )
        self.tries += 1
        self.rest(now_us + self.wait_us())
        if answer.node is NodeOutcome.OTHERS:
            self.found_held(now_us, self.length_us // 2)
        return []

    def is_older(self, now_us: int, seen: int) -> list[Action]:
        """Act no more; the node is asked for like any other, and if it is still this session's, above what was seen.

        Guards against two that outbid each other: the newer epoch may be another holder's, made after this session
        was ended before its time. Where the service came back from an older state, the node is found again.
        """
        if self.phase is not LeasePhase.HELD or seen < self.epoch:
            return []
        self.floor = max(self.floor, seen)
        return self.lose(now_us, "a newer epoch was seen")

    def on_mine(self, czxid: int) -> list[Action]:
        epoch = czxid if czxid > self.floor else max(self.epoch if self.epoch > self.floor else 0, self.floor + 1)
        changed = self.phase is not LeasePhase.HELD or epoch != self.epoch
        self.phase, self.epoch, self.tries = LeasePhase.HELD, epoch, 0
        self.until_us = self.sent_us + self.held_us
        self.due_us = self.sent_us + self.length_us // (2 * RENEWALS_PER_LEASE)
        consent, self.consent = self.consent, 0
        state, self.state = self.state, b""
        actions: list[Action] = [LeaseAcquired(self.duty, epoch, state)] if changed else []
        if consent:
            actions.append(SendMessage(self.successor, HandoverAck(self.duty, epoch)))
        return actions

    def tick(self, now_us: int) -> list[Action]:
        """Call when `next_due` has come; also at once after a stall, before anything else."""
        if self.phase is LeasePhase.LOST:
            # What may be left of it is not found by accident: its node is asked for like any other.
            self.rest(now_us + self.wait_us())
            return []
        if self.phase is LeasePhase.HELD and now_us >= self.until_us:
            return self.lose(now_us, "it could not be renewed in time")
        if now_us < self.due_us:
            return []
        if self.phase is LeasePhase.HELD:
            return self.ask(now_us, RENEW_IT)
        if self.phase is LeasePhase.HANDING_OVER:
            ended = LeaseEnded(self.duty, self.epoch, f"handed on to gateway {self.successor}, which has not said so")
            self.rest(now_us + self.length_us)
            return [ended]
        if self.phase is LeasePhase.ACQUIRING or self.wanted or self.consent:
            # Asked again after an answer that was lost: the node that it may have made is found to be its own.
            self.tries += self.phase is LeasePhase.ACQUIRING
            self.phase = LeasePhase.ACQUIRING
            actions = self.ask(now_us, CREATE)
            self.due_us = now_us + self.length_us // 4 + self.wait_us()
            return actions
        self.due_us = NEVER_US
        return []

    def hand_on(self, now_us: int, successor: int, state: bytes) -> list[Action]:
        """Stop acting, take the node away, and tell the successor; whoever asks first has it."""
        if not self.may_act(now_us):
            return []
        actions = self.ask(now_us, DELETE)
        self.phase, self.until_us, self.successor = LeasePhase.HANDING_OVER, 0, successor
        self.due_us = now_us + self.length_us // 2
        return [*actions, SendMessage(successor, Handover(self.duty, self.epoch, state))]

    def take_over(self, now_us: int, hand: Handover, by: int) -> list[Action]:
        if self.phase in (LeasePhase.HELD, LeasePhase.HANDING_OVER):
            return []
        self.consent, self.state, self.successor, self.wanted = hand.ballot, hand.state, by, True
        self.phase = LeasePhase.ACQUIRING
        actions = self.ask(now_us, CREATE)
        self.due_us = now_us + self.length_us // RESENDS_PER_LEASE
        return actions

    def receive(self, now_us: int, message: Message, number: int) -> list[Action]:
        if isinstance(message, HandoverAck) and self.phase is LeasePhase.HANDING_OVER:
            ended = LeaseEnded(self.duty, self.epoch, f"handed on to gateway {self.successor}")
            self.rest(now_us + self.length_us)
            return [ended]
        return []
