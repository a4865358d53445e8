"""Tests of what must always hold, on real processes under failure."""

import unittest

from tests import live


class TestLive(unittest.TestCase):
    """Each scenario in tests/scenarios/live is a test of its own."""


def make_test(path):
    """Return the test that plays one scenario."""

    def test(self):
        live.run(path.read_text())

    return test


for found in sorted(live.LIVE.glob("*.scn")):
    setattr(TestLive, f"test_{found.stem.replace('-', '_')}", make_test(found))
