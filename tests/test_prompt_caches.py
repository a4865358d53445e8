"""Records of the engines' KV caches: reported, evicted and fetched prompt parts."""

import random
import unittest

from chervilwing.balancing import PoolBalancer
from chervilwing.demands import Demand, PromptPart
from chervilwing.dialects import AttemptContext
from chervilwing.instance_reports import CachedPrompts
from chervilwing.models import Address
from chervilwing.platform.headers import FETCH, write_headers
from chervilwing.prompt_caches import (
    MIN_REPORTED_TOKENS,
    PROMPT_REPORT_SECONDS,
    CachedPrompt,
    PromptCaches,
)
from chervilwing.registrations import Registration
from chervilwing.routing import EngineSpec, PoolSpec

MEMORY = 500_000
# 18 KB a token over 370 Gbit/s: 5,000 tokens take 2 ms.
FETCHING = PoolSpec("engines", engine=EngineSpec(64, MEMORY, 18_432.0, 3.7e11))
HISTORY = (PromptPart("all", 500), PromptPart("history", 5000))


def make_pool(spec=FETCHING, seed=1):
    """Return one instance's pool of four engines."""
    pool = PoolBalancer(spec, "a", random.Random(seed))
    for number in range(4):
        address = Address("10.0.0.1", number)
        pool.put_upstream(Registration(f"u{number}", spec.name, address, "a", 64))
    return pool


def make_demand(name, own=1000):
    """Return a Demand whose prompt begins with HISTORY."""
    parts = (*HISTORY, PromptPart(name, own))
    return Demand(name, 10.0, sum(part.tokens for part in parts), 50, 50, parts)


def send(pool, demand, now=0.0):
    """Send a request to the chosen upstream; return its name and the Estimate."""
    upstream_state, estimate = pool.choose(demand, (), now)
    pool.record_sent(upstream_state, demand, estimate, now)
    return upstream_state.registration.name, estimate


class TestPromptCaches(unittest.TestCase):
    def setUp(self):
        self.caches = PromptCaches()

    def test_a_cached_part_counts_with_all_parts_before_it(self):
        self.caches.record("u0", HISTORY, MEMORY, 0.0)
        self.assertEqual(self.caches.count_cached("u0", HISTORY), 5500)
        self.assertEqual(self.caches.count_cached("u0", HISTORY[:1]), 500)
        other = (HISTORY[0], PromptPart("another", 7000))
        self.assertEqual(self.caches.count_cached("u0", other), 500)
        self.assertEqual(self.caches.count_cached("u1", HISTORY), 0)

    def test_prompts_sent_by_other_instances_count(self):
        # Two instances get requests about one history within seconds. Without reports,
        # the second would have it read again at another engine.
        self.caches.add_reported([CachedPrompt("u2", "history", 5500)], MEMORY)
        self.assertEqual(self.caches.count_cached("u2", HISTORY), 5500)

    def test_only_recent_long_prompts_are_reported(self):
        short = (PromptPart("all", MIN_REPORTED_TOKENS - 1),)
        self.caches.record("u0", short, MEMORY, 0.0)
        self.caches.record("u0", HISTORY, MEMORY, 0.0)
        reported = [CachedPrompt("u0", "history", 5500)]
        self.assertEqual(self.caches.list_recent(PROMPT_REPORT_SECONDS / 2), reported)
        self.assertEqual(self.caches.list_recent(PROMPT_REPORT_SECONDS + 0.1), [])

    def test_the_least_recently_used_parts_are_dropped_first(self):
        # An engine evicts old cache entries. If the record kept them, requests would go
        # to an engine that has to read the history again.
        for number in range(100):
            part = PromptPart(f"h{number}", 10_000)
            self.caches.record("u0", (part,), MEMORY, 0.0)
        kept = [
            number
            for number in range(100)
            if self.caches.count_cached("u0", (PromptPart(f"h{number}", 10_000),))
        ]
        self.assertEqual(kept, list(range(75, 100)))

    def test_a_removed_upstream_has_no_cached_parts(self):
        self.caches.record("u0", HISTORY, MEMORY, 0.0)
        self.caches.remove_upstream("u0")
        self.assertEqual(self.caches.count_cached("u0", HISTORY), 0)


