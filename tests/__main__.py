"""Run all tests, tolerate the failures in KNOWN-RED.txt, and print a summary line.

Each test case class is a separate task, and a few tasks run in parallel, since tests
mostly wait for processes to start.
"""

import sys
import unittest
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Each worker's test starts up to ten more processes, and on a busy machine these start
# too late for the test. Four workers leave most of the cores to these processes.
WORKERS = 4


class Outcome(NamedTuple):
    """Result of one test case class: its number of tests, and its failures by id."""

    test_count: int
    failures: tuple[tuple[str, str], ...]


def read_known_red(path):
    """Return the lines of the list of known failures by test id."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def list_classes(suite):
    """Return the set of dotted names of all test case classes."""
    names = set()
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            names |= list_classes(test)
        else:
            # A module that can't be imported appears as a test of unittest's loader.
            module = type(test).__module__
            is_importable = module != "unittest.loader"
            names.add(
                f"{module}.{type(test).__qualname__}" if is_importable else test.id()
            )
    return names


def run_class(name):
    """Run the tests of one class in this process and return their outcome."""
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    result = unittest.TestResult()
    suite.run(result)
    failures = result.failures + result.errors
    # A failed setUpClass is an error that isn't counted in testsRun.
    count = max(result.testsRun, len(failures))
    return Outcome(count, tuple((test.id(), text) for test, text in failures))


def run_all():
    """Run all test case classes in parallel and return their outcomes."""
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    names = sorted(list_classes(suite))
    with ProcessPoolExecutor(WORKERS) as pool:
        return list(pool.map(run_class, names))


def main():
    """Return exit code 0 if tests passed and KNOWN-RED.txt lists every failure."""
    known_red = read_known_red(KNOWN_RED)
    outcomes = run_all()
    failures = dict(item for outcome in outcomes for item in outcome.failures)
    for test_id, text in sorted(failures.items()):
        print(f"{test_id}\n{text}")
    for test_id in sorted(set(failures) & set(known_red)):
        print(f"known red: {known_red[test_id]}")
    failed = len(set(failures) - set(known_red))
    passed = sum(outcome.test_count for outcome in outcomes) - len(failures)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
