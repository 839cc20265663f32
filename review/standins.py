"""Stand-ins of the cases in this folder: hosts, discovery, the platform that starts gateways, and the record.

They use the standard library alone. All addresses are on the loopback interface, all ports are free ones.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, urlsplit

ROOT: Final = Path(__file__).resolve().parent.parent
NOT_READY: Final = "the gateway is not ready"
LOOPBACK: Final = "127.0.0.1"
PLAY_TIMEOUT_S: Final = 100.0
READY_TIMEOUT_S: Final = 30.0
KILL_AFTER_S: Final = 10.0  # from SIGTERM to SIGKILL at the end of a run
OK: Final = 200
END_OF_HEAD: Final = b"\r\n\r\n"

EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_COULD_NOT_RUN: Final = 2


class CouldNotRunError(Exception):
    """The case could not run; this says nothing about the rule."""


def has_trouble() -> bool:
    """Return whether the run has its disruption: `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run; times are seconds since the start of the run."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.lines: list[str] = []
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def add(self, who: str, what: str, **fields: object) -> float:
        """Add a line and return its time."""
        at_s = self.now_s()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append(f"{at_s:9.4f} {who} {what} {text}".rstrip())
        return at_s

    def write(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n", encoding="utf-8")


@dataclass(slots=True)
class Message:
    """A request or a response."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the start line and the headers; names in lower case."""
    text = (await reader.readuntil(END_OF_HEAD)).decode("latin-1")
    start, *lines = text[: -len(END_OF_HEAD)].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return start, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length."""
    start, headers = await read_head(reader)
    return Message(start, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


def response(status: int, body: bytes = b"", extra: str = "") -> bytes:
    """Return a response with a length."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


@dataclass(slots=True)
class Run:
    """A request that a host has received whole."""

    at_s: float
    host: str
    call_id: str


@dataclass(slots=True, eq=False)
class Host:
    """A host that answers each request with 200 and the request's id after `work_s`."""

    name: str
    record: Record
    work_s: float = 0.1
    address: str = ""
    status: str = "SERVING"
    since_ms: int = 0
    runs: list[Run] = field(default_factory=list)
    answer: Callable[[asyncio.StreamWriter, Message], Awaitable[None]] | None = None  # replaces the usual answer

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                call_id = request.headers.get("x-call-id", "")
                at_s = self.record.add(self.name, "begins", id=call_id, budget_ms=request.headers.get("x-budget-ms"))
                self.runs.append(Run(at_s, self.name, call_id))
                if self.answer is not None:
                    await self.answer(writer, request)
                else:
                    await asyncio.sleep(self.work_s)
                    writer.write(response(OK, call_id.encode()))
                await writer.drain()
                self.record.add(self.name, "answered", id=call_id)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            writer.close()

    def entry(self) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "kita-room",
            "type": "small-2c",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }


class Registry:
    """The list of hosts, common to all discovery services of a run."""

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = hosts
        self.index = 1
        self.index_by_host = {host.name: 1 for host in hosts}
        self.changed = asyncio.Condition()

    async def set_status(self, host: Host, status: str) -> None:
        """Change the status of a host."""
        host.status = status
        await self.announce(host)

    async def announce(self, host: Host) -> None:
        """Tell of a change of a host."""
        async with self.changed:
            self.index += 1
            self.index_by_host[host.name] = self.index
            self.changed.notify_all()

    def body(self, since: int | None) -> bytes:
        """Return the whole list, or the changes since a version."""
        hosts = [host for host in self.hosts if since is None or self.index_by_host[host.name] > since]
        entries = [host.entry() for host in hosts]
        return json.dumps({"index": self.index, "snapshot": since is None, "endpoints": entries}).encode()


class Discovery:
    """Discovery as the protocol page describes it; each call waits `call_s` for its turn first."""

    def __init__(self, name: str, registry: Registry, record: Record, call_s: float = 0.0) -> None:
        self.name, self.registry, self.record = name, registry, record
        self.call_s = call_s
        self.is_silent = False  # tells nothing more
        self.address = ""
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.told_s: dict[tuple[str, str], float] = {}  # by host and status: when it was first written

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    def stop_listening(self) -> None:
        """Take no new connection."""
        if self.server is not None:
            self.server.close()

    def close_connections(self) -> None:
        """Close the open connections."""
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                start, _ = await read_head(reader)
                target = start.split(" ")[1]
                self.record.add(self.name, "asked", target=target)
                await asyncio.sleep(self.call_s)
                if reader.at_eof():
                    break
                body = await self._answer(parse_qs(urlsplit(target).query))
                if self.is_silent:
                    await asyncio.get_running_loop().create_future()
                writer.write(response(OK, body))
                await writer.drain()
                self.record.add(self.name, "told", bytes=len(body))
                for host in self.registry.hosts:
                    self.told_s.setdefault((host.name, host.status), self.record.now_s())
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            self.record.add(self.name, "call ended by its caller")
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, query: dict[str, list[str]]) -> bytes:
        if "from" not in query:
            return self.registry.body(None)
        since, hold_ms = int(query["from"][0]), int(query.get("hold_ms", ["0"])[0])
        registry = self.registry
        async with registry.changed:
            try:
                async with asyncio.timeout(hold_ms / 1000):
                    await registry.changed.wait_for(lambda: registry.index > since)
            except TimeoutError:
                pass
        return registry.body(since)


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment: the operators' example on the wire page, for one gateway."""
    lane = {"aimUs": 300_000, "group": "all", "lateValue": 0.0, "streamed": False, "windowUs": 5_000_000}
    lanes = [
        lane | {"name": "search", "effect": "free", "giveUpUs": 750_000, "value": 1.0},
        lane
        | {"name": "hold", "effect": "guarded", "giveUpUs": 1_500_000, "value": 8.0}
        | {"aimUs": 600_000, "group": "cell", "windowUs": 1_500_000},
        lane | {"name": "transfer", "effect": "single_shot", "giveUpUs": 3_000_000, "value": 3.0, "aimUs": 600_000},
    ]
    caps = {
        "connectTimeoutUs": 150_000,
        "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 800_000,
        "keepaliveUs": 60_000_000,
        "maxAttempts": 6,
        "maxRetryAfterUs": 2_000_000,
        "mayCancel": True,
        "multiplex": 100,
        "peers": False,
        "probes": True,
        "retryAfter": False,
        "secondCopies": True,
    }
    contract = {
        "answerSlackUs": 20_000,
        "fallUs": 1_000_000,
        "mustAskInUs": 10_000_000,
        "startCapacity": 0.3,
        "stopSendingWithinUs": 1_000_000,
        "tipMultiple": 3.0,
        "warmAfterUs": 8_900_000,
    }
    whole = {
        "balancers": 1,
        "caps": caps,
        "clients": {"marksRetry": False},
        "contract": contract,
        "family": "proxy",
        "familyInfo": {"warmKeys": True},
        "index": 0,
        "lanes": lanes,
        "membershipMode": "on_request",
        "objectiveMix": {"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
        "report": {"fields": ["queue", "latency_ms", "qps"], "how": "piggyback"},
        "shapes": ["small-2c"],
        "stage": 0,
        "tenants": [],
        "tickUs": 5_000,
        "tiers": ["catalogue-front"],
        "weights": "silent",
        "worthBy": "work",
        "zone": 0,
        "zones": ["kita-room", "higashi-room"],
    }
    return whole | changes


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as bound:
        bound.bind((LOOPBACK, 0))
        return int(bound.getsockname()[1])


def run_command() -> str:
    """Return the deploy file's command that starts a gateway."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"])


class Gateway:
    """One gateway's process, started by the deploy file's command."""

    def __init__(
        self, folder: Path, record: Record, discovery: str, known: bytes, name: str = "n0", **changes: Any
    ) -> None:
        self.folder, self.record, self.name = folder, record, name
        self.variables: dict[str, str] = {}  # further ones of the environment
        self.port = free_port()
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # as on the days that are scored
        self.config_path = folder / "config.json"
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": discovery,
            "seed": "8c1f30d27a5be964",
            "limits": self.limits,
            "known": json.loads(known),
            "settings": settings(**changes),
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Write the file of the configuration, whole and at once."""
        temporary = self.folder / "config.json.new"
        temporary.write_text(json.dumps(self.config), encoding="utf-8")
        temporary.rename(self.config_path)

    async def start(self) -> None:
        """Start the process, and wait until it says that it is ready."""
        self.write_config()
        variables = {
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "gateway.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=os.environ | variables | self.variables,
                stdout=log,
                stderr=log,
            )
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not await self._is_ready():
            if time.monotonic() > deadline_s or self.process.poll() is not None:
                raise CouldNotRunError(NOT_READY)
            await asyncio.sleep(0.05)
        self.record.add(self.name, "ready")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
            message = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return message.start.split(" ")[1] == str(OK)

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        except OSError:
            return 0.0
        fields = dict(line.split(":", 1) for line in text.splitlines())
        return int(fields.get("VmRSS", "0 kB").split()[0]) / 1024

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the process; return the time."""
        assert self.process is not None
        at_s = self.record.add("platform", "sends", signal=number.name, to=self.name)
        self.process.send_signal(number)
        return at_s

    async def end(self) -> None:
        """End the process as at a planned restart: SIGTERM, and SIGKILL if it stays."""
        assert self.process is not None
        if self.process.poll() is None:
            self.signal(signal.SIGTERM)
        deadline_s = time.monotonic() + KILL_AFTER_S
        while self.process.poll() is None:
            if time.monotonic() > deadline_s:
                self.process.kill()
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """End the process, and add its log to the record."""
        if self.process is None:
            return
        await self.end()
        self.record.add(self.name, "ended", code=self.process.returncode)
        log = (self.folder / "gateway.log").read_text(encoding="utf-8", errors="replace")
        for line in log.splitlines():
            if "tally" not in line:
                self.record.lines.append(f"log of {self.name}: {line}")


def request(lane: str, call_id: str, budget_ms: int, body: bytes = b"") -> bytes:
    """Return a client's request of a class, in the form of the protocol page."""
    method = "GET" if lane == "search" else "POST"
    lines = [
        f"{method} /{lane}/{call_id[-4:]} HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {lane}",
        f"X-Budget-Ms: {budget_ms}",
    ]
    if lane == "hold":
        lines.append(f"Idempotency-Key: key-{call_id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + END_OF_HEAD + body


async def _play_in_time(
    scenario: Callable[[Path, Record], Awaitable[list[str]]], folder: Path, record: Record
) -> list[str]:
    async with asyncio.timeout(PLAY_TIMEOUT_S):
        return await scenario(folder, record)


def play(folder: Path, scenario: Callable[[Path, Record], Awaitable[list[str]]]) -> int:
    """Play a scenario in a temporary folder; return the exit code. It returns how the rule was broken."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that a run that is ended ends its processes too
    record = Record(folder)
    code = EXIT_COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            faults = asyncio.run(_play_in_time(scenario, Path(temporary), record))
        code = EXIT_BROKEN if faults else EXIT_HELD
        for fault in faults:
            record.lines.append(f"BROKEN: {fault}")
    except CouldNotRunError as error:
        record.lines.append(f"could not run: {error}")
    except Exception as error:
        record.lines.append(f"could not run: {error!r}")
    finally:
        record.lines.append(f"trouble={int(has_trouble())} exit={code}")
        record.write()
    print("\n".join(record.lines[-8:]))
    return code
