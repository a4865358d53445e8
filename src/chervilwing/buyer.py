"""Buy and give back instances, where this instance is the fleet's holder."""

import json
import time

from circuits.core import BaseComponent, handler

from .connections import Call
from .fleets import FleetPlanner, Machine, Situation
from .logs import log_event
from .messages import ABSENT, Found, Missing, Read, StoreCall, Write, Written
from .orders import Holder, OrderSettings
from .planner import Offer
from .purchases import (
    ASKED,
    BOUGHT,
    LEAVING,
    decode_purchases,
    encode_purchases,
    find_lost,
    get_offer,
    list_owned,
    make_purchase,
)
from .stores import JSON_HEADERS, collect_json

# One holder for all data centres: no data centre has this name.
EVERYWHERE = "*"
PURCHASES_KEY = "purchases/{}"
CREATED = 201
REFUSED = 503
# Seconds between two steps of a fleet. Load: a wave of reclaims. Harm: dozens of buys
# before the first is seen to be refused; one at a time still makes 60 a minute.
STEP_EVERY = 1.0
PRICES_EVERY = 30.0


class FleetTask:
    """What one instance knows of one fleet."""

    def __init__(self, cfg, fleet, names):
        self.planner = FleetPlanner(fleet)
        self.holder = Holder(OrderSettings(), cfg.name, EVERYWHERE, fleet.pool)
        self.holder.enlist(names)
        self.key = PURCHASES_KEY.format(fleet.pool)
        self.rows = None
        self.version = ABSENT
        self.busy = False
        self.step_at = 0.0
        self.count = 0
        self.seen = set()


