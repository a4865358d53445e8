"""The stored number of instances: starts, growth, power loss, foreign values."""

import unittest

from chervilwing.instance_count import (
    COUNT,
    SHRINK_AFTER,
    WRITE_INTERVAL,
    InstanceCount,
)
from chervilwing.store_calls import Item


def make_stored_count(count):
    """Return an InstanceCount that has observed this count in the store."""
    stored = InstanceCount()
    stored.observe(Item(COUNT, str(count).encode(), 9))
    return stored


class TestInstanceCount(unittest.TestCase):
    def test_higher_count_is_stored_at_once(self):
        call = make_stored_count(7).next_call(8, 10.0)
        self.assertEqual(call.puts, ((COUNT, b"8", 0),))
        self.assertEqual(call.expect, ((COUNT, 9),))

    def test_dozens_of_joins_cause_few_writes(self):
        stored, calls = InstanceCount(), 0
        for seen in range(1, 61):
            calls += stored.next_call(seen, 100.0 + seen / 60) is not None
        self.assertEqual(calls, 1)
        self.assertIsNotNone(stored.next_call(60, 101.0 + WRITE_INTERVAL))

    def test_power_loss_does_not_lower_the_count(self):
        # All sixty instances lose power, and their registrations lapse. The first one
        # that is back takes the duties and sees only itself. If it stored that count,
        # each instance that follows would take a large share of every allowance.
        stored = make_stored_count(60)
        for at in range(int(SHRINK_AFTER)):
            self.assertIsNone(stored.next_call(1, float(at)))
        self.assertIsNone(stored.next_call(60, SHRINK_AFTER))
        self.assertIsNone(stored.next_call(1, SHRINK_AFTER + 1.0))

    def test_count_falls_after_instances_left_for_good(self):
        stored = make_stored_count(60)
        stored.next_call(40, 0.0)
        self.assertEqual(stored.next_call(40, SHRINK_AFTER).puts, ((COUNT, b"40", 0),))

    def test_unreadable_values_count_as_zero(self):
        for value in (b"", b"many", b"-3", b"\xff", None):
            with self.subTest(value=value):
                stored = InstanceCount()
                stored.observe(Item(COUNT, value, 4))
                self.assertEqual(stored.count, 0)


if __name__ == "__main__":
    unittest.main()
