"""Mutants of upstream: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("cancel-closes", "a late response is not taken for another request's", "AttemptSender.cancel_attempt",
        tests="upstream/outcomes::timeout_closes_the_connection_and_fails_a_request_that_may_have_run "
              "upstream/outcomes::client_disconnect_cancels_the_attempt"),
    row("unasked-closes", "unsolicited bytes are not taken for a response", "HostConnection",
        tests="upstream/connection_pool::connection_with_unsolicited_bytes_is_closed"),
    row("held-up", "a slow client uses little memory", "Attempt.pause_reading",
        tests="frontends/large_bodies::slow_client_pauses_only_its_own_response_and_uses_little_memory"),
    row("reset-may-have-run", "a request on a lost connection may have run", "AttemptSender.on_lost",
        "failing", "twice",
        tests="upstream/outcomes::only_repeatable_requests_are_retried_after_a_reset"),
    row("timeout-may-have-run", "a request that timed out may have run", "Attempt.is_written", "hang", "twice",
        tests="upstream/outcomes::timeout_closes_the_connection_and_fails_a_request_that_may_have_run"),
    row("error-may-have-run", "a request answered 500 may have run", "classify_reply", "failing", "twice", quick=True,
        tests="upstream/outcomes::response_determines_the_outcome"),
    row("garbage-may-have-run", "a request with a malformed response may have run", "AttemptSender.on_malformed",
        "failing", "twice", quick=True,
        tests="upstream/outcomes::response_determines_the_outcome"),
    row("begin-by-check+begin-by-timer", "an attempt with a write deadline is not written later",
        "AttemptSender.find_refusal",
        tests="core/crossings::an_attempt_with_a_write_deadline_is_written_by_then_or_never "
              "core/crossings::a_large_retry_not_fully_written_by_its_deadline_is_aborted"),
    row("host-rests", "a duplicate response is not taken for the next request's", "ConnectionPool.acquire_idle",
        tests="core/crossings::a_late_second_response_is_not_used_for_the_next_request"),
    row("fresh-connections+idle-share", "a reused connection is still open", "ConnectionPool.acquire_idle",
        tests="upstream/connection_pool::spare_connections_expire_early_and_the_last_before_the_hosts_timeout "
              "upstream/connection_pool::closed_connection_is_detected_before_the_loop_reads_it"),
    row("answered-late", "a response that has arrived is passed on", "AttemptSender.on_timeout",
        tests="core/stall_detector::a_response_received_during_a_stall_is_returned_after_its_deadline"),
    row("late-body", "a response that began in time is not cut off", "AttemptSender.begin_stream",
        tests="upstream/late_bodies::response_that_began_in_time_is_not_cut_off "
              "upstream/late_bodies::response_that_comes_in_lumps_is_not_cut_off"),
    row("replaced-host", "nothing is written to the process that replaced a host", "ConnectionPool.is_replaced",
        tests="upstream/replaced_host::attempt_is_not_written_to_the_process_that_replaced_its_host "
              "upstream/replaced_host::connection_to_a_process_that_was_replaced_is_not_reused"),
)  # fmt: skip
