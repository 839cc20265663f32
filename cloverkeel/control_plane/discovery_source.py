"""Poll discovery for the full list, as a single client, and track the age of the cached list.

Invariants:
- at `confirmed_us` or later discovery's list was equal to the cached one: `confirmed_us` is the time at which the
  request of the last applied response was sent. So the age includes the time that a response spent on the network,
  or in the kernel while this process was stalled;
- an invalid response changes nothing: the cached list stays, its age grows, and the next request asks for a snapshot;
- a long list is applied incrementally, without polling meanwhile. If it is not applied completely, the next request
  asks for a snapshot, and the age is not reset before that;
- after a stall of this process discovery is polled again immediately, on a new connection.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from math import inf
from typing import Any, Final, Protocol

from cloverkeel.control_plane.errors import UnusableListError
from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address
from cloverkeel.core.log import log
from cloverkeel.core.incremental import HintedIncremental
from cloverkeel.discovery.poll_schedule import INSTANCES_PATH, LONG_POLL_GRACE_S, PollRequest, PollSchedule
from cloverkeel.discovery.polling_client import PollingClient

CLOCK_CHECK_INTERVAL_S: Final = 0.05
STALL_THRESHOLD_US: Final = 1_000_000  # delay of a clock check that counts as a stall
HOLD_S: Final = 0.25  # of a long poll; the list's age reaches up to twice that. A relay sends 4 requests per second
MAX_SINGLE_STEP_BYTES: Final = 32 << 10  # a response up to this size, about 150 entries, is applied in one step
SLICE_S: Final = 0.005  # length of a slice of applying a longer response, before the loop runs other callbacks
MAX_ERROR_CHARS: Final = 200
# Reasons for which a response is invalid. `last_wrong` of /relay/state shows them after the exception's type name.
NOT_A_LIST: Final = "not a list of hosts"
SNAPSHOT_EXPECTED: Final = "expected the whole list, found changes"
TOO_FEW_HOSTS: Final = "too few of its entries are hosts"


class ListConsumer(Protocol):
    """Receives discovery's lists."""

    def apply_list(self, is_snapshot: bool, items: list[Any]) -> bool:
        """Apply a list; returns whether it was valid. An invalid list changes nothing."""

    def apply_list_incrementally(self, is_snapshot: bool, items: list[Any]) -> HintedIncremental[bool]:
        """Apply a list as `apply_list` does, incrementally."""


class DiscoveryPollSchedule(PollSchedule):
    """A gateway's poll schedule with a shorter hold, HOLD_S."""

    def next_request(self, now_s: float) -> PollRequest:
        """Return the next request."""
        request = super().next_request(now_s)
        if not request.is_long_poll:
            return request
        target = INSTANCES_PATH + b"?from=%d&hold_ms=%d" % (self.version or 0, int(HOLD_S * 1000))
        return PollRequest(target, HOLD_S + LONG_POLL_GRACE_S, True)


@dataclass(slots=True, frozen=True)
class _DiscoveryList:
    """A response of discovery."""

    index: int
    is_snapshot: bool
    entries: list[Any]


def _read_list(raw: Any, is_snapshot_requested: bool) -> _DiscoveryList:
    index, is_snapshot, entries = raw["index"], raw.get("snapshot", False), raw.get("endpoints", [])
    is_list = isinstance(index, int) and isinstance(is_snapshot, bool) and isinstance(entries, list)
    if not is_list:
        raise ValueError(NOT_A_LIST)
    if is_snapshot_requested and not is_snapshot:
        raise ValueError(SNAPSHOT_EXPECTED)
    return _DiscoveryList(index, is_snapshot, entries)


