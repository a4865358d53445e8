"""The experiment tool: the same draw each time, a market that runs dry, a fetch."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

import numpy as np

from bench.draws import Wave, draw, draw_arrivals, read_ranges
from bench.engines import Clock
from bench.experiment import Play, play_seed
from bench.market import Market
from bench.stepping import Run, SteppingEngine
from chervilwing.demands import PromptPart
from chervilwing.sizing import InstanceKind

RANGES = read_ranges()
SHORT = RANGES | {"seconds": 10.0, "work": [0.8, 0.8]}
PLAYED = "play_seed(3, [], SHORT)"
ROOT = Path(__file__).resolve().parent.parent
HISTORY = (PromptPart("history", 20_000), PromptPart("own", 100))


def make_deployment(seed=1, **changes):
    """Return a drawn deployment without troubles."""
    deployment = draw(SHORT, np.random.default_rng(seed))
    return deployment._replace(waves=(), bursts=(), crashes=(), **changes)


class TestDraws(unittest.TestCase):
    def test_one_seed_gives_one_outcome(self):
        # Two policies are compared on the same draws; noise of its own would hide what
        # they differ by.
        self.assertEqual(play_seed(3, [], SHORT), play_seed(3, [], SHORT))

    def test_one_seed_gives_one_outcome_in_every_process(self):
        # Two policies are played by two processes, each with hashes of its own: what
        # is drawn in the order of a set would differ between them, by 0.02 of worth.
        program = f"from tests.test_experiment import *; print({PLAYED})"
        outcomes = set()
        for number in ("0", "1", "2"):
            argv = [sys.executable, "-c", program]
            env = os.environ | {"PYTHONHASHSEED": number}
            outcomes.add(subprocess.check_output(argv, cwd=ROOT, env=env))
        self.assertEqual(len(outcomes), 1)

    def test_calm_is_served(self):
        deployment = make_deployment()
        arrivals = draw_arrivals(deployment, np.random.default_rng(1))
        found = Play(deployment, arrivals, 1).run()
        self.assertGreater(found.day, 0.9)


class TestMarket(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.told = []
        self.deployment = make_deployment()
        self.market = Market(
            self.clock, self.deployment, lambda item, gone: self.told.append(item)
        )
        self.market.start({InstanceKind("a", True): 2, InstanceKind("b", True): 1})

    def test_a_wave_takes_one_place_and_dries_the_market(self):
        self.market.reclaim(Wave(0.0, "a", notice=2.0, dry=10.0))
        self.assertFalse(self.market.order(InstanceKind("c", True), 1))
        self.assertTrue(self.market.order(InstanceKind("c", False), 1))
        self.clock.run(11.0)
        self.assertTrue(self.market.order(InstanceKind("c", True), 1))
        kinds = [member.kind for member in self.market.members.values()]
        self.assertNotIn(InstanceKind("a", True), kinds)
        self.assertIn(InstanceKind("b", True), kinds)

    def test_what_is_there_is_paid_for(self):
        self.clock.run(10.0)
        self.market.count_paid()
        prices, part = (
            self.deployment.fleet.prices,
            self.deployment.fleet.reclaimable_price,
        )
        paid = 10.0 * part * (2 * prices["a"] + prices["b"])
        self.assertAlmostEqual(self.market.seconds_paid, paid)


class TestSteppingEngine(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.figures = make_deployment().engine

    def read(self, engine, source=None):
        """Return the seconds until the first token."""
        began, at = self.clock.now, {}
        heard = lambda event: at.setdefault(event, self.clock.now)
        engine.arrive(Run(HISTORY, 4, heard, source))
        self.clock.run(began + 5.0)
        return at["first"] - began

    def test_a_history_that_is_kept_or_fetched_is_not_read(self):
        one, two, three = (SteppingEngine(self.clock, self.figures) for _ in range(3))
        cold = self.read(one)
        self.assertLess(self.read(one), cold / 3)
        self.assertLess(self.read(two, source=one), cold / 3)
        self.assertEqual(two.fetched_tokens, 20_000)
        one.kill()
        self.assertGreaterEqual(self.read(three, source=one), cold * 0.99)
