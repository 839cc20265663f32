"""A gateway with scripted relays, on loopback."""

from __future__ import annotations

import asyncio
import gzip
import json
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any

import pytest

from cloverkeel.balancing.actions import WatchList
from cloverkeel.assembly import assemble
from cloverkeel.core.config import parse
from cloverkeel.core.options import Options, RelayOptions
from cloverkeel.discovery.relay_client import RelayEndpointSource
from cloverkeel.discovery.connection import MAX_REPLY_BYTES
from cloverkeel.discovery.relay_requests import RELAY_HOLD_S
from cloverkeel.discovery.poll_schedule import (
    LONG_POLL_HOLD_S,
    LONG_POLL_GRACE_S,
)
from tests.sockets import (
    Exchange, RunningGateway, Script, ScriptedServer, configuration, endpoint, host_id, hosts_list, list_reply,
    never_respond, on_loop, reply, respond_with, scripted_server, wait_until,
)  # fmt: skip


def relay_list(index: int, *endpoints: dict[str, object], age_ms: object = 100, snapshot: bool = True) -> bytes:
    return reply(200, json.dumps(hosts_list(index, *endpoints, snapshot=snapshot) | {"age_ms": age_ms}).encode())


def relay_script(snapshot_reply: bytes) -> Script:
    """Return the script of a relay that serves one snapshot and then empty deltas."""

    async def script(exchange: Exchange) -> None:
        if "/relay/state" in exchange.message.start_line:
            exchange.respond(reply(200, b'{"version":5,"age_ms":100}'))
        elif "from=" in exchange.message.start_line:
            await asyncio.sleep(RELAY_HOLD_S / 2)
            exchange.respond(relay_list(5, snapshot=False))
        else:
            exchange.respond(snapshot_reply)

    return script


@asynccontextmanager
async def gateway_with_relays(
    host: ScriptedServer, relays: list[ScriptedServer], discovery: str = "127.0.0.1:9", **options: Any
) -> AsyncIterator[tuple[RunningGateway, list[ScriptedServer]]]:
    """Run a gateway with these relays; yields it and the relays in the order in which it prefers them."""
    config = parse(configuration(host, discovery=discovery))
    addresses = tuple(("127.0.0.1", int(relay.address.split(":")[1])) for relay in relays)
    program = assemble(config, Options(relays=RelayOptions(addresses, **options)))
    assert isinstance(program.discovery, RelayEndpointSource)
    ports = [relay.address[1] for relay in program.discovery.selector.ranked]
    by_port = {relay.address[1]: relay.address for relay in program.discovery.selector.ranked}
    assert sorted(by_port) == sorted(ports)
    ordered = sorted(relays, key=lambda relay: ports.index(int(relay.address.split(":")[1])))
    try:
        yield RunningGateway(program.gateway, program.server, program.pool, program.discovery, 0), ordered
    finally:
        program.close()


def is_draining(run: RunningGateway, number: int = 0) -> bool:
    return run.pool.hosts[host_id(number)].draining_since_us is not None


def targets(relay: ScriptedServer) -> list[str]:
    return [exchange.message.start_line.split(" ")[1] for exchange in relay.exchanges]


@on_loop
async def test_a_gateway_identifies_itself_and_polls_one_relay_only() -> None:
    async with (
        scripted_server() as host,
        scripted_server() as a,
        scripted_server() as b,
        scripted_server() as discovery,
        gateway_with_relays(host, [a, b], discovery.address, services=("s1", "s 2")) as (run, (first, second)),
    ):
        first.script = relay_script(relay_list(5, endpoint("s-1", host.address, service="s1", users=12)))
        run.gateway.start()
        await wait_until(lambda: len(first.exchanges) >= 3)
        expected = "/registry/instances?gateway=n0&services=s1,s%202&wide=0"
        assert targets(first)[:3] == [expected] + [expected + "&from=5&hold_ms=400"] * 2
        assert set(run.pool.hosts) == {host_id(1)} and first.connection_count == 1
        assert not second.connection_count and not discovery.connection_count
        assert run.balancer.endpoints.by_server[host_id(1)].entry.users == 12


def reply_with_coding(body: bytes, coding: str = "gzip") -> Script:
    return respond_with(reply(200, body, f"Content-Encoding: {coding}"))


