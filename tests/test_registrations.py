"""Registrations that vanish: with the store, after its return, or for good."""

import unittest

from chervilwing.models import Address
from chervilwing.registrations import LAPSE_GRACE, Registration, Registry

NEVER = float("-inf")


def make_registration(name):
    """Return the registration of an upstream."""
    return Registration(name, "pool", Address("10.0.0.1", 80), "a")


class TestRegistry(unittest.TestCase):
    def setUp(self):
        self.registry = Registry()
        for name in ("one", "two"):
            self.registry.add(make_registration(name))

    def test_removed_entry_is_gone_at_once_while_the_store_works(self):
        self.assertTrue(self.registry.remove("one", 9.0, NEVER))
        self.assertEqual(set(self.registry.upstreams), {"two"})

    def test_entries_that_lapsed_with_the_store_have_time_to_return(self):
        # The store was away for longer than the entries live, so that all upstreams are
        # missing at its return. If they were dropped at once, every caller would be
        # refused.
        self.assertFalse(self.registry.remove("one", 10.1, 10.0))
        self.registry.add(make_registration("one"))
        self.assertEqual(self.registry.expire(20.0), [])
        self.assertEqual(set(self.registry.upstreams), {"one", "two"})

    def test_grace_period_counts_from_the_return_of_the_store(self):
        # An instance loses the store; a second after the store's return an upstream
        # leaves. If its grace period began at its removal, the upstream would still get
        # requests after it has ended.
        self.assertFalse(self.registry.remove("one", 11.0, 10.0))
        self.assertEqual(self.registry.expire(10.0 + LAPSE_GRACE), ["one"])
        self.assertEqual(set(self.registry.upstreams), {"two"})

    def test_restart_under_the_same_name_ends_the_old_registration(self):
        # An engine crashes and is back under its name two seconds later with an empty
        # cache. Mistaken for the previous process, it would get requests over dead
        # connections and prompts that it is assumed to have cached.
        previous, restarted = (
            make_registration("one")._replace(started_at=at) for at in (5.0, 7.0)
        )
        self.registry.add(previous)
        leaving = previous._replace(leaving=True)
        self.assertIsNone(self.registry.add(leaving))
        self.assertEqual(self.registry.add(restarted), leaving)
        self.assertIsNone(self.registry.add(restarted))
        self.assertIsNone(self.registry.add(make_registration("three")))

    def test_entry_removed_after_the_grace_period_is_gone_at_once(self):
        self.assertTrue(self.registry.remove("one", 10.0 + LAPSE_GRACE, 10.0))
