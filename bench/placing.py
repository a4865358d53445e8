"""Time choices in pools of many sizes, and compare the index with scoring all.

``python -m bench.placing`` and ``python -m bench.placing quality`` rewrite their
sections of docs/MEASUREMENTS.md.
"""

import sys
from random import Random
from time import process_time
from unittest import mock

from chervilwing import balancing
from chervilwing.balancing import PlacementOrigin, PoolBalancer
from chervilwing.demands import Demand, PromptPart
from chervilwing.hashing import Ring, make_points
from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.routing import EngineSpec, PoolSpec
from chervilwing.upstream_states import UpstreamLoad
from tests.outdated_loads import Simulation

from .pages import format_table, write_section

SIZES = (40, 132, 400, 660, 1320)
CHOICES = 4000
# Fewer where all are scored, which takes milliseconds each.
CHOICES_OF_ALL = 400
# Choices before those that are timed; they fill the record of cached parts.
WARM_UP = 12_000
# Placed requests in flight for each upstream.
IN_FLIGHT = 6
CENTRES = ("a", "b", "c")
SPEC = PoolSpec("engines", engine=EngineSpec(64, 430_017))
SEED = 5
# Choices a second of one placer.
RATE = 1000
ALL = 10**9
INTRO = f"""## Cost of a choice in large pools

Written by `python -m bench.placing`: mean microseconds of processor time of a placer's
choice with the record of the request, its first byte and its end, over {CHOICES:,} of
them ({CHOICES_OF_ALL} where all are scored) after {WARM_UP:,} that fill the record of
cached parts, with {IN_FLIGHT} requests in flight for each upstream; the others' loads
change before every {RATE // 10}th. The start is the first choice in a pool that was
just registered, which builds the index; the ring is built where an instance first
chooses for itself. The last column is a loop of 100 squares at the
same time, for the speed of the machine."""
# Size of a pool, simulated seconds and seeds of each comparison.
COMPARED = (
    (40, 6.0, (1, 2, 3)),
    (132, 4.0, (1, 2)),
    (400, 3.0, (1, 2)),
    (660, 2.0, (1,)),
)
# Engines for each time the load of the model: a sixth fewer than its tests use, so that
# some answers are late.
ENGINES_PER_LOAD = 20
AGE = (0.3, 0.9)
QUALITY_INTRO = f"""## Choices by the index against scoring all

Written by `python -m bench.placing quality`: the model of `tests/outdated_loads.py`
with one placer, from cold caches, {ENGINES_PER_LOAD} engines for 201 requests per
second. Late is the fraction of late or refused requests, read again the prompt
tokens for each request that an engine read although another had them cached."""


def make_pool(size):
    """Return a pool with ``size`` engines in three data centres."""
    pool = PoolBalancer(SPEC, "a", Random(SEED))
    for number in range(size):
        address = Address("10.0.0.1", number)
        centre = CENTRES[number % len(CENTRES)]
        pool.put_upstream(Registration(f"u{number}", "engines", address, centre, 64))
    return pool


def make_demand(rng, number, subjects):
    """Return a Demand of one of ``subjects``, whose own part is new."""
    parts = (
        PromptPart(f"shared{rng.randrange(4)}", 2520),
        PromptPart(f"subject{rng.randrange(subjects)}", 3780),
        PromptPart(f"own{number}", 2890),
    )
    tokens = sum(part.tokens for part in parts)
    return Demand(f"r{number}", number / RATE + 6.0, tokens, 40, 40, parts)


