"""The mutants of the control plane's relay: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("relay-even-places", "no host is without a gateway", "HashRing.window",
        tests="control_plane/subsetting::no_host_is_left_without_a_gateway"),
    row("relay-own-share", "a cold host's shares are those of gateways whose own it is", "Host.subset_entry",
        tests="control_plane/subsetting::shares_of_a_host_stay_within_its_budget_whoever_widens"),
    row("relay-drains", "a drain reaches who has the host", "SubsetResponses._departed_hosts",
        tests="control_plane/endpoint_cache::drain_and_deletion_reach_the_gateways_that_have_the_host"),
    row("relay-index", "changes are from the very answer that is named", "EndpointCache.respond",
        tests="control_plane/endpoint_cache::unknown_index_is_answered_with_a_snapshot"),
    row("relay-restricts-first", "what restricts is said first", "deltas._in_order_of_restriction",
        tests="control_plane/endpoint_cache::deletions_and_drains_precede_serving_hosts"),
    row("relay-not-ready", "nobody is told that nobody serves", "EndpointCache.respond",
        tests="control_plane/endpoint_cache::cache_without_snapshot_is_not_ready_and_applies_no_changes"),
    row("relay-spill", "a service with few hosts in a region has the other's too", "ServiceRings.assign_rings",
        tests="control_plane/subsetting::fewer_than_three_serving_hosts_in_a_region_bring_in_the_other"),
    row("relay-rubbish", "rubbish leaves what is held", "EndpointCache.apply_list",
        tests="control_plane/endpoint_cache::unusable_lists_are_counted_and_change_nothing"),
    row("relay-metered", "a wave of starts waits or is refused, and changes go on", "SnapshotQueue.enqueue",
        tests="control_plane/snapshot_queue::snapshots_are_rate_limited_and_rejected_beyond_while_changes_go_on"),
    row("relay-age", "what waited while a relay stood still is as old as it is", "DiscoverySource._apply",
        tests="control_plane/discovery_source::age_of_a_response_includes_the_stall_that_delayed_it"),
    row("relay-gzip-asked", "who does not take gzip gets none", "encoding.accepts_gzip",
        tests="control_plane/connection::gzip_is_used_where_it_is_accepted_and_the_body_is_long"),
    row("relay-roster-shaped", "another roster counts for all from one moment", "EndpointTable.rings_of",
        tests="control_plane/roster_switch::incremental_roster_switch_takes_effect_in_one_step"),
    row("relay-roster-found", "who waits is found by what it is before now", "LongPolls._set_subscriber",
        tests="control_plane/reload::change_and_reload_during_a_roster_switch_are_not_lost"),
    row("relay-list-moment", "a list made by steps is of the moment in which they began",
        "FullListResponses.snapshot_incrementally",
        tests="control_plane/roster_switch::incremental_full_list_shows_the_state_at_its_start"),
    row("relay-list-age", "a list made by steps is as old as it is", "SnapshotQueue._send_full_list",
        tests="control_plane/snapshot_queue::full_list_encoded_while_the_list_changed_is_as_old_as_it_is"),
    row("relay-slices", "all who are behind at once do not stop the loop", "LongPolls._answer_overdue",
        tests="control_plane/long_poll::overdue_requests_are_answered_in_slices"),
)  # fmt: skip
