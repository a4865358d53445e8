"""Tests of what a fleet's rules let it buy and give back, without a cloud."""

import unittest

from chervilwing.fleets import NEED_FALL, FleetPlanner, Machine, Situation
from chervilwing.models import Fleet
from chervilwing.planner import FIRST_WAIT, Offer, Owned
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
        Owned(f"i{n}", zone, 0.0, 8, "standard", market, kept=not market)
        for n, (zone, market) in enumerate(owned)
    )
    return Situation(offers, rows, needed, MACHINES, **fields)


def choose_offer(planner, situation, now):
    """Return the offer that is bought now, or None."""
    return next(iter(planner.plan(situation, now).buys), None)


def buy_all(planner, situation, now=0.0, refused=()):
    """Buy until nothing lacks; return zone, class and market of each purchase."""
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
        bought = buy_all(self.planner, make_situation(8.0, centres=one_site))
        self.assertEqual({one_site[zone] for zone, *_ in bought}, {"site", "other"})

    def test_without_spare_room_the_cheapest_offer_is_taken(self):
        planner = FleetPlanner(FLEET._replace(spare=0.0))
        bought = buy_all(planner, make_situation(20.0))
        self.assertEqual(set(bought), {("a", "standard", "reclaimable")})
        slow = MACHINES | {"standard": Machine(8, first_token=3.0)}
        situation = make_situation(20.0, first_token=1.3)._replace(machines=slow)
        offer = choose_offer(FleetPlanner(FLEET._replace(spare=0.0)), situation, 0.0)
        self.assertEqual(offer.machine_class, "large")

    def test_refused_starts_go_elsewhere_then_on_demand_then_wait(self):
        # A reclaim wave: no reclaimable instance starts in any zone. Asked again at
        # once, the cloud would be called without end and nothing would start.
        bought = buy_all(self.planner, make_situation(8.0), refused=("reclaimable",))
        self.assertEqual({market for *_, market in bought}, {"on_demand"})
        every = ("reclaimable", "on_demand")
        self.assertEqual(buy_all(self.planner, make_situation(8.0), 1.0, every), [])
        first = FIRST_WAIT
        self.assertIsNone(choose_offer(self.planner, make_situation(8.0), first - 0.1))
        offer = choose_offer(self.planner, make_situation(8.0), first)
        self.planner.refusals.record(offer, first)
        self.assertNotEqual(
            choose_offer(self.planner, make_situation(8.0), first + FIRST_WAIT)[:3],
            offer[:3],
        )

    def test_operators_rules_bound_what_is_bought(self):
        few = FleetPlanner(FLEET._replace(max_instances=2))
        self.assertEqual(len(buy_all(few, make_situation(500.0))), 2)
        cheap = FleetPlanner(FLEET._replace(price_ceiling=0.31))
        bought = buy_all(cheap, make_situation(8.0))
        self.assertEqual(set(bought), {("a", "standard", "reclaimable")})
        least = FleetPlanner(
            FLEET._replace(min_instances=3, machine_classes=("standard",))
        )
        self.assertEqual(len(buy_all(least, make_situation(0.0))), 3)
        self.assertEqual(buy_all(FleetPlanner(FLEET), make_situation(0.0)), [])

    def test_dear_instance_is_replaced_and_then_given_back(self):
        # A zone's price rises to three times that of the others. What was bought there
        # would be paid for until its next reclaim.
        planner = FleetPlanner(FLEET._replace(spare=0.0, machine_classes=("standard",)))
        owned = [("a", "reclaimable"), ("b", "reclaimable")]
        rise = tuple(
            offer._replace(price=offer.price * (3 if offer.zone == "a" else 1))
            for offer in OFFERS
        )
        before, after = (
            make_situation(9.0, *owned, offers=offers) for offers in (OFFERS, rise)
        )
        self.assertIsNone(choose_offer(planner, before, 0.0))
        bought = buy_all(planner, after)
        self.assertEqual(bought, [("b", "standard", "reclaimable")])
        whole = make_situation(9.0, *owned, ("b", "reclaimable"), offers=rise)
        planner.measure(9.0, 0.0)
        self.assertEqual(planner.plan(whole, NEED_FALL - 1).returns, ())
        self.assertEqual(planner.plan(whole, NEED_FALL).returns, ("i0",))

    def test_peak_is_remembered_and_inventory_is_never_given_back(self):
        self.assertEqual(self.planner.measure(40.0, 0.0), 40.0)
        self.assertGreater(self.planner.measure(0.0, NEED_FALL / 2), 20.0)
        idle = make_situation(0.0, ("a", ""), ("b", ""))
        self.assertEqual(self.planner.plan(idle, 9 * NEED_FALL).returns, ())


class TestPurchases(unittest.TestCase):
    def test_what_is_under_way_counts_once_and_what_is_lost_shows(self):
        row = Purchase("r", "a", "large", "on_demand", BOUGHT, "i-1", 100.0)
        owned = list_owned((row,), (), set(), MACHINES, Machine())
        self.assertEqual(owned, (Owned("i-1", "a", 0.0, 16, "large", "on_demand"),))
        self.assertEqual(list_owned((row,), (), {"i-1"}, MACHINES, Machine()), ())
        self.assertIsNone(find_lost((row,), {"i-1"}, {"i-1"}, 1e9))
        self.assertIsNone(find_lost((row,), set(), set(), 100.0 + LISTED_WITHIN))
        self.assertEqual(find_lost((row,), set(), set(), 101.0 + LISTED_WITHIN), row)
        self.assertEqual(find_lost((row,), set(), {"i-1"}, 101.0), row)
