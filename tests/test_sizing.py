"""Numbers of upstreams ordered: reclaims, scarcity, refused, lost and late orders."""

import unittest

from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.routing import FleetSpec
from chervilwing.sizing import (
    DENIED_WAIT,
    KEEP_ON_DEMAND_FOR,
    MAX_DENIED_WAIT,
    PEAK_WINDOW,
    SETTLE_TIME,
    InstanceKind,
    Sizing,
    WorkMeter,
)

FLEET = FleetSpec(1, 3, 4.0, 0.22, {"a": 0.85, "b": 1.2, "c": 1.0})
CENTRES = tuple("abc")


def make_members(reclaimable=2, others=(), leaving=()):
    """Return registrations of a pool.

    ``reclaimable`` is the number per data centre, ``others`` names the data centres of
    on-demand upstreams, ``leaving`` those whose reclaimable upstreams are leaving.
    """
    members = []
    for centre in CENTRES:
        for number in range(reclaimable):
            name = f"{centre}{number}"
            is_leaving = centre in leaving
            members.append(make_member(name, centre, True, is_leaving))
    return members + [make_member(f"o{c}{i}", c, False) for i, c in enumerate(others)]


def make_member(name, centre, reclaimable, leaving=False):
    """Return one registration."""
    address = Address("10.0.0.1", 80)
    return Registration(name, "pool", address, centre, 64, leaving, reclaimable)


def count(plan, reclaimable):
    """Return a plan's number of reclaimable or of on-demand upstreams."""
    return sum(n for kind, n in plan.items() if kind.reclaimable == reclaimable)


class TestSizing(unittest.TestCase):
    def setUp(self):
        self.sizing = Sizing()
        # The work has been measured for long enough to be trusted.
        self.sizing.meter.update({"one": (1, 0.0)}, -2 * SETTLE_TIME)
        self.sizing.meter.update({"one": (1, 0.1)}, -2 * SETTLE_TIME + 1)
        self.sizing.meter.rate = 1.3

    def plan(self, members, now=0.0):
        """Return the plan for these members."""
        return self.sizing.plan(FLEET, members, now)

    def test_without_notices_only_reclaimable_upstreams_are_ordered(self):
        # An on-demand upstream costs as much as five reclaimable ones, and these
        # already suffice for the loss of a data centre.
        plan = self.plan(make_members())
        self.assertEqual(count(plan, True), 6)
        self.assertEqual(count(plan, False), 0)

    def test_a_first_notice_orders_little_while_another_loss_is_bearable(self):
        # Four upstreams in two data centres do the work, and two could still do it.
        # On-demand upstreams ordered at the first notice would be idle for as long as
        # reclaimable ones are unavailable.
        plan = self.plan(make_members(leaving=("b",)))
        self.assertEqual(count(plan, False), 1)
        self.sizing.meter.rate = 0.5
        fewer = Sizing()
        fewer.meter = self.sizing.meter
        members = make_members(reclaimable=3, leaving=("b",))
        self.assertEqual(count(fewer.plan(FLEET, members, 0.0), False), 0)

    def test_a_second_notice_orders_enough_on_demand_upstreams(self):
        # One data centre after the other loses its reclaimable upstreams within ten
        # seconds, and no new ones are available. If on-demand upstreams were ordered
        # only when the last ones leave, every caller would wait while they boot.
        members = make_members(leaving=("a", "b"))
        self.assertGreaterEqual(count(self.plan(members), False), 3)

    def test_a_refused_order_counts_as_scarcity(self):
        members = make_members(reclaimable=1)
        calm = Sizing()
        calm.meter = self.sizing.meter
        self.assertEqual(count(calm.plan(FLEET, members, 1.0), False), 0)
        self.sizing.record_denied(InstanceKind("b", True), 0.0)
        self.assertGreaterEqual(count(self.plan(members, 1.0), False), 1)

    def test_on_demand_upstreams_are_released_once_scarcity_ends(self):
        self.plan(make_members(leaving=("a", "b")), 0.0)
        members = make_members(others=("a", "c", "b"))
        self.assertGreaterEqual(
            count(self.plan(members, KEEP_ON_DEMAND_FOR - 1), False), 3
        )
        self.plan(members, KEEP_ON_DEMAND_FOR + 1)
        self.assertEqual(count(self.plan(members, 3 * KEEP_ON_DEMAND_FOR), False), 0)

    def test_a_refused_kind_is_not_ordered_again_for_a_while(self):
        kind = InstanceKind("b", True)
        self.sizing.record_denied(kind, 0.0)
        due = dict(self.sizing.list_due_orders(FLEET, make_members(), DENIED_WAIT / 2))
        self.assertNotIn(kind, due)
        due = dict(
            self.sizing.list_due_orders(FLEET, make_members(), DENIED_WAIT * 1.1)
        )
        self.assertIn(kind, due)

    def test_repeated_refusals_increase_the_wait(self):
        # No upstreams are available for twenty seconds. If the order were repeated at a
        # constant interval, each repetition would cost money.
        kind, asked, now = InstanceKind("b", True), 0, 0.0
        while now < 30.0:
            if kind in dict(self.sizing.list_due_orders(FLEET, make_members(), now)):
                self.sizing.record_denied(kind, now)
                asked += 1
            now += 0.05
        self.assertLessEqual(asked, 1 + 30.0 / MAX_DENIED_WAIT + 1)

    def order_all(self, members, now):
        """Record every order that is due as accepted; return the orders."""
        due = self.sizing.list_due_orders(FLEET, members, now)
        for kind, number in due:
            self.sizing.record_ordered(kind, number, now)
        return due

    def test_an_order_is_repeated_only_if_it_has_no_effect(self):
        # The platform accepts an order and executes it late or never. Repeating it at
        # each check would cost a call each time; without any repeat the pool would stay
        # too small.
        members = make_members()
        self.assertTrue(self.order_all(members, 0.0))
        self.assertEqual(self.order_all(members, 20.0), [])
        fewer = [item for item in members if item.data_centre != "b"]
        self.assertEqual(self.order_all(fewer, 20.0), [(InstanceKind("b", True), 2)])
        self.assertEqual(self.order_all(fewer, 21.0), [])

    def test_a_new_holder_of_the_duty_lease_issues_all_orders_again(self):
        members = make_members()
        self.order_all(members, 0.0)
        self.sizing.reset_orders()
        self.assertEqual(len(self.order_all(members, 1.0)), 6)

    def test_on_demand_upstreams_never_displace_serving_ones(self):
        # After a restart of all processes the first measured work is far too high, and
        # more is required than the maximum. On-demand upstreams that fill the maximum
        # would cause serving reclaimable ones to be released seconds before they boot.
        self.sizing.meter.rate = 6.0
        self.sizing.record_denied(InstanceKind("a", True), 0.0)
        plan = self.plan(make_members(reclaimable=2), 1.0)
        for centre in CENTRES:
            self.assertGreaterEqual(plan[InstanceKind(centre, True)], 2)
        # Free places up to the maximum are used.
        self.assertEqual(count(plan, False), 3)

    def test_each_data_centre_stays_within_minimum_and_maximum(self):
        for rate in (0.0, 1.0, 3.0, 9.0, 99.0):
            self.sizing.meter.rate = rate
            for now, members in enumerate((make_members(), make_members(0), [])):
                plan = self.plan(members, now)
                for centre in CENTRES:
                    total = (
                        plan[InstanceKind(centre, True)]
                        + plan[InstanceKind(centre, False)]
                    )
                    self.assertIn(total, range(FLEET.minimum, FLEET.maximum + 1))


