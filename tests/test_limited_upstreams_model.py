"""Upstreams' limits are met and used up by any number of instances.

In any window an upstream gets at most its limit, the credit that may be saved up and
the credit in transit between instances, whatever the instances know of each other.
``docs/design/ALLOWANCES.md`` has the proof.
"""

import random
import unittest

from chervilwing.allowances import IN_TRANSIT_SECONDS, PEER_TIMEOUT
from chervilwing.upstream_limits import BURST_TIME
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
# Least fraction of a limit that is used while more requests arrive, and least fraction
# of its usual share of requests that an upstream gets, starting BACK_AFTER seconds
# after its limit has ended.
USED_FRACTION = 0.8
SHARE_FRACTION = 0.5
BACK_AFTER = 2.0


def compute_bound(limit, parts=1.0):
    """Return the largest number of requests that may arrive in a window.

    It is the credit held at the window's start plus the credit created in it; see
    ALLOWANCES.md. ``parts`` is the sum of the fractions of the limit that the instances
    use, above 1 if they disagree on their number.
    """
    held_credit = max(1.0, limit * BURST_TIME) + limit * parts * (
        IN_TRANSIT_SECONDS + PEER_TIMEOUT
    )
    return held_credit + limit * parts * WINDOW + 1


def compute_tolerated(limit):
    """Return the load that an upstream tolerates: 1.5 times its limit, plus five."""
    return 1.5 * limit * WINDOW + 5


class TestCalm(unittest.TestCase):
    def run_limited(self, size, limit, rate=40.0, **more):
        """Return a fleet in which one of six upstreams has stated a limit."""
        fleet = LimitedFleet(size, 6, rate, seed=size, **more)
        fleet.run(SETTLE)
        fleet.set_limit("u0", limit)
        fleet.run(SETTLE + 2 * WINDOW)
        return fleet

    def check(self, fleet, limit):
        """Check that a limit is met in any window, and that it is used up."""
        # Without faults, the bound holds for the requests of all senders.
        most = fleet.count_most_in_window("u0", WINDOW, all_senders=True)
        self.assertLessEqual(most, compute_bound(limit))
        self.assertLessEqual(most, compute_tolerated(limit))
        used = fleet.count("u0", fleet.now - 2 * WINDOW)
        self.assertGreaterEqual(used, USED_FRACTION * limit * 2 * WINDOW - 1)
        self.assertEqual(fleet.refused_at, [])

    def test_few_instances_meet_and_use_a_limit(self):
        for size in (1, 3, 8):
            for limit in (0.5, 1.0, 5.0):
                with self.subTest(size=size, limit=limit):
                    self.check(self.run_limited(size, limit), limit)

    def test_many_instances_meet_and_use_a_limit(self):
        # The limit is far below one request per second for each instance.
        for size, limit in ((67, 0.5), (67, 5.0), (195, 1.0), (320, 1.0)):
            with self.subTest(size=size, limit=limit):
                self.check(self.run_limited(size, limit), limit)

    def test_a_large_limit_is_met_and_used(self):
        for size in (8, 67):
            with self.subTest(size=size):
                fleet = self.run_limited(size, 30.0, rate=400.0)
                self.check(fleet, 30.0)

    def test_retries_and_instances_that_choose_without_a_placer_count_too(self):
        # Half of the requests are retried, and a third of the asks to the placer
        # are lost.
        for size in (3, 8, 67):
            with self.subTest(size=size):
                fleet = self.run_limited(
                    size, 1.0, retried=0.5, lost_questions=0.3, loss=0.02
                )
                self.check(fleet, 1.0)

    def test_requests_are_refused_when_all_upstreams_are_limited(self):
        for size in (3, 67):
            with self.subTest(size=size):
                fleet = LimitedFleet(size, 3, 20.0, seed=1)
                fleet.run(SETTLE)
                for upstream in fleet.upstreams:
                    fleet.set_limit(upstream, 2.0)
                fleet.run(SETTLE + WINDOW)
                since = fleet.now - WINDOW
                sent = sum(item.at >= since for item in fleet.arrivals)
                refused = sum(at >= since for at in fleet.refused_at)
                self.assertGreaterEqual(sent, USED_FRACTION * 3 * 2.0 * WINDOW)
                self.assertGreaterEqual(refused, 0.5 * 20.0 * WINDOW)

    def test_an_upstream_has_its_share_again_soon_after_its_limit_ends(self):
        for size in (1, 8, 67, 195):
            with self.subTest(size=size):
                fleet = self.run_limited(size, 1.0)
                fleet.set_limit("u0", None)
                fleet.run(BACK_AFTER)
                since = fleet.now
                fleet.run(WINDOW)
                usual = 40.0 / 6 * WINDOW
                self.assertGreaterEqual(
                    fleet.count("u0", since), SHARE_FRACTION * usual
                )
                known = [node.limits.count() for node in fleet.nodes.values()]
                self.assertEqual(sum(known), 0)


FAULTS = (cut_some, cut_all, cut_centre, heal, restart_some, freeze_some, add_some)
# Sum of the instances' fractions of a limit after their number has grown by half, while
# the old instances don't know of the new ones and keep their larger fractions.
MAX_FRACTIONS_SUM = 1.5


class TestFaults(unittest.TestCase):
    def test_a_limit_is_met_despite_cuts_freezes_and_restarts(self):
        # Instances are cut off, frozen, restarted and added in turn. An instance that
        # is cut off continues with its own share, and the others with theirs.
        for seed, size in enumerate((3, 8, 8, 30, 67, 67)):
            for limit in (1.0, 20.0):
                with self.subTest(size=size, seed=seed, limit=limit):
                    fleet = self.run_faults(size, limit, seed)
                    most = fleet.count_most_in_window("u0", WINDOW)
                    self.assertLessEqual(most, compute_bound(limit, MAX_FRACTIONS_SUM))
                    self.assertLessEqual(most, compute_tolerated(limit))

    def run_faults(self, size, limit, seed):
        """Return a fleet that has run through random faults with a limit stated."""
        rng = random.Random(seed)
        rate = 40.0 + 10.0 * limit
        fleet = LimitedFleet(size, 6, rate, seed, retried=0.2, lost_questions=0.05)
        fleet.run(SETTLE)
        fleet.set_limit("u0", limit)
        fleet.run(SETTLE)
        for _ in range(5):
            rng.choice(FAULTS)(fleet, rng)
            fleet.run(rng.uniform(0.5, 3.0))
        return fleet


if __name__ == "__main__":
    unittest.main()
