"""Buy and release instances for the fleets whose lease this instance holds."""

import json
import time

from circuits.core import BaseComponent, handler

from .connections import Call
from .exceptions import DECODE_ERRORS
from .fleets import FleetPlanner, Machine, Situation
from .logs import log_event
from .messages import ABSENT, Found, Missing, Read, StoreCall, Write, Written
from .orders import Holder, OrderSettings
from .planner import Offer
from .purchases import (
    BOUGHT,
    LEAVING,
    REQUESTED,
    decode_purchases,
    encode_purchases,
    find_lost_purchase,
    get_offer,
    list_owned_instances,
    make_purchase,
)
from .stores import JSON_HEADERS, collect_json_response

# In place of a data centre's name: a fleet has one holder for all data centres.
ALL_DATA_CENTRES = "*"
PURCHASES_KEY = "purchases/{}"
HTTP_CREATED = 201
HTTP_UNAVAILABLE = 503
# Seconds between two steps of a fleet. After a wave of reclaims it would otherwise send
# dozens of purchases before the first refusal arrives; one per step still allows 60 a
# minute.
STEP_INTERVAL = 1.0
# Seconds between two requests for the prices.
PRICES_INTERVAL = 30.0


class FleetTask:
    """State of one fleet on this instance."""

    def __init__(self, cfg, fleet, names):
        self.planner = FleetPlanner(fleet)
        self.holder = Holder(OrderSettings(), cfg.name, ALL_DATA_CENTRES, fleet.pool)
        self.holder.enlist(names)
        self.key = PURCHASES_KEY.format(fleet.pool)
        self.purchases = None
        self.version = ABSENT
        self.busy = False
        self.step_at = 0.0
        self.count = 0
        self.seen = set()


