"""What clients send: requests from bytes, and every check on them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Final

import httptools

from cloverkeel.balancing.settings import Effect

from cloverkeel.core.calls import Call, Client
from cloverkeel.core.config import Config, stable_id
from cloverkeel.core.messages import BODY_LIMIT, HEAD_LIMIT, HOP_BY_HOP, LARGE_LIMIT, Header, tokens
from cloverkeel.core.body_budget import Room, Share

ID_LIMIT: Final = 128
SLICE: Final = 4096  # bytes parsed before it is looked at how many requests they held
BODY_SLICE: Final = 64 * 1024  # the same within a large body
STAYS: Final = HOP_BY_HOP | {b"x-budget-ms"}  # headers that do not go on to a host
ONCE: Final = frozenset(
    {b"x-call-id", b"x-call-class", b"x-caller", b"x-budget-ms", b"x-call-cost", b"idempotency-key"}
)


class RequestError(ValueError):
    """A request that is answered here, with this status."""

    def __init__(self, status: int, why: str, *headers: Header) -> None:
        super().__init__(why)
        self.status = status
        self.headers = list(headers)


class Request:
    """One request as it was read; `fault` tells that it can't be, and nothing after it."""

    __slots__ = (
        "body", "body_size", "fault", "fields", "is_old", "keep_alive", "lines", "method", "repeated", "share",
        "target",
    )  # fmt: skip

    def __init__(self, fault: RequestError | None = None) -> None:
        self.method = b""
        self.target = b""
        self.fields: dict[bytes, bytes] = {}  # by name in lower case; of several, the first
        self.repeated: list[bytes] = []
        self.lines: list[tuple[bytes, bytes, bytes]] = []  # name in lower case, name and value as they came
        self.body: list[bytes] = []
        self.body_size = 0
        self.share: Share | None = None  # what a large body holds of the common room
        self.keep_alive = False
        self.is_old = False  # HTTP/1.0: no chunks are understood
        self.fault = fault


