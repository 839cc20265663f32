"""What clients send: requests from bytes, and what of HTTP can be checked in them. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Final

import httptools

from cloverkeel.core.messages import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_BODY_BYTES,
    Header,
)
from cloverkeel.core.body_budget import BodyBudget, BodyReservation

SLICE_BYTES: Final = 4096  # parsed before it is checked how many requests they held
BODY_SLICE_BYTES: Final = 64 * 1024  # the same within a large body
SUPPORTED_VERSIONS: Final = ("1.1", "1.0")


class RequestError(ValueError):
    """A request that is answered here, with this status; its text is the body of the response."""

    def __init__(self, status: int, reason: str, *headers: Header) -> None:
        super().__init__(reason)
        self.status = status
        self.headers = list(headers)


class Request:
    """One request as it was read; `error` tells that it can't be, and nothing after it."""

    __slots__ = (
        "body", "body_reservation", "body_size", "error", "header_by_name", "header_lines", "is_http10", "keep_alive",
        "method", "repeated_names", "target",
    )  # fmt: skip

    def __init__(self, error: RequestError | None = None) -> None:
        self.method = b""
        self.target = b""
        self.header_by_name: dict[bytes, bytes] = {}  # by name in lower case; of several, the first
        self.repeated_names: list[bytes] = []
        self.header_lines: list[tuple[bytes, bytes, bytes]] = []  # name in lower case, name and value as they came
        self.body: list[bytes] = []
        self.body_size = 0
        self.body_reservation: BodyReservation | None = None  # what a large body holds of the common budget
        self.keep_alive = False
        self.is_http10 = False  # no chunks are understood
        self.error = error


