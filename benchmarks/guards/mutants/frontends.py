"""Mutants of the HTTP front: each takes out one guard."""

from __future__ import annotations

from typing import Any

from benchmarks.guards.patching import cut, entry, swap


@entry("answer-own")
def _() -> None:
    """A client's connection writes an answer whatever request it is for."""
    from cloverkeel.frontends.http1.connection import ClientConnection

    for name in ("on_response", "on_rejected", "on_failed"):
        cut(ClientConnection, name, ("if self.call is call:", "if True:"))


@entry("way-out-answers")
def _() -> None:
    """On SIGTERM the program ends with what it holds."""
    from cloverkeel.frontends.http1.server import Server

    async def shut_down(self: Any) -> None:
        self.listener.close()

    swap(Server, "shut_down", shut_down)


@entry("idle-unread")
def _() -> None:
    """A connection counts as idle though a request waits in the kernel."""
    from cloverkeel.frontends.http1.connection import ClientConnection

    cut(ClientConnection, "is_idle", ("return not self.poll.poll(0)", "return True"))


@entry("head-deadline")
def _() -> None:
    """A request that has begun to come has all the time in the world."""
    from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

    cut(ConnectionTimeouts, "_time_out_requests", ("connection.time_out_request()", "pass"))


@entry("silent-deadline")
def _() -> None:
    """A client's connection that has said nothing stays."""
    from cloverkeel.frontends.http1.timeouts import ConnectionTimeouts

    cut(
        ConnectionTimeouts,
        "end_expired",
        ('self._close_idle(self.accepted, FIRST_BYTE_TIMEOUT_S, "silent", now_s)', "pass"),
    )


@entry("head-limit")
def _() -> None:
    """A head may be of any length."""
    from cloverkeel.frontends.http1 import requests

    swap(requests, "MAX_HEAD_BYTES", 1 << 40)


@entry("body-limit")
def _() -> None:
    """A body may be of any length."""
    from cloverkeel.frontends.http1 import requests

    swap(requests, "MAX_BODY_BYTES", 1 << 40)


@entry("read-ahead")
def _() -> None:
    """All that comes on one connection is read at once."""
    from cloverkeel.frontends.http1 import connection

    swap(connection, "MAX_PIPELINED_REQUESTS", 1 << 30)


@entry("both-framings")
def _() -> None:
    """A request with a length and a transfer coding is read by the coding."""
    from cloverkeel.frontends.http1.requests import RequestReader

    old = RequestReader.__init__

    def init(self: Any, *args: Any) -> None:
        old(self, *args)
        self._parser.set_dangerous_leniencies(lenient_chunked_length=True)

    swap(RequestReader, "__init__", init)


@entry("repeated-headers")
def _() -> None:
    """Of headers that come twice, the first counts."""
    from cloverkeel.frontends.http1 import call_reader

    swap(call_reader, "UNIQUE_HEADERS", frozenset())


@entry("budget-cut")
def _() -> None:
    """A client's budget may be of any length."""
    from cloverkeel.frontends.http1 import call_reader

    cut(
        call_reader, "read_call",
        ("settings.client_timeout_us if budget_ms is None else min(budget_ms * 1000, settings.client_timeout_us)",
         "settings.client_timeout_us if budget_ms is None else budget_ms * 1000"),
    )  # fmt: skip


@entry("client-share")
def _() -> None:
    """Clients may take every descriptor."""
    from cloverkeel.frontends.http1.admission import Admission

    swap(Admission, "has_room", lambda self: True)


@entry("accept-error")
def _() -> None:
    """An accept that fails for want of descriptors ends the turn."""
    from cloverkeel.frontends.http1.listener import Listener

    cut(Listener, "accept", ("except OSError as error:", "except MemoryError as error:"))


@entry("host-room")
def _() -> None:
    """No descriptor is freed for a connection to a host."""
    from cloverkeel.frontends.http1.admission import Admission

    swap(Admission, "reserve_descriptor", lambda self: True)


@entry("accept-pauses")
def _() -> None:
    """An accept without a descriptor is tried again at once."""
    from cloverkeel.frontends.http1.listener import Listener

    swap(Listener, "pause", lambda self: None)


@entry("slow-yield")
def _() -> None:
    """Who has sent half a request keeps its descriptor for its time."""
    from cloverkeel.frontends.http1.admission import Admission

    swap(Admission, "_abort_slow_client", lambda self: False)


@entry("reserve-kept")
def _() -> None:
    """Where nobody can yield, connections to hosts take what is left."""
    from cloverkeel.frontends.http1.admission import Admission

    cut(
        Admission,
        "reserve_descriptor",
        ("or self.hosts.close_oldest_idle()", "or self.hosts.close_oldest_idle() or True"),
    )


@entry("gone-unread")
def _() -> None:
    """A client has gone when the loop has read so."""
    from cloverkeel.frontends.http1.client_transport import ClientTransport

    swap(ClientTransport, "has_disconnected", lambda self: self.transport is None)


@entry("answer-all")
def _() -> None:
    """The process ends at its time with whatever it holds."""
    from cloverkeel.frontends.http1.drain import ClientDrain

    cut(ClientDrain, "on_timer", ("self.gateway.answer_all_requests()", "pass"))


@entry("value-space")
def _() -> None:
    """White space that trails a value is part of it."""
    from cloverkeel.frontends.http1.requests import RequestReader
    from cloverkeel.protocols.http1 import ReplyReader

    cut(RequestReader, "on_header", ('value = value.strip(b" \\t")', "pass"))
    cut(ReplyReader, "on_header", ('value.strip(b" \\t")', "value"))
