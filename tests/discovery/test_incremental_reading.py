"""Incremental reading of long lists, with and without gzip: same result as at once, without blocking the loop."""

from __future__ import annotations

import asyncio
import gzip
import json
import random
import time
import zlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.balancing.events import ListKind, RequestArrived, ServerList, ServerStatus
from cloverkeel.assembly import assemble
from cloverkeel.core.config import parse
from cloverkeel.core.incremental_gzip import MAX_BYTES_PER_STEP, decompress_gzip
from cloverkeel.core.incremental_json import decode_json
from cloverkeel.core.messages import Reply
from cloverkeel.core.options import Options, RelayOptions
from cloverkeel.core.list_batches import MAX_UNSPLIT_ENTRIES, BATCH_ENTRIES, ListBatches
from cloverkeel.discovery.endpoint_parser import ENTRIES_PER_STEP
from cloverkeel.discovery.polling_client import PollingClient
from cloverkeel.discovery.http_client import HttpEndpointSource
from cloverkeel.core.incremental import HintedIncremental, run_to_completion
from cloverkeel.discovery.relay_client import RelayEndpointSource
from cloverkeel.discovery.relay_requests import RELAY_HOLD_S, RELAY_GRACE_S
from cloverkeel.discovery.relay_selection import MAX_FIRST_FAILOVER_DELAY_S
from cloverkeel.discovery.relay_client import RELAY_MAX_INCREMENTAL_READ_S
from cloverkeel.discovery.poll_schedule import (
    SILENT_CONNECTION_DETECTION_S,
    MAX_INCREMENTAL_READ_S,
    MAX_NOTIFICATION_DELAY_S,
    UNREACHABLE_DETECTION_S,
    SILENT_WATCH_DETECTION_S,
)
from tests.sockets import (
    Exchange, RunningGateway, ScriptedServer, configuration, endpoint, host_id, hosts_list, observe_events, on_loop,
    reply, request, respond_with, scripted_server, wait_until,
)  # fmt: skip
from tests.discovery.test_list_cost import make_endpoints

# Incremental gzip


def count_steps_until_rejected(body: bytes, limit: int = 1 << 20) -> int:
    """Assert that decompression fails, and return the number of steps before the failure."""
    steps, count = decompress_gzip(body, limit), 0
    with pytest.raises(ValueError):
        for _ in steps:
            count += 1
    return count


@settings(max_examples=60)
@given(st.binary(max_size=2_000), st.integers(1, 200), st.integers(0, 9), st.data())
def test_valid_gzip_is_decompressed_and_other_data_is_rejected(
    chunk: bytes, times: int, level: int, data: st.DataObject
) -> None:
    body = chunk * times
    compressed_body = gzip.compress(body, level)
    assert run_to_completion(decompress_gzip(compressed_body, len(body))) == body
    count_steps_until_rejected(compressed_body[: data.draw(st.integers(0, len(compressed_body) - 1))])
    count_steps_until_rejected(compressed_body + data.draw(st.binary(min_size=1, max_size=9)))
    count_steps_until_rejected(zlib.compress(body))
    if body:
        count_steps_until_rejected(compressed_body, len(body) - 1)


def test_work_per_decompression_step_is_bounded() -> None:
    assert count_steps_until_rejected(gzip.compress(bytes(64 << 20)), 4 << 20) <= (4 << 20) // MAX_BYTES_PER_STEP
    empty_blocks = gzip.compress(b"")[:10] + b"\0\0\0\xff\xff" * 60_000  # empty deflate blocks
    assert count_steps_until_rejected(empty_blocks) >= len(empty_blocks) // MAX_BYTES_PER_STEP > 3


# Incremental JSON


ENTRIES: st.SearchStrategy[list[Any]] = st.lists(
    st.dictionaries(st.sampled_from(["name", "zone"]), st.text('a"},{]\\ é', max_size=9) | st.integers())
    | st.just({"a": [{"b": {}}, {}]}) | st.just("},"),
    min_size=1, max_size=9,
)  # fmt: skip


