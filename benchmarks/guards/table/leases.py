"""The mutants of the leased roles: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("lease-quarantine", "a restarted voter does not vote twice", "Acceptor.can_vote",
        tests="leases/acceptor::a_restarted_voter_does_not_vote_for_the_longest_lease "
              "leases/model::no_long_walk_lets_two_act"),
    row("lease-one", "an unexpired lease is nobody else's", "Acceptor.check_request",
        tests="leases/acceptor::an_unexpired_lease_is_refused_to_others_whatever_the_ballot "
              "leases/model::no_long_walk_lets_two_act"),
    row("lease-consent", "only its holder lets a successor in", "Acceptor.check_request",
        tests="leases/acceptor::an_unexpired_lease_is_refused_to_others_whatever_the_ballot "
              "leases/model::no_long_walk_lets_two_act"),
    row("lease-sent", "a lease counts from before its round was begun", "QuorumLease.on_quorum_accepted",
        tests="leases/quorum_lease::a_lease_counts_from_the_begin_of_its_round "
              "leases/model::no_long_walk_lets_two_act"),
    row("lease-round", "an answer counts for its own round", "QuorumLease.is_of_open_round",
        tests="leases/model::no_long_walk_lets_two_act"),
    row("lease-ends", "a holder that can't renew stops in time", "Lease.can_act",
        tests="leases/quorum_lease::a_holder_renews_under_the_same_token_and_stops_in_time_when_it_can_not "
              "leases/model::no_long_walk_lets_two_act"),
    row("lease-validity", "a holder relies on its lease for less than its voters do", "LeaseConfig.validity_us",
        tests="fleet/leases::a_holder_that_stalled_for_longer_than_a_lease_acts_no_more "
              "fleet/leases::all_but_the_holder_stall_and_it_stops_in_time "
              "fleet/leases::a_holder_that_is_cut_off_stops_and_the_rest_has_another"),
    row("lease-handover", "who hands over acts no more", "QuorumLease.hand_over",
        tests="leases/quorum_lease::a_handover_that_is_not_acknowledged_leaves_the_lease_free "
              "leases/model::no_long_walk_lets_two_act"),
    row("lease-clock+reply-late", "after a stall the clock is read anew", "LeaseDriver.datagram_received, send",
        tests="leases/driver::the_last_reading_of_the_clock_before_a_reply_is_within_the_lease"),
    row("reply-late", "a reply is made, and then the clock is read once more", "LeaseDriver.send",
        tests="leases/driver::the_last_reading_of_the_clock_before_a_reply_is_within_the_lease"),
    row("token-fencing", "a reply under an older token is rejected", "ReportExchange.on_reply, FencingTokenCheck",
        tests="leases/manager::another_number_of_voters_is_not_answered_and_an_older_token_is_rejected"),
    row("token-observed", "tokens grow whatever the wall clocks say", "BallotClock.observe",
        tests="leases/ballots::a_clock_follows_observed_counters_but_for_leaps "
              "fleet/leases::a_gateway_that_comes_back_with_its_clock_an_hour_off_does_no_harm"),
    row("token-stale", "who is rejected for its token goes above the newer one", "QuorumLease.on_stale_token",
        tests="leases/manager::a_holder_whose_reply_was_rejected_goes_on_above_the_newest_token "
              "fleet/leases::a_fleet_restarted_with_its_clocks_an_hour_back_goes_above_the_rejected_token"),
    row("token-outbid", "who was rejected asks the service before it acts again", "ZookeeperLease.on_stale_token",
        tests="leases/zookeeper_lease::two_that_hold_by_the_service_do_not_outbid_one_another"),
    row("voters-differ", "who names another number of voters has no vote", "LeaseManager.receive",
        tests="leases/manager::another_number_of_voters_is_not_answered_and_an_older_token_is_rejected"),
    row("grant-ends", "a grant ends by the clock of who asked", "QuotaAccount.usable",
        tests="leases/slow_start_budget::lent_quota_is_granted_to_who_wants_it_and_comes_back"),
    row("lent-counted", "no more is granted than outlives it of what was lent", "SlowStartBudget.grant_quota",
        tests="leases/slow_start_budget::lent_quota_is_granted_to_who_wants_it_and_comes_back"),
    row("lent-once", "quota is lent to one at a time", "QuotaAccount.lend",
        tests="leases/slow_start_budget::lent_quota_is_granted_to_who_wants_it_and_comes_back"),
    row("lent-timestamp", "a loan counts from the leader's own timestamp", "SlowStartBudget.record_loan",
        tests="leases/slow_start_budget::a_loan_that_was_reported_late_ends_by_the_leaders_own_timestamp"),
    row("probes-idle", "who does not probe suspends nobody's probes", "ProbeElection.on_report",
        tests="leases/probe_election::a_holder_replies_what_it_does_and_for_a_while_that_the_host_has_recovered"),
    row("probes-end", "probes are suspended by one's own clock", "ProbeElection.on_reply",
        tests="leases/probe_election::replies_suspend_probes_by_ones_own_clock_and_late_ones_do_not"),
)  # fmt: skip
