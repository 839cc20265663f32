"""SIGHUP to the gateway process: discovery switches to the new address, and requests are not disturbed."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from pathlib import Path
from typing import Any

import pytest

from tests.cli.process import ask, connect, program, start
from tests.sockets import (
    Exchange,
    ScriptedServer,
    configuration,
    endpoint,
    list_reply,
    never_respond,
    on_loop,
    reply,
    request,
    scripted_server,
    wait_until,
)
from tests.discovery.test_relay_client import relay_script, relay_list


def replace(folder: Path, **changes: Any) -> None:
    """Replace the configuration file atomically, as the platform does."""
    file, new = folder / "config.json", folder / "new.json"
    new.write_text(json.dumps(json.loads(file.read_text()) | changes))
    os.replace(new, file)


def snapshot_script(*endpoints: dict[str, object]) -> Any:
    """Answer requests for the whole list; leave a watch unanswered."""

    def script(exchange: Exchange) -> None:
        if "from=" not in exchange.message.start_line:
            exchange.respond(list_reply(3, *endpoints))

    return script


def requested_targets(registry: ScriptedServer) -> list[str]:
    return [exchange.message.start_line.split(" ")[1] for exchange in registry.exchanges]


@on_loop
async def test_a_reload_switches_discovery_immediately_while_requests_continue(tmp_path: Path) -> None:
    async with (
        scripted_server(never_respond) as old_host,
        scripted_server() as new_host,
        scripted_server(never_respond) as old,
        scripted_server(snapshot_script(endpoint("s-9", new_host.address))) as new,
        program(tmp_path, configuration(old_host, discovery=old.address)) as (process, port),
    ):
        await wait_until(lambda: old.exchanges)
        client = await connect(port)
        client.send(request("transfer", b"held"))
        await wait_until(lambda: old_host.exchanges)
        replace(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(new.exchanges) == 2)
        # The whole list, then a watch from its version, on one connection; the old connection is closed.
        assert requested_targets(new) == ["/registry/instances", "/registry/instances?from=3&hold_ms=1000"]
        await wait_until(lambda: old.closed_count == old.connection_count)
        old_host.exchanges[0].respond(reply(200, b"held"))
        assert (await client.read_response()).body == b"held"
        assert (await client.send_request(request("transfer"))).status == 200
        assert len(new_host.exchanges) == 1 and len(old_host.exchanges) == 1
        # Switch back, with a second signal while the first reload is running.
        replace(tmp_path, discovery=old.address)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(old.exchanges) == 2)
        assert requested_targets(old)[-1] == "/registry/instances"
        client.close()


@on_loop
async def test_a_reload_cancels_a_poll_in_progress_and_keeps_known_hosts(tmp_path: Path) -> None:
    """SIGHUP arrives during a poll: the poll is cancelled, and polls of the new address fail."""
    async with (
        scripted_server() as host,
        scripted_server(never_respond) as old,
        scripted_server(lambda exchange: exchange.reset()) as new,
        program(tmp_path, configuration(host, discovery=old.address)) as (process, port),
    ):
        await wait_until(lambda: old.exchanges)
        replace(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: len(new.exchanges) >= 2)  # a failed poll is retried
        await wait_until(lambda: old.closed_count)
        assert await ask(port, request("transfer")) == 200  # the known endpoint list stays in use
        new.script = never_respond


@pytest.mark.parametrize("text", ["", "{}", '{"discovery":"127.0.0.1:1"}', None])
@on_loop
async def test_an_invalid_file_changes_nothing(tmp_path: Path, text: str | None) -> None:
    async with (
        scripted_server() as host,
        scripted_server(never_respond) as registry,
        program(tmp_path, configuration(host, discovery=registry.address)) as (process, port),
    ):
        await wait_until(lambda: registry.exchanges)
        if text is None:
            os.remove(tmp_path / "config.json")
        else:
            (tmp_path / "config.json").write_text(text)
        process.send_signal(signal.SIGHUP)
        assert process.stderr is not None
        line = await process.stderr.readline()
        assert b"decisions=" in line  # startup line that names the build
        line = await process.stderr.readline()
        assert b"all stays as it is" in line
        assert await ask(port, request("transfer")) == 200
        assert registry.closed_count == 0
        process.send_signal(signal.SIGTERM)
        _, errors = await process.communicate()
        lines = [line for line in errors.splitlines() if b"tally" not in line]
        assert process.returncode == 0 and len(lines) == 1  # the shutdown line


@on_loop
async def test_a_reload_switches_relays_and_services_while_requests_continue(tmp_path: Path) -> None:
    """An invalid file changes nothing; a valid one switches polling to its relays, and the endpoint list is kept."""
    file = tmp_path / "options.toml"

    def options_text(*relays: ScriptedServer, services: str = "s1") -> str:
        return f"[relays]\naddresses = {json.dumps([r.address for r in relays])}\nservices = ['{services}']\n"

    async with (
        scripted_server() as host,
        scripted_server() as first,
        scripted_server() as second,
        scripted_server(never_respond) as discovery,
    ):
        first.script = second.script = relay_script(relay_list(3, endpoint("s-9", host.address, service="s1")))
        file.write_text(options_text(first))
        config = configuration(host, discovery=discovery.address)
        async with program(tmp_path, config, CLOVERKEEL_OPTIONS=str(file)) as (process, port):
            await wait_until(lambda: len(first.exchanges) >= 2)
            assert process.stderr is not None
            file.write_text("[relays]\naddresses = ['nowhere']\n")
            process.send_signal(signal.SIGHUP)
            while b"all stays as it is" not in (line := await process.stderr.readline()):
                assert line
            assert first.connection_count == 1 and first.closed_count == 0
            file.write_text(options_text(second, services="s2"))
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: first.closed_count and len(second.exchanges) >= 2)
            assert all("services=s2" in target and "from=" not in target for target in requested_targets(second)[:1])
            assert await ask(port, request("search")) == 200
            before = first.connection_count
            process.send_signal(signal.SIGHUP)  # unchanged file: polling continues on the same connection
            await wait_until(lambda: len(second.exchanges) >= 4)
            assert (
                second.connection_count == 1 and first.connection_count == before and not discovery.connection_count
            )


@on_loop
async def test_a_reload_during_shutdown_is_executed(tmp_path: Path) -> None:
    async with (
        scripted_server(never_respond) as host,
        scripted_server(never_respond) as old,
        scripted_server(never_respond) as new,
        program(tmp_path, configuration(host, discovery=old.address)) as (process, port),
    ):
        client = await connect(port)
        client.send(request("transfer"))
        await wait_until(lambda: host.exchanges)
        process.send_signal(signal.SIGTERM)
        replace(tmp_path, discovery=new.address)
        process.send_signal(signal.SIGHUP)
        await wait_until(lambda: new.exchanges)
        host.exchanges[0].respond(reply(200, b"x"))
        assert (await client.read_response()).body == b"x"
        assert await process.wait() == 0
        client.close()


@on_loop
async def test_a_sighup_during_the_first_read_of_the_file_is_not_lost(tmp_path: Path) -> None:
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)  # the process blocks while it reads its configuration
    async with (
        scripted_server() as host,
        scripted_server(never_respond) as old,
        scripted_server(never_respond) as new,
    ):
        process = await start({"LB_CONFIG": str(pipe)})
        loop = asyncio.get_running_loop()
        write_end = await loop.run_in_executor(None, os.open, pipe, os.O_WRONLY)
        process.send_signal(signal.SIGHUP)
        config = configuration(host, discovery=old.address)
        replaced = tmp_path / "new.json"
        replaced.write_text(json.dumps(config | {"discovery": new.address}))
        os.replace(replaced, pipe)
        os.write(write_end, json.dumps(config).encode())
        os.close(write_end)
        await wait_until(lambda: new.exchanges)
        process.kill()
        await process.wait()
