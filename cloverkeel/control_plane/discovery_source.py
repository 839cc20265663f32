"""Poll discovery: a relay asks as one client, for the full list, and knows when what it has was last known to be
true.

Invariants:
- at `confirmed_us` or later discovery had just what is cached: it is when the request was sent whose response said
  so. So a response that was long on its way, or waited in the kernel while this process was stalled, is no younger
  than it is;
- a response that cannot be read changes nothing: what is cached stays, its age grows, and a snapshot is asked for;
- a long list is applied incrementally, and discovery is not asked meanwhile; of one that is not applied to its end
  a snapshot is asked for, and its age does not change before;
- after a stall of this process discovery is asked anew at once, on another connection.
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
STALL_THRESHOLD_US: Final = (
    1_000_000  # between clock checks: more, and discovery is asked anew, on another connection
)
HOLD_S: Final = 0.25  # of a poll: an age is up to twice that. 4 requests a second of each relay
MAX_SINGLE_STEP_BYTES: Final = 32 << 10  # a response of no more is applied at one go, some 150 entries
SLICE_S: Final = 0.005  # of applying a longer one, before others get their turn
MAX_ERROR_CHARS: Final = 200  # of what could not be read
# Why a response cannot be used: as `last_wrong` of /relay/state has it, with the name of the error's type.
NO_LIST: Final = "not a list of hosts"
NO_SNAPSHOT: Final = "expected the whole list, found changes"
FEW_HOSTS: Final = "too few of its entries are hosts"


class ListConsumer(Protocol):
    """Who is given discovery's lists."""

    def apply_list(self, is_snapshot: bool, items: list[Any]) -> bool:
        """Return whether the list could be used; if not, nothing has changed."""

    def apply_list_incrementally(self, is_snapshot: bool, items: list[Any]) -> HintedIncremental[bool]:
        """Do the same step by step."""


class DiscoveryPollSchedule(PollSchedule):
    """As a gateway's, but each poll is held for a shorter time."""

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
        raise ValueError(NO_LIST)
    if is_snapshot_requested and not is_snapshot:
        raise ValueError(NO_SNAPSHOT)
    return _DiscoveryList(index, is_snapshot, entries)


class DiscoverySource(PollingClient):
    """Asks discovery for a snapshot and its changes, for as long as it runs."""

    max_atomic_read_bytes = MAX_SINGLE_STEP_BYTES
    read_slice_s = SLICE_S
    # The cache bounds a list by its hosts, and all of them at once would be a silence to gateways.
    max_incremental_read_s = inf

    def __init__(self, address: Address, consumer: ListConsumer) -> None:
        super().__init__(address, pushed=True)
        self.schedule = DiscoveryPollSchedule()
        self.consumer = consumer
        self.request_sent_us = 0  # of the request that is out
        self.is_snapshot_requested = True  # by it
        self.confirmed_us: int | None = None  # discovery had just this then, or later; None: there was no list
        self.last_clock_check_us = now_us()
        self.clock_check_timer: asyncio.TimerHandle | None = None
        self.discovery_index: int | None = None  # of the list that is cached
        self.unusable_responses = 0
        self.failed_requests = 0
        self.last_error = ""
        self.stalls = 0
        self.longest_stall_us = 0
        self.longest_delay_us = 0  # of a clock check, where it was no stall

    def start(self) -> None:
        """Begin to poll, and to check the clock."""
        self.check_clock()
        self.watch(True)

    def close(self) -> None:
        """Poll no more."""
        if self.clock_check_timer is not None:
            self.clock_check_timer.cancel()
        super().close()

    def age_ms(self, at_us: int) -> int:
        """Return how long ago discovery had just this, at the most."""
        return 0 if self.confirmed_us is None else max(0, at_us - self.confirmed_us) // 1000

    def check_clock(self) -> None:
        """Find out whether this process was stalled since the last check; if so, ask discovery anew."""
        checked_us = now_us()
        delay_us = checked_us - self.last_clock_check_us - int(CLOCK_CHECK_INTERVAL_S * 1e6)
        self.last_clock_check_us = checked_us
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

    # What the polling client calls

    def request_target(self, request: PollRequest) -> bytes:
        """Return the request's target, and note when it is sent and what it asks for."""
        self.request_sent_us, self.is_snapshot_requested = now_us(), self.schedule.version is None
        return request.target

    def handle_body(self, body: bytes) -> HintedIncremental[bool]:
        """Apply a response; returns whether it had any entry.

        Raises UnusableListError, after it was counted, for one that cannot be used.
        """
        is_applied = False
        try:
            raw = yield from self.decode_body(body)
            listed = _read_list(raw, self.is_snapshot_requested)
            yield from self._apply(listed, is_long=len(body) > MAX_SINGLE_STEP_BYTES)
            is_applied = True
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self.unusable_responses += 1
            self.last_error = f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]
            raise UnusableListError(self.last_error) from None
        finally:
            if not is_applied:
                self.schedule.require_snapshot()  # what is cached may lack changes of this one
        return bool(listed.entries)

    def _apply(self, listed: _DiscoveryList, is_long: bool) -> HintedIncremental[None]:
        now_s = asyncio.get_running_loop().time()
        if not self.schedule.on_reply(now_s, listed.index, listed.is_snapshot):
            return
        if is_long:
            is_usable = yield from self.consumer.apply_list_incrementally(listed.is_snapshot, listed.entries)
        else:
            is_usable = self.consumer.apply_list(listed.is_snapshot, listed.entries)
        if not is_usable:
            raise ValueError(FEW_HOSTS)
        self.discovery_index, self.confirmed_us = listed.index, self.request_sent_us

    def on_call_failed(self) -> None:
        """Count a request that failed."""
        self.failed_requests += 1
