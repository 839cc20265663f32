"""Three real gateways, relays and discoveries, links with faults between them, and what outside parties saw."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cloverkeel.core.config import stable_id
from standins.checker.relays import (
    BackendArrival,
    ClientRequest,
    Component,
    DirectPoll,
    EndpointChange,
    Outage,
    RunRecord,
    UnaskedExit,
)
from standins.event_log import DiscoveryPoll, EventLog, ProcessEvent, now_us
from standins.parties import fleet as processes
from standins.parties.fleet import Gateway
from standins.parties.network import Address, Network, TcpLink
from standins.parties.registry import Entry, Registry, View
from tests import sockets
from tests.sockets import Client, Exchange, Peer, configuration, endpoint, hosts_list, peer, reply, request

GATEWAYS = 3
CLIENTS = 4  # of each gateway
TOOK_S, REST_S = 0.05, 0.01  # of a host for an answer: a busy machine's delays are small beside it; between requests
REFUSED_MOST = 0.02  # of all requests, where the machine was slow for a moment; nobody serving is all of a second's
DIRECT_PER_S = 1  # calls of the whole fleet to discovery itself
BEGIN_INDEX = 1_000  # a discovery that begins anew at 1 does not come to the versions that it had
BEAT_S, STILL_S = 0.05, 0.2  # between looks at whether this process goes on itself; noted from so much on


@dataclass
class Relayed:
    """The parties."""

    folder: Path
    network: Network
    hosts: list[Peer]
    discoveries: list[Registry]
    feeds: tuple[int, ...]  # by relay: which of them it asks
    is_spread: bool  # whom gateways ask first: another relay each, or all relay-0
    ledger: EventLog = field(default_factory=EventLog)
    views: dict[str, View] = field(default_factory=dict)
    to_relay: dict[tuple[int, int], TcpLink] = field(default_factory=dict)  # by gateway, relay
    to_discovery: list[TcpLink] = field(default_factory=list)  # by relay
    gateways: list[Gateway] = field(default_factory=list)
    relays: list[Gateway] = field(default_factory=list)
    begun_us: int = 0
    seen: list[tuple[int, int, int]] = field(default_factory=list)  # when, by which gateway, at which host
    answering: int = 0  # hosts, just now
    asks: list[ClientRequest] = field(default_factory=list)
    starts: dict[int, int] = field(default_factory=dict)  # of hosts that were gone: since when, in milliseconds
    changes: list[EndpointChange] = field(default_factory=list)
    downs: list[Outage] = field(default_factory=list)
    open_downs: dict[Component, int] = field(default_factory=dict)  # since when
    statuses: Counter[int] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)  # by gateway
    notes: list[tuple[int, str]] = field(default_factory=list)

    @property
    def discovery(self) -> Registry:
        return self.discoveries[0]

    def note(self, text: str) -> int:
        at_us = now_us()
        self.notes.append((at_us, text))
        return at_us

    # Doing

    def tell(self, host: int, status: str, *discoveries: int, weight: float = 1.0) -> int:
        """A change at these discoveries, all where none is named; returns when. Who was gone has started anew."""
        at_us = now_us()
        if status == "DELETED":
            self.starts[host] = at_us // 1000
        for number in discoveries or range(len(self.discoveries)):
            discovery, name = self.discoveries[number], f"s-{host}"
            entry = discovery.entries.get(name) or self.entry(host)
            entry.weight = weight
            discovery.change([(entry, status)])
            self.changes.append(EndpointChange(now_us(), number, host, status))
            self.note(f"{name} {status}, weight {weight:g}, at discovery-{number}")
        return at_us

    def entry(self, host: int) -> Entry:
        return Entry(f"s-{host}", "a", "m", 0, self.starts.get(host, 0), service="web")

    def first(self, gateway: int) -> int:
        """The relay that it asks first."""
        return gateway % len(self.feeds) if self.is_spread else 0

    def signal(self, relay: int, signum: signal.Signals) -> int:
        at_us = self.note(f"relay-{relay}: {signum.name}")
        self.relays[relay].signal(signum)
        return at_us

    async def kill(self, *relays: int) -> None:
        for relay in relays:
            self.signal(relay, signal.SIGKILL)
        for relay in relays:
            assert await self.relays[relay].ended(10.0)

    def write_roster(self, relay: int, lacks: Iterable[str] = ()) -> None:
        """What it reads at its next start or SIGHUP: a roster without these gateways."""
        named = {f"n{n}": {"zone": "a"} for n in range(GATEWAYS) if f"n{n}" not in lacks}
        file = self.folder / f"roster-{relay}.json"
        file.with_suffix(".new").write_text(json.dumps({"regions": {"r": ["a"]}, "gateways": named}))
        file.with_suffix(".new").replace(file)

    async def ask_on(self, gateway: int) -> None:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.gateways[gateway].port))
        try:
            while True:
                call = f"{gateway:02x}{len(self.asks):014x}"
                asked = ClientRequest(now_us(), gateway)
                self.asks.append(asked)
                answer = await client.ask(request("search", x_call_id=call))
                asked.answered_us, asked.status = now_us(), answer.status
                asked.is_own = answer.status != 200 or answer.body == call.encode()
                self.statuses[answer.status] += 1
                self.answers[gateway] += 1
                await asyncio.sleep(REST_S)
        finally:
            client.close()

    # What does not work, for the judge

    def begin(self, *parts: Component) -> None:
        for part in parts:
            self.open_downs.setdefault(part, now_us())

    def end(self, *parts: Component) -> None:
        for part in parts:
            if part in self.open_downs:
                self.downs.append(Outage(self.open_downs.pop(part), now_us(), part))

    async def beat(self) -> None:
        """Times at which this process stood still itself: what it saw then, it saw late."""
        looked_us = now_us()
        while True:
            await asyncio.sleep(BEAT_S)
            before_us, looked_us = looked_us, now_us()
            if looked_us - before_us > (BEAT_S + STILL_S) * 1e6:
                self.note(f"the test itself stood still for {(looked_us - before_us) / 1e6:.3f} s")
                self.downs += [Outage(before_us, looked_us, ("gateway", n)) for n in range(GATEWAYS)]

    def record(self) -> RunRecord:
        end_us = now_us()
        open_downs = [Outage(begin_us, end_us, part) for part, begin_us in self.open_downs.items()]
        exits = [p for p in self.ledger.events_of(ProcessEvent) if p.what == "exit" and not p.was_requested]
        return RunRecord(
            self.begun_us, end_us, GATEWAYS, len(self.hosts), self.feeds, GATEWAYS * 1_000_000 // DIRECT_PER_S,
            sorted(self.changes, key=lambda change: change.at_us),
            [BackendArrival(*seen) for seen in self.seen], self.asks, self.downs + open_downs,
            [
                DirectPoll(call.at_us, int(call.gateway[1:]))
                for call in self.ledger.events_of(DiscoveryPoll) if call.gateway[0] == "n"
            ],
            [UnaskedExit(p.at_us, f"{p.gateway}: {p.code}") for p in exits],
        )  # fmt: skip

    # Waiting for what is seen

    async def wait(self, condition: Callable[[], Any], what: str) -> None:
        end = time.monotonic() + 20.0
        while not condition():
            if time.monotonic() > end:
                raise AssertionError(f"not within 20 s: {what}\n{self.timeline()}")
            await asyncio.sleep(0.005)

    async def go_on(self, count: int = 40) -> None:
        """Each gateway answers so many further requests."""
        before = dict(self.answers)
        await self.wait(
            lambda: all(self.answers[n] >= before.get(n, 0) + count for n in range(GATEWAYS)), "requests go on"
        )

    async def until(self, at_us: int) -> None:
        await self.wait(lambda: now_us() >= at_us, "time goes by")
        await self.go_on()

    async def ready(self, relay: int) -> None:
        while not await processes.is_ready(self.relays[relay].address):
            await asyncio.sleep(0.02)

    def callers(self, relay: int) -> set[int]:
        """The gateways that have a connection to this relay."""
        return {gateway for (gateway, to), link in self.to_relay.items() if to == relay and link.flows}

    async def all_at(self, relay: int) -> None:
        await self.wait(lambda: self.callers(relay) == set(range(GATEWAYS)), f"all at relay-{relay}")

    async def serve(self, *hosts: int) -> None:
        """Each gateway sends to each of these."""
        since = len(self.seen)
        wanted = {(gateway, host) for gateway in range(GATEWAYS) for host in hosts}
        await self.wait(lambda: wanted <= {(g, h) for _, g, h in self.seen[since:]}, f"requests at {hosts}")

    # Judging

    def last(self, host: int) -> int:
        return max((at_us for at_us, _, to in self.seen if to == host), default=0)

    def left(self, host: int, since_us: int, within_s: float) -> None:
        """Nobody sends to a host that drains, later than so long after discovery had it."""
        late_us = self.last(host) - since_us
        assert late_us <= within_s * 1e6, f"s-{host} saw a request {late_us / 1e6:.3f} s after\n{self.timeline()}"

    def direct_calls(self) -> int:
        """Of gateways at discovery itself."""
        return sum(call.gateway.startswith("n") for call in self.ledger.events_of(DiscoveryPoll))

    def faults(self) -> list[str]:
        return [fault for process in self.gateways + self.relays for fault in process.faults()]

    def check(self) -> None:
        """Requests were served, and no process has a defect on its log."""
        assert set(self.statuses) <= {200, 503}, f"{self.statuses}\n{self.timeline()}"
        assert self.statuses[503] <= REFUSED_MOST * len(self.asks), f"{self.statuses}\n{self.timeline()}"
        assert not self.faults(), f"{self.faults()}\n{self.timeline()}"

    def timeline(self) -> str:
        lines = list(self.notes) + [(p.at_us, f"{p.gateway}: {p.what}") for p in self.ledger.events_of(ProcessEvent)]
        begun = min((at_us for at_us, _ in lines), default=0)
        said = [f"{(at_us - begun) / 1e6:8.3f} {text}" for at_us, text in sorted(lines)]
        for n in range(len(self.hosts)):
            said.append(f"last request at s-{n}: {(self.last(n) - begun) / 1e6:.3f}")
        for process in self.gateways + self.relays:
            log = self.folder / f"{process.name}.log"
            if log.exists():
                told = [line for line in log.read_text(errors="replace").splitlines() if "tally" not in line]
                said += [f"   {process.name}: {line}" for line in told[-20:]]
        return "\n".join(said)


def order_of(gateway: str, links: list[TcpLink]) -> list[TcpLink]:
    """As discovery/relay_selection.py has it, so that a test knows which relay its gateways ask first."""
    return sorted(links, key=lambda link: stable_id(f"{gateway} {link.address[0]}:{link.address[1]}", 8))


@asynccontextmanager
async def started(
    folder: Path, hosts: int = 4, feeds: tuple[int, ...] = (0, 0), is_spread: bool = False
) -> AsyncIterator[Relayed]:
    """All run and are ready, and each gateway has clients that ask one request after another.

    `feeds`: for each relay the number of the discovery that it asks.
    """
    made: Relayed | None = None

    def script(host: int) -> Callable[[Exchange], Any]:
        async def answer(exchange: Exchange) -> None:
            assert made is not None
            call = exchange.message.headers["x-call-id"]
            made.seen.append((now_us(), int(call[:2], 16), host))
            made.answering += 1
            await asyncio.sleep(TOOK_S)
            made.answering -= 1
            if not exchange.writer.transport.is_closing():
                exchange.answer(reply(body=call.encode()))

        return answer

    network, ledger = Network(1), EventLog()
    peers = [peer(script(n)) for n in range(hosts)]
    listening = [await one.__aenter__() for one in peers]
    tasks: list[asyncio.Task[None]] = []

    def address_of(name: str) -> Address:
        at, _, port = listening[int(name[2:])].address.rpartition(":")
        return at, int(port)

    async def passes() -> None:
        return None

    discoveries = [Registry(ledger) for _ in range(max(feeds) + 1)]
    made = Relayed(folder, network, listening, discoveries, feeds, is_spread, ledger)
    try:
        for discovery in discoveries:
            discovery.index = BEGIN_INDEX
            for n in range(hosts):
                discovery.put(made.entry(n))
        for n, feed in enumerate(feeds):
            made.views[f"relay-{n}"] = await discoveries[feed].open(f"relay-{n}", address_of, passes)
        for n in range(GATEWAYS):
            made.views[f"n{n}"] = await made.discovery.open(f"n{n}", address_of, passes)
        for n in range(len(feeds)):
            made.write_roster(n)
            made.relays.append(_relay(made, n))
        for n in range(GATEWAYS):
            made.gateways.append(_gateway(made, n))
        with processes.Fleet(made.relays + made.gateways):
            for relay in made.relays:
                relay.start()
            for n in range(len(feeds)):
                await made.ready(n)
            for gateway in made.gateways:
                gateway.start()
            for gateway in made.gateways:
                while not await processes.is_ready(gateway.address):
                    await asyncio.sleep(0.02)
            await made.wait(lambda: all(made.callers(made.first(n)) >= {n} for n in range(GATEWAYS)), "all ask first")
            made.begun_us = now_us()
            tasks.append(asyncio.create_task(made.beat()))
            clients = [asyncio.create_task(made.ask_on(n)) for n in range(GATEWAYS) for _ in range(CLIENTS)]
            tasks += clients
            await made.serve(*range(hosts))
            yield made
            assert not any(client.done() for client in clients), f"a client's connection ended\n{made.timeline()}"
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        while made.answering:
            await asyncio.sleep(0.005)
        for discovery in discoveries:
            discovery.close()
        network.close()
        for one in peers:
            await one.__aexit__(None, None, None)


@asynccontextmanager
async def relayed(folder: Path, feeds: tuple[int, ...] = (0, 0)) -> AsyncIterator[Relayed]:
    """All gateways ask relay-0 first; at the end all is as it should be."""
    async with started(folder, feeds=feeds) as made:
        yield made
        await made.go_on()
        made.check()


def _relay(made: Relayed, number: int) -> Gateway:
    name = f"relay-{number}"
    link = made.network.tcp(name, f"discovery-{made.feeds[number]}", lambda: made.views[name].address)
    link.open()
    made.to_discovery.append(link)
    file = made.folder / f"{name}.toml"
    relay = Gateway(name, 0, made.folder, dict, made.ledger, command=(*sockets.PROGRAM, "relay", str(file)))
    file.write_text(
        f'name = "{name}"\nlisten = "127.0.0.1:{relay.port}"\nroster = "roster-{number}.json"\n'
        f'discovery = "127.0.0.1:{link.address[1]}"\n'
    )
    return relay


def _gateway(made: Relayed, number: int) -> Gateway:
    name, relays = f"n{number}", len(made.feeds)
    links = [made.network.tcp(name, f"relay-{n}", lambda: None) for n in range(relays)]
    for link in links:
        link.open()
    for place, link in enumerate(order_of(name, links)):
        to = (made.first(number) + place) % relays
        made.to_relay[number, to] = link
        link.target = lambda to=to: made.relays[to].address  # type: ignore[misc]

    def configure() -> dict[str, Any]:
        view = made.views[name]
        assert view.address is not None
        config = configuration(discovery=f"{view.address[0]}:{view.address[1]}")
        known = [endpoint(f"s-{n}", host.address) for n, host in enumerate(made.hosts)]
        return config | {
            "name": name, "listen": f"127.0.0.1:{gateway.port}", "known": hosts_list(7, *known),
            "seed": f"5eed{number}", "settings": config["settings"] | {"balancers": GATEWAYS, "index": number},
        }  # fmt: skip

    options = made.folder / f"{name}.toml"
    named = ", ".join(f'"127.0.0.1:{link.address[1]}"' for link in links)
    options.write_text(f"[relays]\naddresses = [{named}]\ndirect_per_s = {DIRECT_PER_S}\n")
    environment = {"CLOVERKEEL_OPTIONS": str(options)}
    gateway = Gateway(name, 0, made.folder, configure, made.ledger, environment=environment, command=sockets.PROGRAM)
    return gateway
