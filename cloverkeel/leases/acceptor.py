"""A voter's side of leases by majority: locks with a time limit. Pure: time comes in.

Invariants (docs/duties-design.md has the proof that rests on them):
- at most one accepted lease of a duty at a time; while it lives nobody but its holder is promised or accepted
  anything, but with that holder's consent;
- for `silent_us` after the start, the longest lease there is, nothing is said: what was accepted is forgotten;
- nothing is accepted for longer than `longest_us`;
- what is promised of a duty only grows, also over a slot that was forgotten;
- at most `most` duties, 64 bytes or so each; a further one is refused.
"""

from __future__ import annotations

from typing import Final

from cloverkeel.leases.ballots import COUNTER_SHIFT, BallotClock, counter_of
from cloverkeel.leases.messages import Accepted, Prepare, Promised, Propose, RefusalReason, Refused

MAX_LEASES: Final = 1024
IDLE_TIMEOUT_US: Final = 60_000_000  # a duty that nobody asked for


class AcceptedLease:
    """Who holds a duty: a gateway's number, and what its process drew at its start."""

    __slots__ = ("ballot", "ends_us", "nonce", "number")

    def __init__(self, number: int, nonce: int, ballot: int, ends_us: int) -> None:
        self.number = number
        self.nonce = nonce
        self.ballot = ballot
        self.ends_us = ends_us


class AcceptorState:
    __slots__ = ("held", "promised", "touched_us")

    def __init__(self, promised: int, touched_us: int) -> None:
        self.promised = promised
        self.held: AcceptedLease | None = None
        self.touched_us = touched_us


class Acceptor:
    def __init__(
        self, now_us: int, silent_us: int, longest_us: int, counter: BallotClock, most: int = MAX_LEASES
    ) -> None:
        self.speaks_us = now_us + silent_us
        self.longest_us = longest_us
        self.counter = counter
        self.most = most
        self.slots: dict[int, AcceptorState] = {}
        self.floor = 0  # no slot promises less: the highest promise that may have been forgotten

    def speaks(self, now_us: int) -> bool:
        """Guards against voting twice: a process that began anew does not know what it had accepted."""
        return now_us >= self.speaks_us

    def holder(self, now_us: int, duty: int) -> AcceptedLease | None:
        """Whose lease lives here; a hint to others, no proof that it has a majority."""
        slot = self.slots.get(duty)
        if slot is None or slot.held is None or now_us >= slot.held.ends_us:
            return None
        return slot.held

    def slot(self, now_us: int, duty: int) -> AcceptorState | None:
        found = self.slots.get(duty)
        if found is None:
            if len(self.slots) >= self.most:
                self.sweep(now_us)
            if len(self.slots) >= self.most:
                return None
            if not self.floor:
                # What was promised before the start is forgotten; it was no more than what others have seen.
                self.floor = self.counter.highest << COUNTER_SHIFT
            found = self.slots[duty] = AcceptorState(self.floor, now_us)
        found.touched_us = now_us
        return found

    def sweep(self, now_us: int) -> None:
        """Forget what nobody asked for in a while."""
        for duty, slot in list(self.slots.items()):
            if self.holder(now_us, duty) is None and now_us - slot.touched_us > IDLE_TIMEOUT_US:
                self.floor = max(self.floor, slot.promised)
                del self.slots[duty]

    def prepare(self, now_us: int, asked: Prepare, number: int, nonce: int) -> Promised | Refused | None:
        """Answer a question for a promise; None: nothing may be said."""
        slot, refused = self.admit(now_us, asked.duty, asked.ballot, asked.round, asked.consent, number, nonce)
        if slot is None:
            return refused
        slot.promised = max(slot.promised, asked.ballot)
        return Promised(asked.duty, asked.ballot, asked.round)

    def propose(self, now_us: int, asked: Propose, number: int, nonce: int) -> Accepted | Refused | None:
        """Take a lease in, or a longer one of the same holder; None: nothing may be said."""
        slot, refused = self.admit(now_us, asked.duty, asked.ballot, asked.round, asked.consent, number, nonce)
        if slot is None:
            return refused
        if asked.length_us > self.longest_us:
            return Refused(asked.duty, asked.ballot, asked.round, RefusalReason.LENGTH, 0, 0, 0, slot.promised)
        slot.promised = max(slot.promised, asked.ballot)
        slot.held = AcceptedLease(number, nonce, asked.ballot, now_us + asked.length_us)
        return Accepted(asked.duty, asked.ballot, asked.round)

    def admit(
        self, now_us: int, duty: int, ballot: int, round_: int, consent: int, number: int, nonce: int
    ) -> tuple[AcceptorState | None, Refused | None]:
        """The slot, if this asker may have it; else why not."""
        if not self.speaks(now_us):
            return None, None
        if not self.counter.hear(now_us, counter_of(ballot)):
            return None, Refused(duty, ballot, round_, RefusalReason.LEAP, 0, 0, 0, 0)
        slot = self.slot(now_us, duty)
        if slot is None:
            return None, Refused(duty, ballot, round_, RefusalReason.FULL, 0, 0, 0, 0)
        held = self.holder(now_us, duty)
        if held is not None and consent and consent == held.ballot:
            slot.held = held = None  # its holder stopped acting before it said so, and never acts under it again
        if held is not None and (held.number != number or held.nonce != nonce):
            left_us = held.ends_us - now_us
            return None, Refused(
                duty, ballot, round_, RefusalReason.HELD, held.number, held.nonce, left_us, slot.promised
            )
        if ballot < slot.promised:
            return None, Refused(duty, ballot, round_, RefusalReason.BALLOT, 0, 0, 0, slot.promised)
        return slot, None

    def release(self, now_us: int, duty: int, ballot: int) -> None:
        """Its holder acts no more under this ballot, and never will; or the round did not come to a majority."""
        slot = self.slots.get(duty)
        if slot is not None and slot.held is not None and slot.held.ballot == ballot:
            slot.held = None
