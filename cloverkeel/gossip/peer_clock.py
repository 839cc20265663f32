"""Age of peers' timestamps without synchronized clocks: a minimum filter over each peer's delays. Pure.

The minimum of (own clock - timestamp) over the last one to two MIN_DELAY_PERIOD_US is the clock offset plus the delay
of the fastest path; the excess over it is the age. NTP's clock filter (RFC 5905, section 10) and the base delay of
LEDBAT (RFC 6817) work alike. Two periods are kept so that the filter follows a drifting clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.messages import MASK32
from cloverkeel.gossip.outcome_window import OBSERVATION_LIFETIME_US

MIN_DELAY_PERIOD_US: Final = 60_000_000
# A new incarnation whose offset differs by less is assumed to use the same clock.
MAX_OFFSET_SHIFT_MS: Final = 2 * OBSERVATION_LIFETIME_US // 1000
SIGN_BIT: Final = 0x80000000  # of a 32-bit number


def timestamp_ms_of(now_us: int) -> int:
    """Convert a clock reading to the timestamp of a datagram: milliseconds modulo 2**32."""
    return (now_us // 1000) & MASK32


def timestamp_difference_ms(later: int, earlier: int) -> int:
    """Return `later` - `earlier` of two timestamps modulo 2**32, as a signed number (RFC 1982)."""
    return ((later - earlier + SIGN_BIT) & MASK32) - SIGN_BIT


@dataclass(slots=True)
class PeerClock:
    """Relation of one peer's timestamps to this gateway's clock."""

    incarnation: int
    base_offset_ms: int  # first value of (own clock - timestamp), modulo 2**32
    min_delay_ms: int = 0  # minimum of this period, relative to the base offset
    previous_min_delay_ms: int = 0  # minimum of the previous period
    period_started_us: int = 0

    def _delay_ms(self, now_us: int, timestamp_ms: int) -> int:
        offset_ms = (timestamp_ms_of(now_us) - timestamp_ms) & MASK32
        return timestamp_difference_ms(offset_ms, self.base_offset_ms)

    def observe(self, now_us: int, timestamp_ms: int) -> None:
        """Update the minimum delay with a timestamp, received directly or forwarded."""
        delay_ms = self._delay_ms(now_us, timestamp_ms)
        elapsed_us = now_us - self.period_started_us
        if elapsed_us > MIN_DELAY_PERIOD_US:
            has_missed_a_period = elapsed_us > 2 * MIN_DELAY_PERIOD_US
            self.previous_min_delay_ms = delay_ms if has_missed_a_period else self.min_delay_ms
            self.min_delay_ms = delay_ms
            self.period_started_us = now_us
        self.min_delay_ms = min(self.min_delay_ms, delay_ms)

    def age_ms(self, now_us: int, timestamp_ms: int) -> int:
        """Return the age of a timestamp, at least 0."""
        base_delay_ms = min(self.min_delay_ms, self.previous_min_delay_ms)
        return max(0, self._delay_ms(now_us, timestamp_ms) - base_delay_ms)


class PeerClocks:
    """The clocks of all peers, one for each gateway."""

    def __init__(self) -> None:
        self.clock_by_gateway: dict[int, PeerClock] = {}

    def observe(self, now_us: int, gateway: int, incarnation: int, timestamp_ms: int) -> None:
        """Update a peer's clock with a timestamp; timestamps of older incarnations are ignored."""
        clock = self.clock_by_gateway.get(gateway)
        if clock is None or incarnation > clock.incarnation:
            self._begin_incarnation(now_us, gateway, incarnation, timestamp_ms)
        elif incarnation == clock.incarnation:
            clock.observe(now_us, timestamp_ms)

    def _begin_incarnation(self, now_us: int, gateway: int, incarnation: int, timestamp_ms: int) -> None:
        """Start a clock for a new process; keep the clock if the process only refuted a suspicion."""
        base_offset_ms = (timestamp_ms_of(now_us) - timestamp_ms) & MASK32
        clock = self.clock_by_gateway.get(gateway)
        if clock is not None:
            shift_ms = timestamp_difference_ms(base_offset_ms, clock.base_offset_ms)
            if abs(shift_ms) < MAX_OFFSET_SHIFT_MS:
                clock.incarnation = incarnation
                clock.observe(now_us, timestamp_ms)
                return
        self.clock_by_gateway[gateway] = PeerClock(incarnation, base_offset_ms, period_started_us=now_us)

    def age_ms(self, now_us: int, gateway: int, incarnation: int, timestamp_ms: int) -> int | None:
        """Return the age of a timestamp; None if its incarnation is not the newest known."""
        clock = self.clock_by_gateway.get(gateway)
        if clock is None or incarnation != clock.incarnation:
            return None
        return clock.age_ms(now_us, timestamp_ms)
