"""Tests of upstreams that fall over after too many refusals in a second."""

import random
import threading
import time
import unittest
from collections import deque

from chervilwing.allowances import Allowances
from chervilwing.balancing import PlacementOrigin, PoolBalancer
from chervilwing.brittle_upstreams import BrittleUpstreams
from chervilwing.demands import Demand
from chervilwing.models import Address
from chervilwing.platform.headers import read_answer_head
from chervilwing.registrations import Registration
from chervilwing.routing import PoolSpec
from chervilwing.upstream_limits import UpstreamLimits
from tests.procs import HOST
from tests.test_platform import PlatformCase
from tests.upstreams import RawUpstream

SLOTS = 6
# Refusals that an upstream bears in a second.
BEARS = 3
PLACING = PlacementOrigin("a", "one/1")
# Seconds within which all instances must know that an upstream is brittle.
KNOWN_AFTER = 3.0
SIGNED = {"x-server-stamp": "s"}


def count_most(times, seconds=1.0):
    """Return the most times within any window of this length."""
    window, most = deque(), 0
    for at in sorted(times):
        window.append(at)
        while window[0] <= at - seconds:
            window.popleft()
        most = max(most, len(window))
    return most


class TestHeader(unittest.TestCase):
    def test_only_an_upstreams_own_answer_ends_what_it_stated(self):
        stated = read_answer_head(200, SIGNED | {"server-brittle": "3"})
        self.assertEqual(stated.refusals, 3.0)
        self.assertEqual(read_answer_head(200, SIGNED).refusals, float("inf"))
        self.assertIsNone(read_answer_head(502, {}).refusals)


class BrittleCase(unittest.TestCase):
    def setUp(self):
        self.allowances = Allowances("one", 1, 0.0)
        self.allowances.set_instance_count(1, 0.0)
        self.brittle = BrittleUpstreams(UpstreamLimits(self.allowances))
        self.pool = PoolBalancer(PoolSpec("web"), "a", random.Random(1))
        for number in range(2):
            address = Address("10.0.0.1", number)
            registration = Registration(f"u{number}", "web", address, "a", SLOTS)
            self.pool.put_upstream(registration)

    def fill(self, name, count, now):
        """Place requests at an upstream until it holds ``count``."""
        state = self.pool.upstream_states[name]
        for number in range(len(state.placed_requests.sent), count):
            demand = Demand(f"{name}-{number}", now + 60.0)
            estimate = self.pool.estimate(state, demand, now)
            self.pool.record_placed(f"{name}-{number}", demand, (state, estimate), now)
        return state


