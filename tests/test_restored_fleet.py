"""Fleets of 1 to 320 instances whose store returns from copies, in random orders."""

import os
import unittest

from tests.restored_fleet import Fleet

# Instances and seconds of each run; the seeds of a run by hand:
# RESTORED_SEEDS=50 python -m unittest tests.test_restored_fleet
RUNS = ((1, 40), (3, 40), (8, 40), (67, 15), (320, 10))
# Runs that failed: young news of a leader that was cut off cancelled the list that was
# due, or news in parts hid a deletion.
FAILED = (
    (1, 25),
    (8, 9),
    (8, 18),
    (8, 23),
    (8, 24),
    (8, 31),
    (8, 43),
    (67, 11),
    (67, 19),
)
SEEDS = int(os.environ.get("RESTORED_SEEDS", "3"))
# Lists that a follower with a leader makes for one return, at most, on average.
MAX_LISTS = 0.2


def play(fleet, seconds):
    """Run a fleet while changes, faults and drills come at random."""
    steps = (
        (fleet.publish, 0.25),
        (fleet.add_upstream, 0.2),
        (fleet.remove_upstream, 0.2),
        (fleet.store.save, 0.12),
        (fleet.drill, 0.05),
        (lambda: fleet.trouble("frozen", fleet.rng.uniform(0.5, 6.0)), 0.05),
        (lambda: fleet.trouble("cut", fleet.rng.uniform(0.5, 6.0)), 0.05),
        (fleet.replace, 0.03),
    )
    functions, weights = zip(*steps, strict=True)
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.run(fleet.rng.expovariate(3.0))
        (function,) = fleet.rng.choices(functions, weights)
        function()


class TestRestoredFleet(unittest.TestCase):
    def test_what_is_acknowledged_is_in_force_in_any_order_of_drills(self):
        seconds_by_size = dict(RUNS)
        runs = {(size, seed) for size in seconds_by_size for seed in range(SEEDS)}
        for size, seed in sorted(runs.union(FAILED)):
            seconds = seconds_by_size[size]
            with self.subTest(size=size, seed=seed):
                fleet = Fleet(size, seed)
                for _ in range(10):
                    fleet.add_upstream()
                fleet.publish()
                fleet.run(2.0)
                play(fleet, seconds)
                fleet.run(15.0)
                self.assertEqual(fleet.failures[:3], [])
                for instance in fleet.instances.values():
                    self.assertEqual(
                        {k: i.value for k, i in instance.mirror.items.items()},
                        {k: v for k, (_, v) in fleet.store.items.items()},
                    )

    def test_followers_learn_of_a_return_without_listing(self):
        # Hundreds of instances that list at once exhaust the store's rate limit just
        # when it is back.
        fleet = Fleet(320, 1)
        for _ in range(300):
            fleet.add_upstream()
        fleet.run(5.0)
        fleet.store.save()
        fleet.publish()
        fleet.run(3.0)
        before = sum(instance.lists for instance in fleet.instances.values())
        fleet.drill()
        fleet.run(8.0)
        after = sum(instance.lists for instance in fleet.instances.values())
        self.assertLess(after - before, MAX_LISTS * 320)
