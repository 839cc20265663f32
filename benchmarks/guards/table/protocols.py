"""Mutants of the response parser: what each guard ensures, and the runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("replies-behind", "bytes after a response are not taken for another response", "ReplyReader.feed",
        tests="upstream/connection_pool::second_response_ends_the_connection"),
    row("reply-body-limit", "a response body is at most 32 MB", "ReplyReader", "floods", "bounds", quick=True,
        tests="upstream/outcomes::response_determines_the_outcome"),
    row("reply-head-limit", "a response head is at most 16 KiB", "ReplyReader", "floods", "bounds",
        tests="upstream/outcomes::response_determines_the_outcome"),
)  # fmt: skip
