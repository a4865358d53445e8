"""Each of the gateway's tests must go red without the guard that it is for."""

import unittest

from tests import weakened
from tests.weakened_gateway import GATEWAY_WEAKNESSES


class TestWeakenedGateway(unittest.TestCase):
    def test_every_weakness_shows(self):
        for weakness in GATEWAY_WEAKNESSES:
            for test, found in weakened.play(weakness).items():
                with self.subTest(weakness=weakness.name, test=test):
                    self.assertNotEqual(found, [])