@settings(max_examples=60)
@given(ENTRIES, st.sampled_from([(", ", ": "), (",", ":"), (" ,\n", ":")]), st.data())
def test_incremental_json_equals_json_loads_and_truncated_text_is_rejected(
    items: list[Any], separators: tuple[str, str], data: st.DataObject
) -> None:
    body = json.dumps({"endpoints": items * 120, "index": 1}, separators=separators, ensure_ascii=False).encode()
    assert run_to_completion(decode_json(body)) == json.loads(body)
    with pytest.raises(ValueError):
        run_to_completion(decode_json(body[: data.draw(st.integers(0, len(body) - 1))]))


# Lists passed to the core


def gzip_reply(plain_reply: bytes) -> bytes:
    head, _, body = plain_reply.partition(b"\r\n\r\n")
    compressed = gzip.compress(body)
    return reply(200, compressed, *(["Content-Encoding: gzip"] if head else []))


def encode_list(
    index: int, is_snapshot: bool, hosts: dict[int, tuple[str, float, int]], address: str = "127.0.0.1:9"
) -> bytes:
    """Return an encoded list; `hosts` maps numbers to (status, weight, start time in ms)."""
    items = [
        endpoint(f"s-{n}", address, status=status, weight=weight, since_ms=since)
        for n, (status, weight, since) in hosts.items()
    ]
    return json.dumps(hosts_list(index, *items, snapshot=is_snapshot)).encode()


class DetachedGateway:
    """A gateway without network; tests pass replies to its discovery client directly."""

    def __init__(self, by_relay: bool) -> None:
        options = Options(relays=RelayOptions((("127.0.0.1", 9),))) if by_relay else None
        self.program = assemble(parse(configuration()), options)
        self.gateway = self.program.gateway
        assert isinstance(self.program.discovery, HttpEndpointSource)
        self.discovery: HttpEndpointSource = self.program.discovery
        if isinstance(self.discovery, RelayEndpointSource):
            self.discovery.selector.choose(0.0)
            # In the future, so that every reply counts as newer than any drain or removal read before, and all its
            # SERVING entries apply
            self.discovery.requested_s = asyncio.get_running_loop().time() + 60.0
        self.notified: list[tuple[ListKind, list[Any]]] = []
        on_list = self.discovery.on_list

        def record_list(kind: ListKind, entries: list[Any]) -> None:
            self.notified.append((kind, entries))
            on_list(kind, entries)

        self.discovery.set_listener(record_list)

    def state(self) -> dict[int, tuple[object, ...]]:
        hosts = self.program.pool.hosts
        servers = self.gateway.balancer.endpoints.by_server  # type: ignore[attr-defined]
        assert hosts.keys() == servers.keys()
        return {n: (servers[n].entry, hosts[n].started_us, hosts[n].draining_since_us is None) for n in hosts}


def random_list(rng: random.Random, index: int, is_snapshot: bool) -> bytes:
    statuses = ("SERVING",) * 8 + ("DRAINING", "DELETED")
    numbers = rng.sample(range(900), rng.choice((3, 60, 600)) if not is_snapshot else rng.choice((150, 700)))
    hosts = {n: (rng.choice(statuses), rng.choice((0.5, 1.0)), rng.choice((0, 0, 0, 5))) for n in numbers}
    return encode_list(index, is_snapshot, hosts)


