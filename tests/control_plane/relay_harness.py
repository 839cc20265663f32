"""A relay in the test process, with a discovery (a stand-in or scripted) and scripted clients."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Generator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

from cloverkeel.control_plane.config import Limits, RelayConfig
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.http_server import RelayServer
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.core.clock import now_us
from standins.event_log import EventLog
from standins.parties.registry import Entry, Registry
from tests.sockets import Client, Message, ScriptedServer, list_reply, scripted_server, wait_until

ROSTER = json.dumps({
    "regions": {"r0": ["a", "b"]},
    "gateways": {
        "g0": {"zone": "a", "services": ["s"]}, "g1": {"zone": "b", "services": ["t"]}, "g2": {"zone": "a"},
    },
}).encode()  # fmt: skip
HOLD = "&hold_ms=20000"
LIST_PATH = "/registry/instances"


@dataclass
class RelayHarness:
    """A relay and the discovery that it polls."""

    registry: Registry
    server: RelayServer

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.server.port))

    async def get(self, target: str, client: Client | None = None, *headers: str) -> Message:
        connection = client or await self.client()
        lines = (f"GET {target} HTTP/1.1", "Host: r", *headers)
        return await connection.send_request("\r\n".join(lines).encode() + b"\r\n\r\n")

    async def listed(self, query: str, client: Client | None = None) -> dict[str, Any]:
        answer = await self.get(f"/registry/instances?{query}", client)
        assert answer.status == 200, answer
        found: dict[str, Any] = json.loads(answer.body)
        return found

    async def state(self) -> dict[str, Any]:
        found: dict[str, Any] = json.loads((await self.get("/relay/state")).body)
        return found

    def change(self, *changes: tuple[str, str]) -> None:
        self.registry.apply_changes([(self.registry.entries[name], status) for name, status in changes])

    async def wait_for_host_count(self, count: int) -> None:
        server = self.server
        await wait_until(
            lambda: server.cache.is_ready
            and len(server.cache.table.host_by_name) == count
            and server.long_polls.notify_task is None
        )


def entry(number: int, service: str = "s") -> Entry:
    return Entry(f"{service}-{number}", "ab"[number % 2], "m", 0, 0, service=service)


@asynccontextmanager
async def running_relay(address: str, limits: Limits | None = None) -> AsyncIterator[RelayServer]:
    host, _, port = address.rpartition(":")
    config = RelayConfig("here", "relay-1", ("127.0.0.1", 0), (host, int(port)), "roster", limits or Limits())
    server = RelayServer(config, EndpointCache(parse_roster(ROSTER, "roster"), now_us()))
    await server.start()
    try:
        yield server
    finally:
        server.close()
        server.abort_connections()


async def allow_all() -> None:
    return None


@asynccontextmanager
async def relay_with_registry(limits: Limits | None = None, ready: bool = True) -> AsyncIterator[RelayHarness]:
    """Run a relay whose discovery lists four hosts of each of two services; if `ready`, wait for its list."""
    registry = Registry(EventLog())
    for service in "st":
        for number in range(4):
            registry.add_entry(entry(number, service))
    listener = await registry.open_listener(
        "relay", lambda name: ("127.0.0.1", 9000 + ord(name[0]) + int(name[2:])), allow_all
    )
    if not ready:
        await registry.set_outage_mode("503")
    assert listener.address is not None
    try:
        async with running_relay(f"{listener.address[0]}:{listener.address[1]}", limits) as server:
            harness = RelayHarness(registry, server)
            if ready:
                await harness.wait_for_host_count(8)
            yield harness
    finally:
        registry.close()


def status_by_name(listed: dict[str, Any]) -> dict[str, str]:
    return {item["name"]: item["status"] for item in listed["endpoints"]}


@asynccontextmanager
async def scripted_discovery() -> AsyncIterator[tuple[list[bytes], ScriptedServer]]:
    """Run a discovery that answers every request with the last item of the yielded list."""
    answers: list[bytes] = []
    async with scripted_server(lambda exchange: exchange.respond(answers[-1])) as discovery:
        yield answers, discovery


def snapshot_reply(index: int, *hosts: str) -> bytes:
    entries: list[dict[str, object]] = [
        {"name": name, "address": "127.0.0.1:1", "zone": "a", "status": "SERVING", "service": "s"} for name in hosts
    ]  # fmt: skip
    return list_reply(index, *entries)


def count_steps(steps: Generator[None, None, Any]) -> tuple[int, Any]:
    """Run all steps; returns their number and the result."""
    count = 0
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return count, stop.value
        count += 1


async def run_turn_by_turn(steps: Generator[None, None, Any]) -> Any:
    """Run steps as cooperative.run_cooperatively does, but yield to the loop after each step."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await asyncio.sleep(0)
