"""Items of the store that another program wrote and that can't be decoded."""

import json
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from unittest.mock import Mock

from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from chervilwing.coordination import Coordinator
from chervilwing.exceptions import BadConfiguration
from chervilwing.instance_records import INSTANCES, decode_peer
from chervilwing.mirrors import News
from chervilwing.platform.documents import (
    DOCUMENT_KEY,
    REGISTRATION_PREFIX,
    ROLLOUT_ORDER_PREFIX,
    SOURCES,
    read_document,
    read_order,
    read_registration,
)
from chervilwing.platform.headers import DIALECT
from chervilwing.rollouts import DECISIONS, decode_decision
from chervilwing.store_calls import Changes, Item, ListItems, Page, WatchItems
from chervilwing.store_epochs import StoreEpochs
from chervilwing.stored_crashes import CRASHES, decode_crash
from chervilwing.stream_versions import VERSIONS, decode_origin
from tests.gateways import GatewayThread, make_document, make_settings
from tests.procs import poll
from tests.test_platform import DOCUMENT, ENTRY, PlatformCase, answer

# A fixed number of examples from a fixed seed, so that each run is the same.
FUZZ = settings(max_examples=200, derandomize=True, deadline=None, database=None)
ADDRESS = {"address": "127.0.0.1:80"}
# Valid values by decoder and key, as the start of malformed ones.
DECODERS = (
    (read_registration, REGISTRATION_PREFIX + "i-1", ENTRY | ADDRESS),
    (read_document, DOCUMENT_KEY, DOCUMENT),
    (read_order, ROLLOUT_ORDER_PREFIX + "web", {"target": "v2", "durationS": 9}),
    (
        decode_decision,
        DECISIONS + "web",
        {"order": 4, "target": "v2", "state": "running", "began_at": 1.5},
    ),
    (decode_origin, VERSIONS + "s", {"pool": "web", "version": "v1"}),
    (decode_crash, CRASHES + "i-1/one", {}),
    (decode_peer, INSTANCES + "one", {}),
)
HUGE = "9" * 400
# Values in place of a field: nested, beyond a double, beyond int() and of a wrong type.
FIELD_VALUES = st.sampled_from(
    (
        "[" * 1200,
        "[" * 100_000,
        '{"a":' * 1200,
        "[" * 600 + "]" * 600,
        HUGE,
        f"-{HUGE}",
        f"{HUGE}.5",
        "9" * 5000,
        "1e999",
        "-1e999",
        "1e-999",
        "NaN",
        "Infinity",
        "null",
        "true",
        "[]",
        "[1]",
        "{}",
        '{"a":1}',
        '""',
        '"\\ud800"',
        '"' + "x" * 1_000_000 + '"',
    )
)


def replace_field(value, path, text):
    """Return JSON in which the field at a path of keys has another JSON text."""
    mark = "@@"
    copy = json.loads(json.dumps(value))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = mark
    return json.dumps(copy).replace(f'"{mark}"', text).encode()


def list_paths(value, path=()):
    """Return the paths of all fields of a JSON value."""
    rows = value.items() if isinstance(value, dict) else enumerate(value)
    paths = []
    for key, item in rows:
        paths.append((*path, key))
        if isinstance(item, dict | list):
            paths += list_paths(item, (*path, key))
    return paths


class TestDecoders(unittest.TestCase):
    def check(self, read, key, data):
        try:
            read(key, data)
        except BadConfiguration as exc:
            self.assertIn(key, exc.detail)

    @FUZZ
    @given(st.data())
    def test_malformed_fields_raise_only_bad_configuration(self, data):
        """Guards against an error of another type that ends the reading of a list."""
        read, key, value = data.draw(st.sampled_from(DECODERS))
        paths = list_paths(value) or [("a",)]
        path = data.draw(st.sampled_from(paths))
        text = data.draw(FIELD_VALUES)
        self.check(read, key, replace_field(value, path, text))

    @FUZZ
    @given(st.sampled_from(DECODERS), st.binary() | FIELD_VALUES.map(str.encode))
    def test_arbitrary_bytes_raise_only_bad_configuration(self, decoder, data):
        """Guards against an error of another type that ends the reading of a list."""
        read, key, _ = decoder
        self.check(read, key, data)

    def test_numbers_that_a_double_cannot_hold_name_no_upstream(self):
        """Guards against an OverflowError in each later choice of an upstream."""
        for name in ("slots", "seq", "born", "leaves_ms", "coldLeftMs"):
            data = replace_field(ENTRY | ADDRESS | {name: 0}, (name,), HUGE)
            with self.subTest(name), self.assertRaises(BadConfiguration):
                read_registration(REGISTRATION_PREFIX + "i-1", data)


# Addresses of entries at which nobody can be reached.
UNREACHABLE = (
    "[::1]:80",
    "[fe80::1]:80",
    "[fe80::1%none]:80",
    "[::ffff:127.0.0.1]:1",
    "127.0.0.1:0",
    "0.0.0.0:1",
    "255.255.255.255:80",
    "224.0.0.1:80",
)
# Entries that are valid but unusual; each names an upstream of its pool.
UNUSUAL = ({"slots": 2**53 - 1}, {"slots": 0}, {"leaves_ms": -5}, {"leaves_ms": 1e300})


CALLERS = 12


def answer_late(conn, method, path, body):
    """Answer after a while, so that requests run side by side."""
    time.sleep(0.02)
    answer(conn, method, path, body)


