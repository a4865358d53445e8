"""Compute the results of a run: latencies, useful work, cost and fairness."""

from collections import Counter
from typing import NamedTuple

from chervilwing.models import MODEL

from .deployments import MODEL_PRICE, SERVICE_PRICE, list_customers
from .simulation import NOTICE_TIME

PERCENTILES = (0.5, 0.95, 0.99)


class Outcome(NamedTuple):
    """The results of one or more runs; work is in slot-seconds per second."""

    deployment: str
    load: str
    policy: str
    offered: float
    useful: float
    in_target: dict[str, float]
    causes: dict[str, int]
    attempts: float
    offers: float
    recomputed: float
    recomputed_rate: float
    cost: float
    fairness: float
    customers: dict[str, tuple[float, ...]]


def measure(*runs):
    """Return the combined Outcome of completed runs that differ only in their seed."""
    first = runs[0]
    requests = [req for run in runs for req in run.requests]
    engines = [engine for run in runs for engine in run.engines.values()]
    seconds = first.load.duration * len(runs)
    useful = sum(req.work for req in requests if req.is_useful())
    recomputed = sum(engine.recomputed for engine in engines)
    sent = [req for req in requests if req.attempts]
    kinds = first.deployment.kinds
    return Outcome(
        first.deployment.name,
        first.load.name,
        first.policy.name,
        sum(req.work for req in requests) / seconds,
        useful / seconds,
        {kind.name: _measure_kind(requests, kind) for kind in kinds},
        dict(Counter(req.cause for req in requests if req.cause).most_common()),
        sum(req.attempts for req in sent) / max(1, len(sent)),
        sum(req.offers for req in requests) / max(1, len(requests)),
        recomputed / len(runs),
        recomputed / max(useful, 1e-9),
        sum(map(_measure_price, runs)) / max(useful / 3600, 1e-9),
        _measure_fairness(requests),
        {name: _measure_customer(requests, name) for name in list_customers()},
    )


def _measure_kind(requests, kind):
    """Return the fraction of a class's requests answered within the target."""
    own = [req for req in requests if req.kind is kind]
    return sum(req.is_useful() for req in own) / max(1, len(own))


def _measure_customer(requests, customer):
    """Return percentiles of the time to first token of a customer, in seconds."""
    own = [req for req in requests if req.customer == customer and req.kind.prefix]
    times = sorted(req.first_token - req.arrival for req in own if req.finished)
    if not times:
        return (float("nan"),) * len(PERCENTILES)
    return tuple(times[int(len(times) * part)] for part in PERCENTILES)


def _measure_price(run):
    """Return the cost of the instances; a reclaimed one costs until it is stopped."""
    total = 0.0
    for up in run.upstreams.values():
        lost = up.data_centre == run.load.reclaimed
        seconds = run.load.duration / 2 + NOTICE_TIME if lost else run.load.duration
        price = MODEL_PRICE if up.kind == MODEL else SERVICE_PRICE
        total += price * seconds / 3600
    return total


def _measure_fairness(requests):
    """Return Jain's fairness index of the customers' useful work over their fair share.

    The fair share is the max-min fair part of all useful work: no customer gets more
    than it offered, and what a customer leaves unused is divided among the others.
    """
    offered, useful = Counter(), Counter()
    for req in requests:
        offered[req.customer] += req.work
        useful[req.customer] += req.work * req.is_useful()
    fair_shares = _divide_fairly(offered, sum(useful.values()))
    parts = [useful[name] / max(fair_shares[name], 1e-9) for name in offered]
    squares = sum(part * part for part in parts)
    return sum(parts) ** 2 / (len(parts) * squares) if squares else 0.0


def _divide_fairly(offered, total):
    fair_shares = {}
    names = sorted(offered, key=offered.get)
    for index, name in enumerate(names):
        fair_shares[name] = min(offered[name], total / (len(names) - index))
        total -= fair_shares[name]
    return fair_shares
