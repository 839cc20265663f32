"""What gateways tell one another of themselves and of hosts: at most 256 bytes each, with a checksum. Pure.

docs/peers-wire.md has the form. Invariants:
- whatever the bytes are, there is a message or None, never an error;
- what is read back from what was written is the same;
- no message is longer than MAX_DATAGRAM_BYTES;
- an item of a kind that is not known, or with more bytes than are known, is no reason to refuse the rest: the next
  release may add either.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

MAX_DATAGRAM_BYTES: Final = 256
MAGIC: Final = 0xC8
VERSION: Final = 1
HEADER_STRUCT: Final = struct.Struct(">BBBHIIIH")  # magic, version, kind, number, incarnation, stamp, sequence, other
CHECKSUM_STRUCT: Final = struct.Struct(">I")
ITEM_HEADER_STRUCT: Final = struct.Struct(">BB")  # kind, bytes of the body
MEMBER_STRUCT: Final = struct.Struct(">HIBH")
OBSERVATION_STRUCT: Final = struct.Struct(">HIIIIBBBB")
TOKEN_REQUEST_STRUCT: Final = struct.Struct(">H")
TOKEN_GRANT_STRUCT: Final = struct.Struct(">HIIIHIH")
MASK32: Final = 0xFFFFFFFF
MAX_COUNT: Final = 255


class MessageKind(IntEnum):
    """What a datagram asks for or answers; any may carry items."""

    GOSSIP = 1
    PING = 2  # an ACK with its sequence is wanted
    PING_REQ = 3  # ping the gateway `other`, and pass its ACK on
    ACK = 4  # `other` is alive
    NACK = 5  # `other` has not answered in time
    STATE_REQUEST = 6  # one that begins: what is known that matters is wanted


class MemberStatus(IntEnum):
    """What is said of a gateway; of one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclass(slots=True, frozen=True)
class MemberItem:
    number: int
    incarnation: int
    life: int
    by: int  # who suspects it, or says so


@dataclass(slots=True, frozen=True)
class ObservationItem:
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
class TokenRequestItem:
    """To whom it is sent: so many hundredths of a token are wanted by the sender."""

    amount: int


@dataclass(slots=True, frozen=True)
class TokenGrantItem:
    """Tokens that the giver has no more, for one process of one gateway."""

    giver: int
    incarnation: int
    sequence: int
    stamp: int  # ms of the giver's clock, 32 bits
    to: int
    to_incarnation: int
    amount: int  # hundredths


Item = MemberItem | ObservationItem | TokenRequestItem | TokenGrantItem


@dataclass(slots=True, frozen=True)
class Header:
    kind: int
    number: int  # of the sender
    incarnation: int
    stamp: int  # ms of the sender's clock, 32 bits
    sequence: int = 0
    other: int = 0


@dataclass(slots=True, frozen=True)
class Datagram:
    head: Header
    items: tuple[Item, ...]
    unknown: int = 0  # items that were passed over


OBSERVATION_ITEM_BYTES: Final = ITEM_HEADER_STRUCT.size + OBSERVATION_STRUCT.size
MAX_ITEMS_BYTES: Final = MAX_DATAGRAM_BYTES - HEADER_STRUCT.size - CHECKSUM_STRUCT.size  # bytes for items


def item_size(item: Item) -> int:
    return ITEM_HEADER_STRUCT.size + len(encode_item(item)[1])


def encode_item(item: Item) -> tuple[int, bytes]:
    if isinstance(item, MemberItem):
        return 1, MEMBER_STRUCT.pack(item.number, item.incarnation, item.life, item.by)
    if isinstance(item, TokenRequestItem):
        return 3, TOKEN_REQUEST_STRUCT.pack(item.amount)
    if isinstance(item, TokenGrantItem):
        return 4, TOKEN_GRANT_STRUCT.pack(
            item.giver, item.incarnation, item.sequence, item.stamp, item.to, item.to_incarnation, item.amount
        )
    return 2, OBSERVATION_STRUCT.pack(
        item.teller, item.incarnation, item.stamp, item.host, item.started, item.good, item.bad, item.common,
        item.zone,
    )  # fmt: skip


def encode(head: Header, items: tuple[Item, ...] = ()) -> bytes:
    """ValueError for what does not fit."""
    try:
        said = HEADER_STRUCT.pack(
            MAGIC, VERSION, head.kind, head.number, head.incarnation, head.stamp, head.sequence, head.other
        )
        for item in items:
            kind, body = encode_item(item)
            said += ITEM_HEADER_STRUCT.pack(kind, len(body)) + body
    except struct.error as error:
        raise ValueError(f"{head!r}: {error}") from None
    if len(said) + CHECKSUM_STRUCT.size > MAX_DATAGRAM_BYTES:
        raise ValueError(f"{len(said) + CHECKSUM_STRUCT.size} bytes, {MAX_DATAGRAM_BYTES} at most")
    return said + CHECKSUM_STRUCT.pack(zlib.crc32(said))


def decode(data: bytes) -> Datagram | None:
    """None for what is cut short, spoilt, too long, of another version or of an unknown kind."""
    if not HEADER_STRUCT.size + CHECKSUM_STRUCT.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    said, (checksum,) = data[: -CHECKSUM_STRUCT.size], CHECKSUM_STRUCT.unpack(data[-CHECKSUM_STRUCT.size :])
    magic, version, kind, number, incarnation, stamp, sequence, other = HEADER_STRUCT.unpack_from(said)
    if (
        magic != MAGIC
        or version != VERSION
        or kind not in MessageKind._value2member_map_
        or zlib.crc32(said) != checksum
    ):
        return None
    items: list[Item] = []
    unknown, at = 0, HEADER_STRUCT.size
    while at < len(said):
        if len(said) - at < ITEM_HEADER_STRUCT.size:
            return None
        what, length = ITEM_HEADER_STRUCT.unpack_from(said, at)
        at += ITEM_HEADER_STRUCT.size
        if len(said) - at < length:
            return None
        if what == 1 and length >= MEMBER_STRUCT.size:
            items.append(MemberItem(*MEMBER_STRUCT.unpack_from(said, at)))
        elif what == 2 and length >= OBSERVATION_STRUCT.size:
            items.append(ObservationItem(*OBSERVATION_STRUCT.unpack_from(said, at)))
        elif what == 3 and length >= TOKEN_REQUEST_STRUCT.size:
            items.append(TokenRequestItem(*TOKEN_REQUEST_STRUCT.unpack_from(said, at)))
        elif what == 4 and length >= TOKEN_GRANT_STRUCT.size:
            items.append(TokenGrantItem(*TOKEN_GRANT_STRUCT.unpack_from(said, at)))
        else:
            unknown += 1
        at += length
    return Datagram(Header(kind, number, incarnation, stamp, sequence, other), tuple(items), unknown)
