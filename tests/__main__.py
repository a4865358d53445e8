"""Run every test, pass over the known red ones by name, and print one closing line.

Each test case class is a task of its own, a few at a time, since most of the time goes
to waiting for processes to start.
"""

import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Load: test processes that each start up to ten more. Harm: on a busy machine a process
# starts too late for its test; four leave most of the cores to what the tests start.
WORKERS = 4


class Outcome(NamedTuple):
    """What one class of tests came to."""

    count: int
    broken: tuple[tuple[str, str], ...]


def read_known_red(path):
    """Return test id to whole line for each entry of the known-red list."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def list_classes(suite):
    """Return the dotted names of all test classes, in a fixed order."""
    names = set()
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            names |= list_classes(item)
        else:
            # A module that can't be imported shows as a test of unittest's own loader.
            module = type(item).__module__
            known = module != "unittest.loader"
            names.add(f"{module}.{type(item).__qualname__}" if known else item.id())
    return names


def run_class(name):
    """Run the tests of one class in this process."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TestResult()
    suite.run(result)
    broken = result.failures + result.errors
    # A failed setUpClass shows as an error without a test of its own.
    count = max(result.testsRun, len(broken))
    return Outcome(count, tuple((test.id(), text) for test, text in broken))


def run_all():
    """Return the outcomes of all classes."""
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    names = sorted(list_classes(suite))
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run_class, names))


def main():
    """Exit 0 only when every failure is one that KNOWN-RED.txt names."""
    known = read_known_red(KNOWN_RED)
    outcomes = run_all()
    broken = dict(item for outcome in outcomes for item in outcome.broken)
    for test_id, text in sorted(broken.items()):
        print(f"{test_id}\n{text}")
    for test_id in sorted(set(broken) & set(known)):
        print(f"known red: {known[test_id]}")
    failed = len(set(broken) - set(known))
    passed = sum(outcome.count for outcome in outcomes) - len(broken)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
