"""Codec of the datagrams between gateways: at most 256 bytes each, with a checksum. Pure.

docs/peers-wire.md documents the format. Some of its terms differ from the names in the code:

| on the wire | in the code |
| --- | --- |
| news, ping for, ask | MessageKind.GOSSIP, PING_REQ, STATE_REQUEST |
| number, stamp, other | Header.sender, timestamp_ms, subject |
| life, gone | MemberStatus, MemberStatus.DEAD |
| evidence, teller, good, bad, common | ObservationItem, reporter, successes, failures, failure_ratio_elsewhere |
| want, give | TokenRequestItem, TokenGrantItem |

Invariants:
- decoding any bytes returns a datagram or None and never raises;
- decoding an encoded datagram returns an equal datagram;
- no datagram is longer than MAX_DATAGRAM_BYTES;
- an item of an unknown kind, or with extra bytes at its end, does not invalidate the other items: a later release may
  add both.
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
MAX_COUNT: Final = 255  # largest value of a one-byte field

HEADER_STRUCT: Final = struct.Struct(">BBBHIIIH")  # magic, version, then the fields of Header
CHECKSUM_STRUCT: Final = struct.Struct(">I")
ITEM_HEADER_STRUCT: Final = struct.Struct(">BB")  # kind, length of the body in bytes
MEMBER_STRUCT: Final = struct.Struct(">HIBH")
OBSERVATION_STRUCT: Final = struct.Struct(">HIIIIBBBB")
TOKEN_REQUEST_STRUCT: Final = struct.Struct(">H")
TOKEN_GRANT_STRUCT: Final = struct.Struct(">HIIIHIH")

OBSERVATION_ITEM_BYTES: Final = ITEM_HEADER_STRUCT.size + OBSERVATION_STRUCT.size
MIN_DATAGRAM_BYTES: Final = HEADER_STRUCT.size + CHECKSUM_STRUCT.size
MAX_ITEMS_BYTES: Final = MAX_DATAGRAM_BYTES - MIN_DATAGRAM_BYTES


class MessageKind(IntEnum):
    """Kinds of datagrams (SWIM's message types); any kind may carry items."""

    GOSSIP = 1  # only carries items
    PING = 2  # requests an ACK with the same sequence number
    PING_REQ = 3  # indirect probe: requests a ping to gateway `subject`, and its ACK to be forwarded
    ACK = 4  # `subject` is alive
    NACK = 5  # `subject` has not answered in time (Lifeguard)
    STATE_REQUEST = 6  # sent after a start: requests the members that are not alive and the suspected hosts


class MemberStatus(IntEnum):
    """Status of a gateway; within one incarnation, higher values override lower ones."""

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
    """One process of a host. A named tuple because most mappings use it as their key, and its hash is cheap."""

    host: int
    started_ms: int  # modulo 2**32


class GatewayProcess(NamedTuple):
    """One process of a gateway."""

    gateway: int
    incarnation: int


@dataclass(slots=True, frozen=True)
class MemberItem:
    """Status of a gateway, according to `reporter`."""

    gateway: int
    incarnation: int
    status: int  # a MemberStatus, or a value that a later release added
    reporter: int


@dataclass(slots=True, frozen=True)
class ObservationItem:
    """Outcomes of one gateway's attempts at one host, over the two seconds before its timestamp."""

    reporter: int
    incarnation: int
    timestamp_ms: int  # reporter's clock, modulo 2**32
    host: int
    host_started_ms: int  # modulo 2**32
    successes: int
    failures: int
    failure_ratio_elsewhere: int  # in 255ths: the reporter's failures / outcomes at all other hosts
    zone: int

    @property
    def process(self) -> HostProcess:
        """The observed process of the host."""
        return HostProcess(self.host, self.host_started_ms)


@dataclass(slots=True, frozen=True)
class TokenRequestItem:
    """A request for retry tokens, from the sender to the receiver of the datagram."""

    hundredths: int  # of a token


@dataclass(slots=True, frozen=True)
class TokenGrantItem:
    """A grant of retry tokens to one gateway process. The grantor has already removed them from its own bucket."""

    grantor: int
    incarnation: int
    sequence: int
    timestamp_ms: int  # grantor's clock, modulo 2**32
    recipient: int
    recipient_incarnation: int
    hundredths: int  # of a token


Item = MemberItem | ObservationItem | TokenRequestItem | TokenGrantItem


@dataclass(slots=True, frozen=True)
class Header:
    """Fields of every datagram."""

    kind: int  # a MessageKind
    sender: int
    incarnation: int
    timestamp_ms: int  # sender's clock, modulo 2**32
    sequence: int = 0  # number of a probe, which its answers repeat; else 0
    subject: int = 0  # gateway that a probe request or an answer is about; else 0


@dataclass(slots=True, frozen=True)
class Datagram:
    """A decoded datagram."""

    header: Header
    items: tuple[Item, ...]
    unknown_items: int = 0  # number of items skipped


ITEM_CODECS: Final[dict[int, tuple[struct.Struct, Callable[..., Item]]]] = {
    ItemKind.MEMBER: (MEMBER_STRUCT, MemberItem),
    ItemKind.OBSERVATION: (OBSERVATION_STRUCT, ObservationItem),
    ItemKind.TOKEN_REQUEST: (TOKEN_REQUEST_STRUCT, TokenRequestItem),
    ItemKind.TOKEN_GRANT: (TOKEN_GRANT_STRUCT, TokenGrantItem),
}


def item_size(item: Item) -> int:
    """Return the size of an encoded item in bytes, including the item header."""
    return ITEM_HEADER_STRUCT.size + len(encode_item_body(item)[1])


def encode_item_body(item: Item) -> tuple[ItemKind, bytes]:
    """Return the kind and body of an item; raise struct.error for a number out of its field's range."""
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
    """Encode a datagram; raise DatagramEncodeError if a number is out of range or the datagram is too large."""
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
    """Decode a datagram; return None if it is truncated, corrupt, too long, or of an unknown version or kind."""
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
    """Decode the items after the header; return None if an item is truncated."""
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
