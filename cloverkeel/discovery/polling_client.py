"""Poll discovery for the endpoint list, one call at a time; poll_schedule.py selects the requests.

A long reply is parsed incrementally, so that the event loop runs other tasks in between. Invariants:
- one call is in flight at a time: the next is sent after the reply was parsed completely;
- the core receives a reply only after all of it was parsed and found valid, and then in one step;
- the core does not receive the reply to a call that was replaced by another call, a new address or close(); its
  parsing is cancelled;
- a catch-up after a stall waits for a reply that is being parsed, which then continues without suspending: no request
  is sent to a host before that;
- memory is bounded by the memory account, and by MAX_REPLY_BYTES before and after decompression;
- MAX_INCREMENTAL_READ_S after a reply has arrived, the rest is parsed without suspending. This time is not part of
  the timeouts in poll_schedule.py and lengthens each of their sums by at most MAX_INCREMENTAL_READ_S.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, Final, cast

from cloverkeel.core.config import Address
from cloverkeel.core.incremental_json import decode_json
from cloverkeel.core.log import log
from cloverkeel.core.messages import Reply
from cloverkeel.core.peer_resources import PeerResources
from cloverkeel.discovery.connection import HTTP_OK, DiscoveryConnection, get_request
from cloverkeel.discovery.errors import UnexpectedStatusError
from cloverkeel.core.incremental import HintedIncremental, Result, run_to_completion
from cloverkeel.discovery.poll_schedule import CONNECT_TIMEOUT_S, EMPTY_REPLY_PAUSE_S, MAX_INCREMENTAL_READ_S
from cloverkeel.discovery.poll_schedule import PollRequest, PollSchedule
from cloverkeel.discovery.reply_memory import ReplyMemory

MAX_ATOMIC_READ_BYTES: Final = 64 << 10  # larger replies are parsed incrementally; 200 hosts take about 33 KB
READ_SLICE_S: Final = 0.00025  # parsing time between two turns of the event loop
CATCH_UP_TIMEOUT_S: Final = 0.5  # time to wait for the rest of a reply that has partly arrived
MAX_CATCH_UP_ROUNDS: Final = 100
IMMEDIATE_CATCH_UP_ROUNDS: Final = 20  # the first rounds have no delay in between
CATCH_UP_INTERVAL_S: Final = CATCH_UP_TIMEOUT_S / MAX_CATCH_UP_ROUNDS
MIN_STALL_FOR_REFRESH_US: Final = 2_000_000  # after a longer stall, the watch may have missed a change


class PollingClient(ABC):
    """Poll for the list; a subclass may change the requests and defines how replies are handled.

    One task at a time polls over one connection, so each list that it passes on is newer than the last.
    """

    max_atomic_read_bytes: int = MAX_ATOMIC_READ_BYTES
    read_slice_s: float = READ_SLICE_S
    max_incremental_read_s: float = MAX_INCREMENTAL_READ_S

    def __init__(self, address: Address, pushed: bool) -> None:
        """`pushed`: the core does not request lists; this client watches from the start and retries failures."""
        self.pushed = pushed
        self.address = address
        self.resources: PeerResources | None = None  # what all peers share; set by the assembly
        self.schedule = PollSchedule()
        self.is_closed = False
        self.poll_task: asyncio.Task[None] | None = None
        self.is_watching = False  # polling continues after a reply
        self.retry_timer: asyncio.TimerHandle | None = None
        self.catch_up_task: asyncio.Task[None] | None = None
        self.connection: DiscoveryConnection | None = None
        self.handled_replies = 0
        self.is_reading = False  # a reply has arrived and is being parsed

    # Hooks for subclasses

    def server_address(self) -> Address:
        """Return the address for the next connection."""
        return self.address

    def request_target(self, request: PollRequest) -> bytes:
        """Return the complete request target of a call."""
        return request.target

    def extra_headers(self) -> bytes:
        """Return additional header lines of a call, each ending in CRLF."""
        return b""

    def decode_content(self, reply: Reply) -> HintedIncremental[bytes]:
        """Decode the content coding of a reply with status 200."""
        yield from ()
        return reply.body

    @abstractmethod
    def handle_body(self, body: bytes) -> HintedIncremental[bool]:
        """Parse a reply, update `schedule` and notify the core; return whether the reply had any entry.

        An exception counts as a failed call. The generator may be closed at any step; the core is not notified then.
        """

    @abstractmethod
    def on_call_failed(self) -> None:
        """Handle a failed call. Polling has stopped; this method may restart it."""

    # Handling a reply

    def decode_body(self, body: bytes) -> HintedIncremental[Any]:
        """Decode the JSON body of a reply."""
        if len(body) > self.max_atomic_read_bytes:
            return (yield from decode_json(body))
        return json.loads(body)

    def handle_body_at_once(self, body: bytes) -> bool:
        """Handle a reply without suspending."""
        return run_to_completion(self.handle_body(body))

    async def handle_reply(self, reply: Reply) -> bool:
        """Handle a reply; the event loop runs other tasks between the steps of a long one."""
        deadline_s = time.monotonic() + self.max_incremental_read_s
        self.is_reading = True
        memory = ReplyMemory(self.resources)
        try:
            body = await self._run_cooperatively(self.decode_content(reply), deadline_s)
            memory.hold_decoded(body)
            if len(body) <= self.max_atomic_read_bytes:
                return self.handle_body_at_once(body)
            return await self._run_cooperatively(self.handle_body(body), deadline_s)
        finally:
            self.is_reading = False
            memory.release()

    async def _run_cooperatively(self, steps: HintedIncremental[Result], deadline_s: float) -> Result:
        slice_end_s = time.monotonic() + self.read_slice_s
        try:
            while True:
                try:
                    is_next_long = next(steps)
                except StopIteration as stop:
                    return cast(Result, stop.value)
                now_s = time.monotonic()
                is_due = is_next_long or now_s > slice_end_s
                may_suspend = now_s < deadline_s and not self.is_catching_up
                if is_due and may_suspend:
                    await asyncio.sleep(0)
                    slice_end_s = time.monotonic() + self.read_slice_s
        finally:
            steps.close()

    # When to poll

    def watch(self, on: bool) -> None:
        """Start or stop watching; has no effect if the watch is already in that state."""
        if on and not self.is_watching:
            self.restart(watches=True)
        elif not on and self.is_watching:
            self.stop()

    def move(self, address: Address) -> None:
        """Poll another address from now on; replies from the old one are ignored."""
        self.address = address
        self.schedule.reset()
        self.restart(watches=True)

    def fetch(self) -> None:
        """Request a snapshot; an active watch continues from its version."""
        self.schedule.require_snapshot()
        self.restart(self.is_watching)

    def restart(self, watches: bool) -> None:
        """Cancel the current polling task, if any, and poll on a new connection."""
        self.stop()
        if not self.is_closed:
            self.is_watching = watches
            self.poll_task = asyncio.get_running_loop().create_task(self._poll())

    def stop(self) -> None:
        """Stop polling and close the connection."""
        self.is_watching = False
        if self.poll_task is not None:
            self.poll_task.cancel()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        if self.connection is not None:
            self.connection.close()
        self.poll_task = None
        self.retry_timer = None
        self.connection = None

    def close(self) -> None:
        """Stop permanently."""
        self.is_closed = True
        self.stop()
        if self.catch_up_task is not None:
            self.catch_up_task.cancel()
            self.catch_up_task = None

    # After a stall of this process

    @property
    def is_catching_up(self) -> bool:
        """Whether a catch-up is in progress."""
        return self.catch_up_task is not None and not self.catch_up_task.done()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Handle replies that arrived during a stall, poll again if a change may be missed, then call `done`."""
        if self.is_closed:
            done()
            return
        # Reads handled_replies now, when the stall has just been detected, and not when the task first runs.
        catching_up = self._catch_up(stall_us, self.handled_replies, done)
        self.catch_up_task = asyncio.get_running_loop().create_task(catching_up)

    async def _catch_up(self, stall_us: int, handled_before: int, done: Callable[[], None]) -> None:
        try:
            connection = self.connection
            await self._wait_until_read(connection)
            is_current = self.connection is connection
            is_polling = connection is not None and is_current and connection.is_awaiting_reply
            may_have_missed = self.handled_replies != handled_before or not is_polling
            if stall_us >= MIN_STALL_FOR_REFRESH_US and may_have_missed:
                await self._refresh()
        finally:
            done()

    async def _wait_until_read(self, connection: DiscoveryConnection | None) -> None:
        rounds = 0
        while self._has_unread(connection) and rounds < MAX_CATCH_UP_ROUNDS:
            rounds += 1
            # The loop reads the socket in between. Later rounds have a delay: the rest of the reply is in transit.
            await asyncio.sleep(0 if rounds < IMMEDIATE_CATCH_UP_ROUNDS else CATCH_UP_INTERVAL_S)

    async def _refresh(self) -> None:
        """Restart polling and wait until the call is answered or replaced."""
        self.restart(watches=True)
        handled, task = self.handled_replies, self.poll_task
        while self.handled_replies == handled and self.poll_task is task:
            await asyncio.sleep(CATCH_UP_INTERVAL_S)

    def _has_unread(self, connection: DiscoveryConnection | None) -> bool:
        """Whether a reply, or part of one, has arrived on this connection and is not handled yet."""
        if connection is None or self.connection is not connection:
            return False
        return self.is_reading or connection.has_unread

    # The polling task

    async def _poll(self) -> None:
        """Poll until a call fails; the balancer or a timer starts polling again."""
        this_task = asyncio.current_task()
        try:
            while self.poll_task is this_task:
                await self._poll_once()
                if not self.is_watching:
                    break
        except Exception as error:
            # Catches every exception: without a failure notification, nothing would start polling again.
            if self.poll_task is this_task:
                self._on_failure(error)
        else:
            if self.poll_task is this_task:
                self.poll_task = None
                self.stop()

    def _on_failure(self, error: Exception) -> None:
        log(f"discovery: {str(error) or type(error).__name__}")
        self.schedule.on_failure()
        self.poll_task = None  # this task ends; the balancer may restart polling in on_call_failed
        self.stop()
        self.on_call_failed()
        if self.pushed and self.poll_task is None and not self.is_closed:
            delay_s = self.schedule.retry_delay_s(random.random())
            self.retry_timer = asyncio.get_running_loop().call_later(delay_s, self.watch, True)

    async def _poll_once(self) -> None:
        loop = asyncio.get_running_loop()
        connection = await self._connect()
        request = self.schedule.next_request(loop.time())
        head = get_request(self.server_address(), self.request_target(request), self.extra_headers())
        sent_s = loop.time()
        async with asyncio.timeout(request.timeout_s):
            reply = await connection.request(head)
        if reply.status != HTTP_OK:
            raise UnexpectedStatusError(reply.status)
        if not reply.keep_alive:
            connection.close()
        has_entries = await self.handle_reply(reply)
        self.handled_replies += 1  # after handling: a catch-up that starts meanwhile counts this reply as its own
        if request.is_long_poll and not has_entries and loop.time() - sent_s < EMPTY_REPLY_PAUSE_S:
            # Limits the poll rate if a server answers long polls immediately without entries.
            await asyncio.sleep(EMPTY_REPLY_PAUSE_S)

    async def _connect(self) -> DiscoveryConnection:
        """Return the open connection, or establish a new one."""
        connection = self.connection
        if connection is not None and connection.is_open:
            return connection
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: DiscoveryConnection(self.resources), *self.server_address()
            )
        self.connection = connection
        self.schedule.on_connected()
        return connection
