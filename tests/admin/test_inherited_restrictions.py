"""A process that replaces another keeps to what the other was told about hosts, until discovery answers it."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from tests.admin.test_operations import gateway
from tests.cli.process import ask
from tests.sockets import (
    Exchange,
    configuration,
    endpoint,
    hosts_list,
    on_loop,
    reply,
    request,
    scripted_server,
    wait_until,
)

pytestmark = pytest.mark.processes

KNOWN_VERSION = 7  # of the list in the configuration


class ScriptedDiscovery:
    """Answers calls with one changed host, holds watches, and can be down."""

    def __init__(self) -> None:
        self.version = KNOWN_VERSION
        self.endpoints: list[dict[str, object]] = []  # the complete list
        self.changed: list[dict[str, object]] = []
        self.is_down = False
        self.held: list[Exchange] = []

    def handle(self, exchange: Exchange) -> None:
        """Answer a call."""
        target = exchange.message.start_line.split(" ")[1]
        if self.is_down:
            exchange.respond(reply(503, b""))
        elif "from=" not in target:
            exchange.respond(reply(200, json.dumps(hosts_list(self.version, *self.endpoints)).encode()))
        elif f"from={self.version}" in target:
            self.held.append(exchange)
        else:
            raw = {"index": self.version, "snapshot": False, "endpoints": self.changed}
            exchange.respond(reply(200, json.dumps(raw).encode()))

    def go_down(self) -> None:
        """Answer all calls with 503, and reset the watches."""
        self.is_down = True
        for exchange in self.held:
            exchange.reset()


@pytest.mark.parametrize("status", ["DRAINING", "DELETED"])
@on_loop
async def test_a_host_that_drains_gets_nothing_from_a_successor_that_discovery_does_not_answer(
    tmp_path: Path, status: str
) -> None:
    """Guards against requests to a host whose drain or removal only the process before this one was told."""
    discovery = ScriptedDiscovery()
    async with scripted_server() as a, scripted_server() as b, scripted_server(discovery.handle) as registry:
        discovery.version += 1
        discovery.changed = [endpoint("s-0", a.address, status=status)]
        serving = [endpoint("s-0", a.address), endpoint("s-1", b.address)]
        discovery.endpoints = [*discovery.changed, serving[1]] if status == "DRAINING" else serving[1:]
        async with gateway(tmp_path, configuration(a, b, discovery=registry.address)) as processes:
            old = await processes.start()
            await wait_until(lambda: any(status in file.read_text() for file in tmp_path.glob("*/restrictions.json")))
            discovery.go_down()
            await processes.start()
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            count = len(a.exchanges)
            for _ in range(40):
                assert await ask(processes.port, request()) == 200
            assert len(a.exchanges) == count
            discovery.version += 1
            discovery.changed, discovery.endpoints, discovery.is_down = [serving[0]], serving, False
            while len(a.exchanges) == count:  # discovery says otherwise
                assert await ask(processes.port, request()) == 200
