"""The triers of hosts that are out: one gateway of a zone tries, the others wait for its word. Pure: time comes in.

Invariants:
- to hold back is a restriction, and ends by itself HOLD_US after the report that was answered, by one's own clock;
- word that a host is well counts only with the newest epoch (the office sees to that), and brings a trial of one's
  own, no verdict;
- a holder that does not try says so, and holds nobody back.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from cloverkeel.leases.manager import REPORT_INTERVAL_US, LeaseManager

SUSPEND_US: Final = 3 * REPORT_INTERVAL_US  # two answers may be lost
RECOVERED_NOTICE_US: Final = 3_000_000  # for so long a holder tells that a host is well, after its breaker closed
PROBING, RECOVERED, IDLE = b"\x01", b"\x02", b"\x03"  # what a holder answers
PROBE_REPORT: Final = b"\x01"

Hold = Callable[[int, int], None]  # server, and until when; 0: it is well


def lease_name(zone: int, server: int) -> str:
    return f"trier/{zone}/{server}"


@dataclass(slots=True)
class OpenCircuit:
    """One host whose breaker is not closed here, or was a moment ago."""

    server: int
    tried: bool = True
    closed_us: int = 0  # when its breaker was seen closed; 0: it is not
    told_well_us: int = 0


@dataclass(slots=True)
class ProbeElection:
    """`Work` of the duties `trier/...`."""

    zone: int
    hold: Hold
    outs: dict[int, OpenCircuit] = field(default_factory=dict)  # by duty
    held: set[int] = field(default_factory=set)  # duties that are held here
    held_back: int = 0  # answers that held trials back
    well: int = 0  # words that a host is well

    def look(self, now_us: int, outs: list[tuple[int, bool]], office: LeaseManager) -> None:
        """What the module says is out; duties follow."""
        found = set()
        for server, tried in outs:
            duty = office.need(now_us, lease_name(self.zone, server), self)
            found.add(duty)
            out = self.outs.setdefault(duty, OpenCircuit(server))
            out.tried, out.closed_us = tried, 0
        for duty, out in list(self.outs.items()):
            if duty in found:
                continue
            out.closed_us = out.closed_us or now_us
            if duty not in self.held or now_us - out.closed_us > RECOVERED_NOTICE_US:
                del self.outs[duty]
                office.drop(now_us, duty)

    def report(self, now_us: int, duty: int, to: int) -> bytes | None:
        out = self.outs.get(duty)
        return PROBE_REPORT if out is not None and not out.closed_us else None

    def on_report(self, now_us: int, duty: int, number: int, echo_us: int, payload: bytes) -> bytes:
        out = self.outs.get(duty)
        if out is None:
            return IDLE
        if out.closed_us:
            return RECOVERED
        return PROBING if out.tried else IDLE

    def on_act(self, now_us: int, duty: int, asked_us: int, payload: bytes) -> None:
        out = self.outs.get(duty)
        if out is None or out.closed_us or duty in self.held:
            return
        if payload == PROBING and asked_us + SUSPEND_US > now_us:
            self.held_back += 1
            self.hold(out.server, asked_us + SUSPEND_US)
        elif payload in (RECOVERED, IDLE):
            self.well += payload == RECOVERED
            # Once for each time that it is said to be well: a trial that fails here stays a verdict of one's own.
            if payload == RECOVERED and now_us - out.told_well_us > RECOVERED_NOTICE_US:
                out.told_well_us = now_us
                self.hold(out.server, 0)
            elif payload == IDLE:
                self.hold(out.server, 1)

    def began(self, duty: int, state: bytes) -> None:
        """Whoever held it tried for this gateway until now: from now on it tries itself."""
        self.held.add(duty)
        out = self.outs.get(duty)
        if out is not None:
            self.hold(out.server, 1)

    def ended(self, duty: int) -> None:
        self.held.discard(duty)

    def state(self, duty: int) -> bytes:
        return b""

    def shown(self, now_us: int) -> list[dict[str, object]]:
        """For staff: hosts that are out here."""
        return [
            {"host": f"{out.server:x}", "tried_here": duty in self.held and out.tried, "well": out.closed_us > 0}
            for duty, out in self.outs.items()
        ]
