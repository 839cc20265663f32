"""Load generator, connection balancer and misbehaving clients of the emulator, and gateways as processes."""

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

from tests.sockets import (
    Exchange,
    ScriptedServer,
    configuration,
    never_respond,
    on_loop,
    reply,
    request,
    scripted_server,
    wait_until,
)


def target_of(server: ScriptedServer, name: str = "n0", zone_index: int = 0) -> GatewayTarget:
    host, _, port = server.address.partition(":")
    return GatewayTarget(name, zone_index, (host, int(port)))


def echo(exchange: Exchange) -> None:
    exchange.respond(reply(200, exchange.message.headers["x-call-id"].encode() + b" s-0 ..."))


def load_generator_of(*targets: GatewayTarget, **profile_options: Any) -> LoadGenerator:
    balancer = ConnectionBalancer(1, detection_delay_s=(0.05, 0.06))
    for target in targets:
        balancer.add(target)
    return LoadGenerator(
        EventLog(),
        balancer,
        1,
        200.0,
        ClientProfile(early_disconnect_share=0.0, retry_delay_s=0.001)
        if not profile_options
        else ClientProfile(**profile_options),
    )


@on_loop
async def test_request_classes_follow_their_shares_and_responses_are_logged() -> None:
    async with scripted_server(echo) as gateway:
        generator = load_generator_of(target_of(gateway))
        await generator.run(1.0)
        operations = list(generator.event_log.events_of(OperationStarted))
        assert 120 < len(operations) < 300
        shares = Counter(operation.request_class for operation in operations)
        for request_class in CLASSES.values():
            assert abs(shares[request_class.name] / len(operations) - request_class.share) < 0.12
        responses = list(generator.event_log.events_of(ResponseReceived))
        assert len(responses) == len(operations) and all(a.status == 200 and a.echoed_id == a.id for a in responses)
        post_messages = [x.message for x in gateway.exchanges if x.message.start_line.startswith("POST /hold")]
        assert post_messages and all("idempotency-key" in message.headers for message in post_messages)


@on_loop
async def test_same_seed_draws_the_same_operations() -> None:
    async def drawn_classes(seed: int) -> list[str]:
        async with scripted_server(echo) as gateway:
            generator = load_generator_of(target_of(gateway))
            generator.rng = random.Random(seed)
            for _ in range(30):
                generator.start_operation()
            await asyncio.wait(generator.tasks)
            return sorted(operation.request_class for operation in generator.event_log.events_of(OperationStarted))

    assert await drawn_classes(3) == await drawn_classes(3)


@on_loop
async def test_retries_follow_rejections_but_not_failed_unsafe_requests() -> None:
    def reject(exchange: Exchange) -> None:
        exchange.respond(reply(503, b"", "Retry-After: 0.001"))

    async with scripted_server(reject) as gateway:
        generator = load_generator_of(target_of(gateway))
        await generator.run_operation(CLASSES["transfer"])
        assert [request_event.id for request_event in generator.event_log.events_of(RequestSent)] == [
            "1.1",
            "1.1-1",
            "1.1-2",
        ]
        assert {request_event.first_id for request_event in generator.event_log.events_of(RequestSent)} == {"1.1"}
        assert next(iter(generator.event_log.events_of(ResponseReceived))).retry_after_us == 1000
        gateway.script = lambda exchange: exchange.respond(reply(502, b""))
        await generator.run_operation(CLASSES["transfer"])
        assert [request_event.id for request_event in generator.event_log.events_of(RequestSent)][3:] == ["1.2"]
        await generator.run_operation(CLASSES["hold"])
        keys = [x.message.headers["idempotency-key"] for x in gateway.exchanges[4:]]
        assert len(keys) == 3 and len(set(keys)) == 1  # all attempts of an operation carry the same key


