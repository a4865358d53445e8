"""Tests of the purchases and returns that a fleet's rules allow, without a cloud."""

import unittest

from chervilwing.fleets import NEED_DECAY_SECONDS, FleetPlanner, Machine, Situation
from chervilwing.models import Fleet
from chervilwing.planner import INITIAL_BACKOFF, Offer, Owned
from chervilwing.purchases import (
    BOUGHT,
    LISTING_TIMEOUT,
    Purchase,
    find_lost,
    list_owned,
)

FLEET = Fleet("f", "pool", ("standard", "large"), max_instances=20)
OFFERS = tuple(
    Offer(zone, kind, market, round(base * factor * rise, 3), rate)
    for zone, rise in (("a", 1.0), ("b", 1.1), ("c", 1.2))
    for kind, base in (("standard", 1.0), ("large", 2.2))
    for market, factor, rate in (("reclaimable", 0.3, 0.05), ("on_demand", 1.0, 0.0))
)
MACHINES = {"standard": Machine(8), "large": Machine(16)}


def make_situation(needed, *owned, offers=OFFERS, **fields):
    """Return a situation; each instance is given as zone and market."""
    rows = tuple(
        Owned(f"i{n}", zone, 0.0, 8, "standard", market, from_inventory=not market)
        for n, (zone, market) in enumerate(owned)
    )
    return Situation(offers, rows, needed, MACHINES, **fields)


def choose_offer(planner, situation, now):
    """Return the offer to buy now, or None."""
    return next(iter(planner.plan(situation, now).buys), None)


def buy_all(planner, situation, now=0.0, refused=()):
    """Buy until nothing is needed; return zone, class and market of each purchase."""
    bought = []
    for _ in range(50):
        offer = choose_offer(planner, situation, now)
        if offer is None:
            break
        if refused and offer.market in refused:
            planner.refusals.record(offer, now)
            continue
        bought.append(offer[:3])
        slots = MACHINES[offer.machine_class].slots
        item = Owned(f"n{len(bought)}", offer.zone, 0.0, slots, *offer[1:3])
        situation = situation._replace(owned=(*situation.owned, item))
    return bought


