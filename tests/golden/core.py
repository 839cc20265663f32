"""Samples of what cloverkeel.core writes: the metrics line of each second."""

from __future__ import annotations

import contextlib
import io
from typing import Final

from benchmarks.fleet_logs import Count, Second
from cloverkeel.balancing.events import Outcome
from cloverkeel.core.log import log_if_read
from cloverkeel.core.metrics import ENDS, MOST_HOSTS, Tally
from tests.golden.store import Sample, SamplesByName

AT_US: Final = 1_796_119_613_761_000
SHED: Final = (0.126, 0.5)
SERVER: Final = 0x5BE2A07C


def _metrics() -> Tally:
    """Return sums of a second in which every figure is another one."""
    metrics = Tally(3)
    metrics.asked[:] = [31, 32, 33]
    metrics.refuse(0, "shed")
    metrics.refuse(2, "no server")
    metrics.refuse(2, "no server")
    metrics.failed[1] = 4
    for count, outcome in enumerate(ENDS, 1):
        for _ in range(count):
            metrics.sent(SERVER)
            metrics.ended(SERVER, outcome, 20_000 + count)
    metrics.ended(SERVER, Outcome.MOOT, 1)
    metrics.sent(7)
    return metrics


def _full_metrics() -> Tally:
    metrics = _metrics()
    metrics.at_the_door("full")
    metrics.at_the_door("400 expected a name")
    metrics.duties = [1, 2, 3, 4, 5, 6]
    metrics.sharing = [7, 8, 9, 10, 11, 12]
    return metrics


def _crowded_metrics() -> Tally:
    """Return sums of more hosts than one line names."""
    metrics = Tally(1)
    for server in range(MOST_HOSTS + 3):
        metrics.sent(server)
    return metrics


def _logged(metrics: Tally) -> bytes:
    """Return the line as it leaves the process on standard error."""
    line = metrics.line(AT_US, SHED, 5, 6)
    assert line is not None
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        assert log_if_read(line)
    return errors.getvalue().encode()


def _read(data: bytes) -> dict[int, Second]:
    """Read a line as the command that adds up the logs of a fleet does."""
    count = Count()
    count.read([data.decode()])
    assert not count.unread
    return dict(count.seconds)


def _second(metrics: Tally) -> dict[int, Second]:
    second = Second()
    second.add({
        "asked": metrics.asked, "refused": metrics.refused, "why": metrics.why, "failed": metrics.failed,
        "shed": [0.13, 0.5], "opened": 5, "lines": 6, "door": metrics.door,
        "hosts": {"others" if server < 0 else f"{server:08x}": row for server, row in metrics.hosts.items()},
    } | ({"sharing": metrics.sharing} if metrics.sharing else {}))  # fmt: skip
    return {AT_US // 1_000_000: second}


def _line(metrics: Tally) -> Sample:
    return Sample(lambda: _logged(metrics), _read, _second(metrics))


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "core_metrics": {
        "plain": _line(_metrics()),
        "with_door_duties_and_sharing": _line(_full_metrics()),
        "more_hosts_than_a_line_names": _line(_crowded_metrics()),
    },
}
