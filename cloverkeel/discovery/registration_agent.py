"""`python -m cloverkeel register`: a small program beside a backend that keeps its node.

It holds a session, checks the backend's health, and never keeps a node for a backend that is not healthy:

- the backend passes a check: its node exists, with the data that it was given and the time when its process was first
  seen;
- it fails `--fails` checks in a row: the node is deleted, and created again once it passes;
- SIGTERM: the node says DRAINING, then after `--drain-s` it is deleted, and the program ends with 0;
- the session expires: a new one registers again, with the same start, if the backend has been healthy all the while.

What to do next is decided by registration.py, which is pure; this program carries that out.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import json
import signal
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from kazoo.exceptions import KazooException, NodeExistsError, NoNodeError
from kazoo.handlers.threading import KazooTimeoutError

from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.errors import NodeDataError
from cloverkeel.discovery.node_codec import decode_backend
from cloverkeel.discovery.registration import Registration, RegistrationAction
from cloverkeel.discovery.zookeeper_session import create_client

MAX_WAIT_S: Final = 0.05  # between checks whether a signal came
MIN_WAIT_S: Final = 0.01
HTTP_OK: Final = 200
EXIT_BAD_OPTIONS: Final = 2
CONNECTION_RETRY_OPTIONS: Final = {"max_tries": -1, "delay": 0.1, "backoff": 2, "max_jitter": 1.0, "max_delay": 2.0}


@dataclass(slots=True, frozen=True)
class AgentOptions:
    """How a backend is checked, and where it is registered."""

    hosts: str  # of the coordination service: host:port,host:port
    path: str  # the folder of the backends' nodes
    session_ms: int
    health_path: str = "/health/live"
    check_interval_s: float = 0.5  # also the time that one check may take
    is_start_given: bool = False  # the backend's start is not to be taken from an earlier agent's node


def is_healthy(host: str, port: int, path: str, timeout_s: float) -> bool:
    """Check a backend's health: whether a GET of the path answers 200 in time."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request("GET", path)
        return connection.getresponse().status == HTTP_OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class RegistrationAgent:
    """Carry out what the registration decides."""

    def __init__(self, registration: Registration, options: AgentOptions) -> None:
        self.registration, self.options = registration, options
        self.node_path = f"{options.path}/{registration.backend.name}"
        self.wake_event = threading.Event()
        self.session_id = 0
        self.client = create_client(options.hosts, options.session_ms, CONNECTION_RETRY_OPTIONS)
        self.client.add_listener(lambda _state: self.wake_event.set())

    def run(self) -> int:
        """Keep the node until a signal ends that; returns the exit code."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, self._on_signal)
        self.client.start_async()
        next_check_s = 0.0
        while True:
            now_s = time.monotonic()
            if now_s >= next_check_s:
                next_check_s = now_s + self.options.check_interval_s
                self._check_health()
            self._detect_new_session()
            if self.registration.next_action(time.monotonic()) is RegistrationAction.END:
                self._end()
                return 0
            self._carry_out()
            self.wake_event.wait(min(max(MIN_WAIT_S, next_check_s - time.monotonic()), MAX_WAIT_S))
            self.wake_event.clear()

    def _check_health(self) -> None:
        host, port = self.registration.backend.address
        has_passed = is_healthy(host, port, self.options.health_path, self.options.check_interval_s)
        self.registration.on_health_check(int(time.time() * 1000), has_passed)

    def _on_signal(self, _signum: int, _frame: object) -> None:
        # No lock is taken here: the main thread may hold it.
        self.registration.on_termination(time.monotonic())

    def _detect_new_session(self) -> None:
        """Note where the session is another than before: then the node that the old one created goes, or has gone."""
        if not self.client.connected or self.client.client_id is None:
            return
        session_id = self.client.client_id[0]
        if session_id != self.session_id:
            self.session_id = session_id
            self.registration.on_new_session()

    def _carry_out(self) -> None:
        """Do what is next, if anything; what fails is decided anew."""
        if not self.client.connected:
            return
        action, data = self.registration.next_action(time.monotonic()), self.registration.node_data()
        try:
            match action:
                case RegistrationAction.CREATE:
                    data = self._create(data)
                case RegistrationAction.UPDATE:
                    self.client.set(self.node_path, data)
                case RegistrationAction.DELETE:
                    with contextlib.suppress(NoNodeError):
                        self.client.delete(self.node_path)
                case _:
                    return
        except NoNodeError:
            self.registration.on_new_session()  # somebody has deleted it: create it again
            return
        except (KazooException, KazooTimeoutError) as error:
            print(f"cloverkeel register: {action.value}: {type(error).__name__}", file=sys.stderr, flush=True)
            return
        self.registration.on_action_done(action, data)  # what was written: a signal may have come meanwhile
        draining = " (draining)" if self.registration.draining_since_s is not None else ""
        print(f"cloverkeel register: {self.registration.backend.name}: {action.value}{draining}", flush=True)

    def _create(self, data: bytes) -> bytes:
        """Create the node; one that an earlier session left is replaced, so that its owner is this one.

        Returns what was written.
        """
        try:
            self.client.create(self.node_path, data, ephemeral=True, makepath=True)
        except NodeExistsError:
            old_data, stat = self.client.get(self.node_path)
            if stat.ephemeralOwner == self.session_id:
                self.client.set(self.node_path, data)  # the answer to an earlier attempt was lost
                return data
            if not self.options.is_start_given:
                data = self._adopt_start(old_data, data)
            self._replace_node(data)
        return data

    def _replace_node(self, data: bytes) -> None:
        transaction = self.client.transaction()
        transaction.delete(self.node_path)
        transaction.create(self.node_path, data, ephemeral=True)
        for result in transaction.commit():
            if isinstance(result, Exception):
                raise result from None

    def _adopt_start(self, old_data: bytes, data: bytes) -> bytes:
        """Take the start that an earlier agent of this backend told: an agent that restarts makes no new backend."""
        with contextlib.suppress(NodeDataError):
            before = decode_backend(old_data)
            if before.address == self.registration.backend.address and before.since_ms:
                self.registration.backend = replace(self.registration.backend, since_ms=before.since_ms)
                return self.registration.node_data()
        return data

    def _end(self) -> None:
        with contextlib.suppress(KazooException, KazooTimeoutError):
            if self.registration.has_node and self.client.connected:
                self.client.delete(self.node_path)
        # The session ends too: an agent that ends while it is cut off leaves the node to its expiry.
        self.client.stop()
        self.client.close()


def _parse_options(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="cloverkeel register", description="Keep the node of one box.")
    parser.add_argument("--hosts", required=True, help="of the coordination service: host:port,host:port")
    parser.add_argument("--path", default="/cloverkeel/boxes")
    parser.add_argument("--name", required=True, help="of the box, the same at every gateway")
    parser.add_argument("--address", required=True, help="where gateways reach it: host:port")
    parser.add_argument("--zone", default="")
    parser.add_argument("--type", default="", help="of the box")
    parser.add_argument("--group", default="0", help="boxes of one group drop each other's repeats")
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--since-ms", type=int, help="when the box started, Unix ms; now, if not given")
    parser.add_argument("--health", default="/health/live", help="path that answers 200 while the box is well")
    parser.add_argument("--every-ms", type=int, default=500, help="between checks, and the time that one may take")
    parser.add_argument("--fails", type=int, default=3, help="checks in a row after which the box counts as gone")
    parser.add_argument("--session-ms", type=int, default=2000, help="after which a dead agent's node goes")
    parser.add_argument("--drain-s", type=float, default=2.0, help="from DRAINING to the node's deletion")
    return parser.parse_args(arguments)


def _backend_of(options: argparse.Namespace) -> Backend:
    """Read the backend from the options, by the rules of node data. NodeDataError names the field."""
    raw = {
        "v": 1,
        "name": options.name,
        "address": options.address,
        "zone": options.zone,
        "type": options.type,
        "group": int(options.group) if options.group.isdigit() else options.group,
        "status": "SERVING",
        "weight": options.weight,
        "since_ms": int(time.time() * 1000) if options.since_ms is None else options.since_ms,
    }
    return decode_backend(json.dumps(raw).encode())


def main(arguments: Sequence[str]) -> int:
    """Run the command; returns its exit code."""
    options = _parse_options(arguments)
    try:
        backend = _backend_of(options)
    except NodeDataError as error:
        print(f"cloverkeel register: --{error}", file=sys.stderr)
        return EXIT_BAD_OPTIONS
    agent_options = AgentOptions(
        hosts=options.hosts,
        path=options.path,
        session_ms=options.session_ms,
        health_path=options.health,
        check_interval_s=options.every_ms / 1000,
        is_start_given=options.since_ms is not None,
    )
    return RegistrationAgent(Registration(backend, options.fails, options.drain_s), agent_options).run()
