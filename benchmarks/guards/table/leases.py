"""The mutants of the leased roles: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("lease-silence", "a voter that began anew does not vote twice", "Acceptor.speaks",
        tests="duties_pure::a_voter_that_began_anew_says_nothing_for_the_longest_lease "
              "duties_model::no_long_walk_lets_two_act"),
    row("lease-one", "a live lease is nobody else's", "Acceptor.admit",
        tests="duties_pure::a_live_lease_is_nobody_elses_whatever_the_ballot "
              "duties_model::no_long_walk_lets_two_act"),
    row("lease-consent", "only its holder lets a successor in", "Acceptor.admit",
        tests="duties_pure::a_live_lease_is_nobody_elses_whatever_the_ballot "
              "duties_model::no_long_walk_lets_two_act"),
    row("lease-sent", "a lease counts from before its round was begun", "Lease.on_won",
        tests="duties_pure::a_lease_ends_by_the_time_at_which_its_round_was_begun "
              "duties_model::no_long_walk_lets_two_act"),
    row("lease-round", "an answer counts for its own round", "Lease.receive",
        tests="duties_model::no_long_walk_lets_two_act"),
    row("lease-ends", "a holder that can't renew stops in time", "Lease.may_act",
        tests="duties_pure::a_holder_renews_by_the_same_epoch_and_ends_in_time_when_it_can_not "
              "duties_model::no_long_walk_lets_two_act"),
    row("lease-believed", "a holder believes for less than its voters hold", "Terms.held_us",
        tests="fleet/duties::a_holder_that_stood_still_for_a_lease_and_a_bit_acts_no_more "
              "fleet/duties::all_but_the_holder_stand_still_and_it_stops_in_time "
              "fleet/duties::a_holder_that_is_cut_off_stops_and_the_rest_has_another"),
    row("lease-handing", "who hands on acts no more", "Lease.hand_on",
        tests="duties_pure::a_hand_over_that_nobody_takes_leaves_the_duty_free "
              "duties_model::no_long_walk_lets_two_act"),
    row("lease-clock+act-late", "after a stall the time is read anew before an act", "Room.datagram_received, send",
        tests="duties_room::the_last_look_at_the_time_before_an_act_is_within_the_lease"),
    row("act-late", "an act is worded, and then the time is looked at once more", "Room.send",
        tests="duties_room::the_last_look_at_the_time_before_an_act_is_within_the_lease"),
    row("epoch-fence", "an act with an older epoch counts for nothing", "Office.on_act, Fence",
        tests="duties_pure::another_number_of_voters_is_not_answered_and_an_old_epoch_is_refused"),
    row("epoch-heard", "epochs grow whatever the wall clocks say", "Counter.hear",
        tests="duties_pure::a_counter_follows_what_it_hears_but_for_leaps "
              "fleet/duties::a_gateway_that_comes_back_with_its_clock_an_hour_off_does_no_harm"),
    row("epoch-older", "who is refused for its epoch takes the newer one over", "Lease.is_older",
        tests="duties_pure::a_holder_whose_act_was_refused_takes_the_epoch_over_and_goes_on_above_it "
              "fleet/duties::a_fleet_that_begins_anew_with_its_clocks_an_hour_back_is_told_by_who_refuses"),
    row("epoch-outbid", "who was refused asks the service before it acts again", "ServiceLease.is_older",
        tests="duties_pure::two_that_hold_by_the_service_do_not_outbid_one_another"),
    row("voters-differ", "who names another number of voters has no vote", "Office.receive",
        tests="duties_pure::another_number_of_voters_is_not_answered_and_an_old_epoch_is_refused"),
    row("portion-ends", "what was granted ends by the clock of who asked", "Holding.share",
        tests="duties_pure::a_lent_part_is_granted_to_who_wants_it_and_comes_back"),
    row("lent-counted", "no more is granted than outlives it of what was lent", "Warden.give",
        tests="duties_pure::a_lent_part_is_granted_to_who_wants_it_and_comes_back"),
    row("lent-once", "a part is lent to one at a time", "Holding.lend",
        tests="duties_pure::a_lent_part_is_granted_to_who_wants_it_and_comes_back"),
    row("lent-stamp", "a loan counts from the warden's own stamp", "Warden.on_report",
        tests="duties_pure::a_loan_that_was_told_late_ends_by_the_wardens_own_stamp"),
    row("trials-idle", "who does not try holds nobody back", "Outs.on_report",
        tests="duties_trials::a_holder_tells_what_it_does_and_for_a_while_that_the_host_is_well"),
    row("trials-end", "trials are held back for a time of one's own", "Outs.on_act",
        tests="duties_trials::answers_hold_back_for_a_time_of_ones_own_and_old_ones_do_not"),
)  # fmt: skip
