"""Run every scenario file, and random faults over fixed seeds."""

import unittest

from tests import explorer, scenarios

STORY_LINES = range(2, 6)
# Between them these show every weakness that random faults found in 20 seeds.
SEEDS = (0, 1, 2, 4, 6, 10, 16, 81, 144, 1029)


class TestScenarios(unittest.TestCase):
    def test_files(self):
        for path in sorted(scenarios.SCENARIOS.glob("*.scn")):
            with self.subTest(scenario=path.stem):
                text = path.read_text()
                lines = text.splitlines()
                story = [line for line in lines if line.startswith("#")]
                self.assertIn(len(story), STORY_LINES)
                self.assertEqual(scenarios.run(text), [])

    def test_random_faults(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(explorer.explore(seed), [])
