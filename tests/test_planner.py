"""Tests of the planner: what is bought when zones, prices and refusals differ."""

import unittest
from collections import Counter

from chervilwing.planner import Need, Offer, Owned, Plan, Refusals, plan

SPOT = tuple(
    Offer(zone, "gpu", "reclaimable", price, rate)
    for zone, price, rate in (("a", 1.0, 0.1), ("b", 1.1, 0.1), ("c", 1.2, 0.1))
)


def settle(need, offers, owned=(), refusals=None, now=0.0):
    """Buy until nothing more is wanted and return what is owned then."""
    owned = list(owned)
    refusals = refusals or Refusals()
    while buys := plan(need, owned, offers, refusals, now).buys:
        for offer in buys:
            name = f"i{len(owned)}"
            owned.append(Owned(name, offer.zone, offer.price, need.slots))
    return owned


class TestPlanner(unittest.TestCase):
    def test_the_loss_of_any_zone_leaves_enough(self):
        for busy in (5, 30, 120, 400):
            owned = settle(Need(busy, 8, starts=4), SPOT)
            zones = Counter(item.zone for item in owned)
            for zone in zones:
                left = 8 * (len(owned) - zones[zone])
                self.assertGreaterEqual(left, busy / 0.75)

    def test_no_more_is_bought_than_needed(self):
        owned = settle(Need(30, 8, starts=4), SPOT)
        self.assertLessEqual(len(owned), 9)

    def test_a_cheap_zone_that_is_reclaimed_hourly_is_dear(self):
        offers = (Offer("a", "gpu", "reclaimable", 1.0, 6.0), *SPOT[1:])
        first = plan(Need(5, 8, 1), (), offers, Refusals(), 0.0).buys[0]
        self.assertEqual(first.zone, "b")

    def test_a_refused_start_goes_elsewhere_and_is_asked_for_later(self):
        """A data centre is reclaimed and the cheapest zone refuses every start.

        Asking it again and again would leave the pool short for the whole wave.
        """
        refusals = Refusals()
        refusals.record(SPOT[0], 0.0)
        bought = plan(Need(5, 8, 2), (), SPOT, refusals, 10.0).buys
        self.assertNotIn("a", {offer.zone for offer in bought})
        self.assertTrue(refusals.allows(SPOT[0], 20.0))
        refusals.record(SPOT[0], 20.0)
        self.assertFalse(refusals.allows(SPOT[0], 59.0))
        self.assertTrue(refusals.allows(SPOT[0], 60.0))

    def test_one_zone_alone_is_filled_to_the_need_and_no_further(self):
        """All zones but one refuse; its loss can't be survived by more of it."""
        owned = settle(Need(60, 8, 4), SPOT[:1])
        self.assertEqual(len(owned), 10)

    def test_starts_keep_to_the_weight_stores_rate(self):
        self.assertEqual(len(plan(Need(400, 8, 3), (), SPOT, Refusals(), 0.0).buys), 3)

    def test_a_small_surplus_is_kept_and_a_large_one_returned(self):
        owned = settle(Need(60, 8, 4), SPOT)
        self.assertEqual(plan(Need(58, 8, 4), owned, SPOT, Refusals(), 0.0), Plan())
        returns = plan(Need(20, 8, 4), owned, SPOT, Refusals(), 0.0).returns
        self.assertEqual(len(returns), 1)
