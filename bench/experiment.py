"""Simulate random deployments with the gateway's own code; compare two policies.

``python -m bench.experiment play out.json`` simulates the code as it is; with ``--set
sizing.HEADROOM=2`` it overrides a constant. ``compare one.json two.json`` prints the
differences on the same seeds. Sockets, the store and the handling of a request inside
a gateway are not modelled, so absolute results differ from those of a real deployment.
"""

import importlib
import json
import random
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Annotated, NamedTuple

import numpy as np
import typer

from chervilwing.balancing import PlacementOrigin, PoolBalancer
from chervilwing.demands import Demand
from chervilwing.pool_admission import pool as admission
from chervilwing.routing import EngineSpec, PoolSpec
from chervilwing.sizing import InstanceKind, Sizing
from chervilwing.upstream_states import NO_LOAD, add_loads

from .draws import CENTRES, draw, draw_arrivals, read_ranges
from .engines import Clock
from .market import Market
from .pages import format_table
from .stepping import SLOTS, Run

# Interval in seconds between load reports of the gateways, and their age on receipt.
WORD_AGE = 0.25
ORDER_EVERY = 0.1
ATTEMPTS = 3
# Bytes of cache per token sent between two engines, and bits per second of the link.
TOKEN_BYTES, LINK_RATE = 18_000.0, 3e11
# Cost of a token fetched from another engine, in seconds of an on-demand instance.
FETCHED_COST = 1e-5
# Weights of the score: whole run, worst seconds, worst data centre, worst kind.
DAY, WORST_SECONDS, WORST_CENTRE, WORST_KIND = 0.4, 0.28, 0.2, 0.12
# Fraction of its worth that an answer after the latency target earns.
LATE_PART = 0.1
WINDOW = 2.0
# Half-width of a 95 % interval in standard errors.
INTERVAL = 1.96
FIGURES = ("worth", "day", "window", "centre", "kind", "price", "kept", "late")
# 1 lets the first gateway choose upstreams for all; 0 lets each gateway choose.
PLACED = 1
PLACER = "first"
app = typer.Typer(add_completion=False)


class Outcome(NamedTuple):
    """Results of one deployment, most as fractions of the worth of all requests.

    ``kept`` is the fraction of prompt tokens found in a cache, ``late`` the fraction
    of requests that earned less than half of their worth.
    """

    worth: float
    day: float
    window: float
    centre: float
    kind: float
    price: float
    kept: float
    late: float


class Caller:
    """A caller's request and the upstreams that it was sent to."""

    __slots__ = (
        "arrival",
        "demand",
        "ends_at",
        "first",
        "refused",
        "tried",
    )

    def __init__(self, arrival, name):
        tokens = sum(part.tokens for part in arrival.parts)
        self.arrival = arrival
        self.ends_at = arrival.at + arrival.kind.deadline
        self.demand = Demand(
            name, self.ends_at, tokens, arrival.output, arrival.output, arrival.parts
        )
        self.tried = set()
        self.refused = False
        self.first = None


