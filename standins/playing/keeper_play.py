"""A play with membership from ephemeral nodes: the coordination service and an agent beside each box."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import IO, Any

from standins.parties.backend import Backend
from standins.parties.fleet import ROOT, kill_with_parent
from standins.event_log import BackendStopped, FaultInjected, NotificationDelivered, now_us
from standins.parties.network import Address, TcpLink
from standins.playing.play import DRAINS_S, World
from standins.playing.scenario import Scenario
from standins.site import ROOMS, configuration, settings
from standins.parties.zookeeper.ensemble import Ensemble, KeeperConnection
from standins.parties.zookeeper.jute import Create, EventType, Op
from standins.parties.zookeeper.tree import Created, Deleted, Node

FOLDER = "/cloverkeel/boxes"
SESSION_MS = 1_000  # of an agent
CHECK_MS = 200


class Agent:
    """The program beside a box."""

    def __init__(
        self, program: Sequence[str], box: Backend, hosts: str, kind: str, log: IO[bytes], since_ms: int
    ) -> None:
        assert box.address is not None
        self.process = subprocess.Popen(
            [
                *program, "register", "--hosts", hosts, "--path", FOLDER,
                "--name", box.name, "--address", f"{box.address[0]}:{box.address[1]}", "--zone", ROOMS[box.room],
                "--type", kind, "--group", str(box.idempotency_store.group), "--since-ms", str(since_ms),
                "--every-ms", str(CHECK_MS), "--session-ms", str(SESSION_MS), "--drain-s", str(DRAINS_S - 1),
            ],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=kill_with_parent,
        )  # fmt: skip

    def signal(self, signum: signal.Signals) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signum)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class EphemeralWorld(World):
    """The registry's part is the service's."""

    def __init__(self, scenario: Scenario, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(scenario, seed, seconds, folder)
        self.folder = folder
        self.keeper = Ensemble(3, seed, timeouts_ms=(200, 40_000))
        self.keeper.on_delivery, self.keeper.data_for_client = self.on_told, self.as_seen
        self.agents: dict[str, Agent] = {}
        self.logs: list[IO[bytes]] = []
        self.told: dict[str, set[str]] = {gateway.name: set() for gateway in self.gateways}
        self.hosts: dict[str, str] = {}
        self.deleted: dict[str, Node] = {}  # by box: its node, while it is told to drain

    async def build(self) -> None:
        await self.keeper.start()
        for path in (FOLDER.rpartition("/")[0], FOLDER):
            self.keeper.commit(self.keeper.tree.prepare(Create(path), 0))
        for gateway in self.gateways:
            links = []
            for number, server in enumerate(self.keeper.servers):
                link: TcpLink = self.network.add_tcp_link(gateway.name, f"keeper-{number}", _address_of(server))
                link.open()
                links.append(link)
            self.hosts[gateway.name] = ",".join(f"{k.address[0]}:{k.address[1]}" for k in links)
            options = self.folder / f"{gateway.name}.toml"
            lines = ("[membership]", 'precedence = ["ephemeral"]', f'hosts = "{self.hosts[gateway.name]}"',
                     f'path = "{FOLDER}"', "session_ms = 2000", "spread_ms = 200",
                     f'state = "{self.folder / gateway.name}.boxes"')  # fmt: skip
            options.write_text("\n".join(lines) + "\n")
            gateway.environment = {"CLOVERKEEL_OPTIONS": str(options)}
        await super().build()
        end = asyncio.get_running_loop().time() + 20.0
        while len(self.keeper.tree.nodes[FOLDER].children) < len(self.boxes):
            if asyncio.get_running_loop().time() > end:
                raise RuntimeError("not every box was registered")
            await asyncio.sleep(0.02)

    async def build_registry(self) -> None:
        """There is none."""

    def register(self, box: Backend, lag_s: float | None) -> None:
        if len(self.logs) > 256:
            raise RuntimeError("too many agents for one play")
        log = (self.folder / f"agent-{box.name}-{box.incarnation}.log").open("ab")
        self.logs.append(log)
        old = self.agents.pop(box.name, None)
        if old is not None:
            old.end()
        since_ms = box.started_us // 1000 if box.needs_warmup else 0
        self.agents[box.name] = Agent(self.program, box, self.keeper.hosts, self.kind.name, log, since_ms)

    def as_seen(self, connection: KeeperConnection, path: str, data: bytes) -> bytes:
        """A box's node as a gateway has it: with the address at which that gateway reaches the box."""
        flow = self.network.flow_of(connection.transport) if connection.transport is not None else None
        link = self.links.get((flow.link.near, path[len(FOLDER) + 1 :])) if flow is not None else None
        if link is None:
            return data  # an agent
        with contextlib.suppress(ValueError):
            return json.dumps(json.loads(data) | {"address": f"{link.address[0]}:{link.address[1]}"}).encode()
        return data

    def expand(self, parties: Sequence[str]) -> list[str]:
        """`keeper` stands for all servers of the service."""
        servers = [f"keeper-{number}" for number in range(len(self.keeper.servers))]
        named = [name for party in parties for name in (servers if party == "keeper" else [party])]
        return [n for n in named if n in servers] + super().expand([n for n in named if n not in servers])

    def configure(self, number: int) -> Callable[[], dict[str, Any]]:
        def made() -> dict[str, Any]:
            gateway = self.gateways[number]
            addresses = {box: self.links[gateway.name, box].address for box in self.boxes}
            known = [
                {"name": box.name, "address": "{}:{}".format(*addresses[box.name]), "zone": ROOMS[box.room],
                 "type": self.kind.name, "group": box.idempotency_store.group, "status": "SERVING", "weight": 1.0,
                 "since_ms": 0}
                for box in self.boxes.values()
                if box.address is not None and box.incarnation == 1 and not box.needs_warmup
            ]  # fmt: skip
            mine = settings(len(self.gateways), number, gateway.room, self.kind, self.rules, self.classes)
            return configuration(
                gateway.name, f"127.0.0.1:{gateway.port}", "127.0.0.1:9",
                f"{self.seed}/{number}/{len(gateway.exit_codes)}", known, mine | {"membershipMode": "pushed"},
                self.rules,
            )  # fmt: skip

        return made

    # What gateways are told

    def on_told(
        self, connection: KeeperConnection, what: Op | EventType, path: str, found: list[str] | bytes | None
    ) -> None:
        transport = connection.transport
        flow = self.network.flow_of(transport) if transport is not None else None
        if flow is None or not path.startswith(FOLDER):
            return  # an agent
        gateway, name = flow.link.near, path[len(FOLDER) + 1 :]
        told = self.told[gateway]
        if what is EventType.DELETED or (found is None and isinstance(what, Op)):
            if name:
                self.tell(gateway, name, "DELETED")
        elif what in (Op.GET_CHILDREN, Op.GET_CHILDREN2) and isinstance(found, list):
            for missing in sorted(told - set(found)):
                self.tell(gateway, missing, "DELETED")
        elif what is Op.GET_DATA and isinstance(found, bytes):
            with contextlib.suppress(ValueError, KeyError):
                self.tell(gateway, name, json.loads(found)["status"])

    def tell(self, gateway: str, box: str, status: str) -> None:
        self.ledger.add(NotificationDelivered(now_us(), gateway, box, status))
        if status == "DELETED":
            self.told[gateway].discard(box)
        else:
            self.told[gateway].add(box)

    # Troubles

    async def do_crash(self, for_s: float, boxes: int = 1, renamed: bool = False) -> None:
        """The process dies; the agent beside it finds out."""
        chosen = self.choose(boxes)
        for box in chosen:
            box.crash()
        await asyncio.sleep(for_s)
        for box in chosen:
            await self.come_back(box, renamed)

    async def do_silent(self, for_s: float, boxes: int = 1) -> None:
        """The machine stands still, its agent with it: the session ends by its time."""
        chosen = self.choose(boxes)
        for box in chosen:
            self.cut_off(box)
            self.agents[box.name].signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        for box in chosen:
            self.agents[box.name].end()
            self.reset_links(box)
            box.crash("silent")
            await self.come_back(box)

    async def leave(self, box: Backend) -> None:
        box.is_leaving = True
        self.agents[box.name].signal(signal.SIGTERM)
        await asyncio.sleep(DRAINS_S)
        box.faults.drain = True
        end = asyncio.get_running_loop().time() + 2.0
        while box.jobs and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        box.crash("drained")

    async def tell_drain(self, box: Backend, wait_s: float) -> None:
        """The box's node goes, as somebody's hand may delete it; the box goes on."""
        await asyncio.sleep(wait_s)
        path = f"{FOLDER}/{box.name}"
        node = self.keeper.tree.nodes.get(path)
        if node is not None:
            self.deleted[box.name] = node
            self.keeper.commit((Deleted(path),))

    def tell_drain_over(self, box: Backend) -> None:
        node = self.deleted.pop(box.name, None)
        if node is not None and node.stat.ephemeral_owner in self.keeper.sessions:
            made = Created(f"{FOLDER}/{box.name}", node.data, node.acl, node.stat.ephemeral_owner)
            self.keeper.commit((made,))
        self.busy.discard(box.name)

    async def do_expire(self, for_s: float, boxes: int = 1) -> None:
        """Sessions end while the boxes answer: the agents stand still for longer than that, then go on."""
        chosen = self.choose(boxes)
        for box in chosen:
            self.agents[box.name].signal(signal.SIGSTOP)
            self.spawn(self.note_expiry(box))
        await asyncio.sleep(max(for_s, 3 * SESSION_MS / 1000))
        for box in chosen:
            self.agents[box.name].signal(signal.SIGCONT)
            self.busy.discard(box.name)

    async def note_expiry(self, box: Backend) -> None:
        """Write down when the node went: that is the session's end."""
        end = asyncio.get_running_loop().time() + 10.0
        while box.name in self.keeper.tree.nodes[FOLDER].children:
            if asyncio.get_running_loop().time() > end:
                raise RuntimeError(f"the session of {box.name} did not end")
            await asyncio.sleep(0.002)
        self.ledger.add(BackendStopped(now_us(), box.name, box.incarnation, "expired"))

    async def do_expire_all(self) -> None:
        """All sessions end at once, the gateways' too, and everybody is well."""
        registered = set(self.keeper.tree.nodes[FOLDER].children)
        for session in list(self.keeper.sessions):
            self.keeper.expire(session)
        begun_us = now_us()
        while not registered <= self.keeper.tree.nodes[FOLDER].children:
            if now_us() - begun_us > 20_000_000:
                raise RuntimeError("not every box was registered again")
            await asyncio.sleep(0.01)
        text = f"every box is registered again after {(now_us() - begun_us) / 1e6:.2f} s"
        self.ledger.add(FaultInjected(now_us(), text))
        self.on_progress(text)

    async def do_keeper_leader(self, for_s: float) -> None:
        self.keeper.lose_leader(for_s)
        await asyncio.sleep(for_s)

    async def do_keeper_down(self, for_s: float, lost: int = 0) -> None:
        self.keeper.stop()
        await asyncio.sleep(for_s)
        await self.keeper.restart(lost)

    def close(self) -> None:
        super().close()
        for agent in self.agents.values():
            agent.end()
        for log in self.logs:
            log.close()
        self.keeper.close()


def _address_of(server: Any) -> Callable[[], Address | None]:
    return lambda: server.address if server.server is not None else None
