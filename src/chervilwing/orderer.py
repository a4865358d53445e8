"""Order engines to load and unload models while this instance holds the lease."""

import json
import time
from functools import partial

from circuits.core import BaseComponent, handler

from .connections import Call
from .logs import log_event
from .messages import StoreCall
from .model_loading import (
    UNLOAD_DELAY,
    Engine,
    Rollout,
    list_wanted_models,
    split_load_limit,
)
from .orders import (
    HOLDING,
    SETTLING,
    Holder,
    OrderDone,
    OrderRefused,
    OrderSend,
    OrderSettings,
    make_order_id,
)
from .stores import JSON_HEADERS, collect_json_response

ORDERS_PATH = "/v1/orders"
STATUS_OK = 200
STATUS_CONFLICT = 409
# Seconds between checks of which models the engines lack.
PLAN_INTERVAL = 0.5


class Orderer(BaseComponent):
    """Run the lease holders and the model rollouts of the pools of this data centre."""

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
        self._wanted_models = {}
        self._revision = 0
        self._revision_since = 0.0
        self._next_plan_at = 0.0
        self._unanswered = set()
        store.epochs.subscribe(self._enter_epoch)

    def _enter_epoch(self, epoch):
        now = time.monotonic()
        for pool, holder in self._holders.items():
            self._run_actions(pool, holder.enter_epoch(now))

    def enlist(self, names):
        """Set the live entry instances of this data centre."""
        self._members = names
        for holder in self._holders.values():
            holder.enlist(names)

    def describe(self):
        """Return the state of each lease holder by pool."""
        return {pool: holder.state for pool, holder in self._holders.items()}

    @handler("tick", channel="*")
    def _on_tick(self):
        # A stopping instance lets its leases expire; the next holder waits for that.
        if self._dispatch.configuration is None or self._dispatch.draining:
            return
        now = time.monotonic()
        for pool, holder in self._holders.items():
            self._run_actions(pool, holder.tick(now))
        if now >= self._next_plan_at:
            self._next_plan_at = now + PLAN_INTERVAL
            self._plan(now)

    def _plan(self, now):
        configuration = self._dispatch.configuration
        if configuration.revision != self._revision:
            self._revision, self._revision_since = configuration.revision, now
            self._wanted_models = list_wanted_models(configuration)
        listed = {pool: self._list_engines(pool) for pool in self._wanted_models}
        engines = {
            pool: pool_engines for pool, pool_engines in listed.items() if pool_engines
        }
        max_loads = split_load_limit(self._cfg.loads_at_once, len(engines))
        for pool, pool_engines in engines.items():
            self._plan_pool(pool, pool_engines, max_loads, now)

    def _list_engines(self, pool):
        """Return the engines of this data centre that report their loaded models.

        An engine that doesn't report its models serves every model, or its operators
        manage its models.
        """
        return [
            Engine(upstream, models)
            for upstream, models in self._dispatch.scheduler.list_engines(pool)
            if models is not None and upstream.data_centre == self._cfg.data_centre
        ]

    def _plan_pool(self, pool, engines, max_loads, now):
        holder, rollout = self._find_holder(pool), self._rollouts[pool]
        if holder.state not in (SETTLING, HOLDING):
            rollout.clear()
            return
        if holder.state == SETTLING:
            engines = [engine for engine in engines if engine.upstream.fenced]
        for order_id in rollout.pop_ended(engines, now):
            self._run_actions(pool, holder.finish(order_id))
        may_unload = now - self._revision_since > UNLOAD_DELAY
        wanted = self._wanted_models[pool]
        for order in rollout.plan(wanted, engines, max_loads, may_unload, now):
            order_id = make_order_id(self._revision, order)
            rollout.record_sent(order_id, order, now)
            self._run_actions(pool, holder.order(order_id, order, now))

    def _find_holder(self, pool):
        if pool not in self._holders:
            cfg = self._cfg
            holder = Holder(OrderSettings(), cfg.name, cfg.data_centre, pool)
            holder.enlist(self._members)
            self._holders[pool] = holder
            self._rollouts[pool] = Rollout()
        return self._holders[pool]

    def _run_actions(self, pool, actions):
        for action in actions:
            ACTION_HANDLERS[type(action)](self, pool, action)

    def _call_store(self, pool, action):
        self._store.send_call(action, partial(self._on_store_reply, pool))

    def _on_store_reply(self, pool, token, reply):
        holder = self._holders[pool]
        self._run_actions(pool, holder.receive(token, reply, time.monotonic()))

    def _send_order(self, pool, action):
        # An engine may answer only after it has read the weights. Sending the order
        # again meanwhile would open one more connection each second.
        if action.order_id in self._unanswered:
            return
        self._unanswered.add(action.order_id)
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
        on_answer = partial(self._on_engine_answer, pool, action.order_id)
        self._client.submit(call, collect_json_response(on_answer))

    def _on_engine_answer(self, pool, order_id, status, value):
        self._unanswered.discard(order_id)
        holder = self._holders[pool]
        if status == STATUS_OK:
            self._run_actions(pool, holder.finish(order_id))
        elif status == STATUS_CONFLICT and isinstance(value, dict) and "fence" in value:
            self._run_actions(pool, holder.finish(order_id, value["fence"]))
        elif status:
            log_event("order refused", order=order_id, type=f"status {status}")
            self._rollouts[pool].mark_refused(order_id, time.monotonic())
            holder.finish(order_id)

    def _on_order_refused(self, pool, action):
        log_event("order refused", order=action.order_id, type=action.failure.type)
        # The next lease holder of the pool starts from what the engines report.
        self._rollouts[pool].clear()


ACTION_HANDLERS = {
    StoreCall: Orderer._call_store,
    OrderSend: Orderer._send_order,
    OrderDone: lambda self, pool, action: None,
    OrderRefused: Orderer._on_order_refused,
}
