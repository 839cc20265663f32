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
    ALLOWANCE,
    NEVER_US,
    RENEW,
    RESEND,
    Action,
    Ask,
    Began,
    Ended,
    Phase,
    Tell,
    Tenure,
)
from cloverkeel.leases.messages import Hand, Message, Taken

CREATE: Final = "create"
RENEW_IT: Final = "renew"  # write the node anew: only a majority of the service can
DELETE: Final = "delete"


class Node(Enum):
    """What came of a question."""

    MINE = "mine"  # made, or written: it is there, and this session's and process's
    OTHERS = "others"
    NONE = "none"
    FAILED = "failed"  # not known: the connection was lost, or there is none


@dataclass(slots=True, frozen=True)
class Answer:
    round: int
    node: Node
    epoch: int = 0  # czxid
    number: int = -1  # the gateway that the node names


class ServiceLease(Tenure):
    """By an ephemeral node."""

    round = 0
    sent_us = 0
    out = False
    floor = 0  # an epoch that others have seen: a service that came back from an older state gives lower ones

    @property
    def held_us(self) -> int:
        """How long a holder believes, from before its write was sent."""
        return self.length_us - self.length_us // 4 - self.length_us // ALLOWANCE

    def ask(self, now_us: int, what: str) -> list[Action]:
        self.round += 1
        self.sent_us, self.out = now_us, what != DELETE
        self.due_us = now_us + self.length_us // RESEND
        if self.phase is Phase.HELD:
            self.due_us = min(self.due_us, self.until_us)
        return [Ask(self.duty, what, self.round)]

    def give_up(self, now_us: int, why: str) -> list[Action]:
        actions: list[Action] = []
        if self.phase in (Phase.HELD, Phase.HANDING_ON):
            actions.append(Ended(self.duty, self.epoch, why))
        if self.phase in (Phase.HELD, Phase.ASKING):
            actions += self.ask(now_us, DELETE)
        self.rest(now_us + 2 * self.length_us)
        return actions

    def lose(self, now_us: int, why: str) -> list[Action]:
        """It does not hold it any more, or can't know."""
        if self.phase is not Phase.HELD:
            return []
        ended = Ended(self.duty, self.epoch, why)
        self.rest(NEVER_US)
        self.phase, self.out, self.due_us = Phase.LOST, False, now_us
        return [ended]

    def session_lost(self, now_us: int) -> list[Action]:
        """LOST: the service has ended the session, and its nodes with it."""
        actions = self.lose(now_us, "the session is lost")
        if self.phase is Phase.ASKING:
            self.rest(now_us + self.wait_us())
        return actions

    def on_answer(self, now_us: int, answer: Answer) -> list[Action]:
        if answer.round != self.round or not self.out:
            late = answer.node is Node.MINE and self.phase in (Phase.FREE, Phase.LOST)
            return [Ask(self.duty, DELETE, 0)] if late else []
        if answer.node is Node.FAILED:
            return []  # its time tells
        self.out = False
        if answer.node is Node.MINE:
            return self.on_mine(answer.epoch)
        if self.phase is Phase.HELD:
            return self.lose(now_us, "its node is gone" if answer.node is Node.NONE else "the node is another's")
        self.tries += 1
        self.rest(now_us + self.wait_us())
        if answer.node is Node.OTHERS:
            self.found_held(now_us, self.length_us // 2)
        return []

    def is_older(self, now_us: int, seen: int) -> list[Action]:
        """Act no more; the node is asked for like any other, and if it is still this session's, above what was seen.

        Guards against two that outbid each other: the newer epoch may be another holder's, made after this session
        was ended before its time. Where the service came back from an older state, the node is found again.
        """
        if self.phase is not Phase.HELD or seen < self.epoch:
            return []
        self.floor = max(self.floor, seen)
        return self.lose(now_us, "a newer epoch was seen")

    def on_mine(self, czxid: int) -> list[Action]:
        epoch = czxid if czxid > self.floor else max(self.epoch if self.epoch > self.floor else 0, self.floor + 1)
        changed = self.phase is not Phase.HELD or epoch != self.epoch
        self.phase, self.epoch, self.tries = Phase.HELD, epoch, 0
        self.until_us = self.sent_us + self.held_us
        self.due_us = self.sent_us + self.length_us // (2 * RENEW)
        consent, self.consent = self.consent, 0
        state, self.state = self.state, b""
        actions: list[Action] = [Began(self.duty, epoch, state)] if changed else []
        if consent:
            actions.append(Tell(self.successor, Taken(self.duty, epoch)))
        return actions

    def tick(self, now_us: int) -> list[Action]:
        """Call when `next_due` has come; also at once after a stall, before anything else."""
        if self.phase is Phase.LOST:
            # What may be left of it is not found by accident: its node is asked for like any other.
            self.rest(now_us + self.wait_us())
            return []
        if self.phase is Phase.HELD and now_us >= self.until_us:
            return self.lose(now_us, "it could not be renewed in time")
        if now_us < self.due_us:
            return []
        if self.phase is Phase.HELD:
            return self.ask(now_us, RENEW_IT)
        if self.phase is Phase.HANDING_ON:
            ended = Ended(self.duty, self.epoch, f"handed on to gateway {self.successor}, which has not said so")
            self.rest(now_us + self.length_us)
            return [ended]
        if self.phase is Phase.ASKING or self.wanted or self.consent:
            # Asked again after an answer that was lost: the node that it may have made is found to be its own.
            self.tries += self.phase is Phase.ASKING
            self.phase = Phase.ASKING
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
        self.phase, self.until_us, self.successor = Phase.HANDING_ON, 0, successor
        self.due_us = now_us + self.length_us // 2
        return [*actions, Tell(successor, Hand(self.duty, self.epoch, state))]

    def take_over(self, now_us: int, hand: Hand, by: int) -> list[Action]:
        if self.phase in (Phase.HELD, Phase.HANDING_ON):
            return []
        self.consent, self.state, self.successor, self.wanted = hand.ballot, hand.state, by, True
        self.phase = Phase.ASKING
        actions = self.ask(now_us, CREATE)
        self.due_us = now_us + self.length_us // RESEND
        return actions

    def receive(self, now_us: int, message: Message, number: int) -> list[Action]:
        if isinstance(message, Taken) and self.phase is Phase.HANDING_ON:
            ended = Ended(self.duty, self.epoch, f"handed on to gateway {self.successor}")
            self.rest(now_us + self.length_us)
            return [ended]
        return []
