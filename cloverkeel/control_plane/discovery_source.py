"""The call to discovery: a relay asks as one caller, for the whole list, and knows when it was last told the truth.

Invariants:
- at `confirmed_us` or later discovery had just what is held: it is when the call was made whose answer said so. So an
  answer that was long on its way, or waited in the kernel while this process stood still, is no younger than it is;
- an answer that cannot be read changes nothing: what is held stays, its age grows, and the whole list is asked for;
- a long list is taken in by steps, and discovery is not asked meanwhile; of one that is not taken to its end all is
  asked for anew, and its age is not told before;
- after a gap of this process discovery is asked anew at once, on another connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from math import inf
from typing import Any, Final, Protocol

from cloverkeel.core.clock import now_us
from cloverkeel.core.config import Address
from cloverkeel.core.log import log
from cloverkeel.discovery.polling_client import PollingClient
from cloverkeel.discovery.incremental import Incremental
from cloverkeel.discovery.poll_schedule import LONG_POLL_GRACE_S, INSTANCES_PATH, PollRequest, PollSchedule

BEAT_S: Final = 0.05  # between two looks at the clock
GAP_US: Final = 1_000_000  # between looks: more, and discovery is asked anew, on another connection
HELD_S: Final = 0.25  # of a call for news: an age is up to twice that. 4 calls a second of each relay
SHORT: Final = 32 << 10  # bytes: an answer of no more is taken in at one go, some 150 entries
SLICE_S: Final = 0.005  # of taking in a longer one, before others get their turn
LOG_MOST: Final = 200  # letters of what could not be read


class Taker(Protocol):
    """Who is told what discovery says."""

    def hear(self, whole: bool, items: list[Any]) -> bool:
        """Whether it could be used; if not, nothing has changed."""

    def hear_long(self, whole: bool, items: list[Any]) -> Generator[None, None, bool]:
        """The same, by steps."""


class SourceWatch(PollSchedule):
    """As a gateway's, but each call is held for a shorter time."""

    def next_request(self, now_s: float) -> PollRequest:
        request = super().next_request(now_s)
        if not request.is_long_poll:
            return request
        return PollRequest(
            INSTANCES_PATH + b"?from=%d&hold_ms=%d" % (self.version or 0, int(HELD_S * 1000)),
            HELD_S + LONG_POLL_GRACE_S,
            True,
        )


class Source(PollingClient):
    """Asks discovery for the whole list and its changes, for as long as it runs."""

    max_atomic_read_bytes = SHORT
    read_slice_s = SLICE_S
    max_incremental_read_s = (
        inf  # the feed bounds a list by its hosts, and all of them at once would be a silence to gateways
    )

    def __init__(self, address: Address, taker: Taker) -> None:
        super().__init__(address, pushed=True)
        self.schedule = SourceWatch()
        self.taker = taker
        self.asked_us = 0  # when the call that is out was made
        self.asked_whole = True  # what it asks for
        self.confirmed_us: int | None = None  # discovery had just this then, or later; None: nothing was heard
        self.looked_us = now_us()
        self.index_of_discovery: int | None = None
        self.rubbish = self.failures = 0  # answers that could not be used; calls that failed
        self.last_wrong = ""
        self.gaps = 0
        self.longest_stop_us = self.longest_gap_us = 0
        self.beating: asyncio.TimerHandle | None = None

    def start(self) -> None:
        self.beat()
        self.watch(True)

    def close(self) -> None:
        if self.beating is not None:
            self.beating.cancel()
        super().close()

    def age_ms(self, at_us: int) -> int:
        """Since discovery had just this, at the most."""
        return 0 if self.confirmed_us is None else max(0, at_us - self.confirmed_us) // 1000

    # The clock

    def beat(self) -> None:
        at_us = now_us()
        stop_us = at_us - self.looked_us - int(BEAT_S * 1e6)
        self.looked_us = at_us
        self.beating = asyncio.get_running_loop().call_later(BEAT_S, self.beat)
        if stop_us < GAP_US:
            self.longest_stop_us = max(self.longest_stop_us, stop_us)
            return
        self.gaps += 1
        self.longest_gap_us = max(self.longest_gap_us, stop_us)
        log(f"stood still for {stop_us // 1000} ms; discovery is asked anew")
        if not self.is_closed:
            self.restart(watches=True)

    # The caller's seams

    def request_target(self, request: PollRequest) -> bytes:
        self.asked_us, self.asked_whole = now_us(), self.schedule.version is None
        return request.target

    def handle_body(self, body: bytes) -> Incremental[bool]:
        """Take an answer in; returns whether it had any entry. ValueError: it cannot be used, and is counted."""
        is_over = False
        try:
            raw = yield from self.decode_body(body)
            index, whole, entries = raw["index"], raw.get("snapshot", False), raw.get("endpoints", [])
            if not isinstance(index, int) or not isinstance(whole, bool) or not isinstance(entries, list):
                raise ValueError("not a list of hosts")
            if self.asked_whole and not whole:
                raise ValueError("expected the whole list, found changes")
            usable = self.schedule.on_reply(asyncio.get_running_loop().time(), index, whole)
            if usable:
                if len(body) <= SHORT:
                    fit = self.taker.hear(whole, entries)
                else:
                    fit = yield from self.taker.hear_long(whole, entries)
                if not fit:
                    raise ValueError("too few of its entries are hosts")
                self.index_of_discovery, self.confirmed_us = index, self.asked_us
            is_over = True
            return bool(entries)
        except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
            self.rubbish += 1
            self.last_wrong = f"{type(error).__name__}: {error}"[:LOG_MOST]
            raise ValueError(f"an answer cannot be used ({self.last_wrong}); what is held stays") from None
        finally:
            if not is_over:
                self.schedule.require_snapshot()  # what is held may lack what this would have told

    def on_call_failed(self) -> None:
        self.failures += 1