@pytest.mark.parametrize("by_relay", [False, True], ids=["discovery", "relay"])
@settings(max_examples=25, deadline=None)
@given(seed=st.integers(0, 2**32), plan=st.lists(st.sampled_from(["snapshot", "delta", "superseded"]), max_size=6))
def test_incremental_reading_gives_the_same_state_as_reading_at_once(
    by_relay: bool, seed: int, plan: list[str]
) -> None:
    """`superseded`: parsing is cancelled at a random step."""

    async def run_plan() -> None:
        rng, reference, incremental = random.Random(seed), DetachedGateway(by_relay), DetachedGateway(by_relay)
        for index, action in enumerate(["snapshot", *plan]):
            body, before = random_list(rng, index, action != "delta"), len(incremental.notified)
            steps = incremental.discovery.handle_body(body)
            last = rng.randrange(20) if action == "superseded" else 10**9
            for step, _ in enumerate(steps):
                assert len(incremental.notified) == before  # nothing before the reply was parsed completely
                if step == last:
                    break
                if rng.random() < 0.2:
                    await asyncio.sleep(0)  # may apply a batch of an earlier list
            steps.close()
            if len(incremental.notified) > before:
                reference.discovery.handle_body_at_once(body)
                reference.gateway.on_endpoint_list(ListKind.DELTA, [])
            assert incremental.discovery.schedule.version == reference.discovery.schedule.version
        while (
            incremental.gateway.endpoint_updates.batches.pending or reference.gateway.endpoint_updates.batches.pending
        ):
            await asyncio.sleep(0)
        assert incremental.state() == reference.state()
        assert [(kind, [e.listed for e in entries]) for kind, entries in incremental.notified] == [
            (kind, [e.listed for e in entries]) for kind, entries in reference.notified
        ]
        for gateway in (reference, incremental):
            gateway.program.close()

    asyncio.run(run_plan())


@on_loop
async def test_restrictions_are_applied_first_and_at_once() -> None:
    gateway = DetachedGateway(by_relay=True)
    original = {n: ("SERVING", 1.0, 0) for n in range(700)}
    await gateway.discovery.handle_reply(Reply(200, [], encode_list(1, True, original), True))
    lists: list[ServerList] = []
    run = RunningGateway(gateway.gateway, gateway.program.server, gateway.program.pool, gateway.discovery, 0)
    observe_events(run, lambda event: lists.append(event) if isinstance(event, ServerList) else None)
    assert isinstance(gateway.discovery, RelayEndpointSource)
    gateway.discovery.requested_s += 1.0
    changed = {n: ("SERVING", 0.5, 0) for n in range(50, 690)}
    changed |= {n: ("DRAINING", 0.5, 0) for n in range(100, 400)} | {n: ("SERVING", 0.5, 7) for n in range(400, 650)}
    await gateway.discovery.handle_reply(Reply(200, [], encode_list(2, True, changed), True))
    first = {entry.server: entry for entry in lists[0].servers}
    assert first.keys() == {host_id(n) for n in (*range(50), *range(100, 650), *range(690, 700))}
    assert first[host_id(5)].status is ServerStatus.GONE and first[host_id(649)].started_us == 7_000
    while gateway.gateway.endpoint_updates.batches.pending:
        await asyncio.sleep(0)
    assert all(len(event.servers) <= BATCH_ENTRIES for event in lists[1:])
    assert sum(len(event.servers) for event in lists[1:]) == 90
    gateway.program.close()


def test_a_list_is_split_depending_on_the_number_of_known_hosts() -> None:
    """With up to MAX_UNSPLIT_ENTRIES known hosts, a list of that size is applied at once; with more, in batches."""
    entries = make_endpoints(range(MAX_UNSPLIT_ENTRIES))
    assert ListBatches().split(entries, MAX_UNSPLIT_ENTRIES, lambda entry: False) == entries
    assert ListBatches().split(entries[:BATCH_ENTRIES], 700, lambda entry: False) == entries[:BATCH_ENTRIES]
    batches = ListBatches()
    assert (
        not batches.split(entries, MAX_UNSPLIT_ENTRIES + 1, lambda entry: False)
        and len(batches.pending) == MAX_UNSPLIT_ENTRIES
    )


# When the parsing of a reply yields to the event loop