class TestStart(unittest.TestCase):
    """All instances start at once, and the work is not yet known."""

    def setUp(self):
        self.sizing = Sizing()
        self.fleet = FLEET._replace(maximum=40)

    def work(self, second, rate):
        """Measure work at a constant rate up to a second."""
        self.sizing.meter.update({"one": (1, second * rate)}, second)

    def ordered(self, now):
        """Return how many reclaimable upstreams the due orders ask for in total."""
        due = self.sizing.list_due_orders(self.fleet, [], now)
        return sum(count for kind, count in due if kind.reclaimable)

    def test_a_fraction_of_the_maximum_is_ordered_before_the_work_is_known(self):
        # With two upstreams per data centre, as for no work, only one caller in five
        # was served until the work was measured and more upstreams had booted.
        self.assertGreaterEqual(self.ordered(0.0), 30)
        for second in range(40):
            self.work(second, 1.0)
            if 1 < second < SETTLE_TIME:
                self.assertGreaterEqual(self.ordered(second), 30)
        self.assertLess(self.ordered(39.0), 12)
        self.assertGreaterEqual(SETTLE_TIME, 4.0)

    def test_measured_work_counts_at_once_if_it_needs_more(self):
        # After all processes were killed during the day, the work is high at once.
        for second in range(4):
            self.work(second, 14.0)
        self.assertGreaterEqual(self.ordered(3.0), 35)

    def test_a_short_lull_between_bursts_releases_no_upstreams(self):
        for second in range(30):
            self.work(second, 8.0)
        high = self.ordered(29.0)
        for second in range(30, 34):
            self.sizing.meter.update({"one": (1, 240.0)}, second)
        self.assertLess(self.sizing.meter.rate, 7.0)
        self.assertEqual(self.ordered(33.0), high)
        self.assertGreater(PEAK_WINDOW, 4)


class TestWorkMeter(unittest.TestCase):
    def test_the_rate_is_the_sum_of_all_instances_despite_a_restart(self):
        meter = WorkMeter()
        for second in range(60):
            start = 1 if second < 30 else 2
            total = second if second < 30 else second - 30
            totals = {"one": (1, second * 0.5), "two": (start, float(total))}
            meter.update(totals, float(second))
        self.assertAlmostEqual(meter.rate, 1.5, places=1)
