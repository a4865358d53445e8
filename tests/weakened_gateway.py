"""The gateway's guards, each taken out in a scratch copy: its test must go red.

``python -m tests.weakened_gateway`` prints what each test shows without its guard.
"""

from tests.weakened import Edit, Weakness, show

FAILURES = "tests.test_gateway.TestFailures.test_"
REFUSALS = "tests.test_gateway.TestRefusals.test_"
STREAMS = "tests.test_gateway.TestStreams.test_"
MIRROR = "tests.test_mirrors.TestMirror.test_"
NEWS = "tests.test_mirrors.TestNews.test_"
FANOUT = "tests.test_fanout.TestFanout.test_"
TENURE = "tests.test_tenures.TestTenure.test_"
CREDIT = "tests.test_allowances.TestCredit.test_"
PARTITIONS = "tests.test_allowances.TestPartitions.test_"
MODEL = "tests.test_allowances_model.TestBound.test_"
WATCHERS = "tests.test_store_watchers.TestWatchers.test_"
TALLY = "tests.test_tallies.TestTally.test_"
SIZING = "tests.test_sizing.TestSizing.test_"
PLACING = "tests.test_placing_model.TestPlacingModel.test_"
LOADS = "tests.test_old_loads.TestOldLoads.test_"
ROLLOUTS = "tests.test_rollouts."
CRASHES = "tests.test_crashes.Test"
CRASHING = "tests.test_crashing_requests.TestOneInstance.test_a_crashing_"
NO_CRASH = "tests.test_crashing_requests.TestNoCrash.test_"

CHANGED = "self.as_of = max(self.as_of, sent)"
CROSSED = "[item for item in items if item.revision > self.revision]"
BACK = "if self._acted_fence != self._fence and now < self._acted + self._ttl:"
STALE = "if not route.open and not self._knows_keys():"
PROBE_ANSWERED = """            self._dismiss(suspicions)
        self._streams.drop(conn)"""
ADMITTED = (
    "return account is None or self._allowances.charge(account, REQUEST_COST, now)"
)
LIMITED = "tests.test_limited_upstreams.TestOneInstance.test_"
LIMITED_MODEL = "tests.test_limited_upstreams_model.TestCalm.test_"
PIECE = "data = relay.events.feed(data)"

