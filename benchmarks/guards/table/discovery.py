"""Mutants of discovery: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("ban", "an ejected host gets no new requests", "ManualEjections._overlay", "staff", "drain", seeds=(1,),
        tests="admin/operations::an_ejected_host_gets_no_requests_until_one_reinstatement "
              "discovery/manual_ejections::an_ejection_only_restricts_and_ends_with_one_call"),
    row("ban-cold", "a reinstated host warms up", "ManualEjections.reinstate",
        tests="discovery/manual_ejections::a_host_reinstated_before_its_restart_is_reported_warms_up"),
    row("watch-silent", "a silent watch is abandoned in time", "PollSchedule.next_request",
        tests="core/crossings::a_silent_watch_is_renewed_in_time"),
    row("first-silent", "a connection silent from the start is abandoned in time", "PollSchedule.next_request",
        tests="core/crossings::a_connection_silent_from_the_start_is_closed_in_time"),
    row("failed-longer", "after a rejection or timeout, a caller waits longer for its turn at an overloaded registry",
        "PollSchedule.next_request",
        tests="discovery/poll_schedule::an_overloaded_registry_eventually_answers_every_caller "
              "discovery/poll_schedule::the_first_reply_timeout_is_longer_from_a_failure_until_a_reply"),
    row("leaving-odd", "an otherwise invalid entry still removes its host", "endpoint_parser.parse_departed_endpoint",
        tests="core/crossings::a_leaving_host_is_removed_even_if_its_entry_is_invalid"),
    row("one-call", "the reply to a replaced call is ignored", "PollingClient.restart",
        tests="core/crossings::the_reply_to_a_superseded_poll_is_ignored"),
    row("version-back", "a list is not replaced by an older version", "PollSchedule.on_reply",
        tests="core/crossings::a_snapshot_of_a_registry_that_lost_its_versions_is_applied "
              "discovery/poll_schedule::each_call_requests_changes_since_the_held_version_within_a_bounded_time"),
    row("list-rests", "immediate empty replies do not cause a poll loop", "PollingClient._poll_once",
        tests="core/crossings::immediate_empty_replies_to_a_watch_do_not_cause_a_poll_loop"),
    row("list-moves", "a reload changes the registry's address", "PollingClient.move",
        tests="cli/reload::a_reload_switches_discovery_immediately_while_requests_continue"),
    row("lost-tells-nothing", "the loss of the session does not change the list", "SourceMerge.on_connection_state",
        tests="discovery/zookeeper_source::the_list_is_kept_after_the_gateways_own_session_expired"),
    row("state-kept", "a removed backend stays removed through a restart", "snapshot_file.load_snapshot",
        tests="discovery/zookeeper_source::a_removed_backend_does_not_come_back_at_a_restart_without_the_service"),
    row("agent-checks", "a backend that does not answer has no node", "Registration.on_health_check",
        tests="discovery/registration::a_backend_has_a_node_only_while_it_is_healthy"),
    row("relay-move-anew", "versions of different relays are not compared", "RelayEndpointSource._poll_next",
        tests="discovery/relay_client::failover_after_any_fault_loses_no_change_and_keeps_the_list"),
    row("relay-replaced", "a relay that is no longer configured is left", "RelaySelector.replace",
        tests="discovery/relay_selection::the_current_relay_is_left_unless_it_is_among_the_replacements"),
    row("relay-names", "a gateway identifies itself to relays", "relay_requests.identify_gateway",
        tests="discovery/relay_client::a_gateway_identifies_itself_and_polls_one_relay_only"),
    row("relay-old-permits", "no relay undoes a known drain", "KnownState._may_predate_restriction",
        tests="discovery/relay_client::failover_to_a_relay_with_an_older_list_does_not_undo_a_drain"),
    row("relay-looks", "a stale relay is left for a fresh one, even one that cools down",
        "RelaySelector.next_freshness_check",
        tests="discovery/relay_selection::a_stale_relay_is_left_in_time_for_a_fresh_one_that_cools_down "
              "discovery/relay_selection::a_recovered_relay_is_found_after_a_long_time_with_all_stale "
              "discovery/relay_client::a_partitioned_relay_is_left_for_one_that_reports_a_fresh_list"),
    row("relay-stale-permits", "permissions of a stale relay do not apply", "KnownState.accept",
        tests="discovery/known_state::a_newer_entry_replaces_a_deferred_permission_even_from_a_stale_relay"),
    row("relay-wide", "a failing subset is widened", "SubsetWidening.update",
        tests="discovery/subset_widening::a_failing_subset_is_widened_and_later_narrowed "
              "discovery/relay_client::a_gateway_whose_hosts_fail_requests_a_wider_subset"),
    row("list-steps", "requests are served while a long list is read", "PollingClient._run_cooperatively",
        tests="discovery/incremental_reading::requests_are_served_while_a_long_gzip_list_is_read"),
    row("list-steps-bounded", "incremental reading has a time limit", "PollingClient._run_cooperatively",
        tests="discovery/incremental_reading::parsing_suspends_by_elapsed_time_and_only_for_long_replies"),
    row("list-steps-superseded", "a list whose call was replaced while reading is not applied", "PollingClient.stop",
        tests="discovery/incremental_reading::a_list_that_is_superseded_while_being_read_is_never_applied"),
    row("list-steps-unread+list-steps-hurry", "after a stall, a list that is being read is applied first",
        "PollingClient._has_unread",
        tests="discovery/incremental_reading::a_list_being_read_during_a_stall_is_applied_before_requests_are_sent"),
    row("list-steps-hurry", "after a stall, a list is read without suspending", "PollingClient._run_cooperatively",
        tests="discovery/incremental_reading::parsing_suspends_by_elapsed_time_and_only_for_long_replies"),
    row("gzip-relays", "direct polls of discovery do not offer gzip", "RelayEndpointSource.extra_headers",
        tests="discovery/incremental_reading::direct_polls_after_the_loss_of_all_relays_do_not_offer_gzip"),
)  # fmt: skip
