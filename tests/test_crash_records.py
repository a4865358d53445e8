"""Records of requests that crash upstreams: counting, reports and storage."""

import unittest

from chervilwing.crash_causes import Suspect
from chervilwing.crash_records import (
    ANY,
    CRASH_LIMIT,
    EXEMPT_FOR,
    MAX_ANSWERED,
    MAX_REPORTS,
    MAX_REQUESTS,
    REPORT_DELAY,
    REPORT_FOR,
    SUSPECTED_FOR,
    CrashRecords,
    CrashReport,
    Suspicion,
)
from chervilwing.exceptions import BadConfiguration, RequestBarred, Scope
from chervilwing.stored_crashes import (
    COLLECT_FOR,
    COLLECT_REPEATED_FOR,
    CRASHES,
    KEEP_DUE_FOR,
    MAX_FINGERPRINTS,
    MAX_STORED,
    REWRITE_AFTER,
    REWRITE_BY_PEERS_AFTER,
    StoredCrash,
    decode_crash,
    encode_crash,
    make_key,
)

FINGERPRINT, OTHER = "0123456789abcdef", "f" * 16
REQUEST = (Suspect("f", Scope("request", "f")),)


class RecordsCase(unittest.TestCase):
    def setUp(self):
        self.records = CrashRecords("one")

    def prove(self, fingerprint, *upstreams, now=0.0):
        """Record crashes of upstreams while they ran a request."""
        for upstream in upstreams:
            self.records.prove(Suspicion(fingerprint, upstream), now)


class TestCounting(RecordsCase):
    def test_a_request_is_barred_after_three_crashes_for_a_known_time(self):
        self.prove("f", "u1", "u2")
        self.assertFalse(self.records.is_barred("f", 0.0))
        self.prove("f", "u3", now=10.0)
        with self.assertRaises(RequestBarred) as caught:
            self.records.raise_if_barred(REQUEST, 20.0)
        self.assertEqual(caught.exception.retry_after, SUSPECTED_FOR - 10.0)
        self.assertEqual(caught.exception.scope.name, "f")
        self.assertFalse(self.records.is_barred("f", 10.0 + SUSPECTED_FOR))

    def test_a_newly_barred_request_may_be_retried_soon(self):
        # Another instance may have seen an answer, and its report may be in transit.
        self.prove("f", "u1", "u2", "u3")
        with self.assertRaises(RequestBarred) as caught:
            self.records.raise_if_barred(REQUEST, 1.0)
        self.assertEqual(caught.exception.retry_after, REPORT_DELAY)

    def test_a_crash_counts_once_however_often_it_is_reported(self):
        # Several instances had copies of the request in flight at the upstream.
        self.prove("f", "u1", "u1")
        self.records.apply_reports(CrashReport("f", "u1", 0.0), 0.0)
        self.records.apply_stored("k", StoredCrash("u1", ("f",)), 1, 0.0)
        self.assertEqual(self.records.count("f", 0.0), 1)

    def test_a_broken_connection_counts_until_the_upstream_answers(self):
        # A link resets connections, but the upstreams behind it are running.
        for name in ("u1", "u2", "u3"):
            self.records.assume(Suspicion("f", name), 0.0)
        self.assertTrue(self.records.is_barred("f", 0.0))
        for name in ("u1", "u2", "u3"):
            self.records.dismiss(Suspicion("f", name))
        self.assertEqual(self.records.count("f", 0.0), 0)
        self.assertEqual(self.records.list_reports(0.0), [])

    def test_the_order_of_reports_does_not_matter(self):
        other = CrashRecords("one")
        reports = [CrashReport("f", name, 0.0) for name in ("u1", "u2", "u3", "u2")]
        for item in reports:
            self.records.apply_reports(item, 0.0)
        for item in reversed(reports):
            other.apply_reports(item, 0.0)
        self.assertEqual(self.records.count("f", 1.0), other.count("f", 1.0))


