"""Real gateways as processes: started, signalled to, measured, and none left running behind."""

from __future__ import annotations

import asyncio
import ctypes
import itertools
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from standins.event_log import EventLog, ProcessEvent, ResourceUsage, now_us
from standins.parties.network import Address, reserve_port

ROOT = Path(__file__).parent.parent.parent
POLL_S = 0.02
READY_S = 20.0  # for a gateway to say that it is ready
USAGE_S = 0.5
CALL_S = 2.0  # for staff to be answered
PROGRAM = (sys.executable, "-m", "cloverkeel")
PR_SET_PDEATHSIG = 1
FAULT_MARKS, FAULTS = ("DEFECT", "Traceback", "balancer failed", "action failed"), 20
PAGE = os.sysconf("SC_PAGE_SIZE")
TICK_US = 1_000_000 // os.sysconf("SC_CLK_TCK")
_libc = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """In the child: the kernel kills it when this process ends, however that comes."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(eq=False)
class Gateway:
    """One gateway and its process, through restarts."""

    name: str
    room: int
    folder: Path
    configure: Callable[[], dict[str, Any]]  # the configuration for the next start
    ledger: EventLog
    on_ready: Callable[[Gateway], None] = lambda gateway: None
    on_exit: Callable[[Gateway], None] = lambda gateway: None
    environment: dict[str, str] = field(default_factory=dict)
    command: tuple[str, ...] = PROGRAM
    checkout: Path = ROOT  # whose program runs
    sockets: int = 0  # descriptors that its process may have; 0: as many as this one
    has_ops: bool = False  # it has a second address, for staff; each process one of its own
    held_ops: socket.socket | None = None
    held: socket.socket = field(default_factory=reserve_port)  # its port, through restarts
    process: subprocess.Popen[bytes] | None = None
    asked: bool = False  # a signal that ends it was sent
    exits: list[int] = field(default_factory=list)
    log: IO[bytes] | None = None
    stopped: bool = False
    is_over: bool = True  # its exit is written down
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def port(self) -> int:
        return int(self.held.getsockname()[1])

    @property
    def address(self) -> Address:
        return ("127.0.0.1", self.port)

    @property
    def file(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def write_configuration(self) -> None:
        """Replace the file as a whole: who reads it meanwhile reads the old one or the new one."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(self.configure()))
        fresh.replace(self.file)

    def start(self) -> None:
        assert not self.is_running, f"{self.name} runs"
        self.write_configuration()
        self.log = self.log or (self.folder / f"{self.name}.log").open("ab")
        self.asked, self.stopped, self.is_over = False, False, False
        self.ledger.add(ProcessEvent(now_us(), self.name, "start"))
        self.process = self.launch()
        self.spawn(self.follow(self.process))
        self.spawn(self.await_ready(self.process))

    def launch(self) -> subprocess.Popen[bytes]:
        environment = os.environ | {"LB_CONFIG": str(self.file)} | self.environment
        if self.has_ops:
            before, self.held_ops = self.held_ops, reserve_port()
            if before is not None:
                before.close()
            folder = self.folder / f"{self.name}.tmp"
            folder.mkdir(exist_ok=True)
            environment |= {"LB_OPS": f"127.0.0.1:{self.held_ops.getsockname()[1]}", "TMPDIR": str(folder)}
        return subprocess.Popen(
            self.command, cwd=self.checkout, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log, preexec_fn=self.confine,
        )  # fmt: skip

    async def call(self, line: str) -> str:
        """What staff are told at its second address; "" where nobody answers in time."""
        assert self.held_ops is not None
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection(*self.held_ops.getsockname())
                writer.write(line.encode() + b"\n")
                said = (await reader.readline()).decode(errors="replace").strip()
                writer.close()
                return said
        except (OSError, TimeoutError):
            return ""

    async def upgrade(self, kill_after_s: float = 3.7) -> None:
        """A successor is started beside it, at its address; at the successor's first yes it is told to end."""
        old = self.process
        assert old is not None
        self.process = new = self.launch()
        self.spawn(self.follow(new))
        end = asyncio.get_running_loop().time() + READY_S
        while not (await self.call("STATUS")).startswith("ACK"):
            if new.poll() is not None or asyncio.get_running_loop().time() > end:
                raise RuntimeError(f"{self.name}: its successor does not serve; see its log")
            await asyncio.sleep(POLL_S)
        old.send_signal(signal.SIGTERM)
        end = asyncio.get_running_loop().time() + kill_after_s
        while old.poll() is None and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(POLL_S)
        if old.poll() is None:
            raise RuntimeError(f"{self.name}: its process did not end after its successor's yes")

    def confine(self) -> None:
        """In the child, before the program is started."""
        _die_with_parent()
        if self.sockets:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.sockets, self.sockets))

    def faults(self) -> list[str]:
        """Lines of its log that tell of a defect of its own, at most FAULTS of them."""
        path = self.folder / f"{self.name}.log"
        if not path.exists():
            return []
        with path.open(errors="replace") as log:
            found = (line.strip() for line in log if any(mark in line for mark in FAULT_MARKS))
            return [f"{self.name}: {line}" for line in itertools.islice(found, FAULTS)]

    def spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def follow(self, process: subprocess.Popen[bytes]) -> None:
        """Until it ends: its exit, and what it holds meanwhile."""
        loop, due = asyncio.get_running_loop(), 0.0
        while (code := process.poll()) is None:
            if loop.time() >= due:
                due = loop.time() + USAGE_S
                usage = usage_of(process.pid)
                if usage is not None:
                    self.ledger.add(ResourceUsage(now_us(), self.name, *usage))
            await asyncio.sleep(POLL_S)
        if process is not self.process and code == 0:
            return  # it was replaced: the gateway goes on
        self.exits.append(code)
        self.ledger.add(ProcessEvent(now_us(), self.name, "exit", code, self.asked))
        self.is_over = True
        self.on_exit(self)

    async def await_ready(self, process: subprocess.Popen[bytes]) -> None:
        end = asyncio.get_running_loop().time() + READY_S
        while process.poll() is None and asyncio.get_running_loop().time() < end:
            if await is_ready(self.address):
                self.ledger.add(ProcessEvent(now_us(), self.name, "ready"))
                self.on_ready(self)
                return
            await asyncio.sleep(POLL_S)

    def has_loaded(self, library: str) -> bool:
        """Whether its process has mapped a file with this in its name."""
        try:
            return self.process is not None and library in Path(f"/proc/{self.process.pid}/maps").read_text()
        except OSError:
            return False

    def signal(self, signum: signal.Signals) -> None:
        if not self.is_running:
            return
        assert self.process is not None
        self.asked = self.asked or signum in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)
        self.stopped = signum is signal.SIGSTOP or (self.stopped and signum is not signal.SIGCONT)
        self.ledger.add(ProcessEvent(now_us(), self.name, signum.name.removeprefix("SIG")))
        self.process.send_signal(signum)

    async def ended(self, within_s: float) -> bool:
        """Whether it ends within this time, and its exit is written down."""
        end = asyncio.get_running_loop().time() + within_s
        while not self.is_over and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(POLL_S)
        return self.is_over

    async def restart(self, kill: bool = False, down_s: float = 0.8, kill_after_s: float = 3.7) -> None:
        """A planned restart, or an outright kill; it is started again under its name and address."""
        self.signal(signal.SIGKILL if kill else signal.SIGTERM)
        if not await self.ended(kill_after_s):
            self.signal(signal.SIGKILL)
            await self.ended(5.0)
        await asyncio.sleep(down_s)
        if not self.is_running:
            self.start()

    def end(self) -> None:
        """Kill it outright, and wait for it."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        for task in self.tasks:
            task.cancel()
        self.held.close()
        if self.held_ops is not None:
            self.held_ops.close()
        if self.log is not None:
            self.log.close()
            self.log = None


async def is_ready(address: Address) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                return (await reader.readline()).startswith(b"HTTP/1.1 200")
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError):
        return False


def usage_of(pid: int) -> tuple[int, int, int, int] | None:
    """Resident memory in KiB, descriptors, CPU time in microseconds, the most memory; None if it has gone."""
    try:
        resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE // 1024
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        peak = next(
            (int(line.split()[1]) for line in Path(f"/proc/{pid}/status").read_text().splitlines()
             if line.startswith("VmHWM:")), 0,
        )  # fmt: skip
        return resident, len(os.listdir(f"/proc/{pid}/fd")), (int(fields[11]) + int(fields[12])) * TICK_US, peak
    except (OSError, IndexError, ValueError):
        return None


@dataclass
class Fleet:
    """All gateways of a play. As a context manager it leaves nothing running behind, whatever ends it."""

    gateways: Sequence[Gateway]

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *error: object) -> None:
        self.end()

    def start(self) -> None:
        for gateway in self.gateways:
            gateway.start()

    async def ready(self, ledger: EventLog, within_s: float = READY_S) -> bool:
        """Whether all have said that they are ready within this time."""
        end = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < end:
            if {p.gateway for p in ledger.events_of(ProcessEvent) if p.what == "ready"} >= {
                g.name for g in self.gateways
            }:
                return True
            await asyncio.sleep(POLL_S)
        return False

    async def stop(self, within_s: float = 6.0) -> None:
        """End all as a planned restart does, and wait."""
        for gateway in self.gateways:
            if gateway.stopped:
                gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGTERM)
        await asyncio.gather(*(gateway.ended(within_s) for gateway in self.gateways))

    def end(self) -> None:
        for gateway in self.gateways:
            gateway.end()
