"""One play: boxes, registry, network, clients and real gateways, and the troubles of a scenario on time."""

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
from standins.playing.scenario import Scenario
from standins.playing.scenario import Trouble as Planned
from standins.site import CLASSES, MEAN_WORK_US, ROOMS, BoxKind, Rules, configuration, settings, terms

BEAT_S = 0.005  # between looks whether this process stood still
LATE_US = 3_000  # past a beat: noted as a lag
DRAINS_S = 3.0  # from a box's word that it drains to its end
AFTER_PAUSE_S = 2.5  # from a gateway's waking to the end of a drain that was told meanwhile
EARLY_LIBRARY = "_socket."  # part of the name of a library that is loaded early in a gateway's start
QUIET_S = 1.0  # after the last answer: what was sent late shows itself
REGISTRY = "registry"


class World:
    """All parties of a play, in one process but for the gateways."""

    def __init__(self, scenario: Scenario, seed: int, seconds: float, folder: Path) -> None:
        self.scenario, self.seed, self.seconds = scenario, seed, seconds
        self.scale = seconds / scenario.seconds
        self.dice = random.Random(f"{seed}/{scenario.name}")
        self.ledger = EventLog()
        self.rules = Rules(
            attempts=scenario.attempts, second_copies=scenario.second_copies, memory_mib=scenario.memory_mib,
            sockets=scenario.sockets,
        )  # fmt: skip
        self.classes = CLASSES | {"hold": replace(CLASSES["hold"], window_us=int(scenario.window_s * 1e6))}
        self.ledger.add(terms(self.rules, self.classes))
        self.kind = BoxKind(
            cores=scenario.cores, cold_share=scenario.cold_share, warm_us=int(scenario.warm_s * 1e6),
            warm_told_us=int(scenario.warm_told_s * 1e6), hint=scenario.hint,
            idle_us=int(scenario.idle_s * 1e6),
        )  # fmt: skip
        self.network = Network(seed)
        self.registry = Registry(self.ledger, seed)
        self.front = ConnectionBalancer(seed)
        capacity = scenario.boxes * scenario.cores * 1e6 / MEAN_WORK_US
        self.rate = scenario.load * capacity
        habits = ClientProfile(
            key_count=scenario.keys, popular_key_share=scenario.popular, work_hint_factor=scenario.hint
        )
        self.clients = LoadGenerator(self.ledger, self.front, seed, self.rate, habits)
        self.shelves = [IdempotencyStore(n, self.classes["hold"].window_us) for n in range(scenario.shelves)]
        self.boxes: dict[str, Backend] = {}
        self.entries: dict[str, Entry] = {}
        self.links: dict[tuple[str, str], TcpLink] = {}  # gateway, box
        self.views: dict[str, RegistryListener] = {}
        self.busy: set[str] = set()  # boxes that some trouble has
        self.tasks: set[asyncio.Task[Any]] = set()
        self.on_progress: Callable[[str], None] = lambda text: None
        self.failures: list[BaseException] = []
        self.faults: list[str] = []  # what gateways' logs tell of defects
        self.gateways = [
            Gateway(
                f"n{n}",
                n % len(ROOMS),
                folder,
                self.configure(n),
                self.ledger,
                self.on_ready,
                self.on_exit,
                max_descriptors=scenario.sockets,
                has_ops_address=scenario.ops,
            )  # fmt: skip
            for n in range(scenario.gateways)
        ]
        self.fleet = Fleet(self.gateways)
        talk = scenario.duties or scenario.sharing
        self.mesh = Mesh(self.network, scenario.gateways, has_watcher=False) if talk else None
        self.program: tuple[str, ...] = GATEWAY_COMMAND

    def use(self, program: tuple[str, ...]) -> None:
        """Play another program than the gateway as it stands."""
        self.program = program
        for gateway in self.gateways:
            gateway.command = program

    # Making it

    async def build(self) -> None:
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
            await self.add_box(f"s-{number}", number % len(ROOMS), cold=False, lag_s=None)
        await self.build_registry()

    async def build_registry(self) -> None:
        for gateway in self.gateways:
            name = gateway.name
            self.views[name] = await self.registry.open_listener(name, self.address_for(name), self.gate(name))
            link = self.network.add_tcp_link(name, REGISTRY, lambda name=name: self.views[name].address)  # type: ignore[misc]
            link.open()
            self.links[name, REGISTRY] = link

    async def add_box(self, name: str, room: int, cold: bool, lag_s: float | None, port: int = 0) -> Backend:
        """A box that runs; with a lag the registry hears of it later, else it knows it from the start."""
        shelf = self.shelves[len(self.boxes) // len(ROOMS) % len(self.shelves)]
        box = Backend(
            name, room, shelf, self.ledger, self.network, self.kind, self.rules, self.seed,
            lambda up: self.on_listening(name, up),
        )  # fmt: skip
        self.boxes[name] = box
        for gateway in self.gateways:
            link = self.network.add_tcp_link(
                gateway.name, name, lambda: box.address if box.server is not None else None
            )
            self.links[gateway.name, name] = link
        await box.start(cold, port)
        self.register(box, lag_s)
        return box

    def register(self, box: Backend, lag_s: float | None) -> None:
        since_ms = box.started_us // 1000 if box.needs_warmup else 0
        entry = Entry(box.name, ROOMS[box.room], self.kind.name, box.idempotency_store.group, since_ms)
        self.entries[box.name] = entry
        if lag_s is None:
            self.registry.add_entry(entry)
        else:
            self.registry.schedule_change(entry, "SERVING", lag_s)

    def on_listening(self, name: str, up: bool) -> None:
        for (_, box), link in self.links.items():
            if box == name:
                link.open() if up else link.refuse()

    def address_for(self, gateway: str) -> Callable[[str], Address | None]:
        def address(box: str) -> Address | None:
            link = self.links.get((gateway, box))
            return link.address if link is not None else None

        return address

    def gate(self, gateway: str) -> Callable[[], Coroutine[Any, Any, None]]:
        async def wait() -> None:
            link = self.links[gateway, REGISTRY]
            while any(conditions.is_cut for conditions in link.conditions):
                await asyncio.sleep(0.02)

        return wait

    def configure(self, number: int) -> Callable[[], dict[str, Any]]:
        def write() -> dict[str, Any]:
            gateway = self.gateways[number]
            name = gateway.name
            discovery = self.links[name, REGISTRY].address
            known = []
            for entry in self.registry.entries.values():
                address = self.address_for(name)(entry.name)
                if address is not None:
                    known.append({"address": f"{address[0]}:{address[1]}"} | self.registry.to_record(entry))
            told = settings(len(self.gateways), number, gateway.room, self.kind, self.rules, self.classes)
            made = configuration(
                name, f"127.0.0.1:{gateway.port}", f"{discovery[0]}:{discovery[1]}",
                f"{self.seed}/{name}/{len(gateway.exit_codes)}", known, told, self.rules,
            )  # fmt: skip
            if self.mesh is not None:
                told["caps"]["peers"] = True
                listen = self.mesh.listen_addresses[number]
                made |= {"peer_listen": f"{listen[0]}:{listen[1]}", "peers": self.mesh.peers(number)}
            return made

        return write

    # Gateways come and go

    def on_ready(self, gateway: Gateway) -> None:
        self.front.add(GatewayTarget(gateway.name, gateway.room, gateway.address))

    def on_exit(self, gateway: Gateway) -> None:
        self.front.schedule_close_after_failure(gateway.name)

    async def restart(self, gateway: Gateway, kill: bool) -> None:
        if not kill:
            self.front.schedule_planned_close(gateway.name)
        await gateway.restart(kill)

    # Playing

    async def play(self) -> None:
        """From the start of the gateways to their end. The ledger has what was seen."""
        await self.build()
        beat = self.spawn(self.watch_lag())
        with self.fleet:
            try:
                self.fleet.start()
                if not await self.fleet.wait_until_ready(self.ledger):
                    raise RuntimeError("not every gateway became ready; see its log")
                start = asyncio.get_running_loop().time()
                planned = [self.spawn(self.on_time(start, trouble)) for trouble in self.scenario.troubles]
                await self.clients.run(self.seconds)
                for task in planned:
                    if not task.done():
                        await asyncio.wait((task,), timeout=10.0)
                await asyncio.sleep(QUIET_S)
                await self.fleet.stop()
                self.faults = [fault for gateway in self.gateways for fault in gateway.defect_lines()]
                if self.failures:
                    raise self.failures[0]
            finally:
                beat.cancel()
                self.close()

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        self.clients.close()
        self.registry.close()
        for box in self.boxes.values():
            box.on_listening = lambda up: None
            if box.server is not None:
                box.crash("drained")
        self.network.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.forget)
        return task

    def forget(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.failures.append(error)

    async def watch_lag(self) -> None:
        """Guards against false alarms: what came while this process stood still was seen late."""
        last_us = now_us()
        while True:
            await asyncio.sleep(BEAT_S)
            now = now_us()
            late_us = now - last_us - int(BEAT_S * 1e6)
            if late_us > LATE_US:
                self.ledger.add(SchedulingDelay(now, late_us))
            last_us = now

    async def on_time(self, start: float, planned: Planned) -> None:
        await asyncio.sleep(max(0.0, start + planned.at * self.scale - asyncio.get_running_loop().time()))
        keys = dict(planned.keys)
        for key in ("for", "over"):
            if key in keys:
                keys[f"{key}_s"] = keys.pop(key) * self.scale
        text = planned.do + "".join(f" {key}={value}" for key, value in keys.items())
        self.ledger.add(FaultInjected(now_us(), text))
        self.on_progress(text)
        await getattr(self, f"do_{planned.do}")(**keys)

    def choose(self, count: int) -> list[Backend]:
        """Boxes that run and that no other trouble has; at least one is left alone."""
        free = [box for box in self.boxes.values() if box.server is not None and box.name not in self.busy]
        chosen = self.dice.sample(free, min(count, max(0, len(free) - 1)))
        self.busy.update(box.name for box in chosen)
        return chosen

    def expand(self, parties: Sequence[str]) -> list[str]:
        """Names of parties; a room stands for its boxes and gateways."""
        names: list[str] = []
        for party in parties:
            if party in ROOMS:
                room = ROOMS.index(party)
                names += [box.name for box in self.boxes.values() if box.room == room]
                names += [gateway.name for gateway in self.gateways if gateway.room == room]
            elif party == REGISTRY or party in self.boxes or party in {g.name for g in self.gateways}:
                names.append(party)
            else:
                raise ValueError(f"{self.scenario.name}: there is no party {party!r} in this play")
        return names

    # Troubles of boxes

    async def do_crash(self, for_s: float, boxes: int = 1, renamed: bool = False) -> None:
        chosen = self.choose(boxes)
        for box in chosen:
            box.crash()
            self.registry.schedule_change(self.entries[box.name], "DELETED")
        await asyncio.sleep(for_s)
        for box in chosen:
            await self.come_back(box, renamed)

    async def come_back(self, box: Backend, renamed: bool = False) -> None:
        lag_s = self.dice.uniform(0.2, 2.0)
        if renamed:
            await self.add_box(f"{box.name}r{box.incarnation}", box.room, cold=True, lag_s=lag_s)
            return
        await box.start(needs_warmup=True)
        self.register(box, lag_s)
        self.busy.discard(box.name)

    async def do_silent(self, for_s: float, boxes: int = 1) -> None:
        chosen = self.choose(boxes)
        for box in chosen:
            self.cut_off(box)
            # Nobody tells the registry; it finds out.
            self.registry.schedule_change(self.entries[box.name], "DELETED", self.dice.uniform(4.0, 8.0) * self.scale)
        await asyncio.sleep(for_s)
        for box in chosen:
            self.reset_links(box)
            box.crash("silent")
            await self.come_back(box)

    def cut_off(self, box: Backend) -> None:
        box.set_silent(True)
        for (_, name), link in self.links.items():
            if name == box.name:
                link.cut()

    def reset_links(self, box: Backend) -> None:
        for (_, name), link in self.links.items():
            if name == box.name:
                link.heal(reset=True)

    async def with_faults(self, boxes: int, for_s: float, **faults: Any) -> None:
        chosen = self.choose(boxes)
        for box in chosen:
            box.faults = replace(box.faults, **faults)
            if faults.get("hang"):
                self.ledger.add(BackendStopped(now_us(), box.name, box.incarnation, "hang"))
        await asyncio.sleep(for_s)
        for box in chosen:
            box.faults = type(box.faults)()
            self.busy.discard(box.name)

    async def do_hang(self, for_s: float, boxes: int = 1) -> None:
        await self.with_faults(boxes, for_s, hang=True)

    async def do_slow(self, for_s: float, boxes: int = 1, factor: float = 3.0) -> None:
        await self.with_faults(boxes, for_s, slowdown_factor=factor)

    async def do_errors(self, for_s: float, boxes: int = 1, share: float = 0.3) -> None:
        await self.with_faults(boxes, for_s, error_share=share)

    async def do_spoil(self, for_s: float, boxes: int = 1, share: float = 0.2, kind: str = "") -> None:
        await self.with_faults(boxes, for_s, malformed_share=share, malformed_kind=kind)

    async def do_late(self, for_s: float, boxes: int = 1, share: float = 0.3) -> None:
        await self.with_faults(boxes, for_s, late_share=share)

    async def do_reset(self, for_s: float, boxes: int = 1, share: float = 0.3, at_byte: int = 20) -> None:
        await self.with_faults(boxes, for_s, reset_share=share, reset_at_byte=at_byte)

    async def leave(self, box: Backend) -> None:
        """As a planned end goes: the registry hears of it, the box finishes what it has, then it is gone."""
        box.is_leaving = True
        self.registry.schedule_change(self.entries[box.name], "DRAINING", self.dice.uniform(0.1, 0.5))
        await asyncio.sleep(DRAINS_S)
        box.faults.drain = True
        end = asyncio.get_running_loop().time() + 2.0
        while box.jobs and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.02)
        box.crash("drained")
        self.registry.schedule_change(self.entries[box.name], "DELETED")

    async def do_drain(self, for_s: float, boxes: int = 1) -> None:
        chosen = self.choose(boxes)
        await asyncio.gather(*(self.leave(box) for box in chosen))
        await asyncio.sleep(for_s)
        for box in chosen:
            await self.come_back(box)

    async def do_shrink(self, boxes: int, for_s: float, over_s: float = 10.0) -> None:
        chosen = self.choose(boxes)

        async def one(box: Backend, wait_s: float) -> None:
            await asyncio.sleep(wait_s)
            await self.leave(box)

        await asyncio.gather(*(one(box, over_s * n / len(chosen)) for n, box in enumerate(chosen)))
        await asyncio.sleep(max(0.0, for_s - over_s))
        for box in chosen:
            await self.come_back(box)

    async def do_join(self, boxes: int = 1) -> None:
        for _ in range(boxes):
            number = len(self.boxes)
            await self.add_box(f"s-{number}", number % len(ROOMS), cold=True, lag_s=self.dice.uniform(0.2, 2.0))

    async def do_take_address(self, for_s: float) -> None:
        """A box dies, and at once another, of another name, is found at its address."""
        for box in self.choose(1):
            address = box.address
            assert address is not None
            box.crash()
            self.registry.schedule_change(self.entries[box.name], "DELETED")
            heir = f"{box.name}h"
            lag_s = self.dice.uniform(0.2, 1.0)
            await self.add_box(heir, box.room, cold=True, lag_s=lag_s, port=address[1])
            for gateway in self.gateways:
                # The links too: what a gateway knew as the one's address is the other's from now on.
                self.links[gateway.name, heir].swap_address_with(self.links[gateway.name, box.name])
            await asyncio.sleep(for_s)

    # Troubles of gateways

    async def do_wave(
        self, share: float = 0.9, over_s: float = 10.0, at_once: float = 0.3, kill: bool = False
    ) -> None:
        chosen = self.gateways[: max(1, round(share * len(self.gateways)))]
        gate = asyncio.Semaphore(max(1, int(at_once * len(self.gateways))))

        async def one(gateway: Gateway, wait_s: float) -> None:
            await asyncio.sleep(wait_s)
            async with gate:
                await self.restart(gateway, kill)

        await asyncio.gather(*(one(g, over_s * n / len(chosen)) for n, g in enumerate(chosen)))

    async def do_pause(self, for_s: float, gateways: int = 1, drain: bool = False) -> None:
        """Gateways stand still; with `drain`, as many boxes are told to drain meanwhile, and go on answering."""
        awake = [gateway for gateway in self.gateways if gateway.is_running and not gateway.is_stopped]
        chosen = self.dice.sample(awake, min(gateways, len(awake)))
        for gateway in chosen:
            gateway.send_signal(Signals.SIGSTOP)
        boxes = self.choose(len(chosen)) if drain else []
        tellings = [self.spawn(self.tell_drain(box, self.dice.uniform(0.1, 0.9) * for_s)) for box in boxes]
        await asyncio.sleep(for_s)
        for gateway in chosen:
            gateway.send_signal(Signals.SIGCONT)
        await asyncio.sleep(AFTER_PAUSE_S if drain else 0.0)
        await asyncio.gather(*tellings)
        for box in boxes:
            self.tell_drain_over(box)

    async def tell_drain(self, box: Backend, wait_s: float) -> None:
        """The list says that a box drains; the box goes on."""
        await asyncio.sleep(wait_s)
        self.registry.schedule_change(self.entries[box.name], "DRAINING", 0.0)

    def tell_drain_over(self, box: Backend) -> None:
        self.registry.schedule_change(self.entries[box.name], "SERVING", 0.0)
        self.busy.discard(box.name)

    async def do_early(self, signal: str = "HUP") -> None:
        """A gateway is signalled to while it starts: it has begun to load its libraries, and serves nobody yet."""
        gateway = self.dice.choice([gateway for gateway in self.gateways if gateway.is_running])
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

    # Staff at work

    async def staff_call(self, gateway: Gateway, line: str) -> None:
        said = await gateway.send_ops_command(line)
        if not said.startswith("ACK"):
            raise RuntimeError(f"{gateway.name}: {line}: expected ACK, found {said!r}")

    async def do_suspend(self, for_s: float, boxes: int = 1) -> None:
        """Boxes are taken out by hand at every gateway, started anew meanwhile, and put back."""
        chosen, bans = self.choose(boxes), list[ManualEjection]()
        for box in chosen:
            for gateway in self.gateways:
                await self.staff_call(gateway, f"SUSPEND {box.name}")
                bans.append(ManualEjection(now_us(), gateway.name, box.name))
                self.ledger.add(bans[-1])
        await asyncio.sleep(for_s / 2)
        for box in chosen:
            box.crash("drained")
            await box.start(needs_warmup=True)
            self.register(box, self.dice.uniform(0.2, 2.0))
        await asyncio.sleep(for_s / 2)
        for ban in bans:
            ban.until_us = now_us()
            await self.staff_call(next(g for g in self.gateways if g.name == ban.gateway), f"RESTORE {ban.backend}")
        self.busy.difference_update(box.name for box in chosen)

    async def do_empty(self, for_s: float, gateways: int = 1) -> None:
        """Gateways are emptied of clients, and take them again; at least one goes on."""
        chosen = self.dice.sample(self.gateways, min(gateways, len(self.gateways) - 1))
        for gateway in chosen:
            await self.staff_call(gateway, "PAUSE")
            self.front.schedule_planned_close(gateway.name)
        await asyncio.sleep(for_s)
        for gateway in chosen:
            await self.staff_call(gateway, "RESUME")
            self.on_ready(gateway)

    async def do_upgrade(self, gateways: int = 1) -> None:
        """Processes are replaced one after the other, each by one at the same address."""
        for gateway in self.dice.sample(self.gateways, min(gateways, len(self.gateways))):
            await gateway.upgrade()

    # Troubles of the registry

    async def do_registry_down(self, for_s: float, how: str = "503") -> None:
        await self.registry.set_outage_mode(how)
        await asyncio.sleep(for_s)
        await self.registry.set_outage_mode("")

    async def do_registry_garbled(self, for_s: float) -> None:
        self.registry.faults.has_garbled_lists = True
        await asyncio.sleep(for_s)
        self.registry.faults.has_garbled_lists = False

    async def do_registry_back(self, by: int = 3) -> None:
        self.registry.roll_back_index(by)

    async def do_registry_moves(self) -> None:
        for gateway in self.gateways:
            view = self.views[gateway.name]
            old = self.links[gateway.name, REGISTRY]
            await self.registry.move_listener(view)
            link = self.network.add_tcp_link(gateway.name, REGISTRY, lambda view=view: view.address)  # type: ignore[misc]
            link.open()
            self.links[gateway.name, REGISTRY] = link
            gateway.write_configuration()
            gateway.send_signal(Signals.SIGHUP)
            old.refuse()

    # Troubles of the network and of clients

    async def do_partition(
        self, one: list[str], other: list[str], for_s: float, one_way: bool = False, reset: bool = False
    ) -> None:
        first, second = self.expand(one), self.expand(other)
        self.network.partition(first, second, one_way)
        await asyncio.sleep(for_s)
        for link in self.network.links_between(first, second):
            link.heal(reset)

    async def do_slow_network(
        self, one: list[str], other: list[str], for_s: float, delay_ms: float = 5.0, jitter_ms: float = 5.0,
        loss: float = 0.0,
    ) -> None:  # fmt: skip
        links = self.network.links_between(self.expand(one), self.expand(other))
        for link in links:
            for conditions in link.conditions:
                conditions.delay_us, conditions.jitter_us = int(delay_ms * 1000), int(jitter_ms * 1000)
                conditions.loss = loss
        await asyncio.sleep(for_s)
        usual = LinkConditions()
        for link in links:
            for conditions in link.conditions:
                conditions.delay_us, conditions.jitter_us = usual.delay_us, usual.jitter_us
                conditions.loss = usual.loss

    async def do_rude(self, for_s: float, rate: float = 10.0, kind: str = "") -> None:
        loop = asyncio.get_running_loop()
        end, tasks = loop.time() + for_s, list[asyncio.Task[Any]]()
        while loop.time() < end:
            door = self.front.pick_target(self.dice.randrange(len(ROOMS)))
            if door is not None:
                tasks.append(
                    loop.create_task(
                        send_misbehaving_request(
                            self.ledger, door, self.dice, kind, self.clients.pick_open_request_id
                        )
                    )
                )
            await asyncio.sleep(self.dice.expovariate(rate))
        await asyncio.gather(*tasks)

    async def do_surge(self, for_s: float, factor: float) -> None:
        self.clients.operations_per_s = self.rate * factor
        await asyncio.sleep(for_s)
        self.clients.operations_per_s = self.rate