class Simulation:
    """Simulation of a deployment, from its first instance to its last request."""

    def __init__(self, deployment, arrivals, seed):
        self.deployment = deployment
        self.clock = Clock()
        self.clock.now = -deployment.lead
        self.market = Market(self.clock, deployment, self._register)
        memory = deployment.engine.memory_tokens
        spec = PoolSpec(
            "engines",
            engine=EngineSpec(SLOTS, memory, TOKEN_BYTES, LINK_RATE),
            fleet=deployment.fleet,
        )
        self.pools = [
            PoolBalancer(spec, CENTRES[n % len(CENTRES)], random.Random(seed + n))
            for n in range(deployment.gateways)
        ]
        self.sizing = Sizing()
        self.registered = {}
        self.callers = [Caller(item, f"r{n}") for n, item in enumerate(arrivals)]
        self._rng = random.Random(seed)
        self._began = {}

    def run(self):
        """Run the simulation and return its Outcome."""
        others = int(np.ceil(1.5 * self.deployment.work)) + 2
        centres = [
            InstanceKind(CENTRES[n % len(CENTRES)], False) for n in range(others)
        ]
        self.market.start(Counter(centres))
        self._order()
        self._exchange_loads(None)
        lead = self.deployment.lead
        for caller in self.callers:
            self.clock.call(lead + caller.arrival.at, self._send_request, caller)
        for wave in self.deployment.waves:
            self.clock.call(lead + wave.at, self.market.reclaim, wave)
        for at in self.deployment.crashes:
            self.clock.call(lead + at, self.market.crash)
        self.clock.run(self.deployment.seconds + 20.0)
        return self._sum_up()

    def _register(self, registration, gone):
        name = registration.name
        if gone:
            self.registered.pop(name, None)
        else:
            self.registered[name] = registration
        for pool in self.pools:
            pool.remove(name) if gone else pool.put_upstream(registration)

    def _order(self):
        now = self.clock.now
        if now >= self.deployment.seconds:
            self.market.count_paid()
            return
        totals = {str(n): (0, pool.work) for n, pool in enumerate(self.pools)}
        self.sizing.meter.update(totals, now)
        due = self.sizing.list_due_orders(
            self.deployment.fleet, list(self.registered.values()), now
        )
        for kind, number in due[:1]:
            if self.market.order(kind, number):
                self.sizing.record_ordered(kind, number, now)
            else:
                self.sizing.record_denied(kind, now)
        self.clock.call(ORDER_EVERY, self._order)

    def _exchange_loads(self, before):
        """Report to each gateway the others' load of ``WORD_AGE`` seconds ago."""
        now = self.clock.now
        if before is not None:
            for pool, others in zip(self.pools, before[0], strict=True):
                pool.set_peer_loads(others, now + 9.0)
                pool.add_reported_prompts(before[1])
        loads = [
            {
                name: upstream_state.own_load
                for name, upstream_state in pool.upstream_states.items()
            }
            for pool in self.pools
        ]
        placed = [item for pool in self.pools for item in pool.caches.list_recent(now)]
        reports = list(leave_one_out(loads)), placed
        self.clock.call(WORD_AGE, self._exchange_loads, reports)

    def _send_request(self, caller):
        """Send a caller's request to a gateway, preferably in its own data centre."""
        near = [p for n, p in enumerate(self.pools) if self._is_near(n, caller)]
        pool = self._rng.choice(near or self.pools)
        now = self.clock.now
        found = self._choose(pool, caller, now)
        if found is not None:
            pool.record_work(caller.demand, found[1])
            if found[1].seconds <= (caller.ends_at - now) * admission.MAX_DEADLINE_PART:
                self._send(pool, caller, found)
                return
        # A caller retries a refused request once.
        wait = self._rng.uniform(0.25, 1.0)
        if not caller.refused and now + wait < caller.ends_at:
            caller.refused = True
            self.clock.call(wait, self._send_request, caller)

    def _choose(self, pool, caller, now):
        """Return the upstream state and estimate that the first gateway chooses."""
        if not PLACED:
            return pool.choose(caller.demand, caller.tried, now)
        centre = CENTRES[self.pools.index(pool) % len(CENTRES)]
        origin = PlacementOrigin(centre, PLACER)
        found = self.pools[0].choose(caller.demand, caller.tried, now, origin)
        if found is None:
            return None
        self.pools[0].record_placed(caller.demand.request_id, caller.demand, found, now)
        upstream_state, estimate = found
        source = estimate.source
        if source is not None:
            source = pool.upstream_states[source.registration.name]
        name = upstream_state.registration.name
        return pool.upstream_states[name], estimate._replace(source=source)

    def _is_near(self, number, caller):
        return CENTRES[number % len(CENTRES)] == caller.arrival.centre

    def _send(self, pool, caller, found):
        upstream_state, estimate = found
        name = upstream_state.registration.name
        caller.tried.add(name)
        pool.record_sent(upstream_state, caller.demand, estimate, self.clock.now)
        arrival = caller.arrival
        run = Run(
            arrival.parts,
            arrival.output,
            lambda event: self._handle_event(event, pool, caller, upstream_state),
            estimate.source and self.market.engines[estimate.source.registration.name],
        )
        self.market.engines[name].arrive(run)

    def _handle_event(self, event, pool, caller, upstream_state):
        now, key = self.clock.now, caller.demand.request_id
        if event == "first":
            pool.record_first_byte(upstream_state, caller.demand, now)
            self.pools[0].record_placed_first_byte(
                self._find_placed(upstream_state), key, now
            )
            caller.first = caller.first or now
            return
        failed = event == "failed"
        pool.record_end(upstream_state, caller.demand, failed, now)
        self.pools[0].record_placed_end(
            self._find_placed(upstream_state), key, failed, now
        )
        if event == "done":
            self._began[caller] = caller.first
            return
        found = self._choose(pool, caller, now)
        if len(caller.tried) < ATTEMPTS and now < caller.ends_at and found:
            self._send(pool, caller, found)

    def _find_placed(self, upstream_state):
        """Return the first gateway's state of the same upstream."""
        name = upstream_state.registration.name
        return self.pools[0].upstream_states.get(name, upstream_state)

    def _earn(self, caller):
        """Return the worth that a caller's answer earned; late ones earn a part."""
        first = self._began.get(caller)
        if first is None or first > caller.ends_at:
            return 0.0
        arrival = caller.arrival
        late = first - arrival.at > arrival.kind.latency_target
        return arrival.worth * (LATE_PART if late else 1.0)

    def _sum_up(self):
        earned = {caller: self._earn(caller) for caller in self.callers}
        day = measure_part(self.callers, earned)
        windows = sorted(self._split(earned, lambda item: int(item.at / WINDOW)))
        window = float(np.mean(windows[:2]))
        centre = min(self._split(earned, lambda item: item.centre))
        kind = min(self._split(earned, lambda item: item.kind.name))
        deployment = self.deployment
        engines = self.market.engines.values()
        fetched = sum(engine.fetched_tokens for engine in engines)
        paid = self.market.seconds_paid + fetched * FETCHED_COST
        per_second = paid / deployment.seconds
        price = deployment.instance_cost * per_second
        worth = DAY * day + WORST_SECONDS * window + WORST_CENTRE * centre
        worth += WORST_KIND * kind - price
        asked = sum(caller.demand.prompt_tokens for caller in self.callers)
        read = sum(engine.read_tokens for engine in engines)
        late = sum(earned[c] < 0.5 * c.arrival.worth for c in self.callers)
        return Outcome(
            worth,
            day,
            window,
            centre,
            kind,
            price,
            1 - read / asked,
            late / len(self.callers),
        )

    def _split(self, earned, key):
        """Return the fraction of its worth that each group earned.

        Groups smaller than a quarter of the median are too small to judge.
        """
        groups = {}
        for caller in self.callers:
            groups.setdefault(key(caller.arrival), []).append(caller)
        usual = np.median([len(group) for group in groups.values()])
        return [
            measure_part(group, earned)
            for group in groups.values()
            if len(group) >= usual / 4
        ]