@pytest.mark.parametrize("on_kept_connection", [True, False])
@on_loop
async def test_request_is_resent_once_after_close_of_a_kept_connection(on_kept_connection: bool) -> None:
    """A request on a new connection that is closed is lost: no idle timeout can have closed that connection."""

    def script(exchange: Exchange) -> None:
        if len(gateway.exchanges) == (2 if on_kept_connection else 1):
            exchange.reset()
        else:
            echo(exchange)

    async with scripted_server(script) as gateway:
        generator, request_class = load_generator_of(target_of(gateway)), CLASSES["search"]

        async def send(request_id: str) -> object:
            data = generator.build_request(request_class, request_id, "central", 400_000, 1, "", 0)
            return await generator.send_attempt(
                0, request_class, request_id, data, 400_000, "", "central", request_id, False
            )

        if on_kept_connection:
            assert isinstance(await send("one"), ResponseReceived)
        result = await send("two")
        sent_requests = [(event.id, event.is_resend) for event in generator.event_log.events_of(RequestSent)]
        if on_kept_connection:
            assert (
                isinstance(result, ResponseReceived) and result.echoed_id == "two" and gateway.connection_count == 2
            )
            assert sent_requests == [("one", False), ("two", False), ("two", True)]
        else:
            assert (
                isinstance(result, ResponseMissing)
                and result.how in ("reset", "closed")
                and sent_requests == [("two", False)]
            )
        assert [event.id for event in generator.event_log.events_of(ResponseMissing)] == (
            [] if on_kept_connection else ["two"]
        )


@on_loop
async def test_missing_responses_and_unexpected_bytes_are_logged() -> None:
    async with scripted_server(lambda exchange: None) as gateway:
        generator = load_generator_of(
            target_of(gateway), max_retries=0, attempt_timeout_share=0.05, early_disconnect_share=0.0
        )
        await generator.run_operation(CLASSES["search"])
        assert [event.how for event in generator.event_log.events_of(ResponseMissing)] == ["none"]

        def respond_twice(exchange: Exchange) -> None:
            echo(exchange)
            asyncio.get_running_loop().call_later(0.02, exchange.respond, b"HTTP/1.1 200 OK\r\n")

        gateway.script = respond_twice
        await generator.run_operation(CLASSES["search"])
        await wait_until(lambda: list(generator.event_log.events_of(UnexpectedBytes)))


@on_loop
async def test_balancer_assigns_by_zone_and_detects_failures_late() -> None:
    addresses: list[Address] = [("127.0.0.1", n) for n in range(1, 5)]
    targets = [GatewayTarget(f"n{n}", n % 2, address) for n, address in enumerate(addresses)]
    balancer = ConnectionBalancer(1, detection_delay_s=(0.05, 0.06))
    assert balancer.pick_target(0) is None
    for target in targets:
        balancer.add(target)
    picked = [balancer.pick_target(1) for _ in range(10)]
    assert Counter(target.name for target in picked if target) == {"n1": 5, "n3": 5}
    balancer.schedule_close_after_failure("n1")
    # The failure is not yet detected.
    assert {target.name for target in (balancer.pick_target(1) for _ in range(4)) if target} == {"n1", "n3"}
    await wait_until(lambda: not targets[1].is_open)
    assert {target.name for target in (balancer.pick_target(1) for _ in range(4)) if target} == {"n3"}
    balancer.schedule_close_after_failure("n3")
    balancer.add(targets[3])  # ready again before the failure was detected
    await asyncio.sleep(0.08)
    assert targets[3].is_open
    balancer.close("n3")
    # No gateway is open in the zone.
    assert {target.zone_index for target in (balancer.pick_target(1) for _ in range(4)) if target} == {0}


