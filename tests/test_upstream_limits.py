"""Limits read from upstreams' answers, and which of several reports is current."""

import unittest
from math import inf

from chervilwing.allowances import Allowances
from chervilwing.platform.headers import DIALECT
from chervilwing.upstream_limits import (
    EXPIRE_INTERVAL,
    KEEP_ENDED_FOR,
    KEEP_UNREGISTERED_FOR,
    MIN_RATE,
    REQUEST_COST,
    UpstreamLimits,
)

SIGNED = {"x-server-stamp": "s"}
UPSTREAM_STATES = {"u0": None, "u1": None}
NAMES = UPSTREAM_STATES.keys()


def make_limits():
    """Return the UpstreamLimits of a single instance."""
    allowances = Allowances()
    allowances.set_instance_count(1, 0.0)
    return UpstreamLimits(allowances)


class TestCurrentLimit(unittest.TestCase):
    def setUp(self):
        self.limits = make_limits()
        self.limits.record_answer("u0", 2.0, 9.0, 10.0)

    def test_an_older_answer_without_a_limit_does_not_end_it(self):
        # The request was sent before the limit was stated.
        self.limits.record_answer("u0", inf, 9.9, 10.1)
        self.assertTrue(self.limits.is_limited("u0"))

    def test_an_answer_to_a_later_request_ends_it(self):
        self.limits.record_answer("u0", inf, 10.2, 10.3)
        self.assertFalse(self.limits.is_limited("u0"))
        self.assertEqual(self.limits.list_exhausted(UPSTREAM_STATES, 10.4), frozenset())

    def test_an_answer_that_says_nothing_about_limits_does_not_end_it(self):
        self.limits.record_answer("u0", None, 10.2, 10.3)
        self.assertTrue(self.limits.is_limited("u0"))

    def test_a_restarted_upstream_has_no_limit_until_it_states_one(self):
        # Other instances' reports about the previous process are older.
        reported = self.limits.list_reports(11.0)
        self.limits.record_restart("u0", 11.0)
        self.limits.merge_reports(reported, 11.0)
        self.assertFalse(self.limits.is_limited("u0"))
        self.limits.record_answer("u0", 1.0, 11.1, 11.2)
        self.assertTrue(self.limits.is_limited("u0"))

    def test_instances_use_the_newest_report(self):
        other = make_limits()
        other.merge_reports(self.limits.list_reports(10.5), 20.5)
        self.assertTrue(other.is_limited("u0"))
        older = [("u0", 50.0, 3.0)]
        other.merge_reports(older, 20.5)
        self.assertEqual(other.list_reports(20.5), [("u0", 2.0, 0.5)])
        other.merge_reports([("u0", inf, 0.1)], 20.6)
        self.assertFalse(other.is_limited("u0"))

    def test_the_end_of_an_unknown_limit_is_not_kept(self):
        other = make_limits()
        other.merge_reports([("u9", inf, 0.1)], 10.0)
        self.assertEqual(other.list_reports(10.0), [])

    def test_a_limit_is_kept_for_a_while_after_its_upstreams_registration_lapsed(self):
        # Registrations lapse while the store is unavailable and are written again.
        now = 10.0
        while now < 10.0 + 2 * KEEP_UNREGISTERED_FOR:
            now += EXPIRE_INTERVAL
            self.limits.expire({"u0"}, now)
        self.limits.expire({}, now + KEEP_UNREGISTERED_FOR - EXPIRE_INTERVAL)
        self.assertTrue(self.limits.is_limited("u0"))
        self.limits.expire({}, now + KEEP_UNREGISTERED_FOR + EXPIRE_INTERVAL)
        self.assertEqual(self.limits.list_reports(now), [])

    def test_the_end_of_a_limit_is_reported_for_some_seconds(self):
        self.limits.record_answer("u0", inf, 11.0, 11.1)
        self.limits.expire({"u0"}, 11.0 + KEEP_ENDED_FOR - EXPIRE_INTERVAL)
        self.assertEqual(len(self.limits.list_reports(12.0)), 1)
        self.limits.expire({"u0"}, 11.0 + KEEP_ENDED_FOR + EXPIRE_INTERVAL)
        self.assertEqual(self.limits.list_reports(12.0), [])


