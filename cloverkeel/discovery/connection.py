"""One HTTP/1.1 connection to discovery or to a relay: one request at a time, its reply read to the end."""

from __future__ import annotations

import asyncio
import select
from typing import Final, cast

from cloverkeel.core.config import Address
from cloverkeel.core.messages import Reply
from cloverkeel.discovery.errors import ConnectionEndedError, DiscoveryCallError
from cloverkeel.protocols.http1 import ReplyError, ReplyReader

MAX_REPLY_BYTES: Final = 16 * 1024 * 1024  # compressed or not

HTTP_OK: Final = 200


def get_request(address: Address, target: bytes, extra_headers: bytes = b"") -> bytes:
    """Return the head of a GET; `extra_headers` are lines, each with its end."""
    host, port = address
    return b"GET %s HTTP/1.1\r\nHost: %s:%d\r\n%s\r\n" % (target, host.encode(), port, extra_headers)


class DiscoveryConnection(asyncio.Protocol):
    """Send a request, and wait for its reply; a reply that cannot be read ends the connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.reply_reader = ReplyReader(MAX_REPLY_BYTES)
        self.pending_reply: asyncio.Future[Reply] | None = None
        self.socket_poll = select.poll()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self.socket_poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def is_awaiting_reply(self) -> bool:
        """Whether a request is under way."""
        return self.pending_reply is not None

    @property
    def has_unread(self) -> bool:
        """Whether a reply, or a part of one, has arrived that nobody was notified of yet."""
        if not self.is_open:
            return False
        if self.pending_reply is not None and self.pending_reply.done():
            return True
        return self.reply_reader.has_begun or bool(self.socket_poll.poll(0))

    def data_received(self, data: bytes) -> None:
        """Read a part of the reply (asyncio)."""
        try:
            reply = self.reply_reader.feed(data)
        except ReplyError as error:
            self.fail(str(error))
            return
        if reply is not None and self.pending_reply is not None and not self.pending_reply.done():
            self.pending_reply.set_result(reply)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Fail the request that is under way (asyncio)."""
        self.transport = None
        self.fail("the connection ended")

    def fail(self, cause: str) -> None:
        """Fail the request that is under way, and close."""
        if self.pending_reply is not None and not self.pending_reply.done():
            self.pending_reply.set_exception(DiscoveryCallError(cause))
        self.close()

    def close(self) -> None:
        """Close at once, without waiting for what is still to be written."""
        if self.transport is not None:
            self.transport.abort()

    async def request(self, head: bytes) -> Reply:
        """Send a request, and return its reply. DiscoveryCallError where the connection ends before that."""
        if self.transport is None or not self.is_open:
            raise ConnectionEndedError
        self.pending_reply = asyncio.get_running_loop().create_future()
        self.transport.write(head)
        try:
            return await self.pending_reply
        finally:
            self.pending_reply = None
