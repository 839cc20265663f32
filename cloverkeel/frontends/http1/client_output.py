"""The output of one client connection: the bytes that wait for the client, and the flow of a streamed response.

Invariants:
- while `is_paused` is set, the flow of the streamed response is paused, whichever of the two began first;
- `held_bytes` is at least what was written and the kernel has not taken.
"""

from __future__ import annotations

import asyncio

from cloverkeel.core.calls import FlowControl
from cloverkeel.frontends.http1.delivery_progress import DeliveryProgress


class ClientOutput:
    """Owns the write side of one client connection."""

    __slots__ = ("_progress", "_stream_flow", "_stream_reserved_bytes", "_transport", "is_paused")

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None  # None before the connection is made and after its end
        self._stream_flow: FlowControl | None = None  # of the response that is being streamed
        self._stream_reserved_bytes = 0
        self._progress = DeliveryProgress()
        self.is_paused = False  # the client does not read what was written

    def attach(self, transport: asyncio.Transport) -> None:
        """Use the transport of an accepted connection."""
        self._transport = transport
        # With a limit of 0, asyncio calls pause_writing as soon as a byte waits in its buffer.
        transport.set_write_buffer_limits(high=0)

    def detach(self) -> None:
        """Drop the transport of a connection that has ended."""
        self._transport = None
        self._stream_flow = None

    def write(self, data: bytes) -> None:
        """Write all or part of a response."""
        if self._transport is not None:
            self._progress.written_bytes += len(data)
            self._transport.write(data)

    def pause(self) -> None:
        """Handle asyncio's event: the client reads more slowly than responses are written."""
        self.is_paused = True
        if self._stream_flow is not None:
            self._stream_flow.pause_reading()

    def resume(self) -> None:
        """Handle asyncio's event: the client has read the bytes written."""
        self.is_paused = False
        if self._stream_flow is not None:
            self._stream_flow.resume_reading()

    # Streamed responses

    def begin_stream(self, flow: FlowControl, part_bytes: int, reserved_bytes: int) -> None:
        """Control the flow of a streamed response from now on.

        `part_bytes`: bytes that may wait for the client before the flow is paused. `reserved_bytes`: what the
        response may hold at any time, and is charged for.
        """
        self._stream_flow = flow
        self._stream_reserved_bytes = reserved_bytes
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high=part_bytes)
        if self.is_paused:
            # asyncio reports only changes: it has reported the bytes of earlier responses that wait already.
            flow.pause_reading()

    def end_stream(self) -> None:
        """End the control of a flow; bytes of the response may still wait for the client."""
        self._stream_flow = None
        self._stream_reserved_bytes = 0
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high=0)

    # What waits

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that the output takes or has reserved."""
        return max(self._stream_reserved_bytes, self._unsent_bytes())

    def is_beyond(self, limit_bytes: int) -> bool:
        """Return whether the client is behind by more than `limit_bytes`."""
        return self._unsent_bytes() > limit_bytes

    def has_client_read_more(self) -> bool:
        """Return whether the client has received more of its responses since the last call."""
        return self._transport is not None and self._progress.has_advanced(self._transport)

    def is_all_delivered(self) -> bool:
        """Return whether the client's machine has received all that was written."""
        return self._transport is not None and self._progress.count_pending(self._transport) == 0

    def _unsent_bytes(self) -> int:
        """Return the bytes written that the kernel has not taken, if the client is behind."""
        return self._transport.get_write_buffer_size() if self.is_paused and self._transport is not None else 0