class Buyer(BaseComponent):
    """Run the planners of all fleets and carry out their plans."""

    channel = "buyer"

    def __init__(self, cfg, store, client, dispatcher, announce_leaving):
        super().__init__()
        self._cfg = cfg
        self._store = store
        self._client = client
        self._dispatch = dispatcher
        self._announce_leaving = announce_leaving
        self._names = [cfg.name]
        self._fleets = {}
        self._offers = ()
        self._prices_at = 0.0

    def enlist(self, names):
        """Update the live entry instances of all data centres."""
        self._names = names
        for task in self._fleets.values():
            task.holder.enlist(names)

    def describe(self):
        """Return the holder state of each fleet by pool."""
        return {pool: task.holder.state for pool, task in self._fleets.items()}

    @handler("tick", channel="*")
    def _on_tick(self):
        configuration = self._dispatch.configuration
        if not self._cfg.cloud or configuration is None or self._dispatch.draining:
            return
        now = time.monotonic()
        for fleet in configuration.rules.fleets:
            task = self._get_task(fleet)
            self._apply(task, task.holder.tick(now))
            if not task.holder.may_act(now):
                task.purchases = None
            elif not task.busy and now >= task.step_at:
                task.step_at = now + STEP_INTERVAL
                self._step(task, now)

    def _get_task(self, fleet):
        task = self._fleets.get(fleet.pool)
        if task is None:
            task = FleetTask(self._cfg, fleet, self._names)
            self._fleets[fleet.pool] = task
        task.planner.fleet = fleet
        return task

    def _apply(self, task, actions):
        for action in actions:
            if isinstance(action, StoreCall):
                self._call_store(task, action)

    def _call_store(self, task, action):
        def received(token, reply):
            now = time.monotonic()
            self._apply(task, task.holder.receive(token, reply, now))

        self._store.send_call(action, received)

    def _step(self, task, now):
        """Carry out the most urgent action of a fleet."""
        if now >= self._prices_at:
            self._prices_at = now + PRICES_INTERVAL
            self._call("GET", "/prices", None, self._update_prices)
        if task.purchases is None:
            self._read_purchases(task)
            return
        for purchase in task.purchases:
            if purchase.state == REQUESTED:
                self._buy(task, purchase)
                return
            if purchase.state == LEAVING and self._is_available(purchase.instance):
                # The holder that marked this purchase as leaving stopped before it
                # announced that.
                self._release(task, purchase)
                return
            if purchase.state == LEAVING and time.time() >= purchase.at:
                self._return_instance(task, purchase)
                return
        self._plan(task, now)

    def _read_purchases(self, task):
        """Read and rewrite the purchases, so that an old holder's next write fails."""
        task.busy = True

        def received(reply):
            task.busy = False
            if isinstance(reply, Found):
                try:
                    purchases = decode_purchases(reply.value)
                except DECODE_ERRORS:
                    log_event("purchases unreadable", key=task.key)
                    return
                self._write_purchases(task, purchases, reply.version)
            elif isinstance(reply, Missing):
                self._write_purchases(task, (), ABSENT)

        self._store.submit(Read(task.key), received)

    def _write_purchases(self, task, purchases, expect=None, then=None):
        """Store the purchases; unless that succeeds they are read again."""
        task.busy = True
        expect = task.version if expect is None else expect
        task.purchases = None

        def received(reply):
            task.busy = False
            if isinstance(reply, Written):
                task.purchases, task.version = purchases, reply.version
                if then is not None and task.holder.may_act(time.monotonic()):
                    then()

        request = Write(task.key, encode_purchases(purchases), expect)
        self._store.submit(request, received)

    def _replace_purchase(self, task, purchase, *changed, then=None):
        purchases = tuple(item for item in task.purchases if item != purchase)
        self._write_purchases(task, (*purchases, *changed), then=then)

    def _plan(self, task, now):
        pool = task.planner.fleet.pool
        scheduler = self._dispatch.scheduler
        upstreams = [upstream for upstream, _ in scheduler.list_engines(pool)]
        available = set(filter(self._is_available, self._dispatch.directory.upstreams))
        # Count instances that are leaving as seen. A new holder never saw them
        # available and would otherwise wait ten minutes for each, as for an instance
        # that was just bought and isn't listed yet.
        task.seen |= available | set(self._dispatch.leaving)
        lost = find_lost_purchase(task.purchases, available, task.seen, time.time())
        if lost is not None:
            # It never registered, or it is being reclaimed and finishes its work.
            self._release(task, lost)
            return
        situation = self._describe(task, pool, upstreams, available, now)
        plan = task.planner.plan(situation, now)
        if plan.buys:
            self._start_purchase(task, plan.buys[0])
            return
        # Some purchases don't serve yet, and the cloud may still refuse them. Release
        # no instance until they serve.
        if len(situation.owned) > len(upstreams):
            return
        for purchase in task.purchases:
            if purchase.instance in plan.returns:
                self._release(task, purchase)
                return

    def _is_available(self, name):
        dispatcher = self._dispatch
        return name in dispatcher.directory.upstreams and name not in dispatcher.leaving

    def _describe(self, task, pool, upstreams, available, now):
        machines = {item.machine_class: Machine(item.slots) for item in upstreams}
        centres = {
            item.zone or item.data_centre: item.data_centre for item in upstreams
        }
        load = self._dispatch.scheduler.measure_load(pool)
        needed = task.planner.measure(load, now)
        owned = list_owned_instances(
            task.purchases, upstreams, available, machines, Machine()
        )
        return Situation(self._offers, owned, needed, machines, centres)

    def _start_purchase(self, task, offer):
        task.count += 1
        # The fence token is unique to this holder and makes the request id unique.
        request = f"{task.planner.fleet.pool}-{task.holder.fence}-{task.count}"
        purchase = make_purchase(request, offer, time.time())
        self._write_purchases(
            task, (*task.purchases, purchase), then=lambda: self._buy(task, purchase)
        )

    def _buy(self, task, purchase):
        task.busy = True
        body = {"zone": purchase.zone, "machine_class": purchase.machine_class}
        body |= {"market": purchase.market, "request": purchase.request}
        body |= {"pool": task.planner.fleet.pool}
        log_event("buy", **body)

        def answered(status, value):
            task.busy = False
            if task.purchases is None or purchase not in task.purchases:
                return
            if (
                status == HTTP_CREATED
                and isinstance(value, dict)
                and value.get("instance")
            ):
                task.planner.refusals.forget(get_offer(purchase))
                name = str(value["instance"])
                bought = purchase._replace(state=BOUGHT, instance=name, at=time.time())
                self._replace_purchase(task, purchase, bought)
            elif status == HTTP_UNAVAILABLE:
                log_event("buy refused", request=purchase.request, zone=purchase.zone)
                task.planner.refusals.record(get_offer(purchase), time.monotonic())
                self._replace_purchase(task, purchase)

        self._call("POST", "/instances", body, answered)

    def _release(self, task, purchase):
        """Mark an instance as leaving, so that its work ends before it is returned."""
        deadline = time.time() + self._cfg.request_timeout
        leaving = purchase._replace(state=LEAVING, at=deadline)
        notify = lambda: self._announce_leaving(purchase.instance, deadline)
        self._replace_purchase(task, purchase, leaving, then=notify)

    def _return_instance(self, task, purchase):
        task.busy = True
        log_event("give back", instance=purchase.instance)

        def answered(status, value):
            task.busy = False
            if (
                status
                and status < HTTP_UNAVAILABLE
                and task.purchases
                and purchase in task.purchases
            ):
                self._replace_purchase(task, purchase)

        self._call("DELETE", f"/instances/{purchase.instance}", None, answered)

    def _update_prices(self, status, value):
        try:
            self._offers = tuple(
                Offer(
                    str(row["zone"]),
                    str(row["machine_class"]),
                    str(row["market"]),
                    float(row["price"]),
                    float(row["reclaim_rate"]),
                )
                for row in value["prices"]
            )
        except DECODE_ERRORS:
            # Keep the previous prices.
            return

    def _call(self, method, path, body, answered):
        call = Call(
            self._cfg.cloud,
            method,
            path,
            JSON_HEADERS,
            b"" if body is None else json.dumps(body).encode(),
            connect_timeout=self._cfg.connect_timeout,
            silence_timeout=self._cfg.silence_timeout,
        )
        self._client.submit(call, collect_json_response(answered))
