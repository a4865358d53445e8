"""A mirror of a prefix: outages, dropped history, pages, answers that come late."""

import random
import unittest

from chervilwing.items import (
    Changes,
    HistoryGone,
    Item,
    ListItems,
    Page,
    Unavailable,
    WatchItems,
)
from chervilwing.mirrors import Mirror


def make_mirror():
    """Return an empty mirror."""
    return Mirror("a/", 1.0, random.Random(1))


def put(key, revision, value=b"x"):
    """Return an item under the prefix."""
    return Item("a/" + key, value, revision)


class TestMirror(unittest.TestCase):
    def setUp(self):
        self.mirror = make_mirror()

    def answer(self, reply, sent, at=None):
        """Make the call that is due, answer it and return what changed."""
        self.call = self.mirror.next_call(sent)
        self.assertIsNotNone(self.call)
        return self.mirror.receive(reply, sent if at is None else at)

    def test_it_lists_all_pages_and_watches_from_the_first(self):
        # A change between two pages is in neither: watched from the second page's
        # revision it would never be seen.
        self.answer(Page((put("k1", 3),), 5, more=True), 0.0)
        self.assertEqual(self.call, ListItems("a/"))
        self.assertFalse(self.mirror.complete)
        self.answer(Page((put("k2", 4),), 9), 0.1)
        self.assertEqual(self.call, ListItems("a/", "a/k1"))
        self.assertTrue(self.mirror.complete)
        self.assertEqual(self.mirror.next_call(0.2), WatchItems("a/", 5, 1.0))

    def test_one_call_at_a_time(self):
        self.assertIsNotNone(self.mirror.next_call(0.0))
        self.assertIsNone(self.mirror.next_call(9.0))

    def test_knowledge_is_as_old_as_the_sending_of_its_call(self):
        # A key is taken away while an answer is on its way: counted from the answer's
        # arrival, the knowledge would look newer than the removal.
        self.answer(Page((), 5), 1.0, at=3.0)
        self.assertEqual(self.mirror.as_of, 1.0)
        self.answer(Changes((), 5), 4.0, at=5.0)
        self.assertEqual(self.mirror.as_of, 4.0)

    def test_an_older_change_never_replaces_a_newer_one(self):
        # A configuration would go back when a list from before it comes late.
        self.answer(Page((put("k", 8, b"new"),), 8), 0.0)
        changed = self.answer(Changes((put("k", 6, b"old"),), 8), 0.1)
        self.assertEqual(changed, [])
        self.assertEqual(self.mirror.items["a/k"].value, b"new")

    def test_dropped_history_is_listed_anew_and_finds_what_went(self):
        # The store forgets its history while an upstream leaves: no event ever tells.
        self.answer(Page((put("k1", 3), put("k2", 4)), 5), 0.0)
        self.answer(HistoryGone(), 0.1)
        changed = self.answer(Page((put("k2", 4),), 9), 0.2)
        self.assertEqual(self.call, ListItems("a/"))
        self.assertEqual(changed, [Item("a/k1", None, 9)])
        self.assertEqual(set(self.mirror.items), {"a/k2"})

    def test_an_outage_keeps_what_is_known_and_waits_longer_each_time(self):
        self.answer(Page((put("k", 3),), 5), 0.0)
        waits, now = [], 0.0
        for _ in range(6):
            self.answer(Unavailable("status 503"), now)
            before = now
            while self.mirror._due > now:
                now += 0.01
            waits.append(now - before)
        self.assertGreater(waits[3], waits[0])
        self.assertLess(max(waits), 1.6)
        self.assertEqual(self.mirror.lost_since, 0.0)
        self.assertEqual(set(self.mirror.items), {"a/k"})
        self.answer(Changes((), 6), now)
        self.assertIsNone(self.mirror.lost_since)

    def test_changes_that_come_together_cost_one_call(self):
        # A wave takes ten upstreams within a moment; each change would wake every
        # instance, and each would ask the store ten times.
        mirror = self.mirror = Mirror("a/", 1.0, random.Random(1), spacing=0.25)
        self.answer(Page((), 5), 0.0)
        self.answer(Changes((put("k1", 6),), 6), 0.1)
        self.assertIsNone(mirror.next_call(0.2))
        self.answer(Changes((put("k2", 7), put("k3", 8)), 8), 0.4)
        self.assertEqual(len(mirror.items), 3)

    def test_a_deletion_is_told_once(self):
        self.answer(Page((put("k", 3),), 5), 0.0)
        gone = Item("a/k", None, 7)
        self.assertEqual(self.answer(Changes((gone,), 7), 0.1), [gone])
        self.assertEqual(self.answer(Changes((gone,), 7), 0.2), [])
