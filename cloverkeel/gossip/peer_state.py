"""State of the failure detector: what is believed of a peer, probes under way, messages to be sent. Pure data."""

from __future__ import annotations

from dataclasses import dataclass, field

from cloverkeel.gossip.messages import Item, MemberStatus, MessageKind


@dataclass(slots=True)
class PeerState:
    """What is believed of one other gateway."""

    incarnation: int = 0
    status: MemberStatus = MemberStatus.ALIVE
    status_since_us: int = 0
    last_heard_us: int = 0  # the last datagram of its own; 0: none yet
    last_notice_us: int = 0  # when it was last notified of its status, outside of probes
    accusers: set[int] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class OutgoingMessage:
    """A datagram for one gateway, before its header and piggybacked broadcasts are added."""

    recipient: int
    kind: MessageKind
    sequence: int = 0
    subject: int = 0
    items: tuple[Item, ...] = ()  # what the recipient is to learn above all


@dataclass(slots=True)
class RelayedProbe:
    """An indirect probe that this gateway carries out for another."""

    requester: int
    requester_sequence: int
    target: int
    nack_due_us: int


@dataclass(slots=True)
class Probe:
    """The probe of this period."""

    target: int
    sequence: int
    resend_due_us: int  # one datagram may be lost
    indirect_due_us: int
    ends_us: int
    is_resent: bool = False
    is_acked: bool = False
    has_gone_indirect: bool = False
    indirect_probes: int = 0  # gateways that were asked to probe it
    nacks: int = 0

    @property
    def is_waiting_for_direct_ack(self) -> bool:
        """Whether neither an answer has come nor others were asked yet."""
        return not self.is_acked and not self.has_gone_indirect
