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
from standins.parties.network import Address, reserve

ROOT = Path(__file__).parent.parent.parent
POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 20.0  # for a gateway to say that it is ready
USAGE_INTERVAL_S = 0.5
OPS_TIMEOUT_S = 2.0  # for staff to be answered
GATEWAY_COMMAND = (sys.executable, "-m", "cloverkeel")
PR_SET_PDEATHSIG = 1
DEFECT_MARKERS, MAX_DEFECT_LINES = ("DEFECT", "Traceback", "balancer failed", "action failed"), 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICK_US = 1_000_000 // os.sysconf("SC_CLK_TCK")
_libc = ctypes.CDLL(None, use_errno=True)


def kill_with_parent() -> None:
    """In the child: the kernel kills it when this process ends, however that comes."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(eq=False)
class Gateway:
    """One gateway and its process, through restarts."""

    name: str
    room: int
    folder: Path
    configure: Callable[[], dict[str, Any]]  # the configuration for the next start
    event_log: EventLog
    on_ready: Callable[[Gateway], None] = lambda gateway: None
    on_exit: Callable[[Gateway], None] = lambda gateway: None
    environment: dict[str, str] = field(default_factory=dict)
    command: tuple[str, ...] = GATEWAY_COMMAND
    checkout: Path = ROOT  # whose program runs
    max_descriptors: int = 0  # descriptors that its process may have; 0: as many as this one
    has_ops_address: bool = False  # it has a second address, for staff; each process one of its own
    ops_socket: socket.socket | None = None
    listen_socket: socket.socket = field(default_factory=reserve)  # its port, through restarts
    process: subprocess.Popen[bytes] | None = None
    is_exit_requested: bool = False  # a signal that ends it was sent
    exit_codes: list[int] = field(default_factory=list)
    log_file: IO[bytes] | None = None
    is_stopped: bool = False
    has_exited: bool = True  # its exit is written down
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def port(self) -> int:
        return int(self.listen_socket.getsockname()[1])

    @property
    def address(self) -> Address:
        return ("127.0.0.1", self.port)

    @property
    def configuration_path(self) -> Path:
        return self.folder / f"{self.name}.json"

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def write_configuration(self) -> None:
        """Replace the file as a whole: who reads it meanwhile reads the old one or the new one."""
        new_path = self.configuration_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.configure()))
        new_path.replace(self.configuration_path)

    def start(self) -> None:
        assert not self.is_running, f"{self.name} runs"
        self.write_configuration()
        self.log_file = self.log_file or (self.folder / f"{self.name}.log").open("ab")
        self.is_exit_requested, self.is_stopped, self.has_exited = False, False, False
        self.event_log.add(ProcessEvent(now_us(), self.name, "start"))
        self.process = self.launch()
        self.start_task(self.watch_process(self.process))
        self.start_task(self.wait_until_ready(self.process))

    def launch(self) -> subprocess.Popen[bytes]:
        environment = os.environ | {"LB_CONFIG": str(self.configuration_path)} | self.environment
        if self.has_ops_address:
            previous_socket, self.ops_socket = self.ops_socket, reserve()
            if previous_socket is not None:
                previous_socket.close()
            temporary_folder = self.folder / f"{self.name}.tmp"
            temporary_folder.mkdir(exist_ok=True)
            environment |= {
                "LB_OPS": f"127.0.0.1:{self.ops_socket.getsockname()[1]}",
                "TMPDIR": str(temporary_folder),
            }
        return subprocess.Popen(
            self.command, cwd=self.checkout, env=environment,
            stdin=subprocess.DEVNULL, stdout=self.log_file, stderr=self.log_file, preexec_fn=self.limit_child_process,
        )  # fmt: skip

    async def send_ops_command(self, line: str) -> str:
        """What staff are told at its second address; "" where nobody answers in time."""
        assert self.ops_socket is not None
        try:
            async with asyncio.timeout(OPS_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*self.ops_socket.getsockname())
                writer.write(line.encode() + b"\n")
                response = (await reader.readline()).decode(errors="replace").strip()
                writer.close()
                return response
        except (OSError, TimeoutError):
            return ""

    async def upgrade(self, kill_after_s: float = 3.7) -> None:
        """A successor is started beside it, at its address; at the successor's first yes it is told to end."""
        predecessor = self.process
        assert predecessor is not None
        self.process = successor = self.launch()
        self.start_task(self.watch_process(successor))
        deadline_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while not (await self.send_ops_command("STATUS")).startswith("ACK"):
            if successor.poll() is not None or asyncio.get_running_loop().time() > deadline_s:
                raise RuntimeError(f"{self.name}: its successor does not serve; see its log")
            await asyncio.sleep(POLL_INTERVAL_S)
        predecessor.send_signal(signal.SIGTERM)
        deadline_s = asyncio.get_running_loop().time() + kill_after_s
        while predecessor.poll() is None and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        if predecessor.poll() is None:
            raise RuntimeError(f"{self.name}: its process did not end after its successor's yes")

    def limit_child_process(self) -> None:
        """In the child, before the program is started."""
        kill_with_parent()
        if self.max_descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    def defect_lines(self) -> list[str]:
        """Lines of its log that tell of a defect of its own, at most FAULTS of them."""
        path = self.folder / f"{self.name}.log"
        if not path.exists():
            return []
        with path.open(errors="replace") as log:
            matching_lines = (line.strip() for line in log if any(marker in line for marker in DEFECT_MARKERS))
            return [f"{self.name}: {line}" for line in itertools.islice(matching_lines, MAX_DEFECT_LINES)]

    def start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def watch_process(self, process: subprocess.Popen[bytes]) -> None:
        """Until it ends: its exit, and what it holds meanwhile."""
        loop, next_sample_s = asyncio.get_running_loop(), 0.0
        while (code := process.poll()) is None:
            if loop.time() >= next_sample_s:
                next_sample_s = loop.time() + USAGE_INTERVAL_S
                usage = read_usage(process.pid)
                if usage is not None:
                    self.event_log.add(ResourceUsage(now_us(), self.name, *usage))
            await asyncio.sleep(POLL_INTERVAL_S)
        if process is not self.process and code == 0:
            return  # it was replaced: the gateway goes on
        self.exit_codes.append(code)
        self.event_log.add(ProcessEvent(now_us(), self.name, "exit", code, self.is_exit_requested))
        self.has_exited = True
        self.on_exit(self)

    async def wait_until_ready(self, process: subprocess.Popen[bytes]) -> None:
        deadline_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while process.poll() is None and asyncio.get_running_loop().time() < deadline_s:
            if await is_ready(self.address):
                self.event_log.add(ProcessEvent(now_us(), self.name, "ready"))
                self.on_ready(self)
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def has_loaded(self, library: str) -> bool:
        """Whether its process has mapped a file with this in its name."""
        try:
            return self.process is not None and library in Path(f"/proc/{self.process.pid}/maps").read_text()
        except OSError:
            return False

    def send_signal(self, signum: signal.Signals) -> None:
        if not self.is_running:
            return
        assert self.process is not None
        self.is_exit_requested = self.is_exit_requested or signum in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)
        self.is_stopped = signum is signal.SIGSTOP or (self.is_stopped and signum is not signal.SIGCONT)
        self.event_log.add(ProcessEvent(now_us(), self.name, signum.name.removeprefix("SIG")))
        self.process.send_signal(signum)

    async def wait_for_exit(self, within_s: float) -> bool:
        """Whether it ends within this time, and its exit is written down."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while not self.has_exited and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.has_exited

    async def restart(self, kill: bool = False, down_s: float = 0.8, kill_after_s: float = 3.7) -> None:
        """A planned restart, or an outright kill; it is started again under its name and address."""
        self.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        if not await self.wait_for_exit(kill_after_s):
            self.send_signal(signal.SIGKILL)
            await self.wait_for_exit(5.0)
        await asyncio.sleep(down_s)
        if not self.is_running:
            self.start()

    def kill(self) -> None:
        """Kill it outright, and wait for it."""
        if self.process is not None and self.process.poll() is None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()
        for task in self.tasks:
            task.cancel()
        self.listen_socket.close()
        if self.ops_socket is not None:
            self.ops_socket.close()
        if self.log_file is not None:
            self.log_file.close()
            self.log_file = None


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


def read_usage(pid: int) -> tuple[int, int, int, int] | None:
    """Resident memory in KiB, descriptors, CPU time in microseconds, the most memory; None if it has gone."""
    try:
        resident = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES // 1024
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
        self.kill()

    def start(self) -> None:
        for gateway in self.gateways:
            gateway.start()

    async def wait_until_ready(self, event_log: EventLog, within_s: float = READY_TIMEOUT_S) -> bool:
        """Whether all have said that they are ready within this time."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < deadline_s:
            if {p.gateway for p in event_log.events_of(ProcessEvent) if p.what == "ready"} >= {
                g.name for g in self.gateways
            }:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def stop(self, within_s: float = 6.0) -> None:
        """End all as a planned restart does, and wait."""
        for gateway in self.gateways:
            if gateway.is_stopped:
                gateway.send_signal(signal.SIGCONT)
            gateway.send_signal(signal.SIGTERM)
        await asyncio.gather(*(gateway.wait_for_exit(within_s) for gateway in self.gateways))

    def kill(self) -> None:
        for gateway in self.gateways:
            gateway.kill()
