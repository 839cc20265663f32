"""Gossip between real gateways over faulty links, checked by the requests that hosts received."""

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
from standins.parties.network import LinkConditions
from tests import sockets
from tests.fleet.gossip_fleet import GossipFleet, running_gossip_fleet
from tests.sockets import on_loop, wait_for_reuse_delay

pytestmark = pytest.mark.processes

FAILING_HOST = f"{stable_id('s-0', 4):x}"  # id of host 0 in the answer to PEERS
LAST_GATEWAY = 5  # in most tests, sends the failing host no requests before others report it
OTHER_GATEWAYS = range(5)


async def wait_until_suspected(fleet: GossipFleet, gateway: int, is_suspected: bool = True) -> None:
    while await fleet.suspects(gateway, FAILING_HOST) is not is_suspected:
        await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def loaded(fleet: GossipFleet, gateways: Iterable[int]) -> AsyncIterator[None]:
    """Keep sending requests to these gateways."""

    async def send_requests(gateway: int) -> None:
        while True:
            await fleet.send_request(gateway)

    tasks = [asyncio.create_task(send_requests(gateway)) for gateway in gateways]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def fail_host_for_others(fleet: GossipFleet) -> None:
    """Make host 0 fail; wait until its peers' reports make the last gateway, which sends no requests, suspect it."""
    fleet.fail(0)
    async with loaded(fleet, OTHER_GATEWAYS):
        await wait_until_suspected(fleet, LAST_GATEWAY)


@pytest.mark.parametrize("wrong_clocks", [False, True])
@on_loop
async def test_gateway_rarely_uses_a_host_that_fails_for_other_gateways(tmp_path: Path, wrong_clocks: bool) -> None:
    """The gateway has no outcomes of its own for the host. Wrong clocks: two are an hour off and one runs fast."""
    clock_arguments = {0: "wall=3600", 1: "wall=-3600", LAST_GATEWAY: "rate=1.001"} if wrong_clocks else {}
    start = (sys.executable, "-m", "tests.fleet.clocks")
    commands = {n: (*start, argument, *sockets.GATEWAY_COMMAND[2:]) for n, argument in clock_arguments.items()}
    async with running_gossip_fleet(tmp_path, commands=commands) as fleet:
        await fail_host_for_others(fleet)
        since = fleet.attempt_counts()
        await fleet.send_requests([LAST_GATEWAY], 30)
        attempts = fleet.attempts_by_host([LAST_GATEWAY], since)[0]
        # About 10 without gossip; the circuit breaker of a suspected host opens after one failure at this gateway.
        assert attempts <= 1, f"{attempts} of 30\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_partitioned_gateway_detects_a_failing_host_itself(tmp_path: Path) -> None:
    """While it is cut off, it works as if gossip were disabled; then it receives its peers' reports of the fault."""
    async with running_gossip_fleet(tmp_path) as fleet:
        fleet.partition([LAST_GATEWAY], list(OTHER_GATEWAYS))
        fleet.fail(0)
        async with loaded(fleet, OTHER_GATEWAYS):
            await wait_until_suspected(fleet, 0)
            since = fleet.attempt_counts()
            await fleet.send_requests([LAST_GATEWAY], 60)
        attempts = fleet.attempts_by_host([LAST_GATEWAY], since)[0]
        # Limited by the gateway's own circuit breaker, as without gossip.
        assert 2 <= attempts <= 20, f"{attempts} of 60\n{fleet.timeline()}"
        fleet.heal()
        async with loaded(fleet, OTHER_GATEWAYS):
            await wait_until_suspected(fleet, LAST_GATEWAY)
        fleet.check()


@on_loop
async def test_reports_expire_when_nothing_more_is_received(tmp_path: Path) -> None:
    """A gateway suspects a host and is cut off: no datagram tells it that the host has recovered."""
    async with running_gossip_fleet(tmp_path) as fleet:
        await fail_host_for_others(fleet)
        fleet.partition([LAST_GATEWAY], list(OTHER_GATEWAYS))
        fleet.recover(0)
        await wait_until_suspected(fleet, LAST_GATEWAY, is_suspected=False)
        since = fleet.attempt_counts()
        await fleet.send_requests([LAST_GATEWAY], 60)
        assert fleet.attempts_by_host([LAST_GATEWAY], since)[0] >= 6, fleet.timeline()  # its fair share is a third
        fleet.check()


