"""Choice of the instances that watch the store, over simulated queries and replies."""

import unittest
from types import SimpleNamespace
from unittest import mock

from chervilwing.coordination import Peer
from chervilwing.crash_records import CrashRecords
from chervilwing.leader_queries import (
    MAX_FRESH_AGE,
    MAX_GROUP_SIZE,
    MAX_WATCHERS,
    rank_leaders,
)
from chervilwing.mirrors import News
from chervilwing.models import Address
from chervilwing.report_exchange import ReportExchange
from chervilwing.rollouts import Rollouts

TICK = 0.05
SETTLE = 3.0


class StoreKnowledge:
    """Simulated knowledge of the store at one instance, which may lose the store."""

    def __init__(self, name, names, clock):
        self.name = name
        self.peers = {
            other: Peer(Address(other, 1), centre, 10.0)
            for other, centre in names.items()
            if other != name
        }
        self.peers_version = 1
        self.duty_lease = SimpleNamespace(claim_delay=0.0)
        self.passive = False
        self.store_lost = False
        # Time at which this instance listed the store; it has no changes from before.
        self.listed_at = 0.0
        self.calls = 0
        self._clock = clock
        self._as_of = 0.0

    @property
    def unreachable(self):
        """Return whether the last own call had no answer."""
        return self.store_lost and not self.passive

    def tick(self):
        """Watch the store, unless another instance does."""
        if not self.passive:
            self.calls += 1
            if not self.store_lost:
                self._as_of = self._clock.now

    def set_list_delay(self, seconds):
        """Ignore the delay, as nothing is listed."""

    def list_links(self):
        """Return no links, as all are equal."""
        return {}

    def list_revisions(self):
        """Return the time up to which the store is known."""
        return [self._as_of]

    def list_news(self, revisions, now):
        """Return News that hold the age of this knowledge."""
        items = None if revisions[0] < self.listed_at else ()
        return [News(now - self._as_of, None, 1, items, False)]

    def compute_age(self, news):
        """Return the age of the news in seconds."""
        return news[0].age

    def apply_news(self, news, queried_at, now):
        """Apply another instance's news."""
        if news[0].items is not None:
            self._as_of = max(self._as_of, queried_at - news[0].age)
        elif not self.store_lost:
            self._as_of = self._clock.now

    def measure_age(self):
        """Return the age of this knowledge in seconds."""
        return self._clock.now - self._as_of


class Datagrams:
    """One instance's datagrams, delivered at once."""

    def __init__(self, name, sockets):
        self.receivers = {}
        self._name = name
        self._sockets = sockets
        sockets[name] = self

    def subscribe(self, kind, receive):
        """Register the receiver of a kind."""
        self.receivers[kind] = receive

    def send(self, kind, fields, address):
        """Deliver a datagram."""
        receive = self._sockets[address.host].receivers[kind]
        receive(Address(self._name, 1), *fields)


class World:
    """Instances of several data centres that query each other; ``bound`` in seconds."""

    def __init__(self, count, centres, bound):
        self.now = 100.0
        self.names = {f"i{n}": centres[n % len(centres)] for n in range(count)}
        sockets = {}
        self.knowledge_by_name, self.report_exchange = {}, {}
        for name, centre in self.names.items():
            cfg = SimpleNamespace(
                name=name,
                data_centre=centre,
                incarnation=1,
                apply_bound=bound,
                leave_bound=bound,
            )
            knowledge = self.knowledge_by_name[name] = StoreKnowledge(
                name, self.names, self
            )
            parts = mock.Mock(
                **{"list_unstored.return_value": {}, "read_time": lambda: 0}
            )
            parts.list_stored.return_value = []
            self.report_exchange[name] = ReportExchange(
                cfg,
                Datagrams(name, sockets),
                knowledge,
                SimpleNamespace(
                    pools={}, rollouts=Rollouts(), crashes=CrashRecords(name)
                ),
                parts,
                mock.Mock(),
            )

    def run(self, seconds, watched=()):
        """Advance the clock; return the greatest age at the ``watched`` instances."""
        end, oldest = self.now + seconds, 0.0
        with mock.patch("chervilwing.report_exchange.read_boottime", lambda: self.now):
            while self.now < end:
                self.now += TICK
                for name in self.names:
                    self.knowledge_by_name[name].tick()
                    self.report_exchange[name]._on_tick()
                ages = (self.knowledge_by_name[name].measure_age() for name in watched)
                oldest = max(oldest, *ages, 0.0)
        return oldest

    def list_watching(self):
        """Return the names of the instances that watch the store."""
        return [
            name for name, item in self.knowledge_by_name.items() if not item.passive
        ]

    def measure_oldest(self):
        """Return the greatest age of any instance's knowledge in seconds."""
        return max(item.measure_age() for item in self.knowledge_by_name.values())


