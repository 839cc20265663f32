"""A fleet of real gateways with a leased role, over links with faults, and a watcher that records the holders' acts.

An act is a holder's reply to a report, under its fencing token. A failed check prints one timeline of all processes.
Tests wait for what can be observed from outside; the timeouts only turn a hang into a failure.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.parties import fleet as processes
from standins.parties.fleet import Gateway
from standins.event_log import EventLog, ProcessEvent, now_us
from standins.checker.leases import ObservedAct, LeaseViolation, leadership_gaps, check_leases
from standins.parties.mesh import Mesh, host_number, role_number
from standins.parties.network import Network
from standins.parties.zookeeper.threaded import ThreadedEnsemble
from tests import sockets
from tests.sockets import ScriptedServer, configuration, endpoint, hosts_list, scripted_server

SLOW_START_S = 14_400  # longer than any test, also for a gateway whose clock is an hour ahead
MAX_TIMELINE_LINES = 400


@dataclass
class LeaseFleet:
    """Gateways numbered from 0 that elect the holder of the probe role for hosts in slow start."""

    folder: Path
    count: int
    voters: int
    lease_ms: int
    host: ScriptedServer
    network: Network
    mesh: Mesh
    role: int
    started_us: int
    event_log: EventLog = field(default_factory=EventLog)
    gateways: list[Gateway] = field(default_factory=list)
    notes: list[tuple[int, str]] = field(default_factory=list)
    zookeeper: ThreadedEnsemble | None = None  # stores the leases; None: the gateways vote
    warm_hosts: list[ScriptedServer] = field(default_factory=list)  # not in slow start: s-1 and so on
    slow_start_host_count: int = 1  # s-0, and c-1 and so on at its address
    all_down_at_us: list[int] = field(default_factory=list)  # when no gateway process was running
    forced_expiries_us: list[int] = field(default_factory=list)  # when sessions were expired early

    @property
    def lease_s(self) -> float:
        """Return the duration of a lease."""
        return self.lease_ms / 1000

    def config_factory(self, number: int) -> Callable[[], dict[str, Any]]:
        """Return a function that builds the configuration of a gateway."""

        def build_config() -> dict[str, Any]:
            config = configuration(self.host)
            first = endpoint("s-0", self.host.address, since_ms=self.started_us // 1000)
            in_slow_start = [
                endpoint(f"c-{n}", self.host.address, since_ms=self.started_us // 1000)
                for n in range(1, self.slow_start_host_count)
            ]
            others = in_slow_start + [endpoint(f"s-{n}", host.address) for n, host in enumerate(self.warm_hosts, 1)]
            settings = config["settings"] | {"balancers": self.count + 1, "index": number}
            settings["caps"] |= {"peers": True}
            settings["contract"] |= {
                "startCapacity": 0.3, "warmAfterUs": SLOW_START_S * 1_000_000, "tipMultiple": 3.0,
                "fallUs": 1_000_000,
            }  # fmt: skip
            listen = self.mesh.listen_addresses[number]
            return config | {
                "name": f"n{number}", "listen": f"127.0.0.1:{self.gateways[number].port}",
                "known": hosts_list(7, first, *others), "settings": settings,
                "peer_listen": f"{listen[0]}:{listen[1]}", "peers": self.mesh.peers(number),
            }  # fmt: skip

        return build_config

    def options_text(self) -> str:
        """Return the options file of each gateway."""
        text = f"[duties]\nvoters = {self.voters}\nlease_ms = {self.lease_ms}\n"
        if self.zookeeper is not None:
            text += f'store = "ephemeral"\nhosts = "{self.zookeeper.ensemble.hosts}"\n'
        return text

    def add_gateway(self, number: int) -> Gateway:
        """Add a gateway that is not started yet."""
        options_path = self.folder / f"n{number}.toml"
        options_path.write_text(self.options_text())
        gateway = Gateway(
            f"n{number}", 0, self.folder, self.config_factory(number), self.event_log,
            environment={"CLOVERKEEL_OPTIONS": str(options_path)}, command=sockets.GATEWAY_COMMAND,
            has_ops_address=True,
        )  # fmt: skip
        self.gateways.append(gateway)
        return gateway

    # Faults and commands

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.notes.append((now_us(), text))

    def send_signal(self, number: int, signum: signal.Signals) -> None:
        """Send a signal to a gateway process."""
        self.note(f"n{number}: {signum.name}")
        self.gateways[number].send_signal(signum)

    def pause(self, *numbers: int) -> None:
        """Stop gateway processes with SIGSTOP."""
        for number in numbers:
            self.send_signal(number, signal.SIGSTOP)

    def resume(self, *numbers: int) -> None:
        """Continue paused gateway processes."""
        for number in numbers:
            self.send_signal(number, signal.SIGCONT)

    async def kill(self, *numbers: int) -> None:
        """Kill gateway processes and wait until they have ended."""
        for number in numbers:
            self.send_signal(number, signal.SIGKILL)
        for number in numbers:
            assert await self.gateways[number].wait_for_exit(10.0)
        if not any(gateway.is_running for gateway in self.gateways):
            await asyncio.sleep(0.05)  # until the watcher has read what they sent
            self.all_down_at_us.append(now_us())

    def start(self, *numbers: int) -> None:
        """Start gateway processes."""
        for number in numbers:
            self.note(f"n{number}: started")
            self.gateways[number].start()

    async def wait_until_ready(self, *numbers: int) -> None:
        """Wait until these gateways run and are ready."""
        for number in numbers:
            await self.wait_for(lambda number=number: self.gateways[number].is_running, f"n{number} runs")  # type: ignore[misc]
            while not await processes.is_ready(self.gateways[number].address):
                await asyncio.sleep(0.02)

    def partition(self, group: list[int], others: list[int], one_way: bool = False) -> None:
        """Drop datagrams between two groups of gateways, or only those from the first group."""
        self.note(f"partition: {group} {'to' if one_way else 'and'} {others}")
        self.mesh.cut(group, others, one_way)

    def heal(self) -> None:
        """End all partitions."""
        self.note("partitions healed")
        self.mesh.heal()

    async def send_command(self, number: int, line: str) -> str:
        """Send an operator's command to a gateway; return its reply."""
        return await self.gateways[number].send_ops_command(line)

    async def read_state(self, number: int, line: str = "DUTIES") -> dict[str, Any]:
        """Send a command that shows state; return the JSON object of the reply."""
        reply = await self.send_command(number, line)
        assert reply.startswith("ACK "), reply
        state = json.loads(reply[4:])
        assert isinstance(state, dict)
        return state

    # Observation

    async def wait_for(self, condition: Callable[[], Any], what: str, within_s: float = 20.0) -> Any:
        """Poll a condition until it is true; return its value."""
        end = time.monotonic() + within_s
        while not (value := condition()):
            if time.monotonic() > end:
                raise AssertionError(f"not within {within_s:g} s: {what}\n{self.timeline()}")
            await asyncio.sleep(0.005)
        return value

    @property
    def acts(self) -> list[ObservedAct]:
        """Return the acts of holders that the watcher received."""
        return self.mesh.watcher.acts

    async def wait_for_holder(
        self, excluding: int | None = None, after_us: int = 0, within_s: float = 20.0
    ) -> ObservedAct:
        """Wait until another gateway than `excluding` acts as holder at or after `after_us`; return its act."""

        def find_act() -> ObservedAct | None:
            act = self.mesh.watcher.last_act_of(self.role)
            return act if act is not None and act.at_us >= after_us and act.gateway != excluding else None

        act = await self.wait_for(
            find_act, f"a holder{f' other than n{excluding}' if excluding is not None else ''}", within_s
        )
        assert isinstance(act, ObservedAct)
        self.note(f"n{act.gateway} is the holder, fencing token {act.fencing_token}")
        return act

    async def check_holder_continues(self, held: ObservedAct, for_s: float) -> None:
        """Wait for that time; check that acts continue without a newer token. `check` finds older tokens."""
        first, until_us = len(self.acts), now_us() + int(for_s * 1e6)
        await self.wait_for(
            lambda: (act := self.mesh.watcher.last_act_of(self.role)) is not None and act.at_us > until_us,
            "acts continue", for_s + 20.0,
        )  # fmt: skip
        newer_tokens = {act.fencing_token for act in self.acts[first:] if act.fencing_token > held.fencing_token}
        assert not newer_tokens, f"fencing tokens {newer_tokens} after {held.fencing_token}\n{self.timeline()}"

    async def check_no_acts(self, for_s: float) -> None:
        """Check that no gateway acts for that time, after a delay in which earlier acts arrive."""
        await asyncio.sleep(0.05)
        first = len(self.acts)
        await asyncio.sleep(for_s)
        assert len(self.acts) == first, f"acts while there should be no holder\n{self.timeline()}"

    def pause_counts(self) -> Counter[int]:
        """Return how often each gateway process was paused."""
        return Counter(int(p.gateway[1:]) for p in self.event_log.events_of(ProcessEvent) if p.what == "STOP")

    def find_violations(self) -> list[LeaseViolation]:
        """Return the violations of the leases' rules."""
        return check_leases(
            self.acts, self.pause_counts(), self.all_down_at_us, self.lease_ms * 1000, self.forced_expiries_us
        )

    def check(self) -> None:
        """Check that there never were two holders, that tokens only increased, and that no log has a defect."""
        violations = self.find_violations()
        assert not violations, f"{violations[:3]}\n{self.timeline()}"
        defects = [line for gateway in self.gateways for line in gateway.defect_lines()]
        assert not defects, f"{defects}\n{self.timeline()}"

    def timeline(self) -> str:
        """Return faults, process events and changes of holder in order of time, and the last lines of each log."""
        lines = [(at_us, f"test: {text}") for at_us, text in self.notes]
        lines += [(p.at_us, f"{p.gateway}: {p.what} {p.code or ''}") for p in self.event_log.events_of(ProcessEvent)]
        lines += [
            (gap.last_us + gap.gap_us, f"watcher: n{gap.gateway} acts, {gap.gap_us / 1000:.0f} ms after the last act")
            for gap in leadership_gaps(self.acts, self.role)
        ]
        lines.sort()
        start_us = lines[0][0] if lines else 0
        text_lines = [f"{(at_us - start_us) / 1e6:8.3f} {text}" for at_us, text in lines[-MAX_TIMELINE_LINES:]]
        for gateway in self.gateways:
            log = self.folder / f"{gateway.name}.log"
            if log.exists():
                log_lines = [line for line in log.read_text(errors="replace").splitlines() if "tally" not in line]
                text_lines += [f"   {gateway.name}: {line}" for line in log_lines[-20:]]
        return "\n".join(text_lines)


