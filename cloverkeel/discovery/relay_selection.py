"""Select the relay that a gateway polls and decide when to move to another. Pure; relay_client.py does the I/O.

Each gateway ranks the relays by rendezvous hashing of (gateway, relay): with 4,600 gateways and 12 relays, each relay
is the first choice of about 383 gateways, and the gateways of a failed relay spread over the other 11.

Invariants, for any order of replies, failures and jitter:
- one relay is polled at a time; each move requests a snapshot, because versions of different relays are not
  comparable;
- if the current relay's list is older than FRESHNESS_CHECK_AGE_S, the other relays are asked only for the age of
  theirs, one after another, at most one per reply of the current relay (2.5/s); a stale relay is left only for one
  whose list is known to be fresher, even if that one is cooling down;
- consecutive moves are at least MIN_MOVE_INTERVAL_S apart (5/s), and MAX_FAILOVER_DELAY_S / 2 from the fourth
  consecutive failure on (2/s); moves away from a relay that answers are MIN_VOLUNTARY_MOVE_INTERVAL_S apart;
- discovery is polled directly only while the last call to every relay has failed, and by each gateway at most once
  per gateways / direct_per_s seconds, first at a random time in that interval: direct_per_s calls/s from the fleet;
- failover after a reset takes at most MAX_FIRST_FAILOVER_DELAY_S, a connection setup and a reply; if a relay is
  silent, RELAY_HOLD_S + RELAY_GRACE_S more: together 0.9 s, and under a second with the usual reply time of 20 ms. So
  a relay's event loop must not stall for RELAY_GRACE_S. After a timeout, a gateway doubles the grace when it returns
  to that relay, up to MAX_RELAY_GRACE_S, so that one slow second of all relays does not make all gateways cycle
  through them;
- a continuous watch makes 1 / RELAY_HOLD_S = 2.5 calls/s: 958 calls/s at each of 12 relays with 4,600 gateways.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

from cloverkeel.core.config import Address, stable_id
from cloverkeel.discovery.known_state import MAX_STALENESS_S
from cloverkeel.discovery.relay_requests import RELAY_GRACE_S

MAX_RELAY_GRACE_S: Final = 1.2  # for a relay whose earlier calls timed out
# Intervals and delays of moves
MAX_FIRST_FAILOVER_DELAY_S: Final = 0.2  # random, so that gateways that fail together do not move together
MIN_MOVE_INTERVAL_S: Final = 0.2
MAX_FAILOVER_DELAY_S: Final = 1.0  # so the only one of 12 relays that recovers is found within 12 s, usually 5 s
INITIAL_COOLDOWN_S: Final = 10.0  # how long a failed or stale relay is chosen last; doubles each time
MAX_COOLDOWN_S: Final = 320.0
COOLDOWN_RESET_AFTER_S: Final = 30.0  # a relay that answered this long gets the initial cool-down again
MIN_VOLUNTARY_MOVE_INTERVAL_S: Final = 2.0  # between two moves away from relays that answer
MAX_BACKOFF_EXPONENT: Final = 8
# Freshness checks
STALE_MOVE_JITTER_S: Final = 1.0  # all gateways of a relay see it become stale at the same time
FRESHNESS_CHECK_AGE_S: Final = 1.5  # below MAX_STALENESS_S, so that a fresher relay is known in time
MIN_FRESHNESS_GAIN_S: Final = 0.5  # the ages of relays' lists normally differ by less, which is not worth a move
RELAY_HASH_BYTES: Final = 8


def rank_relays(gateway: str, addresses: Sequence[Address]) -> list[Address]:
    """Return the relays by preference; adding or removing a relay moves only the gateways that prefer it."""
    return sorted(addresses, key=lambda address: stable_id(f"{gateway} {address[0]}:{address[1]}", RELAY_HASH_BYTES))


@dataclass(slots=True, eq=False)
class RelayStatus:
    """What this gateway has observed of a relay."""

    address: Address
    cools_down_until_s: float = -inf
    cooldowns: int = 0  # consecutive cool-downs; reset after COOLDOWN_RESET_AFTER_S of valid replies
    left_s: float = -inf
    has_failed: bool = False  # whether the last call to it failed
    as_of_s: float = -inf  # discovery had the relay's last list at this time or later
    consecutive_timeouts: int = 0
    freshness_check: int = 0  # sequence number of the last freshness check of this relay; 0 if none


class RelaySelector:
    """Select the relay to poll. Times are in seconds of a monotonic clock; each `jitter` is random, 0 to 1."""

    def __init__(self, gateway: str, addresses: Sequence[Address], direct_interval_s: float) -> None:
        """`direct_interval_s`: the minimum time between two direct polls of discovery by this gateway."""
        self.ranked = [RelayStatus(address) for address in rank_relays(gateway, addresses)]
        self.current: RelayStatus | None = None  # None: discovery itself, or not yet chosen
        self.direct_interval_s = direct_interval_s
        self.direct_due_s: float | None = None  # when discovery may be polled directly; None: not needed
        self.last_direct_s = -inf
        self.is_direct = False  # the last choice was discovery; the next is a relay in any case
        self.failures = 0  # consecutive failed calls
        self.chosen_s = -inf  # when the current server was chosen
        self.voluntary_move_due_s = -inf  # a relay that answers is not left before this time
        self.successor: RelayStatus | None = None  # the relay to choose next instead of a stale one
        self.stale_move_due_s: float | None = None  # when to leave a stale relay; None: no move is planned
        self.freshness_checks = 0

    def choose(self, now_s: float) -> RelayStatus | None:
        """Return the relay to poll from now on; None: poll discovery directly, once."""
        self.chosen_s, self.stale_move_due_s = now_s, None
        successor, self.successor = self.successor, None
        was_direct, self.is_direct = self.is_direct, False
        if self.direct_due_s is not None and now_s >= self.direct_due_s and not was_direct:
            self.is_direct = True
            self.last_direct_s, self.direct_due_s = now_s, now_s + self.direct_interval_s
            self.current = None
        else:
            self.current = successor or self._best(now_s)
        return self.current

    def _best(self, now_s: float) -> RelayStatus:
        """Return the first relay not cooling down, else the freshest that answers, else the one left longest ago."""
        ready = [relay for relay in self.ranked if relay.cools_down_until_s <= now_s]
        if ready:
            return ready[0]
        answering = [relay for relay in self.ranked if not relay.has_failed and relay.as_of_s > -inf]
        if answering:
            return max(answering, key=lambda relay: relay.as_of_s)
        return min(self.ranked, key=lambda relay: relay.left_s)

    def replace(
        self, now_s: float, gateway: str, addresses: Sequence[Address], direct_interval_s: float, jitter: float
    ) -> float | None:
        """Replace the relays to select from; the status of those that stay is kept.

        Returns the delay in seconds before `choose` if the current relay was removed; None: stay.
        """
        status_by_address = {relay.address: relay for relay in self.ranked}
        ranked = rank_relays(gateway, addresses)
        self.ranked = [status_by_address.get(address) or RelayStatus(address) for address in ranked]
        self.direct_interval_s = direct_interval_s
        if not all(relay.has_failed for relay in self.ranked):
            self.direct_due_s = None
        if self.successor not in self.ranked:
            self.successor = None
        if self.current is None or self.current in self.ranked:
            return None
        return max(jitter * MAX_FIRST_FAILOVER_DELAY_S, self._min_move_wait_s(now_s))

    def grace_s(self) -> float:
        """Return how much longer than the hold the current server may take to answer, in seconds."""
        if self.current is None:
            return RELAY_GRACE_S
        exponent = min(self.current.consecutive_timeouts, MAX_BACKOFF_EXPONENT)
        return min(RELAY_GRACE_S * float(2**exponent), MAX_RELAY_GRACE_S)

    def on_failure(self, now_s: float, timed_out: bool, jitter: float) -> float:
        """Record a failed call; return the delay in seconds before `choose`."""
        self.failures += 1
        if self.current is not None:
            self.current.has_failed, self.current.as_of_s = True, -inf
            self.current.consecutive_timeouts += timed_out
            self._cool_down(self.current, now_s, jitter)
        if self.direct_due_s is None and all(relay.has_failed for relay in self.ranked):
            first_due_s = now_s + jitter * self.direct_interval_s
            self.direct_due_s = max(first_due_s, self.last_direct_s + self.direct_interval_s)
        return max(self._failover_delay_s(jitter), self._min_move_wait_s(now_s))

    def _failover_delay_s(self, jitter: float) -> float:
        if self.failures == 1:
            return jitter * MAX_FIRST_FAILOVER_DELAY_S
        exponent = min(self.failures - 1, MAX_BACKOFF_EXPONENT)
        delay_s = min(MAX_FIRST_FAILOVER_DELAY_S * float(2**exponent), MAX_FAILOVER_DELAY_S)
        return delay_s * (0.5 + 0.5 * jitter)

    def _min_move_wait_s(self, now_s: float) -> float:
        return self.chosen_s + MIN_MOVE_INTERVAL_S - now_s

    def on_answer(
        self, now_s: float, requested_s: float, age_s: float, was_long_poll: bool, jitter: float
    ) -> float | None:
        """Record a reply; return the delay in seconds before `choose`, or None to stay."""
        relay = self.current
        if relay is None:
            return MAX_FAILOVER_DELAY_S * (0.5 + 0.5 * jitter)  # discovery has answered: return to a relay
        self.failures, self.direct_due_s, relay.has_failed = 0, None, False
        relay.as_of_s = requested_s - age_s
        if was_long_poll:
            relay.consecutive_timeouts = 0
        if age_s > MAX_STALENESS_S:
            should_move = self._plan_stale_move(relay, now_s, jitter)
        else:
            should_move = self._plan_return_move(relay, now_s)
        return max(0.0, self._min_move_wait_s(now_s)) if should_move else None

    def next_freshness_check(self, age_s: float) -> RelayStatus | None:
        """Return the relay to ask for its list's age, the least recently checked one; None: no check is due."""
        others = [relay for relay in self.ranked if relay is not self.current]
        if self.current is None or age_s <= FRESHNESS_CHECK_AGE_S or not others:
            return None
        self.freshness_checks += 1
        checked = min(others, key=lambda relay: relay.freshness_check)
        checked.freshness_check = self.freshness_checks
        return checked

    def on_freshness(self, relay: RelayStatus, requested_s: float, age_s: float | None) -> None:
        """Record the age of a relay's list; None: unknown. Ignored if this relay is the current one by now."""
        if relay is not self.current:
            relay.has_failed = age_s is None
            relay.as_of_s = -inf if age_s is None else requested_s - age_s

    def _plan_stale_move(self, relay: RelayStatus, now_s: float, jitter: float) -> bool:
        """Decide whether to leave a stale relay for a fresher one now."""
        freshest = max(self.ranked, key=lambda other: other.as_of_s)
        if freshest.as_of_s <= relay.as_of_s + MIN_FRESHNESS_GAIN_S:
            self.stale_move_due_s = None
            return False
        if self.stale_move_due_s is None:
            self.stale_move_due_s = now_s + jitter * STALE_MOVE_JITTER_S
        if now_s < max(self.stale_move_due_s, self.voluntary_move_due_s):
            return False
        self._cool_down(relay, now_s, jitter)
        self.voluntary_move_due_s = now_s + MIN_VOLUNTARY_MOVE_INTERVAL_S
        self.successor = freshest
        return True

    def _plan_return_move(self, relay: RelayStatus, now_s: float) -> bool:
        """Decide whether to move to a better-ranked relay that has cooled down. Cool-downs already have jitter."""
        self.stale_move_due_s, relay.cools_down_until_s = None, -inf
        if now_s - self.chosen_s >= COOLDOWN_RESET_AFTER_S:
            relay.cooldowns = 0
        if now_s < self.voluntary_move_due_s:
            return False
        better = self.ranked[: self.ranked.index(relay)]
        if not any(other.cools_down_until_s <= now_s for other in better):
            return False
        self.voluntary_move_due_s = now_s + MIN_VOLUNTARY_MOVE_INTERVAL_S
        return True

    def _cool_down(self, relay: RelayStatus, now_s: float, jitter: float) -> None:
        exponent = min(relay.cooldowns, MAX_BACKOFF_EXPONENT)
        cooldown_s = min(INITIAL_COOLDOWN_S * float(2**exponent), MAX_COOLDOWN_S)
        relay.cooldowns += 1
        relay.left_s, relay.cools_down_until_s = now_s, now_s + cooldown_s * (0.5 + jitter)
