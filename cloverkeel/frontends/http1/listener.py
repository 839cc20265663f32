"""The listening socket: connections of clients are accepted, a few in a turn of the loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final, cast

from cloverkeel.core.config import Address
from cloverkeel.core.log import log
from cloverkeel.core.metrics import GatewayMetrics
from cloverkeel.frontends.http1.admission import Admission

LISTEN_BACKLOG: Final = 1024
MAX_ACCEPTS_A_TURN: Final = 16
ACCEPT_RETRY_INTERVAL_S: Final = 0.1  # where there is no descriptor, and no client to close for one


class Listener:
    """Accepts connections within the limits of admission."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, admission: Admission, metrics: GatewayMetrics,
        make_protocol: Callable[[], object],
    ) -> None:  # fmt: skip
        self.loop = loop
        self.admission = admission
        self.metrics = metrics
        self.make_protocol = make_protocol
        self.socket: socket.socket | None = None

    def open(self, address: Address, reuse_port: bool) -> None:
        """Bind the address; `accept` is not called before `start`.

        `reuse_port`: another process may be bound to it at the same time.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG, reuse_port=reuse_port)
        self.socket.setblocking(False)

    def start(self) -> None:
        """Accept connections, from the next turn of the loop on."""
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self.accept)

    def accept(self, max_connections: int = MAX_ACCEPTS_A_TURN) -> None:
        """Accept what waits, a few in a turn, so that a crowd is met by closing others, not by an error."""
        for _ in range(max_connections):
            if self.socket is None:
                return
            try:
                accepted, _ = self.socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError as error:
                log(f"listener: cannot accept, error={error.strerror}")
                if not self.admission.close_one_client():
                    self.pause()
                return
            if not self.admission.has_room() and not self.admission.close_one_client():
                self.metrics.record_unserved("full")
                accepted.close()  # the client is told at once
                continue
            self._set_up(accepted)

    def _set_up(self, accepted: socket.socket) -> None:
        """Set a connection up, in a task of its own."""
        task: asyncio.Task[object] = self.loop.create_task(self._connect(accepted))
        self.admission.accepting.add(task)
        task.add_done_callback(self.admission.accepting.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        """Hand a connection to its protocol."""
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(lambda: cast(asyncio.Protocol, self.make_protocol()), accepted)
        except OSError:
            accepted.close()  # it has gone already

    def pause(self) -> None:
        """Wait before accepting again.

        Guards against turning without end where there is no descriptor, and no client to close for one.
        """
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.loop.call_later(ACCEPT_RETRY_INTERVAL_S, self.start)

    def close(self) -> None:
        """Accept what waits, and nothing after it."""
        if self.socket is not None:
            self.accept(LISTEN_BACKLOG)
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
