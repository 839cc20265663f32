"""Mutants of the upstream package: what each guard ensures, and the plays and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("cancel-closes", "a late response is not taken for another request's", "AttemptSender.cancel_attempt",
        tests="upstream/outcomes::a_time_out_closes_the_connection_and_fails_what_may_have_run "
              "upstream/outcomes::a_client_that_leaves_ends_the_attempt"),
    row("unasked-closes", "unsolicited bytes are not a response", "HostConnection",
        tests="upstream/connection_pool::a_connection_on_which_a_host_speaks_unasked_is_closed"),
    row("held-up", "a slow client uses little memory", "Attempt.pause_reading",
        tests="frontends/large_bodies::a_slow_reader_holds_up_its_own_host_alone_and_little_memory"),
    row("reset-may-have-run", "a request on a lost connection may have run", "AttemptSender.on_lost",
        "failing", "twice",
        tests="upstream/outcomes::after_a_reset_only_what_may_run_twice_goes_out_again"),
    row("timeout-may-have-run", "a request that timed out may have run", "Attempt.is_written", "hang", "twice",
        tests="upstream/outcomes::a_time_out_closes_the_connection_and_fails_what_may_have_run"),
    row("error-may-have-run", "a request answered 500 may have run", "classify_reply", "failing", "twice", quick=True,
        tests="upstream/outcomes::what_comes_back_is_the_outcome"),
    row("garbage-may-have-run", "a request with a malformed response may have run", "AttemptSender.on_malformed",
        "failing", "twice", quick=True,
        tests="upstream/outcomes::what_comes_back_is_the_outcome"),
    row("begin-by-check+begin-by-timer", "an attempt with a write deadline is not written later",
        "AttemptSender.find_refusal",
        tests="core/crossings::what_may_only_begin_by_a_time_is_written_by_then_or_never "
              "core/crossings::a_large_repeat_that_is_not_wholly_written_in_time_is_broken_off"),
    row("host-rests", "a duplicate response is not taken for the next request's", "ConnectionPool.acquire_idle",
        tests="core/crossings::a_second_answer_that_comes_late_is_not_the_next_requests"),
    row("fresh-connections+idle-share", "a reused connection is still open", "ConnectionPool.acquire_idle",
        tests="upstream/connection_pool::spare_connections_end_soon_and_the_last_before_the_host_ends_it "
              "upstream/connection_pool::the_poll_sees_an_end_before_the_loop_does"),
    row("answered-late", "a response that has arrived is passed on", "AttemptSender.on_timeout",
        tests="core/stall_detector::an_answer_that_came_during_a_stall_is_returned_though_its_time_is_over"),
)  # fmt: skip
