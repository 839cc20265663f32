"""The budget of a host that is warming up: quota is lent by who does not need it, granted to who does. Pure.

Each gateway has one quota of its own (docs/design.md: all quotas together are safe), the unit of all amounts here.
A timestamp is a reading of one process's own clock and means nothing to another, which echoes it as it came.

Invariants (docs/duties-design.md has the proof):
- what the budget's leader has granted and not yet ended, by its own clock and the allowance, is at no moment more
  than what was lent to it and not yet ended by that clock less the allowance;
- a lender does not use its quota for LOAN_US from the moment at which it lent, by its own clock, and lends it to one
  process at a time;
- a grant ends GRANT_US after the timestamp of the report that it answers, by the clock of who reported;
- a leader that ends, or that a newer one replaces, leaves nothing behind but what ends by itself.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.leases.lease import NOBODY
from cloverkeel.leases.lease_config import CLOCK_DRIFT_DIVISOR
from cloverkeel.leases.process import UNKNOWN_PROCESS

LOAN_US: Final = 2_000_000
GRANT_US: Final = 800_000  # well under LOAN_US less a report's age: loans must outlive what is granted of them
MAX_GRANTED_QUOTA: Final = 16.0  # that one gateway is granted at a time
MAX_LENDERS: Final = 4096
QUOTA_UNIT: Final = 1000  # amounts are sent in thousandths

REPORT_FORMAT: Final = struct.Struct(">BI")  # whether it wants quota, and the thousandths that it lends
GRANT_FORMAT: Final = struct.Struct(">I")


def encode_report(wants_quota: bool, lent_quota: float) -> bytes:
    """Make a report's payload."""
    return REPORT_FORMAT.pack(wants_quota, int(lent_quota * QUOTA_UNIT))


def encode_grant(quota: float) -> bytes:
    """Make a reply's payload."""
    return GRANT_FORMAT.pack(int(quota * QUOTA_UNIT))


def decode_grant(payload: bytes) -> float | None:
    """Return the granted quota; None for what is no grant."""
    return GRANT_FORMAT.unpack(payload)[0] / QUOTA_UNIT if len(payload) == GRANT_FORMAT.size else None


@dataclass(slots=True, frozen=True)
class Loan:
    """Quota that a gateway does not use, until a moment of the leader's clock less the allowance."""

    quota: float
    until_us: int


@dataclass(slots=True, frozen=True)
class Grant:
    """Quota that a gateway may use beyond its own."""

    quota: float
    ends_us: int  # by the leader's clock, with the allowance


