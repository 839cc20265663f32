"""Mutants of the HTTP frontend: what each guard ensures, and the plays and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("way-out-answers", "requests in flight are answered before exit", "Server.shut_down",
        tests="cli/gateway_process::a_shutdown_finishes_requests_in_flight_and_accepts_new_ones "
              "cli/gateway_process::pipelined_requests_are_answered_during_shutdown"),
    row("answer-all", "requests in flight are answered before SIGKILL", "ClientDrain.on_timer, Balancer",
        tests="cli/gateway_process::a_request_without_an_end_does_not_delay_shutdown"),
    row("idle-unread", "a connection with unread bytes in the kernel is not idle", "ClientConnection.is_idle",
        tests="frontends/clients::what_waits_to_be_read_keeps_its_connection"),
    row("head-deadline", "a request that stalls gets 408", "ConnectionTimeouts", "rude", "owed", quick=True,
        tests="frontends/limits::a_request_that_does_not_come_in_time_is_answered_408"),
    row("silent-deadline", "a silent client is closed", "ConnectionTimeouts", "rude", "owed",
        tests="frontends/limits::a_silent_client_and_a_kept_connection_are_let_go_and_a_busy_one_is_not"),
    row("head-limit", "a request head is at most 16 KiB", "RequestReader", "rude", "bounds",
        tests="frontends/limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("body-limit", "a request body is at most 32 MB", "RequestReader",
        tests="frontends/clients::what_cannot_be_taken_is_answered_and_the_program_goes_on"),
    row("read-ahead", "at most 16 requests are parsed ahead", "RequestReader.feed", "at-once", "missing",
        quick=True, tests="frontends/limits::hundreds_of_requests_at_once_wait_unparsed_and_are_all_answered"),
    row("both-framings", "both framings at once are refused", "RequestReader", "rude", "missing", quick=True,
        tests="frontends/limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("repeated-headers", "a repeated id header is refused", "read_call",
        tests="frontends/limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("budget-cut", "a budget is limited to the class's timeout", "read_call",
        tests="frontends/limits::a_time_beyond_the_class_is_cut_and_none_at_all_is_answered_at_once"),
    row("client-share", "clients leave descriptors to hosts", "Admission.has_room",
        tests="frontends/limits::silent_clients_crowd_out_neither_hosts_nor_other_clients"),
    row("accept-error", "a failed accept does not stop the listener", "Listener.accept",
        tests="frontends/limits::an_accept_that_finds_no_descriptor_gives_up_who_asks_nothing"),
    row("accept-pauses", "an accept without a free descriptor does not cause a busy loop", "Listener.pause",
        tests="core/crossings::an_accept_without_a_descriptor_is_tried_again_only_after_a_pause"),
    row("slow-yield", "a client with a stalled request is closed", "Admission._abort_slow_client",
        tests="core/crossings::who_stopped_in_the_middle_of_a_request_yields_to_who_asks"),
    row("reserve-kept", "host connections do not use the reserve", "Admission.reserve_descriptor",
        tests="core/crossings::attempts_leave_the_reserve_alone"),
    row("client-share+host-room", "a connection to a host gets a descriptor", "Admission.reserve_descriptor",
        tests="upstream/connection_pool::idle_connections_are_closed_when_descriptors_run_short"),
    row("value-space", "white space around a value is not part of it", "RequestReader, ReplyReader",
        tests="frontends/large_bodies::white_space_round_a_value_is_not_part_of_it"),
    row("gone-unread", "nothing is sent for a client with an unread disconnect", "ClientTransport.has_disconnected",
        tests="core/crossings::what_a_client_sent_ahead_is_not_sent_on_once_it_has_gone "
              "core/crossings::a_client_that_has_gone_gets_no_further_attempt_though_its_end_is_not_yet_read"),
)  # fmt: skip
