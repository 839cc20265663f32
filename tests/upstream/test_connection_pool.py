"""Connections to hosts: reuse, expiry, closing and draining."""

from __future__ import annotations

import asyncio
import gc

import pytest

from cloverkeel.balancing.events import ListKind, Outcome
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import parse
from cloverkeel.frontends.http1.connection import ClientConnection
from cloverkeel.discovery.endpoint_parser import parse_endpoint_list
from cloverkeel.upstream.attempt import Attempt
from cloverkeel.upstream.connection import HostConnection
from cloverkeel.core.ports import AttemptResult
from tests.sockets import (
    Exchange,
    RunningGateway,
    configuration,
    endpoint,
    host_id,
    hosts_list,
    never_respond,
    on_loop,
    reply,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    wait_for_reuse_delay,
    wait_until,
)


def idle(run: RunningGateway, number: int = 0) -> list[HostConnection]:
    return run.pool.hosts[host_id(number)].idle_connections


@on_loop
async def test_connections_are_reused_and_carry_one_request_at_a_time() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        tasks = [asyncio.create_task(run.send_request(request())) for _ in range(2)]
        await wait_until(lambda: len(host.exchanges) == 2)
        assert host.connection_count == 2
        for exchange in host.exchanges:
            exchange.respond(reply())
        await asyncio.gather(*tasks)
        host.script = respond_with(reply())
        for _ in range(3):
            await wait_for_reuse_delay()
            assert (await run.send_request(request())).status == 200
        assert host.connection_count == 2
        last = [exchange.connection for exchange in host.exchanges[2:]]
        assert len(set(last)) == 1  # the most recently used one, so that the other expires


@on_loop
async def test_connection_closed_by_the_host_is_not_written_to() -> None:
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        assert (await run.send_request(request("transfer"))).status == 200
        pool, connection = run.pool, idle(run)[0]
        host.exchanges[0].writer.close()
        await wait_until(lambda: not connection.is_reusable())
        outcomes: list[Outcome] = []
        # As if the loop had not noticed the close yet: the connection is still idle.
        if not idle(run):
            idle(run).append(connection)

        def on_end(result: AttemptResult) -> None:
            outcomes.append(result.outcome)

        data = request("transfer")
        run.attempt_sender.send(Attempt(pool.hosts[host_id(0)], lambda _: [data], on_end), 20_000_000)
        await wait_until(lambda: outcomes)
        assert outcomes == [Outcome.OK] and host.connection_count == 2


@on_loop
async def test_closed_connection_is_detected_before_the_loop_reads_it() -> None:
    """Guards against a write to a connection that was closed while the loop was blocked: the socket is polled."""
    import socket

    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(True)
        config = configuration(f"127.0.0.1:{listener.getsockname()[1]}")
        async with running_gateway(config) as run:
            loop = asyncio.get_running_loop()
            response_task = asyncio.create_task(run.send_request(request()))
            accepted, _ = await loop.run_in_executor(None, listener.accept)
            await loop.run_in_executor(None, accepted.recv, 65536)
            accepted.sendall(reply())
            await response_task
            connection = idle(run)[0]
            assert connection.is_reusable()
            accepted.close()  # the loop does not run between this and the check
            assert not connection.is_reusable()


@pytest.mark.parametrize("unsolicited", [reply(200, b"another's"), b"HTTP/1.1 200 OK\r\nContent-Le"])
@on_loop
async def test_connection_with_unsolicited_bytes_is_closed(unsolicited: bytes) -> None:
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        assert (await run.send_request(request())).status == 200
        host.exchanges[0].respond(unsolicited)
        await wait_until(lambda: not idle(run))
        assert (await run.send_request(request())).body == b"fine" and host.connection_count == 2


@on_loop
async def test_connection_close_from_the_host_ends_the_connection() -> None:
    async with (
        scripted_server(respond_with(reply(200, b"", "Connection: close"))) as host,
        running_gateway(configuration(host)) as run,
    ):
        for opened in (1, 2):
            assert (await run.send_request(request())).status == 200
            assert host.connection_count == opened
        assert not idle(run)


@on_loop
async def test_spare_connections_expire_early_and_the_last_before_the_hosts_timeout() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        tasks = [asyncio.create_task(run.send_request(request())) for _ in range(4)]
        await wait_until(lambda: len(host.exchanges) == 4)
        for exchange in host.exchanges:
            exchange.respond(reply())
        await asyncio.gather(*tasks)
        pool = run.pool
        for connection in idle(run):
            connection.idle_since_us -= 10_000_000
        pool.close_expired()
        await wait_until(lambda: pool.open_connections == 1)
        idle(run)[0].idle_since_us -= 45_000_000
        pool.close_expired()
        await wait_until(lambda: pool.open_connections == 0 and host.closed_count == 4)


@on_loop
async def test_draining_host_finishes_its_requests_and_keeps_no_idle_connection() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        response_task = asyncio.create_task(run.send_request(request()))
        await wait_until(lambda: host.exchanges)
        names = parse(configuration(host)).names
        entries = parse_endpoint_list(
            hosts_list(8, endpoint("s-0", host.address, status="DRAINING")), names
        ).endpoints
        run.gateway.on_endpoint_list(ListKind.DELTA, entries)
        assert (await run.send_request(request())).status == 503  # no other host is listed
        host.exchanges[0].respond(reply(200, b"done"))
        assert (await response_task).body == b"done"
        await wait_until(lambda: host.closed_count == 1)
        assert len(host.exchanges) == 1


