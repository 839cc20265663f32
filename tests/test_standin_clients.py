"""Stand-in clients, their front, and gateways as processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import textwrap
import time
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from standins.parties.clients import (
    MAY_BE_SERVED_KINDS,
    ClientProfile,
    ConnectionBalancer,
    GatewayTarget,
    LoadGenerator,
    build_misbehaving_requests,
    send_misbehaving_request,
)
from standins.parties.fleet import ROOT, Fleet, Gateway, read_usage
from standins.event_log import (
    EventLog,
    MisbehavingClient,
    OperationStarted,
    ProcessEvent,
    RequestSent,
    ResponseMissing,
    ResponseReceived,
    UnexpectedBytes,
)
from standins.parties.network import Address
from standins.site import CLASSES

from tests.sockets import Exchange, Peer, configuration, on_loop, peer, reply, request, silent, until


def door(to: Peer, name: str = "n0", room: int = 0) -> GatewayTarget:
    host, _, port = to.address.partition(":")
    return GatewayTarget(name, room, (host, int(port)))


def echo(exchange: Exchange) -> None:
    exchange.answer(reply(200, exchange.message.headers["x-call-id"].encode() + b" s-0 ..."))


def clients_of(*doors: GatewayTarget, **habits: Any) -> LoadGenerator:
    front = ConnectionBalancer(1, detection_delay_s=(0.05, 0.06))
    for one in doors:
        front.add(one)
    return LoadGenerator(
        EventLog(),
        front,
        1,
        200.0,
        ClientProfile(early_disconnect_share=0.0, retry_delay_s=0.001) if not habits else ClientProfile(**habits),
    )


@on_loop
async def test_the_mix_of_classes_follows_the_brief_and_every_answer_is_written_down() -> None:
    async with peer(echo) as gateway:
        clients = clients_of(door(gateway))
        await clients.run(1.0)
        wanted = list(clients.event_log.events_of(OperationStarted))
        assert 120 < len(wanted) < 300
        shares = Counter(want.request_class for want in wanted)
        for klass in CLASSES.values():
            assert abs(shares[klass.name] / len(wanted) - klass.share) < 0.12
        answers = list(clients.event_log.events_of(ResponseReceived))
        assert len(answers) == len(wanted) and all(a.status == 200 and a.echoed_id == a.id for a in answers)
        posts = [x.message for x in gateway.seen if x.message.first.startswith("POST /hold")]
        assert posts and all("idempotency-key" in message.headers for message in posts)


@on_loop
async def test_the_same_seed_draws_the_same_wants() -> None:
    async def drawn(seed: int) -> list[str]:
        async with peer(echo) as gateway:
            clients = clients_of(door(gateway))
            clients.rng = random.Random(seed)
            for _ in range(30):
                clients.start_operation()
            await asyncio.wait(clients.tasks)
            return sorted(want.request_class for want in clients.event_log.events_of(OperationStarted))

    assert await drawn(3) == await drawn(3)


@on_loop
async def test_a_refused_want_is_tried_again_under_a_new_id_and_a_failed_transfer_is_not() -> None:
    def refuse(exchange: Exchange) -> None:
        exchange.answer(reply(503, b"", "Retry-After: 0.001"))

    async with peer(refuse) as gateway:
        clients = clients_of(door(gateway))
        await clients.run_operation(CLASSES["transfer"])
        assert [asked.id for asked in clients.event_log.events_of(RequestSent)] == ["1.1", "1.1-1", "1.1-2"]
        assert {asked.first_id for asked in clients.event_log.events_of(RequestSent)} == {"1.1"}
        assert next(iter(clients.event_log.events_of(ResponseReceived))).retry_after_us == 1000
        gateway.script = lambda exchange: exchange.answer(reply(502, b""))
        await clients.run_operation(CLASSES["transfer"])
        assert [asked.id for asked in clients.event_log.events_of(RequestSent)][3:] == ["1.2"]
        await clients.run_operation(CLASSES["hold"])
        keys = [x.message.headers["idempotency-key"] for x in gateway.seen[4:]]
        assert len(keys) == 3 and len(set(keys)) == 1  # the same thing, so the same key


@pytest.mark.parametrize("kept", [True, False])
@on_loop
async def test_a_close_that_crosses_a_request_is_met_with_the_same_once_more(kept: bool) -> None:
    """Once, and on a kept connection alone: a new one that ends has lost what it was given."""

    def script(exchange: Exchange) -> None:
        if len(gateway.seen) == (2 if kept else 1):
            exchange.reset()
        else:
            echo(exchange)

    async with peer(script) as gateway:
        clients, klass = clients_of(door(gateway)), CLASSES["search"]

        async def ask(id_: str) -> object:
            data = clients.build_request(klass, id_, "central", 400_000, 1, "", 0)
            return await clients.send_attempt(0, klass, id_, data, 400_000, "", "central", id_, False)

        if kept:
            assert isinstance(await ask("one"), ResponseReceived)
        final = await ask("two")
        asked = [(entry.id, entry.is_resend) for entry in clients.event_log.events_of(RequestSent)]
        if kept:
            assert isinstance(final, ResponseReceived) and final.echoed_id == "two" and gateway.opened == 2
            assert asked == [("one", False), ("two", False), ("two", True)]
        else:
            assert (
                isinstance(final, ResponseMissing) and final.how in ("reset", "closed") and asked == [("two", False)]
            )
        assert [entry.id for entry in clients.event_log.events_of(ResponseMissing)] == ([] if kept else ["two"])


@on_loop
async def test_silence_and_bytes_that_nobody_asked_for_are_written_down() -> None:
    async with peer(lambda exchange: None) as gateway:
        clients = clients_of(door(gateway), max_retries=0, attempt_timeout_share=0.05, early_disconnect_share=0.0)
        await clients.run_operation(CLASSES["search"])
        assert [lost.how for lost in clients.event_log.events_of(ResponseMissing)] == ["none"]

        def twice(exchange: Exchange) -> None:
            echo(exchange)
            asyncio.get_running_loop().call_later(0.02, exchange.answer, b"HTTP/1.1 200 OK\r\n")

        gateway.script = twice
        await clients.run_operation(CLASSES["search"])
        await until(lambda: list(clients.event_log.events_of(UnexpectedBytes)))


@on_loop
async def test_the_front_deals_by_room_and_is_slow_to_notice() -> None:
    addresses: list[Address] = [("127.0.0.1", n) for n in range(1, 5)]
    doors = [GatewayTarget(f"n{n}", n % 2, address) for n, address in enumerate(addresses)]
    front = ConnectionBalancer(1, detection_delay_s=(0.05, 0.06))
    assert front.pick_target(0) is None
    for one in doors:
        front.add(one)
    picked = [front.pick_target(1) for _ in range(10)]
    assert Counter(d.name for d in picked if d) == {"n1": 5, "n3": 5}
    front.schedule_close_after_failure("n1")
    assert {d.name for d in (front.pick_target(1) for _ in range(4)) if d} == {"n1", "n3"}  # not yet noticed
    await until(lambda: not doors[1].is_open)
    assert {d.name for d in (front.pick_target(1) for _ in range(4)) if d} == {"n3"}
    front.schedule_close_after_failure("n3")
    front.add(doors[3])  # it is back before anybody noticed
    await asyncio.sleep(0.08)
    assert doors[3].is_open
    front.close("n3")
    assert {d.room for d in (front.pick_target(1) for _ in range(4)) if d} == {0}  # no gateway left in the room


@pytest.mark.parametrize("kind", sorted(build_misbehaving_requests(random.Random(1))))
@on_loop
async def test_clients_that_break_the_protocol_are_owed_an_error_or_a_close(kind: str) -> None:
    """The real gateway, in this process: each kind gets one of them, and reaches no host."""
    from tests.sockets import running

    async with peer() as host, running(configuration(host)) as run:
        ledger = EventLog()
        door = GatewayTarget("n0", 0, ("127.0.0.1", run.port))
        if kind == "the id of an open request":
            assert (
                await send_misbehaving_request(ledger, door, random.Random(1), kind) is None
            )  # none is open: nothing to break
            host.script = silent
            asked = await run.connect()
            asked.send(request(x_call_id="mine"))
            await until(lambda: host.seen)
        rude = await send_misbehaving_request(ledger, door, random.Random(1), kind, lambda gateway: "mine")
        assert rude is not None and list(ledger.events_of(MisbehavingClient)) == [rude]
        assert rude.ended_us - rude.at_us < 3_000_000 and rude.ended_us
        assert rude.status == 0 or rude.status >= 400 or kind in MAY_BE_SERVED_KINDS
        assert kind in MAY_BE_SERVED_KINDS or len(host.seen) == (kind == "the id of an open request")


def gateway_of(folder: Path, host: Peer, **changes: Any) -> tuple[Gateway, EventLog]:
    ledger = EventLog()
    gateway = Gateway("n0", 0, folder, dict, ledger)
    config = configuration(host) | {"listen": f"127.0.0.1:{gateway.port}"} | changes
    gateway.configure = lambda: config
    return gateway, ledger


@on_loop
async def test_a_gateway_as_a_process_through_restarts(tmp_path: Path) -> None:
    async with peer() as host:
        gateway, ledger = gateway_of(tmp_path, host)
        ready, exits = list[str](), list[str]()
        gateway.on_ready = lambda one: ready.append(one.name)
        gateway.on_exit = lambda one: exits.append(one.name)
        with Fleet([gateway]) as fleet:
            fleet.start()
            assert await fleet.wait_until_ready(ledger)
            assert gateway.process is not None
            usage = read_usage(gateway.process.pid)
            assert usage is not None and usage[0] > 5_000 and usage[1] >= 3
            gateway.send_signal(signal.SIGHUP)
            await gateway.restart(down_s=0.0)
            await until(lambda: len(ready) == 2)
            await gateway.restart(kill=True, down_s=0.0)
            await until(lambda: len(ready) == 3)
            await fleet.stop()
        assert gateway.exit_codes == [0, -9, 0] and exits == ["n0"] * 3
        whats = [entry.what for entry in ledger.events_of(ProcessEvent)]
        assert whats == ["start", "ready", "HUP", "TERM", "exit", "start", "ready", "KILL", "exit", "start", "ready",
                         "TERM", "exit"]  # fmt: skip
        assert all(entry.was_requested for entry in ledger.events_of(ProcessEvent))


@on_loop
async def test_an_exit_that_nobody_asked_for_is_told_as_such(tmp_path: Path) -> None:
    async with peer() as host:
        gateway, ledger = gateway_of(tmp_path, host, settings={"lanes": []})
        with Fleet([gateway]) as fleet:
            fleet.start()
            await until(lambda: gateway.exit_codes)
        (ended,) = [entry for entry in ledger.events_of(ProcessEvent) if entry.what == "exit"]
        assert ended.code == 2 and not ended.was_requested


def is_alive(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


@pytest.mark.parametrize("how", ["error", "kill"])
def test_nothing_is_left_running_behind(tmp_path: Path, how: str) -> None:
    """After an error inside, and after the player itself was killed outright."""
    code = textwrap.dedent(f"""
        import asyncio, json, pathlib, sys
        from standins.parties.fleet import Fleet, Gateway
        from standins.event_log import EventLog
        async def main():
            folder = pathlib.Path({str(tmp_path)!r})
            config = json.loads((folder / "config").read_text())
            gateways = [Gateway(f"n{{n}}", 0, folder, lambda: config | {{"listen": "127.0.0.1:0"}}, EventLog())
                        for n in range(2)]
            with Fleet(gateways) as fleet:
                fleet.start()
                print(*[g.process.pid for g in gateways], flush=True)
                if {how!r} == "error":
                    raise RuntimeError("planned")
                await asyncio.sleep(60)
        asyncio.run(main())
    """)
    (tmp_path / "config").write_text(json.dumps(configuration("127.0.0.1:9")))
    player = subprocess.Popen([sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    assert player.stdout is not None
    pids = [int(word) for word in player.stdout.readline().split()]
    assert len(pids) == 2
    if how == "kill":
        os.kill(player.pid, signal.SIGKILL)
    player.wait(timeout=20)
    player.communicate()
    for _ in range(1000):
        if not any(map(is_alive, pids)):
            break
        time.sleep(0.01)
    assert not any(map(is_alive, pids))
