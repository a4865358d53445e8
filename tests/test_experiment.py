"""Tests of the experiment: reproducible results, refused orders and cache fetches."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

import numpy as np

from bench.draws import Reclaim, draw, draw_arrivals, read_ranges
from bench.engines import Clock
from bench.experiment import Simulation, simulate_seed
from bench.market import Market
from bench.stepping import Run, SteppingEngine
from chervilwing.demands import PromptPart
from chervilwing.sizing import InstanceKind

RANGES = read_ranges()
SHORT = RANGES | {"seconds": 10.0, "work": [0.8, 0.8]}
SIMULATION_EXPRESSION = "simulate_seed(3, [], SHORT)"
ROOT = Path(__file__).resolve().parent.parent
HISTORY = (PromptPart("history", 20_000), PromptPart("own", 100))


def make_deployment(seed=1, **changes):
    """Return a random deployment without bursts, reclaims or crashes."""
    deployment = draw(SHORT, np.random.default_rng(seed))
    return deployment._replace(waves=(), bursts=(), crashes=(), **changes)


class TestDraws(unittest.TestCase):
    def test_outcome_of_a_seed_is_reproducible(self):
        # Two policies are compared on the same seeds; random variation between runs
        # would hide their difference.
        self.assertEqual(simulate_seed(3, [], SHORT), simulate_seed(3, [], SHORT))

    def test_outcome_of_a_seed_is_independent_of_the_hash_seed(self):
        # Two policies run in two processes with different hash seeds. Drawing in the
        # order of a set would make their results differ, by 0.02 of worth.
        program = f"from tests.test_experiment import *; print({SIMULATION_EXPRESSION})"
        outcomes = set()
        for number in ("0", "1", "2"):
            argv = [sys.executable, "-c", program]
            env = os.environ | {"PYTHONHASHSEED": number}
            outcomes.add(subprocess.check_output(argv, cwd=ROOT, env=env))
        self.assertEqual(len(outcomes), 1)

    def test_load_without_faults_is_served(self):
        deployment = make_deployment()
        arrivals = draw_arrivals(deployment, np.random.default_rng(1))
        found = Simulation(deployment, arrivals, 1).run()
        self.assertGreater(found.day, 0.9)


class TestMarket(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.changed = []
        self.deployment = make_deployment()
        self.market = Market(
            self.clock, self.deployment, lambda item, gone: self.changed.append(item)
        )
        self.market.start({InstanceKind("a", True): 2, InstanceKind("b", True): 1})

    def test_reclaim_affects_one_data_centre_and_blocks_reclaimable_orders(self):
        self.market.reclaim(Reclaim(0.0, "a", notice=2.0, dry=10.0))
        self.assertFalse(self.market.order(InstanceKind("c", True), 1))
        self.assertTrue(self.market.order(InstanceKind("c", False), 1))
        self.clock.run(11.0)
        self.assertTrue(self.market.order(InstanceKind("c", True), 1))
        kinds = [member.kind for member in self.market.members.values()]
        self.assertNotIn(InstanceKind("a", True), kinds)
        self.assertIn(InstanceKind("b", True), kinds)

    def test_running_instances_are_paid_for(self):
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

    def measure_first_token(self, engine, source=None):
        """Return the seconds from arrival to the first token of a request."""
        began, at = self.clock.now, {}
        notify = lambda event: at.setdefault(event, self.clock.now)
        engine.arrive(Run(HISTORY, 4, notify, source))
        self.clock.run(began + 5.0)
        return at["first"] - began

    def test_cached_or_fetched_history_needs_no_prefill(self):
        first, second, third = (
            SteppingEngine(self.clock, self.figures) for _ in range(3)
        )
        cold = self.measure_first_token(first)
        self.assertLess(self.measure_first_token(first), cold / 3)
        self.assertLess(self.measure_first_token(second, source=first), cold / 3)
        self.assertEqual(second.fetched_tokens, 20_000)
        first.kill()
        self.assertGreaterEqual(
            self.measure_first_token(third, source=first), cold * 0.99
        )
