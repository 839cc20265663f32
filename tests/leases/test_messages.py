"""Encoding and decoding of lease datagrams."""

from __future__ import annotations

import struct
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverkeel.leases import messages
from cloverkeel.leases.messages import (
    MAX_DATAGRAM_BYTES,
    MAX_PAYLOAD_BYTES,
    Accepted,
    Datagram,
    Handover,
    HandoverAck,
    Header,
    Hello,
    LeaderReply,
    Message,
    NotLeaseHolder,
    Prepare,
    Promised,
    Propose,
    Refused,
    Release,
    Report,
    StaleTokenNotice,
    decode,
    encode,
)

U60, U32 = st.integers(0, 2**60 - 1), st.integers(0, 2**32 - 1)
U16, PAYLOAD = st.integers(0, 2**16 - 1), st.binary(max_size=MAX_PAYLOAD_BYTES)
MESSAGES = st.one_of(
    st.builds(Prepare, U60, U60, U32, U60),
    st.builds(Propose, U60, U60, U32, U32, U60),
    st.builds(Promised, U60, U60, U32),
    st.builds(Accepted, U60, U60, U32),
    st.builds(Refused, U60, U60, U32, st.integers(0, 255), U16, U32, U32, U60),
    st.builds(Release, U60, U60),
    st.builds(Handover, U60, U60, PAYLOAD),
    st.builds(HandoverAck, U60, U60),
    st.builds(Report, U60, U60, U60, PAYLOAD),
    st.builds(LeaderReply, U60, U60, U60, U60, PAYLOAD),
    st.builds(NotLeaseHolder, U60),
    st.builds(Hello, st.integers(0, 1)),
    st.builds(StaleTokenNotice, U60, U60),
)
HEADERS = st.builds(Header, st.integers(0, 255), U16, U32, st.integers(0, 2**36))


@given(HEADERS, MESSAGES)
def test_an_encoded_message_decodes_to_an_equal_one(header: Header, message: Message) -> None:
    data = encode(header, message)
    assert len(data) <= MAX_DATAGRAM_BYTES
    assert decode(data) == Datagram(header, message)


@given(HEADERS, MESSAGES, st.data())
def test_a_truncated_or_corrupted_datagram_is_not_decoded(
    header: Header, message: Message, data: st.DataObject
) -> None:
    encoded = encode(header, message)
    assert decode(encoded[: data.draw(st.integers(0, len(encoded) - 1))]) is None
    at, other = data.draw(st.integers(0, len(encoded) - 1)), data.draw(st.integers(1, 255))
    assert decode(encoded[:at] + bytes([encoded[at] ^ other]) + encoded[at + 1 :]) is None


@given(st.binary(max_size=400))
def test_any_bytes_decode_to_a_message_or_none(data: bytes) -> None:
    decode(data)


def test_another_version_an_unknown_kind_and_an_overlong_payload_are_rejected() -> None:
    def encode_with(position: int, value: int) -> bytes:
        encoded = bytearray(encode(Header(3, 1, 2, 3), Hello(1))[:-4])
        encoded[position] = value
        return bytes(encoded) + struct.pack(">I", zlib.crc32(encoded))

    assert decode(encode_with(0, messages.MAGIC)) is not None
    assert decode(encode_with(1, messages.VERSION + 1)) is None
    assert decode(encode_with(2, 99)) is None
    with pytest.raises(ValueError, match="161 bytes"):
        encode(Header(3, 1, 2, 3), Handover(1, 2, b"x" * 161))
    with pytest.raises(ValueError, match="Promised"):
        encode(Header(3, 1, 2, 3), Promised(2**64, 1, 1))