async def check_others_use_all_hosts(fleet: GossipFleet, others: list[int], cut_off: list[int]) -> None:
    """Check that the other gateways use all hosts while every host is dead for the gateways in `cut_off`."""
    since = fleet.attempt_counts()
    async with loaded(fleet, cut_off):
        await fleet.send_requests(others, 1200 // len(others))
    counts = fleet.attempts_by_host(others, since)
    assert sum(counts) >= 0.95 * 1200, f"{counts}\n{fleet.timeline()}"  # rejected requests reach no host
    assert min(counts) >= 0.8 * sum(counts) / len(counts), f"{counts}\n{fleet.timeline()}"


@pytest.mark.parametrize("cut_off", [[0], [0, 1]])
@on_loop
async def test_gateways_for_which_every_host_is_dead_cause_no_suspicion_at_others(
    tmp_path: Path, cut_off: list[int]
) -> None:
    """One reporter is not enough; two are not credible, as they report that all other hosts fail for them too."""
    async with running_gossip_fleet(tmp_path) as fleet:
        fleet.refuse_host_connections(*cut_off)
        others = [gateway for gateway in range(6) if gateway not in cut_off]
        await check_others_use_all_hosts(fleet, others, cut_off)
        assert fleet.statuses[500] == 0
        fleet.check()


@on_loop
async def test_host_that_fails_from_one_zone_stays_in_use_in_the_other_zone(tmp_path: Path) -> None:
    async with running_gossip_fleet(tmp_path, zones=(0, 0, 0, 1, 1, 1)) as fleet:
        await fleet.send_requests(range(6), 10)
        fleet.fail(0, lambda number: number >= 3)
        since = fleet.attempt_counts()
        async with loaded(fleet, (3, 4, 5)):
            await fleet.send_requests((0, 1, 2), 400)
        counts = fleet.attempts_by_host((0, 1, 2), since)
        assert counts[0] >= 0.93 * sum(counts) / len(counts), f"{counts}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_datagrams_late_by_seconds_cause_no_suspicion_of_a_recovered_host(tmp_path: Path) -> None:
    async with running_gossip_fleet(tmp_path) as fleet:
        await fleet.wait_for(
            lambda: all(link.received_count > 3 for link in fleet.mesh.links.values()),
            "datagrams were sent over all links",
        )
        fleet.mesh.set_conditions(LinkConditions(delayed=1.0, extra_delay_us=4_000_000))
        fleet.fail(0)
        await fleet.send_until(
            OTHER_GATEWAYS,
            lambda: all(fleet.attempts_by_gateway(0)[gateway] >= 2 for gateway in OTHER_GATEWAYS),
            "the other gateways sent requests to the failing host",
        )
        fleet.recover(0)
        fleet.mesh.set_conditions(LinkConditions())
        since_recovery = fleet.attempt_counts()
        received = {pair: link.received_count for pair, link in fleet.mesh.links.items()}
        await asyncio.sleep(3.5)  # the reports sent during the fault are still in transit
        since_load = fleet.attempt_counts()
        async with loaded(fleet, [LAST_GATEWAY]):
            # This gateway saw no failure: the host gets a third of its requests, even while late reports arrive.
            await asyncio.sleep(2.0)
        counts = fleet.attempts_by_host([LAST_GATEWAY], since_load)
        assert counts[0] >= 0.7 * sum(counts) / 3, f"{counts} {since_recovery} {received}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_resumed_gateway_treats_queued_reports_as_old(tmp_path: Path) -> None:
    async with running_gossip_fleet(tmp_path) as fleet:
        await fleet.wait_for(
            lambda: all(link.received_count > 3 for link in fleet.mesh.links.values()),
            "datagrams were sent over all links",
        )
        fleet.pause(LAST_GATEWAY)
        fleet.fail(0)
        async with loaded(fleet, OTHER_GATEWAYS):
            await wait_until_suspected(fleet, 0)
            await asyncio.sleep(0.5)
        fleet.recover(0)
        await asyncio.sleep(2.5)  # all reports have expired
        fleet.resume(LAST_GATEWAY)
        since = fleet.attempt_counts()
        await fleet.send_requests([LAST_GATEWAY], 150)
        counts = fleet.attempts_by_host([LAST_GATEWAY], since)
        assert counts[0] >= 0.5 * sum(counts) / 3, f"{counts}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_reports_spread_despite_lost_repeated_truncated_and_corrupt_datagrams(tmp_path: Path) -> None:
    async with running_gossip_fleet(tmp_path) as fleet:
        fleet.mesh.set_conditions(
            LinkConditions(
                jitter_us=20_000,
                loss=0.3,
                duplicate=0.3,
                delayed=0.1,
                extra_delay_us=1_000_000,
                truncated=0.1,
                corrupted=0.1,
            )
        )
        await fail_host_for_others(fleet)
        while not (await fleet.read_state(LAST_GATEWAY, "PEERS"))["dropped"].get(
            "unreadable"
        ):  # probes are corrupted too
            await asyncio.sleep(0.05)
        fleet.check()


@on_loop
async def test_restarted_majority_is_sent_reports_by_the_remaining_gateway(tmp_path: Path) -> None:
    """Five of six gateways are killed while a host fails; one of them suspects it again before it sends a request."""
    async with running_gossip_fleet(tmp_path) as fleet:
        await fail_host_for_others(fleet)
        await fleet.kill(1, 2, 3, 4, LAST_GATEWAY)
        fleet.start(1, 2, 3, 4, LAST_GATEWAY)
        await fleet.wait_until_ready(1, 2, 3, 4, LAST_GATEWAY)
        async with loaded(fleet, (0, 1, 2, 3)):
            await wait_until_suspected(fleet, LAST_GATEWAY)
        since = fleet.attempt_counts()
        await fleet.send_requests([LAST_GATEWAY], 30)
        assert fleet.attempts_by_host([LAST_GATEWAY], since)[0] <= 1, fleet.timeline()
        fleet.check()


async def max_overdraft(fleet: GossipFleet, min_accepted: float) -> float:
    """Return the maximum of tokens spent minus tokens earned by gateway 0, over any interval of its requests.

    Every second response is an error, and the other gateways are idle. Runs until gateway 0 has accepted
    `min_accepted` tokens from others, for at least 400 requests, and until it has made 100 retries: while its circuit
    breakers are open it makes none for seconds, but still earns tokens.
    """
    await fleet.send_requests(range(1, fleet.count), 10)  # each of the others saves MAX_SAVED_TOKENS
    await fleet.send_requests([0], 60)
    count = itertools.count()
    for host in range(len(fleet.hosts)):
        fleet.fail(host, lambda number: next(count) % 2 == 0)
    since, requests, retries, overdraft, max_seen = fleet.attempt_counts(), 0, 0, 0.0, 0.0
    while requests < 400 or retries < 100 or (await fleet.read_state(0, "PEERS"))["rights"]["taken"] < min_accepted:
        for _ in range(50):
            await fleet.send_requests([0], 1)
            await wait_for_reuse_delay()  # otherwise waiting for a new connection counts as overload
            previous, (_, retries) = retries, fleet.request_and_retry_counts(since)
            overdraft = max(0.0, overdraft + ERROR_RETRY_COST * (retries - previous) - RETRY_RATIO)
            max_seen = max(max_seen, overdraft)
        requests += 50
    return max_seen


@pytest.mark.parametrize("has_duplicates", [False, True])
@on_loop
async def test_tokens_move_to_the_gateway_short_of_them_and_are_never_spent_twice(
    tmp_path: Path, has_duplicates: bool
) -> None:
    """One gateway spends at most what all gateways together may save, though most tokens moved to it."""
    async with running_gossip_fleet(tmp_path, count=4) as fleet:
        if has_duplicates:
            fleet.mesh.set_conditions(LinkConditions(duplicate=1.0, jitter_us=5_000))
        spent = await max_overdraft(fleet, 2 * MAX_SAVED_TOKENS)
        assert spent <= fleet.count * MAX_SAVED_TOKENS + 1e-6, f"{spent}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_partitioned_gateway_spends_only_its_own_tokens(tmp_path: Path) -> None:
    async with running_gossip_fleet(tmp_path, count=4) as fleet:
        fleet.partition([0], [1, 2, 3])
        spent = await max_overdraft(fleet, 0.0)
        assert spent <= MAX_SAVED_TOKENS + 1e-6, f"{spent}\n{fleet.timeline()}"
        fleet.check()


@on_loop
async def test_only_one_process_of_a_gateway_gossips_after_an_upgrade(tmp_path: Path) -> None:
    async with running_gossip_fleet(tmp_path, count=3) as fleet:
        async with loaded(fleet, (0, 1, 2)):
            await fleet.gateways[1].upgrade()
            fleet.fail(0)
            while not (await fleet.suspects(1, FAILING_HOST) or fleet.attempts_by_gateway(0)[1] >= 5):
                await asyncio.sleep(0.01)
        fleet.check()


@on_loop
async def test_killed_gateway_is_dead_for_its_peers_until_it_restarts(tmp_path: Path) -> None:
    async with running_gossip_fleet(tmp_path, count=4) as fleet:

        async def states(gateway: int) -> set[str]:
            statuses = [await fleet.read_state(n, "PEERS") for n in range(fleet.count) if n != gateway]
            return {status["peers"][str(gateway)]["state"] for status in statuses}

        while await states(2) != {"alive"}:
            await asyncio.sleep(0.05)
        await fleet.kill(2)
        while await states(2) != {"gone"}:
            await asyncio.sleep(0.05)
        fleet.start(2)
        await fleet.wait_until_ready(2)
        while await states(2) != {"alive"}:
            await asyncio.sleep(0.05)
        fleet.check()


def test_gossip_and_leases_are_not_imported_if_settings_forbid_datagrams() -> None:
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
    result = subprocess.run([sys.executable, "-c", script], cwd=ROOT, env=environment, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr
