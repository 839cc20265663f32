"""Samples of the requests, responses and output of cloverkeel.control_plane."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import io
import json
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any, Final, cast
from unittest import mock

from cloverkeel.control_plane import command
from cloverkeel.control_plane.config import Limits, RelayConfig
from cloverkeel.control_plane.connection import ClientConnection
from cloverkeel.control_plane.discovery_source import DiscoveryPollSchedule
from cloverkeel.control_plane.encoding import IncrementalBody
from cloverkeel.control_plane.endpoint_cache import EndpointCache
from cloverkeel.control_plane.errors import RequestError
from cloverkeel.control_plane.http_server import RelayServer
from cloverkeel.control_plane.messages import ListResponse, Subscriber
from cloverkeel.control_plane.requests import PollRequest, parse_poll_request
from cloverkeel.control_plane.roster_parser import parse_roster
from cloverkeel.core.config import Names
from cloverkeel.core.incremental_gzip import decompress_gzip
from cloverkeel.discovery.endpoint_parser import parse_endpoint_list
from tests.golden.store import Sample, SamplesByName
from tests.sockets import TEST_TIMEOUT_S

NOW_US: Final = 1_796_119_613_761_000
CONFIRMED_US: Final = NOW_US - 250_000
FIRST_INDEX: Final = 1_796_119_613_761_000
SOURCE_INDEX: Final = 41
BODY_LIMIT: Final = 1 << 20
NAMES: Final = Names(classes={}, tenants={}, zones={"a": 0, "b": 1}, kinds={"m": 0})
ROSTER: Final = json.dumps({
    "regions": {"r0": ["a", "b"], "r1": ["c"]},
    "gateways": {
        "g0": {"zone": "a", "services": ["s"]}, "g1": {"zone": "b", "services": ["t", ""]}, "g2": {"zone": "c"},
        **{f"more-{number}": {"zone": "a"} for number in range(12)},
    },
})  # fmt: skip
LIST: Final = "/registry/instances"

FULL_REQUEST: Final = PollRequest(Subscriber("g/0", ("a", "b,c", "ö"), 2), 41, 400)
QUERIES: Final = {
    "nothing": (b"", PollRequest(Subscriber(), None)),
    "all_keys": (b"gateway=g%2F0&services=a,b%2Cc,%C3%B6&wide=2&from=41&hold_ms=400", FULL_REQUEST),
    "longest_hold": (
        b"gateway=g0&services=&wide=0&from=1&hold_ms=99999999",
        PollRequest(Subscriber("g0"), 1, 60_000),
    ),
    "unknown_key": (b"gateway=g0&later=1", PollRequest(Subscriber("g0"), None)),
}
INVALID_QUERIES: Final = (b"wide=4", b"from=x", b"gateway=%FF", b"gateway=" + b"g" * 257, b"services=" + b"," * 2_000)


def _entry(number: int, service: str, **changes: object) -> dict[str, Any]:
    return {
        "name": f"{service or 'none'}-{number}", "address": f"10.0.{number}.1:8080", "service": service,
        "zone": "abc"[number % 3], "type": "m", "group": number % 4, "status": "SERVING", "weight": 1.0,
        "since_ms": 1_796_119_000_000 + number,
    } | changes  # fmt: skip


COUNTS: Final = {"s": 120, "t": 12, "": 3}
ENTRIES: Final = tuple(_entry(number, service) for service, count in COUNTS.items() for number in range(count))
CHANGES: Final = (
    ENTRIES[0] | {"status": "DRAINING"},
    ENTRIES[1] | {"status": "DELETED"},
    ENTRIES[2] | {"status": "DELETED"},
    ENTRIES[3] | {"weight": 0.5},
    ENTRIES[5] | {"status": "DRAINING"},
    _entry(200, "s"),
    _entry(200, "t"),
)


class _RecordingTransport(asyncio.Transport):
    """Records the bytes written to a connection."""

    def __init__(self) -> None:
        super().__init__()
        self.written: list[bytes] = []
        self.is_closed = False

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def writelines(self, list_of_data: object) -> None:
        self.written.append(b"".join(cast(Sequence[bytes], list_of_data)))

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close


class _Relay:
    """A relay without sockets, with a fixed clock."""

    def __init__(self, is_ready: bool) -> None:
        config = RelayConfig("here", "relay-1", ("127.0.0.1", 0), ("127.0.0.1", 9), "roster", Limits())
        self.server = RelayServer(config, EndpointCache(parse_roster(ROSTER, "roster"), FIRST_INDEX))
        if is_ready:
            self.apply_list(True, ENTRIES)

    def apply_list(self, is_snapshot: bool, entries: Sequence[dict[str, Any]]) -> None:
        """Apply a list as if discovery had just sent it."""
        assert self.server.apply_list(is_snapshot, list(entries))
        self.server.source.discovery_index = SOURCE_INDEX
        self.server.source.confirmed_us = CONFIRMED_US

    async def ask(self, target: str, *headers: str, method: str = "GET") -> bytes:
        """Return the whole HTTP response to a request on a new connection."""
        transport = _RecordingTransport()
        connection = ClientConnection(self.server)
        connection.connection_made(transport)
        lines = (f"{method} {target} HTTP/1.1", "Host: r", *headers)
        connection.data_received("\r\n".join(lines).encode() + b"\r\n\r\n")
        while not transport.written:
            assert not transport.is_closed
            await asyncio.sleep(0)
        connection.connection_lost(None)
        return transport.written[0]


def _with_relay(use: Callable[[_Relay], Any], is_ready: bool = True) -> bytes:
    async def run() -> bytes:
        relay = _Relay(is_ready)
        try:
            async with asyncio.timeout(TEST_TIMEOUT_S):
                return cast(bytes, await use(relay))
        finally:
            relay.server.close()

    with (
        mock.patch("cloverkeel.control_plane.http_server.now_us", return_value=NOW_US),
        mock.patch("cloverkeel.control_plane.response_sender.now_us", return_value=NOW_US),
        mock.patch("cloverkeel.control_plane.discovery_source.now_us", return_value=NOW_US),
    ):
        return asyncio.run(run())


def _requested(target: str, *headers: str, is_ready: bool = True, method: str = "GET") -> Callable[[], bytes]:
    return lambda: _with_relay(lambda relay: relay.ask(target, *headers, method=method), is_ready)


def _delta_response(query: str) -> Callable[[], bytes]:
    """Return a function that requests the changes since an earlier response."""

    async def use(relay: _Relay) -> bytes:
        snapshot = _body(await relay.ask(f"{LIST}?{query}"))
        relay.apply_list(False, CHANGES)
        return await relay.ask(f"{LIST}?{query}&from={json.loads(snapshot)['index']}&hold_ms=0")

    return lambda: _with_relay(use)


def _empty_response(query: str) -> Callable[[], bytes]:
    """Return a function that polls when nothing has changed since the previous response."""

    async def use(relay: _Relay) -> bytes:
        snapshot = _body(await relay.ask(f"{LIST}?{query}"))
        return await relay.ask(f"{LIST}?{query}&from={json.loads(snapshot)['index']}&hold_ms=0")

    return lambda: _with_relay(use)


def _body(response: bytes) -> bytes:
    return response.partition(b"\r\n\r\n")[2]


def _parse_as_gateway(response: bytes) -> object:
    """Parse a response as a gateway does; returns its version, whether it is a snapshot, and its hosts."""
    parsed = parse_endpoint_list(json.loads(_body(response)), NAMES)
    hosts = [(entry.name, entry.listed.status.name, entry.listed.users) for entry in parsed.endpoints]
    return parsed.version, parsed.is_snapshot, hosts


def _list_sample(write: Callable[[], bytes]) -> Sample:
    """Return a sample that compares a gateway's parser with a plain JSON parser."""
    return Sample(write, lambda data: _parse_as_gateway(data) == _parse_plain_json(data), expected=True)


