"""Simulation of instances in front of upstreams that state limits, without sockets.

Instances exchange credit and limits as in ``credit_fleet``. As in a deployment, the
first instance that answers chooses the upstream of each request.
"""

import heapq
from itertools import count
from math import inf
from typing import NamedTuple

from tests.credit_fleet import GROUP, STEP, Fleet

# Seconds from a request's arrival at an upstream until its answer begins.
ANSWER_TIME = (0.05, 0.6)
# Seconds until the instance that chooses upstreams has answered.
PLACING_TIME = (0.001, 0.01)
# Seconds after which an ask without an answer counts as lost.
ANSWER_TIMEOUT = 0.03
# Seconds after a fault until an instance counts as in contact with the others again,
# and seconds after an answer with a limit until its receiver has to comply with it.
IN_CONTACT_AFTER = 3.0
COMPLIES_AFTER = 0.5


class Upstream:
    """State of one upstream: its limit, and when an answer first stated it."""

    def __init__(self):
        self.limit = None
        self.stated_at = inf


class Arrival(NamedTuple):
    """A request at an upstream.

    ``counted`` is true if its sender had to comply with the limit by then.
    """

    at: float
    upstream: str
    node: int
    counted: bool


class LimitedFleet(Fleet):
    """Instances, upstreams and a steady load of ``rate`` requests per second.

    ``retried`` is the fraction of requests that are retried because the upstream didn't
    run them, ``lost_questions`` the fraction whose question to the choosing instance is
    lost.
    """

    def __init__(
        self, size, upstreams, rate, seed, retried=0.0, lost_questions=0.0, **network
    ):
        self.upstreams = {f"u{number}": Upstream() for number in range(upstreams)}
        self.rate, self.retried, self.lost_questions = rate, retried, lost_questions
        self.in_flight = dict.fromkeys(self.upstreams, 0)
        self.arrivals = []
        self.refused_at = []
        self._informed_at = {}
        self._started_at = {}
        self._later = []
        self._serial = count()
        super().__init__(size, [], seed, **network)

    def start(self, index, known):
        """Start an instance, or restart it without its state."""
        super().start(index, known)
        self._started_at[index] = self.now

    def set_limit(self, upstream, limit):
        """Let an upstream state a limit from now on, or none."""
        state = self.upstreams[upstream]
        state.limit = limit
        state.stated_at = inf
        for key in [key for key in self._informed_at if key[1] == upstream]:
            del self._informed_at[key]

    def run(self, seconds):
        """Advance the simulation by some seconds."""
        end = self.now + seconds
        while self.now < end:
            for _ in range(self._count_arrivals(self.rate * STEP)):
                self._ask_for(self.rng.choice(self._rank()), 0)
            super().run(STEP)
            while self._later and self._later[0][0] <= self.now:
                _, _, call, args = heapq.heappop(self._later)
                call(*args)

    def _call_later(self, wait, call, *args):
        heapq.heappush(self._later, (self.now + wait, next(self._serial), call, args))

    def _ask_for(self, name, tries):
        """Send a request from an instance; ``tries`` counts its earlier attempts."""
        if self._is_frozen(name):
            return
        placer = self._find_placer(name)
        if placer == name:
            self._send(name, self._choose_for(name), tries)
        elif placer is None or self.rng.random() < self.lost_questions:
            self._call_later(ANSWER_TIMEOUT, self._send_without_placer, name, tries)
        else:
            upstream = self._choose_for(placer)
            wait = self.rng.uniform(*PLACING_TIME)
            self._call_later(wait, self._send_placed, name, placer, upstream, tries)

    def _find_placer(self, name):
        """Return the first instance that answers this one, or None."""
        ranked = self._rank()
        names = [ranked[0], *(n for n in ranked if n // GROUP == name // GROUP)]
        for other in names:
            if other == name or self._reaches(name, other):
                return other
        return None

    def _reaches(self, name, other):
        return self.side[name] == self.side[other] and not self._is_frozen(other)

    def _is_frozen(self, name):
        return self.now < self.nodes[name].frozen_until

    def _choose_for(self, placer):
        """Choose an upstream on behalf of other instances."""
        limits = self.nodes[placer].limits
        limits.request_credit(limits.list_exhausted(self.upstreams, self.now), self.now)
        return self._choose_upstream(placer)

    def _choose_upstream(self, name):
        """Choose an upstream by an instance's knowledge, and spend its credit."""
        limits = self.nodes[name].limits
        exhausted = limits.list_exhausted(self.upstreams, self.now)
        candidates = sorted(self.upstreams.keys() - exhausted)
        if not candidates:
            return None
        least = min(self.in_flight[upstream] for upstream in candidates)
        upstream = self.rng.choice(
            [name for name in candidates if self.in_flight[name] == least]
        )
        limits.charge(upstream, self.now)
        return upstream

    def _send_without_placer(self, name, tries):
        if name in self.nodes and not self._is_frozen(name):
            self._send(name, self._choose_upstream(name), tries)

    def _send_placed(self, name, placer, upstream, tries):
        """Send to the placer's choice, unless its limit is exhausted here."""
        if name not in self.nodes or self._is_frozen(name):
            return
        limits = self.nodes[name].limits
        charged = placer in self.nodes and self.nodes[placer].limits.is_limited(
            upstream
        )
        if upstream is None or (
            not charged and limits.list_exhausted({upstream: None}, self.now)
        ):
            upstream = self._choose_upstream(name)
        elif not charged:
            limits.charge(upstream, self.now)
        self._send(name, upstream, tries)

    def _send(self, name, upstream, tries):
        if upstream is None:
            self.refused_at.append(self.now)
            return
        informed = (
            self.now - self._informed_at.get((name, upstream), inf) >= COMPLIES_AFTER
        )
        since = max(self._started_at[name], self.nodes[name].frozen_until)
        in_contact = self.now - since >= IN_CONTACT_AFTER
        arrival = Arrival(self.now, upstream, name, informed and in_contact)
        self.arrivals.append(arrival)
        self.in_flight[upstream] += 1
        again = not tries and self.rng.random() < self.retried
        wait = self.rng.uniform(*ANSWER_TIME)
        self._call_later(wait, self._answer, name, upstream, self.now, again)

    def _answer(self, name, upstream, sent_at, again):
        """Deliver the beginning of an answer, which states its upstream's limit."""
        state = self.upstreams[upstream]
        self.in_flight[upstream] -= 1
        limit = inf if state.limit is None else state.limit
        if limit < inf:
            state.stated_at = min(state.stated_at, self.now)
            self._informed_at.setdefault((name, upstream), self.now)
        if name not in self.nodes:
            return
        self.nodes[name].limits.record_answer(upstream, limit, sent_at, self.now)
        if again:
            self._ask_for(name, 1)

    def count(self, upstream, since):
        """Return how many requests an upstream received since a time."""
        return sum(
            item.upstream == upstream and item.at >= since for item in self.arrivals
        )

    def count_most_in_window(self, upstream, window, all_senders=False):
        """Return the largest number of requests in any window under a limit.

        Only ``counted`` arrivals are included, unless ``all_senders`` is set.
        """
        since = self.upstreams[upstream].stated_at + IN_CONTACT_AFTER
        times = [
            item.at
            for item in self.arrivals
            if item.upstream == upstream
            and (item.counted or all_senders)
            and item.at >= since
        ]
        return max(
            (sum(at <= other < at + window for other in times) for at in times),
            default=0,
        )
