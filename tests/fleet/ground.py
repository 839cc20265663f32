"""Several real gateways, links with faults between them, and what an outside party saw: for tests of fleets.

Whatever fails prints one time line of all processes. Waiting is for what is seen outside, with a limit that only
turns a hang into a failure.
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

WARM_S = 14_400  # the cold host stays cold for all of a test, by a clock that is an hour ahead too
LINES = 400  # of a time line


@dataclass
class Ground:
    """n gateways with duties on, in front of one host that is cold."""

    folder: Path
    count: int
    voters: int
    lease_ms: int
    host: ScriptedServer
    network: Network
    mesh: Mesh
    duty: int
    started_us: int
    ledger: EventLog = field(default_factory=EventLog)
    gateways: list[Gateway] = field(default_factory=list)
    notes: list[tuple[int, str]] = field(default_factory=list)
    keeper: ThreadedEnsemble | None = None  # the coordination service, where it decides who holds
    warm: list[ScriptedServer] = field(default_factory=list)  # further hosts, which are warm: s-1 and so on
    colds: int = 1  # cold hosts: s-0, and c-1 and so on at its address
    blanks: list[int] = field(default_factory=list)  # moments at which no gateway's process lived
    expiries: list[int] = field(default_factory=list)  # moments at which sessions were ended before their time

    @property
    def lease_s(self) -> float:
        return self.lease_ms / 1000

    def configure(self, number: int) -> Callable[[], dict[str, Any]]:
        def made() -> dict[str, Any]:
            config = configuration(self.host)
            cold = endpoint("s-0", self.host.address, since_ms=self.started_us // 1000)
            more = [
                endpoint(f"c-{n}", self.host.address, since_ms=self.started_us // 1000) for n in range(1, self.colds)
            ]
            warm = more + [endpoint(f"s-{n}", host.address) for n, host in enumerate(self.warm, 1)]
            settings = config["settings"] | {"balancers": self.count + 1, "index": number}
            settings["caps"] |= {"peers": True}
            settings["contract"] |= {
                "startCapacity": 0.3, "warmAfterUs": WARM_S * 1_000_000, "tipMultiple": 3.0, "fallUs": 1_000_000,
            }  # fmt: skip
            listen = self.mesh.listen_addresses[number]
            return config | {
                "name": f"n{number}", "listen": f"127.0.0.1:{self.gateways[number].port}",
                "known": hosts_list(7, cold, *warm), "settings": settings,
                "peer_listen": f"{listen[0]}:{listen[1]}", "peers": self.mesh.peers(number),
            }  # fmt: skip

        return made

    def options(self) -> str:
        """What is on, beside the platform's settings."""
        text = f"[duties]\nvoters = {self.voters}\nlease_ms = {self.lease_ms}\n"
        if self.keeper is not None:
            text += f'store = "ephemeral"\nhosts = "{self.keeper.ensemble.hosts}"\n'
        return text

    def add(self, number: int) -> Gateway:
        options = self.folder / f"n{number}.toml"
        options.write_text(self.options())
        made = Gateway(
            f"n{number}", 0, self.folder, self.configure(number), self.ledger,
            environment={"CLOVERKEEL_OPTIONS": str(options)}, command=sockets.GATEWAY_COMMAND, has_ops_address=True,
        )  # fmt: skip
        self.gateways.append(made)
        return made

    # Doing

    def note(self, text: str) -> None:
        self.notes.append((now_us(), text))

    def signal(self, number: int, signum: signal.Signals) -> None:
        self.note(f"n{number}: {signum.name}")
        self.gateways[number].send_signal(signum)

    def stop(self, *numbers: int) -> None:
        for number in numbers:
            self.signal(number, signal.SIGSTOP)

    def wake(self, *numbers: int) -> None:
        for number in numbers:
            self.signal(number, signal.SIGCONT)

    async def kill(self, *numbers: int) -> None:
        for number in numbers:
            self.signal(number, signal.SIGKILL)
        for number in numbers:
            assert await self.gateways[number].wait_for_exit(10.0)
        if not any(gateway.is_running for gateway in self.gateways):
            await asyncio.sleep(0.05)  # what they had sent has been read
            self.blanks.append(now_us())

    def start(self, *numbers: int) -> None:
        for number in numbers:
            self.note(f"n{number}: started")
            self.gateways[number].start()

    async def ready(self, *numbers: int) -> None:
        for number in numbers:
            await self.wait(lambda number=number: self.gateways[number].is_running, f"n{number} runs")  # type: ignore[misc]
            while not await processes.is_ready(self.gateways[number].address):
                await asyncio.sleep(0.02)

    def cut(self, ones: list[int], others: list[int], one_way: bool = False) -> None:
        self.note(f"cut {ones} {'to' if one_way else 'and'} {others}")
        self.mesh.cut(ones, others, one_way)

    def heal(self) -> None:
        self.note("healed")
        self.mesh.heal()

    async def call(self, number: int, line: str) -> str:
        return await self.gateways[number].send_ops_command(line)

    async def shown(self, number: int, line: str = "DUTIES") -> dict[str, Any]:
        said = await self.call(number, line)
        assert said.startswith("ACK "), said
        found = json.loads(said[4:])
        assert isinstance(found, dict)
        return found

    # Waiting for what is seen

    async def wait(self, condition: Callable[[], Any], what: str, within_s: float = 20.0) -> Any:
        end = time.monotonic() + within_s
        while not (found := condition()):
            if time.monotonic() > end:
                raise AssertionError(f"not within {within_s:g} s: {what}\n{self.timeline()}")
            await asyncio.sleep(0.005)
        return found

    @property
    def acts(self) -> list[ObservedAct]:
        return self.mesh.watcher.acts

    async def holder(self, but: int | None = None, after_us: int = 0, within_s: float = 20.0) -> ObservedAct:
        """Who acts, at or after this moment; not that one."""

        def acting() -> ObservedAct | None:
            act = self.mesh.watcher.last_act_of(self.duty)
            return act if act is not None and act.at_us >= after_us and act.gateway != but else None

        found = await self.wait(acting, f"a holder{f' but n{but}' if but is not None else ''}", within_s)
        assert isinstance(found, ObservedAct)
        self.note(f"n{found.gateway} holds, epoch {found.fencing_token}")
        return found

    async def goes_on(self, held: ObservedAct, for_s: float) -> None:
        """The same holder acts, with the same epoch, until then; what is older is for the fence (`check`)."""
        first, until_us = len(self.acts), now_us() + int(for_s * 1e6)
        await self.wait(
            lambda: (act := self.mesh.watcher.last_act_of(self.duty)) is not None and act.at_us > until_us,
            "acts go on", for_s + 20.0,
        )  # fmt: skip
        others = {act.fencing_token for act in self.acts[first:] if act.fencing_token > held.fencing_token}
        assert not others, f"epochs {others} beside {held.fencing_token}\n{self.timeline()}"

    async def nobody(self, for_s: float) -> None:
        """Nobody acts for so long; what was sent a moment before is given its time to come."""
        await asyncio.sleep(0.05)
        first = len(self.acts)
        await asyncio.sleep(for_s)
        assert len(self.acts) == first, f"acts while nobody should hold\n{self.timeline()}"

    def stops(self) -> Counter[int]:
        """How often each gateway's process was stopped."""
        return Counter(int(p.gateway[1:]) for p in self.ledger.events_of(ProcessEvent) if p.what == "STOP")

    def judged(self) -> list[LeaseViolation]:
        return check_leases(self.acts, self.stops(), self.blanks, self.lease_ms * 1000, self.expiries)

    def check(self) -> None:
        """Never two, tokens only grow, and no defect on any log."""
        wrong = self.judged()
        assert not wrong, f"{wrong[:3]}\n{self.timeline()}"
        faults = [fault for gateway in self.gateways for fault in gateway.defect_lines()]
        assert not faults, f"{faults}\n{self.timeline()}"

    def timeline(self) -> str:
        """What happened, by all that was seen: orders of the test, processes, changes of holder, logs."""
        lines = [(at_us, f"test: {text}") for at_us, text in self.notes]
        lines += [(p.at_us, f"{p.gateway}: {p.what} {p.code or ''}") for p in self.ledger.events_of(ProcessEvent)]
        lines += [
            (gap.last_us + gap.gap_us, f"watcher: n{gap.gateway} acts, {gap.gap_us / 1000:.0f} ms after the last act")
            for gap in leadership_gaps(self.acts, self.duty)
        ]
        lines.sort()
        begun = lines[0][0] if lines else 0
        said = [f"{(at_us - begun) / 1e6:8.3f} {text}" for at_us, text in lines[-LINES:]]
        for gateway in self.gateways:
            log = self.folder / f"{gateway.name}.log"
            if log.exists():
                told = [line for line in log.read_text(errors="replace").splitlines() if "tally" not in line]
                said += [f"   {gateway.name}: {line}" for line in told[-20:]]
        return "\n".join(said)


@asynccontextmanager
async def ground(
    folder: Path, count: int = 3, voters: int = 3, lease_ms: int = 600, begin: bool = True,
    keeper: ThreadedEnsemble | None = None, warm: Sequence[ScriptedServer] = (), colds: int = 1,
) -> AsyncIterator[Ground]:  # fmt: skip
    """Gateways that run and are ready; all ended after. `begin`: they are started."""
    async with scripted_server() as host:
        network = Network(1)
        mesh = Mesh(network, count)
        mesh.watcher.voters = voters
        await mesh.open()
        started_us = now_us() // 1000 * 1000
        names = ["s-0", *(f"c-{n}" for n in range(1, colds))]
        mesh.watcher.roles += [role_number(f"warden/{host_number(name)}/{started_us}") for name in names]
        duty = mesh.watcher.roles[0]
        made = Ground(folder, count, voters, lease_ms, host, network, mesh, duty, started_us)
        made.keeper, made.warm, made.colds = keeper, list(warm), colds
        for number in range(count):
            made.add(number)
        with processes.Fleet(made.gateways):
            try:
                if begin:
                    made.start(*range(count))
                    await made.ready(*range(count))
                yield made
            finally:
                mesh.close()
                network.close()
