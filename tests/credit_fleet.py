"""Many instances that pass credit over a bad network, with one clock and no sockets.

What runs is written down with its time, so that a test can look at every window.
"""

import heapq
import random
from itertools import count
from typing import NamedTuple

from chervilwing.allowances import CLAIM_EVERY, Allowances
from chervilwing.parents import CLAIM_AGAIN, ParentChoice
from chervilwing.routing import Organisation
from chervilwing.upstream_limits import UpstreamLimits

GROUP = 24
# Seconds that a request waits for its credit, and between two claims for it.
WAIT = 0.15
ASK_GAP = 0.02
ASK_AGAIN = 0.05
STEP = 0.01


class Traffic(NamedTuple):
    """What one organisation asks: cost a second, and how it is spread.

    ``crowd`` is the part of the instances that get its requests; costs are log-normal
    round ``cost`` with ``spread``, at most ``largest``.
    """

    organisation: Organisation
    asked: float
    cost: float
    spread: float
    largest: float
    crowd: float = 1.0


class Request(NamedTuple):
    """A request at an instance: when it ran or was refused, and when it came."""

    at: float
    organisation: str
    cost: float
    node: int
    came_at: float


class Node:
    """One instance: its allowances and its choice of a parent."""

    def __init__(self, name, incarnation, known, organisations, now):
        self.name = name
        self.incarnation = incarnation
        self.allowances = Allowances(name, incarnation)
        self.allowances.configure(organisations, now)
        self.limits = UpstreamLimits(self.allowances)
        if known:
            self.allowances.set_known(known, now)
        self.choice = ParentChoice()
        self.claimed_at = now - CLAIM_EVERY
        self.lacking = False
        self.frozen_until = 0.0
        self.waiting = []


