"""Tests of which instances are bought and given back, without a cloud."""

import unittest

from chervilwing.models import Fleet
from chervilwing.planner import (
    FIRST_BACKOFF,
    NEED_FALL,
    Machine,
    Offer,
    Owned,
    Planner,
    Situation,
)
from chervilwing.purchases import BOUGHT, LISTED_WITHIN, Purchase, find_lost, list_owned

FLEET = Fleet("f", "pool", ("standard", "large"), max_instances=20)
OFFERS = tuple(
    Offer(zone, kind, market, round(base * factor * rise, 3), rate)
    for zone, rise in (("a", 1.0), ("b", 1.1), ("c", 1.2))
    for kind, base in (("standard", 1.0), ("large", 2.2))
    for market, factor, rate in (("reclaimable", 0.3, 0.05), ("on_demand", 1.0, 0.0))
)
MACHINES = {"standard": Machine(8), "large": Machine(16)}


def make_situation(needed, *owned, offers=OFFERS, **fields):
    """Return a situation whose instances are given as zone and market."""
    rows = tuple(
        Owned(f"i{n}", zone, "standard", 8, market)
        for n, (zone, market) in enumerate(owned)
    )
    return Situation(offers, rows, needed, MACHINES, **fields)


def buy_all(planner, situation, now=0.0, refused=()):
    """Buy until nothing lacks; return zone, class and market of each purchase."""
    bought = []
    for _ in range(50):
        offer = planner.choose_offer(situation, now)
        if offer is None:
            break
        if refused and offer.market in refused:
            planner.refuse(offer, now)
            continue
        bought.append(offer[:3])
        slots = MACHINES[offer.machine_class].slots
        item = Owned(f"n{len(bought)}", *offer[:2], slots, offer.market)
        situation = situation._replace(owned=(*situation.owned, item))
    return bought


class TestPlanner(unittest.TestCase):
    def setUp(self):
        self.planner = Planner(FLEET)

    def test_load_still_fits_once_the_largest_zone_is_lost(self):
        for needed in (8.0, 40.0, 100.0):
            bought = buy_all(Planner(FLEET), make_situation(needed))
            slots = {zone: 0 for zone, *_ in bought}
            for zone, kind, _ in bought:
                slots[zone] += MACHINES[kind].slots
            self.assertGreaterEqual(sum(slots.values()) - max(slots.values()), needed)
        one_site = {"a": "site", "b": "site", "c": "other"}
        bought = buy_all(self.planner, make_situation(8.0, centres=one_site))
        self.assertEqual({one_site[zone] for zone, *_ in bought}, {"site", "other"})

    def test_without_spare_room_the_cheapest_offer_is_taken(self):
        planner = Planner(FLEET._replace(spare=0.0))
        bought = buy_all(planner, make_situation(20.0))
        self.assertEqual(set(bought), {("a", "standard", "reclaimable")})
        slow = MACHINES | {"standard": Machine(8, first_token=3.0)}
        situation = make_situation(20.0, first_token=1.3)._replace(machines=slow)
        offer = Planner(FLEET._replace(spare=0.0)).choose_offer(situation, 0.0)
        self.assertEqual(offer.machine_class, "large")

    def test_refused_starts_go_elsewhere_then_on_demand_then_wait(self):
        # A reclaim wave: no reclaimable instance starts in any zone. Asked again at
        # once, the cloud would be called without end and nothing would start.
        bought = buy_all(self.planner, make_situation(8.0), refused=("reclaimable",))
        self.assertEqual({market for *_, market in bought}, {"on_demand"})
        every = ("reclaimable", "on_demand")
        self.assertEqual(buy_all(self.planner, make_situation(8.0), 1.0, every), [])
        first = FIRST_BACKOFF
        self.assertIsNone(self.planner.choose_offer(make_situation(8.0), first - 0.1))
        offer = self.planner.choose_offer(make_situation(8.0), first)
        self.planner.refuse(offer, first)
        self.assertNotEqual(
            self.planner.choose_offer(make_situation(8.0), first + FIRST_BACKOFF)[:3],
            offer[:3],
        )

    def test_operators_rules_bound_what_is_bought(self):
        few = Planner(FLEET._replace(max_instances=2))
        self.assertEqual(len(buy_all(few, make_situation(500.0))), 2)
        cheap = Planner(FLEET._replace(price_ceiling=0.31))
        bought = buy_all(cheap, make_situation(8.0))
        self.assertEqual(set(bought), {("a", "standard", "reclaimable")})
        least = Planner(FLEET._replace(min_instances=3, machine_classes=("standard",)))
        self.assertEqual(len(buy_all(least, make_situation(0.0))), 3)
        self.assertEqual(buy_all(Planner(FLEET), make_situation(0.0)), [])

    def test_dear_instance_is_replaced_and_then_given_back(self):
        # A zone's price rises to three times that of the others. What was bought there
        # would be paid for until its next reclaim.
        planner = Planner(FLEET._replace(spare=0.0, machine_classes=("standard",)))
        owned = [("a", "reclaimable"), ("b", "reclaimable")]
        rise = tuple(
            offer._replace(price=offer.price * (3 if offer.zone == "a" else 1))
            for offer in OFFERS
        )
        before, after = (
            make_situation(11.0, *owned, offers=offers) for offers in (OFFERS, rise)
        )
        self.assertIsNone(planner.choose_offer(before, 0.0))
        bought = buy_all(planner, after)
        self.assertEqual(bought, [("b", "standard", "reclaimable")])
        whole = make_situation(11.0, *owned, ("b", "reclaimable"), offers=rise)
        planner.measure(11.0, 0.0)
        self.assertIsNone(planner.choose_surplus(whole, NEED_FALL - 1))
        self.assertEqual(planner.choose_surplus(whole, NEED_FALL).name, "i0")

    def test_peak_is_remembered_and_inventory_is_never_given_back(self):
        self.assertEqual(self.planner.measure(40.0, 0.0), 40.0)
        self.assertGreater(self.planner.measure(0.0, NEED_FALL / 2), 20.0)
        idle = make_situation(0.0, ("a", ""), ("b", ""))
        self.assertIsNone(self.planner.choose_surplus(idle, 9 * NEED_FALL))


class TestPurchases(unittest.TestCase):
    def test_what_is_under_way_counts_once_and_what_is_lost_shows(self):
        row = Purchase("r", "a", "large", "on_demand", BOUGHT, "i-1", 100.0)
        owned = list_owned((row,), (), set(), MACHINES, Machine())
        self.assertEqual(owned, (Owned("i-1", "a", "large", 16, "on_demand"),))
        self.assertEqual(list_owned((row,), (), {"i-1"}, MACHINES, Machine()), ())
        self.assertIsNone(find_lost((row,), {"i-1"}, {"i-1"}, 1e9))
        self.assertIsNone(find_lost((row,), set(), set(), 100.0 + LISTED_WITHIN))
        self.assertEqual(find_lost((row,), set(), set(), 101.0 + LISTED_WITHIN), row)
        self.assertEqual(find_lost((row,), set(), {"i-1"}, 101.0), row)
