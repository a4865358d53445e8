"""Selection of the causes of crashes among all that was in flight there."""

import unittest
from types import SimpleNamespace

from chervilwing.crash_causes import (
    ESTIMATE_FACTOR,
    LONG_RUN,
    MIN_COUNT,
    OFTEN,
    PartStatistics,
    Suspect,
    list_long_run,
    list_part_suspects,
    select_causes,
)
from chervilwing.crash_records import (
    ANY,
    CRASH_LIMIT,
    EXEMPT_FOR,
    CrashRecords,
    CrashReport,
    Suspicion,
)
from chervilwing.demands import Demand, PromptPart
from chervilwing.exceptions import Scope
from chervilwing.stored_crashes import CRASHES, decode_crash

SHARED, CAUSE = "a" * 16, "b" * 16


def select(crashes, answered=(), statistics=None):
    """Return the causes of crashes that are given as texts of their names."""
    statistics = statistics or PartStatistics()
    sets = {name: set(found) for name, found in crashes.items()}
    return select_causes(sets, answered.__contains__, statistics.is_unlikely)


class TestCauses(unittest.TestCase):
    def test_what_was_only_beside_the_cause_is_no_cause(self):
        # Guards against bars on sound parts in flight at some of the crashes.
        self.assertEqual(select({"bad": "1234", "sound": "123"}), {"bad"})

    def test_each_of_two_causes_is_selected(self):
        # Guards against one cause that hides another one behind common crashes.
        self.assertEqual(select({"bad": "1234", "worse": "2356"}), {"bad", "worse"})

    def test_a_part_that_was_answered_before_is_no_cause_beside_one_that_was_not(self):
        # Guards against bars on popular parts, which are in flight at every crash.
        causes = select({"bad": "123", "popular": "01234"}, answered=("popular",))
        self.assertEqual(causes, {"bad"})

    def test_a_part_that_was_answered_before_may_crash_upstreams_later(self):
        # Guards against a part that is exempt forever, as for another version.
        self.assertEqual(select({"part": "123"}, answered=("part",)), {"part"})

    def test_equal_evidence_selects_both(self):
        # Guards against a cause that goes on while its neighbour is barred.
        self.assertEqual(select({"bad": "123", "sound": "123"}), {"bad", "sound"})

    def test_equal_evidence_explains_only_what_all_of_them_explain(self):
        # Guards against sound parts that together explain the crashes of the cause.
        causes = select({"sound": "1234", "rare": "2345", "bad": "156"})
        self.assertIn("bad", causes)

    def test_a_part_that_ran_for_long_is_no_cause_beside_one_that_did_not(self):
        # Guards against bars on parts that nobody has answered yet when all crash.
        estimate = SimpleNamespace(seconds=0.5)
        suspects = [Suspect(name, Scope("part", name)) for name in ("own", SHARED)]
        relay = SimpleNamespace(sent_at=0.0, estimate=estimate, suspects=suspects)
        long_run = LONG_RUN + ESTIMATE_FACTOR * estimate.seconds
        self.assertEqual(list_long_run([relay], long_run - 0.1), set())
        self.assertEqual(list_long_run([relay], long_run), {SHARED})
        records = CrashRecords("one")
        records.record_survived(SHARED, 0.0)
        for number in range(CRASH_LIMIT):
            for part in (SHARED, CAUSE):
                records.prove(Suspicion(part, f"u{number}"), 0.0)
        self.assertFalse(records.is_barred(SHARED, 0.0))
        self.assertTrue(records.is_barred(CAUSE, 0.0))

    def test_a_part_that_all_crashing_requests_share_with_sound_ones_is_no_cause(self):
        # Guards against a bar on a shared first part, which nobody could lift, since
        # none of its sound requests would be answered.
        statistics = PartStatistics()
        for number in range(MIN_COUNT):
            statistics.add(["first", "bad", f"document{number}"])
        statistics.add(["first", "document"])
        causes = select({"first": "123", "bad": "123"}, statistics=statistics)
        self.assertEqual(causes, {"bad"})

    def test_a_part_that_comes_seldom_is_no_cause_beside_one_that_comes_often(self):
        # Guards against bars on rare parts that were at every crash by chance.
        statistics = PartStatistics()
        for number in range(MIN_COUNT * OFTEN):
            statistics.add(["bad", f"document{number}"])
            if number < MIN_COUNT:
                statistics.add(["rare", f"document{number}"])
        causes = select({"rare": "123", "bad": "123"}, statistics=statistics)
        self.assertEqual(causes, {"bad"})

    def test_the_last_part_of_a_prompt_is_no_suspect(self):
        # Guards against entries for each request's own part.
        parts = (PromptPart("a", 1), PromptPart("b", 1), PromptPart("a", 1))
        parts += (PromptPart("own", 1),)
        suspects = list_part_suspects(Demand("r", 0.0, parts=parts))
        self.assertEqual([item.scope.name for item in suspects], ["a", "b"])


