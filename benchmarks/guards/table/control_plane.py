"""Mutants of the control plane's relay: what each guard ensures, and the tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("relay-even-places", "every host has a gateway", "HashRing.window",
        tests="control_plane/subsetting::every_host_has_a_gateway"),
    row("relay-own-share", "the shares of a host in slow start stay within its budget if gateways widen",
        "Host.subset_entry",
        tests="control_plane/subsetting::shares_of_a_host_stay_within_its_budget_for_any_widenings"),
    row("relay-drains", "a drain is sent to the gateways that have the host", "SubsetResponses._departed_hosts",
        tests="control_plane/endpoint_cache::drain_and_deletion_reach_the_gateways_that_have_the_host"),
    row("relay-index", "a delta is computed from the response that `from` names", "EndpointCache.respond",
        tests="control_plane/endpoint_cache::unknown_index_is_answered_with_a_snapshot"),
    row("relay-restricts-first", "the most restrictive entries are sent first", "deltas._in_order_of_restriction",
        tests="control_plane/endpoint_cache::deletions_and_drains_precede_serving_hosts"),
    row("relay-not-ready", "a relay without a list does not send an empty one", "EndpointCache.respond",
        tests="control_plane/endpoint_cache::cache_without_snapshot_is_not_ready_and_applies_no_changes"),
    row("relay-spill", "a region with few hosts also gets hosts of other regions", "ServiceRings.assign_rings",
        tests="control_plane/subsetting::region_with_fewer_than_three_serving_hosts_also_gets_hosts_of_other_regions"),
    row("relay-rubbish", "an unusable list leaves the cache unchanged", "EndpointCache.apply_list",
        tests="control_plane/endpoint_cache::unusable_lists_are_counted_and_change_nothing"),
    row("relay-metered", "snapshots beyond the rate are queued or rejected, and deltas are still sent",
        "SnapshotQueue.enqueue",
        tests="control_plane/snapshot_queue::snapshots_beyond_the_rate_are_rejected_while_deltas_are_sent"),
    row("relay-age", "a response that waited during a stall of the relay keeps its age", "DiscoverySource._apply",
        tests="control_plane/discovery_source::age_of_a_response_includes_the_stall_that_delayed_it"),
    row("relay-gzip-asked", "clients that do not accept gzip get plain bodies", "encoding.accepts_gzip",
        tests="control_plane/connection::gzip_is_used_where_it_is_accepted_and_the_body_is_long"),
    row("relay-roster-shaped", "a new roster takes effect for all subscribers at once", "EndpointTable.rings_of",
        tests="control_plane/roster_switch::incremental_roster_switch_takes_effect_in_one_step"),
    row("relay-roster-found", "a waiting request is notified by its keys under the current roster",
        "LongPolls._set_subscriber",
        tests="control_plane/reload::change_and_reload_during_a_roster_switch_are_not_lost"),
    row("relay-list-moment", "a full list encoded incrementally has the index of its first step",
        "FullListResponses.snapshot_incrementally",
        tests="control_plane/roster_switch::incremental_full_list_shows_the_state_at_its_start"),
    row("relay-list-age", "a full list has the age of the encoded state", "SnapshotQueue._send_full_list",
        tests="control_plane/snapshot_queue::full_list_that_changes_during_encoding_has_the_age_of_the_encoded_state"),
    row("relay-slices", "answering many overdue requests does not block the event loop", "LongPolls._answer_overdue",
        tests="control_plane/long_poll::overdue_requests_are_answered_in_slices"),
)  # fmt: skip
