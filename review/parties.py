"""Stand-ins of cases 6 to 10: the platform, discovery, hosts and clients, and the record of what they saw.

Everything listens on 127.0.0.1 at a free port. A case is a coroutine that gets a `Trial` and returns what broke.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
READY_TIMEOUT_S = 30.0
CASE_TIMEOUT_S = 110.0
EXIT_HELD, EXIT_BROKEN, EXIT_COULD_NOT_RUN = 0, 1, 2
HTTP_OK = 200
CRLF = b"\r\n"
MIB = 1 << 20


class CannotRunError(Exception):
    """The case could not run, for a reason that is not the gateway's behaviour."""


def free_port() -> int:
    """Return a port of the loopback address that nothing is bound to now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file record.txt: a line for each thing that was sent, answered or run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.started_s

    def add(self, line: str) -> None:
        """Write a line with the time since the case began."""
        self.file.write(f"{self.now_s():9.3f} {line}\n")
        self.file.flush()


def site_settings(balancers: int = 1, index: int = 0, **changes: Any) -> dict[str, Any]:
    """Return settings with the figures of the example in the page of the wire; `changes` replaces whole keys."""
    settings: dict[str, Any] = {
        "balancers": balancers,
        "index": index,
        "caps": {
            "connectTimeoutUs": 150_000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 33_236_044, "keepaliveUs": 60_000_000,
            "maxAttempts": 6, "maxRetryAfterUs": 2_000_000, "mayCancel": True, "mostHeld": 830_901, "multiplex": 100,
            "peers": False, "probes": True, "retryAfter": False, "secondCopies": True,
        },
        "clients": {"marksRetry": False},
        "contract": {
            "answerSlackUs": 20_000, "fallUs": 1_000_000, "mustAskInUs": 10_000_000, "startCapacity": 0.3,
            "stopSendingWithinUs": 1_000_000, "tipMultiple": 3.0, "warmAfterUs": 8_900_000,
        },
        "family": "proxy",
        "familyInfo": {"warmKeys": True},
        "lanes": [
            {"name": "search", "effect": "free", "aimUs": 300_000, "giveUpUs": 750_000, "group": "all",
             "lateValue": 0.0, "streamed": False, "value": 1.0, "windowUs": 5_000_000},
            {"name": "hold", "effect": "guarded", "aimUs": 600_000, "giveUpUs": 1_500_000, "group": "cell",
             "lateValue": 0.0, "streamed": False, "value": 8.0, "windowUs": 1_500_000},
            {"name": "transfer", "effect": "single_shot", "aimUs": 600_000, "giveUpUs": 3_000_000, "group": "all",
             "lateValue": 0.0, "streamed": False, "value": 3.0, "windowUs": 5_000_000},
        ],
        "membershipMode": "on_request",
        "report": {"fields": ["queue", "latency_ms", "qps"], "how": "piggyback"},
        "shapes": ["small-2c"],
        "stage": 0,
        "tenants": [],
        "tickUs": 5000,
        "tiers": ["catalogue-front"],
        "weights": "silent",
        "worthBy": "work",
        "zone": 0,
        "zones": ["kita-room"],
    }  # fmt: skip
    return settings | changes


class Message:
    """One parsed HTTP/1.1 request or response."""

    def __init__(self, start: str, headers: dict[str, str], body: bytes) -> None:
        self.start, self.headers, self.body = start, headers, body

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message; raise IncompleteReadError at the end of the connection."""
    lines = (await reader.readuntil(CRLF + CRLF)).decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length, is chunked, or is empty."""
    message = await read_head(reader)
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(CRLF)).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(len(CRLF))
        await reader.readuntil(CRLF)
    else:
        message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    return message


def build_response(body: bytes, status: str = "200 OK", extra: bytes = b"") -> bytes:
    """Return a response with a length."""
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status.encode(), extra, len(body), body)


class Party:
    """A stand-in that listens at a free port of the loopback address."""

    def __init__(self, trial: Trial) -> None:
        self.trial = trial
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port, backlog=512, limit=MIB)
        self.port = int(self.server.sockets[0].getsockname()[1])
        self.trial.on_end(self.stop)

    @property
    def address(self) -> str:
        """Return host:port."""
        return f"{LOOPBACK}:{self.port}"

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                await self.answer(request, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


OnRequest = Callable[["Host", Message, asyncio.StreamWriter], Awaitable[None]]


class Host(Party):
    """A host; `on_request` answers each request that has come as a whole."""

    def __init__(self, trial: Trial, name: str, on_request: OnRequest) -> None:
        super().__init__(trial)
        self.name, self.on_request = name, on_request
        self.status, self.since_ms, self.group = "SERVING", 0, 0

    def entry(self) -> dict[str, object]:
        """Return the entry of discovery's list."""
        return {
            "name": self.name, "address": self.address, "zone": "kita-room", "type": "small-2c", "group": self.group,
            "status": self.status, "weight": 1.0, "since_ms": self.since_ms,
        }  # fmt: skip

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a probe, or pass the request on."""
        if request.target in ("/health/live", "/stats"):
            writer.write(build_response(b""))
            return
        if "x-call-id" not in request.headers:
            writer.write(build_response(b"", "404 Not Found"))
            return
        await self.on_request(self, request, writer)


class Discovery(Party):
    """Discovery that is asked: the whole list, or a watch of changes."""

    def __init__(self, trial: Trial, hosts: list[Host]) -> None:
        super().__init__(trial)
        self.hosts = hosts
        self.version = 1
        self.changed_at: dict[str, int] = {}  # the version of each host's last change
        self.changed = asyncio.Event()
        self.told: dict[str, float] = {}  # when a host's present status was first written to the gateway
        self.is_down = False  # calls end with 503

    def known(self) -> dict[str, object]:
        """Return the whole list in the form of an answer."""
        return {"index": self.version, "snapshot": True, "endpoints": [host.entry() for host in self.hosts]}

    def change(self, host: Host, status: str) -> None:
        """Change a host's status and wake the watches."""
        host.status = status
        self.version += 1
        self.changed_at[host.name] = self.version
        self.trial.record.add(f"discovery: version={self.version} host={host.name} status={status}")
        self.changed.set()
        self.changed = asyncio.Event()

    def go_down(self, is_down: bool) -> None:
        """Go down, which ends all watches, or come back."""
        self.is_down = is_down
        self.trial.record.add(f"discovery: down={is_down}")
        for writer in list(self.writers) if is_down else ():
            writer.transport.abort()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call."""
        if self.is_down:
            writer.write(build_response(b"", "503 Service Unavailable"))
            return
        path, _, query = request.target.partition("?")
        if path != "/registry/instances":
            writer.write(build_response(b"", "404 Not Found"))
            return
        asked = dict(pair.split("=") for pair in query.split("&") if pair)
        if "from" in asked:
            version = int(asked["from"])
            if self.version <= version:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), int(asked.get("hold_ms", "0")) / 1000)
            hosts = [host for host in self.hosts if self.changed_at.get(host.name, 0) > version]
            raw = {"index": self.version, "snapshot": False, "endpoints": [host.entry() for host in hosts]}
        else:
            hosts, raw = self.hosts, self.known()
        body = json.dumps(raw).encode()
        for host in hosts:
            self.told.setdefault(f"{host.name} {host.status}", self.trial.record.now_s())
        writer.write(build_response(body))


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(
        self, trial: Trial, config: dict[str, Any], ops: str = "", predecessor: Gateway | None = None
    ) -> None:
        """`ops`: the second address; `predecessor`: the process that this one replaces, whose folder it shares."""
        self.trial, self.config, self.ops = trial, config, ops
        self.name = str(config["name"])
        self.port = int(str(config["listen"]).rpartition(":")[2])
        self.process: subprocess.Popen[bytes] | None = None
        self.folder = trial.folder / self.name if predecessor is None else predecessor.folder
        self.folder.mkdir(exist_ok=True)

    def start(self) -> None:
        """Start the process; its log goes to the folder of the case's temporary files."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        config_path = self.folder / "config.json"
        config_path.write_text(json.dumps(self.config))
        (self.folder / "tmp").mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", ""), "TMPDIR": str(self.folder / "tmp"), "LB_CONFIG": str(config_path),
            "LB_NAME": self.name, "LB_LISTEN": self.config["listen"], "LB_DISCOVERY": self.config["discovery"],
        }  # fmt: skip
        if self.ops:
            environment["LB_OPS"] = self.ops
        log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.trial.on_end(self.kill)
        self.trial.record.add(f"platform: started gateway={self.name}")

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is not None and self.process.poll() is not None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.trial.record.add(f"platform: signal={number} gateway={self.name}")
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process, if it has not ended."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def resident_mb(self) -> float:
        """Return the resident memory in MiB; 0 if the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / MIB

    async def wait_until_ready(self) -> None:
        """Wait until the gateway takes clients."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self.has_ended:
                raise CannotRunError(self.log_text())
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                status = (await read_message(reader)).status
                writer.close()
                if status == HTTP_OK:
                    self.trial.record.add(f"platform: ready gateway={self.name}")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(self.log_text())

    async def call(self, line: str) -> str:
        """Send a line to the second address and return the answer; "" if there is none."""
        with contextlib.suppress(OSError, TimeoutError):
            host, _, port = self.ops.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{line}\n".encode())
            answer = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
            return answer.decode().strip()
        return ""

    def log_text(self) -> str:
        """Return the end of the gateway's log."""
        return (self.folder / "log").read_text(errors="replace")[-2000:]


