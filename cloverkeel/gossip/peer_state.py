"""State of the failure detector: what is believed of a peer, and probes under way. Pure data."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.gossip.messages import MemberItem, MemberStatus, MessageKind


@dataclass(slots=True)
class PeerState:
    """What is believed of one other gateway."""

    incarnation: int = 0
    life: MemberStatus = MemberStatus.ALIVE
    since_us: int = 0  # of that belief
    heard_us: int = 0  # the last datagram of its own; 0: none yet
    told_us: int = 0  # when it was last told what is said of it
    accusers: set[int] = field(default_factory=set)

    @property
    def state(self) -> str:
        if self.life is MemberStatus.ALIVE:
            return "alive" if self.heard_us else "not heard"
        return "suspect" if self.life is MemberStatus.SUSPECT else "gone"


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    to: int
    kind: MessageKind
    sequence: int = 0
    other: int = 0
    item: MemberItem | None = None  # what the receiver is to hear above all


@dataclass(slots=True)
class RelayedProbe:
    """A probe for another gateway."""

    by: int
    sequence: int  # of who asked
    target: int
    nack_us: int


@dataclass(slots=True)
class Probe:
    target: int
    sequence: int
    again_us: int  # asked once more: one datagram may be lost
    ask_others_us: int
    over_us: int
    asked_again: bool = False
    asked: int = 0  # others that were asked to probe it
    nacks: int = 0
    answered: bool = False
