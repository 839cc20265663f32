"""The mutants of the connection pool: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("cancel-closes", "a late answer goes to nobody else", "AttemptSender.cancel_attempt",
        tests="upstream/outcomes::a_time_out_closes_the_connection_and_fails_what_may_have_run "
              "upstream/outcomes::a_client_that_leaves_ends_the_attempt"),
    row("unasked-closes", "what comes unasked is no answer", "HostConnection",
        tests="upstream/connection_pool::a_connection_on_which_a_host_speaks_unasked_is_closed"),
    row("held-up", "a slow reader holds little memory", "Attempt.pause_reading",
        tests="frontends/large_bodies::a_slow_reader_holds_up_its_own_host_alone_and_little_memory"),
    row("reset-may-have-run", "a broken connection may have carried it", "AttemptSender.on_lost", "failing", "twice",
        tests="upstream/outcomes::after_a_reset_only_what_may_run_twice_goes_out_again"),
    row("timeout-may-have-run", "what is not answered in time may run", "Attempt.is_written", "hang", "twice",
        tests="upstream/outcomes::a_time_out_closes_the_connection_and_fails_what_may_have_run"),
    row("error-may-have-run", "a 500 may have run", "classify_reply", "failing", "twice", quick=True,
        tests="upstream/outcomes::what_comes_back_is_the_outcome"),
    row("garbage-may-have-run", "noise may have run", "AttemptSender.on_malformed", "failing", "twice", quick=True,
        tests="upstream/outcomes::what_comes_back_is_the_outcome"),
    row("begin-by-check+begin-by-timer", "what may begin by a time does not begin later",
        "AttemptSender.find_refusal",
        tests="core/crossings::an_attempt_with_a_write_deadline_is_written_by_then_or_never "
              "core/crossings::a_large_retry_not_fully_written_by_its_deadline_is_aborted"),
    row("host-rests", "what a host says again is not the next request's answer", "ConnectionPool.acquire_idle",
        tests="core/crossings::a_late_second_response_is_not_used_for_the_next_request"),
    row("fresh-connections+idle-share", "a kept connection is one that the host keeps", "ConnectionPool.acquire_idle",
        tests="upstream/connection_pool::spare_connections_end_soon_and_the_last_before_the_host_ends_it "
              "upstream/connection_pool::the_poll_sees_an_end_before_the_loop_does"),
    row("answered-late", "an answer that has come is passed on", "AttemptSender.on_timeout",
        tests="core/stall_detector::a_response_received_during_a_stall_is_returned_after_its_deadline"),
)  # fmt: skip
