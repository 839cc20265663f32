"""Incremental decoding of long JSON bodies (core/incremental_json.py)."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverkeel.core.incremental_json import decode_json
from tests.control_plane.relay_harness import count_steps

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda children: st.lists(children, max_size=3) | st.dictionaries(st.text(max_size=3), children, max_size=3),
    max_leaves=6,
)


@settings(max_examples=40)
@given(st.dictionaries(st.sampled_from(["index", "snapshot", "endpoints", "x"]), VALUES), st.sampled_from([None, 1]))
def test_incremental_decoding_equals_json_loads(raw: dict[str, Any], indent: int | None) -> None:
    assert count_steps(decode_json(json.dumps(raw, indent=indent).encode()))[1] == raw


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{",
        b'{"endpoints":[{}',
        b'{"endpoints":[{} {}]}',
        b'{"endpoints":[{},]}',
        b'{"a":1,}',
        b"{} {}",
        b'{"a":1 "b":2}',
        b"{1:2}",
    ],
)
def test_truncated_or_non_object_body_raises_value_error(body: bytes) -> None:
    with pytest.raises(ValueError):
        count_steps(decode_json(body))
