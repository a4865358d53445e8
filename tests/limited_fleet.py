"""Many instances before upstreams that name limits, with one clock and no sockets.

Instances pass credit and tell limits as in ``credit_fleet``; for each request the first
of them that answers chooses the upstream, as in a deployment.
"""

import heapq
from itertools import count
from math import inf
from typing import NamedTuple

from tests.credit_fleet import GROUP, STEP, Fleet

# Seconds from a request's arrival at an upstream until its answer begins.
ANSWERS_AFTER = (0.05, 0.6)
# Seconds for an answer from the instance that chooses upstreams.
PLACED_AFTER = (0.001, 0.01)
# Seconds in which an instance that is asked answers, or is taken for lost.
ANSWER_WAIT = 0.03
# Seconds after which an instance that was disturbed counts as in touch again, and after
# which one that passed on a limit is taken to know it.
IN_TOUCH_AFTER = 3.0
TOLD_AFTER = 0.5


class Upstream:
    """State of one upstream: the limit it names now, and its first naming."""

    def __init__(self):
        self.limit = None
        self.named_at = inf


class Arrival(NamedTuple):
    """A request at an upstream, and whether the limit's rule counts its sender."""

    at: float
    upstream: str
    node: int
    counted: bool


class LimitedFleet(Fleet):
    """Instances, upstreams and a steady load of ``rate`` requests a second.

    ``retried`` is the part of the requests whose first attempt an upstream has not run;
    ``alone`` the part whose question to the choosing instance gets lost.
    """

    def __init__(self, size, upstreams, rate, seed, retried=0.0, alone=0.0, **network):
        self.upstreams = {f"u{number}": Upstream() for number in range(upstreams)}
        self.rate, self.retried, self.alone = rate, retried, alone
        self.in_flight = dict.fromkeys(self.upstreams, 0)
        self.arrivals = []
        self.refused_at = []
        self._told_at = {}
        self._started_at = {}
        self._later = []
        self._serial = count()
        super().__init__(size, [], seed, **network)

    def start(self, index, known):
        """Start an instance, or start it again with nothing kept."""
        super().start(index, known)
        self._started_at[index] = self.now

    def name_limit(self, upstream, limit):
        """Let an upstream name a limit from now on, or none any more."""
        state = self.upstreams[upstream]
        state.limit = limit
        state.named_at = inf
        for key in [key for key in self._told_at if key[1] == upstream]:
            del self._told_at[key]

    def run(self, seconds):
        """Let time pass."""
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
        """Find an upstream for a request at an instance, its first or second try."""
        if self._is_frozen(name):
            return
        placer = self._find_placer(name)
        if placer == name:
            self._send(name, self._choose_for(name), tries)
        elif placer is None or self.rng.random() < self.alone:
            self._call_later(ANSWER_WAIT, self._send_alone, name, tries)
        else:
            upstream = self._choose_for(placer)
            wait = self.rng.uniform(*PLACED_AFTER)
            self._call_later(wait, self._send_placed, name, placer, upstream, tries)

    def _find_placer(self, name):
        """Return the first instance that answers this one, None where none does."""
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
        """Choose an upstream for others."""
        limits = self.nodes[placer].limits
        limits.seek(limits.list_exhausted(self.upstreams, self.now), self.now)
        return self._choose_upstream(placer)

    def _choose_upstream(self, name):
        """Choose an upstream as an instance knows them, and spend its credit."""
        limits = self.nodes[name].limits
        exhausted = limits.list_exhausted(self.upstreams, self.now)
        able = sorted(self.upstreams.keys() - exhausted)
        if not able:
            return None
        least = min(self.in_flight[upstream] for upstream in able)
        upstream = self.rng.choice(
            [name for name in able if self.in_flight[name] == least]
        )
        limits.charge(upstream, self.now)
        return upstream

    def _send_alone(self, name, tries):
        if name in self.nodes and not self._is_frozen(name):
            self._send(name, self._choose_upstream(name), tries)

    def _send_placed(self, name, placer, upstream, tries):
        """Send where another instance said, unless this one knows better."""
        if name not in self.nodes or self._is_frozen(name):
            return
        limits = self.nodes[name].limits
        known = placer in self.nodes and self.nodes[placer].limits.is_limited(upstream)
        if upstream is None or (
            not known and limits.list_exhausted({upstream: None}, self.now)
        ):
            upstream = self._choose_upstream(name)
        elif not known:
            limits.charge(upstream, self.now)
        self._send(name, upstream, tries)

    def _send(self, name, upstream, tries):
        if upstream is None:
            self.refused_at.append(self.now)
            return
        told = self.now - self._told_at.get((name, upstream), inf) >= TOLD_AFTER
        since = max(self._started_at[name], self.nodes[name].frozen_until)
        in_touch = self.now - since >= IN_TOUCH_AFTER
        arrival = Arrival(self.now, upstream, name, told and in_touch)
        self.arrivals.append(arrival)
        self.in_flight[upstream] += 1
        again = not tries and self.rng.random() < self.retried
        wait = self.rng.uniform(*ANSWERS_AFTER)
        self._call_later(wait, self._answer, name, upstream, self.now, again)

    def _answer(self, name, upstream, sent_at, again):
        """Let an answer begin, which names its upstream's limit."""
        state = self.upstreams[upstream]
        self.in_flight[upstream] -= 1
        limit = inf if state.limit is None else state.limit
        if limit < inf:
            state.named_at = min(state.named_at, self.now)
            self._told_at.setdefault((name, upstream), self.now)
        if name not in self.nodes:
            return
        self.nodes[name].limits.note_answer(upstream, limit, sent_at, self.now)
        if again:
            self._ask_for(name, 1)

    def count(self, upstream, since):
        """Return how many requests an upstream got from a time on."""
        return sum(
            item.upstream == upstream and item.at >= since for item in self.arrivals
        )

    def measure_most(self, upstream, window, all_senders=False):
        """Return the most requests in any window since the rule holds.

        Only those of senders that the rule counts, or of ``all_senders``.
        """
        since = self.upstreams[upstream].named_at + IN_TOUCH_AFTER
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
