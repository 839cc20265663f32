"""Tests of the registration agent, run as a process."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path

from cloverkeel.discovery.backend import Backend, BackendStatus
from cloverkeel.discovery.node_codec import decode_backend

from tests.discovery.coordination import FOLDER, Service

ROOT = Path(__file__).parents[2]


class HealthHandler(BaseHTTPRequestHandler):
    is_healthy = True

    def do_GET(self) -> None:  # noqa: N802  name given by http.server
        self.send_response(200 if type(self).is_healthy else 503)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:
        pass


@contextmanager
def health_server() -> Iterator[tuple[type[HealthHandler], int]]:
    handler = type("ServerHealth", (HealthHandler,), {"is_healthy": True})
    server = HTTPServer(("127.0.0.1", 0), handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    try:
        yield handler, server.server_port
    finally:
        server.shutdown()
        server.server_close()


@contextmanager
def running_agent(service: Service, port: int, *options: str) -> Iterator[subprocess.Popen[str]]:
    process = subprocess.Popen(
        [sys.executable, "-m", "cloverkeel", "register", "--hosts", service.ensemble.hosts, "--name", "s-0",
         "--address", f"127.0.0.1:{port}", "--every-ms", "50", "--session-ms", "600", "--drain-s", "0.3", *options],
        cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


def wait_for(condition: Callable[[], object]) -> None:
    deadline_s = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met within 20 s"
        time.sleep(0.005)


def registered_backend(service: Service) -> Backend | None:
    found = service.ensemble.tree.nodes.get(f"{FOLDER}/s-0")
    return decode_backend(found.data, found.stat.czxid) if found is not None else None


def test_the_agent_keeps_a_node_while_its_backend_is_healthy_and_drains_it_on_sigterm(service: Service) -> None:
    with (
        health_server() as (handler, port),
        running_agent(service, port, "--zone", "kita-room", "--group", "3") as process,
    ):
        wait_for(lambda: registered_backend(service))
        first = registered_backend(service)
        assert first is not None and (first.zone, first.group, first.address) == ("kita-room", 3, ("127.0.0.1", port))
        owner = service.ensemble.tree.nodes[f"{FOLDER}/s-0"].stat.ephemeral_owner
        service.call(lambda: service.ensemble.expire(owner))
        wait_for(lambda: (now := registered_backend(service)) and now.czxid > first.czxid)
        again = registered_backend(service)
        assert again is not None and again.since_ms == first.since_ms  # a new registration of the same process
        handler.is_healthy = False
        wait_for(lambda: registered_backend(service) is None)
        handler.is_healthy = True
        wait_for(lambda: registered_backend(service))
        fresh = registered_backend(service)
        assert fresh is not None and fresh.since_ms > first.since_ms
        process.send_signal(signal.SIGTERM)
        wait_for(lambda: (now := registered_backend(service)) is not None and now.status is BackendStatus.DRAINING)
        wait_for(lambda: registered_backend(service) is None)
        assert process.wait(10) == 0


def test_an_agent_takes_over_the_node_of_a_killed_agent(
    service: Service,
) -> None:
    with health_server() as (_, port):
        with running_agent(service, port) as process:
            wait_for(lambda: registered_backend(service))
            first = registered_backend(service)
            os.kill(process.pid, signal.SIGKILL)
        with running_agent(service, port):
            wait_for(
                lambda: (now := registered_backend(service)) is not None
                and first is not None
                and now.czxid > first.czxid
            )
            now = registered_backend(service)
            assert now is not None and first is not None and now.since_ms == first.since_ms
            time.sleep(0.8)  # the killed agent's session ends, which must not delete the new agent's node
            assert registered_backend(service) is not None
        wait_for(lambda: registered_backend(service) is None)


def test_invalid_options_of_the_agent_are_reported() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "cloverkeel", "register", "--hosts", "h:1", "--name", "s", "--address", "nowhere"],
        cwd=ROOT, capture_output=True, text=True,
    )  # fmt: skip
    assert completed.returncode == 2 and "--address: expected host:port, found 'nowhere'" in completed.stderr
