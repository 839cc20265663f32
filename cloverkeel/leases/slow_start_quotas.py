"""Slow-start quotas of this gateway, and the budgets that it leads. Pure.

Invariants:
- quota is lent only in a report that echoes a timestamp of the leader: without it the leader ignores the loan;
- the balancer is notified of every change before a message that depends on it is sent.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cloverkeel.leases.manager import LeaseManager
from cloverkeel.leases.process import UNKNOWN_PROCESS
from cloverkeel.leases.slow_start_budget import QuotaAccount, SlowStartBudget, decode_grant, encode_report

# Arguments: server, its start time, end of the loan, granted quota, end of the grant; times in microseconds.
NotifyQuota = Callable[[int, int, int, float, int], None]


def lease_name(server: int, started_us: int) -> str:
    """Return the name of the lease of a host's budget; lease ids on the wire and operators' commands use it."""
    return f"warden/{server}/{started_us}"


@dataclass(slots=True, frozen=True)
class QuotaNotice:
    """A quota as last notified to the balancer."""

    lent_until_us: int = 0
    granted: float = 0.0
    granted_until_us: int = 0


@dataclass(slots=True)
class WarmingHost:
    """A host in slow start to which this gateway may send requests."""

    server: int
    started_us: int
    wants_quota: bool = False  # this gateway needs more than its own quota
    is_idle: bool = False  # this gateway does not need its own quota
    account: QuotaAccount = field(default_factory=QuotaAccount)
    notified: QuotaNotice = field(default_factory=QuotaNotice)


@dataclass(slots=True)
class SlowStartBudgets:
    """The `LeasedTask` of slow-start budgets."""

    notify: NotifyQuota
    host_by_lease: dict[int, WarmingHost] = field(default_factory=dict)
    budget_by_lease: dict[int, SlowStartBudget] = field(default_factory=dict)  # of the leases that this gateway holds
    lending_reports: int = 0  # reports that lent quota
    received_grants: int = 0  # replies that granted quota

    def update(
        self, now_us: int, demands: Sequence[tuple[int, int, bool, bool]], manager: LeaseManager
    ) -> None:  # fmt: skip
        """Request the leases of the hosts in `demands`, and withdraw the requests for other hosts.

        `demands`: server, its start time, whether this gateway wants quota, whether its own quota is idle.
        """
        demanded_lease_ids = set()
        for server, started_us, wants_quota, is_idle in demands:
            lease_id = manager.request_lease(now_us, lease_name(server, started_us), self)
            demanded_lease_ids.add(lease_id)
            host = self.host_by_lease.get(lease_id)
            if host is None:
                host = self.host_by_lease[lease_id] = WarmingHost(server, started_us)
            host.wants_quota = wants_quota
            host.is_idle = is_idle
        for lease_id in [lease_id for lease_id in self.host_by_lease if lease_id not in demanded_lease_ids]:
            usable = self.host_by_lease[lease_id].account.usable(now_us)
            if now_us >= usable.until_us:  # no quota is lent or granted
                del self.host_by_lease[lease_id]
                manager.withdraw_request(now_us, lease_id)

    def notify_change(self, host: WarmingHost) -> None:
        """Notify the balancer if a quota has changed."""
        account = host.account
        notice = QuotaNotice(account.lent_until_us, account.granted, account.granted_until_us)
        if notice == host.notified:
            return
        host.notified = notice
        self.notify(host.server, host.started_us, notice.lent_until_us, notice.granted, notice.granted_until_us)

    def build_report(self, now_us: int, lease_id: int, holder_process: int) -> bytes | None:
        """Return a report of whether quota is wanted, lending this gateway's own quota if it is idle."""
        host = self.host_by_lease.get(lease_id)
        if host is None:
            return None
        is_lent = self.can_lend(now_us, host, holder_process) and host.account.lend(now_us, holder_process)
        if is_lent:
            self.notify_change(host)
            self.lending_reports += 1
        return encode_report(host.wants_quota, float(is_lent))

    def can_lend(self, now_us: int, host: WarmingHost, holder_process: int) -> bool:
        """Return whether this gateway does not need its quota and the leader's process is known."""
        if holder_process == UNKNOWN_PROCESS or host.wants_quota:
            return False
        return host.is_idle or now_us < host.account.lent_until_us

    def on_report(self, now_us: int, lease_id: int, reporter: int, echoed_us: int, payload: bytes) -> bytes:
        """Return the grant for a reporter; empty if this gateway does not lead the budget."""
        budget = self.budget_by_lease.get(lease_id)
        return budget.on_report(now_us, reporter, echoed_us, payload) if budget is not None else b""

    def on_reply(self, now_us: int, lease_id: int, reported_us: int, payload: bytes) -> None:
        """Accept a grant, and notify the balancer."""
        host = self.host_by_lease.get(lease_id)
        quota = decode_grant(payload)
        if host is None or quota is None:
            return
        self.received_grants += quota > 0.0
        host.account.accept_grant(now_us, reported_us, quota)
        self.notify_change(host)

    def on_acquired(self, lease_id: int, state: bytes) -> None:  # noqa: ARG002 (nothing is handed over)
        """Lead the budget; if only the token is new, keep the known loans and grants."""
        self.budget_by_lease.setdefault(lease_id, SlowStartBudget())

    def on_ended(self, lease_id: int) -> None:
        """Stop leading the budget."""
        self.budget_by_lease.pop(lease_id, None)

    def handover_state(self, lease_id: int) -> bytes:  # noqa: ARG002 (nothing is handed over)
        """Return no state: loans, and the grants made from them, expire without it."""
        return b""

    def describe(self, now_us: int) -> list[dict[str, object]]:
        """Return the quota of each host, for operators; the keys are part of the output of `duties show --json`."""
        return [self.describe_host(now_us, lease_id, host) for lease_id, host in self.host_by_lease.items()]

    def describe_host(self, now_us: int, lease_id: int, host: WarmingHost) -> dict[str, object]:
        """Return the state of one host's quota and budget."""
        usable = host.account.usable(now_us)
        budget = self.budget_by_lease.get(lease_id)
        return {
            "host": f"{host.server:x}",
            "wants": host.wants_quota,
            "idle": host.is_idle,
            "parts": usable.quota if usable.until_us else 1.0,
            "lent_to_it": round(budget.lent_quota(now_us), 3) if budget is not None else 0.0,
            "granted_peak": budget.peak_granted if budget is not None else 0.0,
        }
