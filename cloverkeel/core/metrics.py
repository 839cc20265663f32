"""What this gateway did in each second, by host and class: figures that are added up over a fleet.

Pure: notified of what happened, formats a line. Bounded by the hosts that were used in that second; a second in which
nothing happened has no line. docs/fleet.md names each figure, benchmarks/fleet_logs.py reads them.

The line's keys are a stored format and keep their names; `format_line` is the one place that maps this module's names
to them: received "asked", rejected "refused", rejections by reason "why", unserved "door", leases "duties", gossip
"sharing", endpoint entries "lines".
"""

from __future__ import annotations

import json
from typing import Final

from cloverkeel.balancing.events import Outcome

METRICS_INTERVAL_US: Final = 1_000_000
MAX_HOSTS_PER_LINE: Final = 64  # the rest is counted as one: a line fits a pipe at one stroke (4 KiB)
OTHER_HOSTS: Final = -1  # the server number under which the rest is counted
ATTEMPTS_COLUMN: Final = 0
COLUMN_BY_OUTCOME: Final = {
    Outcome.OK: 1, Outcome.ERROR: 2, Outcome.FULL: 3, Outcome.TIMEOUT: 4, Outcome.CONNECT_FAILED: 5,
    Outcome.RESET: 6, Outcome.CANCELLED: 7,
}  # fmt: skip
OK_LATENCY_US_COLUMN: Final = 8
HOST_COLUMNS: Final = 9  # attempts, the seven outcomes, the summed latency of good answers


class GatewayMetrics:
    """Sums since the last line that was written."""

    def __init__(self, class_count: int) -> None:
        self.received_by_class = [0] * class_count
        self.rejected_by_class = [0] * class_count
        self.failed_by_class = [0] * class_count
        self.rejections_by_reason: dict[str, int] = {}
        self.unserved_by_reason: dict[str, int] = {}  # what never became a request, or whose connection was closed
        self.row_by_server: dict[int, list[int]] = {}
        self.leases: list[int] = []  # docs/fleet.md; empty: there are none
        self.gossip: list[int] = []  # the same
        self.received_before_reset = 0  # in the seconds that are written

    def record_unserved(self, reason: str) -> None:
        """Count a connection, or bytes of one, that was turned away or closed before it was a request."""
        self.unserved_by_reason[reason] = self.unserved_by_reason.get(reason, 0) + 1

    def record_rejection(self, class_index: int, reason: str) -> None:
        """Count a request that was rejected."""
        self.rejected_by_class[class_index] += 1
        self.rejections_by_reason[reason] = self.rejections_by_reason.get(reason, 0) + 1

    def record_attempt(self, server: int) -> None:
        """Count an attempt that was started."""
        self._row_of(server)[ATTEMPTS_COLUMN] += 1

    def record_outcome(self, server: int, outcome: Outcome, latency_us: int) -> None:
        """Count how an attempt ended; nothing for one that was never sent."""
        column = COLUMN_BY_OUTCOME.get(outcome)
        if column is None:
            return
        row = self._row_of(server)
        row[column] += 1
        if outcome is Outcome.OK:
            row[OK_LATENCY_US_COLUMN] += latency_us

    def format_line(self, at_us: int, shed_ratios: tuple[float, float], opened: int, entries: int) -> str | None:
        """Return the sums as one line of JSON; None where nothing happened.

        `opened` connections to hosts, and `entries` of endpoint lists, since the last line.
        """
        if not self._has_activity(entries):
            return None
        line: dict[str, object] = {
            "ms": at_us // 1000,
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
        if self.unserved_by_reason:
            line["door"] = self.unserved_by_reason
        if self.leases:
            line["duties"] = self.leases
        if self.gossip:
            line["sharing"] = self.gossip
        return "tally " + json.dumps(line, separators=(",", ":"))

    def reset(self) -> None:
        """Begin new sums: the last line has been written."""
        class_count = len(self.received_by_class)
        self.received_before_reset += sum(self.received_by_class)
        self.received_by_class = [0] * class_count
        self.rejected_by_class = [0] * class_count
        self.failed_by_class = [0] * class_count
        self.rejections_by_reason = {}
        self.unserved_by_reason = {}
        self.row_by_server = {}

    def _row_of(self, server: int) -> list[int]:
        """Return the sums of a host, or those of all others where a line has no more room."""
        row = self.row_by_server.get(server)
        if row is None:
            if len(self.row_by_server) >= MAX_HOSTS_PER_LINE:
                server = OTHER_HOSTS
            row = self.row_by_server.setdefault(server, [0] * HOST_COLUMNS)
        return row

    def _has_activity(self, entries: int) -> bool:
        """Tell whether anything happened that a line would show."""
        requests = any(self.received_by_class) or any(self.failed_by_class) or bool(self.rejections_by_reason)
        return requests or bool(self.unserved_by_reason) or bool(self.row_by_server) or entries > 0
