"""Choice of a group's leader: crashes, partitions, lost datagrams, growth."""

import unittest
from collections import Counter

from chervilwing.leader_queries import (
    AVOID_SECONDS,
    MAX_BACKLOG_TIME,
    MAX_FRESH_AGE,
    MAX_GROUP_SIZE,
    QUERY_INTERVAL,
    REPLY_TIMEOUT,
    LeaderQueries,
    compute_query_interval,
    form_groups,
    rank_leaders,
)

# Queries a second that one instance may get: each takes 0.1 ms of processor time.
MAX_QUERIES_PER_SECOND = 100.0


def make_fleet(count, centres="abc"):
    """Return names by data centre."""
    fleet = {}
    for number in range(count):
        fleet.setdefault(centres[number % len(centres)], []).append(f"entry-{number}")
    return fleet


class TestGroups(unittest.TestCase):
    def test_each_instance_is_in_one_group_of_its_data_centre(self):
        fleet = make_fleet(90)
        groups = form_groups(fleet)
        for group, names in groups.items():
            self.assertLessEqual(set(names), set(fleet[group.partition("/")[0]]))
            self.assertEqual(names, rank_leaders(names))
        counted = Counter(name for names in groups.values() for name in names)
        self.assertEqual(counted, Counter(sum(fleet.values(), [])))

    def test_machine_with_the_ample_link_leads(self):
        # In a burst, callers saturate the link of a small machine. If a leader ran
        # there, its replies would be lost, and again and again its group would choose
        # upstreams for half a second without each other's loads.
        fleet = make_fleet(90)
        links = dict.fromkeys(sum(fleet.values(), []), 10.0)
        ample = {names[-1]: 200.0 for names in fleet.values()}
        groups = form_groups(fleet, {**links, **ample})
        for names in groups.values():
            if ample.keys() & set(names):
                self.assertIn(names[0], ample)

    def test_link_beyond_ample_ranks_no_higher(self):
        names = [f"entry-{number}" for number in range(9)]
        links = {name: 200.0 + at for at, name in enumerate(names)}
        self.assertEqual(rank_leaders(names, links), rank_leaders(names))

    def test_query_rate_stays_bounded_as_the_fleet_grows(self):
        # When every instance reported to all others, 90 instances sent each of them 360
        # datagrams a second.
        for count, centres in ((7, "abc"), (16, "abc"), (90, "abcd"), (320, "abcde")):
            groups = form_groups(make_fleet(count, centres))
            mean = count / len(groups)
            rate = mean / compute_query_interval(mean)
            rate += len(groups) / compute_query_interval(2 * len(groups))
            self.assertLessEqual(mean, MAX_GROUP_SIZE)
            self.assertLessEqual(rate, MAX_QUERIES_PER_SECOND)


class TestLeaderQueries(unittest.TestCase):
    def setUp(self):
        self.queries = LeaderQueries()

    def exchange(self, names, now, age=0.0):
        """Send and answer one query; return which instance was queried."""
        target = self.queries.choose(names, now)
        number = self.queries.next_query(now)
        if number is not None:
            self.queries.receive(number, age, False, now)
        return target

    def test_a_follower_that_stays_behind_counts_as_uninformed(self):
        # Guards against upstreams that get requests for seconds after they have said
        # that they leave: some hundred left at once, and a reply holds a few of them.
        self.queries.choose(["one"], 0.0)
        for step in range(12):
            now = 0.05 * step
            number = self.queries.next_query(now)
            self.queries.receive(number, 0.0, step < 11, now)
            self.assertEqual(self.queries.fresh, now < MAX_BACKLOG_TIME or step == 11)

    def test_first_ranked_instance_is_queried(self):
        self.assertEqual(self.exchange(["one", "two"], 0.0), "one")
        self.assertIsNone(self.queries.choose([], 0.1))

    def test_dead_leader_is_left_after_two_queries(self):
        # The leader is killed, and no query to it is answered. A changed configuration
        # must still be applied within two seconds.
        now, names = 0.0, ["one", "two"]
        self.exchange(names, now)
        while self.queries.choose(names, now) == "one":
            self.queries.next_query(now)
            now += 0.05
        self.assertLessEqual(now, QUERY_INTERVAL + 3 * REPLY_TIMEOUT)

    def test_one_lost_datagram_changes_no_target(self):
        self.queries.choose(["one", "two"], 0.0)
        self.queries.next_query(0.0)
        now = REPLY_TIMEOUT
        number = self.queries.next_query(now)
        self.assertIsNotNone(number)
        self.queries.receive(number, 0.0, False, now)
        self.assertEqual(self.queries.choose(["one", "two"], now), "one")

    def test_reply_of_a_leader_without_the_store_is_not_fresh(self):
        # A leader that lost the store goes on replying with outdated knowledge. If it
        # counted as fresh, a revoked key would stay valid at all its followers.
        self.assertFalse(self.queries.fresh)
        self.exchange(["one", "two"], 0.0)
        self.assertTrue(self.queries.fresh)
        self.exchange(["one", "two"], 1.0, age=MAX_FRESH_AGE + 0.1)
        self.assertFalse(self.queries.fresh)
        # The leader is still queried: reported loads don't depend on the store.
        self.assertEqual(self.queries.choose(["one", "two"], 1.1), "one")

    def test_dead_leader_is_queried_again_after_a_while(self):
        now, names = 0.0, ["one", "two"]
        while self.queries.choose(names, now) == "one":
            self.queries.next_query(now)
            now += 0.05
        self.assertEqual(self.exchange(names, now + AVOID_SECONDS - 0.1), "two")
        self.assertEqual(self.exchange(names, now + AVOID_SECONDS + 0.1), "one")

    def test_reply_to_an_older_query_is_ignored(self):
        # After a freeze the reply to an older query arrives; counted from the newest
        # query, its knowledge would look fresh.
        self.queries.choose(["one"], 0.0)
        old = self.queries.next_query(0.0)
        new = self.queries.next_query(REPLY_TIMEOUT)
        self.assertIsNone(self.queries.receive(old, 0.0, False, REPLY_TIMEOUT))
        query = self.queries.receive(new, 0.0, False, 9.0)
        self.assertEqual(query.at, REPLY_TIMEOUT)

    def test_remaining_changes_are_queried_at_once(self):
        self.queries.choose(["one"], 0.0)
        number = self.queries.next_query(0.0)
        self.queries.receive(number, 0.0, True, 0.01)
        self.assertIsNotNone(self.queries.next_query(0.01))

    def test_named_leader_is_queried(self):
        self.exchange(["one", "two", "three"], 0.0)
        self.queries.prefer("three", 0.1)
        self.assertEqual(self.exchange(["one", "two", "three"], 0.1), "three")
        self.assertEqual(self.queries.choose(["one", "two"], 0.2), "one")
