"""Staff at work on real processes: hosts out by hand, a gateway emptied, a process replaced under load."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import unittest.mock
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, cast

from cloverkeel.balancing.balancer import Balancer
from cloverkeel.assembly import assemble
from cloverkeel.core.config import parse
from cloverkeel.core.draining import paused
from cloverkeel.discovery.ejection_filter import BannedMembership
from cloverkeel.admin.state_files import SharedFiles
from cloverkeel.admin.operations import Operations
from tests.sockets import Client, Exchange, configuration, on_loop, peer, reply, request, silent, until
from tests.test_gateway_process import READY, ask, connect, free_port, start


async def call(port: int, line: bytes) -> str:
    """What staff are told; "" where nobody answers."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return ""
    writer.write(line + b"\n")
    said = (await reader.read()).decode()
    writer.close()
    return said


@dataclass
class Process:
    process: asyncio.subprocess.Process
    ops: int
    errors: list[bytes] = field(default_factory=list)

    async def call(self, line: bytes) -> str:
        return await call(self.ops, line)

    async def serves(self) -> None:
        while not (await self.call(b"STATUS")).startswith("ACK"):
            assert self.process.returncode is None, await self.end()
            await asyncio.sleep(0.01)

    async def end(self) -> bytes:
        """Its log."""
        return (await self.process.communicate())[1]


@dataclass
class Gateway:
    """One gateway, whose processes follow one another at one address."""

    folder: Path
    config: dict[str, Any]
    port: int = field(default_factory=free_port)
    processes: list[Process] = field(default_factory=list)

    async def begin(self) -> Process:
        ops = free_port()
        file = self.folder / f"config-{ops}.json"
        listen = f"127.0.0.1:{self.port}"
        file.write_text(json.dumps(self.config | {"listen": listen, "ops": f"127.0.0.1:{ops}"}))
        made = Process(await start({"LB_CONFIG": str(file), "TMPDIR": str(self.folder)}), ops)
        self.processes.append(made)
        return made

    async def start(self) -> Process:
        made = await self.begin()
        await made.serves()
        return made

    def signs(self, stage: str) -> list[Path]:
        """Of processes that live, or have not been found dead yet."""
        return list(self.folder.glob(f"cloverkeel-*/*.{stage}"))


@asynccontextmanager
async def gateway(folder: Path, config: dict[str, Any]) -> AsyncIterator[Gateway]:
    made = Gateway(folder, config)
    try:
        yield made
    finally:
        for one in made.processes:
            if one.process.returncode is None:
                one.process.kill()
                await one.process.wait()


@on_loop
async def test_a_host_out_by_hand_gets_nothing_and_one_call_back_brings_it_back(tmp_path: Path) -> None:
    async with peer() as a, peer() as b, gateway(tmp_path, configuration(a, b)) as gate:
        one = await gate.start()
        assert (await one.call(b"SUSPEND s-9")).startswith("NAK s-9 was never listed")
        for _ in range(3):
            assert (await one.call(b"SUSPEND s-0")).startswith("ACK")
        for _ in range(40):
            assert await ask(gate.port, request()) == 200
        assert not a.seen and len(b.seen) == 40
        assert (await one.call(b"SUSPEND s-1")).startswith("ACK")
        assert await ask(gate.port, request()) == 503  # all are out: refused, at once
        assert "2 out by hand" in await one.call(b"STATUS")
        assert (await one.call(b"RESTORE s-0")).startswith("ACK")
        assert await ask(gate.port, request()) == 200
        assert len(a.seen) == 1


@on_loop
async def test_what_a_banned_host_has_is_finished(tmp_path: Path) -> None:
    async with peer(silent) as host, gateway(tmp_path, configuration(host)) as gate:
        one = await gate.start()
        client = await connect(gate.port)
        client.send(request("transfer", b"x"))
        await until(lambda: host.seen)
        assert (await one.call(b"SUSPEND s-0")).startswith("ACK")
        host.seen[0].answer(reply(200, b"done"))
        assert (await client.answer()).body == b"done"
        client.close()


@on_loop
async def test_bad_callers_delay_nobody(tmp_path: Path) -> None:
    async with peer() as host, gateway(tmp_path, configuration(host)) as gate:
        one = await gate.start()
        mute = [await asyncio.open_connection("127.0.0.1", one.ops) for _ in range(60)]
        for _, writer in mute[::2]:
            writer.write(b"STA")
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        said = await asyncio.gather(*(one.call(line) for line in (b"STATUS", b"", b"status", b"x" * 5000, b"\xff")))
        assert loop.time() - before_s < 1
        assert [line[:3] for line in said] == ["ACK", "NAK", "NAK", "NAK", "NAK"]
        for _, writer in mute:
            writer.close()