class DiscoverySource(PollingClient):
    """Polls discovery for a snapshot and then for changes, until it is closed."""

    max_atomic_read_bytes = MAX_SINGLE_STEP_BYTES
    read_slice_s = SLICE_S
    # No time limit: the cache limits the number of hosts of a list, and gateways would get no responses while a whole
    # list is applied in one step.
    max_incremental_read_s = inf

    def __init__(self, address: Address, consumer: ListConsumer) -> None:
        super().__init__(address, pushed=True)
        self.schedule = DiscoveryPollSchedule()
        self.consumer = consumer
        self.request_sent_us = 0  # time at which the open request was sent
        self.is_snapshot_requested = True  # by the open request
        # Discovery's list was equal to the cached one at this time or later; None before the first list.
        self.confirmed_us: int | None = None
        self.last_clock_check_us = now_us()
        self.clock_check_timer: asyncio.TimerHandle | None = None
        self.discovery_index: int | None = None  # index of the cached list; None before the first list
        self.unusable_responses = 0
        self.failed_requests = 0
        self.last_error = ""
        self.stalls = 0
        self.longest_stall_us = 0
        self.longest_delay_us = 0  # of a clock check, not counting stalls

    def start(self) -> None:
        """Start to poll, and to check the clock."""
        self.check_clock()
        self.watch(True)

    def close(self) -> None:
        """Stop polling."""
        if self.clock_check_timer is not None:
            self.clock_check_timer.cancel()
        super().close()

    def age_ms(self, at_us: int) -> int:
        """Return an upper bound of the cached list's age; 0 before the first list."""
        return 0 if self.confirmed_us is None else max(0, at_us - self.confirmed_us) // 1000

    def check_clock(self) -> None:
        """Detect a stall of this process since the last check; after one, poll discovery on a new connection."""
        check_us = now_us()
        delay_us = check_us - self.last_clock_check_us - int(CLOCK_CHECK_INTERVAL_S * 1e6)
        self.last_clock_check_us = check_us
        loop = asyncio.get_running_loop()
        self.clock_check_timer = loop.call_later(CLOCK_CHECK_INTERVAL_S, self.check_clock)
        if delay_us < STALL_THRESHOLD_US:
            self.longest_delay_us = max(self.longest_delay_us, delay_us)
            return
        self.stalls += 1
        self.longest_stall_us = max(self.longest_stall_us, delay_us)
        log(f"discovery: process was stalled, polling anew, stall_ms={delay_us // 1000}")
        if not self.is_closed:
            self.restart(watches=True)

    # PollingClient's callbacks

    def request_target(self, request: PollRequest) -> bytes:
        """Return the request's target; records the send time and whether a snapshot is requested."""
        self.request_sent_us, self.is_snapshot_requested = now_us(), self.schedule.version is None
        return request.target

    def handle_body(self, body: bytes) -> HintedIncremental[bool]:
        """Apply a response; returns whether it had any entries.

        Counts an invalid response and raises UnusableListError.
        """
        is_applied = False
        try:
            raw = yield from self.decode_body(body)
            received = _read_list(raw, self.is_snapshot_requested)
            yield from self._apply(received, is_long=len(body) > MAX_SINGLE_STEP_BYTES)
            is_applied = True
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self.unusable_responses += 1
            self.last_error = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]
            raise UnusableListError(self.last_error) from None
        finally:
            if not is_applied:
                self.schedule.require_snapshot()  # the cached list may lack this response's changes
        return bool(received.entries)

    def _apply(self, received: _DiscoveryList, is_long: bool) -> HintedIncremental[None]:
        now_s = asyncio.get_running_loop().time()
        if not self.schedule.on_reply(now_s, received.index, received.is_snapshot):
            return
        if is_long:
            is_usable = yield from self.consumer.apply_list_incrementally(received.is_snapshot, received.entries)
        else:
            is_usable = self.consumer.apply_list(received.is_snapshot, received.entries)
        if not is_usable:
            raise ValueError(TOO_FEW_HOSTS)
        self.discovery_index, self.confirmed_us = received.index, self.request_sent_us

    def on_call_failed(self) -> None:
        """Count a failed request."""
        self.failed_requests += 1
