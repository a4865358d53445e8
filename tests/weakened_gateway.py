"""Remove one mechanism of the gateway from a scratch copy: its test must fail.

``python -m tests.weakened_gateway`` prints the failures of each test.
"""

from tests.weakened import Edit, Weakness, show

FAILURES = "tests.test_gateway.TestFailures.test_"
REFUSALS = "tests.test_gateway.TestRefusals.test_"
STREAMS = "tests.test_gateway.TestStreams.test_"
MIRROR = "tests.test_mirrors.TestMirror.test_"
NEWS = "tests.test_mirrors.TestNews.test_"
LEADER_QUERIES = "tests.test_leader_queries.TestLeaderQueries.test_"
RESTORED = "tests.test_restored_mirrors.TestRestoredStore.test_"
RESTORED_NEWS = "tests.test_restored_mirrors.TestNewsOfARestoredStore.test_"
NEW_EPOCH = "tests.test_duty_leases.TestNewEpoch.test_"
DUTY_LEASE = "tests.test_duty_leases.TestDutyLease.test_"
CREDIT = "tests.test_allowances.TestCredit.test_"
PARTITIONS = "tests.test_allowances.TestPartitions.test_"
MODEL = "tests.test_allowances_model.TestBound.test_"
WATCHERS = "tests.test_store_watchers.TestWatchers.test_"
REPORT_SUMS = "tests.test_instance_reports.TestReportSums.test_"
SIZING = "tests.test_sizing.TestSizing.test_"
PLACING = "tests.test_placing_model.TestPlacingModel.test_"
OUTDATED_LOADS = "tests.test_outdated_loads.TestOutdatedLoads.test_"
ROLLOUTS = "tests.test_rollouts."
CRASHES = "tests.test_crash_records.Test"
CRASHING = "tests.test_crashing_requests.TestOneInstance.test_a_crashing_"
PARTS = "tests.test_crashing_parts.TestOneInstance.test_"
PART_ANSWERS = "tests.test_crashing_parts.TestAnswers.test_"
CAUSES = "tests.test_crash_causes.TestCauses.test_"
INTAKE = "tests.test_intake.TestIntake.test_"
NO_CRASH = "tests.test_crashing_requests.TestNoCrash.test_"

CHANGED = "self.as_of = max(self.as_of, sent_at)"
CROSSED = "if item.revision > self.revision or is_return(item.revision)"
LATE_NEWS = "if news.items is None:"
RELIES = "self._act_from <= now < self._trusted_until"
BACK = "if self._last_act_fence != self._fence and now < self._last_act_at + self._ttl:"
STALE = "if not route.open and not self._keys_are_fresh():"
PROBE_ANSWERED = """            self._dismiss(suspicions)
        self._streams.drop(conn)"""
ADMITTED = (
    "return account is None or self._allowances.charge(account, REQUEST_COST, now)"
)
LIMITED = "tests.test_limited_upstreams.TestOneInstance.test_"
LIMITED_MODEL = "tests.test_limited_upstreams_model.TestCalm.test_"
LEAVING = "tests.test_leaving_upstreams.Test"
PAUSED = "tests.test_paused_upstreams.TestOneInstance.test_"
RANDOM_STATEMENTS = (
    "tests.test_statements_randomised.TestStatements"
    ".test_requests_go_only_to_processes_that_made_no_statement"
)
SUSPENDED = "if read_boottime() - self._ticked_at >= SUSPENDED_AFTER:"
DROPPED = "self.drop(conn)"
BROKEN = "tests.test_broken_answers.TestStreams.test_"
ONE_ANSWER = "tests.test_stream_versions.TestOneAnswer.test_"
JOINS = "tests.test_event_order.TestJoins.test_"
UNNAMED = "tests.test_event_order.TestEventsWithoutIds.test_"
SILENT_PATHS = "tests.test_stream_moves.TestSilentPaths.test_"
PIECE = "data = relay.events.feed(data)"

BRITTLE = "tests.test_brittle_upstreams.TestRoom.test_"
TUNNELS = "tests.test_tunnels.TestServer.test_"
PATHS = "tests.test_upstream_paths.TestPaths.test_"

