"""Which placer an instance asks, and how many asks a placer answers."""

import unittest

from chervilwing.placer_selection import (
    ASKS_PER_SECOND,
    AVOID_FOR,
    MAX_TIMEOUTS,
    Answer,
    Ask,
    AskRateLimit,
    PlacerSelector,
    order_placers,
    trim_answer,
    trim_ask,
)

RANKED = ["c1", "a1", "b1", "c2", "a2", "b2"]


class TestPlacerSelector(unittest.TestCase):
    def setUp(self):
        self.selector = PlacerSelector()
        self.names = order_placers(RANKED, {"b1", "b2"})

    def test_the_common_first_placer_precedes_those_nearby(self):
        self.assertEqual(self.names, ["c1", "b1", "b2", "a1", "c2", "a2"])

    def test_a_single_lost_datagram_does_not_change_the_placer(self):
        for _ in range(5):
            self.selector.record_timeout("c1", 0.0)
            self.selector.record_answer("c1")
        self.assertEqual(self.selector.choose(self.names, 0.0), "c1")

    def test_a_silent_placer_is_avoided_and_asked_again_later(self):
        for _ in range(MAX_TIMEOUTS):
            self.selector.record_timeout("c1", 0.0)
        found = [self.selector.choose(self.names, at) for at in (0.0, AVOID_FOR)]
        self.assertEqual(found, ["b1", "c1"])

    def test_no_placer_is_chosen_from_an_empty_list(self):
        self.assertIsNone(self.selector.choose([], 0.0))


class TestFields(unittest.TestCase):
    def test_fields_of_admission_are_sent_only_where_it_is_active(self):
        # An earlier release ignores a message with more fields than it knows.
        ask = Ask(1, "p", "a", 10, 5, [], 1.0, [])
        self.assertEqual(len(trim_ask(ask)), 8)
        self.assertEqual(len(trim_ask(ask._replace(version="v"))), 9)
        self.assertEqual(trim_ask(ask._replace(priority=0)), ask._replace(priority=0))
        answer = Answer(1, "n", "k", "u", charged=True)
        self.assertEqual(len(trim_answer(answer)), 10)
        for changes in ({"queued": True}, {"retry_after": 0.0}):
            changed = answer._replace(**changes)
            self.assertEqual(trim_answer(changed), changed)


class TestAskRateLimit(unittest.TestCase):
    def test_answered_asks_per_second_are_limited(self):
        # Under thousands of asks per second, all answers would come too late. Asks
        # beyond the limit time out and go to a placer in the asker's data centre.
        limit = AskRateLimit()
        allowed = sum(limit.allow(number / 5000) for number in range(10_000))
        self.assertAlmostEqual(allowed, 2 * ASKS_PER_SECOND, delta=ASKS_PER_SECOND / 8)

    def test_an_idle_placer_saves_up_a_tenth_of_a_second(self):
        limit = AskRateLimit()
        limit.allow(0.0)
        allowed = sum(limit.allow(60.0) for _ in range(1000))
        self.assertEqual(allowed, ASKS_PER_SECOND / 10)


if __name__ == "__main__":
    unittest.main()