class SlowClient(PollingClient):
    """A client whose replies take a given number of parsing steps of a given duration."""

    def __init__(self, steps: int, step_s: float) -> None:
        super().__init__(("127.0.0.1", 9), pushed=True)
        self.steps, self.step_s = steps, step_s
        self.turns: list[int] = []  # number of parsing steps in each turn of the event loop

    def handle_body(self, body: bytes) -> HintedIncremental[bool]:
        for _ in range(self.steps):
            end_s = time.monotonic() + self.step_s
            while time.monotonic() < end_s:
                pass
            self.turns[-1] += 1
            yield None
        return True

    def on_call_failed(self) -> None:
        pass

    async def handle(self, size: int) -> list[int]:
        self.turns = [0]
        handling = asyncio.create_task(self.handle_reply(Reply(200, [], bytes(size), True)))
        while not handling.done():
            await asyncio.sleep(0)
            self.turns.append(0)
        assert handling.result() and not self.is_reading
        return [turn for turn in self.turns if turn]


@on_loop
async def test_parsing_suspends_by_elapsed_time_and_only_for_long_replies() -> None:
    client = SlowClient(40, PollingClient.read_slice_s * 1.1)
    client.max_incremental_read_s = 60.0
    assert await client.handle(client.max_atomic_read_bytes + 1) == [1] * 40
    assert await client.handle(client.max_atomic_read_bytes) == [40]
    client.max_incremental_read_s = 10 * client.step_s
    turns = await client.handle(client.max_atomic_read_bytes + 1)
    assert len(turns) <= 11 and turns[-1] >= 30  # after the time limit, the rest is read without suspending
    client.max_incremental_read_s, client.catch_up_task = 60.0, asyncio.create_task(asyncio.sleep(60))
    # In a catch-up, reading does not suspend, because requests wait for this list
    assert await client.handle(client.max_atomic_read_bytes + 1) == [40]
    client.catch_up_task.cancel()


def test_reading_time_fits_within_the_notification_delay() -> None:
    assert (
        max(SILENT_WATCH_DETECTION_S, SILENT_CONNECTION_DETECTION_S, UNREACHABLE_DETECTION_S) + MAX_INCREMENTAL_READ_S
        < MAX_NOTIFICATION_DELAY_S
    )
    assert (
        RELAY_HOLD_S + RELAY_GRACE_S + MAX_FIRST_FAILOVER_DELAY_S + 1.0 + RELAY_MAX_INCREMENTAL_READ_S
        < MAX_NOTIFICATION_DELAY_S
    )


# On loopback

LONG_LIST_HOSTS = 4_000  # hosts in a list that takes over 100 turns of the event loop to read
NEVER_US = 10**15  # a stall threshold that no delay exceeds


def long_list(
    index: int, address: str, status: str = "SERVING", weight: float = 1.0, count: int = LONG_LIST_HOSTS
) -> bytes:
    return reply(200, encode_list(index, True, {n: (status, weight, 0) for n in range(count)}, address))


class ScriptedSource:
    """A scripted relay or discovery: sends the given replies in order, then empty deltas."""

    def __init__(self, *replies: bytes) -> None:
        self.replies = list(replies)

    async def __call__(self, exchange: Exchange) -> None:
        if self.replies:
            exchange.respond(self.replies.pop(0))
            return
        await asyncio.sleep(RELAY_HOLD_S / 2)
        index = exchange.message.start_line.partition("from=")[2].split("&")[0]
        exchange.respond(reply(200, encode_list(int(index or 0), False, {})))


@asynccontextmanager
async def serving_gateway(
    host: ScriptedServer, source: ScriptedServer, by_relay: bool = True
) -> AsyncIterator[RunningGateway]:
    """Run a serving gateway that polls this relay or this discovery."""
    options = Options(relays=RelayOptions((("127.0.0.1", int(source.address.split(":")[1])),)))
    program = assemble(parse(configuration(host, discovery=source.address)), options if by_relay else None)
    await program.server.start()
    assert program.server.listener.socket is not None and isinstance(program.discovery, HttpEndpointSource)
    port = program.server.listener.socket.getsockname()[1]
    try:
        yield RunningGateway(program.gateway, program.server, program.pool, program.discovery, port)
    finally:
        program.server.close()
        program.close()


async def wait_until_reading(run: RunningGateway) -> None:
    """Wait until a long reply is partly read."""
    while not run.discovery.is_reading:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert run.discovery.is_reading


