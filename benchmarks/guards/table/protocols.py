"""The mutants of the reader of answers: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("replies-behind", "bytes behind an answer are no answer", "ReplyReader.feed",
        tests="upstream/connection_pool::an_answer_that_overtakes_its_request_ends_the_connection"),
    row("reply-body-limit", "an answer has 32 MB", "ReplyReader", "floods", "bounds", quick=True,
        tests="upstream/outcomes::what_comes_back_is_the_outcome"),
    row("reply-head-limit", "an answer's head has 16 KiB", "ReplyReader", "floods", "bounds",
        tests="upstream/outcomes::what_comes_back_is_the_outcome"),
)  # fmt: skip
