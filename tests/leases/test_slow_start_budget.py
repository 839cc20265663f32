"""Budgets of hosts that are warming up: quota that moves between gateways."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.leases.slow_start_budget import (
    GRANT_US,
    LOAN_US,
    QuotaAccount,
    SlowStartBudget,
    UsableQuota,
    decode_grant,
    encode_report,
)
from tests.leases.helpers import NOW_US


@dataclass
class Process:
    """One gateway's process: a clock of its own, its quota, and perhaps a budget that it leads."""

    number: int
    offset_us: int
    rate: float
    started_us: int  # real time
    account: QuotaAccount = field(default_factory=QuotaAccount)
    budget: SlowStartBudget | None = None
    timestamps: dict[int, tuple[int, int]] = field(
        default_factory=dict
    )  # by holder: its start and its last timestamp

    def clock(self, real_us: int) -> int:
        return self.offset_us + int(real_us * self.rate)

    def usable(self, real_us: int) -> float:
        if self.clock(real_us) < self.clock(self.started_us) + LOAN_US:
            return 0.0  # what a process before may have lent is not used
        usable = self.account.usable(self.clock(real_us))
        return usable.quota if usable.until_us else 1.0


@dataclass
class Sent:
    kind: str
    by: Process
    to: Process
    timestamp_us: int
    echoed_us: int
    payload: bytes


LARGEST: list[float] = []  # the most that one gateway had, at each step


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_quota_is_never_used_twice_whatever_the_datagrams_and_clocks_do(seed: int) -> None:
    """Two leaders at once: the bound does not rest on the lease. PeerSocket late by up to a minute, doubled, lost."""
    rng = random.Random(seed)
    count = rng.randint(2, 6)

    def start_process(number: int, real_us: int) -> Process:
        made = Process(number, rng.randrange(10**12), 1 + rng.uniform(-1e-3, 1e-3), real_us)
        made.budget = SlowStartBudget() if number < 2 else None
        return made

    real_us = 10_000_000
    processes = [start_process(number, real_us - LOAN_US * 2) for number in range(count)]
    in_flight: list[Sent] = []
    for _ in range(500):
        real_us += rng.choice((0, 1_000, 10_000, 20_000, 50_000, 50_000, 100_000))
        real_us += rng.randrange(60_000_000 if rng.random() < 0.1 else 2_000_000) if rng.random() < 0.02 else 0
        what = rng.random()
        if what < 0.45:
            by, to = rng.choice(processes), processes[rng.random() < 0.2]
            seen, now_us = by.timestamps.get(to.number, (0, 0)), by.clock(real_us)
            echoed_us = seen[1] if seen[0] == to.started_us else 0
            lends = echoed_us != 0 and rng.random() < 0.6 and by.account.lend(now_us, to.number)
            in_flight.append(Sent("report", by, to, now_us, echoed_us, encode_report(not lends, float(lends))))
        elif what < 0.98 and in_flight:
            at = -1 if rng.random() < 0.8 else rng.randrange(len(in_flight))
            sent = in_flight[at]
            if rng.random() < 0.9:
                del in_flight[at]
            to = sent.to
            if to is not processes[to.number]:
                continue  # it is gone
            now_us = to.clock(real_us)
            if sent.kind == "report" and to.budget is not None:
                answer = to.budget.on_report(now_us, sent.by.number, sent.echoed_us, sent.payload)
                in_flight.append(Sent("reply", to, sent.by, now_us, sent.timestamp_us, answer))
            elif sent.kind == "reply":
                quota = decode_grant(sent.payload)
                assert quota is not None
                to.timestamps[sent.by.number] = (sent.by.started_us, sent.timestamp_us)
                to.account.accept_grant(now_us, sent.echoed_us, quota)
        elif what > 0.995:
            number = rng.randrange(count)
            processes[number] = start_process(number, real_us)
        quotas = [process.usable(real_us) for process in processes]
        assert sum(quotas) <= count + 1e-6, (quotas, real_us)
        LARGEST.append(max(quotas))


def test_quota_did_move_in_the_runs_of_the_test_before() -> None:
    """Else the bound above was tried on nothing."""
    LARGEST.clear()
    test_quota_is_never_used_twice_whatever_the_datagrams_and_clocks_do()
    assert sum(quota > 1.0 for quota in LARGEST) > len(LARGEST) / 50


def test_lent_quota_is_granted_to_who_wants_it_and_comes_back() -> None:
    budget, lender, borrower = SlowStartBudget(), QuotaAccount(), QuotaAccount()
    now_us = NOW_US
    echoed_us = now_us
    now_us += 300_000
    assert lender.lend(now_us, 0)
    assert not lender.lend(now_us + 1, 1)  # to one at a time
    assert budget.on_report(now_us, 1, echoed_us, encode_report(False, 1.0)) == encode_report(False, 0.0)[1:]
    granted = decode_grant(budget.on_report(now_us, 2, 0, encode_report(True, 0.0)))
    assert granted == 1.0
    borrower.accept_grant(now_us, now_us, granted)
    assert borrower.usable(now_us) == UsableQuota(2.0, now_us + GRANT_US) and lender.usable(now_us).quota == 0.0
    assert decode_grant(budget.on_report(now_us, 3, 0, encode_report(True, 0.0))) == 0.0  # it is granted to another
    later_us = now_us + GRANT_US
    assert borrower.usable(later_us) == UsableQuota(1.0, 0)
    assert lender.usable(now_us + LOAN_US) == UsableQuota(1.0, 0)


def test_a_loan_that_was_reported_late_ends_by_the_leaders_own_timestamp() -> None:
    """The lender uses its quota again LOAN_US after it lent, whenever the leader hears of it."""
    budget, echoed_us = SlowStartBudget(), NOW_US
    heard_us = echoed_us + LOAN_US - GRANT_US  # it lent a moment after the timestamp; the report was late
    budget.on_report(heard_us, 1, echoed_us, encode_report(False, 1.0))
    assert (
        decode_grant(budget.on_report(heard_us, 2, 0, encode_report(True, 0.0))) == 0.0
    )  # it would outlive the loan
    fresh = SlowStartBudget()
    fresh.on_report(heard_us, 1, heard_us - 1, encode_report(False, 1.0))
    assert decode_grant(fresh.on_report(heard_us, 2, 0, encode_report(True, 0.0))) == 1.0


def test_a_malformed_report_gets_nothing_and_no_more_than_one_quota_is_lent() -> None:
    budget = SlowStartBudget()
    assert budget.on_report(NOW_US, 1, NOW_US, b"") == b""
    budget.on_report(NOW_US, 1, NOW_US - 1, encode_report(False, 900.0))
    assert budget.loan_by_lender[1].quota == 1.0
    budget.on_report(NOW_US, 2, NOW_US + 1, encode_report(False, 1.0))  # a timestamp that was not made yet
    budget.on_report(NOW_US, 3, 0, encode_report(False, 1.0))
    assert set(budget.loan_by_lender) == {1}
