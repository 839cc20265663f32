"""Mutants of the response parser: what each guard ensures, and the runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("replies-behind", "bytes after a response are not taken for another response", "ReplyReader._feed_slice",
        tests="upstream/connection_pool::second_response_ends_the_connection"),
    row("reply-ends-read", "a response is not cut off by bytes behind it in the same read",
        "ReplyReader.on_message_begin",
        tests="upstream/bytes_after_response::reader_reports_nothing_after_the_end_of_a_response"),
    row("reply-body-limit", "a response body is at most 32 MB", "ReplyReader", "floods", "bounds", quick=True,
        tests="upstream/outcomes::response_determines_the_outcome"),
    row("reply-head-limit", "a response head is at most 16 KiB", "ReplyReader", "floods", "bounds",
        tests="upstream/outcomes::response_determines_the_outcome"),
)  # fmt: skip
