"""Processes of the scale run and how they are spoken to: one JSON object a line each way, over their own pipes.

What the run measures goes over sockets; these pipes carry orders and figures alone. A part ends when its input ends,
so none is left behind by a run that is killed. All times are of one clock (CLOCK_MONOTONIC, in microseconds).
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
MAX_LINE_BYTES: Final = (
    256 << 20
)  # bytes of one order or answer, at the most: names of a zone's hosts are some 200 KiB
ORDER_TIMEOUT_S: Final = 60.0  # for an order to be carried out: a part that is silent for longer ends the run
EXIT_TIMEOUT_S: Final = 5.0  # for a part to end once its input has
STALL_CHECK_INTERVAL_S: Final = 0.005  # between two looks of a part at its own loop
MIN_RECORDED_STALL_US: Final = 50_000  # a stop that is written down
MAX_RECORDED_STALLS: Final = 1_000  # of the last of them
PR_SET_PDEATHSIG: Final = 1
TICK_US: Final = 1_000_000 // os.sysconf("SC_CLK_TCK")
_libc = ctypes.CDLL(None, use_errno=True)

OrderHandler = Callable[[dict[str, Any]], Awaitable[dict[str, Any]]]


class WorkerError(Exception):
    """A part could not be started, or did not carry out an order."""


def clock_us() -> int:
    """The one clock of a run: the same in all processes of a machine."""
    return time.monotonic_ns() // 1000


def raise_descriptor_limit() -> int:
    """The soft limit up to the hard one; returns it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def die_with_parent() -> None:
    """In the child: the kernel kills it when this process ends, however that comes."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class StallMeter:
    """The longest time that a loop did not turn, from look to look."""

    def __init__(self) -> None:
        self.longest_us = 0
        self.last_check_us = clock_us()
        self.stalls: deque[tuple[int, int]] = deque(maxlen=MAX_RECORDED_STALLS)  # from when to when, the longer ones
        self.check_loop()

    def check_loop(self) -> None:
        at_us = clock_us()
        stall_us = at_us - self.last_check_us - int(STALL_CHECK_INTERVAL_S * 1e6)
        self.longest_us = max(self.longest_us, stall_us)
        if stall_us > MIN_RECORDED_STALL_US:
            self.stalls.append((self.last_check_us, at_us))
        self.last_check_us = at_us
        asyncio.get_running_loop().call_later(STALL_CHECK_INTERVAL_S, self.check_loop)

    def take_longest_us(self) -> int:
        """In µs, since the last call of this."""
        longest_us, self.longest_us = self.longest_us, 0
        return longest_us


def own_cpu_us() -> int:
    """Of this process, in µs."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return int((usage.ru_utime + usage.ru_stime) * 1e6)


def process_cpu_us(pid: int) -> int:
    """CPU of another process in µs; 0 where it has gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return 0
    return (int(fields[11]) + int(fields[12])) * TICK_US


def rss_kib(pid: int) -> int:
    """Resident memory that is its own, in KiB; 0 where it has gone."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    except OSError:
        pass
    return 0


# The child's side


def serve_orders(
    create_handlers: Callable[[], dict[str, OrderHandler]], loop_factory: Callable[[], Any] = uvloop.new_event_loop
) -> None:
    """Carry out orders in turn until the input ends. `orders` is called on the running loop."""

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
            # Written by a thread: the other side may be busy, and this loop carries what is measured.
            await asyncio.to_thread(_write_line, json.dumps(response) + "\n")

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())


def _write_line(line: str) -> None:
    sys.stdout.write(line)
    sys.stdout.flush()


# The run's side


class WorkerProcess:
    """One process, asked in turn."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: IO[bytes]) -> None:
        self.name, self.process, self.log_file = name, process, log
        self.lock = asyncio.Lock()

    @classmethod
    async def start(cls, name: str, module: str, folder: Path) -> WorkerProcess:
        """`python -m MODULE`; what it says on standard error goes to a file in the folder."""
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
        """PartError where it does not answer, or says that it failed."""
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
            raise WorkerError(f"{self.name}: {command}: it has ended; see {self.log_file.name}")
        response: dict[str, Any] = json.loads(line)
        if "error" in response:
            raise WorkerError(f"{self.name}: {command}: {response['error']}")
        return response

    async def stop(self) -> None:
        """Its input ends, then it is killed."""
        if self.process.stdin is not None:
            self.process.stdin.close()
        try:
            async with asyncio.timeout(EXIT_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.log_file.close()
