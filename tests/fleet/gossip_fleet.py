"""A fleet of real gateways with gossip in front of scripted hosts, over links with faults."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.event_log import now_us
from standins.parties import fleet as processes
from standins.parties.mesh import Mesh
from standins.parties.network import Network, TcpLink
from tests.fleet.lease_fleet import LeaseFleet
from tests.sockets import (
    Client,
    Exchange,
    ScriptedServer,
    configuration,
    endpoint,
    hosts_list,
    reply,
    request,
    scripted_server,
)

RESPONSE_DELAY_S = 0.003  # of a host


@dataclass
class GossipFleet(LeaseFleet):
    """Gateways numbered from 0 with gossip. The id of each request begins with the number of its gateway."""

    hosts: list[ScriptedServer] = field(default_factory=list)
    links: dict[tuple[int, int], TcpLink] = field(default_factory=dict)  # by gateway and host
    zones: tuple[int, ...] = ()  # of each gateway; empty: all in zone 0
    # By host: returns whether its responses to a gateway are errors.
    failing_hosts: dict[int, Callable[[int], bool]] = field(default_factory=dict)
    has_gossip: bool = True
    request_count: int = 0
    statuses: Counter[int] = field(default_factory=Counter)

    def options_text(self) -> str:
        """Return the options file of each gateway."""
        lease_options = super().options_text() if self.voters else ""
        return lease_options + ("[sharing]\n" if self.has_gossip else "")

    def config_factory(self, number: int) -> Callable[[], dict[str, Any]]:
        """Return a function that builds the configuration of a gateway."""

        def build_config() -> dict[str, Any]:
            config = configuration(*self.hosts)
            endpoints = []
            for n in range(len(self.hosts)):
                host, port = self.links[number, n].address
                endpoints.append(endpoint(f"s-{n}", f"{host}:{port}"))
            settings = config["settings"] | {"balancers": self.count, "index": number}
            settings["zone"] = self.zones[number] if self.zones else 0
            settings["caps"] |= {"peers": True}
            listen = self.mesh.listen_addresses[number]
            return config | {
                "name": f"n{number}", "listen": f"127.0.0.1:{self.gateways[number].port}",
                "known": hosts_list(7, *endpoints), "settings": settings, "seed": f"5eed{number}",
                "peer_listen": f"{listen[0]}:{listen[1]}", "peers": self.mesh.peers(number),
            }  # fmt: skip

        return build_config

    # Requests

    async def send_request(self, number: int) -> int:
        """Send a search to a gateway on a connection of its own; return the status."""
        self.request_count += 1
        data = request("search", x_call_id=f"{number:02x}{self.request_count:014x}")
        client = Client(*await asyncio.open_connection("127.0.0.1", self.gateways[number].port))
        try:
            status = (await client.send_request(data)).status
        finally:
            client.close()
        self.statuses[status] += 1
        return status

    async def send_requests(self, numbers: Iterable[int], count_each: int) -> None:
        """Send requests to each of these gateways, one after another, to all gateways in parallel."""

        async def send_to_gateway(number: int) -> None:
            for _ in range(count_each):
                await self.send_request(number)

        await asyncio.gather(*(send_to_gateway(number) for number in numbers))

    async def send_until(self, numbers: Iterable[int], condition: Callable[[], Any], what: str) -> None:
        """Send requests to each of these gateways until the condition is true."""
        end = time.monotonic() + 20.0
        numbers = list(numbers)
        while not condition():
            if time.monotonic() > end:
                raise AssertionError(f"not within 20 s: {what}\n{self.timeline()}")
            await self.send_requests(numbers, 1)

    # What the hosts received

    def attempts_by_gateway(self, host: int, since: int = 0) -> Counter[int]:
        """Return the number of attempts by gateway, from the host's attempt with index `since` on."""
        ids = [exchange.message.headers["x-call-id"] for exchange in self.hosts[host].exchanges[since:]]
        return Counter(int(id_[:2], 16) for id_ in ids)

    def request_and_retry_counts(self, since: list[int]) -> tuple[int, int]:
        """Return the numbers of requests and of further attempts at all hosts since these `attempt_counts`."""
        ids = [
            exchange.message.headers["x-call-id"]
            for n, host in enumerate(self.hosts) for exchange in host.exchanges[since[n] :]
        ]  # fmt: skip
        return len(set(ids)), len(ids) - len(set(ids))

    def attempt_counts(self) -> list[int]:
        """Return how many attempts each host has received so far."""
        return [len(host.exchanges) for host in self.hosts]

    def attempts_by_host(self, numbers: Iterable[int], since: list[int]) -> list[int]:
        """Return by host the number of attempts of these gateways since these `attempt_counts`."""
        numbers = list(numbers)
        return [sum(self.attempts_by_gateway(n, since[n])[g] for g in numbers) for n in range(len(self.hosts))]

    def fail(self, host: int, is_affected: Callable[[int], bool] = lambda number: True) -> None:
        """Let a host respond with errors, to the affected gateways."""
        self.note(f"s-{host} fails")
        self.failing_hosts[host] = is_affected

    def recover(self, host: int) -> None:
        """Let a failing host respond well again."""
        self.note(f"s-{host} recovers")
        self.failing_hosts.pop(host, None)

    def refuse_host_connections(self, *numbers: int) -> None:
        """Refuse the connections of these gateways to all hosts."""
        self.note(f"connections of {numbers} to all hosts are refused")
        for (gateway, _), link in self.links.items():
            if gateway in numbers:
                link.refuse()

    async def suspects(self, number: int, host: str) -> bool:
        """Return whether a gateway reports that it suspects a host. Tests wait for this; they don't check it."""
        state = await self.read_state(number, "PEERS")
        return any(status["host"] == host and status["doubted"] for status in state["hosts"])

    def check(self) -> None:
        """Check that no log has a defect."""
        defects = [line for gateway in self.gateways for line in gateway.defect_lines()]
        assert not defects, f"{defects}\n{self.timeline()}"


