"""Each of these gateway tests must fail once the mechanism it tests is removed."""

import unittest

from tests import weakened
from tests.weakened_gateway import GATEWAY_WEAKNESSES


class TestWeakenedGateway(unittest.TestCase):
    def test_every_weakness_shows(self):
        for weakness in GATEWAY_WEAKNESSES:
            for test, found in weakened.play(weakness).items():
                with self.subTest(weakness=weakness.name, test=test):
                    self.assertNotEqual(found, [])