GATEWAY_WEAKNESSES = (
    Weakness(
        "a brittle upstream's room is learnt by its refusals",
        (Edit("brittle_upstreams", "if not self._limits.count():", "if True:"),),
        (BRITTLE + "a_full_upstream_needs_credit_before_it_has_refused",),
    ),
    Weakness(
        "a tunnel is opened for whoever asks",
        (
            Edit(
                "tunnels",
                "if not hmac.compare_digest(match.group(2), token.encode()):",
                "if False:",
            ),
        ),
        (TUNNELS + "nothing_is_sent_without_the_token_or_to_unregistered_addresses",),
    ),
    Weakness(
        "the end of a tunnel is taken for the upstream's",
        (Edit("sockets", "self.drop(conn, tunnel.make_closed_error())", DROPPED),),
        (TUNNELS + "the_loss_of_the_helping_instance_does_not_look_like_an_end",),
    ),
    Weakness(
        "an instance that may be cut off says that upstreams are out of reach",
        (Edit("tunnel_server", "status = NOT_HELPING", "pass"),),
        (TUNNELS + "an_instance_that_may_be_cut_off_says_nothing_about_upstreams",),
    ),
    Weakness(
        "a suspended instance sends on what waited meanwhile",
        (Edit("tunnel_server", SUSPENDED, "if False:"),),
        (TUNNELS + "what_waited_while_the_helping_instance_was_suspended_is_dropped",),
    ),
    Weakness(
        "an upstream that nobody reaches counts as a lost path",
        (Edit("upstream_paths", "self._failed.pop(name, None)", "pass"),),
        (PATHS + "upstreams_that_nobody_reaches_are_no_cut",),
    ),
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
                "accrued = bucket.rate * elapsed / self._instance_count",
                "accrued = bucket.rate * elapsed",
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
        "an announcement marks the known registration only",
        (
            Edit(
                "gateway",
                "registration = self.leaving_upstreams.apply(registration)",
                "pass",
            ),
        ),
        (
            LEAVING + "OneInstance"
            ".test_a_registration_does_not_revoke_an_announcement_but_a_restart_does",
            RANDOM_STATEMENTS,
        ),
    ),
    Weakness(
        "an announcement is told to nobody",
        (
            Edit(
                "leaving_exchange",
                "self._copies_left[process] = COPIES",
                "pass",
            ),
        ),
        (
            "tests.test_leaving_model.TestSpread.test_all_instances_know_of_it_after"
            "_the_last_copy",
        ),
    ),
    Weakness(
        "a pause is not a reason to exclude an upstream",
        (Edit("upstream_pauses", "if not self._ends:", "if True:"),),
        (
            PAUSED + "nothing_is_sent_to_an_upstream_during_the_pause_that_it_asked"
            "_for",
            RANDOM_STATEMENTS,
        ),
    ),
    Weakness(
        "the last pause counts",
        (
            Edit(
                "upstream_pauses",
                "max(now + seconds, self._ends.get(process, now))",
                "now + seconds",
            ),
        ),
        (RANDOM_STATEMENTS,),
    ),
    Weakness(
        "a pause holds for the next process",
        (
            Edit(
                "upstream_pauses",
                "is not None and get_process(state.registration) == process",
                "is not None",
            ),
        ),
        (RANDOM_STATEMENTS,),
    ),
    Weakness(
        "requests that wait for a connection stay",
        (
            Edit(
                "attempts",
                "if call is None or not call.conn.connecting or "
                "self.mover.is_sent_on(relay):",
                "if True:",
            ),
        ),
        (PAUSED + "requests_that_wait_for_a_connection_are_placed_again",),
    ),
    Weakness(
        "a barred request is sent",
        (
            Edit(
                "crash_records",
                "if self.is_barred(suspect.fingerprint, now):",
                "if False:",
            ),
        ),
        (
            CRASHES + "Counting"
            ".test_a_request_is_barred_after_three_crashes_for_a_known_time",
            CRASHING + "request_that_may_run_once_crashes_three_upstreams",
        ),
    ),
    Weakness(
        "connections are accepted whatever time is left",
        (Edit("intake", "if full and", "if False and"),),
        (
            INTAKE + "requests_above_the_limit_are_rejected_and_the_others_served_"
            "in_time",
        ),
    ),
    Weakness(
        "connections are rejected below the limit",
        (Edit("intake", "self._is_busy and self._backlog", "self._backlog"),),
        (INTAKE + "nothing_is_rejected_below_the_limit",),
    ),
    Weakness(
        "requests on open connections don't count",
        (Edit("intake", "if not is_first:", "if False:"),),
        (INTAKE + "requests_on_open_connections_count",),
    ),
    Weakness(
        "a refused probe isn't tried again",
        (Edit("crash_detection", "MAX_TRIES = 2", "MAX_TRIES = 1"),),
        (NO_CRASH + "a_crash_is_detected_while_some_connections_are_still_open",),
    ),
    Weakness(
        "parts of prompts are not suspected",
        (Edit("relays", "(content, *list_part_suspects(demand))", "(content,)"),),
        (
            PARTS + "a_part_is_barred_wherever_it_stands_but_last",
            PARTS + "a_part_is_barred_that_crashes_upstreams_in_a_resumed_stream",
        ),
    ),
    Weakness(
        "a crash with a cause is evidence against the others",
        (
            Edit(
                "crash_causes",
                "left[key] - (explained if was_answered(key) else common)",
                "left[key]",
            ),
        ),
        (CAUSES + "what_was_only_beside_the_cause_is_no_cause",),
    ),
    Weakness(
        "an error acquits a part",
        (Edit("crash_detection", "if HTTP_OK <= status < MIN_REDIRECT:", "if True:"),),
        (PART_ANSWERS + "an_error_acquits_no_part",),
    ),
    Weakness(
        "an answer that ends with its connection acquits at once",
        (Edit("crash_detection", "if not until_close:", "if True:"),),
        (PART_ANSWERS + "an_answer_that_ends_with_its_connection_acquits_later",),
    ),
    Weakness(
        "a crash counts only once it is proved",
        (
            Edit(
                "crash_causes",
                "SuspicionState.ASSUMED, SuspicionState.PROVED)",
                "SuspicionState.PROVED,)",
            ),
        ),
        (CRASHING + "request_that_is_retried_crashes_three_upstreams",),
    ),
    Weakness(
        "a broken connection proves a crash",
        (
            Edit(
                "crash_detection",
                PROBE_ANSWERED,
                PROBE_ANSWERED.replace("dismiss(", "prove(probe.upstream, "),
            ),
        ),
        (NO_CRASH + "a_reset_connection_bars_no_request",),
    ),
    Weakness(
        "an upstream that answers has crashed all the same",
        (
            Edit(
                "crash_records", "self._withdraw_crash(upstream, sent_at, now)", "pass"
            ),
        ),
        (NO_CRASH + "an_upstream_that_answers_again_had_not_crashed",),
    ),
    Weakness(
        "an upstream that refuses connections has crashed whatever goes on there",
        (
            Edit(
                "crash_detection",
                "if refused and unconnected:",
                "if exc:",
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
                "crash_detection",
                "if name in self._gateway.registry.upstreams:",
                "if False:",
            ),
        ),
        (NO_CRASH + "an_upstream_that_stays_registered_has_not_crashed",),
    ),
    Weakness(
        "the word of an answer takes later crashes back",
        (
            Edit(
                "crash_records",
                "in crash.items() if crashed_at < at]",
                "in crash.items()]",
            ),
        ),
        (
            CRASHES + "RunningUpstreams"
            ".test_an_old_report_of_an_answer_does_not_withdraw_a_later_crash",
        ),
    ),
    Weakness(
        "unusable news drop the items",
        (Edit("mirrors", LATE_NEWS, LATE_NEWS + "\n            self.revision = None"),),
        (NEWS + "unusable_news_leave_the_items_unchanged",),
    ),
    Weakness(
        "a fallback with incomplete news is queried on",
        (Edit("report_exchange", " or not self._is_sufficient(news)", ""),),
        (WATCHERS + "fallback_with_incomplete_news_is_left",),
    ),
    Weakness(
        "a leaving upstream's end is a crash",
        (Edit("crash_detection", "elif not registration.leaving:", "else:"),),
        (NO_CRASH + "requests_at_a_leaving_upstream_are_not_suspected",),
    ),
    Weakness(
        "whose caller left is forgotten",
        (Edit("crash_detection", "if item.upstream == name and", "if False and"),),
        (NO_CRASH + "a_crash_after_the_caller_left_is_detected_by_the_registration",),
    ),
    Weakness(
        "crashes under one name count once",
        (
            Edit(
                "crash_detection",
                'return f"{name}#{count}" if count',
                "return name if 1",
            ),
        ),
        (NO_CRASH + "each_crash_of_an_upstream_that_keeps_its_name_counts",),
    ),
    Weakness(
        "an answer clears nobody",
        (
            Edit(
                "crash_records",
                "self._withdraw_request(fingerprint, now)\n\n",
                "pass\n\n",
            ),
        ),
        (
            CRASHES + "Clearing"
            ".test_an_answered_request_is_cleared_despite_old_reports",
            NO_CRASH + "harmless_requests_at_a_crash_are_cleared_by_an_answer",
        ),
    ),
    Weakness(
        "what was just answered is suspected",
        (Edit("crash_records", "< EXEMPT_FOR", "< 0.0"),),
        (
            "tests.test_crash_records_model.TestCrashingRequests."
            "test_a_popular_request_is_not_refused_because_of_a_crashing_one",
        ),
    ),
    Weakness(
        "a non-idempotent request that may have run is sent again",
        (
            Edit(
                "attempts",
                "if not relay.route.repeatable and relay.may_have_run:",
                "if False:",
            ),
        ),
        (FAILURES + "a_non_idempotent_request_that_may_have_run_is_not_retried",),
    ),
    Weakness(
        "an unsent request is refused without the status for not run",
        (Edit("attempts", "if exc.status not in NOT_RUN_STATUSES:", "if False:"),),
        (FAILURES + "a_request_that_reached_no_upstream_is_reported_as_not_run",),
    ),
    Weakness(
        "an answer to an earlier request is taken",
        (
            Edit(
                "connections",
                "return head is not None and is_answer is not None"
                " and not is_answer(head)",
                "return False",
            ),
        ),
        (FAILURES + "an_answer_to_an_earlier_request_is_discarded",),
    ),
    Weakness(
        "an answer that doesn't state its request is taken",
        (
            Edit(
                "connections",
                "if head is not None and self._lost_mark(state, head):",
                "if False:",
            ),
        ),
        (FAILURES + "an_answer_without_the_requests_id_is_discarded",),
    ),
    Weakness(
        "a success without the upstream's signature is accepted",
        (Edit("attempts", "if not answer_status.authentic:", "if False:"),),
        (FAILURES + "a_success_without_the_upstreams_signature_is_not_relayed",),
    ),
    Weakness(
        "an error body is relayed in the middle of a stream",
        (
            Edit(
                "attempts",
                "if relay.exchange.started and not (has_events and status == HTTP_OK):",
                "if False:",
            ),
        ),
        (STREAMS + "an_error_body_is_never_inserted_into_a_stream",),
    ),
    Weakness(
        "events out of order are relayed",
        (Edit("events", "if newest and not is_after(id_, newest):", "if False:"),),
        (JOINS + "a_run_that_repeats_the_last_event_is_not_relayed",),
    ),
    Weakness(
        "what a caller has bounds nothing",
        (Edit("relays", "EventReader(after=self.demand.last_event)", "EventReader()"),),
        (JOINS + "a_run_that_repeats_what_its_caller_has_is_not_relayed",),
    ),
    Weakness(
        "streams go on after events without ids",
        (Edit("relays", "return is_stream and self.events.can_resume", "return True"),),
        (UNNAMED + "a_stream_does_not_go_on_after_an_event_without_an_id",),
    ),
    Weakness(
        "streams are placed beside their moves",
        (Edit("attempts", "if self.mover.is_moving(relay):", "if False:"),),
        (SILENT_PATHS + "a_stream_that_leaves_its_path_while_it_is_moved",),
    ),
    Weakness(
        "incomplete events are relayed",
        (
            Edit(
                "attempts", "data = relay.events.feed(data)", "relay.events.feed(data)"
            ),
        ),
        (STREAMS + "a_stream_is_resumed_elsewhere_after_the_last_complete_event",),
    ),
    Weakness(
        "streams may end inside an event",
        (Edit("attempts", "if relay.has_partial_event:", "if False:"),),
        (BROKEN + "a_stream_that_ends_inside_an_event_never_looks_complete",),
    ),
    Weakness(
        "streams go on at any version",
        (
            Edit(
                "resumptions",
                "return relay.pool.list_other_versions(origin.version)",
                "return frozenset()",
            ),
        ),
        (ONE_ANSWER + "a_stream_goes_on_at_its_version_within_one_answer",),
    ),
    Weakness(
        "stale keys are accepted",
        (
            Edit(
                "pool_admission/request_path",
                "if not route.open and not self._keys_are_fresh():",
                "if False:",
            ),
        ),
        ("tests.test_gateway.TestRefusals.test_stale_keys_are_refused",),
    ),
    Weakness(
        "a leaving upstream gets work",
        (
            Edit(
                "balancing",
                "if not upstream_state.registration.leaving and name not in excluded",
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
                "if current is not None and current.revision >= item.revision:",
                "if False:",
            ),
            Edit("mirrors", CROSSED, ""),
        ),
        (MIRROR + "older_change_never_replaces_a_newer_one",),
    ),
    Weakness(
        "a reply older than applied news is applied",
        (Edit("mirrors", CROSSED, ""),),
        (NEWS + "late_reply_restores_no_deleted_item",),
    ),
    Weakness(
        "the age of news counts from the reply",
        (Edit("mirrors", "queried_at - news.age", "now - news.age"),),
        (NEWS + "age_counts_from_the_call_that_proved_it",),
    ),
    Weakness(
        "every reply counts as fresh",
        (
            Edit(
                "leader_queries",
                "self.fresh = age <= self._max_age",
                "self.fresh = True",
            ),
        ),
        (LEADER_QUERIES + "reply_of_a_leader_without_the_store_is_not_fresh",),
    ),
    Weakness(
        "all followers watch after their leader lost the store",
        (
            Edit(
                "report_exchange",
                "= informed or (fallback_informed and not unreachable)",
                "= informed",
            ),
        ),
        (WATCHERS + "few_followers_watch_after_their_leader_lost_the_store",),
    ),
    Weakness(
        "an instance without the store returns borrowed state as fresh",
        (
            Edit(
                "report_exchange",
                "self._shares_store_state = informed or not unreachable",
                "pass",
            ),
        ),
        (WATCHERS + "borrowed_store_state_is_not_returned_as_fresh",),
    ),
    Weakness(
        "every leader watches the store whatever the bound",
        (
            Edit(
                "report_exchange",
                "if self._max_age <= ALL_LEADERS_WATCH_AGE:",
                "if True:",
            ),
        ),
        (WATCHERS + "two_instances_watch_for_a_large_fleet",),
    ),
    Weakness(
        "a reply to any query is taken as the pending one's",
        (Edit("leader_queries", "or self._pending.number != number", ""),),
        (LEADER_QUERIES + "reply_to_an_older_query_is_ignored",),
    ),
    Weakness(
        "returned totals count again with each claim",
        (Edit("credit", "= entry.returned - before", "= entry.returned"),),
        (CREDIT + "lost_duplicated_or_late_messages_create_no_credit",),
    ),
    Weakness(
        "granted totals count again with each grant",
        (
            Edit(
                "credit",
                "granted[name] = total - self.granted.get(name, 0)",
                "granted[name] = total",
            ),
        ),
        (CREDIT + "granted_totals_count_once",),
    ),
    Weakness(
        "a restarted parent counts old credit as new",
        (
            Edit("allowances", "claim.parent not in (0, self._incarnation)", "False"),
            Edit(
                "allowances",
                "            if claim.parent:\n",
                "            if False:\n",
            ),
        ),
        (CREDIT + "restarted_parent_counts_no_credit_twice",),
    ),
    Weakness(
        "a forgotten child brings back old credit",
        (
            Edit(
                "allowances",
                "            if claim.parent:\n",
                "            if False:\n",
            ),
        ),
        (CREDIT + "forgotten_child_brings_back_no_old_credit",),
    ),
    Weakness(
        "an instance without a parent keeps the whole burst",
        (
            Edit(
                "allowances", "            if parentless:\n", "            if False:\n"
            ),
        ),
        (
            PARTITIONS + "cut_off_instances_share_one_burst",
            PARTITIONS + "cut_off_parent_drops_the_credit_of_others",
        ),
    ),
    Weakness(
        "a starting instance accrues the whole rate",
        (
            Edit("allowances", "self._instance_count = 0", "self._instance_count = 1"),
            Edit(
                "allowances",
                "self._advanced_at = started_at",
                "self._advanced_at = started_at or 0.0",
            ),
        ),
        (
            "tests.test_allowances.TestOneInstance"
            ".test_no_credit_accrues_before_the_instance_count_is_known",
        ),
    ),
    Weakness(
        "one side of a partition spends the whole rate",
        (Edit("allowances", "elapsed / self._instance_count", "elapsed"),),
        (
            PARTITIONS + "instance_without_parent_spends_only_its_share",
            MODEL + "bound_holds_at_any_size_while_a_third_is_cut_off",
        ),
    ),
    Weakness(
        "credit in transit counts towards the burst",
        (Edit("allowances", "IN_TRANSIT_SECONDS if self._children else 0.0", "0.0"),),
        (
            "tests.test_allowances_model.TestServedLoad"
            ".test_requests_nearly_as_large_as_the_burst_are_served",
        ),
    ),
    Weakness(
        "a request is refunded however late",
        (Edit("allowances", " and seconds_ago <= REFUND_WINDOW", ""),),
        ("tests.test_allowances.TestOneInstance.test_late_refund_is_ignored",),
    ),
    Weakness(
        "an answer is taken although its asker went on alone",
        (
            Edit(
                "placement_exchange",
                "item = self._pending.pop(answer.number, None)",
                "item = self._pending.get(answer.number)",
            ),
            Edit("placement_exchange", "        del self._pending[number]\n", ""),
        ),
        (PLACING + "each_request_is_sent_once",),
    ),
    Weakness(
        "what is placed stays placed",
        (Edit("upstream_states", "if now >= sent.assumed_ended_at:", "if False:"),),
        (PLACING + "placed_requests_without_reports_expire",),
    ),
    Weakness(
        "a placer's word goes before one's own knowledge",
        (
            Edit(
                "placement_exchange",
                "if upstream_state is None or upstream_state.registration.leaving:",
                "if upstream_state is None:",
            ),
        ),
        (PLACING + "a_leaving_upstream_known_to_the_asker_gets_no_requests",),
    ),
    Weakness(
        "all are let in",
        (
            Edit(
                "balancing",
                "return estimate.queued_tokens / self.rate * estimate.pace > limit",
                "return False",
            ),
        ),
        (OUTDATED_LOADS + "an_overloaded_pool_still_serves_what_it_can",),
    ),
    Weakness(
        "who hears nothing goes on to try a version",
        (
            Edit(
                "rollouts",
                "up_to_date = now - self.updated_at <= MAX_DECISION_AGE",
                "up_to_date = True",
            ),
        ),
        (
            ROLLOUTS + "TestExcludedUpstreams"
            ".test_an_instance_with_outdated_decisions_sends_no_trial_requests",
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
        "a returning leader adds old work",
        (
            Edit(
                "instance_reports",
                "fraction = REPORT_TIMEOUT / max(REPORT_TIMEOUT, gap)",
                "fraction = 1.0",
            ),
        ),
        (REPORT_SUMS + "returning_leader_adds_no_old_work",),
    ),
    Weakness(
        "a late report is ignored",
        (
            Edit(
                "instance_reports",
                "fraction = REPORT_TIMEOUT / max(REPORT_TIMEOUT, gap)",
                "fraction = float(gap <= REPORT_TIMEOUT)",
            ),
        ),
        (REPORT_SUMS + "work_of_a_late_report_counts",),
    ),
    Weakness(
        "a restarted upstream is taken as the previous process",
        (
            Edit(
                "registrations",
                "if known is None or get_process(known) == get_process(registration):",
                "if True:",
            ),
        ),
        (
            "tests.test_gateway.TestUpstreamChanges"
            ".test_a_restarted_upstream_gets_new_connections_and_new_state",
        ),
    ),
    Weakness(
        "repeated placements never expire",
        (
            Edit(
                "instance_reports",
                "self._until.setdefault(cached_prompt, now + PROMPT_REPORT_SECONDS)",
                "self._until[cached_prompt] = now + PROMPT_REPORT_SECONDS",
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
            "tests.test_outdated_loads.TestOutdatedLoads"
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
        "the age of knowledge counts from the reply",
        (Edit("mirrors", CHANGED, CHANGED.replace("sent_at", "now")),),
        (MIRROR + "age_counts_from_the_sending_of_the_call",),
    ),
    Weakness(
        "a holder acts after its lease may have lapsed",
        (Edit("duty_leases", RELIES, "self._act_from <= now"),),
        (DUTY_LEASE + "no_fencing_number_under_a_possibly_lapsed_lease",),
    ),
    Weakness(
        "a returning holder acts at once",
        (Edit("duty_leases", BACK, "if False:"),),
        (DUTY_LEASE + "returning_holder_waits_a_lease_after_its_last_act",),
    ),
    Weakness(
        "revisions are the store's numbers alone",
        (
            Edit(
                "store_epochs", "return epoch << NUMBER_BITS | number", "return number"
            ),
        ),
        (
            RESTORED + "a_change_with_a_lower_number_is_taken",
            RESTORED_NEWS + "a_follower_that_knew_more_learns_of_later_changes",
            "tests.test_duty_drills.TestDrills.test_the_duty_is_held_in_each_run",
        ),
    ),
    Weakness(
        "only a 410 shows that the store returned",
        (
            Edit(
                "mirrors",
                "if get_epoch(self._watched_revision) != get_epoch(changes.revision):",
                "if False:",
            ),
        ),
        (
            RESTORED + "a_watch_that_no_410_answers_lists_the_store",
            RESTORED + "a_watch_from_before_skips_nothing_after_news_of_the_return",
        ),
    ),
    Weakness(
        "news of an earlier epoch are applied",
        (
            Edit(
                "mirrors", "return get_epoch(revision) < self._store_epoch", "return 0"
            ),
        ),
        (
            RESTORED_NEWS + "news_of_a_leader_that_is_cut_off_do_not_replace_the_list",
            RESTORED + "a_list_from_before_the_return_changes_nothing",
        ),
    ),
    Weakness(
        "what the store took back is put in force",
        (Edit("items_in_force", "        if hold:", "        if False:"),),
        (
            RESTORED + "a_confirmed_change_is_held_until_it_is_written_again",
            RESTORED + "a_deleted_item_that_returns_stays_deleted_for_its_time",
        ),
    ),
    Weakness(
        "an epoch's items are passed on in part",
        (
            Edit(
                "mirrors",
                "if get_epoch(self.revision) != self._carried_epoch:",
                "if False:",
            ),
        ),
        (RESTORED_NEWS + "a_part_of_the_new_epoch_is_not_passed_on",),
    ),
    Weakness(
        "a lease of before the return is relied on",
        (
            Edit(
                "duty_leases",
                "self._lease_confirmed = self.lease is None",
                "self._lease_confirmed = True",
            ),
        ),
        (NEW_EPOCH + "a_lease_whose_number_may_be_another_instance_s_is_given_up",),
    ),
    Weakness(
        "a lost claim is not left to its holder",
        (Edit("duty_leases", "now + self._ttl * TRUST_FRACTION", "now"),),
        (NEW_EPOCH + "a_lost_claim_is_left_to_its_holder_while_that_may_rely_on_it",),
    ),
    Weakness(
        "lapsed registrations are dropped at once",
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
            SIZING + "a_second_notice_orders_enough_on_demand_upstreams",
            SIZING + "a_refused_order_counts_as_scarcity",
        ),
    ),
    Weakness(
        "a log's reader is waited for",
        (Edit("logs", "_RateLimit.dropped += 1\n            return\n", "pass\n"),),
        ("tests.test_logs.TestLimits.test_a_stalled_reader_does_not_block_the_writer",),
    ),
)


def main():
    """Print the failures of all weaknesses of the gateway."""
    for weakness in GATEWAY_WEAKNESSES:
        show(weakness, live=False)


if __name__ == "__main__":
    main()
