"""Tests that docs/OPERATIONS.md lists all keys, failures, commands and log lines."""

import ast
import re
import unittest
from pathlib import Path

from chervilwing import exceptions
from chervilwing.cli import app
from chervilwing.console import EXIT_HELP
from chervilwing.logs import RequestLine
from chervilwing.relays import RequestLogLine
from chervilwing.shapes import SHAPES

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
EVENT_WRITERS = {"log_event", "log_failure"}


def find_events():
    """Yield the constant messages of all log lines."""
    for path in sorted((ROOT / "src" / "chervilwing").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            first = node.args[0]
            called = getattr(node.func, "id", "")
            if called in EVENT_WRITERS and isinstance(first, ast.Constant):
                yield first.value


def find_types(type_):
    """Return the problem types of an exception class and of all its subclasses."""
    found = {type_.type}
    for child in type_.__subclasses__():
        found |= find_types(child)
    return found


def name_command(item):
    """Return the name by which a command of the operators' tool is called."""
    return item.name or item.callback.__name__


class TestOperationsPage(unittest.TestCase):
    def check_listed(self, names, form):
        """Check that the page contains each name, formatted with ``form``."""
        missing = {name for name in names if form.format(name) not in PAGE}
        self.assertEqual(missing, set())

    def test_every_configuration_key_is_in_its_sections_table(self):
        for section, shape in SHAPES.items():
            _, _, text = PAGE.partition(f"`[[{section}]]`")
            table = re.split(r"\n(?:`\[\[|###)", text)[0]
            keys = re.findall(r"^\| `(\w+)` \|", table, re.MULTILINE)
            self.assertEqual(sorted(keys), sorted(shape.readers), section)

    def test_every_failure_is_listed(self):
        self.assertGreater(len(find_types(exceptions.ChervilwingError)), 20)
        self.check_listed(find_types(exceptions.ChervilwingError), "`{}`")

    def test_every_log_line_is_listed(self):
        self.assertIn("started", set(find_events()))
        self.check_listed(find_events(), "| `{}` |")
        self.check_listed(RequestLine._fields, "`{}`")
        self.check_listed(RequestLogLine._fields, "`{}`")

    def test_every_command_and_exit_code_is_listed(self):
        commands = [
            item.name or item.callback.__name__ for item in app.registered_commands
        ]
        for group in app.registered_groups:
            for item in group.typer_instance.registered_commands:
                commands.append(f"{group.name} {item.name or item.callback.__name__}")
        self.assertGreater(len(commands), 10)
        self.check_listed(commands, "`{}")
        self.check_listed(re.findall(r"(\d) ", EXIT_HELP), "| {} |")
