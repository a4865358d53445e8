"""Simulated instances that pass credit over an unreliable network, on one clock.

Each request is recorded with its time, so that a test can check every window.
"""

import heapq
import random
from itertools import count
from typing import NamedTuple

from chervilwing.allowances import CLAIM_INTERVAL, Allowances
from chervilwing.credit_parents import CLAIM_RETRY_INTERVAL, ParentChoice
from chervilwing.routing import Organisation
from chervilwing.upstream_limits import UpstreamLimits

GROUP = 24
# Seconds that a request waits for its credit, and seconds between two claims for it.
REQUEST_WAIT = 0.15
MIN_CLAIM_INTERVAL = 0.02
WAITING_CLAIM_INTERVAL = 0.05
STEP = 0.01


class Traffic(NamedTuple):
    """One organisation's requests; ``asked`` is the cost requested per second.

    ``node_fraction`` is the fraction of the instances that get them. Costs are
    log-normal around ``cost`` with sigma ``spread``, at most ``largest``.
    """

    organisation: Organisation
    asked: float
    cost: float
    spread: float
    largest: float
    node_fraction: float = 1.0


class Request(NamedTuple):
    """A request at an instance: the times of its outcome and of its arrival."""

    at: float
    organisation: str
    cost: float
    node: int
    arrived_at: float


class Node:
    """One instance: its allowances and its choice of a parent."""

    def __init__(self, name, incarnation, instance_count, organisations, now):
        self.name = name
        self.incarnation = incarnation
        self.allowances = Allowances(name, incarnation)
        self.allowances.configure(organisations, now)
        self.limits = UpstreamLimits(self.allowances)
        if instance_count:
            self.allowances.set_instance_count(instance_count, now)
        self.choice = ParentChoice()
        self.claimed_at = now - CLAIM_INTERVAL
        self.lacks_credit = False
        self.frozen_until = 0.0
        self.waiting = []


