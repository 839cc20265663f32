"""One lease as a gateway that wants it sees it, whoever decides who holds it. Pure: time comes in, actions go out.

Invariants (docs/duties-design.md):
- the gateway relies on its lease until `valid_until_us` at the most;
- once it has begun to hand over it acts no more under that token, whatever comes;
- `can_act` compares with the time that it is given: call it at the moment of sending, with a clock read then.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from cloverkeel.leases.messages import Message

RENEWALS_PER_LEASE: Final = 3  # a lease is renewed when a third of it is over
RESENDS_PER_LEASE: Final = 12  # an unanswered round is begun anew after this part of the lease
BACKOFF_DIVISOR: Final = 4  # the first backoff is up to this part of the lease
MAX_BACKOFF_STEPS: Final = 4  # further failures don't lengthen the backoff
MIN_BACKOFF_FRACTION: Final = 0.2
NEVER_US: Final = 1 << 60
NOBODY: Final = -1  # in place of a gateway's number


class LeasePhase(Enum):
    """Where a gateway stands with a lease. The values are words of `duties show --json`, which stay."""

    FREE = "free"  # not held here; others may hold it
    ACQUIRING = "asking"
    HELD = "held"
    HANDING_OVER = "handing on"
    LOST = "lost"  # it was held here, and could not be renewed in time


class NodeOperation(Enum):
    """What to do with a lease's node in the coordination service."""

    CREATE = "create"
    RENEW = "renew"  # write the node anew: only a majority of the service can
    DELETE = "delete"


@dataclass(slots=True, frozen=True)
class SendMessage:
    """Send a datagram to a gateway."""

    to: int
    message: Message


@dataclass(slots=True, frozen=True)
class LeaseAcquired:
    """The lease is held here under this fencing token; `state` is what the holder before handed over."""

    lease_id: int
    token: int
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class LeaseEnded:
    """The lease is not held here any more."""

    lease_id: int
    token: int
    reason: str  # for the log


@dataclass(slots=True, frozen=True)
class NodeRequest:
    """Ask the coordination service for something; its response names the round."""

    lease_id: int
    operation: NodeOperation
    round: int


Action = SendMessage | LeaseAcquired | LeaseEnded | NodeRequest


class Lease(ABC):
    """What leases by majority and by the coordination service have in common."""

    def __init__(
        self, lease_id: int, lease_us: int, rendezvous_rank: float, draw_random: Callable[[], float]
    ) -> None:
        """Make a lease that is free and not wanted.

        `rendezvous_rank`: 0 for the gateway that should hold it, up to 1 for the one that should last; how long it
        lets others ask first. `draw_random` gives a number from 0 to 1.
        """
        self.lease_id = lease_id
        self.lease_us = lease_us
        self.rendezvous_rank = rendezvous_rank
        self.draw_random = draw_random
        self.phase = LeasePhase.FREE
        self.is_wanted = False
        self.token = 0  # under which it is held, or was last
        self.valid_until_us = 0
        self.due_us = NEVER_US
        self.failed_attempts = 0  # in a row
        self.consent_ballot = 0  # of a holder that hands over to this gateway
        self.handover_state = b""  # handed over to it, or by it
        self.successor = NOBODY

    def can_act(self, now_us: int) -> bool:
        """Tell whether an act may be sent at this very moment."""
        return self.phase is LeasePhase.HELD and now_us < self.valid_until_us

    def next_timer_us(self) -> int:
        """Return when to call `tick`; NEVER_US: not before something else happens."""
        return self.due_us

    def is_due(self, now_us: int) -> bool:
        """Tell whether `tick` has something to do."""
        has_expired = self.phase is LeasePhase.HELD and now_us >= self.valid_until_us
        return has_expired or now_us >= self.due_us

    # Events

    def set_wanted(self, now_us: int, wanted: bool) -> list[Action]:
        """Say whether to hold it, if nobody does."""
        if wanted == self.is_wanted:
            return []
        self.is_wanted = wanted
        if not wanted:
            return self.release(now_us, "no longer requested")
        if self.phase is LeasePhase.FREE:
            self.due_us = now_us + self.rank_delay_us()
        return []

    def tick(self, now_us: int) -> list[Action]:
        """Do what is due; call it when `next_timer_us` has come, and after a stall before anything else."""
        if self.phase is LeasePhase.LOST:
            self.become_free(now_us + self.draw_backoff_us())
            return []
        if self.phase is LeasePhase.HELD and now_us >= self.valid_until_us:
            return self.on_expired(now_us)
        if now_us < self.due_us:
            return []
        return self.on_due(now_us)

    def on_held_elsewhere(self, now_us: int, remaining_us: int) -> None:
        """Ask when another gateway's lease has ended, and later than who should have it."""
        if self.phase is not LeasePhase.FREE or not self.is_wanted:
            return
        retry_us = now_us + remaining_us + self.rank_delay_us()
        self.due_us = max(self.due_us, retry_us) if self.due_us < NEVER_US else retry_us

    def on_holder_gone(self, now_us: int) -> None:
        """Ask sooner than the lease would end: its holder lost it, or does not answer."""
        if self.phase is LeasePhase.FREE and self.is_wanted:
            wait_us = int(self.lease_us / RESENDS_PER_LEASE * (self.rendezvous_rank + self.draw_random()))
            self.due_us = min(self.due_us, now_us + wait_us)

    @abstractmethod
    def on_due(self, now_us: int) -> list[Action]:
        """Do what was planned for this moment."""

    @abstractmethod
    def on_expired(self, now_us: int) -> list[Action]:
        """Stop acting: the lease was not renewed in time."""

    @abstractmethod
    def on_stale_token(self, now_us: int, newest_token: int) -> list[Action]:
        """Get a newer token, or stop: a reply was rejected by a gateway that has seen this one."""

    @abstractmethod
    def receive(self, now_us: int, message: Message, sender: int) -> list[Action]:
        """Take an answer of the voter with this number, or the acknowledgement of a handover."""

    @abstractmethod
    def release(self, now_us: int, reason: str) -> list[Action]:
        """Hold it no more, at once; whoever wants it need not wait. If it is wanted here, others come first."""

    @abstractmethod
    def hand_over(self, now_us: int, successor: int, state: bytes) -> list[Action]:
        """Stop acting, and let this gateway have the lease with this state; nothing where it is not held."""

    # Helpers

    def rank_delay_us(self) -> int:
        """Return how long this gateway lets those before it in rendezvous order ask first."""
        return int(self.rendezvous_rank * self.lease_us / 2)

    def draw_backoff_us(self) -> int:
        """Draw the wait before the next attempt: longer after each failure, so that rivals do not stay in step."""
        steps = min(MAX_BACKOFF_STEPS, 1 + self.failed_attempts)
        ceiling_us = self.lease_us / BACKOFF_DIVISOR * steps
        return int(ceiling_us * (MIN_BACKOFF_FRACTION + self.rendezvous_rank + self.draw_random()) / 2)

    def become_free(self, next_attempt_us: int) -> None:
        """Hold nothing, and ask again at that time if it is wanted."""
        self.phase = LeasePhase.FREE
        self.valid_until_us = 0
        self.consent_ballot = 0
        self.handover_state = b""
        self.successor = NOBODY
        self.due_us = next_attempt_us if self.is_wanted else NEVER_US
