"""Which relay a gateway asks, and when it moves to another. Pure; relay_client.py carries it out.

Each gateway ranks the relays by rendezvous hashing of (gateway, relay): of 4,600 gateways before 12 relays each relay
is the first choice of some 383, and the gateways that lose one spread over the other 11.

Invariants, each for any order of answers, failures and jitter:
- one relay is asked at a time; at each move the list is asked for anew, as the version of one relay means nothing to
  another;
- where the present relay's list is older than FRESHNESS_CHECK_AGE_S, the others are asked for the age of theirs
  alone, one after another, at most one with each of its answers (2.5 a second); a stale relay is left for one whose
  list is known to be fresher, whether that is cooling down or not, and for no other;
- two moves are MIN_MOVE_INTERVAL_S apart at the least (5 a second), half of MAX_FAILOVER_DELAY_S from the fourth
  failure in a row on (2 a second); moves away from a relay that answers are MIN_VOLUNTARY_MOVE_INTERVAL_S apart;
- discovery itself is asked only while the last call to every relay has failed, and by one gateway once in
  gateways / direct_per_s seconds at the most, the first time at a random moment of that: direct_per_s over the fleet;
- a relay's death by reset costs MAX_FIRST_FAILOVER_DELAY_S, a connection and an answer; its silence costs that and
  RELAY_HOLD_S + RELAY_GRACE_S: 0.9 s together, under a second with an answer of the usual 20 ms. So a relay's loop
  may not stall for RELAY_GRACE_S; a gateway that met silence there grants it twice that at the next visit, up to
  MAX_RELAY_GRACE_S, lest one slow second of all relays drive all gateways round;
- a watch that goes on is 1 / RELAY_HOLD_S = 2.5 calls a second: 958 a second at each of 12 relays, 4,600 gateways.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf
from typing import Final

from cloverkeel.core.config import Address, stable_id
from cloverkeel.discovery.known_state import MAX_STALENESS_S
from cloverkeel.discovery.relay_requests import RELAY_GRACE_S

MAX_RELAY_GRACE_S: Final = 1.2  # at a relay that was silent before
# Moves
MAX_FIRST_FAILOVER_DELAY_S: Final = 0.2  # gateways that failed together must not move together
MIN_MOVE_INTERVAL_S: Final = 0.2
MAX_FAILOVER_DELAY_S: Final = 1.0  # one relay of 12 that is back is found in 12 s, mostly in 5
INITIAL_COOLDOWN_S: Final = 10.0  # a relay that was left for cause is tried last for so long, then twice that
MAX_COOLDOWN_S: Final = 320.0
COOLDOWN_RESET_AFTER_S: Final = 30.0  # a relay that answered well for so long begins with the initial cool-down
MIN_VOLUNTARY_MOVE_INTERVAL_S: Final = 2.0  # between moves away from a relay that answers
MAX_BACKOFF_EXPONENT: Final = 8
# Freshness
STALE_MOVE_JITTER_S: Final = 1.0  # all gateways see a relay turn stale in one moment
FRESHNESS_CHECK_AGE_S: Final = 1.5  # so that a fresher relay is known by the time that this one is stale
MIN_FRESHNESS_GAIN_S: Final = 0.5  # worth a move: ages of lists of one discovery differ by less
RELAY_HASH_BYTES: Final = 8


def rank_relays(gateway: str, addresses: Sequence[Address]) -> list[Address]:
    """Return the relays, first choice first: by rendezvous, so that one more or less moves only who had it."""
    return sorted(addresses, key=lambda address: stable_id(f"{gateway} {address[0]}:{address[1]}", RELAY_HASH_BYTES))


@dataclass(slots=True, eq=False)
class RelayStatus:
    """One relay, as this gateway saw it."""

    address: Address
    cools_down_until_s: float = -inf
    cooldowns: int = 0  # since it last did well
    left_s: float = -inf
    has_failed: bool = False  # the last call to it did
    as_of_s: float = -inf  # discovery had what this relay last answered then, or later
    silences: int = 0  # in a row
    freshness_check: int = 0  # the number of the last one


class RelaySelector:
    """Choose whom to ask. Times in seconds of a clock that only moves forward; each `jitter` is random, 0 to 1."""

    def __init__(self, gateway: str, addresses: Sequence[Address], direct_interval_s: float) -> None:
        """`direct_interval_s`: between two calls of this gateway to discovery itself."""
        self.ranked = [RelayStatus(address) for address in rank_relays(gateway, addresses)]
        self.current: RelayStatus | None = None  # None: discovery itself, or nobody yet
        self.direct_interval_s = direct_interval_s
        self.direct_due_s: float | None = None  # None: discovery itself is not wanted
        self.last_direct_s = -inf
        self.is_direct = False  # the next turn is a relay's, however soon discovery may be asked again
        self.failures = 0  # in a row
        self.chosen_s = -inf  # when the present one was
        self.voluntary_move_due_s = -inf  # a relay that answers is not left before
        self.successor: RelayStatus | None = None  # who is next in the place of a stale one
        self.stale_move_due_s: float | None = None  # a stale one is left then, to spread
        self.freshness_checks = 0

    def choose(self, now_s: float) -> RelayStatus | None:
        """Return whom to ask from now on; None: discovery itself, once."""
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
        """Return the first that is not cooling down; else the freshest that answers, or the one left longest ago."""
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
        """Select among other relays from now on; what was seen of those that stay is kept.

        Returns after how long to `choose`, as the present one is not among them; None: stay.
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
        """Return how much longer than it was asked to hold a call the present one may take."""
        if self.current is None:
            return RELAY_GRACE_S
        exponent = min(self.current.silences, MAX_BACKOFF_EXPONENT)
        return min(RELAY_GRACE_S * float(2**exponent), MAX_RELAY_GRACE_S)

    def on_failure(self, now_s: float, was_silent: bool, jitter: float) -> float:
        """Note a call that failed; returns after how long to `choose`."""
        self.failures += 1
        if self.current is not None:
            self.current.has_failed, self.current.as_of_s = True, -inf
            self.current.silences += was_silent
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
        """Note an answer; returns after how long to `choose`, None: stay."""
        relay = self.current
        if relay is None:
            return MAX_FAILOVER_DELAY_S * (0.5 + 0.5 * jitter)  # discovery itself has answered: relays again
        self.failures, self.direct_due_s, relay.has_failed = 0, None, False
        relay.as_of_s = requested_s - age_s
        if was_long_poll:
            relay.silences = 0
        if age_s > MAX_STALENESS_S:
            moves = self._leaves_stale(relay, now_s, jitter)
        else:
            moves = self._returns_to_better(relay, now_s)
        return max(0.0, self._min_move_wait_s(now_s)) if moves else None

    def next_freshness_check(self, age_s: float) -> RelayStatus | None:
        """Return whom to ask for its age, as the present one's list is `age_s` old: who was asked longest ago."""
        others = [relay for relay in self.ranked if relay is not self.current]
        if self.current is None or age_s <= FRESHNESS_CHECK_AGE_S or not others:
            return None
        self.freshness_checks += 1
        checked = min(others, key=lambda relay: relay.freshness_check)
        checked.freshness_check = self.freshness_checks
        return checked

    def on_freshness(self, relay: RelayStatus, requested_s: float, age_s: float | None) -> None:
        """Note a relay's age of its list; None: it told none. It may be the present one by now."""
        if relay is not self.current:
            relay.has_failed = age_s is None
            relay.as_of_s = -inf if age_s is None else requested_s - age_s

    def _leaves_stale(self, relay: RelayStatus, now_s: float, jitter: float) -> bool:
        """Whether to move from a stale relay to a fresher one."""
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

    def _returns_to_better(self, relay: RelayStatus, now_s: float) -> bool:
        """Whether to move to a relay of a better rank that has cooled down: that time was spread."""
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
