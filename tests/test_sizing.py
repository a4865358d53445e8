"""How many instances are ordered: waves, scarcity, refusals, lost and late orders."""

import unittest

from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.routing import FleetTraits
from chervilwing.sizing import (
    DENIED_FOR,
    HOLD,
    KEPT_FOR,
    LONGEST_DENIED,
    SETTLE,
    Kind,
    Sizing,
    WorkMeter,
)

FLEET = FleetTraits(1, 3, 4.0, 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})
CENTRES = tuple("abc")


def make_members(reclaimable=2, others=(), leaving=()):
    """Return registrations: some in each data centre, others by data centre."""
    members = []
    for centre in CENTRES:
        for number in range(reclaimable):
            name = f"{centre}{number}"
            gone = centre in leaving
            members.append(make_member(name, centre, True, gone))
    return members + [make_member(f"o{c}{i}", c, False) for i, c in enumerate(others)]


def make_member(name, centre, reclaimable, leaving=False):
    """Return one registration."""
    address = Address("10.0.0.1", 80)
    return Registration(name, "pool", address, centre, 64, leaving, reclaimable)


def count(plan, reclaimable):
    """Return how many instances of one kind a plan has."""
    return sum(n for kind, n in plan.items() if kind.reclaimable == reclaimable)


class TestSizing(unittest.TestCase):
    def setUp(self):
        self.sizing = Sizing()
        # Long ago work began and was measured.
        self.sizing.meter.measure({"one": (1, 0.0)}, -2 * SETTLE)
        self.sizing.meter.measure({"one": (1, 0.1)}, -2 * SETTLE + 1)
        self.sizing.meter.rate = 1.3

    def plan(self, members, now=0.0):
        """Return the plan for these members."""
        return self.sizing.plan(FLEET, members, now)

    def test_in_calm_all_can_be_reclaimed(self):
        # One that can't be reclaimed costs five of those that can, and what stands
        # bears the loss of a data centre without it.
        plan = self.plan(make_members())
        self.assertEqual(count(plan, True), 6)
        self.assertEqual(count(plan, False), 0)

    def test_a_first_notice_buys_nothing_while_one_more_can_be_borne(self):
        # Four in two data centres carry the work, and two still would. Bought at the
        # first notice, others stand idle for as long as the market is dry.
        plan = self.plan(make_members(leaving=("b",)))
        self.assertEqual(count(plan, False), 1)
        self.sizing.meter.rate = 0.5
        fewer = Sizing()
        fewer.meter = self.sizing.meter
        members = make_members(reclaimable=3, leaving=("b",))
        self.assertEqual(count(fewer.plan(FLEET, members, 0.0), False), 0)

    def test_a_second_notice_buys_what_suffices_alone(self):
        # Data centre by data centre loses its reclaimable instances within ten seconds
        # and none are to be had: ordered when the last ones leave, the others would
        # boot while every caller waits.
        members = make_members(leaving=("a", "b"))
        self.assertGreaterEqual(count(self.plan(members), False), 3)

    def test_a_refused_order_counts_as_scarcity(self):
        members = make_members(reclaimable=1)
        calm = Sizing()
        calm.meter = self.sizing.meter
        self.assertEqual(count(calm.plan(FLEET, members, 1.0), False), 0)
        self.sizing.note_denied(Kind("b", True), 0.0)
        self.assertGreaterEqual(count(self.plan(members, 1.0), False), 1)

    def test_the_others_go_back_once_the_market_is_calm(self):
        self.plan(make_members(leaving=("a", "b")), 0.0)
        members = make_members(others=("a", "c", "b"))
        self.assertGreaterEqual(count(self.plan(members, KEPT_FOR - 1), False), 3)
        self.plan(members, KEPT_FOR + 1)
        self.assertEqual(count(self.plan(members, 3 * KEPT_FOR), False), 0)

    def test_a_refused_kind_is_left_alone_for_a_while(self):
        kind = Kind("b", True)
        self.sizing.note_denied(kind, 0.0)
        due = dict(self.sizing.list_due(FLEET, make_members(), DENIED_FOR / 2))
        self.assertNotIn(kind, due)
        due = dict(self.sizing.list_due(FLEET, make_members(), DENIED_FOR * 1.1))
        self.assertIn(kind, due)

    def test_who_is_refused_again_asks_less_often(self):
        # For twenty seconds none are to be had anywhere, and each order is paid for.
        kind, asked, now = Kind("b", True), 0, 0.0
        while now < 30.0:
            if kind in dict(self.sizing.list_due(FLEET, make_members(), now)):
                self.sizing.note_denied(kind, now)
                asked += 1
            now += 0.05
        self.assertLessEqual(asked, 1 + 30.0 / LONGEST_DENIED + 1)

    def order_all(self, members, now):
        """Give every order that is due and return them."""
        due = self.sizing.list_due(FLEET, members, now)
        for kind, number in due:
            self.sizing.note_ordered(kind, number, now)
        return due

    def test_an_order_is_given_once_and_again_only_without_effect(self):
        # The platform takes an order and carries it out late, or never: repeated at
        # each look it would cost a call each, never repeated the pool would stay small.
        members = make_members()
        self.assertTrue(self.order_all(members, 0.0))
        self.assertEqual(self.order_all(members, 20.0), [])
        fewer = [item for item in members if item.data_centre != "b"]
        self.assertEqual(self.order_all(fewer, 20.0), [(Kind("b", True), 2)])
        self.assertEqual(self.order_all(fewer, 21.0), [])

    def test_a_new_holder_orders_all_anew(self):
        members = make_members()
        self.order_all(members, 0.0)
        self.sizing.forget_orders()
        self.assertEqual(len(self.order_all(members, 1.0)), 6)

    def test_others_never_take_the_places_of_those_that_serve(self):
        # All processes start again, and the first figures of the work are far too high.
        # More is needed than may be ordered; others that fill the bound would have the
        # reclaimable ones given back that serve, seconds before they have booted.
        self.sizing.meter.rate = 6.0
        self.sizing.note_denied(Kind("a", True), 0.0)
        plan = self.plan(make_members(reclaimable=2), 1.0)
        for centre in CENTRES:
            self.assertGreaterEqual(plan[Kind(centre, True)], 2)
        # Places that are free are taken.
        self.assertEqual(count(plan, False), 3)

    def test_no_data_centre_leaves_its_bounds(self):
        for rate in (0.0, 1.0, 3.0, 9.0, 99.0):
            self.sizing.meter.rate = rate
            for now, members in enumerate((make_members(), make_members(0), [])):
                plan = self.plan(members, now)
                for centre in CENTRES:
                    total = plan[Kind(centre, True)] + plan[Kind(centre, False)]
                    self.assertIn(total, range(FLEET.minimum, FLEET.maximum + 1))


