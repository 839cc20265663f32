"""A long list is read by steps, and may come as gzip: what is told is as ever, and others have their turns."""

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
from cloverkeel.core.incremental_gzip import STEP, unpack
from cloverkeel.core.incremental_json import decode
from cloverkeel.core.messages import Reply
from cloverkeel.core.options import Options, Relays as RelayOptions
from cloverkeel.core.list_batches import AT_ONCE, SLICE, Slices
from cloverkeel.discovery.http_client import PARSED, Caller, Discovery, Steps, finished
from cloverkeel.discovery.relay_client import RelayedDiscovery
from cloverkeel.discovery.relay_selection import HELD_S, LATE_S, MOVE_S, READ_S as RELAYS_READ_S
from cloverkeel.discovery.poll_schedule import FIRST_SILENT_S, READ_S, TOLD_S, UNREACHED_S, WATCH_SILENT_S
from tests.sockets import (
    Exchange, Peer, Running, answers, configuration, endpoint, host_id, hosts_list, on_loop, overhear, peer, reply,
    request, until,
)  # fmt: skip
from tests.test_list_cost import serving

# gzip, by steps


def refused(body: bytes, limit: int = 1 << 20) -> int:
    """After how many steps."""
    steps, count = unpack(body, limit), 0
    with pytest.raises(ValueError):
        for _ in steps:
            count += 1
    return count


@settings(max_examples=60)
@given(st.binary(max_size=2_000), st.integers(1, 200), st.integers(0, 9), st.data())
def test_what_was_packed_is_read_and_nothing_else(some: bytes, times: int, level: int, data: st.DataObject) -> None:
    body = some * times
    packed = gzip.compress(body, level)
    assert finished(unpack(packed, len(body))) == body
    refused(packed[: data.draw(st.integers(0, len(packed) - 1))])
    refused(packed + data.draw(st.binary(min_size=1, max_size=9)))
    refused(zlib.compress(body))
    if body:
        refused(packed, len(body) - 1)


def test_a_step_makes_little_whatever_was_packed() -> None:
    assert refused(gzip.compress(bytes(64 << 20)), 4 << 20) <= (4 << 20) // STEP
    nothing = gzip.compress(b"")[:10] + b"\0\0\0\xff\xff" * 60_000  # blocks of nothing
    assert refused(nothing) >= len(nothing) // STEP > 3


# JSON, by steps


ENTRIES: st.SearchStrategy[list[Any]] = st.lists(
    st.dictionaries(st.sampled_from(["name", "zone"]), st.text('a"},{]\\ é', max_size=9) | st.integers())
    | st.just({"a": [{"b": {}}, {}]}) | st.just("},"),
    min_size=1, max_size=9,
)  # fmt: skip


@settings(max_examples=60)
@given(ENTRIES, st.sampled_from([(", ", ": "), (",", ":"), (" ,\n", ":")]), st.data())
def test_entries_are_what_json_says_and_a_cut_text_is_refused(
    items: list[Any], separators: tuple[str, str], data: st.DataObject
) -> None:
    body = json.dumps({"endpoints": items * 120, "index": 1}, separators=separators, ensure_ascii=False).encode()
    assert finished(decode(body)) == json.loads(body)
    with pytest.raises(ValueError):
        finished(decode(body[: data.draw(st.integers(0, len(body) - 1))]))


# What is told in the end


def packed(reply_: bytes) -> bytes:
    head, _, body = reply_.partition(b"\r\n\r\n")
    made = gzip.compress(body)
    return reply(200, made, *(["Content-Encoding: gzip"] if head else []))


def listed(index: int, whole: bool, hosts: dict[int, tuple[str, float, int]], address: str = "127.0.0.1:9") -> bytes:
    """Hosts by number: status, weight, start."""
    items = [
        endpoint(f"s-{n}", address, status=status, weight=weight, since_ms=since)
        for n, (status, weight, since) in hosts.items()
    ]
    return json.dumps(hosts_list(index, *items, snapshot=whole)).encode()


class Taking:
    """A gateway whose caller is handed its answers."""

    def __init__(self, by_relay: bool) -> None:
        options = Options(relays=RelayOptions((("127.0.0.1", 9),))) if by_relay else None
        self.program = assemble(parse(configuration()), options)
        self.gateway = self.program.gateway
        assert isinstance(self.program.discovery, Discovery)
        self.discovery: Discovery = self.program.discovery
        if isinstance(self.discovery, RelayedDiscovery):
            self.discovery.relays.choose(0.0)
            self.discovery.asked_s = asyncio.get_running_loop().time() + 60.0  # what it permits is newer than all
        self.told: list[tuple[ListKind, list[Any]]] = []
        on_list = self.discovery.on_list

        def hear(kind: ListKind, entries: list[Any]) -> None:
            self.told.append((kind, entries))
            on_list(kind, entries)

        self.discovery.set_listener(hear)

    def state(self) -> dict[int, tuple[object, ...]]:
        hosts = self.program.pools.hosts
        servers = self.gateway.balancer.endpoints.by_server  # type: ignore[attr-defined]
        assert hosts.keys() == servers.keys()
        return {n: (servers[n].entry, hosts[n].started_us, hosts[n].drained_us is None) for n in hosts}


