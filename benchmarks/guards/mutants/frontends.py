"""Mutants of the HTTP frontend: each removes one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("answer-own")
def _() -> None:
    """A client connection writes a response even if it belongs to another call."""
    from cloverkeel.frontends.http1.connection import ClientConnection

    for name in ("on_response", "on_rejected", "on_failed"):
        patch_source(ClientConnection, name, ("if self.call is call:", "if True:"))


@mutant("way-out-answers")
def _() -> None:
    """On SIGTERM the program exits without answering the requests in flight."""
    from cloverkeel.frontends.http1.server import Server

    async def shut_down(self: Any) -> None:
        self.listener.close()

    patch_attribute(Server, "shut_down", shut_down)


@mutant("idle-unread")
def _() -> None:
    """A connection counts as idle although a request waits in the kernel's buffer."""
    from cloverkeel.frontends.http1.connection import ClientConnection

    patch_source(ClientConnection, "is_idle", ("return not self.poll.poll(0)", "return True"))


@mutant("head-deadline")
def _() -> None:
    """A request that has begun to arrive never times out."""
    from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

    patch_source(ConnectionTimeouts, "_time_out_requests", ("connection.time_out_request()", "pass"))


@mutant("silent-deadline")
def _() -> None:
    """A client connection that has sent nothing never times out."""
    from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

    patch_source(
        ConnectionTimeouts,
        "end_expired",
        ('self._close_idle(self.accepted, FIRST_BYTE_TIMEOUT_S, "silent", now_s)', "pass"),
    )


@mutant("head-limit")
def _() -> None:
    """The head of a request may have any length."""
    from cloverkeel.frontends.http1 import requests

    patch_attribute(requests, "MAX_HEAD_BYTES", 1 << 40)


@mutant("body-limit")
def _() -> None:
    """The body of a request may have any length."""
    from cloverkeel.frontends.http1 import requests

    patch_attribute(requests, "MAX_BODY_BYTES", 1 << 40)


@mutant("read-ahead")
def _() -> None:
    """Any number of pipelined requests is parsed ahead."""
    from cloverkeel.frontends.http1 import connection

    patch_attribute(connection, "MAX_PIPELINED_REQUESTS", 1 << 30)


@mutant("both-framings")
def _() -> None:
    """A request with Content-Length and Transfer-Encoding is framed by the latter."""
    from cloverkeel.frontends.http1.requests import RequestReader

    original_init = RequestReader.__init__

    def init_leniently(self: Any, *args: Any) -> None:
        original_init(self, *args)
        self._parser.set_dangerous_leniencies(lenient_chunked_length=True)

    patch_attribute(RequestReader, "__init__", init_leniently)


@mutant("repeated-headers")
def _() -> None:
    """Of a repeated header, the first value is used."""
    from cloverkeel.frontends.http1 import call_reader

    patch_attribute(call_reader, "UNIQUE_HEADERS", frozenset())


@mutant("budget-cut")
def _() -> None:
    """A client's time budget may exceed the limit of its class."""
    from cloverkeel.frontends.http1 import call_reader

    patch_source(
        call_reader, "read_call",
        ("settings.client_timeout_us if budget_ms is None else min(budget_ms * 1000, settings.client_timeout_us)",
         "settings.client_timeout_us if budget_ms is None else budget_ms * 1000"),
    )  # fmt: skip


@mutant("client-share")
def _() -> None:
    """Client connections may use every descriptor."""
    from cloverkeel.frontends.http1.admission import Admission

    patch_attribute(Admission, "has_room", lambda self: True)


@mutant("accept-error")
def _() -> None:
    """An accept that fails for lack of descriptors raises out of the callback."""
    from cloverkeel.frontends.http1.listener import Listener

    patch_source(Listener, "accept", ("except OSError as error:", "except MemoryError as error:"))


@mutant("host-room")
def _() -> None:
    """No client is closed to free a descriptor for a connection to a host."""
    from cloverkeel.frontends.http1.admission import Admission

    patch_attribute(Admission, "reserve_descriptor", lambda self: True)


@mutant("accept-pauses")
def _() -> None:
    """An accept that fails for lack of descriptors is retried at once."""
    from cloverkeel.frontends.http1.listener import Listener

    patch_attribute(Listener, "pause", lambda self: None)


@mutant("slow-yield")
def _() -> None:
    """A client whose request has stalled keeps its descriptor until the request times out."""
    from cloverkeel.frontends.http1.admission import Admission

    patch_attribute(Admission, "_abort_slow_client", lambda self: False)