class TestStart(unittest.TestCase):
    """All instances start at once, and nobody knows the work."""

    def setUp(self):
        self.sizing = Sizing()
        self.fleet = FLEET._replace(maximum=40)

    def work(self, second, rate):
        """Measure work up to a second."""
        self.sizing.meter.measure({"one": (1, second * rate)}, second)

    def ordered(self, now):
        """Return how many reclaimable engines the orders that are due ask for."""
        due = self.sizing.list_due(self.fleet, [], now)
        return sum(count for kind, count in due if kind.reclaimable)

    def test_a_part_of_the_bound_is_ordered_before_the_work_is_known(self):
        # Two a data centre, as for no work, served one caller in five for as long as it
        # took to see the work and to boot.
        self.assertGreaterEqual(self.ordered(0.0), 30)
        for second in range(40):
            self.work(second, 1.0)
            if 1 < second < SETTLE:
                self.assertGreaterEqual(self.ordered(second), 30)
        self.assertLess(self.ordered(39.0), 12)
        self.assertGreaterEqual(SETTLE, 4.0)

    def test_work_that_is_seen_counts_at_once(self):
        # All were killed in the middle of the day: what is measured counts at once.
        for second in range(4):
            self.work(second, 14.0)
        self.assertGreaterEqual(self.ordered(3.0), 35)

    def test_a_lull_between_two_waves_gives_nothing_back(self):
        for second in range(30):
            self.work(second, 8.0)
        high = self.ordered(29.0)
        for second in range(30, 34):
            self.sizing.meter.measure({"one": (1, 240.0)}, second)
        self.assertLess(self.sizing.meter.rate, 7.0)
        self.assertEqual(self.ordered(33.0), high)
        self.assertGreater(HOLD, 4)


class TestWorkMeter(unittest.TestCase):
    def test_it_adds_up_all_instances_and_passes_over_a_restart(self):
        meter = WorkMeter()
        for second in range(60):
            start = 1 if second < 30 else 2
            total = second if second < 30 else second - 30
            totals = {"one": (1, second * 0.5), "two": (start, float(total))}
            meter.measure(totals, float(second))
        self.assertAlmostEqual(meter.rate, 1.5, places=1)
