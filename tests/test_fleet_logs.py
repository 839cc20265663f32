"""The tallies of a gateway's log, and the tool that adds them up over a fleet."""

from __future__ import annotations

import asyncio
import contextlib
import os
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.fleet_logs import Count, main
from cloverkeel.balancing.events import Outcome
from cloverkeel.core.metrics import MAX_HOSTS_PER_LINE, OTHER_HOSTS, GatewayMetrics
from standins.parties.fleet import ROOT
from tests.sockets import configuration, never_respond, on_loop, request, scripted_server
from tests.cli.process import ask, program

AT_US = 1_700_000_000_000_000


def tally(sent: int, ok: int, refused: int = 0) -> str:
    tally = GatewayMetrics(2)
    for _ in range(sent):
        tally.received_by_class[0] += 1
        tally.record_attempt(7)
    for _ in range(ok):
        tally.record_outcome(7, Outcome.OK, 20_000)
    for _ in range(refused):
        tally.received_by_class[1] += 1
        tally.record_rejection(1, "shed")
    line = tally.format_line(AT_US, (0.25, 0.5), opened=2, entries=3)
    assert line is not None
    return f"0.100 cloverkeel: {line}\n"


def test_a_second_without_events_has_no_line() -> None:
    empty = GatewayMetrics(2)
    assert empty.format_line(AT_US, (0.0, 0.0), 0, 0) is None
    empty.record_attempt(1)
    first = empty.format_line(AT_US, (0.0, 0.0), 0, 0)
    empty.record_attempt(1)
    later = empty.format_line(AT_US, (0.0, 0.0), 0, 0)
    assert first is not None and later is not None
    assert "[1,0" in first and "[2,0" in later  # what was not written goes on
    empty.reset()
    assert empty.format_line(AT_US, (0.0, 0.0), 0, 0) is None
    empty.record_rejection(0, "shed")
    assert empty.format_line(AT_US, (0.0, 0.0), 0, 0) is not None


def test_a_line_is_bounded_however_many_hosts_there_are() -> None:
    many = GatewayMetrics(1)
    for server in range(3 * MAX_HOSTS_PER_LINE):
        many.record_attempt(0xFFFF0000 + server)
        for _ in range(20):
            many.record_outcome(0xFFFF0000 + server, Outcome.OK, 900_000)
    assert len(many.row_by_server) == MAX_HOSTS_PER_LINE + 1
    assert many.row_by_server[OTHER_HOSTS][0] == 2 * MAX_HOSTS_PER_LINE
    line = many.format_line(AT_US, (0.0, 0.0), 0, 0)
    assert line is not None and len(line) < 4000


def test_an_attempt_that_was_never_sent_is_no_outcome() -> None:
    moot = GatewayMetrics(1)
    moot.record_outcome(1, Outcome.MOOT, 0)
    assert not moot.row_by_server


def test_two_gateways_are_added_up_and_what_is_broken_is_counted() -> None:
    count = Count()
    broken = [f"cloverkeel: tally {text}" for text in ("{broken", "{}", "[]", '{"ms":1}')]
    whole = tally(1, 1)
    for part, other in (
        ('"opened":2', '"opened":"2"'), ('"asked":[1,0]', '"asked":{}'), ('"hosts":{', '"hosts":[{'),
        ("[1,1,0,0,0,0,0,0,20000]", "[1,1]"), ('"shed":[0.25,0.5]', '"shed":[0.25]'), ('"why":{}', '"why":[]'),
    ):  # fmt: skip
        assert part in whole
        broken.append(whole.replace(part, other))
    count.read([tally(4, 3), tally(2, 2, refused=5), *broken, "another line"])
    ((at, second),) = count.rows()
    assert (at, second.gateways, second.asked, second.refused, second.opened, second.lines) == (0, 2, 11, 5, 4, 6)
    assert second.hosts["00000007"][:2] == [6, 5] and second.why["shed"] == 5 and second.spread == 1.0
    assert count.unread == len(broken)


def test_the_tool_tells_a_folder_without_tallies(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([str(tmp_path)]) == 1
    assert "no tallies in 0 logs" in capsys.readouterr().err
    (tmp_path / "n0.log").write_text(tally(4, 3))
    assert main([str(tmp_path), "--hosts"]) == 0
    assert "00000007" in capsys.readouterr().out


@on_loop
async def test_the_real_program_writes_what_the_tool_reads(tmp_path: Path) -> None:
    async with (
        scripted_server() as host,
        scripted_server(never_respond) as registry,
        program(tmp_path, configuration(host, discovery=registry.address)) as (process, port),
    ):
        assert await ask(port, request("transfer")) == 200
        count = Count()
        assert process.stderr is not None
        while not any(second.hosts for second in count.seconds.values()):
            line = await asyncio.wait_for(process.stderr.readline(), 5.0)
            count.read([line.decode()])
    assert sum(second.asked for second in count.seconds.values()) == 1
    assert sum(figures[0] for second in count.seconds.values() for figures in second.hosts.values()) == 1


@pytest.mark.parametrize("dead", [True, False])
@on_loop
async def test_a_log_that_nobody_reads_stops_nothing(tmp_path: Path, dead: bool) -> None:
    """The first tally that could not be written ended the beat, and a request with it; a full pipe stopped it all."""
    reader, writer = os.pipe()
    try:
        async with (
            scripted_server() as host,
            scripted_server(never_respond) as registry,
            program(tmp_path, configuration(host, discovery=registry.address), stderr=writer) as (_, port),
        ):
            if dead:
                os.close(reader)
            else:
                fill(writer)
            for _ in range(24):  # two lines fall due at the least
                assert await asyncio.wait_for(ask(port, request("transfer")), 3.0) == 200
                await asyncio.sleep(0.1)
    finally:
        os.close(writer)
        if not dead:
            os.close(reader)


def test_an_ordinary_line_does_not_wait_for_a_log_that_nobody_reads() -> None:
    """The list could not be read, that was to be said, and the program stood still for good."""
    reader, writer = os.pipe()
    fill(writer)
    said = "import cloverkeel.core.log as log; log.log('x' * 100)"
    try:
        subprocess.run([sys.executable, "-c", said], cwd=ROOT, stderr=writer, timeout=20, check=True)
    finally:
        os.close(reader)
        os.close(writer)


def fill(pipe: int) -> None:
    """Until it takes nothing more; both ends share the mode, so it blocks again afterwards."""
    os.set_blocking(pipe, False)
    for size in (4096, 1):
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(pipe, b"x" * size)
    os.set_blocking(pipe, True)
