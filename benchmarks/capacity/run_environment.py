"""The environment of one size of the scale run: starts its processes, controls, measures and stops them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Coroutine, Iterable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

from benchmarks.capacity.plan import Fleet, FleetGateway, Host, build_fleet
from benchmarks.capacity.run_load import RequestLoad, Traffic, CountingProxy, quantile
from benchmarks.capacity.run_processes import ROOT, WorkerProcess, clock_us, process_cpu_us, die_with_parent, rss_kib
from benchmarks.capacity.run_sizes import Size, rack_indexes, start_duration_s, mean_subset_hosts
from cloverkeel.core.options import MAX_SERVICES
from standins.parties.fleet import Gateway
from standins.parties.network import Address, reserve_port
from standins.site import BackendType, Rules, configuration, settings

if TYPE_CHECKING:
    from benchmarks.capacity.run_steps import Step

READY_TIMEOUT_S: Final = 120.0  # until all gateways have a list; a run that cannot start fails after this time
CHANGE_TIMEOUT_S: Final = 30.0  # until a change has reached all gateways
SETTLE_TIMEOUT_S: Final = 15.0  # until no gateway requests a whole list any more after starts
POLL_INTERVAL_S: Final = 0.1  # in a full run
PING_INTERVAL_S: Final = 0.2  # between two readiness checks of a relay
PING_TIMEOUT_S: Final = 5.0
COMPARED_GATEWAYS: Final = 2  # simulated gateways that call through a counting proxy, as the real ones do
SIMULATED, REAL, COMPARED = "hollow", "real", "twin"


class RelayProcess:
    """A relay's process, which may be restarted and keeps its address."""

    def __init__(self, index: int, region: str, folder: Path, discovery: Address) -> None:
        self.name, self.region = f"relay-{index}", region
        self.reserved_socket = reserve_port()
        self.address: Address = ("127.0.0.1", self.reserved_socket.getsockname()[1])
        self.config_file, self.log_file = folder / f"{self.name}.toml", (folder / f"{self.name}.log").open("ab")
        self.config_file.write_text(
            f'name = "{self.name}"\nlisten = "127.0.0.1:{self.address[1]}"\n'
            f'discovery = "{discovery[0]}:{discovery[1]}"\nroster = "roster.json"\n'
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.longest_ping_us = 0  # longest time that a readiness check took

    def start(self) -> None:
        self.process = subprocess.Popen(
            (sys.executable, "-m", "cloverkeel", "relay", str(self.config_file)), cwd=ROOT, stdin=subprocess.DEVNULL,
            stdout=self.log_file, stderr=self.log_file, preexec_fn=die_with_parent,
        )  # fmt: skip

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def check_ready(self) -> bool:
        """Return whether the relay reports that it is ready, and record how long the response took."""
        started_us, is_ready = clock_us(), False
        try:
            async with asyncio.timeout(PING_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                is_ready = (await reader.readline()).startswith(b"HTTP/1.1 200")
                writer.transport.abort()
        except OSError:
            return False  # the relay is down or timed out (TimeoutError is an OSError)
        finally:
            if self.is_running:
                self.longest_ping_us = max(self.longest_ping_us, clock_us() - started_us)
        return is_ready

    def close(self) -> None:
        self.kill()
        self.reserved_socket.close()
        self.log_file.close()


class Environment:
    """All processes of one size.

    `time_scale`: factor on the duration of steps, 1 for the full duration. `own_region_only`: gateways are configured
    with the relays of their own region only, otherwise with all relays.
    """

    def __init__(self, size: Size, folder: Path, seed: int, time_scale: float, own_region_only: bool = False) -> None:
        self.size, self.folder, self.seed, self.time_scale, self.own_region_only = (
            size,
            folder,
            seed,
            time_scale,
            own_region_only,
        )
        self.fleet = with_compared_services(build_fleet(size.gateways, size.hosts), size.real)
        self.hosts = {host.name: host for host in self.fleet.hosts}
        self.rack_indexes = rack_indexes(self.fleet)
        self.rack_by_host = {host.name: rack for host, rack in zip(self.fleet.hosts, self.rack_indexes, strict=True)}
        self.zones = [zone for each in self.fleet.regions.values() for zone in each]
        self.load = RequestLoad(folder, max(self.rack_indexes) + 1, seed)
        self.traffic_by_kind = {REAL: Traffic(), COMPARED: Traffic()}
        self.counting_proxies: list[CountingProxy] = []
        self.real_proxy_by_relay: dict[str, CountingProxy] = {}
        self.discovery: WorkerProcess | None = None
        self.workers: list[WorkerProcess] = []
        self.relays: list[RelayProcess] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.relay_ports_by_region: dict[str, list[int]] = {}  # ports at which simulated gateways call them
        self.ports_by_relay: dict[str, list[int]] = {}  # ports at which simulated gateways call it
        self.discovery_address: Address = ("127.0.0.1", 0)  # for simulated gateways
        self.start_ms_by_host: dict[str, int] = {}  # start times of restarted hosts
        self.last_id = 0
        self.log_faults: list[str] = []
        self.begin_step()

    # Starting and stopping

    async def start(self) -> None:
        """Start all processes and wait until every gateway has a list and the real ones serve. Raises WorkerError or
        RuntimeError on failure."""
        ports = await self.load.start_hosts()
        self.discovery = await WorkerProcess.start("discovery", "benchmarks.capacity.run_discovery", self.folder)
        # Started before discovery is asked, so that these processes import their modules at the same time.
        for index in range(self.size.worker_processes):
            self.workers.append(
                await WorkerProcess.start(f"hollow-{index}", "benchmarks.capacity.simulated_gateways", self.folder)
            )
        groups = [SIMULATED, REAL, COMPARED, *self.fleet.regions]
        response = await self.discovery.send_order(
            "start", gateways=self.size.gateways, hosts=self.size.hosts, ports=ports, groups=groups,
            halves=list(self.fleet.regions) if self.size.relays else [SIMULATED],
        )  # fmt: skip
        addresses: dict[str, Address] = {group: (a[0], a[1]) for group, a in response["addresses"].items()}
        self.discovery_address = addresses[SIMULATED]
        (self.folder / "roster.json").write_text(json.dumps(self.fleet.to_roster()))
        regions = list(self.fleet.regions)
        for index in range(self.size.relays):
            region = regions[index % len(regions)]
            self.relays.append(RelayProcess(index, region, self.folder, addresses[region]))
        for relay in self.relays:
            relay.start()
        await self.wait_until(lambda: self.are_relays_ready(), "relays are not ready")
        self.start_task(self.ping_relays())
        # For each kind of gateway: discovery's address, then the relays'. Real and compared gateways call through
        # counting proxies.
        targets = {SIMULATED: [addresses[SIMULATED], *(relay.address for relay in self.relays)]}
        for kind in (REAL, COMPARED):
            targets[kind] = await self.open_counting_proxies(
                kind, [addresses[kind], *(relay.address for relay in self.relays)]
            )
        proxies_by_address = {proxy.address: proxy for proxy in self.counting_proxies}
        relay_proxies = zip(self.relays, targets[REAL][1:], strict=True)
        self.real_proxy_by_relay = {relay.name: proxies_by_address[address] for relay, address in relay_proxies}
        for kind in (SIMULATED, COMPARED):
            for relay, address in zip(self.relays, targets[kind][1:], strict=True):
                self.relay_ports_by_region.setdefault(relay.region, []).append(address[1])
                self.ports_by_relay.setdefault(relay.name, []).append(address[1])
        await self.create_simulated_gateways(targets)
        await self.order_workers("begin", over_s=self.start_duration_s(self.size.simulated))
        await self.load.start_gateways([self.create_real_gateway(n, targets[REAL]) for n in range(self.size.real)])
        await self.wait_until(self.have_all_lists, "not every simulated gateway has a list")
        self.load.start_clients()
        await self.wait_until_settled()

    def gateway_configuration(self, index: int, gateway: FleetGateway, targets: Sequence[Address]) -> dict[str, Any]:
        """A gateway's LB_CONFIG, which names discovery also where there are relays. `targets`: discovery's address,
        then the relays'."""
        gateway_settings = settings(self.size.gateways, index, 0, BackendType(), Rules()) | {"zones": self.zones}
        gateway_settings["zone"] = self.zones.index(gateway.zone)
        seed = f"{self.seed}/{gateway.name}"
        rules = Rules(sockets=4_096)
        result = configuration(
            gateway.name, "127.0.0.1:1", _address_text(targets[0]), seed, [], gateway_settings, rules
        )
        return result | {"known": {}}  # without a stored list, so that the gateway requests the whole list

    def gateway_options(self, gateway: FleetGateway, targets: Sequence[Address]) -> dict[str, Any]:
        """A gateway's CLOVERKEEL_OPTIONS, as parsed from the file."""
        if not self.relays:
            return {}
        # A gateway with more services than MAX_SERVICES names none; the relays take them from the roster.
        services = [*gateway.services] if len(gateway.services) <= MAX_SERVICES else []
        addresses = [
            _address_text(target) for relay, target in zip(self.relays, targets[1:], strict=True)
            if not self.own_region_only or gateway.zone in self.fleet.regions[relay.region]
        ]  # fmt: skip
        return {"relays": {"addresses": addresses, "services": services}}

    async def create_simulated_gateways(self, targets: dict[str, list[Address]]) -> None:
        """Create the simulated gateways in the worker processes, spread evenly."""
        gateways = self.fleet.gateways
        gateways_by_worker: list[list[list[Any]]] = [[] for _ in self.workers]
        for index in range(self.size.real, self.size.gateways):
            kind = COMPARED if index < self.size.real + COMPARED_GATEWAYS else SIMULATED
            options = self.gateway_options(gateways[index], targets[kind])
            zone = self.zones.index(gateways[index].zone)
            arguments = [index, zone, gateways[index].name, options, _address_text(targets[kind][0])]
            gateways_by_worker[index % len(self.workers)].append(arguments)
        common = self.gateway_configuration(0, gateways[0], targets[SIMULATED])
        await asyncio.gather(*(
            worker.send_order("make", configuration=common, seed=self.seed, each=each)
            for worker, each in zip(self.workers, gateways_by_worker, strict=True)
        ))  # fmt: skip

    def create_real_gateway(self, index: int, targets: Sequence[Address]) -> Gateway:
        """Write the options of a real gateway and return it, not started."""
        fleet_gateway = self.fleet.gateways[index]
        environment = {}
        options = self.gateway_options(fleet_gateway, targets)
        if options:
            options_file = self.folder / f"{fleet_gateway.name}.options.toml"
            lines = [f"[{table}]" + "".join(f"\n{key} = {json.dumps(value)}" for key, value in keys.items())
                     for table, keys in options.items()]  # fmt: skip
            options_file.write_text("\n".join(lines) + "\n")
            environment["CLOVERKEEL_OPTIONS"] = str(options_file)

        def configure() -> dict[str, Any]:
            result = self.gateway_configuration(index, fleet_gateway, targets)
            return result | {"listen": f"127.0.0.1:{gateway.port}"}

        zone_index = index % 2  # clients use two zones, and each zone needs a gateway
        gateway = Gateway(
            fleet_gateway.name, zone_index, self.folder, configure, self.load.event_log, environment=environment
        )
        return gateway

    async def open_counting_proxies(self, kind: str, targets: Iterable[Address]) -> list[Address]:
        """Open a counting proxy before each target and return the proxies' addresses, which gateways of this kind
        call."""
        addresses = []
        for target in targets:
            proxy = CountingProxy(target, self.traffic_by_kind[kind])
            await proxy.open()
            self.counting_proxies.append(proxy)
            addresses.append(proxy.address)
        return addresses

    async def are_relays_ready(self) -> bool:
        return all(await asyncio.gather(*(relay.check_ready() for relay in self.relays)))

    async def have_all_lists(self) -> bool:
        """Return whether every simulated gateway has a list."""
        stats = await self.order_workers("stats")
        return bool(sum(counts["listed"] for counts in stats) == self.size.simulated)

    async def wait_until(self, condition: Any, failure: str, within_s: float = READY_TIMEOUT_S) -> None:
        """Poll until the condition holds; raises RuntimeError with the failure's description after `within_s`."""
        deadline_s = time.monotonic() + within_s
        while not await condition():
            if time.monotonic() > deadline_s:
                raise RuntimeError(f"{failure} within {within_s:.0f} s")
            await self.sleep(POLL_INTERVAL_S)

    def start_duration_s(self, count: int) -> float:
        """The time over which the starts of `count` simulated gateways are spread."""
        held_hosts = mean_subset_hosts(self.fleet) if self.relays else float(self.size.hosts)
        return start_duration_s(self.size, held_hosts, count, self.time_scale)

    async def wait_until_settled(self) -> None:
        """Wait until no gateway requests a whole list or fails for a second, for SETTLE_TIMEOUT_S at most."""
        deadline_s, previous = time.monotonic() + SETTLE_TIMEOUT_S, -1
        while time.monotonic() < deadline_s:
            stats = await self.order_workers("stats")
            current = sum(counts["wholes"] + counts["errors"] for counts in stats)
            if current == previous:
                return
            previous = current
            await self.sleep(1)

    def start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until `close`."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """Stop all processes and collect the faults in the real gateways' logs."""
        for task in list(self.tasks):
            task.cancel()
        await self.load.close()
        workers = [*self.workers, *([self.discovery] if self.discovery is not None else [])]
        await asyncio.gather(*(worker.stop() for worker in workers), return_exceptions=True)
        for relay in self.relays:
            relay.close()
        for proxy in self.counting_proxies:
            proxy.close()
        self.log_faults = [fault for gateway in self.load.fleet.gateways for fault in gateway.defect_lines()]

    def log_defects(self) -> list[str]:
        """Lines of the real gateways' logs that report a defect of the gateway."""
        return self.log_faults

    # Orders to the processes

    async def order_workers(self, command: str, **keys: Any) -> list[dict[str, Any]]:
        """Send an order to all worker processes of simulated gateways and return their responses."""
        return list(await asyncio.gather(*(worker.send_order(command, **keys) for worker in self.workers)))

    async def order_discovery(self, command: str, **keys: Any) -> dict[str, Any]:
        """Send an order to discovery and return its response."""
        assert self.discovery is not None
        return await self.discovery.send_order(command, **keys)

    async def change_hosts(
        self, names: Sequence[str], status: str, weight: float = 1.0, holders_of: str = "",
        is_restarted: bool = False, half: str = "",
    ) -> str:  # fmt: skip
        """Change hosts at discovery, all at once, and return the change's ID. The gateways that hold the hosts, or
        that held them at the recording `holders_of`, must receive the change.

        `is_restarted`: the hosts get a new start time. `half`: changes the hosts at this half of a partitioned
        registry. Then the callers of that region's relays must receive the change, and for all other gateways it is
        tracked under `delayed_change_id(change_id)`.
        """
        self.last_id += 1
        change_id = f"c{self.last_id}"
        if is_restarted:
            self.start_ms_by_host |= dict.fromkeys(names, time.time_ns() // 1_000_000)
        order: dict[str, Any] = {"hosts": [[host, status, weight] for host in names]} | (
            {"as": holders_of} if holders_of else {}
        )
        half_filter = {"asking": self.relay_ports_by_region[half]} if half else {}
        matched = await self.order_workers(
            "expect", id=change_id, **order, **half_filter, **({"asks": True} if half else {})
        )
        if half:
            unmatched = await self.order_workers(
                "expect", id=delayed_change_id(change_id), **order, **half_filter, asks=False
            )
        response = await self.order_discovery(
            "change", hosts=[[host, status, weight, self.start_ms_by_host.get(host, 0)] for host in names], half=half
        )
        self.changes[change_id] = response["at_us"], sum(counts["gateways"] for counts in matched)
        if half:
            self.changes[delayed_change_id(change_id)] = (
                response["at_us"],
                sum(counts["gateways"] for counts in unmatched),
            )
        return change_id

    async def record_holders(self, names: Sequence[str]) -> str:
        """Record which gateways hold these hosts now; the returned ID serves as `holders_of` of a later change."""
        self.last_id += 1
        note_id = f"n{self.last_id}"
        await self.order_workers("note", id=note_id, names=list(names))
        return note_id

    async def watch_ended_hosts(self, names: Sequence[str], holders_of: str) -> list[str]:
        """Watch for stale updates to the gateways that held these hosts at the recording `holders_of`; replaces any
        earlier watch, and empty `names` end it. After a gateway was told that a host drains or is gone, an update
        that lists the host as serving is stale. Returns the names of the gateways that received a stale update since
        the last call."""
        responses = await self.order_workers("guard", id=holders_of, names=list(names))
        gateways = sorted({gateway for response in responses for gateway, _ in response["undone"]})
        return [self.fleet.gateways[index].name for index in gateways]

    async def count_callers(self, relay: RelayProcess) -> int:
        """The number of simulated gateways whose last call was to this relay."""
        ports = self.ports_by_relay[relay.name]
        responses = await self.order_workers("asked")
        return sum(count for response in responses for port, count in response["asked"] if port in ports)

    async def wait_for_changes(
        self, change_ids: Sequence[str], within_s: float = CHANGE_TIMEOUT_S, since_us: int = 0, half: str = ""
    ) -> None:
        """Wait until every gateway that must receive these changes has them, for at most `within_s`, and record
        the delays. A delay counts from the change, or from `since_us` if that is later.

        `half`: the half of a partitioned registry at which the changes were made. Gateways that call a relay of
        the other half by now are not waited for, and count as moved.
        """
        deadline_s = time.monotonic() + within_s
        while True:
            responses = await self.order_workers("result", ids=list(change_ids))
            missing_ports = [
                port for response in responses for result in response["results"] for port in result["asking"]
            ]
            moved_count = sum(port not in self.relay_ports_by_region[half] for port in missing_ports) if half else 0
            if len(missing_ports) == moved_count or time.monotonic() > deadline_s:
                break
            await self.sleep(POLL_INTERVAL_S)
        for response in responses:
            for change_id, result in zip(change_ids, response["results"], strict=True):
                since_change_us = max(self.changes[change_id][0], since_us)
                self.delays_s += [max(0.0, (received_us - since_change_us) / 1e6) for received_us in result["had_us"]]
                self.missing_examples += result["some"]
        self.missing_count += len(missing_ports) - moved_count
        self.moved_count += moved_count

    async def sleep(self, seconds: float) -> None:
        """Sleep for this time, multiplied by the time scale."""
        await asyncio.sleep(seconds * self.time_scale)

    def mark_leaving(self, names: Iterable[str], at_us: int) -> None:
        """Record that discovery reports from this time on that the racks of these hosts leave.

        Attempts that reach the racks too late are counted.
        """
        self.load.mark_leaving(sorted({self.rack_by_host[name] for name in names}), at_us)

    def mark_returned(self, names: Iterable[str]) -> None:
        """Record that the racks of these hosts are back and may receive requests again."""
        self.load.process_events()
        self.load.mark_returned(sorted({self.rack_by_host[name] for name in names}))

    def used_rack_hosts(self) -> list[str]:
        """The hosts of the rack that the real gateways use most, or of the first rack if they use none."""
        most_used = self.load.attempts_by_rack.most_common(1)
        index = int(most_used[0][0].removeprefix("rack-")) if most_used else 0
        return [name for name, rack_index in self.rack_by_host.items() if rack_index == index]

    def real_gateway_regions(self) -> set[str]:
        """The regions whose relays the real gateways are connected to."""
        return {relay.region for relay in self.relays if self.real_proxy_by_relay[relay.name].tasks}

    def hosts_in_zone(self, zone: str) -> list[str]:
        return [host.name for host in self.fleet.hosts if host.zone == zone]

    def host_at(self, index: int) -> Host:
        return self.fleet.hosts[index % len(self.fleet.hosts)]

    # Measuring

    def begin_step(self) -> None:
        """Forget the changes and delays of the previous step."""
        # Change ID -> time of the change, number of gateways that must receive it.
        self.changes: dict[str, tuple[int, int]] = {}
        self.delays_s: list[float] = []  # one for each gateway and change
        self.missing_count = 0  # gateways that did not receive a change in time
        self.moved_count = 0  # gateways that moved to the other half's relays before they received a change
        self.missing_examples: list[str] = []  # some of the missing changes, for the log
        self.extra_values: dict[str, Any] = {}  # values that only this step adds to its row

    async def measure(self, step: Step) -> dict[str, Any]:
        """Run a step and return its measurements as one row."""
        self.begin_step()
        await self.order_workers("tidy")
        self.load.take_results()
        before, started_us = await self.order_workers("stats", begins=True), clock_us()
        for traffic in self.traffic_by_kind.values():
            traffic.reset()
        discovery_before = await self.order_discovery("stats")
        relays_before_us = {relay.pid: process_cpu_us(relay.pid) for relay in self.relays}
        for relay in self.relays:
            relay.longest_ping_us = 0
        real_before_us = self.measure_real_cpu_us()
        await step.run(self)
        after, seconds = await self.order_workers("stats"), (clock_us() - started_us) / 1e6
        discovery_after = await self.order_discovery("stats")
        results = self.load.take_results()
        self.load.leaving_since_us.clear()
        running = max(1, sum(counts["up"] for counts in after))

        def total_growth(key: str) -> int:
            return int(sum(counts[key] for counts in after) - sum(counts[key] for counts in before))

        def growth_per_gateway(key: str) -> float:
            return float(total_growth(key) / seconds / running)

        def max_value(key: str) -> int:
            return max(int(counts[key]) for counts in after)

        row: dict[str, Any] = {
            "step": step.name, "share": round(self.size.share, 4), "gateways": self.size.gateways,
            "hosts": self.size.hosts, "real": self.size.real, "relays": self.size.relays,
            "near": self.own_region_only,
            "seconds": round(seconds, 2), "last_s": quantile(self.delays_s, 1.0),
            "p50_s": quantile(self.delays_s, 0.5),
            "p99_s": quantile(self.delays_s, 0.99), "limit_s": step.limit_s, "had": len(self.delays_s) or None,
            "missing": self.missing_count, "some": self.missing_examples[:3], "emptied": total_growth("emptied"),
            "bytes_per_s": round(growth_per_gateway("came") + growth_per_gateway("sent"), 1),
            "calls_per_s": round(growth_per_gateway("calls"), 3),
            "wholes": total_growth("wholes"), "entries": total_growth("entries"), "errors": total_growth("errors"),
            "hollow_busy": round(total_growth("cpu_us") / 1e6 / seconds / self.size.worker_processes, 3),
            "cpu_share": round(growth_per_gateway("cpu_us") / 1e6, 5),
            "apply_ms": round(max_value("apply_us") / 1e3, 2),
            "stop_ms": round(max_value("stop_us") / 1e3, 1),
            "relay_stop_ms": round(max((relay.longest_ping_us for relay in self.relays), default=0) / 1e3, 1) or None,
            "relay_cores": round(_cpu_growth_us(relays_before_us) / 1e6 / seconds, 3),
            "relay_mb": round(max((rss_kib(relay.pid) for relay in self.relays), default=0) / 1024, 1),
            "discovery_core": round((discovery_after["cpu_us"] - discovery_before["cpu_us"]) / 1e6 / seconds, 3),
            "discovery_stop_ms": round(discovery_after["stop_us"] / 1e3, 1),
            "discovery_bytes_per_s": round(_sent_byte_growth(discovery_after, discovery_before) / seconds),
            "hollow_mb": round(sum(counts["rss_kib"] for counts in after) / 1024 / running, 3),
            "all_mb": round(self.measure_memory_mb()),
            "hosts_each": round(sum(counts["hosts"] for counts in after) / running, 1),
            "real_core": round((self.measure_real_cpu_us() - real_before_us) / 1e6 / seconds / self.size.real, 4),
            "real_mb": round(max(rss_kib(pid) for pid in self.real_pids()) / 1024, 1),
        }  # fmt: skip
        row |= results.as_row() | self.extra_values
        if step.compared_costs == "rates":
            row |= self.compare_rates()
        elif step.compared_costs == "bytes" and not self.relays:
            row |= self.compare_bytes()
        return row

    def compare_rates(self) -> dict[str, Any]:
        """The calls and bytes per second that a simulated gateway causes, relative to a real one, from the same
        counters."""
        (call_rate, byte_rate), (real_call_rate, real_byte_rate) = (
            self.traffic_by_kind[COMPARED].rates(),
            self.traffic_by_kind[REAL].rates(),
        )
        return {
            "calls_to_real": _ratio(call_rate, real_call_rate),
            "bytes_to_real": _ratio(byte_rate, real_byte_rate),
        }

    def compare_bytes(self) -> dict[str, Any]:
        """Return the ratio of the bytes per simulated gateway of the group COMPARED to the bytes per real gateway.

        It covers all their traffic, in steps that send large updates to gateways of both kinds.
        """
        bytes_per_gateway = (
            self.traffic_by_kind[COMPARED].byte_count / min(COMPARED_GATEWAYS, self.size.simulated),
            self.traffic_by_kind[REAL].byte_count / self.size.real,
        )
        return {"bytes_to_real": _ratio(*bytes_per_gateway)}

    def real_pids(self) -> list[int]:
        return [gateway.process.pid for gateway in self.load.fleet.gateways if gateway.process is not None]

    def measure_real_cpu_us(self) -> int:
        return sum(process_cpu_us(pid) for pid in self.real_pids())

    def list_pids(self) -> list[int]:
        workers = [*self.workers, *([self.discovery] if self.discovery is not None else [])]
        return (
            [worker.pid for worker in workers]
            + [relay.pid for relay in self.relays if relay.is_running]
            + self.real_pids()
        )

    def count_processes(self) -> int:
        return len(self.list_pids()) + 1

    def measure_memory_mb(self) -> float:
        """Resident memory of all processes of the run, including this one."""
        kib = sum(rss_kib(pid) for pid in (os.getpid(), *self.list_pids()))
        return kib / 1024

    async def ping_relays(self) -> None:
        """Check the readiness of all running relays at intervals, to record how long their responses take."""
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            await asyncio.gather(*(relay.check_ready() for relay in self.relays if relay.is_running))


def delayed_change_id(name: str) -> str:
    """Return the ID under which a change at one half is tracked for gateways that do not call that half's relays."""
    return f"{name}-later"


def with_compared_services(simulated_fleet: Fleet, real_count: int) -> Fleet:
    """Give the compared gateways the services of the real ones: each call names the services, so its length depends
    on them."""
    gateways = list(simulated_fleet.gateways)
    for index in range(real_count, min(real_count + COMPARED_GATEWAYS, len(gateways))):
        gateways[index] = replace(gateways[index], services=gateways[index - real_count].services)
    return replace(simulated_fleet, gateways=tuple(gateways))


def _cpu_growth_us(before: dict[int, int]) -> int:
    """CPU time since `before`, in µs, of the processes that still run."""
    return sum(max(0, process_cpu_us(pid) - cpu_us) for pid, cpu_us in before.items())


def _ratio(value: float, reference: float) -> float | None:
    """The ratio, or None if one of the values is 0 or missing."""
    return round(value / reference, 3) if value and reference else None


def _address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"


def _sent_byte_growth(after: dict[str, Any], before: dict[str, Any]) -> int:
    return sum(
        int(after["groups"][group]["sent"]) - int(before["groups"][group]["sent"]) for group in after["groups"]
    )
