"""Tests of the planner's purchases by zone, price and refused offers."""

import unittest
from collections import Counter

from chervilwing.planner import Need, Offer, Owned, Plan, Refusals, plan

SPOT = tuple(
    Offer(zone, "gpu", "reclaimable", price, rate)
    for zone, price, rate in (("a", 1.0, 0.1), ("b", 1.1, 0.1), ("c", 1.2, 0.1))
)


def buy_all(need, offers, owned=(), refusals=None, now=0.0):
    """Buy until nothing more is needed; return the owned instances."""
    owned = list(owned)
    refusals = refusals or Refusals()
    while buys := plan(need, owned, offers, refusals, now).buys:
        for offer in buys:
            name = f"i{len(owned)}"
            owned.append(Owned(name, offer.zone, offer.price, need.slots_per_instance))
    return owned


class TestPlanner(unittest.TestCase):
    def test_loss_of_any_zone_leaves_enough_slots(self):
        for busy in (5, 30, 120, 400):
            owned = buy_all(Need(busy, 8, max_starts=4), SPOT)
            zones = Counter(item.zone for item in owned)
            for zone in zones:
                remaining = 8 * (len(owned) - zones[zone])
                self.assertGreaterEqual(remaining, busy / 0.75)

    def test_no_more_is_bought_than_needed(self):
        owned = buy_all(Need(30, 8, max_starts=4), SPOT)
        self.assertLessEqual(len(owned), 9)

    def test_frequent_reclaims_make_a_cheap_zone_expensive(self):
        offers = (Offer("a", "gpu", "reclaimable", 1.0, 6.0), *SPOT[1:])
        first = plan(Need(5, 8, 1), (), offers, Refusals(), 0.0).buys[0]
        self.assertEqual(first.zone, "b")

    def test_refused_offer_is_avoided_until_its_backoff_ends(self):
        """A data centre is reclaimed, and the cheapest zone refuses every start.

        If the planner repeated the request, the pool would lack capacity for the whole
        wave.
        """
        refusals = Refusals()
        refusals.record(SPOT[0], 0.0)
        bought = plan(Need(5, 8, 2), (), SPOT, refusals, 10.0).buys
        self.assertNotIn("a", {offer.zone for offer in bought})
        self.assertTrue(refusals.allows(SPOT[0], 20.0))
        refusals.record(SPOT[0], 20.0)
        self.assertFalse(refusals.allows(SPOT[0], 59.0))
        self.assertTrue(refusals.allows(SPOT[0], 60.0))

    def test_single_zone_is_not_filled_beyond_the_need(self):
        """All zones but one refuse; buying more in that one can't cover its loss."""
        owned = buy_all(Need(60, 8, 4), SPOT[:1])
        self.assertEqual(len(owned), 10)

    def test_at_most_max_starts_are_bought(self):
        self.assertEqual(len(plan(Need(400, 8, 3), (), SPOT, Refusals(), 0.0).buys), 3)

    def test_a_small_surplus_is_kept_and_a_large_one_returned(self):
        owned = buy_all(Need(60, 8, 4), SPOT)
        self.assertEqual(plan(Need(58, 8, 4), owned, SPOT, Refusals(), 0.0), Plan())
        returns = plan(Need(20, 8, 4), owned, SPOT, Refusals(), 0.0).returns
        self.assertEqual(len(returns), 1)