class TestClearing(RecordsCase):
    def test_an_answered_request_is_cleared_despite_old_reports(self):
        # Other requests crashed the upstreams that it was running on. Late reports of
        # these crashes must not bar it again.
        self.prove("f", "u1", "u2", "u3")
        self.records.clear("f", 1.0)
        for name in ("u1", "u2", "u3"):
            self.records.apply_reports(CrashReport("f", name, 0.0), 2.0)
        self.assertEqual(self.records.count("f", 2.0), 0)

    def test_other_instances_clear_a_request_that_was_answered(self):
        self.prove("f", "u1", "u2", "u3")
        other = CrashRecords("one")
        for item in self.records.list_reports(0.0):
            other.apply_reports(item, 0.0)
        self.records.clear("f", 1.0)
        self.assertTrue(other.is_barred("f", 1.0))
        for item in self.records.list_reports(1.0):
            other.apply_reports(item, 1.0)
        self.assertEqual(other.count("f", 1.0), 0)

    def test_a_popular_request_that_gets_answers_is_not_barred(self):
        # Requests for a popular document run at every upstream at any time, so each
        # crash makes them suspected.
        for number in range(CRASH_LIMIT * 2):
            self.records.clear("f", float(number))
            self.prove("f", f"u{number}", now=number + 0.5)
        self.assertFalse(self.records.is_barred("f", 6.0))

    def test_a_request_that_was_answered_long_ago_is_suspected_again(self):
        # It may crash upstreams since a new version of them runs.
        self.records.clear("f", 0.0)
        self.prove("f", "u1", "u2", "u3", now=EXEMPT_FOR)
        self.assertTrue(self.records.is_barred("f", EXEMPT_FOR))


class TestRunningUpstreams(RecordsCase):
    def test_an_answer_withdraws_no_crash_that_followed_it(self):
        # Guards against a real crash that is forgotten with a wrongly reported one of
        # the same upstream before it.
        self.prove("g", "u1", now=0.0)
        self.prove("f", "u1", now=2.0)
        self.records.record_alive("u1", 1.0, 2.1)
        self.assertEqual(self.records.count("f", 2.1), 1)
        self.assertEqual(self.records.count("g", 2.1), 0)

    def test_an_upstream_that_answers_another_instance_has_not_crashed(self):
        # While a data centre is cut off, connections to and from it are reset and
        # refused, so that its instances suspect all upstreams elsewhere of a crash.
        self.prove("f", "u1", "u2", "u3")
        other = CrashRecords("two")
        for item in self.records.list_reports(0.0):
            other.apply_reports(item, 0.0)
        for name in ("u1", "u2", "u3"):
            other.record_alive(name, 1.5, 1.6)
        self.assertEqual(other.count("f", 2.0), 0)
        for item in other.list_reports(2.0):
            self.records.apply_reports(item, 2.0)
        self.assertEqual(self.records.count("f", 2.0), 0)

    def test_an_answer_to_a_call_sent_before_the_crash_does_not_count(self):
        self.records.apply_reports(CrashReport("f", "u1", 0.0), 5.0)
        self.records.record_alive("u1", 4.9, 5.1)
        self.assertEqual(self.records.count("f", 5.1), 1)

    def test_a_crash_after_an_answer_counts(self):
        self.records.apply_reports(CrashReport("f", "u1", 0.0), 0.0)
        self.records.record_alive("u1", 0.5, 0.6)
        self.prove("f", "u1", now=9.0)
        self.assertEqual(self.records.count("f", 9.0), 1)

    def test_an_old_report_of_an_answer_does_not_withdraw_a_later_crash(self):
        # A report of an answer is passed on for some seconds. If it withdrew crashes
        # that followed the answer, all instances would miss them for that time.
        self.records.apply_reports(CrashReport("f", "u1", 0.0), 0.0)
        self.records.record_alive("u1", 0.5, 0.6)
        self.prove("f", "u1", now=2.0)
        self.records.apply_reports(CrashReport(ANY, "u1", 2.0), 2.5)
        self.assertEqual(self.records.count("f", 2.5), 1)
        # A withdrawn crash doesn't count again because of a later one.
        other = CrashRecords("two")
        other.apply_reports(CrashReport("f", "u2", 0.0), 0.0)
        other.record_alive("u2", 1.0, 1.1)
        other.apply_reports(CrashReport("g", "u2", 2.0), 2.0)
        self.assertEqual(other.count("g", 2.0), 0)

    def test_a_withdrawn_crash_is_deleted_from_the_store(self):
        crash = StoredCrash("u1", (FINGERPRINT,))
        self.records.apply_stored("k/two", crash, 7, 0.0)
        self.records.record_alive("u1", 0.5, 0.6)
        write = self.records.stored.pop_write(0.6 + REWRITE_BY_PEERS_AFTER)
        self.assertEqual((write.crash.fingerprints, write.revision), ((), 7))


