"""Mutants of gossip: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("reporter-credibility", "a reporter for which all hosts fail has little weight",
        "reporter_credibility, OutlierGossip._on_local_failure",
        tests="gossip/outlier_reports::reporter_for_which_all_hosts_fail_has_low_credibility"),
    row("observation-age", "late observations count by their age", "PeerClock.age_ms",
        tests="gossip/node::reports_read_late_after_a_stall_count_by_their_age "
              "gossip/outlier_reports::observation_received_a_minute_late_is_ignored"),
    row("observation-expiry", "observations expire by the receiver's clock",
        "Observation.is_live, OutlierGossip.refresh_assessments",
        tests="fleet/gossip::reports_expire_when_nothing_more_is_received "
              "gossip/outlier_reports::older_observations_have_less_weight_and_expire"),
    row("zone-preference", "a host that is healthy from the gateway's zone stays in use", "assess",
        tests="fleet/gossip::host_that_fails_from_one_zone_stays_in_use_in_the_other_zone "
              "gossip/outlier_reports::host_that_is_healthy_from_a_zone_is_not_suspected_there"),
    row("observation-newest", "only the newest observation of each reporter counts", "is_newer, PeerClocks.age_ms",
        tests="gossip/outlier_reports::restarted_reporter_replaces_its_observations_and_older_ones_are_stale"),
    row("broadcast-confirmed", "an isolated failure is not forwarded", "OutlierGossip.on_observation",
        tests="gossip/node::failure_is_forwarded_only_with_a_second_reporter"),
    row("broadcast-bytes", "the bytes sent are limited", "GossipNode._send",
        tests="gossip/node::bytes_sent_are_limited_by_the_token_bucket"),
    row("retry-tokens-escrow", "a grantor does not use a granted token", "GossipDriver.withdraw, RetryTokens.grant",
        tests="fleet/gossip::tokens_move_to_the_gateway_short_of_them_and_are_never_spent_twice "
              "gossip/retry_tokens::no_grant_while_short_of_tokens_or_below_the_minimum"),
    row("retry-tokens-once", "a grant is accepted once", "RetryTokens.accept",
        tests="gossip/retry_tokens::grant_is_accepted_once_in_time_and_by_the_named_process"),
    row("retry-tokens-recipient", "a grant is valid for one process, and expires", "RetryTokens.accept",
        tests="gossip/retry_tokens::grant_is_accepted_once_in_time_and_by_the_named_process"),
    row("retry-tokens-start", "a new process has no tokens, and saves at most one", "GossipDriver.start",
        tests="gossip/commands::new_process_has_no_tokens_while_the_old_process_holds_the_address "
              "fleet/gossip::partitioned_gateway_spends_only_its_own_tokens"),
    row("timeout-overload", "timeouts caused by overload do not count against a host", "OutlierGossip.record_outcome",
        tests="gossip/node::timeout_is_no_failure_if_the_host_has_answered_since"),
    row("member-probe", "a gateway that answers no probe is suspected", "MembershipTable.suspect",
        tests="fleet/gossip::killed_gateway_is_dead_for_its_peers_until_it_restarts "
              "gossip/failure_detector::killed_gateway_is_suspected_first_and_then_dead_for_all_peers"),
    row("member-suspicion", "a gateway is not dead after one lost probe", "MembershipTable.suspicion_timeout_us",
        tests="gossip/failure_detector::killed_gateway_is_suspected_first_and_then_dead_for_all_peers"),
    row("member-refutation", "a gateway that is considered dead can return", "MembershipTable.on_claim_about_self",
        tests="gossip/failure_detector::gateway_restarted_with_a_clock_one_hour_back_is_alive "
              "gossip/failure_detector::dead_gateway_returns_with_a_higher_incarnation"),
    row("member-notice", "gateways that suspect each other do not loop", "MembershipTable._notify_of_status",
        tests="gossip/failure_detector::gateways_that_suspect_each_other_do_not_answer_notices_endlessly"),
    row("member-stall", "after its own stall a gateway suspects no peer", "FailureDetector.on_stall",
        tests="gossip/failure_detector::stalled_gateway_suspects_no_peer_for_unanswered_probes"),
)  # fmt: skip
