"""What answers state of their upstream: that it leaves, and that it wants a pause."""

import unittest

from chervilwing.dialects import MAX_RETRY_AFTER, PLAIN, read_retry_after
from chervilwing.platform.headers import DIALECT

SIGNED = {"x-server-stamp": "s"}
DATED = {"date": "Thu, 01 Jan 2026 10:00:00 GMT"}
UNUSABLE = ("", "-3", "nan", "inf", "1e3", "soon", "Thu, 01 Jan 2026 10:00:09 GMT")


class TestLeaving(unittest.TestCase):
    def test_a_set_flag_is_read_from_successes_failures_and_refusals(self):
        for status, more in ((200, SIGNED), (500, SIGNED), (503, {"x-not-run": "1"})):
            fields = more | {"server-leaving": "1"}
            self.assertTrue(DIALECT.read_answer_head(status, fields).leaving)
        fields = {"chervilwing-leaving": "1, 1"}
        self.assertTrue(PLAIN.read_answer_head(200, fields).leaving)

    def test_other_values_and_answers_of_other_upstreams_are_ignored(self):
        for text in ("", "0", "yes", "-1"):
            fields = SIGNED | {"server-leaving": text}
            self.assertFalse(DIALECT.read_answer_head(200, fields).leaving)
        fields = SIGNED | {"server-leaving": "1"}
        self.assertFalse(DIALECT.read_answer_head(421, fields).leaving)
        self.assertFalse(DIALECT.read_answer_head(200, {"server-leaving": "1"}).leaving)


class TestRetryAfter(unittest.TestCase):
    def test_delays_and_dates_are_read_from_503_only(self):
        cases = (
            ("3", 3.0),
            ("0.25", 0.25),
            ("0", 0.0),
            ("2, 3", 3.0),
            ("9" * 400, MAX_RETRY_AFTER),
            ("Thu, 01 Jan 2026 10:00:09 GMT", 9.0),
            ("Thu, 01 Jan 2026 09:00:00 GMT", 0.0),
        )
        for text, seconds in cases:
            fields = DATED | {"retry-after": text}
            self.assertEqual(read_retry_after(503, fields), seconds, text)
            self.assertIsNone(read_retry_after(429, fields))

    def test_unusable_values_state_nothing(self):
        for text in UNUSABLE:
            self.assertIsNone(read_retry_after(503, {"retry-after": text}), text)

    def test_it_is_read_whether_or_not_the_request_has_run(self):
        for more in (SIGNED, {"x-not-run": "1"}):
            fields = more | {"retry-after": "3"}
            self.assertEqual(DIALECT.read_answer_head(503, fields).retry_after, 3.0)
        fields = SIGNED | {"retry-after": "3"}
        self.assertIsNone(DIALECT.read_answer_head(421, fields).retry_after)
        self.assertEqual(PLAIN.read_answer_head(503, fields).retry_after, 3.0)


if __name__ == "__main__":
    unittest.main()
