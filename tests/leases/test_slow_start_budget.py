"""Budgets of hosts in slow start: quota lent by gateways and granted to others."""

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
    """A gateway process with a clock of its own, its quota account, and a budget if it is a leader."""

    number: int
    offset_us: int
    rate: float
    started_us: int  # real time
    account: QuotaAccount = field(default_factory=QuotaAccount)
    budget: SlowStartBudget | None = None
    # By leader: the start of its process and its newest timestamp.
    timestamps: dict[int, tuple[int, int]] = field(default_factory=dict)

    def clock(self, real_us: int) -> int:
        return self.offset_us + int(real_us * self.rate)

    def usable(self, real_us: int) -> float:
        if self.clock(real_us) < self.clock(self.started_us) + LOAN_US:
            return 0.0  # the gateway's former process may have lent the quota
        usable = self.account.usable(self.clock(real_us))
        return usable.quota if usable.until_us else 1.0


@dataclass
class Sent:
    kind: str
    sender: Process
    to: Process
    timestamp_us: int
    echoed_us: int
    payload: bytes


LARGEST: list[float] = []  # the largest quota of a single gateway at each step


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 2**32))
def test_quota_is_never_used_twice_with_faulty_datagrams_and_drifting_clocks(seed: int) -> None:
    """Two gateways lead the budget at once, as the bound must not depend on the lease.

    Datagrams are late by up to a minute, duplicated and lost; processes restart.
    """
    rng = random.Random(seed)
    count = rng.randint(2, 6)

    def start_process(number: int, real_us: int) -> Process:
        process = Process(number, rng.randrange(10**12), 1 + rng.uniform(-1e-3, 1e-3), real_us)
        process.budget = SlowStartBudget() if number < 2 else None
        return process

    real_us = 10_000_000
    processes = [start_process(number, real_us - LOAN_US * 2) for number in range(count)]
    in_flight: list[Sent] = []
    for _ in range(500):
        real_us += rng.choice((0, 1_000, 10_000, 20_000, 50_000, 50_000, 100_000))
        real_us += rng.randrange(60_000_000 if rng.random() < 0.1 else 2_000_000) if rng.random() < 0.02 else 0
        event = rng.random()
        if event < 0.45:
            sender, to = rng.choice(processes), processes[rng.random() < 0.2]
            seen, now_us = sender.timestamps.get(to.number, (0, 0)), sender.clock(real_us)
            echoed_us = seen[1] if seen[0] == to.started_us else 0
            lends = echoed_us != 0 and rng.random() < 0.6 and sender.account.lend(now_us, to.number)
            in_flight.append(Sent("report", sender, to, now_us, echoed_us, encode_report(not lends, float(lends))))
        elif event < 0.98 and in_flight:
            position = -1 if rng.random() < 0.8 else rng.randrange(len(in_flight))
            sent = in_flight[position]
            if rng.random() < 0.9:
                del in_flight[position]
            to = sent.to
            if to is not processes[to.number]:
                continue  # the receiving process was replaced
            now_us = to.clock(real_us)
            if sent.kind == "report" and to.budget is not None:
                reply = to.budget.on_report(now_us, sent.sender.number, sent.echoed_us, sent.payload)
                in_flight.append(Sent("reply", to, sent.sender, now_us, sent.timestamp_us, reply))
            elif sent.kind == "reply":
                quota = decode_grant(sent.payload)
                assert quota is not None
                to.timestamps[sent.sender.number] = (sent.sender.started_us, sent.timestamp_us)
                to.account.accept_grant(now_us, sent.echoed_us, quota)
        elif event > 0.995:
            number = rng.randrange(count)
            processes[number] = start_process(number, real_us)
        quotas = [process.usable(real_us) for process in processes]
        assert sum(quotas) <= count + 1e-6, (quotas, real_us)
        LARGEST.append(max(quotas))


def test_the_runs_that_check_the_bound_move_quota() -> None:
    """Without any granted quota the previous test would not exercise the bound."""
    LARGEST.clear()
    test_quota_is_never_used_twice_with_faulty_datagrams_and_drifting_clocks()
    assert sum(quota > 1.0 for quota in LARGEST) > len(LARGEST) / 50


def test_lent_quota_is_granted_on_demand_and_returns_to_the_lender() -> None:
    budget, lender, borrower = SlowStartBudget(), QuotaAccount(), QuotaAccount()
    now_us = NOW_US
    echoed_us = now_us
    now_us += 300_000
    assert lender.lend(now_us, 0)
    assert not lender.lend(now_us + 1, 1)  # to one process at a time
    assert budget.on_report(now_us, 1, echoed_us, encode_report(False, 1.0)) == encode_report(False, 0.0)[1:]
    granted = decode_grant(budget.on_report(now_us, 2, 0, encode_report(True, 0.0)))
    assert granted == 1.0
    borrower.accept_grant(now_us, now_us, granted)
    assert borrower.usable(now_us) == UsableQuota(2.0, now_us + GRANT_US) and lender.usable(now_us).quota == 0.0
    assert decode_grant(budget.on_report(now_us, 3, 0, encode_report(True, 0.0))) == 0.0  # granted to another gateway
    later_us = now_us + GRANT_US
    assert borrower.usable(later_us) == UsableQuota(1.0, 0)
    assert lender.usable(now_us + LOAN_US) == UsableQuota(1.0, 0)


def test_a_loan_reported_late_ends_according_to_the_leaders_timestamp() -> None:
    """The lender uses its quota again LOAN_US after it lent it, however late the leader receives the report."""
    budget, echoed_us = SlowStartBudget(), NOW_US
    received_us = echoed_us + LOAN_US - GRANT_US  # lent shortly after the timestamp; the report was late
    budget.on_report(received_us, 1, echoed_us, encode_report(False, 1.0))
    # A grant would outlive the loan.
    assert decode_grant(budget.on_report(received_us, 2, 0, encode_report(True, 0.0))) == 0.0
    fresh = SlowStartBudget()
    fresh.on_report(received_us, 1, received_us - 1, encode_report(False, 1.0))
    assert decode_grant(fresh.on_report(received_us, 2, 0, encode_report(True, 0.0))) == 1.0


def test_a_malformed_report_gets_no_grant_and_a_gateway_lends_at_most_one_quota() -> None:
    budget = SlowStartBudget()
    assert budget.on_report(NOW_US, 1, NOW_US, b"") == b""
    budget.on_report(NOW_US, 1, NOW_US - 1, encode_report(False, 900.0))
    assert budget.loan_by_lender[1].quota == 1.0
    budget.on_report(NOW_US, 2, NOW_US + 1, encode_report(False, 1.0))  # a timestamp in the future
    budget.on_report(NOW_US, 3, 0, encode_report(False, 1.0))
    assert set(budget.loan_by_lender) == {1}