@pytest.mark.parametrize("kind", sorted(build_misbehaving_requests(random.Random(1))))
@on_loop
async def test_misbehaving_clients_get_an_error_or_a_close(kind: str) -> None:
    """The real gateway in this process ends each kind with an error or a close, and forwards none to a host."""
    from tests.sockets import running_gateway

    async with scripted_server() as backend, running_gateway(configuration(backend)) as run:
        event_log = EventLog()
        target = GatewayTarget("n0", 0, ("127.0.0.1", run.port))
        if kind == "the id of an open request":
            # No request is open.
            assert await send_misbehaving_request(event_log, target, random.Random(1), kind) is None
            backend.script = never_respond
            other_client = await run.connect()
            other_client.send(request(x_call_id="mine"))
            await wait_until(lambda: backend.exchanges)
        client = await send_misbehaving_request(event_log, target, random.Random(1), kind, lambda gateway: "mine")
        assert client is not None and list(event_log.events_of(MisbehavingClient)) == [client]
        assert client.ended_us - client.at_us < 3_000_000 and client.ended_us
        assert client.status == 0 or client.status >= 400 or kind in MAY_BE_SERVED_KINDS
        assert kind in MAY_BE_SERVED_KINDS or len(backend.exchanges) == (kind == "the id of an open request")


def gateway_process_of(folder: Path, backend: ScriptedServer, **changes: Any) -> tuple[Gateway, EventLog]:
    event_log = EventLog()
    gateway = Gateway("n0", 0, folder, dict, event_log)
    config = configuration(backend) | {"listen": f"127.0.0.1:{gateway.port}"} | changes
    gateway.configure = lambda: config
    return gateway, event_log


@on_loop
async def test_gateway_process_through_restarts(tmp_path: Path) -> None:
    async with scripted_server() as backend:
        gateway, event_log = gateway_process_of(tmp_path, backend)
        ready_names, exited_names = list[str](), list[str]()
        gateway.on_ready = lambda process: ready_names.append(process.name)
        gateway.on_exit = lambda process: exited_names.append(process.name)
        with Fleet([gateway]) as fleet:
            fleet.start()
            assert await fleet.wait_until_ready(event_log)
            assert gateway.process is not None
            usage = read_usage(gateway.process.pid)
            assert usage is not None and usage[0] > 5_000 and usage[1] >= 3
            gateway.send_signal(signal.SIGHUP)
            await gateway.restart(down_s=0.0)
            await wait_until(lambda: len(ready_names) == 2)
            await gateway.restart(kill=True, down_s=0.0)
            await wait_until(lambda: len(ready_names) == 3)
            await fleet.stop()
        assert gateway.exit_codes == [0, -9, 0] and exited_names == ["n0"] * 3
        event_kinds = [event.what for event in event_log.events_of(ProcessEvent)]
        assert event_kinds == ["start", "ready", "HUP", "TERM", "exit", "start", "ready", "KILL", "exit", "start",
                               "ready", "TERM", "exit"]  # fmt: skip
        assert all(event.was_requested for event in event_log.events_of(ProcessEvent))


@on_loop
async def test_unrequested_exit_is_logged_as_such(tmp_path: Path) -> None:
    async with scripted_server() as backend:
        gateway, event_log = gateway_process_of(tmp_path, backend, settings={"lanes": []})
        with Fleet([gateway]) as fleet:
            fleet.start()
            await wait_until(lambda: gateway.exit_codes)
        (exit_event,) = [event for event in event_log.events_of(ProcessEvent) if event.what == "exit"]
        assert exit_event.code == 2 and not exit_event.was_requested


def is_alive(pid: int) -> bool:
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state != "Z"


@pytest.mark.parametrize("ending", ["error", "kill"])
def test_no_gateway_process_outlives_its_parent(tmp_path: Path, ending: str) -> None:
    """Neither after an error inside the fleet's context, nor after SIGKILL of the process that started the fleet."""
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
                if {ending!r} == "error":
                    raise RuntimeError("planned")
                await asyncio.sleep(60)
        asyncio.run(main())
    """)
    (tmp_path / "config").write_text(json.dumps(configuration("127.0.0.1:9")))
    parent_process = subprocess.Popen(
        [sys.executable, "-c", code], cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )
    assert parent_process.stdout is not None
    pids = [int(word) for word in parent_process.stdout.readline().split()]
    assert len(pids) == 2
    if ending == "kill":
        os.kill(parent_process.pid, signal.SIGKILL)
    parent_process.wait(timeout=20)
    parent_process.communicate()
    for _ in range(1000):
        if not any(map(is_alive, pids)):
            break
        time.sleep(0.01)
    assert not any(map(is_alive, pids))
