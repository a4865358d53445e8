"""Tests of the configuration document and the operators' files."""

import json
import unittest
from pathlib import Path

from chervilwing.calls import find_class, is_idempotent, matches
from chervilwing.checks import check_consistency
from chervilwing.documents import (
    MAX_BYTES,
    PartFile,
    hash_key,
    parse_document,
    parse_file,
    render_file,
    serialise,
)
from chervilwing.exceptions import BadConfiguration
from chervilwing.models import Configuration, Customer, Inventory, Pool, Rules

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


def read_example(name):
    """Return the validated inventory and rules of an example."""
    parts = []
    for part in ("inventory", "rules"):
        text = (EXAMPLES / name / f"{part}.toml").read_text()
        parts.append(parse_file(part, text).unwrap().part)
    return check_consistency(*parts)


def make_document():
    """Return a small valid document as plain data."""
    return {
        "revision": 1,
        "operation": "op-1",
        "inventory": {
            "pools": [
                {"name": "p", "kind": "model", "models": ["m-1", "m-2"]},
                {"name": "s", "kind": "service"},
            ],
            "upstreams": [
                {
                    "name": "e1",
                    "pool": "p",
                    "address": "10.0.0.1:1",
                    "data_centre": "a",
                },
                {
                    "name": "e2",
                    "pool": "p",
                    "address": "10.0.0.2:1",
                    "data_centre": "a",
                },
            ],
            "services": [{"name": "portal", "pool": "s"}],
        },
        "rules": {
            "customers": [
                {"name": "c", "key_hashes": [hash_key("k")]},
                {"name": "d", "key_hashes": [hash_key("j")]},
            ],
            "classes": [{"name": "memo"}],
            "fleets": [
                {"name": "f", "pool": "p", "spare": 0},
                {"name": "g", "pool": "s"},
            ],
            "routes": [
                {"name": "m", "pool": "p", "shares": [{"version": "m-1", "part": 1}]}
            ],
        },
    }


# The key path of a value, an invalid value, and the path that the error names.
BAD_VALUES = (
    ("revision", 0, "revision"),
    ("revision", True, "revision"),
    ("colour", 1, "colour"),
    ("inventory.machines", [], "inventory.machines"),
    ("inventory.pools.0.kind", "gpu", "inventory.pools.p.kind"),
    ("inventory.pools.1.name", "p", "pools.p"),
    ("inventory.upstreams.0.address", "localhost:1", "inventory.upstreams.e1.address"),
    ("inventory.upstreams.0.address", "10.0.0.1:0", "inventory.upstreams.e1.address"),
    ("inventory.upstreams.1.address", "10.0.0.1:1", "upstreams.e2.address"),
    ("inventory.upstreams.0.pool", "q", "upstreams.e1.pool"),
    ("inventory.upstreams.0.kind", "service", "upstreams.e1.kind"),
    ("inventory.upstreams.0.slots", 0, "inventory.upstreams.e1.slots"),
    ("inventory.upstreams.0.fenced", "no", "inventory.upstreams.e1.fenced"),
    ("inventory.upstreams.0.name", "a\nb", "inventory.upstreams[0].name"),
    ("inventory.services.0.pool", "p", "services.portal.pool"),
    ("inventory.services.0.work_class", "x", "services.portal.work_class"),
    (
        "inventory.services.0.non_idempotent",
        ["/n"],
        "inventory.services.portal.non_idempotent[0]",
    ),
    ("rules.customers.0.key_hashes", ["abc"], "rules.customers.c.key_hashes[0]"),
    ("rules.customers.0.key_hashes", [hash_key("j")], "customers.d.key_hashes"),
    ("rules.customers.0.weight", 0, "rules.customers.c.weight"),
    ("rules.customers.0.weight", float("nan"), "rules.customers.c.weight"),
    ("rules.customers.0.allowed", ["x"], "customers.c.allowed"),
    ("rules.customers.0.work_class", "x", "customers.c.work_class"),
    ("rules.classes.0.deadline", -1, "rules.classes.memo.deadline"),
    ("rules.routes.0.pool", "s", "routes.m.pool"),
    ("rules.routes.0.shares.0.part", 0.5, "routes.m.shares"),
    ("rules.routes.0.shares.0.version", "m-3", "routes.m"),
    ("rules.routes", {}, "rules.routes"),
    ("rules.fleets.0.pool", "q", "fleets.f.pool"),
    ("rules.fleets.1.pool", "p", "fleets.g.pool"),
    ("rules.fleets.0.spare", 1.5, "rules.fleets.f.spare"),
    ("rules.fleets.0.spare", True, "rules.fleets.f.spare"),
    ("rules.fleets.0.max_instances", -1, "rules.fleets.f.max_instances"),
)


