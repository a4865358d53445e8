"""Run every test, pass over the known red ones by name, and print one closing line."""

import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def read_known_red(path):
    """Return test id to whole line for each entry of the known-red list."""
    if not path.exists():
        return {}
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return {line.split("|")[0].strip(): line for line in lines}


def main():
    """Exit 0 only when every failure is one that KNOWN-RED.txt names."""
    known = read_known_red(KNOWN_RED)
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=str(ROOT)
    )
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    broken = {test.id() for test, _ in result.failures + result.errors}
    for test_id in sorted(broken & set(known)):
        print(f"known red: {known[test_id]}")
    failed = len(broken - set(known))
    passed = result.testsRun - len(broken)
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
