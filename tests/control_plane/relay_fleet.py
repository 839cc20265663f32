"""Run real gateways and relays with faulty links between them, and record what hosts and clients observe."""

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
    UnexpectedExit,
)
from standins.event_log import DiscoveryPoll, EventLog, ProcessEvent, now_us
from standins.parties import fleet as processes
from standins.parties.fleet import Gateway
from standins.parties.network import Address, Network, TcpLink
from standins.parties.registry import Entry, Registry, RegistryListener
from tests import sockets
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

GATEWAYS = 3
CLIENTS = 4  # per gateway
RESPONSE_DELAY_S = 0.05  # of a host; large compared to the delays of a busy machine
REQUEST_INTERVAL_S = 0.01  # from a client's response to its next request
MAX_REJECTED_RATIO = 0.02  # allows for a slow machine; a gateway without hosts rejects all requests of a second
DIRECT_PER_S = 1  # direct polls of discovery by the whole fleet
FIRST_INDEX = 1_000  # a discovery that restarts at 1 stays below its earlier versions
STALL_CHECK_INTERVAL_S = 0.05  # between checks for stalls of the test process
MIN_STALL_S = 0.2  # shorter ones are not recorded


@dataclass
class RelayFleet:
    """The processes and links of a fleet, and what was observed of them."""

    folder: Path
    network: Network
    hosts: list[ScriptedServer]
    discoveries: list[Registry]
    discovery_by_relay: tuple[int, ...]  # by relay: the number of the discovery that it polls
    is_spread: bool  # gateways poll different relays first; otherwise all poll relay-0 first
    event_log: EventLog = field(default_factory=EventLog)
    listeners: dict[str, RegistryListener] = field(default_factory=dict)
    to_relay: dict[tuple[int, int], TcpLink] = field(default_factory=dict)  # by gateway, relay
    to_discovery: list[TcpLink] = field(default_factory=list)  # by relay
    gateways: list[Gateway] = field(default_factory=list)
    relays: list[Gateway] = field(default_factory=list)
    start_us: int = 0
    requests_seen: list[tuple[int, int, int]] = field(default_factory=list)  # time in microseconds, gateway, host
    responses_in_progress: int = 0  # of all hosts
    client_requests: list[ClientRequest] = field(default_factory=list)
    starts: dict[int, int] = field(default_factory=dict)  # start time in milliseconds, by host that was deleted
    changes: list[EndpointChange] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    open_outages: dict[Component, int] = field(default_factory=dict)  # start in microseconds
    statuses: Counter[int] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)  # number of responses, by gateway
    notes: list[tuple[int, str]] = field(default_factory=list)

    @property
    def discovery(self) -> Registry:
        return self.discoveries[0]

    def note(self, text: str) -> int:
        at_us = now_us()
        self.notes.append((at_us, text))
        return at_us

    # Actions

    def publish_status(self, host: int, status: str, *discoveries: int, weight: float = 1.0) -> int:
        """Publish a host's status at these discoveries, or at all if none is given; returns the time in microseconds.

        A host that was deleted has a new start time when it is published again.
        """
        at_us = now_us()
        if status == "DELETED":
            self.starts[host] = at_us // 1000
        for number in discoveries or range(len(self.discoveries)):
            discovery, name = self.discoveries[number], f"s-{host}"
            entry = discovery.entries.get(name) or self.entry(host)
            entry.weight = weight
            discovery.apply_changes([(entry, status)])
            self.changes.append(EndpointChange(now_us(), number, host, status))
            self.note(f"{name} {status}, weight {weight:g}, at discovery-{number}")
        return at_us

    def entry(self, host: int) -> Entry:
        return Entry(f"s-{host}", "a", "m", 0, self.starts.get(host, 0), service="web")

    def first_relay_of(self, gateway: int) -> int:
        """The relay that a gateway polls first."""
        return gateway % len(self.discovery_by_relay) if self.is_spread else 0

    def signal(self, relay: int, signum: signal.Signals) -> int:
        at_us = self.note(f"relay-{relay}: {signum.name}")
        self.relays[relay].send_signal(signum)
        return at_us

    async def kill(self, *relays: int) -> None:
        for relay in relays:
            self.signal(relay, signal.SIGKILL)
        for relay in relays:
            assert await self.relays[relay].wait_for_exit(10.0)

    def write_roster(self, relay: int, excluded: Iterable[str] = ()) -> None:
        """Write the roster, without the gateways in `excluded`, that a relay reads at its next start or SIGHUP."""
        named = {f"n{n}": {"zone": "a"} for n in range(GATEWAYS) if f"n{n}" not in excluded}
        file = self.folder / f"roster-{relay}.json"
        file.with_suffix(".new").write_text(json.dumps({"regions": {"r": ["a"]}, "gateways": named}))
        file.with_suffix(".new").replace(file)

    async def send_requests(self, gateway: int) -> None:
        client = Client(*await asyncio.open_connection("127.0.0.1", self.gateways[gateway].port))
        try:
            while True:
                call_id = f"{gateway:02x}{len(self.client_requests):014x}"
                client_request = ClientRequest(now_us(), gateway)
                self.client_requests.append(client_request)
                answer = await client.send_request(request("search", x_call_id=call_id))
                client_request.answered_us, client_request.status = now_us(), answer.status
                client_request.is_own = answer.status != 200 or answer.body == call_id.encode()
                self.statuses[answer.status] += 1
                self.answers[gateway] += 1
                await asyncio.sleep(REQUEST_INTERVAL_S)
        finally:
            client.close()

    # Outages, for the checker

    def begin_outage(self, *parts: Component) -> None:
        for part in parts:
            self.open_outages.setdefault(part, now_us())

    def end_outage(self, *parts: Component) -> None:
        for part in parts:
            if part in self.open_outages:
                self.outages.append(Outage(self.open_outages.pop(part), now_us(), part))

    async def watch_for_stalls(self) -> None:
        """Record stalls of the test process as outages of all gateways, since it observes events late then."""
        checked_us = now_us()
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            before_us, checked_us = checked_us, now_us()
            if checked_us - before_us > (STALL_CHECK_INTERVAL_S + MIN_STALL_S) * 1e6:
                self.note(f"the test itself was stalled for {(checked_us - before_us) / 1e6:.3f} s")
                self.outages += [Outage(before_us, checked_us, ("gateway", n)) for n in range(GATEWAYS)]

    def record(self) -> RunRecord:
        end_us = now_us()
        open_outages = [Outage(begin_us, end_us, part) for part, begin_us in self.open_outages.items()]
        exits = [p for p in self.event_log.events_of(ProcessEvent) if p.what == "exit" and not p.was_requested]
        return RunRecord(
            self.start_us, end_us, GATEWAYS, len(self.hosts), self.discovery_by_relay,
            GATEWAYS * 1_000_000 // DIRECT_PER_S,
            sorted(self.changes, key=lambda change: change.at_us),
            [BackendArrival(*seen) for seen in self.requests_seen], self.client_requests, self.outages + open_outages,
            [
                DirectPoll(poll.at_us, int(poll.gateway[1:]))
                for poll in self.event_log.events_of(DiscoveryPoll) if poll.gateway[0] == "n"
            ],
            [UnexpectedExit(p.at_us, f"{p.gateway}: {p.code}") for p in exits],
        )  # fmt: skip

    # Waiting for events

    async def wait_for(self, condition: Callable[[], Any], what: str) -> None:
        end = time.monotonic() + 20.0
        while not condition():
            if time.monotonic() > end:
                raise AssertionError(f"not within 20 s: {what}\n{self.timeline()}")
            await asyncio.sleep(0.005)

    async def wait_for_more_responses(self, count: int = 40) -> None:
        """Wait until each gateway has answered `count` more requests."""
        before = dict(self.answers)
        await self.wait_for(
            lambda: all(self.answers[n] >= before.get(n, 0) + count for n in range(GATEWAYS)),
            "further requests are answered",
        )

    async def wait_until(self, at_us: int) -> None:
        await self.wait_for(lambda: now_us() >= at_us, "the given time is reached")
        await self.wait_for_more_responses()

    async def wait_until_ready(self, relay: int) -> None:
        while not await processes.is_ready(self.relays[relay].address):
            await asyncio.sleep(0.02)

    def gateways_connected_to(self, relay: int) -> set[int]:
        """Return the gateways that have a connection to a relay."""
        return {gateway for (gateway, to), link in self.to_relay.items() if to == relay and link.flows}

    async def wait_until_all_connected(self, relay: int) -> None:
        await self.wait_for(
            lambda: self.gateways_connected_to(relay) == set(range(GATEWAYS)),
            f"all gateways connected to relay-{relay}",
        )

    async def wait_until_served(self, *hosts: int) -> None:
        """Wait until each gateway has sent a request to each of these hosts."""
        since = len(self.requests_seen)
        wanted = {(gateway, host) for gateway in range(GATEWAYS) for host in hosts}
        await self.wait_for(
            lambda: wanted <= {(g, h) for _, g, h in self.requests_seen[since:]},
            f"each gateway has sent a request to each of {hosts}",
        )

    # Checks

    def last_request_us(self, host: int) -> int:
        return max((at_us for at_us, _, to in self.requests_seen if to == host), default=0)

    def assert_left_within(self, host: int, since_us: int, within_s: float) -> None:
        """Check that a host got its last request at most `within_s` after its drain or deletion at `since_us`."""
        late_us = self.last_request_us(host) - since_us
        assert (
            late_us <= within_s * 1e6
        ), f"s-{host}: last request {late_us / 1e6:.3f} s after the change\n{self.timeline()}"

    def direct_polls(self) -> int:
        """Return the number of direct polls of discovery by gateways."""
        return sum(poll.gateway.startswith("n") for poll in self.event_log.events_of(DiscoveryPoll))

    def defect_lines(self) -> list[str]:
        return [line for process in self.gateways + self.relays for line in process.defect_lines()]

    def assert_healthy(self) -> None:
        """Check that requests were served, and that no process logged a defect."""
        assert set(self.statuses) <= {200, 503}, f"{self.statuses}\n{self.timeline()}"
        assert self.statuses[503] <= MAX_REJECTED_RATIO * len(
            self.client_requests
        ), f"{self.statuses}\n{self.timeline()}"
        assert not self.defect_lines(), f"{self.defect_lines()}\n{self.timeline()}"

    def timeline(self) -> str:
        lines = list(self.notes) + [
            (p.at_us, f"{p.gateway}: {p.what}") for p in self.event_log.events_of(ProcessEvent)
        ]
        first_us = min((at_us for at_us, _ in lines), default=0)
        text_lines = [f"{(at_us - first_us) / 1e6:8.3f} {text}" for at_us, text in sorted(lines)]
        for n in range(len(self.hosts)):
            text_lines.append(f"last request at s-{n}: {(self.last_request_us(n) - first_us) / 1e6:.3f}")
        for process in self.gateways + self.relays:
            log = self.folder / f"{process.name}.log"
            if log.exists():
                lines_of_process = [
                    line for line in log.read_text(errors="replace").splitlines() if "tally" not in line
                ]
                text_lines += [f"   {process.name}: {line}" for line in lines_of_process[-20:]]
        return "\n".join(text_lines)


