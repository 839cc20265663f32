"""The environment of a scenario run: emulated backends, registry, network and clients around real gateways."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import replace
from pathlib import Path
from signal import Signals
from typing import Any

from standins.parties.backend import Backend, IdempotencyStore
from standins.parties.clients import (
    ClientProfile,
    ConnectionBalancer,
    GatewayTarget,
    LoadGenerator,
    send_misbehaving_request,
)
from standins.parties.fleet import GATEWAY_COMMAND, Fleet, Gateway
from standins.event_log import BackendStopped, EventLog, FaultInjected, ManualEjection, SchedulingDelay, now_us
from standins.parties.mesh import Mesh
from standins.parties.network import Address, LinkConditions, Network, TcpLink
from standins.parties.registry import Entry, Registry, RegistryListener
from standins.playing.scenario import Fault, Scenario
from standins.site import CLASSES, MEAN_WORK_US, ZONES, BackendType, Rules, configuration, rule_overrides, settings

STALL_CHECK_INTERVAL_S = 0.005
MIN_SCHEDULING_DELAY_US = 3_000  # shorter delays of the emulator's event loop are not recorded
DRAIN_DURATION_S = 3.0  # from the announcement that a backend drains until it stops
DRAIN_AFTER_PAUSE_S = 2.5  # a drain announced during a gateway's pause lasts this long after the pause
EARLY_LIBRARY = "_socket."  # part of the file name of a library that a gateway loads early in its start
FINAL_WAIT_S = 1.0  # after the last response, so that requests that gateways send too late are observed
REGISTRY = "registry"


class Environment:
    """All parties of a scenario run. All but the gateways share this process.

    Each method `do_<action>` carries out the action of that name in a scenario file; its parameters are the keys of
    the file, and durations end in `_s`.
    """

    def __init__(self, scenario: Scenario, seed: int, seconds: float, folder: Path) -> None:
        self.scenario, self.seed, self.seconds = scenario, seed, seconds
        self.time_scale = seconds / scenario.seconds
        self.rng = random.Random(f"{seed}/{scenario.name}")
        self.event_log = EventLog()
        self.rules = Rules(
            attempts=scenario.attempts, second_copies=scenario.second_copies, memory_mib=scenario.memory_mib,
            sockets=scenario.sockets,
        )  # fmt: skip
        self.classes = CLASSES | {"hold": replace(CLASSES["hold"], window_us=int(scenario.window_s * 1e6))}
        self.event_log.add(rule_overrides(self.rules, self.classes))
        self.backend_type = BackendType(
            cores=scenario.cores, cold_share=scenario.cold_share, warm_up_us=int(scenario.warm_s * 1e6),
            configured_warm_up_us=int(scenario.warm_told_s * 1e6), work_hint_factor=scenario.hint,
            idle_timeout_us=int(scenario.idle_s * 1e6),
        )  # fmt: skip
        self.network = Network(seed)
        self.registry = Registry(self.event_log, seed)
        self.connection_balancer = ConnectionBalancer(seed)
        capacity = scenario.boxes * scenario.cores * 1e6 / MEAN_WORK_US
        self.request_rate = scenario.load * capacity
        client_profile = ClientProfile(
            key_count=scenario.keys, popular_key_share=scenario.popular, work_hint_factor=scenario.hint
        )
        self.clients = LoadGenerator(
            self.event_log, self.connection_balancer, seed, self.request_rate, client_profile
        )
        self.idempotency_stores = [
            IdempotencyStore(n, self.classes["hold"].window_us) for n in range(scenario.shelves)
        ]
        self.backends: dict[str, Backend] = {}
        self.registry_entries: dict[str, Entry] = {}
        self.links: dict[tuple[str, str], TcpLink] = {}  # by gateway and backend
        self.registry_listeners: dict[str, RegistryListener] = {}
        self.faulted_backends: set[str] = set()  # names
        self.tasks: set[asyncio.Task[Any]] = set()
        self.on_progress: Callable[[str], None] = lambda text: None
        self.task_errors: list[BaseException] = []
        self.logged_defects: list[str] = []  # lines of the gateways' logs that report a defect
        self.gateways = [
            Gateway(
                f"n{n}",
                n % len(ZONES),
                folder,
                self.configuration_builder(n),
                self.event_log,
                self.on_ready,
                self.on_exit,
                max_descriptors=scenario.sockets,
                has_ops_address=scenario.ops,
            )  # fmt: skip
            for n in range(scenario.gateways)
        ]
        self.fleet = Fleet(self.gateways)
        has_peer_messages = scenario.duties or scenario.sharing
        self.mesh = Mesh(self.network, scenario.gateways, has_watcher=False) if has_peer_messages else None
        self.gateway_command: tuple[str, ...] = GATEWAY_COMMAND

    def use_gateway_command(self, command: tuple[str, ...]) -> None:
        """Run this command in place of the gateway's usual one."""
        self.gateway_command = command
        for gateway in self.gateways:
            gateway.command = command

    # Setup

    async def build(self) -> None:
        """Start backends, registry and links, and write the gateways' options."""
        if self.mesh is not None:
            await self.mesh.open()
            for gateway in self.gateways:
                options = gateway.folder / f"{gateway.name}.options.toml"
                voters = 5 if len(self.gateways) >= 5 else 3
                text = f"[duties]\nvoters = {voters}\n" if self.scenario.duties else ""
                text += "[sharing]\n" if self.scenario.sharing else ""
                options.write_text(text)
                gateway.environment |= {"CLOVERKEEL_OPTIONS": str(options)}
        for number in range(self.scenario.boxes):
            await self.add_backend(f"s-{number}", number % len(ZONES), warms_up=False, lag_s=None)
        await self.build_registry()

    async def build_registry(self) -> None:
        """Start a listener of the registry for each gateway, and a link to it."""
        for gateway in self.gateways:
            name = gateway.name
            self.registry_listeners[name] = await self.registry.open_listener(
                name, self.address_resolver(name), self.link_waiter(name)
            )
            link = self.network.add_tcp_link(name, REGISTRY, lambda name=name: self.registry_listeners[name].address)  # type: ignore[misc]
            link.open()
            self.links[name, REGISTRY] = link

    async def add_backend(
        self, name: str, zone_index: int, warms_up: bool, lag_s: float | None, port: int = 0
    ) -> Backend:
        """Start a backend. The registry lists it after `lag_s`, or at once if that is None."""
        store = self.idempotency_stores[len(self.backends) // len(ZONES) % len(self.idempotency_stores)]
        backend = Backend(
            name, zone_index, store, self.event_log, self.network, self.backend_type, self.rules, self.seed,
            lambda is_up: self.on_listening(name, is_up),
        )  # fmt: skip
        self.backends[name] = backend
        for gateway in self.gateways:
            link = self.network.add_tcp_link(
                gateway.name, name, lambda: backend.address if backend.server is not None else None
            )
            self.links[gateway.name, name] = link
        await backend.start(warms_up, port)
        self.register(backend, lag_s)
        return backend

    def register(self, backend: Backend, lag_s: float | None) -> None:
        """List a backend in the registry after `lag_s`, or at once if that is None."""
        since_ms = backend.started_us // 1000 if backend.needs_warmup else 0
        entry = Entry(
            backend.name, ZONES[backend.zone_index], self.backend_type.name, backend.idempotency_store.group, since_ms
        )
        self.registry_entries[backend.name] = entry
        if lag_s is None:
            self.registry.add_entry(entry)
        else:
            self.registry.schedule_change(entry, "SERVING", lag_s)

    def on_listening(self, name: str, is_up: bool) -> None:
        """Open the links to a backend that listens, and refuse connections to one that does not."""
        for (_, backend_name), link in self.links.items():
            if backend_name == name:
                link.open() if is_up else link.refuse()

    def address_resolver(self, gateway: str) -> Callable[[str], Address | None]:
        """Return a function that maps a backend's name to the address at which this gateway reaches it."""

        def resolve(backend_name: str) -> Address | None:
            link = self.links.get((gateway, backend_name))
            return link.address if link is not None else None

        return resolve

    def link_waiter(self, gateway: str) -> Callable[[], Coroutine[Any, Any, None]]:
        """Return a coroutine function that waits while the gateway's link to the registry is cut."""

        async def wait() -> None:
            link = self.links[gateway, REGISTRY]
            while any(conditions.is_cut for conditions in link.conditions):
                await asyncio.sleep(0.02)

        return wait

    def configuration_builder(self, index: int) -> Callable[[], dict[str, Any]]:
        """Return a function that builds the current configuration of a gateway."""

        def build() -> dict[str, Any]:
            gateway = self.gateways[index]
            name = gateway.name
            discovery = self.links[name, REGISTRY].address
            known = []
            for entry in self.registry.entries.values():
                address = self.address_resolver(name)(entry.name)
                if address is not None:
                    known.append({"address": f"{address[0]}:{address[1]}"} | self.registry.to_record(entry))
            gateway_settings = settings(
                len(self.gateways), index, gateway.zone_index, self.backend_type, self.rules, self.classes
            )
            result = configuration(
                name, f"127.0.0.1:{gateway.port}", f"{discovery[0]}:{discovery[1]}",
                f"{self.seed}/{name}/{len(gateway.exit_codes)}", known, gateway_settings, self.rules,
            )  # fmt: skip
            if self.mesh is not None:
                gateway_settings["caps"]["peers"] = True
                listen = self.mesh.listen_addresses[index]
                result |= {"peer_listen": f"{listen[0]}:{listen[1]}", "peers": self.mesh.peers(index)}
            return result

        return build

    # Gateway processes

    def on_ready(self, gateway: Gateway) -> None:
        """Let clients open connections to a gateway that is ready."""
        self.connection_balancer.add(GatewayTarget(gateway.name, gateway.zone_index, gateway.address))

    def on_exit(self, gateway: Gateway) -> None:
        """Assign no new connections to a gateway whose process exited, once the balancer detects the failure."""
        self.connection_balancer.schedule_close_after_failure(gateway.name)

    async def restart(self, gateway: Gateway, kill: bool) -> None:
        """Restart a gateway, by SIGKILL or by an announced SIGTERM."""
        if not kill:
            self.connection_balancer.schedule_planned_close(gateway.name)
        await gateway.restart(kill)

    # The run

    async def run(self) -> None:
        """Run the scenario from the start of the gateways to their exit. The event log holds the observations."""
        await self.build()
        delay_recorder = self.spawn(self.record_scheduling_delays())
        with self.fleet:
            try:
                self.fleet.start()
                if not await self.fleet.wait_until_ready(self.event_log):
                    raise RuntimeError("not every gateway became ready; see its log")
                start = asyncio.get_running_loop().time()
                injections = [self.spawn(self.inject_fault(start, fault)) for fault in self.scenario.faults]
                await self.clients.run(self.seconds)
                for task in injections:
                    if not task.done():
                        await asyncio.wait((task,), timeout=10.0)
                await asyncio.sleep(FINAL_WAIT_S)
                await self.fleet.stop()
                self.logged_defects = [line for gateway in self.gateways for line in gateway.defect_lines()]
                if self.task_errors:
                    raise self.task_errors[0]
            finally:
                delay_recorder.cancel()
                self.close()

    def close(self) -> None:
        """Stop all parties of this process."""
        for task in list(self.tasks):
            task.cancel()
        self.clients.close()
        self.registry.close()
        for backend in self.backends.values():
            backend.on_listening = lambda is_up: None
            if backend.server is not None:
                backend.crash("drained")
        self.network.close()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task; the run fails if the task does."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.on_task_done)
        return task

    def on_task_done(self, task: asyncio.Task[None]) -> None:
        """Keep the error of a task that failed."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.task_errors.append(error)

    async def record_scheduling_delays(self) -> None:
        """Record stalls of this process, so that the checker does not blame gateways for its late observations."""
        last_us = now_us()
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            now = now_us()
            delay_us = now - last_us - int(STALL_CHECK_INTERVAL_S * 1e6)
            if delay_us > MIN_SCHEDULING_DELAY_US:
                self.event_log.add(SchedulingDelay(now, delay_us))
            last_us = now

    async def inject_fault(self, start_s: float, fault: Fault) -> None:
        """Wait for a fault's time and carry it out."""
        await asyncio.sleep(max(0.0, start_s + fault.at_s * self.time_scale - asyncio.get_running_loop().time()))
        arguments = dict(fault.arguments)
        for key in ("for", "over"):
            if key in arguments:
                arguments[f"{key}_s"] = arguments.pop(key) * self.time_scale
        text = fault.action + "".join(f" {key}={value}" for key, value in arguments.items())
        self.event_log.add(FaultInjected(now_us(), text))
        self.on_progress(text)
        await getattr(self, f"do_{fault.action}")(**arguments)

    def choose_backends(self, count: int) -> list[Backend]:
        """Return running backends that no other fault affects; at least one is left unaffected."""
        candidates = [
            backend
            for backend in self.backends.values()
            if backend.server is not None and backend.name not in self.faulted_backends
        ]
        chosen = self.rng.sample(candidates, min(count, max(0, len(candidates) - 1)))
        self.faulted_backends.update(backend.name for backend in chosen)
        return chosen

    def expand_parties(self, parties: Sequence[str]) -> list[str]:
        """Return the names of parties; a zone's name stands for its backends and gateways."""
        names: list[str] = []
        for party in parties:
            if party in ZONES:
                zone_index = ZONES.index(party)
                names += [backend.name for backend in self.backends.values() if backend.zone_index == zone_index]
                names += [gateway.name for gateway in self.gateways if gateway.zone_index == zone_index]
            elif party == REGISTRY or party in self.backends or party in {g.name for g in self.gateways}:
                names.append(party)
            else:
                raise ValueError(f"{self.scenario.name}: there is no party {party!r} in this scenario")
        return names

    # Faults of backends

    async def do_crash(self, for_s: float, boxes: int = 1, renamed: bool = False) -> None:
        """Kill backends, and restart them; with `renamed`, new backends take their place."""
        chosen = self.choose_backends(boxes)
        for backend in chosen:
            backend.crash()
            self.registry.schedule_change(self.registry_entries[backend.name], "DELETED")
        await asyncio.sleep(for_s)
        for backend in chosen:
            await self.restart_backend(backend, renamed)

    async def restart_backend(self, backend: Backend, renamed: bool = False) -> None:
        """Start a stopped backend, which warms up again, or with `renamed` one of a new name."""
        lag_s = self.rng.uniform(0.2, 2.0)
        if renamed:
            await self.add_backend(
                f"{backend.name}r{backend.incarnation}", backend.zone_index, warms_up=True, lag_s=lag_s
            )
            return
        await backend.start(needs_warmup=True)
        self.register(backend, lag_s)
        self.faulted_backends.discard(backend.name)

    async def do_silent(self, for_s: float, boxes: int = 1) -> None:
        """Stop backends without a close of their connections, as when a machine loses power."""
        chosen = self.choose_backends(boxes)
        for backend in chosen:
            self.isolate_backend(backend)
            # The registry is not notified; it detects the loss after some seconds.
            self.registry.schedule_change(
                self.registry_entries[backend.name], "DELETED", self.rng.uniform(4.0, 8.0) * self.time_scale
            )
        await asyncio.sleep(for_s)
        for backend in chosen:
            self.reset_backend_links(backend)
            backend.crash("silent")
            await self.restart_backend(backend)

    def isolate_backend(self, backend: Backend) -> None:
        """Silence a backend and cut all links to it."""
        backend.set_silent(True)
        for (_, name), link in self.links.items():
            if name == backend.name:
                link.cut()

    def reset_backend_links(self, backend: Backend) -> None:
        """Restore all links to a backend, and reset their connections."""
        for (_, name), link in self.links.items():
            if name == backend.name:
                link.heal(reset=True)

    async def apply_backend_faults(self, count: int, for_s: float, **faults: Any) -> None:
        """Let backends misbehave for some time."""
        chosen = self.choose_backends(count)
        for backend in chosen:
            backend.faults = replace(backend.faults, **faults)
            if faults.get("hang"):
                self.event_log.add(BackendStopped(now_us(), backend.name, backend.incarnation, "hang"))
        await asyncio.sleep(for_s)
        for backend in chosen:
            backend.faults = type(backend.faults)()
            self.faulted_backends.discard(backend.name)

    async def do_hang(self, for_s: float, boxes: int = 1) -> None:
        """Let backends accept requests and answer none."""
        await self.apply_backend_faults(boxes, for_s, hang=True)

    async def do_slow(self, for_s: float, boxes: int = 1, factor: float = 3.0) -> None:
        """Let requests take `factor` times as long."""
        await self.apply_backend_faults(boxes, for_s, slowdown_factor=factor)

    async def do_errors(self, for_s: float, boxes: int = 1, share: float = 0.3) -> None:
        """Let backends answer a share of the requests with an error."""
        await self.apply_backend_faults(boxes, for_s, error_share=share)

    async def do_spoil(self, for_s: float, boxes: int = 1, share: float = 0.2, kind: str = "") -> None:
        """Let backends corrupt a share of their responses; `kind` says how."""
        await self.apply_backend_faults(boxes, for_s, malformed_share=share, malformed_kind=kind)

    async def do_late(self, for_s: float, boxes: int = 1, share: float = 0.3) -> None:
        """Let backends delay a share of their responses beyond the deadline."""
        await self.apply_backend_faults(boxes, for_s, late_share=share)

    async def do_reset(self, for_s: float, boxes: int = 1, share: float = 0.3, at_byte: int = 20) -> None:
        """Let backends reset the connection at this byte of a share of their responses."""
        await self.apply_backend_faults(boxes, for_s, reset_share=share, reset_at_byte=at_byte)

    async def drain_and_stop(self, backend: Backend) -> None:
        """Stop a backend as planned: the registry announces the drain, and the backend finishes its requests."""
        backend.is_leaving = True
        self.registry.schedule_change(self.registry_entries[backend.name], "DRAINING", self.rng.uniform(0.1, 0.5))
        await asyncio.sleep(DRAIN_DURATION_S)
        backend.faults.drain = True
        end = asyncio.get_running_loop().time() + 2.0
        while backend.jobs and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        backend.crash("drained")
        self.registry.schedule_change(self.registry_entries[backend.name], "DELETED")

    async def do_drain(self, for_s: float, boxes: int = 1) -> None:
        """Drain and stop backends, and restart them later."""
        chosen = self.choose_backends(boxes)
        await asyncio.gather(*(self.drain_and_stop(backend) for backend in chosen))
        await asyncio.sleep(for_s)
        for backend in chosen:
            await self.restart_backend(backend)

    async def do_shrink(self, boxes: int, for_s: float, over_s: float = 10.0) -> None:
        """Drain and stop backends one after another over some time, and restart them later."""
        chosen = self.choose_backends(boxes)

        async def drain_later(backend: Backend, wait_s: float) -> None:
            await asyncio.sleep(wait_s)
            await self.drain_and_stop(backend)

        await asyncio.gather(*(drain_later(backend, over_s * n / len(chosen)) for n, backend in enumerate(chosen)))
        await asyncio.sleep(max(0.0, for_s - over_s))
        for backend in chosen:
            await self.restart_backend(backend)

    async def do_join(self, boxes: int = 1) -> None:
        """Add backends, which warm up first."""
        for _ in range(boxes):
            number = len(self.backends)
            await self.add_backend(
                f"s-{number}", number % len(ZONES), warms_up=True, lag_s=self.rng.uniform(0.2, 2.0)
            )

    async def do_take_address(self, for_s: float) -> None:
        """Kill a backend, and at once start one of another name at its address."""
        for backend in self.choose_backends(1):
            address = backend.address
            assert address is not None
            backend.crash()
            self.registry.schedule_change(self.registry_entries[backend.name], "DELETED")
            successor = f"{backend.name}h"
            lag_s = self.rng.uniform(0.2, 1.0)
            await self.add_backend(successor, backend.zone_index, warms_up=True, lag_s=lag_s, port=address[1])
            for gateway in self.gateways:
                # Gateways reach backends by links: the address that a gateway knows must lead to the successor.
                self.links[gateway.name, successor].swap_address_with(self.links[gateway.name, backend.name])
            await asyncio.sleep(for_s)

    # Faults of gateways

    async def do_wave(
        self, share: float = 0.9, over_s: float = 10.0, at_once: float = 0.3, kill: bool = False
    ) -> None:
        """Restart a share of the gateways over some time, at most the share `at_once` at the same moment."""
        chosen = self.gateways[: max(1, round(share * len(self.gateways)))]
        semaphore = asyncio.Semaphore(max(1, int(at_once * len(self.gateways))))

        async def restart_later(gateway: Gateway, wait_s: float) -> None:
            await asyncio.sleep(wait_s)
            async with semaphore:
                await self.restart(gateway, kill)

        await asyncio.gather(*(restart_later(g, over_s * n / len(chosen)) for n, g in enumerate(chosen)))

    async def do_pause(self, for_s: float, gateways: int = 1, drain: bool = False) -> None:
        """Stop gateways by SIGSTOP. With `drain`, the registry announces meanwhile that as many backends drain.

        These backends keep answering, so that requests that a gateway sends to them too late are observed.
        """
        running = [gateway for gateway in self.gateways if gateway.is_running and not gateway.is_stopped]
        chosen = self.rng.sample(running, min(gateways, len(running)))
        for gateway in chosen:
            gateway.send_signal(Signals.SIGSTOP)
        draining = self.choose_backends(len(chosen)) if drain else []
        announcements = [
            self.spawn(self.announce_drain(backend, self.rng.uniform(0.1, 0.9) * for_s)) for backend in draining
        ]
        await asyncio.sleep(for_s)
        for gateway in chosen:
            gateway.send_signal(Signals.SIGCONT)
        await asyncio.sleep(DRAIN_AFTER_PAUSE_S if drain else 0.0)
        await asyncio.gather(*announcements)
        for backend in draining:
            self.end_announced_drain(backend)

    async def announce_drain(self, backend: Backend, wait_s: float) -> None:
        """Announce after a while that a backend drains; the backend goes on answering."""
        await asyncio.sleep(wait_s)
        self.registry.schedule_change(self.registry_entries[backend.name], "DRAINING", 0.0)

    def end_announced_drain(self, backend: Backend) -> None:
        """Announce that a backend serves again."""
        self.registry.schedule_change(self.registry_entries[backend.name], "SERVING", 0.0)
        self.faulted_backends.discard(backend.name)

    async def do_early(self, signal: str = "HUP") -> None:
        """Signal a gateway during its start, when it loads libraries and does not serve yet."""
        gateway = self.rng.choice([gateway for gateway in self.gateways if gateway.is_running])
        gateway.send_signal(Signals.SIGKILL)
        await gateway.wait_for_exit(5.0)
        gateway.start()
        end = asyncio.get_running_loop().time() + 5.0
        while not gateway.has_loaded(EARLY_LIBRARY) and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.001)
        gateway.send_signal(Signals[f"SIG{signal}"])
        if signal == "TERM":
            await gateway.wait_for_exit(5.0)
            gateway.start()

    # Actions of operators, at the gateways' admin address

    async def call_admin(self, gateway: Gateway, command: str) -> None:
        """Send an admin command; RuntimeError if the gateway does not acknowledge it."""
        response = await gateway.send_ops_command(command)
        if not response.startswith("ACK"):
            raise RuntimeError(f"{gateway.name}: {command}: expected ACK, found {response!r}")

    async def do_suspend(self, for_s: float, boxes: int = 1) -> None:
        """Eject backends by hand at every gateway, restart them meanwhile, and reinstate them."""
        chosen, ejections = self.choose_backends(boxes), list[ManualEjection]()
        for backend in chosen:
            for gateway in self.gateways:
                await self.call_admin(gateway, f"SUSPEND {backend.name}")
                ejections.append(ManualEjection(now_us(), gateway.name, backend.name))
                self.event_log.add(ejections[-1])
        await asyncio.sleep(for_s / 2)
        for backend in chosen:
            backend.crash("drained")
            await backend.start(needs_warmup=True)
            self.register(backend, self.rng.uniform(0.2, 2.0))
        await asyncio.sleep(for_s / 2)
        for ejection in ejections:
            ejection.until_us = now_us()
            await self.call_admin(
                next(g for g in self.gateways if g.name == ejection.gateway), f"RESTORE {ejection.backend}"
            )
        self.faulted_backends.difference_update(backend.name for backend in chosen)

    async def do_empty(self, for_s: float, gateways: int = 1) -> None:
        """Pause the acceptance of clients at gateways, and resume it; at least one gateway is not paused."""
        chosen = self.rng.sample(self.gateways, min(gateways, len(self.gateways) - 1))
        for gateway in chosen:
            await self.call_admin(gateway, "PAUSE")
            self.connection_balancer.schedule_planned_close(gateway.name)
        await asyncio.sleep(for_s)
        for gateway in chosen:
            await self.call_admin(gateway, "RESUME")
            self.on_ready(gateway)

    async def do_upgrade(self, gateways: int = 1) -> None:
        """Replace gateway processes one after another, each by a new one at the same address."""
        for gateway in self.rng.sample(self.gateways, min(gateways, len(self.gateways))):
            await gateway.upgrade()

    # Faults of the registry

    async def do_registry_down(self, for_s: float, how: str = "503") -> None:
        """Let the registry answer with 503, reset connections or answer nothing."""
        await self.registry.set_outage_mode(how)
        await asyncio.sleep(for_s)
        await self.registry.set_outage_mode("")

    async def do_registry_garbled(self, for_s: float) -> None:
        """Let the registry send lists that cannot be read."""
        self.registry.faults.has_garbled_lists = True
        await asyncio.sleep(for_s)
        self.registry.faults.has_garbled_lists = False

    async def do_registry_back(self, by: int = 3) -> None:
        """Decrease the registry's index by `by`, as when the registry is restored from a backup."""
        self.registry.roll_back_index(by)

    async def do_registry_moves(self) -> None:
        """Move the registry to new addresses, and reload the gateways' configuration."""
        for gateway in self.gateways:
            listener = self.registry_listeners[gateway.name]
            old_link = self.links[gateway.name, REGISTRY]
            await self.registry.move_listener(listener)
            link = self.network.add_tcp_link(gateway.name, REGISTRY, lambda listener=listener: listener.address)  # type: ignore[misc]
            link.open()
            self.links[gateway.name, REGISTRY] = link
            gateway.write_configuration()
            gateway.send_signal(Signals.SIGHUP)
            old_link.refuse()

    # Faults of the network and of clients

    async def do_partition(
        self, one: list[str], other: list[str], for_s: float, one_way: bool = False, reset: bool = False
    ) -> None:
        """Cut the links between two sets of parties, and restore them; with `reset`, connections are reset then."""
        first, second = self.expand_parties(one), self.expand_parties(other)
        self.network.partition(first, second, one_way)
        await asyncio.sleep(for_s)
        for link in self.network.links_between(first, second):
            link.heal(reset)

    async def do_slow_network(
        self, one: list[str], other: list[str], for_s: float, delay_ms: float = 5.0, jitter_ms: float = 5.0,
        loss: float = 0.0,
    ) -> None:  # fmt: skip
        """Delay and lose data between two sets of parties."""
        links = self.network.links_between(self.expand_parties(one), self.expand_parties(other))
        for link in links:
            for conditions in link.conditions:
                conditions.delay_us, conditions.jitter_us = int(delay_ms * 1000), int(jitter_ms * 1000)
                conditions.loss = loss
        await asyncio.sleep(for_s)
        defaults = LinkConditions()
        for link in links:
            for conditions in link.conditions:
                conditions.delay_us, conditions.jitter_us = defaults.delay_us, defaults.jitter_us
                conditions.loss = defaults.loss

    async def do_rude(self, for_s: float, rate: float = 10.0, kind: str = "") -> None:
        """Start clients that break the protocol, `rate` a second on average; `kind` says how."""
        loop = asyncio.get_running_loop()
        end, tasks = loop.time() + for_s, list[asyncio.Task[Any]]()
        while loop.time() < end:
            target = self.connection_balancer.pick_target(self.rng.randrange(len(ZONES)))
            if target is not None:
                tasks.append(
                    loop.create_task(
                        send_misbehaving_request(
                            self.event_log, target, self.rng, kind, self.clients.pick_open_request_id
                        )
                    )
                )
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)

    async def do_surge(self, for_s: float, factor: float) -> None:
        """Multiply the request rate of the clients by `factor`."""
        self.clients.operations_per_s = self.request_rate * factor
        await asyncio.sleep(for_s)
        self.clients.operations_per_s = self.request_rate
