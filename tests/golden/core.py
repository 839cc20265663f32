"""Samples of the metrics line that cloverkeel.core writes each second."""

from __future__ import annotations

import contextlib
import io
from typing import Final

from benchmarks.fleet_logs import FleetMetrics, FleetSecond
from cloverkeel.balancing.events import Outcome
from cloverkeel.core.log import try_log
from cloverkeel.core.metrics import COLUMN_BY_OUTCOME, MAX_HOSTS_PER_LINE, GatewayMetrics
from tests.golden.store import Sample, SamplesByName

AT_US: Final = 1_796_119_613_761_000
SHED: Final = (0.126, 0.5)
SERVER: Final = 0x5BE2A07C


def _metrics() -> GatewayMetrics:
    """Return counters of a second, with a different value in each."""
    metrics = GatewayMetrics(3)
    metrics.received_by_class[:] = [31, 32, 33]
    metrics.record_rejection(0, "shed")
    metrics.record_rejection(2, "no server")
    metrics.record_rejection(2, "no server")
    metrics.failed_by_class[1] = 4
    for count, outcome in enumerate(COLUMN_BY_OUTCOME, 1):
        for _ in range(count):
            metrics.record_attempt(SERVER)
            metrics.record_outcome(SERVER, outcome, 20_000 + count)
    metrics.record_outcome(SERVER, Outcome.MOOT, 1)
    metrics.record_attempt(7)
    return metrics


def _full_metrics() -> GatewayMetrics:
    metrics = _metrics()
    metrics.record_unserved("full")
    metrics.record_unserved("400 expected a name")
    metrics.leases = [1, 2, 3, 4, 5, 6]
    metrics.gossip = [7, 8, 9, 10, 11, 12]
    return metrics


def _crowded_metrics() -> GatewayMetrics:
    """Return counters of more hosts than fit into one line."""
    metrics = GatewayMetrics(1)
    for server in range(MAX_HOSTS_PER_LINE + 3):
        metrics.record_attempt(server)
    return metrics


def _logged(metrics: GatewayMetrics) -> bytes:
    """Return the line as written to standard error."""
    line = metrics.format_line(AT_US, SHED, 5, 6)
    assert line is not None
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        assert try_log(line)
    return errors.getvalue().encode()


def _read(data: bytes) -> dict[int, FleetSecond]:
    """Parse a line as the command that sums the logs of a fleet does."""
    fleet_metrics = FleetMetrics()
    fleet_metrics.read_lines([data.decode()])
    assert not fleet_metrics.unreadable_line_count
    return dict(fleet_metrics.figures_by_second)


def _second(metrics: GatewayMetrics) -> dict[int, FleetSecond]:
    second = FleetSecond()
    second.add_line({
        "asked": metrics.received_by_class, "refused": metrics.rejected_by_class,
        "why": metrics.rejections_by_reason, "failed": metrics.failed_by_class,
        "shed": [0.13, 0.5], "opened": 5, "lines": 6, "door": metrics.unserved_by_reason,
        "hosts": {"others" if server < 0 else f"{server:08x}": row for server, row in metrics.row_by_server.items()},
    } | ({"sharing": metrics.gossip} if metrics.gossip else {}))  # fmt: skip
    return {AT_US // 1_000_000: second}


def _line(metrics: GatewayMetrics) -> Sample:
    return Sample(lambda: _logged(metrics), _read, _second(metrics))


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "core_metrics": {
        "plain": _line(_metrics()),
        "with_door_duties_and_sharing": _line(_full_metrics()),
        "more_hosts_than_a_line_names": _line(_crowded_metrics()),
    },
}
