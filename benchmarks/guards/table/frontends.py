"""Mutants of the HTTP frontend: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("way-out-answers", "requests in flight are answered before exit", "Server.shut_down",
        tests="cli/gateway_process::a_shutdown_finishes_requests_in_flight_and_accepts_new_ones "
              "cli/gateway_process::pipelined_requests_are_answered_during_shutdown"),
    row("answer-all", "requests in flight are answered before SIGKILL", "ClientDrain.on_timer, Balancer",
        tests="cli/gateway_process::a_request_that_is_never_answered_does_not_delay_shutdown"),
    row("idle-unread", "a connection with unread bytes in the kernel is not idle", "ClientConnection.is_idle",
        tests="frontends/clients::connection_with_unread_bytes_is_not_closed_as_idle"),
    row("head-deadline", "a request that stalls gets 408", "ConnectionTimeouts", "rude", "owed", quick=True,
        tests="frontends/limits::request_that_does_not_arrive_in_time_gets_408"),
    row("silent-deadline", "a silent client is closed", "ConnectionTimeouts", "rude", "owed",
        tests="frontends/limits::silent_and_idle_connections_time_out_and_a_busy_one_does_not"),
    row("head-limit", "a request head is at most 16 KiB", "RequestReader", "rude", "bounds",
        tests="frontends/limits::invalid_request_is_rejected_and_does_not_reach_a_host"),
    row("body-limit", "a request body is at most 32 MB", "RequestReader",
        tests="frontends/clients::invalid_request_gets_an_error_and_the_gateway_goes_on"),
    row("read-ahead", "at most 16 requests are parsed ahead", "RequestReader.feed", "at-once", "missing",
        quick=True, tests="frontends/limits::pipelined_requests_beyond_the_limit_wait_unparsed_and_are_answered"),
    row("both-framings", "a request with both framings is rejected", "RequestReader", "rude", "missing", quick=True,
        tests="frontends/limits::invalid_request_is_rejected_and_does_not_reach_a_host"),
    row("repeated-headers", "a request with a repeated id header is rejected", "read_call",
        tests="frontends/limits::invalid_request_is_rejected_and_does_not_reach_a_host"),
    row("budget-cut", "a budget is limited to the class's timeout", "read_call",
        tests="frontends/limits::budget_is_limited_to_the_class_timeout_and_zero_fails_at_once"),
    row("client-share", "clients leave descriptors to hosts", "Admission.has_room",
        tests="frontends/limits::silent_clients_leave_descriptors_to_hosts_and_other_clients"),
    row("accept-error", "a failed accept does not stop the listener", "Listener.accept",
        tests="frontends/limits::accept_without_a_free_descriptor_closes_an_idle_client"),
    row("accept-pauses", "an accept without a free descriptor does not cause a busy loop", "Listener.pause",
        tests="core/crossings::a_failed_accept_without_descriptors_is_retried_only_after_a_pause"),
    row("slow-yield", "a client with a stalled request is closed for a new client", "Admission._abort_slow_client",
        tests="core/crossings::a_stalled_request_is_dropped_in_favour_of_a_new_client"),
    row("reserve-kept", "connections to hosts do not use reserved descriptors", "Admission.reserve_descriptor",
        tests="core/crossings::attempts_do_not_use_reserved_descriptors"),
    row("client-share+host-room", "a connection to a host gets a descriptor", "Admission.reserve_descriptor",
        tests="upstream/connection_pool::idle_connections_are_closed_when_descriptors_run_short"),
    row("value-space", "white space around a value is not part of it", "RequestReader, ReplyReader",
        tests="frontends/large_bodies::white_space_around_a_header_value_is_not_part_of_it"),
    row("gone-unread", "nothing is sent for a client with an unread disconnect", "ClientTransport.has_disconnected",
        tests="core/crossings::pipelined_requests_of_a_disconnected_client_are_not_forwarded "
              "core/crossings::a_disconnected_client_gets_no_further_attempt_even_if_its_close_is_unread"),
)  # fmt: skip