def sort_by_preference(gateway: str, links: list[TcpLink]) -> list[TcpLink]:
    """Sort links in a gateway's order of preference, which discovery/relay_selection.py defines."""
    return sorted(links, key=lambda link: stable_id(f"{gateway} {link.address[0]}:{link.address[1]}", 8))


@asynccontextmanager
async def running_relay_fleet(
    folder: Path, hosts: int = 4, discovery_by_relay: tuple[int, ...] = (0, 0), is_spread: bool = False
) -> AsyncIterator[RelayFleet]:
    """Run a fleet that is ready, whose gateways have clients that send one request after another.

    `discovery_by_relay`: by relay, the number of the discovery that it polls.
    """
    fleet: RelayFleet | None = None

    def script(host: int) -> Callable[[Exchange], Any]:
        async def answer(exchange: Exchange) -> None:
            assert fleet is not None
            call_id = exchange.message.headers["x-call-id"]
            fleet.requests_seen.append((now_us(), int(call_id[:2], 16), host))
            fleet.responses_in_progress += 1
            await asyncio.sleep(RESPONSE_DELAY_S)
            fleet.responses_in_progress -= 1
            if not exchange.writer.transport.is_closing():
                exchange.respond(reply(body=call_id.encode()))

        return answer

    network, event_log = Network(1), EventLog()
    host_contexts = [scripted_server(script(n)) for n in range(hosts)]
    host_servers = [await each.__aenter__() for each in host_contexts]
    tasks: list[asyncio.Task[None]] = []

    def address_of(name: str) -> Address:
        at, _, port = host_servers[int(name[2:])].address.rpartition(":")
        return at, int(port)

    async def allow_all() -> None:
        return None

    discoveries = [Registry(event_log) for _ in range(max(discovery_by_relay) + 1)]
    fleet = RelayFleet(folder, network, host_servers, discoveries, discovery_by_relay, is_spread, event_log)
    try:
        for discovery in discoveries:
            discovery.index = FIRST_INDEX
            for n in range(hosts):
                discovery.add_entry(fleet.entry(n))
        for n, discovery_number in enumerate(discovery_by_relay):
            fleet.listeners[f"relay-{n}"] = await discoveries[discovery_number].open_listener(
                f"relay-{n}", address_of, allow_all
            )
        for n in range(GATEWAYS):
            fleet.listeners[f"n{n}"] = await fleet.discovery.open_listener(f"n{n}", address_of, allow_all)
        for n in range(len(discovery_by_relay)):
            fleet.write_roster(n)
            fleet.relays.append(_relay(fleet, n))
        for n in range(GATEWAYS):
            fleet.gateways.append(_gateway(fleet, n))
        with processes.Fleet(fleet.relays + fleet.gateways):
            for relay in fleet.relays:
                relay.start()
            for n in range(len(discovery_by_relay)):
                await fleet.wait_until_ready(n)
            for gateway in fleet.gateways:
                gateway.start()
            for gateway in fleet.gateways:
                while not await processes.is_ready(gateway.address):
                    await asyncio.sleep(0.02)
            await fleet.wait_for(
                lambda: all(fleet.gateways_connected_to(fleet.first_relay_of(n)) >= {n} for n in range(GATEWAYS)),
                "each gateway is connected to its first relay",
            )
            fleet.start_us = now_us()
            tasks.append(asyncio.create_task(fleet.watch_for_stalls()))
            clients = [asyncio.create_task(fleet.send_requests(n)) for n in range(GATEWAYS) for _ in range(CLIENTS)]
            tasks += clients
            await fleet.wait_until_served(*range(hosts))
            yield fleet
            assert not any(client.done() for client in clients), f"a client's connection ended\n{fleet.timeline()}"
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        while fleet.responses_in_progress:
            await asyncio.sleep(0.005)
        for discovery in discoveries:
            discovery.close()
        network.close()
        for each in host_contexts:
            await each.__aexit__(None, None, None)