def _parse_plain_json(response: bytes) -> object:
    raw = json.loads(_body(response))
    statuses = {"SERVING": "READY", "DRAINING": "DRAINING", "DELETED": "GONE"}
    hosts = [(each["name"], statuses[each["status"]], each.get("users", 0)) for each in raw["endpoints"]]
    return raw["index"], raw["snapshot"], hosts


def _decompressed_response(response: bytes) -> bytes:
    """Return a response with a decompressed body, since the compressed bytes differ between builds of zlib."""
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"Content-Length: %d\r\n" % len(body) in head
    plain = gzip.decompress(body)
    return head.replace(b"Content-Length: %d" % len(body), b"Content-Length: packed") + b"\r\n\r\n" + plain


def _decompress_body(response: bytes) -> bytes:
    """Decompress a response's body as a gateway does."""
    steps = decompress_gzip(_body(response), BODY_LIMIT)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return cast(bytes, stop.value)


def _gzip_sample(*headers: str) -> Sample:
    plain = _body(_requested(f"{LIST}?gateway=g0")())
    return Sample(
        _requested(f"{LIST}?gateway=g0", *headers), _decompress_body, plain, canonical=_decompressed_response
    )


def _long_body() -> bytes:
    """Return a body that is encoded incrementally."""
    response = ListResponse(7, True, tuple(b'{"name":"%d"}' % number for number in range(600)))
    body = IncrementalBody(gzip=False)
    for _ in body.encode(response):
        pass
    return b"".join(body.chunks) + body.tail(250)


