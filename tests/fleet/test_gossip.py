"""Gossip between real gateways, with faults between them, judged by what hosts saw."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Iterable
from pathlib import Path

import pytest

from cloverkeel.balancing.retry_budget import ERROR_RETRY_COST, RETRY_RATIO
from cloverkeel.core.config import stable_id
from cloverkeel.gossip.retry_tokens import MAX_SAVED_TOKENS
from standins.parties.fleet import ROOT
from standins.parties.network import Conditions
from tests import sockets
from tests.fleet.shared import Shared, shared
from tests.sockets import on_loop, rested

FAILING_HOST = f"{stable_id('s-0', 4):x}"  # as `peers show` names it
LAST = 5  # the gateway that has seen nothing of it
REST = range(5)


async def wait_until_suspected(fleet: Shared, gateway: int, is_suspected: bool = True) -> None:
    while await fleet.doubting(gateway, FAILING_HOST) is not is_suspected:
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def loaded(fleet: Shared, gateways: Iterable[int]) -> AsyncIterator[None]:
    """Requests at these gateways all the while."""

    async def send_requests(gateway: int) -> None:
        while True:
            await fleet.ask(gateway)

    tasks = [asyncio.create_task(send_requests(gateway)) for gateway in gateways]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def fail_host_for_others(fleet: Shared) -> None:
    """The host fails for all, and the last gateway hears of it before it has sent it anything."""
    fleet.fail(0)
    async with loaded(fleet, REST):
        await wait_until_suspected(fleet, LAST)


@pytest.mark.parametrize("clocks", [False, True])
@on_loop
async def test_a_gateway_uses_little_what_fails_for_others(tmp_path: Path, clocks: bool) -> None:
    """It has seen nothing of the host itself. With clocks: two are an hour off, one runs fast."""
    words = {0: "wall=3600", 1: "wall=-3600", LAST: "rate=1.001"} if clocks else {}
    start = (sys.executable, "-m", "tests.fleet.clocks")
    commands = {number: (*start, word, *sockets.PROGRAM[2:]) for number, word in words.items()}
    async with shared(tmp_path, commands=commands) as fleet:
        await fail_host_for_others(fleet)
        marks = fleet.marks()
        await fleet.load([LAST], 30)
        bad = fleet.sent([LAST], marks)[0]
        assert bad <= 1, f"{bad} of 30\n{fleet.timeline()}"  # of 10 otherwise; one failure of its own is enough
        fleet.check()


@on_loop
async def test_a_gateway_that_hears_nothing_finds_out_for_itself(tmp_path: Path) -> None:
    """Cut off from its peers it goes on as ever; joined again, it hears of the next fault."""
    async with shared(tmp_path) as fleet:
        fleet.cut([LAST], list(REST))
        fleet.fail(0)
        async with loaded(fleet, REST):
            await wait_until_suspected(fleet, 0)
            marks = fleet.marks()
            await fleet.load([LAST], 60)
        bad = fleet.sent([LAST], marks)[0]
        assert 2 <= bad <= 20, f"{bad} of 60\n{fleet.timeline()}"  # by its own ring, as without any of this
        fleet.heal()
        async with loaded(fleet, REST):
            await wait_until_suspected(fleet, LAST)
        fleet.check()


@on_loop
async def test_reports_expire_when_nothing_more_is_received(tmp_path: Path) -> None:
    """Suspected, then cut off: the host is well, and no datagram says so."""
    async with shared(tmp_path) as fleet:
        await fail_host_for_others(fleet)
        fleet.cut([LAST], list(REST))
        fleet.mend(0)
        await wait_until_suspected(fleet, LAST, is_suspected=False)
        marks = fleet.marks()
        await fleet.load([LAST], 60)
        assert fleet.sent([LAST], marks)[0] >= 6, fleet.timeline()  # a third, as the two others
        fleet.check()


async def check_others_use_all_hosts(fleet: Shared, well: list[int], cut_off: list[int]) -> None:
    """While some see every host as dead, each host keeps what the others send it."""
    marks = fleet.marks()
    async with loaded(fleet, cut_off):
        await fleet.load(well, 1200 // len(well))
    counts = fleet.sent(well, marks)
    assert sum(counts) >= 0.95 * 1200, f"{counts}\n{fleet.timeline()}"  # what is refused reaches no host
    assert min(counts) >= 0.8 * sum(counts) / len(counts), f"{counts}\n{fleet.timeline()}"


@pytest.mark.parametrize("cut_off", [[0], [0, 1]])
@on_loop
async def test_gateways_for_which_every_host_is_dead_turn_none_off_for_others(
    tmp_path: Path, cut_off: list[int]
) -> None:
    """One is too few; two are two reporters, and each says that all else fails for it too."""
    async with shared(tmp_path) as fleet:
        fleet.cut_from_hosts(*cut_off)
        well = [gateway for gateway in range(6) if gateway not in cut_off]
        await check_others_use_all_hosts(fleet, well, cut_off)
        assert fleet.statuses[500] == 0
        fleet.check()


@on_loop
async def test_a_host_that_fails_from_one_zone_alone_stays_in_use_from_the_rest(tmp_path: Path) -> None:
    async with shared(tmp_path, zones=(0, 0, 0, 1, 1, 1)) as fleet:
        await fleet.load(range(6), 10)
        fleet.fail(0, lambda number: number >= 3)
        marks = fleet.marks()
        async with loaded(fleet, (3, 4, 5)):
            await fleet.load((0, 1, 2), 400)
        counts = fleet.sent((0, 1, 2), marks)
        assert counts[0] >= 0.93 * sum(counts) / len(counts), f"{counts}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_datagrams_that_are_late_by_seconds_do_not_turn_off_a_host_that_is_well(tmp_path: Path) -> None:
    async with shared(tmp_path) as fleet:
        await fleet.wait(lambda: all(link.came > 3 for link in fleet.mesh.links.values()), "all have spoken")
        fleet.mesh.trouble(Conditions(late=1.0, late_us=4_000_000))
        fleet.fail(0)
        await fleet.until(REST, lambda: all(fleet.seen(0)[number] >= 2 for number in REST), "all saw it fail")
        fleet.mend(0)
        fleet.mesh.trouble(Conditions())
        marks = fleet.marks()
        came = {pair: link.came for pair, link in fleet.mesh.links.items()}
        await asyncio.sleep(3.5)  # what was said then is still on its way
        late = fleet.marks()
        async with loaded(fleet, [LAST]):
            # It has never seen the host fail: it takes a third of the requests, also while the news of then arrives.
            await asyncio.sleep(2.0)
        counts = fleet.sent([LAST], late)
        assert counts[0] >= 0.7 * sum(counts) / 3, f"{counts} {marks} {came}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_a_gateway_that_wakes_with_a_full_socket_reads_old_reports_as_old(tmp_path: Path) -> None:
    async with shared(tmp_path) as fleet:
        await fleet.wait(lambda: all(link.came > 3 for link in fleet.mesh.links.values()), "all have spoken")
        fleet.stop(LAST)
        fleet.fail(0)
        async with loaded(fleet, REST):
            await wait_until_suspected(fleet, 0)
            await asyncio.sleep(0.5)
        fleet.mend(0)
        await asyncio.sleep(2.5)  # nothing of it counts any more
        fleet.wake(LAST)
        marks = fleet.marks()
        await fleet.load([LAST], 150)
        counts = fleet.sent([LAST], marks)
        assert counts[0] >= 0.5 * sum(counts) / 3, f"{counts}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_lost_doubled_truncated_and_corrupt_datagrams_are_survived(tmp_path: Path) -> None:
    async with shared(tmp_path) as fleet:
        fleet.mesh.trouble(
            Conditions(jitter_us=20_000, loss=0.3, double=0.3, late=0.1, late_us=1_000_000, short=0.1, spoilt=0.1)
        )
        await fail_host_for_others(fleet)
        while not (await fleet.shown(LAST, "PEERS"))["dropped"].get("unreadable"):  # probes bring them too
            await asyncio.sleep(0.05)
        fleet.check()


@on_loop
async def test_most_gateways_restart_at_once_and_are_sent_reports_by_the_rest(tmp_path: Path) -> None:
    """Five of six are killed while a host fails; they begin empty, and one that sent nothing hears of it."""
    async with shared(tmp_path) as fleet:
        await fail_host_for_others(fleet)
        await fleet.kill(1, 2, 3, 4, LAST)
        fleet.start(1, 2, 3, 4, LAST)
        await fleet.ready(1, 2, 3, 4, LAST)
        async with loaded(fleet, (0, 1, 2, 3)):
            await wait_until_suspected(fleet, LAST)
        marks = fleet.marks()
        await fleet.load([LAST], 30)
        assert fleet.sent([LAST], marks)[0] <= 1, fleet.timeline()
        fleet.check()


async def max_overdraft(fleet: Shared, min_accepted: float) -> float:
    """Return the most tokens that one gateway spent beyond what it earned, over any stretch of its requests.

    Every second answer there is an error, the others are idle. It goes on until that gateway says that so many
    tokens came from others, for 400 requests at the least, and until it has made 100 retries: with its breakers open
    it makes none for seconds, and earns all the same.
    """
    await fleet.load(range(1, fleet.count), 10)  # each has saved up what it may
    await fleet.load([0], 60)
    count = itertools.count()
    for host in range(len(fleet.hosts)):
        fleet.fail(host, lambda number: next(count) % 2 == 0)
    marks, requests, retries, overdraft, highest = fleet.marks(), 0, 0, 0.0, 0.0
    while requests < 400 or retries < 100 or (await fleet.shown(0, "PEERS"))["rights"]["taken"] < min_accepted:
        for _ in range(50):
            await fleet.load([0], 1)
            await rested()  # else each opens a connection, and what waits for that passes for overload
            before, (_, retries) = retries, fleet.attempts(marks)
            overdraft = max(0.0, overdraft + ERROR_RETRY_COST * (retries - before) - RETRY_RATIO)
            highest = max(highest, overdraft)
        requests += 50
    return highest


@pytest.mark.parametrize("doubled", [False, True])
@on_loop
async def test_tokens_move_to_who_wants_them_and_are_never_spent_twice(tmp_path: Path, doubled: bool) -> None:
    """What hosts saw of retries: no more than all may save up, though most of it has come to one."""
    async with shared(tmp_path, count=4) as fleet:
        if doubled:
            fleet.mesh.trouble(Conditions(double=1.0, jitter_us=5_000))
        spent = await max_overdraft(fleet, 2 * MAX_SAVED_TOKENS)
        assert spent <= fleet.count * MAX_SAVED_TOKENS + 1e-6, f"{spent}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_who_is_cut_off_spends_no_more_than_its_own_tokens(tmp_path: Path) -> None:
    async with shared(tmp_path, count=4) as fleet:
        fleet.cut([0], [1, 2, 3])
        spent = await max_overdraft(fleet, 0.0)
        assert spent <= MAX_SAVED_TOKENS + 1e-6, f"{spent}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_an_upgrade_leaves_one_process_that_gossips(tmp_path: Path) -> None:
    async with shared(tmp_path, count=3) as fleet:
        async with loaded(fleet, (0, 1, 2)):
            await fleet.gateways[1].upgrade()
            fleet.fail(0)
            while not (await fleet.doubting(1, FAILING_HOST) or fleet.seen(0)[1] >= 5):
                await asyncio.sleep(0.01)
        fleet.check()


@on_loop
async def test_a_gateway_that_is_killed_is_gone_for_the_rest_and_back_when_it_is(tmp_path: Path) -> None:
    async with shared(tmp_path, count=4) as fleet:

        async def states(number: int) -> set[str]:
            statuses = [await fleet.shown(n, "PEERS") for n in range(fleet.count) if n != number]
            return {status["peers"][str(number)]["state"] for status in statuses}

        while await states(2) != {"alive"}:
            await asyncio.sleep(0.05)
        await fleet.kill(2)
        while await states(2) != {"gone"}:
            await asyncio.sleep(0.05)
        fleet.start(2)
        await fleet.ready(2)
        while await states(2) != {"alive"}:
            await asyncio.sleep(0.05)
        fleet.check()


def test_where_the_settings_allow_no_datagrams_nothing_of_it_is_imported() -> None:
    script = (
        "import asyncio, sys\n"
        "from cloverkeel.assembly import assemble\n"
        "from cloverkeel.core.config import parse\n"
        "from cloverkeel.core.options import GossipOptions, LeaseOptions, Options\n"
        "from tests.sockets import configuration\n"
        "async def main():\n"
        "    raw = configuration('127.0.0.1:9', peers=False)\n"
        "    raw |= {'peer_listen': '127.0.0.1:9', 'peers': ['127.0.0.1:9']}\n"
        "    program = assemble(parse(raw), Options(None, LeaseOptions(), GossipOptions()))\n"
        "    program.start()\n"
        "    found = [name for name in sys.modules if name.startswith(('cloverkeel.gossip', 'cloverkeel.leases'))]\n"
        "    assert program.datagrams is None and not program.peer_drivers and not found, found\n"
        "    program.close()\n"
        "asyncio.run(main())\n"
    )
    environment = os.environ | {"CLOVERKEEL_PLAIN": "1"}
    done = subprocess.run([sys.executable, "-c", script], cwd=ROOT, env=environment, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