class TestAnswersElsewhere(unittest.TestCase):
    def test_an_old_answer_of_another_instance_makes_a_part_no_likely_cause(self):
        # Guards against instances that bar what only others have seen answered.
        records, other = CrashRecords("one"), CrashRecords("two")
        sound, bad = "a" * 16, "b" * 16
        other.clear(sound, 0.0)
        for number in range(CRASH_LIMIT):
            for part in (sound, bad):
                report = CrashReport(part, f"u{number}", 0.0)
                records.apply_reports(report, 100.0)
                other.apply_reports(report, 100.0)
        self.assertTrue(records.is_barred(sound, 100.0))
        reports = [item for item in other.list_reports(100.0) if item.upstream == ANY]
        for report in reports:
            records.apply_reports(report, 100.0)
        self.assertFalse(records.is_barred(sound, 100.0))
        self.assertTrue(records.is_barred(bad, 100.0))

    def test_instances_do_not_prolong_an_exemption_for_each_other(self):
        # Guards against a part that is never barred after one answer, as each instance
        # takes the withdrawal of another one for a new answer.
        records, other = CrashRecords("one"), CrashRecords("two")
        part, now = "a" * 16, 0.0
        records.clear(part, now)
        for number in range(CRASH_LIMIT + 2):
            now += EXEMPT_FOR * 0.9
            other.prove(Suspicion(part, f"u{number}"), now)
            for _ in range(2):
                for report in other.list_reports(now):
                    records.apply_reports(report, now)
                for report in records.list_reports(now):
                    other.apply_reports(report, now)
        self.assertTrue(records.is_barred(part, now))
        self.assertTrue(other.is_barred(part, now))


class TestNotes(unittest.TestCase):
    def start_later(self, writer):
        """Return the records of an instance that starts with a writer's notes."""
        records = CrashRecords("two")
        for key in writer.due_notes.pop_write(0.0).keys:
            records.apply_stored(key, decode_crash(key, b""), 1, 0.0)
        for number in range(CRASH_LIMIT):
            for part in (SHARED, CAUSE):
                records.prove(Suspicion(part, f"u{number}"), 0.0)
        return records

    def suspect(self):
        """Return the records of an instance that suspects two parts equally."""
        records = CrashRecords("one")
        for number in range(CRASH_LIMIT):
            for part in (SHARED, CAUSE):
                records.prove(Suspicion(part, f"u{number}"), 0.0)
        return records

    def test_an_instance_that_starts_later_knows_what_all_requests_shared(self):
        # Guards against a bar on a first part after all that knew that the other part
        # never came without it have ended.
        writer = self.suspect()
        for _ in range(MIN_COUNT):
            writer.part_statistics.add([SHARED, CAUSE])
        records = self.start_later(writer)
        self.assertTrue(records.is_barred(SHARED, 0.0))
        records.part_statistics.add([SHARED])
        self.assertFalse(records.is_barred(SHARED, 0.0))
        self.assertTrue(records.is_barred(CAUSE, 0.0))

    def test_an_instance_that_starts_later_knows_what_was_answered(self):
        # Guards against a bar on a popular part after a restart of all instances.
        writer = self.suspect()
        writer.apply_reports(CrashReport(SHARED, ANY, EXEMPT_FOR), 0.0)
        records = self.start_later(writer)
        self.assertFalse(records.is_barred(SHARED, 0.0))
        self.assertTrue(records.is_barred(CAUSE, 0.0))

    def test_a_note_is_a_crash_of_nobody_to_an_older_instance(self):
        # Guards against items that an older instance takes for evidence.
        key = f"{CRASHES}~{SHARED}~{CAUSE}/one"
        self.assertEqual(decode_crash(key, b"").fingerprints, ())