class TestCredit(unittest.TestCase):
    def count_sent(self, limits, upstream, seconds):
        """Return how many requests the limit allows within some seconds."""
        sent = 0
        for step in range(int(seconds * 100)):
            now = 10.0 + step / 100
            if not limits.list_exhausted({upstream: None}, now):
                sent += limits.charge(upstream, now)
        return sent

    def test_nothing_is_saved_up_before_a_limit_is_known(self):
        limits = make_limits()
        limits.record_answer("u0", 5.0, 9.9, 10.0)
        self.assertEqual(limits.list_exhausted(UPSTREAM_STATES, 10.0), {"u0"})
        self.assertFalse(limits.charge("u0", 10.0))
        self.assertTrue(limits.charge("u1", 10.0))

    def test_a_limit_of_zero_still_allows_the_minimum_rate(self):
        limits = make_limits()
        limits.record_answer("u0", 0.0, 9.9, 10.0)
        seconds = 4 / MIN_RATE
        self.assertIn(self.count_sent(limits, "u0", seconds), (3, 4))

    def test_a_smaller_limit_reduces_saved_up_credit(self):
        limits = make_limits()
        limits.record_answer("u0", 100.0, 9.9, 10.0)
        limits.list_exhausted(UPSTREAM_STATES, 12.0)
        limits.record_answer("u0", 1.0, 11.9, 12.0)
        self.assertTrue(limits.charge("u0", 12.0))
        self.assertFalse(limits.charge("u0", 12.0))

    def test_the_wait_is_the_time_until_the_next_request_is_allowed(self):
        limits = make_limits()
        self.assertIsNone(limits.get_retry_after(NAMES))
        limits.record_answer("u0", 1.0, 9.9, 10.0)
        self.assertEqual(limits.get_retry_after(NAMES), 1.0)
        limits.record_answer("u1", 1.0, 9.9, 10.0)
        self.assertEqual(limits.get_retry_after(NAMES), 0.5)

    def test_new_customer_limits_do_not_lift_upstream_limits(self):
        # A new configuration replaces the customers' limits only.
        allowances = Allowances()
        allowances.set_instance_count(1, 0.0)
        limits = UpstreamLimits(allowances)
        limits.record_answer("u0", 1.0, 9.9, 10.0)
        allowances.configure([], 10.5)
        self.assertFalse(allowances.charge(limits._accounts["u0"], REQUEST_COST, 10.5))


class TestPlatformHeaders(unittest.TestCase):
    def read(self, status, **headers):
        """Return the limit that the headers of an answer state."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return DIALECT.read_answer_head(status, fields).limit

    def test_a_limit_is_read_from_successes_failures_and_refusals(self):
        self.assertEqual(self.read(200, server_limit="1.5", **SIGNED), 1.5)
        self.assertEqual(self.read(500, server_limit="0", **SIGNED), 0.0)
        self.assertEqual(self.read(503, server_limit="2", x_not_run="1"), 2.0)

    def test_only_a_signed_answer_without_a_limit_means_no_limit(self):
        self.assertEqual(self.read(200, **SIGNED), inf)
        self.assertIsNone(self.read(500))
        self.assertIsNone(self.read(503, x_not_run="1"))

    def test_answers_of_other_upstreams_and_unsigned_ones_are_ignored(self):
        self.assertIsNone(self.read(421, server_limit="1", **SIGNED))
        self.assertIsNone(self.read(200, server_limit="1"))

    def test_an_invalid_limit_is_ignored(self):
        for text in ("", "x", "nan", "-1", "1,5"):
            with self.subTest(text=text):
                self.assertIsNone(self.read(200, server_limit=text, **SIGNED))


if __name__ == "__main__":
    unittest.main()
