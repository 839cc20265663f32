"""The mutants of the control plane's relay: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("relay-even-places", "no host is without a gateway", "HashRing.window",
        tests="control_plane/subsetting::no_host_is_left_without_a_gateway"),
    row("relay-own-share", "a cold host's shares are those of gateways whose own it is", "Host.subset_entry",
        tests="control_plane/subsetting::whoever_widens_the_shares_of_a_host_stay_within_its_budget"),
    row("relay-drains", "a drain reaches who has the host", "SubsetResponses._departed_hosts",
        tests="control_plane/endpoint_cache::a_drain_goes_to_who_has_the_host_and_its_end_too"),
    row("relay-index", "changes are from the very answer that is named", "EndpointCache.respond",
        tests="control_plane/endpoint_cache::an_index_that_names_no_answer_of_its_asker_is_answered_with_the_whole"),
    row("relay-restricts-first", "what restricts is said first", "deltas._in_order_of_restriction",
        tests="control_plane/endpoint_cache::what_restricts_is_said_first"),
    row("relay-not-ready", "nobody is told that nobody serves", "EndpointCache.respond",
        tests="control_plane/endpoint_cache::a_relay_that_has_no_list_yet_says_so_and_takes_no_changes"),
    row("relay-spill", "a service with few hosts in a region has the other's too", "ServiceRings.assign_rings",
        tests="control_plane/subsetting::fewer_than_three_that_serve_in_a_region_bring_in_the_other"),
    row("relay-rubbish", "rubbish leaves what is held", "EndpointCache.apply_list",
        tests="control_plane/endpoint_cache::rubbish_is_counted_and_leaves_what_is_held"),
    row("relay-metered", "a wave of starts waits or is refused, and changes go on", "SnapshotQueue.enqueue",
        tests="control_plane/snapshot_queue::wholes_are_served_in_turn_and_refused_beyond_while_changes_go_on"),
    row("relay-age", "what waited while a relay stood still is as old as it is", "DiscoverySource._apply",
        tests="control_plane/discovery_source::an_answer_that_waited_while_the_process_stood_still_is_as_old_as_it_is"),
    row("relay-gzip-asked", "who does not take gzip gets none", "encoding.takes_gzip",
        tests="control_plane/connection::who_takes_gzip_gets_it_where_it_is_worth_it"),
    row("relay-roster-shaped", "another roster counts for all from one moment", "EndpointTable.rings_of",
        tests="control_plane/roster_switch::a_roster_taken_in_by_steps_counts_for_all_from_one_moment"),
    row("relay-roster-found", "who waits is found by what it is before now", "LongPolls._set_subscriber",
        tests="control_plane/reload::a_change_and_another_file_that_come_while_a_roster_is_taken_in_are_not_lost"),
    row("relay-list-moment", "a list made by steps is of the moment in which they began",
        "FullListResponses.snapshot_incrementally",
        tests="control_plane/roster_switch::a_whole_list_made_by_steps_is_as_it_was_when_they_began"),
    row("relay-list-age", "a list made by steps is as old as it is", "SnapshotQueue._send_full_list",
        tests="control_plane/snapshot_queue::a_whole_list_that_was_made_while_the_list_went_on_is_as_old_as_it_is"),
    row("relay-slices", "all who are behind at once do not stop the loop", "LongPolls._answer_overdue",
        tests="control_plane/long_poll::who_asks_and_is_behind_is_answered_in_slices"),
)  # fmt: skip
