"""Worker processes of the scale run, and the orders sent to them: one JSON object per line and direction, over pipes.

What the run measures goes over sockets; the pipes carry orders and results only. A worker process ends when its
standard input closes, so none is left when the run is killed. All times use one clock (CLOCK_MONOTONIC, in
microseconds).
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
import time
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import IO, Any, Final

import uvloop

ROOT: Final = Path(__file__).resolve().parents[2]
MAX_LINE_BYTES: Final = 256 << 20  # of one order or response; the names of a zone's hosts take about 200 KiB
ORDER_TIMEOUT_S: Final = 60.0  # for the execution of an order; a worker process that takes longer ends the run
EXIT_TIMEOUT_S: Final = 5.0  # until a worker process exits after its input has closed, before it is killed
STALL_CHECK_INTERVAL_S: Final = 0.005  # between two checks of the event loop
MIN_RECORDED_STALL_US: Final = 50_000  # shortest stall whose start and end are recorded
MAX_RECORDED_STALLS: Final = 1_000  # older ones are dropped
PR_SET_PDEATHSIG: Final = 1
TICK_US: Final = 1_000_000 // os.sysconf("SC_CLK_TCK")
_libc = ctypes.CDLL(None, use_errno=True)

OrderHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class WorkerError(Exception):
    """A worker process could not be started or did not execute an order."""


def clock_us() -> int:
    """The clock of a run, which is the same in all processes of a machine."""
    return time.monotonic_ns() // 1000


def raise_descriptor_limit() -> int:
    """Raise the soft limit of file descriptors to the hard limit and return it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def die_with_parent() -> None:
    """Called in the child process: the kernel kills it when the parent ends, however it ends."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class StallMeter:
    """Measures the longest stall of the event loop, from one check to the next."""

    def __init__(self) -> None:
        self.longest_us = 0
        self.last_check_us = clock_us()
        self.stalls: deque[tuple[int, int]] = deque(maxlen=MAX_RECORDED_STALLS)  # start and end of each long stall
        self.check_loop()

    def check_loop(self) -> None:
        """Record how late this check runs and schedule the next one."""
        at_us = clock_us()
        stall_us = at_us - self.last_check_us - int(STALL_CHECK_INTERVAL_S * 1e6)
        self.longest_us = max(self.longest_us, stall_us)
        if stall_us > MIN_RECORDED_STALL_US:
            self.stalls.append((self.last_check_us, at_us))
        self.last_check_us = at_us
        asyncio.get_running_loop().call_later(STALL_CHECK_INTERVAL_S, self.check_loop)

    def take_longest_us(self) -> int:
        """The longest stall since the last call, in µs."""
        longest_us, self.longest_us = self.longest_us, 0
        return longest_us


def own_cpu_us() -> int:
    """CPU time of this process, in µs."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return int((usage.ru_utime + usage.ru_stime) * 1e6)


def process_cpu_us(pid: int) -> int:
    """CPU time of another process, in µs; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return (int(fields[11]) + int(fields[12])) * TICK_US


def rss_kib(pid: int) -> int:
    """Anonymous resident memory of a process, in KiB; 0 if it has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0


# In the worker process


def serve_orders(
    create_handlers: Callable[[], dict[str, OrderHandler]], loop_factory: Callable[[], Any] = uvloop.new_event_loop
) -> None:
    """Execute orders one after another until the input closes. `create_handlers` is called on the running loop."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        handlers = create_handlers()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            order = json.loads(line)
            try:
                response = await handlers[order.pop("do")](order)
            except Exception as error:
                response = {"error": f"{type(error).__name__}: {error}"}
            # A thread writes the response: the run's process may be slow to read it, and this loop carries what is
            # measured.
            await asyncio.to_thread(_write_line, json.dumps(response) + "\n")

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())


def _write_line(line: str) -> None:
    sys.stdout.write(line)
    sys.stdout.flush()


# In the run's process


class WorkerProcess:
    """A worker process that executes orders one after another."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: IO[bytes]) -> None:
        self.name, self.process, self.log_file = name, process, log
        self.lock = asyncio.Lock()

    @classmethod
    async def start(cls, name: str, module: str, folder: Path) -> WorkerProcess:
        """Start `python -m MODULE`; its standard error goes to a file in the folder."""
        log = (folder / f"{name}.log").open("ab")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log,
            limit=MAX_LINE_BYTES, preexec_fn=die_with_parent,
        )  # fmt: skip
        return cls(name, process, log)

    @property
    def pid(self) -> int:
        return self.process.pid

    async def send_order(self, command: str, **keys: Any) -> dict[str, Any]:
        """Send an order and return the response. Raises WorkerError if there is none or it reports an error."""
        assert self.process.stdin is not None and self.process.stdout is not None
        async with self.lock:
            try:
                self.process.stdin.write(json.dumps({"do": command} | keys).encode() + b"\n")
                async with asyncio.timeout(ORDER_TIMEOUT_S):
                    await self.process.stdin.drain()
                    line = await self.process.stdout.readline()
            except (OSError, TimeoutError) as error:
                raise WorkerError(f"{self.name}: {command}: {error or type(error).__name__}") from None
        if not line:
            raise WorkerError(f"{self.name}: {command}: the process has exited; see {self.log_file.name}")
        response: dict[str, Any] = json.loads(line)
        if "error" in response:
            raise WorkerError(f"{self.name}: {command}: {response['error']}")
        return response

    async def stop(self) -> None:
        """Close the process's input, and kill it if it does not exit in time."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.log_file.close()
