"""Budget of a host in slow start: gateways lend quota that they do not need, the leader grants it to others. Pure.

The leader is the holder of the lease of the host's budget. Each gateway has one quota of its own, the unit of all
amounts in this module; a host can safely serve all quotas together (docs/design.md). A timestamp is a reading of one
process's own clock; other processes only echo it.

Invariants (docs/duties-design.md has the proof):
- at any time the sum of the leader's unexpired grants is at most the sum of its unexpired loans, where grants expire
  later, and loans earlier, by the allowance for drift of the leader's clock;
- a lender does not use its quota for LOAN_US after lending it, by its own clock, and lends it to one process at a
  time;
- a grant ends GRANT_US after the timestamp of the report that it answers, by the reporter's clock;
- when a leader ends or is replaced, all its loans and grants expire without further messages.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.leases.lease import NO_GATEWAY
from cloverkeel.leases.lease_config import CLOCK_DRIFT_DIVISOR
from cloverkeel.leases.process import UNKNOWN_PROCESS

LOAN_US: Final = 2_000_000
GRANT_US: Final = 800_000  # well below LOAN_US less a report's age: loans must outlive the grants made from them
MAX_GRANTED_QUOTA: Final = 16.0  # limit of a single grant
MAX_LENDERS: Final = 4096
QUOTA_UNIT: Final = 1000  # amounts are encoded in thousandths of a quota

REPORT_FORMAT: Final = struct.Struct(">BI")  # whether the reporter wants quota; lent quota in thousandths
GRANT_FORMAT: Final = struct.Struct(">I")  # granted quota in thousandths


def encode_report(wants_quota: bool, lent_quota: float) -> bytes:
    """Encode the payload of a report."""
    return REPORT_FORMAT.pack(wants_quota, int(lent_quota * QUOTA_UNIT))


def encode_grant(quota: float) -> bytes:
    """Encode the payload of a reply."""
    return GRANT_FORMAT.pack(int(quota * QUOTA_UNIT))


def decode_grant(payload: bytes) -> float | None:
    """Decode the granted quota; None if the payload is malformed."""
    return GRANT_FORMAT.unpack(payload)[0] / QUOTA_UNIT if len(payload) == GRANT_FORMAT.size else None


@dataclass(slots=True, frozen=True)
class Loan:
    """Quota that a gateway has lent to the budget."""

    quota: float
    until_us: int  # by the leader's clock, less the allowance for clock drift


@dataclass(slots=True, frozen=True)
class Grant:
    """Quota that a gateway may use in addition to its own."""

    quota: float
    ends_us: int  # by the leader's clock, plus the allowance for clock drift


@dataclass(slots=True)
class SlowStartBudget:
    """The leader's state of one host's budget. It is not handed over: the next leader starts with an empty budget."""

    loan_by_lender: dict[int, Loan] = field(default_factory=dict)
    grants_by_borrower: dict[int, list[Grant]] = field(default_factory=dict)  # unexpired grants
    wanted_us_by_gateway: dict[int, int] = field(default_factory=dict)  # time of the last report that wanted quota
    peak_granted: float = 0.0  # maximum of all quota granted at a time

    def forget_ended(self, now_us: int) -> None:
        """Remove loans, grants and demands that have expired."""
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
        """Return the reply to a gateway's report; empty if the report is malformed.

        `echoed_us`: when the leader made the timestamp that the report echoes; 0 if there is none.
        """
        if len(payload) != REPORT_FORMAT.size:
            return b""
        wants_quota, lent_thousandths = REPORT_FORMAT.unpack(payload)
        self.forget_ended(now_us)
        if lent_thousandths:
            quota = min(lent_thousandths, QUOTA_UNIT) / QUOTA_UNIT  # a gateway has only one quota to lend
            self.record_loan(now_us, gateway, echoed_us, quota)
        if not wants_quota:
            return encode_grant(0.0)
        if len(self.wanted_us_by_gateway) < MAX_LENDERS:
            self.wanted_us_by_gateway[gateway] = now_us
        return encode_grant(self.grant_quota(now_us, gateway))

    def record_loan(self, now_us: int, lender: int, echoed_us: int, quota: float) -> None:
        """Record a loan as starting at the leader's own timestamp: the lender stopped using its quota after that."""
        if not 0 < echoed_us <= now_us:
            return
        if lender not in self.loan_by_lender and len(self.loan_by_lender) >= MAX_LENDERS:
            return
        until_us = echoed_us + LOAN_US - LOAN_US // CLOCK_DRIFT_DIVISOR
        if until_us <= now_us:
            return
        previous = self.loan_by_lender.get(lender)
        if previous is not None:
            until_us = max(until_us, previous.until_us)
        self.loan_by_lender[lender] = Loan(quota, until_us)

    def grant_quota(self, now_us: int, borrower: int) -> float:
        """Grant a gateway its fair share of the loans that outlive the grant and are not granted to others."""
        ends_us = now_us + GRANT_US + GRANT_US // CLOCK_DRIFT_DIVISOR
        pool = sum(loan.quota for loan in self.loan_by_lender.values() if loan.until_us >= ends_us)
        others = self.granted_to_others(borrower)
        fair = pool / max(1, len(self.wanted_us_by_gateway))
        quota = max(0.0, min(MAX_GRANTED_QUOTA, fair, pool - others))
        quota = int(quota * QUOTA_UNIT) / QUOTA_UNIT
        if quota > 0.0:
            self.grants_by_borrower.setdefault(borrower, []).append(Grant(quota, ends_us))
            self.peak_granted = max(self.peak_granted, self.granted_to_others(NO_GATEWAY))
        return quota

    def granted_to_others(self, borrower: int) -> float:
        """Return the maximum quota that all gateways except `borrower` may use now."""
        return sum(
            max(grant.quota for grant in grants)
            for other, grants in self.grants_by_borrower.items()
            if other != borrower
        )

    def lent_quota(self, now_us: int) -> float:
        """Return the sum of unexpired loans."""
        return sum(loan.quota for loan in self.loan_by_lender.values() if loan.until_us > now_us)


