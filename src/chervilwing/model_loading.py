"""Choose which models the engines of one pool and data centre should load.

Every engine gets every model of its pool: the inventory doesn't give an engine's
memory, and this way any engine can replace any other.
"""

from collections import Counter
from typing import NamedTuple

from .models import MODEL, Upstream
from .orders import Order

LOAD = "load"
UNLOAD = "unload"
# Seconds after a new revision before models are unloaded. Until an entry instance has
# the new revision, it sends requests for a model that the release drops. A revision is
# in force everywhere within 16 s.
UNLOAD_DELAY = 16.0
# Seconds after which a load order counts as failed. Engines that accept a load and
# never report it would otherwise use up the few loads that may run at once. The largest
# weights are read well within this time.
LOAD_TIMEOUT = 300.0
# Seconds before a refused order is sent again; an engine without enough memory for a
# model would otherwise be sent an order each second.
REFUSED_BACKOFF = 30.0


class Engine(NamedTuple):
    """An engine that accepts new work, and the models that it reports as loaded."""

    upstream: Upstream
    models: frozenset


class PendingOrder(NamedTuple):
    """An order that was sent and isn't complete; ``sent_at`` is in seconds."""

    order_id: str
    order: Order
    sent_at: float


def list_wanted_models(configuration):
    """Return the models of each pool that lists any, by descending traffic share."""
    traffic = Counter()
    for route in configuration.rules.routes:
        for share in route.shares:
            traffic[route.pool, share.version] += share.part
        if not route.shares:
            traffic[route.pool, route.name] += 1.0
    return {
        pool.name: tuple(
            sorted(pool.models, key=lambda model: -traffic[pool.name, model])
        )
        for pool in configuration.inventory.pools
        if pool.kind == MODEL and pool.models
    }


def split_load_limit(limit, pools):
    """Return how many loads each pool of the data centre may run at once."""
    # The holders of different pools don't communicate. Equal parts keep the sum of
    # their loads within the limit, unless there are more pools than loads: then each
    # pool may run one load.
    return max(1, limit // max(1, pools))


def plan_loads(wanted, engines, busy, max_loads):
    """Return the load orders to send now, the model with the fewest copies first.

    All concurrent loads share the weight store's bandwidth. After a new version, or
    with empty replacements for a zone, none would finish soon if all ran at once, and a
    model without a copy would wait behind the tenth copy of another. So at most
    ``max_loads`` loads run at a time, one per engine. ``busy`` holds the pairs of
    engine name and model with an order in progress or paused.
    """
    copies = Counter(model for engine in engines for model in engine.models)
    copies.update(model for _, model in busy)
    candidates = []
    for position, model in enumerate(wanted):
        missing = [
            engine.upstream
            for engine in engines
            if model not in engine.models and (engine.upstream.name, model) not in busy
        ]
        candidates += [
            (copies[model] + i, position, upstream)
            for i, upstream in enumerate(missing)
        ]
    busy_engines = {name for name, _ in busy}
    loads = []
    for _, position, upstream in sorted(candidates):
        if len(loads) < max_loads and upstream.name not in busy_engines:
            busy_engines.add(upstream.name)
            loads.append(Order(LOAD, upstream, wanted[position]))
    return loads


def plan_unloads(wanted, engines, busy):
    """Return the unload orders for engines that have loaded all wanted models."""
    busy_engines = {name for name, _ in busy}
    return [
        Order(UNLOAD, engine.upstream, model)
        for engine in engines
        if engine.upstream.name not in busy_engines and engine.models.issuperset(wanted)
        for model in sorted(engine.models.difference(wanted))
    ]


class Rollout:
    """The orders in progress on the engines of one pool."""

    def __init__(self):
        self._pending = {}
        self._paused = {}

    def plan(self, wanted, engines, max_loads, may_unload, now):
        """Return the orders to send now; call ``record_sent`` for each one sent."""
        paused = {key for key, until in self._paused.items() if now < until}
        loading = [
            pending
            for pending in self._pending.values()
            if pending.order.operation == LOAD
        ]
        busy = paused | set(self._pending)
        orders = plan_loads(wanted, engines, busy, max(0, max_loads - len(loading)))
        return orders + (plan_unloads(wanted, engines, busy) if may_unload else [])

    def record_sent(self, order_id, order, now):
        """Record an order that was sent."""
        self._pending[order.upstream.name, order.model] = PendingOrder(
            order_id, order, now
        )

    def mark_refused(self, order_id, now):
        """Pause an order that the engine couldn't carry out."""
        for key, pending in list(self._pending.items()):
            if pending.order_id == order_id:
                del self._pending[key]
                self._paused[key] = now + REFUSED_BACKOFF

    def pop_ended(self, engines, now):
        """Remove the orders that have ended and return their ids.

        An order ends if its engine reports the result, the engine is gone, or
        LOAD_TIMEOUT has passed.
        """
        models = {engine.upstream.name: engine.models for engine in engines}
        order_ids = []
        for key, pending in list(self._pending.items()):
            loaded = pending.order.model in models.get(key[0], ())
            done = loaded == (pending.order.operation == LOAD)
            if done or key[0] not in models or now - pending.sent_at > LOAD_TIMEOUT:
                del self._pending[key]
                order_ids.append(pending.order_id)
        return order_ids

    def clear(self):
        """Forget all orders after this instance lost the lease."""
        self._pending.clear()
