"""Sums the metrics lines in the logs of all gateways of a fleet, by second.

    python -m benchmarks.fleet_logs FOLDER [--hosts] [--from S] [--to S]

Reads the lines that cloverkeel/core/metrics.py writes from every *.log below FOLDER; that module's docstring explains
their keys. A malformed line is counted and skipped. Memory grows with the product of seconds and hosts.
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

LINE_MARKER = "tally "
GOSSIP_FIGURE_COUNT = 6


@dataclass
class FleetSecond:
    """The sums over all gateways for one second."""

    gateway_count: int = 0
    received_count: int = 0
    rejected_count: int = 0
    failed_count: int = 0
    rejections_by_reason: Counter[str] = field(default_factory=Counter)
    unserved_by_reason: Counter[str] = field(default_factory=Counter)  # connections without a complete request
    opened_connection_count: int = 0
    entry_count: int = 0  # entries of endpoint lists
    low_priority_shed_sum: float = 0.0  # of the gateways' shed ratios
    other_shed_sum: float = 0.0
    row_by_host: dict[str, list[int]] = field(default_factory=lambda: defaultdict(lambda: [0] * HOST_COLUMNS))
    gossip: list[int] = field(default_factory=list)  # in the order of docs/fleet.md; empty if gossip is off

    def add_line(self, line: dict[str, Any]) -> None:
        """Add a valid line of one gateway."""
        self.gateway_count += 1
        self.received_count += sum(line["asked"])
        self.rejected_count += sum(line["refused"])
        self.failed_count += sum(line["failed"])
        self.rejections_by_reason.update(line["why"])
        self.unserved_by_reason.update(line.get("door", {}))
        self.opened_connection_count += line["opened"]
        self.entry_count += line["lines"]
        if "sharing" in line:
            previous = self.gossip or [0] * GOSSIP_FIGURE_COUNT
            self.gossip = [earlier + later for earlier, later in zip(previous, line["sharing"], strict=True)]
        self.low_priority_shed_sum += line["shed"][0]
        self.other_shed_sum += line["shed"][1]
        for name, row in line["hosts"].items():
            summed_row = self.row_by_host[name]
            for column, figure in enumerate(row):
                summed_row[column] += figure

    @property
    def load_imbalance(self) -> float:
        """The attempts of the busiest host divided by the mean of all hosts with attempts."""
        attempt_counts = [row[0] for row in self.row_by_host.values() if row[0]]
        return max(attempt_counts) * len(attempt_counts) / sum(attempt_counts) if attempt_counts else 0.0


def validate_line(line: dict[str, Any]) -> None:
    """Raise ValueError if the line is incomplete or malformed, before any of its figures is added."""
    rows = [line["asked"], line["refused"], line["failed"], line["shed"], *line["hosts"].values()]
    rows += [list(line["why"].values()), [line["opened"], line["lines"]], list(line.get("door", {}).values())]
    rows.append(line.get("sharing", []))
    if not all(isinstance(row, list) for row in rows):
        raise ValueError("expected lists of numbers")
    figures = [figure for row in rows for figure in row]
    if any(isinstance(figure, bool) or not isinstance(figure, int | float) for figure in figures):
        raise ValueError("expected numbers")
    if len(line.get("sharing", [])) not in (0, GOSSIP_FIGURE_COUNT):
        raise ValueError("sharing: unexpected number of figures")
    if len(line["shed"]) != 2 or any(len(row) != HOST_COLUMNS for row in line["hosts"].values()):
        raise ValueError("shed or hosts: unexpected number of figures")


@dataclass
class FleetMetrics:
    """The figures of a fleet by second of Unix time."""

    figures_by_second: dict[int, FleetSecond] = field(default_factory=lambda: defaultdict(FleetSecond))
    unreadable_line_count: int = 0

    def read_lines(self, lines: Iterable[str]) -> None:
        """Add the metrics lines among these lines of a log; count those that are malformed."""
        for line in lines:
            _, marker, text = line.partition(LINE_MARKER)
            if not marker:
                continue
            try:
                figures_by_key = json.loads(text)
                validate_line(figures_by_key)
                self.figures_by_second[int(figures_by_key["ms"]) // 1000].add_line(figures_by_key)
            except (ValueError, KeyError, TypeError, AttributeError, OverflowError):
                self.unreadable_line_count += 1

    def rows(self) -> Iterator[tuple[int, FleetSecond]]:
        """Yield each second in order, as an offset from the first one, with its figures."""
        first_second = min(self.figures_by_second, default=0)
        for unix_s in sorted(self.figures_by_second):
            yield unix_s - first_second, self.figures_by_second[unix_s]


def format_table(metrics: FleetMetrics, with_hosts: bool, begin: int, end: int) -> Iterator[str]:
    """Yield the lines of a table of the seconds from `begin` to `end`, counted from the first second."""
    yield (
        "   s gw asked refused failed opened lines shed dear | hosts sent spread"
        "   ok err full t/o conn reset gone   ms  refused because"
    )
    first_offset_by_host: dict[str, int] = {}
    for offset_s, second in metrics.rows():
        totals = [sum(row[column] for row in second.row_by_host.values()) for column in range(HOST_COLUMNS)]
        for name in second.row_by_host:
            first_offset_by_host.setdefault(name, offset_s)
        if not begin <= offset_s <= end:
            continue
        used_host_count = sum(1 for row in second.row_by_host.values() if row[0])
        mean_ms = totals[8] / totals[1] / 1000 if totals[1] else 0.0
        yield (
            f"{offset_s:4} {second.gateway_count:2} {second.received_count:5} {second.rejected_count:7}"
            f" {second.failed_count:6} {second.opened_connection_count:6} {second.entry_count:5}"
            f" {second.low_priority_shed_sum / second.gateway_count:4.2f}"
            f" {second.other_shed_sum / second.gateway_count:4.2f} |"
            f" {used_host_count:5} {totals[0]:4} {second.load_imbalance:6.2f}"
            f" {totals[1]:4} {totals[2]:3} {totals[3]:4} {totals[4]:3} {totals[5]:4}"
            f" {totals[6]:5} {totals[7]:4} {mean_ms:4.0f}"
            f"  {' '.join(f'{reason} {n}' for reason, n in second.rejections_by_reason.most_common())}"
            f"{'; unserved: ' if second.unserved_by_reason else ''}"
            f"{' '.join(f'{reason} {n}' for reason, n in second.unserved_by_reason.most_common())}"
            f"""{
                f'; suspected hosts {second.gossip[0]}, unconfirmed reports {second.gossip[1]}, '
                f'{second.gossip[5]} bytes sent so far' if second.gossip else ''
            }"""
        )
        for name, row in sorted(second.row_by_host.items(), key=lambda item: -item[1][0]) if with_hosts else ():
            mean_ms = row[8] / row[1] / 1000 if row[1] else 0.0
            yield (
                f"       {name} since {first_offset_by_host[name]:3}: sent {row[0]:3} ok {row[1]:3} err {row[2]} full"
                f" {row[3]} t/o {row[4]} conn {row[5]} ms {mean_ms:5.0f}"
            )
    if metrics.unreadable_line_count:
        yield f"{metrics.unreadable_line_count} lines could not be parsed"


def main(arguments: Sequence[str]) -> int:
    """Print the table and return the exit code: 1 if there are no metrics lines."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("folder", type=Path)
    parser.add_argument("--hosts", action="store_true", help="also print each host of each second")
    parser.add_argument("--from", dest="begin", type=int, default=0, metavar="S")
    parser.add_argument("--to", dest="end", type=int, default=1 << 40, metavar="S")
    options = parser.parse_args(arguments)
    metrics = FleetMetrics()
    files = sorted(options.folder.rglob("*.log"))
    for path in files:
        with path.open(errors="replace") as file:
            metrics.read_lines(file)
    if not metrics.figures_by_second:
        print(f"{options.folder}: no metrics lines in {len(files)} logs", file=sys.stderr)
        return 1
    for line in format_table(metrics, options.hosts, options.begin, options.end):
        print(line)
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
