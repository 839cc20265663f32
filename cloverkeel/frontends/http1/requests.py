"""HTTP/1.1 request parser, which checks syntax, framing and limits. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any, Final

import httptools

from cloverkeel.core.messages import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_BODY_BYTES,
)
from cloverkeel.core.chunk_buffer import ChunkBuffer
from cloverkeel.core.body_budget import BodyBudget, BodyReservation
from cloverkeel.core.memory_account import PARSED_REQUEST_BYTES
from cloverkeel.frontends.http1.errors import RequestError

SLICE_BYTES: Final = 4096  # parsed between checks of the number of complete requests
BODY_SLICE_BYTES: Final = 64 * 1024  # the slice within a large body
MAX_HEADER_FIELDS: Final = 128  # in one head: a field costs far more as objects than as bytes
HEADER_FIELD_BYTES: Final = 340  # objects of one field, beside its bytes
SUPPORTED_VERSIONS: Final = ("1.1", "1.0")


class Request:
    """One parsed request; if `error` is set, it is invalid and no request follows it."""

    __slots__ = (
        "body", "body_reservation", "body_size", "error", "head_bytes", "header_by_name", "header_lines", "is_http10",
        "keep_alive", "method", "repeated_names", "target",
    )  # fmt: skip

    def __init__(self, error: RequestError | None = None) -> None:
        self.method = b""
        self.target = b""
        self.header_by_name: dict[bytes, bytes] = {}  # name in lower case; the first value of a repeated header
        self.repeated_names: list[bytes] = []
        self.header_lines: list[tuple[bytes, bytes, bytes]] = []  # name in lower case, name as received, value
        self.body = ChunkBuffer()
        self.body_size = 0
        self.body_reservation: BodyReservation | None = None  # bytes of the shared budget that a large body uses
        self.head_bytes = 0  # memory of the head, or of what was made of the request once it is admitted
        self.keep_alive = False
        self.is_http10 = False  # the client does not understand chunks
        self.error = error

    @property
    def held_bytes(self) -> int:
        """Memory of the request, without what a reservation covers."""
        return self.head_bytes + (self.body.held_bytes if self.body_reservation is None else 0)

    def release_head(self, admitted_bytes: int) -> None:
        """Drop the parsed head, of which a call of `admitted_bytes` was made."""
        self.header_by_name = {}
        self.repeated_names = []
        self.header_lines = []
        self.target = b""
        self.head_bytes = admitted_bytes


class RequestReader:
    """Parses the bytes of one client connection into requests (RFC 9112)."""

    __slots__ = (
        "_body_budget", "_bytes_since_callback", "_completed_bytes", "_head_size", "_is_in_body", "_on_expect",
        "_parser", "_pieces", "_remaining_body_bytes", "_request", "completed", "is_broken", "is_continue_due",
        "on_body", "unparsed",
    )  # fmt: skip

    def __init__(self, on_expect: Callable[[], None], body_budget: BodyBudget) -> None:
        # The parser appends pieces of a body to a list without a call of Python code: a chunk may be one byte long.
        self._pieces: list[bytes] = []
        self.on_body: Any = self._pieces.append
        self._parser: Any = httptools.HttpRequestParser(self)
        self._on_expect = on_expect
        self._request: Request | None = None  # being parsed
        self._body_budget = body_budget
        self._remaining_body_bytes = 0  # not yet received of the body; 0 also if its length is not announced
        self._is_in_body = False  # the head is complete
        self._head_size = 0  # bytes of header names and values
        self._bytes_since_callback = 0  # bytes parsed since the parser last delivered a head, body bytes or an end
        self._completed_bytes = 0  # memory of `completed`
        self.completed: deque[Request] = deque()  # parsed, not yet processed
        self.unparsed = b""  # input left over while enough requests wait
        self.is_broken = False  # nothing more is parsed
        self.is_continue_due = False  # the request being parsed awaits `100 Continue` before its body

    @property
    def has_begun(self) -> bool:
        """Whether part of a request has arrived, and not all of it."""
        return self._request is not None or self._bytes_since_callback > 0 or bool(self.unparsed)

    @property
    def body_size(self) -> int:
        """Bytes received so far of the body being parsed."""
        return self._request.body_size if self._request is not None else 0

    @property
    def current_bytes(self) -> int:
        """Memory of the request being parsed, without what a reservation covers."""
        request = self._request
        if request is None:
            return 0
        return request.held_bytes if self._is_in_body else self._head_bytes(request)

    def _head_bytes(self, request: Request) -> int:
        """Return the memory of the part of a head that has arrived, with what the parser holds of it."""
        return self._bytes_since_callback + HEADER_FIELD_BYTES * len(request.header_lines)

    @property
    def held_bytes(self) -> int:
        """Memory of all that was read and not taken, without what reservations cover."""
        return self._completed_bytes + self.current_bytes + len(self.unparsed)

    @property
    def expects_large_body(self) -> bool:
        """Whether much more of the present body is to come."""
        return self._remaining_body_bytes > BODY_SLICE_BYTES

    def take_next(self) -> Request:
        """Remove and return the first complete request."""
        request = self.completed.popleft()
        self._completed_bytes -= request.held_bytes
        return request

    def drop_completed(self) -> None:
        """Drop the requests that wait, as the connection ends."""
        self.completed.clear()
        self._completed_bytes = 0

    def feed(self, data: bytes | memoryview, max_requests: int, max_ahead_bytes: int) -> None:
        """Parse until `max_requests` or `max_ahead_bytes` of complete requests wait, and at least one.

        The limits keep hundreds of requests at once from blocking other clients, and bound what one client holds.
        """
        data = b"".join((self.unparsed, data)) if self.unparsed else data
        begin, end = 0, len(data)
        while begin < end and not self.is_broken:
            if self.completed and (len(self.completed) >= max_requests or self._completed_bytes >= max_ahead_bytes):
                break
            size = min(end - begin, max(SLICE_BYTES, min(BODY_SLICE_BYTES, self._remaining_body_bytes)))
            part = data if size == end else data[begin : begin + size]
            begin += size
            error = self._parse(part)
            if error is not None:
                self.fail(error)
        self.unparsed = b"" if begin >= end or self.is_broken else bytes(data[begin:])

    def fail(self, error: RequestError) -> None:
        """Add `error` after the requests parsed so far, and parse nothing more."""
        self.is_broken = True
        self.is_continue_due = False
        self._request = None
        self._pieces.clear()
        self.unparsed = b""
        self.completed.append(Request(error))

    def close(self) -> None:
        """Stop parsing, and drop the parser and the handler, which refer back to this reader."""
        self.is_broken = True
        self._request = None
        self.unparsed = b""
        self.drop_completed()
        self._parser = None
        self._pieces.clear()
        self._on_expect = _ignore_expect

    def _parse(self, part: bytes | memoryview) -> RequestError | None:
        self._bytes_since_callback += len(part)
        try:
            self._parser.feed_data(part)
            self._take_pieces()
        except RequestError as error:
            return error.with_traceback(None)
        except httptools.HttpParserUpgrade:
            return RequestError(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            cause = error.__context__
            if not isinstance(cause, RequestError):
                return RequestError(400, "malformed")
            # Without its traceback, whose frames hold the request and refer to the error: a cycle that holds a body.
            return cause.with_traceback(None)
        # Guards against an endless head, chunk extension or run of blank lines: the parser delivers only complete
        # headers, and buffers or skips the rest without a callback.
        return RequestError(431, "the head is too long") if self._bytes_since_callback > MAX_HEAD_BYTES else None

    # Callbacks that httptools looks up by name

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._request = Request()
        self._head_size = 0
        self._remaining_body_bytes = 0
        self._is_in_body = False

    def on_url(self, url: bytes) -> None:
        """Append part of the request target."""
        assert self._request is not None
        self._request.target = b"%s%s" % (self._request.target, url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        request = self._request
        assert request is not None
        if self._is_in_body:
            return  # a trailer: not forwarded, and limited by _bytes_since_callback
        if len(request.header_lines) >= MAX_HEADER_FIELDS:
            raise RequestError(431, f"the head has more than {MAX_HEADER_FIELDS} fields")
        self._head_size += len(name) + len(value)
        value = value.strip(b" \t")  # white space around a value is not part of it; the parser keeps trailing space
        lower = name.lower()
        if lower in request.header_by_name:
            request.repeated_names.append(lower)
        else:
            request.header_by_name[lower] = value
        request.header_lines.append((lower, name, value))

    def on_headers_complete(self) -> None:
        """Check the size of the head, the version, the framing of the body and `Expect`."""
        request = self._request
        assert request is not None
        request.head_bytes = self._head_bytes(request) + PARSED_REQUEST_BYTES
        self._bytes_since_callback = 0
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
            self.is_continue_due = True
            self._on_expect()

    def _check_framing(self, header_by_name: dict[bytes, bytes]) -> None:
        """Check the transfer coding, and the length of the body if the head has it."""
        coding = header_by_name.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise RequestError(501, "no transfer encoding but chunked is read")
        length = header_by_name.get(b"content-length")
        self._remaining_body_bytes = int(length) if length is not None else 0
        if self._remaining_body_bytes > MAX_BODY_BYTES:
            raise RequestError(413, f"the body is longer than {MAX_BODY_BYTES} bytes")

    def _take_pieces(self) -> None:
        """Store the pieces of the body that the parser has delivered."""
        pieces = self._pieces
        if pieces:
            data = pieces[0] if len(pieces) == 1 else b"".join(pieces)
            pieces.clear()
            self._add_body(data)

    def _add_body(self, data: bytes) -> None:
        """Store bytes of the body, within the shared budget if it is large."""
        request = self._request
        assert request is not None
        self._bytes_since_callback = 0
        request.body_size += len(data)
        self._remaining_body_bytes = max(0, self._remaining_body_bytes - len(data))
        if request.body_size > MAX_BUFFERED_BODY_BYTES:
            self._reserve_body(request, len(data))
        request.body.append(data)

    def _reserve_body(self, request: Request, size: int) -> None:
        """Reserve budget for the latest `size` bytes of a large body, at first for all bytes received."""
        if request.body_size > MAX_BODY_BYTES:
            raise RequestError(413, f"the body is longer than {MAX_BODY_BYTES} bytes")
        if request.body_reservation is None:
            size = request.body_size
            request.body_reservation = BodyReservation(self._body_budget)
        if not request.body_reservation.try_grow(size):
            raise RequestError(503, "no room for a large body now; ask again later")

    def on_message_complete(self) -> None:
        """Complete a request."""
        request = self._request
        assert request is not None
        self._take_pieces()
        self._request = None
        self._bytes_since_callback = 0
        self.is_continue_due = False  # the client has sent the body without waiting
        request.keep_alive = self._parser.should_keep_alive()
        self._completed_bytes += request.held_bytes
        self.completed.append(request)


def _ignore_expect() -> None:
    """Replace the handler of a closed connection."""
