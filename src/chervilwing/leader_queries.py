"""Leaders of groups of instances, and the queries by which the others follow them.

A group consists of instances of one data centre. The first of them that is alive leads:
it watches the store, and the others query it a few times a second by single datagrams
that also report their work and load. A reply states the age of its knowledge of the
store, counted from the store call that returned it. A follower therefore knows how old
its own knowledge is, as if it had called the store itself.
"""

from math import ceil
from types import MappingProxyType
from typing import NamedTuple

from .hashing import hash_text

# Seconds between two queries, in a large group and in a small one. If hundreds of
# instances each watched the store, every change would wake all of them, and each would
# make a call that is charged for. With rarer queries, the reported loads would be too
# old to choose upstreams by.
QUERY_INTERVAL = 0.4
MIN_QUERY_INTERVAL = 0.2
# Queries a second that a leader answers to its group: 0.5 % of a core.
QUERIES_PER_SECOND = 60.0
# Maximum number of instances in a group, so that each may query every QUERY_INTERVAL.
MAX_GROUP_SIZE = 24
# Seconds to wait for a reply: a round trip takes 3 ms, a small instance's event loop up
# to 50 ms.
REPLY_TIMEOUT = 0.25
# Unanswered queries in a row after which another instance is queried: a bad link loses
# one datagram in thirty.
MAX_MISSES = 2
# Seconds for which an instance that failed isn't queried again.
AVOID_SECONDS = 3.0
# Seconds for which replies may leave out later changes until this instance counts as
# uninformed. A reply has a few changes and there are twenty queries a second: when some
# hundred upstreams leave at once, the last of them would be known after four seconds.
MAX_BACKLOG_TIME = 0.5
# A reply's knowledge counts as fresh only if it is younger, by this many seconds, than
# the bound within which a change must be applied. If a leader loses the store, the next
# query detects it, and 0.3 s remain to query the store and apply its answer.
REACTION_TIME = QUERY_INTERVAL + 0.3
# Maximum age, in seconds, of fresh knowledge under the shortest bound, 2 s. With a
# watch of 0.4 s, a leader's knowledge is up to 0.8 s old; the time between a follower's
# queries adds QUERY_INTERVAL.
MAX_FRESH_AGE = 2.0 - REACTION_TIME
# Seconds for which a follower waits for its leader's list of a restored store: the
# leader's list and the next query. If all followers listed as well, the store's rate
# limit would be exhausted.
LIST_DELAY = 0.6
# Number of leaders that watch the store, where the bounds leave time for the other
# leaders to query them. With hundreds of instances in ten groups, ten watching leaders
# would make 65 calls a second, all charged for; two make 13, whatever the number of
# groups, and one of the two may fail.
MAX_WATCHERS = 2
# If knowledge older than this many seconds doesn't count as fresh, every leader watches
# the store itself: a watching leader's knowledge is up to 0.8 s old, and the queries of
# another leader and of that leader's follower add QUERY_INTERVAL each.
ALL_LEADERS_WATCH_AGE = 0.8 + 2 * QUERY_INTERVAL
# Mbit/s of a machine's link above which a faster link ranks no higher: a leader sends
# its group some 5 Mbit/s in bursts.
AMPLE_LINK_RATE = 100.0
NO_LINKS = MappingProxyType({})


class Query(NamedTuple):
    """A query that waits for its reply."""

    number: int
    name: str
    at: float


def rank_leaders(names, links=NO_LINKS):
    """Return the names in the order in which they lead, the same at all instances.

    ``links`` are the Mbit/s of the machines' links. In a burst, callers saturate the
    link of a small machine. If a leader ran there, its replies would be lost, and for
    half a second the instances of its group would choose upstreams without each other's
    loads, until they found another leader; of 67 instances 20 to 60 did so each second.
    """
    link_rates = {name: min(AMPLE_LINK_RATE, links.get(name, 0.0)) for name in names}
    return sorted(names, key=lambda name: (-link_rates[name], hash_text(name), name))


def form_groups(centres, links=NO_LINKS):
    """Return the ranked names of each group, given the names by data centre.

    Groups are derived from the names alone, so that all instances form the same ones.
    """
    groups = {}
    for centre, names in centres.items():
        count = ceil(len(names) / MAX_GROUP_SIZE)
        for name in rank_leaders(names, links):
            group = f"{centre}/{hash_text(name) % count}"
            groups.setdefault(group, []).append(name)
    return groups


def compute_query_interval(size):
    """Return the seconds between two queries in a group of ``size`` instances."""
    return min(QUERY_INTERVAL, max(MIN_QUERY_INTERVAL, size / QUERIES_PER_SECOND))


class LeaderQueries:
    """State of the queries to one group; times are seconds on one clock.

    ``max_age`` is the age in seconds up to which knowledge counts as fresh.
    """

    def __init__(self, max_age=MAX_FRESH_AGE):
        self._max_age = max_age
        # The instance to query, None where none answers.
        self.target = None
        # Whether the last reply had fresh knowledge of the store.
        self.fresh = False
        # Since when each reply has left out later changes, None if the last didn't.
        self.behind_since = None
        self._preferred = None
        self._pending = None
        self._misses = 0
        self._number = 0
        self._next_query_at = 0.0
        self._avoided_until = {}

    def choose(self, names, now):
        """Return which of the ranked names to query, or None where none answers."""
        candidates = [
            name for name in names if now >= self._avoided_until.get(name, 0.0)
        ]
        target = next(iter(candidates), None)
        if self._preferred in candidates:
            target = self._preferred
        if target != self.target:
            self.target, self._pending, self._misses = target, None, 0
            self.fresh = False
            self.behind_since = None
            self._next_query_at = now
        return target

    def next_query(self, now, interval=QUERY_INTERVAL):
        """Return the number of the query to send to the target now, or None."""
        if self._pending is not None and now - self._pending.at >= REPLY_TIMEOUT:
            self._record_miss(now)
        if (
            self.target is None
            or self._pending is not None
            or now < self._next_query_at
        ):
            return None
        self._number += 1
        self._pending = Query(self._number, self.target, now)
        self._next_query_at = now + interval
        return self._number

    def receive(self, number, age, more, now):
        """Apply a reply; return the Query that it answers, or None if it is outdated.

        ``age`` is the age in seconds of the knowledge in the reply, ``more`` whether
        further changes can be queried for. An instance that lost the store goes on
        replying with outdated knowledge; its followers would keep a revoked key or an
        upstream that left. So they query the store themselves while replies aren't
        ``fresh``; the other figures of a reply don't depend on the store.
        """
        if self._pending is None or self._pending.number != number:
            return None
        query, self._pending, self._misses = self._pending, None, 0
        self.fresh = age <= self._max_age
        if not more:
            self.behind_since = None
            return query
        self._next_query_at = now
        if self.behind_since is None:
            self.behind_since = now
        if now - self.behind_since >= MAX_BACKLOG_TIME:
            self.fresh = False
        return query

    def avoid_target(self, now):
        """Query another instance for a while, as the target has no fresh knowledge."""
        self._avoid(self.target, now)

    def prefer(self, name, now):
        """Query this instance from now on, as a reply named it as the leader."""
        self._preferred = name
        self._next_query_at = now

    def _record_miss(self, now):
        query, self._pending = self._pending, None
        self._misses += 1
        self._next_query_at = now
        if self._misses >= MAX_MISSES:
            self._avoid(query.name, now)

    def _avoid(self, name, now):
        self._avoided_until[name] = now + AVOID_SECONDS
        self._misses = 0
        if name == self._preferred:
            self._preferred = None
