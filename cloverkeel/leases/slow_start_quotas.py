"""The wardens of cold hosts, and this gateway's own parts of their budgets: what the module needs, and is told. Pure.

Invariants:
- a part is lent only in a report that gives back a stamp of the holder's: without one nothing of it could be granted;
- the module is told of every change before anything is sent that rests on it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from cloverkeel.leases.manager import LeaseManager
from cloverkeel.leases.slow_start_budget import QuotaAccount, SlowStartBudget, read_grant, report

Tell = Callable[[int, int, int, float, int], None]  # server, its start, lent until, parts granted, until


def lease_name(server: int, started_us: int) -> str:
    return f"warden/{server}/{started_us}"


@dataclass(slots=True)
class WarmingHost:
    """One cold host that this gateway would use."""

    server: int
    started_us: int
    wants: bool = False
    idle: bool = False
    holding: QuotaAccount = field(default_factory=QuotaAccount)
    told: tuple[int, float, int] = (0, 0.0, 0)


@dataclass(slots=True)
class SlowStartBudgets:
    """`Work` of the duties `warden/...`."""

    tell: Tell
    colds: dict[int, WarmingHost] = field(default_factory=dict)  # by duty
    wardens: dict[int, SlowStartBudget] = field(default_factory=dict)  # of the duties that are held here
    lent: int = 0  # reports that lent a part
    taken: int = 0  # portions that were granted to this gateway

    def look(self, now_us: int, needs: list[tuple[int, int, bool, bool]], office: LeaseManager) -> None:
        """What the module needs now; duties follow."""
        found = set()
        for server, started_us, wants, idle in needs:
            duty = office.need(now_us, lease_name(server, started_us), self)
            found.add(duty)
            cold = self.colds.get(duty)
            if cold is None:
                cold = self.colds[duty] = WarmingHost(server, started_us)
            cold.wants, cold.idle = wants, idle
        for duty in [duty for duty in self.colds if duty not in found]:
            if now_us >= self.colds[duty].holding.share(now_us)[1]:  # nothing of it is out
                del self.colds[duty]
                office.drop(now_us, duty)

    def pass_on(self, cold: WarmingHost) -> None:
        holding = cold.holding
        if (now := (holding.lent_until_us, holding.granted, holding.granted_until_us)) != cold.told:
            cold.told = now
            self.tell(cold.server, cold.started_us, *now)

    def report(self, now_us: int, duty: int, to: int) -> bytes | None:
        cold = self.colds.get(duty)
        if cold is None:
            return None
        is_lent = now_us < cold.holding.lent_until_us
        lends = to >= 0 and (cold.idle or is_lent) and not cold.wants and cold.holding.lend(now_us, to)
        if lends:
            self.pass_on(cold)
            self.lent += 1
        return report(cold.wants, float(lends))

    def on_report(self, now_us: int, duty: int, number: int, echo_us: int, payload: bytes) -> bytes:
        warden = self.wardens.get(duty)
        return warden.on_report(now_us, number, echo_us, payload) if warden is not None else b""

    def on_act(self, now_us: int, duty: int, asked_us: int, payload: bytes) -> None:
        cold, share = self.colds.get(duty), read_grant(payload)
        if cold is None or share is None:
            return
        self.taken += share > 0.0
        cold.holding.take(now_us, asked_us, share)
        self.pass_on(cold)

    def began(self, duty: int, state: bytes) -> None:
        """Also when it goes on with a newer epoch: then what is lent and out is known."""
        self.wardens.setdefault(duty, SlowStartBudget())

    def ended(self, duty: int) -> None:
        self.wardens.pop(duty, None)

    def state(self, duty: int) -> bytes:
        """Nothing: what was granted was granted from what was lent, and both end by themselves."""
        return b""

    def shown(self, now_us: int) -> list[dict[str, object]]:
        """For staff: parts by host."""
        return [
            {
                "host": f"{cold.server:x}", "wants": cold.wants, "idle": cold.idle,
                "parts": cold.holding.share(now_us)[0] if cold.holding.share(now_us)[1] else 1.0,
                "lent_to_it": round(sum(s for s, until_us in warden.lent.values() if until_us > now_us), 3)
                if (warden := self.wardens.get(duty)) is not None else 0.0,
                "granted_peak": warden.peak if warden is not None else 0.0,
            }
            for duty, cold in self.colds.items()
        ]  # fmt: skip
