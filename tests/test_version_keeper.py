"""Tests of the versions that leaders keep in the store."""

import unittest
from types import SimpleNamespace
from unittest import mock

from chervilwing.stream_versions import (
    Origin,
    StreamVersions,
    decode_origin,
    get_life,
    make_key,
)
from chervilwing.version_keeper import CHECK_INTERVAL, VersionKeeper
from tests.stream_fleet import ROUTE

OLD, NEW = Origin("web", "v1"), Origin("web", "v2")
READ_CLOCK = "chervilwing.version_keeper.read_boottime"


class TestRemoval(unittest.TestCase):
    def setUp(self):
        self.used, self.commits, self.now = {"v1", "v2"}, [], 0.0
        self.streams = StreamVersions(lambda pool: frozenset(self.used))
        pool = SimpleNamespace(list_versions=lambda: frozenset(self.used))
        gateway = SimpleNamespace(
            table=SimpleNamespace(resumable=(ROUTE,)),
            pools={"web": pool},
            rollouts=SimpleNamespace(is_new=lambda *args: False),
            resumptions=SimpleNamespace(streams=self.streams),
        )
        self.keeper = VersionKeeper(self, gateway, lambda: True)
        self.run_until(self.is_settled)

    def submit(self, commit, reply):
        self.commits.append((commit, reply))

    def is_settled(self):
        return {OLD, NEW} == set(self.streams.stored.values())

    def tick(self):
        self.now += CHECK_INTERVAL
        with mock.patch(READ_CLOCK, lambda: self.now):
            self.keeper._on_tick()

    def apply(self):
        """Carry out the oldest commit, as a store does that got it late."""
        commit, reply = self.commits.pop(0)
        for key in commit.deletes:
            self.streams.put_stored(key, None)
        for key, value, _ in commit.puts:
            self.streams.put_stored(key, decode_origin(key, value))
        with mock.patch(READ_CLOCK, lambda: self.now):
            reply(None)

    def run_until(self, done):
        """Let the keeper work until something holds; return the seconds."""
        began = self.now
        while not done():
            self.assertLess(self.now - began, 9 * get_life(ROUTE))
            self.tick()
            while self.commits:
                self.apply()
        return self.now - began

    def test_a_version_that_returns_is_never_missing(self):
        # Guards against a removal that takes effect when streams begin there again.
        self.used.discard("v2")
        while not any(commit.deletes for commit, _ in self.commits):
            self.tick()
        self.used.add("v2")
        self.assertTrue(self.streams.is_announced(*NEW))
        self.apply()
        self.assertIn(NEW, self.streams.stored.values())
        self.assertFalse(self.streams.is_announced(*NEW))
        self.run_until(lambda: self.streams.is_announced(*NEW))
        self.run_until(lambda: len(self.streams.stored) == 4)
        self.assertIn(make_key(NEW), self.streams.stored)

    def test_a_version_without_upstreams_is_forgotten(self):
        # Guards against a store that fills up, and against one that forgets too early.
        self.used.discard("v2")
        seconds = self.run_until(lambda: NEW not in self.streams.stored.values())
        self.assertGreaterEqual(seconds, 2 * get_life(ROUTE))


if __name__ == "__main__":
    unittest.main()
