"""Metrics of one gateway per second, by host and request class, which can be summed over a fleet.

Pure: counts what it is notified of, and formats a line. Memory is bounded by MAX_HOSTS_PER_LINE; a second without
activity has no line. docs/fleet.md describes each figure, benchmarks/fleet_logs.py reads them.

The keys of the line are a stored format and must not change; only `format_line` maps this module's names to them:
received "asked", rejected "refused", rejections by reason "why", unserved "door", leases "duties", gossip "sharing",
endpoint entries "lines", events "events", resources "held", the event loop "loop".
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Final

from cloverkeel.balancing.events import Outcome

METRICS_INTERVAL_US: Final = 1_000_000
US_PER_MS: Final = 1000
# Further hosts share one row, so that a line fits into a single atomic write to a pipe (PIPE_BUF, 4 KiB).
MAX_HOSTS_PER_LINE: Final = 64
OTHER_HOSTS: Final = -1  # server number of the row that further hosts share
ATTEMPTS_COLUMN: Final = 0
COLUMN_BY_OUTCOME: Final = {
    Outcome.OK: 1, Outcome.ERROR: 2, Outcome.FULL: 3, Outcome.TIMEOUT: 4, Outcome.CONNECT_FAILED: 5,
    Outcome.RESET: 6, Outcome.CANCELLED: 7,
}  # fmt: skip
OK_LATENCY_US_COLUMN: Final = 8
HOST_COLUMNS: Final = 9  # attempts, the seven outcomes, the total latency of successful attempts


class GatewayMetrics:
    """Counters since the last line that was written."""

    def __init__(self, class_count: int) -> None:
        self.received_by_class = [0] * class_count
        self.rejected_by_class = [0] * class_count
        self.failed_by_class = [0] * class_count
        self.rejections_by_reason: dict[str, int] = {}
        self.unserved_by_reason: dict[str, int] = {}  # refused or closed connections; the frontend's error responses
        self.events_by_name: dict[str, int] = {}  # decisions about requests and connections that have no other figure
        self.row_by_server: dict[int, list[int]] = {}
        self.leases: list[int] = []  # figures in the order of docs/fleet.md; empty if leases are off
        self.gossip: list[int] = []  # figures in the order of docs/fleet.md; empty if gossip is off
        self.heartbeat_due_us = 0  # when the next heartbeat is due; 0 before the first
        self.max_loop_delay_us = 0  # longest delay of a heartbeat
        self.received_before_reset = 0  # requests in the lines written so far

    def record_unserved(self, reason: str) -> None:
        """Count a connection that the frontend refused or closed, or a request that it answered with an error."""
        self.unserved_by_reason[reason] = self.unserved_by_reason.get(reason, 0) + 1

    def record_event(self, name: str) -> None:
        """Count an event; docs/fleet.md lists the names."""
        self.events_by_name[name] = self.events_by_name.get(name, 0) + 1

    def record_rejection(self, class_index: int, reason: str) -> None:
        """Count a rejected request."""
        self.rejected_by_class[class_index] += 1
        self.rejections_by_reason[reason] = self.rejections_by_reason.get(reason, 0) + 1

    def record_heartbeat(self, at_us: int, interval_us: int) -> None:
        """Record by how much a heartbeat is late."""
        if self.heartbeat_due_us:
            self.max_loop_delay_us = max(self.max_loop_delay_us, at_us - self.heartbeat_due_us)
        self.heartbeat_due_us = at_us + interval_us

    def record_attempt(self, server: int) -> None:
        """Count a started attempt."""
        self._row_of(server)[ATTEMPTS_COLUMN] += 1

    def record_outcome(self, server: int, outcome: Outcome, latency_us: int) -> None:
        """Count the outcome of an attempt; one that was never sent is not counted."""
        column = COLUMN_BY_OUTCOME.get(outcome)
        if column is None:
            return
        row = self._row_of(server)
        row[column] += 1
        if outcome is Outcome.OK:
            row[OK_LATENCY_US_COLUMN] += latency_us

    def format_line(
        self,
        at_us: int,
        shed_ratios: tuple[float, float],
        opened: int,
        entries: int,
        resources: Sequence[int] = (),
        input_figures: Sequence[int] = (),
    ) -> str | None:
        """Return the counters as one line of JSON; None if there was no activity.

        `opened`: connections opened to hosts since the last line. `entries`: endpoint list entries received since.
        `resources`: what the process holds now, in the order of docs/fleet.md; empty if unknown.
        `input_figures`: since the last line, time spent on input in µs, postponed reads, longest wait of one in ms.
        """
        if not self._has_activity(entries):
            return None
        line: dict[str, object] = {
            "ms": at_us // US_PER_MS,
            "shed": [round(ratio, 2) for ratio in shed_ratios],
            "asked": self.received_by_class,
            "refused": self.rejected_by_class,
            "why": self.rejections_by_reason,
            "failed": self.failed_by_class,
            "opened": opened,
            "lines": entries,
            "hosts": {
                "others" if server == OTHER_HOSTS else f"{server:08x}": row
                for server, row in self.row_by_server.items()
            },
        }
        self._add_optional_figures(line)
        if resources:
            line["held"] = list(resources)
            line["loop"] = [self.max_loop_delay_us // US_PER_MS, *input_figures]
        return "tally " + json.dumps(line, separators=(",", ":"))

    def _add_optional_figures(self, line: dict[str, object]) -> None:
        """Add the figures that are left out if there are none."""
        if self.unserved_by_reason:
            line["door"] = self.unserved_by_reason
        if self.events_by_name:
            line["events"] = self.events_by_name
        if self.leases:
            line["duties"] = self.leases
        if self.gossip:
            line["sharing"] = self.gossip

    def reset(self) -> None:
        """Reset the counters after a line was written."""
        class_count = len(self.received_by_class)
        self.received_before_reset += sum(self.received_by_class)
        self.received_by_class = [0] * class_count
        self.rejected_by_class = [0] * class_count
        self.failed_by_class = [0] * class_count
        self.rejections_by_reason = {}
        self.unserved_by_reason = {}
        self.events_by_name = {}
        self.row_by_server = {}
        self.max_loop_delay_us = 0

    def _row_of(self, server: int) -> list[int]:
        """Return the row of a host, or the shared row if the line already has MAX_HOSTS_PER_LINE hosts."""
        row = self.row_by_server.get(server)
        if row is None:
            if len(self.row_by_server) >= MAX_HOSTS_PER_LINE:
                server = OTHER_HOSTS
            row = self.row_by_server.setdefault(server, [0] * HOST_COLUMNS)
        return row

    def _has_activity(self, entries: int) -> bool:
        """Return whether there is anything to report."""
        requests = any(self.received_by_class) or any(self.failed_by_class) or bool(self.rejections_by_reason)
        connections = bool(self.unserved_by_reason) or bool(self.events_by_name)
        return requests or connections or bool(self.row_by_server) or entries > 0
