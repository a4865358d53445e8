"""Tests of the hash ring, traffic shares, concurrency limits and placement."""

import unittest
from collections import Counter
from random import Random

from chervilwing.concurrency_limits import Limit
from chervilwing.hashing import Ring
from chervilwing.models import MODEL, Address, Share, Upstream
from chervilwing.placement import PoolState
from chervilwing.traffic_splits import WINDOW_REQUESTS, TrafficSplitter
from chervilwing.upstreams import RunningAttempt
from chervilwing.work import Work


def make_state(size, data_centres=("a",), slots=8, entry_count=1):
    """Return a pool as an entry instance in data centre a sees it."""
    state = PoolState("pool", "a", 0.03)
    state.set_entry_count(entry_count)
    upstreams = [
        Upstream(
            f"u{index}",
            MODEL,
            "pool",
            Address("127.0.0.1", 1),
            data_centres[index % len(data_centres)],
            slots=slots,
        )
        for index in range(size)
    ]
    state.update(upstreams, ())
    return state


def make_work(number, prefix="", prompt=2000):
    """Return one request with a prompt of this many tokens."""
    return Work(
        str(number), "c", "k", "pool", 99.0, prompt_tokens=prompt, prefix=prefix
    )


def choose_upstream(state, work, rng):
    """Start the work on the chosen upstream; return the upstream's name or None."""
    choice = state.choose(
        work, False, 0, lambda work, cached: work.prompt_tokens - cached + 1.0, rng
    )
    if choice is None:
        return None
    state.upstream_states[choice[0]].start(
        RunningAttempt(work, 0, 1.0, 0, False, 0.0), 0.0
    )
    state.running += 1
    state.refresh(choice[0])
    return choice[0]


class TestPlacement(unittest.TestCase):
    def test_all_entry_instances_send_a_prefix_to_the_same_upstream(self):
        for prefix in ("fleet-1", "fleet-2", "fleet-3"):
            chosen = {
                choose_upstream(make_state(20), make_work(seed, prefix), Random(seed))
                for seed in range(30)
            }
            self.assertEqual(len(chosen), 1)

    def test_hot_prefix_spreads_before_it_overloads_its_owner(self):
        state = make_state(8)
        rng = Random(3)
        chosen = [choose_upstream(state, make_work(n, "hot"), rng) for n in range(32)]
        self.assertLessEqual(max(Counter(chosen).values()), 7)

    def test_losing_an_upstream_moves_only_its_own_prefixes(self):
        names = [f"u{index}" for index in range(20)]
        ring = Ring(names)
        remaining = set(names) - {"u3"}
        for number in range(500):
            before = ring.find(f"prefix-{number}", 1, names)[0]
            after = ring.find(f"prefix-{number}", 1, remaining)[0]
            self.assertTrue(after == before or before == "u3")

    def test_resumed_work_goes_to_the_upstream_with_its_cache_if_it_has_room(self):
        # An entry instance is reclaimed; the KV caches of its requests stay on their
        # engines. Placed by load alone, each prompt would be computed again on another
        # engine.
        state = make_state(8, slots=2)
        work = make_work("plan", prompt=20)._replace(tokens=50, keeper="u5")
        chosen = [choose_upstream(state, work._replace(request_id=str(n)), Random(n))
                  for n in range(4)]  # fmt: skip
        self.assertEqual(chosen[:2], ["u5", "u5"])
        self.assertNotIn("u5", chosen[2:])
        self.assertNotIn(None, chosen)
        without_cache_holder = work._replace(keeper="u99", excluded=frozenset({"u1"}))
        self.assertIsNotNone(
            choose_upstream(make_state(8), without_cache_holder, Random(1))
        )
        cache_holder_excluded = work._replace(excluded=frozenset({"u5"}))
        self.assertNotEqual(
            choose_upstream(make_state(8), cache_holder_excluded, Random(1)), "u5"
        )

    def test_work_stays_in_its_data_centre_until_it_is_full(self):
        state = make_state(6, ("a", "b", "c"), slots=4)
        rng = Random(5)
        chosen = [
            choose_upstream(state, make_work(n, prompt=10), rng) for n in range(24)
        ]
        near = {"u0", "u3"}
        self.assertEqual(set(chosen[:8]), near)
        self.assertEqual(set(chosen[8:]) & near, set())
        self.assertIsNone(choose_upstream(state, make_work(99, prompt=10), rng))

    def test_entry_instances_do_not_all_choose_the_same_idle_upstream(self):
        """Forty entry instances learn at once that one of ten upstreams is idle.

        If each sent its next request to the least loaded upstream, all forty would go
        there.
        """
        chosen = Counter()
        for seed in range(40):
            state = make_state(10, entry_count=40)
            for name, upstream_state in state.upstream_states.items():
                upstream_state.report(0 if name == "u0" else 5, 8, 1.0)
                state.refresh(name)
            chosen[choose_upstream(state, make_work(0, prompt=10), Random(seed))] += 1
        self.assertLess(chosen["u0"], 20)

    def test_own_starts_correct_a_late_report(self):
        """By the last report two slots are free, and more work arrives.

        A single entry instance fills them and sends one request more, because it is
        still below its share of the slots. One of eight entry instances assumes that
        the other seven start requests as well.
        """
        for entry_count, started in ((1, 3), (8, 1)):
            state = make_state(1, entry_count=entry_count)
            state.upstream_states["u0"].report(6, 8, 1.0)
            state.refresh("u0")
            rng = Random(1)
            chosen = [
                choose_upstream(state, make_work(number), rng) for number in range(5)
            ]
            self.assertEqual(chosen, ["u0"] * started + [None] * (5 - started))


class TestLimit(unittest.TestCase):
    def test_limit_falls_for_a_slow_upstream_and_recovers(self):
        limit = Limit(8)
        for _ in range(30):
            limit.record(0.4, 0.1, 8)
        self.assertEqual(limit.value, 1.0)
        for _ in range(60):
            limit.record(0.1, 0.1, 8)
        self.assertGreater(limit.value, 7.0)


class TestShares(unittest.TestCase):
    def test_each_window_matches_the_shares_exactly(self):
        rng = Random(9)
        shares = (Share("v1", 0.9), Share("v2", 0.07), Share("v3", 0.03))
        splitter = TrafficSplitter(shares)
        for _ in range(3):
            callers = (
                f"caller-{int(rng.random() ** 3 * 40)}" for _ in range(WINDOW_REQUESTS)
            )
            counts = Counter(splitter.choose(caller) for caller in callers)
            self.assertEqual(counts, {"v1": 900, "v2": 70, "v3": 30})

    def test_caller_keeps_its_version_across_entry_instances(self):
        rng = Random(2)
        shares = (Share("v1", 0.5), Share("v2", 0.5))
        first, second = TrafficSplitter(shares), TrafficSplitter(shares)
        callers = [f"caller-{number}" for number in range(500)]
        rng.shuffle(callers)
        same_first = sum(first.choose(name) == second.choose(name) for name in callers)
        same_again = sum(first.choose(name) == second.choose(name) for name in callers)
        self.assertGreater(same_first + same_again, 950)