@asynccontextmanager
async def relay_fleet(folder: Path, discovery_by_relay: tuple[int, ...] = (0, 0)) -> AsyncIterator[RelayFleet]:
    """Run a fleet whose gateways all poll relay-0 first; checks at the end that it is healthy."""
    async with running_relay_fleet(folder, discovery_by_relay=discovery_by_relay) as fleet:
        yield fleet
        await fleet.wait_for_more_responses()
        fleet.assert_healthy()


def _relay(fleet: RelayFleet, number: int) -> Gateway:
    name = f"relay-{number}"
    link = fleet.network.add_tcp_link(
        name, f"discovery-{fleet.discovery_by_relay[number]}", lambda: fleet.listeners[name].address
    )
    link.open()
    fleet.to_discovery.append(link)
    file = fleet.folder / f"{name}.toml"
    relay = Gateway(
        name, 0, fleet.folder, dict, fleet.event_log, command=(*sockets.GATEWAY_COMMAND, "relay", str(file))
    )
    file.write_text(
        f'name = "{name}"\nlisten = "127.0.0.1:{relay.port}"\nroster = "roster-{number}.json"\n'
        f'discovery = "127.0.0.1:{link.address[1]}"\n'
    )
    return relay


def _gateway(fleet: RelayFleet, number: int) -> Gateway:
    name, relays = f"n{number}", len(fleet.discovery_by_relay)
    links = [fleet.network.add_tcp_link(name, f"relay-{n}", lambda: None) for n in range(relays)]
    for link in links:
        link.open()
    for place, link in enumerate(sort_by_preference(name, links)):
        to = (fleet.first_relay_of(number) + place) % relays
        fleet.to_relay[number, to] = link
        link.target = lambda to=to: fleet.relays[to].address  # type: ignore[misc]

    def configure() -> dict[str, Any]:
        listener = fleet.listeners[name]
        assert listener.address is not None
        config = configuration(discovery=f"{listener.address[0]}:{listener.address[1]}")
        known = [endpoint(f"s-{n}", host.address) for n, host in enumerate(fleet.hosts)]
        return config | {
            "name": name, "listen": f"127.0.0.1:{gateway.port}", "known": hosts_list(7, *known),
            "seed": f"5eed{number}", "settings": config["settings"] | {"balancers": GATEWAYS, "index": number},
        }  # fmt: skip

    options = fleet.folder / f"{name}.toml"
    named = ", ".join(f'"127.0.0.1:{link.address[1]}"' for link in links)
    options.write_text(f"[relays]\naddresses = [{named}]\ndirect_per_s = {DIRECT_PER_S}\n")
    environment = {"CLOVERKEEL_OPTIONS": str(options)}
    gateway = Gateway(
        name, 0, fleet.folder, configure, fleet.event_log, environment=environment, command=sockets.GATEWAY_COMMAND
    )
    return gateway
