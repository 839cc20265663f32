"""A stand-in box keeps to the protocol, warms up, falls over, and misbehaves on command."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.parties.box import MORE, SPOILT, Box, Shelf
from standins.event_log import BackendAttempt, BackendStarted, BackendStopped, EventLog, now_us
from standins.parties.network import Network
from standins.parties.strain import Choke, Strain
from standins.site import BackendType

from tests.sockets import Client, on_loop, request, until

KIND = BackendType(cores=1, queue=1, handshake_us=0, report_us=20_000, report_late_us=0)
QUICK: dict[str, Any] = {"x_call_cost": "1000"}  # the work, in microseconds


@asynccontextmanager
async def box(kind: BackendType = KIND, cold: bool = False, name: str = "s-0") -> AsyncIterator[Box]:
    made = Box(name, 0, Shelf(0, 1_000_000), EventLog(), Network(), kind, seed=1)
    await made.start(cold)
    try:
        yield made
    finally:
        made.crash()


async def connect(to: Box) -> Client:
    assert to.address is not None
    return Client(*await asyncio.open_connection(*to.address))


async def is_silent(client: Client) -> bool:
    try:
        async with asyncio.timeout(0.1):
            await client.reader.readexactly(1)
    except TimeoutError:
        return True
    return False


def runs(of: Box) -> list[BackendAttempt]:
    return list(of.ledger.events_of(BackendAttempt))


@on_loop
async def test_it_serves_and_records_the_whole_run() -> None:
    async with box() as one:
        client = await connect(one)
        before = now_us()
        answer = await client.ask(request(x_call_id="abc", **QUICK))
        assert answer.status == 200 and answer.body.startswith(b"abc s-0 ")
        (run,) = runs(one)
        assert (run.id, run.request_class, run.how, run.backend) == ("abc", "search", "ok", "s-0")
        assert before <= run.at_us <= run.received_us <= run.started_us < run.ended_us <= now_us()
        assert run.ended_us - run.started_us >= 28_000  # it waits on others
        assert (await client.ask(request(x_call_id="def", **QUICK))).status == 200  # kept alive


@on_loop
async def test_load_reports_come_with_answers_and_probes() -> None:
    async with box() as one:
        client = await connect(one)
        answer = await client.ask(request(**QUICK))
        assert answer.headers["x-load-report"].startswith("TEXT queue=")
        for path in ("/stats", "/health/live"):
            client.send(f"GET {path} HTTP/1.1\r\nHost: b\r\n\r\n".encode())
            assert (await client.answer()).status == 200
        client.send(b"GET /nothing HTTP/1.1\r\nHost: b\r\n\r\n")
        assert (await client.answer()).status == 404


@on_loop
async def test_a_full_queue_turns_away_and_says_that_it_never_ran() -> None:
    async with box() as one:
        clients = [await connect(one) for _ in range(3)]
        for n, client in enumerate(clients[:2]):
            client.send(request(x_call_id=f"r{n}", x_call_cost="200000"))
            await until(lambda n=n: len(one.jobs) == n + 1)  # type: ignore[misc]
        answer = await clients[2].ask(request(x_call_id="r2", **QUICK))
        assert answer.status == 503 and answer.headers["x-rejected"] == "1"
        assert [run.how for run in runs(one)] == ["running", "waiting", "rejected"]
        assert not runs(one)[2].may_have_run


@on_loop
async def test_what_nobody_waits_for_any_more_is_not_begun() -> None:
    async with box() as one:
        first, second = await connect(one), await connect(one)
        first.send(request(x_call_cost="150000"))
        await until(lambda: one.running)
        answer = await second.ask(request(budget_ms=30))
        assert answer.status == 504 and answer.headers["x-rejected"] == "1"


@on_loop
async def test_work_stops_when_the_other_side_gives_up() -> None:
    async with box() as one:
        client = await connect(one)
        client.send(request(x_call_cost="5000000"))
        await until(lambda: one.running == 1)
        client.close()
        await until(lambda: one.running == 0)
        assert runs(one)[0].how == "cancelled" and runs(one)[0].may_have_run


@on_loop
async def test_a_shelf_drops_a_repeat_within_its_window_and_not_after() -> None:
    async with box() as one:
        twin = Box("s-1", 0, one.shelf, one.ledger, one.network, KIND, seed=1)
        await twin.start(cold=False)
        here, there = await connect(one), await connect(twin)
        again: dict[str, Any] = {"idempotency_key": "k", **QUICK}
        await here.ask(request("hold", **again))
        begun_us = runs(one)[0].started_us
        assert (await there.ask(request("hold", **again))).status == 200
        await asyncio.sleep(max(0.0, (begun_us + 1_020_000 - now_us()) / 1e6))
        await there.ask(request("hold", **again))
        assert [run.how for run in runs(one)] == ["ok", "duplicate", "ok"]
        twin.crash()


@on_loop
async def test_a_key_met_lately_takes_less_work() -> None:
    async with box(BackendType(cores=1, handshake_us=0, key_saves=0.9)) as one:
        client = await connect(one)
        for _ in range(2):
            await client.ask(request(x_call_cost="150000"))
        first, second = runs(one)
        assert second.ended_us - second.started_us < (first.ended_us - first.started_us) / 2


@on_loop
async def test_a_cold_box_warms_up_and_falls_over_when_pushed() -> None:
    kind = BackendType(cores=1, queue=50, handshake_us=0, cold_share=0.3, warm_us=60_000_000)
    async with box(kind, cold=True) as one:
        (up,) = one.ledger.events_of(BackendStarted)
        assert up.initial_capacity == 0.3 and one.capacity() < 0.31 and one.state == "cold"
        one.started_us -= 30_000_000
        assert 0.64 < one.capacity() < 0.66
        one.started_us += 30_000_000
        clients = [await connect(one) for _ in range(5)]
        for n, client in enumerate(clients[:3]):  # 3 x 0.3 s of work in a second is the limit
            client.send(request(x_call_cost="240000"))
            await until(lambda n=n: len(one.jobs) == n + 1 or one.fell)  # type: ignore[misc]
        assert not one.fell
        clients[3].send(request(x_call_cost="400000"))
        await until(lambda: one.fell)
        assert [down.how for down in one.ledger.events_of(BackendStopped)] == ["fell"]
        with pytest.raises(ConnectionRefusedError):
            await connect(one)


@on_loop
async def test_a_crash_resets_and_a_new_life_counts_on() -> None:
    async with box() as one:
        client = await connect(one)
        client.send(request(x_call_cost="5000000"))
        await until(lambda: one.running == 1)
        assert one.address is not None
        port = one.address[1]
        one.crash()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await client.answer()
        await until(lambda: one.running == 0)
        await one.start(cold=True, port=port)
        assert one.incarnation == 2 and one.address == ("127.0.0.1", port)
        assert (await (await connect(one)).ask(request(**QUICK))).status == 200
        assert [run.how for run in runs(one)] == ["crashed", "ok"]


@on_loop
async def test_more_connections_than_it_holds_are_closed() -> None:
    async with box(BackendType(connections=2, handshake_us=0)) as one:
        kept = [await connect(one) for _ in range(2)]
        await until(lambda: len(one.connections) == 2)
        extra = await connect(one)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await extra.reader.readexactly(1)
        assert (await kept[0].ask(request(**QUICK))).status == 200


@on_loop
async def test_hang_silence_slowness_errors_and_draining() -> None:
    async with box() as one:
        client = await connect(one)
        one.faults.error = 1.0
        answer = await client.ask(request(**QUICK))
        assert answer.status == 500 and runs(one)[-1].how == "error" and runs(one)[-1].may_have_run
        one.faults.error, one.faults.drain = 0.0, True
        assert (await client.ask(request(**QUICK))).headers["x-rejected"] == "1"
        one.faults.drain, one.faults.slow = False, 100.0
        begun = now_us()
        await client.ask(request(**QUICK))
        assert now_us() - begun >= 80_000
        one.faults.slow, one.faults.hang = 1.0, True
        client.send(request(x_call_id="hung", **QUICK))
        await until(lambda: runs(one)[-1].id == "hung" and runs(one)[-1].started_us and not one.running)
        assert await is_silent(client)
        assert runs(one)[-1].ended_us == 0
        client.close()
        await until(lambda: runs(one)[-1].how == "cancelled")
        one.faults.hang = False
        quiet = await connect(one)
        await until(lambda: len(one.connections) == 1)
        one.silence(True)
        quiet.send(request(x_call_id="unheard", **QUICK))
        await asyncio.sleep(0.05)
        assert all(run.id != "unheard" for run in runs(one))
        one.silence(False)
        assert (await quiet.answer()).status == 200


@on_loop
async def test_an_answer_can_be_held_past_the_deadline() -> None:
    async with box() as one:
        one.faults.late = 1.0
        client = await connect(one)
        begun = now_us()
        await client.ask(request(budget_ms=100, **QUICK))
        assert now_us() - begun >= 125_000


@on_loop
async def test_a_reset_comes_at_the_byte_that_was_chosen() -> None:
    async with box() as one:
        one.faults.reset, one.faults.reset_at = 1.0, 17
        client = await connect(one)
        client.send(request(**QUICK))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)) as ended:
            await client.reader.readexactly(18)
        if isinstance(ended.value, asyncio.IncompleteReadError):
            assert ended.value.partial == b"HTTP/1.1 200 X\r\nC"
        assert runs(one)[0].may_have_run


@pytest.mark.parametrize("kind", SPOILT + MORE)
@on_loop
async def test_spoilt_answers_and_answers_with_more_than_their_own(kind: str) -> None:
    async with box() as one:
        one.faults.spoil, one.faults.spoil_kind = 1.0, kind
        client = await connect(one)
        client.send(request(x_call_id="abc", **QUICK))
        data = b""
        while len(data) < 100:
            data += await client.reader.read(4096)
        good = b"HTTP/1.1 200 X\r\nContent-Length: "
        if kind in MORE:
            assert data.count(b"abc s-0 ") >= 1 and good in data
        else:
            assert kind == "short" or not data.startswith(good) or b": -" in data
        await until(lambda: runs(one)[0].ended_us)
        assert runs(one)[0].how == ("spoilt" if kind in SPOILT else "ok")


# A box that chokes

STALE = Choke(easy=1, steep=0.5, many=1, long_us=0, choked=2.0, slow_us=60_000_000)


@given(
    st.lists(st.tuples(st.integers(1, 25), st.integers(0, 6)), min_size=1, max_size=12),
    st.lists(st.integers(0, 25), min_size=12, max_size=12),
)
def test_a_strain_is_what_the_whole_past_says(notes: list[tuple[int, int]], looks: list[int]) -> None:
    """Looked at at any moments, it is what a second reading of all that was held says at the last one."""
    law = Choke(easy=2, many=4, long_us=20, slow_us=30, most=1.5, steep=0.25, choked=2.0)
    strain, at, steps = Strain(law), 0, list[tuple[int, int]]()
    for (wait, held), look in zip(notes, looks, strict=False):
        strain.note(at, held)
        steps.append((at, held))
        strain.is_choked(at + min(look, wait))  # a look changes nothing
        at += wait
    assert strain.is_choked(at) is choked_by(law, steps, at)
    held = steps[-1][1]
    assert strain.pace(at) == min(1.5, 1 + 0.25 * max(0, held - 2)) * (2.0 if choked_by(law, steps, at) else 1.0)


def choked_by(law: Choke, steps: list[tuple[int, int]], now: int) -> bool:
    """Moment by moment: too many for long enough on end, and not yet few for long enough on end."""
    choked, too_many, few = False, 0, 0
    for at in range(steps[0][0], now + 1):
        held = [held for begin, held in steps if begin <= at][-1]
        over = held > law.many
        if at > steps[0][0]:
            before = [held for begin, held in steps if begin < at][-1] > law.many
            too_many, few = (too_many + 1, 0) if before else (0, few + 1)
        if too_many >= law.long_us:
            choked = True
        if choked and not over and few >= law.slow_us:
            choked = False
        if not over:
            too_many = 0
    return choked


def test_a_strain_without_much_held_is_no_strain() -> None:
    strain = Strain(Choke())
    for at in range(0, 60_000_000, 500_000):
        strain.note(at, Choke().easy)
        assert strain.pace(at) == 1.0


@on_loop
async def test_under_a_law_work_goes_on_to_its_end_though_who_asked_has_gone() -> None:
    async with box() as one:
        one.use(STALE)
        first, second = await connect(one), await connect(one)
        over: list[str] = []
        one.on_over = lambda job: over.append(job.run.id)
        first.send(request(x_call_id="left", x_call_cost="60000000"))
        await until(lambda: one.running)
        (job,) = one.jobs
        first.close()
        await until(lambda: job.gone_us)
        assert one.running == 1 and job.run.how == "running" and not over
        second.send(request(x_call_id="waits", budget_ms=30, **QUICK))
        await until(lambda: len(one.jobs) == 2)
        (waits,) = one.jobs - {job}
        await until(lambda: now_us() > waits.until_us)
        assert waits.run.how == "waiting" and job.timer is not None
        job.timer.cancel()
        job.wait_on_others()  # its time on the core is over
        assert (await second.answer()).status == 200  # past its time, and begun anyway
        await until(lambda: sorted(over) == ["left", "waits"])
        assert job.run.how == "cancelled" and job.freed_us <= waits.run.started_us < waits.run.ended_us


@on_loop
async def test_under_a_law_that_heeds_what_waits_past_its_time_is_dropped() -> None:
    async with box() as one:
        one.use(Choke(heeds=True))
        first, second = await connect(one), await connect(one)
        first.send(request(x_call_cost="60000000"))
        await until(lambda: one.running)
        (job,) = one.jobs
        second.send(request(budget_ms=30))
        await until(lambda: len(one.jobs) == 2)
        (waits,) = one.jobs - {job}
        await until(lambda: now_us() > waits.until_us)
        job.free_core()
        assert (await second.answer()).status == 504 and not waits.run.started_us


@on_loop
async def test_a_box_slows_down_by_what_it_holds_and_a_new_life_remembers_nothing() -> None:
    async with box() as one:
        one.use(STALE)
        clients = [await connect(one) for _ in range(2)]
        for n, client in enumerate(clients):
            client.send(request(x_call_id=f"r{n}", x_call_cost="60000000"))
            await until(lambda n=n: len(one.jobs) == n + 1)  # type: ignore[misc]
        assert one.pace() == 3.0  # one too many, and choked
        for job in list(one.jobs):
            job.end("ok")
        assert one.pace() == 2.0  # choked still
        one.crash()
        await one.start(cold=False)
        assert one.pace() == 1.0