@asynccontextmanager
async def running_lease_fleet(
    folder: Path, count: int = 3, voters: int = 3, lease_ms: int = 600, starts: bool = True,
    zookeeper: ThreadedEnsemble | None = None, warm_hosts: Sequence[ScriptedServer] = (),
    slow_start_host_count: int = 1,
) -> AsyncIterator[LeaseFleet]:  # fmt: skip
    """Build a fleet; with `starts`, start it and wait until it is ready. End all processes afterwards."""
    async with scripted_server() as host:
        network = Network(1)
        mesh = Mesh(network, count)
        mesh.watcher.voters = voters
        await mesh.open()
        started_us = now_us() // 1000 * 1000
        names = ["s-0", *(f"c-{n}" for n in range(1, slow_start_host_count))]
        mesh.watcher.roles += [role_number(f"warden/{host_number(name)}/{started_us}") for name in names]
        role = mesh.watcher.roles[0]
        fleet = LeaseFleet(folder, count, voters, lease_ms, host, network, mesh, role, started_us)
        fleet.zookeeper, fleet.warm_hosts, fleet.slow_start_host_count = (
            zookeeper, list(warm_hosts), slow_start_host_count,
        )  # fmt: skip
        for number in range(count):
            fleet.add_gateway(number)
        with processes.Fleet(fleet.gateways):
            try:
                if starts:
                    fleet.start(*range(count))
                    await fleet.wait_until_ready(*range(count))
                yield fleet
            finally:
                mesh.close()
                network.close()