@asynccontextmanager
async def running_gossip_fleet(
    folder: Path, count: int = 6, hosts: int = 3, zones: tuple[int, ...] = (), has_gossip: bool = True,
    commands: dict[int, tuple[str, ...]] | None = None, checkouts: dict[int, Path] | None = None, voters: int = 0,
    lease_ms: int = 0,
) -> AsyncIterator[GossipFleet]:  # fmt: skip
    """Run a fleet and its hosts while in the context; with `voters`, the gateways hold leases too."""
    fleet: GossipFleet | None = None

    def script(index: int) -> Callable[[Exchange], Any]:
        async def respond(exchange: Exchange) -> None:
            await asyncio.sleep(RESPONSE_DELAY_S)
            assert fleet is not None
            is_affected = fleet.failing_hosts.get(index)
            is_failing = is_affected is not None and is_affected(int(exchange.message.headers["x-call-id"][:2], 16))
            if not exchange.writer.transport.is_closing():
                exchange.respond(reply(500 if is_failing else 200))

        return respond

    network = Network(1)
    mesh = Mesh(network, count, has_watcher=False)
    contexts = [scripted_server(script(index)) for index in range(hosts)]
    servers = [await context.__aenter__() for context in contexts]
    try:
        await mesh.open()
        fleet = GossipFleet(
            folder,
            count,
            voters,
            lease_ms,
            servers[0],
            network,
            mesh,
            0,
            now_us(),
            hosts=servers,
            zones=zones,
            has_gossip=has_gossip,
        )
        for number in range(count):
            for n, host in enumerate(servers):
                ip, _, port = host.address.rpartition(":")
                link = network.add_tcp_link(f"n{number}", f"s-{n}", lambda ip=ip, port=port: (ip, int(port)))  # type: ignore[misc]
                link.open()
                fleet.links[number, n] = link
            gateway = fleet.add_gateway(number)
            gateway.command = (commands or {}).get(number, gateway.command)
            gateway.checkout = (checkouts or {}).get(number, gateway.checkout)
        with processes.Fleet(fleet.gateways):
            fleet.start(*range(count))
            await fleet.wait_until_ready(*range(count))
            yield fleet
    finally:
        mesh.close()
        network.close()
        for context in contexts:
            await context.__aexit__(None, None, None)
