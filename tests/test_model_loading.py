"""Tests of model loading on engines, and of placement by model."""

import unittest
from random import Random

from chervilwing.model_loading import (
    LOAD_TIMEOUT,
    REFUSED_BACKOFF,
    Engine,
    Rollout,
    list_wanted_models,
    split_load_limit,
)
from chervilwing.models import (
    Address,
    Configuration,
    Inventory,
    ModelRoute,
    Pool,
    Rules,
    Share,
    Upstream,
)
from tests.test_placement import choose_upstream, make_state, make_work

WANTED = ("big", "small")


def make_engines(*models):
    """Return engines e0, e1, ...; each argument lists the loaded models of one."""
    address = Address("127.0.0.1", 1)
    return [
        Engine(
            Upstream(f"e{i}", "model", "pool", address, "a"), frozenset(text.split())
        )
        for i, text in enumerate(models)
    ]


class TestRollout(unittest.TestCase):
    def setUp(self):
        self.rollout = Rollout()

    def plan(self, engines, max_loads=9, may_unload=False, now=0.0):
        """Record the planned orders as sent; return them as short texts."""
        orders = self.rollout.plan(WANTED, engines, max_loads, may_unload, now)
        rows = [(f"{o.upstream.name} {o.operation} {o.model}", o) for o in orders]
        for text, order in rows:
            self.rollout.record_sent(text, order, now)
        return [text for text, _ in rows]

    def test_models_of_a_pool_are_sorted_by_traffic(self):
        shares = (Share("v1", 0.1), Share("v2", 0.9))
        routes = (ModelRoute("memo", "p", shares), ModelRoute("plan", "q"))
        pools = (
            Pool("p", "model", ("spare", "v1", "v2")),
            Pool("q", "model"),
            Pool("s", "service"),
        )
        wanted = list_wanted_models(
            Configuration(1, "o", Inventory(pools), Rules((), (), routes))
        )
        self.assertEqual(wanted, {"p": ("v2", "v1", "spare")})

    def test_first_copies_load_first_within_the_load_limit(self):
        # A new version reaches a data centre, and every engine loads it from the weight
        # store at once: none finishes soon, and a model without a copy waits behind
        # further copies of another.
        engines = make_engines("", "", "small", "big small")
        self.assertEqual(self.plan(engines, 2), ["e0 load big", "e1 load big"])
        self.assertEqual(self.plan(engines, 2), [])
        loaded_engines = make_engines("big", "", "small", "big small")
        self.assertEqual(self.rollout.pop_ended(loaded_engines, 1.0), ["e0 load big"])
        self.assertEqual(self.plan(loaded_engines, 2, now=1.0), ["e0 load small"])
        self.assertEqual([split_load_limit(4, n) for n in (0, 1, 3, 9)], [4, 4, 1, 1])

    def test_unloads_follow_the_loads_and_only_if_allowed(self):
        engines = make_engines("old big", "old big small")
        self.assertEqual(self.plan(engines), ["e0 load small"])
        self.assertEqual(self.plan(engines, may_unload=True), ["e1 unload old"])
        loaded_engines = make_engines("old big small", "big small")
        self.assertEqual(len(self.rollout.pop_ended(loaded_engines, 1.0)), 2)
        self.assertEqual(self.plan(loaded_engines, may_unload=True), ["e0 unload old"])

    def test_lost_slow_and_refusing_engines_release_their_loads(self):
        engines = make_engines("big", "big")
        self.assertEqual(self.plan(engines, 1), ["e0 load small"])
        self.assertEqual(self.rollout.pop_ended(engines[1:], 1.0), ["e0 load small"])
        self.assertEqual(self.plan(engines[1:], 1), ["e1 load small"])
        late = LOAD_TIMEOUT + 1.0
        self.assertEqual(self.rollout.pop_ended(engines, late), ["e1 load small"])
        self.assertEqual(self.plan(engines, 1, now=late), ["e0 load small"])
        self.rollout.mark_refused("e0 load small", late)
        self.assertEqual(self.plan(engines, 1, now=late), ["e1 load small"])
        self.rollout.clear()
        later = late + REFUSED_BACKOFF
        self.assertEqual(self.plan(engines, 1, now=later), ["e0 load small"])


class TestPlacementByModel(unittest.TestCase):
    def choose_upstream(self, state, count, model="new"):
        """Return the upstreams chosen for ``count`` requests for a model."""
        rng = Random(1)
        works = [make_work(n)._replace(model=model) for n in range(count)]
        return [choose_upstream(state, work, rng) for work in works]

    def test_engine_without_a_version_gets_no_requests_for_it(self):
        # One engine of twenty has loaded a new version so far. The others answer
        # requests for it with an error, and the retries use up the caller's budget.
        state = make_state(20)
        for name in state.upstream_states:
            state.set_models(name, frozenset({"memo"}))
        state.set_models("u7", frozenset({"memo", "new"}))
        self.assertEqual(self.choose_upstream(state, 9), ["u7"] * 8 + [None])
        self.assertTrue(state.is_restricted(make_work(1)._replace(model="new")))
        self.assertGreater(len(set(self.choose_upstream(state, 20, "memo"))), 8)

    def test_engine_without_a_model_report_serves_all_models(self):
        state = make_state(4, ("a", "b"))
        for name in ("u0", "u1", "u2"):
            state.set_models(name, frozenset({"memo"}))
        self.assertEqual(set(self.choose_upstream(state, 8)), {"u3"})
        state.set_models("u3", frozenset())
        self.assertEqual(set(self.choose_upstream(state, 8)), {"u0", "u2"})
        state.set_models("u1", frozenset({"new"}))
        state.upstream_states["u1"].leaving = True
        state.refresh("u1")
        self.assertFalse(state.is_restricted(make_work(1)._replace(model="new")))
