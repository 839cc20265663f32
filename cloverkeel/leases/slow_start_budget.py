"""Parts of a cold host's budget: lent by who does not need them, granted to who does. Pure: time comes in.

Each gateway has one part of its own (docs/design.md: all parts together are safe). Stamps are readings of one
process's own clock and mean nothing to another one, which gives them back as they came.

Invariants (docs/duties-design.md has the proof):
- what a warden has granted and not yet ended, by its own clock and the allowance, is at no moment more than what was
  lent to it and not yet ended by that clock less the allowance;
- a lender does not use its part for LEND_US from the moment at which it lent, by its own clock, and lends it to one
  process at a time;
- a portion ends PORTION_US after the stamp of the question that it answers, by the clock of who asked;
- a warden that ends, or that a newer one replaces, leaves nothing behind but what ends by itself.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Final

LOAN_US: Final = 2_000_000
GRANT_US: Final = 800_000  # well under LEND_US less a report's age: lent parts must outlive what is granted of them
CLOCK_DRIFT_DIVISOR: Final = 200  # one part in so many: what two clocks may differ in rate, and more
MAX_GRANTED_QUOTA: Final = 16.0  # parts that one gateway is granted at a time
MAX_LENDERS: Final = 4096
QUOTA_UNIT: Final = 1000  # shares are told in thousandths

REPORT: Final = struct.Struct(">BI")  # whether it wants, and the thousandths that it lends
GRANT: Final = struct.Struct(">I")


def report(wants: bool, lends: float) -> bytes:
    return REPORT.pack(wants, int(lends * QUOTA_UNIT))


def grant(share: float) -> bytes:
    return GRANT.pack(int(share * QUOTA_UNIT))


def read_grant(payload: bytes) -> float | None:
    """Parts granted; None for what is no grant."""
    return GRANT.unpack(payload)[0] / QUOTA_UNIT if len(payload) == GRANT.size else None


@dataclass(slots=True)
class Grant:
    share: float
    ends_us: int  # by the warden's clock, with the allowance


@dataclass(slots=True)
class SlowStartBudget:
    """What the holder of one cold host's duty knows. Nothing of it is kept: who takes over begins empty."""

    lent: dict[int, tuple[float, int]] = field(default_factory=dict)  # by gateway: parts, and until when
    out: dict[int, list[Grant]] = field(default_factory=dict)  # by gateway: portions that have not ended
    wants: dict[int, int] = field(default_factory=dict)  # by gateway: when it last said so
    granted: int = 0  # portions so far
    peak: float = 0.0  # the most that was out at a time

    def forget(self, now_us: int) -> None:
        self.lent = {number: it for number, it in self.lent.items() if it[1] > now_us}
        kept = {number: [p for p in of if p.ends_us > now_us] for number, of in self.out.items()}
        self.out = {number: of for number, of in kept.items() if of}
        self.wants = {number: at_us for number, at_us in self.wants.items() if now_us - at_us < GRANT_US}

    def on_report(self, now_us: int, number: int, echo_us: int, payload: bytes) -> bytes:
        """One gateway's report; what to answer. `echo_us`: when our stamp was made that it gives back, or 0."""
        if len(payload) != REPORT.size:
            return b""
        wants, lends = REPORT.unpack(payload)
        self.forget(now_us)
        lends = min(lends, QUOTA_UNIT)  # nobody has more than one part to lend
        if lends and 0 < echo_us <= now_us and (number in self.lent or len(self.lent) < MAX_LENDERS):
            # It lent after that stamp was made: for LEND_US by its clock from then on at the least.
            until_us = echo_us + LOAN_US - LOAN_US // CLOCK_DRIFT_DIVISOR
            if until_us > now_us:
                before = self.lent.get(number, (0.0, 0))[1]
                self.lent[number] = (lends / QUOTA_UNIT, max(before, until_us))
        if not wants:
            return grant(0.0)
        if len(self.wants) < MAX_LENDERS:
            self.wants[number] = now_us
        return grant(self.give(now_us, number))

    def give(self, now_us: int, number: int) -> float:
        """Grant one gateway what it may have now."""
        ends_us = now_us + GRANT_US + GRANT_US // CLOCK_DRIFT_DIVISOR
        pool = sum(share for lender, (share, until_us) in self.lent.items() if until_us >= ends_us)
        others = sum(max(p.share for p in of) for borrower, of in self.out.items() if borrower != number)
        fair = pool / max(1, len(self.wants))
        share = max(0.0, min(MAX_GRANTED_QUOTA, fair, pool - others))
        share = int(share * QUOTA_UNIT) / QUOTA_UNIT
        if share > 0.0:
            self.out.setdefault(number, []).append(Grant(share, ends_us))
            self.granted += 1
            self.peak = max(self.peak, sum(max(p.share for p in of) for of in self.out.values()))
        return share


@dataclass(slots=True)
class QuotaAccount:
    """One gateway's own part of one cold host, and what was granted to it, by its own clock."""

    lent_until_us: int = 0
    lent_to: int = -1
    granted: float = 0.0
    granted_until_us: int = 0

    def lend(self, now_us: int, to: int) -> bool:
        """Called at the moment of the report that lends; nothing of the part is used from then on.

        Guards against lending one part to two: what was lent to a holder that another has followed must end first.
        """
        if now_us < self.lent_until_us and to != self.lent_to:
            return False
        self.lent_until_us, self.lent_to = now_us + LOAN_US, to
        return True

    def take(self, now_us: int, asked_us: int, share: float) -> None:
        """A grant that answers our report of that moment; what has ended by now changes nothing."""
        until_us = asked_us + GRANT_US
        if until_us > now_us and (share > 0.0 or until_us > self.granted_until_us):
            self.granted, self.granted_until_us = share, until_us

    def share(self, now_us: int) -> tuple[float, int]:
        """Parts that may be used now, and until when that holds; (1, 0): its own, and nothing is to be said."""
        own = 0.0 if now_us < self.lent_until_us else 1.0
        more = self.granted if now_us < self.granted_until_us else 0.0
        ends = [until_us for until_us in (self.lent_until_us, self.granted_until_us) if until_us > now_us]
        return own + more, min(ends, default=0)
