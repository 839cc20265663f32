"""The HTTP endpoint source: known list, snapshots, watches and failures."""

from __future__ import annotations

import asyncio
import json

import pytest

from cloverkeel.balancing.actions import FetchList, WatchList
from cloverkeel.balancing.events import ListKind, ServerList
from tests.sockets import (
    Exchange,
    RunningGateway,
    Script,
    ScriptedServer,
    configuration,
    endpoint,
    host_id,
    list_reply,
    never_respond,
    observe_events,
    on_loop,
    reply,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    wait_until,
)


def record_lists(run: RunningGateway) -> list[ServerList]:
    """Record the list events that the balancer receives from now on."""
    notified: list[ServerList] = []

    def on_event(event: object) -> None:
        if isinstance(event, ServerList):
            notified.append(event)

    observe_events(run, on_event)
    return notified


def requested_targets(registry: ScriptedServer) -> list[str]:
    return [exchange.message.start_line.split(" ")[1] for exchange in registry.exchanges]


def start_watch(run: RunningGateway) -> None:
    run.gateway.dispatcher.carry_out(WatchList())


@on_loop
async def test_a_watch_continues_from_the_held_version() -> None:
    replies = [
        list_reply(8, endpoint("s-1", "127.0.0.1:1"), snapshot=False),
        list_reply(8, snapshot=False),
        list_reply(9, endpoint("s-0", "127.0.0.1:1", status="DELETED"), snapshot=False),
    ]

    def script(exchange: Exchange) -> None:
        if replies:
            exchange.respond(replies.pop(0))

    async with (
        scripted_server(script) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        start_watch(run)
        start_watch(run)  # has no effect on an active watch
        await wait_until(lambda: len(registry.exchanges) == 4)
        holds = [(7, 0), (8, 1000), (8, 1000), (9, 1000)]  # the first call on a connection is not a long poll
        assert requested_targets(registry) == [f"/registry/instances?from={n}&hold_ms={ms}" for n, ms in holds]
        assert registry.connection_count == 1
        assert set(run.pool.hosts) == {host_id(1)} == set(run.balancer.endpoints.by_server)


@on_loop
async def test_a_stopped_watch_closes_its_connection_and_reports_nothing() -> None:
    async with (
        scripted_server(never_respond) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        start_watch(run)
        await wait_until(lambda: registry.exchanges)
        notified = record_lists(run)
        run.gateway.dispatcher.carry_out(WatchList(False))
        await wait_until(lambda: registry.closed_count == 1)
        assert not notified and run.discovery.poll_task is None


@on_loop
async def test_a_snapshot_removes_hosts_that_it_does_not_list() -> None:
    listed = endpoint("s-1", "127.0.0.1:1", zone="b", group=3, since_ms=5, weight=2)
    async with scripted_server(respond_with(list_reply(12, listed))) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"] |= {"membershipMode": "on_request", "contract": {"mustAskInUs": 10**12}}
        async with running_gateway(config) as run:  # no poll except the one that this test starts
            notified = record_lists(run)
            run.gateway.dispatcher.carry_out(FetchList())
            await wait_until(lambda: notified)
            assert requested_targets(registry) == ["/registry/instances"]
            (event,) = notified
            assert event.kind is ListKind.FULL
            (entry,) = event.servers
            assert (entry.zone, entry.group, entry.started_us, entry.weight) == (1, 3, 5_000, 2.0)
            assert set(run.pool.hosts) == {host_id(1)}


def reset_connection(exchange: Exchange) -> None:
    exchange.reset()


@pytest.mark.parametrize(
    "script",
    [
        reset_connection,
        respond_with(reply(503)),
        respond_with(reply(200, b"not JSON")),
        respond_with(reply(200, b"[]")),
        respond_with(reply(200, b"{}")),
        respond_with(reply(200, b'{"index":1,"endpoints":{}}')),
        respond_with(b"no HTTP\r\n\r\n"),
    ],
)
@on_loop
async def test_a_failed_call_is_reported_and_repeated_by_the_balancer(script: Script) -> None:
    async with scripted_server(script) as registry:
        config = configuration("127.0.0.1:1", discovery=registry.address)
        config["settings"]["membershipMode"] = "on_request"  # the balancer requests the polls and the retries
        async with running_gateway(config) as run:
            notified = record_lists(run)
            await wait_until(lambda: len(notified) >= 2)
            assert {event.kind for event in notified} == {ListKind.ERROR}
            assert set(run.pool.hosts) == {host_id(0)}  # the old list stays in use
            registry.script = respond_with(list_reply(9, endpoint("s-3", "127.0.0.1:1")))
            await wait_until(lambda: host_id(3) in run.pool.hosts)
            registry.script = never_respond


@on_loop
async def test_a_pushed_list_is_watched_from_the_start_and_again_after_a_failure() -> None:
    async with (
        scripted_server(reset_connection) as registry,
        running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
    ):
        await wait_until(lambda: len(registry.exchanges) >= 2)
        registry.script = respond_with(list_reply(9, endpoint("s-3", "127.0.0.1:1")))
        await wait_until(lambda: host_id(3) in run.pool.hosts)
        registry.script = never_respond


@on_loop
async def test_invalid_entries_are_skipped_and_unknown_fields_are_ignored() -> None:
    async with scripted_server() as host:
        good = endpoint("s-1", host.address, colour="red")
        bad: list[object] = [
            None,
            7,
            {},
            endpoint("", host.address),
            endpoint("s-2", "nowhere"),
            endpoint("s-2", "127.0.0.1:99999"),
            endpoint("s-2", host.address, status="STOPPED"),
            endpoint("s-2", host.address, weight="heavy"),
            endpoint("s-2", host.address, weight=-1),
            endpoint("s-2", host.address, since_ms="long ago"),
            {**endpoint("s-2", host.address), "name": ["s-2"]},
        ]
        text = json.dumps({"index": 9, "snapshot": True, "more": {}, "endpoints": [*bad, good]})
        script = respond_with(reply(200, text.encode()))
        async with (
            scripted_server(script) as registry,
            running_gateway(configuration("127.0.0.1:1", discovery=registry.address)) as run,
        ):
            await wait_until(lambda: host_id(1) in run.pool.hosts)
            registry.script = never_respond
            assert set(run.pool.hosts) == {host_id(1)}
            assert (await run.send_request(request())).status == 200


@on_loop
async def test_an_invalid_known_list_is_ignored() -> None:
    async with scripted_server(never_respond) as registry:
        config = configuration(discovery=registry.address)
        config["known"] = {"index": "new", "endpoints": 3}
        async with running_gateway(config) as run:
            await wait_until(lambda: registry.exchanges)
            assert requested_targets(registry) == ["/registry/instances"]
            assert not run.pool.hosts
    await asyncio.sleep(0)