@on_loop
async def test_no_attempt_starts_after_the_drain_grace() -> None:
    """An attempt that starts in time is not written if its connection is established too late."""
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        pool, outcomes = run.pool, list[Outcome]()

        def on_end(result: AttemptResult) -> None:
            outcomes.append(result.outcome)

        pool_host = pool.hosts[host_id(0)]
        run.attempt_sender.send(Attempt(pool_host, lambda _: [request()], on_end), 20_000_000)
        pool_host.draining_since_us = now_us() - 1_000_001
        await wait_until(lambda: outcomes)
        assert outcomes == [Outcome.CONNECT_FAILED] and not host.exchanges
        run.attempt_sender.send(Attempt(pool_host, lambda _: [request()], on_end), 20_000_000)
        assert outcomes == [Outcome.CONNECT_FAILED] * 2


@on_loop
async def test_moved_host_is_reached_at_its_new_address() -> None:
    async with scripted_server() as old, scripted_server() as new, running_gateway(configuration(old)) as run:
        old.script = never_respond
        response_task = asyncio.create_task(run.send_request(request()))
        await wait_until(lambda: old.exchanges)
        names = parse(configuration(old)).names
        entries = parse_endpoint_list(hosts_list(8, endpoint("s-0", new.address)), names).endpoints
        run.gateway.on_endpoint_list(ListKind.DELTA, entries)
        old.exchanges[0].respond(reply())
        await response_task
        assert not idle(run)  # the connection to the old address is not kept
        assert (await run.send_request(request())).status == 200
        assert len(old.exchanges) == len(new.exchanges) == 1


@on_loop
async def test_restarted_host_gets_new_connections() -> None:
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        names = parse(configuration(host)).names
        assert (await run.send_request(request())).status == 200
        for since_ms, kept in ((0, 1), (1_000, 0)):
            entries = parse_endpoint_list(
                hosts_list(8, endpoint("s-0", host.address, since_ms=since_ms)), names
            ).endpoints
            run.gateway.on_endpoint_list(ListKind.DELTA, entries)
            assert len(idle(run)) == kept
        assert (await run.send_request(request())).status == 200
        assert host.connection_count == 2


@on_loop
async def test_idle_connections_are_closed_when_descriptors_run_short() -> None:
    async with scripted_server() as first, scripted_server() as second:
        config = configuration(first, second)
        async with running_gateway(config) as run:
            client = await run.connect()
            for _ in range(6):
                assert (await client.send_request(request())).status == 200
            pool = run.pool
            open_before = pool.open_connections
            assert open_before >= 1
            run.server.admission.max_descriptors = 1
            # An idle client is closed before idle connections to hosts, which cost a handshake.
            run.server.admission.reserve_descriptor()
            await wait_until(lambda: not run.server.connections)
            assert pool.open_connections == open_before
            for _ in range(open_before):
                run.server.admission.reserve_descriptor()
            await wait_until(lambda: pool.open_connections == 0)
            client.close()


@on_loop
async def test_second_response_ends_the_connection() -> None:
    """Bytes after the expected response belong to no request, so the connection is not reused."""

    def respond_twice(exchange: Exchange) -> None:
        exchange.respond(reply(200, b"mine") + reply(200, b"whose?"))

    async with scripted_server(respond_twice) as host, running_gateway(configuration(host)) as run:
        for opened in (1, 2):
            assert (await run.send_request(request())).body == b"mine"
            assert host.connection_count == opened
            await wait_for_reuse_delay()


@on_loop
async def test_attempt_cancelled_as_its_connection_is_established_leaks_nothing() -> None:
    """The connect task is cancelled after connection_made and before its end; connection_lost may not follow."""
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        pool, calls = run.pool, 0

        def cancel_on_second_call(at_us: int) -> bool:
            """Called when the attempt starts, and again when its connection is established."""
            nonlocal calls
            calls += 1
            if calls == 2:
                (pending_request,) = run.gateway.requests.by_key.values()
                (attempt,) = pending_request.attempts
                run.attempt_sender.cancel_attempt(attempt)  # type: ignore[arg-type]
            return calls == 1

        run.attempt_sender.set_write_guard(cancel_on_second_call)
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: pool.counts.opened)
        await wait_until(lambda: pool.open_connections == 0)
        (pool_host,) = pool.hosts.values()
        assert pool_host.open_connections == 0 and not pool_host.idle_connections and not host.exchanges
        client.close()


@on_loop
async def test_answered_requests_leave_no_reference_cycles() -> None:
    """Reference cycles are freed only by the garbage collector, which runs seldom and scans all live objects."""
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        for _ in range(3):
            assert (await client.send_request(request())).status == 200
        gc.collect()
        gc.disable()
        try:
            for _ in range(100):
                assert (await client.send_request(request())).status == 200
            collected = gc.collect()
            for _ in range(100):
                assert (await run.send_request(request())).status == 200
            await wait_until(lambda: len(run.server.connections) == 1)
            live_connections = sum(isinstance(item, ClientConnection) for item in gc.get_objects())
        finally:
            gc.enable()
        assert collected < 100 and live_connections < 10
        client.close()
