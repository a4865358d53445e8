"""Tests of revisions: when an instance is ready, and which values it adopts."""

import random
import unittest
from types import SimpleNamespace

from chervilwing.documents import serialise
from chervilwing.exceptions import TooLarge
from chervilwing.follower import Follower
from chervilwing.messages import Found, Missing, Unanswered, Watch, Write
from chervilwing.revisions import Adopted, Ignored, Revisions, RevisionSettings
from chervilwing.store_epochs import StoreEpochs, make_revision
from tests.deployments import Upstreams, make_configuration
from tests.world import read_stamp

MEMBERS = {"one": "a", "two": "b", "three": "c"}
CFG = RevisionSettings()


class TestRevisions(unittest.TestCase):
    def setUp(self):
        self.revisions = Revisions(CFG, "one", read_stamp, random.Random(1))
        self.revisions.enlist(MEMBERS)
        (self.read,) = self.revisions.start(0.0)

    def test_reply_of_the_store_makes_ready_at_once(self):
        self.revisions.receive(self.read.token, Found("2 op-2", 7), 0.1)
        self.assertIsNone(self.revisions.explain_not_ready())
        self.assertEqual(self.revisions.stamp.revision, 2)

    def test_value_of_a_peer_makes_ready_only_after_the_wait(self):
        """An instance that restarts in an outage waits for its peers' newest revision.

        The store is down. The first value comes from a peer that was cut off during an
        edit and has revision 1; revision 2 arrives later. Without the wait the instance
        would apply rules that an operator replaced minutes ago.
        """
        self.revisions.receive(self.read.token, Unanswered(), 0.1)
        self.revisions.hear("1 op-1", 0.2)
        self.revisions.tick(CFG.peer_wait - 0.1)
        detail = self.revisions.explain_not_ready().detail
        self.assertIn("no answer; peers: 2 known, revision 1 heard", detail)
        self.revisions.hear("2 op-2", CFG.peer_wait - 0.1)
        self.assertIsNotNone(self.revisions.explain_not_ready())
        self.revisions.tick(CFG.peer_wait)
        self.assertIsNone(self.revisions.explain_not_ready())
        self.assertEqual(self.revisions.stamp.revision, 2)

    def test_value_after_the_wait_makes_ready_at_once(self):
        self.revisions.receive(self.read.token, Missing(), 0.1)
        self.revisions.tick(CFG.peer_wait + 1)
        detail = self.revisions.explain_not_ready().detail
        self.assertIn("holds none; peers: 2 known, none heard", detail)
        self.revisions.hear("1 op-1", CFG.peer_wait + 2)
        self.assertIsNone(self.revisions.explain_not_ready())

    def test_only_newer_readable_values_are_adopted(self):
        (adopted,) = self.revisions.hear("2 op-2", 0.1)
        self.assertIsInstance(adopted, Adopted)
        self.assertEqual(self.revisions.hear("2 op-2", 0.2), ())
        self.assertEqual(self.revisions.hear("1 op-1", 0.3), ())
        (ignored,) = self.revisions.hear("of a later version", 0.4)
        self.assertIsInstance(ignored, Ignored)
        self.assertEqual(self.revisions.value, "2 op-2")


class TestRestoredStore(unittest.TestCase):
    """The store returned from a copy that lacks the value in force."""

    def setUp(self):
        renumber = lambda value, revision: f"{revision} {value.split()[1]}"
        self.revisions = Revisions(CFG, "one", read_stamp, random.Random(1), renumber)
        self.revisions.enlist(MEMBERS)
        (self.read,) = self.revisions.start(0.0)
        self.answer(self.read, Found("6 op-6", make_revision(1, 5)))
        self.answer(self.read, Found("7 op-7", make_revision(1, 6)))
        (self.read,) = self.revisions.enter_epoch(2)

    def answer(self, read, reply):
        """Answer a read; return the writes that follow."""
        self.revisions._calls[read.token] = "read"
        actions = self.revisions.receive(read.token, reply, 1.0)
        calls = [item.request for item in actions if hasattr(item, "request")]
        return [call for call in calls if isinstance(call, Write)]

    def test_the_value_in_force_is_written_again(self):
        version = make_revision(2, 5)
        (write,) = self.answer(self.read, Found("6 op-6", version))
        self.assertEqual(write, Write(CFG.key, "7 op-7", version))
        self.assertEqual(self.answer(self.read, Found("6 op-6", version)), [])
        self.assertEqual(self.revisions.stamp.revision, 7)

    def test_a_lost_value_is_written_again(self):
        (write,) = self.answer(self.read, Missing())
        self.assertEqual(write, Write(CFG.key, "7 op-7", 0))

    def test_an_edit_of_a_restored_value_gets_a_higher_revision(self):
        # The operators' tool read the older value and stored the next revision, which
        # is in force already with other content: the edit would never be adopted.
        version = make_revision(2, 6)
        (write,) = self.answer(self.read, Found("7 op-8", version))
        self.assertEqual(write, Write(CFG.key, "8 op-8", version))

    def test_the_same_value_and_later_ones_are_left_alone(self):
        version = make_revision(2, 6)
        self.assertEqual(self.answer(self.read, Found("7 op-7", version)), [])
        self.assertEqual(self.answer(self.read, Found("9 op-9", version)), [])
        self.assertEqual(self.revisions.stamp.revision, 9)

    def test_watches_go_on_from_the_new_epoch(self):
        self.answer(self.read, Found("7 op-7", make_revision(2, 3)))
        self.revisions._calls.clear()
        (watch,) = [a for a in self.revisions.tick(9.0) if isinstance(a.request, Watch)]
        self.assertEqual(watch.request.after, make_revision(2, 3))


class TestFollower(unittest.TestCase):
    def setUp(self):
        self.published, self.configured = [], []
        dispatcher = SimpleNamespace(configure=self.configured.append)
        cfg = SimpleNamespace(name="one", watch_wait=1.0)
        publish = lambda *args: self.published.append(args)
        store = SimpleNamespace(epochs=StoreEpochs())
        self.follower = Follower(cfg, store, publish, dispatcher)

    def test_value_of_a_peer_is_put_in_force(self):
        value = serialise(make_configuration(Upstreams((), ()), 4)).encode()
        self.follower.receive_value(value)
        self.assertEqual(
            [configuration.revision for configuration in self.configured], [4]
        )
        self.assertEqual(self.published, [(4, value)])

    def test_value_too_large_to_publish_is_put_in_force(self):
        # Somebody wrote a configuration over a megabyte without the operators' tools.
        # It can't be gossiped, so each instance reads it from the store itself and must
        # keep running.
        def refuse(number, value):
            raise TooLarge("over the limit")

        self.follower._publish = refuse
        self.follower.receive_value(
            serialise(make_configuration(Upstreams((), ()))).encode()
        )
        self.assertEqual(len(self.configured), 1)

    def test_malformed_values_are_ignored(self):
        # A peer of another version publishes a value that this version can't decode. An
        # exception would end the task that serves all peers.
        self.follower.receive_value(b"\xff\xfe")
        self.follower.receive_value(b"{}")
        self.assertEqual((self.configured, self.published), ([], []))
