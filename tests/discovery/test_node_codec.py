"""The data of backends' nodes."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.discovery.backend import Backend
from cloverkeel.discovery.node_codec import MAX_DATA_BYTES, decode_backend, encode_backend
from cloverkeel.discovery.errors import NodeDataError


def member(name: str = "a", **changes: object) -> Backend:
    return replace(Backend(name, ("10.0.0.1", 80)), **changes)  # type: ignore[arg-type]


FULL = member("s-1", zone="kita-room", kind="small-2c", group=3, weight=1.5, since_ms=1_700_000_000_000)


def test_data_reads_back_and_fields_that_are_not_known_pass() -> None:
    assert decode_backend(encode_backend(FULL)) == FULL and decode_backend(encode_backend(FULL), 9) == replace(
        FULL, czxid=9
    )
    more = json.loads(encode_backend(FULL)) | {"colour": "blue", "v": 1}
    assert decode_backend(json.dumps(more).encode()) == FULL
    assert decode_backend(b'{"v": 1, "name": "x", "address": "[::1]:80", "status": "DRAINING"}').address == (
        "::1",
        80,
    )


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"v": 2}, "v: expected 1, found 2"), ({"v": None}, "v: expected a whole number"),
        ({"v": True}, "v: expected"),
        ({"name": ""}, "name: expected 1 to 255"), ({"name": 3}, "name: expected a text, found '3'"),
        ({"address": "10.0.0.1"}, "address: expected host:port"), ({"address": "h:99999"}, "address: expected host"),
        ({"address": "h:0"}, "address: expected host"), ({"status": "GONE"}, "status: expected SERVING or DRAINING"),
        ({"weight": 0}, "weight: expected a number above 0"), ({"weight": "1"}, "weight: expected a number above 0"),
        ({"since_ms": -1}, "since_ms: expected Unix milli"), ({"since_ms": 1.5}, "since_ms: expected Unix milli"),
        ({"group": []}, "group: expected a number or a text"), ({"zone": 1}, "zone: expected a text"),
    ],
)  # fmt: skip
def test_bad_data_names_the_field_and_what_was_expected(change: dict[str, object], said: str) -> None:
    with pytest.raises(NodeDataError) as error:
        decode_backend(json.dumps(json.loads(encode_backend(FULL)) | change).encode())
    assert said in str(error.value)


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"\xff", b"null", b"[" * 100_000, b" " * (MAX_DATA_BYTES + 1)])
def test_what_is_no_object_is_refused(data: bytes) -> None:
    with pytest.raises(NodeDataError, match="data: expected"):
        decode_backend(data)


@given(st.binary(max_size=300))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_any_bytes_are_a_backend_or_a_clear_error(data: bytes) -> None:
    try:
        decode_backend(data)
    except NodeDataError as error:
        assert "expected" in str(error)
