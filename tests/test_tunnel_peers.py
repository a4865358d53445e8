"""Tests of the choice of instances through which upstreams are reached."""

import random
import unittest
from collections import Counter

from chervilwing.models import Address
from chervilwing.tunnel_peers import AVOID_TIME, SILENT_AFTER, TunnelPeers
from chervilwing.tunnels import TunnelPeer

# Seconds between two ticks of an instance.
TICK = 0.05
# Ticks over which the tunnels through an instance are averaged: their number changes
# within a tick, and the replies that tell it are up to 0.25 s old.
TICKS = 40
# Seconds within which a cut instance must find another one that helps, and the largest
# multiple of the mean number of cut instances that one helping instance may serve.
FOUND_WITHIN = 1.0
MAX_IMBALANCE = 4.0


def make_peer(name):
    """Return the TunnelPeer of an instance."""
    return TunnelPeer(name, Address("10.0.0.1", 7600), "ab")


class TestChoice(unittest.TestCase):
    def setUp(self):
        self.peers = TunnelPeers("one")
        self.peers.set_peers([f"a{n}" for n in range(4)], [f"b{n}" for n in range(4)])

    def reply(self, name, load=0, helps=True, now=10.0):
        """Record an instance's reply."""
        self.peers.record_reply(make_peer(name), helps, load, now)

    def test_two_instances_are_asked_a_second_in_calm(self):
        for name in ("a0", "b0"):
            self.reply(name, now=9.9)
        asked = []
        for step in range(100):
            now = 10.0 + step * TICK
            names = self.peers.list_queries(False, now)
            for name in names:
                self.reply(name, now=now)
            asked += names
        self.assertLessEqual(len(asked), 12)
        self.assertEqual(len({name[0] for name in asked}), 2)

    def test_the_least_loaded_is_chosen_and_a_near_one_preferred(self):
        self.reply("a0", load=9)
        self.reply("a1", load=5)
        self.reply("b0", load=0)
        self.assertEqual(self.peers.choose(10.1).name, "a1")
        self.assertEqual(self.peers.choose(10.1, {"a1"}).name, "b0")
        self.peers.in_use = {"a1": 4}
        self.assertEqual(self.peers.choose(10.1).name, "b0")

    def test_whoever_does_not_help_or_reply_is_avoided(self):
        self.reply("a0")
        self.reply("a0", helps=False, now=10.1)
        self.assertIsNone(self.peers.choose(10.1))
        names = self.peers.list_queries(True, 10.2)
        self.assertNotIn("a0", names[:3])
        silent = self.peers.avoid_silent(10.2 + SILENT_AFTER)
        self.assertEqual(set(silent), set(names))

    def test_avoided_instances_are_asked_again_if_nobody_helps(self):
        # Guards against an instance that started before its only peer knew of it, and
        # then was refused help for seconds.
        self.peers.set_peers(["a0"], [])
        self.peers.avoid("a0", 10.0)
        self.assertEqual(self.peers.list_queries(True, 10.1), ["a0"])
        self.assertGreater(AVOID_TIME, 0.1)

    def test_instances_that_are_gone_are_not_chosen(self):
        self.reply("a0")
        self.peers.set_peers(["a1"], [])
        self.assertIsNone(self.peers.choose(10.1))


class PeersFleet:
    """Model of many instances, part of them cut off, that look for help."""

    def __init__(self, size, cut_count, seed, loss=0.03):
        self.rng = random.Random(seed)
        self.loss = loss
        self.names = [f"n{number}" for number in range(size)]
        self.centres = {n: f"dc{i % 5}" for i, n in enumerate(self.names)}
        self.cut = set(self.rng.sample(self.names, cut_count))
        self.tunnels = Counter()
        self.queries = 0
        self.peers = {name: TunnelPeers(name) for name in self.names}
        for name, peers in self.peers.items():
            others = [n for n in self.names if n != name]
            near = [n for n in others if self.centres[n] == self.centres[name]]
            peers.set_peers(near, [n for n in others if n not in near])

    def run_tick(self, now, aware):
        """Exchange queries and replies; cut instances need help once ``aware``."""
        for name, peers in self.peers.items():
            peers.avoid_silent(now)
            needed = aware and name in self.cut
            for target in peers.list_queries(needed, now):
                self.queries += 1
                if self.rng.random() < self.loss:
                    continue
                helps = not (aware and target in self.cut)
                load = self.tunnels[target]
                peers.record_reply(make_peer(target), helps, load, now)

    def count_helped(self, now):
        """Open a tunnel for each cut instance; return how many found help."""
        self.tunnels.clear()
        for name in self.cut:
            found = self.peers[name].choose(now)
            if found is not None and found.name not in self.cut:
                self.tunnels[found.name] += 1
        return sum(self.tunnels.values())


class TestModel(unittest.TestCase):
    def test_cut_instances_find_help_and_share_it_at_any_size(self):
        # Guards against a cut of most instances that leaves some without help, or all
        # at the same helping instance.
        for size, cut_count in ((8, 4), (8, 7), (40, 35), (320, 64), (320, 280)):
            with self.subTest(size=size, cut=cut_count):
                fleet = PeersFleet(size, cut_count, seed=size + cut_count)
                step = 0
                for step in range(60):
                    fleet.run_tick(10.0 + step * TICK, aware=False)
                fleet.queries = 0
                began = now = 10.0 + step * TICK
                while fleet.count_helped(now) < cut_count:
                    now += TICK
                    fleet.run_tick(now, aware=True)
                    self.assertLessEqual(now - began, FOUND_WITHIN)
                total = Counter()
                for _ in range(TICKS):
                    now += TICK
                    fleet.run_tick(now, aware=True)
                    helped = fleet.count_helped(now)
                    self.assertGreaterEqual(helped, cut_count * 0.95)
                    total += fleet.tunnels
                mean = cut_count / (size - cut_count)
                largest = max(total.values()) / TICKS
                self.assertLessEqual(largest, max(2.0, MAX_IMBALANCE * mean))


if __name__ == "__main__":
    unittest.main()
