"""Order machines for upstreams by measured work, while holding the duties."""

import time

from circuits.core import BaseComponent, handler

from .clocks import read_boottime
from .duty_calls import Accepted, Denied, OrderInstances, Outdated
from .logs import log_event
from .sizing import Sizing

# Seconds between two tries of a failed call.
RETRY_INTERVAL = 0.5


class InstanceOrders(BaseComponent):
    """Order machines for the pools that have a fleet, one order at a time."""

    channel = "instance-orders"

    def __init__(self, cfg, cloud, coordinator, gateway):
        super().__init__()
        self._cfg = cfg
        self._cloud = cloud
        self._coordinator = coordinator
        self._gateway = gateway
        self._sizings = {}
        self._fence = None
        self._order_pending = False
        self._retry_at = 0.0

    @handler("tick", channel="*")
    def _on_tick(self):
        now = read_boottime()
        for name, pool in self._gateway.pools.items():
            if pool.spec.fleet is not None:
                self._measure(name, pool, now)
        fence = self._coordinator.duty_lease.fence(now)
        if fence != self._fence:
            self._fence = fence
            for sizing in self._sizings.values():
                sizing.reset_orders()
        if fence is None or self._order_pending or now < self._retry_at:
            return
        # Before this instance is ready, it doesn't know the registered upstreams and
        # would order all machines a second time.
        if self._coordinator.ready:
            self._order_next(now)

    def _measure(self, name, pool, now):
        sizing = self._sizings.setdefault(name, Sizing())
        totals = {**pool.peer_work, self._cfg.name: (0, pool.work)}
        sizing.meter.update(totals, now)

    def _order_next(self, now):
        for name, sizing in self._sizings.items():
            pool = self._gateway.pools[name]
            members = [item.registration for item in pool.upstream_states.values()]
            due = sizing.list_due_orders(pool.spec.fleet, members, now)
            if due:
                self._order(name, sizing, *due[0])
                return

    def _order(self, pool, sizing, kind, count):
        self._order_pending = True
        self._coordinator.duty_lease.record_act(read_boottime())
        log_event(
            "instances ordered",
            pool=pool,
            count=count,
            work=round(sizing.meter.rate, 3),
            fence=self._fence,
            **kind._asdict(),
        )
        call = OrderInstances(
            pool,
            kind.data_centre,
            count,
            kind.reclaimable,
            self._cfg.name,
            self._fence,
            time.monotonic() + self._cfg.lease,
        )
        self._cloud.submit(
            call, lambda reply: self._receive_reply(sizing, kind, count, reply)
        )

    def _receive_reply(self, sizing, kind, count, reply):
        self._order_pending = False
        now = read_boottime()
        if isinstance(reply, Accepted):
            sizing.record_ordered(kind, count, now)
        elif isinstance(reply, Denied):
            log_event("order denied", detail=reply.text, **kind._asdict())
            sizing.record_denied(kind, now)
        elif isinstance(reply, Outdated):
            log_event(
                "fencing number outdated", fence=self._fence or 0, detail=reply.text
            )
            self._coordinator.duty_lease.give_up()
        else:
            log_event("order not answered", status=reply.status)
            self._retry_at = now + RETRY_INTERVAL