class Placer:
    """One pool whose upstreams one placer chooses, with requests in flight."""

    def __init__(self, size):
        self._pool = make_pool(size)
        self._rng = Random(SEED)
        self._subjects = 30 * size
        self._capacity = IN_FLIGHT * size
        self._running = []
        self._number = 0

    def choose(self):
        """Place one request, and end a random one if enough are in flight."""
        pool, rng, now = self._pool, self._rng, self._number / RATE
        if self._number % (RATE // 10) == 0:
            self._report_loads(now)
        demand = make_demand(rng, self._number, self._subjects)
        self._number += 1
        origin = PlacementOrigin(CENTRES[self._number % len(CENTRES)], "placer")
        found = pool.choose(demand, (), now, origin)
        pool.record_placed(demand.request_id, demand, found, now)
        self._running.append((found[0], demand.request_id))
        if len(self._running) > self._capacity:
            last = len(self._running) - 1
            index = rng.randrange(last)
            ended = self._running[index]
            self._running[index] = self._running[last]
            self._running.pop()
            pool.record_placed_first_byte(*ended, now)
            pool.record_placed_end(*ended, False, now)

    def _report_loads(self, now):
        names = self._rng.sample(list(self._pool.upstream_states), 20)
        loads = {
            name: UpstreamLoad(2, self._rng.randrange(4000), 20_000) for name in names
        }
        self._pool.set_peer_loads(loads, now + 9.0, loads)


def time_choice(size, largest_scored):
    """Return the microseconds of a choice in a pool of ``size`` upstreams."""
    placer = Placer(size)
    with mock.patch.object(balancing, "MAX_SCORED_UPSTREAMS", 0):
        for _ in range(max(WARM_UP, IN_FLIGHT * size + 2000)):
            placer.choose()
    with mock.patch.object(balancing, "MAX_SCORED_UPSTREAMS", largest_scored):
        count = CHOICES_OF_ALL if largest_scored == ALL else CHOICES
        placer.choose()
        begun = process_time()
        for _ in range(count):
            placer.choose()
        return (process_time() - begun) / count * 1e6


def time_start(size):
    """Return the microseconds of the first choice in a pool that builds its index."""
    pool = make_pool(size)
    demand = make_demand(Random(SEED), 1, 1)
    with mock.patch.object(balancing, "MAX_SCORED_UPSTREAMS", 0):
        begun = process_time()
        pool.choose(demand, (), 0.0, PlacementOrigin("a", "placer"))
        return (process_time() - begun) * 1e6


def time_ring(size):
    """Return the microseconds of building the ring of names that are new to it."""
    make_points.cache_clear()
    begun = process_time()
    Ring([f"u{number}" for number in range(size)])
    return (process_time() - begun) * 1e6


def time_loop():
    """Return the microseconds of a loop that shows the speed of the machine."""
    begun = process_time()
    for _ in range(10_000):
        [number * number for number in range(100)]
    return (process_time() - begun) / 10_000 * 1e6


def measure_times():
    """Return the table of the times of a choice."""
    rows = []
    for size in SIZES:
        times = [time_choice(size, limit) for limit in (ALL, 0)]
        times += [time_start(size), time_ring(size)]
        rows.append((size, *(f"{item:.0f}" for item in times), f"{time_loop():.1f}"))
    heads = (
        "upstreams",
        "all scored, µs",
        "with the index, µs",
        "start, µs",
        "ring, µs",
        "loop, µs",
    )
    return f"{INTRO}\n\n{format_table(heads, rows)}"


def compare(size, seconds, seeds, largest_scored):
    """Return the late fraction, the tokens read again and the number of requests."""
    late = again = count = 0
    with mock.patch.object(balancing, "MAX_SCORED_UPSTREAMS", largest_scored):
        for seed in seeds:
            load = size / ENGINES_PER_LOAD
            model = Simulation(3, size, AGE, seed=seed, load=load, placer=True)
            model.run(seconds)
            requests = sum(map(len, model.waits.values()))
            late += model.count_late() * requests
            again += model.sum_read_again()
            count += requests
    return f"{late / count:.4f}", f"{again / count:.0f}", count


def measure_quality():
    """Return the table that compares the index with scoring all."""
    rows = []
    for size, seconds, seeds in COMPARED:
        for name, limit in (("all", ALL), ("candidates", 0)):
            rows.append((size, name, *compare(size, seconds, seeds, limit)))
            print(*rows[-1], flush=True)
    heads = ("upstreams", "scored", "late", "read again", "requests")
    return f"{QUALITY_INTRO}\n\n{format_table(heads, rows)}"


def main():
    """Measure times or quality, print the table and write it to the page."""
    quality = "quality" in sys.argv
    text = measure_quality() if quality else measure_times()
    print(text)
    if "--print" not in sys.argv:
        write_section("choices by the index" if quality else "cost of a choice", text)


if __name__ == "__main__":
    main()
