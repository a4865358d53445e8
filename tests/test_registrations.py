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
            self.registry.put(make_registration(name))

    def test_while_the_store_is_well_a_vanished_entry_is_gone_at_once(self):
        self.assertTrue(self.registry.remove("one", 9.0, NEVER))
        self.assertEqual(set(self.registry.members), {"two"})

    def test_entries_that_lapsed_with_the_store_have_time_to_return(self):
        # The store was away longer than the entries live: at its return all upstreams
        # are missing, and dropped at once every caller would be refused.
        self.assertFalse(self.registry.remove("one", 10.1, 10.0))
        self.registry.put(make_registration("one"))
        self.assertEqual(self.registry.expire(20.0), [])
        self.assertEqual(set(self.registry.members), {"one", "two"})

    def test_what_left_just_after_the_return_is_left_in_time(self):
        # An instance is cut off from the store; a second after its return an upstream
        # leaves. Doubted from then on for as long as from the return, it would still
        # get work when it may no longer.
        self.assertFalse(self.registry.remove("one", 11.0, 10.0))
        self.assertEqual(self.registry.expire(10.0 + LAPSE_GRACE), ["one"])
        self.assertEqual(set(self.registry.members), {"two"})

    def test_one_that_starts_again_under_its_name_ends_the_one_before(self):
        # An engine crashes and is back under its name two seconds later, with nothing
        # in its memory. Taken for the one before it would be sent, over connections
        # that are dead, what it is believed to have read.
        before, after = (
            make_registration("one")._replace(started_at=at) for at in (5.0, 7.0)
        )
        self.registry.put(before)
        leaving = before._replace(leaving=True)
        self.assertIsNone(self.registry.put(leaving))
        self.assertEqual(self.registry.put(after), leaving)
        self.assertIsNone(self.registry.put(after))
        self.assertIsNone(self.registry.put(make_registration("three")))

    def test_later_ones_are_not_doubted(self):
        self.assertTrue(self.registry.remove("one", 10.0 + LAPSE_GRACE, 10.0))
