"""Writing again what a restored store lost: once, by leaders, over nothing newer."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from chervilwing import lost_writes
from chervilwing.crash_records import SUSPECTED_FOR
from chervilwing.holds import hold_documents, hold_instance_item
from chervilwing.instance_count import COUNT
from chervilwing.instance_records import SHARED_DOCUMENTS
from chervilwing.lost_writes import MAX_DELAY, LostWrites
from chervilwing.mirrors import Mirror
from chervilwing.rollouts import COMPLETED, DECISIONS, Decision, encode_decision
from chervilwing.store_calls import (
    Changes,
    Commit,
    Committed,
    Conflict,
    Item,
    Leased,
    Page,
    TakeLease,
)
from chervilwing.store_epochs import StoreEpochs, make_revision
from chervilwing.stored_crashes import CRASHES

PREFIX = "chervilwing/instances"
DECISION = DECISIONS + "engines"
CRASH = CRASHES + "u1/one"
DOCUMENT = "op/config"
SHARED = SHARED_DOCUMENTS + DOCUMENT
STATUS = ("status/engines", b"completed", 0)


class Store:
    """Record calls; the test answers them."""

    def __init__(self):
        self.epochs = StoreEpochs()
        self.calls = []

    def submit(self, call, reply):
        """Record a call."""
        self.calls.append((call, reply))

    def answer(self, reply):
        """Answer the oldest call and return it."""
        call, receive = self.calls.pop(0)
        receive(reply)
        return call


class TestLostWrites(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(lost_writes, "read_boottime", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.store, self.is_leader = Store(), True
        rng = random.Random(1)
        self.mirror = Mirror(PREFIX, 1.0, rng, compute_hold=hold_instance_item)
        self.documents = Mirror("op/", 1.0, rng, compute_hold=hold_documents)
        sources = SimpleNamespace(
            write_status=lambda *args: STATUS,
            read_document=lambda key, value: value if key == DOCUMENT else None,
        )
        self.lost_writes = LostWrites(
            self.store, self.mirror, self.documents, sources, lambda: self.is_leader
        )

    def restore(self, before, after, mirror=None):
        """Let a mirror know items by key, and list what a restored store has."""
        mirror = mirror or self.mirror
        mirror.next_call(0.0)
        mirror.receive(Page((), make_revision(1, 9)), 0.0)
        items = [Item(k, v, make_revision(1, n)) for k, v, n in before]
        mirror.next_call(0.0)
        mirror.receive(Changes(tuple(items), make_revision(1, 80)), 0.0)
        mirror.next_call(0.0)
        mirror.receive(Changes((), make_revision(2, 50)), 0.0)
        mirror.next_call(0.0)
        items = [Item(k, v, make_revision(2, n)) for k, v, n in after]
        mirror.receive(Page(tuple(items), make_revision(2, 50)), 0.0)

    def wait(self, seconds=MAX_DELAY):
        """Let some seconds pass."""
        self.lost_writes._on_tick()
        self.now += seconds
        self.lost_writes._on_tick()

    def test_a_lost_decision_is_written_once_with_its_status(self):
        decision = encode_decision(Decision(7, "v2", COMPLETED, 1.0))
        self.restore([(DECISION, decision, 60)], [])
        self.wait()
        commit = self.store.answer(Committed(make_revision(2, 51)))
        self.assertEqual(
            commit, Commit(((DECISION, 0),), ((DECISION, decision, 0), STATUS))
        )
        written = Item(DECISION, decision, make_revision(2, 51))
        self.mirror.next_call(1.0)
        self.mirror.receive(Changes((written,), make_revision(2, 51)), 1.0)
        self.wait()
        self.assertEqual(self.store.calls, [])

    def test_an_older_value_is_replaced_only_as_it_was_found(self):
        self.restore([(COUNT, b"5", 40), (COUNT, b"7", 60)], [(COUNT, b"5", 40)])
        self.wait()
        commit = self.store.answer(Conflict())
        self.assertEqual(commit.expect, ((COUNT, make_revision(2, 40)),))
        self.assertEqual(commit.puts, ((COUNT, b"7", 0),))

    def test_a_lost_crash_gets_a_lease_of_the_new_epoch(self):
        # Otherwise a request that crashed upstreams would pass again on instances that
        # start later.
        self.restore([(CRASH, b"12345678", 60)], [])
        self.wait()
        self.assertEqual(
            self.store.answer(Leased(12, SUSPECTED_FOR)), TakeLease(SUSPECTED_FOR)
        )
        commit = self.store.answer(Committed(make_revision(2, 51)))
        self.assertEqual(commit.puts, ((CRASH, b"12345678", 12),))

    def test_a_crash_that_was_deleted_is_deleted_again(self):
        self.restore([(CRASH, b"12345678", 40), (CRASH, None, 60)], [])
        self.assertEqual(self.mirror.held_until, {})
        self.mirror = Mirror(
            PREFIX, 1.0, random.Random(1), compute_hold=hold_instance_item
        )
        self.lost_writes._mirror = self.mirror
        self.restore(
            [(CRASH, b"12345678", 40), (CRASH, None, 60)], [(CRASH, b"12345678", 40)]
        )
        self.wait()
        commit = self.store.answer(Committed(make_revision(2, 51)))
        self.assertEqual(commit.deletes, (CRASH,))

    def test_a_lost_document_is_shared_until_it_is_written_again(self):
        # An instance that starts meanwhile would serve the older version of the copy.
        self.restore([], [])
        before = [(DOCUMENT, b"v3", 40), (DOCUMENT, b"v7", 60), ("op/note", b"x", 61)]
        self.restore(before, [(DOCUMENT, b"v3", 40)], self.documents)
        self.wait()
        self.assertEqual(self.store.answer(Leased(4, 60.0)), TakeLease(60.0))
        commit = self.store.answer(Committed(make_revision(2, 51)))
        self.assertEqual(commit, Commit(((SHARED, 0),), ((SHARED, b"v7", 4),)))
        written = Item(SHARED, b"v7", make_revision(2, 51))
        self.mirror.next_call(1.0)
        self.mirror.receive(Changes((written,), make_revision(2, 51)), 1.0)
        self.wait()
        self.assertEqual(self.store.calls, [])

    def test_followers_and_registrations_write_nothing(self):
        self.is_leader = False
        self.restore([(COUNT, b"7", 60)], [])
        self.wait()
        self.assertEqual(self.store.calls, [])
        self.is_leader = True
        self.mirror.held_until.clear()
        self.mirror.held_until[PREFIX + "/one"] = 1e9
        self.wait()
        self.assertEqual(self.store.calls, [])
