"""Time choices in pools of many sizes, and compare the index with scoring all.

``python -m bench.placing`` rewrites its section of docs/MEASUREMENTS.md.
"""

import sys
from random import Random
from time import process_time
from unittest import mock

from chervilwing import balancing
from chervilwing.balancing import PlacementOrigin, PoolBalancer
from chervilwing.demands import Demand, PromptPart
from chervilwing.models import Address
from chervilwing.registrations import Registration
from chervilwing.routing import EngineSpec, PoolSpec
from chervilwing.upstream_states import UpstreamLoad

from .pages import format_table, write_section

SIZES = (40, 132, 400, 660, 1320)
CHOICES = 4000
# Choices before those that are timed; they fill the record of cached parts.
WARM_UP = 12_000
# Placed requests in flight for each upstream.
IN_FLIGHT = 6
CENTRES = ("a", "b", "c")
SPEC = PoolSpec("engines", engine=EngineSpec(64, 430_017))
SEED = 5
# Choices a second of one placer.
RATE = 1000
REPORT_INTERVAL = 0.4
ALL = 10**9
INTRO = f"""## Cost of a choice in large pools

Written by `python -m bench.placing`: mean microseconds of processor time of a placer's
choice with the record of the request, its first byte and its end, over {CHOICES:,} of
them after {WARM_UP:,} that fill the record of cached parts, with {IN_FLIGHT} requests
in flight for each upstream; the others' loads change before every {RATE // 10}th."""


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
    with mock.patch.object(balancing, "MAX_SCORED_UPSTREAMS", largest_scored):
        placer = Placer(size)
        for _ in range(max(WARM_UP, IN_FLIGHT * size + 2000)):
            placer.choose()
        begun = process_time()
        for _ in range(CHOICES):
            placer.choose()
        return (process_time() - begun) / CHOICES * 1e6


def main():
    """Time all sizes, print the table and write it to the page."""
    rows = []
    for size in SIZES:
        all_scored, indexed = (time_choice(size, limit) for limit in (ALL, 0))
        rows.append((size, f"{all_scored:.0f}", f"{indexed:.0f}"))
    heads = ("upstreams", "all scored, µs", "with the index, µs")
    text = f"{INTRO}\n\n{format_table(heads, rows)}"
    print(text)
    if "--print" not in sys.argv:
        write_section("cost of a choice", text)


if __name__ == "__main__":
    main()