GATEWAY_WEAKNESSES = (
    Weakness(
        "an upstream's limit is not looked at",
        (Edit("upstream_limits", ADMITTED, "return True"),),
        (
            LIMITED + "an_upstream_gets_its_limit_and_the_others_the_rest",
            LIMITED + "retries_count_towards_the_limit",
            LIMITED + "resumed_streams_count_towards_the_limit",
        ),
    ),
    Weakness(
        "a limit is told to nobody",
        (
            Edit(
                "upstream_limits",
                "for upstream, rate, age in reported:",
                "for _ in ():",
            ),
        ),
        (
            "tests.test_upstream_limits.TestCurrentLimit"
            ".test_instances_use_the_newest_report",
            LIMITED_MODEL + "few_instances_meet_and_use_a_limit",
        ),
    ),
    Weakness(
        "each instance has the whole of a limit",
        (
            Edit(
                "allowances",
                "gained = holding.rate * passed / self._known",
                "gained = holding.rate * passed",
            ),
        ),
        (LIMITED_MODEL + "few_instances_meet_and_use_a_limit",),
    ),
    Weakness(
        "an answer that was overtaken ends a limit",
        (Edit("upstream_limits", "NamedLimit(inf, sent_at)", "NamedLimit(inf, now)"),),
        (
            "tests.test_upstream_limits.TestCurrentLimit"
            ".test_an_older_answer_without_a_limit_does_not_end_it",
        ),
    ),
    Weakness(
        "a barred request is sent",
        (Edit("crashes", "if self.is_barred(fingerprint, now):", "if False:"),),
        (
            CRASHES + "Counting"
            ".test_a_request_is_barred_after_three_crashes_for_a_known_time",
            CRASHING + "request_that_may_run_once_crashes_three_upstreams",
        ),
    ),
    Weakness(
        "a crash counts only once it is proved",
        (Edit("crashes", "State.ASSUMED, State.PROVED)", "State.PROVED,)"),),
        (CRASHING + "request_that_is_retried_crashes_three_upstreams",),
    ),
    Weakness(
        "a broken connection proves a crash",
        (
            Edit(
                "crash_watch",
                PROBE_ANSWERED,
                PROBE_ANSWERED.replace("dismiss(", "prove(probe.upstream, "),
            ),
        ),
        (NO_CRASH + "a_reset_connection_bars_no_request",),
    ),
    Weakness(
        "an upstream that answers has crashed all the same",
        (Edit("crashes", "self._withdraw_crash(upstream, sent_at, now)", "pass"),),
        (NO_CRASH + "an_upstream_that_answers_again_had_not_crashed",),
    ),
    Weakness(
        "an upstream that refuses connections has crashed whatever goes on there",
        (
            Edit(
                "crash_watch", "if isinstance(exc, REFUSED) and unconnected:", "if exc:"
            ),
        ),
        (
            NO_CRASH + "an_upstream_that_is_full_and_refuses_connections_has_not_"
            "crashed",
        ),
    ),
    Weakness(
        "an upstream that stays registered has crashed all the same",
        (
            Edit(
                "crash_watch",
                "if name in self._gateway.registry.members:",
                "if False:",
            ),
        ),
        (NO_CRASH + "an_upstream_that_stays_registered_has_not_crashed",),
    ),
    Weakness(
        "the word of an answer takes later crashes back",
        (Edit("crashes", "if crash is None or crash.at >= at:", "if crash is None:"),),
        (
            CRASHES + "RunningUpstreams"
            ".test_an_old_report_of_an_answer_does_not_withdraw_a_later_crash",
        ),
    ),
    Weakness(
        "one without the store drops what it knows",
        (Edit("mirrors", "self._lacking = True", "self._list_anew()"),),
        (NEWS + "one_without_the_store_keeps_what_it_knows_for_those_who_know_more",),
    ),
    Weakness(
        "a helper that can't tell it all is asked on and on",
        (Edit("neighbours", " or not self._is_of_use(news)", ""),),
        (WATCHERS + "one_without_the_store_leaves_a_helper_that_cannot_tell_it_all",),
    ),
    Weakness(
        "a leaving upstream's end is a crash",
        (Edit("crash_watch", "elif not registration.leaving:", "else:"),),
        (NO_CRASH + "requests_at_a_leaving_upstream_are_not_suspected",),
    ),
    Weakness(
        "whose caller left is forgotten",
        (Edit("crash_watch", "if item.upstream == name and", "if False and"),),
        (NO_CRASH + "a_crash_after_the_caller_left_is_detected_by_the_registration",),
    ),
    Weakness(
        "crashes under one name count once",
        (Edit("crash_watch", 'return f"{name}#{count}" if count', "return name if 1"),),
        (NO_CRASH + "each_crash_of_an_upstream_that_keeps_its_name_counts",),
    ),
    Weakness(
        "an answer clears nobody",
        (Edit("crashes", "self._withdraw_request(fingerprint, now)\n\n", "pass\n\n"),),
        (
            CRASHES + "Clearing"
            ".test_an_answered_request_is_cleared_despite_old_reports",
            NO_CRASH + "harmless_requests_at_a_crash_are_cleared_by_an_answer",
        ),
    ),
    Weakness(
        "what was just answered is suspected",
        (Edit("crashes", "< EXEMPT_FOR", "< 0.0"),),
        (
            "tests.test_crashes_model.TestCrashingRequests."
            "test_a_popular_request_is_not_refused_because_of_a_crashing_one",
        ),
    ),
    Weakness(
        "what may have run is sent again",
        (
            Edit(
                "attempts",
                "if not relay.route.repeatable and relay.may_have_run:",
                "if False:",
            ),
        ),
        (FAILURES + "what_may_have_run_is_never_sent_twice_nor_called_unrun",),
    ),
    Weakness(
        "a failure without a send keeps its status",
        (Edit("attempts", "if exc.status not in PROMISES:", "if False:"),),
        (FAILURES + "what_reached_nobody_is_called_not_run",),
    ),
    Weakness(
        "an answer to an earlier request is taken",
        (
            Edit(
                "connections",
                "return head is not None and expects is not None and not expects(head)",
                "return False",
            ),
        ),
        (FAILURES + "the_answer_to_an_earlier_request_is_passed_over",),
    ),
    Weakness(
        "any success is the upstream's own",
        (Edit("attempts", "if not verdict.sound:", "if False:"),),
        (FAILURES + "an_unsigned_success_is_not_the_upstreams_answer",),
    ),
    Weakness(
        "a failure goes on with a stream",
        (Edit("attempts", "if relay.exchange.started and not streams:", "if False:"),),
        (STREAMS + "a_failure_never_stands_in_the_middle_of_a_stream",),
    ),
    Weakness(
        "half an event is passed on",
        (
            Edit(
                "attempts", "data = relay.events.feed(data)", "relay.events.feed(data)"
            ),
        ),
        (STREAMS + "a_stream_goes_on_elsewhere_at_the_next_whole_event",),
    ),
    Weakness(
        "keys are honoured whatever is known of them",
        (
            Edit(
                "gateway", "if not route.open and not self._knows_keys():", "if False:"
            ),
        ),
        (
            "tests.test_gateway.TestRefusals.test_keys_known_too_long_ago_are_not_honoured",
        ),
    ),
    Weakness(
        "a leaving upstream gets work",
        (
            Edit(
                "balancing",
                "if not station.registration.leaving and name not in excluded",
                "if name not in excluded",
            ),
        ),
        ("tests.test_balancing.TestLeaving.test_a_leaving_upstream_gets_no_requests",),
    ),
    Weakness(
        "an older change replaces a newer one",
        (
            Edit(
                "mirrors",
                "if known is not None and known.revision >= item.revision:",
                "if False:",
            ),
            Edit("mirrors", CROSSED, "list(items)"),
        ),
        (MIRROR + "an_older_change_never_replaces_a_newer_one",),
    ),
    Weakness(
        "an answer that crosses newer news is applied",
        (Edit("mirrors", CROSSED, "list(items)"),),
        (NEWS + "older_news_never_bring_back_what_was_deleted",),
    ),
    Weakness(
        "another instance's knowledge counts from its answer",
        (Edit("mirrors", "asked_at - news.age", "now - news.age"),),
        (NEWS + "knowledge_is_as_old_as_the_call_that_proved_it",),
    ),
    Weakness(
        "an instance that is cut off from the store is proof enough",
        (Edit("fanout", "self.fresh = age <= self._oldest", "self.fresh = True"),),
        (FANOUT + "one_that_is_cut_off_from_the_store_is_no_proof",),
    ),
    Weakness(
        "all followers of a leader without the store watch it",
        (
            Edit(
                "neighbours",
                "= told or (helped and not away)",
                "= told",
            ),
        ),
        (WATCHERS + "a_leader_that_lost_the_store_sends_nobody_to_it_but_the_next",),
    ),
    Weakness(
        "one that lost the store vouches for what it was told",
        (Edit("neighbours", "self._vouches = told or not away", "pass"),),
        (WATCHERS + "nobody_proves_to_another_what_it_has_from_it",),
    ),
    Weakness(
        "every leader watches, however many there are",
        (Edit("neighbours", "if self._oldest <= ALL_WATCH:", "if True:"),),
        (WATCHERS + "two_watch_for_all_where_there_is_time_to_ask",),
    ),
    Weakness(
        "an answer to any question is taken for the last one's",
        (Edit("fanout", "or self._asked.number != number", ""),),
        (FANOUT + "an_answer_to_an_older_question_proves_nothing",),
    ),
    Weakness(
        "what is given back counts at each word",
        (Edit("credit", "= entry.returned - before", "= entry.returned"),),
        (CREDIT + "what_comes_twice_or_late_or_never_makes_no_credit",),
    ),
    Weakness(
        "what is granted counts at each word",
        (
            Edit(
                "credit",
                "gained[name] = total - self.granted.get(name, 0)",
                "gained[name] = total",
            ),
        ),
        (CREDIT + "what_is_granted_adds_up_once",),
    ),
    Weakness(
        "a parent that started again takes old credit for new",
        (
            Edit("allowances", "claim.parent not in (0, self._incarnation)", "False"),
            Edit(
                "allowances",
                "            if claim.parent:\n",
                "            if False:\n",
            ),
        ),
        (CREDIT + "a_parent_that_started_again_counts_nothing_twice",),
    ),
    Weakness(
        "one that was forgotten brings back old credit",
        (
            Edit(
                "allowances",
                "            if claim.parent:\n",
                "            if False:\n",
            ),
        ),
        (CREDIT + "one_that_was_forgotten_brings_back_nothing_old",),
    ),
    Weakness(
        "one that is cut off keeps the whole burst",
        (Edit("allowances", "            if alone:\n", "            if False:\n"),),
        (
            PARTITIONS + "many_that_are_cut_off_together_spend_no_burst_each",
            PARTITIONS + "a_parent_that_is_cut_off_gives_up_what_it_held_for_others",
        ),
    ),
    Weakness(
        "one that starts takes the whole rate",
        (
            Edit("allowances", "self._known = 0", "self._known = 1"),
            Edit("allowances", "self._at = started_at", "self._at = started_at or 0.0"),
        ),
        (
            "tests.test_allowances.TestOneInstance"
            ".test_one_that_starts_takes_nothing_before_it_knows_the_others",
        ),
    ),
    Weakness(
        "a part of the system spends the whole rate",
        (Edit("allowances", "passed / self._known", "passed"),),
        (
            PARTITIONS + "an_instance_that_hears_nobody_keeps_to_its_part",
            MODEL + "a_third_is_cut_off_while_a_customer_is_loud_at_any_size",
        ),
    ),
    Weakness(
        "what is under way counts in the burst",
        (Edit("allowances", "UNDER_WAY if self._children else 0.0", "0.0"),),
        (
            "tests.test_allowances_model.TestOwed"
            ".test_requests_nearly_as_large_as_the_burst_are_served",
        ),
    ),
    Weakness(
        "what did not run comes back however late",
        (Edit("allowances", " and seconds_ago <= REFUND_FOR", ""),),
        (
            "tests.test_allowances.TestOneInstance"
            ".test_what_did_not_run_for_long_is_not_given_back",
        ),
    ),
    Weakness(
        "an answer is taken although its asker went on alone",
        (
            Edit(
                "placing",
                "item = self._pending.pop(answer.number, None)",
                "item = self._pending.get(answer.number)",
            ),
            Edit("placing", "        del self._pending[number]\n", ""),
        ),
        (PLACING + "each_request_is_sent_once",),
    ),
    Weakness(
        "what is placed stays placed",
        (Edit("stations", "if now >= sent.assumed_ended_at:", "if False:"),),
        (PLACING + "placed_requests_without_reports_expire",),
    ),
    Weakness(
        "a placer's word goes before one's own knowledge",
        (
            Edit(
                "placing",
                "if station is None or station.registration.leaving:",
                "if station is None:",
            ),
        ),
        (PLACING + "a_leaving_upstream_known_to_the_asker_gets_no_requests",),
    ),
    Weakness(
        "all are let in",
        (
            Edit(
                "balancing",
                "return estimate.queued_tokens / self.rate > limit",
                "return False",
            ),
        ),
        (LOADS + "an_overloaded_pool_still_serves_what_it_can",),
    ),
    Weakness(
        "who hears nothing goes on to try a version",
        (
            Edit(
                "rollouts",
                "up_to_date = now - self.as_of <= MAX_DECISION_AGE",
                "up_to_date = True",
            ),
        ),
        (
            ROLLOUTS + "TestExcludedUpstreams"
            ".test_an_instance_without_news_sends_no_trial_requests",
        ),
    ),
    Weakness(
        "a new version gets as much as it has upstreams",
        (Edit("rollouts", "TRIAL_FRACTION = 0.04", "TRIAL_FRACTION = 0.5"),),
        (
            ROLLOUTS
            + "TestRandomRollouts.test_bad_versions_stay_within_the_tolerated_exposure",
        ),
    ),
    Weakness(
        "a leader that leads again tells of old work",
        (Edit("tallies", "part = KEPT / max(KEPT, gap)", "part = 1.0"),),
        (TALLY + "one_that_leads_again_brings_no_old_work",),
    ),
    Weakness(
        "a word that comes late is passed over",
        (Edit("tallies", "part = KEPT / max(KEPT, gap)", "part = float(gap <= KEPT)"),),
        (TALLY + "what_one_worked_that_was_heard_late_counts",),
    ),
    Weakness(
        "one that started again is taken for the one before",
        (
            Edit(
                "registrations",
                "if known is None or known.started_at == registration.started_at:",
                "if True:",
            ),
        ),
        (
            "tests.test_gateway.TestUpstreamsThatLeave"
            ".test_one_that_started_again_gets_new_connections_and_no_old_credit",
        ),
    ),
    Weakness(
        "a history is told of for ever",
        (
            Edit(
                "tallies",
                "self._until.setdefault(placement, now + TOLD_FOR)",
                "self._until[placement] = now + TOLD_FOR",
            ),
        ),
        (
            "tests.test_prompt_caches.TestPlacements"
            ".test_repeated_reports_do_not_extend_a_placement",
        ),
    ),
    Weakness(
        "an engine's memory is believed for ever",
        (
            Edit(
                "prompt_caches",
                "while size > memory_tokens * SHARED_FRACTION and len(cached) > 1:",
                "while False:",
            ),
        ),
        (
            "tests.test_prompt_caches.TestPromptCaches"
            ".test_the_least_recently_used_parts_are_dropped_first",
        ),
    ),
    Weakness(
        "old figures are taken as they stand",
        (Edit("balancing", "PEER_PREFILL_WEIGHT = 0.25", "PEER_PREFILL_WEIGHT = 1.0"),),
        (
            "tests.test_old_loads.TestOldLoads"
            ".test_outdated_loads_do_not_send_all_gateways_to_one_engine",
        ),
    ),
    Weakness(
        "work that isn't known yet is taken for none",
        (Edit("sizing", "if not self.meter.is_settled(now):", "if False:"),),
        (
            "tests.test_sizing.TestStart"
            ".test_a_fraction_of_the_maximum_is_ordered_before_the_work_is_known",
        ),
    ),
    Weakness(
        "knowledge counts from the answer",
        (Edit("mirrors", CHANGED, CHANGED.replace("sent", "now")),),
        (MIRROR + "knowledge_is_as_old_as_the_sending_of_its_call",),
    ),
    Weakness(
        "a holder trusts its lease to the end and beyond",
        (Edit("tenures", "now >= self._until:", "False:"),),
        (TENURE + "nobody_acts_on_a_lease_that_may_have_lapsed",),
    ),
    Weakness(
        "a returning holder acts at once",
        (Edit("tenures", BACK, "if False:"),),
        (TENURE + "a_returning_holder_waits_out_its_own_last_act",),
    ),
    Weakness(
        "vanished registrations are gone at once",
        (Edit("registrations", "if now < regained_at + LAPSE_GRACE:", "if False:"),),
        (
            "tests.test_registrations.TestRegistry"
            ".test_entries_that_lapsed_with_the_store_have_time_to_return",
        ),
    ),
    Weakness(
        "others are ordered only once too few are left",
        (Edit("sizing", "if now < self._scarce_until:", "if False:"),),
        (
            SIZING + "a_second_notice_orders_enough_on_demand_instances",
            SIZING + "a_refused_order_counts_as_scarcity",
        ),
    ),
    Weakness(
        "a log's reader is waited for",
        (Edit("logs", "_Bound.dropped += 1\n            return\n", "pass\n"),),
        ("tests.test_logs.TestVolume.test_a_reader_that_stalls_holds_nobody_up",),
    ),
)


def main():
    """Print the red figures."""
    for weakness in GATEWAY_WEAKNESSES:
        show(weakness, live=False)


if __name__ == "__main__":
    main()
