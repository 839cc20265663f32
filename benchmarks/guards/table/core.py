"""Mutants of the core: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("answers-module-error", "a request is answered if the balancer raises on its event", "Gateway._decide",
        tests="upstream/outcomes::balancer_error_fails_only_one_request"),
    row("answers-action-error", "a failing action does not affect the others", "Gateway.handle_event",
        tests="upstream/outcomes::failing_action_does_not_prevent_later_actions"),
    row("answer-owed+answer-own", "a request gets exactly one response, its own",
        "RequestTable.claim_response, ClientConnection",
        tests="upstream/outcomes::response_that_is_not_awaited_is_dropped"),
    row("ids-in-use", "an id in use is not accepted again", "Gateway.admit_request", "ids", "missing",
        tests="frontends/clients::call_id_in_use_is_rejected"),
    row("tickets+free-by-identity", "a request is removed by identity, not by its id",
        "RequestTable.add, RequestLifecycle.remove",
        tests="balancing/repeated_ids::late_timer_of_an_answered_request_leaves_a_later_request_with_its_id_alone"),
    row("way-out-ends+way-out-bound", "a shutdown ends", "DrainSchedule, MAX_DELIVERY_S",
        tests="cli/gateway_process::a_request_that_is_never_answered_does_not_delay_shutdown "
              "cli/gateway_process::a_shutdown_finishes_requests_in_flight_and_accepts_new_ones"),
    row("way-out-keeps", "open connections are served for a while, as other gateways may be down",
        "DrainState.closes_connections",
        tests="core/draining::during_shutdown_an_open_connection_is_served_for_a_while"),
    row("way-out-hurry", "a stalled request does not delay a shutdown", "DrainSchedule.can_abort_read",
        tests="core/draining::a_stalled_request_does_not_delay_shutdown"),
    row("idle-first", "a new connection has time for its first request", "DrainSchedule.can_close_idle",
        tests="frontends/clients::shutdown_waits_for_the_first_request_of_a_new_connection"),
    row("delivery-after-drain", "the end of a drain cuts off no response that has begun", "serving._shut_down",
        tests="cli/shutdown_delivery::response_whose_client_pauses_during_the_shutdown_is_complete"),
    row("last-read", "a client that never stops sending does not keep the process", "DrainState.is_over",
        tests="cli/shutdown_delivery::client_that_never_stops_sending_does_not_keep_the_process"),
    row("wait-of-input", "a postponed connection does not wait for earlier input", "InputScheduler._end_iteration",
        tests="core/input_scheduler::wait_of_a_costly_connection_does_not_grow_with_the_traffic_before_it"),
    row("sparse-first", "a connection that is rarely postponed does not wait for a crowd", "InputScheduler._postpone",
        tests="core/input_scheduler::"
              "connection_that_is_rarely_postponed_does_not_wait_for_a_crowd_that_is_postponed_all_the_time"),
    row("budget-as-written", "a host is sent the time left when a request is written", "RequestAttempt.build_payload",
        tests="core/crossings::a_host_is_sent_the_time_remaining_when_its_connection_is_established"),
    row("broken-is-told", "a truncated response is not presented as complete", "ActionDispatcher._end_stream",
        tests="frontends/large_bodies::client_can_detect_a_truncated_response"),
    row("room", "the total size of large bodies is limited", "BodyReservation.try_grow",
        tests="frontends/large_bodies::body_budget_is_released_with_the_last_reference_to_a_body"),
    row("room-returns", "the reservation of a body is released", "BodyReservation",
        tests="frontends/large_bodies::large_requests_arrive_unchanged_in_every_framing"),
    row("pause-empties", "a paused gateway closes its idle connections in time", "DrainSchedule.can_close_idle",
        tests="admin/operations::a_pause_drains_the_gateway_and_a_resume_accepts_clients_again"),
    row("wanted", "nothing is sent for a client that left during connection setup", "RequestAttempt.may_start",
        tests="core/crossings::nothing_is_written_for_a_client_that_left_during_connection_setup"),
    row("still", "notifications of a stall are read before sending", "Gateway.check_stall", "paused", "drain",
        tests="core/stall_detector::a_drain_notification_is_read_before_an_earlier_request"),
    row("list-before-all", "an endpoint list is handled before queued events", "EventQueue.post_endpoint_list",
        tests="core/stall_detector::a_drain_notification_is_read_before_an_earlier_request"),
    row("list-parts", "requests are served between the batches of a long list", "ListBatches.split",
        tests="discovery/list_cost::the_event_loop_runs_between_the_batches_of_a_long_list"),
    row("list-parts-restrict", "restricting entries are applied immediately", "ListBatches.split",
        tests="discovery/list_cost::the_event_loop_runs_between_the_batches_of_a_long_list"),
    row("list-parts-known", "a gateway that knows many hosts also splits a shorter list, as after a zone recovers",
        "ListBatches.split",
        tests="discovery/incremental_reading::a_list_is_split_depending_on_the_number_of_known_hosts"),
    row("gzip-limit", "decompressed data is no longer than the longest list", "decompress_gzip",
        tests="discovery/incremental_reading::work_per_decompression_step_is_bounded"
        " discovery/relay_client::failover_after_any_fault_loses_no_change_and_keeps_the_list"),
    row("gzip-end", "a poll fails if data follows the gzip member", "decompress_gzip",
        tests="discovery/incremental_reading::valid_gzip_is_decompressed_and_other_data_is_rejected"
        " discovery/relay_client::failover_after_any_fault_loses_no_change_and_keeps_the_list"),
    row("way-out-accepts", "connections that wait to be accepted are served", "Listener.close",
        tests="cli/gateway_process::a_shutdown_finishes_requests_in_flight_and_accepts_new_ones "
              "cli/gateway_process::no_request_is_lost_at_a_restart_under_load"),
    row("recent-ids", "an id that may have run is not run again", "RequestIds.claim",
        tests="core/repeated_ids::id_that_may_have_run_is_rejected_after_its_client_has_left "
              "core/repeated_ids::id_that_has_run_is_rejected_after_its_response"),
)  # fmt: skip