@on_loop
async def test_requests_are_served_while_a_long_gzip_list_is_read() -> None:
    async with (
        scripted_server(respond_with(reply())) as host,
        scripted_server() as relay,
        serving_gateway(host, relay) as run,
    ):
        relay.script = ScriptedSource(gzip_reply(long_list(5, host.address)))
        client = await run.connect()
        run.gateway.start()
        responses = 0
        while host_id(LONG_LIST_HOSTS - 1) not in run.pool.hosts:
            assert (await client.send_request(request())).status == 200
            responses += run.discovery.is_reading
        assert responses > 3 and run.pool.host_count() == LONG_LIST_HOSTS
        assert relay.exchanges[0].message.headers["accept-encoding"] == "gzip"
        client.close()


@on_loop
async def test_direct_requests_to_discovery_have_no_extra_headers() -> None:
    async with (
        scripted_server(respond_with(reply())) as host,
        scripted_server() as discovery,
        serving_gateway(host, discovery, False) as run,
    ):
        discovery.script = ScriptedSource(long_list(5, host.address, count=3))
        run.gateway.start()
        await wait_until(lambda: len(discovery.exchanges) >= 3)
        assert all(exchange.message.headers.keys() == {"host"} for exchange in discovery.exchanges)


@on_loop
async def test_direct_polls_after_the_loss_of_all_relays_do_not_offer_gzip() -> None:
    gateway = DetachedGateway(by_relay=True)
    assert isinstance(gateway.discovery, RelayEndpointSource)
    assert gateway.discovery.extra_headers()
    gateway.discovery.selector.current = None
    assert not gateway.discovery.extra_headers()
    coded_reply = Reply(200, [(b"content-encoding", b"x")], b"as it is", True)
    assert run_to_completion(gateway.discovery.decode_content(coded_reply)) == b"as it is"
    gateway.program.close()


@on_loop
async def test_a_drain_in_the_next_reply_overtakes_a_pending_long_list() -> None:
    """No delay of the machine counts as a stall, and no batch is applied before the drain's reply has arrived.

    After a stall all pending batches are applied at once, so none would be pending when the drain is read.
    """
    async with (
        scripted_server(respond_with(reply())) as host,
        scripted_server() as relay,
        serving_gateway(host, relay) as run,
    ):
        original, changed = long_list(8, host.address), long_list(9, host.address, weight=0.5)
        drain = reply(200, encode_list(10, False, {LONG_LIST_HOSTS - 1: ("DRAINING", 0.5, 0)}, host.address))
        updates, loop = run.gateway.endpoint_updates, asyncio.get_running_loop()
        run.gateway.stall_detector.threshold_us = NEVER_US
        pending_counts: list[int] = []

        async def answer_by_version(exchange: Exchange) -> None:
            """Answer each version with the next one, so that a call repeated after a timeout gets its reply again."""
            version = exchange.message.start_line.partition("from=")[2].split("&")[0]
            if version == "10":
                await ScriptedSource()(exchange)
            elif version == "8":
                accepts_gzip = "accept-encoding" in exchange.message.headers  # not a direct poll after a failover
                exchange.respond(gzip_reply(changed) if accepts_gzip else changed)
            else:
                exchange.respond(drain if version == "9" else original)

        def resume_batches_once_reply_arrived() -> None:
            if run.discovery.connection is not None and run.discovery.connection.has_unread:
                updates.on_loop_iteration()
            else:
                loop.call_soon(resume_batches_once_reply_arrived)

        def on_event(event: object) -> None:
            if not isinstance(event, ServerList):
                return
            if any(e.status is ServerStatus.DRAINING for e in event.servers):
                pending_counts.append(len(updates.batches.pending))
            elif run.discovery.schedule.version == 9 and len(updates.batches.pending) == LONG_LIST_HOSTS:
                assert updates.iteration_handle is not None
                updates.iteration_handle.cancel()
                loop.call_soon(resume_batches_once_reply_arrived)

        relay.script = answer_by_version
        observe_events(run, on_event)
        run.gateway.start()
        await wait_until(lambda: pending_counts and not updates.batches.pending)
        assert pending_counts[0] > 0
        assert run.pool.hosts[host_id(LONG_LIST_HOSTS - 1)].draining_since_us is not None
        assert run.balancer.endpoints.by_server[host_id(0)].entry.weight == 0.5


