"""Candidates in pools that are too large to score every upstream."""

import unittest
from random import Random

from chervilwing.balancing import NO_CACHED_PREFIXES, PlacementOrigin
from chervilwing.placing import MAX_SCORED_UPSTREAMS
from chervilwing.placing.load_order import LoadOrder
from chervilwing.upstream_states import NO_LOAD, UpstreamLoad
from tests.test_balancing import ENGINES, PAGES, make_demand, make_pool

SIZE = MAX_SCORED_UPSTREAMS + 40
PLACING = PlacementOrigin("a", "placer")


class TestCandidates(unittest.TestCase):
    def setUp(self):
        self.pool = make_pool(ENGINES, SIZE)

    def place(self, number, parts=(), excluded=()):
        """Place one request and return the upstream's name."""
        demand = make_demand(f"r{number}", *parts, (f"o{number}", 4000))
        found = self.pool.choose(demand, excluded, 0.0, PLACING)
        self.pool.record_placed(number, demand, found, 0.0)
        return found[0].registration.name

    def test_a_burst_spreads_over_all_upstreams(self):
        # With an outdated order some upstreams would get two prompts and others none.
        names = {self.place(number) for number in range(SIZE)}
        self.assertEqual(len(names), SIZE)

    def test_the_cost_of_a_choice_does_not_grow_with_the_pool(self):
        self.place(0)
        before = self.pool.index.scored
        self.place(1)
        self.assertLess(self.pool.index.scored - before, 20)

    def test_a_subject_returns_to_the_upstream_that_has_it_cached(self):
        # Among hundreds of upstreams no random draw would find the holder.
        parts = (("shared", 2500), ("subject", 3800))
        first = self.place(0, parts)
        self.pool.record_placed_end(self.pool.upstream_states[first], 0, False, 0.0)
        self.assertEqual(self.place(1, parts), first)

    def test_excluded_and_leaving_upstreams_are_never_chosen(self):
        for number in range(30):
            state = self.pool.upstream_states[f"u{number}"]
            self.pool.put_upstream(state.registration._replace(leaving=True))
        # All candidates of the index are excluded in most of these choices.
        allowed = {"u40", "u41"}
        excluded = frozenset(self.pool.upstream_states) - allowed - {"u0"}
        names = {self.place(number, excluded=excluded) for number in range(20)}
        self.assertEqual(names, allowed)
        self.assertIsNone(self.pool.choose(make_demand("x"), excluded | allowed, 0.0))

    def test_failing_upstreams_do_not_fill_the_candidates(self):
        # Failing upstreams have no load, and would be all that the order offers.
        failing = [f"u{number}" for number in range(SIZE // 4)]
        for name in failing:
            for _ in range(6):
                self.pool.upstream_states[name].record(True, 0.0)
        names = {self.place(number) for number in range(100)}
        self.assertEqual(names & set(failing), set())

    def test_removed_upstreams_are_forgotten(self):
        parts = (("shared", 2500), ("subject", 3800))
        first = self.place(0, parts)
        self.pool.remove(first)
        self.assertNotEqual(self.place(1, parts), first)
        self.assertEqual(len(self.pool.index), SIZE - 1)

    def test_plain_upstreams_with_free_slots_are_chosen(self):
        self.pool = make_pool(PAGES, SIZE)
        loads = {f"u{number}": UpstreamLoad(90, 0, 0) for number in range(SIZE - 1)}
        self.pool.set_peer_loads(loads, 9.0, loads)
        self.assertEqual(self.place(0), f"u{SIZE - 1}")


class TestPeerLoads(unittest.TestCase):
    def test_loads_count_as_in_a_small_pool(self):
        # Entries that are kept between reports must not change what a report means.
        rng, pool, expected = Random(1), make_pool(ENGINES, SIZE), {}
        for _ in range(3):
            names = rng.sample(list(pool.upstream_states), 50)
            loads = {n: UpstreamLoad(1, rng.randrange(9000), 5) for n in names}
            pool.set_peer_loads({**loads, "other": UpstreamLoad(1, 9000, 1)}, 5.0)
            expected = pool._smooth_prefill(loads)
        counted = {n: s.count(1.0) for n, s in pool.upstream_states.items()}
        self.assertEqual(counted, expected)
        self.assertEqual(pool.upstream_states["u0"].count(6.0), NO_LOAD)

    def test_a_pool_that_shrinks_uses_the_loads_of_later_reports(self):
        pool = make_pool(ENGINES, SIZE)
        pool.set_peer_loads({"u0": UpstreamLoad(2, 0, 5)}, 5.0)
        for number in range(5, SIZE):
            pool.remove(f"u{number}")
        pool.set_peer_loads({"u0": UpstreamLoad(3, 0, 5)}, 5.0)
        self.assertEqual(pool.upstream_states["u0"].count(1.0).requests, 3)
        estimate = pool.estimate(
            pool.upstream_states["u0"], make_demand("x"), 1.0, NO_CACHED_PREFIXES
        )
        self.assertGreater(estimate.seconds, 0.0)


class TestLoadOrder(unittest.TestCase):
    def test_names_are_drawn_in_order_of_their_waits(self):
        order, rng = LoadOrder(), Random(1)
        for number in range(100):
            order.put(f"n{number}", 90.0)
            order.put(f"n{number}", number * 0.05)
        order.discard("n0")
        drawn = order.draw_least(rng, 3, {"n1"})
        self.assertEqual(drawn, ["n2", "n3", "n4"])
        self.assertEqual(order.draw_least(rng, 3, {f"n{n}" for n in range(100)}), [])


if __name__ == "__main__":
    unittest.main()
