"""What instances know of engines' KV caches: told, believed, forgotten, fetched."""

import random
import unittest

from chervilwing.balancing import PoolBalance
from chervilwing.demands import Demand, PromptPart
from chervilwing.dialects import Errand
from chervilwing.models import Address
from chervilwing.platform.headers import FETCH, write_headers
from chervilwing.prompt_caches import (
    TOLD_FOR,
    TOLD_TOKENS,
    Placement,
    PromptCaches,
)
from chervilwing.registrations import Registration
from chervilwing.routing import EngineTraits, PoolTraits
from chervilwing.tallies import Placements

MEMORY = 500_000
# 18 KB a token over 370 Gbit/s: 5,000 tokens take 2 ms.
FETCHING = PoolTraits("engines", engine=EngineTraits(64, MEMORY, 18_432.0, 3.7e11))
HISTORY = (PromptPart("all", 500), PromptPart("history", 5000))


def make_pool(traits=FETCHING, seed=1):
    """Return one instance's view of four engines."""
    pool = PoolBalance(traits, "a", random.Random(seed))
    for number in range(4):
        address = Address("10.0.0.1", number)
        pool.put(Registration(f"u{number}", traits.name, address, "a", 64))
    return pool


def make_demand(name, own=1000):
    """Return a request about the history."""
    parts = (*HISTORY, PromptPart(name, own))
    return Demand(name, 10.0, sum(part.tokens for part in parts), 50, 50, parts)


def send(pool, demand, now=0.0):
    """Send a request where the pool chooses; return upstream and estimate."""
    station, estimate = pool.choose(demand, (), now)
    pool.send(station, demand, estimate, now)
    return station.registration.name, estimate


class TestPromptCaches(unittest.TestCase):
    def setUp(self):
        self.caches = PromptCaches()

    def test_a_part_counts_with_all_before_it(self):
        self.caches.note("u0", HISTORY, MEMORY, 0.0)
        self.assertEqual(self.caches.count("u0", HISTORY), 5500)
        self.assertEqual(self.caches.count("u0", HISTORY[:1]), 500)
        other = (HISTORY[0], PromptPart("another", 7000))
        self.assertEqual(self.caches.count("u0", other), 500)
        self.assertEqual(self.caches.count("u1", HISTORY), 0)

    def test_what_others_sent_counts_as_well(self):
        # Two instances are asked about one history within seconds. Each knows only
        # where it has sent it itself, and the second reads it anew at another engine.
        self.caches.learn([Placement("u2", "history", 5500)], MEMORY)
        self.assertEqual(self.caches.count("u2", HISTORY), 5500)

    def test_only_long_prompts_of_late_are_told(self):
        short = (PromptPart("all", TOLD_TOKENS - 1),)
        self.caches.note("u0", short, MEMORY, 0.0)
        self.caches.note("u0", HISTORY, MEMORY, 0.0)
        told = [Placement("u0", "history", 5500)]
        self.assertEqual(self.caches.list_recent(TOLD_FOR / 2), told)
        self.assertEqual(self.caches.list_recent(TOLD_FOR + 0.1), [])

    def test_what_was_used_longest_ago_is_forgotten_first(self):
        # An engine's memory turns over; believed for ever, a history that is long gone
        # would draw its requests to an engine that reads it anew.
        for number in range(100):
            part = PromptPart(f"h{number}", 10_000)
            self.caches.note("u0", (part,), MEMORY, 0.0)
        kept = [
            number
            for number in range(100)
            if self.caches.count("u0", (PromptPart(f"h{number}", 10_000),))
        ]
        self.assertEqual(kept, list(range(75, 100)))

    def test_one_that_is_gone_has_nothing(self):
        self.caches.note("u0", HISTORY, MEMORY, 0.0)
        self.caches.forget("u0")
        self.assertEqual(self.caches.count("u0", HISTORY), 0)


class TestPlacements(unittest.TestCase):
    def test_what_is_told_again_and_again_ends_all_the_same(self):
        # Leaders tell each other what they were told; counted anew each time, a send
        # would be told for ever.
        placements = Placements()
        item = Placement("u0", "history", 5500)
        for tenth in range(int(TOLD_FOR * 10) + 2):
            placements.hear([item], tenth / 10)
            if tenth / 10 < TOLD_FOR:
                self.assertEqual(placements.list(tenth / 10), [item])
        self.assertEqual(placements.list(TOLD_FOR + 0.2), [])


class TestFetching(unittest.TestCase):
    """A history is asked for by many at once, at several instances."""

    def test_an_engine_that_lacks_a_history_fetches_it(self):
        # Seven requests of one subject come together: one engine would read them one
        # after the other. Read anew at another one, its 5,500 tokens take 0.15 s; a
        # fetch takes 8 ms.
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

    def test_where_engines_cannot_fetch_nothing_is_fetched(self):
        pool = make_pool(PoolTraits("engines", engine=EngineTraits(64, MEMORY)))
        for number in range(7):
            _, estimate = send(pool, make_demand(f"r{number}", 9000))
            self.assertIsNone(estimate.source)

    def test_a_source_is_one_that_is_known_to_have_it(self):
        # Another instance sent the history to an engine that its ring doesn't name.
        pool = make_pool()
        demand = make_demand("r0")
        owner = pool.choose(demand, (), 0.0)[0].registration.name
        knower = next(name for name in pool.stations if name != owner)
        pool.learn([Placement(knower, "history", 5500)])
        estimate = pool.estimate(
            pool.stations[owner], demand, 0.0, pool._find_copies(demand, [])
        )
        self.assertEqual(estimate.source.registration.name, knower)
        self.assertEqual(estimate.prefill, 1000)

    def test_few_tokens_are_read_and_not_fetched(self):
        pool = make_pool()
        parts = (PromptPart("all", 500), PromptPart("own", 1000))
        demand = Demand("r0", 10.0, 1500, 50, 50, parts)
        send(pool, demand)
        for station in pool.stations.values():
            copies = pool._find_copies(demand, list(pool.stations.values()))
            self.assertIsNone(pool.estimate(station, demand, 0.0, copies).source)

    def test_an_engine_that_started_again_is_no_source(self):
        pool = make_pool()
        name, _ = send(pool, make_demand("r0"))
        registration = pool.stations[name].registration
        pool.remove(name)
        pool.put(registration)
        self.assertEqual(pool.caches.count(name, HISTORY), 0)

    def test_told_of_an_upstream_that_is_gone_nothing_is_kept(self):
        pool = make_pool()
        pool.learn([Placement("gone", "history", 5500)])
        self.assertEqual(pool.caches.count("gone", HISTORY), 0)

    def test_only_the_gateway_names_a_source(self):
        # A caller that named one would make engines read from wherever it likes.
        errand = Errand("u0", "insurer", 5.0)
        self.assertNotIn(FETCH, write_headers({FETCH: "10.0.0.9:1"}, errand))
        errand = errand._replace(source=Address("10.0.0.2", 80))
        written = write_headers({FETCH: "10.0.0.9:1"}, errand)
        self.assertEqual(written[FETCH], "10.0.0.2:80")