def _rejections() -> bytes:
    """Return the error text for each invalid query."""
    reasons = []
    for query in INVALID_QUERIES:
        try:
            parse_poll_request(query)
        except RequestError as error:
            reasons.append(str(error))
    assert len(reasons) == len(INVALID_QUERIES)
    return "\n".join(reasons).encode()


def _query(query: bytes, request: PollRequest) -> Sample:
    return Sample(lambda: query, parse_poll_request, request)


def _source_targets() -> bytes:
    """Return a relay's requests to discovery: for a snapshot, for changes, and the first poll on a new connection."""
    schedule = DiscoveryPollSchedule()
    targets = [schedule.next_request(0.0).target]
    schedule.on_reply(0.0, SOURCE_INDEX, is_snapshot=True)
    targets.append(schedule.next_request(0.1).target)
    schedule.on_connected()
    targets.append(schedule.next_request(0.1).target)
    return b"\n".join(targets)


def _show() -> bytes:
    """Return the request and the output of `relay show`."""
    state = _body(_requested("/relay/state")())
    connection = mock.Mock()
    connection.getresponse.return_value = SimpleNamespace(read=lambda limit: state)
    output = io.StringIO()
    with mock.patch("http.client.HTTPConnection", return_value=connection), contextlib.redirect_stdout(output):
        exit_code = command.main(["show", "127.0.0.1:7001"])
    (request,) = connection.request.call_args_list
    return f"sent: {' '.join(request.args)}\n{output.getvalue()}exit code: {exit_code}\n".encode()


SAMPLES_BY_KIND: Final[dict[str, SamplesByName]] = {
    "relay_calls": {
        **{name: _query(query, request) for name, (query, request) in QUERIES.items()},
        "refusals": Sample(_rejections),
        "to_discovery": Sample(_source_targets),
    },
    "relay_answers": {
        "whole_of_one_service": _list_sample(_requested(f"{LIST}?gateway=g0")),
        "whole_of_one_service_widened": _list_sample(_requested(f"{LIST}?gateway=g0&wide=3")),
        "whole_of_named_services": _list_sample(_requested(f"{LIST}?gateway=g2&services=t,s")),
        "whole_of_all_services": _list_sample(_requested(f"{LIST}?gateway=g2")),
        "whole_to_a_stranger": _list_sample(_requested(LIST)),
        "changes": _list_sample(_delta_response("gateway=g0")),
        "changes_of_all_services": _list_sample(_delta_response("gateway=g2")),
        "changes_to_a_stranger": _list_sample(_delta_response("gateway=nobody")),
        "nothing_new": _list_sample(_empty_response("gateway=g0")),
        "unknown_index": _list_sample(_requested(f"{LIST}?gateway=g0&from=5&hold_ms=0")),
        "packed": _gzip_sample("Accept-Encoding: gzip"),
        "last_of_a_connection": _list_sample(_requested(f"{LIST}?gateway=g0", "Connection: close")),
        "not_ready": Sample(_requested(LIST, is_ready=False)),
        "odd_query": Sample(_requested(f"{LIST}?wide=9")),
        "odd_method": Sample(_requested(LIST, method="POST")),
        "odd_path": Sample(_requested("/else")),
        "ready": Sample(_requested("/health/ready")),
        "ready_without_list": Sample(_requested("/health/ready", is_ready=False)),
        "state": Sample(_requested("/relay/state")),
        "state_without_list": Sample(_requested("/relay/state", is_ready=False)),
        "long_body": Sample(_long_body),
    },
    "relay_commands": {"show": Sample(_show)},
}