@mutant("reserve-kept")
def _() -> None:
    """If no connection can be closed, connections to hosts use the reserved descriptors."""
    from cloverkeel.frontends.http1.admission import Admission

    patch_source(
        Admission,
        "reserve_descriptor",
        ("or self.hosts.close_oldest_idle()", "or self.hosts.close_oldest_idle() or True"),
    )


@mutant("gone-unread")
def _() -> None:
    """A disconnect is noticed only once the loop has read it."""
    from cloverkeel.frontends.http1.client_transport import ClientTransport

    patch_attribute(ClientTransport, "has_disconnected", lambda self: self.transport is None)


@mutant("answer-all")
def _() -> None:
    """At its deadline the process exits without answering the requests in flight."""
    from cloverkeel.frontends.http1.drain import ClientDrain

    patch_source(ClientDrain, "on_timer", ("self.gateway.answer_all_requests()", "pass"))


@mutant("value-space")
def _() -> None:
    """Trailing white space is kept as part of a header's value."""
    from cloverkeel.frontends.http1.requests import RequestReader
    from cloverkeel.protocols.http1 import ReplyReader

    patch_source(RequestReader, "on_header", ('value = value.strip(b" \\t")', "pass"))
    patch_source(ReplyReader, "on_header", ('value.strip(b" \\t")', "value"))


@mutant("ahead-bytes")
def _() -> None:
    """Requests that are parsed ahead may have any size."""
    from cloverkeel.core.memory_account import MemoryAccount

    patch_attribute(MemoryAccount, "read_ahead_bytes", lambda self: 1 << 40)


@mutant("stream-buffer")
def _() -> None:
    """Each streamed response has a buffer of 1 MiB, however many there are."""
    from cloverkeel.core.memory_account import MemoryAccount

    patch_attribute(MemoryAccount, "stream_bytes", lambda self: 1 << 20)


@mutant("unread-tail")
def _() -> None:
    """The end of a response may wait for as long as an error response lingers."""
    from cloverkeel.frontends.http1 import timeouts

    patch_attribute(timeouts, "UNREAD_TIMEOUT_S", timeouts.LINGER_TIMEOUT_S)


@mutant("unread-closing")
def _() -> None:
    """A connection that the gateway closes while nothing is read of it counts as one whose client has left."""
    from cloverkeel.frontends.http1.client_transport import ClientTransport

    patch_source(ClientTransport, "has_left_unread", (" and not self.ignores_input", ""))


@mutant("unread-end")
def _() -> None:
    """A client that reads nothing keeps its connection for an hour."""
    from cloverkeel.frontends.http1 import timeouts

    patch_attribute(timeouts, "UNREAD_TIMEOUT_S", 3600.0)


@mutant("stream-held-back")
def _() -> None:
    """A stream that begins while its client is behind is read until the client is behind once more."""
    from cloverkeel.frontends.http1.client_output import ClientOutput

    patch_source(ClientOutput, "begin_stream", ("if self.is_paused:", "if False:"))


@mutant("abandoned-scan")
def _() -> None:
    """Clients that leave are noticed only where input is left unparsed."""
    from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

    patch_source(ConnectionTimeouts, "_abort_abandoned", ("if c.", "if c.reader.unparsed and c."))


@mutant("unread-input")
def _() -> None:
    """A close that may wait behind unread input prevents no attempt."""
    from cloverkeel.frontends.http1.client_transport import ClientTransport

    patch_attribute(ClientTransport, "may_have_left", lambda self: False)


@mutant("header-fields")
def _() -> None:
    """A head may have any number of fields."""
    from cloverkeel.frontends.http1 import requests

    patch_attribute(requests, "MAX_HEADER_FIELDS", 1 << 40)


@mutant("linger-yield")
def _() -> None:
    """Connections that linger after an error response never yield to new ones."""
    from cloverkeel.frontends.http1.admission import Admission

    patch_attribute(Admission, "_abort_answered_client", lambda self: False)


@mutant("linger-read")
def _() -> None:
    """Nothing is read of a connection that lingers, so that its end is not seen."""
    from cloverkeel.frontends.http1.client_transport import ClientTransport

    patch_source(ClientTransport, "end", ("self.resume_reading()", "pass"))


@mutant("error-traceback")
def _() -> None:
    """An error of a request keeps its traceback."""
    from cloverkeel.frontends.http1.requests import RequestReader

    patch_source(RequestReader, "_parse", ("cause.with_traceback(None)", "cause"))


@mutant("memory-pause")
def _() -> None:
    """A connection reads on when the memory account is exhausted, and its requests are admitted."""
    from cloverkeel.core.memory_account import MemoryAccount
    from cloverkeel.frontends.http1.connection import ClientConnection

    patch_attribute(ClientConnection, "limit_memory", lambda self: None)
    patch_attribute(MemoryAccount, "can_admit", lambda self, request_bytes: True)
