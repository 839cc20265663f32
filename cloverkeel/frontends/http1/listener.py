"""The listening socket, which accepts a limited number of client connections per loop iteration."""

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
MAX_ACCEPTS_PER_ITERATION: Final = 16
ACCEPT_RETRY_INTERVAL_S: Final = 0.1  # used when no descriptor is free and no client can be closed


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
        """Bind the address and listen; connections are accepted after `start`.

        `reuse_port`: another process may be bound to the address at the same time.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.socket = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG, reuse_port=reuse_port)
        self.socket.setblocking(False)

    def start(self) -> None:
        """Accept connections, from the next loop iteration on."""
        if self.socket is not None:
            self.loop.add_reader(self.socket.fileno(), self.accept)

    def accept(self, max_connections: int = MAX_ACCEPTS_PER_ITERATION) -> None:
        """Accept pending connections, `max_connections` at most.

        During a burst, the limit lets other connections be closed before accept fails for lack of descriptors.
        """
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
                accepted.close()  # the client sees the close at once
                continue
            self._set_up(accepted)

    def _set_up(self, accepted: socket.socket) -> None:
        """Set up a connection in its own task."""
        task: asyncio.Task[object] = self.loop.create_task(self._connect(accepted))
        self.admission.accepting.add(task)
        task.add_done_callback(self.admission.accepting.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        """Attach a protocol to a connection."""
        try:
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self.loop.connect_accepted_socket(lambda: cast(asyncio.Protocol, self.make_protocol()), accepted)
        except OSError:
            accepted.close()  # the client has already disconnected

    def pause(self) -> None:
        """Stop accepting for ACCEPT_RETRY_INTERVAL_S.

        Guards against a busy loop when no descriptor is free and no client can be closed.
        """
        if self.socket is not None:
            self.loop.remove_reader(self.socket.fileno())
            self.loop.call_later(ACCEPT_RETRY_INTERVAL_S, self.start)

    def close(self) -> None:
        """Accept the pending connections, then stop listening."""
        if self.socket is not None:
            self.accept(LISTEN_BACKLOG)
            self.loop.remove_reader(self.socket.fileno())
            self.socket.close()
            self.socket = None
