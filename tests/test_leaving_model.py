"""Announcements of leaving upstreams reach any number of instances."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

from chervilwing import leaving_exchange
from chervilwing.leaving_exchange import COPIES, COPY_INTERVAL, LeavingExchange
from chervilwing.leaving_upstreams import LeavingUpstreams
from chervilwing.registrations import ProcessId

PROCESS = ProcessId("u0", 5.0)
# Seconds between two ticks, and fraction of the datagrams that are lost.
TICK = 0.05
LOSS = 0.03


class Fleet:
    """Instances that are connected by a network that loses and doubles datagrams."""

    def __init__(self, size, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.sent = 0
        self.cut, self.frozen = set(), set()
        self.nodes = [self.start(number) for number in range(size)]

    def start(self, number):
        """Return an instance; its address is its number."""
        peers = {}
        node = SimpleNamespace(known=LeavingUpstreams(), waiting=[], peers=peers)
        node.record_leaving = lambda process, now, reported_by: node.known.add(
            process, now
        )
        network = SimpleNamespace(
            subscribe=lambda kind, receive: setattr(node, "receive", receive),
            send=lambda kind, fields, to: self.send(number, fields, to),
        )
        cfg = SimpleNamespace(name=f"i{number}")
        node.exchange = LeavingExchange(cfg, network, node, node)
        return node

    def send(self, source, fields, target):
        self.sent += 1
        if (source in self.cut) == (target in self.cut):
            copies = self.rng.choices((0, 1, 2), (LOSS, 1 - 2 * LOSS, LOSS))[0]
            self.nodes[target].waiting += copies * [fields]

    def announce(self, number):
        """Let an upstream announce its end to one instance."""
        node = self.nodes[number]
        if node.known.add(PROCESS, self.now):
            node.on_upstream_leaving(PROCESS)

    def run(self, seconds):
        """Deliver datagrams and tick; frozen instances do so once they go on."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK
            for number, node in enumerate(self.nodes):
                if number not in self.frozen:
                    waiting, node.waiting = node.waiting, []
                    for fields in waiting:
                        node.receive(None, *fields)
                    node.exchange._on_tick()

    def list_unaware(self):
        """Return the numbers of the instances that don't know of the announcement."""
        return {
            number
            for number, node in enumerate(self.nodes)
            if node.known.add(PROCESS, self.now)
        }


class TestSpread(unittest.TestCase):
    def setUp(self):
        read = mock.patch.object(leaving_exchange, "read_boottime", self.read_time)
        read.start()
        self.addCleanup(read.stop)

    def read_time(self):
        return self.fleet.now

    def start(self, size):
        """Start a fleet whose instances know each other."""
        fleet = self.fleet = Fleet(size, seed=size)
        for number, node in enumerate(fleet.nodes):
            others = set(range(size)) - {number}
            node.peers.update({n: SimpleNamespace(address=n) for n in others})
        return fleet

    def test_all_instances_know_of_it_after_the_last_copy(self):
        for size in (1, 3, 8, 67, 320):
            fleet = self.start(size)
            fleet.announce(0)
            fleet.run(COPIES * COPY_INTERVAL)
            self.assertEqual(fleet.list_unaware(), set(), size)
            self.assertEqual(fleet.sent, COPIES * (size - 1))

    def test_frozen_instances_know_of_it_once_they_go_on_and_cut_ones_do_not(self):
        # A cut instance learns of it from the upstream's next answer to itself.
        for size in (3, 8, 67, 320):
            fleet = self.start(size)
            fleet.frozen, fleet.cut = {1}, {2}
            fleet.announce(0)
            fleet.run(COPIES * COPY_INTERVAL)
            fleet.frozen = set()
            fleet.run(2 * TICK)
            self.assertEqual(fleet.list_unaware(), {2}, size)


if __name__ == "__main__":
    unittest.main()
