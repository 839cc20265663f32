"""An HTTP/1.1 client connection to discovery or a relay: one request at a time, each reply buffered completely."""

from __future__ import annotations

import asyncio
import select
from typing import Final, cast

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address
from cloverkeel.core.input_scheduler import TransportInput
from cloverkeel.core.messages import Reply
from cloverkeel.core.peer_resources import PeerResources
from cloverkeel.discovery.errors import ConnectionEndedError, DiscoveryCallError, ReplyMemoryError
from cloverkeel.discovery.reply_memory import ReplyMemory
from cloverkeel.protocols.http1 import ReplyError, ReplyReader

MAX_REPLY_BYTES: Final = 16 * 1024 * 1024  # of a body, before and after decompression

HTTP_OK: Final = 200


def get_request(address: Address, target: bytes, extra_headers: bytes = b"") -> bytes:
    """Return the head of a GET request; `extra_headers` are complete header lines, each ending in CRLF."""
    host, port = address
    return b"GET %s HTTP/1.1\r\nHost: %s:%d\r\n%s\r\n" % (target, host.encode(), port, extra_headers)


class DiscoveryConnection(asyncio.Protocol):
    """Send requests and wait for their replies.

    A reply that cannot be parsed closes the connection, and so do bytes that arrive while no reply is awaited: they
    would be taken for the reply to the next request. So does a reply for which the memory account has no room.
    """

    def __init__(self, resources: PeerResources | None = None) -> None:
        """`resources`: what all peers share; None to charge nothing and postpone nothing."""
        self.resources = resources
        self.input = TransportInput()
        self.memory = ReplyMemory(resources)
        self.transport: asyncio.Transport | None = None
        self.reply_reader = ReplyReader(MAX_REPLY_BYTES)
        self.pending_reply: asyncio.Future[Reply] | None = None
        self.socket_poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (asyncio callback)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport does not subclass asyncio's
        self.input.transport = self.transport
        self.socket_poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent on this connection."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def is_awaiting_reply(self) -> bool:
        """Whether a request was sent whose reply is not complete."""
        return self.pending_reply is not None

    @property
    def has_unread(self) -> bool:
        """Whether a reply, or part of one, has arrived that its caller has not received."""
        if self.pending_reply is not None and self.pending_reply.done():
            return True  # even if the connection has been closed since
        if not self.is_open:
            return False
        return self.reply_reader.has_begun or bool(self.socket_poll.poll(0))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of the reply (asyncio callback)."""
        started_us = now_us()
        self._parse(data)
        if self.resources is not None:
            self.resources.input_scheduler.record_input(self.input, started_us)

    def _parse(self, data: bytes) -> None:
        """Parse bytes; fail the request if they are malformed or there is no memory for them."""
        if self.pending_reply is None or self.pending_reply.done():
            self.close()
            return
        try:
            reply = self.reply_reader.feed(data)
            self.memory.hold(self.reply_reader.held_bytes)
        except (ReplyError, ReplyMemoryError) as error:
            self.fail(str(error))
            return
        if reply is not None:
            self.pending_reply.set_result(reply)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Fail the pending request (asyncio callback)."""
        self.transport = self.input.transport = None
        self.memory.release()
        self.fail("the connection ended")

    def fail(self, cause: str) -> None:
        """Fail the pending request and close the connection."""
        if self.pending_reply is not None and not self.pending_reply.done():
            self.pending_reply.set_exception(DiscoveryCallError(cause))
        self.close()

    def close(self) -> None:
        """Close immediately and discard unsent data."""
        if self.transport is not None:
            self.transport.abort()

    async def request(self, head: bytes) -> Reply:
        """Send a request and return its reply; raise DiscoveryCallError if the connection closes first."""
        if self.transport is None or not self.is_open:
            raise ConnectionEndedError
        self.pending_reply = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        try:
            return await self.pending_reply
        finally:
            self.pending_reply = None
