"""Tests of reads of the store that show at which versions streams may have begun."""

import unittest
from types import SimpleNamespace

from chervilwing.store_calls import (
    Changes,
    HistoryGone,
    Item,
    ListItems,
    Page,
    Unavailable,
)
from chervilwing.store_epochs import make_revision
from chervilwing.stream_versions import Origin, encode_origin, make_key
from chervilwing.version_reads import (
    MAX_READ_TIME,
    MAX_WAITING,
    MIN_INTERVAL,
    VersionReads,
)

OLD = Origin("web", "v1")
REVISION = make_revision(1, 7)
LATER = make_revision(1, 9)
NEXT_EPOCH = make_revision(2, 3)
STORED = Page((Item(make_key(OLD), encode_origin(OLD), REVISION),), LATER)
SAME = Changes((), LATER)


class TestReads(unittest.TestCase):
    def setUp(self):
        self.calls, self.found, self.count = [], [], 0
        mirror = SimpleNamespace(prefix="documents/", revision=REVISION)
        self.reads = VersionReads(self, mirror, mirror)

    def submit(self, call, reply):
        self.calls.append((call, reply))
        self.count += 1

    def answer(self, page=STORED, changes=SAME):
        """Answer the two calls of the oldest read."""
        calls, self.calls = self.calls[:2], self.calls[2:]
        for call, reply in calls:
            reply(page if isinstance(call, ListItems) else changes)

    def request(self, now=0.0):
        return self.reads.request(self.found.append, now)

    def test_a_caller_that_comes_during_a_read_gets_the_next_one(self):
        # Guards against a reply that is older than the stream.
        self.request()
        self.request()
        self.request()
        self.assertEqual(len(self.calls), 2)
        self.answer()
        self.assertEqual([item.origins for item in self.found], [{OLD}])
        self.reads.advance(MIN_INTERVAL)
        self.assertEqual(len(self.calls), 2)
        self.answer()
        self.assertEqual(len(self.found), 3)

    def test_callers_that_come_in_a_row_share_reads(self):
        # Guards against more calls than the store takes when many streams break.
        for number in range(100):
            self.request(number / 1000)
            self.reads.advance(number / 1000)
            if self.calls:
                self.answer()
        self.reads.advance(0.2)
        self.answer()
        self.assertEqual(len(self.found), 100)
        self.assertLessEqual(self.count, 2 * (0.1 / MIN_INTERVAL + 2))

    def test_an_incomplete_or_outdated_read_shows_nothing(self):
        # Guards against a version, a pool or a store's return that a read left out.
        unreadable = Page((Item("k", b"[]", REVISION),), LATER)
        changed = Changes((Item("documents/a", b"{}", LATER),), LATER)
        for page, changes in (
            (Unavailable(), SAME),
            (STORED, Unavailable()),
            (STORED, HistoryGone()),
            (STORED._replace(more=True), SAME),
            (unreadable, SAME),
            (STORED, changed),
            (STORED._replace(revision=NEXT_EPOCH), SAME),
            (STORED, Changes((), NEXT_EPOCH)),
        ):
            with self.subTest(page=page, changes=changes):
                self.setUp()
                self.request()
                self.answer(page, changes)
                self.assertEqual(self.found, [None])

    def test_a_silent_store_holds_up_neither_later_callers_nor_memory(self):
        # Guards against callers that wait for a connection that was cut.
        self.request()
        self.request(0.1)
        self.reads.advance(MAX_READ_TIME)
        self.assertEqual(len(self.calls), 4)
        self.calls = self.calls[2:]
        self.answer()
        self.assertEqual(len(self.found), 1)
        accepted = sum(self.request(MAX_READ_TIME) for _ in range(MAX_WAITING + 9))
        self.assertEqual(accepted, MAX_WAITING)


if __name__ == "__main__":
    unittest.main()