@on_loop
async def test_a_pause_empties_the_gateway_and_a_resume_fills_it_again(tmp_path: Path) -> None:
    async with peer(silent) as host, gateway(tmp_path, configuration(host)) as gate:
        one = await gate.start()
        idle, busy, fresh = [await connect(gate.port) for _ in range(3)]
        assert (await idle.ask(READY)).status == 200
        busy.send(request("transfer", b"held"))
        await until(lambda: host.seen)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        assert (await one.call(b"PAUSE")).startswith("ACK")
        assert await ask(gate.port, READY) == 503
        assert (await one.call(b"STATUS")).startswith("NAK paused")
        fresh.send(request("transfer", b"still"))  # the front has not noticed yet
        await until(lambda: len(host.seen) == 2)
        for exchange in host.seen:
            exchange.answer(reply(200, exchange.message.body))
        for client, body in ((busy, b"held"), (fresh, b"still")):
            answer = await client.answer()
            assert (answer.body, answer.headers["connection"]) == (body, "close")
        assert await idle.reader.read() == b""
        assert loop.time() - began_s < 4
        await asyncio.sleep(max(0.0, began_s + paused().refuse_s + 0.1 - loop.time()))
        late = await connect(gate.port)
        answer = await late.ask(request("transfer"))
        assert (answer.status, answer.headers["connection"], len(host.seen)) == (503, "close", 2)
        for _ in range(2):
            assert (await one.call(b"RESUME")).startswith("ACK")
            assert await ask(gate.port, READY) == 200
        assert (await one.call(b"STATUS")).startswith("ACK")
        for client in (idle, busy, fresh, late):
            client.close()


@on_loop
async def test_bans_and_a_pause_outlive_the_process_and_are_heard_by_both(tmp_path: Path) -> None:
    async with peer() as a, peer() as b, gateway(tmp_path, configuration(a, b)) as gate:
        old = await gate.start()
        assert (await old.call(b"SUSPEND s-0")).startswith("ACK")
        new = await gate.start()
        assert "1 out by hand" in await new.call(b"STATUS")
        assert (await old.call(b"SUSPEND s-1")).startswith("ACK")  # told to one, heard by the other
        await asyncio.sleep(0.2)
        assert "2 out by hand" in await new.call(b"STATUS")
        assert (await new.call(b"RESTORE s-0")).startswith("ACK")
        await asyncio.sleep(0.2)
        assert "1 out by hand" in await old.call(b"STATUS")
        old.process.send_signal(signal.SIGTERM)
        assert await old.process.wait() == 0
        for _ in range(20):
            assert await ask(gate.port, request()) == 200
        assert len(a.seen) == 20 and not b.seen
        new.process.send_signal(signal.SIGKILL)
        await new.process.wait()
        last = await gate.start()
        assert "1 out by hand" in await last.call(b"STATUS")


@on_loop
async def test_requests_are_served_through_three_upgrades(tmp_path: Path) -> None:
    """Short connections and kept ones under load; what crosses the close of a kept one is sent once more."""

    async def slowly(exchange: Exchange) -> None:
        await asyncio.sleep(0.005)
        exchange.answer(reply(200, exchange.message.body))

    async with peer(slowly) as host, gateway(tmp_path, configuration(host)) as gate:
        old = await gate.start()
        over = False
        served = lost = 0

        async def client(number: int, keeps: bool) -> None:
            nonlocal served, lost
            open_: Client | None = None
            while not over:
                data = request("transfer", b"%d" % number)
                for again in (False, True):
                    used = open_ is not None
                    try:
                        open_ = open_ or await connect(gate.port)
                        answer = await open_.ask(data)
                    except (OSError, asyncio.IncompleteReadError):
                        if open_ is not None:
                            open_.close()
                        open_ = None
                        if again or not used:
                            lost += 1
                            break
                        continue
                    # The module may turn some away on a machine that is busy; the way out must not.
                    assert answer.status == 200 or (answer.status, answer.body) == (503, b""), answer
                    served += answer.status == 200
                    if not keeps or answer.headers.get("connection") == "close":
                        open_.close()
                        open_ = None
                    break
            if open_ is not None:
                open_.close()

        clients = [asyncio.create_task(client(number, number % 2 == 0)) for number in range(12)]
        for _ in range(3):
            new = await gate.start()
            before = served
            old.process.send_signal(signal.SIGTERM)
            assert await ask(gate.port, READY) == 200  # the gateway is ready, whichever process is asked
            assert await old.process.wait() == 0
            await until(lambda before=before: served > before + 50)  # type: ignore[misc]
            old = new
        over = True
        await asyncio.gather(*clients)
        assert lost == 0


