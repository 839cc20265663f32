"""The emulator's backend: protocol, slow start, collapse, faults, and slowdown under load."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins.parties.backend import EXCESS_DATA_KINDS, MALFORMED_KINDS, Backend, IdempotencyStore
from standins.event_log import BackendAttempt, BackendStarted, BackendStopped, EventLog, now_us
from standins.parties.network import Network
from standins.parties.overload_model import OverloadModel, OverloadState
from standins.site import BackendType

from tests.sockets import Client, on_loop, request, wait_until

KIND = BackendType(cores=1, max_queued_requests=1, handshake_us=0, report_interval_us=20_000, max_report_age_us=0)
SHORT_WORK: dict[str, Any] = {"x_call_cost": "1000"}  # work hint in microseconds


@asynccontextmanager
async def running_backend(
    kind: BackendType = KIND, needs_warmup: bool = False, name: str = "s-0"
) -> AsyncIterator[Backend]:
    backend = Backend(name, 0, IdempotencyStore(0, 1_000_000), EventLog(), Network(), kind, seed=1)
    await backend.start(needs_warmup)
    try:
        yield backend
    finally:
        backend.crash()


async def connect(backend: Backend) -> Client:
    assert backend.address is not None
    return Client(*await asyncio.open_connection(*backend.address))


async def is_silent(client: Client) -> bool:
    try:
        async with asyncio.timeout(0.1):
            await client.reader.readexactly(1)
    except TimeoutError:
        return True
    return False


def attempts_of(backend: Backend) -> list[BackendAttempt]:
    return list(backend.event_log.events_of(BackendAttempt))


@on_loop
async def test_backend_serves_requests_and_records_attempts() -> None:
    async with running_backend() as backend:
        client = await connect(backend)
        before_us = now_us()
        answer = await client.send_request(request(x_call_id="abc", **SHORT_WORK))
        assert answer.status == 200 and answer.body.startswith(b"abc s-0 ")
        (attempt,) = attempts_of(backend)
        assert (attempt.id, attempt.request_class, attempt.how, attempt.backend) == ("abc", "search", "ok", "s-0")
        assert before_us <= attempt.at_us <= attempt.received_us <= attempt.started_us < attempt.ended_us <= now_us()
        assert attempt.ended_us - attempt.started_us >= 28_000  # includes the wait for dependencies
        assert (
            await client.send_request(request(x_call_id="def", **SHORT_WORK))
        ).status == 200  # on the same connection


@on_loop
async def test_load_reports_in_responses_and_probes() -> None:
    async with running_backend() as backend:
        client = await connect(backend)
        answer = await client.send_request(request(**SHORT_WORK))
        assert answer.headers["x-load-report"].startswith("TEXT queue=")
        for path in ("/stats", "/health/live"):
            client.send(f"GET {path} HTTP/1.1\r\nHost: b\r\n\r\n".encode())
            assert (await client.read_response()).status == 200
        client.send(b"GET /nothing HTTP/1.1\r\nHost: b\r\n\r\n")
        assert (await client.read_response()).status == 404


@on_loop
async def test_full_queue_rejects_without_running() -> None:
    async with running_backend() as backend:
        clients = [await connect(backend) for _ in range(3)]
        for n, client in enumerate(clients[:2]):
            client.send(request(x_call_id=f"r{n}", x_call_cost="200000"))
            await wait_until(lambda n=n: len(backend.jobs) == n + 1)  # type: ignore[misc]
        answer = await clients[2].send_request(request(x_call_id="r2", **SHORT_WORK))
        assert answer.status == 503 and answer.headers["x-rejected"] == "1"
        assert [attempt.how for attempt in attempts_of(backend)] == ["running", "waiting", "rejected"]
        assert not attempts_of(backend)[2].may_have_run


@on_loop
async def test_queued_request_past_its_deadline_is_rejected() -> None:
    async with running_backend() as backend:
        first, second = await connect(backend), await connect(backend)
        first.send(request(x_call_cost="150000"))
        await wait_until(lambda: backend.busy_cores)
        answer = await second.send_request(request(budget_ms=30))
        assert answer.status == 504 and answer.headers["x-rejected"] == "1"


@on_loop
async def test_work_is_cancelled_when_the_sender_disconnects() -> None:
    async with running_backend() as backend:
        client = await connect(backend)
        client.send(request(x_call_cost="5000000"))
        await wait_until(lambda: backend.busy_cores == 1)
        client.close()
        await wait_until(lambda: backend.busy_cores == 0)
        assert attempts_of(backend)[0].how == "cancelled" and attempts_of(backend)[0].may_have_run


@on_loop
async def test_repeated_key_is_skipped_only_within_its_window() -> None:
    async with running_backend() as backend:
        twin = Backend("s-1", 0, backend.idempotency_store, backend.event_log, backend.network, KIND, seed=1)
        await twin.start(needs_warmup=False)
        client, twin_client = await connect(backend), await connect(twin)
        repeated_request: dict[str, Any] = {"idempotency_key": "k", **SHORT_WORK}
        await client.send_request(request("hold", **repeated_request))
        first_started_us = attempts_of(backend)[0].started_us
        assert (await twin_client.send_request(request("hold", **repeated_request))).status == 200
        await asyncio.sleep(max(0.0, (first_started_us + 1_020_000 - now_us()) / 1e6))
        await twin_client.send_request(request("hold", **repeated_request))
        assert [attempt.how for attempt in attempts_of(backend)] == ["ok", "duplicate", "ok"]
        twin.crash()


@on_loop
async def test_recently_requested_path_takes_less_work() -> None:
    async with running_backend(BackendType(cores=1, handshake_us=0, key_saved_work_share=0.9)) as backend:
        client = await connect(backend)
        for _ in range(2):
            await client.send_request(request(x_call_cost="150000"))
        first, second = attempts_of(backend)
        assert second.ended_us - second.started_us < (first.ended_us - first.started_us) / 2


@on_loop
async def test_backend_in_slow_start_collapses_under_too_much_work() -> None:
    kind = BackendType(cores=1, max_queued_requests=50, handshake_us=0, cold_share=0.3, warm_up_us=60_000_000)
    async with running_backend(kind, needs_warmup=True) as backend:
        (started_event,) = backend.event_log.events_of(BackendStarted)
        assert started_event.initial_capacity == 0.3 and backend.capacity() < 0.31 and backend.state == "cold"
        backend.started_us -= 30_000_000
        assert 0.64 < backend.capacity() < 0.66
        backend.started_us += 30_000_000
        clients = [await connect(backend) for _ in range(5)]
        for n, client in enumerate(clients[:3]):  # the backend collapses beyond 3 x 0.3 s of work within a second
            client.send(request(x_call_cost="240000"))
            await wait_until(lambda n=n: len(backend.jobs) == n + 1 or backend.has_collapsed)  # type: ignore[misc]
        assert not backend.has_collapsed
        clients[3].send(request(x_call_cost="400000"))
        await wait_until(lambda: backend.has_collapsed)
        assert [stopped_event.how for stopped_event in backend.event_log.events_of(BackendStopped)] == ["fell"]
        with pytest.raises(ConnectionRefusedError):
            await connect(backend)


@on_loop
async def test_crash_resets_connections_and_restart_increments_incarnation() -> None:
    async with running_backend() as backend:
        client = await connect(backend)
        client.send(request(x_call_cost="5000000"))
        await wait_until(lambda: backend.busy_cores == 1)
        assert backend.address is not None
        port = backend.address[1]
        backend.crash()
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await client.read_response()
        await wait_until(lambda: backend.busy_cores == 0)
        await backend.start(needs_warmup=True, port=port)
        assert backend.incarnation == 2 and backend.address == ("127.0.0.1", port)
        assert (await (await connect(backend)).send_request(request(**SHORT_WORK))).status == 200
        assert [attempt.how for attempt in attempts_of(backend)] == ["crashed", "ok"]


@on_loop
async def test_connections_above_the_limit_are_closed() -> None:
    async with running_backend(BackendType(max_connections=2, handshake_us=0)) as backend:
        kept_clients = [await connect(backend) for _ in range(2)]
        await wait_until(lambda: len(backend.connections) == 2)
        extra_client = await connect(backend)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await extra_client.reader.readexactly(1)
        assert (await kept_clients[0].send_request(request(**SHORT_WORK))).status == 200


@on_loop
async def test_hang_silence_slowdown_errors_and_drain() -> None:
    async with running_backend() as backend:
        client = await connect(backend)
        backend.faults.error_share = 1.0
        answer = await client.send_request(request(**SHORT_WORK))
        assert (
            answer.status == 500 and attempts_of(backend)[-1].how == "error" and attempts_of(backend)[-1].may_have_run
        )
        backend.faults.error_share, backend.faults.drain = 0.0, True
        assert (await client.send_request(request(**SHORT_WORK))).headers["x-rejected"] == "1"
        backend.faults.drain, backend.faults.slowdown_factor = False, 100.0
        started_us = now_us()
        await client.send_request(request(**SHORT_WORK))
        assert now_us() - started_us >= 80_000
        backend.faults.slowdown_factor, backend.faults.hang = 1.0, True
        client.send(request(x_call_id="hung", **SHORT_WORK))
        await wait_until(
            lambda: attempts_of(backend)[-1].id == "hung"
            and attempts_of(backend)[-1].started_us
            and not backend.busy_cores
        )
        assert await is_silent(client)
        assert attempts_of(backend)[-1].ended_us == 0
        client.close()
        await wait_until(lambda: attempts_of(backend)[-1].how == "cancelled")
        backend.faults.hang = False
        silent_client = await connect(backend)
        await wait_until(lambda: len(backend.connections) == 1)
        backend.set_silent(True)
        silent_client.send(request(x_call_id="unheard", **SHORT_WORK))
        await asyncio.sleep(0.05)
        assert all(attempt.id != "unheard" for attempt in attempts_of(backend))
        backend.set_silent(False)
        assert (await silent_client.read_response()).status == 200


@on_loop
async def test_late_response_comes_after_the_deadline() -> None:
    async with running_backend() as backend:
        backend.faults.late_share = 1.0
        client = await connect(backend)
        started_us = now_us()
        await client.send_request(request(budget_ms=100, **SHORT_WORK))
        assert now_us() - started_us >= 125_000


@on_loop
async def test_reset_at_the_configured_byte() -> None:
    async with running_backend() as backend:
        backend.faults.reset_share, backend.faults.reset_at_byte = 1.0, 17
        client = await connect(backend)
        client.send(request(**SHORT_WORK))
        with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)) as ended:
            await client.reader.readexactly(18)
        if isinstance(ended.value, asyncio.IncompleteReadError):
            assert ended.value.partial == b"HTTP/1.1 200 X\r\nC"
        assert attempts_of(backend)[0].may_have_run


@pytest.mark.parametrize("kind", MALFORMED_KINDS + EXCESS_DATA_KINDS)
@on_loop
async def test_malformed_responses_and_excess_data(kind: str) -> None:
    async with running_backend() as backend:
        backend.faults.malformed_share, backend.faults.malformed_kind = 1.0, kind
        client = await connect(backend)
        client.send(request(x_call_id="abc", **SHORT_WORK))
        data = b""
        while len(data) < 100:
            data += await client.reader.read(4096)
        valid_start = b"HTTP/1.1 200 X\r\nContent-Length: "
        if kind in EXCESS_DATA_KINDS:
            assert data.count(b"abc s-0 ") >= 1 and valid_start in data
        else:
            assert kind == "short" or not data.startswith(valid_start) or b": -" in data
        await wait_until(lambda: attempts_of(backend)[0].ended_us)
        assert attempts_of(backend)[0].how == ("spoilt" if kind in MALFORMED_KINDS else "ok")


# Overload

STALE_WORK_MODEL = OverloadModel(easy=1, steep=0.5, many=1, long_us=0, choked=2.0, slow_us=60_000_000)


@given(
    st.lists(st.tuples(st.integers(1, 25), st.integers(0, 6)), min_size=1, max_size=12),
    st.lists(st.integers(0, 25), min_size=12, max_size=12),
)
def test_overload_state_matches_a_replay_of_its_history(
    changes: list[tuple[int, int]], query_offsets: list[int]
) -> None:
    """Whenever it is queried, the state equals the one computed from the whole history of held requests."""
    model = OverloadModel(easy=2, many=4, long_us=20, slow_us=30, most=1.5, steep=0.25, choked=2.0)
    state, at, history = OverloadState(model), 0, list[tuple[int, int]]()
    for (duration, held), query_offset in zip(changes, query_offsets, strict=False):
        state.set_held_count(at, held)
        history.append((at, held))
        state.is_choked(at + min(query_offset, duration))  # a query must not change the state
        at += duration
    assert state.is_choked(at) is is_choked_by_replay(model, history, at)
    held = history[-1][1]
    assert state.work_factor(at) == min(1.5, 1 + 0.25 * max(0, held - 2)) * (
        2.0 if is_choked_by_replay(model, history, at) else 1.0
    )


def is_choked_by_replay(model: OverloadModel, history: list[tuple[int, int]], now: int) -> bool:
    """Whether a backend is choked, computed by stepping through the history one microsecond at a time."""
    choked, overloaded_us, recovering_us = False, 0, 0
    for at in range(history[0][0], now + 1):
        held = [held for begin, held in history if begin <= at][-1]
        is_overloaded = held > model.many
        if at > history[0][0]:
            was_overloaded = [held for begin, held in history if begin < at][-1] > model.many
            overloaded_us, recovering_us = (overloaded_us + 1, 0) if was_overloaded else (0, recovering_us + 1)
        if overloaded_us >= model.long_us:
            choked = True
        if choked and not is_overloaded and recovering_us >= model.slow_us:
            choked = False
        if not is_overloaded:
            overloaded_us = 0
    return choked


def test_few_held_requests_cause_no_slowdown() -> None:
    state = OverloadState(OverloadModel())
    for at in range(0, 60_000_000, 500_000):
        state.set_held_count(at, OverloadModel().easy)
        assert state.work_factor(at) == 1.0


@on_loop
async def test_stale_work_is_completed_under_the_overload_model() -> None:
    async with running_backend() as backend:
        backend.set_overload_model(STALE_WORK_MODEL)
        first, second = await connect(backend), await connect(backend)
        ended_ids: list[str] = []
        backend.on_job_end = lambda job: ended_ids.append(job.attempt.id)
        first.send(request(x_call_id="left", x_call_cost="60000000"))
        await wait_until(lambda: backend.busy_cores)
        (job,) = backend.jobs
        first.close()
        await wait_until(lambda: job.abandoned_us)
        assert backend.busy_cores == 1 and job.attempt.how == "running" and not ended_ids
        second.send(request(x_call_id="waits", budget_ms=30, **SHORT_WORK))
        await wait_until(lambda: len(backend.jobs) == 2)
        (waiting_job,) = backend.jobs - {job}
        await wait_until(lambda: now_us() > waiting_job.deadline_us)
        assert waiting_job.attempt.how == "waiting" and job.timer is not None
        job.timer.cancel()
        job.wait_for_dependencies()  # as when its time on the core is over
        assert (await second.read_response()).status == 200  # started although its deadline had passed
        await wait_until(lambda: sorted(ended_ids) == ["left", "waits"])
        assert (
            job.attempt.how == "cancelled"
            and job.core_released_us <= waiting_job.attempt.started_us < waiting_job.attempt.ended_us
        )


@on_loop
async def test_overload_model_that_heeds_deadlines_rejects_expired_requests() -> None:
    async with running_backend() as backend:
        backend.set_overload_model(OverloadModel(heeds=True))
        first, second = await connect(backend), await connect(backend)
        first.send(request(x_call_cost="60000000"))
        await wait_until(lambda: backend.busy_cores)
        (job,) = backend.jobs
        second.send(request(budget_ms=30))
        await wait_until(lambda: len(backend.jobs) == 2)
        (waiting_job,) = backend.jobs - {job}
        await wait_until(lambda: now_us() > waiting_job.deadline_us)
        job.release_core()
        assert (await second.read_response()).status == 504 and not waiting_job.attempt.started_us


@on_loop
async def test_held_requests_slow_the_backend_until_a_restart() -> None:
    async with running_backend() as backend:
        backend.set_overload_model(STALE_WORK_MODEL)
        clients = [await connect(backend) for _ in range(2)]
        for n, client in enumerate(clients):
            client.send(request(x_call_id=f"r{n}", x_call_cost="60000000"))
            await wait_until(lambda n=n: len(backend.jobs) == n + 1)  # type: ignore[misc]
        assert backend.work_factor() == 3.0  # one request above `easy`: 1.5, and choked: 2.0
        for job in list(backend.jobs):
            job.end("ok")
        assert backend.work_factor() == 2.0  # still choked
        backend.crash()
        await backend.start(needs_warmup=False)
        assert backend.work_factor() == 1.0