def measure_part(callers, earned):
    """Return the earned worth as a fraction of the worth of all requests."""
    total = sum(caller.arrival.worth for caller in callers)
    return sum(earned[caller] for caller in callers) / total


def leave_one_out(loads):
    """Yield, for each mapping of names to loads, the sum of all other mappings."""
    for own in range(len(loads)):
        sums = {}
        for number, load in enumerate(loads):
            if number != own:
                for name, one in load.items():
                    sums[name] = add_loads(sums.get(name, NO_LOAD), one)
        yield sums


def simulate_seed(seed, changes, ranges):
    """Return the Outcome of one seed, with the changed constants in force."""
    for change in changes:
        set_constant(change)
    rng = np.random.default_rng(seed)
    deployment = draw(ranges, rng)
    return Simulation(deployment, draw_arrivals(deployment, rng), seed).run()


def set_constant(change):
    """Set a constant, given as ``module.NAME=number``."""
    name, _, value = change.partition("=")
    module, _, figure = name.rpartition(".")
    number = float(value) if "." in value else int(value)
    if module == "experiment":
        globals()[figure] = number
        return
    setattr(importlib.import_module(f"chervilwing.{module}"), figure, number)


@app.command()
def play(
    out: Path,
    seeds: int = 40,
    first: int = 1,
    jobs: int = 4,
    ranges: Path | None = None,
    change: Annotated[list[str] | None, typer.Option("--set")] = None,
):
    """Simulate ``seeds`` random deployments and write their results."""
    drawn = read_ranges(*([ranges] if ranges else []))
    chosen = range(first, first + seeds)
    with ProcessPoolExecutor(jobs) as pool:
        found = pool.map(
            simulate_seed, chosen, [change or []] * seeds, [drawn] * seeds, chunksize=2
        )
        outcomes = {str(s): o._asdict() for s, o in zip(chosen, found, strict=True)}
    out.write_text(json.dumps(outcomes, indent=1))
    means = [np.mean([o[name] for o in outcomes.values()]) for name in FIGURES]
    print(format_table(FIGURES, [[f"{mean:.4f}" for mean in means]]))


@app.command()
def compare(before: Path, after: Path):
    """Print the differences of two result files on the seeds that both have."""
    one, two = (json.loads(path.read_text()) for path in (before, after))
    seeds = sorted(one.keys() & two.keys(), key=int)
    rows = []
    for name in FIGURES:
        gained = np.array([two[seed][name] - one[seed][name] for seed in seeds])
        half = INTERVAL * gained.std(ddof=1) / np.sqrt(len(seeds))
        old = np.mean([one[seed][name] for seed in seeds])
        better = int((gained > 0).sum())
        rows.append(
            [name, f"{old:.4f}", f"{gained.mean():+.4f}", f"{half:.4f}", better]
        )
    print(f"{len(seeds)} draws")
    head = ["figure", "before", "gained", "95 % +-", "draws with more"]
    print(format_table(head, rows))


if __name__ == "__main__":
    app()
