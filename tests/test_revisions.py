"""Tests of revisions: when an instance is ready, and which values it adopts."""

import random
import unittest
from types import SimpleNamespace

from chervilwing.documents import serialise
from chervilwing.exceptions import TooLarge
from chervilwing.follower import Follower
from chervilwing.messages import Found, Missing, Unanswered
from chervilwing.revisions import Adopted, Ignored, Revisions, RevisionSettings
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


class TestFollower(unittest.TestCase):
    def setUp(self):
        self.published, self.configured = [], []
        dispatcher = SimpleNamespace(configure=self.configured.append)
        cfg = SimpleNamespace(name="one", watch_wait=1.0)
        publish = lambda *args: self.published.append(args)
        self.follower = Follower(cfg, None, publish, dispatcher)

    def test_value_of_a_peer_is_put_in_force(self):
        value = serialise(make_configuration(Upstreams((), ()), 4)).encode()
        self.follower.hear(value)
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
        self.follower.hear(serialise(make_configuration(Upstreams((), ()))).encode())
        self.assertEqual(len(self.configured), 1)

    def test_malformed_values_are_ignored(self):
        # A peer of another version publishes a value that this version can't decode. An
        # exception would end the task that serves all peers.
        self.follower.hear(b"\xff\xfe")
        self.follower.hear(b"{}")
        self.assertEqual((self.configured, self.published), ([], []))
