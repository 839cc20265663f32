"""Outcomes of attempts, and the retries that each class of request allows, end to end."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from cloverkeel.balancing.actions import Action, Fail, WatchList
from cloverkeel.balancing.events import AttemptEnded, Event, Outcome, RequestArrived
from cloverkeel.core.ports import LoadBalancer
from tests.sockets import (
    Exchange,
    RunningGateway,
    Script,
    configuration,
    endpoint,
    host_id,
    hosts_list,
    never_respond,
    observe_events,
    on_loop,
    reply,
    request,
    respond_with,
    running_gateway,
    scripted_server,
    wait_for_reuse_delay,
    wait_until,
)


def record_attempt_ends(run: RunningGateway) -> list[AttemptEnded]:
    """Record the ends of attempts that the balancer receives from now on."""
    events: list[AttemptEnded] = []

    def record(event: object) -> None:
        if isinstance(event, AttemptEnded):
            events.append(event)

    observe_events(run, record)
    return events


def reset(exchange: Exchange) -> None:
    exchange.reset()


def truncated_response(exchange: Exchange) -> None:
    exchange.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    exchange.writer.close()


CLOSED_PORT = "127.0.0.1:1"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
FULL = reply(503, b"", "X-Rejected: 1")


@pytest.mark.parametrize(
    ("script", "outcome", "status"),
    [
        (respond_with(reply(200, b"a book")), Outcome.OK, 200),
        (respond_with(reply(500)), Outcome.ERROR, 502),
        (respond_with(reply(503)), Outcome.ERROR, 502),  # without X-Rejected the request may have run
        (respond_with(reply(404, b"", "X-Rejected: 1")), Outcome.ERROR, 502),
        (respond_with(b"no HTTP at all\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(FULL), Outcome.FULL, 503),
        (respond_with(reply(504, b"", "X-Rejected: 1")), Outcome.FULL, 503),
        (reset, Outcome.RESET, 502),
        (truncated_response, Outcome.RESET, 502),  # a truncated 200 is not OK
        # Malformed or oversized responses end the attempt at once; the rest is not awaited.
        (respond_with(b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 20_000), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 " + b"O" * 20_000), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 2_000), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\n\r\nno length"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nfine"), Outcome.ERROR, 502),
        (respond_with(CHUNKED + b"Content-Length: 4\r\n\r\n4\r\nfine\r\n0\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(CHUNKED + b"\r\n4\r\nfine\r\nzz\r\n"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/0.9 200 OK\r\nContent-Length: 4\r\n\r\nfine"), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 100 X\r\n\r\n" * 9), Outcome.ERROR, 502),
        (respond_with(b"HTTP/1.1 100 X\r\n\r\n" * 3 + reply(200, b"a book")), Outcome.OK, 200),
        (respond_with(reply(200, b"a book", "X-Load-Report: TEXT queue=\xff, , =1")), Outcome.OK, 200),
    ],
)
@on_loop
async def test_response_determines_the_outcome(script: Script, outcome: Outcome, status: int) -> None:
    async with scripted_server(script) as host, running_gateway(configuration(host)) as run:
        events = record_attempt_ends(run)
        answer = await run.send_request(request("transfer", b"42"))
        assert answer.status == status
        assert [event.outcome for event in events] == [outcome]
        assert events[0].server == host_id(0) and events[0].finished is (outcome is Outcome.OK)
        assert len(host.exchanges) == 1  # an unsafe request is sent once
        assert not run.gateway.requests.by_key


@on_loop
async def test_refused_connection_is_connect_failed() -> None:
    async with running_gateway(configuration(CLOSED_PORT)) as run:
        events = record_attempt_ends(run)
        assert (await run.send_request(request("transfer"))).status == 503
        assert [event.outcome for event in events] == [Outcome.CONNECT_FAILED]


@on_loop
async def test_connecting_times_out_after_the_connect_timeout() -> None:
    import socket

    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:  # once the backlog is full, no further connection is established
            filler.setblocking(False)
            filler.connect_ex(address)
        config = configuration(f"127.0.0.1:{address[1]}", connectTimeoutUs=50_000)
        async with running_gateway(config) as run:
            events = record_attempt_ends(run)
            assert (await run.send_request(request("transfer"))).status == 503
            assert [event.outcome for event in events] == [Outcome.CONNECT_FAILED]
            assert run.pool.open_connections == 0
        for filler in fillers:
            filler.close()


@on_loop
async def test_timeout_closes_the_connection_and_fails_a_request_that_may_have_run() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        events = record_attempt_ends(run)
        assert (await run.send_request(request("transfer", budget_ms=60))).status == 504
        assert [event.outcome for event in events] == [Outcome.TIMEOUT]
        await wait_until(lambda: host.closed_count == 1)  # the host sees that its response is no longer awaited
        assert run.pool.open_connections == 0 and not run.gateway.requests.by_key


@on_loop
async def test_late_response_of_an_ended_attempt_is_dropped() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        events = record_attempt_ends(run)
        client = await run.connect()
        assert (await client.send_request(request("transfer", budget_ms=60))).status == 504
        host.exchanges[0].respond(reply(200, b"too late"))
        host.script = respond_with(reply(200, b"in time"))
        # After a timeout the balancer may reject some requests.
        while (answer := await client.send_request(request())).status == 503:
            pass
        assert answer.body == b"in time"
        assert [event.outcome for event in events] == [Outcome.TIMEOUT, Outcome.OK]
        client.close()


@pytest.mark.parametrize(("request_class", "is_retried"), [("search", True), ("hold", True), ("transfer", False)])
@on_loop
async def test_only_repeatable_requests_are_retried_after_a_reset(request_class: str, is_retried: bool) -> None:
    exchanges: list[Exchange] = []

    def script(exchange: Exchange) -> None:
        exchanges.append(exchange)
        if len(exchanges) == 1:
            exchange.reset()
        else:
            exchange.respond(reply())

    async with (
        scripted_server(script) as one,
        scripted_server(script) as two,
        running_gateway(configuration(one, two)) as run,
    ):
        answer = await run.send_request(request(request_class))
        assert answer.status == (200 if is_retried else 502)
        assert len(exchanges) == (2 if is_retried else 1)
        keys = {exchange.message.headers.get("idempotency-key") for exchange in exchanges}
        assert len(keys) == 1  # the retry has the key of the first attempt


@pytest.mark.parametrize("request_class", ["search", "hold", "transfer"])
@on_loop
async def test_every_class_is_retried_elsewhere_when_a_host_is_full(request_class: str) -> None:
    rejected: list[Exchange] = []

    def script(exchange: Exchange) -> None:
        if rejected:
            exchange.respond(reply())
        else:
            rejected.append(exchange)
            exchange.respond(FULL)

    async with (
        scripted_server(script) as one,
        scripted_server(script) as two,
        running_gateway(configuration(one, two)) as run,
    ):
        assert (await run.send_request(request(request_class))).status == 200
        assert len(one.exchanges) == len(two.exchanges) == 1


@on_loop
async def test_keyed_request_that_may_have_run_stays_in_its_group() -> None:
    async with scripted_server(reset) as one, scripted_server() as other:
        config = configuration(one)
        config["settings"]["lanes"][1]["group"] = "cell"
        config["known"] = hosts_list(
            7, endpoint("s-0", one.address, group=1), endpoint("s-1", other.address, group=2)
        )
        async with running_gateway(config) as run:
            statuses = [(await run.send_request(request("hold"))).status for _ in range(8)]
            assert one.exchanges and set(statuses) == {200, 502}
            # Requests that were reset at one host are not retried in the other group.
            reset_ids = {exchange.message.headers["x-call-id"] for exchange in one.exchanges}
            assert reset_ids.isdisjoint(exchange.message.headers["x-call-id"] for exchange in other.exchanges)


@on_loop
async def test_headers_and_bodies_are_forwarded_both_ways() -> None:
    script = respond_with(
        reply(200, b"\x00\xff body", "Content-Type: text/x", "X-Hit: 1", "X-Load-Report: TEXT queue=2")
    )
    async with scripted_server(script) as host, running_gateway(configuration(host)) as run:
        events = record_attempt_ends(run)
        data = request("hold", b"slip", connection="keep-alive, x-hop", x_hop="1", budget_ms=5_000)
        answer = await run.send_request(data)
        assert answer.body == b"\x00\xff body"
        assert answer.headers["content-type"] == "text/x" and answer.headers["x-hit"] == "1"
        assert "x-load-report" not in answer.headers
        message = host.exchanges[0].message
        assert message.start_line == "POST /hold/7f3a9c21e0b4d655 HTTP/1.1" and message.body == b"slip"
        assert message.headers["x-call-id"] and message.headers["idempotency-key"]
        assert 0 < int(message.headers["x-budget-ms"]) <= 5_000
        assert "x-hop" not in message.headers
        assert events[0].load is None  # not parsed by default: the balancer ignores it, and parsing costs time
        run.attempt_sender.reads_load_reports = True
        await run.send_request(request("hold", b"slip"))
        assert events[1].load is not None and events[1].load.queue == 2


@pytest.mark.parametrize("report", ["TEXT queue=lots", "JSON {}", "TEXT", "TEXT =,=", "\xff"])
@on_loop
async def test_malformed_load_report_is_ignored(report: str) -> None:
    data = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\nX-Load-Report: " + report.encode("latin-1") + b"\r\n\r\n"
    async with scripted_server(respond_with(data)) as host, running_gateway(configuration(host)) as run:
        assert (await run.send_request(request())).status == 200


@on_loop
async def test_chunked_and_interim_responses_are_parsed() -> None:
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    data += b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    async with scripted_server(respond_with(data)) as host, running_gateway(configuration(host)) as run:
        for _ in range(2):
            assert (await run.send_request(request())).body == b"abc"
            await wait_for_reuse_delay()
        assert host.connection_count == 1


@on_loop
async def test_client_disconnect_cancels_the_attempt() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        events = record_attempt_ends(run)
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: host.exchanges)
        client.close()
        await wait_until(lambda: host.closed_count == 1)
        await wait_until(lambda: events)
        assert events[0].outcome is Outcome.CANCELLED and events[0].finished
        assert not run.gateway.requests.by_key and not run.balancer.lifecycle.requests


@on_loop
async def test_balancer_error_fails_only_one_request() -> None:
    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        errors = [RuntimeError("planted")]

        def fail(event: object) -> None:
            if errors and isinstance(event, RequestArrived):
                raise errors.pop()

        observe_events(run, fail)
        assert (await run.send_request(request("transfer"))).status == 502
        assert (await run.send_request(request("transfer"))).status == 200


@on_loop
async def test_failing_action_does_not_prevent_later_actions() -> None:
    class FailingEndpointSource:
        def watch(self, on: bool) -> None:
            raise RuntimeError("planted")

        def close(self) -> None:
            """Let the gateway close after a failed test."""

    class BalancerWithFailingAction:
        """The balancer, with a failing action before its own."""

        def __init__(self, balancer: LoadBalancer) -> None:
            self.balancer = balancer

        def handle(self, now_us: int, event: Event) -> list[Action]:
            return [WatchList(True), *self.balancer.handle(now_us, event)]

        def shed_ratios(self) -> tuple[float, float]:
            return self.balancer.shed_ratios()

        def slow_start_demands(self, now_us: int) -> list[tuple[int, int, bool, bool]]:
            return self.balancer.slow_start_demands(now_us)

        def ejected_servers(self, now_us: int) -> list[tuple[int, bool]]:
            return self.balancer.ejected_servers(now_us)

        def silent_servers(self, now_us: int) -> list[int]:
            return self.balancer.silent_servers(now_us)

        def started_at_us(self, number: int) -> int:
            return self.balancer.started_at_us(number)

        def retry_token_state(self, now_us: int) -> tuple[float, bool]:
            return self.balancer.retry_token_state(now_us)

    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        endpoint_source = run.gateway.dispatcher.endpoint_source
        run.gateway.dispatcher.endpoint_source, run.gateway.balancer = (
            cast(Any, FailingEndpointSource()),
            BalancerWithFailingAction(run.gateway.balancer),
        )
        assert (await run.send_request(request("transfer"))).status == 200
        run.gateway.dispatcher.endpoint_source = endpoint_source


@on_loop
async def test_response_that_is_not_awaited_is_dropped() -> None:
    async with scripted_server(never_respond) as host, running_gateway(configuration(host)) as run:
        client = await run.connect()
        client.send(request("transfer"))
        await wait_until(lambda: host.exchanges)
        (key,) = run.gateway.requests.by_key
        run.gateway.dispatcher.carry_out(Fail(key))
        assert (await client.read_response()).status == 502
        client.send(request("transfer"))
        await wait_until(lambda: len(host.exchanges) == 2)
        run.gateway.dispatcher.carry_out(Fail(key))  # its attempt has not ended, so the request is still known
        host.exchanges[1].respond(reply(200, b"mine"))
        assert (await client.read_response()).body == b"mine"
        client.close()


@on_loop
async def test_send_to_an_unlisted_host_is_moot() -> None:
    from cloverkeel.balancing.actions import Send

    async with scripted_server() as host, running_gateway(configuration(host)) as run:
        events = record_attempt_ends(run)
        client = await run.connect()
        host.script = never_respond
        data = request("transfer")
        client.send(data)
        await wait_until(lambda: host.exchanges)
        (key,) = run.gateway.requests.by_key
        run.gateway.dispatcher.carry_out(Send(key, 12345, 1_000_000))  # not on the list
        assert [event.outcome for event in events] == [Outcome.MOOT]
        client.close()
        await asyncio.sleep(0)
