"""The mutants of discovery: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("ban", "nothing new to a host out by hand", "ManualEjections._overlay", "staff", "drain", seeds=(1,),
        tests="admin/operations::an_ejected_host_gets_no_requests_until_one_reinstatement "
              "discovery/manual_ejections::an_ejection_only_restricts_and_ends_with_one_call"),
    row("ban-cold", "a host that is put back is cold", "ManualEjections.reinstate",
        tests="discovery/manual_ejections::a_host_reinstated_before_its_restart_is_told_warms_up"),
    row("watch-silent", "a watch that fell silent is given up in time", "PollSchedule.next_request",
        tests="core/crossings::a_silent_watch_is_renewed_in_time"),
    row("first-silent", "so is a connection silent from the first", "PollSchedule.next_request",
        tests="core/crossings::a_connection_silent_from_the_start_is_closed_in_time"),
    row("failed-longer", "who was refused or given up waits its turn at a service with too many callers",
        "PollSchedule.next_request",
        tests="discovery/poll_schedule::a_service_with_too_many_callers_comes_to_answer_all_of_them "
              "discovery/poll_schedule::who_failed_is_given_longer_until_it_answers"),
    row("leaving-odd", "a host that leaves is gone, whatever else is said", "endpoint_parser.parse_departed_endpoint",
        tests="core/crossings::a_leaving_host_is_removed_even_if_its_entry_is_invalid"),
    row("one-call", "what an earlier call is answered is not heard", "PollingClient.restart",
        tests="core/crossings::the_reply_to_a_superseded_poll_is_ignored"),
    row("version-back", "a list does not go back", "PollSchedule.on_reply",
        tests="core/crossings::a_snapshot_of_a_registry_that_lost_its_versions_is_applied "
              "discovery/poll_schedule::each_call_is_for_what_is_held_and_ends_in_time"),
    row("list-rests", "who answers at once with nothing is not asked without end", "PollingClient._poll_once",
        tests="core/crossings::immediate_empty_replies_to_a_watch_do_not_cause_a_poll_loop"),
    row("list-moves", "a registry that moves is followed", "PollingClient.move",
        tests="cli/reload::a_reload_switches_discovery_immediately_while_requests_continue"),
    row("lost-tells-nothing", "a session that is lost tells nothing", "SourceMerge.on_connection_state",
        tests="discovery/zookeeper_source::the_gateways_own_session_expires_and_the_list_stands_until_it_is_read_again"),
    row("state-kept", "a box told gone stays gone through a restart", "snapshot_file.load_snapshot",
        tests="discovery/zookeeper_source::a_removed_backend_does_not_come_back_at_a_restart_without_the_service"),
    row("agent-checks", "a box that does not answer has no node", "Registration.on_health_check",
        tests="discovery/registration::no_node_before_the_backend_answers_nor_after_it_stopped"),
    row("relay-move-anew", "versions of one relay mean nothing to another", "RelayEndpointSource._poll_next",
        tests="discovery/relay_client::a_relay_that_fails_costs_no_news_and_the_list_stands"),
    row("relay-replaced", "a relay that is none any more is not asked", "RelaySelector.replace",
        tests="discovery/relay_selection::whoever_is_replaced_the_present_relay_is_one_of_those_named_or_is_left"),
    row("relay-names", "a gateway names itself", "relay_requests.identify_gateway",
        tests="discovery/relay_client::it_names_itself_and_asks_one_relay_alone"),
    row("relay-old-permits", "no relay undoes a drain that is known", "KnownState._is_too_early",
        tests="discovery/relay_client::a_move_at_the_moment_of_a_drain_does_not_undo_it"),
    row("relay-looks", "a stale relay is left for one that is well, whatever it was left for",
        "RelaySelector.next_freshness_check",
        tests="discovery/relay_selection::a_stale_relay_is_left_in_time_for_a_healthy_one_also_where_all_cool_down "
              "discovery/relay_selection::a_relay_that_recovers_is_found_however_long_all_were_stale "
              "discovery/relay_client::a_relay_that_is_partitioned_is_left_for_one_that_says_it_is_fresh"),
    row("relay-stale-permits", "a stale relay permits nothing", "KnownState.accept",
        tests="discovery/known_state::a_deferred_permission_is_replaced_by_a_newer_entry_however_old_that_is"),
    row("relay-wide", "a subset that fails grows", "SubsetWidening.update",
        tests="discovery/subset_widening::a_subset_that_fails_grows_and_comes_back "
              "discovery/relay_client::a_gateway_whose_hosts_fail_asks_for_more"),
    row("list-steps", "requests are served while a long list is read", "PollingClient._run_cooperatively",
        tests="discovery/incremental_reading::requests_are_served_while_a_long_gzip_list_is_read"),
    row("list-steps-bounded", "reading ends in its time", "PollingClient._run_cooperatively",
        tests="discovery/incremental_reading::the_loop_has_its_turns_by_time_and_only_for_long_answers"),
    row("list-steps-superseded", "a list whose call was replaced while it was read is not told", "PollingClient.stop",
        tests="discovery/incremental_reading::a_list_that_is_superseded_while_it_is_read_is_never_notified"),
    row("list-steps-unread+list-steps-hurry", "what is being read is told first after a gap",
        "PollingClient._has_unread",
        tests="discovery/incremental_reading::what_is_read_while_the_process_was_stalled_is_notified_before_anything_is_sent"),
    row("list-steps-hurry", "after a gap a list is read at one go", "PollingClient._run_cooperatively",
        tests="discovery/incremental_reading::the_loop_has_its_turns_by_time_and_only_for_long_answers"),
    row("gzip-relays", "discovery itself is asked for no gzip", "RelayEndpointSource.extra_headers",
        tests="discovery/incremental_reading::of_discovery_that_answers_for_lost_relays_no_gzip_is_asked"),
)  # fmt: skip