class Trial:
    """One run of a case: its record, its temporary folder, and what must be ended."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record, self.folder = record, folder
        self.endings: list[Callable[[], None]] = []

    def on_end(self, ending: Callable[[], None]) -> None:
        """Call `ending` at the end of the case, the last one first."""
        self.endings.append(ending)

    def config(self, discovery: Discovery, settings: dict[str, Any], **changes: Any) -> dict[str, Any]:
        """Return the configuration of a gateway; `changes` replaces whole keys."""
        config: dict[str, Any] = {
            "name": "n0", "listen": f"{LOOPBACK}:{free_port()}", "discovery": discovery.address,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.known(), "settings": settings,
        }  # fmt: skip
        return config | changes


Case = Callable[[Trial], Awaitable[list[str]]]


async def _run(case: Case, record: Record, folder: Path) -> int:
    trial = Trial(record, folder)
    try:
        broken = await asyncio.wait_for(case(trial), CASE_TIMEOUT_S)
    finally:
        for ending in reversed(trial.endings):
            ending()
    for line in broken:
        record.add(f"BROKEN: {line}")
        print(f"broken: {line}")
    verdict = "broken" if broken else "held"
    record.add(f"verdict: {verdict}")
    print(verdict)
    return EXIT_BROKEN if broken else EXIT_HELD


def main(case: Case, folder: str) -> None:
    """Run a case and exit with its code; `folder` is that of the case."""
    record = Record(Path(folder) / "record.txt")
    record.add(f"trouble={int(has_trouble())}")
    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(_run(case, record, Path(temporary)))
        except Exception:
            record.add(f"could not run:\n{traceback.format_exc()}")
            traceback.print_exc()
            code = EXIT_COULD_NOT_RUN
    sys.stdout.flush()
    sys.exit(code)
