"""An environment whose membership comes from ephemeral nodes of an emulated ZooKeeper ensemble."""

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
from standins.playing.environment import DRAIN_DURATION_S, Environment
from standins.playing.scenario import Scenario
from standins.site import ZONES, configuration, settings
from standins.parties.zookeeper.ensemble import Ensemble, KeeperConnection
from standins.parties.zookeeper.jute import Create, EventType, Op
from standins.parties.zookeeper.tree import Created, Deleted, Node

REGISTRATION_PATH = "/cloverkeel/boxes"
SESSION_TIMEOUT_MS = 1_000  # session timeout of registration agents
HEALTH_CHECK_INTERVAL_MS = 200


class RegistrationAgent:
    """A process that registers one backend with the ensemble while the backend is healthy."""

    def __init__(
        self,
        command: Sequence[str],
        backend: Backend,
        connect_string: str,
        backend_type: str,
        log: IO[bytes],
        since_ms: int,
    ) -> None:
        assert backend.address is not None
        self.process = subprocess.Popen(
            [
                *command, "register", "--hosts", connect_string, "--path", REGISTRATION_PATH,
                "--name", backend.name, "--address", f"{backend.address[0]}:{backend.address[1]}",
                "--zone", ZONES[backend.zone_index], "--type", backend_type,
                "--group", str(backend.idempotency_store.group),
                "--since-ms", str(since_ms), "--every-ms", str(HEALTH_CHECK_INTERVAL_MS),
                "--session-ms", str(SESSION_TIMEOUT_MS), "--drain-s", str(DRAIN_DURATION_S - 1),
            ],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, preexec_fn=kill_with_parent,
        )  # fmt: skip

    def signal(self, signum: signal.Signals) -> None:
        """Signal the process if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process if it still runs, and wait for its exit."""
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class ZooKeeperEnvironment(Environment):
    """An environment in which registration agents and gateways use an emulated ensemble in place of the registry."""

    def __init__(self, scenario: Scenario, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(scenario, seed, seconds, folder)
        self.folder = folder
        self.ensemble = Ensemble(3, seed, timeouts_ms=(200, 40_000))
        self.ensemble.on_delivery, self.ensemble.data_for_client = self.on_read_result, self.rewrite_address
        self.agents: dict[str, RegistrationAgent] = {}
        self.agent_logs: list[IO[bytes]] = []
        self.known_backends: dict[str, set[str]] = {gateway.name: set() for gateway in self.gateways}
        self.connect_strings: dict[str, str] = {}  # by gateway
        self.deleted_nodes: dict[str, Node] = {}  # by backend: its node, while it is deleted by hand

    async def build(self) -> None:
        """Start the ensemble and what the base class starts, and wait until each backend is registered."""
        await self.ensemble.start()
        for path in (REGISTRATION_PATH.rpartition("/")[0], REGISTRATION_PATH):
            self.ensemble.commit(self.ensemble.tree.prepare(Create(path), 0))
        for gateway in self.gateways:
            links = []
            for index, server in enumerate(self.ensemble.servers):
                link: TcpLink = self.network.add_tcp_link(gateway.name, f"keeper-{index}", _address_of(server))
                link.open()
                links.append(link)
            self.connect_strings[gateway.name] = ",".join(f"{link.address[0]}:{link.address[1]}" for link in links)
            options_path = self.folder / f"{gateway.name}.toml"
            lines = ("[membership]", 'precedence = ["ephemeral"]', f'hosts = "{self.connect_strings[gateway.name]}"',
                     f'path = "{REGISTRATION_PATH}"', "session_ms = 2000", "spread_ms = 200",
                     f'state = "{self.folder / gateway.name}.boxes"')  # fmt: skip
            options_path.write_text("\n".join(lines) + "\n")
            gateway.environment = {"CLOVERKEEL_OPTIONS": str(options_path)}
        await super().build()
        end = asyncio.get_running_loop().time() + 20.0
        while len(self.ensemble.tree.nodes[REGISTRATION_PATH].children) < len(self.backends):
            if asyncio.get_running_loop().time() > end:
                raise RuntimeError("not every backend was registered")
            await asyncio.sleep(0.02)

    async def build_registry(self) -> None:
        """Start nothing: the ensemble takes the place of the registry."""

    def register(self, backend: Backend, lag_s: float | None) -> None:
        """Start the backend's registration agent; `lag_s` is not used, as the agent decides when to register it."""
        if len(self.agent_logs) > 256:
            raise RuntimeError("too many registration agents for one scenario run")
        log_file = (self.folder / f"agent-{backend.name}-{backend.incarnation}.log").open("ab")
        self.agent_logs.append(log_file)
        previous_agent = self.agents.pop(backend.name, None)
        if previous_agent is not None:
            previous_agent.kill()
        since_ms = backend.started_us // 1000 if backend.needs_warmup else 0
        self.agents[backend.name] = RegistrationAgent(
            self.gateway_command, backend, self.ensemble.hosts, self.backend_type.name, log_file, since_ms
        )

    def rewrite_address(self, connection: KeeperConnection, path: str, data: bytes) -> bytes:
        """Return a backend's node with the address at which the gateway of this connection reaches the backend."""
        flow = self.network.flow_of(connection.transport) if connection.transport is not None else None
        link = self.links.get((flow.link.near, path[len(REGISTRATION_PATH) + 1 :])) if flow is not None else None
        if link is None:
            return data  # read by a registration agent
        with contextlib.suppress(ValueError):
            return json.dumps(json.loads(data) | {"address": f"{link.address[0]}:{link.address[1]}"}).encode()
        return data

    def expand_parties(self, parties: Sequence[str]) -> list[str]:
        """Return the names of parties; `keeper` stands for all servers of the ensemble."""
        servers = [f"keeper-{index}" for index in range(len(self.ensemble.servers))]
        names = [name for party in parties for name in (servers if party == "keeper" else [party])]
        return [n for n in names if n in servers] + super().expand_parties([n for n in names if n not in servers])

    def configuration_builder(self, index: int) -> Callable[[], dict[str, Any]]:
        """Return a function that builds the current configuration of a gateway."""

        def build() -> dict[str, Any]:
            gateway = self.gateways[index]
            addresses = {backend: self.links[gateway.name, backend].address for backend in self.backends}
            known = [
                {"name": backend.name, "address": "{}:{}".format(*addresses[backend.name]),
                 "zone": ZONES[backend.zone_index], "type": self.backend_type.name,
                 "group": backend.idempotency_store.group, "status": "SERVING", "weight": 1.0, "since_ms": 0}
                for backend in self.backends.values()
                if backend.address is not None and backend.incarnation == 1 and not backend.needs_warmup
            ]  # fmt: skip
            gateway_settings = settings(
                len(self.gateways), index, gateway.zone_index, self.backend_type, self.rules, self.classes
            )
            return configuration(
                gateway.name, f"127.0.0.1:{gateway.port}", "127.0.0.1:9",
                f"{self.seed}/{index}/{len(gateway.exit_codes)}", known,
                gateway_settings | {"membershipMode": "pushed"},
                self.rules,
            )  # fmt: skip

        return build

    # Notifications to gateways

    def on_read_result(
        self, connection: KeeperConnection, operation: Op | EventType, path: str, value: list[str] | bytes | None
    ) -> None:
        """Record the backend statuses that the result of a read, or a watch event, reports to a gateway.

        `value` is the result; it is None for a watch event, and for a node that does not exist.
        """
        transport = connection.transport
        flow = self.network.flow_of(transport) if transport is not None else None
        if flow is None or not path.startswith(REGISTRATION_PATH):
            return  # sent to a registration agent
        gateway, name = flow.link.near, path[len(REGISTRATION_PATH) + 1 :]
        known = self.known_backends[gateway]
        if operation is EventType.DELETED or (value is None and isinstance(operation, Op)):
            if name:
                self.record_notification(gateway, name, "DELETED")
        elif operation in (Op.GET_CHILDREN, Op.GET_CHILDREN2) and isinstance(value, list):
            for missing in sorted(known - set(value)):
                self.record_notification(gateway, missing, "DELETED")
        elif operation is Op.GET_DATA and isinstance(value, bytes):
            with contextlib.suppress(ValueError, KeyError):
                self.record_notification(gateway, name, json.loads(value)["status"])

    def record_notification(self, gateway: str, backend: str, status: str) -> None:
        """Record that a gateway was notified of a backend's status."""
        self.event_log.add(NotificationDelivered(now_us(), gateway, backend, status))
        if status == "DELETED":
            self.known_backends[gateway].discard(backend)
        else:
            self.known_backends[gateway].add(backend)

    # Faults

    async def do_crash(self, for_s: float, boxes: int = 1, renamed: bool = False) -> None:
        """Kill backends, and restart them; the registration agents detect it."""
        chosen = self.choose_backends(boxes)
        for backend in chosen:
            backend.crash()
        await asyncio.sleep(for_s)
        for backend in chosen:
            await self.restart_backend(backend, renamed)

    async def do_silent(self, for_s: float, boxes: int = 1) -> None:
        """Silence backends and stop their registration agents, so that the sessions time out."""
        chosen = self.choose_backends(boxes)
        for backend in chosen:
            self.isolate_backend(backend)
            self.agents[backend.name].signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        for backend in chosen:
            self.agents[backend.name].kill()
            self.reset_backend_links(backend)
            backend.crash("silent")
            await self.restart_backend(backend)

    async def drain_and_stop(self, backend: Backend) -> None:
        """Stop a backend as planned: its agent announces the drain, and the backend finishes its requests."""
        backend.is_leaving = True
        self.agents[backend.name].signal(signal.SIGTERM)
        await asyncio.sleep(DRAIN_DURATION_S)
        backend.faults.drain = True
        end = asyncio.get_running_loop().time() + 2.0
        while backend.jobs and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        backend.crash("drained")

    async def announce_drain(self, backend: Backend, wait_s: float) -> None:
        """Delete a backend's node after a while, as an operator may; the backend goes on answering."""
        await asyncio.sleep(wait_s)
        path = f"{REGISTRATION_PATH}/{backend.name}"
        node = self.ensemble.tree.nodes.get(path)
        if node is not None:
            self.deleted_nodes[backend.name] = node
            self.ensemble.commit((Deleted(path),))

    def end_announced_drain(self, backend: Backend) -> None:
        """Create a backend's node again if its session still lives."""
        node = self.deleted_nodes.pop(backend.name, None)
        if node is not None and node.stat.ephemeral_owner in self.ensemble.sessions:
            created = Created(f"{REGISTRATION_PATH}/{backend.name}", node.data, node.acl, node.stat.ephemeral_owner)
            self.ensemble.commit((created,))
        self.faulted_backends.discard(backend.name)

    async def do_expire(self, for_s: float, boxes: int = 1) -> None:
        """Stop registration agents for longer than their session timeout, while the backends go on answering."""
        chosen = self.choose_backends(boxes)
        for backend in chosen:
            self.agents[backend.name].signal(signal.SIGSTOP)
            self.spawn(self.record_expiry(backend))
        await asyncio.sleep(max(for_s, 3 * SESSION_TIMEOUT_MS / 1000))
        for backend in chosen:
            self.agents[backend.name].signal(signal.SIGCONT)
            self.faulted_backends.discard(backend.name)

    async def record_expiry(self, backend: Backend) -> None:
        """Record when a backend's node is deleted, which is the end of its session."""
        end = asyncio.get_running_loop().time() + 10.0
        while backend.name in self.ensemble.tree.nodes[REGISTRATION_PATH].children:
            if asyncio.get_running_loop().time() > end:
                raise RuntimeError(f"the session of {backend.name} did not end")
            await asyncio.sleep(0.002)
        self.event_log.add(BackendStopped(now_us(), backend.name, backend.incarnation, "expired"))

    async def do_expire_all(self) -> None:
        """End all sessions at once, those of gateways too, while all processes are healthy."""
        registered = set(self.ensemble.tree.nodes[REGISTRATION_PATH].children)
        for session in list(self.ensemble.sessions):
            self.ensemble.expire(session)
        start_us = now_us()
        while not registered <= self.ensemble.tree.nodes[REGISTRATION_PATH].children:
            if now_us() - start_us > 20_000_000:
                raise RuntimeError("not every backend was registered again")
            await asyncio.sleep(0.01)
        text = f"every backend is registered again after {(now_us() - start_us) / 1e6:.2f} s"
        self.event_log.add(FaultInjected(now_us(), text))
        self.on_progress(text)

    async def do_keeper_leader(self, for_s: float) -> None:
        """Leave the ensemble without a leader for some time."""
        self.ensemble.lose_leader(for_s)
        await asyncio.sleep(for_s)

    async def do_keeper_down(self, for_s: float, lost: int = 0) -> None:
        """Stop the ensemble, and restart it without its `lost` latest changes."""
        self.ensemble.stop()
        await asyncio.sleep(for_s)
        await self.ensemble.restart(lost)

    def close(self) -> None:
        """Stop all parties of this process, the agents and the ensemble."""
        super().close()
        for agent in self.agents.values():
            agent.kill()
        for log_file in self.agent_logs:
            log_file.close()
        self.ensemble.close()


def _address_of(server: Any) -> Callable[[], Address | None]:
    return lambda: server.address if server.server is not None else None