def some_answer(dice: random.Random, index: int, whole: bool) -> bytes:
    statuses = ("SERVING",) * 8 + ("DRAINING", "DELETED")
    numbers = dice.sample(range(900), dice.choice((3, 60, 600)) if not whole else dice.choice((150, 700)))
    hosts = {n: (dice.choice(statuses), dice.choice((0.5, 1.0)), dice.choice((0, 0, 0, 5))) for n in numbers}
    return listed(index, whole, hosts)


@pytest.mark.parametrize("by_relay", [False, True], ids=["discovery", "relay"])
@settings(max_examples=25, deadline=None)
@given(seed=st.integers(0, 2**32), plan=st.lists(st.sampled_from(["whole", "change", "left"]), max_size=6))
def test_whatever_the_steps_the_core_knows_what_answers_at_one_go_tell(
    by_relay: bool, seed: int, plan: list[str]
) -> None:
    """`left`: the list is superseded while it is read."""

    async def play() -> None:
        dice, at_once, by_steps = random.Random(seed), Taking(by_relay), Taking(by_relay)
        for index, what in enumerate(["whole", *plan]):
            body, before = some_answer(dice, index, what != "change"), len(by_steps.told)
            steps = by_steps.discovery.hear(body)
            last = dice.randrange(20) if what == "left" else 10**9
            for step, _ in enumerate(steps):
                assert len(by_steps.told) == before  # nothing until all was read
                if step == last:
                    break
                if dice.random() < 0.2:
                    await asyncio.sleep(0)  # a part of what waits of an earlier list
            steps.close()
            if len(by_steps.told) > before:
                at_once.discovery.take(body)
                at_once.gateway.on_list(ListKind.DELTA, [])
            assert by_steps.discovery.plan.index == at_once.discovery.plan.index
        while by_steps.gateway.slices.waiting or at_once.gateway.slices.waiting:
            await asyncio.sleep(0)
        assert by_steps.state() == at_once.state()
        assert [(kind, [e.listed for e in told]) for kind, told in by_steps.told] == [
            (kind, [e.listed for e in told]) for kind, told in at_once.told
        ]
        for taking in (at_once, by_steps):
            taking.program.close()

    asyncio.run(play())


@on_loop
async def test_what_restricts_is_told_first_and_in_one_piece() -> None:
    taking = Taking(by_relay=True)
    served = {n: ("SERVING", 1.0, 0) for n in range(700)}
    await taking.discovery.take_in(Reply(200, [], listed(1, True, served), True))
    lists: list[ServerList] = []
    run = Running(taking.gateway, taking.program.server, taking.program.pools, taking.discovery, 0)
    overhear(run, lambda event: lists.append(event) if isinstance(event, ServerList) else None)
    assert isinstance(taking.discovery, RelayedDiscovery)
    taking.discovery.asked_s += 1.0
    changed = {n: ("SERVING", 0.5, 0) for n in range(50, 690)}
    changed |= {n: ("DRAINING", 0.5, 0) for n in range(100, 400)} | {n: ("SERVING", 0.5, 7) for n in range(400, 650)}
    await taking.discovery.take_in(Reply(200, [], listed(2, True, changed), True))
    first = {entry.server: entry for entry in lists[0].servers}
    assert first.keys() == {host_id(n) for n in (*range(50), *range(100, 650), *range(690, 700))}
    assert first[host_id(5)].status is ServerStatus.GONE and first[host_id(649)].started_us == 7_000
    while taking.gateway.slices.waiting:
        await asyncio.sleep(0)
    assert all(len(event.servers) <= SLICE for event in lists[1:])
    assert sum(len(event.servers) for event in lists[1:]) == 90
    taking.program.close()


def test_a_list_is_short_by_what_the_gateway_knows() -> None:
    """Who knows no more than the platform has takes lists of its size as they are; who knows more, a slice."""
    entries = serving(range(AT_ONCE))
    assert Slices().take(entries, AT_ONCE, lambda entry: False) == entries
    assert Slices().take(entries[:SLICE], 700, lambda entry: False) == entries[:SLICE]
    slices = Slices()
    assert not slices.take(entries, AT_ONCE + 1, lambda entry: False) and len(slices.waiting) == AT_ONCE


