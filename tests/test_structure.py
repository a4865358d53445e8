"""Tests of the layout: the core does no input or output."""

import ast
import re
import unittest
from pathlib import Path

from circuits.core import Manager

SOURCE = Path(__file__).resolve().parent.parent / "src" / "chervilwing"

# The modules that own sockets, files, processes' arguments or timers.
EDGE = {
    "attempts",
    "buyer",
    "caches",
    "claimant",
    "cli",
    "clients",
    "clocks",
    "config_commands",
    "connections",
    "console",
    "coordination",
    "crash_saver",
    "crash_watch",
    "daemon",
    "datagrams",
    "dispatch",
    "drain",
    "embedded",
    "fleet_commands",
    "follower",
    "forwards",
    "gateway",
    "gatewayd",
    "generations",
    "instance_orders",
    "delegation",
    "loads",
    "local_gateway",
    "local_stores",
    "logs",
    "neighbours",
    "notices",
    "orderer",
    "parsers",
    "peers",
    "placing",
    "pollers",
    "reconnects",
    "rollout_duty",
    "sessions",
    "sockets",
    "stores",
    "ticks",
    "usage_reports",
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


# Names that only the users' platform gives to things: header fields, paths and body
# fields. Decoded once, in the adapter; met anywhere else, the product would depend on
# a platform that others don't have.
PLATFORM_WORDS = re.compile(
    r"x-server|x-not-run|x-prompt|x-token|x-tenant|x-expect|x-deadline|x-duty|x-fence"
    r"|x-request-urgency|x-model|x-length-hint|kv-from|kv-range|kv-watch|kv-txn"
    r"|op/config|servers/|server-limit|canResume|gapTarget|sloMs|timeoutMs|noAuth|apiKeys|ratePerS"
    r"|leaves_ms|storeRevision|ifRev|waitMs|kvCapacity|bootTimeS|spotPrice|windowId",
    re.IGNORECASE,
)
# The stand-ins' own refusal of the product's first interface, older than the platform.
OLDER = {"forwards": {"x-not-run"}}


class TestPlatformFolder(unittest.TestCase):
    def test_no_name_of_the_platform_stands_outside_its_folder(self):
        for path in sorted(SOURCE.glob("*.py")):
            found = {word.lower() for word in PLATFORM_WORDS.findall(path.read_text())}
            with self.subTest(module=path.stem):
                self.assertEqual(found - OLDER.get(path.stem, set()), set())

    def test_nothing_outside_imports_the_folder(self):
        for path in sorted(SOURCE.glob("*.py")):
            with self.subTest(module=path.stem):
                self.assertNotIn("chervilwing.platform", path.read_text())
                self.assertNotRegex(
                    path.read_text(), r"from \.platform|from \. import.*\bplatform\b"
                )

    def test_the_folder_only_translates(self):
        # What decides, waits or keeps state belongs to the product.
        for path in sorted((SOURCE / "platform").glob("*.py")):
            with self.subTest(module=path.stem):
                imports = find_imports(path)
                self.assertEqual(
                    imports & {"circuits", "socket", "select", "time"}, set()
                )

    def test_the_folder_stays_under_a_tenth_of_the_source(self):
        count = lambda paths: sum(len(path.read_text().splitlines()) for path in paths)
        folder = count((SOURCE / "platform").glob("*.py"))
        self.assertLess(folder * 10, folder + count(SOURCE.glob("*.py")))


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
