"""Tests of the layout: the core does no input or output."""

import ast
import unittest
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "chervilwing"

# The modules that own sockets, files, processes' arguments or timers.
EDGE = {
    "cli",
    "clients",
    "config_commands",
    "connections",
    "console",
    "daemon",
    "dispatch",
    "embedded",
    "fleet_commands",
    "generations",
    "parsers",
    "sessions",
    "sockets",
    "web",
}
FORBIDDEN = {"circuits", "socket", "select", "os", "time", "threading", "typer"}


def find_imports(path):
    """Return the top-level names of all modules that a file imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            names.add(node.module.split(".")[0])
    return names


class TestStructure(unittest.TestCase):
    def test_core_imports_nothing_that_does_io(self):
        for path in sorted(SOURCE.glob("*.py")):
            if path.stem in EDGE:
                continue
            with self.subTest(module=path.stem):
                self.assertEqual(find_imports(path) & FORBIDDEN, set())
