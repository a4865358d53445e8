"""Random lives of five instances that want one duty, on a store that fails.

Calls are delayed, lost before or after they took effect, or carried out seconds later;
leases lapse; instances freeze for seconds and wake unaware. Seeds are fixed: each run
shows the same.
"""

import heapq
import itertools
import random
import unittest
from itertools import pairwise

from chervilwing.items import (
    Committed,
    Conflict,
    Item,
    KeepLease,
    Leased,
    LeaseGone,
    TakeLease,
    Unavailable,
)
from chervilwing.tenures import Record, Tenure

TTL = 3.0
KEY = "duty"
STEP = 0.05
LENGTH = 120.0
SEEDS = range(40)
# Chances of each call: lost before it arrives, answer lost, carried out seconds later.
LOST, UNANSWERED, LATE = 0.05, 0.05, 0.05
FREEZE = 0.002
TIMEOUT = 1.0


class Store:
    """The store's side: leases that run out, and a key that stands under one."""

    def __init__(self):
        self.revision = 1
        self.item = None
        self.lease_of_item = None
        self.leases = {}
        self.numbers = itertools.count(1)

    def expire(self, now):
        """End leases, and the key that stands under one."""
        for lease in [name for name, until in self.leases.items() if until <= now]:
            del self.leases[lease]
            if self.lease_of_item == lease:
                self.revision += 1
                self.item = self.lease_of_item = None

    def carry_out(self, call, now):
        """Carry a call out and return its reply."""
        self.expire(now)
        if isinstance(call, TakeLease):
            lease = next(self.numbers)
            self.leases[lease] = now + call.ttl
            return Leased(lease, call.ttl)
        if isinstance(call, KeepLease):
            if call.lease not in self.leases:
                return LeaseGone()
            self.leases[call.lease] = now + TTL
            return Leased(call.lease, TTL)
        return self.commit(call)

    def commit(self, call):
        """Carry a conditional write out."""
        ((key, value, lease),) = call.puts
        if call.expect and self.item is not None:
            return Conflict()
        if lease not in self.leases:
            return LeaseGone()
        self.revision += 1
        if key == KEY:
            self.item = Item(KEY, value, self.revision)
            self.lease_of_item = lease
        return Committed(self.revision)


class World:
    """Instances, the store, and everything that is on its way."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = Store()
        self.queue = []
        self.order = itertools.count()
        self.tenures = [
            Tenure(KEY, Record(f"i/{n}", b"x"), f"n{n}", TTL, self.rng)
            for n in range(5)
        ]
        self.frozen = [0.0] * 5
        self.calls = [0] * 5
        # The call of each instance that isn't answered yet.
        self.waiting = [None] * 5
        self.acts = []
        self.calm = False

    def later(self, at, do):
        """Do something at a time."""
        heapq.heappush(self.queue, (at, next(self.order), do))

    def send(self, number, call, now):
        """Put a call on its way, with whatever befalls it."""
        self.calls[number] += 1
        self.waiting[number] = self.calls[number]
        tag, draw = self.calls[number], 1.0 if self.calm else self.rng.random()
        arrival = now + self.rng.uniform(0.001, 0.3)
        if draw < LATE:
            arrival = now + self.rng.uniform(1.0, 6.0)
        self.later(now + TIMEOUT, lambda at: self.answer(number, tag, None, at))
        if LATE <= draw < LATE + LOST:
            return
        self.later(arrival, lambda at: self.arrive(number, tag, call, at, draw))

    def arrive(self, number, tag, call, now, draw):
        """Let the store carry a call out, and send its answer back, or lose it."""
        reply = self.store.carry_out(call, now)
        if LATE + LOST <= draw < LATE + LOST + UNANSWERED:
            return
        back = now + self.rng.uniform(0.001, 0.3)
        self.later(back, lambda at: self.answer(number, tag, reply, at))

    def answer(self, number, tag, reply, now):
        """Hand an answer over, or the end of its wait; later to a frozen instance."""
        if now < self.frozen[number]:
            self.later(
                self.frozen[number], lambda at: self.answer(number, tag, reply, at)
            )
        elif self.waiting[number] == tag:
            self.waiting[number] = None
            reply = Unavailable() if reply is None else reply
            self.tenures[number].receive(reply, now)

    def step(self, now):
        """Let every instance that isn't frozen look, call and act."""
        self.store.expire(now)
        for number, tenure in enumerate(self.tenures):
            if now < self.frozen[number]:
                continue
            if not self.calm and self.rng.random() < FREEZE:
                self.frozen[number] = now + self.rng.uniform(0.5, 8.0)
                continue
            if self.rng.random() < 0.3:
                tenure.observe(self.store.item, self.store.revision)
            call = tenure.next_call(now)
            if call is not None:
                self.send(number, call, now)
            fence = tenure.fence(now)
            if fence is not None:
                self.acts.append((now, number, fence))
                tenure.note_act(now)

    def run(self, calm_from=LENGTH):
        """Run to the end and return all acts; faults end at a time."""
        now = 0.0
        while now < LENGTH:
            self.calm = now >= calm_from
            while self.queue and self.queue[0][0] <= now:
                at, _, do = heapq.heappop(self.queue)
                do(at)
            self.step(now)
            now += STEP
        return self.acts


class TestExplored(unittest.TestCase):
    def test_fences_never_fall_and_no_two_act_at_once(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                acts = World(seed).run()
                falls = [(one, two) for one, two in pairwise(acts) if two[2] < one[2]]
                self.assertEqual(falls[:1], [])
                owners = {}
                for _, number, fence in acts:
                    self.assertEqual(owners.setdefault(fence, number), number)

    def test_no_holder_comes_back_within_a_lease(self):
        # The platform sees A, B and A again while older acts of A are on their way.
        for seed in SEEDS:
            last = {}
            with self.subTest(seed=seed):
                for now, number, fence in World(seed).run():
                    at, before = last.get(number, (now, fence))
                    self.assertTrue(before == fence or now - at >= TTL - STEP)
                    last[number] = (now, fence)

    def test_the_duty_is_held_again_soon_after_the_faults_end(self):
        # A world of faults may leave the duty with nobody; a calm one must not, or no
        # usage is reported and nothing is ordered.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                acts = World(seed).run(calm_from=60.0)
                seconds = {int(now) for now, _, _ in acts}
                missing = sorted(set(range(70, int(LENGTH))) - seconds)
                self.assertEqual(missing[:1], [])
