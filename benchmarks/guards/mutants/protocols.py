"""Mutants of the response parser: each removes one guard."""

from __future__ import annotations

from benchmarks.guards.patching import mutant, patch_attribute, patch_source


@mutant("replies-behind")
def _() -> None:
    """A connection with bytes after a response is reused."""
    from cloverkeel.protocols.http1 import ReplyReader

    patch_source(ReplyReader, "_feed_slice", ("self._reply.keep_alive = False", "pass"))


@mutant("reply-ends-read")
def _() -> None:
    """Events of a second response are reported before the first response is returned."""
    from cloverkeel.protocols.http1 import ReplyReader

    patch_source(ReplyReader, "on_message_begin", ("if self._reply is not None:", "if False:"))


@mutant("reply-body-limit")
def _() -> None:
    """The body of a host's response may have any length."""
    from cloverkeel.protocols import http1

    patch_attribute(http1, "MAX_BODY_BYTES", 1 << 40)
    patch_source(
        http1.ReplyReader, "__init__", ("self._max_body_bytes = max_body_bytes", "self._max_body_bytes = 1 << 40")
    )


@mutant("reply-head-limit")
def _() -> None:
    """The head of a host's response may have any length."""
    from cloverkeel.protocols import http1

    patch_attribute(http1, "MAX_HEAD_BYTES", 1 << 40)