@dataclass(slots=True, frozen=True)
class UsableQuota:
    """The quota that a gateway may use now."""

    quota: float
    until_us: int  # when the amount changes; 0 if nothing is lent or granted


@dataclass(slots=True)
class QuotaAccount:
    """A gateway's own quota of one host, and the quota granted to it; times are by its own clock."""

    lent_until_us: int = 0
    lent_to: int = UNKNOWN_PROCESS  # the process of the leader
    granted: float = 0.0
    granted_until_us: int = 0

    def lend(self, now_us: int, holder_process: int) -> bool:
        """Lend the quota for LOAN_US, at the time when the report is made; return whether it is lent.

        A loan to another process must end first: otherwise a new leader and its predecessor, whose grants are still
        in use, could both grant the same quota.
        """
        if now_us < self.lent_until_us and holder_process != self.lent_to:
            return False
        self.lent_until_us = now_us + LOAN_US
        self.lent_to = holder_process
        return True

    def accept_grant(self, now_us: int, reported_us: int, quota: float) -> None:
        """Accept a grant that answers the report sent at `reported_us`; ignore it if it has already ended."""
        until_us = reported_us + GRANT_US
        if until_us <= now_us:
            return
        if quota > 0.0 or until_us > self.granted_until_us:
            self.granted = quota
            self.granted_until_us = until_us

    def usable(self, now_us: int) -> UsableQuota:
        """Return the quota that may be used now."""
        own = 0.0 if now_us < self.lent_until_us else 1.0
        granted = self.granted if now_us < self.granted_until_us else 0.0
        ends = [until_us for until_us in (self.lent_until_us, self.granted_until_us) if until_us > now_us]
        return UsableQuota(own + granted, min(ends, default=0))