class TestFleets(unittest.TestCase):
    def setUp(self):
        self.planner = FleetPlanner(FLEET)

    def test_load_still_fits_once_the_largest_zone_is_lost(self):
        for needed in (8.0, 40.0, 100.0):
            bought = buy_all(FleetPlanner(FLEET), make_situation(needed))
            slots = {zone: 0 for zone, *_ in bought}
            for zone, kind, _ in bought:
                slots[zone] += MACHINES[kind].slots
            self.assertGreaterEqual(sum(slots.values()) - max(slots.values()), needed)
        one_site = {"a": "site", "b": "site", "c": "other"}
        bought = buy_all(self.planner, make_situation(8.0, data_centres=one_site))
        self.assertEqual({one_site[zone] for zone, *_ in bought}, {"site", "other"})

    def test_without_spare_capacity_the_cheapest_offer_is_bought(self):
        planner = FleetPlanner(FLEET._replace(spare=0.0))
        bought = buy_all(planner, make_situation(20.0))
        self.assertEqual(set(bought), {("a", "standard", "reclaimable")})
        slow = MACHINES | {"standard": Machine(8, first_token=3.0)}
        situation = make_situation(20.0, first_token=1.3)._replace(machines=slow)
        offer = choose_offer(FleetPlanner(FLEET._replace(spare=0.0)), situation, 0.0)
        self.assertEqual(offer.machine_class, "large")

    def test_refused_starts_use_other_offers_then_on_demand_then_back_off(self):
        # In a reclaim wave, no reclaimable instance starts in any zone. Without a
        # backoff, the cloud would be called endlessly and nothing would start.
        bought = buy_all(self.planner, make_situation(8.0), refused=("reclaimable",))
        self.assertEqual({market for *_, market in bought}, {"on_demand"})
        all_markets = ("reclaimable", "on_demand")
        self.assertEqual(
            buy_all(self.planner, make_situation(8.0), 1.0, all_markets), []
        )
        due = INITIAL_BACKOFF
        self.assertIsNone(choose_offer(self.planner, make_situation(8.0), due - 0.1))
        offer = choose_offer(self.planner, make_situation(8.0), due)
        self.planner.refusals.record(offer, due)
        self.assertNotEqual(
            choose_offer(self.planner, make_situation(8.0), due + INITIAL_BACKOFF)[:3],
            offer[:3],
        )

    def test_operators_rules_limit_the_purchases(self):
        small_fleet = FleetPlanner(FLEET._replace(max_instances=2))
        self.assertEqual(len(buy_all(small_fleet, make_situation(500.0))), 2)
        price_limited = FleetPlanner(FLEET._replace(price_ceiling=0.31))
        bought = buy_all(price_limited, make_situation(8.0))
        self.assertEqual(set(bought), {("a", "standard", "reclaimable")})
        minimum_fleet = FleetPlanner(
            FLEET._replace(min_instances=3, machine_classes=("standard",))
        )
        self.assertEqual(len(buy_all(minimum_fleet, make_situation(0.0))), 3)
        self.assertEqual(buy_all(FleetPlanner(FLEET), make_situation(0.0)), [])

    def test_expensive_instance_is_replaced_and_then_returned(self):
        # The price of a zone rises to three times that of the others. Without a
        # replacement, its instances would be paid for until their next reclaim.
        planner = FleetPlanner(FLEET._replace(spare=0.0, machine_classes=("standard",)))
        owned = [("a", "reclaimable"), ("b", "reclaimable")]
        raised_offers = tuple(
            offer._replace(price=offer.price * (3 if offer.zone == "a" else 1))
            for offer in OFFERS
        )
        before, after = (
            make_situation(9.0, *owned, offers=offers)
            for offers in (OFFERS, raised_offers)
        )
        self.assertIsNone(choose_offer(planner, before, 0.0))
        bought = buy_all(planner, after)
        self.assertEqual(bought, [("b", "standard", "reclaimable")])
        after_purchase = make_situation(
            9.0, *owned, ("b", "reclaimable"), offers=raised_offers
        )
        planner.measure(9.0, 0.0)
        self.assertEqual(
            planner.plan(after_purchase, NEED_DECAY_SECONDS - 1).returns, ()
        )
        self.assertEqual(
            planner.plan(after_purchase, NEED_DECAY_SECONDS).returns, ("i0",)
        )

    def test_peak_is_remembered_and_inventory_is_never_returned(self):
        self.assertEqual(self.planner.measure(40.0, 0.0), 40.0)
        self.assertGreater(self.planner.measure(0.0, NEED_DECAY_SECONDS / 2), 20.0)
        idle = make_situation(0.0, ("a", ""), ("b", ""))
        self.assertEqual(self.planner.plan(idle, 9 * NEED_DECAY_SECONDS).returns, ())


class TestPurchases(unittest.TestCase):
    def test_pending_purchase_is_owned_once_and_lost_one_is_found(self):
        row = Purchase("r", "a", "large", "on_demand", BOUGHT, "i-1", 100.0)
        owned = list_owned((row,), (), set(), MACHINES, Machine())
        self.assertEqual(owned, (Owned("i-1", "a", 0.0, 16, "large", "on_demand"),))
        self.assertEqual(list_owned((row,), (), {"i-1"}, MACHINES, Machine()), ())
        self.assertIsNone(find_lost((row,), {"i-1"}, {"i-1"}, 1e9))
        self.assertIsNone(find_lost((row,), set(), set(), 100.0 + LISTING_TIMEOUT))
        self.assertEqual(find_lost((row,), set(), set(), 101.0 + LISTING_TIMEOUT), row)
        self.assertEqual(find_lost((row,), set(), {"i-1"}, 101.0), row)
