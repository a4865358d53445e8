"""Tests of the module layout: the core performs no input or output."""

import ast
import re
import unittest
from pathlib import Path

from circuits.core import Manager

SOURCE = Path(__file__).resolve().parent.parent / "src" / "chervilwing"
ADAPTER = SOURCE / "platform"


def list_modules():
    """Return the paths of all modules of the product, those of packages included."""
    paths = sorted(SOURCE.rglob("*.py"))
    return [path for path in paths if ADAPTER not in path.parents]


def get_name(path):
    """Return a module's name as in EDGE; a package precedes it with a slash."""
    return str(path.relative_to(SOURCE).with_suffix(""))


# The modules that use sockets, files, command-line arguments or timers.
EDGE = {
    "attempts",
    "bulk_queue",
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
    "crash_detection",
    "daemon",
    "datagrams",
    "detours",
    "dispatch",
    "drain",
    "embedded",
    "end_checks",
    "fleet_commands",
    "follower",
    "forwards",
    "gateway",
    "gatewayd",
    "generations",
    "instance_orders",
    "leaving_exchange",
    "credit_exchange",
    "loads",
    "local_gateway",
    "local_stores",
    "logs",
    "lost_writes",
    "machines",
    "report_exchange",
    "notices",
    "orderer",
    "parsers",
    "path_checks",
    "peers",
    "placement_exchange",
    "pollers",
    "reconnects",
    "request_reader",
    "rollout_duty",
    "sessions",
    "sockets",
    "stream_exchange",
    "stores",
    "stream_moves/engine_checks",
    "stream_moves/move_runner",
    "stream_moves/mover",
    "ticks",
    "tunnel_exchange",
    "tunnel_server",
    "usage_reports",
    "version_keeper",
    "web",
}
READING = re.compile(
    r"[ .](recv\w*|makefile|HTTPConnection|urlopen|open_connection|Streams)\("
)
# The modules that read sockets. Connections limit replies by Call.bound, web and
# tunnel_server what callers send by CallerBudget, peers frames by MAX_FRAME, clients
# replies by MAX_RESPONSE_BYTES, datagrams are of READ_SIZE, and end_checks and
# crash_detection close a connection at its first byte.
READERS = {
    "sockets": {"recv", "recv_into", "Streams"},
    "connections": {"Streams"},
    "web": {"Streams"},
    "crash_detection": {"Streams"},
    "end_checks": {"Streams"},
    "peers": {"Streams"},
    "tunnel_server": {"Streams"},
    "datagrams": {"recvfrom"},
    "clients": {"HTTPConnection"},
}
OTHER_BOUNDS = re.compile(r"\b(?:STREAMED_REPLY|ReplyBound)\b")
# The modules that limit replies otherwise than KEPT_REPLY does: answers that are passed
# on, for which callers' memory is reserved; tokens, by answers.EVENT_LIMIT; answers of
# plain services, by forwards.ANSWER_LIMIT; caches, by caches.MAX_CACHE_BYTES.
OTHER_REPLIES = {
    "attempts",
    "caches",
    "connections",
    "forwards",
    "generations",
    "reply_bounds",
}
ALLOWED_OVERRIDES = {"__init__"}
IO_MODULES = {"circuits", "socket", "select", "os", "time", "threading", "typer"}


def find_imports(path):
    """Return the modules that a file imports; chervilwing's without the package."""
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
    def test_bytes_are_received_only_by_readers_with_a_bound(self):
        """Guards against a new reader of a socket that keeps all that it is sent.

        Replies to calls are limited by default. The others are in READERS, with what
        limits them.
        """
        for path in list_modules():
            found = READING.findall(path.read_text())
            with self.subTest(module=get_name(path)):
                self.assertEqual(set(found), READERS.get(get_name(path), set()))

    def test_replies_without_a_limit_are_only_those_passed_on(self):
        """Guards against a call whose reply is kept but not limited."""
        for path in list_modules():
            found = OTHER_BOUNDS.findall(path.read_text())
            with self.subTest(module=get_name(path)):
                self.assertEqual(bool(found), get_name(path) in OTHER_REPLIES)

    def test_core_imports_no_io_modules(self):
        edge = {name.rpartition("/")[2] for name in EDGE}
        for path in list_modules():
            if get_name(path) in EDGE:
                continue
            with self.subTest(module=get_name(path)):
                self.assertEqual(find_imports(path) & (IO_MODULES | edge), set())


# Names of header fields, paths and body fields that are defined by the platform on
# which customers run this product. Only the adapter, src/chervilwing/platform, may
# contain them; used elsewhere, they would tie the product to that platform.
PLATFORM_NAMES = re.compile(
    r"x-server|x-not-run|x-prompt|x-token|x-tenant|x-expect|x-deadline|x-duty|x-fence"
    r"|x-request-urgency|x-model|x-length-hint|kv-from|kv-range|kv-watch|kv-txn"
    r"|op/config|servers/|server-limit|server-leaving|store-era|canResume|gapTarget|sloMs|timeoutMs|noAuth|apiKeys|ratePerS"
    r"|leaves_ms|storeRevision|ifRev|waitMs|kvCapacity|bootTimeS|spotPrice|windowId",
    re.IGNORECASE,
)
# Allowed outside the adapter: ``forwards`` also reads X-Not-Run, which the fake
# services of the tests send with a refusal.
PLATFORM_NAMES_ALLOWED = {"forwards": {"x-not-run"}}


class TestPlatformAdapter(unittest.TestCase):
    def test_platform_names_occur_only_in_the_adapter(self):
        for path in list_modules():
            found = {word.lower() for word in PLATFORM_NAMES.findall(path.read_text())}
            with self.subTest(module=path.stem):
                self.assertEqual(
                    found - PLATFORM_NAMES_ALLOWED.get(path.stem, set()), set()
                )

    def test_no_module_imports_the_adapter(self):
        for path in list_modules():
            with self.subTest(module=path.stem):
                self.assertNotIn("chervilwing.platform", path.read_text())
                self.assertNotRegex(
                    path.read_text(), r"from \.+platform|from \.+ import.*\bplatform\b"
                )

    def test_the_adapter_does_no_io(self):
        # Code that makes decisions, waits or keeps state belongs outside the adapter.
        for path in sorted(ADAPTER.glob("*.py")):
            with self.subTest(module=path.stem):
                imports = find_imports(path)
                self.assertEqual(
                    imports & {"circuits", "socket", "select", "time"}, set()
                )

    def test_the_adapter_is_under_a_tenth_of_the_source(self):
        count_lines = lambda paths: sum(
            len(path.read_text().splitlines()) for path in paths
        )
        adapter = count_lines(ADAPTER.glob("*.py"))
        self.assertLess(adapter * 10, adapter + count_lines(list_modules()))


class TestComponents(unittest.TestCase):
    def test_no_component_overrides_a_name_of_circuits(self):
        # The daemon fails at its first event with "object is not callable" if a
        # component uses a name such as `_dispatcher` or `_flush`, which circuits'
        # Manager looks up on every component.
        reserved = set(dir(Manager())) | set(vars(Manager()))
        for path in list_modules():
            for name, names in find_component_names(path):
                with self.subTest(component=name):
                    self.assertEqual(names & reserved - ALLOWED_OVERRIDES, set())


def find_component_names(path):
    """Yield each component class's name and the attributes that it defines or sets."""
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