DRAIN = json.dumps(hosts_list(6, endpoint("s-0", "127.0.0.1:9", status="DRAINING"), snapshot=False)).encode()
FAULTS: dict[str, Script] = {
    "truncated gzip": reply_with_coding(gzip.compress(DRAIN)[:-9]),
    "trailing data": reply_with_coding(gzip.compress(DRAIN) + b"x"),
    "not gzip": reply_with_coding(DRAIN),
    "another coding": reply_with_coding(DRAIN, "br"),
    "too long when decompressed": reply_with_coding(gzip.compress(DRAIN + b" " * MAX_REPLY_BYTES, 1)),
    "reset": lambda exchange: exchange.reset(),
    "status 503": respond_with(reply(503)),
    "invalid JSON": respond_with(reply(200, b"not JSON")),
    "invalid age": respond_with(relay_list(6, age_ms="old")),
    "no valid entry": respond_with(relay_list(6, {"name": "", "status": "SERVING"})),
    "silent": never_respond,
    "stale": lambda exchange: exchange.respond(relay_list(6, age_ms=60_000, snapshot=False)),
}


@pytest.mark.parametrize("fault", FAULTS)
@on_loop
async def test_failover_after_any_fault_loses_no_change_and_keeps_the_list(fault: str) -> None:
    async with (
        scripted_server() as host,
        scripted_server() as a,
        scripted_server() as b,
        gateway_with_relays(host, [a, b]) as (run, (first, second)),
    ):
        fault_times_s: list[float] = []

        def script(exchange: Exchange) -> None:
            if "from=" not in exchange.message.start_line and not fault_times_s:
                exchange.respond(relay_list(5, endpoint("s-0", host.address)))
            else:
                fault_times_s.append(time.monotonic())
                FAULTS[fault](exchange)

        first.script = script
        second.script = relay_script(relay_list(900, endpoint("s-0", host.address, status="DRAINING")))
        run.gateway.start()
        await wait_until(lambda: fault_times_s)
        assert not is_draining(run)
        await wait_until(lambda: is_draining(run))
        # Faster than a silent watch of discovery is abandoned
        assert time.monotonic() - fault_times_s[0] < LONG_POLL_HOLD_S + LONG_POLL_GRACE_S
        assert "from=" not in next(target for target in targets(second) if target != "/relay/state")
        seen_before = len(first.exchanges)
        await wait_until(lambda: len(second.exchanges) >= 3)
        # The failed relay cools down, and its connection is closed
        assert len(first.exchanges) == seen_before and first.closed_count == first.connection_count


@pytest.mark.parametrize("state", [b"invalid", b'{"version":1,"age_ms":59000}', None])
@on_loop
async def test_a_partitioned_relay_is_left_for_one_that_reports_a_fresh_list(state: bytes | None) -> None:
    """Freshness checks reject a relay whose state is invalid, hardly fresher or not sent."""
    entry = endpoint("s-0", "127.0.0.1:1")

    def script_with_age(age_ms: int, state_reply: bytes | None) -> Script:
        async def script(exchange: Exchange) -> None:
            if exchange.message.start_line.startswith("GET /relay/state "):
                if state_reply is not None:
                    exchange.respond(reply(200, state_reply))
                return
            is_held = "from=" in exchange.message.start_line
            await asyncio.sleep(RELAY_HOLD_S / 10 if is_held else 0)
            exchange.respond(relay_list(5, *(() if is_held else (entry,)), age_ms=age_ms, snapshot=not is_held))

        return script

    async with (
        scripted_server() as host,
        scripted_server() as a,
        scripted_server() as b,
        scripted_server() as c,
        gateway_with_relays(host, [a, b, c]) as (run, ordered),
    ):
        ordered[0].script = script_with_age(60_000, None)
        ordered[1].script = script_with_age(59_900, state)
        ordered[2].script = script_with_age(300, b'{"version":7,"age_ms":300}')
        run.gateway.start()
        await wait_until(lambda: run.discovery.selector.current is run.discovery.selector.ranked[2])  # type: ignore[attr-defined]
        await wait_until(lambda: any("from=" in target for target in targets(ordered[2])))
        assert {target for target in targets(ordered[1])} == {"/relay/state"}
        assert ordered[0].connection_count == 1


