"""Queries of poll requests."""

from __future__ import annotations

import pytest

from cloverkeel.control_plane.errors import RequestError
from cloverkeel.control_plane.messages import Subscriber
from cloverkeel.control_plane.requests import PollRequest, parse_poll_request


def test_query_is_parsed_and_unknown_keys_are_ignored() -> None:
    assert parse_poll_request(b"gateway=g%201&services=a,b%2Cc&wide=2&from=7&hold_ms=99999999&x=1") == PollRequest(
        Subscriber("g 1", ("a", "b,c"), 2), 7, 60_000
    )
    assert parse_poll_request(b"") == PollRequest(Subscriber(), None)
    names = (b"gateway=%ff", b"gateway=" + b"x" * 300, b"services=" + b"," * 9_999)
    for query in (b"wide=4", b"from=-1", b"hold_ms=", *names):
        with pytest.raises(RequestError):
            parse_poll_request(query)