class TestDocument(unittest.TestCase):
    def test_serialised_document_parses_to_the_same_configuration(self):
        for name in ("andesur", "tournelle"):
            with self.subTest(example=name):
                cfg = Configuration(7, "op-7", *read_example(name), "ana", "2026-12-02")
                self.assertEqual(parse_document(serialise(cfg)).unwrap(), cfg)

    def test_each_error_names_the_key_path(self):
        for path, value, error_path in BAD_VALUES:
            with self.subTest(path=path, value=value):
                document = make_document()
                *parents, last = [
                    int(part) if part.isdigit() else part for part in path.split(".")
                ]
                target = document
                for part in parents:
                    target = target[part]
                target[last] = value
                exc = parse_document(json.dumps(document)).failure()
                self.assertIsInstance(exc, BadConfiguration)
                self.assertTrue(str(exc).startswith(f"{error_path}: "), str(exc))
                self.assertNotIn("\n", str(exc))

    def test_missing_key_and_malformed_text_are_errors(self):
        document = make_document()
        del document["inventory"]["upstreams"][0]["pool"]
        text = str(parse_document(json.dumps(document)).failure())
        self.assertEqual(text, "inventory.upstreams.e1.pool: missing")
        for text in ("", "[1]", "{", '{"revision":1,"revision":2}', "[" * 100_000):
            with self.subTest(text=text[:30]):
                failure = parse_document(text).failure()
                self.assertIsInstance(failure, BadConfiguration)

    def test_kind_comes_from_the_pool_and_defaults_are_not_stored(self):
        cfg = parse_document(json.dumps(make_document())).unwrap()
        self.assertEqual({item.kind for item in cfg.inventory.upstreams}, {"model"})
        stored = json.loads(serialise(cfg))["inventory"]["upstreams"][0]
        self.assertEqual(sorted(stored), ["address", "data_centre", "name", "pool"])

    def test_document_over_the_size_limit_is_refused(self):
        customers = tuple(Customer("c" * 100 + str(i)) for i in range(MAX_BYTES // 100))
        cfg = Configuration(1, "op", Inventory(), Rules(customers))
        with self.assertRaises(BadConfiguration):
            serialise(cfg)


class TestFiles(unittest.TestCase):
    def test_examples_have_the_expected_sizes(self):
        for name in ("andesur", "tournelle"):
            with self.subTest(example=name):
                inventory, rules = read_example(name)
                kinds = [item.kind for item in inventory.upstreams]
                self.assertEqual((kinds.count("model"), kinds.count("service")), (5, 3))
                self.assertEqual(len({u.data_centre for u in inventory.upstreams}), 3)
                self.assertEqual((len(rules.customers), len(rules.classes)), (5, 4))

    def test_rendered_toml_parses_to_the_same_parts(self):
        inventory, rules = read_example("andesur")
        parts = []
        for name, part in (("inventory", inventory), ("rules", rules)):
            text = render_file(PartFile(7, part))
            revision, part = parse_file(name, text).unwrap()
            self.assertEqual(revision, 7)
            parts.append(part)
        self.assertEqual(check_consistency(*parts), (inventory, rules))

    def test_invalid_toml_fails_with_bad_configuration(self):
        texts = ("[[pools]", "pools = 3", "[[customers]]\nname = 'c'", "revision = 0")
        for text in texts:
            result = parse_file("inventory", text)
            self.assertIsInstance(result.failure(), BadConfiguration)


class TestCalls(unittest.TestCase):
    def test_class_comes_from_call_then_service_then_customer(self):
        service = read_example("andesur")[0].services[0]
        customer = Customer("c")
        self.assertEqual(
            find_class(service, customer, "GET", "/documents/4"), "document"
        )
        self.assertEqual(find_class(service, customer, "GET", "/other"), "standard")
        service = service._replace(work_class="quote")
        self.assertEqual(find_class(service, customer, "GET", "/other"), "quote")

    def test_variant_spelling_of_a_path_is_not_idempotent(self):
        # A client sends POST //notes, which the service handles as POST /notes. If it
        # counted as idempotent, it would be retried after a broken connection and the
        # service could create two notes.
        service = read_example("andesur")[0].services[0]
        paths = (
            "/notes",
            "//notes",
            "/%6eotes",
            "/a/../notes",
            "/Notes/",
            "/notes/7?x=1",
        )
        for path in paths:
            with self.subTest(path=path):
                self.assertFalse(is_idempotent(service, "POST", path))
        self.assertFalse(matches("POST /notes", "POST", "/notesheet"))
        self.assertTrue(is_idempotent(service, "GET", "/notes"))

    def test_unlisted_post_is_not_idempotent(self):
        # An operator forgets to list a new POST call that books something. If an
        # unlisted POST counted as idempotent, a retry after a broken connection could
        # book twice.
        service = read_example("andesur")[0].services[0]
        self.assertFalse(is_idempotent(service, "POST", "/notesheet"))
        self.assertTrue(is_idempotent(service, "POST", "/quotes/check"))
        self.assertTrue(is_idempotent(service, "GET", "/documents/4"))
        self.assertTrue(is_idempotent(service, "PUT", "/documents/4"))

    def test_unused_pool_is_allowed(self):
        inventory = Inventory(pools=(Pool("p", "model"),))
        self.assertEqual(check_consistency(inventory, Rules())[0], inventory)
