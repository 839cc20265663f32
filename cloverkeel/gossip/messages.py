"""Codec of the datagrams between gateways: at most 256 bytes each, with a checksum. Pure.

The form is documented in docs/peers-wire.md; this module alone maps its words to names of the code:

| on the wire | in the code |
| --- | --- |
| news, ping for, ask | MessageKind.GOSSIP, PING_REQ, STATE_REQUEST |
| number, stamp, other | Header.sender, timestamp_ms, subject |
| life, gone | MemberStatus, MemberStatus.DEAD |
| evidence, teller, good, bad, common | ObservationItem, reporter, successes, failures, failure_ratio_elsewhere |
| want, give | TokenRequestItem, TokenGrantItem |

Invariants:
- whatever the bytes are, decoding gives a message or None, never an error;
- what is decoded from an encoded message equals it;
- no message is longer than MAX_DATAGRAM_BYTES;
- an item of an unknown kind, or with more bytes than are known, does not invalidate the rest: the next release may
  add either.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final, NamedTuple

from cloverkeel.gossip.errors import DatagramTooLargeError, FieldOutOfRangeError

MAX_DATAGRAM_BYTES: Final = 256
MAGIC: Final = 0xC8
VERSION: Final = 1
MASK32: Final = 0xFFFFFFFF
MAX_COUNT: Final = 255  # of what is sent in one byte

HEADER_STRUCT: Final = struct.Struct(">BBBHIIIH")  # magic, version, then the fields of Header
CHECKSUM_STRUCT: Final = struct.Struct(">I")
ITEM_HEADER_STRUCT: Final = struct.Struct(">BB")  # kind, bytes of the body
MEMBER_STRUCT: Final = struct.Struct(">HIBH")
OBSERVATION_STRUCT: Final = struct.Struct(">HIIIIBBBB")
TOKEN_REQUEST_STRUCT: Final = struct.Struct(">H")
TOKEN_GRANT_STRUCT: Final = struct.Struct(">HIIIHIH")

OBSERVATION_ITEM_BYTES: Final = ITEM_HEADER_STRUCT.size + OBSERVATION_STRUCT.size
MIN_DATAGRAM_BYTES: Final = HEADER_STRUCT.size + CHECKSUM_STRUCT.size
MAX_ITEMS_BYTES: Final = MAX_DATAGRAM_BYTES - MIN_DATAGRAM_BYTES


class MessageKind(IntEnum):
    """What a datagram asks for or answers (SWIM's message types); any kind may carry items."""

    GOSSIP = 1  # items alone
    PING = 2  # an ACK with the same sequence is wanted
    PING_REQ = 3  # indirect probe: ping the gateway `subject`, and forward its ACK
    ACK = 4  # `subject` is alive
    NACK = 5  # `subject` has not answered in time (Lifeguard)
    STATE_REQUEST = 6  # from a gateway that has just started: what is known that matters is wanted


class MemberStatus(IntEnum):
    """Status of a gateway; within one incarnation the higher value overrides the lower."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class ItemKind(IntEnum):
    """First byte of an item."""

    MEMBER = 1
    OBSERVATION = 2
    TOKEN_REQUEST = 3
    TOKEN_GRANT = 4


class HostProcess(NamedTuple):
    """One process of a host. A named tuple, as it is the key of most mappings here: its hash is the cheapest."""

    host: int
    started_ms: int  # modulo 2**32


class GatewayProcess(NamedTuple):
    """One process of a gateway."""

    gateway: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class MemberItem:
    """Status of a gateway, as `reporter` claims it."""

    gateway: int
    incarnation: int
    status: int  # of MemberStatus; a later release may send others
    reporter: int


@dataclass(slots=True, frozen=True)
class ObservationItem:
    """Outcomes at one host over the last two seconds, as one gateway observed them at its timestamp."""

    reporter: int
    incarnation: int
    timestamp_ms: int  # of the reporter's clock, modulo 2**32
    host: int
    host_started_ms: int  # modulo 2**32
    successes: int
    failures: int
    failure_ratio_elsewhere: int  # in 255ths: what fails for the reporter at all other hosts
    zone: int

    @property
    def process(self) -> HostProcess:
        """The process of the host that was observed."""
        return HostProcess(self.host, self.host_started_ms)


@dataclass(slots=True, frozen=True)
class TokenRequestItem:
    """The sender asks the receiver for retry tokens."""

    hundredths: int


@dataclass(slots=True, frozen=True)
class TokenGrantItem:
    """Retry tokens that the grantor has already given up, for one process of one gateway."""

    grantor: int
    incarnation: int
    sequence: int
    timestamp_ms: int  # of the grantor's clock, modulo 2**32
    recipient: int
    recipient_incarnation: int
    hundredths: int


Item = MemberItem | ObservationItem | TokenRequestItem | TokenGrantItem


@dataclass(slots=True, frozen=True)
class Header:
    """Fields that every datagram has."""

    kind: int  # of MessageKind
    sender: int
    incarnation: int
    timestamp_ms: int  # of the sender's clock, modulo 2**32
    sequence: int = 0  # of a probe
    subject: int = 0  # the gateway that a probe or its answer is about


@dataclass(slots=True, frozen=True)
class Datagram:
    """A decoded datagram."""

    header: Header
    items: tuple[Item, ...]
    unknown_items: int = 0  # how many were skipped


ITEM_CODECS: Final[dict[int, tuple[struct.Struct, Callable[..., Item]]]] = {
    ItemKind.MEMBER: (MEMBER_STRUCT, MemberItem),
    ItemKind.OBSERVATION: (OBSERVATION_STRUCT, ObservationItem),
    ItemKind.TOKEN_REQUEST: (TOKEN_REQUEST_STRUCT, TokenRequestItem),
    ItemKind.TOKEN_GRANT: (TOKEN_GRANT_STRUCT, TokenGrantItem),
}


def item_size(item: Item) -> int:
    """Return the bytes that an item takes in a datagram, its own header included."""
    return ITEM_HEADER_STRUCT.size + len(encode_item_body(item)[1])


def encode_item_body(item: Item) -> tuple[ItemKind, bytes]:
    """Return an item's kind and body; raise struct.error for a number that does not fit its field."""
    if isinstance(item, MemberItem):
        return ItemKind.MEMBER, MEMBER_STRUCT.pack(item.gateway, item.incarnation, item.status, item.reporter)
    if isinstance(item, TokenRequestItem):
        return ItemKind.TOKEN_REQUEST, TOKEN_REQUEST_STRUCT.pack(item.hundredths)
    if isinstance(item, TokenGrantItem):
        return ItemKind.TOKEN_GRANT, TOKEN_GRANT_STRUCT.pack(
            item.grantor, item.incarnation, item.sequence, item.timestamp_ms, item.recipient,
            item.recipient_incarnation, item.hundredths,
        )  # fmt: skip
    return ItemKind.OBSERVATION, OBSERVATION_STRUCT.pack(
        item.reporter, item.incarnation, item.timestamp_ms, item.host, item.host_started_ms, item.successes,
        item.failures, item.failure_ratio_elsewhere, item.zone,
    )  # fmt: skip


def encode(header: Header, items: tuple[Item, ...] = ()) -> bytes:
    """Encode a datagram; raise DatagramEncodeError for a number out of range or too many items."""
    try:
        payload = HEADER_STRUCT.pack(
            MAGIC, VERSION, header.kind, header.sender, header.incarnation, header.timestamp_ms, header.sequence,
            header.subject,
        )  # fmt: skip
        for item in items:
            kind, body = encode_item_body(item)
            payload += ITEM_HEADER_STRUCT.pack(kind, len(body)) + body
    except struct.error as error:
        raise FieldOutOfRangeError(header, error) from None
    size_bytes = len(payload) + CHECKSUM_STRUCT.size
    if size_bytes > MAX_DATAGRAM_BYTES:
        raise DatagramTooLargeError(size_bytes, MAX_DATAGRAM_BYTES)
    return payload + CHECKSUM_STRUCT.pack(zlib.crc32(payload))


def decode(data: bytes) -> Datagram | None:
    """Decode a datagram; None for one that is truncated, corrupt, too long, or of an unknown version or kind."""
    if not MIN_DATAGRAM_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    payload = data[: -CHECKSUM_STRUCT.size]
    (checksum,) = CHECKSUM_STRUCT.unpack(data[-CHECKSUM_STRUCT.size :])
    magic, version, kind, *fields = HEADER_STRUCT.unpack_from(payload)
    if magic != MAGIC or version != VERSION or kind not in MessageKind._value2member_map_:
        return None
    if zlib.crc32(payload) != checksum:
        return None
    return _decode_items(Header(kind, *fields), payload)


def _decode_items(header: Header, payload: bytes) -> Datagram | None:
    """Decode what follows the header; None where an item is truncated."""
    items: list[Item] = []
    unknown_items = 0
    offset = HEADER_STRUCT.size
    while offset < len(payload):
        if len(payload) - offset < ITEM_HEADER_STRUCT.size:
            return None
        kind, body_bytes = ITEM_HEADER_STRUCT.unpack_from(payload, offset)
        offset += ITEM_HEADER_STRUCT.size
        if len(payload) - offset < body_bytes:
            return None
        codec = ITEM_CODECS.get(kind)
        if codec is not None and body_bytes >= codec[0].size:
            layout, item_type = codec
            items.append(item_type(*layout.unpack_from(payload, offset)))
        else:
            unknown_items += 1
        offset += body_bytes
    return Datagram(header, tuple(items), unknown_items)
