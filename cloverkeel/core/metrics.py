"""What this gateway did in each second, by host and class: figures that are added up over a fleet.

Pure: told what happened, gives a line. Bounded by the hosts that were used in that second; a second in which
nothing happened has no line. docs/fleet.md names each figure, benchmarks/fleet_logs.py reads them.
"""

from __future__ import annotations

import json
from typing import Final

from cloverkeel.balancing.events import Outcome

EVERY_US: Final = 1_000_000
MOST_HOSTS: Final = 64  # in one line, the rest is counted as one: a line fits a pipe at one stroke (4 KiB)
OTHERS: Final = -1
ENDS: Final = {
    Outcome.OK: 1, Outcome.ERROR: 2, Outcome.FULL: 3, Outcome.TIMEOUT: 4, Outcome.CONNECT_FAILED: 5,
    Outcome.RESET: 6, Outcome.CANCELLED: 7,
}  # fmt: skip
FIGURES: Final = 9  # of a host: sent, the seven ends, µs of its good answers


class Tally:
    """Sums since the last line."""

    def __init__(self, classes: int) -> None:
        self.asked = [0] * classes
        self.refused = [0] * classes
        self.failed = [0] * classes
        self.why: dict[str, int] = {}  # refusals by reason
        self.door: dict[str, int] = {}  # what never became a request, or whose connection was given up, by reason
        self.hosts: dict[int, list[int]] = {}
        self.duties: list[int] = []  # docs/fleet.md; empty: there are none
        self.sharing: list[int] = []  # the same
        self.asked_before = 0  # in the seconds that are written

    def at_the_door(self, why: str) -> None:
        self.door[why] = self.door.get(why, 0) + 1

    def of(self, server: int) -> list[int]:
        figures = self.hosts.get(server)
        if figures is None:
            if len(self.hosts) >= MOST_HOSTS:
                server = OTHERS
            figures = self.hosts.setdefault(server, [0] * FIGURES)
        return figures

    def refuse(self, klass: int, why: str) -> None:
        self.refused[klass] += 1
        self.why[why] = self.why.get(why, 0) + 1

    def sent(self, server: int) -> None:
        self.of(server)[0] += 1

    def ended(self, server: int, outcome: Outcome, latency_us: int) -> None:
        place = ENDS.get(outcome)
        if place is None:
            return  # never sent
        figures = self.of(server)
        figures[place] += 1
        if outcome is Outcome.OK:
            figures[8] += latency_us

    def line(self, at_us: int, shed: tuple[float, float], opened: int, entries: int) -> str | None:
        """The sums as one line of JSON; None where nothing happened."""
        if not (any(self.asked) or any(self.failed) or self.why or self.door or self.hosts or entries):
            return None
        hosts = {"others" if server == OTHERS else f"{server:08x}": figures for server, figures in self.hosts.items()}
        said: dict[str, object] = {
            "ms": at_us // 1000, "shed": [round(share, 2) for share in shed], "asked": self.asked,
            "refused": self.refused, "why": self.why, "failed": self.failed, "opened": opened, "lines": entries,
            "hosts": hosts,
        }  # fmt: skip
        if self.door:
            said["door"] = self.door
        if self.duties:
            said["duties"] = self.duties
        if self.sharing:
            said["sharing"] = self.sharing
        return "tally " + json.dumps(said, separators=(",", ":"))

    def begin_anew(self) -> None:
        """What was said has been written."""
        classes = len(self.asked)
        self.asked_before += sum(self.asked)
        self.asked, self.refused, self.failed = [0] * classes, [0] * classes, [0] * classes
        self.why, self.door, self.hosts = {}, {}, {}
