"""What answers say of an upstream's limit, and when it is believed."""

import unittest
from math import inf

from chervilwing.allowances import Allowances
from chervilwing.platform.headers import DIALECT
from chervilwing.upstream_limits import (
    ENDED_KEPT,
    EXPIRE_EVERY,
    GONE_KEPT,
    LEAST_RATE,
    REQUEST,
    UpstreamLimits,
)

SIGNED = {"x-server-stamp": "s"}
STATIONS = {"u0": None, "u1": None}


def make_limits():
    """Return limits of one instance that has nobody beside it."""
    allowances = Allowances()
    allowances.set_known(1, 0.0)
    return UpstreamLimits(allowances)


class TestBelief(unittest.TestCase):
    def setUp(self):
        self.limits = make_limits()
        self.limits.note_answer("u0", 2.0, 9.0, 10.0)

    def test_an_older_answer_without_a_limit_does_not_end_it(self):
        # Its request was on its way before the limit was named.
        self.limits.note_answer("u0", inf, 9.9, 10.1)
        self.assertTrue(self.limits.is_limited("u0"))

    def test_an_answer_to_a_later_request_ends_it(self):
        self.limits.note_answer("u0", inf, 10.2, 10.3)
        self.assertFalse(self.limits.is_limited("u0"))
        self.assertEqual(self.limits.list_exhausted(STATIONS, 10.4), frozenset())

    def test_an_answer_that_says_nothing_of_it_does_not_end_it(self):
        self.limits.note_answer("u0", None, 10.2, 10.3)
        self.assertTrue(self.limits.is_limited("u0"))

    def test_one_that_started_again_has_no_limit_until_it_names_one(self):
        # What others still tell of the process before is older.
        told = self.limits.list_told(11.0)
        self.limits.note_restarted("u0", 11.0)
        self.limits.hear(told, 11.0)
        self.assertFalse(self.limits.is_limited("u0"))
        self.limits.note_answer("u0", 1.0, 11.1, 11.2)
        self.assertTrue(self.limits.is_limited("u0"))

    def test_others_believe_the_latest(self):
        other = make_limits()
        other.hear(self.limits.list_told(10.5), 20.5)
        self.assertTrue(other.is_limited("u0"))
        older = [("u0", 50.0, 3.0)]
        other.hear(older, 20.5)
        self.assertEqual(other.list_told(20.5), [("u0", 2.0, 0.5)])
        other.hear([("u0", inf, 0.1)], 20.6)
        self.assertFalse(other.is_limited("u0"))

    def test_the_end_of_a_limit_that_nobody_knew_is_not_kept(self):
        other = make_limits()
        other.hear([("u9", inf, 0.1)], 10.0)
        self.assertEqual(other.list_told(10.0), [])

    def test_a_limit_outlasts_a_registration_that_lapses(self):
        # While the store is away registrations lapse, and are written anew.
        now = 10.0
        while now < 10.0 + 2 * GONE_KEPT:
            now += EXPIRE_EVERY
            self.limits.expire({"u0"}, now)
        self.limits.expire({}, now + GONE_KEPT - EXPIRE_EVERY)
        self.assertTrue(self.limits.is_limited("u0"))
        self.limits.expire({}, now + GONE_KEPT + EXPIRE_EVERY)
        self.assertEqual(self.limits.list_told(now), [])

    def test_the_end_of_a_limit_is_told_for_some_seconds(self):
        self.limits.note_answer("u0", inf, 11.0, 11.1)
        self.limits.expire({"u0"}, 11.0 + ENDED_KEPT - EXPIRE_EVERY)
        self.assertEqual(len(self.limits.list_told(12.0)), 1)
        self.limits.expire({"u0"}, 11.0 + ENDED_KEPT + EXPIRE_EVERY)
        self.assertEqual(self.limits.list_told(12.0), [])


class TestCredit(unittest.TestCase):
    def count_sent(self, limits, upstream, seconds):
        """Return how many requests may be sent in a time, and what is saved up."""
        sent = 0
        for step in range(int(seconds * 100)):
            now = 10.0 + step / 100
            if not limits.list_exhausted({upstream: None}, now):
                sent += limits.charge(upstream, now)
        return sent

    def test_nothing_is_saved_up_before_a_limit_is_known(self):
        limits = make_limits()
        limits.note_answer("u0", 5.0, 9.9, 10.0)
        self.assertEqual(limits.list_exhausted(STATIONS, 10.0), {"u0"})
        self.assertFalse(limits.charge("u0", 10.0))
        self.assertTrue(limits.charge("u1", 10.0))

    def test_a_limit_of_nothing_lets_one_through_that_shows_its_end(self):
        limits = make_limits()
        limits.note_answer("u0", 0.0, 9.9, 10.0)
        seconds = 4 / LEAST_RATE
        self.assertIn(self.count_sent(limits, "u0", seconds), (3, 4))

    def test_a_smaller_limit_takes_back_what_was_saved_up(self):
        limits = make_limits()
        limits.note_answer("u0", 100.0, 9.9, 10.0)
        limits.list_exhausted(STATIONS, 12.0)
        limits.note_answer("u0", 1.0, 11.9, 12.0)
        self.assertTrue(limits.charge("u0", 12.0))
        self.assertFalse(limits.charge("u0", 12.0))

    def test_the_time_to_come_back_is_when_the_next_request_has_room(self):
        limits = make_limits()
        self.assertIsNone(limits.measure_wait(STATIONS))
        limits.note_answer("u0", 1.0, 9.9, 10.0)
        self.assertEqual(limits.measure_wait(STATIONS), 1.0)
        limits.note_answer("u1", 1.0, 9.9, 10.0)
        self.assertEqual(limits.measure_wait(STATIONS), 0.5)

    def test_customers_limits_are_their_own(self):
        # A new configuration must not lift what upstreams have named.
        allowances = Allowances()
        allowances.set_known(1, 0.0)
        limits = UpstreamLimits(allowances)
        limits.note_answer("u0", 1.0, 9.9, 10.0)
        allowances.configure([], 10.5)
        self.assertFalse(allowances.charge(limits._accounts["u0"], REQUEST, 10.5))


class TestPlatformHeaders(unittest.TestCase):
    def read(self, status, **headers):
        """Return the limit that an answer's head tells."""
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        return DIALECT.judge(status, fields).limit

    def test_a_named_limit_is_read_from_successes_failures_and_refusals(self):
        self.assertEqual(self.read(200, server_limit="1.5", **SIGNED), 1.5)
        self.assertEqual(self.read(500, server_limit="0", **SIGNED), 0.0)
        self.assertEqual(self.read(503, server_limit="2", x_not_run="1"), 2.0)

    def test_only_a_signed_answer_tells_that_there_is_none(self):
        self.assertEqual(self.read(200, **SIGNED), inf)
        self.assertIsNone(self.read(500))
        self.assertIsNone(self.read(503, x_not_run="1"))

    def test_another_upstream_or_foreign_bytes_tell_nothing(self):
        self.assertIsNone(self.read(421, server_limit="1", **SIGNED))
        self.assertIsNone(self.read(200, server_limit="1"))

    def test_what_is_no_number_tells_nothing(self):
        for text in ("", "x", "nan", "-1", "1,5"):
            with self.subTest(text=text):
                self.assertIsNone(self.read(200, server_limit=text, **SIGNED))


if __name__ == "__main__":
    unittest.main()
