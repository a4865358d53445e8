"""Run each live scenario as a test case."""

import unittest

from tests import live


def make_class(path):
    """Return a test case for one scenario; separate classes can run in parallel."""

    def test_scenario(self):
        live.run(path.read_text())

    name = "Test" + "".join(part.title() for part in path.stem.split("-"))
    return type(name, (unittest.TestCase,), {"test_scenario": test_scenario})


for found in sorted(live.LIVE.glob("*.scn")):
    case = make_class(found)
    case.__module__ = __name__
    globals()[case.__name__] = case
del case
