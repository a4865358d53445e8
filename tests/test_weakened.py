"""Each scenario must fail once the mechanism that it tests is removed."""

import unittest

from tests import scenarios, weakened


class TestWeakened(unittest.TestCase):
    def test_every_weakness_shows(self):
        for weakness in weakened.WEAKNESSES:
            for scenario, found in weakened.play(weakness).items():
                with self.subTest(weakness=weakness.name, scenario=scenario):
                    self.assertNotEqual(found, [])

    def test_every_scenario_has_a_weakness(self):
        covered = {name for one in weakened.WEAKNESSES for name in one.scenarios}
        names = {path.stem for path in scenarios.SCENARIOS.glob("*.scn")}
        self.assertEqual(names - covered, set())
