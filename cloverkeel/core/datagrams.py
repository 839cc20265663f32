"""Datagrams between gateways: one UDP socket, and a handler for each value of a datagram's first byte.

A datagram without a handler is counted and dropped. During a handover two processes of a gateway share an address;
the old process keeps it until it exits.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Final, Protocol, cast

from cloverkeel.core.config import Address

BIND_RETRY_INTERVAL_S: Final = 0.5  # another process of this gateway may still be bound to the address


class DatagramHandler(Protocol):
    """A component that exchanges datagrams with other gateways."""

    def on_socket_open(self) -> None:
        """Start sending: the socket is open. Called once."""

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Handle a datagram that begins with the handler's first byte."""


class PeerSocket:
    """The socket for all other gateways; implements asyncio.DatagramProtocol without inheriting from it."""

    def __init__(self, listen: Address, peers: tuple[Address, ...]) -> None:
        self.listen, self.peers = listen, peers  # index of `peers`: gateway number
        self.handler_by_first_byte: dict[int, DatagramHandler] = {}
        self.transport: asyncio.DatagramTransport | None = None
        self.bind_task: asyncio.Task[None] | None = None
        self.is_closed = False
        self.unclaimed_count = 0  # datagrams without a handler
        self.error_count = 0  # socket errors, such as an unreachable port or a full send buffer

    def register(self, first_byte: int, handler: DatagramHandler) -> None:
        """Register the handler of datagrams that begin with this byte. To be called before `start`."""
        self.handler_by_first_byte[first_byte] = handler

    def start(self) -> None:
        """Open the socket in the background, if any handler is registered."""
        if self.handler_by_first_byte:
            self.bind_task = asyncio.get_running_loop().create_task(self._open())

    async def _open(self) -> None:
        """Bind the address, retrying while it is in use, then notify the handlers."""
        while not self.is_closed:
            udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp_socket.setblocking(False)
            try:
                udp_socket.bind(self.listen)  # bound here because asyncio would resolve the address in a thread
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
        """Send a datagram to a gateway, given its number; return False if the socket is not open."""
        if self.transport is None:
            return False
        self.transport.sendto(data, self.peers[gateway])
        return True

    def is_listed_address(self, gateway: int, addr: tuple[str | int, ...]) -> bool:
        """Return whether `addr` is the configured address of the gateway."""
        return gateway < len(self.peers) and self.peers[gateway] == tuple(addr[:2])

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which allows sending."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Drop the transport."""
        self.transport = None

    def error_received(self, _exc: Exception) -> None:
        """Count a socket error. It is not handled further, as any datagram may be lost."""
        self.error_count += 1

    def datagram_received(self, data: bytes, addr: tuple[str | int, ...]) -> None:
        """Pass a datagram to its handler."""
        handler = self.handler_by_first_byte.get(data[0]) if data else None
        if handler is None:
            self.unclaimed_count += 1
            return
        handler.datagram_received(data, addr)
