"""Random series of kills, freezes and starts beside a part that crashes engines.

Run more seeds by hand: python -m tests.test_crashing_parts_randomised FIRST COUNT
"""

import random
import sys
import unittest

from tests.part_fleet import KNOWN_AFTER, PartFleet

SEEDS = (1,)
ENGINES = 5
STEPS = 5
SIZES = (2, 3, 4)
RATES = (2.0, 5.0)
# Part of the calm time's served sound requests that is served once the part is known.
# The platform bears half.
MIN_PART = 0.5


class TestRandomised(PartFleet):
    """Guard against parts that come back, and bars on what is only beside them."""

    def test_series_of_kills_freezes_and_starts(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(random.Random(seed))
            # Each seed has processes of its own.
            self.doCleanups()
            self.setUp()

    def play(self, rng):
        """Play one series and check what engines and callers saw."""
        self.start_all(rng.choice(SIZES), ENGINES, rng.random())
        rate = rng.choice(RATES)
        self.run_for(2.0)
        calm = self.rate_sound(0.0)
        for _ in range(STEPS):
            self.run_for(rng.uniform(0.5, 3.0), rate)
            self.disturb(rng)
        self.run_for(2 * KNOWN_AFTER, rate)
        settled_at = self.now()
        self.run_for(3.0, rate)
        self.wait()
        self.assertEqual(self.count_late(), 0)
        if self.get_known_at() + KNOWN_AFTER < settled_at:
            self.assertGreaterEqual(self.rate_sound(settled_at), calm * MIN_PART)

    def disturb(self, rng):
        """Kill, freeze or stop one instance or all of them, or start another."""
        action = rng.choice(("kill", "kill all", "freeze", "stop", "start"))
        names = list(self.gateways) if action == "kill all" else [self.pick(rng)]
        if action == "start":
            self.start_instance(f"g{len(self.gateways)}")
            return
        for name in names:
            gateway = self.gateways[name]
            if action == "freeze":
                gateway.freeze()
                self.run_for(rng.uniform(0.2, 1.5), 0.0)
                gateway.resume()
                self.record_disturbed(name)
                continue
            gateway.terminate() if action == "stop" else gateway.kill()
        if action != "freeze":
            for name in names:
                self.start_instance(name)

    def pick(self, rng):
        """Return the name of an instance."""
        return rng.choice(list(self.gateways))


if __name__ == "__main__":
    first, count = map(int, sys.argv[1:3])
    SEEDS = range(first, first + count)
    unittest.main(argv=sys.argv[:1])
