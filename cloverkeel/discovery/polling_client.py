"""Ask discovery for the list of instances, one call at a time; poll_schedule.py says what is asked.

A long answer is read incrementally: the event loop serves others between its steps. Invariants:
- one call is out at a time: until an answer is read to its end, nothing else is asked;
- nobody is notified of anything in an answer before all of it was read and found usable, and then of all in one step;
- nobody is notified of an answer once its call was replaced: by another call, a move to another address, or the end;
  its reading is cancelled;
- a catch-up after a stall waits for what is being read, which is read without suspending then: nothing is sent
  before;
- bounded: MAX_REPLY_BYTES, compressed or not; MAX_INCREMENTAL_READ_S after an answer has arrived, the rest of it is
  read in one piece. That is no part of the time in which the answer has to come, and changes none of the sums in
  poll_schedule.py by more.
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
from cloverkeel.discovery.connection import HTTP_OK, DiscoveryConnection, get_request
from cloverkeel.discovery.errors import UnexpectedStatusError
from cloverkeel.core.incremental import HintedIncremental, Result, run_to_completion
from cloverkeel.discovery.poll_schedule import (
    CONNECT_TIMEOUT_S,
    EMPTY_REPLY_PAUSE_S,
    MAX_INCREMENTAL_READ_S,
    PollRequest,
    PollSchedule,
)

MAX_ATOMIC_READ_BYTES: Final = 64 << 10  # an answer of no more is read in one piece; 200 hosts are some 33 KB
READ_SLICE_S: Final = 0.00025  # of reading a longer one, before the loop serves others
CATCH_UP_TIMEOUT_S: Final = 0.5  # for an answer that has begun to arrive
MAX_CATCH_UP_ROUNDS: Final = 100
IMMEDIATE_CATCH_UP_ROUNDS: Final = 20  # without a delay in between
CATCH_UP_INTERVAL_S: Final = CATCH_UP_TIMEOUT_S / MAX_CATCH_UP_ROUNDS
MIN_STALL_FOR_REFRESH_US: Final = 2_000_000  # after a longer stall, a watch's news may have gone by


class PollingClient(ABC):
    """Poll for the list; a subclass says what is asked, and what is made of an answer.

    One task at a time polls, over one connection: what it hands on is always newer than what it did before.
    """

    max_atomic_read_bytes: int = MAX_ATOMIC_READ_BYTES
    read_slice_s: float = READ_SLICE_S
    max_incremental_read_s: float = MAX_INCREMENTAL_READ_S

    def __init__(self, address: Address, pushed: bool) -> None:
        """`pushed`: nobody asks for changes; they are watched for from the start, whatever fails."""
        self.pushed = pushed
        self.address = address
        self.schedule = PollSchedule()
        self.is_closed = False
        self.poll_task: asyncio.Task[None] | None = None
        self.is_watching = False  # polling goes on after an answer
        self.retry_timer: asyncio.TimerHandle | None = None
        self.catch_up_task: asyncio.Task[None] | None = None
        self.connection: DiscoveryConnection | None = None
        self.handled_replies = 0
        self.is_reading = False  # a reply that has arrived is being read

    # What a subclass may say otherwise

    def server_address(self) -> Address:
        """Return who is asked on the next connection."""
        return self.address

    def request_target(self, request: PollRequest) -> bytes:
        """Return the target of a call, in full."""
        return request.target

    def extra_headers(self) -> bytes:
        """Return further header lines of a call, each with its line end."""
        return b""

    def decode_content(self, reply: Reply) -> HintedIncremental[bytes]:
        """Undo the content coding of a 200's body."""
        yield from ()
        return reply.body

    @abstractmethod
    def handle_body(self, body: bytes) -> HintedIncremental[bool]:
        """Read an answer, notify of it, and tell `schedule`; returns whether it had any entry.

        Whatever this raises is a failed call. It may be closed at any step, and has notified of nothing then.
        """

    @abstractmethod
    def on_call_failed(self) -> None:
        """React to a failed call; nothing polls now, and this may begin to."""

    # Reading an answer

    def decode_body(self, body: bytes) -> HintedIncremental[Any]:
        """Decode the JSON of an answer."""
        if len(body) > self.max_atomic_read_bytes:
            return (yield from decode_json(body))
        return json.loads(body)

    def handle_body_at_once(self, body: bytes) -> bool:
        """Handle an answer without suspending."""
        return run_to_completion(self.handle_body(body))

    async def handle_reply(self, reply: Reply) -> bool:
        """Handle an answer; between the steps of a long one the loop serves others."""
        deadline_s = time.monotonic() + self.max_incremental_read_s
        self.is_reading = True
        try:
            body = await self._run_cooperatively(self.decode_content(reply), deadline_s)
            if len(body) <= self.max_atomic_read_bytes:
                return self.handle_body_at_once(body)
            return await self._run_cooperatively(self.handle_body(body), deadline_s)
        finally:
            self.is_reading = False

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
        """Begin to watch, or stop; a watch that is on goes on as it is."""
        if on and not self.is_watching:
            self.restart(watches=True)
        elif not on and self.is_watching:
            self.stop()

    def move(self, address: Address) -> None:
        """Ask at another address from now on; nothing that the old one may still answer is heard."""
        self.address = address
        self.schedule.reset()
        self.restart(watches=True)

    def fetch(self) -> None:
        """Ask for a snapshot; a watch goes on from it."""
        self.schedule.require_snapshot()
        self.restart(self.is_watching)

    def restart(self, watches: bool) -> None:
        """Poll anew, on a new connection, in the place of whatever polls now."""
        self.stop()
        if not self.is_closed:
            self.is_watching = watches
            self.poll_task = asyncio.get_running_loop().create_task(self._poll())

    def stop(self) -> None:
        """Stop polling, and drop the connection."""
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
        """Stop for good."""
        self.is_closed = True
        self.stop()
        if self.catch_up_task is not None:
            self.catch_up_task.cancel()
            self.catch_up_task = None

    # After a stall of this process

    @property
    def is_catching_up(self) -> bool:
        """Whether a catch-up is under way."""
        return self.catch_up_task is not None and not self.catch_up_task.done()

    def catch_up(self, stall_us: int, done: Callable[[], None]) -> None:
        """Handle what has arrived meanwhile; then, where news may have gone by, what a call answers now."""
        if self.is_closed:
            done()
            return
        # The replies that had been handled when the stall was noticed, and not when the task gets its turn.
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
            # The loop reads in between; where only part of an answer has arrived, there is no hurry.
            await asyncio.sleep(0 if rounds < IMMEDIATE_CATCH_UP_ROUNDS else CATCH_UP_INTERVAL_S)

    async def _refresh(self) -> None:
        """Poll anew, and wait until that was answered or replaced."""
        self.restart(watches=True)
        handled, task = self.handled_replies, self.poll_task
        while self.handled_replies == handled and self.poll_task is task:
            await asyncio.sleep(CATCH_UP_INTERVAL_S)

    def _has_unread(self, connection: DiscoveryConnection | None) -> bool:
        """Whether a reply, or a part of one, has arrived on this connection that was not handled yet."""
        if connection is None or self.connection is not connection:
            return False
        return self.is_reading or connection.has_unread

    # The task that polls

    async def _poll(self) -> None:
        """Poll until a call fails; the balancer or a timer has it begin again."""
        this_task = asyncio.current_task()
        try:
            while self.poll_task is this_task:
                await self._poll_once()
                if not self.is_watching:
                    break
        except Exception as error:
            # Whatever it is: a call that ended without a word would never be made again.
            if self.poll_task is this_task:
                self._on_failure(error)
        else:
            if self.poll_task is this_task:
                self.poll_task = None
                self.stop()

    def _on_failure(self, error: Exception) -> None:
        log(f"discovery: {str(error) or type(error).__name__}")
        self.schedule.on_failure()
        self.poll_task = None  # this one is over; and the balancer may ask again while it hears of this
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
        self.handled_replies += 1  # only now: the core may notice a stall meanwhile, and this reply is of the stall
        if request.is_long_poll and not has_entries and loop.time() - sent_s < EMPTY_REPLY_PAUSE_S:
            # Guards against polling without end where a server answers at once, with nothing.
            await asyncio.sleep(EMPTY_REPLY_PAUSE_S)

    async def _connect(self) -> DiscoveryConnection:
        """Return the open connection, or a new one."""
        connection = self.connection
        if connection is not None and connection.is_open:
            return connection
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(DiscoveryConnection, *self.server_address())
        self.connection = connection
        self.schedule.on_connected()
        return connection