class Fleet:
    """Instances by name, the network between them, and what has run."""

    def __init__(self, size, traffic, seed, loss=0.001, slow=0.001):
        self.rng = random.Random(seed)
        self.traffic = traffic
        self.now = 0.0
        self.loss, self.slow = loss, slow
        self.nodes = {}
        self.side = {}
        self.ran = []
        self.refused = []
        self.asked = []
        self._incarnations = count(1)
        self._order = count()
        self._posts = []
        self._ranked = []
        for index in range(size):
            self.start(index, size)

    @property
    def organisations(self):
        """Return the organisations as they are configured now."""
        return [item.organisation for item in self.traffic]

    def start(self, index, known):
        """Start an instance, or start it again with nothing kept."""
        incarnation = next(self._incarnations)
        self.nodes[index] = Node(
            index, incarnation, known, self.organisations, self.now
        )
        self.side.setdefault(index, 0)

    def stop(self, index):
        """End an instance for good."""
        del self.nodes[index]

    def cut(self, sides):
        """Put instances on sides that don't reach each other, by name."""
        self.side = {name: sides.get(name, 0) for name in self.nodes}

    def configure(self, traffic):
        """Put other limits in force everywhere."""
        self.traffic = traffic
        for node in self.nodes.values():
            node.allowances.configure(self.organisations, self.now)

    def run(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self._deliver()
            for item in self.traffic:
                self._arrive(item)
            for node in list(self.nodes.values()):
                if self.now >= node.frozen_until:
                    self._tick(node)

    def _tick(self, node):
        node.allowances.advance(self.now)
        self._choose(node)
        self._resume(node)
        self._grant_waiting(node)
        wait = CLAIM_AGAIN if node.choice.waits else CLAIM_EVERY
        wait = ASK_AGAIN if node.waiting else wait
        wait = ASK_GAP if node.lacking else wait
        if self.now - node.claimed_at >= wait:
            self._claim(node)

    def _choose(self, node):
        names = self._rank()
        far = names[: names.index(node.name)]
        near = [name for name in far[-GROUP:] if name // GROUP == node.name // GROUP]
        node.choice.choose(near, far, self.now)
        for name in node.choice.list_probes(near, far, self.now):
            self._post(node.name, name, self._take_probe, None)

    def _rank(self):
        """Return the names of all instances, the first in rank first."""
        if len(self._ranked) != len(self.nodes):
            self._ranked = sorted(self.nodes)
        return self._ranked

    def _claim(self, node):
        parent = node.choice.parent
        if parent is None:
            return
        node.claimed_at = self.now
        node.lacking = False
        node.choice.note_claim(self.now)
        claim = node.allowances.claim(parent, self.now)
        message = (node.limits.list_told(self.now), claim)
        self._post(node.name, parent, self._take_claim, message)

    def _take_probe(self, node, sender, message):
        self._post(node.name, sender, self._take_probed, None)

    def _take_probed(self, node, sender, message):
        node.choice.note_answer(sender, self.now)

    def _post(self, sender, name, take, message):
        """Send a datagram that may be lost, come twice or be overtaken."""
        for _ in range(2 if self.rng.random() < self.slow else 1):
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.uniform(0.0005, 0.005)
            if self.rng.random() < self.slow:
                delay = self.rng.uniform(0.02, 0.7)
            post = (self.now + delay, next(self._order), sender, name, take, message)
            heapq.heappush(self._posts, post)

    def _deliver(self):
        later = []
        while self._posts and self._posts[0][0] <= self.now:
            post = heapq.heappop(self._posts)
            _, _, sender, name, take, message = post
            node = self.nodes.get(name)
            if node is None or self.side.get(sender) != self.side.get(name):
                continue
            if self.now < node.frozen_until:
                later.append((node.frozen_until, *post[1:]))
                continue
            take(node, sender, message)
        for post in later:
            heapq.heappush(self._posts, post)

    def _take_claim(self, node, sender, message):
        limits, claim = message
        node.limits.hear(limits, self.now)
        grant = node.allowances.receive_claim(claim, self.now)
        self._grant(node, sender, grant)
        if node.allowances.short:
            self._ask(node)

    def _grant(self, node, name, grant):
        message = (node.limits.list_told(self.now), grant)
        self._post(node.name, name, self._take_grant, message)

    def _take_grant(self, node, sender, message):
        limits, grant = message
        node.limits.hear(limits, self.now)
        node.choice.note_answer(sender, self.now)
        if not node.allowances.receive_grant(grant, self.now):
            return
        self._grant_waiting(node)
        self._resume(node)

    def _grant_waiting(self, node):
        for name, grant in node.allowances.grant_waiting().items():
            self._grant(node, name, grant)

    def _ask(self, node):
        node.lacking = True
        if self.now - node.claimed_at >= ASK_GAP:
            self._claim(node)

    def _arrive(self, item):
        names = sorted(self.nodes)
        crowd = names[: max(1, int(len(names) * item.crowd))]
        for _ in range(self._count_arrivals(item.asked / item.cost * STEP)):
            cost = self.rng.lognormvariate(0.0, item.spread) * item.cost
            cost = float(max(1, int(min(item.largest, cost))))
            node = self.nodes[self.rng.choice(crowd)]
            self.asked.append(self._note(node, item.organisation, cost, self.now))
            if not self._try(node, item.organisation, cost, self.now):
                node.allowances.wait(item.organisation, cost)
                node.waiting.append((item.organisation, cost, self.now))
                if self.now >= node.frozen_until:
                    self._ask(node)

    def _count_arrivals(self, mean):
        whole = int(mean)
        return whole + (self.rng.random() < mean - whole)

    def _try(self, node, organisation, cost, since):
        if self.now < node.frozen_until:
            return False
        if not node.allowances.charge(organisation, cost, self.now):
            return False
        self.ran.append(self._note(node, organisation, cost, since))
        return True

    def _note(self, node, organisation, cost, since):
        return Request(self.now, organisation.name, cost, node.name, since)

    def _resume(self, node):
        waiting, node.waiting = node.waiting, []
        for organisation, cost, since in waiting:
            if not self._try(node, organisation, cost, since):
                if self.now - since < WAIT:
                    node.waiting.append((organisation, cost, since))
                    continue
                self.refused.append(self._note(node, organisation, cost, since))
            node.allowances.stop_waiting(organisation, cost)


def measure_most(ran, name, window):
    """Return the most that an organisation had run in any window, in cost."""
    times = [(item.at, item.cost) for item in ran if item.organisation == name]
    most = total = 0.0
    first = 0
    for at, cost in times:
        total += cost
        while times[first][0] <= at - window:
            total -= times[first][1]
            first += 1
        most = max(most, total)
    return most


def refuse_by_one_bucket(asked, organisation):
    """Return what one exact bucket refuses that everybody sees at once, in cost.

    As at the instances, a request waits for WAIT, and one over the burst is taken from
    a full bucket.
    """
    level, at, refused, waiting = organisation.burst, asked[0].at, 0.0, []
    for item in asked:
        while at < item.at:
            step = min(STEP, item.at - at)
            at += step
            level = min(organisation.burst, level + organisation.rate * step)
            left = []
            for other in waiting:
                if level >= min(other.cost, organisation.burst):
                    level -= other.cost
                elif at - other.at >= WAIT:
                    refused += other.cost
                else:
                    left.append(other)
            waiting = left
        waiting.append(item)
    return refused