class RequestReader:
    """Turns the bytes of one client's connection into requests (RFC 9112)."""

    __slots__ = (
        "_awaited_body_bytes", "_body_budget", "_head_size", "_is_in_body", "_on_expect", "_parser", "_request",
        "_undelivered", "completed", "is_broken", "unparsed",
    )  # fmt: skip

    def __init__(self, on_expect: Callable[[], None], body_budget: BodyBudget) -> None:
        self._parser: Any = httptools.HttpRequestParser(self)
        self._on_expect = on_expect
        self._request: Request | None = None  # the one that is being read
        self._body_budget = body_budget
        self._awaited_body_bytes = 0  # of the body that is being read, as its head has it
        self._is_in_body = False  # the head is read
        self._head_size = 0  # of headers: names and values
        self._undelivered = 0  # bytes since the parser last handed anything over
        self.completed: deque[Request] = deque()  # read and not yet taken
        self.unparsed = b""  # left, as enough requests wait
        self.is_broken = False  # nothing more is read

    @property
    def has_begun(self) -> bool:
        """Whether part of a request has come, and not all of it."""
        return self._request is not None or self._undelivered > 0 or bool(self.unparsed)

    @property
    def body_size(self) -> int:
        """Bytes of the body that is being read, as far as it has come."""
        return self._request.body_size if self._request is not None else 0

    def feed(self, data: bytes, max_requests: int) -> None:
        """Read on, until so many requests wait: hundreds at once must not hold up everyone else."""
        data = b"%s%s" % (self.unparsed, data) if self.unparsed else data
        begin, end = 0, len(data)
        while begin < end and not self.is_broken and len(self.completed) < max_requests:
            size = min(end - begin, max(SLICE_BYTES, min(BODY_SLICE_BYTES, self._awaited_body_bytes)))
            part = data if size == end else data[begin : begin + size]
            begin += size
            error = self._parse(part)
            if error is not None:
                self.fail(error)
        self.unparsed = b"" if begin >= end or self.is_broken else data[begin:]

    def fail(self, error: RequestError) -> None:
        """Answer with this error after what was read before, and read nothing more."""
        self.is_broken = True
        self._request = None
        self.unparsed = b""
        self.completed.append(Request(error))

    def close(self) -> None:
        """Read nothing more, and let go of the parser and of the handler: they know this reader."""
        self.is_broken = True
        self._request = None
        self.unparsed = b""
        self.completed.clear()
        self._parser = None
        self._on_expect = _ignore_expect

    def _parse(self, part: bytes) -> RequestError | None:
        self._undelivered += len(part)
        try:
            self._parser.feed_data(part)
        except httptools.HttpParserUpgrade:
            return RequestError(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            cause = error.__context__
            return cause if isinstance(cause, RequestError) else RequestError(400, "malformed")
        # Guards against a head, a chunk's extension or blank lines without end: the parser hands a header
        # over only once it is whole, and says nothing of the rest.
        return RequestError(431, "the head is too long") if self._undelivered > MAX_HEAD_BYTES else None

    # Callbacks of httptools, which finds them by name

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._request = Request()
        self._head_size = 0
        self._awaited_body_bytes = 0
        self._is_in_body = False

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        assert self._request is not None
        self._request.target = b"%s%s" % (self._request.target, url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        request = self._request
        assert request is not None
        if self._is_in_body:
            return  # a trailer: not forwarded, and bounded as what the parser hands nothing over of
        self._head_size += len(name) + len(value)
        value = value.strip(b" \t")  # white space round a value is not part of it; the parser leaves what trails
        lower = name.lower()
        if lower in request.header_by_name:
            request.repeated_names.append(lower)
        else:
            request.header_by_name[lower] = value
        request.header_lines.append((lower, name, value))

    def on_headers_complete(self) -> None:
        """Check the head: its size, the version, how the body is framed."""
        request = self._request
        assert request is not None
        self._undelivered = 0
        self._is_in_body = True
        request.method = self._parser.get_method()
        if self._head_size + len(request.target) > MAX_HEAD_BYTES:
            raise RequestError(431, "the head is too long")
        version = self._parser.get_http_version()
        if version not in SUPPORTED_VERSIONS:
            raise RequestError(505, "HTTP/1.1 is spoken here")
        request.is_http10 = version == "1.0"
        self._check_framing(request.header_by_name)
        expected = request.header_by_name.get(b"expect")
        if expected is not None:
            if expected.lower() != b"100-continue":
                raise RequestError(417, "only 100-continue can be expected")
            self._on_expect()

    def _check_framing(self, header_by_name: dict[bytes, bytes]) -> None:
        """Check the transfer coding, and the length of the body where the head has it."""
        coding = header_by_name.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise RequestError(501, "no transfer encoding but chunked is read")
        length = header_by_name.get(b"content-length")
        self._awaited_body_bytes = int(length) if length is not None else 0
        if self._awaited_body_bytes > MAX_BODY_BYTES:
            raise RequestError(413, f"the body is longer than {MAX_BODY_BYTES} bytes")

    def on_body(self, data: bytes) -> None:
        """Take bytes of the body, within the common budget where it is large."""
        request = self._request
        assert request is not None
        self._undelivered = 0
        request.body_size += len(data)
        self._awaited_body_bytes = max(0, self._awaited_body_bytes - len(data))
        if request.body_size > MAX_BUFFERED_BODY_BYTES:
            self._reserve_body(request, len(data))
        request.body.append(data)

    def _reserve_body(self, request: Request, size: int) -> None:
        """Reserve the last bytes of a large body, and of one that has become large all that came."""
        if request.body_size > MAX_BODY_BYTES:
            raise RequestError(413, f"the body is longer than {MAX_BODY_BYTES} bytes")
        if request.body_reservation is None:
            size = request.body_size
            request.body_reservation = BodyReservation(self._body_budget)
        if not request.body_reservation.try_grow(size):
            raise RequestError(503, "no room for a large body now; ask again later")

    def on_message_complete(self) -> None:
        """End a request."""
        request = self._request
        assert request is not None
        self._request = None
        self._undelivered = 0
        request.keep_alive = self._parser.should_keep_alive()
        self.completed.append(request)


def _ignore_expect() -> None:
    """Stand in for the handler of a connection that has ended."""
