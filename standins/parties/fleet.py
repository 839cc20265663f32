"""Real gateways as processes: starts, signals and measures them, and leaves none running."""

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
POLL_INTERVAL_S = 0.02
READY_TIMEOUT_S = 20.0
USAGE_INTERVAL_S = 0.5
OPS_TIMEOUT_S = 2.0
GATEWAY_COMMAND = (sys.executable, "-m", "cloverkeel")
PR_SET_PDEATHSIG = 1
DEFECT_MARKERS, MAX_DEFECT_LINES = ("DEFECT", "Traceback", "balancer failed", "action failed"), 20
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICK_US = 1_000_000 // os.sysconf("SC_CLK_TCK")
_libc = ctypes.CDLL(None, use_errno=True)


def kill_with_parent() -> None:
    """Runs in the child process: the kernel kills it when its parent ends for any reason."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass(eq=False)
class Gateway:
    """One gateway and its process; name and address stay the same across restarts."""

    name: str
    zone_index: int
    folder: Path
    configure: Callable[[], dict[str, Any]]  # returns the configuration for the next start
    event_log: EventLog
    on_ready: Callable[[Gateway], None] = lambda gateway: None
    on_exit: Callable[[Gateway], None] = lambda gateway: None
    environment: dict[str, str] = field(default_factory=dict)
    command: tuple[str, ...] = GATEWAY_COMMAND
    checkout: Path = ROOT  # source tree that the program is run from
    max_descriptors: int = 0  # limit of the process; 0: inherited from this process
    has_ops_address: bool = False  # each process gets an address of its own for operators' commands
    ops_socket: socket.socket | None = None
    listen_socket: socket.socket = field(default_factory=reserve_port)  # keeps the port across restarts
    process: subprocess.Popen[bytes] | None = None
    is_exit_requested: bool = False  # a terminating signal was sent to the process
    exit_codes: list[int] = field(default_factory=list)
    log_file: IO[bytes] | None = None
    is_stopped: bool = False  # by SIGSTOP
    has_exited: bool = True  # True once the exit is in the event log, and before the first start
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
        """Replace the file atomically, so that a concurrent reader gets either the old or the new one."""
        new_path = self.configuration_path.with_suffix(".new")
        new_path.write_text(json.dumps(self.configure()))
        new_path.replace(self.configuration_path)

    def start(self) -> None:
        """Write the configuration and start the process; the event log gets its readiness, usage and exit."""
        assert not self.is_running, f"{self.name} is already running"
        self.write_configuration()
        self.log_file = self.log_file or (self.folder / f"{self.name}.log").open("ab")
        self.is_exit_requested, self.is_stopped, self.has_exited = False, False, False
        self.event_log.add(ProcessEvent(now_us(), self.name, "start"))
        self.process = self.launch()
        self.start_task(self.watch_process(self.process))
        self.start_task(self.wait_until_ready(self.process))

    def launch(self) -> subprocess.Popen[bytes]:
        """Start a process with this gateway's configuration, without waiting for it."""
        environment = os.environ | {"LB_CONFIG": str(self.configuration_path)} | self.environment
        if self.has_ops_address:
            previous_socket, self.ops_socket = self.ops_socket, reserve_port()
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
        """Send an operator's command to the newest process and return its response line; "" on error or timeout."""
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
        """Replace the process without downtime: start a successor, and terminate the old process once it serves."""
        predecessor = self.process
        assert predecessor is not None
        self.process = successor = self.launch()
        self.start_task(self.watch_process(successor))
        deadline_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while not (await self.send_ops_command("STATUS")).startswith("ACK"):
            if successor.poll() is not None or asyncio.get_running_loop().time() > deadline_s:
                raise RuntimeError(f"{self.name}: the successor process does not serve; see its log")
            await asyncio.sleep(POLL_INTERVAL_S)
        predecessor.send_signal(signal.SIGTERM)
        deadline_s = asyncio.get_running_loop().time() + kill_after_s
        while predecessor.poll() is None and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        if predecessor.poll() is None:
            raise RuntimeError(f"{self.name}: the old process did not exit after its successor began to serve")

    def limit_child_process(self) -> None:
        """Runs in the child process before the program: ties it to this process and limits its descriptors."""
        kill_with_parent()
        if self.max_descriptors:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    def defect_lines(self) -> list[str]:
        """Lines of the gateway's log that report a defect of the gateway, at most MAX_DEFECT_LINES."""
        path = self.folder / f"{self.name}.log"
        if not path.exists():
            return []
        with path.open(errors="replace") as log:
            matching_lines = (line.strip() for line in log if any(marker in line for marker in DEFECT_MARKERS))
            return [f"{self.name}: {line}" for line in itertools.islice(matching_lines, MAX_DEFECT_LINES)]

    def start_task(self, coroutine: Any) -> None:
        """Run the coroutine in a task that `kill` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def watch_process(self, process: subprocess.Popen[bytes]) -> None:
        """Log the resource usage of the process until it exits, and then its exit."""
        loop, next_sample_s = asyncio.get_running_loop(), 0.0
        while (code := process.poll()) is None:
            if loop.time() >= next_sample_s:
                next_sample_s = loop.time() + USAGE_INTERVAL_S
                usage = read_usage(process.pid)
                if usage is not None:
                    self.event_log.add(ResourceUsage(now_us(), self.name, *usage))
            await asyncio.sleep(POLL_INTERVAL_S)
        if process is not self.process and code == 0:
            return  # a successor has replaced the process; the gateway keeps running
        self.exit_codes.append(code)
        self.event_log.add(ProcessEvent(now_us(), self.name, "exit", code, self.is_exit_requested))
        self.has_exited = True
        self.on_exit(self)

    async def wait_until_ready(self, process: subprocess.Popen[bytes]) -> None:
        """Log when the gateway is ready and call `on_ready`; give up at an exit or after READY_TIMEOUT_S."""
        deadline_s = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while process.poll() is None and asyncio.get_running_loop().time() < deadline_s:
            if await is_ready(self.address):
                self.event_log.add(ProcessEvent(now_us(), self.name, "ready"))
                self.on_ready(self)
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    def has_loaded(self, library: str) -> bool:
        """Whether the process has mapped a file whose path contains `library`."""
        try:
            return self.process is not None and library in Path(f"/proc/{self.process.pid}/maps").read_text()
        except OSError:
            return False

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process and log it; no effect if the process is not running."""
        if not self.is_running:
            return
        assert self.process is not None
        self.is_exit_requested = self.is_exit_requested or signum in (signal.SIGTERM, signal.SIGINT, signal.SIGKILL)
        self.is_stopped = signum is signal.SIGSTOP or (self.is_stopped and signum is not signal.SIGCONT)
        self.event_log.add(ProcessEvent(now_us(), self.name, signum.name.removeprefix("SIG")))
        self.process.send_signal(signum)

    async def wait_for_exit(self, within_s: float) -> bool:
        """Wait until the process has exited and its exit is logged; False if that takes longer."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while not self.has_exited and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.has_exited

    async def restart(self, kill: bool = False, down_s: float = 0.8, kill_after_s: float = 3.7) -> None:
        """Terminate the process, or kill it with `kill`, and start it again after `down_s`."""
        self.send_signal(signal.SIGKILL if kill else signal.SIGTERM)
        if not await self.wait_for_exit(kill_after_s):
            self.send_signal(signal.SIGKILL)
            await self.wait_for_exit(5.0)
        await asyncio.sleep(down_s)
        if not self.is_running:
            self.start()

    def kill(self) -> None:
        """Kill the process, wait for its end and release all resources."""
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
    """Whether the gateway at the address reports that it is ready."""
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
    """Resident KiB, number of descriptors, CPU time in us and peak resident KiB; None if the process has gone."""
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
    """All gateways of a scenario run. As a context manager it kills them on exit, also after an error."""

    gateways: Sequence[Gateway]

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *error: object) -> None:
        self.kill()

    def start(self) -> None:
        """Start all gateways."""
        for gateway in self.gateways:
            gateway.start()

    async def wait_until_ready(self, event_log: EventLog, within_s: float = READY_TIMEOUT_S) -> bool:
        """Wait until the event log has each gateway as ready; False if that takes longer."""
        deadline_s = asyncio.get_running_loop().time() + within_s
        while asyncio.get_running_loop().time() < deadline_s:
            if {p.gateway for p in event_log.events_of(ProcessEvent) if p.what == "ready"} >= {
                g.name for g in self.gateways
            }:
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def stop(self, within_s: float = 6.0) -> None:
        """Terminate all gateways as a planned restart does, and wait for their exits."""
        for gateway in self.gateways:
            if gateway.is_stopped:
                gateway.send_signal(signal.SIGCONT)
            gateway.send_signal(signal.SIGTERM)
        await asyncio.gather(*(gateway.wait_for_exit(within_s) for gateway in self.gateways))

    def kill(self) -> None:
        """Kill all gateways."""
        for gateway in self.gateways:
            gateway.kill()