class Buyer(BaseComponent):
    """Drive the planners of the fleets."""

    channel = "buyer"

    def __init__(self, cfg, store, client, dispatcher, leave):
        super().__init__()
        self._cfg = cfg
        self._store = store
        self._client = client
        self._dispatch = dispatcher
        self._leave = leave
        self._names = [cfg.name]
        self._fleets = {}
        self._offers = ()
        self._prices_at = 0.0

    def enlist(self, names):
        """Take the live entry instances of all data centres."""
        self._names = names
        for task in self._fleets.values():
            task.holder.enlist(names)

    def describe(self):
        """Return the state of each fleet's holder by pool."""
        return {pool: task.holder.state for pool, task in self._fleets.items()}

    @handler("tick", channel="*")
    def _on_tick(self):
        configuration = self._dispatch.configuration
        if not self._cfg.cloud or configuration is None or self._dispatch.draining:
            return
        now = time.monotonic()
        for fleet in configuration.rules.fleets:
            task = self._find(fleet)
            self._apply(task, task.holder.tick(now))
            if not task.holder.may_act(now):
                task.rows = None
            elif not task.busy and now >= task.step_at:
                task.step_at = now + STEP_EVERY
                self._step(task, now)

    def _find(self, fleet):
        task = self._fleets.get(fleet.pool)
        if task is None:
            task = FleetTask(self._cfg, fleet, self._names)
            self._fleets[fleet.pool] = task
        task.planner.fleet = fleet
        return task

    def _apply(self, task, actions):
        for action in actions:
            if isinstance(action, StoreCall):
                self._ask(task, action)

    def _ask(self, task, action):
        def received(token, reply):
            now = time.monotonic()
            self._apply(task, task.holder.receive(token, reply, now))

        self._store.carry(action, received)

    def _step(self, task, now):
        """Do the one thing that comes first."""
        if now >= self._prices_at:
            self._prices_at = now + PRICES_EVERY
            self._call("GET", "/prices", None, self._take_prices)
        if task.rows is None:
            self._read(task)
            return
        for row in task.rows:
            if row.state == ASKED:
                self._buy(task, row)
                return
            if row.state == LEAVING and self._is_known(row.instance):
                # The holder that wrote this ended before it told the others.
                self._release(task, row)
                return
            if row.state == LEAVING and time.time() >= row.at:
                self._give_back(task, row)
                return
        self._plan(task, now)

    def _read(self, task):
        """Take over the record: an old holder's next write then fails."""
        task.busy = True

        def received(reply):
            task.busy = False
            if isinstance(reply, Found):
                try:
                    rows = decode_purchases(reply.value)
                except (ValueError, TypeError):
                    log_event("purchases unreadable", key=task.key)
                    return
                self._write(task, rows, reply.version)
            elif isinstance(reply, Missing):
                self._write(task, (), ABSENT)

        self._store.submit(Read(task.key), received)

    def _write(self, task, rows, expect=None, then=None):
        """Store the rows; whatever isn't a plain yes has them read again."""
        task.busy = True
        expect = task.version if expect is None else expect
        task.rows = None

        def received(reply):
            task.busy = False
            if isinstance(reply, Written):
                task.rows, task.version = rows, reply.version
                if then is not None and task.holder.may_act(time.monotonic()):
                    then()

        request = Write(task.key, encode_purchases(rows), expect)
        self._store.submit(request, received)

    def _replace(self, task, row, *changed, then=None):
        rows = tuple(item for item in task.rows if item != row)
        self._write(task, (*rows, *changed), then=then)

    def _plan(self, task, now):
        pool = task.planner.fleet.pool
        scheduler = self._dispatch.scheduler
        upstreams = [upstream for upstream, _ in scheduler.list_engines(pool)]
        known = set(filter(self._is_known, self._dispatch.directory.upstreams))
        # Guard: a new holder has not seen the instances that left before its time, and
        # would wait ten minutes for each as for one that was bought just now.
        task.seen |= known | set(self._dispatch.leaving)
        lost = find_lost(task.rows, known, task.seen, time.time())
        if lost is not None:
            # It never came, or is being reclaimed and ends what it can until then.
            self._release(task, lost)
            return
        situation = self._describe(task, pool, upstreams, known, now)
        plan = task.planner.plan(situation, now)
        if plan.buys:
            self._begin(task, plan.buys[0])
            return
        # What is under way may be refused yet: nothing is given back for it.
        if len(situation.owned) > len(upstreams):
            return
        for row in task.rows:
            if row.instance in plan.returns:
                self._release(task, row)
                return

    def _is_known(self, name):
        dispatcher = self._dispatch
        return name in dispatcher.directory.upstreams and name not in dispatcher.leaving

    def _describe(self, task, pool, upstreams, known, now):
        machines = {item.machine_class: Machine(item.slots) for item in upstreams}
        centres = {
            item.zone or item.data_centre: item.data_centre for item in upstreams
        }
        load = self._dispatch.scheduler.measure_load(pool)
        needed = task.planner.measure(load, now)
        owned = list_owned(task.rows, upstreams, known, machines, Machine())
        return Situation(self._offers, owned, needed, machines, centres)

    def _begin(self, task, offer):
        task.count += 1
        # The fence is this holder's alone, so no other makes the same request.
        request = f"{task.planner.fleet.pool}-{task.holder.fence}-{task.count}"
        row = make_purchase(request, offer, time.time())
        self._write(task, (*task.rows, row), then=lambda: self._buy(task, row))

    def _buy(self, task, row):
        task.busy = True
        body = {"zone": row.zone, "machine_class": row.machine_class}
        body |= {"market": row.market, "request": row.request}
        body |= {"pool": task.planner.fleet.pool}
        log_event("buy", **body)

        def answered(status, value):
            task.busy = False
            if task.rows is None or row not in task.rows:
                return
            if status == CREATED and isinstance(value, dict) and value.get("instance"):
                task.planner.refusals.forget(get_offer(row))
                name = str(value["instance"])
                bought = row._replace(state=BOUGHT, instance=name, at=time.time())
                self._replace(task, row, bought)
            elif status == REFUSED:
                log_event("buy refused", request=row.request, zone=row.zone)
                task.planner.refusals.record(get_offer(row), time.monotonic())
                self._replace(task, row)

        self._call("POST", "/instances", body, answered)

    def _release(self, task, row):
        """Let an instance's work end before it is given back."""
        deadline = time.time() + self._cfg.request_timeout
        left = row._replace(state=LEAVING, at=deadline)
        told = lambda: self._leave(row.instance, deadline)
        self._replace(task, row, left, then=told)

    def _give_back(self, task, row):
        task.busy = True
        log_event("give back", instance=row.instance)

        def answered(status, value):
            task.busy = False
            if status and status < REFUSED and task.rows and row in task.rows:
                self._replace(task, row)

        self._call("DELETE", f"/instances/{row.instance}", None, answered)

    def _take_prices(self, status, value):
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
        except (KeyError, TypeError, ValueError):
            # Prices of a while ago are better than none.
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
        self._client.submit(call, collect_json(answered))