class Fleet:
    """Instances by name, the network between them, and the outcomes of requests."""

    def __init__(self, size, traffic, seed, loss=0.001, disorder=0.001):
        self.rng = random.Random(seed)
        self.traffic = traffic
        self.now = 0.0
        self.loss, self.disorder = loss, disorder
        self.nodes = {}
        self.side = {}
        self.ran = []
        self.refused = []
        self.asked = []
        self._incarnations = count(1)
        self._order = count()
        self._in_transit = []
        self._ranked = []
        for index in range(size):
            self.start(index, size)

    @property
    def organisations(self):
        """Return the organisations with their present limits."""
        return [item.organisation for item in self.traffic]

    def start(self, index, instance_count):
        """Start or restart an instance without any saved state."""
        incarnation = next(self._incarnations)
        self.nodes[index] = Node(
            index, incarnation, instance_count, self.organisations, self.now
        )
        self.side.setdefault(index, 0)

    def stop(self, index):
        """Remove an instance for good."""
        del self.nodes[index]

    def cut(self, sides):
        """Partition the network: instances reach only those with the same side."""
        self.side = {name: sides.get(name, 0) for name in self.nodes}

    def configure(self, traffic):
        """Apply other limits at all instances."""
        self.traffic = traffic
        for node in self.nodes.values():
            node.allowances.configure(self.organisations, self.now)

    def run(self, seconds):
        """Advance the clock by a number of seconds."""
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
        wait = CLAIM_RETRY_INTERVAL if node.choice.awaits_answer else CLAIM_INTERVAL
        wait = WAITING_CLAIM_INTERVAL if node.waiting else wait
        wait = MIN_CLAIM_INTERVAL if node.lacks_credit else wait
        if self.now - node.claimed_at >= wait:
            self._claim(node)

    def _choose(self, node):
        names = self._rank()
        all_candidates = names[: names.index(node.name)]
        group_candidates = [
            name
            for name in all_candidates[-GROUP:]
            if name // GROUP == node.name // GROUP
        ]
        node.choice.choose(group_candidates, all_candidates, self.now)
        for name in node.choice.list_probes(group_candidates, all_candidates, self.now):
            self._send_datagram(node.name, name, self._receive_probe, None)

    def _rank(self):
        """Return the names of all instances in rank order."""
        if len(self._ranked) != len(self.nodes):
            self._ranked = sorted(self.nodes)
        return self._ranked

    def _claim(self, node):
        parent = node.choice.parent
        if parent is None:
            return
        node.claimed_at = self.now
        node.lacks_credit = False
        node.choice.record_claim(self.now)
        claim = node.allowances.claim(parent, self.now)
        message = (node.limits.list_reports(self.now), claim)
        self._send_datagram(node.name, parent, self._receive_claim, message)

    def _receive_probe(self, node, sender, message):
        self._send_datagram(node.name, sender, self._receive_probe_answer, None)

    def _receive_probe_answer(self, node, sender, message):
        node.choice.record_answer(sender, self.now)

    def _send_datagram(self, sender, name, receive, message):
        """Send a datagram that may be lost, duplicated or delayed."""
        for _ in range(2 if self.rng.random() < self.disorder else 1):
            if self.rng.random() < self.loss:
                continue
            delay = self.rng.uniform(0.0005, 0.005)
            if self.rng.random() < self.disorder:
                delay = self.rng.uniform(0.02, 0.7)
            datagram = (
                self.now + delay,
                next(self._order),
                sender,
                name,
                receive,
                message,
            )
            heapq.heappush(self._in_transit, datagram)

    def _deliver(self):
        later = []
        while self._in_transit and self._in_transit[0][0] <= self.now:
            datagram = heapq.heappop(self._in_transit)
            _, _, sender, name, receive, message = datagram
            node = self.nodes.get(name)
            if node is None or self.side.get(sender) != self.side.get(name):
                continue
            if self.now < node.frozen_until:
                later.append((node.frozen_until, *datagram[1:]))
                continue
            receive(node, sender, message)
        for datagram in later:
            heapq.heappush(self._in_transit, datagram)

    def _receive_claim(self, node, sender, message):
        limits, claim = message
        node.limits.merge_reports(limits, self.now)
        grant = node.allowances.receive_claim(claim, self.now)
        self._grant(node, sender, grant)
        if node.allowances.lacks_credit:
            self._claim_soon(node)

    def _grant(self, node, name, grant):
        message = (node.limits.list_reports(self.now), grant)
        self._send_datagram(node.name, name, self._receive_grant, message)

    def _receive_grant(self, node, sender, message):
        limits, grant = message
        node.limits.merge_reports(limits, self.now)
        node.choice.record_answer(sender, self.now)
        if not node.allowances.receive_grant(grant, self.now):
            return
        self._grant_waiting(node)
        self._resume(node)

    def _grant_waiting(self, node):
        for name, grant in node.allowances.grant_waiting().items():
            self._grant(node, name, grant)

    def _claim_soon(self, node):
        node.lacks_credit = True
        if self.now - node.claimed_at >= MIN_CLAIM_INTERVAL:
            self._claim(node)

    def _arrive(self, item):
        names = sorted(self.nodes)
        targets = names[: max(1, int(len(names) * item.node_fraction))]
        for _ in range(self._count_arrivals(item.asked / item.cost * STEP)):
            cost = self.rng.lognormvariate(0.0, item.spread) * item.cost
            cost = float(max(1, int(min(item.largest, cost))))
            node = self.nodes[self.rng.choice(targets)]
            self.asked.append(self._record(node, item.organisation, cost, self.now))
            if not self._try_run(node, item.organisation, cost, self.now):
                node.allowances.add_waiting(item.organisation, cost)
                node.waiting.append((item.organisation, cost, self.now))
                if self.now >= node.frozen_until:
                    self._claim_soon(node)

    def _count_arrivals(self, mean):
        whole = int(mean)
        return whole + (self.rng.random() < mean - whole)

    def _try_run(self, node, organisation, cost, since):
        if self.now < node.frozen_until:
            return False
        if not node.allowances.charge(organisation, cost, self.now):
            return False
        self.ran.append(self._record(node, organisation, cost, since))
        return True

    def _record(self, node, organisation, cost, since):
        return Request(self.now, organisation.name, cost, node.name, since)

    def _resume(self, node):
        waiting, node.waiting = node.waiting, []
        for organisation, cost, since in waiting:
            if not self._try_run(node, organisation, cost, since):
                if self.now - since < REQUEST_WAIT:
                    node.waiting.append((organisation, cost, since))
                    continue
                self.refused.append(self._record(node, organisation, cost, since))
            node.allowances.remove_waiting(organisation, cost)


def measure_most(ran, name, window):
    """Return the highest cost that an organisation ran in any window."""
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
    """Return the cost that one exact bucket, shared by all instances, refuses.

    As at the instances, a request waits for REQUEST_WAIT, and a cost beyond the burst
    is charged to a full bucket.
    """
    level, at, refused, waiting = organisation.burst, asked[0].at, 0.0, []
    for item in asked:
        while at < item.at:
            step = min(STEP, item.at - at)
            at += step
            level = min(organisation.burst, level + organisation.rate * step)
            still_waiting = []
            for other in waiting:
                if level >= min(other.cost, organisation.burst):
                    level -= other.cost
                elif at - other.at >= REQUEST_WAIT:
                    refused += other.cost
                else:
                    still_waiting.append(other)
            waiting = still_waiting
        waiting.append(item)
    return refused
