"""The tallies of a gateway's log, and the tool that adds them up over a fleet."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from benchmarks.fleet_logs import Count, main
from caperdrift.interface import Outcome
from cloverkeel.core.tally import MOST_HOSTS, OTHERS, Tally
from tests.sockets import configuration, on_loop, peer, request, silent
from tests.test_gateway_process import ask, program

AT_US = 1_700_000_000_000_000


def tally(sent: int, ok: int, refused: int = 0) -> str:
    tally = Tally(2)
    for _ in range(sent):
        tally.asked[0] += 1
        tally.sent(7)
    for _ in range(ok):
        tally.ended(7, Outcome.OK, 20_000)
    for _ in range(refused):
        tally.asked[1] += 1
        tally.refuse(1, "shed")
    line = tally.line(AT_US, (0.25, 0.5), opened=2, entries=3)
    assert line is not None
    return f"0.100 cloverkeel: {line}\n"


def test_a_second_without_events_has_no_line() -> None:
    empty = Tally(2)
    assert empty.line(AT_US, (0.0, 0.0), 0, 0) is None
    empty.sent(1)
    assert empty.line(AT_US, (0.0, 0.0), 0, 0) is not None
    assert empty.line(AT_US, (0.0, 0.0), 0, 0) is None  # begun anew


def test_a_line_is_bounded_however_many_hosts_there_are() -> None:
    many = Tally(1)
    for server in range(3 * MOST_HOSTS):
        many.sent(server)
    assert len(many.hosts) == MOST_HOSTS + 1
    assert many.hosts[OTHERS][0] == 2 * MOST_HOSTS


def test_an_attempt_that_was_never_sent_is_no_outcome() -> None:
    moot = Tally(1)
    moot.ended(1, Outcome.MOOT, 0)
    assert not moot.hosts


def test_two_gateways_are_added_up_and_what_is_broken_is_counted() -> None:
    count = Count()
    broken = ["cloverkeel: tally {broken", "cloverkeel: tally {}", "another line"]
    count.read([tally(4, 3), tally(2, 2, refused=5), *broken])
    ((at, second),) = count.rows()
    assert (at, second.gateways, second.asked, second.refused, second.opened, second.lines) == (0, 2, 11, 5, 4, 6)
    assert second.hosts["00000007"][:2] == [6, 5] and second.why["shed"] == 5 and second.spread == 1.0
    assert count.unread == 2


def test_the_tool_tells_a_folder_without_tallies(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main([str(tmp_path)]) == 1
    assert "no tallies in 0 logs" in capsys.readouterr().err
    (tmp_path / "n0.log").write_text(tally(4, 3))
    assert main([str(tmp_path), "--hosts"]) == 0
    assert "00000007" in capsys.readouterr().out


@on_loop
async def test_the_real_program_writes_what_the_tool_reads(tmp_path: Path) -> None:
    async with (
        peer() as host,
        peer(silent) as registry,
        program(tmp_path, configuration(host, discovery=registry.address)) as (process, port),
    ):
        assert await ask(port, request("transfer")) == 200
        count = Count()
        assert process.stderr is not None
        while not count.seconds:
            line = await asyncio.wait_for(process.stderr.readline(), 5.0)
            count.read([line.decode()])
    second = next(iter(count.seconds.values()))
    assert second.asked == 1 and sum(figures[0] for figures in second.hosts.values()) == 1
