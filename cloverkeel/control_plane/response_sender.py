"""Send endpoint lists: short ones immediately, long ones encoded incrementally, one after another.

Invariants:
- `age_ms` is computed when a response is written, so it includes a stall of the process. It counts from the list's
  confirmation time when the response was made, even if the list is updated while the response is encoded;
- a response that cannot be made aborts its own connection and no other.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

from cloverkeel.control_plane.connection import MAX_SINGLE_STEP_BYTES, STATUS_OK, ClientConnection
from cloverkeel.control_plane.cooperative import run_cooperatively
from cloverkeel.control_plane.discovery_source import DiscoverySource
from cloverkeel.control_plane.encoding import IncrementalBody
from cloverkeel.core.incremental import Incremental
from cloverkeel.control_plane.messages import ListResponse
from cloverkeel.core.clock import now_us
from cloverkeel.core.log import log


def log_failed_response(error: Exception) -> None:
    """Log a defect of the relay itself."""
    log(f"relay: DEFECT, response failed, error={error!r}")


@contextmanager
def abort_on_failure(connection: ClientConnection) -> Iterator[None]:
    """Abort a connection whose response raises an exception, so that neither it nor others wait forever."""
    try:
        yield
    except Exception as error:
        log_failed_response(error)
        connection.abort()


class ResponseSender:
    """Sends lists, and runs incremental work in the background, one item after another."""

    def __init__(self, loop: asyncio.AbstractEventLoop, source: DiscoverySource) -> None:
        self.loop, self.source = loop, source
        self.unsent_bytes = 0  # total of large responses that clients have not read
        self.background_work: deque[Incremental[None]] = deque()  # holds at most one response per connection
        self.background_task: asyncio.Task[None] | None = None

    def age_ms(self, as_of_us: int | None) -> int:
        """Return the time since `as_of_us` (a DiscoverySource.confirmed_us); 0 if it is None."""
        return 0 if as_of_us is None else max(0, now_us() - as_of_us) // 1000

    def send(self, connection: ClientConnection, response: ListResponse) -> int:
        """Send a response; returns the size of its entries in bytes."""
        entries_bytes, as_of_us = response.entries_bytes, self.source.confirmed_us
        if entries_bytes > MAX_SINGLE_STEP_BYTES:
            self.run_in_background(self._send_incrementally(connection, response, as_of_us))
        else:
            connection.respond(STATUS_OK, response.body(self.age_ms(as_of_us)))
        return entries_bytes

    def _send_incrementally(
        self, connection: ClientConnection, response: ListResponse, as_of_us: int | None
    ) -> Incremental[None]:
        with abort_on_failure(connection):
            body = IncrementalBody(connection.accepts_gzip)
            for _ in body.encode(response):
                if connection.is_closed:
                    return
                yield
            connection.respond_with_body(body, self.age_ms(as_of_us))

    def run_in_background(self, work: Incremental[None]) -> None:
        """Append work to the queue, which runs in slices."""
        self.background_work.append(work)
        if self.background_task is None:
            self.background_task = self.loop.create_task(self._run_background_work())

    async def _run_background_work(self) -> None:
        try:
            while self.background_work:
                await run_cooperatively(self.background_work.popleft())
        finally:
            self.background_task = None

    def close(self) -> None:
        """Cancel unfinished background work."""
        if self.background_task is not None:
            self.background_task.cancel()
