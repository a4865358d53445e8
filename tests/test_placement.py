"""Tests of rings, shares, limits and the choice of an upstream."""

import unittest
from collections import Counter
from random import Random

from chervilwing.hashing import Ring
from chervilwing.limits import Limit
from chervilwing.models import MODEL, Address, Share, Upstream
from chervilwing.placement import PoolState
from chervilwing.shares import WINDOW, Splitter
from chervilwing.upstreams import Running
from chervilwing.work import Work


def make_state(size, data_centres=("a",), slots=8, entries=1):
    """Return a pool as an entry instance in data centre a sees it."""
    state = PoolState("pool", "a", 0.03)
    state.set_entries(entries)
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
    """Return one request with a prompt."""
    return Work(
        str(number), "c", "k", "pool", 99.0, prompt_tokens=prompt, prefix=prefix
    )


def choose(state, work, rng):
    """Return the chosen upstream and count the work there."""
    choice = state.choose(
        work, False, 0, lambda work, cached: work.prompt_tokens - cached + 1.0, rng
    )
    if choice is None:
        return None
    state.states[choice[0]].start(Running(work, 0, 1.0, 0, False, 0.0), 0.0)
    state.running += 1
    state.refresh(choice[0])
    return choice[0]


class TestPlacement(unittest.TestCase):
    def test_the_same_prefix_goes_to_the_same_upstream_from_every_entry(self):
        for prefix in ("fleet-1", "fleet-2", "fleet-3"):
            chosen = {
                choose(make_state(20), make_work(seed, prefix), Random(seed))
                for seed in range(30)
            }
            self.assertEqual(len(chosen), 1)

    def test_a_hot_prefix_spreads_before_it_drowns_its_owner(self):
        state = make_state(8)
        rng = Random(3)
        chosen = [choose(state, make_work(n, "hot"), rng) for n in range(32)]
        self.assertLessEqual(max(Counter(chosen).values()), 7)

    def test_losing_an_upstream_moves_only_its_own_prefixes(self):
        names = [f"u{index}" for index in range(20)]
        ring = Ring(names)
        rest = set(names) - {"u3"}
        for number in range(500):
            before = ring.find(f"prefix-{number}", 1, names)[0]
            after = ring.find(f"prefix-{number}", 1, rest)[0]
            self.assertTrue(after == before or before == "u3")

    def test_half_done_work_goes_to_its_cache_while_there_is_room(self):
        # An entry instance is reclaimed; its plans' KV caches stay on their engines.
        # Placed by load, each is computed once more, wherever its cache is.
        state = make_state(8, slots=2)
        work = make_work("plan", prompt=20)._replace(tokens=50, keeper="u5")
        chosen = [choose(state, work._replace(request_id=str(n)), Random(n))
                  for n in range(4)]  # fmt: skip
        self.assertEqual(chosen[:2], ["u5", "u5"])
        self.assertNotIn("u5", chosen[2:])
        self.assertNotIn(None, chosen)
        gone = work._replace(keeper="u99", excluded=frozenset({"u1"}))
        self.assertIsNotNone(choose(make_state(8), gone, Random(1)))
        refused = work._replace(excluded=frozenset({"u5"}))
        self.assertNotEqual(choose(make_state(8), refused, Random(1)), "u5")

    def test_work_stays_in_its_data_centre_until_that_is_full(self):
        state = make_state(6, ("a", "b", "c"), slots=4)
        rng = Random(5)
        chosen = [choose(state, make_work(n, prompt=10), rng) for n in range(24)]
        near = {"u0", "u3"}
        self.assertEqual(set(chosen[:8]), near)
        self.assertEqual(set(chosen[8:]) & near, set())
        self.assertIsNone(choose(state, make_work(99, prompt=10), rng))

    def test_entries_that_do_not_talk_make_no_herd(self):
        """Forty entry instances hear at once that one of ten upstreams is idle.

        If each sent its next request to the idlest, all forty would land there.
        """
        chosen = Counter()
        for seed in range(40):
            state = make_state(10, entries=40)
            for name, known in state.states.items():
                known.report(0 if name == "u0" else 5, 8, 1.0)
                state.refresh(name)
            chosen[choose(state, make_work(0, prompt=10), Random(seed))] += 1
        self.assertLess(chosen["u0"], 20)

    def test_own_starts_correct_a_report_that_lags(self):
        """Two slots are free by the last report, and work keeps coming.

        Alone, an entry instance fills them and one place more, since the rest is
        its part; one of eight expects the others to start as it did.
        """
        for entries, started in ((1, 3), (8, 1)):
            state = make_state(1, entries=entries)
            state.states["u0"].report(6, 8, 1.0)
            state.refresh("u0")
            rng = Random(1)
            chosen = [choose(state, make_work(number), rng) for number in range(5)]
            self.assertEqual(chosen, ["u0"] * started + [None] * (5 - started))


class TestLimit(unittest.TestCase):
    def test_a_slow_upstream_gets_less_and_then_more_again(self):
        limit = Limit(8)
        for _ in range(30):
            limit.record(0.4, 0.1, 8)
        self.assertEqual(limit.value, 1.0)
        for _ in range(60):
            limit.record(0.1, 0.1, 8)
        self.assertGreater(limit.value, 7.0)


class TestShares(unittest.TestCase):
    def test_each_window_follows_the_rule_to_the_request(self):
        rng = Random(9)
        shares = (Share("v1", 0.9), Share("v2", 0.07), Share("v3", 0.03))
        splitter = Splitter(shares)
        for _ in range(3):
            callers = (f"caller-{int(rng.random() ** 3 * 40)}" for _ in range(WINDOW))
            counts = Counter(splitter.choose(caller) for caller in callers)
            self.assertEqual(counts, {"v1": 900, "v2": 70, "v3": 30})

    def test_a_caller_keeps_its_version_across_entries(self):
        rng = Random(2)
        shares = (Share("v1", 0.5), Share("v2", 0.5))
        first, second = Splitter(shares), Splitter(shares)
        callers = [f"caller-{number}" for number in range(500)]
        rng.shuffle(callers)
        same = sum(first.choose(name) == second.choose(name) for name in callers)
        again = sum(first.choose(name) == second.choose(name) for name in callers)
        self.assertGreater(same + again, 950)
