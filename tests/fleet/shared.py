"""Several real gateways that share what they know, before scripted hosts; links with faults between all of them."""

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
from tests.fleet.ground import Ground
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

TOOK_S = 0.003  # of a host for an answer


@dataclass
class Shared(Ground):
    """What hosts saw says which gateway it came from: a request's id begins with its number."""

    hosts: list[ScriptedServer] = field(default_factory=list)
    links: dict[tuple[int, int], TcpLink] = field(default_factory=dict)  # gateway, host
    zones: tuple[int, ...] = ()  # of gateways; all in the first by default
    failing: dict[int, Callable[[int], bool]] = field(default_factory=dict)  # by host: for which gateways
    on: bool = True  # they share
    asked: int = 0
    statuses: Counter[int] = field(default_factory=Counter)

    def options(self) -> str:
        duties = super().options() if self.voters else ""
        return duties + ("[sharing]\n" if self.on else "")

    def configure(self, number: int) -> Callable[[], dict[str, Any]]:
        def made() -> dict[str, Any]:
            config = configuration(*self.hosts)
            known = []
            for n in range(len(self.hosts)):
                host, port = self.links[number, n].address
                known.append(endpoint(f"s-{n}", f"{host}:{port}"))
            settings = config["settings"] | {"balancers": self.count, "index": number}
            settings["zone"] = self.zones[number] if self.zones else 0
            settings["caps"] |= {"peers": True}
            listen = self.mesh.listen_addresses[number]
            return config | {
                "name": f"n{number}", "listen": f"127.0.0.1:{self.gateways[number].port}",
                "known": hosts_list(7, *known), "settings": settings, "seed": f"5eed{number}",
                "peer_listen": f"{listen[0]}:{listen[1]}", "peers": self.mesh.peers(number),
            }  # fmt: skip

        return made

    # Requests

    async def ask(self, number: int) -> int:
        """One search at a gateway, on a connection of its own; its status."""
        self.asked += 1
        data = request("search", x_call_id=f"{number:02x}{self.asked:014x}")
        client = Client(*await asyncio.open_connection("127.0.0.1", self.gateways[number].port))
        try:
            status = (await client.send_request(data)).status
        finally:
            client.close()
        self.statuses[status] += 1
        return status

    async def load(self, numbers: Iterable[int], each: int) -> None:
        """So many requests at each of these gateways, one after another, side by side."""

        async def at_one(number: int) -> None:
            for _ in range(each):
                await self.ask(number)

        await asyncio.gather(*(at_one(number) for number in numbers))

    async def until(self, numbers: Iterable[int], condition: Callable[[], Any], what: str) -> None:
        """Requests at each of these gateways until something is seen."""
        end = time.monotonic() + 20.0
        numbers = list(numbers)
        while not condition():
            if time.monotonic() > end:
                raise AssertionError(f"not within 20 s: {what}\n{self.timeline()}")
            await self.load(numbers, 1)

    # What hosts saw

    def seen(self, host: int, since: int = 0) -> Counter[int]:
        """Requests by gateway, from the n-th that came to this host on."""
        ids = [exchange.message.headers["x-call-id"] for exchange in self.hosts[host].exchanges[since:]]
        return Counter(int(id_[:2], 16) for id_ in ids)

    def attempts(self, since: list[int]) -> tuple[int, int]:
        """Requests that hosts saw since those marks, and attempts of them beyond the first."""
        ids = [
            exchange.message.headers["x-call-id"]
            for n, host in enumerate(self.hosts) for exchange in host.exchanges[since[n] :]
        ]  # fmt: skip
        return len(set(ids)), len(ids) - len(set(ids))

    def marks(self) -> list[int]:
        """How much each host has seen by now."""
        return [len(host.exchanges) for host in self.hosts]

    def sent(self, numbers: Iterable[int], since: list[int]) -> list[int]:
        """By host: what these gateways sent since those marks."""
        numbers = list(numbers)
        return [sum(self.seen(n, since[n])[g] for g in numbers) for n in range(len(self.hosts))]

    def fail(self, host: int, for_whom: Callable[[int], bool] = lambda number: True) -> None:
        self.note(f"s-{host} fails")
        self.failing[host] = for_whom

    def mend(self, host: int) -> None:
        self.note(f"s-{host} is well")
        self.failing.pop(host, None)

    def cut_from_hosts(self, *numbers: int) -> None:
        """Their connections to all hosts are refused."""
        self.note(f"{numbers} see every host as dead")
        for (gateway, _), link in self.links.items():
            if gateway in numbers:
                link.refuse()

    async def doubting(self, number: int, host: str) -> bool:
        """Whether a gateway says that it doubts a host: to wait for, not to judge by."""
        found = await self.shown(number, "PEERS")
        return any(known["host"] == host and known["doubted"] for known in found["hosts"])

    def check(self) -> None:
        faults = [fault for gateway in self.gateways for fault in gateway.defect_lines()]
        assert not faults, f"{faults}\n{self.timeline()}"


@asynccontextmanager
async def shared(
    folder: Path, count: int = 6, hosts: int = 3, zones: tuple[int, ...] = (), on: bool = True,
    commands: dict[int, tuple[str, ...]] | None = None, checkouts: dict[int, Path] | None = None, voters: int = 0,
    lease_ms: int = 0,
) -> AsyncIterator[Shared]:  # fmt: skip
    """Gateways that run and are ready, before hosts that answer; all ended after. With voters: duties are on too."""
    made: Shared | None = None

    def script(n: int) -> Callable[[Exchange], Any]:
        async def answer(exchange: Exchange) -> None:
            await asyncio.sleep(TOOK_S)
            assert made is not None
            fails = made.failing.get(n)
            bad = fails is not None and fails(int(exchange.message.headers["x-call-id"][:2], 16))
            if not exchange.writer.transport.is_closing():
                exchange.respond(reply(500 if bad else 200))

        return answer

    network = Network(1)
    mesh = Mesh(network, count, has_watcher=False)
    peers = [scripted_server(script(n)) for n in range(hosts)]
    opened = [await one.__aenter__() for one in peers]
    try:
        await mesh.open()
        made = Shared(
            folder, count, voters, lease_ms, opened[0], network, mesh, 0, now_us(), hosts=opened, zones=zones, on=on
        )
        for number in range(count):
            for n, host in enumerate(opened):
                at, _, port = host.address.rpartition(":")
                link = network.add_tcp_link(f"n{number}", f"s-{n}", lambda at=at, port=port: (at, int(port)))  # type: ignore[misc]
                link.open()
                made.links[number, n] = link
            gateway = made.add(number)
            gateway.command = (commands or {}).get(number, gateway.command)
            gateway.checkout = (checkouts or {}).get(number, gateway.checkout)
        with processes.Fleet(made.gateways):
            made.start(*range(count))
            await made.ready(*range(count))
            yield made
    finally:
        mesh.close()
        network.close()
        for one in peers:
            await one.__aexit__(None, None, None)