# Turns of the loop


class Worker(Caller):
    """Whose answers take so many steps of so long."""

    def __init__(self, steps: int, step_s: float) -> None:
        super().__init__(("127.0.0.1", 9), pushed=True)
        self.steps, self.step_s = steps, step_s
        self.turns: list[int] = []  # how many steps each had

    def hear(self, body: bytes) -> Steps[bool]:
        for _ in range(self.steps):
            until_s = time.monotonic() + self.step_s
            while time.monotonic() < until_s:
                pass
            self.turns[-1] += 1
            yield None
        return True

    def failed(self) -> None:
        pass

    async def work(self, size: int) -> list[int]:
        self.turns = [0]
        taking = asyncio.create_task(self.take_in(Reply(200, [], bytes(size), True)))
        while not taking.done():
            await asyncio.sleep(0)
            self.turns.append(0)
        assert taking.result() and not self.taking
        return [turn for turn in self.turns if turn]


@on_loop
async def test_the_loop_has_its_turns_by_time_and_only_for_long_answers() -> None:
    worker = Worker(40, Caller.slice_s * 1.1)
    worker.read_s = 60.0
    assert await worker.work(worker.long + 1) == [1] * 40
    assert await worker.work(worker.long) == [40]
    worker.read_s = 10 * worker.step_s
    turns = await worker.work(worker.long + 1)
    assert len(turns) <= 11 and turns[-1] >= 30  # its time is over: the rest in one piece
    worker.read_s, worker.catching = 60.0, asyncio.create_task(asyncio.sleep(60))
    assert await worker.work(worker.long + 1) == [40]  # nothing is sent before it is told
    worker.catching.cancel()


def test_reading_is_within_the_times_in_which_a_change_is_told() -> None:
    assert max(WATCH_SILENT_S, FIRST_SILENT_S, UNREACHED_S) + READ_S < TOLD_S
    assert HELD_S + LATE_S + MOVE_S + 1.0 + RELAYS_READ_S < TOLD_S


# On loopback

MANY = 4_000  # hosts of a list that takes a hundred turns and more to read


def many(index: int, address: str, status: str = "SERVING", weight: float = 1.0, count: int = MANY) -> bytes:
    return reply(200, listed(index, True, {n: (status, weight, 0) for n in range(count)}, address))


class Teller:
    """A scripted relay or discovery: these answers in order, then nothing new."""

    def __init__(self, *told: bytes) -> None:
        self.told = list(told)

    async def __call__(self, exchange: Exchange) -> None:
        if self.told:
            exchange.answer(self.told.pop(0))
            return
        await asyncio.sleep(HELD_S / 2)
        index = exchange.message.first.partition("from=")[2].split("&")[0]
        exchange.answer(reply(200, listed(int(index or 0), False, {})))


@asynccontextmanager
async def beside(host: Peer, teller: Peer, by_relay: bool = True) -> AsyncIterator[Running]:
    """The gateway, serving, behind this relay or this discovery."""
    options = Options(relays=RelayOptions((("127.0.0.1", int(teller.address.split(":")[1])),)))
    program = assemble(parse(configuration(host, discovery=teller.address)), options if by_relay else None)
    await program.server.start()
    assert program.server.listener is not None and isinstance(program.discovery, Discovery)
    port = program.server.listener.getsockname()[1]
    try:
        yield Running(program.gateway, program.server, program.pools, program.discovery, port)
    finally:
        program.server.close()
        program.close()


async def reading(run: Running) -> None:
    """Until a long answer is being read, and some of it was."""
    while not run.discovery.taking:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert run.discovery.taking


@on_loop
async def test_requests_are_served_while_a_long_gzip_list_is_read() -> None:
    async with peer(answers(reply())) as host, peer() as relay, beside(host, relay) as run:
        relay.script = Teller(packed(many(5, host.address)))
        client = await run.connect()
        run.gateway.start()
        served = 0
        while host_id(MANY - 1) not in run.pools.hosts:
            assert (await client.ask(request())).status == 200
            served += run.discovery.taking
        assert served > 3 and run.pools.known() == MANY
        assert relay.seen[0].message.headers["accept-encoding"] == "gzip"
        client.close()


@on_loop
async def test_discovery_itself_is_asked_as_ever() -> None:
    async with peer(answers(reply())) as host, peer() as discovery, beside(host, discovery, False) as run:
        discovery.script = Teller(many(5, host.address, count=3))
        run.gateway.start()
        await until(lambda: len(discovery.seen) >= 3)
        assert all(exchange.message.headers.keys() == {"host"} for exchange in discovery.seen)