class TestRoom(BrittleCase):
    def test_requests_with_room_cost_nothing(self):
        self.brittle.record_answer("u0", BEARS, 10.0, 10.0)
        state = self.fill("u0", 2, 10.0)
        for _ in range(20):
            self.assertTrue(self.brittle.charge(self.pool, state, 10.0, True))
        self.assertFalse(self.brittle.list_full(self.pool, 10.0, True))

    def test_a_full_upstream_needs_credit_before_it_has_refused(self):
        # Guards against learning an upstream's room by the refusals that end it.
        self.brittle.record_answer("u0", BEARS, 10.0, 10.0)
        state = self.fill("u0", SLOTS, 10.0)
        self.assertEqual(self.brittle.list_full(self.pool, 10.0, True), {"u0"})
        sent, now = [], 10.0
        for step in range(600):
            now = 10.0 + step * 0.01
            if self.brittle.charge(self.pool, state, now, True):
                sent.append(now)
        self.assertLessEqual(count_most(sent), BEARS)
        self.assertGreaterEqual(len(sent), 4)

    def test_an_instance_that_does_not_choose_for_all_leaves_half_of_the_slots(self):
        self.brittle.record_answer("u0", BEARS, 10.0, 10.0)
        self.fill("u0", 0, 10.0)
        state = self.pool.upstream_states["u0"]
        for number in range(SLOTS // 2):
            demand = Demand(f"own-{number}", 70.0)
            estimate = self.pool.estimate(state, demand, 10.0)
            self.pool.record_sent(state, demand, estimate, 10.0)
        self.assertEqual(self.brittle.list_full(self.pool, 10.0, False), {"u0"})

    def test_upstreams_that_are_not_brittle_are_sent_what_they_are_sent_always(self):
        self.brittle.record_answer("u0", BEARS, 10.0, 10.0)
        self.fill("u1", 50, 10.0)
        self.assertFalse(self.brittle.list_full(self.pool, 10.0, True))
        self.brittle.record_answer("u0", float("inf"), 11.0, 11.0)
        self.fill("u0", 50, 11.0)
        self.assertFalse(self.brittle.list_full(self.pool, 11.0, True))


class TestModel(BrittleCase):
    def test_overload_from_many_instances_ends_no_upstream(self):
        # Guards against refusals that each instance thinks few. The choosing instance
        # hears of ends only with the next report, and no request may wait.
        rng = random.Random(5)
        for name in ("u0", "u1"):
            self.brittle.record_answer(name, BEARS, 1.0, 1.0)
        running = {"u0": [], "u1": []}
        refused, ended, served, number = {"u0": [], "u1": []}, [], 0, 0
        now = 5.0
        while now < 25.0:
            now += rng.expovariate(120.0)
            number += 1
            for item in [item for item in ended if item[0] <= now]:
                ended.remove(item)
                self.pool.record_placed_end(*item[1:], now)
            demand = Demand(str(number), now + 5.0)
            full = self.brittle.list_full(self.pool, now, True)
            found = self.pool.choose(demand, full, now, PLACING)
            if found is None:
                continue
            state, name = found[0], found[0].registration.name
            self.assertTrue(self.brittle.charge(self.pool, state, now, True))
            self.pool.record_placed(number, demand, found, now)
            busy = running[name] = [end for end in running[name] if end > now]
            reported_after = rng.uniform(0.0, 0.05)
            if len(busy) >= SLOTS:
                refused[name].append(now)
                self.brittle.record_refusal(name, now)
                ended.append((now + reported_after, state, number, True))
                continue
            served += 1
            end = now + rng.uniform(0.05, 0.25)
            busy.append(end)
            ended.append((end + reported_after, state, number, False))
        for times in refused.values():
            self.assertLessEqual(count_most(times), BEARS)
        # Two upstreams finish 80 requests a second with all slots in use.
        self.assertGreaterEqual(served, 20 * 80 * 0.5)


class BrittleUpstream:
    """An upstream that states that it is brittle and lets nobody wait."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = 0
        self.refused_at = []
        self.served = 0
        self.upstream = RawUpstream(self.answer)
        self.port, self.close = self.upstream.port, self.upstream.close

    def answer(self, conn, method, path, body):
        """Run the request for a while if a slot is free, and else refuse it."""
        with self.lock:
            has_room = self.running < SLOTS
            self.running += has_room
            if not has_room:
                self.refused_at.append(time.monotonic())
        head = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n"
        if has_room:
            time.sleep(random.uniform(0.05, 0.25))
            with self.lock:
                self.running -= 1
                self.served += 1
        else:
            head = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Server-Stamp: s\r\n"
        head += b"Server-Brittle: %d\r\n" % BEARS
        conn.sendall(head + b"Content-Length: 2\r\n\r\nok")


class TestSeveralInstances(PlatformCase):
    def test_instances_together_stay_below_the_refusals_that_an_upstream_bears(self):
        upstreams = [BrittleUpstream() for _ in range(2)]
        for number, upstream in enumerate(upstreams):
            self.addCleanup(upstream.close)
            address = f"{HOST}:{upstream.port}"
            self.register(f"i-b{number}", address=address, slots=SLOTS)
        self.operate(deletes=["servers/i-1"])
        gateways = [self.start(name) for name in ("one", "two", "three")]
        until = time.monotonic() + KNOWN_AFTER + 6.0

        def run(number):
            while time.monotonic() < until:
                self.call(gateways[number % len(gateways)])
                time.sleep(0.02)

        began = time.monotonic()
        callers = [threading.Thread(target=run, args=(n,)) for n in range(30)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        for upstream in upstreams:
            late = [at for at in upstream.refused_at if at > began + KNOWN_AFTER]
            self.assertLessEqual(count_most(late), BEARS)
            self.assertGreater(upstream.served, 100)


if __name__ == "__main__":
    unittest.main()