@on_loop
async def test_a_late_reply_of_a_relay_that_was_left_is_ignored() -> None:
    async with (
        scripted_server() as host,
        scripted_server() as a,
        scripted_server() as b,
        gateway_with_relays(host, [a, b]) as (run, (first, second)),
    ):
        had_no_poll_task: list[bool] = []

        async def reply_late(exchange: Exchange) -> None:
            await wait_until(lambda: run.discovery.retry_timer)  # between two relays
            run.gateway.dispatcher.carry_out(WatchList())
            had_no_poll_task.append(run.discovery.poll_task is None)
            with suppress(RuntimeError):  # the connection is already closed
                exchange.respond(relay_list(9, endpoint("s-9", host.address)))

        first.script = reply_late
        second.script = relay_script(relay_list(5, endpoint("s-0", host.address)))
        run.gateway.start()
        await wait_until(lambda: len(second.exchanges) >= 4)
        await wait_until(lambda: first.closed_count)  # its handler may detect the end of the connection later
        assert first.closed_count == 1 and had_no_poll_task == [True]
        assert set(run.pool.hosts) == {host_id(0)}


@pytest.mark.parametrize("age_ms", [1_500, 60_000])
@on_loop
async def test_failover_to_a_relay_with_an_older_list_does_not_undo_a_drain(age_ms: int) -> None:
    """The next relay's list does not include the drain; its permission applies once its list is fresh enough."""
    async with (
        scripted_server() as host,
        scripted_server() as a,
        scripted_server() as b,
        gateway_with_relays(host, [a, b]) as (run, (first, second)),
    ):

        def drain_then_reset(exchange: Exchange) -> None:
            leaving = endpoint("s-0", host.address, status="DRAINING")
            if "from=" in exchange.message.start_line:
                exchange.reset()
            else:
                exchange.respond(relay_list(5, leaving, endpoint("s-1", host.address)))

        first.script = drain_then_reset
        older_entries = [endpoint(f"s-{n}", host.address) for n in (0, 1)]
        second.script = relay_script(relay_list(5, *older_entries, age_ms=age_ms))
        run.gateway.start()
        await wait_until(lambda: len(second.exchanges) >= 2)  # its list has been read
        assert is_draining(run) and not is_draining(run, 1)
        assert isinstance(run.discovery, RelayEndpointSource)
        second.script = relay_script(relay_list(6, *older_entries, age_ms=0))
        await wait_until(lambda: not is_draining(run))
        assert run.discovery.moves == 2


@on_loop
async def test_with_all_relays_failed_discovery_is_polled_rarely_until_a_relay_recovers() -> None:
    def reset(exchange: Exchange) -> None:
        exchange.reset()

    async with (
        scripted_server() as host,
        scripted_server(reset) as a,
        scripted_server(reset) as b,
        scripted_server() as discovery,
    ):
        listed = [endpoint(f"s-{n}", host.address, service=s) for n, s in ((1, "s1"), (2, "s2"))]
        discovery.script = respond_with(list_reply(70, *listed))
        async with gateway_with_relays(host, [a, b], discovery.address, services=("s1",), direct_per_s=1) as (
            run,
            ordered,
        ):
            start_s = time.monotonic()
            run.gateway.start()
            await wait_until(lambda: all(len(relay.exchanges) >= 2 for relay in ordered))
            assert len(run.pool.hosts) == 1
            await wait_until(lambda: len(discovery.exchanges) >= 2)
            assert len(discovery.exchanges) <= 1 + (time.monotonic() - start_s)
            assert targets(discovery)[0] == "/registry/instances" and set(run.pool.hosts) == {host_id(1)}
            ordered[1].script = relay_script(relay_list(5, endpoint("s-3", host.address)))
            await wait_until(lambda: set(run.pool.hosts) == {host_id(3)})
            polls_before = len(discovery.exchanges)
            await wait_until(lambda: len(ordered[1].exchanges) >= 8)
            assert len(discovery.exchanges) == polls_before


@on_loop
async def test_a_gateway_whose_hosts_fail_requests_a_wider_subset() -> None:
    async with (
        scripted_server() as host,
        scripted_server() as a,
        gateway_with_relays(host, [a]) as (run, (relay,)),
    ):
        relay.script = relay_script(relay_list(5, endpoint("s-0", host.address), endpoint("s-1", host.address)))
        assert isinstance(run.discovery, RelayEndpointSource)
        run.discovery.count_failing_hosts = lambda: 1
        run.gateway.start()
        await wait_until(lambda: any("&wide=1&from=5" in target for target in targets(relay)))
