"""Which models the engines of one pool and data centre should have loaded.

Every engine gets every model that its pool lists: the inventory says nothing of an
engine's memory, and any engine can then stand in for any other.
"""

from collections import Counter
from typing import NamedTuple

from .models import MODEL, Upstream
from .orders import Order

LOAD = "load"
UNLOAD = "unload"
# Load: a release that drops a version. Harm: an entry instance that still has the old
# revision sends a request for what is gone. A revision is in force everywhere within
# 16 s (letter 1), so nothing is unloaded before.
UNLOAD_AFTER = 16.0
# Load: engines that take a load and never show it. Harm: they keep the few loads that
# may run at once from all others. The largest weights are read well within this time.
LOAD_LIMIT = 300.0
# Load: an engine without memory for a model. Harm: an order each second for ever.
REFUSED_PAUSE = 30.0


class Engine(NamedTuple):
    """An engine that takes new work, and the models that it says it has."""

    upstream: Upstream
    models: frozenset


class Given(NamedTuple):
    """An order under way: its id, what it orders, and when it was given."""

    order_id: str
    order: Order
    at: float


def list_wanted(configuration):
    """Return the models of each pool that lists any, those with most traffic first."""
    parts = Counter()
    for route in configuration.rules.routes:
        for share in route.shares:
            parts[route.pool, share.version] += share.part
        if not route.shares:
            parts[route.pool, route.name] += 1.0
    return {
        pool.name: tuple(
            sorted(pool.models, key=lambda model: -parts[pool.name, model])
        )
        for pool in configuration.inventory.pools
        if pool.kind == MODEL and pool.models
    }


def share_room(limit, pools):
    """Return how many loads each pool of the data centre may have running."""
    # Holders of different pools don't talk; equal parts keep their sum within the
    # limit, unless there are more pools than loads: then each has one.
    return max(1, limit // max(1, pools))


def list_loads(wanted, engines, busy, room):
    """Return the loads to give now, the model with the fewest copies first.

    Load: a new version, or an empty replacement for a zone. Harm: the weight store's
    rate is shared by all loads at once, so that none ends soon, and a model without
    any copy waits behind the tenth copy of another. So few loads run at a time, one
    an engine.
    """
    copies = Counter(model for engine in engines for model in engine.models)
    copies.update(model for _, model in busy)
    rows = []
    for place, model in enumerate(wanted):
        lacking = [
            engine.upstream
            for engine in engines
            if model not in engine.models and (engine.upstream.name, model) not in busy
        ]
        rows += [(copies[model] + i, place, up) for i, up in enumerate(lacking)]
    taken = {name for name, _ in busy}
    loads = []
    for _, place, upstream in sorted(rows):
        if len(loads) < room and upstream.name not in taken:
            taken.add(upstream.name)
            loads.append(Order(LOAD, upstream, wanted[place]))
    return loads


def list_unloads(wanted, engines, busy):
    """Return the unloads for engines that have all they should have."""
    taken = {name for name, _ in busy}
    return [
        Order(UNLOAD, engine.upstream, model)
        for engine in engines
        if engine.upstream.name not in taken and engine.models.issuperset(wanted)
        for model in sorted(engine.models.difference(wanted))
    ]


class Rollout:
    """The orders under way to the engines of one pool."""

    def __init__(self):
        self._given = {}
        self._paused = {}

    def plan(self, wanted, engines, room, may_unload, now):
        """Return the orders to give now; ``note`` those that were given."""
        paused = {key for key, until in self._paused.items() if now < until}
        loading = [row for row in self._given.values() if row.order.operation == LOAD]
        busy = paused | set(self._given)
        orders = list_loads(wanted, engines, busy, max(0, room - len(loading)))
        return orders + (list_unloads(wanted, engines, busy) if may_unload else [])

    def note(self, order_id, order, now):
        """Take note of an order that was given."""
        self._given[order.upstream.name, order.model] = Given(order_id, order, now)

    def refuse(self, order_id, now):
        """Let an order rest that the engine can't carry out."""
        for key, given in list(self._given.items()):
            if given.order_id == order_id:
                del self._given[key]
                self._paused[key] = now + REFUSED_PAUSE

    def settle(self, engines, now):
        """Return the ids of orders that need no more waiting for.

        They are carried out by the engine's own word, or their engine has gone, or
        they took too long.
        """
        models = {engine.upstream.name: engine.models for engine in engines}
        ids = []
        for key, given in list(self._given.items()):
            loaded = given.order.model in models.get(key[0], ())
            done = loaded == (given.order.operation == LOAD)
            if done or key[0] not in models or now - given.at > LOAD_LIMIT:
                del self._given[key]
                ids.append(given.order_id)
        return ids

    def clear(self):
        """Forget all orders: this instance gives none any more."""
        self._given.clear()
