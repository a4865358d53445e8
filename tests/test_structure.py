"""Tests of the layout: the core does no input or output."""

import ast
import unittest
from pathlib import Path

from circuits.core import Manager

SOURCE = Path(__file__).resolve().parent.parent / "src" / "chervilwing"

# The modules that own sockets, files, processes' arguments or timers.
EDGE = {
    "buyer",
    "caches",
    "claimant",
    "cli",
    "clients",
    "config_commands",
    "connections",
    "console",
    "daemon",
    "dispatch",
    "drain",
    "embedded",
    "fleet_commands",
    "follower",
    "forwards",
    "generations",
    "loads",
    "notices",
    "orderer",
    "parsers",
    "peers",
    "pollers",
    "reconnects",
    "sessions",
    "sockets",
    "stores",
    "web",
}
ALLOWED = {"__init__"}
FORBIDDEN = {"circuits", "socket", "select", "os", "time", "threading", "typer"}


def find_imports(path):
    """Return the names of all modules that a file imports, ours without the package."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.removeprefix("chervilwing.").split(".")[0])
        elif isinstance(node, ast.ImportFrom):
            names.update(alias.name for alias in node.names)
    return names


class TestStructure(unittest.TestCase):
    def test_core_imports_nothing_that_does_io(self):
        for path in sorted(SOURCE.glob("*.py")):
            if path.stem in EDGE:
                continue
            with self.subTest(module=path.stem):
                self.assertEqual(find_imports(path) & (FORBIDDEN | EDGE), set())


class TestComponents(unittest.TestCase):
    def test_no_component_hides_a_name_of_circuits(self):
        # The daemon dies at its first event with "object is not callable": a component
        # kept its own things under a name, `_dispatcher` or `_flush`, that circuits'
        # Manager looks up on every component.
        taken = set(dir(Manager())) | set(vars(Manager()))
        for path in sorted(SOURCE.glob("*.py")):
            for name, names in find_component_names(path):
                with self.subTest(component=name):
                    self.assertEqual(names & taken - ALLOWED, set())


def find_component_names(path):
    """Yield each component class and the private names that it sets or defines."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ClassDef):
            continue
        if "BaseComponent" not in {getattr(base, "id", "") for base in node.bases}:
            continue
        names = {item.name for item in node.body if isinstance(item, ast.FunctionDef)}
        names |= {
            item.attr
            for item in ast.walk(node)
            if isinstance(item, ast.Attribute)
            and isinstance(item.ctx, ast.Store)
            and getattr(item.value, "id", "") == "self"
        }
        yield node.name, names