class TestWatchers(unittest.TestCase):
    def test_two_instances_watch_for_a_large_fleet(self):
        # With two hundred instances in ten groups, ten watching leaders would make 65
        # calls a second; with 320 instances there would be sixteen watching.
        for count in (67, 195, 320):
            with self.subTest(count=count):
                world = World(count, "abcde", bound=4.0)
                world.run(SETTLE)
                self.assertEqual(len(world.list_watching()), MAX_WATCHERS)
                self.assertLess(world.measure_oldest(), 4.0)

    def test_every_leader_watches_under_a_short_bound(self):
        world = World(60, "abc", bound=2.0)
        world.run(SETTLE)
        self.assertEqual(len(world.list_watching()), 3)

    def test_few_followers_watch_after_their_leader_lost_the_store(self):
        # The store turns one of three leaders away for nine seconds. Its followers get
        # no fresh knowledge, and if all of them watched the store, they would make 150
        # calls a second.
        world = World(60, "abc", bound=2.0)
        world.run(SETTLE)
        leader = world.list_watching()[0]
        world.knowledge_by_name[leader].store_lost = True
        world.run(SETTLE)
        others = [name for name in world.list_watching() if name != leader]
        self.assertLessEqual(len(others), 3)
        followers = [n for n in world.names if n != leader]
        oldest = max(world.knowledge_by_name[n].measure_age() for n in followers)
        self.assertLess(oldest, 2.0)
        # The leader gets the changes from its followers.
        self.assertLess(world.knowledge_by_name[leader].measure_age(), 4.0)

    def test_fallback_with_incomplete_news_is_left(self):
        # The first of the followers started after the last change that the leader
        # knows, so it lacks the changes in between; the other followers have them. If
        # the leader queried only the first follower, it would refuse all callers.
        world = World(8, "a", bound=2.0)
        world.run(SETTLE)
        leader = world.list_watching()[0]
        first = next(name for name in rank_leaders(list(world.names)) if name != leader)
        world.knowledge_by_name[leader].store_lost = True
        world.knowledge_by_name[first].listed_at = world.now + 10 * TICK
        world.run(SETTLE)
        self.assertLess(world.run(2 * SETTLE, [leader]), 4.0)

    def test_borrowed_store_state_is_not_returned_as_fresh(self):
        # The leader loses the store and learns its state from the next instance in
        # rank. If the leader returned that state to it as fresh, the next one would
        # stop watching, and both would rely on each other's ageing knowledge: a request
        # went to an upstream that had announced 2.3 s before that it leaves.
        for count in (8, 60):
            with self.subTest(count=count):
                world = World(count, "abc", bound=2.0)
                world.run(SETTLE)
                leader = world.list_watching()[0]
                world.knowledge_by_name[leader].store_lost = True
                world.run(SETTLE)
                self.assertLess(world.run(2 * SETTLE, world.names), MAX_FRESH_AGE)

    def test_watchers_that_lost_the_store_are_replaced(self):
        # The store refuses the calls of both instances that watch it for two hundred.
        world = World(195, "abcde", bound=4.0)
        world.run(SETTLE)
        lost = world.list_watching()
        for name in lost:
            world.knowledge_by_name[name].store_lost = True
        world.run(SETTLE)
        watching = [name for name in world.list_watching() if name not in lost]
        self.assertLessEqual(len(watching), 195 // MAX_GROUP_SIZE + 5)
        oldest = max(
            item.measure_age()
            for name, item in world.knowledge_by_name.items()
            if name not in lost
        )
        self.assertLess(oldest, 4.0)

    def test_rank_does_not_depend_on_input_order(self):
        self.assertEqual(rank_leaders(["b", "a", "c"]), rank_leaders(["c", "b", "a"]))


if __name__ == "__main__":
    unittest.main()