@pytest.mark.parametrize("cause", ["move", "fetch", "stop", "close", "invalid"])
@on_loop
async def test_a_list_that_is_superseded_while_being_read_is_never_applied(cause: str) -> None:
    async with (
        scripted_server(respond_with(reply())) as host, scripted_server() as first, scripted_server() as other,
        serving_gateway(host, first, False) as run,
    ):  # fmt: skip
        long, short = long_list(8, host.address), long_list(9, host.address, count=2)
        if cause == "invalid":
            long = reply(200, long.partition(b"\r\n\r\n")[2][:-1])
        first.script, other.script = ScriptedSource(long, short), ScriptedSource(short)
        counts: set[int] = set()
        observe_events(run, lambda event: counts.add(run.pool.host_count()))
        run.gateway.start()
        await wait_until_reading(run)
        if cause == "move":
            run.discovery.move(("127.0.0.1", int(other.address.split(":")[1])))
        elif cause != "invalid":
            getattr(run.discovery, cause)()
        if cause in ("stop", "close"):
            for _ in range(2 * LONG_LIST_HOSTS // ENTRIES_PER_STEP):  # more turns than the rest of the reply needs
                await asyncio.sleep(0)
            assert run.pool.host_count() == 1 and run.discovery.schedule.version == 7  # the initial list
        else:
            await wait_until(lambda: run.discovery.schedule.version == 9)
            assert run.pool.host_count() == 2
        if cause in ("move", "fetch"):
            next_request = (other.exchanges if cause == "move" else first.exchanges[1:])[0]
            assert "from=" not in next_request.message.start_line
        assert not run.discovery.is_reading and max(counts) <= 2


@on_loop
async def test_a_list_of_a_relay_that_is_left_while_reading_it_is_never_applied() -> None:
    async with (
        scripted_server(respond_with(reply())) as host,
        scripted_server() as first,
        scripted_server() as other,
        serving_gateway(host, first) as run,
    ):
        first.script, other.script = (
            ScriptedSource(gzip_reply(long_list(8, host.address))),
            ScriptedSource(long_list(9, host.address, count=2)),
        )
        counts: set[int] = set()
        observe_events(run, lambda event: counts.add(run.pool.host_count()))
        run.gateway.start()
        await wait_until_reading(run)
        assert isinstance(run.discovery, RelayEndpointSource)
        requested_s = run.discovery.requested_s
        run.discovery.use(RelayOptions((("127.0.0.1", int(other.address.split(":")[1])),)))
        while run.discovery.is_reading:
            # The next relay is polled only after reading has ended
            assert run.discovery.requested_s == requested_s
            await asyncio.sleep(0)
        await wait_until(lambda: run.discovery.schedule.version == 9)
        assert max(counts) <= 2 and "from=" not in other.exchanges[0].message.start_line


@on_loop
async def test_a_list_being_read_during_a_stall_is_applied_before_requests_are_sent() -> None:
    async with (
        scripted_server(respond_with(reply())) as host,
        scripted_server() as relay,
        serving_gateway(host, relay) as run,
    ):
        order: list[str] = []

        def on_event(event: object) -> None:
            if isinstance(event, ServerList) and len(event.servers) > 2:
                order.append("list")
            elif isinstance(event, RequestArrived):
                order.append("request")

        observe_events(run, on_event)
        relay.script = ScriptedSource(gzip_reply(long_list(5, host.address)))
        run.gateway.start()
        client = await run.connect()
        await wait_until_reading(run)
        run.gateway.check_stall(run.gateway.stall_detector.last_check_us + 1_000_000)
        client.send(request())
        assert (await client.read_response()).status == 200
        assert order == ["list", "request"]
        client.close()
