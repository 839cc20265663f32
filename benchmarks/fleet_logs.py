"""Counts over a fleet: the tallies of all its gateways' logs, added up by second.

    python -m benchmarks.fleet_logs FOLDER [--hosts] [--from S] [--to S]

Reads the lines that cloverkeel/core/metrics.py writes, from every *.log below FOLDER. A line that can't be read is
counted and passed over. Memory grows with seconds times hosts.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cloverkeel.core.metrics import HOST_COLUMNS

MARK = "tally "
SHARING_FIGURES = 6


@dataclass
class Second:
    """One second of the whole fleet."""

    gateways: int = 0
    asked: int = 0
    refused: int = 0
    failed: int = 0
    why: Counter[str] = field(default_factory=Counter)  # refusals by reason
    door: Counter[str] = field(default_factory=Counter)  # the same for what never became a request
    opened: int = 0
    lines: int = 0
    shed: float = 0.0  # sums over the gateways
    shed_dear: float = 0.0
    hosts: dict[str, list[int]] = field(default_factory=lambda: defaultdict(lambda: [0] * HOST_COLUMNS))
    sharing: list[int] = field(default_factory=list)  # docs/fleet.md; empty: nothing is shared

    def add(self, said: dict[str, Any]) -> None:
        self.gateways += 1
        self.asked += sum(said["asked"])
        self.refused += sum(said["refused"])
        self.failed += sum(said["failed"])
        self.why.update(said["why"])
        self.door.update(said.get("door", {}))
        self.opened += said["opened"]
        self.lines += said["lines"]
        if "sharing" in said:
            before = self.sharing or [0] * SHARING_FIGURES
            self.sharing = [one + other for one, other in zip(before, said["sharing"], strict=True)]
        self.shed += said["shed"][0]
        self.shed_dear += said["shed"][1]
        for name, figures in said["hosts"].items():
            host = self.hosts[name]
            for place, figure in enumerate(figures):
                host[place] += figure

    @property
    def spread(self) -> float:
        """Sends to the host that got most, over the mean of those that got any."""
        sends = [figures[0] for figures in self.hosts.values() if figures[0]]
        return max(sends) * len(sends) / sum(sends) if sends else 0.0


def check(said: dict[str, Any]) -> None:
    """ValueError for what is not whole: nothing of it is added."""
    rows = [said["asked"], said["refused"], said["failed"], said["shed"], *said["hosts"].values()]
    rows += [list(said["why"].values()), [said["opened"], said["lines"]], list(said.get("door", {}).values())]
    rows.append(said.get("sharing", []))
    if not all(isinstance(row, list) for row in rows):
        raise ValueError("not a row of figures")
    figures = [figure for row in rows for figure in row]
    if any(isinstance(figure, bool) or not isinstance(figure, int | float) for figure in figures):
        raise ValueError("not a number")
    if len(said.get("sharing", [])) not in (0, SHARING_FIGURES):
        raise ValueError("too many figures of what is shared, or too few")
    if len(said["shed"]) != 2 or any(len(row) != HOST_COLUMNS for row in said["hosts"].values()):
        raise ValueError("too many figures, or too few")


@dataclass
class Count:
    seconds: dict[int, Second] = field(default_factory=lambda: defaultdict(Second))
    unread: int = 0

    def read(self, lines: Iterable[str]) -> None:
        for line in lines:
            _, mark, text = line.partition(MARK)
            if not mark:
                continue
            try:
                said = json.loads(text)
                check(said)
                self.seconds[int(said["ms"]) // 1000].add(said)
            except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
                self.unread += 1

    def rows(self) -> Iterator[tuple[int, Second]]:
        begin = min(self.seconds, default=0)
        for second in sorted(self.seconds):
            yield second - begin, self.seconds[second]


def table(count: Count, hosts: bool, begin: int, end: int) -> Iterator[str]:
    yield (
        "   s gw asked refused failed opened lines shed dear | hosts sent spread"
        "   ok err full t/o conn reset gone   ms  refused because"
    )
    first: dict[str, int] = {}
    for at, s in count.rows():
        sums = [sum(figures[place] for figures in s.hosts.values()) for place in range(HOST_COLUMNS)]
        for name in s.hosts:
            first.setdefault(name, at)
        if not begin <= at <= end:
            continue
        used = sum(1 for figures in s.hosts.values() if figures[0])
        mean_ms = sums[8] / sums[1] / 1000 if sums[1] else 0.0
        yield (
            f"{at:4} {s.gateways:2} {s.asked:5} {s.refused:7} {s.failed:6} {s.opened:6} {s.lines:5}"
            f" {s.shed / s.gateways:4.2f} {s.shed_dear / s.gateways:4.2f} | {used:5} {sums[0]:4} {s.spread:6.2f}"
            f" {sums[1]:4} {sums[2]:3} {sums[3]:4} {sums[4]:3} {sums[5]:4} {sums[6]:5} {sums[7]:4} {mean_ms:4.0f}"
            f"  {' '.join(f'{why} {n}' for why, n in s.why.most_common())}"
            f"{'; at the door: ' if s.door else ''}{' '.join(f'{why} {n}' for why, n in s.door.most_common())}"
            f"{f'; in doubt {s.sharing[0]}, told {s.sharing[1]}, {s.sharing[5]} bytes so far' if s.sharing else ''}"
        )
        for name, figures in sorted(s.hosts.items(), key=lambda item: -item[1][0]) if hosts else ():
            mean_ms = figures[8] / figures[1] / 1000 if figures[1] else 0.0
            yield (
                f"       {name} since {first[name]:3}: sent {figures[0]:3} ok {figures[1]:3} err {figures[2]} full"
                f" {figures[3]} t/o {figures[4]} conn {figures[5]} ms {mean_ms:5.0f}"
            )
    if count.unread:
        yield f"{count.unread} lines could not be read"


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--hosts", action="store_true", help="each host of each second too")
    parser.add_argument("--from", dest="begin", type=int, default=0, metavar="S")
    parser.add_argument("--to", dest="end", type=int, default=1 << 40, metavar="S")
    options = parser.parse_args(arguments)
    count = Count()
    files = sorted(options.folder.rglob("*.log"))
    for path in files:
        with path.open(errors="replace") as file:
            count.read(file)
    if not count.seconds:
        print(f"{options.folder}: no tallies in {len(files)} logs", file=sys.stderr)
        return 1
    for line in table(count, options.hosts, options.begin, options.end):
        print(line)
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