class TestReporting(RecordsCase):
    def test_a_received_report_is_passed_on_for_a_while(self):
        self.records.apply_reports(CrashReport("f", "u1", 0.0), 0.0)
        self.assertEqual(self.records.list_reports(1.0), [CrashReport("f", "u1", 1.0)])
        self.records.apply_reports(CrashReport("f", "u1", 0.0), REPORT_FOR)
        self.assertEqual(self.records.list_reports(REPORT_FOR), [])

    def test_the_most_suspected_requests_are_reported_first(self):
        # When a rack of upstreams crashes at once, not all reports fit into a datagram.
        self.prove("f", "u1", "u2")
        for number in range(MAX_REPORTS * 2):
            self.prove(f"g{number}", "u3")
        reported = self.records.list_reports(0.0)
        self.assertEqual(len(reported), MAX_REPORTS)
        self.assertEqual({item.upstream for item in reported[:2]}, {"u1", "u2"})


class TestStoring(RecordsCase):
    def store(self, *upstreams, now=0.0):
        """Apply stored crashes of upstreams, with the request suspected of them."""
        for name in upstreams:
            crash = StoredCrash(name, (FINGERPRINT,))
            self.records.apply_stored(f"k/{name}", crash, 1, now)

    def pop(self, now):
        """Return the crash that is due to be written, or None."""
        write = self.records.stored.pop_write(now)
        return write and write.crash

    def test_a_crash_is_written_once_with_all_suspicions_of_the_group(self):
        self.prove("f", "u1")
        # Another instance of the group reports a moment later. So does an instance of
        # another group, whose own leader writes that suspicion.
        self.records.apply_reports(CrashReport("g", "u1", 0.0), 0.2, from_group=True)
        self.records.apply_reports(CrashReport("h", "u1", 0.0), 0.2)
        self.assertIsNone(self.pop(0.3))
        crash = self.pop(COLLECT_FOR)
        self.assertEqual(crash, StoredCrash("u1", ("f", "g")))
        self.assertIsNone(self.pop(10.0))

    def test_a_second_crash_and_the_first_one_are_written_soon(self):
        # All instances may restart before a caller sends the request a third time.
        self.prove("f", "u1")
        self.records.apply_reports(CrashReport("f", "u2", 0.0), 1.0)
        self.assertIsNone(self.pop(1.0))
        crash = self.pop(1.0 + COLLECT_REPEATED_FOR)
        self.assertEqual(crash, StoredCrash("u1", ("f",)))

    def test_a_request_answered_before_the_write_is_not_written(self):
        self.prove("f", "u1")
        self.records.clear("f", 0.2)
        self.assertIsNone(self.pop(COLLECT_FOR))

    def write(self, records, now, revision):
        """Execute the due write; return the key, crash and revision then stored."""
        key, crash, _ = records.stored.pop_write(now)
        data = encode_crash(crash)
        crash = decode_crash(key, data) if data else None
        records.apply_stored(key, crash, revision, now)
        return key, crash, revision

    def test_a_request_cleared_later_is_removed_from_the_store(self):
        # Otherwise instances that start later would refuse it and could never clear it.
        self.prove(FINGERPRINT, "u1")
        self.prove(OTHER, "u1")
        other = CrashRecords("two")
        other.apply_stored(*self.write(self.records, COLLECT_FOR, 7), 3.0)
        self.records.clear(FINGERPRINT, 3.0)
        self.assertIsNone(self.pop(3.0))
        _, crash, _ = self.write(self.records, 3.0 + REWRITE_AFTER, 8)
        self.assertEqual(crash, StoredCrash("u1", (OTHER,)))
        self.records.clear(OTHER, 10.0)
        stored = self.write(self.records, 10.0 + REWRITE_AFTER, 9)
        self.assertIsNone(stored[1])
        other.apply_stored(*stored, 12.0)
        counts = other.count(FINGERPRINT, 12.0), other.count(OTHER, 12.0)
        self.assertEqual(counts, (0, 0))

    def test_a_cleared_request_is_removed_by_peers_if_its_writer_is_gone(self):
        self.prove(FINGERPRINT, "u1")
        other = CrashRecords("two")
        other.apply_stored(*self.write(self.records, COLLECT_FOR, 7), 3.0)
        other.clear(FINGERPRINT, 3.0)
        self.assertIsNone(other.stored.pop_write(3.0 + REWRITE_AFTER))
        write = other.stored.pop_write(3.0 + REWRITE_BY_PEERS_AFTER)
        # The write succeeds only if the key hasn't been written since.
        self.assertEqual((write.crash.fingerprints, write.revision), ((), 7))

    def test_the_notification_of_an_older_write_undoes_nothing(self):
        # A crash is written twice before the watch delivers the first write.
        self.prove(FINGERPRINT, "u1")
        first = self.records.stored.pop_write(COLLECT_FOR)
        self.prove(OTHER, "u1", now=3.0)
        second = self.records.stored.pop_write(3.0 + COLLECT_FOR)
        self.assertEqual(second.crash.fingerprints, (FINGERPRINT, OTHER))
        self.records.apply_stored(first.key, first.crash, 7, 6.0)
        self.assertEqual(self.records.count(OTHER, 6.0), 1)

    def test_the_most_suspected_requests_are_written_if_not_all_fit(self):
        self.prove("f", "u1", "u2")
        for number in range(MAX_FINGERPRINTS * 2):
            self.prove(f"g{number}", "u2")
        self.assertEqual(self.pop(COLLECT_FOR).upstream, "u1")
        crash = self.pop(COLLECT_FOR)
        self.assertEqual(crash.fingerprints[0], "f")
        self.assertEqual(len(crash.fingerprints), MAX_FINGERPRINTS)

    def test_a_failed_write_is_repeated(self):
        self.prove("f", "u1")
        write = self.records.stored.pop_write(COLLECT_FOR)
        self.records.stored.requeue_write(write, 3.0)
        self.assertEqual(self.pop(3.0), write.crash)

    def test_a_new_leader_writes_only_recent_crashes(self):
        self.prove("f", "u1")
        self.records.stored.drop_writes(COLLECT_FOR + KEEP_DUE_FOR - 0.1)
        self.prove("f", "u2", now=10.0)
        self.records.stored.drop_writes(10.0)
        crash = self.pop(10.0 + COLLECT_FOR)
        self.assertEqual(crash.upstream, "u2")

    def test_a_starting_instance_applies_the_stored_crashes(self):
        self.store("u1", "u2", "u3")
        self.assertTrue(self.records.is_barred(FINGERPRINT, 0.0))

    def test_deleting_a_stored_crash_lets_its_request_pass(self):
        self.store("u1", "u2", "u3")
        self.records.apply_stored("k/u1", None, 2, 1.0)
        self.assertFalse(self.records.is_barred(FINGERPRINT, 1.0))
        # Deleting an unknown crash has no effect.
        self.records.apply_stored("k/u9", None, 2, 1.0)

    def test_a_crash_is_decoded_from_its_key_and_value(self):
        crash = StoredCrash("i-1/a", (FINGERPRINT, OTHER))
        key = make_key(crash.upstream, "one")
        self.assertEqual(decode_crash(key, encode_crash(crash)), crash)
        for key, data in ((f"{CRASHES}u1", b""), (f"{CRASHES}u1/one", b"abc")):
            with self.assertRaises(BadConfiguration):
                decode_crash(key, data)


