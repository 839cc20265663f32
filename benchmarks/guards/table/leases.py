"""Mutants of the leased roles: what each guard ensures, and the scenario runs and tests that detect its removal."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("lease-quarantine", "a restarted voter does not vote twice", "Acceptor.can_vote",
        tests="leases/acceptor::a_restarted_voter_does_not_vote_during_its_quarantine "
              "leases/model::no_random_walk_lets_two_holders_act"),
    row("lease-one", "an unexpired lease is granted to no other process", "Acceptor.check_request",
        tests="leases/acceptor::an_unexpired_lease_is_refused_to_other_processes_at_any_ballot "
              "leases/model::no_random_walk_lets_two_holders_act"),
    row("lease-consent", "only the holder's consent admits a successor", "Acceptor.check_request",
        tests="leases/acceptor::an_unexpired_lease_is_refused_to_other_processes_at_any_ballot "
              "leases/model::no_random_walk_lets_two_holders_act"),
    row("lease-sent", "a lease is valid from the start of its round", "QuorumLease.on_quorum_accepted",
        tests="leases/quorum_lease::a_lease_is_valid_from_the_start_of_its_round "
              "leases/model::no_random_walk_lets_two_holders_act"),
    row("lease-round", "a response counts only for its own round", "QuorumLease.is_of_open_round",
        tests="leases/model::no_random_walk_lets_two_holders_act"),
    row("lease-ends", "a holder that cannot renew stops in time", "Lease.can_act",
        tests="leases/quorum_lease::a_holder_renews_under_the_same_token_and_stops_in_time_if_it_cannot "
              "leases/model::no_random_walk_lets_two_holders_act"),
    row("lease-validity", "a lease ends earlier at its holder than at the voters", "LeaseConfig.validity_us",
        tests="fleet/leases::a_holder_that_stalled_for_longer_than_a_lease_stops_acting "
              "fleet/leases::a_holder_stops_in_time_when_all_other_gateways_stall "
              "fleet/leases::a_holder_that_is_cut_off_stops_and_another_gateway_takes_over"),
    row("lease-handover", "a holder stops acting before it hands over", "QuorumLease.hand_over",
        tests="leases/quorum_lease::an_unacknowledged_handover_frees_the_lease "
              "leases/model::no_random_walk_lets_two_holders_act"),
    row("lease-clock+reply-late", "the clock is read again after a stall", "LeaseDriver.datagram_received, send",
        tests="leases/driver::the_last_clock_reading_before_a_reply_is_within_the_lease"),
    row("reply-late", "the clock is read again before a reply is sent", "LeaseDriver.send",
        tests="leases/driver::the_last_clock_reading_before_a_reply_is_within_the_lease"),
    row("token-fencing", "a reply under an older token is rejected", "ReportExchange.on_reply, FencingTokenCheck",
        tests="leases/manager::a_different_number_of_voters_gets_no_answer_and_an_older_token_is_rejected"),
    row("token-observed", "tokens increase even if wall clocks are wrong", "BallotClock.observe",
        tests="leases/ballots::a_clock_follows_observed_counters_except_for_leaps "
              "fleet/leases::a_gateway_restarted_with_its_clock_an_hour_off_uses_no_older_token"),
    row("token-stale", "a holder whose stale token was rejected raises it", "QuorumLease.on_stale_token",
        tests="leases/manager::a_holder_whose_reply_was_rejected_continues_above_the_newest_token "
              "fleet/leases::a_fleet_restarted_with_clocks_an_hour_back_continues_above_the_rejected_token"),
    row("token-outbid", "a holder whose reply was rejected asks the service before it acts again",
        "ZookeeperLease.on_stale_token",
        tests="leases/zookeeper_lease::two_zookeeper_holders_do_not_outbid_each_other"),
    row("voters-differ", "a different number of voters gets no vote", "LeaseManager.receive",
        tests="leases/manager::a_different_number_of_voters_gets_no_answer_and_an_older_token_is_rejected"),
    row("grant-ends", "a grant ends according to the reporter's clock", "QuotaAccount.usable",
        tests="leases/slow_start_budget::lent_quota_is_granted_on_demand_and_returns_to_the_lender"),
    row("lent-counted", "grants never exceed the loans that outlive them", "SlowStartBudget.grant_quota",
        tests="leases/slow_start_budget::lent_quota_is_granted_on_demand_and_returns_to_the_lender"),
    row("lent-once", "quota is lent to one process at a time", "QuotaAccount.lend",
        tests="leases/slow_start_budget::lent_quota_is_granted_on_demand_and_returns_to_the_lender"),
    row("lent-timestamp", "a loan starts at the leader's own timestamp", "SlowStartBudget.record_loan",
        tests="leases/slow_start_budget::a_loan_reported_late_ends_according_to_the_leaders_timestamp"),
    row("probes-idle", "a holder that does not probe suspends no probes", "ProbeElection.on_report",
        tests="leases/probe_election::a_holder_replies_whether_it_probes_and_later_that_the_host_has_recovered"),
    row("probes-end", "a suspension of probes ends by the reporter's clock", "ProbeElection.on_reply",
        tests="leases/probe_election::replies_suspend_probes_by_the_reporters_clock_and_late_replies_do_not"),
)  # fmt: skip
