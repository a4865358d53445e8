"""Lookup of routes by host and longest prefix, and of organisations by key."""

import unittest

from chervilwing.exceptions import NotFound, UnknownCustomer
from chervilwing.routing import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAM,
    Organisation,
    Route,
    RoutingDocument,
    RoutingTable,
    Target,
    pick_target,
)


def make_route(name, prefix, host="a.example", **fields):
    """Return a route to a pool of the same name."""
    fields = {"kind": IDEMPOTENT, "targets": (Target(name),)} | fields
    return Route(name, host, prefix, **fields)


def make_table(*routes, organisations=()):
    """Return a RoutingTable of these routes and organisations."""
    return RoutingTable(RoutingDocument(1, routes, (), organisations))


class TestRoutes(unittest.TestCase):
    def test_the_longest_prefix_wins(self):
        table = make_table(make_route("short", "/a/"), make_route("long", "/a/b/"))
        cases = {"/a/b/c": "long", "/a/b/": "long", "/a/b": "short", "/a/x/y": "short"}
        for path, name in cases.items():
            with self.subTest(path=path):
                self.assertEqual(table.find_route("a.example", path).name, name)

    def test_the_host_matches_regardless_of_port_and_case(self):
        table = make_table(make_route("one", "/"))
        self.assertEqual(table.find_route("A.Example:8080", "/x").name, "one")

    def test_a_request_without_a_route_raises_not_found(self):
        table = make_table(make_route("one", "/a/"))
        for host, path in (("b.example", "/a/x"), ("a.example", "/b"), ("", "*")):
            with self.subTest(host=host), self.assertRaises(NotFound):
                table.find_route(host, path)

    def test_requests_are_split_by_target_weight(self):
        targets = (Target("old", 90), Target("new", 10))
        route = make_route("one", "/", targets=targets)
        picks = [pick_target(route, number / 100) for number in range(100)]
        self.assertEqual((picks.count("old"), picks.count("new")), (90, 10))

    def test_only_idempotent_and_resumable_requests_are_repeatable(self):
        cases = ((IDEMPOTENT, False, True), (NON_IDEMPOTENT, False, False))
        cases += ((STREAM, False, False), (STREAM, True, True))
        for kind, resumable, expected in cases:
            route = make_route("one", "/", kind=kind, resumable=resumable)
            self.assertEqual(route.repeatable, expected)


class TestKeys(unittest.TestCase):
    def setUp(self):
        self.organisation = Organisation("insurer", ("k1", "k2"))
        self.route = make_route("one", "/")
        self.table = make_table(self.route, organisations=(self.organisation,))

    def test_a_key_identifies_its_organisation(self):
        for given in ("Bearer k1", "bearer k2"):
            found = self.table.find_organisation(self.route, given)
            self.assertEqual(found, self.organisation)

    def test_missing_and_unknown_keys_are_refused(self):
        for given in ("", "Bearer", "Bearer k3", "Basic k1", "k1"):
            with self.subTest(given=given), self.assertRaises(UnknownCustomer):
                self.table.find_organisation(self.route, given)

    def test_an_open_route_needs_no_key(self):
        route = self.route._replace(open=True)
        self.assertIsNone(self.table.find_organisation(route, ""))
