"""The mutants of gossip between gateways: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("reporter-credibility", "a reporter for which all fails counts for little",
        "reporter_credibility, OutlierGossip._on_local_failure",
        tests="gossip/outlier_reports::a_reporter_for_which_all_fails_counts_for_little"),
    row("observation-age", "what is late counts by its age", "PeerClock.age_ms",
        tests="gossip/node::reports_that_waited_in_the_socket_of_a_stopped_gateway_count_by_their_age "
              "gossip/outlier_reports::what_is_late_by_a_minute_does_not_count"),
    row("observation-expiry", "observations expire by one's own clock",
        "Observation.is_live, OutlierGossip.refresh_assessments",
        tests="fleet/gossip::reports_expire_when_nothing_more_is_received "
              "gossip/outlier_reports::older_observations_count_for_less_and_expire"),
    row("zone-preference", "what is well from the own zone stays in use", "assess",
        tests="fleet/gossip::a_host_that_fails_from_one_zone_alone_stays_in_use_from_the_rest "
              "gossip/outlier_reports::a_host_that_answers_the_own_zone_stays_in_use_there"),
    row("observation-newest", "of one reporter the newest observation counts", "is_newer, PeerClocks.age_ms",
        tests="gossip/outlier_reports::a_restarted_reporter_replaces_what_it_had_reported_and_its_old_observations_are_stale"),
    row("broadcast-confirmed", "a chance failure goes no further", "OutlierGossip.on_observation",
        tests="gossip/node::a_chance_failure_goes_no_further_and_two_that_meet_go_to_all"),
    row("broadcast-bytes", "the bytes sent are bounded", "GossipNode._send",
        tests="gossip/node::nothing_is_sent_beyond_what_the_token_bucket_pays_for"),
    row("retry-tokens-escrow", "a token that was granted is gone", "GossipDriver.withdraw, RetryTokens.grant",
        tests="fleet/gossip::tokens_move_to_who_wants_them_and_are_never_spent_twice "
              "gossip/retry_tokens::nobody_grants_what_it_wants_itself_nor_what_is_not_worth_a_datagram"),
    row("retry-tokens-once", "a grant is accepted once", "RetryTokens.accept",
        tests="gossip/retry_tokens::a_grant_is_accepted_once_in_time_and_by_the_process_it_names"),
    row("retry-tokens-recipient", "a grant is for one process, and expires", "RetryTokens.accept",
        tests="gossip/retry_tokens::a_grant_is_accepted_once_in_time_and_by_the_process_it_names"),
    row("retry-tokens-start", "a process that begins has no tokens, and saves up one", "GossipDriver.start",
        tests="gossip/commands::a_process_that_begins_has_no_tokens_though_its_socket_is_anothers "
              "fleet/gossip::who_is_cut_off_spends_no_more_than_its_own_tokens"),
    row("timeout-overload", "timeouts of overload are no sign against a host", "OutlierGossip.record_outcome",
        tests="gossip/node::a_timeout_at_a_host_that_has_answered_since_is_no_failure"),
    row("member-probe", "who answers no probe is suspected", "MembershipTable.suspect",
        tests="fleet/gossip::a_gateway_that_is_killed_is_gone_for_the_rest_and_back_when_it_is "
              "gossip/failure_detector::a_gateway_that_dies_is_suspected_first_and_then_dead_for_all"),
    row("member-suspicion", "nobody is dead for one lost probe", "MembershipTable.suspicion_timeout_us",
        tests="gossip/failure_detector::a_gateway_that_dies_is_suspected_first_and_then_dead_for_all"),
    row("member-refutation", "a gateway that is held for dead can come back", "MembershipTable.on_claim_about_self",
        tests="gossip/failure_detector::a_restart_with_a_clock_an_hour_back_is_heard_all_the_same "
              "gossip/failure_detector::a_gateway_that_is_held_for_dead_comes_back_by_a_higher_incarnation"),
    row("member-notice", "two that suspect one another do not answer answers", "MembershipTable._notify_of_status",
        tests="gossip/failure_detector::two_that_suspect_one_another_do_not_answer_each_others_answers"),
    row("member-stall", "after a stall nobody is accused", "FailureDetector.on_stall",
        tests="gossip/failure_detector::after_a_stall_nobody_is_accused_for_what_went_unanswered"),
)  # fmt: skip