class TestBounds(RecordsCase):
    def test_memory_is_bounded_and_repeated_requests_are_kept(self):
        # Upstreams keep crashing while they run requests that are never repeated.
        self.prove("f", "u1", "u2", "u3")
        for number in range(MAX_REQUESTS * 2):
            self.prove(f"g{number}", "u4")
            self.records.clear(f"h{number}", 0.0)
            if number % 1000 == 0:
                with self.assertRaises(RequestBarred):
                    self.records.raise_if_barred(REQUEST, 0.0)
        suspected, barred = self.records.count_suspected(0.0)
        self.assertEqual((suspected, barred), (MAX_REQUESTS, 1))
        self.assertEqual(len(self.records._answered), MAX_ANSWERED)
        self.records.stored.drop_writes(100.0)
        self.assertEqual(len(self.records.stored._unsaved), 0)

    def test_the_number_of_stored_crashes_is_limited(self):
        for number in range(MAX_STORED):
            crash = StoredCrash(f"u{number}", (FINGERPRINT,))
            self.records.apply_stored(f"k{number}", crash, 1, 0.0)
        self.prove("f", "u")
        self.assertIsNone(self.records.stored.pop_write(COLLECT_FOR))

    def test_reports_of_many_requests_expire(self):
        for number in range(MAX_REQUESTS):
            self.records.apply_reports(CrashReport(f"g{number}", "u1", 0.0), 0.0)
            self.records.apply_reports(CrashReport(f"g{number}", ANY, 0.0), 0.0)
        self.records.list_reports(REPORT_FOR)
        self.assertEqual(self.records._reports, {})