@on_loop
async def test_a_process_with_a_successor_tells_the_front_that_the_gateway_is_ready(tmp_path: Path) -> None:
    """The front asks the old process after it was told to end, on a connection of before.

    The request ahead of the question keeps that connection from its end for as long as the old process lives.
    """
    async with peer(silent) as host, gateway(tmp_path, configuration(host)) as gate:
        old = await gate.start()
        front = await connect(gate.port)  # there is no other process yet
        front.send(request("transfer", b"held"))
        await until(lambda: host.seen)
        await gate.start()
        old.process.send_signal(signal.SIGTERM)
        while not (await old.call(b"STATUS")).startswith("NAK ending"):
            await asyncio.sleep(0.002)
        front.send(READY)
        host.seen[0].answer(reply(200, b"held"))
        assert (await front.answer()).body == b"held"
        assert (await front.answer()).status == 200
        assert await old.process.wait() == 0
        front.close()


@on_loop
async def test_a_successor_that_dies_before_it_serves_leaves_the_old_one_whole(tmp_path: Path) -> None:
    async with peer() as host, gateway(tmp_path, configuration(host)) as gate:
        old = await gate.start()
        new = await gate.begin()
        await until(lambda: gate.signs("begins"))
        new.process.kill()
        await new.process.wait()
        await until(lambda: not gate.signs("begins") and len(gate.signs("serves")) == 1)  # the old one has looked
        assert (await old.call(b"STATUS")).startswith("ACK")
        assert await ask(gate.port, request()) == 200
        old.process.send_signal(signal.SIGTERM)
        assert b"Traceback" not in await old.end() and old.process.returncode == 0


@asynccontextmanager
async def operated(folder: Path) -> AsyncIterator[tuple[Operations, Balancer, SharedFiles]]:
    """A gateway's operations in this process, its module, and the files of another process of the same gateway."""
    async with peer() as host:
        config = parse(configuration(host) | {"name": "shared", "ops": "127.0.0.1:1"})
        program = assemble(config)
        assert isinstance(program.discovery, BannedMembership)
        with unittest.mock.patch.dict(os.environ, {"TMPDIR": str(folder)}):
            operations = Operations(config, program.server, program.discovery)
        operations.start()
        other = SharedFiles(operations.files.folder)
        other.open()
        try:
            yield operations, cast(Balancer, program.gateway.balancer), other
        finally:
            other.close()
            operations.close()
            program.server.close()
            program.close()


@on_loop
async def test_what_a_gateway_may_do_is_shared_out_among_its_processes(tmp_path: Path) -> None:
    async with operated(tmp_path) as (operations, module, other):
        server = operations.server
        whole_us, most = module.slow_start.budget_us(), server.config.sockets
        await until(lambda: server.sockets == most // 2)
        assert module.slow_start.budget_us() == whole_us  # it does not take clients yet
        other.serves()
        await until(lambda: module.slow_start.budget_us() == whole_us / 2)
        other.ends()
        await until(lambda: module.slow_start.budget_us() == whole_us)
        assert server.sockets == most // 2  # what it holds it has until its end
        other.close()
        await until(lambda: server.sockets == most)


@on_loop
async def test_a_process_that_ends_leaves_its_part_of_cold_budgets_to_its_successor(tmp_path: Path) -> None:
    async with operated(tmp_path) as (operations, module, successor):
        whole_us = module.slow_start.budget_us()
        successor.serves()
        assert operations.way_out() is not None
        assert module.slow_start.budget_us() < whole_us / 1000
        assert successor.others().count == 1 and successor.others().serving == 0


@on_loop
async def test_without_a_second_address_a_second_start_fails(tmp_path: Path) -> None:
    async with peer() as host, gateway(tmp_path, configuration(host)) as gate:
        await gate.start()
        file = tmp_path / "plain.json"
        file.write_text(json.dumps(gate.config | {"listen": f"127.0.0.1:{gate.port}"}))
        second = await start({"LB_CONFIG": str(file), "TMPDIR": str(tmp_path)})
        _, errors = await second.communicate()
        assert second.returncode == 1 and b"cannot listen" in errors
