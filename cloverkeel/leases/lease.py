"""State machine of one lease at a gateway that requests it, independent of the store that grants the lease.

Pure: the current time is an argument, and methods return the actions to perform.

Invariants (docs/duties-design.md):
- the gateway relies on its lease no longer than until `valid_until_us`;
- once it has started a handover it never acts under that token again;
- `can_act` compares with the time passed to it: call it right before sending, with a clock read at that moment.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from cloverkeel.leases.messages import Message

RENEWALS_PER_LEASE: Final = 3  # a lease is renewed after a third of its duration
RESENDS_PER_LEASE: Final = 12  # an unanswered round is restarted after 1/12 of the lease
BACKOFF_DIVISOR: Final = 4  # each backoff step is 1/4 of the lease
MAX_BACKOFF_STEPS: Final = 4  # further failures don't lengthen the backoff
MIN_BACKOFF_FRACTION: Final = 0.2
NEVER_US: Final = 1 << 60
NO_GATEWAY: Final = -1  # in place of a gateway number


class LeasePhase(Enum):
    """State of a lease at one gateway. The values are part of the output of `duties show --json`."""

    FREE = "free"  # not held by this gateway; another gateway may hold it
    ACQUIRING = "asking"
    HELD = "held"
    HANDING_OVER = "handing on"
    LOST = "lost"  # was held by this gateway and could not be renewed in time


class NodeOperation(Enum):
    """Operation on a lease's node in the coordination service."""

    CREATE = "create"
    RENEW = "renew"  # rewrite the node's data, which requires a majority of the service's servers
    DELETE = "delete"


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a datagram to a gateway."""

    to: int
    message: Message


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """This gateway holds the lease under this fencing token; `state` is what the former holder handed over."""

    lease_id: int
    token: int
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class LeaseEnded:
    """This gateway no longer holds the lease."""

    lease_id: int
    token: int
    reason: str  # logged


@dataclass(slots=True, frozen=True)
class NodeRequest:
    """Send a request to the coordination service; its response carries the same round."""

    lease_id: int
    operation: NodeOperation
    round: int


Action = SendMessage | LeaseAcquired | LeaseEnded | NodeRequest


class Lease(ABC):
    """Common base of quorum leases and of leases in the coordination service."""

    def __init__(
        self, lease_id: int, lease_us: int, rendezvous_rank: float, draw_random: Callable[[], float]
    ) -> None:
        """Initialize a lease that is free and not wanted.

        `rendezvous_rank`: 0 for the preferred holder, up to 1 for the least preferred one; the higher the rank, the
        longer this gateway lets others propose first. `draw_random` returns a number from 0 to 1.
        """
        self.lease_id = lease_id
        self.lease_us = lease_us
        self.rendezvous_rank = rendezvous_rank
        self.draw_random = draw_random
        self.phase = LeasePhase.FREE
        self.is_wanted = False
        self.token = 0  # fencing token of the current or most recent term as holder; 0 before the first
        self.valid_until_us = 0
        self.due_us = NEVER_US
        self.failed_attempts = 0  # consecutive
        self.consent_ballot = 0  # ballot of the holder that hands over to this gateway; 0 if none does
        self.handover_state = b""  # state that this gateway received in a handover or hands over itself
        self.successor = NO_GATEWAY

    def can_act(self, now_us: int) -> bool:
        """Return whether this gateway may send as the holder at this moment."""
        return self.phase is LeasePhase.HELD and now_us < self.valid_until_us

    def next_timer_us(self) -> int:
        """Return when to call `tick`; NEVER_US if no call is needed before another event."""
        return self.due_us

    def is_due(self, now_us: int) -> bool:
        """Return whether `tick` has work to do."""
        has_expired = self.phase is LeasePhase.HELD and now_us >= self.valid_until_us
        return has_expired or now_us >= self.due_us

    # Events

    def set_wanted(self, now_us: int, wanted: bool) -> list[Action]:
        """Start to compete for the lease, or release it and stop competing."""
        if wanted == self.is_wanted:
            return []
        self.is_wanted = wanted
        if not wanted:
            return self.release(now_us, "no longer requested")
        if self.phase is LeasePhase.FREE:
            self.due_us = now_us + self.rank_delay_us()
        return []

    def tick(self, now_us: int) -> list[Action]:
        """Perform what is due; call it at `next_timer_us`, and after a stall before handling any other event."""
        if self.phase is LeasePhase.LOST:
            self.become_free(now_us + self.draw_backoff_us())
            return []
        if self.phase is LeasePhase.HELD and now_us >= self.valid_until_us:
            return self.on_expired(now_us)
        if now_us < self.due_us:
            return []
        return self.on_due(now_us)

    def on_held_elsewhere(self, now_us: int, remaining_us: int) -> None:
        """Schedule the next attempt after the other gateway's lease has ended, delayed by this gateway's rank."""
        if self.phase is not LeasePhase.FREE or not self.is_wanted:
            return
        retry_us = now_us + remaining_us + self.rank_delay_us()
        self.due_us = max(self.due_us, retry_us) if self.due_us < NEVER_US else retry_us

    def on_holder_lost(self, now_us: int) -> None:
        """Schedule an attempt before the lease would expire: its holder lost it or does not answer."""
        if self.phase is LeasePhase.FREE and self.is_wanted:
            wait_us = int(self.lease_us / RESENDS_PER_LEASE * (self.rendezvous_rank + self.draw_random()))
            self.due_us = min(self.due_us, now_us + wait_us)

    @abstractmethod
    def on_due(self, now_us: int) -> list[Action]:
        """Perform the step scheduled for `due_us`."""

    @abstractmethod
    def on_expired(self, now_us: int) -> list[Action]:
        """Stop acting: the lease was not renewed in time."""

    @abstractmethod
    def on_stale_token(self, now_us: int, newest_token: int) -> list[Action]:
        """Obtain a newer token or stop acting: a gateway that has seen `newest_token` rejected a reply."""

    @abstractmethod
    def receive(self, now_us: int, message: Message, sender: int) -> list[Action]:
        """Handle a response of the voter with this number, or the acknowledgement of a handover."""

    @abstractmethod
    def release(self, now_us: int, reason: str) -> list[Action]:
        """Stop acting and free the lease at once, so that no gateway has to wait until it expires.

        If the lease is still wanted, the next attempt is delayed so that other gateways can acquire it first.
        """

    @abstractmethod
    def hand_over(self, now_us: int, successor: int, state: bytes) -> list[Action]:
        """Stop acting and hand the lease with this state to `successor`; no effect unless the lease is held."""

    # Helpers

    def rank_delay_us(self) -> int:
        """Return how long this gateway lets those before it in rendezvous order propose first."""
        return int(self.rendezvous_rank * self.lease_us / 2)

    def draw_backoff_us(self) -> int:
        """Draw the wait before the next attempt: random and longer after each failure, to desynchronize rivals."""
        steps = min(MAX_BACKOFF_STEPS, 1 + self.failed_attempts)
        ceiling_us = self.lease_us / BACKOFF_DIVISOR * steps
        return int(ceiling_us * (MIN_BACKOFF_FRACTION + self.rendezvous_rank + self.draw_random()) / 2)

    def become_free(self, next_attempt_us: int) -> None:
        """Reset to FREE, and schedule the next attempt if the lease is wanted."""
        self.phase = LeasePhase.FREE
        self.valid_until_us = 0
        self.consent_ballot = 0
        self.handover_state = b""
        self.successor = NO_GATEWAY
        self.due_us = next_attempt_us if self.is_wanted else NEVER_US