@on_loop
async def test_of_discovery_that_answers_for_lost_relays_no_gzip_is_asked() -> None:
    taking = Taking(by_relay=True)
    assert isinstance(taking.discovery, RelayedDiscovery)
    assert taking.discovery.accepts()
    taking.discovery.relays.at = None
    assert not taking.discovery.accepts()
    odd = Reply(200, [(b"content-encoding", b"x")], b"as it is", True)
    assert finished(taking.discovery.unpack(odd)) == b"as it is"
    taking.program.close()


@on_loop
async def test_a_drain_in_the_next_answer_goes_ahead_of_a_long_list_that_is_still_told() -> None:
    async with peer(answers(reply())) as host, peer() as relay, beside(host, relay) as run:
        drain = reply(200, listed(7, False, {MANY - 1: ("DRAINING", 0.5, 0)}, host.address))
        relay.script = Teller(many(5, host.address), packed(many(6, host.address, weight=0.5)), drain)
        waiting: list[int] = []

        def hear(event: object) -> None:
            if isinstance(event, ServerList) and any(e.status is ServerStatus.DRAINING for e in event.servers):
                waiting.append(len(run.gateway.slices.waiting))

        overhear(run, hear)
        run.gateway.start()
        await until(lambda: waiting and not run.gateway.slices.waiting)
        assert waiting[0] > 0
        assert run.pools.hosts[host_id(MANY - 1)].drained_us is not None
        assert run.module.endpoints.by_server[host_id(0)].entry.weight == 0.5


@pytest.mark.parametrize("how", ["move", "fetch", "stop", "close", "unfit"])
@on_loop
async def test_a_list_that_is_superseded_while_it_is_read_is_never_told(how: str) -> None:
    async with (
        peer(answers(reply())) as host, peer() as first, peer() as other, beside(host, first, False) as run,
    ):  # fmt: skip
        long, short = many(8, host.address), many(9, host.address, count=2)
        if how == "unfit":
            long = reply(200, long.partition(b"\r\n\r\n")[2][:-1])
        first.script, other.script = Teller(long, short), Teller(short)
        counts: set[int] = set()
        overhear(run, lambda event: counts.add(run.pools.known()))
        run.gateway.start()
        await reading(run)
        if how == "move":
            run.discovery.move(("127.0.0.1", int(other.address.split(":")[1])))
        elif how != "unfit":
            getattr(run.discovery, how)()
        if how in ("stop", "close"):
            for _ in range(2 * MANY // PARSED):  # more turns than the rest of it would take
                await asyncio.sleep(0)
            assert run.pools.known() == 1 and run.discovery.plan.index == 7  # as at the start
        else:
            await until(lambda: run.discovery.plan.index == 9)
            assert run.pools.known() == 2
        if how in ("move", "fetch"):
            asked = (other.seen if how == "move" else first.seen[1:])[0]
            assert "from=" not in asked.message.first
        assert not run.discovery.taking and max(counts) <= 2


@on_loop
async def test_a_list_of_a_relay_that_is_left_while_it_is_read_is_never_told() -> None:
    async with peer(answers(reply())) as host, peer() as first, peer() as other, beside(host, first) as run:
        first.script, other.script = Teller(packed(many(8, host.address))), Teller(many(9, host.address, count=2))
        counts: set[int] = set()
        overhear(run, lambda event: counts.add(run.pools.known()))
        run.gateway.start()
        await reading(run)
        assert isinstance(run.discovery, RelayedDiscovery)
        asked_s = run.discovery.asked_s
        run.discovery.use(RelayOptions((("127.0.0.1", int(other.address.split(":")[1])),)))
        while run.discovery.taking:
            assert run.discovery.asked_s == asked_s  # another is asked after that
            await asyncio.sleep(0)
        await until(lambda: run.discovery.plan.index == 9)
        assert max(counts) <= 2 and "from=" not in other.seen[0].message.first


@on_loop
async def test_what_is_read_while_the_process_stood_still_is_told_before_anything_is_sent() -> None:
    async with peer(answers(reply())) as host, peer() as relay, beside(host, relay) as run:
        order: list[str] = []

        def hear(event: object) -> None:
            if isinstance(event, ServerList) and len(event.servers) > 2:
                order.append("list")
            elif isinstance(event, RequestArrived):
                order.append("request")

        overhear(run, hear)
        relay.script = Teller(packed(many(5, host.address)))
        run.gateway.start()
        client = await run.connect()
        await reading(run)
        run.gateway.look(run.gateway.still.seen_us + 1_000_000)  # a gap, too short to ask anew after it
        client.send(request())
        assert (await client.answer()).status == 200
        assert order == ["list", "request"]
        client.close()
