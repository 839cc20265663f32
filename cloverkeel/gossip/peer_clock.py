"""Age of what peers send, without synchronized clocks: a minimum filter over each peer's delays. Pure.

The least (own reading less timestamp) of the last one to two FASTEST_DELAY_PERIOD_US stands for the fastest path and
the clocks' offset; what is above it is age. The same filter as NTP's clock filter (RFC 5905, section 10) and the base
delay of LEDBAT (RFC 6817), over two periods so that a drifting clock is followed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from cloverkeel.gossip.messages import MASK32
from cloverkeel.gossip.outcome_window import OBSERVATION_LIFETIME_US

FASTEST_DELAY_PERIOD_US: Final = 60_000_000
MAX_RESTART_OFFSET_MS: Final = 2 * OBSERVATION_LIFETIME_US // 1000  # of one clock, kept over its process's restart
SIGN_BIT: Final = 0x80000000


def timestamp_ms_of(now_us: int) -> int:
    """Return a clock reading as datagrams carry it: milliseconds modulo 2**32."""
    return (now_us // 1000) & MASK32


def timestamp_difference_ms(later: int, earlier: int) -> int:
    """Return `later` - `earlier` of two timestamps modulo 2**32, as a signed number (RFC 1982)."""
    return ((later - earlier + SIGN_BIT) & MASK32) - SIGN_BIT


@dataclass(slots=True)
class PeerClock:
    """How one peer's timestamps relate to this clock."""

    incarnation: int
    base_offset_ms: int  # the first (own reading less timestamp), modulo 2**32
    min_delay_ms: int = 0  # over the base offset: the least of this period
    previous_min_delay_ms: int = 0  # and of the one before
    period_started_us: int = 0

    def _delay_ms(self, now_us: int, timestamp_ms: int) -> int:
        offset_ms = (timestamp_ms_of(now_us) - timestamp_ms) & MASK32
        return timestamp_difference_ms(offset_ms, self.base_offset_ms)

    def observe(self, now_us: int, timestamp_ms: int) -> None:
        """Take a timestamp into account, by whatever way it came."""
        delay_ms = self._delay_ms(now_us, timestamp_ms)
        elapsed_us = now_us - self.period_started_us
        if elapsed_us > FASTEST_DELAY_PERIOD_US:
            has_missed_a_period = elapsed_us > 2 * FASTEST_DELAY_PERIOD_US
            self.previous_min_delay_ms = delay_ms if has_missed_a_period else self.min_delay_ms
            self.min_delay_ms = delay_ms
            self.period_started_us = now_us
        self.min_delay_ms = min(self.min_delay_ms, delay_ms)

    def age_ms(self, now_us: int, timestamp_ms: int) -> int:
        """Return how old a timestamp is."""
        fastest_delay_ms = min(self.min_delay_ms, self.previous_min_delay_ms)
        return max(0, self._delay_ms(now_us, timestamp_ms) - fastest_delay_ms)


class PeerClocks:
    """The clocks of all peers, one for each gateway."""

    def __init__(self) -> None:
        self.clock_by_gateway: dict[int, PeerClock] = {}

    def observe(self, now_us: int, gateway: int, incarnation: int, timestamp_ms: int) -> None:
        """Take a timestamp into account; one of an older incarnation is ignored."""
        clock = self.clock_by_gateway.get(gateway)
        if clock is None or incarnation > clock.incarnation:
            self._begin_incarnation(now_us, gateway, incarnation, timestamp_ms)
        elif incarnation == clock.incarnation:
            clock.observe(now_us, timestamp_ms)

    def _begin_incarnation(self, now_us: int, gateway: int, incarnation: int, timestamp_ms: int) -> None:
        """Start a clock for a new process, or keep that of one that has only refuted a suspicion."""
        base_offset_ms = (timestamp_ms_of(now_us) - timestamp_ms) & MASK32
        clock = self.clock_by_gateway.get(gateway)
        if clock is not None:
            shift_ms = timestamp_difference_ms(base_offset_ms, clock.base_offset_ms)
            if abs(shift_ms) < MAX_RESTART_OFFSET_MS:
                clock.incarnation = incarnation
                clock.observe(now_us, timestamp_ms)
                return
        self.clock_by_gateway[gateway] = PeerClock(incarnation, base_offset_ms, period_started_us=now_us)

    def age_ms(self, now_us: int, gateway: int, incarnation: int, timestamp_ms: int) -> int | None:
        """Return how old a timestamp is; None for an incarnation that is not the newest known."""
        clock = self.clock_by_gateway.get(gateway)
        if clock is None or incarnation != clock.incarnation:
            return None
        return clock.age_ms(now_us, timestamp_ms)
