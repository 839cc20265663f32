"""Datagrams between gateways: one UDP socket, whose handlers are told apart by the first byte of a datagram.

Bounds: one socket; a datagram that no handler claims is counted and dropped. Two processes of one gateway have one
address: it belongs to the old process until its end.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Final, Protocol, cast

from cloverkeel.core.config import Address

BIND_RETRY_INTERVAL_S: Final = 0.5  # while another process of this gateway has the address


class DatagramHandler(Protocol):
    """A component that exchanges datagrams with other gateways."""

    def on_socket_open(self) -> None:
        """Begin to send: the socket is open. Called once."""

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Take a datagram that begins with the handler's byte."""


class PeerSocket:
    """The socket to all other gateways; a DatagramProtocol of asyncio by its methods."""

    def __init__(self, listen: Address, peers: tuple[Address, ...]) -> None:
        self.listen, self.peers = listen, peers  # `peers`: by the gateways' numbers
        self.handler_by_first_byte: dict[int, DatagramHandler] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.bind_task: asyncio.Task[None] | None = None
        self.is_closed = False
        self.unclaimed_count = 0  # datagrams that no handler claims
        self.error_count = 0  # of the socket: a port where nobody listens, a full buffer

    def register(self, first_byte: int, handler: DatagramHandler) -> None:
        """Let a handler have the datagrams that begin with this byte; before `start`."""
        self.handler_by_first_byte[first_byte] = handler

    def start(self) -> None:
        """Open the socket in the background, if there is a handler."""
        if self.handler_by_first_byte:
            self.bind_task = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        """Bind the address, again and again until it is free; then tell the handlers."""
        while not self.is_closed:
            udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp_socket.setblocking(False)
            try:
                udp_socket.bind(self.listen)  # here: asyncio would look the address up on a thread
            except OSError:
                udp_socket.close()
                await asyncio.sleep(BIND_RETRY_INTERVAL_S)
                continue
            loop = asyncio.get_running_loop()
            await loop.create_datagram_endpoint(lambda: cast(asyncio.DatagramProtocol, self), sock=udp_socket)
            break
        if not self.is_closed:
            for handler in self.handler_by_first_byte.values():
                handler.on_socket_open()

    def close(self) -> None:
        """Close the socket, or stop waiting for its address."""
        self.is_closed = True
        if self.bind_task is not None:
            self.bind_task.cancel()
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def send(self, gateway: int, data: bytes) -> bool:
        """Send a datagram to the gateway with this number; return False if the socket is not open."""
        if self.transport is None:
            return False
        self.transport.sendto(data, self.peers[gateway])
        return True

    def is_listed_address(self, gateway: int, addr: tuple[str | int, ...]) -> bool:
        """Return whether an address is the one that is configured for that gateway."""
        return gateway < len(self.peers) and self.peers[gateway] == tuple(addr[:2])

    # What asyncio calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport: datagrams can be sent from now on."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Forget the transport."""
        self.transport = None

    def error_received(self, _exc: Exception) -> None:
        """Count an error of the socket; datagrams may be lost anyway."""
        self.error_count += 1

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Hand a datagram to its handler."""
        handler = self.handler_by_first_byte.get(data[0]) if data else None
        if handler is None:
            self.unclaimed_count += 1
            return
        handler.datagram_received(data, addr)
