"""Clients that send requests in sequence while processes of a gateway start and end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from tests.cli.process import connect
from tests.sockets import Client, Message, request

CLIENTS = 12


@dataclass
class Load:
    """CLIENTS concurrent clients of one port, until `is_over` returns true; half of them keep their connections.

    The gateway may close a kept connection just as a request is sent: such a request is retried once on a new one.
    `is_served` asserts that an answer is valid and returns whether it counts as served.
    """

    port: int
    is_over: Callable[[], bool]
    is_served: Callable[[Message], bool]
    served: int = 0
    lost: int = 0
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Start all clients."""
        clients = (self._run_client(number, number % 2 == 0) for number in range(CLIENTS))
        self._tasks = [asyncio.create_task(client) for client in clients]

    async def wait(self) -> None:
        """Wait until all clients have ended."""
        await asyncio.gather(*self._tasks)

    async def _run_client(self, number: int, keeps_connection: bool) -> None:
        client: Client | None = None
        while not self.is_over():
            client, answer = await self._send(client, request("transfer", b"%d" % number))
            if answer is None:
                self.lost += 1
                continue
            self.served += self.is_served(answer)
            if client is not None and (not keeps_connection or answer.headers.get("connection") == "close"):
                client.close()
                client = None
        if client is not None:
            client.close()

    async def _send(self, client: Client | None, data: bytes) -> tuple[Client | None, Message | None]:
        """Return the open connection and the answer; (None, None) if the request is lost."""
        if client is not None:
            try:
                return client, await client.send_request(data)
            except (OSError, asyncio.IncompleteReadError):
                client.close()
        fresh: Client | None = None
        try:
            fresh = await connect(self.port)
            return fresh, await fresh.send_request(data)
        except (OSError, asyncio.IncompleteReadError):
            if fresh is not None:
                fresh.close()
            return None, None
