"""Measure rate limiting by fleet size: work above the limit and refusals below it.

``python -m bench.allowances`` draws docs/design/allowances.png and prints its figures.
It compares two schemes on the same load: the gateway's own code, which passes credit
between instances, and a whole token bucket at each instance, from which the spending
of the other instances is subtracted after a delay.
"""

import random
from collections import deque
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from chervilwing.routing import Organisation
from tests.credit_fleet import (
    STEP,
    Fleet,
    Request,
    Traffic,
    measure_most,
    refuse_by_one_bucket,
)

PICTURE = Path(__file__).resolve().parent.parent / "docs/design/allowances.png"
SIZES = (8, 32, 67, 130, 195)
SEEDS = (1, 2, 3)
AGES = (0.2, 0.6, 1.2)
WINDOW = 8.0
SETTLE_TIME = 4.0
COST = 5000.0
# Mean of a log-normal distribution with sigma 1, as a multiple of its median.
MEAN_COST = 1.6487
LARGEST = 56_000.0
# Seconds without reports after which an instance limits itself to its own share.
REPORT_TIMEOUT = 1.5


class Load(NamedTuple):
    """A customer's load; ``asked`` is the requested work as a multiple of ``rate``.

    ``rate`` is in cost per second; the burst is one second of it. ``cut`` says whether
    a third of the instances is partitioned from the others.
    """

    name: str
    rate: float
    asked: float
    cut: bool
    seconds: float


LOUD = Load("six times its limit, a third cut off", 460_000.0, 6.0, True, 8.0)
CALM = Load("0.6 of a limit of seven requests a second", 60_000.0, 0.6, False, 30.0)


class Outcome(NamedTuple):
    """Work above burst and rate, in seconds of the rate, and the fraction refused."""

    beyond: float
    refused: float


def make_traffic(load):
    """Return the load's arrivals, with a burst of one second of the rate."""
    organisation = Organisation("customer", ("k",), rate=load.rate, burst=load.rate)
    asked = load.asked * load.rate / MEAN_COST
    return Traffic(organisation, asked, COST, 1.0, LARGEST)


def measure(load, ran, asked, refused):
    """Return the Outcome of the requests that ran, were asked and were refused."""
    most = measure_most(ran, "customer", WINDOW)
    cost = sum(item.cost for item in asked)
    return Outcome(
        most / load.rate - (WINDOW + 1.0),
        sum(item.cost for item in refused) / cost,
    )


def simulate_credit(size, load, seed):
    """Simulate the gateway's own scheme."""
    fleet = Fleet(size, [make_traffic(load)], seed)
    fleet.run(SETTLE_TIME)
    fleet.ran.clear()
    fleet.asked.clear()
    fleet.refused.clear()
    if load.cut:
        partitioned = random.Random(seed).sample(range(size), size // 3)
        fleet.cut({name: 1 + place for place, name in enumerate(partitioned)})
    fleet.run(load.seconds)
    return measure(load, fleet.ran, fleet.asked, fleet.refused)


class WholeBuckets:
    """A whole bucket per instance; spending is reported to the others after ``age``."""

    def __init__(self, size, rate, age, cut):
        self.size = size
        self.rate = rate
        self.levels = [rate] * size
        self.cut = cut
        self._steps = max(1, round(age / STEP))
        self._spent = deque([[0.0] * size for _ in range(self._steps)])

    def step(self, now):
        """Add a step's credit and subtract the spending reported from ``age`` ago."""
        reported = self._spent.popleft()
        total = sum(reported)
        self._spent.append([0.0] * self.size)
        for index in range(self.size):
            isolated = index in self.cut and now > REPORT_TIMEOUT
            part = 1.0 / self.size if isolated else 1.0
            level = self.levels[index] + self.rate * STEP * part
            peer_spending = 0.0 if index in self.cut else total - reported[index]
            self.levels[index] = min(self.rate * part, level) - peer_spending

    def spend(self, index, cost):
        """Spend the cost if the local level allows it; return whether it did."""
        if self.levels[index] < cost:
            return False
        self.levels[index] -= cost
        self._spent[-1][index] += cost
        return True


def simulate_whole_buckets(size, load, seed, age):
    """Simulate a whole bucket at each instance."""
    rng = random.Random(seed)
    cut = set(rng.sample(range(size), size // 3)) if load.cut else set()
    buckets = WholeBuckets(size, load.rate, age, cut)
    ran, asked, refused = [], [], []
    now, arrivals = 0.0, load.asked * load.rate / MEAN_COST / COST * STEP
    while now < load.seconds:
        now += STEP
        buckets.step(now)
        for _ in range(int(arrivals) + (rng.random() < arrivals % 1.0)):
            cost = min(LARGEST, rng.lognormvariate(0.0, 1.0) * COST)
            index = rng.randrange(size)
            item = Request(now, "customer", cost, index, now)
            asked.append(item)
            (ran if buckets.spend(index, cost) else refused).append(item)
    return measure(load, ran, asked, refused)


def simulate_exact_bucket(size, load, seed):
    """Simulate one exact bucket that all instances share without delay."""
    fleet = Fleet(1, [make_traffic(load)], seed)
    fleet.run(load.seconds)
    cost = sum(item.cost for item in fleet.asked)
    organisation = fleet.organisations[0]
    return Outcome(0.0, refuse_by_one_bucket(fleet.asked, organisation) / cost)


def list_schemes():
    """Return the name and the simulation function of each scheme."""
    schemes = [
        ("credit passed on", simulate_credit),
        ("one exact bucket", simulate_exact_bucket),
    ]
    for age in AGES:

        def play(size, load, seed, age=age):
            return simulate_whole_buckets(size, load, seed, age)

        schemes.append((f"whole buckets, words {age:g} s old", play))
    return schemes


def main():
    """Simulate all schemes, print the figures and plot them."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    for name, play in list_schemes():
        loud = [play(size, LOUD, 1).beyond for size in SIZES]
        calm = [
            mean(play(size, CALM, s).refused for s in SEEDS) * 100 for size in SIZES
        ]
        print(name, [f"{value:.2f}" for value in loud], [f"{v:.1f}" for v in calm])
        axes[0].plot(SIZES, loud, marker="o", label=name)
        axes[1].plot(SIZES, calm, marker="o", label=name)
    axes[0].set_title(f"Run beyond the limit: {LOUD.name}", fontsize=9)
    axes[0].set_ylabel("seconds of the rate, beyond burst and rate in 8 s")
    axes[0].axhline(0.0, color="grey", linewidth=0.8)
    axes[1].set_title(f"Refused though owed: {CALM.name}", fontsize=9)
    axes[1].set_ylabel("% of the cost asked")
    for axis in axes:
        axis.set_xlabel("instances")
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(PICTURE, dpi=90)


if __name__ == "__main__":
    main()