@dataclass(slots=True)
class SlowStartBudget:
    """What the leader of one host's budget knows. Nothing of it is kept: who takes over begins empty."""

    loan_by_lender: dict[int, Loan] = field(default_factory=dict)
    grants_by_borrower: dict[int, list[Grant]] = field(default_factory=dict)  # those that have not ended
    wanted_us_by_gateway: dict[int, int] = field(default_factory=dict)  # when it last asked for quota
    peak_granted: float = 0.0  # the most that was granted at a time

    def forget_ended(self, now_us: int) -> None:
        """Forget loans, grants and wishes that have ended."""
        self.loan_by_lender = {lender: loan for lender, loan in self.loan_by_lender.items() if loan.until_us > now_us}
        running = {
            borrower: [grant for grant in grants if grant.ends_us > now_us]
            for borrower, grants in self.grants_by_borrower.items()
        }
        self.grants_by_borrower = {borrower: grants for borrower, grants in running.items() if grants}
        wanted_us = self.wanted_us_by_gateway
        self.wanted_us_by_gateway = {
            gateway: at_us for gateway, at_us in wanted_us.items() if now_us - at_us < GRANT_US
        }  # fmt: skip

    def on_report(self, now_us: int, gateway: int, echoed_us: int, payload: bytes) -> bytes:
        """Return the reply to one gateway's report.

        `echoed_us`: when the leader's timestamp was made that the report echoes, or 0.
        """
        if len(payload) != REPORT_FORMAT.size:
            return b""
        wants_quota, lent_thousandths = REPORT_FORMAT.unpack(payload)
        self.forget_ended(now_us)
        if lent_thousandths:
            quota = min(lent_thousandths, QUOTA_UNIT) / QUOTA_UNIT  # nobody has more than one quota to lend
            self.record_loan(now_us, gateway, echoed_us, quota)
        if not wants_quota:
            return encode_grant(0.0)
        if len(self.wanted_us_by_gateway) < MAX_LENDERS:
            self.wanted_us_by_gateway[gateway] = now_us
        return encode_grant(self.grant_quota(now_us, gateway))

    def record_loan(self, now_us: int, lender: int, echoed_us: int, quota: float) -> None:
        """Count a loan from the leader's own timestamp: the lender gave its quota up after that was made."""
        if not 0 < echoed_us <= now_us:
            return
        if lender not in self.loan_by_lender and len(self.loan_by_lender) >= MAX_LENDERS:
            return
        until_us = echoed_us + LOAN_US - LOAN_US // CLOCK_DRIFT_DIVISOR
        if until_us <= now_us:
            return
        before = self.loan_by_lender.get(lender)
        if before is not None:
            until_us = max(until_us, before.until_us)
        self.loan_by_lender[lender] = Loan(quota, until_us)

    def grant_quota(self, now_us: int, borrower: int) -> float:
        """Grant one gateway its fair part of the loans that outlive the grant and are not granted to others."""
        ends_us = now_us + GRANT_US + GRANT_US // CLOCK_DRIFT_DIVISOR
        pool = sum(loan.quota for loan in self.loan_by_lender.values() if loan.until_us >= ends_us)
        others = self.granted_to_others(borrower)
        fair = pool / max(1, len(self.wanted_us_by_gateway))
        quota = max(0.0, min(MAX_GRANTED_QUOTA, fair, pool - others))
        quota = int(quota * QUOTA_UNIT) / QUOTA_UNIT
        if quota > 0.0:
            self.grants_by_borrower.setdefault(borrower, []).append(Grant(quota, ends_us))
            self.peak_granted = max(self.peak_granted, self.granted_to_others(NOBODY))
        return quota

    def granted_to_others(self, borrower: int) -> float:
        """Return what all but one gateway may use now at the most."""
        return sum(
            max(grant.quota for grant in grants)
            for other, grants in self.grants_by_borrower.items()
            if other != borrower
        )

    def lent_quota(self, now_us: int) -> float:
        """Return what is lent to the leader now."""
        return sum(loan.quota for loan in self.loan_by_lender.values() if loan.until_us > now_us)


@dataclass(slots=True, frozen=True)
class UsableQuota:
    """Quota that may be used now, and until when that holds; 0: for good, as nothing is lent or granted."""

    quota: float
    until_us: int


@dataclass(slots=True)
class QuotaAccount:
    """One gateway's own quota of one host, and what was granted to it, by its own clock."""

    lent_until_us: int = 0
    lent_to: int = UNKNOWN_PROCESS
    granted: float = 0.0
    granted_until_us: int = 0

    def lend(self, now_us: int, holder_process: int) -> bool:
        """Lend the quota, at the moment of the report that says so; nothing of it is used from then on.

        Guards against lending one quota to two: what was lent to a holder that another has followed must end first.
        """
        if now_us < self.lent_until_us and holder_process != self.lent_to:
            return False
        self.lent_until_us = now_us + LOAN_US
        self.lent_to = holder_process
        return True

    def accept_grant(self, now_us: int, reported_us: int, quota: float) -> None:
        """Take a grant that answers the report of that moment; one that has ended by now changes nothing."""
        until_us = reported_us + GRANT_US
        if until_us <= now_us:
            return
        if quota > 0.0 or until_us > self.granted_until_us:
            self.granted = quota
            self.granted_until_us = until_us

    def usable(self, now_us: int) -> UsableQuota:
        """Return what may be used now."""
        own = 0.0 if now_us < self.lent_until_us else 1.0
        granted = self.granted if now_us < self.granted_until_us else 0.0
        ends = [until_us for until_us in (self.lent_until_us, self.granted_until_us) if until_us > now_us]
        return UsableQuota(own + granted, min(ends, default=0))
