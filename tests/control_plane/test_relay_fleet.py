"""Three real gateways behind two real relays, faults between them, judged by what hosts saw and clients got."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from benchmarks.relay_schedules import draw, play
from standins.event_log import now_us
from standins.parties import fleet as processes
from tests.control_plane.relay_fleet import GATEWAYS, relay_fleet
from tests.sockets import on_loop

RELAYS = 2
# From a change at discovery to the last request that its host may see. One relay is lost: 1 s until all gateways know
# (docs/relay-design.md) and what was on its way; a relay hears discovery again: it calls anew first; a relay is cut
# off: its age is noticed first. The rule has 6 s for a change to be told.
LOST_S, HEALED_S, STALE_S = 2.0, 3.0, 6.0
STALL_S = 5.0
DIRECT_PER_S = 1  # calls of the whole fleet to discovery itself


@on_loop
async def test_drain_reaches_all_by_relays_and_nobody_polls_discovery(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        at_us = fleet.publish_status(1, "DELETED")
        fleet.publish_status(0, "SERVING")
        await fleet.wait_until_served(0, 2, 3)
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)
        assert fleet.direct_polls() == 0


@on_loop
async def test_relay_that_resumes_with_an_old_list_brings_no_host_back(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        stopped_us = fleet.signal(0, signal.SIGSTOP)
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until_all_ask(1)
        await fleet.wait_until(stopped_us + int(STALL_S * 1e6))
        fleet.to_discovery[0].cut()  # it wakes, and has nothing newer to say
        await fleet.kill(1)
        woke_us = fleet.signal(0, signal.SIGCONT)
        await fleet.wait_until_all_ask(0)
        await fleet.wait_until(woke_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        healed_us = fleet.note("relay-0 hears discovery again")
        fleet.to_discovery[0].heal(reset=True)
        fleet.publish_status(1, "DRAINING")
        await fleet.wait_until(healed_us + int(HEALED_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        fleet.assert_left_within(1, healed_us, HEALED_S)


@on_loop
async def test_killed_relay_delays_changes_by_a_second(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        await fleet.kill(0)
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        await fleet.wait_until_all_ask(1)


@on_loop
async def test_relays_that_start_empty_are_not_ready_and_nobody_is_without_hosts(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        fleet.note("discovery is down")
        await fleet.discovery.set_down("503")
        await fleet.kill(0, 1)
        for relay in fleet.relays:
            relay.start()
        for n in range(RELAYS):  # it listens, and is not ready
            await fleet.wait_for(lambda n=n: fleet.gateways_connected_to(n), f"a gateway asks relay-{n}")  # type: ignore[misc]
        await fleet.serve_more_requests(100)
        for relay in fleet.relays:
            assert not await processes.is_ready(relay.address)
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.discovery.set_down("")
        for n in range(RELAYS):
            await fleet.wait_until_ready(n)
        await fleet.wait_until(at_us + int(STALE_S * 1e6))
        fleet.assert_left_within(0, at_us, STALE_S)


@on_loop
async def test_relay_cut_from_discovery_is_left_before_a_drain_is_late(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        fleet.note("relay-0 is cut from discovery")
        fleet.to_discovery[0].cut()
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(STALE_S * 1e6))
        fleet.assert_left_within(0, at_us, STALE_S)
        await fleet.wait_until_all_ask(1)


@on_loop
async def test_move_to_a_relay_that_lacks_a_drain_undoes_none(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        fleet.note("relay-1 is cut from discovery")
        fleet.to_discovery[1].cut()
        at_us = fleet.publish_status(0, "DRAINING")  # heard by relay-0 alone
        await fleet.wait_for(lambda: now_us() - max(fleet.last_request_us(0), at_us) > 300_000, "s-0 is left")
        await fleet.kill(0)  # what relay-1 says is not a second old, and wrong
        await fleet.wait_until_all_ask(1)
        await fleet.wait_until(at_us + int(LOST_S * 1e6) + 1_000_000)
        fleet.assert_left_within(0, at_us, LOST_S)


@on_loop
async def test_restarted_discovery_is_believed_at_version_1(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        for _ in range(5):
            fleet.publish_status(3, "SERVING")
        await fleet.serve_more_requests()
        at_us = fleet.note("discovery begins anew, without s-0")
        del fleet.discovery.entries["s-0"]
        fleet.discovery.step_back(1_000_000)
        assert fleet.discovery.index == 1
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        at_us = fleet.publish_status(1, "DRAINING")
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)


@on_loop
async def test_drain_during_a_move_is_applied(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        fleet.signal(0, signal.SIGSTOP)
        await fleet.wait_for(lambda: fleet.gateways_connected_to(1), "the first has moved")
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        # And the other way, planned: relay-1 ends as the change is told.
        fleet.signal(0, signal.SIGCONT)
        at_us = fleet.publish_status(1, "DRAINING")
        fleet.signal(1, signal.SIGTERM)
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)
        fleet.assert_left_within(0, at_us, 0.0)
        assert fleet.relays[1].exits == [0]


@on_loop
async def test_without_relays_gateways_serve_on_and_poll_discovery_now_and_then(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        begun_us = now_us()
        await fleet.kill(0, 1)
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(STALE_S * 1e6))
        fleet.assert_left_within(0, at_us, STALE_S)
        calls, for_s = fleet.direct_polls(), (now_us() - begun_us) / 1e6
        assert 0 < calls <= DIRECT_PER_S * for_s + GATEWAYS, f"{calls} in {for_s:.1f} s"
        for relay in fleet.relays:
            relay.start()
        await fleet.wait_for(
            lambda: len(fleet.gateways_connected_to(0) | fleet.gateways_connected_to(1)) == GATEWAYS,
            "all have a relay again",
        )
        at_us = fleet.publish_status(1, "DRAINING")
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)


# Two discoveries that are cut from one another: relay-0 asks A, relay-1 asks B. A host is what that half says of it
# whose relay a gateway asks; but what B had before a gateway read A's restriction undoes none.
A, B = 0, 1


@on_loop
async def test_drain_at_one_partition_holds_there_and_for_all_once_both_have_it(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path, discovery_by_relay=(A, B)) as fleet:
        at_us = fleet.publish_status(0, "DRAINING", A)
        await fleet.wait_for(lambda: now_us() - max(fleet.last_request_us(0), at_us) > 500_000, "it is left")
        fleet.assert_left_within(0, at_us, LOST_S)
        await fleet.kill(0)
        await fleet.wait_until_all_ask(1)
        moved_us = now_us()
        await fleet.wait_until_served(0)  # B says so, and what it says is younger than what was read of A
        assert now_us() - moved_us < LOST_S * 1e6
        at_us = fleet.publish_status(0, "DRAINING", B)
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        fleet.relays[0].start()
        await fleet.wait_until_ready(0)
        fleet.signal(1, signal.SIGTERM)  # back to a half that says the same
        await fleet.wait_until_all_ask(0)
        await fleet.serve_more_requests()
        fleet.assert_left_within(0, at_us, LOST_S)


@on_loop
async def test_older_state_of_the_other_partition_undoes_no_drain_and_no_deletion(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path, discovery_by_relay=(A, B)) as fleet:
        fleet.note("relay-1 is cut from B")
        fleet.to_discovery[1].cut()
        at_us = fleet.publish_status(0, "DRAINING", A)
        fleet.publish_status(1, "DELETED", A)
        await fleet.wait_for(
            lambda: now_us() - max(fleet.last_request_us(0), fleet.last_request_us(1), at_us) > 300_000,
            "both are left",
        )
        await fleet.kill(0)
        await fleet.wait_until_all_ask(1)
        await fleet.wait_until(now_us() + 1_000_000)
        for host in (0, 1):
            fleet.assert_left_within(host, at_us, LOST_S)
        fleet.publish_status(0, "DRAINING", B)
        fleet.to_discovery[1].heal(reset=True)
        await fleet.wait_until_served(1)  # of this one B says still that it serves, and has said it since
        fleet.assert_left_within(0, at_us, LOST_S)
        at_us = fleet.publish_status(1, "DELETED", B)
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)


@pytest.mark.parametrize("seed", [16, 144])
@on_loop
async def test_drawn_schedule_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    """Longer ones, by the hundred: `python -m benchmarks.relay_schedules`."""
    played = await play(draw(seed, 2.5), tmp_path)
    assert not played.wrong, f"{played.schedule}: {played.wrong}\n{played.timeline}"
