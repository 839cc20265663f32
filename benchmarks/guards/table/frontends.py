"""The mutants of the HTTP front: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("way-out-answers", "what is held is answered", "Server.shut_down",
        tests="cli/gateway_process::a_shutdown_finishes_requests_in_flight_and_accepts_new_ones "
              "cli/gateway_process::pipelined_requests_are_answered_during_shutdown"),
    row("answer-all", "what is held is answered before the kill", "ClientDrain.on_timer, Balancer",
        tests="cli/gateway_process::a_request_without_an_end_does_not_delay_shutdown"),
    row("idle-unread", "what waits in the kernel is not idle", "ClientConnection.is_idle",
        tests="frontends/clients::what_waits_to_be_read_keeps_its_connection"),
    row("head-deadline", "a request that does not go on gets 408", "ConnectionTimeouts", "rude", "owed", quick=True,
        tests="frontends/limits::a_request_that_does_not_come_in_time_is_answered_408"),
    row("silent-deadline", "who says nothing is closed", "ConnectionTimeouts", "rude", "owed",
        tests="frontends/limits::a_silent_client_and_a_kept_connection_are_let_go_and_a_busy_one_is_not"),
    row("head-limit", "a head has 16 KiB", "RequestReader", "rude", "bounds",
        tests="frontends/limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("body-limit", "a body has 32 MB", "RequestReader",
        tests="frontends/clients::what_cannot_be_taken_is_answered_and_the_program_goes_on"),
    row("read-ahead", "16 requests are read ahead on one connection", "RequestReader.feed", "at-once", "missing",
        quick=True, tests="frontends/limits::hundreds_of_requests_at_once_wait_unparsed_and_are_all_answered"),
    row("both-framings", "a length and a coding are refused", "RequestReader", "rude", "missing", quick=True,
        tests="frontends/limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("repeated-headers", "an id that comes twice is refused", "read_call",
        tests="frontends/limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("budget-cut", "a budget is cut to the class's time", "read_call",
        tests="frontends/limits::a_time_beyond_the_class_is_cut_and_none_at_all_is_answered_at_once"),
    row("client-share", "clients leave descriptors to hosts", "Admission.has_room",
        tests="frontends/limits::silent_clients_crowd_out_neither_hosts_nor_other_clients"),
    row("accept-error", "an accept without a descriptor is survived", "Listener.accept",
        tests="frontends/limits::an_accept_that_finds_no_descriptor_gives_up_who_asks_nothing"),
    row("accept-pauses", "an accept without a descriptor does not turn without end", "Listener.pause",
        tests="core/crossings::a_failed_accept_without_descriptors_is_retried_only_after_a_pause"),
    row("slow-yield", "who sent half a request yields", "Admission._abort_slow_client",
        tests="core/crossings::a_stalled_request_is_dropped_in_favour_of_a_new_client"),
    row("reserve-kept", "hosts do not use up the reserve", "Admission.reserve_descriptor",
        tests="core/crossings::attempts_do_not_use_reserved_descriptors"),
    row("client-share+host-room", "a host gets a descriptor", "Admission.reserve_descriptor",
        tests="upstream/connection_pool::idle_connections_are_closed_when_descriptors_run_short"),
    row("value-space", "white space is not part of a value", "RequestReader, ReplyReader",
        tests="frontends/large_bodies::white_space_round_a_value_is_not_part_of_it"),
    row("gone-unread", "nothing is sent for a client whose end waits to be read", "ClientTransport.has_disconnected",
        tests="core/crossings::pipelined_requests_of_a_disconnected_client_are_not_forwarded "
              "core/crossings::a_disconnected_client_gets_no_further_attempt_even_if_its_close_is_unread"),
)  # fmt: skip
