"""`python -m cloverkeel register`: the registration agent, which runs beside a backend and maintains its node.

The agent holds a ZooKeeper session and checks the backend's health; an unhealthy backend has no node:

- after a successful check the node exists, with the data from the options and the time when the
  backend's process was first seen;
- after `--fails` consecutive failed checks the node is deleted; it is created again after the next success;
- on SIGTERM or SIGINT the node becomes DRAINING; after `--drain-s` it is deleted, and the agent exits with 0;
- after the session expired, a new session creates the node again; the start time is unchanged if the backend stayed
  healthy.

registration.py, which is pure, decides the operations; this module performs them.
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

MAX_WAIT_S: Final = 0.05  # longest wait between two checks for a signal
MIN_WAIT_S: Final = 0.01
HTTP_OK: Final = 200
EXIT_BAD_OPTIONS: Final = 2
CONNECTION_RETRY_OPTIONS: Final = {"max_tries": -1, "delay": 0.1, "backoff": 2, "max_jitter": 1.0, "max_delay": 2.0}


@dataclass(slots=True, frozen=True)
class AgentOptions:
    """Where a backend is registered, and how its health is checked."""

    hosts: str  # of the ZooKeeper ensemble: host:port,host:port
    path: str  # the folder of the backends' nodes
    session_ms: int
    health_path: str = "/health/live"
    check_interval_s: float = 0.5  # also the timeout of one check
    has_explicit_start: bool = False  # then the start time in an earlier agent's node is ignored


def is_healthy(host: str, port: int, path: str, timeout_s: float) -> bool:
    """Check a backend's health: whether a GET of `path` is answered with 200 within the timeout."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request("GET", path)
        return connection.getresponse().status == HTTP_OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class RegistrationAgent:
    """Perform the operations that the registration decides."""

    def __init__(self, registration: Registration, options: AgentOptions) -> None:
        self.registration, self.options = registration, options
        self.node_path = f"{options.path}/{registration.backend.name}"
        self.wake_event = threading.Event()
        self.session_id = 0
        self.client = create_client(options.hosts, options.session_ms, CONNECTION_RETRY_OPTIONS)
        self.client.add_listener(lambda _state: self.wake_event.set())

    def run(self) -> int:
        """Maintain the node until SIGTERM or SIGINT; return the exit code."""
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
                self._shut_down()
                return 0
            self._perform_next_action()
            self.wake_event.wait(min(max(MIN_WAIT_S, next_check_s - time.monotonic()), MAX_WAIT_S))
            self.wake_event.clear()

    def _check_health(self) -> None:
        host, port = self.registration.backend.address
        check_passed = is_healthy(host, port, self.options.health_path, self.options.check_interval_s)
        self.registration.on_health_check(int(time.time() * 1000), check_passed)

    def _on_signal(self, _signum: int, _frame: object) -> None:
        # Takes no lock (wake_event.set would): the handler runs on the main thread, which may hold it.
        self.registration.on_termination(time.monotonic())

    def _detect_new_session(self) -> None:
        """Record a change of the session id: the node of the previous session is deleted with that session."""
        if not self.client.connected or self.client.client_id is None:
            return
        session_id = self.client.client_id[0]
        if session_id != self.session_id:
            self.session_id = session_id
            self.registration.on_new_session()

    def _perform_next_action(self) -> None:
        """Perform the next operation, if one is due; a failed one is decided again in the next iteration."""
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
            self.registration.on_new_session()  # deleted by another client: create it again
            return
        except (KazooException, KazooTimeoutError) as error:
            print(f"cloverkeel register: {action.value}: {type(error).__name__}", file=sys.stderr, flush=True)
            return
        # Passes the data that was written: a signal may have changed node_data() since.
        self.registration.on_action_done(action, data)
        draining = " (draining)" if self.registration.draining_since_s is not None else ""
        print(f"cloverkeel register: {self.registration.backend.name}: {action.value}{draining}", flush=True)

    def _create(self, data: bytes) -> bytes:
        """Create the node and return the data written.

        A node of an earlier session is replaced, so that this session owns it.
        """
        try:
            self.client.create(self.node_path, data, ephemeral=True, makepath=True)
        except NodeExistsError:
            old_data, stat = self.client.get(self.node_path)
            if stat.ephemeralOwner == self.session_id:
                self.client.set(self.node_path, data)  # the reply to an earlier attempt was lost
                return data
            if not self.options.has_explicit_start:
                data = self._adopt_start_time(old_data, data)
            self._replace_node(data)
        return data

    def _replace_node(self, data: bytes) -> None:
        transaction = self.client.transaction()
        transaction.delete(self.node_path)
        transaction.create(self.node_path, data, ephemeral=True)
        for result in transaction.commit():
            if isinstance(result, Exception):
                raise result from None

    def _adopt_start_time(self, old_data: bytes, data: bytes) -> bytes:
        """Adopt the start time in the node of an earlier agent: an agent's restart is no restart of the backend."""
        with contextlib.suppress(NodeDataError):
            before = decode_backend(old_data)
            if before.address == self.registration.backend.address and before.since_ms:
                self.registration.backend = replace(self.registration.backend, since_ms=before.since_ms)
                return self.registration.node_data()
        return data

    def _shut_down(self) -> None:
        with contextlib.suppress(KazooException, KazooTimeoutError):
            if self.registration.has_node and self.client.connected:
                self.client.delete(self.node_path)
        # stop() ends the session too; if the agent is disconnected, the node remains until the session expires.
        self.client.stop()
        self.client.close()


def _parse_options(arguments: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="cloverkeel register", description="Maintain one backend's registry node.")
    parser.add_argument("--hosts", required=True, help="ZooKeeper ensemble: host:port,host:port")
    parser.add_argument("--path", default="/cloverkeel/boxes")
    parser.add_argument("--name", required=True, help="name of the backend, the same at every gateway")
    parser.add_argument("--address", required=True, help="address where gateways connect: host:port")
    parser.add_argument("--zone", default="")
    parser.add_argument("--type", default="", help="type of the backend")
    parser.add_argument("--group", default="0", help="backends of one group drop repeats of each other's requests")
    parser.add_argument("--weight", type=float, default=1.0)
    parser.add_argument("--since-ms", type=int, help="start of the backend, Unix ms; default: now")
    parser.add_argument("--health", default="/health/live", help="path that answers 200 if the backend is healthy")
    parser.add_argument(
        "--every-ms", type=int, default=500, help="interval of health checks, and the timeout of each"
    )
    parser.add_argument("--fails", type=int, default=3, help="consecutive failed checks until the node is deleted")
    parser.add_argument("--session-ms", type=int, default=2000, help="time until a dead agent's node expires")
    parser.add_argument("--drain-s", type=float, default=2.0, help="time from DRAINING to the node's deletion")
    return parser.parse_args(arguments)


def _parse_backend(options: argparse.Namespace) -> Backend:
    """Return the backend that the options describe. Raise NodeDataError, which names the field, if one is invalid."""
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
    """Run the command and return its exit code."""
    options = _parse_options(arguments)
    try:
        backend = _parse_backend(options)
    except NodeDataError as error:
        print(f"cloverkeel register: --{error}", file=sys.stderr)
        return EXIT_BAD_OPTIONS
    agent_options = AgentOptions(
        hosts=options.hosts,
        path=options.path,
        session_ms=options.session_ms,
        health_path=options.health,
        check_interval_s=options.every_ms / 1000,
        has_explicit_start=options.since_ms is not None,
    )
    return RegistrationAgent(Registration(backend, options.fails, options.drain_s), agent_options).run()
