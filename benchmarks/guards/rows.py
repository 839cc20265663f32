"""The table: each guard of the rules, what it holds, where, and the plays and tests that must find it gone."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.guards.playing import Found, Play


@dataclass(slots=True, frozen=True)
class Row:
    """`by` finds the loss in plays: a rule of the auditor, or "service" (share lost against the same play with the
    guard in place). What a test finds is its own affair."""

    out: tuple[str, ...]  # names in maimed.GUARDS; several: each is the other's second line
    holds: str
    where: str
    plays: tuple[Play, ...]
    by: str
    least: float = 1.0  # breaches, or share of service lost
    quick: bool = False
    tests: tuple[str, ...] = ()  # scripted ones that must fail without it; a row has plays, tests or both

    @property
    def name(self) -> str:
        return "+".join(self.out)

    def measure(self, with_it: Found, without: Found) -> float:
        """How much of what it looks for; the loss is found where this is at least `least`."""
        if self.by == "service":
            return with_it.service - without.service
        return float(without.breaches.get(self.by, 0))


def row(
    out: str, holds: str, where: str, scenario: str = "", by: str = "", least: float = 1.0, *,
    seeds: tuple[int, ...] = (1, 2), quick: bool = False,
    tests: str = "",
) -> Row:  # fmt: skip
    """`scenario` and `tests` are lists of words; "requests::x" is tests/test_requests.py::test_x."""
    plays = tuple(Play(name, seed) for name in scenario.split() for seed in seeds)
    names = tuple(path_of(*test.split("::")) for test in tests.split())
    return Row(tuple(out.split("+")), holds, where, plays, by, least, quick, names)


def path_of(file: str, name: str) -> str:
    """ "requests", "x" is tests/test_requests.py::test_x; "fleet/duties" is in tests/fleet/."""
    folder, _, stem = file.rpartition("/")
    return f"tests/{folder}{'/' if folder else ''}test_{stem}.py::test_{name}"


COLD = "cold cold-fleet cold-firsts cold-popular cold-room cold-wave cold-slow cold-hint"
ROWS = (
    # Nothing goes missing
    row("answers-failed", "what has failed is answered", "Balancer.answer_unserved", "hang", "missing",
        tests="requests::an_unsafe_request_that_may_have_run_fails_at_once"),
    row("answers-refused", "what is turned away is answered", "Balancer.answer_unserved", "surge", "missing",
        tests="gateway_clients::a_refusal_tells_when_to_come_back_where_the_module_says_so"),
    row("answers-module-error", "an event that the module fails at is answered", "Gateway.handle",
        tests="gateway_outcomes::an_error_of_the_module_fails_one_request_and_no_more"),
    row("answers-action-error", "an action that fails takes no other along", "Gateway.handle",
        tests="gateway_outcomes::an_action_that_fails_takes_no_other_along"),
    row("answer-owed+answer-own", "no answer but the one that is owed", "Gateway.owed, ClientConnection",
        tests="gateway_outcomes::a_final_answer_that_is_not_owed_goes_to_nobody"),
    row("deadline-module+deadline-gateway", "an answer comes in its client's time",
        "Balancer.end_us, Gateway.send", "hang", "missing",
        tests="gateway_outcomes::a_time_out_closes_the_connection_and_fails_what_may_have_run"),
    row("ids-in-use", "an id that is open is not taken again", "Gateway.arrive", "ids", "missing",
        tests="gateway_clients::an_id_that_is_in_use_is_not_taken_twice"),
    row("tickets+free-by-identity", "a request is forgotten as itself, not by its id",
        "Gateway.arrive, Balancer.free",
        tests="repeated_ids::a_late_timer_of_an_answered_request_spares_its_namesake"),
    row("sweep", "what nobody ended is written off", "Balancer.sweep",
        tests="repeated_ids::an_attempt_that_nobody_ends_is_written_off_and_said_to_be_a_defect"),
    row("way-out-accepts", "what waits to be accepted is answered", "Server.drain",
        tests="gateway_process::a_restart_finishes_what_is_held_and_still_takes_what_comes "
              "gateway_process::no_request_is_lost_at_a_restart_under_way"),
    row("way-out-answers", "what is held is answered", "Server.drain",
        tests="gateway_process::a_restart_finishes_what_is_held_and_still_takes_what_comes "
              "gateway_process::all_that_was_read_on_one_connection_is_answered_on_the_way_out"),
    row("way-out-ends+way-out-bound", "the way out ends", "Timetable, LAST_S",
        tests="gateway_process::what_never_ends_does_not_keep_it "
              "gateway_process::a_restart_finishes_what_is_held_and_still_takes_what_comes"),
    row("answer-all", "what is held is answered before the kill", "Server.empty_on, Balancer",
        tests="gateway_process::what_never_ends_does_not_keep_it"),
    row("way-out-keeps", "who has a connection is served for a while: others may be out", "Server.sends_away",
        tests="emptying::on_the_way_out_an_open_connection_is_served_for_a_while"),
    row("way-out-hurry", "half a request keeps nobody from the end", "Timetable.may_give_up",
        tests="emptying::half_a_request_that_does_not_go_on_keeps_nobody_from_the_end"),
    row("idle-unread", "what waits in the kernel is not idle", "ClientConnection.is_idle",
        tests="gateway_clients::what_waits_to_be_read_keeps_its_connection"),
    row("idle-first", "a new connection's request has time to come", "Timetable.may_close",
        tests="gateway_clients::on_the_way_out_a_new_connection_has_time_for_its_first_request"),
    row("replies-behind", "bytes behind an answer are no answer", "ReplyReader.feed",
        tests="gateway_pools::an_answer_that_overtakes_its_request_ends_the_connection"),
    row("cancel-closes", "a late answer goes to nobody else", "Pools.cancel",
        tests="gateway_outcomes::a_time_out_closes_the_connection_and_fails_what_may_have_run "
              "gateway_outcomes::a_client_that_leaves_ends_the_attempt"),
    row("unasked-closes", "what comes unasked is no answer", "HostConnection",
        tests="gateway_pools::a_connection_on_which_a_host_speaks_unasked_is_closed"),
    # Clients that break the protocol
    row("head-deadline", "a request that does not go on gets 408", "Server.sweep", "rude", "owed", quick=True,
        tests="gateway_limits::a_request_that_does_not_come_in_time_is_answered_408"),
    row("silent-deadline", "who says nothing is closed", "Server.sweep", "rude", "owed",
        tests="gateway_limits::a_silent_client_and_a_kept_connection_are_let_go_and_a_busy_one_is_not"),
    row("head-limit", "a head has 16 KiB", "RequestReader", "rude", "bounds",
        tests="gateway_limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("body-limit", "a body has 32 MB", "RequestReader",
        tests="gateway_clients::what_cannot_be_taken_is_answered_and_the_program_goes_on"),
    row("read-ahead", "16 requests are read ahead on one connection", "RequestReader.feed", "at-once", "missing",
        quick=True, tests="gateway_limits::hundreds_of_requests_at_once_wait_unparsed_and_are_all_answered"),
    row("both-framings", "a length and a coding are refused", "RequestReader", "rude", "missing", quick=True,
        tests="gateway_limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("repeated-headers", "an id that comes twice is refused", "read_call",
        tests="gateway_limits::what_is_no_request_is_refused_and_nothing_of_it_reaches_a_host"),
    row("budget-cut", "a budget is cut to the class's time", "read_call",
        tests="gateway_limits::a_time_beyond_the_class_is_cut_and_none_at_all_is_answered_at_once"),
    row("client-share", "clients leave descriptors to hosts", "Server.has_room",
        tests="gateway_limits::silent_clients_crowd_out_neither_hosts_nor_other_clients"),
    row("accept-error", "an accept without a descriptor is survived", "Server.accept",
        tests="gateway_limits::an_accept_that_finds_no_descriptor_gives_up_who_asks_nothing"),
    row("budget-as-written", "a host is told the time that is left as it is written", "Gateway.send",
        tests="crossings::a_host_is_told_the_time_that_is_left_when_its_connection_has_come_up"),
    row("accept-pauses", "an accept without a descriptor does not turn without end", "Server.pause_accepting",
        tests="crossings::an_accept_without_a_descriptor_is_tried_again_only_after_a_pause"),
    row("slow-yield", "who sent half a request yields", "Server.give_up_slow",
        tests="crossings::who_stopped_in_the_middle_of_a_request_yields_to_who_asks"),
    row("reserve-kept", "hosts do not use up the reserve", "Server.make_room",
        tests="crossings::attempts_leave_the_reserve_alone"),
    row("client-share+host-room", "a host gets a descriptor", "Server.make_room",
        tests="gateway_pools::idle_connections_make_room_when_descriptors_run_short"),
    # Hosts that break it
    row("reply-body-limit", "an answer has 32 MB", "ReplyReader", "floods", "bounds", quick=True,
        tests="gateway_outcomes::what_comes_back_is_the_outcome"),
    row("reply-head-limit", "an answer's head has 16 KiB", "ReplyReader", "floods", "bounds",
        tests="gateway_outcomes::what_comes_back_is_the_outcome"),
    # Large bodies
    row("broken-is-told", "an answer that breaks off is not whole", "Gateway.attempt_ended",
        tests="large_bodies::an_answer_that_breaks_off_is_seen_to_be_not_whole"),
    row("begun-module+begun-gateway+gone-unread+wanted", "nothing is tried again once an answer is on its way",
        "Gateway.attempt_ended, Balancer.on_attempt_ended",
        tests="large_bodies::an_answer_that_breaks_off_is_seen_to_be_not_whole"),
    row("held-up", "a slow reader holds little memory", "Attempt.hold",
        tests="large_bodies::a_slow_reader_holds_up_its_own_host_alone_and_little_memory"),
    row("room", "large bodies have a bound together", "Share.grow",
        tests="large_bodies::the_room_is_given_back_when_the_last_who_knows_a_body_forgets_it"),
    row("room-returns", "what a body held is given back", "Share",
        tests="large_bodies::large_requests_in_every_framing_arrive_as_they_are"),
    row("value-space", "white space is not part of a value", "RequestReader, ReplyReader",
        tests="large_bodies::white_space_round_a_value_is_not_part_of_it"),
    # Staff
    row("ban", "nothing new to a host out by hand", "Bans.presented", "staff", "drain", seeds=(1,),
        tests="operating::a_host_out_by_hand_gets_nothing_and_one_call_back_brings_it_back "
              "bans::a_ban_only_restricts_and_ends_with_one_call"),
    row("ban-cold", "a host that is put back is cold", "Bans.restore",
        tests="bans::a_host_that_comes_back_before_its_restart_is_told_is_cold"),
    row("ban-outlives", "a ban outlives the process", "SharedFiles.open",
        tests="operating::bans_and_a_pause_outlive_the_process_and_are_heard_by_both"),
    row("ban-heard", "a ban told to one process is heard by the other", "SharedFiles.changed",
        tests="operating::bans_and_a_pause_outlive_the_process_and_are_heard_by_both"),
    row("two-writers", "two processes lose no ban", "SharedFiles.change",
        tests="ops_files::two_writers_lose_nothing"),
    row("pause-empties", "a paused gateway is empty in time", "Timetable.may_close",
        tests="operating::a_pause_empties_the_gateway_and_a_resume_fills_it_again"),
    row("successor-ready", "an upgrade does not tell the front 'not ready'", "Operations.way_out",
        tests="operating::a_process_with_a_successor_tells_the_front_that_the_gateway_is_ready"),
    # Nothing takes effect twice
    row("unsafe-again+unsafe-servers", "an unsafe request that may have run is sent no more",
        "Balancer.try_again, allowed_servers", "failing", "twice", quick=True,
        tests="gateway_outcomes::after_a_reset_only_what_may_run_twice_goes_out_again "
              "requests::an_unsafe_request_that_may_have_run_fails_at_once"),
    row("keyed-group", "a hold is repeated on its shelf alone", "Balancer.allowed_servers", "failing", "twice",
        quick=True, tests="gateway_outcomes::a_keyed_request_that_may_have_run_stays_in_its_group"),
    row("keyed-window", "a hold is repeated within its window", "Balancer.allowed_servers", "window", "twice",
        quick=True, tests="requests::a_keyed_request_stays_in_its_group_and_window"),
    row("refuses-what-ran", "what may have run is not refused", "Balancer.answer_unserved", "failing", "twice",
        quick=True, tests="gateway_outcomes::what_comes_back_is_the_outcome"),
    row("attempts-module+attempts-gateway", "so many attempts at most", "Balancer.try_again, Gateway.send",
        "two-attempts", "twice", tests="requests::attempts_end_with_the_limit"),
    row("second-copies", "no second copy where none may be", "Balancer.on_overdue",
        tests="requests::no_second_copy_where_none_is_allowed"),
    row("reset-may-have-run", "a broken connection may have carried it", "Pools.on_lost", "failing", "twice",
        tests="gateway_outcomes::after_a_reset_only_what_may_run_twice_goes_out_again"),
    row("timeout-may-have-run", "what is not answered in time may run", "Pools.is_written", "hang", "twice",
        tests="gateway_outcomes::a_time_out_closes_the_connection_and_fails_what_may_have_run"),
    row("error-may-have-run", "a 500 may have run", "outcome_of", "failing", "twice", quick=True,
        tests="gateway_outcomes::what_comes_back_is_the_outcome"),
    row("garbage-may-have-run", "noise may have run", "Pools.on_garbage", "failing", "twice", quick=True,
        tests="gateway_outcomes::what_comes_back_is_the_outcome"),
    row("repeat-by", "a repeat begins within the window, or not", "Balancer.repeat_by_us",
        tests="requests::a_repeat_of_a_keyed_request_has_to_begin_while_repeats_are_dropped"),
    row("begin-by-check+begin-by-timer", "what may begin by a time does not begin later", "Pools.refused",
        tests="crossings::what_may_only_begin_by_a_time_is_written_by_then_or_never "
              "crossings::a_large_repeat_that_is_not_wholly_written_in_time_is_broken_off"),
    row("host-rests", "what a host says again is not the next request's answer", "Pools.take",
        tests="crossings::a_second_answer_that_comes_late_is_not_the_next_requests"),
    row("wanted", "nothing is written for who left while a connection came up", "Gateway.send",
        tests="crossings::nothing_is_written_for_a_client_that_left_while_a_connection_came_up"),
    row("gone-unread", "nothing is sent for a client whose end waits to be read", "ClientConnection.has_gone",
        tests="crossings::what_a_client_sent_ahead_is_not_sent_on_once_it_has_gone "
              "crossings::a_client_that_has_gone_gets_no_further_attempt_though_its_end_is_not_yet_read"),
    # Drains hold
    row("drain-module+drain-pools", "nothing new to a server that drains", "Balancer.is_eligible, Pools.refused",
        "drain", "drain", quick=True, tests="gateway_pools::nothing_starts_after_the_grace_of_a_drain"),
    row("gone-module+gone-pools+drain-pools", "nothing to a server that is gone",
        "Balancer.take_leave, Pools.remove",
        tests="gateway_discovery::the_whole_list_drops_what_it_does_not_name"),
    row("watch-silent", "a watch that fell silent is given up in time", "Watch.next_query",
        tests="crossings::a_watch_that_falls_silent_is_made_anew_in_time"),
    row("first-silent", "so is a connection silent from the first", "Watch.next_query",
        tests="crossings::a_connection_that_is_silent_from_the_first_is_given_up_in_time"),
    row("failed-longer", "who was refused or given up waits its turn at a service with too many callers",
        "Watch.next_query", tests="watch::a_service_with_too_many_callers_comes_to_answer_all_of_them "
                                  "watch::who_failed_is_given_longer_until_it_answers"),
    row("leaving-odd", "a host that leaves is gone, whatever else is said", "registry.leaving_of",
        tests="crossings::a_host_that_leaves_is_gone_whatever_else_its_entry_says"),
    row("one-call", "what an earlier call is answered is not heard", "Discovery.begin",
        tests="crossings::what_a_call_was_answered_that_another_has_replaced_is_not_heard"),
    row("version-back", "a list does not go back", "Watch.on_answer",
        tests="crossings::a_service_that_lost_its_versions_tells_all_and_is_believed "
              "watch::each_call_is_for_what_is_held_and_ends_in_time"),
    row("list-rests", "who answers at once with nothing is not asked without end", "Discovery",
        tests="crossings::a_service_that_answers_a_watch_at_once_with_nothing_is_not_asked_without_end"),
    row("list-retry-soon", "a call that failed is made again soon", "Balancer.on_list",
        tests="watch::the_times_together_are_within_what_counts_as_told"),
    row("list-again", "a list that failed is asked for again", "Balancer.on_list",
        tests="gateway_discovery::a_failed_call_is_told_and_made_again_when_the_module_says"),
    row("list-moves", "a registry that moves is followed", "Discovery.move",
        tests="gateway_reload::discovery_moves_at_once_while_requests_go_on"),
    row("still", "what came in a gap is read before a send", "Gateway.look", "paused", "drain",
        tests="stillness::word_of_a_drain_is_read_before_a_request_that_came_first"),
    row("list-before-all", "a list goes ahead of what waits", "Gateway.work",
        tests="stillness::word_of_a_drain_is_read_before_a_request_that_came_first"),
    row("lost-tells-nothing", "a session that is lost tells nothing", "Membership.link",
        tests="membership_ephemeral::the_gateways_own_session_expires_and_the_list_stands_until_it_is_read_again"),
    row("state-kept", "a box told gone stays gone through a restart", "state.load",
        tests="membership_ephemeral::a_box_told_gone_does_not_come_back_at_a_restart_without_the_service"),
    row("agent-checks", "a box that does not answer has no node", "Keeper.on_check",
        tests="membership_ephemeral::no_node_before_the_box_answers_nor_after_it_stopped"),
    # Cold hosts are spared
    row("cold-budget", "a gateway keeps to its part of a cold budget", "Balancer.cold_room", COLD, "cold",
        seeds=(1,), tests="requests::cold_servers_are_kept_within_the_budget_by_all_proxies_together"
        " cold_fleet::a_cold_server_is_not_pushed_over"
        " spans::in_no_second_is_it_sent_three_times_what_it_can_do"),
    row("cold-share", "a cold server is held for cold", "Balancer.cold_share",
        tests="requests::a_cold_server_is_drawn_by_the_share_of_its_capacity_that_it_has"),
    row("cold-users", "the budget is shared by all", "Balancer.fall_budget_us",
        tests="requests::cold_servers_are_kept_within_the_budget_by_all_proxies_together"),
    row("cold-processes", "the processes of one gateway share its part", "Balancer.fall_budget_us",
        tests="requests::two_processes_of_one_proxy_keep_to_its_part_of_the_cold_budget"),
    row("cold-work", "a cold server is not left idle in a jam", "Balancer.cold_cost_us",
        tests="cold_fleet::many_gateways_use_a_cold_server_in_a_jam"),
    row("cold-understated", "clients that say too little push no cold server over", "Balancer.cold_cost_us",
        tests="cold_fleet::clients_that_say_too_little_do_not_push_it_over"
        " cold_fleet::a_request_said_to_be_nothing_has_a_price"),
    row("cold-long", "long requests do not meet on a cold server", "Balancer.cold_room",
        tests="cold_fleet::a_long_request_is_not_sent_to_a_cold_server"),
    row("cold-firsts", "first requests do not come together", "Balancer.list_server", "cold-firsts", "cold",
        tests="requests::cold_servers_are_kept_within_the_budget_by_all_proxies_together"),
    row("cold-late", "a server may be slower to warm up than told", "Server.settled_at_us", "cold-slow", "cold",
        tests="requests::a_server_that_should_be_warm_gets_little_at_once_until_it_must_be"),
    # Duties, held by one gateway at a time
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
    row("share-empty", "a part that moves brings no burst along", "Balancer.gain",
        tests="cold_share::what_was_lent_comes_back_empty_and_what_is_granted_brings_no_burst"),
    row("share-lent", "a part that is lent is not used", "Balancer.cold_room",
        tests="cold_share::what_was_lent_comes_back_empty_and_what_is_granted_brings_no_burst"),
    row("share-start", "a process that begins uses no part that may be lent", "Balancer.on_cold_share",
        tests="cold_share::no_cold_server_is_used_while_a_process_before_may_have_lent_its_part"),
    row("trials-idle", "who does not try holds nobody back", "Outs.on_report",
        tests="duties_trials::a_holder_tells_what_it_does_and_for_a_while_that_the_host_is_well"),
    row("trials-end", "trials are held back for a time of one's own", "Outs.on_act",
        tests="duties_trials::answers_hold_back_for_a_time_of_ones_own_and_old_ones_do_not"),
    row("trials-left", "nobody waits for others where next to nothing is left", "Balancer.on_trials_held",
        tests="duties_trials::nobody_waits_where_next_to_nothing_is_left"),
    # What gateways know together
    row("hearsay-used", "what fails for others is drawn seldom", "Balancer.on_hearsay",
        tests="fleet/sharing::a_gateway_uses_little_what_fails_for_others "
              "fleet/sharing::most_gateways_begin_anew_at_once_and_hear_from_the_rest "
              "sharing_pure::a_server_that_fails_for_others_is_drawn_seldom_and_in_time_as_ever"),
    row("hearsay-two", "what one gateway says alone turns nothing off", "weigh, Balancer.on_hearsay",
        tests="sharing_pure::one_teller_is_no_doubt_and_two_are "
              "sharing_pure::one_teller_and_good_outcomes_are_no_doubt_and_another_process_is_not_meant"),
    row("hearsay-credit", "who fails everywhere counts for little", "credit, Exchange.tell_bad",
        tests="sharing_pure::who_fails_everywhere_counts_for_little"),
    row("hearsay-verdict+hearsay-credit+hearsay-goods", "a bad network of some turns no host off for others",
        "weigh, credit, Balancer.on_hearsay",
        tests="fleet/sharing::gateways_for_which_every_host_is_dead_turn_none_off_for_others"),
    row("hearsay-age", "what is late counts by its age", "Clock.age_ms",
        tests="fleet/sharing::datagrams_that_are_late_by_seconds_do_not_turn_off_a_host_that_is_well "
              "fleet/sharing::a_gateway_that_wakes_with_a_full_socket_reads_old_news_as_old "
              "sharing_pure::what_is_late_by_a_minute_does_not_count"),
    row("hearsay-ends", "what was heard ends by one's own clock", "Piece.lives, Exchange.look_again",
        tests="fleet/sharing::what_was_heard_ends_when_nothing_more_is_heard "
              "sharing_pure::older_evidence_counts_for_less_and_ends"),
    row("hearsay-zone", "what is well from the own zone stays in use", "weigh",
        tests="fleet/sharing::a_host_that_fails_from_one_zone_alone_stays_in_use_from_the_rest "
              "sharing_pure::what_is_well_from_the_own_zone_stays_in_use_there"),
    row("hearsay-newer", "of one teller the newest counts", "is_newer, Clocks.age_ms",
        tests="sharing_pure::a_restarted_teller_ends_what_it_had_said_and_its_old_pieces_are_no_news"),
    row("hearsay-verdict", "hearsay opens no breaker", "Balancer.on_hearsay",
        tests="sharing_pure::a_server_that_fails_for_others_is_drawn_seldom_and_in_time_as_ever"),
    row("hearsay-common", "where all fails, no server is in doubt", "Balancer.on_hearsay",
        tests="sharing_pure::where_most_fails_here_too_others_say_nothing_new"),
    row("hearsay-hold", "trials wait for others for a bounded time", "Balancer.on_hearsay",
        tests="sharing_pure::trials_wait_for_others_and_not_for_long"),
    row("rumours-confirmed", "a chance failure goes no further", "Exchange.on_evidence",
        tests="sharing_pure::a_chance_failure_goes_no_further_and_two_that_meet_go_to_all"),
    row("rumours-bytes", "what is said is bounded", "Exchange.post",
        tests="sharing_pure::nothing_is_said_beyond_what_the_bucket_pays_for"),
    row("rights-kept", "a token that was given is gone", "Room.take, Rights.give",
        tests="fleet/sharing::tokens_move_to_who_wants_them_and_are_never_spent_twice "
              "sharing_pure::nobody_gives_what_it_wants_itself_nor_what_is_not_worth_a_datagram"),
    row("rights-once", "a gift is taken once", "Rights.take",
        tests="sharing_pure::a_gift_is_taken_once_in_time_and_by_whom_it_was_meant_for"),
    row("rights-for", "a gift is for one process, and ends", "Rights.take",
        tests="sharing_pure::a_gift_is_taken_once_in_time_and_by_whom_it_was_meant_for"),
    row("rights-begin", "a process that begins has no tokens, and saves up one", "Room.start",
        tests="sharing_commands::a_process_that_begins_has_no_tokens_though_its_socket_is_anothers "
              "fleet/sharing::who_is_cut_off_spends_no_more_than_its_own_tokens"),
    row("hearsay-crowd", "a crowd's time-outs are no sign against a host", "Exchange.note",
        tests="sharing_pure::a_time_out_at_a_host_that_has_answered_since_is_no_failure"),
    row("presence-probe", "who answers no probe is suspected", "Presence.end_probe",
        tests="fleet/sharing::a_gateway_that_is_killed_is_gone_for_the_rest_and_back_when_it_is "
              "sharing_pure::a_gateway_that_dies_is_suspected_first_and_then_gone_for_all"),
    row("rights-end", "what came from others ends", "Balancer.retry_room",
        tests="sharing_pure::what_came_from_others_and_was_not_used_is_gone"),
    row("presence-suspect", "nobody is gone for one lost probe", "Presence.suspect_us",
        tests="sharing_pure::a_gateway_that_dies_is_suspected_first_and_then_gone_for_all"),
    row("presence-above", "who is taken for gone can come back", "Presence.hear_of_oneself",
        tests="sharing_pure::a_restart_with_a_clock_an_hour_back_is_heard_all_the_same "
              "sharing_pure::who_is_held_for_gone_comes_back_by_going_above_it"),
    row("presence-told", "two that suspect one another do not answer answers", "Presence.heard",
        tests="sharing_pure::two_that_suspect_one_another_do_not_answer_each_others_answers"),
    row("presence-stall", "after a stall nobody is accused", "Presence.stood_still",
        tests="sharing_pure::after_a_stall_nobody_is_accused_for_what_went_unanswered"),
    # The process
    row("sighup", "a reload ends nothing", "__main__.run", "list-moves", "crash",
        tests="gateway_reload::discovery_moves_at_once_while_requests_go_on"),
    row("early-signals", "a signal during the start is survived", "__main__.run", "early", "crash", quick=True,
        tests="gateway_process::a_signal_during_the_start_ends_it_with_0 "
              "gateway_reload::a_signal_while_the_file_is_first_read_is_kept"),
    # Refusals of a send that protect service
    row("breaker", "a failing server is left alone", "Breaker.lets_through",
        tests="breaker::an_open_server_gets_nothing_until_the_cooldown_ends "
              "breaker::half_open_gives_out_no_more_than_its_trials"),
    row("silent-server", "a server that owes answers is sent no more", "Balancer.is_eligible",
        tests="requests::a_silent_server_gets_nothing_more"),
    row("connect-verdict", "a dead server is left alone at once", "Balancer.judge",
        tests="breaker::a_failed_connect_of_a_trial_reopens_at_once_for_longer requests::one_failed_connect_opens"),
    row("common-failures", "no server is blamed for what fails everywhere", "Balancer.common_share",
        tests="breaker::failures_in_common_open_next_to_nothing_and_a_dead_server_is_found_among_them"),
    row("shedding", "what would wait too long is refused", "Balancer.adjust_shed",
        tests="requests::long_waits_shed_the_least_worth_first_and_prompt_answers_end_it"),
    row("room-at-one", "a server is sent no more at once than it works off", "Balancer.pick",
        tests="shedding::a_server_has_room_for_so_many_at_once_and_less_of_it_for_what_is_cheap"),
    row("room-shrinks", "a crowded server is sent less", "Balancer.adjust_room",
        tests="shedding::room_shrinks_with_slow_answers_and_grows_with_prompt_ones_that_fill_it"),
    row("retry-tokens", "repeats are bounded", "Balancer.try_again",
        tests="breaker::after_a_reset_a_repeat_costs_less_and_goes_on_while_little_is_shed"),
    row("fresh-connections+idle-share", "a kept connection is one that the host keeps", "Pools.take",
        tests="gateway_pools::spare_connections_end_soon_and_the_last_before_the_host_ends_it "
              "gateway_pools::the_poll_sees_an_end_before_the_loop_does"),
    row("answered-late", "an answer that has come is passed on", "Pools.on_timeout",
        tests="stillness::an_answer_that_came_in_a_gap_is_passed_on_though_its_time_is_over"),
    # Relays
    row("relay-even-places", "no host is without a gateway", "Ring.window",
        tests="relay_subset::no_host_is_left_without_a_gateway"),
    row("relay-own-share", "a cold host's shares are those of gateways whose own it is", "Host.entry",
        tests="relay_subset::whoever_widens_the_shares_of_a_host_stay_within_its_budget"),
    row("relay-drains", "a drain reaches who has the host", "Feed.answer_delta",
        tests="relay_feed::a_drain_goes_to_who_has_the_host_and_its_end_too"),
    row("relay-index", "changes are from the very answer that is named", "Feed.answer",
        tests="relay_feed::an_index_that_names_no_answer_of_its_asker_is_answered_with_the_whole"),
    row("relay-restricts-first", "what restricts is said first", "Feed.answer_delta",
        tests="relay_feed::what_restricts_is_said_first"),
    row("relay-not-ready", "nobody is told that nobody serves", "Feed.answer",
        tests="relay_feed::a_relay_that_has_no_list_yet_says_so_and_takes_no_changes"),
    row("relay-spill", "a service with few hosts in a region has the other's too", "Service.shape",
        tests="relay_subset::fewer_than_three_that_serve_in_a_region_bring_in_the_other"),
    row("relay-rubbish", "rubbish leaves what is held", "Feed.take",
        tests="relay_feed::rubbish_is_counted_and_leaves_what_is_held"),
    row("relay-move-anew", "versions of one relay mean nothing to another", "RelayedDiscovery._turn",
        tests="relays::a_relay_that_fails_costs_no_news_and_the_list_stands"),
    row("relay-replaced", "a relay that is none any more is not asked", "Relays.replace",
        tests="relays::whoever_is_replaced_the_present_relay_is_one_of_those_named_or_is_left"),
    row("relay-names", "a gateway names itself", "relays.named",
        tests="relays::it_names_itself_and_asks_one_relay_alone"),
    row("relay-old-permits", "no relay undoes a drain that is known", "Belief._permitted",
        tests="relays::a_move_at_the_moment_of_a_drain_does_not_undo_it"),
    row("relay-all-rest", "a stale relay is left also where all others rest", "Relays._leaves_stale",
        tests="relays::a_stale_relay_is_left_also_where_all_others_rest"),
    row("relay-stale-permits", "a stale relay permits nothing", "Belief.take",
        tests="relays::what_waits_is_replaced_by_a_newer_word_however_old_that_is"),
    row("relay-wide", "a subset that fails grows", "Width.step",
        tests="relays::a_subset_that_fails_grows_and_comes_back relays::a_gateway_whose_hosts_fail_asks_for_more"),
    row("relay-metered", "a wave of starts waits or is refused, and changes go on", "Server.on_whole",
        tests="relay_server::wholes_are_served_in_turn_and_refused_beyond_while_changes_go_on"),
    row("relay-age", "what waited while a relay stood still is as old as it is", "Source.hear",
        tests="relay_server::an_answer_that_waited_while_the_process_stood_still_is_as_old_as_it_is"),
    row("list-parts", "requests are served between the parts of a long list", "Slices.take",
        tests="list_cost::between_the_parts_of_a_long_list_the_loop_has_its_turns"),
    row("list-parts-restrict", "what restricts is told at once", "Slices.take",
        tests="list_cost::between_the_parts_of_a_long_list_the_loop_has_its_turns"),
    row("list-parts-known", "so are those of a zone that is back before many hosts", "Slices.take",
        tests="list_reading::a_list_is_short_by_what_the_gateway_knows"),
    row("list-steps", "requests are served while a long list is read", "Caller._in_turns",
        tests="list_reading::requests_are_served_while_a_long_gzip_list_is_read"),
    row("list-steps-bounded", "reading ends in its time", "Caller._in_turns",
        tests="list_reading::the_loop_has_its_turns_by_time_and_only_for_long_answers"),
    row("list-steps-superseded", "a list whose call was replaced while it was read is not told", "Caller.stop",
        tests="list_reading::a_list_that_is_superseded_while_it_is_read_is_never_told"),
    row("list-steps-unread+list-steps-hurry", "what is being read is told first after a gap", "Caller._has_unread",
        tests="list_reading::what_is_read_while_the_process_stood_still_is_told_before_anything_is_sent"),
    row("list-steps-hurry", "after a gap a list is read at one go", "Caller._in_turns",
        tests="list_reading::the_loop_has_its_turns_by_time_and_only_for_long_answers"),
    row("gzip-limit", "a few bytes of gzip don't become more than the longest list", "unpack",
        tests="list_reading::a_step_makes_little_whatever_was_packed"
        " relays::a_relay_that_fails_costs_no_news_and_the_list_stands"),
    row("gzip-end", "gzip with something after its end is a call that failed", "unpack",
        tests="list_reading::what_was_packed_is_read_and_nothing_else"
        " relays::a_relay_that_fails_costs_no_news_and_the_list_stands"),
    row("gzip-relays", "discovery itself is asked for no gzip", "RelayedDiscovery.accepts",
        tests="list_reading::of_discovery_that_answers_for_lost_relays_no_gzip_is_asked"),
    row("cold-told-users", "a cold host's budget is split by who has it", "Balancer.fall_budget_us",
        tests="list_cost::the_parts_of_those_who_know_a_cold_server_never_pass_its_budget"),
)  # fmt: skip
