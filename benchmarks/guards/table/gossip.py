"""The mutants of gossip between gateways: what each guard holds, and the plays and tests that must find it gone."""

from __future__ import annotations

from benchmarks.guards.row import row

ROWS = (
    row("hearsay-credit", "who fails everywhere counts for little", "reporter_credibility, GossipNode.tell_bad",
        tests="sharing_pure::who_fails_everywhere_counts_for_little"),
    row("hearsay-age", "what is late counts by its age", "ClockOffset.age_ms",
        tests="fleet/sharing::datagrams_that_are_late_by_seconds_do_not_turn_off_a_host_that_is_well "
              "fleet/sharing::a_gateway_that_wakes_with_a_full_socket_reads_old_news_as_old "
              "sharing_pure::what_is_late_by_a_minute_does_not_count"),
    row("hearsay-ends", "what was heard ends by one's own clock", "Observation.lives, GossipNode.look_again",
        tests="fleet/sharing::what_was_heard_ends_when_nothing_more_is_heard "
              "sharing_pure::older_evidence_counts_for_less_and_ends"),
    row("hearsay-zone", "what is well from the own zone stays in use", "assess",
        tests="fleet/sharing::a_host_that_fails_from_one_zone_alone_stays_in_use_from_the_rest "
              "sharing_pure::what_is_well_from_the_own_zone_stays_in_use_there"),
    row("hearsay-newer", "of one teller the newest counts", "is_newer, ClockOffsets.age_ms",
        tests="sharing_pure::a_restarted_teller_ends_what_it_had_said_and_its_old_pieces_are_no_news"),
    row("rumours-confirmed", "a chance failure goes no further", "GossipNode.on_evidence",
        tests="sharing_pure::a_chance_failure_goes_no_further_and_two_that_meet_go_to_all"),
    row("rumours-bytes", "what is said is bounded", "GossipNode.post",
        tests="sharing_pure::nothing_is_said_beyond_what_the_bucket_pays_for"),
    row("rights-kept", "a token that was given is gone", "GossipDriver.take, RetryTokens.give",
        tests="fleet/sharing::tokens_move_to_who_wants_them_and_are_never_spent_twice "
              "sharing_pure::nobody_gives_what_it_wants_itself_nor_what_is_not_worth_a_datagram"),
    row("rights-once", "a gift is taken once", "RetryTokens.take",
        tests="sharing_pure::a_gift_is_taken_once_in_time_and_by_whom_it_was_meant_for"),
    row("rights-for", "a gift is for one process, and ends", "RetryTokens.take",
        tests="sharing_pure::a_gift_is_taken_once_in_time_and_by_whom_it_was_meant_for"),
    row("rights-begin", "a process that begins has no tokens, and saves up one", "GossipDriver.start",
        tests="sharing_commands::a_process_that_begins_has_no_tokens_though_its_socket_is_anothers "
              "fleet/sharing::who_is_cut_off_spends_no_more_than_its_own_tokens"),
    row("hearsay-crowd", "a crowd's time-outs are no sign against a host", "GossipNode.note",
        tests="sharing_pure::a_time_out_at_a_host_that_has_answered_since_is_no_failure"),
    row("presence-probe", "who answers no probe is suspected", "FailureDetector.end_probe",
        tests="fleet/sharing::a_gateway_that_is_killed_is_gone_for_the_rest_and_back_when_it_is "
              "sharing_pure::a_gateway_that_dies_is_suspected_first_and_then_gone_for_all"),
    row("presence-suspect", "nobody is gone for one lost probe", "FailureDetector.suspect_us",
        tests="sharing_pure::a_gateway_that_dies_is_suspected_first_and_then_gone_for_all"),
    row("presence-above", "who is taken for gone can come back", "FailureDetector.hear_of_oneself",
        tests="sharing_pure::a_restart_with_a_clock_an_hour_back_is_heard_all_the_same "
              "sharing_pure::who_is_held_for_gone_comes_back_by_going_above_it"),
    row("presence-told", "two that suspect one another do not answer answers", "FailureDetector.heard",
        tests="sharing_pure::two_that_suspect_one_another_do_not_answer_each_others_answers"),
    row("presence-stall", "after a stall nobody is accused", "FailureDetector.stood_still",
        tests="sharing_pure::after_a_stall_nobody_is_accused_for_what_went_unanswered"),
)  # fmt: skip