class RequestReader:
    """Turns the bytes of one client's connection into requests."""

    __slots__ = (
        "_head_size", "_in_body", "_on_expect", "_parser", "_reading", "_room", "_to_come", "_unparsed", "done",
        "is_broken", "rest",
    )  # fmt: skip

    def __init__(self, on_expect: Callable[[], None], room: Room) -> None:
        self._parser: Any = httptools.HttpRequestParser(self)
        self._on_expect = on_expect
        self._reading: Request | None = None
        self._room = room
        self._to_come = 0  # bytes of the body that is being read, as its head has it
        self._in_body = False  # the head is read
        self._head_size = 0  # of headers: names and values
        self._unparsed = 0  # bytes since the parser last gave something away
        self.done: deque[Request] = deque()  # read and not yet taken
        self.rest = b""  # not yet parsed, as enough requests wait
        self.is_broken = False  # nothing more is read

    @property
    def has_begun(self) -> bool:
        """Whether part of a request has come, and not all of it."""
        return self._reading is not None or self._unparsed > 0 or bool(self.rest)

    def feed(self, data: bytes, most: int) -> None:
        """Read on, until so many requests wait: hundreds at once must not hold up everyone else."""
        data = b"%s%s" % (self.rest, data) if self.rest else data
        begin, end = 0, len(data)
        while begin < end and not self.is_broken and len(self.done) < most:
            size = min(end - begin, max(SLICE, min(BODY_SLICE, self._to_come)))
            piece = data if size == end else data[begin : begin + size]
            begin += size
            fault = self._parse(piece)
            if fault is not None:
                self.break_off(fault)
        self.rest = b"" if begin >= end or self.is_broken else data[begin:]

    @property
    def body_size(self) -> int:
        """Of the body that is being read, as far as it has come."""
        return self._reading.body_size if self._reading is not None else 0

    def break_off(self, fault: RequestError) -> None:
        """Answer with this after what was read before, and read nothing more."""
        self.is_broken = True
        self._reading, self.rest = None, b""
        self.done.append(Request(fault))

    def close(self) -> None:
        """Read nothing more, and let go of the parser and of who is told: they know this reader."""
        self.is_broken = True
        self._reading, self.rest = None, b""
        self.done.clear()
        self._parser, self._on_expect = None, _nobody

    def _parse(self, piece: bytes) -> RequestError | None:
        self._unparsed += len(piece)
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade:
            return RequestError(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            cause = error.__context__
            return cause if isinstance(cause, RequestError) else RequestError(400, "malformed")
        # Guards against a head, a chunk's extension or blank lines without end: the parser hands a header
        # over only once it is whole, and says nothing of the rest.
        return RequestError(431, "the head is too long") if self._unparsed > HEAD_LIMIT else None

    # httptools' callbacks

    def on_message_begin(self) -> None:
        self._reading = Request()
        self._head_size = self._to_come = 0
        self._in_body = False

    def on_url(self, url: bytes) -> None:
        assert self._reading is not None
        self._reading.target = b"%s%s" % (self._reading.target, url)

    def on_header(self, name: bytes, value: bytes) -> None:
        request = self._reading
        assert request is not None
        if self._in_body:
            return  # a trailer: not passed on, and bounded as what the parser gives nothing away of
        self._head_size += len(name) + len(value)
        value = value.strip(b" \t")  # white space round a value is not part of it; the parser leaves what trails
        lower = name.lower()
        if lower in request.fields:
            request.repeated.append(lower)
        else:
            request.fields[lower] = value
        request.lines.append((lower, name, value))

    def on_headers_complete(self) -> None:
        request = self._reading
        assert request is not None
        self._unparsed = 0
        self._in_body = True
        request.method = self._parser.get_method()
        fields = request.fields
        if self._head_size + len(request.target) > HEAD_LIMIT:
            raise RequestError(431, "the head is too long")
        version = self._parser.get_http_version()
        if version not in ("1.1", "1.0"):
            raise RequestError(505, "HTTP/1.1 is spoken here")
        request.is_old = version == "1.0"
        coding = fields.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise RequestError(501, "no transfer encoding but chunked is read")
        length = fields.get(b"content-length")
        self._to_come = int(length) if length is not None else 0
        if self._to_come > LARGE_LIMIT:
            raise RequestError(413, f"the body is longer than {LARGE_LIMIT} bytes")
        expected = fields.get(b"expect")
        if expected is not None:
            if expected.lower() != b"100-continue":
                raise RequestError(417, "only 100-continue can be expected")
            self._on_expect()

    def on_body(self, data: bytes) -> None:
        request = self._reading
        assert request is not None
        self._unparsed = 0
        before, request.body_size = request.body_size, request.body_size + len(data)
        self._to_come = max(0, self._to_come - len(data))
        if request.body_size > BODY_LIMIT:
            if request.body_size > LARGE_LIMIT:
                raise RequestError(413, f"the body is longer than {LARGE_LIMIT} bytes")
            if request.share is None:
                before, request.share = 0, Share(self._room)
            if not request.share.grow(request.body_size - before):
                raise RequestError(503, "no room for a large body now; ask again later")
        request.body.append(data)

    def on_message_complete(self) -> None:
        request = self._reading
        assert request is not None
        self._reading = None
        self._unparsed = 0
        request.keep_alive = self._parser.should_keep_alive()
        self.done.append(request)


def _nobody() -> None:
    """In the place of who was told."""


def read_call(request: Request, path: bytes, config: Config, client: Client) -> Call:
    """The request in the module's terms."""
    for name in request.repeated:
        if name in ONCE:
            raise RequestError(400, f"{name.decode()} comes twice")
    headers = request.fields
    names = config.names
    parts = [part for part in path.split(b"/") if part]
    named = headers.get(b"x-call-class")
    if named is not None and named not in names.classes:
        raise RequestError(400, "unknown class")
    if not parts or not path.startswith(b"/") or parts[0] not in names.classes:
        raise RequestError(404, "unknown path")
    if b"#" in request.target:
        raise RequestError(400, "a fragment is not sent")
    if named is not None and named != parts[0]:
        raise RequestError(400, "the class is not that of the path")
    klass = names.classes[parts[0]]
    class_ = config.settings.classes[klass]
    method = b"GET" if class_.effect is Effect.SAFE else b"POST"
    if request.method != method:
        raise RequestError(405, f"{method.decode()} it", (b"Allow", method))
    if class_.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
        raise RequestError(400, "no Idempotency-Key")
    id_ = headers.get(b"x-call-id")
    if not id_ or len(id_) > ID_LIMIT:
        raise RequestError(400, "no X-Call-Id that can be used")
    budget_ms = _whole(headers.get(b"x-budget-ms"), "X-Budget-Ms")
    body = b"".join(request.body) if request.share is None else b""
    # No client waits for longer than its class is given: what says so is cut to that.
    patience_us = class_.client_timeout_us if budget_ms is None else min(budget_ms * 1000, class_.client_timeout_us)
    call = Call(
        id=id_.decode("latin-1"),
        klass=klass,
        patience_us=patience_us,
        key=stable_id(parts[-1], 8) if len(parts) > 1 else None,
        work_us=_whole(headers.get(b"x-call-cost"), "X-Call-Cost"),
        is_retry=headers.get(b"x-again") == b"1",
        tenant=names.tenants.get(headers.get(b"x-caller", b""), 0),
        head=_head(request),
        body=body,
        client=client,
    )
    if request.share is not None:
        call.pieces, call.share = request.body, request.share
    return call


def _whole(text: bytes | None, name: str) -> int | None:
    if text is None:
        return None
    if not text.isdigit() or len(text) > 15:
        raise RequestError(400, f"{name} is not a whole number")
    return int(text)


def _head(request: Request) -> bytes:
    """What goes on to a host, all but the budget and the empty line."""
    pieces = [request.method, b" ", request.target, b" HTTP/1.1"]  # joined at once: cheaper than formatting each
    stays = STAYS
    if b"connection" in request.fields:
        # What it names is meant for this connection only, too.
        values = [value for lower, _, value in request.lines if lower == b"connection"]
        stays = STAYS.union(*map(tokens, values))
    for lower, name, value in request.lines:
        if lower not in stays:
            pieces += (b"\r\n", name, b": ", value)
    if request.body_size or request.method == b"POST":
        pieces += (b"\r\nContent-Length: ", str(request.body_size).encode())
    pieces.append(b"\r\n")
    return b"".join(pieces)
