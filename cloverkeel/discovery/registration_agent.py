"""`python -m cloverkeel register`: a small program beside a box that keeps its node.

It holds a session, checks the box's health call, and never keeps a node for a box that does not answer:

- the box answers: its node is there, with the data that it was given and the time when its process was first seen;
- it fails `fails` checks in a row: the node is deleted, and made again once it answers;
- SIGTERM: the node says DRAINING, then after `drain_s` it is deleted, and the program ends with 0;
- the session expires: a new one registers again, with the same start, if the box has answered all the while.

What to do next is decided by keeper.py, which is pure; this program carries that out.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import json
import logging
import signal
import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import replace

from kazoo.client import KazooClient
from kazoo.exceptions import KazooException, NodeExistsError, NoNodeError
from kazoo.handlers.threading import KazooTimeoutError
from kazoo.retry import KazooRetry

from cloverkeel.discovery.registration import RegistrationAction, Registration
from cloverkeel.discovery.node_codec import decode_backend
from cloverkeel.discovery.errors import NodeDataError

SIGNAL_CHECK_INTERVAL_S = 0.05  # between looks whether a signal came
CONNECTION_RETRY_OPTIONS = {"max_tries": -1, "delay": 0.1, "backoff": 2, "max_jitter": 1.0, "max_delay": 2.0}


def is_healthy(host: str, port: int, path: str, timeout_s: float) -> bool:
    """Whether the box's health call answers 200 in time."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request("GET", path)
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class RegistrationAgent:
    """Carries out what the Keeper wants."""

    def __init__(self, keeper: Registration, options: argparse.Namespace) -> None:
        self.keeper, self.options = keeper, options
        self.node = f"{options.path}/{keeper.member.name}"
        self.wake = threading.Event()
        self.session = 0
        logging.getLogger("kazoo").setLevel(logging.CRITICAL)
        self.client = KazooClient(
            options.hosts, timeout=options.session_ms / 1000, connection_retry=KazooRetry(**CONNECTION_RETRY_OPTIONS),
            command_retry=KazooRetry(max_tries=0),
        )  # fmt: skip
        self.client.add_listener(lambda state: self.wake.set())

    def run(self) -> int:
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, self.on_signal)
        self.client.start_async()
        next_check = 0.0
        while True:
            now_s = time.monotonic()
            if now_s >= next_check:
                next_check = now_s + self.options.every_ms / 1000
                host, port = self.keeper.member.address
                answers = is_healthy(host, port, self.options.health, self.options.every_ms / 1000)
                self.keeper.on_check(int(time.time() * 1000), answers)
            self.note_session()
            if self.keeper.next(time.monotonic()) is RegistrationAction.END:
                self.end()
                return 0
            self.carry_out()
            self.wake.wait(min(max(0.01, next_check - time.monotonic()), SIGNAL_CHECK_INTERVAL_S))
            self.wake.clear()

    def on_signal(self, signum: int, frame: object) -> None:
        # No lock is taken here: the main thread may hold it.
        self.keeper.on_term(time.monotonic())

    def note_session(self) -> None:
        """Whether the session is another than before: then the node that the old one made goes, or has gone."""
        if self.client.connected and self.client.client_id is not None:
            session = self.client.client_id[0]
            if session != self.session:
                self.session = session
                self.keeper.on_session()

    def carry_out(self) -> None:
        if not self.client.connected:
            return
        what, data = self.keeper.next(time.monotonic()), self.keeper.data()
        try:
            match what:
                case RegistrationAction.CREATE:
                    data = self.create(data)
                case RegistrationAction.UPDATE:
                    self.client.set(self.node, data)
                case RegistrationAction.DELETE:
                    with contextlib.suppress(NoNodeError):
                        self.client.delete(self.node)
                case _:
                    return
        except NoNodeError:
            self.keeper.on_session()  # somebody has deleted it: make it again
            return
        except (KazooException, KazooTimeoutError) as error:
            print(f"cloverkeel register: {what.value}: {type(error).__name__}", file=sys.stderr, flush=True)
            return
        self.keeper.done(what, data)  # what was written: a signal may have come meanwhile
        state = self.keeper.member.name, what.value, self.keeper.draining_since is not None
        print(f"cloverkeel register: {state[0]}: {state[1]}{' (draining)' if state[2] else ''}", flush=True)

    def create(self, data: bytes) -> bytes:
        """Make the node; one that an earlier session left is replaced, so that its owner is this one.

        Returns what was written.
        """
        try:
            self.client.create(self.node, data, ephemeral=True, makepath=True)
        except NodeExistsError:
            old, stat = self.client.get(self.node)
            if stat.ephemeralOwner == self.session:
                self.client.set(self.node, data)  # the answer to an earlier try was lost
                return data
            if self.options.since_ms is None:
                data = self.adopt(old, data)
            transaction = self.client.transaction()
            transaction.delete(self.node)
            transaction.create(self.node, data, ephemeral=True)
            for result in transaction.commit():
                if isinstance(result, Exception):
                    raise result from None
        return data

    def adopt(self, old: bytes, data: bytes) -> bytes:
        """The start that an earlier agent of this box had told: an agent that restarts makes no new box."""
        with contextlib.suppress(NodeDataError):
            before = decode_backend(old)
            if before.address == self.keeper.member.address and before.since_ms:
                self.keeper.member = replace(self.keeper.member, since_ms=before.since_ms)
                return self.keeper.data()
        return data

    def end(self) -> None:
        with contextlib.suppress(KazooException, KazooTimeoutError):
            if self.keeper.has_node and self.client.connected:
                self.client.delete(self.node)
        # The session goes too: an agent that ends while it is cut off leaves the node to its expiry.
        self.client.stop()
        self.client.close()


def main(arguments: Sequence[str]) -> int:
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
    options = parser.parse_args(arguments)
    raw = {
        "v": 1, "name": options.name, "address": options.address, "zone": options.zone, "type": options.type,
        "group": int(options.group) if options.group.isdigit() else options.group, "status": "SERVING",
        "weight": options.weight,
        "since_ms": int(time.time() * 1000) if options.since_ms is None else options.since_ms,
    }  # fmt: skip
    try:
        member = decode_backend(json.dumps(raw).encode())
    except NodeDataError as error:
        print(f"cloverkeel register: --{error}", file=sys.stderr)
        return 2
    return RegistrationAgent(Registration(member, options.fails, options.drain_s), options).run()
