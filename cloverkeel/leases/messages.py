"""What gateways say to one another about duties: at most 256 bytes each, with a version and a checksum. Pure.

docs/duties-wire.md has the form. Invariants:
- whatever the bytes are, there is a message or None, never an error;
- what is read back from what was written is the same;
- no message is longer than LIMIT.
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass, fields
from enum import IntEnum
from typing import Any, Final

MAX_DATAGRAM_BYTES: Final = 256
MAGIC: Final = 0xC7
VERSION: Final = 1
HEAD: Final = struct.Struct(">BBBBHIQ")  # magic, version, kind, voters, number, nonce, counter
SUM: Final = struct.Struct(">I")
MAX_PAYLOAD_BYTES: Final = 160  # bytes that a duty may add
LEASE_ID_BITS: Final = 60
LENGTH_MOST: Final = 0xFFFFFFFF  # microseconds: 71 minutes


class RefusalReason(IntEnum):
    """Why a voter refuses."""

    HELD = 1  # another holds it
    BALLOT = 2  # a higher ballot was promised
    FULL = 3  # it knows as many duties as it may
    LENGTH = 4  # longer than it accepts
    LEAP = 5  # a ballot from far in the future


@dataclass(slots=True, frozen=True)
class Prepare:
    duty: int
    ballot: int
    round: int
    consent: int = 0  # the ballot of a holder that hands on; 0: none


@dataclass(slots=True, frozen=True)
class Propose:
    duty: int
    ballot: int
    round: int
    length_us: int
    consent: int = 0


@dataclass(slots=True, frozen=True)
class Promised:
    duty: int
    ballot: int
    round: int


@dataclass(slots=True, frozen=True)
class Accepted:
    duty: int
    ballot: int
    round: int


@dataclass(slots=True, frozen=True)
class Refused:
    duty: int
    ballot: int
    round: int
    why: int
    number: int  # who holds it
    nonce: int
    left_us: int  # until that ends here
    promised: int


@dataclass(slots=True, frozen=True)
class Release:
    duty: int
    ballot: int


@dataclass(slots=True, frozen=True)
class Handover:
    """A holder has stopped acting and hands on: its ballot is its consent."""

    duty: int
    ballot: int
    state: bytes = b""


@dataclass(slots=True, frozen=True)
class HandoverAck:
    """To who handed on: the new holder's epoch."""

    duty: int
    epoch: int


@dataclass(slots=True, frozen=True)
class Report:
    """To who is thought to hold a duty. Stamps are readings of a clock of its owner's, given back as they came."""

    duty: int
    stamp: int  # of who asks
    echo: int  # the holder's last stamp that it has; 0: none
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class LeaderReply:
    """A holder's act, with its epoch: an answer to a report."""

    duty: int
    epoch: int
    stamp: int  # of the holder
    echo: int  # of the report
    payload: bytes = b""


@dataclass(slots=True, frozen=True)
class NotLeaseHolder:
    """To who reported: this gateway does not hold the duty."""

    duty: int


@dataclass(slots=True, frozen=True)
class Hello:
    """Says nothing but what every head says: the highest counter that its sender has seen."""

    wants_answer: int = 0


@dataclass(slots=True, frozen=True)
class StaleTokenNotice:
    """To a holder whose act was refused: the epoch that this gateway has seen."""

    duty: int
    epoch: int


Message = (
    Prepare | Propose | Promised | Accepted | Refused | Release | Handover | HandoverAck | Report | LeaderReply
    | NotLeaseHolder | Hello | StaleTokenNotice
)  # fmt: skip

# Kind, fields in their order, and whether the rest is a payload.
_FORMS: Final[dict[type[Any], tuple[int, struct.Struct, bool]]] = {
    Prepare: (1, struct.Struct(">QQIQ"), False),
    Propose: (2, struct.Struct(">QQIIQ"), False),
    Promised: (3, struct.Struct(">QQI"), False),
    Accepted: (4, struct.Struct(">QQI"), False),
    Refused: (5, struct.Struct(">QQIBHIIQ"), False),
    Release: (6, struct.Struct(">QQ"), False),
    Handover: (7, struct.Struct(">QQ"), True),
    HandoverAck: (8, struct.Struct(">QQ"), False),
    Report: (11, struct.Struct(">QQQ"), True),
    LeaderReply: (12, struct.Struct(">QQQQ"), True),
    NotLeaseHolder: (13, struct.Struct(">Q"), False),
    Hello: (14, struct.Struct(">B"), False),
    StaleTokenNotice: (15, struct.Struct(">QQ"), False),
}
_KINDS: Final[dict[int, type[Any]]] = {form[0]: made for made, form in _FORMS.items()}
_FIELDS: Final[dict[type[Any], tuple[str, ...]]] = {
    made: tuple(field.name for field in fields(made)) for made in _FORMS
}


@dataclass(slots=True, frozen=True)
class Header:
    voters: int
    number: int  # of the sender
    nonce: int
    counter: int


def encode(head: Header, message: Message) -> bytes:
    """ValueError for what does not fit."""
    kind, form, has_payload = _FORMS[type(message)]
    values = [getattr(message, name) for name in _FIELDS[type(message)]]
    payload = values.pop() if has_payload else b""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"a payload of {len(payload)} bytes, {MAX_PAYLOAD_BYTES} at most")
    try:
        said = HEAD.pack(MAGIC, VERSION, kind, head.voters, head.number, head.nonce, head.counter)
        said += form.pack(*values) + payload
    except struct.error as error:
        raise ValueError(f"{message!r}: {error}") from None
    return said + SUM.pack(zlib.crc32(said))


def decode(data: bytes) -> tuple[Header, Message] | None:
    """None for what is cut short, spoilt, too long, of another version or of an unknown kind."""
    if not HEAD.size + SUM.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    said, (checksum,) = data[: -SUM.size], SUM.unpack(data[-SUM.size :])
    magic, version, kind, voters, number, nonce, counter = HEAD.unpack_from(said)
    if magic != MAGIC or version != VERSION or zlib.crc32(said) != checksum:
        return None
    made = _KINDS.get(kind)
    if made is None:
        return None
    _, form, has_payload = _FORMS[made]
    body = said[HEAD.size :]
    if len(body) < form.size or (len(body) > form.size and not has_payload):
        return None
    values = list(form.unpack_from(body))
    if has_payload:
        values.append(body[form.size :])
        if len(body) - form.size > MAX_PAYLOAD_BYTES:
            return None
    if made is not Hello and values[0] >> LEASE_ID_BITS:
        return None
    return Header(voters, number, nonce, counter), made(*values)
