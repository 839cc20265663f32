"""What gateways tell one another of themselves and of hosts: at most 256 bytes each, with a checksum. Pure.

docs/peers-wire.md has the form. Invariants:
- whatever the bytes are, there is a message or None, never an error;
- what is read back from what was written is the same;
- no message is longer than LIMIT;
- an item of a kind that is not known, or with more bytes than are known, is no reason to refuse the rest: the next
  release may add either.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

LIMIT: Final = 256
MAGIC: Final = 0xC8
VERSION: Final = 1
HEAD: Final = struct.Struct(">BBBHIIIH")  # magic, version, kind, number, incarnation, stamp, sequence, other
SUM: Final = struct.Struct(">I")
ITEM: Final = struct.Struct(">BB")  # kind, bytes of the body
MEMBER: Final = struct.Struct(">HIBH")
EVIDENCE: Final = struct.Struct(">HIIIIBBBB")
WANT: Final = struct.Struct(">H")
GIVE: Final = struct.Struct(">HIIIHIH")
MASK32: Final = 0xFFFFFFFF
COUNT_MOST: Final = 255


class Kind(IntEnum):
    """What a datagram asks for or answers; any may carry items."""

    NEWS = 1
    PING = 2  # an ACK with its sequence is wanted
    PING_FOR = 3  # ping the gateway `other`, and pass its ACK on
    ACK = 4  # `other` is alive
    NACK = 5  # `other` has not answered in time
    ASK = 6  # one that begins: what is known that matters is wanted


class Life(IntEnum):
    """What is said of a gateway; of one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2


@dataclass(slots=True, frozen=True)
class MemberItem:
    number: int
    incarnation: int
    life: int
    by: int  # who suspects it, or says so


@dataclass(slots=True, frozen=True)
class EvidenceItem:
    """Outcomes at one host over the last two seconds, as one gateway saw them at its stamp."""

    teller: int
    incarnation: int
    stamp: int  # ms of the teller's clock, 32 bits
    host: int
    started: int  # of the host's process: ms, 32 bits
    good: int
    bad: int
    common: int  # what fails for the teller elsewhere, of 255
    zone: int


@dataclass(slots=True, frozen=True)
class WantItem:
    """To whom it is sent: so many hundredths of a token are wanted by the sender."""

    amount: int


@dataclass(slots=True, frozen=True)
class GiveItem:
    """Tokens that the giver has no more, for one process of one gateway."""

    giver: int
    incarnation: int
    sequence: int
    stamp: int  # ms of the giver's clock, 32 bits
    to: int
    to_incarnation: int
    amount: int  # hundredths


Item = MemberItem | EvidenceItem | WantItem | GiveItem


@dataclass(slots=True, frozen=True)
class Head:
    kind: int
    number: int  # of the sender
    incarnation: int
    stamp: int  # ms of the sender's clock, 32 bits
    sequence: int = 0
    other: int = 0


@dataclass(slots=True, frozen=True)
class Datagram:
    head: Head
    items: tuple[Item, ...]
    unknown: int = 0  # items that were passed over


EVIDENCE_BYTES: Final = ITEM.size + EVIDENCE.size
ROOM: Final = LIMIT - HEAD.size - SUM.size  # bytes for items


def size_of(item: Item) -> int:
    return ITEM.size + len(body_of(item)[1])


def body_of(item: Item) -> tuple[int, bytes]:
    if isinstance(item, MemberItem):
        return 1, MEMBER.pack(item.number, item.incarnation, item.life, item.by)
    if isinstance(item, WantItem):
        return 3, WANT.pack(item.amount)
    if isinstance(item, GiveItem):
        return 4, GIVE.pack(
            item.giver, item.incarnation, item.sequence, item.stamp, item.to, item.to_incarnation, item.amount
        )
    return 2, EVIDENCE.pack(
        item.teller, item.incarnation, item.stamp, item.host, item.started, item.good, item.bad, item.common,
        item.zone,
    )  # fmt: skip


def encode(head: Head, items: tuple[Item, ...] = ()) -> bytes:
    """ValueError for what does not fit."""
    try:
        said = HEAD.pack(
            MAGIC, VERSION, head.kind, head.number, head.incarnation, head.stamp, head.sequence, head.other
        )
        for item in items:
            kind, body = body_of(item)
            said += ITEM.pack(kind, len(body)) + body
    except struct.error as error:
        raise ValueError(f"{head!r}: {error}") from None
    if len(said) + SUM.size > LIMIT:
        raise ValueError(f"{len(said) + SUM.size} bytes, {LIMIT} at most")
    return said + SUM.pack(zlib.crc32(said))


def decode(data: bytes) -> Datagram | None:
    """None for what is cut short, spoilt, too long, of another version or of an unknown kind."""
    if not HEAD.size + SUM.size <= len(data) <= LIMIT:
        return None
    said, (checksum,) = data[: -SUM.size], SUM.unpack(data[-SUM.size :])
    magic, version, kind, number, incarnation, stamp, sequence, other = HEAD.unpack_from(said)
    if magic != MAGIC or version != VERSION or kind not in Kind._value2member_map_ or zlib.crc32(said) != checksum:
        return None
    items: list[Item] = []
    unknown, at = 0, HEAD.size
    while at < len(said):
        if len(said) - at < ITEM.size:
            return None
        what, length = ITEM.unpack_from(said, at)
        at += ITEM.size
        if len(said) - at < length:
            return None
        if what == 1 and length >= MEMBER.size:
            items.append(MemberItem(*MEMBER.unpack_from(said, at)))
        elif what == 2 and length >= EVIDENCE.size:
            items.append(EvidenceItem(*EVIDENCE.unpack_from(said, at)))
        elif what == 3 and length >= WANT.size:
            items.append(WantItem(*WANT.unpack_from(said, at)))
        elif what == 4 and length >= GIVE.size:
            items.append(GiveItem(*GIVE.unpack_from(said, at)))
        else:
            unknown += 1
        at += length
    return Datagram(Head(kind, number, incarnation, stamp, sequence, other), tuple(items), unknown)
