"""How a relay applies discovery's responses, and the age of its list."""

from __future__ import annotations

import asyncio

import pytest

from cloverkeel.control_plane.config import Limits
from cloverkeel.core.clock import now_us
from standins.event_log import EventLog
from standins.parties.registry import Registry
from tests.control_plane.relay_harness import (
    RelayHarness,
    relay_with_registry,
    running_relay,
    scripted_discovery,
    snapshot_reply,
    status_by_name,
)
from tests.sockets import list_reply, on_loop, reply, wait_until

MAX_SLICE_S = 0.005  # for which requests may wait while a long list is applied


MIN_REQUESTS_BETWEEN_STEPS = 40  # 3,000 hosts take about 190 steps, a request three iterations of the loop


@pytest.mark.parametrize(
    "invalid_reply",
    [
        reply(200, b'{"index":'),
        reply(200, b"[]"),
        reply(200, b'{"index":9,"snapshot":true,"endpoints":{}}'),
        reply(200, b'{"index":9,"snapshot":true,"endpoints":[1,2,3]}'),
        reply(200, b"[" * 100_000),
        reply(500),
    ],
    ids=["truncated", "not an object", "entries not a list", "entries not hosts", "deeply nested", "status 500"],
)
@on_loop
async def test_invalid_response_of_discovery_keeps_the_list_and_its_age_grows(invalid_reply: bytes) -> None:
    async with scripted_discovery() as (answers, discovery):
        answers.append(snapshot_reply(5, "s-0", "s-1"))
        async with running_relay(discovery.address, Limits(max_age_ms=1_000)) as server:
            harness = RelayHarness(Registry(EventLog()), server)
            await harness.wait_for_host_count(2)
            answers.append(invalid_reply)
            await wait_until(lambda: not server.is_ready)
            listed = await harness.listed("gateway=g0")
            assert set(status_by_name(listed)) == {"s-0", "s-1"} and listed["age_ms"] > 1_000
            state = await harness.state()
            if state["discovery_rubbish"]:  # changes may have been lost: a snapshot is requested
                assert "from=" not in discovery.exchanges[-1].message.start_line
            assert state["ready"] is False and (state["discovery_rubbish"] or state["discovery_failures"])
            answers.append(snapshot_reply(1, "s-1", "s-2"))  # discovery restarts with a lower index
            await wait_until(lambda: server.is_ready)
            sent = await harness.listed(f"gateway=g0&from={listed['index']}")
            assert status_by_name(sent) == {"s-0": "DELETED", "s-2": "SERVING"}


@on_loop
async def test_changes_instead_of_a_requested_snapshot_are_rejected() -> None:
    async with scripted_discovery() as (answers, discovery):
        answers.append(list_reply(5, snapshot=False))
        async with running_relay(discovery.address) as server:
            harness = RelayHarness(Registry(EventLog()), server)
            await wait_until(lambda: len(discovery.exchanges) > 2)
            assert not any("from=" in exchange.message.start_line for exchange in discovery.exchanges)
            assert (await harness.get("/registry/instances?gateway=g0")).status == 503
            answers.append(snapshot_reply(5, "s-0"))
            await harness.wait_for_host_count(1)


@on_loop
async def test_age_of_a_response_includes_the_stall_that_delayed_it() -> None:
    async with relay_with_registry() as harness:
        source = harness.server.source
        await wait_until(lambda: source.age_ms(now_us()) < 1_500)
        # As after a stall of 5 s that began after the open request was sent and after the last clock check.
        source.request_sent_us = source.last_clock_check_us = now_us() - 5_000_000
        source.handle_body_at_once(b'{"index": 1, "snapshot": false, "endpoints": []}')
        assert source.age_ms(now_us()) >= 5_000
        await wait_until(lambda: source.stalls == 1 and source.age_ms(now_us()) < 1_500)


@on_loop
async def test_requests_are_answered_while_a_long_list_is_applied() -> None:
    async with scripted_discovery() as (answers, discovery):
        answers.append(snapshot_reply(5, "s-0"))
        async with running_relay(discovery.address) as server:
            harness = RelayHarness(Registry(EventLog()), server)
            await harness.wait_for_host_count(1)
            client = await harness.client()
            assert server.source.read_slice_s <= MAX_SLICE_S
            server.source.read_slice_s = 0.0  # each step ends its slice, however fast the machine is
            answers.append(snapshot_reply(6, *(f"s-{n}" for n in range(3_000))))
            requests_between_steps = 0
            while server.source.discovery_index != 6:
                await harness.get("/health/ready", client)
                requests_between_steps += bool(server.source.is_reading)
            assert requests_between_steps > MIN_REQUESTS_BETWEEN_STEPS
            assert len(server.cache.table.host_by_name) == 3_000 and server.is_ready


@on_loop
async def test_long_list_that_is_applied_in_part_is_requested_again() -> None:
    async with scripted_discovery() as (answers, discovery):
        answers.append(snapshot_reply(5, "s-0"))
        async with running_relay(discovery.address) as server:
            harness = RelayHarness(Registry(EventLog()), server)
            await harness.wait_for_host_count(1)
            server.source.read_slice_s = 0.0  # each step ends its slice, however fast the machine is
            answers.append(snapshot_reply(6, *(f"s-{n}" for n in range(3_000))))
            while not 1 < len(server.cache.table.host_by_name) < 3_000:
                assert server.source.discovery_index == 5
                await asyncio.sleep(0)  # checks at each iteration of the loop, so that no step is missed
            assert server.source.discovery_index == 5
            server.source.restart(watches=True)
            requests_before = len(discovery.exchanges)
            await wait_until(lambda: server.source.discovery_index == 6)
            assert "from=" not in discovery.exchanges[requests_before].message.start_line
            assert len(server.cache.table.host_by_name) == 3_000
