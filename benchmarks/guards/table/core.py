"""The mutants of the core: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("answers-module-error", "an event that the module fails at is answered", "Gateway._decide",
        tests="upstream/outcomes::balancer_error_fails_only_one_request"),
    row("answers-action-error", "an action that fails takes no other along", "Gateway.handle_event",
        tests="upstream/outcomes::failing_action_does_not_prevent_later_actions"),
    row("answer-owed+answer-own", "no answer but the one that is owed",
        "RequestTable.claim_response, ClientConnection",
        tests="upstream/outcomes::response_that_is_not_awaited_is_dropped"),
    row("ids-in-use", "an id that is open is not taken again", "Gateway.admit_request", "ids", "missing",
        tests="frontends/clients::call_id_in_use_is_rejected"),
    row("tickets+free-by-identity", "a request is forgotten as itself, not by its id",
        "RequestTable.add, RequestLifecycle.forget",
        tests="balancing/repeated_ids::a_late_timer_of_an_answered_request_spares_its_namesake"),
    row("way-out-ends+way-out-bound", "the way out ends", "DrainSchedule, MAX_SHUTDOWN_S",
        tests="cli/gateway_process::a_request_without_an_end_does_not_delay_shutdown "
              "cli/gateway_process::a_shutdown_finishes_requests_in_flight_and_accepts_new_ones"),
    row("way-out-keeps", "who has a connection is served for a while: others may be out",
        "DrainState.closes_connections",
        tests="core/draining::during_shutdown_an_open_connection_is_served_for_a_while"),
    row("way-out-hurry", "half a request keeps nobody from the end", "DrainSchedule.can_abort_read",
        tests="core/draining::a_stalled_request_does_not_delay_shutdown"),
    row("idle-first", "a new connection's request has time to come", "DrainSchedule.can_close_idle",
        tests="frontends/clients::shutdown_waits_for_the_first_request_of_a_new_connection"),
    row("budget-as-written", "a host is told the time that is left as it is written", "RequestAttempt.build_payload",
        tests="core/crossings::a_host_gets_the_time_that_is_left_when_its_connection_has_come_up"),
    row("broken-is-told", "an answer that breaks off is not whole", "ActionDispatcher._end_stream",
        tests="frontends/large_bodies::client_can_detect_a_truncated_response"),
    row("room", "large bodies have a bound together", "BodyReservation.try_grow",
        tests="frontends/large_bodies::body_budget_is_released_with_the_last_reference_to_a_body"),
    row("room-returns", "what a body held is given back", "BodyReservation",
        tests="frontends/large_bodies::large_requests_arrive_unchanged_in_every_framing"),
    row("pause-empties", "a paused gateway is empty in time", "DrainSchedule.can_close_idle",
        tests="admin/operations::a_pause_drains_the_gateway_and_a_resume_accepts_clients_again"),
    row("wanted", "nothing is written for who left while a connection came up", "RequestAttempt.may_start",
        tests="core/crossings::nothing_is_written_for_a_client_that_left_while_a_connection_came_up"),
    row("still", "what came in a gap is read before a send", "Gateway.check_stall", "paused", "drain",
        tests="core/stall_detector::word_of_a_drain_is_read_before_a_request_that_came_first"),
    row("list-before-all", "a list goes ahead of what waits", "EventQueue.post_endpoint_list",
        tests="core/stall_detector::word_of_a_drain_is_read_before_a_request_that_came_first"),
    row("list-parts", "requests are served between the parts of a long list", "ListBatches.split",
        tests="discovery/list_cost::between_the_batches_of_a_long_list_the_loop_has_its_turns"),
    row("list-parts-restrict", "what restricts is told at once", "ListBatches.split",
        tests="discovery/list_cost::between_the_batches_of_a_long_list_the_loop_has_its_turns"),
    row("list-parts-known", "so are those of a zone that is back before many hosts", "ListBatches.split",
        tests="discovery/incremental_reading::a_list_is_short_by_what_the_gateway_knows"),
    row("gzip-limit", "a few bytes of gzip don't become more than the longest list", "unpack",
        tests="discovery/incremental_reading::a_step_makes_little_whatever_was_compressed"
        " discovery/relay_client::a_relay_that_fails_costs_no_news_and_the_list_stands"),
    row("gzip-end", "gzip with something after its end is a call that failed", "unpack",
        tests="discovery/incremental_reading::what_was_compressed_is_read_and_nothing_else"
        " discovery/relay_client::a_relay_that_fails_costs_no_news_and_the_list_stands"),
    row("way-out-accepts", "what waits to be accepted is answered", "Listener.close",
        tests="cli/gateway_process::a_shutdown_finishes_requests_in_flight_and_accepts_new_ones "
              "cli/gateway_process::no_request_is_lost_at_a_restart_under_load"),
)  # fmt: skip
