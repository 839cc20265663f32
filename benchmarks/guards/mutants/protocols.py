"""Mutants of the response parser: each removes one guard."""

from __future__ import annotations

from benchmarks.guards.patching import cut, entry, swap


@entry("replies-behind")
def _() -> None:
    """A connection with bytes after a response is reused."""
    from cloverkeel.protocols.http1 import ReplyReader

    cut(
        ReplyReader, "feed",
        ("self._replies[0].keep_alive = False", "pass"),
        ("if len(self._replies) > 1 or self.has_begun:", "if False:"),
    )  # fmt: skip


@entry("reply-body-limit")
def _() -> None:
    """The body of a host's response may have any length."""
    from cloverkeel.protocols import http1

    swap(http1, "MAX_BODY_BYTES", 1 << 40)
    cut(http1.ReplyReader, "__init__", ("self._max_body_bytes = max_body_bytes", "self._max_body_bytes = 1 << 40"))


@entry("reply-head-limit")
def _() -> None:
    """The head of a host's response may have any length."""
    from cloverkeel.protocols import http1

    swap(http1, "MAX_HEAD_BYTES", 1 << 40)
