"""The stored number of instances: starts, growth, power cuts, foreign values."""

import unittest

from chervilwing.items import Item
from chervilwing.roster import COUNT, SHRINK_AFTER, WRITE_EVERY, Roster


def make_roster(count):
    """Return a roster that has seen this count in the store."""
    roster = Roster()
    roster.observe(Item(COUNT, str(count).encode(), 9))
    return roster


class TestRoster(unittest.TestCase):
    def test_more_are_stored_at_once(self):
        call = make_roster(7).next_call(8, 10.0)
        self.assertEqual(call.puts, ((COUNT, b"8", 0),))
        self.assertEqual(call.expect, ((COUNT, 9),))

    def test_dozens_that_join_are_a_few_writes(self):
        roster, calls = Roster(), 0
        for seen in range(1, 61):
            calls += roster.next_call(seen, 100.0 + seen / 60) is not None
        self.assertEqual(calls, 1)
        self.assertIsNotNone(roster.next_call(60, 101.0 + WRITE_EVERY))

    def test_a_power_cut_makes_nobody_the_only_one(self):
        # All sixty lose power, and their registrations lapse. The first that is back
        # takes the duties and sees itself alone; written down, each of those that
        # follow would take a large part of every allowance.
        roster = make_roster(60)
        for at in range(int(SHRINK_AFTER)):
            self.assertIsNone(roster.next_call(1, float(at)))
        self.assertIsNone(roster.next_call(60, SHRINK_AFTER))
        self.assertIsNone(roster.next_call(1, SHRINK_AFTER + 1.0))

    def test_those_that_are_gone_for_good_are_taken_off(self):
        roster = make_roster(60)
        roster.next_call(40, 0.0)
        self.assertEqual(roster.next_call(40, SHRINK_AFTER).puts, ((COUNT, b"40", 0),))

    def test_what_somebody_else_wrote_is_no_count(self):
        for value in (b"", b"many", b"-3", b"\xff", None):
            with self.subTest(value=value):
                roster = Roster()
                roster.observe(Item(COUNT, value, 4))
                self.assertEqual(roster.count, 0)


if __name__ == "__main__":
    unittest.main()
