"""Limits that upstreams name, held and used by any number of instances.

In any window an upstream gets its limit, what may be saved up of it and what is under
way between instances, whatever they believe of each other. The argument is in
``docs/design/ALLOWANCES.md``.
"""

import random
import unittest

from chervilwing.allowances import HEARD_FOR, UNDER_WAY
from chervilwing.upstream_limits import SAVED_FOR
from tests.limited_fleet import LimitedFleet
from tests.test_allowances_model import (
    add_some,
    cut_all,
    cut_centre,
    cut_some,
    freeze_some,
    heal,
    restart_some,
)

WINDOW = 4.0
SETTLE = 3.0
# Part of a limit that is used while more is asked for, and of an upstream's usual share
# that it has again two seconds after its limit has ended.
USED_PART = 0.8
SHARE_PART = 0.5
BACK_AFTER = 2.0


def measure_bound(limit, parts=1.0):
    """Return the most that may arrive in a window; ``parts`` sums what instances take.

    See ALLOWANCES.md: what is held at its start and what comes into being in it.
    """
    held = max(1.0, limit * SAVED_FOR) + limit * parts * (UNDER_WAY + HEARD_FOR)
    return held + limit * parts * WINDOW + 1


def measure_allowed(limit):
    """Return what an upstream bears in a window: half as much again, and five."""
    return 1.5 * limit * WINDOW + 5


class TestCalm(unittest.TestCase):
    def play(self, size, limit, rate=40.0, **more):
        """Let one of six upstreams name a limit for some time."""
        fleet = LimitedFleet(size, 6, rate, seed=size, **more)
        fleet.run(SETTLE)
        fleet.name_limit("u0", limit)
        fleet.run(SETTLE + 2 * WINDOW)
        return fleet

    def check(self, fleet, limit):
        """Check that a limit is held in any window, and that it is used."""
        # In calm nothing but the bound counts, whoever sent it.
        most = fleet.measure_most("u0", WINDOW, all_senders=True)
        self.assertLessEqual(most, measure_bound(limit))
        self.assertLessEqual(most, measure_allowed(limit))
        used = fleet.count("u0", fleet.now - 2 * WINDOW)
        self.assertGreaterEqual(used, USED_PART * limit * 2 * WINDOW - 1)
        self.assertEqual(fleet.refused_at, [])

    def test_a_limit_is_held_and_used_by_few_instances(self):
        for size in (1, 3, 8):
            for limit in (0.5, 1.0, 5.0):
                with self.subTest(size=size, limit=limit):
                    self.check(self.play(size, limit), limit)

    def test_a_limit_is_held_and_used_by_many_instances(self):
        # It is far less than one request a second for each instance.
        for size, limit in ((67, 0.5), (67, 5.0), (195, 1.0), (320, 1.0)):
            with self.subTest(size=size, limit=limit):
                self.check(self.play(size, limit), limit)

    def test_a_large_limit_is_held_and_used(self):
        for size in (8, 67):
            with self.subTest(size=size):
                fleet = self.play(size, 30.0, rate=400.0)
                self.check(fleet, 30.0)

    def test_retries_and_instances_that_choose_alone_count_too(self):
        # Half of all is sent once more, and a third of the questions are lost.
        for size in (3, 8, 67):
            with self.subTest(size=size):
                fleet = self.play(size, 1.0, retried=0.5, alone=0.3, loss=0.02)
                self.check(fleet, 1.0)

    def test_where_all_upstreams_are_limited_the_rest_is_refused(self):
        for size in (3, 67):
            with self.subTest(size=size):
                fleet = LimitedFleet(size, 3, 20.0, seed=1)
                fleet.run(SETTLE)
                for upstream in fleet.upstreams:
                    fleet.name_limit(upstream, 2.0)
                fleet.run(SETTLE + WINDOW)
                since = fleet.now - WINDOW
                sent = sum(item.at >= since for item in fleet.arrivals)
                refused = sum(at >= since for at in fleet.refused_at)
                self.assertGreaterEqual(sent, USED_PART * 3 * 2.0 * WINDOW)
                self.assertGreaterEqual(refused, 0.5 * 20.0 * WINDOW)

    def test_an_upstream_has_its_share_again_soon_after_its_limit_ends(self):
        for size in (1, 8, 67, 195):
            with self.subTest(size=size):
                fleet = self.play(size, 1.0)
                fleet.name_limit("u0", None)
                fleet.run(BACK_AFTER)
                since = fleet.now
                fleet.run(WINDOW)
                usual = 40.0 / 6 * WINDOW
                self.assertGreaterEqual(fleet.count("u0", since), SHARE_PART * usual)
                known = [node.limits.count() for node in fleet.nodes.values()]
                self.assertEqual(sum(known), 0)


TROUBLES = (cut_some, cut_all, cut_centre, heal, restart_some, freeze_some, add_some)
# Most instances that are added stand beside ones that don't know of them, which keep
# the larger part that was theirs: half as many more, unknown to all the others.
MOST_PARTS = 1.5


class TestTroubles(unittest.TestCase):
    def test_a_limit_is_held_whatever_becomes_of_the_instances(self):
        # Cuts, freezes, restarts and additions in turn. An instance that is cut off
        # goes on with its own part, and those it can't reach have theirs.
        for seed, size in enumerate((3, 8, 8, 30, 67, 67)):
            for limit in (1.0, 20.0):
                with self.subTest(size=size, seed=seed, limit=limit):
                    fleet = self.play(size, limit, seed)
                    most = fleet.measure_most("u0", WINDOW)
                    self.assertLessEqual(most, measure_bound(limit, MOST_PARTS))
                    self.assertLessEqual(most, measure_allowed(limit))

    def play(self, size, limit, seed):
        """Let an upstream name a limit through a day of troubles."""
        rng = random.Random(seed)
        rate = 40.0 + 10.0 * limit
        fleet = LimitedFleet(size, 6, rate, seed, retried=0.2, alone=0.05)
        fleet.run(SETTLE)
        fleet.name_limit("u0", limit)
        fleet.run(SETTLE)
        for _ in range(5):
            rng.choice(TROUBLES)(fleet, rng)
            fleet.run(rng.uniform(0.5, 3.0))
        return fleet


if __name__ == "__main__":
    unittest.main()
