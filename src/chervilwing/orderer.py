"""Order engines to load and unload models, where this instance is the holder."""

import json
import time
from functools import partial

from circuits.core import BaseComponent, handler

from .assignments import UNLOAD_AFTER, Engine, Rollout, list_wanted, share_room
from .connections import Call
from .logs import log_event
from .messages import StoreCall
from .orders import (
    HOLDING,
    SETTLING,
    Holder,
    OrderDone,
    OrderRefused,
    OrderSend,
    OrderSettings,
    name_order,
)
from .stores import JSON_HEADERS, collect_json

ORDERS_PATH = "/v1/orders"
OK = 200
OLD_FENCE = 409
# Seconds between two looks at what the engines of the pools lack.
PLAN_EVERY = 0.5


class Orderer(BaseComponent):
    """Drive the holders of the pools of this data centre."""

    channel = "orderer"

    def __init__(self, cfg, store, client, dispatcher):
        super().__init__()
        self._cfg = cfg
        self._store = store
        self._client = client
        self._dispatch = dispatcher
        self._members = [cfg.name]
        self._holders = {}
        self._rollouts = {}
        self._wanted = {}
        self._revision = 0
        self._since = 0.0
        self._plan_at = 0.0
        self._open = set()

    def enlist(self, names):
        """Take the live entry instances of this data centre."""
        self._members = names
        for holder in self._holders.values():
            holder.enlist(names)

    def describe(self):
        """Return the state of each holder by pool."""
        return {pool: holder.state for pool, holder in self._holders.items()}

    @handler("tick", channel="*")
    def _on_tick(self):
        # An instance that stops lets its leases lapse: the next holder waits them out.
        if self._dispatch.configuration is None or self._dispatch.draining:
            return
        now = time.monotonic()
        for pool, holder in self._holders.items():
            self._apply(pool, holder.tick(now))
        if now >= self._plan_at:
            self._plan_at = now + PLAN_EVERY
            self._plan(now)

    def _plan(self, now):
        configuration = self._dispatch.configuration
        if configuration.revision != self._revision:
            self._revision, self._since = configuration.revision, now
            self._wanted = list_wanted(configuration)
        found = {pool: self._list_engines(pool) for pool in self._wanted}
        engines = {pool: rows for pool, rows in found.items() if rows}
        room = share_room(self._cfg.loads_at_once, len(engines))
        for pool, rows in engines.items():
            self._give_orders(pool, rows, room, now)

    def _list_engines(self, pool):
        """Return the engines here that say what they have loaded.

        One that doesn't say serves every model, or is looked after by its operators.
        """
        return [
            Engine(upstream, models)
            for upstream, models in self._dispatch.scheduler.list_engines(pool)
            if models is not None and upstream.data_centre == self._cfg.data_centre
        ]

    def _give_orders(self, pool, engines, room, now):
        holder, rollout = self._find(pool), self._rollouts[pool]
        if holder.state not in (SETTLING, HOLDING):
            rollout.clear()
            return
        if holder.state == SETTLING:
            engines = [engine for engine in engines if engine.upstream.fenced]
        for order_id in rollout.settle(engines, now):
            self._apply(pool, holder.finish(order_id))
        may_unload = now - self._since > UNLOAD_AFTER
        wanted = self._wanted[pool]
        for order in rollout.plan(wanted, engines, room, may_unload, now):
            order_id = name_order(self._revision, order)
            rollout.note(order_id, order, now)
            self._apply(pool, holder.order(order_id, order, now))

    def _find(self, pool):
        if pool not in self._holders:
            cfg = self._cfg
            holder = Holder(OrderSettings(), cfg.name, cfg.data_centre, pool)
            holder.enlist(self._members)
            self._holders[pool] = holder
            self._rollouts[pool] = Rollout()
        return self._holders[pool]

    def _apply(self, pool, actions):
        for action in actions:
            APPLIERS[type(action)](self, pool, action)

    def _call(self, pool, action):
        self._store.carry(action, partial(self._received, pool))

    def _received(self, pool, token, reply):
        holder = self._holders[pool]
        self._apply(pool, holder.receive(token, reply, time.monotonic()))

    def _send(self, pool, action):
        # An engine may answer only once the weights are read; asked again meanwhile,
        # it would hold one more connection each second.
        if action.order_id in self._open:
            return
        self._open.add(action.order_id)
        order = action.order
        body = {"op": order.operation, "model": order.model, "adapter": order.adapter}
        body |= {"version": order.version, "role": order.role}
        body |= {"fence": action.fence, "order": action.order_id}
        log_event("order", upstream=order.upstream.name, **body)
        call = Call(
            order.upstream.address,
            "POST",
            ORDERS_PATH,
            JSON_HEADERS,
            json.dumps(body).encode(),
            connect_timeout=self._cfg.connect_timeout,
            silence_timeout=self._cfg.request_timeout,
            send_before=action.send_before,
        )
        answered = partial(self._answered, pool, action.order_id)
        self._client.submit(call, collect_json(answered))

    def _answered(self, pool, order_id, status, value):
        self._open.discard(order_id)
        holder = self._holders[pool]
        if status == OK:
            self._apply(pool, holder.finish(order_id))
        elif status == OLD_FENCE and isinstance(value, dict) and "fence" in value:
            self._apply(pool, holder.finish(order_id, value["fence"]))
        elif status:
            log_event("order refused", order=order_id, type=f"status {status}")
            self._rollouts[pool].refuse(order_id, time.monotonic())
            holder.finish(order_id)

    def _refuse(self, pool, action):
        log_event("order refused", order=action.order_id, type=action.failure.type)
        # Whoever holds the pool next looks at the engines afresh.
        self._rollouts[pool].clear()


APPLIERS = {
    StoreCall: Orderer._call,
    OrderSend: Orderer._send,
    OrderDone: lambda self, pool, action: None,
    OrderRefused: Orderer._refuse,
}
