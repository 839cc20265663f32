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
        tests="core/crossings::an_accept_without_a_descriptor_is_tried_again_only_after_a_pause"),
    row("slow-yield", "who sent half a request yields", "Admission._abort_slow_client",
        tests="core/crossings::who_stopped_in_the_middle_of_a_request_yields_to_who_asks"),
    row("reserve-kept", "hosts do not use up the reserve", "Admission.reserve_descriptor",
        tests="core/crossings::attempts_leave_the_reserve_alone"),
    row("client-share+host-room", "a host gets a descriptor", "Admission.reserve_descriptor",
        tests="upstream/connection_pool::idle_connections_are_closed_when_descriptors_run_short"),
    row("value-space", "white space is not part of a value", "RequestReader, ReplyReader",
        tests="frontends/large_bodies::white_space_round_a_value_is_not_part_of_it"),
    row("gone-unread", "nothing is sent for a client whose end waits to be read", "ClientTransport.has_disconnected",
        tests="core/crossings::what_a_client_sent_ahead_is_not_sent_on_once_it_has_gone "
              "core/crossings::a_client_that_has_gone_gets_no_further_attempt_though_its_end_is_not_yet_read"),
)  # fmt: skip
