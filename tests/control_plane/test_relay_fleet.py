"""Three real gateways, two real relays and faults between them, checked by the requests that hosts receive."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from benchmarks.relay_schedules import draw_schedule, run_schedule
from standins.event_log import now_us
from standins.parties import fleet as processes
from tests.control_plane.relay_fleet import GATEWAYS, relay_fleet
from tests.sockets import on_loop

pytestmark = pytest.mark.processes

RELAYS = 2
# Maximum time from a change at discovery to the last request that its host may get.
# LOST_S, one relay lost: 1 s until all gateways have the change (docs/relay-design.md), plus requests in flight.
# HEALED_S, a relay connected to discovery again: it has to send a new request first.
# STALE_S, a relay cut off: gateways have to notice its age first. The rule allows 6 s for a change.
LOST_S, HEALED_S, STALE_S = 2.0, 3.0, 6.0
STALL_S = 5.0
DIRECT_PER_S = 1  # direct polls of discovery by the whole fleet


@on_loop
async def test_drain_reaches_all_gateways_through_relays_without_direct_polls(tmp_path: Path) -> None:
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
async def test_relay_that_resumes_with_an_old_list_does_not_restore_a_drained_host(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        stopped_us = fleet.signal(0, signal.SIGSTOP)
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until_all_connected(1)
        await fleet.wait_until(stopped_us + int(STALL_S * 1e6))
        fleet.to_discovery[0].cut()  # it resumes with its old list
        await fleet.kill(1)
        resumed_us = fleet.signal(0, signal.SIGCONT)
        await fleet.wait_until_all_connected(0)
        await fleet.wait_until(resumed_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        healed_us = fleet.note("relay-0 is connected to discovery again")
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
        await fleet.wait_until_all_connected(1)


@on_loop
async def test_relays_without_a_list_are_not_ready_and_gateways_keep_their_hosts(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        fleet.note("discovery is down")
        await fleet.discovery.set_outage_mode("503")
        await fleet.kill(0, 1)
        for relay in fleet.relays:
            relay.start()
        for n in range(RELAYS):  # the relay listens, but is not ready
            await fleet.wait_for(lambda n=n: fleet.gateways_connected_to(n), f"a gateway is connected to relay-{n}")  # type: ignore[misc]
        await fleet.wait_for_more_responses(100)
        for relay in fleet.relays:
            assert not await processes.is_ready(relay.address)
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.discovery.set_outage_mode("")
        for n in range(RELAYS):
            await fleet.wait_until_ready(n)
        await fleet.wait_until(at_us + int(STALE_S * 1e6))
        fleet.assert_left_within(0, at_us, STALE_S)


@on_loop
async def test_gateways_leave_a_relay_cut_from_discovery_before_a_drain_is_late(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        fleet.note("relay-0 is cut from discovery")
        fleet.to_discovery[0].cut()
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(STALE_S * 1e6))
        fleet.assert_left_within(0, at_us, STALE_S)
        await fleet.wait_until_all_connected(1)


@on_loop
async def test_move_to_a_relay_that_lacks_a_drain_does_not_undo_it(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        fleet.note("relay-1 is cut from discovery")
        fleet.to_discovery[1].cut()
        at_us = fleet.publish_status(0, "DRAINING")  # received by relay-0 only
        await fleet.wait_for(
            lambda: now_us() - max(fleet.last_request_us(0), at_us) > 300_000, "no more requests to s-0"
        )
        await fleet.kill(0)  # relay-1's list is less than 1 s old, and lacks the drain
        await fleet.wait_until_all_connected(1)
        await fleet.wait_until(at_us + int(LOST_S * 1e6) + 1_000_000)
        fleet.assert_left_within(0, at_us, LOST_S)


@on_loop
async def test_restarted_discovery_is_accepted_at_version_1(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        for _ in range(5):
            fleet.publish_status(3, "SERVING")
        await fleet.wait_for_more_responses()
        at_us = fleet.note("discovery restarts without s-0")
        del fleet.discovery.entries["s-0"]
        fleet.discovery.roll_back_index(1_000_000)
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
        await fleet.wait_for(lambda: fleet.gateways_connected_to(1), "the first gateway has moved to relay-1")
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        # Then a planned move back: relay-1 exits while it sends the change.
        fleet.signal(0, signal.SIGCONT)
        at_us = fleet.publish_status(1, "DRAINING")
        fleet.signal(1, signal.SIGTERM)
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)
        fleet.assert_left_within(0, at_us, 0.0)
        assert fleet.relays[1].exit_codes == [0]


@on_loop
async def test_gateways_without_relays_keep_serving_and_poll_discovery_at_the_direct_rate(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path) as fleet:
        start_us = now_us()
        await fleet.kill(0, 1)
        at_us = fleet.publish_status(0, "DRAINING")
        await fleet.wait_until(at_us + int(STALE_S * 1e6))
        fleet.assert_left_within(0, at_us, STALE_S)
        polls, elapsed_s = fleet.direct_polls(), (now_us() - start_us) / 1e6
        assert 0 < polls <= DIRECT_PER_S * elapsed_s + GATEWAYS, f"{polls} in {elapsed_s:.1f} s"
        for relay in fleet.relays:
            relay.start()
        await fleet.wait_for(
            lambda: len(fleet.gateways_connected_to(0) | fleet.gateways_connected_to(1)) == GATEWAYS,
            "all gateways have a relay again",
        )
        at_us = fleet.publish_status(1, "DRAINING")
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)


# Two partitioned discoveries: relay-0 polls A, relay-1 polls B. A gateway uses a host's status at the discovery of
# the relay that it polls. But a state of B from before the gateway read a drain or deletion of A doesn't undo that.
A, B = 0, 1


@on_loop
async def test_drain_in_one_partition_applies_there_and_everywhere_once_both_have_it(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path, discovery_by_relay=(A, B)) as fleet:
        at_us = fleet.publish_status(0, "DRAINING", A)
        await fleet.wait_for(
            lambda: now_us() - max(fleet.last_request_us(0), at_us) > 500_000, "no more requests to s-0"
        )
        fleet.assert_left_within(0, at_us, LOST_S)
        await fleet.kill(0)
        await fleet.wait_until_all_connected(1)
        moved_us = now_us()
        await fleet.wait_until_served(0)  # B lists it as serving, and that is newer than what was read from A
        assert now_us() - moved_us < LOST_S * 1e6
        at_us = fleet.publish_status(0, "DRAINING", B)
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(0, at_us, LOST_S)
        fleet.relays[0].start()
        await fleet.wait_until_ready(0)
        fleet.signal(1, signal.SIGTERM)  # gateways move back to a partition with the same state
        await fleet.wait_until_all_connected(0)
        await fleet.wait_for_more_responses()
        fleet.assert_left_within(0, at_us, LOST_S)


@on_loop
async def test_older_state_of_the_other_partition_does_not_undo_a_drain_or_deletion(tmp_path: Path) -> None:
    async with relay_fleet(tmp_path, discovery_by_relay=(A, B)) as fleet:
        fleet.note("relay-1 is cut from B")
        fleet.to_discovery[1].cut()
        at_us = fleet.publish_status(0, "DRAINING", A)
        fleet.publish_status(1, "DELETED", A)
        await fleet.wait_for(
            lambda: now_us() - max(fleet.last_request_us(0), fleet.last_request_us(1), at_us) > 300_000,
            "no more requests to s-0 and s-1",
        )
        await fleet.kill(0)
        await fleet.wait_until_all_connected(1)
        await fleet.wait_until(now_us() + 1_000_000)
        for host in (0, 1):
            fleet.assert_left_within(host, at_us, LOST_S)
        fleet.publish_status(0, "DRAINING", B)
        fleet.to_discovery[1].heal(reset=True)
        await fleet.wait_until_served(1)  # B still lists s-1 as serving, and has confirmed that since
        fleet.assert_left_within(0, at_us, LOST_S)
        at_us = fleet.publish_status(1, "DELETED", B)
        await fleet.wait_until(at_us + int(LOST_S * 1e6))
        fleet.assert_left_within(1, at_us, LOST_S)


@pytest.mark.parametrize("seed", [16, 144])
@on_loop
async def test_random_schedule_of_faults_breaks_no_rule(tmp_path: Path, seed: int) -> None:
    """Hundreds of longer schedules are run by `python -m benchmarks.relay_schedules`."""
    result = await run_schedule(draw_schedule(seed, 2.5), tmp_path)
    assert not result.violations, f"{result.schedule}: {result.violations}\n{result.timeline}"