class TestPlacements(unittest.TestCase):
    def test_repeated_reports_do_not_extend_a_placement(self):
        # Group leaders pass on the reports that they receive. If each copy restarted
        # the time, a prompt would be reported forever.
        cached_prompts = CachedPrompts()
        item = CachedPrompt("u0", "history", 5500)
        for tenth in range(int(PROMPT_REPORT_SECONDS * 10) + 2):
            cached_prompts.record([item], tenth / 10)
            if tenth / 10 < PROMPT_REPORT_SECONDS:
                self.assertEqual(cached_prompts.list_recent(tenth / 10), [item])
        self.assertEqual(cached_prompts.list_recent(PROMPT_REPORT_SECONDS + 0.2), [])


class TestFetching(unittest.TestCase):
    """Many requests about one history arrive at the same time."""

    def test_an_engine_without_the_history_fetches_it(self):
        # Seven requests of one subject arrive together and would queue at one engine.
        # Another engine would need 0.15 s to read the 5,500 tokens of the history
        # again; fetching them takes 8 ms.
        pool = make_pool()
        first, _ = send(pool, make_demand("r0", 9000))
        found = [send(pool, make_demand(f"r{n}", 9000)) for n in range(1, 7)]
        self.assertGreater(len({name for name, _ in found}), 2)
        sources = {
            estimate.source.registration.name
            for name, estimate in found
            if estimate.source is not None
        }
        self.assertEqual(sources, {first})
        for _, estimate in found:
            self.assertEqual(estimate.prefill, 9000)

    def test_no_fetch_is_planned_without_a_link_rate(self):
        pool = make_pool(PoolSpec("engines", engine=EngineSpec(64, MEMORY)))
        for number in range(7):
            _, estimate = send(pool, make_demand(f"r{number}", 9000))
            self.assertIsNone(estimate.source)

    def test_the_source_is_an_engine_reported_to_have_the_history(self):
        # Another instance sent the history to an engine other than that on the ring.
        pool = make_pool()
        demand = make_demand("r0")
        owner = pool.choose(demand, (), 0.0)[0].registration.name
        holder = next(name for name in pool.upstream_states if name != owner)
        pool.add_reported_prompts([CachedPrompt(holder, "history", 5500)])
        estimate = pool.estimate(
            pool.upstream_states[owner],
            demand,
            0.0,
            pool._find_cached_prefixes(demand, []),
        )
        self.assertEqual(estimate.source.registration.name, holder)
        self.assertEqual(estimate.prefill, 1000)

    def test_small_prefixes_are_read_and_not_fetched(self):
        pool = make_pool()
        parts = (PromptPart("all", 500), PromptPart("own", 1000))
        demand = Demand("r0", 10.0, 1500, 50, 50, parts)
        send(pool, demand)
        for upstream_state in pool.upstream_states.values():
            prefixes = pool._find_cached_prefixes(
                demand, list(pool.upstream_states.values())
            )
            self.assertIsNone(
                pool.estimate(upstream_state, demand, 0.0, prefixes).source
            )

    def test_a_restarted_engine_has_no_cached_parts(self):
        pool = make_pool()
        name, _ = send(pool, make_demand("r0"))
        registration = pool.upstream_states[name].registration
        pool.remove(name)
        pool.put_upstream(registration)
        self.assertEqual(pool.caches.count_cached(name, HISTORY), 0)

    def test_reports_about_a_removed_upstream_are_ignored(self):
        pool = make_pool()
        pool.add_reported_prompts([CachedPrompt("gone", "history", 5500)])
        self.assertEqual(pool.caches.count_cached("gone", HISTORY), 0)

    def test_a_source_named_by_the_caller_is_removed(self):
        # A caller that could name a source would choose where engines read from.
        context = AttemptContext("u0", "insurer", 5.0)
        self.assertNotIn(FETCH, write_headers({FETCH: "10.0.0.9:1"}, context))
        context = context._replace(source=Address("10.0.0.2", 80))
        written = write_headers({FETCH: "10.0.0.9:1"}, context)
        self.assertEqual(written[FETCH], "10.0.0.2:80")