class TestUnusableEntries(unittest.TestCase):
    def start(self):
        run = GatewayThread(DIALECT, answer_late, document=make_document())
        self.addCleanup(run.close)
        return run

    def register(self, run, **fields):
        """Add the upstream of an entry that has the other upstream's version."""
        data = json.dumps(ENTRY | {"version": ""} | fields).encode()
        run.gateway.put_upstream(read_registration(REGISTRATION_PREFIX + "x", data))

    def check(self, run):
        """Send requests of several callers at once, so that each upstream is chosen."""

        def call(number):
            return run.call("GET", "/page/x", X_Request_Id=f"r-{number}").status

        with ThreadPoolExecutor(CALLERS) as pool:
            statuses = list(pool.map(call, range(5 * CALLERS)))
        self.assertEqual(set(statuses), {200})

    def test_requests_go_elsewhere_if_an_entry_cannot_be_reached(self):
        """Guards against callers whose connection is closed without an answer."""
        for address in UNREACHABLE:
            run = self.start()
            with self.subTest(address):
                self.register(run, address=address)
                self.check(run)

    def test_unusual_figures_of_an_entry_fail_no_request(self):
        """Guards against figures that fail where an upstream is chosen."""
        for fields in UNUSUAL:
            run = self.start()
            with self.subTest(**fields):
                address = f"127.0.0.1:{run.upstreams[0].port}"
                self.register(run, address=address, **fields)
                self.check(run)

    def test_a_name_that_no_header_field_can_hold_names_no_upstream(self):
        """Guards against bytes of a key that end up in the head of a request."""
        data = json.dumps(ENTRY | ADDRESS).encode()
        for name in ("", "a b", "a\r\nX: y", "\u20ac", "a\x00"):
            with self.subTest(name), self.assertRaises(BadConfiguration):
                read_registration(REGISTRATION_PREFIX + name, data)


UNREADABLE = b'{"note":' + b"[" * 1200


def put_entry(name, revision, **changes):
    """Return the item of a valid registration."""
    value = json.dumps(ENTRY | ADDRESS | changes).encode()
    return Item(REGISTRATION_PREFIX + name, value, revision)


class SilentStore:
    """A store that keeps the calls and answers none by itself."""

    def __init__(self):
        self.epochs = StoreEpochs()
        self.calls = {}

    def submit(self, req, reply):
        """Keep a call on a prefix."""
        if isinstance(req, ListItems | WatchItems):
            self.calls[req.prefix] = reply

    def answer(self, prefix, reply):
        """Answer the last call on a prefix."""
        self.calls.pop(prefix)(reply)


class TestFollowedItems(unittest.TestCase):
    def setUp(self):
        self.store, self.gateway = SilentStore(), Mock()
        self.registered, self.failing = {}, set()
        self.gateway.put_upstream = self.put_upstream
        self.coordinator = Coordinator(
            make_settings(), self.store, SOURCES, self.gateway
        )
        self.coordinator.make_due_calls()

    def put_upstream(self, registration):
        if registration.name in self.failing:
            raise ZeroDivisionError
        self.registered[registration.name] = registration

    def list_registrations(self, *items):
        self.store.answer(REGISTRATION_PREFIX, Page(items, 9))

    def watch_registrations(self, *items):
        poll(self.is_watching)
        self.store.answer(REGISTRATION_PREFIX, Changes(items, items[-1].revision))

    def is_watching(self):
        self.coordinator.make_due_calls()
        return REGISTRATION_PREFIX in self.store.calls

    def test_entries_after_an_unreadable_one_are_listed(self):
        """Guards against gateways that start without upstreams, though ready."""
        bad = Item(REGISTRATION_PREFIX + "b", UNREADABLE, 4)
        self.list_registrations(put_entry("a", 3), bad, put_entry("c", 5))
        self.assertEqual(list(self.registered), ["a", "c"])
        self.assertEqual(self.coordinator.ignored_items, 1)

    def test_a_leaving_upstream_is_seen_beside_an_unreadable_entry(self):
        """Guards against requests to an upstream whose draining entry was lost."""
        self.list_registrations(put_entry("a", 3))
        bad = Item(REGISTRATION_PREFIX + "b", UNREADABLE, 11)
        self.watch_registrations(bad, put_entry("a", 12, state="draining"))
        self.assertTrue(self.registered["a"].leaving)

    def test_news_of_a_leader_go_on_after_an_unreadable_entry(self):
        """Guards against followers that drop the rest of their leader's news."""
        self.list_registrations(put_entry("a", 3))
        bad = Item(REGISTRATION_PREFIX + "b", UNREADABLE, 11)
        items = (bad, put_entry("a", 12, state="draining"))
        news = [None, News(0.1, None, 12, items, False), None]
        self.coordinator.apply_news(news, 0.0, 1.0)
        self.assertTrue(self.registered["a"].leaving)

    def test_other_items_take_effect_if_one_cannot_be_applied(self):
        """Guards against a fault in handling one item that loses all later ones."""
        self.failing = {"b"}
        lines = []
        sink = logger.add(lambda message: lines.append(message.record), level="ERROR")
        self.addCleanup(logger.remove, sink)
        self.list_registrations(*(put_entry(name, 3) for name in "abc"))
        self.assertEqual(list(self.registered), ["a", "c"])
        self.assertEqual(self.coordinator.failed_items, 1)
        self.assertEqual([line["message"] for line in lines], ["item not applied"])
        self.assertEqual(lines[0]["extra"]["key"], REGISTRATION_PREFIX + "b")


class TestRestart(PlatformCase):
    def test_restarted_gateways_serve_beside_an_unreadable_entry(self):
        """Guards against gateways that start without upstreams, though ready."""
        self.platform.post(
            "/-/operate", {"puts": {"servers/another-writer": UNREADABLE.decode()}}
        )
        gateway = self.start("one")
        self.assertEqual(self.call(gateway), 200)


if __name__ == "__main__":
    unittest.main()
